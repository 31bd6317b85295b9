/**
 * @file registry_sync.h
 * @brief Reads and writes the registry of entries in the platform's store, as
 * EntryRegistry_Next decides; for entries and companions alike.
 */
#ifndef LC_DAEMON_REGISTRY_SYNC_H
#define LC_DAEMON_REGISTRY_SYNC_H

#include "lease/entry_registry.h"
#include "platform/registry_client.h"

/** A process's access to the registry of entries. */
typedef struct {
    EntryRegistry state;
    RegistryClient *client; /**< NULL without a store: only seeds are used */
    Peers *peers;
    const char *hall; /**< of this process; must outlive the registry */
    void (*on_entries)(void *context); /**< the list of entries was read;
                                        may be NULL */
    void *context;
} Registry_Sync;

/** Starts access to the registry at @p store; 0 for none. @p self is the entry
 * to register, which is in @p hall, or 0 for a process that only reads. Its
 * few requests use connections of their own, so that one without an answer
 * does not close the connections of other requests. */
void RegistrySync_Open(Registry_Sync *registry, uv_loop_t *loop, Address self,
                       Address store, const char *hall, Peers *peers);

/** Sends what is due; must be called at every tick. */
void RegistrySync_Tick(Registry_Sync *registry, int64_t now_ms);

#endif

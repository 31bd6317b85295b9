/**
 * @file registry.h
 * @brief When a process reads the register of entries in the platform's store,
 * and when an entry puts its own record there or drops one of an entry that is
 * gone.
 *
 * Seeds may start last of all, or be replaced while a process is cut off; the
 * register names every entry at the first read: after all power was lost, 295
 * processes knew each other 0.33 s sooner (middle of all, three seeds that
 * start 0.3 s late). It is a hint: who is named is
 * called, and nobody is taken as live or gone for what stands there. Times are
 * monotonic, in ms.
 */
#ifndef LC_LEASE_REGISTRY_H
#define LC_LEASE_REGISTRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lease/peers.h"

/** What is to be done next. */
typedef enum {
    REGISTRY_WAIT,
    REGISTRY_READ,
    REGISTRY_PUT, /**< our own record */
    REGISTRY_DROP /**< that of an entry that is gone */
} Registry_Step;

/** State of a process towards the register. */
typedef struct {
    Address self;       /**< entry that is registered; 0 for a reader alone */
    bool calling;       /**< a call is on its way */
    bool missing;       /**< our own record was not there */
    int64_t again_ms;   /**< the next read is due */
    int64_t pause_ms;   /**< after the next read that fails */
    GHashTable *silent; /**< Address -> int64_t, since when it was silent */
} Registry;

/** @p self is the entry to be registered, or 0 for a process that reads. */
void Registry_Init(Registry *registry, Address self, int64_t now_ms);
void Registry_Clear(Registry *registry);

/** The next call, which is taken to be on its way from now on; @p gone is set
 * for REGISTRY_DROP. */
Registry_Step Registry_Next(Registry *registry, int64_t now_ms,
                            const Peers *peers, Address *gone);

/** The register was read; names all entries to @p peers. @p entries is an
 * array of Peers_Named, or NULL if the read failed. */
void Registry_OnRead(Registry *registry, int64_t now_ms, const GArray *entries,
                     Peers *peers);

/** A record was written, or the store did not say so. */
void Registry_OnWritten(Registry *registry, int64_t now_ms, bool confirmed);

#endif

/**
 * @file leased_registry.h
 * @brief Carries out what lease/registry.h decides, for entries and
 * companions alike.
 */
#ifndef LC_DAEMON_LEASED_REGISTRY_H
#define LC_DAEMON_LEASED_REGISTRY_H

#include "lease/registry.h"
#include "platform/members.h"

/** A process towards the register of entries. */
typedef struct {
    Registry state;
    Members *members; /**< NULL: no store is known, seeds alone are used */
    Peers *peers;
    const char *hall;             /**< of this process; borrowed for good */
    void (*named)(void *context); /**< entries were named to the peers */
    void *context;
} Leased_Registry;

/** @p self is the entry in @p hall to be registered, or 0 for a process that
 * reads;
 * @p store may be 0. Its few calls go over connections of their own, so that
 * one without an answer leaves those of others as they are. */
void LeasedRegistry_Open(Leased_Registry *registry, uv_loop_t *loop,
                         Address self, Address store, const char *hall,
                         Peers *peers);

/** To be called at every tick. */
void LeasedRegistry_Tick(Leased_Registry *registry, int64_t now_ms);

#endif

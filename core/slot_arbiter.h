/**
 * @file slot_arbiter.h
 * @brief Divides a companion's slots among entries and groups.
 *
 * A free slot for which no demand is known may be taken by any entry. Entries
 * that found no free slot register their demand here, by group. Each slot
 * that becomes free is then granted to the group with the least virtual time,
 * at one of the entries with demand of that group, drawn at random in
 * proportion to their waiting tasks. A grant expires unless used in time.
 */
#ifndef LC_CORE_SLOT_ARBITER_H
#define LC_CORE_SLOT_ARBITER_H

#include <glib.h>

#include "core/group_table.h"
#include "core/membership_view.h"

/** A slot reserved for an entry. */
typedef struct {
    uint64_t id;
    lc_node entry;
    char group[NODE_MAX_GROUP + 1];
    int64_t expires_ms;
} SlotArbiter_Grant;

/** Opaque arbiter. */
typedef struct SlotArbiter SlotArbiter;

/** @p grant_ms: time after which an unused grant expires. */
SlotArbiter *SlotArbiter_New(uint32_t slots, int64_t grant_ms, uint64_t seed);
void SlotArbiter_Free(SlotArbiter *arbiter);

/** Slots that are neither busy nor granted. */
uint32_t SlotArbiter_FreeSlots(const SlotArbiter *arbiter);

uint32_t SlotArbiter_Slots(const SlotArbiter *arbiter);

/** Replaces an entry's demand; @p count 0 means no change. */
void SlotArbiter_SetDemand(SlotArbiter *arbiter, const lc_node *entry,
                           const lc_demand *rows, uint32_t count);

/** Removes the demand and grants of entries that are not in the view. */
void SlotArbiter_OnView(SlotArbiter *arbiter, const View *view);

/** Takes a slot, granted or free; false if there is none. */
bool SlotArbiter_Acquire(SlotArbiter *arbiter, const lc_node *entry,
                         uint64_t grant, const char *group,
                         const GroupTable *table);

/** Frees the slot of a task that ended after @p slot_ms. */
void SlotArbiter_Release(SlotArbiter *arbiter, const char *group,
                         int64_t slot_ms, const GroupTable *table);

/** Frees the slot of a task that did not start and cancels its charge. */
void SlotArbiter_CancelStart(SlotArbiter *arbiter, const char *group,
                             const GroupTable *table);

/** Grants one free slot; false if none is free or there is no demand. */
bool SlotArbiter_GrantFreeSlot(SlotArbiter *arbiter, int64_t mono_ms,
                               SlotArbiter_Grant *grant);

/** Removes a grant that its entry declined, and that entry's demand. */
void SlotArbiter_OnDecline(SlotArbiter *arbiter, uint64_t id);

/** Removes expired grants and their entries' demand; returns how many. */
uint32_t SlotArbiter_ExpireGrants(SlotArbiter *arbiter, int64_t mono_ms);

#endif

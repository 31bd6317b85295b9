/**
 * @file arbiter.h
 * @brief Divides a companion's slots among entries and groups.
 *
 * A free slot for which no demand is known may be taken by any entry. Entries
 * that found no free slot register their demand here, by group. Each slot
 * that becomes free is then granted to the group with the least virtual time,
 * at one of the entries with demand of that group, drawn at random in
 * proportion to their waiting tasks. A grant expires unless used in time.
 */
#ifndef LC_CORE_ARBITER_H
#define LC_CORE_ARBITER_H

#include <glib.h>

#include "core/table.h"
#include "core/view.h"

/** A slot reserved for an entry. */
typedef struct {
    uint64_t id;
    lc_node entry;
    char group[NODE_MAX_GROUP + 1];
    int64_t expires_ms;
} Arbiter_Grant;

/** Opaque arbiter. */
typedef struct Arbiter Arbiter;

/** @p grant_ms: time after which an unused grant expires. */
Arbiter *Arbiter_New(uint32_t slots, int64_t grant_ms, uint64_t seed);
void Arbiter_Free(Arbiter *arbiter);

/** Slots that are neither busy nor granted. */
uint32_t Arbiter_FreeSlots(const Arbiter *arbiter);

uint32_t Arbiter_Slots(const Arbiter *arbiter);

/** Replaces an entry's demand; @p count 0 means no change. */
void Arbiter_SetDemand(Arbiter *arbiter, const lc_node *entry,
                       const lc_demand *rows, uint32_t count);

/** Removes the demand and grants of entries that are not in the view. */
void Arbiter_OnView(Arbiter *arbiter, const View *view);

/** Takes a slot, granted or free; false if there is none. */
bool Arbiter_Take(Arbiter *arbiter, const lc_node *entry, uint64_t grant,
                  const char *group, const Table *table);

/** Frees the slot of a task that ended after @p slot_ms. */
void Arbiter_Release(Arbiter *arbiter, const char *group, int64_t slot_ms,
                     const Table *table);

/** Frees the slot of a task that did not start and cancels its charge. */
void Arbiter_Return(Arbiter *arbiter, const char *group, const Table *table);

/** Grants one free slot; false if none is free or there is no demand. */
bool Arbiter_Offer(Arbiter *arbiter, int64_t mono_ms, Arbiter_Grant *grant);

/** Removes a grant that its entry declined, and that entry's demand. */
void Arbiter_Decline(Arbiter *arbiter, uint64_t id);

/** Removes expired grants and their entries' demand; returns how many. */
uint32_t Arbiter_Lapse(Arbiter *arbiter, int64_t mono_ms);

#endif

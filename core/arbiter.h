/**
 * @file arbiter.h
 * @brief Shares a companion's slots between entries and groups.
 *
 * A free slot that nobody waits for is open to any entry. Entries that found
 * none free leave their demand here, by group; each slot that becomes free
 * is then granted to the group with the least virtual time, at one of the
 * entries that wait for it, by lot in proportion to what they have waiting.
 * A grant lapses when it is not used in time.
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
    int64_t lapses_ms;
} Arbiter_Grant;

/** Opaque arbiter. */
typedef struct Arbiter Arbiter;

/** @p grant_ms: how long a grant may stay unused. */
Arbiter *Arbiter_New(uint32_t slots, int64_t grant_ms, uint64_t seed);
void Arbiter_Free(Arbiter *arbiter);

/** Slots that are neither busy nor granted. */
uint32_t Arbiter_FreeSlots(const Arbiter *arbiter);

uint32_t Arbiter_Slots(const Arbiter *arbiter);

/** Replaces what an entry has waiting; no rows mean no change. */
void Arbiter_SetDemand(Arbiter *arbiter, const lc_node *entry,
                       const lc_demand *rows, uint32_t count);

/** Forgets the demand and grants of entries that left the view. */
void Arbiter_OnView(Arbiter *arbiter, const View *view);

/** Takes a slot, on a grant or a free one; false if there is none. */
bool Arbiter_Take(Arbiter *arbiter, const lc_node *entry, uint64_t grant,
                  const char *group, const Table *table);

/** A task of the group ended after @p slot_ms; its slot is free. */
void Arbiter_Release(Arbiter *arbiter, const char *group, int64_t slot_ms,
                     const Table *table);

/** A task did not start; its slot is free. */
void Arbiter_Return(Arbiter *arbiter, const char *group, const Table *table);

/** Grants one free slot; false if none is free or nobody waits. */
bool Arbiter_Offer(Arbiter *arbiter, int64_t mono_ms, Arbiter_Grant *grant);

/** A grant came back unused: its entry has nothing waiting for it. */
void Arbiter_Decline(Arbiter *arbiter, uint64_t id);

/** Drops grants that were not used in time; returns how many. */
uint32_t Arbiter_Lapse(Arbiter *arbiter, int64_t mono_ms);

#endif

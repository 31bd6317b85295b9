/**
 * @file dead_incarnations.h
 * @brief List of an upstream's incarnations that have certainly ended, so that
 * delayed messages of them are ignored.
 *
 * An incarnation is an instance name and a start time, because an upstream may
 * restart under the same name. The last 64 are kept: at one crash each 1.4 s,
 * the highest rate that the user documentation names, these are the
 * incarnations of the last 90 s. A heartbeat that was delayed for longer is
 * checked against what the upstream itself answers.
 */
#ifndef LC_LEASE_DEAD_INCARNATIONS_H
#define LC_LEASE_DEAD_INCARNATIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define DEAD_INCARNATIONS_MAX 64

/** Ended incarnations, the latest first. */
typedef struct {
    GQueue incarnations;
} DeadIncarnations;

void DeadIncarnations_Init(DeadIncarnations *list);
void DeadIncarnations_Clear(DeadIncarnations *list);

/** Adds an incarnation that has ended; an empty name is ignored. @p born_ms is
 * its start time in ms, 0 for an upstream that reports none: then no
 * other incarnation of that name is known. */
void DeadIncarnations_Add(DeadIncarnations *list, const char *instance,
                          int64_t born_ms);

/** Whether an incarnation is known to have ended. */
bool DeadIncarnations_Contains(const DeadIncarnations *list,
                               const char *instance, int64_t born_ms);

#endif

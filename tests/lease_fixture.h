/**
 * @file lease_fixture.h
 * @brief Lease times, a queue and an event port shared by the fixtures of
 * leased jobs.
 */
#ifndef LC_TESTS_LEASE_FIXTURE_H
#define LC_TESTS_LEASE_FIXTURE_H

#include <jansson.h>

#include "base/event.h"
#include "lease/lease_timing.h"
#include "lease/route_table.h"

/** Lease times derived from the bounds of the users' platform. */
LeaseTiming LeaseFix_Timing(void);

/** Adds the queue used by the fixtures, with two attempts per task. */
Route *LeaseFix_AddRoute(Route_Table *routes);

/** An event port that discards events. */
void LeaseFix_DropEvent(void *context, Event_Id id, json_t *fields);

#endif

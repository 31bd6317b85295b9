/**
 * @file lease_fixture.h
 * @brief What the fixtures of leased jobs share: terms and silent events.
 */
#ifndef LC_TESTS_LEASE_FIXTURE_H
#define LC_TESTS_LEASE_FIXTURE_H

#include <jansson.h>

#include "base/event.h"
#include "lease/route.h"
#include "lease/term.h"

/** Terms by the bounds of the users' platform. */
Term LeaseFix_Term(void);

/** Adds the queue of the fixtures, two attempts a task. */
Route *LeaseFix_AddRoute(Route_Table *routes);

/** A port for events that drops them. */
void LeaseFix_DropEvent(void *context, Event_Id id, json_t *fields);

#endif

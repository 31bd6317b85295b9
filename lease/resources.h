/**
 * @file resources.h
 * @brief What a task needs and an upstream has: processor in thousandths of
 * a core, memory in MiB, accelerators. Values, owning nothing.
 */
#ifndef LC_LEASE_RESOURCES_H
#define LC_LEASE_RESOURCES_H

#include <stdbool.h>

#include "wire/msg.h"

/** Whether @p need fits into @p room. */
bool Resources_Fit(const lc_resources *need, const lc_resources *room);

/** Adds @p more to @p sum. */
void Resources_Add(lc_resources *sum, const lc_resources *more);

/** Takes @p less away from @p sum; no part goes below zero. */
void Resources_Take(lc_resources *sum, const lc_resources *less);

/** Whether all parts are zero. */
bool Resources_IsNone(const lc_resources *resources);

/** How often @p need fits into @p room; UINT32_MAX if nothing is needed. */
uint32_t Resources_Count(const lc_resources *need, const lc_resources *room);

#endif

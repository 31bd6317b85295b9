/**
 * @file resources.h
 * @brief Arithmetic on resource vectors: processor in thousandths of a core,
 * memory in MiB, accelerators. Plain values that own nothing.
 */
#ifndef LC_LEASE_RESOURCES_H
#define LC_LEASE_RESOURCES_H

#include <stdbool.h>

#include "wire/msg.h"

/** Whether @p need fits into @p room. */
bool Resources_Fit(const lc_resources *need, const lc_resources *room);

/** Adds @p more to @p sum. */
void Resources_Add(lc_resources *sum, const lc_resources *more);

/** Subtracts @p less from @p sum; no component goes below zero. */
void Resources_Subtract(lc_resources *sum, const lc_resources *less);

/** Whether all components are zero. */
bool Resources_IsZero(const lc_resources *resources);

/** How many times @p need fits into @p room; UINT32_MAX if @p need is zero. */
uint32_t Resources_CountFits(const lc_resources *need,
                             const lc_resources *room);

#endif

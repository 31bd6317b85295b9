/**
 * @file reserve.h
 * @brief Room kept free for jobs of the first priority (trunk reservation):
 * a job of a lower priority begins only while more than a few of its tasks
 * would still fit, so that the next job of the first priority need not wait
 * for room.
 *
 * The first priority is the smallest number among the jobs that came lately;
 * how much is kept follows from how wide those jobs are. Times are
 * monotonic, in ms.
 */
#ifndef LC_LEASE_RESERVE_H
#define LC_LEASE_RESERVE_H

#include <stdbool.h>
#include <stdint.h>

#include "lease/fleet.h"

/** What jobs of the first priority are like. A plain value. */
typedef struct {
    int32_t priority;
    int64_t seen_ms;    /**< when the last of them came; 0 for never */
    uint32_t width_x16; /**< moving mean of their tasks, times 16 */
} Reserve;

/** A job came. */
void Reserve_Note(Reserve *reserve, int64_t now_ms, int32_t priority,
                  uint32_t tasks);

/** Tasks that are kept room for, as far as there is enough. */
uint32_t Reserve_Tasks(const Reserve *reserve, int64_t now_ms);

/** Whether a job that has not begun may begin, as far as the reserve goes. */
bool Reserve_Allows(const Reserve *reserve, const Fleet *fleet, int64_t now_ms,
                    int32_t priority, const lc_resources *need);

#endif

/**
 * @file priority_reserve.h
 * @brief Capacity reserved for jobs of the highest priority (trunk
 * reservation): a job of a lower priority is started only while the companions
 * have room for more than a reserved number of its tasks, so that the next job
 * of the highest priority need not wait for room.
 *
 * The highest priority is the smallest number among recent jobs; the size of
 * the reserve follows the mean task count of those jobs. Times are monotonic,
 * in ms.
 */
#ifndef LC_LEASE_PRIORITY_RESERVE_H
#define LC_LEASE_PRIORITY_RESERVE_H

#include <stdbool.h>
#include <stdint.h>

#include "lease/fleet.h"

/** Recent jobs of the highest priority. A plain value. */
typedef struct {
    int32_t priority;
    int64_t seen_ms;         /**< when the last of them arrived; 0 for never */
    uint32_t mean_tasks_x16; /**< moving average of their tasks, times 16 */
} Reserve;

/** Records the arrival of a job. */
void Reserve_RecordJob(Reserve *reserve, int64_t now_ms, int32_t priority,
                       uint32_t tasks);

/** Number of tasks for which room is reserved, before the limit by the total
 * capacity. */
uint32_t Reserve_TaskCount(const Reserve *reserve, int64_t now_ms);

/** Whether the reserve allows a job to start that has not started yet; @p need
 * is that of one of its tasks. */
bool Reserve_Allows(const Reserve *reserve, const Fleet *fleet, int64_t now_ms,
                    int32_t priority, const lc_resources *need);

#endif

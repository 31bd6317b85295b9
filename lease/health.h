/**
 * @file health.h
 * @brief Health of an upstream, derived by its companion from the results and
 * the progress of tasks: its pace, and whether it is on trial, that is, gets
 * only one task at a time until some have succeeded again.
 *
 * Estimates of single jobs may be wrong by a factor of several, so progress
 * changes the pace only if different jobs agree.
 */
#ifndef LC_LEASE_HEALTH_H
#define LC_LEASE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/** Pace of an upstream whose tasks take exactly as long as estimated. */
#define HEALTH_PACE_PERCENT 100

/** While on trial, a task keeps others from starting for this long at most, in
 * ms: one that lasts would keep them off for good. A long-running task that is
 * at work for as long counts as a success. */
#define HEALTH_TRIAL_TASK_MS 1000

/** Health of one upstream. A plain value; owns no memory. */
typedef struct {
    uint32_t pace_percent; /**< moving mean of run time over estimate */
    uint32_t consecutive_failures; /**< of different jobs; and stalls */
    uint64_t last_failed_job;
    uint32_t consecutive_successes; /**< while on trial */
    bool trial;
    int64_t next_trial_ms; /**< while on trial, no task starts before */
    int64_t decayed_ms;    /**< when the pace last decayed */
} Health;

/** Progress of one run. */
typedef struct {
    uint64_t job;
    uint32_t elapsed_ms;
    uint32_t percent;
    uint32_t estimate_ms;
} Health_Progress;

Health Health_New(void);

/** Records that a task succeeded after @p ran_ms. Returns whether this ends
 * the trial. */
bool Health_RecordSuccess(Health *health, uint32_t ran_ms,
                          uint32_t estimate_ms);

/** Records that a task of @p job failed. Returns whether this begins a trial.
 */
bool Health_RecordFailure(Health *health, int64_t now_ms, uint64_t job);

/** Records that a task made no progress. Returns whether this begins a trial.
 */
bool Health_RecordStall(Health *health, int64_t now_ms);

/** Whether one more task may start beside @p recent others, which were started
 * within HEALTH_TRIAL_TASK_MS and have not ended. */
bool Health_Admits(const Health *health, int64_t now_ms, uint32_t recent);

/** Records the start of a task; while on trial, delays the next one. */
void Health_RecordStart(Health *health, int64_t now_ms);

/** Updates the pace from the progress of all @p runs, which it reorders.
 * Returns the pace in percent of the estimate if different jobs agree that the
 * upstream is slow, or 0. */
uint32_t Health_ApplyProgress(Health *health, Health_Progress *runs,
                              uint32_t count);

/** Moves the pace towards HEALTH_PACE_PERCENT as time passes. */
void Health_Decay(Health *health, int64_t now_ms);

/** Whether a run without progress for @p unchanged_ms hangs. */
bool Health_IsHung(int64_t unchanged_ms, uint32_t estimate_ms);

/** Whether a run on an upstream whose pace is @p slow_percent would end sooner
 * if it was restarted on an upstream of normal pace. */
bool Health_IsFasterElsewhere(const Health_Progress *run,
                              uint32_t slow_percent);

#endif

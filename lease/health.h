/**
 * @file health.h
 * @brief What a companion thinks of its upstream from how tasks end: well,
 * or on trial with one task at a time until some end well again.
 */
#ifndef LC_LEASE_HEALTH_H
#define LC_LEASE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/** Pace of an upstream that takes just as long as estimated. */
#define HEALTH_PACE_PERCENT 100

/** Judgement of one upstream. A plain value. */
typedef struct {
    uint32_t pace_percent; /**< moving mean of time over estimate */
    uint32_t bad_in_row;   /**< ends of different jobs */
    uint64_t last_bad_job;
    uint32_t good_in_row; /**< while on trial */
    bool trial;
    int64_t next_trial_ms; /**< no task before, while on trial */
} Health;

Health Health_New(void);

/** A task ended well after @p ran_ms. Returns whether the trial ended. */
bool Health_Good(Health *health, uint32_t ran_ms, uint32_t estimate_ms);

/** A task of @p job failed. Returns whether a trial began. */
bool Health_Bad(Health *health, int64_t now_ms, uint64_t job);

/** A task made no progress. Returns whether a trial began. */
bool Health_Stalled(Health *health, int64_t now_ms);

/** Whether one more task may start beside @p running others. */
bool Health_Admits(const Health *health, int64_t now_ms, uint32_t running);

/** Notes a start; spaces the trials. */
void Health_Started(Health *health, int64_t now_ms);

/** Whether a run is so far behind its estimate that it should be stopped. */
bool Health_IsStalled(const Health *health, uint32_t elapsed_ms,
                      uint32_t percent, uint32_t estimate_ms);

#endif

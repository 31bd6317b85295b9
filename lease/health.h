/**
 * @file health.h
 * @brief What a companion thinks of its upstream from how tasks end and how
 * they progress: its pace, and whether it is on trial, with one task at a
 * time until some end well again.
 *
 * Estimates of single jobs may be wrong several times over, so that pace is
 * judged only where different jobs agree.
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
    int64_t faded_ms;      /**< when the pace was last moved to normal */
} Health;

/** Progress of one run. */
typedef struct {
    uint64_t job;
    uint32_t elapsed_ms;
    uint32_t percent;
    uint32_t estimate_ms;
} Health_Progress;

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

/** Takes the progress of all that runs into the pace. Returns how many times
 * slower than estimated the upstream is, in percent, if jobs agree that it is
 * slow, or 0. */
uint32_t Health_TakeProgress(Health *health, Health_Progress *runs,
                             uint32_t count);

/** Moves the pace towards normal as time passes without evidence. */
void Health_Fade(Health *health, int64_t now_ms);

/** Whether a run without progress for so long hangs. */
bool Health_Hangs(int64_t unchanged_ms, uint32_t estimate_ms);

/** Whether a run would end sooner if it began again elsewhere, on an upstream
 * that is @p slow_percent slower than others. */
bool Health_BetterElsewhere(const Health_Progress *run, uint32_t slow_percent);

#endif

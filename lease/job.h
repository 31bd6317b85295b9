/**
 * @file job.h
 * @brief A job as its caller describes it: steps of tasks with the resources
 * they need. Parsed by the callers' interface and immutable from then on.
 */
#ifndef LC_LEASE_JOB_H
#define LC_LEASE_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "wire/msg.h"

/** Most tasks of one job over all its occurrences: a bit for each is recorded.
 */
#define LEASED_JOB_MAX_RECORDED_ENDS (8 * LC_MAX_TASKS)
/** Most tasks of one job: the largest size that job developers have named. */
#define LEASED_JOB_MAX_TASKS 1500
/** Most steps of one job. */
#define LEASED_JOB_MAX_STEPS 64

/** A step: tasks with the same description. */
typedef struct {
    uint32_t count;
    lc_resources need;
    uint32_t estimate_ms;
    uint64_t depends_on; /**< bit i: step i must end before this one starts */
    uint32_t most_together;        /**< on one upstream; 0 for no limit */
    char requirement[LC_MAX_NAME]; /**< required upstream label, or "" */
    char affinity[LC_MAX_NAME]; /**< label of upstreams near its data, or "" */
    bool gang;                  /**< its tasks must run at the same time */
    bool long_running; /**< its tasks are restarted however they end */
    bool fills;        /**< its tasks use capacity that others leave idle */
} LeasedJob_Step;

/** A job. Owned by its parser until a dispatcher takes it over. */
typedef struct {
    uint64_t id;
    char *spec;            /**< passed to the upstream unchanged */
    bool needs_durability; /**< must survive the loss of all processes */
    uint32_t repeat_count; /**< number of scheduled occurrences; 0: runs once,
                                immediately */
    int64_t start_at_ms;   /**< wall clock, of the first occurrence */
    int64_t interval_ms;   /**< between occurrences */
    uint32_t step_count;
    LeasedJob_Step *steps;
} LeasedJob;

/** Frees what @p job owns. */
void LeasedJob_Clear(LeasedJob *job);

/** Number of tasks of all steps in one occurrence. */
uint32_t LeasedJob_TaskCount(const LeasedJob *job);

/** Number of occurrences; 1 for a job that is not scheduled. */
uint32_t LeasedJob_OccurrenceCount(const LeasedJob *job);

/** Start time of an occurrence, in ms of the wall clock; INT64_MIN for a job
 * that is not scheduled. */
int64_t LeasedJob_DueMs(const LeasedJob *job, uint32_t occurrence);

/** Number of a run's task among those of all occurrences and steps. */
uint32_t LeasedJob_TaskNumber(const LeasedJob *job, const lc_run_id *id);

/** The same number for recording the end of a run; UINT32_MAX for a
 * long-running task, as it is restarted in any case. */
uint32_t LeasedJob_RecordedEndNumber(const LeasedJob *job,
                                     const lc_run_id *id);

/** Length of the critical path by the steps' estimates, in ms. */
uint32_t LeasedJob_CriticalPathMs(const LeasedJob *job);

/** Checks whether this kind of job is supported. Errors: UNSUPPORTED with the
 * feature that is not. */
Err_Kind LeasedJob_CheckSupported(const LeasedJob *job, Status *status);

#endif

/**
 * @file job.h
 * @brief A job as its caller describes it: steps of tasks with the
 * resources they need. Parsed by the caller's interface, then never changed.
 */
#ifndef LC_LEASE_JOB_H
#define LC_LEASE_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "wire/msg.h"

/** Most tasks of one job, times its times: a bit for each is written down. */
#define LEASED_JOB_MAX_TIMED (8 * LC_MAX_TASKS)
/** Most tasks of one job, as in the developers' sizes. */
#define LEASED_JOB_MAX_TASKS 1500
/** Most steps of one job. */
#define LEASED_JOB_MAX_STEPS 64

/** Tasks that are alike. */
typedef struct {
    uint32_t count;
    lc_resources need;
    uint32_t estimate_ms;
    uint64_t depends_on;    /**< bit i: step i ends before this one starts */
    uint32_t most_together; /**< on one upstream; 0 for any number */
    char requirement[LC_MAX_NAME]; /**< label of its upstream, or "" */
    char affinity[LC_MAX_NAME];    /**< label where its data lies, or "" */
    bool gang;
    bool long_running; /**< its tasks are started again however they end */
    bool fills;        /**< its tasks take what others leave unused */
} LeasedJob_Step;

/** A job. Owned by whoever parsed it until a dispatcher takes it. */
typedef struct {
    uint64_t id;
    char *spec;         /**< handed to the upstream as it is */
    bool needs_keeping; /**< the caller expects it to survive all processes */
    uint32_t repeat_count; /**< it runs so often at times of its own; 0: once
                                and at once */
    int64_t start_at_ms;   /**< wall clock, of the first time */
    int64_t interval_ms;   /**< between times */
    uint32_t step_count;
    LeasedJob_Step *steps;
} LeasedJob;

/** Frees what @p job owns. */
void LeasedJob_Clear(LeasedJob *job);

/** Tasks of all steps, of one time. */
uint32_t LeasedJob_Tasks(const LeasedJob *job);

/** How often the steps run: 1 for a job without times. */
uint32_t LeasedJob_Times(const LeasedJob *job);

/** When a time falls due, on the wall clock; INT64_MIN for a job without
 * times. */
int64_t LeasedJob_DueMs(const LeasedJob *job, uint32_t occurrence);

/** Number of a run's task among those of all times and steps. */
uint32_t LeasedJob_TaskNumber(const LeasedJob *job, const lc_run_id *id);

/** The same of a run's end that is to be written down; UINT32_MAX for a task
 * that lasts, as it is started again in any case. */
uint32_t LeasedJob_EndNumber(const LeasedJob *job, const lc_run_id *id);

/** Longest chain of estimates in ms. */
uint32_t LeasedJob_ChainMs(const LeasedJob *job);

/** Whether this kind of job is served. Errors: UNSUPPORTED with the part
 * that is not. */
Err_Kind LeasedJob_Check(const LeasedJob *job, Status *status);

#endif

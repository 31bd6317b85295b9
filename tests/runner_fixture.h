/**
 * @file runner_fixture.h
 * @brief One runner with fake ports that record the last call of each kind,
 * for tests of single rules.
 */
#ifndef LC_TESTS_RUNNER_FIXTURE_H
#define LC_TESTS_RUNNER_FIXTURE_H

#include "base/address.h"
#include "lease/runner.h"

/** Monotonic time at the start of a test, in ms. */
#define START_MS 10000
/** The upstream's clock at START_MS, in ms. */
#define CLOCK_MS 500000

/** Node of the runner. */
#define RUNNER_FIX_COMPANION                                                  \
    {                                                                         \
        0x7f0000011b63, 900                                                   \
    }

/** Node of the entry that makes the calls. */
#define RUNNER_FIX_ENTRY                                                      \
    {                                                                         \
        0x7f0000011b59, 100                                                   \
    }

/** Longest time from sending an unanswered start to its execution, in ms. */
#define RUNNER_FIX_LATE_MS 5000

/** Hall of the runner. */
#define RUNNER_FIX_HALL "own"

/** A runner, the state of its fake upstream, and the last calls of its ports.
 */
typedef struct {
    Runner *runner;
    int64_t now_ms;
    uint64_t heartbeats;  /* sequence number of the last heartbeat */
    int64_t born_ms;      /* start time that the upstream reports */
    int64_t clock_ms;     /* the upstream's clock at START_MS */
    u_int cpu_milli;      /* the upstream's capacity */
    u_int crashes;        /* sent with RUN calls */
    u_int estimate_ms;    /* likewise; 0 for a long-running task */
    lc_node owner;        /* makes the RUN and HALT calls */
    int64_t caller_as_of; /* closures_as_of of RUN calls */
    int starts;
    int stops;
    int polls;
    uint64_t start_id;
    Runner_Start start;
    uint64_t poll_id;
    Runner_Poll poll;
    uint64_t stop_id;
    lc_run_id stopped;
    int replies;
    u_int held_runs;         /* in the last reply to FENCE */
    lc_held_run held;        /* the first of them */
    u_int late_starts;       /* in the last reply to FENCE */
    lc_late_start late;      /* the first of them */
    u_int late_start_ms;     /* in the last reply to RUN */
    bool starts_told;        /* in the last reply to RENEW */
    u_int unsettled;         /* in the last reply to RENEW */
    lc_run_id unsettled_run; /* the first of them */
    lc_run_status status;
    u_int ran_ms;                         /* in the last reply to RUN */
    int logged_starts;                    /* LC533 */
    char logged_owner[ADDRESS_TEXT_SIZE]; /* in the last of them */
    int logged_run;                       /* likewise */
} runner_fixture;

/** Creates a runner that has received no heartbeat. */
void RunnerFix_New(runner_fixture *fix);

/** Creates a runner whose upstream has room for many tasks, reports the start
 * time @p born_ms (0: none), and is found empty. */
void RunnerFix_NewBorn(runner_fixture *fix, int64_t born_ms);

/** Creates a runner whose upstream is known, empty and inventoried. */
void RunnerFix_NewReady(runner_fixture *fix);

/** Sends the next heartbeat of the upstream. */
void RunnerFix_Heartbeat(runner_fixture *fix,
                         Runner_ReportedState reported_state);

/** Sends a heartbeat of the given instance with the given sequence number. */
void RunnerFix_HeartbeatOf(runner_fixture *fix, const char *instance,
                           uint64_t sequence,
                           Runner_ReportedState reported_state);

/** Answers the last poll as another incarnation. */
void RunnerFix_AnswerPollOther(runner_fixture *fix);

/** Answers the last poll with these running and ended runs. */
void RunnerFix_AnswerPoll(runner_fixture *fix, const Runner_ActiveRun *running,
                          uint32_t count, const Runner_EndedRun *ended,
                          uint32_t ended_count);

/** Returns the identity of a run. */
lc_run_id RunnerFix_Run(uint64_t job, uint32_t run);

/** Calls RUN as the entry, valid for @p valid_ms from now. */
void RunnerFix_CallRun(runner_fixture *fix, uint64_t job, uint32_t run,
                       uint32_t cpu, int64_t valid_ms);

/** Calls RUN with LC_HOLD_NONE, which queries a run without starting it. */
void RunnerFix_QueryRun(runner_fixture *fix, uint64_t job, uint32_t run);

/** Starts a task of job 1 that the upstream has taken; then resets the
 * recorded replies. */
void RunnerFix_BeginTask(runner_fixture *fix);

/** Answers the last poll with one running task, of @p job. */
void RunnerFix_AnswerRunning(runner_fixture *fix, uint64_t job);

/** Calls RUN for a task of @p job and returns whether it is started at once.
 */
bool RunnerFix_TakesTask(runner_fixture *fix, uint64_t job);

/** Calls RENEW as the entry, for @p valid_ms from now. */
void RunnerFix_Renew(runner_fixture *fix, int64_t valid_ms);

/** Calls HALT as the entry. */
void RunnerFix_CallHalt(runner_fixture *fix, uint64_t job, uint32_t run);

/** Calls RELEASE as the entry for the end of a durable job's run. */
void RunnerFix_Release(runner_fixture *fix, const lc_run_id *run);

/** Calls FENCE as another entry that has claimed the durable jobs of the
 * entry, which is gone. */
void RunnerFix_FenceEntry(runner_fixture *fix);

/** The same with another owner. */
void RunnerFix_Fence(runner_fixture *fix, const lc_node *owner);

#endif

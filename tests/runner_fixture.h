/**
 * @file runner_fixture.h
 * @brief One runner behind fake ports that note the last call of each kind,
 * for tests of single rules.
 */
#ifndef LC_TESTS_RUNNER_FIXTURE_H
#define LC_TESTS_RUNNER_FIXTURE_H

#include "lease/runner.h"

/** Monotonic time at the start of a test, in ms. */
#define START_MS 10000
/** The upstream's clock then. */
#define CLOCK_MS 500000

/** Node of the runner. */
#define RUNNER_FIX_COMPANION                                                  \
    {                                                                         \
        0x7f0000011b63, 900                                                   \
    }

/** Node of the entry that calls. */
#define RUNNER_FIX_ENTRY                                                      \
    {                                                                         \
        0x7f0000011b59, 100                                                   \
    }

/** Longest time from sending an unanswered start to its execution. */
#define RUNNER_FIX_LATE_MS 5000

/** Hall of the runner. */
#define RUNNER_FIX_HALL "own"

/** A runner and what it did last. */
typedef struct {
    Runner *runner;
    int64_t now_ms;
    uint64_t beats;       /* number of the last heartbeat */
    int64_t born_ms;      /* what the upstream tells of its start */
    int64_t clock_ms;     /* the upstream's clock at START_MS */
    u_int cpu_milli;      /* its capacity */
    u_int crashes;        /* told with calls for runs */
    int64_t caller_as_of; /* records of operators that the entry has read */
    int starts;
    int stops;
    int polls;
    uint64_t start_id;
    Runner_Start start;
    uint64_t look_id;
    Runner_Look look;
    uint64_t stop_id;
    lc_run_id stopped;
    int replies;
    u_int held_runs; /* told by the last FENCE */
    lc_run_status status;
} runner_fixture;

/** A runner that knows nothing of its upstream. */
void RunnerFix_New(runner_fixture *fix);

/** A runner whose upstream is known and runs nothing. */
void RunnerFix_NewReady(runner_fixture *fix);

/** The upstream says that it is there. */
void RunnerFix_Beat(runner_fixture *fix, Runner_ReportedState says);

/** A heartbeat of any incarnation, of that number. */
void RunnerFix_BeatOf(runner_fixture *fix, const char *instance,
                      uint64_t sequence, Runner_ReportedState says);

/** The last look is answered by another incarnation. */
void RunnerFix_AnswerPollOther(runner_fixture *fix);

/** The last look is answered with these lists. */
void RunnerFix_AnswerLook(runner_fixture *fix, const Runner_Row *running,
                          uint32_t count, const Runner_EndRow *ended,
                          uint32_t ended_count);

/** Identity of a run. */
lc_run_id RunnerFix_Run(uint64_t job, uint32_t run);

/** The entry calls for a run, held for @p valid_ms from now. */
void RunnerFix_CallRun(runner_fixture *fix, uint64_t job, uint32_t run,
                       uint32_t cpu, int64_t valid_ms);

/** Calls RUN with LC_HOLD_NONE, which asks for a run without starting it. */
void RunnerFix_QueryRun(runner_fixture *fix, uint64_t job, uint32_t run);

/** The upstream runs a task of job 1; nothing has been told of it. */
void RunnerFix_BeginTask(runner_fixture *fix);

/** The last look is answered with a task of that job that runs. */
void RunnerFix_AnswerRunning(runner_fixture *fix, uint64_t job);

/** Whether a task that the entry calls for is started at once. */
bool RunnerFix_TakesTask(runner_fixture *fix, uint64_t job);

/** The entry calls for the stop of a run. */
void RunnerFix_CallHalt(runner_fixture *fix, uint64_t job, uint32_t run);

/** The entry releases the end of a kept job's run. */
void RunnerFix_Release(runner_fixture *fix, const lc_run_id *run);

/** The entry that calls is gone, another has taken its kept jobs over. */
void RunnerFix_FenceEntry(runner_fixture *fix);

#endif

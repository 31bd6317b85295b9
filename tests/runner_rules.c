/*
 * Single rules of a companion's decisions: one runner, driven through its
 * public functions with fake ports. Covers cases that random schedules reach
 * too rarely.
 */

#include <glib.h>

#include "lease/run_id.h"
#include "tests/lease_fixture.h"
#include "tests/runner_fixture.h"
#include "tests/test_table.h"

static void
test_expired_run(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, -1);
    g_assert_cmpint(fix.status, ==, LC_RUN_EXPIRED);
    g_assert_cmpint(fix.starts, ==, 0);
    Runner_Free(fix.runner);
}

static void
test_lease_expires(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 100);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    fix.now_ms += 99;
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.stops, ==, 0);
    fix.now_ms += 1;
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.stops, ==, 1);
    Runner_Free(fix.runner);
}

static void
test_hold_within_lease(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 100);
    g_assert_cmpint(fix.start.deadline_ms, <=, CLOCK_MS + 100);
    g_assert_cmpint(fix.poll.deadline_ms, <=, CLOCK_MS + 100);
    g_assert_cmpint(fix.poll.deadline_ms, >, CLOCK_MS);
    Runner_Free(fix.runner);
}

static void
test_no_room(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 3000, 500);
    RunnerFix_CallRun(&fix, 2, 1, 1500, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    g_assert_cmpint(fix.starts, ==, 1);
    Runner_Free(fix.runner);
}

static void
test_halt_before_run(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallHalt(&fix, 1, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_STOPPED);
    fix.now_ms += 300;
    Runner_Tick(fix.runner, fix.now_ms);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_STOPPED);
    g_assert_cmpint(fix.starts, ==, 0);
    Runner_Free(fix.runner);
}

static void
test_same_run_twice(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    g_assert_cmpint(fix.starts, ==, 1);
    Runner_Free(fix.runner);
}

/* Sends another copy of the RUN that was refused; the next run starts. */
static void
check_copy_stays_refused(runner_fixture *fix, lc_run_status status)
{
    RunnerFix_CallRun(fix, 1, 1, 1000, 500);
    g_assert_cmpint(fix->starts, ==, 0);
    g_assert_cmpint(fix->status, ==, status);
    RunnerFix_CallRun(fix, 1, 2, 1000, 500);
    g_assert_cmpint(fix->starts, ==, 1);
}

/* The entry counts the run as never started, and may tell its caller so. */
static void
test_run_before_the_inventory_stays_refused(void)
{
    runner_fixture fix;

    RunnerFix_New(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_NOT_READY);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    check_copy_stays_refused(&fix, LC_RUN_NOT_READY);
    Runner_Free(fix.runner);
}

static void
merge_closures(runner_fixture *fix, int64_t as_of, u_int halls)
{
    lc_hall hall = (char *)(uintptr_t)RUNNER_FIX_HALL;
    lc_closures closures = {.as_of = as_of};

    closures.halls.halls_len = halls;
    closures.halls.halls_val = &hall;
    Runner_MergeClosures(fix->runner, fix->now_ms, fix->now_ms, &closures,
                         "test");
}

static void
test_run_in_a_closed_hall_stays_refused(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    merge_closures(&fix, 3, 1);
    fix.caller_as_of = 2;
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_CLOSED);
    merge_closures(&fix, 4, 0);
    check_copy_stays_refused(&fix, LC_RUN_CLOSED);
    Runner_Free(fix.runner);
}

/* A copy that was held up is valid for a lease at most, from a time before the
 * refusal, or before the HALT. */
static void
test_refusal_outlives_the_copies(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    runner_fixture fix;
    int64_t until_ms;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 5000, timing.lease_ms);
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    RunnerFix_CallHalt(&fix, 2, 1);
    until_ms = fix.now_ms + timing.lease_ms;
    while (fix.now_ms < until_ms) {
        fix.now_ms += MIN(timing.tick_ms, until_ms - fix.now_ms);
        Runner_Tick(fix.runner, fix.now_ms);
        RunnerFix_CallRun(&fix, 1, 1, 1000, until_ms - fix.now_ms);
        RunnerFix_CallRun(&fix, 2, 1, 1000, until_ms - fix.now_ms);
        g_assert_cmpint(fix.starts, ==, 0);
    }
    RunnerFix_CallRun(&fix, 3, 1, 1000, timing.lease_ms);
    g_assert_cmpint(fix.starts, ==, 1);
    Runner_Free(fix.runner);
}

/* Advances the time with ticks and heartbeats. */
static void
advance(runner_fixture *fix, int64_t ms)
{
    int64_t until_ms = fix->now_ms + ms;

    while (fix->now_ms < until_ms) {
        fix->now_ms += MIN(50, until_ms - fix->now_ms);
        RunnerFix_Heartbeat(fix, RUNNER_UPSTREAM_READY);
        Runner_Tick(fix->runner, fix->now_ms);
    }
}

/* Runs are numbered from 1 under each submission of a job. The second RUN
 * below is answered from the record that an earlier submission left; its entry
 * then tries elsewhere, while the first copy, over a broken connection, may
 * still arrive within the lease. */
static void
test_refusal_from_an_old_record_outlives_the_copies(void)
{
    static const struct {
        const char *name;
        lc_run_status status;
    } cases[] = {
        {"an earlier submission was refused", LC_RUN_NO_ROOM},
        {"an earlier submission was halted", LC_RUN_STOPPED},
    };
    LeaseTiming timing = LeaseFix_Timing();
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(cases); i++) {
        runner_fixture fix;
        int64_t valid_until_ms;

        RunnerFix_NewReady(&fix);
        g_test_message("%s", cases[i].name);
        if (cases[i].status == LC_RUN_NO_ROOM) {
            RunnerFix_CallRun(&fix, 1, 1, 5000, 500);
        }
        else {
            RunnerFix_CallHalt(&fix, 1, 1);
        }
        g_assert_cmpint(fix.status, ==, cases[i].status);
        advance(&fix, 3800);
        fix.owner.incarnation++;
        valid_until_ms = fix.now_ms + timing.lease_ms;
        RunnerFix_CallRun(&fix, 1, 1, 1000, timing.lease_ms);
        g_assert_cmpint(fix.starts, ==, 0);
        g_assert_cmpint(fix.status, ==, cases[i].status);
        advance(&fix, 300);
        RunnerFix_CallRun(&fix, 1, 1, 1000, valid_until_ms - fix.now_ms);
        g_assert_cmpint(fix.starts, ==, 0);
        Runner_Free(fix.runner);
    }
}

/* A RUN call that was refused must not be executed when a copy of it arrives
 * later, over a delayed connection: the entry may have sent the task
 * elsewhere. */
static void
test_refused_run_stays_refused(void)
{
    static const struct {
        const char *name;
        lc_run_status status;
    } cases[] = {
        {"no room", LC_RUN_NO_ROOM},
        {"expired", LC_RUN_EXPIRED},
        {"draining", LC_RUN_DRAINING},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(cases); i++) {
        bool expired = cases[i].status == LC_RUN_EXPIRED;
        bool full = cases[i].status == LC_RUN_NO_ROOM;
        runner_fixture fix;
        RunnerFix_NewReady(&fix);
        g_test_message("%s", cases[i].name);
        if (cases[i].status == LC_RUN_DRAINING) {
            RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_DRAINING);
        }
        RunnerFix_CallRun(&fix, 1, 1, full ? 5000 : 1000, expired ? -1 : 500);
        g_assert_cmpint(fix.status, ==, cases[i].status);
        RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
        RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
        g_assert_cmpint(fix.starts, ==, 0);
        g_assert_cmpint(fix.status, ==, cases[i].status);
        RunnerFix_CallRun(&fix, 1, 2, 1000, 500);
        g_assert_cmpint(fix.starts, ==, 1);
        Runner_Free(fix.runner);
    }
}

static void
test_inventory_first(void)
{
    runner_fixture fix;
    Runner_ActiveRun unknown_run = {RunnerFix_Run(9, 4), 10};

    RunnerFix_New(&fix);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, &unknown_run, 1, NULL, 0);
    g_assert_cmpint(fix.stops, ==, 1);
    g_assert_cmpuint(fix.stopped.job, ==, 9);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_NOT_READY);
    fix.now_ms += 60;
    Runner_Tick(fix.runner, fix.now_ms);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    /* After a refusal, an entry uses a new run number. */
    RunnerFix_CallRun(&fix, 1, 2, 1000, 500);
    g_assert_cmpint(fix.starts, ==, 1);
    Runner_Free(fix.runner);
}

/* The companion's previous process may have started the run, which must not be
 * started twice under the same number. */
static void
test_queried_run_is_not_started(void)
{
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1);
    Runner_EndedRun ended = {5, run, RUNNER_END_DONE};
    runner_fixture fix;

    RunnerFix_New(&fix);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    RunnerFix_QueryRun(&fix, 1, run.run);
    RunnerFix_QueryRun(&fix, 2, run.run);
    g_assert_cmpint(fix.replies, ==, 2);
    g_assert_cmpint(fix.status, ==, LC_RUN_NOT_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    RunnerFix_QueryRun(&fix, 1, run.run);
    g_assert_cmpint(fix.status, ==, LC_RUN_DONE);
    RunnerFix_QueryRun(&fix, 2, run.run);
    g_assert_cmpint(fix.status, ==, LC_RUN_EXPIRED);
    g_assert_cmpint(fix.starts, ==, 0);
    Runner_Free(fix.runner);
}

static void
test_draining(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_DRAINING);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_DRAINING);
    Runner_Free(fix.runner);
}

static void
test_ends_are_acknowledged(void)
{
    runner_fixture fix;
    Runner_EndedRun ended = {5, RunnerFix_Run(1, 1), RUNNER_END_DONE};

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    fix.now_ms += 50;
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_DONE);
    g_assert_cmpuint(fix.poll.last_seen, ==, 5);
    g_assert_false(Runner_IsIdle(fix.runner));
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_true(Runner_IsIdle(fix.runner));
    Runner_Free(fix.runner);
}

static void
test_durable_ends_are_held(void)
{
    runner_fixture fix;
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1);
    Runner_EndedRun ended = {5, run, RUNNER_END_DONE};

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, run.run, 1000, 500);
    fix.now_ms += 50;
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_DONE);
    g_assert_cmpuint(fix.poll.last_seen, ==, 4);
    RunnerFix_Release(&fix, &run);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_cmpuint(fix.poll.last_seen, ==, 5);
    Runner_Free(fix.runner);
}

/* Guards against more attempts than a task has: a run may fail while it is
 * being stopped, and that counts, whoever wanted the stop. */
static void
test_failure_while_stopping_counts(void)
{
    runner_fixture fix;
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1);
    Runner_EndedRun ended = {5, run, RUNNER_END_FAILED};

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, run.run, 1000, 500);
    RunnerFix_CallHalt(&fix, 1, run.run);
    g_assert_cmpint(fix.stops, ==, 1);
    fix.now_ms += 20;
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_FAILED);
    g_assert_cmpuint(fix.poll.last_seen, ==, 4);
    RunnerFix_Release(&fix, &run);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_cmpuint(fix.poll.last_seen, ==, 5);
    Runner_Free(fix.runner);
}

/* The store may be away for long, and an end that nobody has recorded is known
 * to its companion alone. */
static void
test_unreleased_end_is_kept(void)
{
    runner_fixture fix;
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1);
    Runner_EndedRun ended = {5, run, RUNNER_END_DONE};
    int second;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, run.run, 1000, 500);
    fix.now_ms += 50;
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    for (second = 0; second < 60; second++) {
        fix.now_ms += 1000;
        RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
        Runner_Tick(fix.runner, fix.now_ms);
        RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
        g_assert_cmpuint(fix.poll.last_seen, <, 5);
    }
    RunnerFix_Release(&fix, &run);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_cmpuint(fix.poll.last_seen, ==, 5);
    Runner_Free(fix.runner);
}

/* Lists @p count ends of as many durable jobs, which nobody releases. */
static void
list_held_ends(runner_fixture *fix, Runner_EndedRun *ended, uint32_t count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        ended[i].number = i + 1;
        ended[i].id = RunnerFix_Run(1000 + i, RUN_ID_DURABLE_BASE + 1);
        ended[i].end = RUNNER_END_DONE;
    }
    RunnerFix_New(fix);
    RunnerFix_Heartbeat(fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(fix, NULL, 0, ended, count);
}

/* Guards against ends that were given up after 30 s although they might stand
 * nowhere else: their tasks were started again. */
static void
test_held_ends_are_never_given_up(void)
{
    runner_fixture fix;
    Runner_EndedRun ended[RUNNER_MAX_HELD_ENDS];

    list_held_ends(&fix, ended, RUNNER_MAX_HELD_ENDS);
    fix.now_ms += 60000;
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    Runner_Tick(fix.runner, fix.now_ms);
    RunnerFix_AnswerPoll(&fix, NULL, 0, ended, RUNNER_MAX_HELD_ENDS);
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpuint(fix.poll.last_seen, ==, 0);
    RunnerFix_CallRun(&fix, 1, RUN_ID_DURABLE_BASE + 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    /* Other jobs are run. */
    RunnerFix_CallRun(&fix, 2, 1, 1000, 500);
    g_assert_cmpint(fix.starts, ==, 1);
    RunnerFix_Release(&fix, &ended[0].id);
    RunnerFix_CallRun(&fix, 3, RUN_ID_DURABLE_BASE + 1, 1000, 500);
    g_assert_cmpint(fix.starts, ==, 2);
    RunnerFix_FenceEntry(&fix);
    g_assert_cmpuint(fix.held_runs, ==, RUNNER_MAX_HELD_ENDS);
    Runner_Free(fix.runner);
}

/* Starts a run of a durable job and lists @p count ends from number 5 on, the
 * first of which is of that run. */
static lc_run_id
list_end_and_newer(runner_fixture *fix, Runner_EndedRun *ended, uint32_t count)
{
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1);
    uint32_t i;

    RunnerFix_NewReady(fix);
    RunnerFix_CallRun(fix, 1, run.run, 1000, 500);
    for (i = 0; i < RUNNER_MAX_LISTED_ENDS; i++) {
        ended[i].number = 5 + i;
        ended[i].id = i == 0 ? run : RunnerFix_Run(1000 + i, 1);
        ended[i].end = RUNNER_END_DONE;
    }
    fix->now_ms += 50;
    RunnerFix_AnswerPoll(fix, NULL, 0, ended, count);
    return run;
}

/* Advances the time and lets the runner poll. */
static void
poll_after(runner_fixture *fix, int64_t ms)
{
    fix->now_ms += ms;
    Runner_Tick(fix->runner, fix->now_ms);
}

/* Guards against an end that was acknowledged before it was recorded, as many
 * newer ones were listed: it was lost with all processes, and its task started
 * again. */
static void
test_unreleased_end_is_not_acknowledged(void)
{
    runner_fixture fix;
    Runner_EndedRun ended[RUNNER_MAX_LISTED_ENDS];
    uint32_t i;

    list_end_and_newer(&fix, ended, RUNNER_MAX_HELD_ENDS);
    poll_after(&fix, 50);
    g_assert_cmpuint(fix.poll.last_seen, ==, 4);
    for (i = 0; i < 4; i++) {
        RunnerFix_AnswerPoll(&fix, NULL, 0, ended, RUNNER_MAX_LISTED_ENDS);
        poll_after(&fix, 100);
        g_assert_cmpuint(fix.poll.last_seen, <=, 4);
    }
    RunnerFix_FenceEntry(&fix);
    g_assert_cmpuint(fix.held_runs, ==, 1);
    g_assert_cmpint(fix.held.status, ==, LC_RUN_DONE);
    Runner_Free(fix.runner);
}

/* Guards against runs whose ends are not listed, as an end that is held keeps
 * the newer ones listed: they would count as running for good. */
static void
test_full_list_takes_no_runs(void)
{
    const uint32_t full = RUNNER_MAX_LISTED_ENDS - RUNNER_LIST_MARGIN;
    runner_fixture fix;
    Runner_EndedRun ended[RUNNER_MAX_LISTED_ENDS];
    lc_run_id run = list_end_and_newer(&fix, ended, RUNNER_MAX_HELD_ENDS);

    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    poll_after(&fix, 50);
    RunnerFix_AnswerPoll(&fix, NULL, 0, ended, full);
    poll_after(&fix, 100);
    g_assert_false(RunnerFix_TakesTask(&fix, 3));
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    RunnerFix_AnswerPoll(&fix, NULL, 0, ended, full);
    /* Once the end is released, all are acknowledged and runs are started. */
    RunnerFix_Release(&fix, &run);
    poll_after(&fix, 100);
    g_assert_cmpuint(fix.poll.last_seen, ==, 4 + full);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 4));
    Runner_Free(fix.runner);
}

/* If an upstream has more ends than it lists in one answer, the end of a run
 * may be missing, so an unlisted run must not be taken as lost. */
static void
test_full_listing(void)
{
    runner_fixture fix;
    Runner_EndedRun ended[RUNNER_MAX_LISTED_ENDS];
    uint32_t i;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, RUN_ID_DURABLE_BASE + 1, 1000, 5000);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_ACCEPTED, 0);
    for (i = 0; i < RUNNER_MAX_LISTED_ENDS; i++) {
        ended[i].number = i + 1;
        ended[i].id = RunnerFix_Run(1000 + i, RUN_ID_DURABLE_BASE + 1);
        ended[i].end = RUNNER_END_DONE;
    }
    fix.now_ms += 10;
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    fix.replies = 0;
    fix.now_ms += 10;
    RunnerFix_AnswerPoll(&fix, NULL, 0, ended, RUNNER_MAX_LISTED_ENDS);
    g_assert_cmpint(fix.replies, ==, 0);
    RunnerFix_CallRun(&fix, 2, RUN_ID_DURABLE_BASE + 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    Runner_Free(fix.runner);
}

static void
test_fenced_owner(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_FenceEntry(&fix);
    RunnerFix_CallRun(&fix, 1, RUN_ID_DURABLE_BASE + 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_EXPIRED);
    g_assert_cmpint(fix.starts, ==, 0);
    Runner_Free(fix.runner);
}

/* Guards against a fenced owner that is forgotten while it may still give
 * orders, as many others are fenced within seconds. */
static void
test_many_fenced_owners(void)
{
    runner_fixture fix;
    lc_node other = {0x7f0000011b5a, 1};

    RunnerFix_NewReady(&fix);
    RunnerFix_FenceEntry(&fix);
    for (; other.incarnation <= 200; other.incarnation++) {
        fix.now_ms += 1;
        RunnerFix_Fence(&fix, &other);
    }
    RunnerFix_CallRun(&fix, 1, RUN_ID_DURABLE_BASE + 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_EXPIRED);
    g_assert_cmpint(fix.starts, ==, 0);
    Runner_Free(fix.runner);
}

/* A run in progress is transferred to the successor and bound to its lease. */
static void
test_fence_hands_over(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, RUN_ID_DURABLE_BASE + 1, 1000, 100);
    RunnerFix_FenceEntry(&fix);
    g_assert_cmpuint(fix.held_runs, ==, 1);
    fix.now_ms += LEASE_TIMING_DURABLE_GRACE_MS + 300;
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.stops, ==, 0);
    fix.now_ms += 400;
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.stops, ==, 1);
    Runner_Free(fix.runner);
}

/* Guards against a second start of a task at work here: the answer that told
 * its successor of it is lost, and the successor asks again. */
static void
test_transferred_run_is_told_again(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, RUN_ID_DURABLE_BASE + 1, 1000, 100);
    RunnerFix_FenceEntry(&fix);
    g_assert_cmpuint(fix.held_runs, ==, 1);
    fix.held_runs = 0;
    RunnerFix_FenceEntry(&fix);
    g_assert_cmpuint(fix.held_runs, ==, 1);
    Runner_Free(fix.runner);
}

/* Guards against a second start of a task whose end is held here of an owner
 * that its successor does not name any more. */
static void
test_held_end_of_earlier_owner_is_told(void)
{
    const Runner_EndedRun ended = {
        1, RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1), RUNNER_END_DONE};
    lc_node other = {0x7f0000011b5a, 1};
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, RUN_ID_DURABLE_BASE + 1, 1000, 1000);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    RunnerFix_Fence(&fix, &other);
    g_assert_cmpuint(fix.held_runs, ==, 0);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    RunnerFix_Fence(&fix, &other);
    g_assert_cmpuint(fix.held_runs, ==, 1);
    g_assert_cmpuint(fix.held.id.job, ==, 1);
    Runner_Free(fix.runner);
}

static lc_upstream_state
reported_state(const runner_fixture *fix)
{
    lc_host_state state;

    Runner_State(fix->runner, fix->now_ms, &state);
    return state.state;
}

/* Lets the time pass while the upstream lists these runs, whose owner keeps
 * them. */
static void
advance_running(runner_fixture *fix, int64_t ms,
                const Runner_ActiveRun *running, uint32_t count)
{
    int64_t until_ms = fix->now_ms + ms;

    while (fix->now_ms < until_ms) {
        fix->now_ms += 50;
        RunnerFix_Heartbeat(fix, RUNNER_UPSTREAM_READY);
        RunnerFix_Renew(fix, 500);
        Runner_Tick(fix->runner, fix->now_ms);
        RunnerFix_AnswerPoll(fix, running, count, NULL, 0);
    }
}

/* Tasks of three jobs fail, which puts the upstream on trial. */
static void
begin_trial(runner_fixture *fix, const Runner_ActiveRun *running,
            uint32_t count)
{
    uint64_t job;

    for (job = 1; job <= 3; job++) {
        Runner_EndedRun ended = {job, RunnerFix_Run(job, 1),
                                 RUNNER_END_FAILED};
        RunnerFix_CallRun(fix, job, 1, 1000, 500);
        fix->now_ms += 10;
        RunnerFix_AnswerPoll(fix, running, count, &ended, 1);
    }
    g_assert_cmpint(reported_state(fix), ==, LC_UPSTREAM_TRIAL);
}

static void
test_trial_admits_one(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    begin_trial(&fix, NULL, 0);
    fix.now_ms += 300;
    RunnerFix_CallRun(&fix, 10, 1, 1000, 500);
    RunnerFix_CallRun(&fix, 11, 1, 1000, 500);
    g_assert_cmpint(fix.starts, ==, 4);
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    Runner_Free(fix.runner);
}

/* Guards against a trial that never ends, because it waited for a task that
 * lasts. */
static void
test_trial_beside_task_that_lasts(void)
{
    Runner_ActiveRun lasting = {RunnerFix_Run(9, 1), 100};
    runner_fixture fix;
    uint64_t job;

    RunnerFix_NewReady(&fix);
    fix.estimate_ms = 0;
    RunnerFix_CallRun(&fix, 9, 1, 1000, 500);
    fix.estimate_ms = 100;
    advance_running(&fix, 2000, &lasting, 1);
    begin_trial(&fix, &lasting, 1);
    advance_running(&fix, 300, &lasting, 1);
    for (job = 11; job <= 12; job++) {
        Runner_EndedRun ended = {job, RunnerFix_Run(job, 1), RUNNER_END_DONE};
        g_assert_true(RunnerFix_TakesTask(&fix, job));
        fix.now_ms += 10;
        RunnerFix_AnswerPoll(&fix, &lasting, 1, &ended, 1);
    }
    g_assert_cmpint(reported_state(&fix), ==, LC_UPSTREAM_READY);
    Runner_Free(fix.runner);
}

/* Guards against a trial that never ends, because a task that lasts was
 * started as a trial. */
static void
test_trial_of_tasks_that_last(void)
{
    Runner_ActiveRun lasting[] = {{RunnerFix_Run(11, 1), 100},
                                  {RunnerFix_Run(12, 1), 100}};
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    begin_trial(&fix, NULL, 0);
    advance_running(&fix, 300, NULL, 0);
    fix.estimate_ms = 0;
    g_assert_true(RunnerFix_TakesTask(&fix, 11));
    advance_running(&fix, 500, lasting, 1);
    g_assert_false(RunnerFix_TakesTask(&fix, 20));
    advance_running(&fix, 700, lasting, 1);
    g_assert_true(RunnerFix_TakesTask(&fix, 12));
    g_assert_cmpint(reported_state(&fix), ==, LC_UPSTREAM_TRIAL);
    advance_running(&fix, 1200, lasting, 2);
    g_assert_cmpint(reported_state(&fix), ==, LC_UPSTREAM_READY);
    Runner_Free(fix.runner);
}

/* A task that is listed but not at work tells nothing of its upstream, and
 * must not keep others from starting either. */
static void
test_trial_task_without_progress(void)
{
    Runner_ActiveRun stuck[] = {{RunnerFix_Run(11, 1), 0},
                                {RunnerFix_Run(12, 1), 0}};
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    begin_trial(&fix, NULL, 0);
    advance_running(&fix, 300, NULL, 0);
    fix.estimate_ms = 0;
    g_assert_true(RunnerFix_TakesTask(&fix, 11));
    advance_running(&fix, 1200, stuck, 1);
    g_assert_true(RunnerFix_TakesTask(&fix, 12));
    advance_running(&fix, 1200, stuck, 2);
    g_assert_cmpint(reported_state(&fix), ==, LC_UPSTREAM_TRIAL);
    g_assert_true(RunnerFix_TakesTask(&fix, 13));
    Runner_Free(fix.runner);
}

/* Guards against a trial after failures of tasks that had been at work for
 * long, as long-running tasks may fail at any time. */
static void
test_failures_of_tasks_that_lasted(void)
{
    Runner_ActiveRun lasting[] = {{RunnerFix_Run(11, 1), 100},
                                  {RunnerFix_Run(12, 1), 100},
                                  {RunnerFix_Run(13, 1), 100}};
    Runner_EndedRun ended[] = {{1, RunnerFix_Run(11, 1), RUNNER_END_FAILED},
                               {2, RunnerFix_Run(12, 1), RUNNER_END_FAILED},
                               {3, RunnerFix_Run(13, 1), RUNNER_END_FAILED}};
    runner_fixture fix;
    uint64_t job;

    RunnerFix_NewReady(&fix);
    fix.estimate_ms = 0;
    for (job = 11; job <= 13; job++) {
        g_assert_true(RunnerFix_TakesTask(&fix, job));
    }
    advance_running(&fix, 1500, lasting, 3);
    RunnerFix_AnswerPoll(&fix, NULL, 0, ended, 3);
    g_assert_cmpint(reported_state(&fix), ==, LC_UPSTREAM_READY);
    Runner_Free(fix.runner);
}

/* Guards against tasks that wait for good because another that an upstream
 * crashed under lasts. */
static void
test_crash_suspect_that_lasts(void)
{
    Runner_ActiveRun lasting = {RunnerFix_Run(11, 1), 100};
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    fix.estimate_ms = 0;
    fix.crashes = 1;
    g_assert_true(RunnerFix_TakesTask(&fix, 11));
    advance_running(&fix, 2500, &lasting, 1);
    g_assert_false(RunnerFix_TakesTask(&fix, 12));
    advance_running(&fix, 1000, &lasting, 1);
    g_assert_true(RunnerFix_TakesTask(&fix, 13));
    g_assert_false(RunnerFix_TakesTask(&fix, 14));
    Runner_Free(fix.runner);
}

static void
test_other_incarnation(void)
{
    runner_fixture fix;
    Runner_PollAnswer other = {.end = RUNNER_ORDER_OTHER_INCARNATION};

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    Runner_OnPollAnswer(fix.runner, fix.now_ms, fix.poll_id, &other);
    g_assert_cmpint(fix.status, ==, LC_RUN_CRASHED);
    Runner_Free(fix.runner);
}

/* The entries are told at once that an upstream without runs, which refused a
 * connection, can be used again: a report is due when the version rises. */
static void
test_end_of_suspicion_is_reported(void)
{
    runner_fixture fix;
    lc_host_state state;
    uint64_t version;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id, RUNNER_ORDER_UNSENT,
                     0);
    Runner_State(fix.runner, fix.now_ms, &state);
    g_assert_cmpint(state.state, ==, LC_UPSTREAM_ABSENT);
    g_assert_cmpuint(state.tasks, ==, 0);
    version = Runner_Version(fix.runner);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    Runner_State(fix.runner, fix.now_ms, &state);
    g_assert_cmpint(state.state, ==, LC_UPSTREAM_READY);
    g_assert_cmpuint(Runner_Version(fix.runner), >, version);
    Runner_Free(fix.runner);
}

/* Which entry started a run where and when must be in the log, also of runs
 * that end well: two runs of one task cannot be traced otherwise. */
static void
test_start_is_logged(void)
{
    const lc_node entry = RUNNER_FIX_ENTRY;
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, RUN_ID_DURABLE_BASE + 1, 1000, 500);
    g_assert_cmpint(fix.logged_starts, ==, 1);
    g_assert_cmpint(fix.logged_run, ==, RUN_ID_DURABLE_BASE + 1);
    g_assert_cmpstr(fix.logged_owner, ==, Address_Text(entry.address));
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_UNANSWERED, 0);
    RunnerFix_CallRun(&fix, 2, 1, 1000, 500);
    g_assert_cmpint(fix.logged_starts, ==, 2);
    Runner_Free(fix.runner);
}

static const TestTable_Row rules[] = {
    {"/runner/logs the start of a run", test_start_is_logged},
    {"/runner/refuses an expired run", test_expired_run},
    {"/runner/stops the runs of a silent entry", test_lease_expires},
    {"/runner/holds the upstream no longer than the lease",
     test_hold_within_lease},
    {"/runner/starts only what fits", test_no_room},
    {"/runner/refuses a run that was stopped before it came",
     test_halt_before_run},
    {"/runner/starts a run once", test_same_run_twice},
    {"/runner/a refused run stays refused", test_refused_run_stays_refused},
    {"/runner/a run refused before the inventory stays refused",
     test_run_before_the_inventory_stays_refused},
    {"/runner/a run refused in a closed hall stays refused",
     test_run_in_a_closed_hall_stays_refused},
    {"/runner/a refusal and a halt outlive the copies of their run",
     test_refusal_outlives_the_copies},
    {"/runner/a refusal from an old record outlives the copies of its run",
     test_refusal_from_an_old_record_outlives_the_copies},
    {"/runner/stops unknown runs before the first start",
     test_inventory_first},
    {"/runner/does not start a run called with LC_HOLD_NONE",
     test_queried_run_is_not_started},
    {"/runner/starts nothing on a draining upstream", test_draining},
    {"/runner/acknowledges ends", test_ends_are_acknowledged},
    {"/runner/holds ends of durable jobs until they are released",
     test_durable_ends_are_held},
    {"/runner/a failure of a durable run that is being stopped counts",
     test_failure_while_stopping_counts},
    {"/runner/an end that is not released is not acknowledged",
     test_unreleased_end_is_kept},
    {"/runner/ends that are not released are never given up",
     test_held_ends_are_never_given_up},
    {"/runner/does not lose a run whose end may be unlisted",
     test_full_listing},
    {"/runner/refuses runs of a fenced owner", test_fenced_owner},
    {"/runner/keeps an owner fenced when many others are",
     test_many_fenced_owners},
    {"/runner/transfers runs to the successor", test_fence_hands_over},
    {"/runner/tells a transferred run again",
     test_transferred_run_is_told_again},
    {"/runner/tells any successor of a held end",
     test_held_end_of_earlier_owner_is_told},
    {"/runner/an end is not acknowledged before its release",
     test_unreleased_end_is_not_acknowledged},
    {"/runner/a full list of ends takes no runs",
     test_full_list_takes_no_runs},
    {"/runner/admits one task on trial", test_trial_admits_one},
    {"/runner/a trial does not wait for a task that lasts",
     test_trial_beside_task_that_lasts},
    {"/runner/tasks that last end a trial", test_trial_of_tasks_that_last},
    {"/runner/a crash suspect that lasts keeps others off for a while only",
     test_crash_suspect_that_lasts},
    {"/runner/a task without progress does not end a trial",
     test_trial_task_without_progress},
    {"/runner/tasks that lasted begin no trial as they fail",
     test_failures_of_tasks_that_lasted},
    {"/runner/loses runs to another incarnation", test_other_incarnation},
    {"/runner/reports the end of a suspicion",
     test_end_of_suspicion_is_reported},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

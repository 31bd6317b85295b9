/*
 * Rules of heartbeats that arrive late or out of order, and of upstream
 * incarnations that replace each other at one address.
 */

#include <glib.h>
#include <string.h>

#include "tests/runner_fixture.h"
#include "tests/test_table.h"

/* Creates a runner whose upstream i-1 runs a task of the entry. */
static void
new_with_task(runner_fixture *fix)
{
    RunnerFix_NewReady(fix);
    RunnerFix_BeginTask(fix);
}

/* Replaces the crashed i-1 by i-2, which the upstream's answer to a poll
 * confirms. */
static void
replace_incarnation(runner_fixture *fix)
{
    RunnerFix_HeartbeatOf(fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPollOther(fix);
    RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
}

static void
test_late_heartbeat_of_dead_incarnation(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    replace_incarnation(&fix);
    g_assert_true(RunnerFix_TakesTask(&fix, 1));
    g_assert_cmpstr(fix.start.instance, ==, "i-2");
    fix.replies = 0;
    RunnerFix_HeartbeatOf(&fix, "i-1", 99, RUNNER_UPSTREAM_READY);
    g_assert_cmpint(fix.replies, ==, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    g_assert_cmpstr(fix.start.instance, ==, "i-2");
    Runner_Free(fix.runner);
}

static void
test_new_incarnation_taken_at_once(void)
{
    runner_fixture fix;

    new_with_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    RunnerFix_HeartbeatOf(&fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPollOther(&fix);
    g_assert_cmpint(fix.status, ==, LC_RUN_CRASHED);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    g_assert_cmpstr(fix.start.instance, ==, "i-2");
    Runner_Free(fix.runner);
}

/* A companion that started after the death of i-0 does not know that i-0 is
 * dead, so the upstream's answer to a poll decides. */
static void
test_unknown_dead_incarnation(void)
{
    runner_fixture fix;

    new_with_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    RunnerFix_HeartbeatOf(&fix, "i-0", 50, RUNNER_UPSTREAM_READY);
    g_assert_cmpint(fix.replies, ==, 0);
    g_assert_cmpstr(fix.poll.instance, ==, "i-1");
    RunnerFix_AnswerRunning(&fix, 1);
    RunnerFix_AnswerRunning(&fix, 1);
    g_assert_cmpint(fix.replies, ==, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    g_assert_cmpstr(fix.start.instance, ==, "i-1");
    Runner_Free(fix.runner);
}

/* The first heartbeat of i-2 overtakes the last one of i-1. */
static void
test_first_heartbeat_before_last(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    replace_incarnation(&fix);
    RunnerFix_HeartbeatOf(&fix, "i-1", 2, RUNNER_UPSTREAM_DRAINING);
    RunnerFix_HeartbeatOf(&fix, "i-2", 2, RUNNER_UPSTREAM_READY);
    g_assert_true(RunnerFix_TakesTask(&fix, 1));
    g_assert_cmpstr(fix.start.instance, ==, "i-2");
    Runner_Free(fix.runner);
}

static void
test_late_ready_after_draining(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_HeartbeatOf(&fix, "i-1", 5, RUNNER_UPSTREAM_DRAINING);
    RunnerFix_HeartbeatOf(&fix, "i-1", 4, RUNNER_UPSTREAM_READY);
    g_assert_false(RunnerFix_TakesTask(&fix, 1));
    RunnerFix_HeartbeatOf(&fix, "i-1", 6, RUNNER_UPSTREAM_READY);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    Runner_Free(fix.runner);
}

static void
test_duplicate_sequence(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_HeartbeatOf(&fix, "i-1", 5, RUNNER_UPSTREAM_DRAINING);
    RunnerFix_HeartbeatOf(&fix, "i-1", 5, RUNNER_UPSTREAM_READY);
    g_assert_false(RunnerFix_TakesTask(&fix, 1));
    Runner_Free(fix.runner);
}

static void
test_left_incarnation_stays_gone(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    Runner_OnUpstreamExit(fix.runner, fix.now_ms, "i-1", 0);
    RunnerFix_HeartbeatOf(&fix, "i-1", 9, RUNNER_UPSTREAM_READY);
    g_assert_false(RunnerFix_TakesTask(&fix, 1));
    RunnerFix_HeartbeatOf(&fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    Runner_Free(fix.runner);
}

/* Until the answer to its announcement has reached it, or some seconds after,
 * an upstream that terminates goes on with its runs. */
static void
begin_departure(runner_fixture *fix)
{
    new_with_task(fix);
    RunnerFix_AnswerRunning(fix, 1);
    Runner_OnUpstreamExit(fix->runner, fix->now_ms, "i-1", 0);
    g_assert_cmpint(fix->replies, ==, 0);
    g_assert_false(RunnerFix_TakesTask(fix, 2));
    fix->replies = 0;
}

static void
test_departing_upstream_works_on(void)
{
    Runner_EndedRun ended = {1, RunnerFix_Run(1, 1), RUNNER_END_DONE};
    runner_fixture fix;

    begin_departure(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    g_assert_cmpint(fix.replies, ==, 0);
    g_assert_cmpint(fix.poll.deadline_ms, ==, 0);
    g_assert_false(RunnerFix_TakesTask(&fix, 3));
    g_assert_cmpint(fix.status, ==, LC_RUN_DRAINING);
    fix.replies = 0;
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_cmpint(fix.replies, ==, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_DONE);
    Runner_Free(fix.runner);
}

/* Its runs are over once the hold has expired, 600 ms later at most, although
 * their owner renews its lease. It is not polled any more then. */
static void
test_departed_upstream(void)
{
    Runner_PollAnswer none = {.end = RUNNER_ORDER_UNSENT};
    runner_fixture fix;
    int polls;

    begin_departure(&fix);
    RunnerFix_Renew(&fix, 2000);
    fix.replies = 0;
    Runner_OnPollAnswer(fix.runner, fix.now_ms, fix.poll_id, &none);
    fix.now_ms += 100;
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.replies, ==, 0);
    Runner_OnPollAnswer(fix.runner, fix.now_ms, fix.poll_id, &none);
    fix.now_ms += 700;
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.replies, ==, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_LOST);
    polls = fix.polls;
    Runner_OnPollAnswer(fix.runner, fix.now_ms, fix.poll_id, &none);
    fix.now_ms += 1000;
    Runner_Tick(fix.runner, fix.now_ms);
    Runner_CheckOverdue(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.polls, ==, polls);
    RunnerFix_HeartbeatOf(&fix, "i-1", 9, RUNNER_UPSTREAM_READY);
    g_assert_false(RunnerFix_TakesTask(&fix, 3));
    RunnerFix_HeartbeatOf(&fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 4));
    Runner_Free(fix.runner);
}

static void
test_departed_upstream_replaced(void)
{
    runner_fixture fix;

    begin_departure(&fix);
    RunnerFix_HeartbeatOf(&fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    g_assert_cmpint(fix.replies, ==, 0);
    RunnerFix_AnswerPollOther(&fix);
    g_assert_cmpint(fix.status, ==, LC_RUN_LOST);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 3));
    Runner_Free(fix.runner);
}

/* If the current incarnation does not answer, the second heartbeat of another
 * is enough to replace it. */
static void
test_current_incarnation_silent(void)
{
    Runner_PollAnswer none = {.end = RUNNER_ORDER_UNSENT};
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_HeartbeatOf(&fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    Runner_OnPollAnswer(fix.runner, fix.now_ms, fix.poll_id, &none);
    RunnerFix_HeartbeatOf(&fix, "i-2", 2, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 1));
    g_assert_cmpstr(fix.start.instance, ==, "i-2");
    Runner_Free(fix.runner);
}

/* Deadlines of orders are based on the clock of the incarnation that is alive,
 * not on that in a late answer of a dead one. */
static void
test_clock_of_dead_incarnation(void)
{
    static const Runner_OrderResult ends[] = {RUNNER_ORDER_ACCEPTED,
                                              RUNNER_ORDER_OTHER_INCARNATION,
                                              RUNNER_ORDER_EXPIRED};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(ends); i++) {
        runner_fixture fix;
        uint64_t order;
        RunnerFix_NewReady(&fix);
        RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
        order = fix.start_id;
        replace_incarnation(&fix);
        Runner_OnStarted(fix.runner, fix.now_ms, order, ends[i],
                         CLOCK_MS + 1000000);
        g_assert_true(RunnerFix_TakesTask(&fix, 2));
        g_assert_cmpint(fix.start.deadline_ms, <, CLOCK_MS + 10000);
        Runner_Free(fix.runner);
    }
}

/* The same if another incarnation answers the stop of a task. */
static void
test_clock_of_other_incarnation(void)
{
    runner_fixture fix;

    new_with_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    RunnerFix_CallHalt(&fix, 1, 1);
    Runner_OnStopped(fix.runner, fix.now_ms, fix.stop_id,
                     RUNNER_ORDER_OTHER_INCARNATION, CLOCK_MS + 1000000);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    g_assert_cmpint(fix.start.deadline_ms, <, CLOCK_MS + 10000);
    Runner_Free(fix.runner);
}

/* While it is unknown which incarnation is alive, the replaced one is not
 * marked as permanently gone. */
static void
test_wrong_incarnation_adopted(void)
{
    Runner_PollAnswer none = {.end = RUNNER_ORDER_UNSENT};
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_HeartbeatOf(&fix, "i-0", 49, RUNNER_UPSTREAM_READY);
    Runner_OnPollAnswer(fix.runner, fix.now_ms, fix.poll_id, &none);
    RunnerFix_HeartbeatOf(&fix, "i-0", 50, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPollOther(&fix);
    fix.now_ms += 1000;
    RunnerFix_HeartbeatOf(&fix, "i-1", 9, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    g_assert_cmpstr(fix.start.instance, ==, "i-1");
    Runner_Free(fix.runner);
}

static const TestTable_Row rules[] = {
    {"/heartbeats/late ones of a dead incarnation are ignored",
     test_late_heartbeat_of_dead_incarnation},
    {"/heartbeats/a new incarnation is adopted at once",
     test_new_incarnation_taken_at_once},
    {"/heartbeats/a poll decides on an unknown incarnation",
     test_unknown_dead_incarnation},
    {"/heartbeats/the first of one before the last of another",
     test_first_heartbeat_before_last},
    {"/heartbeats/ready that arrives after a later draining",
     test_late_ready_after_draining},
    {"/heartbeats/a sequence number counts once", test_duplicate_sequence},
    {"/heartbeats/an incarnation that left stays gone",
     test_left_incarnation_stays_gone},
    {"/heartbeats/an upstream that announces its end goes on with its runs",
     test_departing_upstream_works_on},
    {"/heartbeats/runs of an upstream that has left are lost after the hold",
     test_departed_upstream},
    {"/heartbeats/runs of an upstream that has left and was replaced are lost",
     test_departed_upstream_replaced},
    {"/heartbeats/an unresponsive incarnation is replaced",
     test_current_incarnation_silent},
    {"/heartbeats/the clock of a dead incarnation is ignored",
     test_clock_of_dead_incarnation},
    {"/heartbeats/the clock of another incarnation is ignored",
     test_clock_of_other_incarnation},
    {"/heartbeats/a wrongly adopted incarnation is replaced",
     test_wrong_incarnation_adopted},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

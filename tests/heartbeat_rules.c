/*
 * Rules of heartbeats that come late or out of order, and of incarnations that
 * take each other's place at one address.
 */

#include <glib.h>
#include <string.h>

#include "tests/rule_table.h"
#include "tests/runner_fixture.h"

/* The upstream i-1 runs a task of the entry. */
static void
new_with_task(runner_fixture *fix)
{
    RunnerFix_NewReady(fix);
    RunnerFix_BeginTask(fix);
}

/* i-1 has crashed and i-2 has taken its place, by the upstream's own word. */
static void
replace_incarnation(runner_fixture *fix)
{
    RunnerFix_BeatOf(fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPollOther(fix);
    RunnerFix_AnswerLook(fix, NULL, 0, NULL, 0);
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
    RunnerFix_BeatOf(&fix, "i-1", 99, RUNNER_UPSTREAM_READY);
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
    RunnerFix_BeatOf(&fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPollOther(&fix);
    g_assert_cmpint(fix.status, ==, LC_RUN_CRASHED);
    RunnerFix_AnswerLook(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    g_assert_cmpstr(fix.start.instance, ==, "i-2");
    Runner_Free(fix.runner);
}

/* A companion that has started since knows no dead ones: what the upstream
 * answers decides. */
static void
test_unknown_dead_incarnation(void)
{
    runner_fixture fix;

    new_with_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    RunnerFix_BeatOf(&fix, "i-0", 50, RUNNER_UPSTREAM_READY);
    g_assert_cmpint(fix.replies, ==, 0);
    g_assert_cmpstr(fix.look.instance, ==, "i-1");
    RunnerFix_AnswerRunning(&fix, 1);
    RunnerFix_AnswerRunning(&fix, 1);
    g_assert_cmpint(fix.replies, ==, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    g_assert_cmpstr(fix.start.instance, ==, "i-1");
    Runner_Free(fix.runner);
}

/* Its first heartbeat overtakes the last of the one before. */
static void
test_first_heartbeat_before_last(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    replace_incarnation(&fix);
    RunnerFix_BeatOf(&fix, "i-1", 2, RUNNER_UPSTREAM_DRAINING);
    RunnerFix_BeatOf(&fix, "i-2", 2, RUNNER_UPSTREAM_READY);
    g_assert_true(RunnerFix_TakesTask(&fix, 1));
    g_assert_cmpstr(fix.start.instance, ==, "i-2");
    Runner_Free(fix.runner);
}

static void
test_late_ready_after_draining(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_BeatOf(&fix, "i-1", 5, RUNNER_UPSTREAM_DRAINING);
    RunnerFix_BeatOf(&fix, "i-1", 4, RUNNER_UPSTREAM_READY);
    g_assert_false(RunnerFix_TakesTask(&fix, 1));
    RunnerFix_BeatOf(&fix, "i-1", 6, RUNNER_UPSTREAM_READY);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    Runner_Free(fix.runner);
}

static void
test_duplicate_sequence(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_BeatOf(&fix, "i-1", 5, RUNNER_UPSTREAM_DRAINING);
    RunnerFix_BeatOf(&fix, "i-1", 5, RUNNER_UPSTREAM_READY);
    g_assert_false(RunnerFix_TakesTask(&fix, 1));
    Runner_Free(fix.runner);
}

static void
test_left_incarnation_stays_gone(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    Runner_OnUpstreamGone(fix.runner, fix.now_ms, "i-1", 0);
    RunnerFix_BeatOf(&fix, "i-1", 9, RUNNER_UPSTREAM_READY);
    g_assert_false(RunnerFix_TakesTask(&fix, 1));
    RunnerFix_BeatOf(&fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerLook(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    Runner_Free(fix.runner);
}

/* The one in force answers nothing: the other's second heartbeat will do. */
static void
test_current_incarnation_silent(void)
{
    Runner_Listing none = {.end = RUNNER_ORDER_UNSENT};
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_BeatOf(&fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    Runner_OnLook(fix.runner, fix.now_ms, fix.look_id, &none);
    RunnerFix_BeatOf(&fix, "i-2", 2, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerLook(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 1));
    g_assert_cmpstr(fix.start.instance, ==, "i-2");
    Runner_Free(fix.runner);
}

/* What is ordered of the living one is reckoned by its own clock. */
static void
test_clock_of_dead_incarnation(void)
{
    static const Runner_OrderEnd ends[] = {
        RUNNER_ORDER_TAKEN, RUNNER_ORDER_OTHER, RUNNER_ORDER_LATE};
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

/* Likewise where another incarnation answers the stop of a task. */
static void
test_clock_of_other_incarnation(void)
{
    runner_fixture fix;

    new_with_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    RunnerFix_CallHalt(&fix, 1, 1);
    Runner_OnStopped(fix.runner, fix.now_ms, fix.stop_id, RUNNER_ORDER_OTHER,
                     CLOCK_MS + 1000000);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    g_assert_cmpint(fix.start.deadline_ms, <, CLOCK_MS + 10000);
    Runner_Free(fix.runner);
}

/* Nobody knows which lives: the one that is asked for is not given up for
 * good. */
static void
test_wrong_incarnation_adopted(void)
{
    Runner_Listing none = {.end = RUNNER_ORDER_UNSENT};
    runner_fixture fix;

    new_with_task(&fix);
    Runner_OnLook(fix.runner, fix.now_ms, fix.look_id, &none);
    RunnerFix_BeatOf(&fix, "i-0", 50, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPollOther(&fix);
    fix.now_ms += 1000;
    RunnerFix_BeatOf(&fix, "i-1", 9, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerLook(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    g_assert_cmpstr(fix.start.instance, ==, "i-1");
    Runner_Free(fix.runner);
}

static const RuleTable_Row rules[] = {
    {"/heartbeats/a dead incarnation is not believed again",
     test_late_heartbeat_of_dead_incarnation},
    {"/heartbeats/a new incarnation is taken at once",
     test_new_incarnation_taken_at_once},
    {"/heartbeats/the upstream decides on one never heard of",
     test_unknown_dead_incarnation},
    {"/heartbeats/the first of one before the last of another",
     test_first_heartbeat_before_last},
    {"/heartbeats/ready that comes after a later draining",
     test_late_ready_after_draining},
    {"/heartbeats/one number counts once", test_duplicate_sequence},
    {"/heartbeats/one that left stays gone", test_left_incarnation_stays_gone},
    {"/heartbeats/one that is silent gives way",
     test_current_incarnation_silent},
    {"/heartbeats/the clock of a dead one does not count",
     test_clock_of_dead_incarnation},
    {"/heartbeats/the clock of another does not count",
     test_clock_of_other_incarnation},
    {"/heartbeats/the wrong one taken gives way",
     test_wrong_incarnation_adopted},
};

int
main(int argc, char **argv)
{
    return RuleTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

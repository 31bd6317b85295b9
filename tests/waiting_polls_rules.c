/*
 * Rules of polls that are not sent: that wait for a connection while the hold
 * that they extend ends, or that cannot be delivered.
 */

#include <glib.h>

#include "tests/lease_fixture.h"
#include "tests/runner_fixture.h"
#include "tests/test_table.h"

#define STEP_MS 10
#define PLAY_MS 3000

static void
renew(runner_fixture *fix)
{
    lc_node companion = RUNNER_FIX_COMPANION;
    Msg_Call call = {.kind = MSG_RENEW};

    call.u.renew.owner = fix->owner;
    call.u.renew.target = companion.incarnation;
    call.u.renew.valid_until_ms = fix->now_ms + LeaseFix_Timing().lease_ms;
    Runner_OnCall(fix->runner, fix->now_ms, 3, &call);
}

/* Two polls wait for a connection. The first, which would extend the hold, is
 * not written by the end of the hold; the second must not be written after it
 * either. */
static void
test_waiting_polls_are_written_in_the_hold(void)
{
    runner_fixture fix;
    Runner_PollAnswer unwritten = {.end = RUNNER_ORDER_ABANDONED};
    uint64_t first_poll;
    int64_t send_by_ms;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 100, LeaseFix_Timing().lease_ms);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    RunnerFix_AnswerRunning(&fix, 1);
    fix.now_ms += 290;
    renew(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    first_poll = fix.poll_id;
    send_by_ms = fix.poll.send_by_ms;
    g_assert_cmpint(fix.poll.deadline_ms, >, 0);
    while (fix.poll_id == first_poll) {
        fix.now_ms += STEP_MS;
        Runner_CheckOverdue(fix.runner, fix.now_ms);
    }
    Runner_OnPollAnswer(fix.runner, send_by_ms + 1, first_poll, &unwritten);
    if (fix.poll.deadline_ms > 0) {
        g_assert_cmpint(fix.poll.send_by_ms, <=, send_by_ms);
    }
    Runner_Free(fix.runner);
}

/* Begins a run whose start and first poll were answered. */
static void
begin_run(runner_fixture *fix)
{
    RunnerFix_NewReady(fix);
    RunnerFix_CallRun(fix, 1, 1, 100, LeaseFix_Timing().lease_ms);
    Runner_OnStarted(fix->runner, fix->now_ms, fix->start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    RunnerFix_AnswerRunning(fix, 1);
    fix->replies = 0;
}

/* Advances the time until the next poll is sent, with a renewed lease. */
static void
await_next_poll(runner_fixture *fix)
{
    uint64_t poll_id = fix->poll_id;

    while (fix->poll_id == poll_id) {
        fix->now_ms += STEP_MS;
        renew(fix);
        Runner_CheckOverdue(fix->runner, fix->now_ms);
    }
}

/* Sends three polls, none of which is answered, and returns until when the
 * third may be written. The first one is told as written before the second is
 * sent, or after it; the second one waits. */
static int64_t
third_poll_limit(bool late, int64_t *first_limit_ms, int64_t *second_limit_ms)
{
    runner_fixture fix;
    uint64_t first_poll;
    int64_t limit_ms;

    begin_run(&fix);
    fix.now_ms += 100;
    renew(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    first_poll = fix.poll_id;
    *first_limit_ms = fix.poll.send_by_ms;
    if (!late) {
        Runner_OnPollWritten(fix.runner, first_poll);
    }
    await_next_poll(&fix);
    g_assert_cmpint(fix.poll.deadline_ms, >, 0);
    *second_limit_ms = fix.poll.send_by_ms;
    if (late) {
        Runner_OnPollWritten(fix.runner, first_poll);
    }
    await_next_poll(&fix);
    g_assert_cmpint(fix.poll.deadline_ms, >, 0);
    limit_ms = fix.poll.send_by_ms;
    Runner_Free(fix.runner);
    return limit_ms;
}

/* Guards against runs that end although their upstream is merely slow: a poll
 * that is written has extended the hold before it is answered. The one that
 * waits beside it has not. */
static void
test_written_poll_extends_the_hold(void)
{
    int64_t first_ms;
    int64_t second_ms;
    int64_t written_ms;

    written_ms = third_poll_limit(false, &first_ms, &second_ms);
    g_assert_cmpint(second_ms, >, first_ms);
    g_assert_cmpint(written_ms, ==, second_ms);
    g_assert_cmpint(third_poll_limit(true, &first_ms, &second_ms), ==,
                    written_ms);
    g_assert_cmpint(second_ms, ==, first_ms);
}

/* Advances the time by one step, in which not a byte of a poll is delivered,
 * as the upstream has crashed; its owner renews the lease. @p answered: the
 * last poll that has a result. */
static void
step_unsent(runner_fixture *fix, uint64_t *answered)
{
    Runner_PollAnswer unsent = {.end = RUNNER_ORDER_UNSENT};

    if ((fix->now_ms - START_MS) % 100 == 0) {
        renew(fix);
        fix->replies--; /* that to RENEW */
    }
    fix->now_ms += STEP_MS;
    Runner_CheckOverdue(fix->runner, fix->now_ms);
    Runner_Tick(fix->runner, fix->now_ms);
    if (fix->poll_id != *answered) {
        *answered = fix->poll_id;
        Runner_OnPollAnswer(fix->runner, fix->now_ms, fix->poll_id, &unsent);
    }
}

/* Polls that were not delivered have not extended the hold. No poll that
 * extends it may be written once the hold that was delivered has expired:
 * another incarnation may read it. */
static void
test_unsent_polls_extend_no_hold(void)
{
    runner_fixture fix;
    uint64_t answered = 0;
    int64_t certain_ms;

    begin_run(&fix);
    certain_ms = fix.now_ms + LeaseTiming_MaxHoldMs(LeaseFix_Timing().hold_ms);
    while (fix.now_ms < START_MS + PLAY_MS) {
        step_unsent(&fix, &answered);
        g_assert_true(fix.poll.deadline_ms == 0 ||
                      fix.poll.send_by_ms <= certain_ms);
    }
    Runner_Free(fix.runner);
}

/* The run at such an upstream is told as over after the hold that was
 * delivered, although its owner renews the lease. */
static void
test_run_ends_with_the_delivered_hold(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    runner_fixture fix;
    uint64_t answered = 0;
    int64_t certain_ms;

    begin_run(&fix);
    certain_ms = fix.now_ms + LeaseTiming_MaxHoldMs(timing.hold_ms);
    while (fix.replies == 0 && fix.now_ms < START_MS + PLAY_MS) {
        step_unsent(&fix, &answered);
    }
    g_assert_cmpint(fix.replies, ==, 1);
    g_assert_cmpint(fix.now_ms, <=, certain_ms + timing.stop_ms + 100);
    Runner_Free(fix.runner);
}

static const TestTable_Row tests[] = {
    {"/waiting_polls/unsent_polls_extend_no_hold",
     test_unsent_polls_extend_no_hold},
    {"/waiting_polls/run_ends_with_the_delivered_hold",
     test_run_ends_with_the_delivered_hold},
    {"/waiting_polls/written_in_the_hold",
     test_waiting_polls_are_written_in_the_hold},
    {"/waiting_polls/written_poll_extends_the_hold",
     test_written_poll_extends_the_hold},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, tests, G_N_ELEMENTS(tests));
}

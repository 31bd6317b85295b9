/*
 * Rules of polls that wait for a connection while the hold that they extend
 * ends.
 */

#include <glib.h>

#include "tests/lease_fixture.h"
#include "tests/runner_fixture.h"
#include "tests/test_table.h"

#define STEP_MS 10

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

static const TestTable_Row tests[] = {
    {"/waiting_polls/written_in_the_hold",
     test_waiting_polls_are_written_in_the_hold},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, tests, G_N_ELEMENTS(tests));
}

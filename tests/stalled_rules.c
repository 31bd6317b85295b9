/*
 * Rules of a companion whose process was stalled, while its upstream has
 * restarted under its name.
 */

#include <glib.h>

#include "lease/run_id.h"
#include "tests/lease_fixture.h"
#include "tests/runner_fixture.h"
#include "tests/test_table.h"

#define FIRST_BORN_MS 1700000000000
#define VALID_MS 500
/* Longer than lease and hold, so that the entry's caller may submit the job
 * elsewhere. */
#define STALL_MS 2273

/* Guards against two runs at once: the next incarnation, on whose clock the
 * deadline of the start means nothing, would execute a copy of it. */
static void
test_no_copy_after_the_deadline(void)
{
    runner_fixture fix;

    RunnerFix_New(&fix);
    fix.born_ms = FIRST_BORN_MS;
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    RunnerFix_CallRun(&fix, 1, 1, 1000, VALID_MS);
    g_assert_cmpint(fix.starts, ==, 1);
    fix.now_ms += STALL_MS;
    Runner_CheckOverdue(fix.runner, fix.now_ms);
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, ==, 1);
    Runner_Free(fix.runner);
}

static void
abandon_start(runner_fixture *fix)
{
    Runner_OnStarted(fix->runner, fix->now_ms, fix->start_id,
                     RUNNER_ORDER_ABANDONED, 0);
}

/* Guards against a start that waits for a connection, and is written after
 * its deadline: the deadline goes along to where it is written. */
static void
test_every_copy_carries_the_deadline(void)
{
    runner_fixture fix;
    int64_t until_ms;

    RunnerFix_NewReady(&fix);
    until_ms = fix.now_ms + VALID_MS;
    RunnerFix_CallRun(&fix, 1, 1, 1000, VALID_MS);
    g_assert_cmpint(fix.start.send_by_ms, ==, until_ms);
    fix.now_ms += VALID_MS / 2;
    Runner_CheckOverdue(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, ==, 2);
    g_assert_cmpint(fix.start.send_by_ms, ==, until_ms);
    Runner_Free(fix.runner);
}

/* A lease that lasts longer than the hold does not prolong the deadline. */
static void
test_deadline_is_within_the_hold(void)
{
    int64_t hold_ms = LeaseFix_Timing().hold_ms;
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 2 * hold_ms);
    g_assert_cmpint(fix.start.send_by_ms, ==, fix.now_ms + hold_ms);
    Runner_Free(fix.runner);
}

/* Nothing of the run was sent, so its owner may start it elsewhere at once. */
static void
test_abandoned_start_ends_the_run(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, VALID_MS);
    fix.replies = 0;
    abandon_start(&fix);
    g_assert_cmpint(fix.replies, ==, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_EXPIRED);
    g_assert_cmpint(fix.stops, ==, 0);
    Runner_Free(fix.runner);
}

/* The same while the run is being stopped: the entry is told what it asked
 * for. */
static void
test_abandoned_start_of_a_stopped_run(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, VALID_MS);
    RunnerFix_CallHalt(&fix, 1, 1);
    abandon_start(&fix);
    g_assert_cmpint(fix.status, ==, LC_RUN_STOPPED);
    Runner_Free(fix.runner);
}

/* No copy of such a start is unanswered, so that its durable task may be
 * retried anywhere. */
static void
test_abandoned_start_is_not_late(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, RUN_ID_DURABLE_BASE + 1, 1000, VALID_MS);
    abandon_start(&fix);
    g_assert_cmpint(fix.status, ==, LC_RUN_EXPIRED);
    g_assert_cmpuint(fix.late_start_ms, ==, 0);
    Runner_Free(fix.runner);
}

/* The upstream may execute the run by its first copy: it is neither stopped
 * nor told as over before a poll shows it. */
static void
test_abandoned_copy_leaves_the_run(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, VALID_MS);
    fix.now_ms += VALID_MS / 2;
    Runner_CheckOverdue(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, ==, 2);
    fix.replies = 0;
    abandon_start(&fix);
    g_assert_cmpint(fix.replies, ==, 0);
    g_assert_cmpint(fix.stops, ==, 0);
    fix.now_ms += STALL_MS;
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_cmpint(fix.replies, ==, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_LOST);
    Runner_Free(fix.runner);
}

/* An abandoned start tells nothing of the upstream. */
static void
test_abandoned_start_is_no_answer(void)
{
    lc_host_state state;
    runner_fixture fix;
    uint64_t job;

    RunnerFix_NewReady(&fix);
    for (job = 1; job <= 8; job++) {
        fix.now_ms += 10;
        RunnerFix_CallRun(&fix, job, 1, 100, VALID_MS);
        abandon_start(&fix);
    }
    Runner_State(fix.runner, fix.now_ms, &state);
    g_assert_cmpint(state.state, ==, LC_UPSTREAM_READY);
    Runner_Free(fix.runner);
}

static void
begin_durable_run(runner_fixture *fix)
{
    RunnerFix_NewReady(fix);
    RunnerFix_CallRun(fix, 1, RUN_ID_DURABLE_BASE + 1, 1000, VALID_MS);
    Runner_OnStarted(fix->runner, fix->now_ms, fix->start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    g_assert_cmpint(fix->poll.deadline_ms, >, 0);
}

/* Guards against a late start that the next incarnation executes and a poll
 * then holds on, as the poll's deadline means nothing on its clock. The lease
 * of a durable run lasts longer than the hold. */
static void
test_expired_hold_is_not_extended(void)
{
    runner_fixture fix;
    int polls;

    begin_durable_run(&fix);
    polls = fix.polls;
    fix.now_ms += STALL_MS;
    Runner_CheckOverdue(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.polls, ==, polls + 1);
    g_assert_cmpint(fix.poll.deadline_ms, ==, 0);
    g_assert_cmpint(fix.poll.send_by_ms, ==, 0);
    Runner_Free(fix.runner);
}

/* A poll that extends the hold is not written once the hold has expired. */
static void
test_abandoned_poll_is_sent_again(void)
{
    Runner_PollAnswer abandoned = {.end = RUNNER_ORDER_ABANDONED};
    runner_fixture fix;
    int polls;

    begin_durable_run(&fix);
    g_assert_cmpint(fix.poll.send_by_ms, >=, fix.now_ms + VALID_MS);
    g_assert_cmpint(fix.poll.send_by_ms, <, fix.now_ms + STALL_MS);
    polls = fix.polls;
    fix.now_ms += STALL_MS;
    Runner_OnPollAnswer(fix.runner, fix.now_ms, fix.poll_id, &abandoned);
    g_assert_cmpint(fix.polls, ==, polls + 1);
    g_assert_cmpint(fix.poll.deadline_ms, ==, 0);
    Runner_Free(fix.runner);
}

static void
renew(runner_fixture *fix, int64_t valid_ms)
{
    lc_node entry = RUNNER_FIX_ENTRY;
    lc_node companion = RUNNER_FIX_COMPANION;
    Msg_Call call = {.kind = MSG_RENEW};

    call.u.renew.owner = entry;
    call.u.renew.target = companion.incarnation;
    call.u.renew.valid_until_ms = fix->now_ms + valid_ms;
    Runner_OnCall(fix->runner, fix->now_ms, 5, &call);
}

/* Starts a task whose hold the upstream keeps until START_MS + 511 at the
 * latest, and renews its lease at START_MS + 400. The last poll, which extends
 * the hold, is sent at that time and not answered. */
static void
extend_hold_by_poll(runner_fixture *fix)
{
    Runner_ActiveRun row = {RunnerFix_Run(1, 1), 10};

    RunnerFix_NewReady(fix);
    RunnerFix_BeginTask(fix);
    fix->now_ms += 400;
    renew(fix, 500);
    RunnerFix_AnswerPoll(fix, &row, 1, NULL, 0);
    g_assert_cmpint(fix->poll.deadline_ms, >, 0);
    g_assert_cmpint(fix->poll.send_by_ms, <, START_MS + 520);
}

/* Guards against a hold at the next incarnation: a poll that was never sent
 * has not extended the hold, so the next one must not extend it either. */
static void
test_abandoned_poll_extends_nothing(void)
{
    Runner_PollAnswer abandoned = {.end = RUNNER_ORDER_ABANDONED};
    runner_fixture fix;

    extend_hold_by_poll(&fix);
    fix.now_ms = START_MS + 600;
    Runner_OnPollAnswer(fix.runner, fix.now_ms, fix.poll_id, &abandoned);
    g_assert_cmpint(fix.poll.deadline_ms, ==, 0);
    Runner_Free(fix.runner);
}

/* Sets up an upstream that reports its start time. */
static void
set_up_incarnation(runner_fixture *fix)
{
    RunnerFix_New(fix);
    fix->born_ms = FIRST_BORN_MS;
    RunnerFix_Heartbeat(fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
}

/* Guards against two runs at once: while the answer to a poll decides whether
 * the heartbeat of another incarnation counts, that one would execute a start,
 * with a deadline that means nothing on its clock. */
static void
test_no_start_while_another_incarnation_is_heard(void)
{
    runner_fixture fix;

    set_up_incarnation(&fix);
    fix.now_ms += STALL_MS;
    fix.born_ms = FIRST_BORN_MS + 1000;
    RunnerFix_HeartbeatOf(&fix, "i-1", 1, RUNNER_UPSTREAM_READY);
    RunnerFix_CallRun(&fix, 1, 1, 1000, VALID_MS);
    g_assert_cmpint(fix.starts, ==, 0);
    g_assert_cmpint(fix.status, ==, LC_RUN_NOT_READY);
    fix.born_ms = FIRST_BORN_MS;
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    Runner_Free(fix.runner);
}

/* The same for a copy, within the deadline of the start. */
static void
test_no_copy_while_another_incarnation_is_heard(void)
{
    runner_fixture fix;

    set_up_incarnation(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, VALID_MS);
    fix.born_ms = FIRST_BORN_MS + 1000;
    RunnerFix_HeartbeatOf(&fix, "i-1", 1, RUNNER_UPSTREAM_READY);
    fix.now_ms += VALID_MS / 2;
    Runner_CheckOverdue(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, ==, 1);
    Runner_Free(fix.runner);
}

/* Guards against the retry of a durable task elsewhere while a copy of its
 * start may still be executed: the copy may have been written as late as its
 * send_by_ms, and is executed up to late_ms after that. */
static void
test_late_start_counts_from_the_write(void)
{
    runner_fixture fix;
    int64_t send_by_ms;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, RUN_ID_DURABLE_BASE + 1, 1000, VALID_MS);
    send_by_ms = fix.start.send_by_ms;
    fix.now_ms += VALID_MS + 100;
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_UNANSWERED, 0);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_cmpint(fix.status, ==, LC_RUN_LOST);
    g_assert_cmpint(fix.now_ms + fix.late_start_ms, >=,
                    send_by_ms + RUNNER_FIX_LATE_MS);
    Runner_Free(fix.runner);
}

static const TestTable_Row rules[] = {
    {"/stalled/no copy of a start is sent after its deadline",
     test_no_copy_after_the_deadline},
    {"/stalled/every copy carries the deadline",
     test_every_copy_carries_the_deadline},
    {"/stalled/the deadline is within the hold",
     test_deadline_is_within_the_hold},
    {"/stalled/a start that was never sent ends its run",
     test_abandoned_start_ends_the_run},
    {"/stalled/a start that was never sent, of a run being stopped",
     test_abandoned_start_of_a_stopped_run},
    {"/stalled/a start that was never sent is not executed late",
     test_abandoned_start_is_not_late},
    {"/stalled/a hold that has expired is not extended",
     test_expired_hold_is_not_extended},
    {"/stalled/a poll that was not sent is sent again without a deadline",
     test_abandoned_poll_is_sent_again},
    {"/stalled/a poll that was not sent extends no hold",
     test_abandoned_poll_extends_nothing},
    {"/stalled/no start while another incarnation is heard",
     test_no_start_while_another_incarnation_is_heard},
    {"/stalled/no copy while another incarnation is heard",
     test_no_copy_while_another_incarnation_is_heard},
    {"/stalled/late starts count from the latest write",
     test_late_start_counts_from_the_write},
    {"/stalled/a copy that was not sent leaves its run",
     test_abandoned_copy_leaves_the_run},
    {"/stalled/a start that was never sent tells nothing of the upstream",
     test_abandoned_start_is_no_answer},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

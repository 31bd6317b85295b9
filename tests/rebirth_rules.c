/*
 * Unit tests of the runner: an upstream that restarts under the same name,
 * machines that are suspended, tasks that crash their upstream, and capacity
 * that changes while tasks run.
 */

#include <glib.h>
#include <string.h>

#include "base/clock.h"
#include "lease/run_id.h"
#include "lease/run_status.h"
#include "tests/lease_fixture.h"
#include "tests/runner_fixture.h"
#include "tests/test_table.h"

#define FIRST_BORN_MS 1700000000000
#define NEXT_BORN_MS 1700000005000

static const lc_node entry_node = RUNNER_FIX_ENTRY;
static const lc_node companion_node = RUNNER_FIX_COMPANION;

/* Lease of the task that RunnerFix_BeginTask starts, in ms. */
#define BEGUN_LEASE_MS 500

/* The first incarnation of the upstream runs nothing. */
static void
begin_idle(runner_fixture *fix)
{
    RunnerFix_New(fix);
    fix->born_ms = FIRST_BORN_MS;
    RunnerFix_Heartbeat(fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
}

/* The first incarnation of the upstream is given a task of job 1. */
static void
begin_task(runner_fixture *fix)
{
    begin_idle(fix);
    RunnerFix_BeginTask(fix);
}

/* The upstream has crashed and restarted: its clock and all its counters are
 * reset. */
static void
restart_upstream(runner_fixture *fix)
{
    fix->born_ms = NEXT_BORN_MS;
    fix->clock_ms = 1000;
    fix->heartbeats = 0;
}

/* The entry renews its lease for valid_ms. */
static void
renew(runner_fixture *fix, int64_t valid_ms)
{
    Msg_Call call = {.kind = MSG_RENEW};

    call.u.renew.owner = entry_node;
    call.u.renew.target = companion_node.incarnation;
    call.u.renew.valid_until_ms = fix->now_ms + valid_ms;
    Runner_OnCall(fix->runner, fix->now_ms, 3, &call);
}

static void
test_heartbeat_of_next_incarnation(void)
{
    runner_fixture fix;
    int64_t token;

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    token = fix.poll.token;
    restart_upstream(&fix);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_cmpint(fix.poll.token, >, token);
    g_assert_cmpint(fix.replies, ==, 0);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_cmpint(fix.replies, ==, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_CRASHED);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    g_assert_cmpint(fix.start.token, >, token);
    g_assert_cmpint(fix.start.deadline_ms, <, CLOCK_MS);
    Runner_Free(fix.runner);
}

/* A list of runs is the first sign of the restart. Nothing is started before
 * a heartbeat has reported the capacity. */
static void
test_list_of_next_incarnation(void)
{
    runner_fixture fix;

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    restart_upstream(&fix);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_cmpint(fix.status, ==, LC_RUN_CRASHED);
    g_assert_false(RunnerFix_TakesTask(&fix, 2));
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    g_assert_true(RunnerFix_TakesTask(&fix, 3));
    Runner_Free(fix.runner);
}

/* The next incarnation numbers its ends from 1 again, below those read of the
 * previous one: none of them may be acknowledged unread. */
static void
test_ends_of_next_incarnation_are_read(void)
{
    runner_fixture fix;
    Runner_EndedRun many = {57, RunnerFix_Run(1, 1), RUNNER_END_DONE};
    Runner_EndedRun one = {1, RunnerFix_Run(2, 1), RUNNER_END_DONE};

    begin_task(&fix);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &many, 1);
    g_assert_cmpint((int64_t)fix.poll.last_seen, ==, 57);
    restart_upstream(&fix);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_cmpint((int64_t)fix.poll.last_seen, ==, 0);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_ACCEPTED, 1000);
    g_assert_cmpint((int64_t)fix.poll.last_seen, ==, 0);
    fix.status = LC_RUN_LOST;
    RunnerFix_AnswerPoll(&fix, NULL, 0, &one, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_DONE);
    g_assert_cmpint((int64_t)fix.poll.last_seen, ==, 1);
    Runner_Free(fix.runner);
}

/* Guards against a poll acknowledging unread ends of the next incarnation. */
static void
test_ends_are_acknowledged_once(void)
{
    runner_fixture fix;
    Runner_EndedRun ended = {57, RunnerFix_Run(1, 1), RUNNER_END_DONE};

    begin_task(&fix);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_cmpint((int64_t)fix.poll.last_seen, ==, 57);
    fix.now_ms += 150;
    Runner_CheckOverdue(fix.runner, fix.now_ms);
    g_assert_cmpint((int64_t)fix.poll.last_seen, ==, 57);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    RunnerFix_CallRun(&fix, 2, 1, 1000, 500);
    g_assert_cmpint((int64_t)fix.poll.last_seen, ==, 0);
    Runner_Free(fix.runner);
}

/* A start meant for the previous incarnation is executed by the next one: the
 * run is not reported as ended before it has been stopped. */
static void
test_start_taken_by_next_incarnation(void)
{
    runner_fixture fix;

    begin_task(&fix);
    RunnerFix_CallRun(&fix, 2, 1, 1000, 500);
    RunnerFix_AnswerRunning(&fix, 1);
    restart_upstream(&fix);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    fix.replies = 0;
    RunnerFix_AnswerRunning(&fix, 2);
    g_assert_cmpint(fix.replies, ==, 1); /* job 1 */
    g_assert_cmpint(fix.stops, ==, 1);
    g_assert_cmpuint(fix.stopped.job, ==, 2);
    g_assert_false(RunnerFix_TakesTask(&fix, 3));
    fix.replies = 0;
    Runner_OnStopped(fix.runner, fix.now_ms, fix.stop_id,
                     RUNNER_ORDER_ACCEPTED, 1000);
    fix.now_ms += 60;
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_cmpint(fix.replies, ==, 1);
    g_assert_true(RunnerFix_TakesTask(&fix, 4));
    Runner_Free(fix.runner);
}

/* ---- unanswered starts ---- */

/* The upstream lists a run as ended, as its end 5; the entry releases it. */
static void
end_and_release(runner_fixture *fix, const lc_run_id *run)
{
    Runner_EndedRun ended = {5, *run, RUNNER_END_DONE};

    RunnerFix_AnswerPoll(fix, NULL, 0, &ended, 1);
    RunnerFix_Release(fix, run);
    RunnerFix_AnswerPoll(fix, NULL, 0, &ended, 1);
}

/* Sets up a durable run that has ended and been released; the first copy of
 * its start is unanswered and the second was accepted. */
static void
set_up_unanswered_start(runner_fixture *fix, lc_run_id *run,
                        uint64_t *first_copy)
{
    RunnerFix_NewReady(fix);
    RunnerFix_CallRun(fix, run->job, run->run, 1000, 500);
    *first_copy = fix->start_id;
    fix->now_ms += 150;
    Runner_CheckOverdue(fix->runner, fix->now_ms);
    g_assert_cmpint(fix->starts, ==, 2);
    Runner_OnStarted(fix->runner, fix->now_ms, fix->start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    end_and_release(fix, run);
    g_assert_cmpint(fix->status, ==, LC_RUN_DONE);
}

/* Advances the clock, lets the runner send a poll if it has an end to
 * acknowledge, and returns the last_seen of the latest poll. */
static int64_t
last_seen_after(runner_fixture *fix, int64_t ms)
{
    fix->now_ms += ms;
    Runner_Tick(fix->runner, fix->now_ms);
    return (int64_t)fix->poll.last_seen;
}

/* Guards against a restarted upstream executing the unanswered copy after the
 * end was acknowledged. */
static void
test_unanswered_start_holds_the_end(void)
{
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1);
    runner_fixture fix;
    uint64_t first;

    set_up_unanswered_start(&fix, &run, &first);
    /* Sent 350 ms before its deadline, until which it may be written. */
    g_assert_cmpint(last_seen_after(&fix, 350 + RUNNER_FIX_LATE_MS - 200), ==,
                    4);
    g_assert_cmpint(last_seen_after(&fix, 250), ==, 5);
    Runner_Free(fix.runner);
}

static void
test_answered_start_does_not_hold_the_end(void)
{
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1);
    runner_fixture fix;
    uint64_t first;

    set_up_unanswered_start(&fix, &run, &first);
    g_assert_cmpint(last_seen_after(&fix, 50), ==, 4);
    Runner_OnStarted(fix.runner, fix.now_ms, first, RUNNER_ORDER_SUPERSEDED,
                     CLOCK_MS);
    g_assert_cmpint(last_seen_after(&fix, 50), ==, 5);
    Runner_Free(fix.runner);
}

/* Guards against treating a broken connection as an answer: the copy may still
 * be executed. */
static void
test_broken_connection_holds_the_end(void)
{
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1);
    runner_fixture fix;
    uint64_t first;

    set_up_unanswered_start(&fix, &run, &first);
    Runner_OnStarted(fix.runner, fix.now_ms, first, RUNNER_ORDER_UNANSWERED,
                     0);
    g_assert_cmpint(last_seen_after(&fix, 50), ==, 4);
    Runner_Free(fix.runner);
}

/* Guards against acknowledging an end while a copy of its start, sent by the
 * previous process of the companion, may still arrive. */
static void
test_ends_found_after_restart_are_held(void)
{
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1);
    runner_fixture fix;

    RunnerFix_New(&fix);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    end_and_release(&fix, &run);
    g_assert_cmpint(last_seen_after(&fix, RUNNER_FIX_LATE_MS - 50), ==, 4);
    g_assert_cmpint(last_seen_after(&fix, 100), ==, 5);
    Runner_Free(fix.runner);
}

/* Guards against clearing that hold once a heartbeat has named the upstream,
 * which a restarted companion polls before. */
static void
test_ends_found_before_the_name_are_held(void)
{
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1);
    Runner_EndedRun ended = {5, run, RUNNER_END_DONE};
    runner_fixture fix;

    RunnerFix_New(&fix);
    Runner_Tick(fix.runner, fix.now_ms);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    end_and_release(&fix, &run);
    g_assert_cmpint(last_seen_after(&fix, 50), ==, 4);
    g_assert_cmpint(last_seen_after(&fix, RUNNER_FIX_LATE_MS - 100), ==, 4);
    g_assert_cmpint(last_seen_after(&fix, 100), ==, 5);
    Runner_Free(fix.runner);
}

/* Guards against a successor that executes a task again whose end was read
 * after its run had been given up, as the upstream was silent. */
static void
test_end_read_late_is_told(void)
{
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1);
    Runner_EndedRun ended = {5, run, RUNNER_END_DONE};
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, run.job, run.run, 1000, 500);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    while (fix.now_ms < START_MS + 4000) {
        fix.now_ms += 50;
        Runner_CheckOverdue(fix.runner, fix.now_ms);
        Runner_Tick(fix.runner, fix.now_ms);
    }
    g_assert_cmpint(fix.status, !=, LC_RUN_DONE);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    RunnerFix_FenceEntry(&fix);
    g_assert_cmpuint(fix.held_runs, ==, 1);
    g_assert_false(fix.held.running);
    g_assert_cmpint(fix.held.status, ==, LC_RUN_DONE);
    Runner_Free(fix.runner);
}

/* Guards against a late start of a stopped, unanswered run after a later run
 * of the same task was acknowledged. */
static void
test_earlier_start_holds_the_end(void)
{
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 2);
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, run.run - 1, 1000, 500);
    RunnerFix_CallHalt(&fix, 1, run.run - 1);
    Runner_OnStopped(fix.runner, fix.now_ms, fix.stop_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    fix.now_ms += 50;
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_cmpint(fix.status, ==, LC_RUN_STOPPED);
    fix.now_ms += 4200;
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    Runner_Tick(fix.runner, fix.now_ms);
    RunnerFix_CallRun(&fix, 1, run.run, 1000, 500);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    fix.now_ms += 50;
    end_and_release(&fix, &run);
    g_assert_cmpint(last_seen_after(&fix, 50), ==, 4);
    g_assert_cmpint(last_seen_after(&fix, RUNNER_FIX_LATE_MS), ==, 5);
    Runner_Free(fix.runner);
}

/* Guards against held ends filling the upstream's list, which would hide newer
 * ends. */
static void
test_held_ends_do_not_hide_newer_ones(void)
{
    lc_run_id run = RunnerFix_Run(1, RUN_ID_DURABLE_BASE + 1);
    Runner_EndedRun ended[RUNNER_MAX_HELD_ENDS + 1];
    runner_fixture fix;
    uint64_t first;
    uint32_t i;

    set_up_unanswered_start(&fix, &run, &first);
    for (i = 0; i <= RUNNER_MAX_HELD_ENDS; i++) {
        ended[i].number = 5 + i;
        ended[i].id = i == 0 ? run : RunnerFix_Run(100 + i, 1);
        ended[i].end = RUNNER_END_DONE;
    }
    fix.now_ms += 50;
    RunnerFix_CallRun(&fix, 2, 1, 1000, 500);
    RunnerFix_AnswerPoll(&fix, NULL, 0, ended, RUNNER_MAX_HELD_ENDS);
    g_assert_cmpint(last_seen_after(&fix, 50), ==, 0);
    RunnerFix_AnswerPoll(&fix, NULL, 0, ended, RUNNER_MAX_HELD_ENDS + 1);
    g_assert_cmpint(last_seen_after(&fix, 50), ==, 0);
    RunnerFix_AnswerPoll(&fix, NULL, 0, ended, RUNNER_MAX_HELD_ENDS + 1);
    g_assert_cmpint(last_seen_after(&fix, 50), ==, 5 + RUNNER_MAX_HELD_ENDS);
    Runner_Free(fix.runner);
}

/* The deadline of the start is meaningless on the clock of the next
 * incarnation. */
static void
test_start_is_not_resent_to_next_incarnation(void)
{
    runner_fixture fix;
    int starts;

    begin_task(&fix);
    RunnerFix_CallRun(&fix, 2, 1, 1000, 500);
    starts = fix.starts;
    restart_upstream(&fix);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    fix.now_ms += 60;
    Runner_Tick(fix.runner, fix.now_ms);
    Runner_CheckOverdue(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, ==, starts);
    Runner_Free(fix.runner);
}

/* The answer to a start shows a clock that has gone back: the upstream is
 * asked for its incarnation, and is sent nothing else meanwhile. */
static void
test_clock_that_goes_back(void)
{
    runner_fixture fix;

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    RunnerFix_CallRun(&fix, 2, 1, 1000, 500);
    restart_upstream(&fix);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_ACCEPTED, 1000);
    g_assert_false(RunnerFix_TakesTask(&fix, 3));
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    RunnerFix_AnswerRunning(&fix, 2);
    g_assert_cmpint(fix.stops, ==, 1);
    Runner_Free(fix.runner);
}

static void
test_late_heartbeat_of_previous_incarnation(void)
{
    runner_fixture fix;

    begin_task(&fix);
    restart_upstream(&fix);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    fix.born_ms = FIRST_BORN_MS;
    RunnerFix_HeartbeatOf(&fix, "i-1", 99, RUNNER_UPSTREAM_DRAINING);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    Runner_Free(fix.runner);
}

/* Leaves polls unanswered until the upstream is suspected. */
static void
suspect_upstream(runner_fixture *fix)
{
    int i;

    for (i = 0; i < 6; i++) {
        Runner_OnPollWritten(fix->runner, fix->poll_id);
        fix->now_ms += 250;
        renew(fix, 500);
        Runner_CheckOverdue(fix->runner, fix->now_ms);
        Runner_Tick(fix->runner, fix->now_ms);
    }
}

/* Guards against two runs at once: a late heartbeat of an instance that is
 * gone arrives while the current one does not answer, but runs its tasks. */
static void
test_late_heartbeat_while_suspected(void)
{
    Runner_ActiveRun running = {RunnerFix_Run(1, 1), 50};
    runner_fixture fix;

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    suspect_upstream(&fix);
    g_assert_false(RunnerFix_TakesTask(&fix, 2));
    fix.replies = 0;
    RunnerFix_HeartbeatOf(&fix, "i-0", 99, RUNNER_UPSTREAM_READY);
    g_assert_cmpint(fix.replies, ==, 0);
    RunnerFix_AnswerPoll(&fix, &running, 1, NULL, 0);
    g_assert_cmpint(fix.replies, ==, 0);
    g_assert_cmpint(fix.stops, ==, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 3));
    Runner_Free(fix.runner);
}

/* The same heartbeat is of the next instance: the first one's answer, or its
 * silence until the hold has expired, ends the run. */
static void
test_next_instance_while_suspected(void)
{
    runner_fixture fix;

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    suspect_upstream(&fix);
    RunnerFix_HeartbeatOf(&fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    fix.replies = 0;
    RunnerFix_AnswerPollOther(&fix);
    g_assert_cmpint(fix.replies, ==, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_CRASHED);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    Runner_Free(fix.runner);
}

/* How long the restarted upstream, whose clock began anew, would hold its runs
 * by the last poll: it cuts each hold to the longest that it grants. */
static int64_t
held_by_poll_ms(const runner_fixture *fix)
{
    int64_t clock_ms = fix->clock_ms + fix->now_ms - START_MS;

    return CLAMP(fix->poll.deadline_ms - clock_ms, 0,
                 LeaseFix_Timing().hold_limit_ms);
}

/* Lets the answer to the pending poll become overdue, so that another one is
 * sent. */
static void
send_next_poll(runner_fixture *fix)
{
    fix->now_ms = Runner_DueMs(fix->runner);
    Runner_CheckOverdue(fix->runner, fix->now_ms);
}

/* Guards against two runs at once: the restarted upstream is heard and may
 * have executed a late start. The deadline of a poll, on the clock of the
 * incarnation before, would keep that run for the longest hold. */
static void
test_heard_incarnation_is_not_held(void)
{
    runner_fixture fix;
    int polls;

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    restart_upstream(&fix);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    for (polls = fix.polls; fix.polls < polls + 3;) {
        send_next_poll(&fix);
        renew(&fix, BEGUN_LEASE_MS);
        g_assert_cmpint(held_by_poll_ms(&fix), ==, 0);
    }
    Runner_Free(fix.runner);
}

/* The heartbeat was a late one: the next answer of the current incarnation
 * tells so, and the hold goes on. */
static void
test_hold_after_a_late_heartbeat(void)
{
    runner_fixture fix;
    int64_t born_ms;

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    born_ms = fix.born_ms;
    fix.born_ms -= 1;
    RunnerFix_HeartbeatOf(&fix, "i-1", 99, RUNNER_UPSTREAM_READY);
    fix.born_ms = born_ms;
    fix.now_ms += 100;
    renew(&fix, BEGUN_LEASE_MS);
    RunnerFix_AnswerRunning(&fix, 1); /* sent before the heartbeat */
    g_assert_cmpint(fix.poll.deadline_ms, ==, 0);
    RunnerFix_AnswerRunning(&fix, 1);
    g_assert_cmpint(fix.poll.deadline_ms, >, CLOCK_MS + BEGUN_LEASE_MS);
    g_assert_cmpint(fix.replies, ==, 1); /* to RENEW */
    g_assert_cmpint(fix.stops, ==, 0);
    Runner_Free(fix.runner);
}

/* Nothing answers after such a heartbeat: the run has ended with the hold of
 * the last poll that extended it, neither sooner nor later. */
static void
test_end_of_hold_while_another_is_heard(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    runner_fixture fix;
    int64_t end_ms;

    begin_task(&fix);
    fix.now_ms += 100;
    renew(&fix, BEGUN_LEASE_MS);
    RunnerFix_AnswerRunning(&fix, 1);
    end_ms = fix.now_ms + LeaseTiming_MaxHoldMs(BEGUN_LEASE_MS) +
             timing.stop_ms;
    restart_upstream(&fix);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    for (fix.replies = 0; fix.replies == 0; fix.now_ms += 10) {
        renew(&fix, BEGUN_LEASE_MS);
        fix.replies--; /* that to RENEW */
        Runner_CheckOverdue(fix.runner, fix.now_ms);
        Runner_Tick(fix.runner, fix.now_ms);
        g_assert_true(fix.replies == 0 || fix.now_ms > end_ms);
        g_assert_cmpint(fix.now_ms, <=, end_ms + 10);
    }
    Runner_Free(fix.runner);
}

/* A restarted companion knows no earlier incarnation: the upstream itself
 * tells which of two is current. The time of day may have gone back. */
static void
test_unknown_incarnation_is_queried(void)
{
    runner_fixture fix;

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    fix.born_ms = NEXT_BORN_MS;
    RunnerFix_HeartbeatOf(&fix, "i-1", 50, RUNNER_UPSTREAM_DRAINING);
    fix.born_ms = FIRST_BORN_MS;
    RunnerFix_AnswerRunning(&fix, 1);
    RunnerFix_AnswerRunning(&fix, 1);
    g_assert_cmpint(fix.replies, ==, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    fix.born_ms = FIRST_BORN_MS - 60000;
    fix.clock_ms = 1000;
    RunnerFix_HeartbeatOf(&fix, "i-1", 1, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_cmpint(fix.status, ==, LC_RUN_CRASHED);
    g_assert_true(RunnerFix_TakesTask(&fix, 3));
    Runner_Free(fix.runner);
}

/* The heartbeat reports no start time: it comes from another writer or from an
 * earlier incarnation. */
static void
test_heartbeat_without_a_start(void)
{
    runner_fixture fix;

    begin_task(&fix);
    fix.born_ms = 0;
    RunnerFix_HeartbeatOf(&fix, "i-1", 99, RUNNER_UPSTREAM_DRAINING);
    fix.born_ms = FIRST_BORN_MS;
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_DRAINING);
    g_assert_false(RunnerFix_TakesTask(&fix, 3));
    Runner_Free(fix.runner);
}

/* A departure may be reported late, for an incarnation that has ended. */
static void
test_departure_of_previous_incarnation(void)
{
    runner_fixture fix;

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    Runner_OnUpstreamExit(fix.runner, fix.now_ms, "i-1", FIRST_BORN_MS - 1);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    fix.replies = 0;
    Runner_OnUpstreamExit(fix.runner, fix.now_ms, "i-1", 0);
    g_assert_cmpint(fix.replies, ==, 0);
    g_assert_false(RunnerFix_TakesTask(&fix, 3));
    RunnerFix_AnswerRunning(&fix, 1);
    RunnerFix_AnswerRunning(&fix, 1);
    g_assert_true(RunnerFix_TakesTask(&fix, 4));
    Runner_OnUpstreamExit(fix.runner, fix.now_ms, "i-1", FIRST_BORN_MS);
    g_assert_false(RunnerFix_TakesTask(&fix, 5));
    g_assert_cmpint(fix.status, ==, LC_RUN_NOT_READY);
    Runner_Free(fix.runner);
}

/* An incarnation serves one service only, so the heartbeat comes from another
 * writer. */
static void
test_another_service(void)
{
    runner_fixture fix;
    static const char *const labels[] = {NULL};
    Runner_Heartbeat heartbeat = {.instance = "i-1",
                                  .born_ms = FIRST_BORN_MS,
                                  .sequence = 99,
                                  .service = "other",
                                  .reported_state = RUNNER_UPSTREAM_DRAINING,
                                  .labels = labels};

    begin_task(&fix);
    Runner_OnHeartbeat(fix.runner, fix.now_ms, &heartbeat);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    g_assert_true(RunnerFix_TakesTask(&fix, 3));
    Runner_Free(fix.runner);
}

/* ---- suspension ---- */

/* The upstream's clock may have stood still for as long: a deadline derived
 * from it must reach no further than without the suspension. */
static void
test_deadline_after_a_suspension(void)
{
    runner_fixture fix;

    begin_idle(&fix);
    fix.now_ms += 3000;
    Runner_OnSuspended(fix.runner, fix.now_ms, 3000);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    g_assert_cmpint(fix.start.deadline_ms, <=, CLOCK_MS + 600);
    Runner_Free(fix.runner);
}

/* The hold of a run whose lease has ended meanwhile may still be in force, and
 * a start would extend it. */
static void
test_no_start_beside_an_expired_run(void)
{
    runner_fixture fix;

    begin_task(&fix);
    fix.now_ms += 3000;
    Runner_OnSuspended(fix.runner, fix.now_ms, 3000);
    g_assert_false(RunnerFix_TakesTask(&fix, 2));
    g_assert_cmpint(fix.status, ==, LC_RUN_NOT_READY);
    Runner_Tick(fix.runner, fix.now_ms);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(&fix, 3));
    Runner_Free(fix.runner);
}

/* For the owner of the run the time has passed: the run is stopped first, and
 * its capacity stays reserved as long as the upstream may continue by itself.
 */
static void
test_lease_after_a_suspension(void)
{
    runner_fixture fix;
    Runner_PollAnswer none = {.end = RUNNER_ORDER_UNSENT};

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    fix.now_ms += 9000;
    Runner_OnSuspended(fix.runner, fix.now_ms, 9000);
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.stops, ==, 1);
    Runner_OnPollAnswer(fix.runner, fix.now_ms, fix.poll_id, &none);
    Runner_Tick(fix.runner, fix.now_ms + 50);
    g_assert_cmpint(fix.replies, ==, 0);
    Runner_Tick(fix.runner, fix.now_ms + 700);
    g_assert_cmpint(fix.replies, ==, 1);
    Runner_Free(fix.runner);
}

/* How long a run took is not known if the companion stood still beside it: it
 * is no sign of a slow upstream. */
static void
test_pace_after_a_suspension(void)
{
    Runner_EndedRun ended = {1, RunnerFix_Run(1, 1), RUNNER_END_DONE};
    lc_report_args report;
    runner_fixture fix;

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    fix.now_ms += 2500;
    Runner_OnSuspended(fix.runner, fix.now_ms, 2500);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_true(Runner_Report(fix.runner, fix.now_ms, &report));
    g_assert_cmpint(report.host.pace_percent, ==, 100);
    Runner_Free(fix.runner);
}

/* A renewal that was buffered meanwhile is older than the lease. */
static void
test_renewal_after_a_suspension(void)
{
    runner_fixture fix;

    begin_task(&fix);
    fix.now_ms += 600;
    Runner_OnSuspended(fix.runner, fix.now_ms, 600);
    renew(&fix, 589 - 600);
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.stops, ==, 1);
    Runner_Free(fix.runner);
}

/* However long the machine was suspended, with or without its upstream, with
 * or without a run: buffered calls start nothing, and a new start gets no
 * longer deadline than usual. Beside a run whose lease has ended for a whole
 * hold nothing is started. */
static void
test_any_suspension(void)
{
    static const int64_t durations_ms[] = {100,  300,  589,  601,
                                           1300, 4000, 20000};
    int64_t hold_ms = LeaseFix_Timing().hold_ms;
    size_t i;

    for (i = 0; i < 4 * G_N_ELEMENTS(durations_ms); i++) {
        int64_t duration_ms = durations_ms[i / 4];
        bool with = i % 2 == 0;
        bool running = i / 2 % 2 == 0;
        runner_fixture fix;
        Msg_Call late = {.kind = MSG_RUN};
        int starts;

        if (running) {
            begin_task(&fix);
            RunnerFix_AnswerRunning(&fix, 1);
        }
        else {
            begin_idle(&fix);
        }
        starts = fix.starts;
        late.u.run.owner = entry_node;
        late.u.run.target = companion_node.incarnation;
        late.u.run.valid_until_ms = fix.now_ms + 99;
        late.u.run.id = RunnerFix_Run(7, 1);
        late.u.run.spec = (char *)(uintptr_t) "";
        fix.now_ms += duration_ms;
        fix.clock_ms -= with ? duration_ms : 0;
        Runner_OnSuspended(fix.runner, fix.now_ms, duration_ms);
        Runner_OnCall(fix.runner, fix.now_ms, 5, &late);
        g_assert_cmpint(fix.starts, ==, starts);
        g_assert_cmpint(fix.status, ==, LC_RUN_EXPIRED);
        RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
        if (running && duration_ms >= BEGUN_LEASE_MS + hold_ms) {
            g_assert_false(RunnerFix_TakesTask(&fix, 8));
        }
        else {
            g_assert_true(RunnerFix_TakesTask(&fix, 8));
            g_assert_cmpint(fix.start.deadline_ms, <=,
                            fix.clock_ms + fix.now_ms - START_MS + 600);
        }
        Runner_Free(fix.runner);
    }
}

static void
test_clock_counts_suspensions(void)
{
    Clock_SuspendTracker suspension;
    int64_t before = Clock_NowMs();

    Clock_InitTracker(&suspension, Clock_Read());
    g_assert_cmpint(Clock_TakeSuspendedMs(&suspension, Clock_Read()), ==, 0);
    Clock_TestSuspend(7000);
    g_assert_cmpint(Clock_NowMs() - before, >=, 7000);
    g_assert_cmpint(Clock_TakeSuspendedMs(&suspension, Clock_Read()), >=,
                    7000);
    g_assert_cmpint(Clock_TakeSuspendedMs(&suspension, Clock_Read()), ==, 0);
}

/* ---- tasks that crash their upstream ---- */

/* The upstream crashes and its next incarnation is seen. */
static lc_run_status
crash(runner_fixture *fix)
{
    restart_upstream(fix);
    RunnerFix_Heartbeat(fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
    RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
    return fix->status;
}

static void
test_crash_is_reported(void)
{
    runner_fixture fix;

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    g_assert_cmpint(crash(&fix), ==, LC_RUN_CRASHED);
    Runner_Free(fix.runner);
}

/* A task that has run for long is not blamed for a crash. */
static void
test_old_runs_are_not_blamed(void)
{
    runner_fixture fix;
    Runner_ActiveRun row = {RunnerFix_Run(1, 1), 0};
    int i;

    begin_task(&fix);
    for (i = 0; i < 100; i++) {
        renew(&fix, 589);
        row.percent = (uint32_t)i;
        RunnerFix_AnswerPoll(&fix, &row, 1, NULL, 0);
        fix.now_ms += 100;
    }
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    g_assert_cmpint(crash(&fix), ==, LC_RUN_LOST);
    Runner_Free(fix.runner);
}

/* The upstream executed the start that it has confirmed, or the run that it
 * has listed. */
static void
test_crash_under_confirmed_run(void)
{
    runner_fixture fix;

    begin_task(&fix);
    g_assert_cmpint(crash(&fix), ==, LC_RUN_CRASHED);
    g_assert_cmpuint(fix.ran_ms, !=, RUN_MAY_NOT_HAVE_BEGUN);
    Runner_Free(fix.runner);
    begin_idle(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, BEGUN_LEASE_MS);
    RunnerFix_AnswerRunning(&fix, 1);
    g_assert_cmpint(crash(&fix), ==, LC_RUN_CRASHED);
    g_assert_cmpuint(fix.ran_ms, !=, RUN_MAY_NOT_HAVE_BEGUN);
    Runner_Free(fix.runner);
}

/* Two crashes fail the job, so the entry is told of a run that may never have
 * begun. */
static void
test_crash_under_unanswered_start(void)
{
    runner_fixture fix;
    Runner_PollAnswer none = {.end = RUNNER_ORDER_UNSENT};

    begin_idle(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, BEGUN_LEASE_MS);
    g_assert_cmpint(crash(&fix), ==, LC_RUN_CRASHED);
    g_assert_cmpuint(fix.ran_ms, ==, RUN_MAY_NOT_HAVE_BEGUN);
    Runner_Free(fix.runner);
    begin_idle(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, BEGUN_LEASE_MS);
    Runner_OnPollAnswer(fix.runner, fix.now_ms, fix.poll_id, &none);
    renew(&fix, 2500);
    fix.now_ms += 2000;
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.status, ==, LC_RUN_CRASHED);
    g_assert_cmpuint(fix.ran_ms, ==, RUN_MAY_NOT_HAVE_BEGUN);
    Runner_Free(fix.runner);
}

/* A draining upstream may exit without notice. */
static void
test_exit_while_draining_is_not_a_crash(void)
{
    runner_fixture fix;

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_DRAINING);
    g_assert_cmpint(crash(&fix), ==, LC_RUN_LOST);
    Runner_Free(fix.runner);
}

/* Nothing listens at the address any more, and the hold has expired. */
static void
test_crash_without_restart(void)
{
    runner_fixture fix;
    Runner_PollAnswer none = {.end = RUNNER_ORDER_UNSENT};

    begin_task(&fix);
    RunnerFix_AnswerRunning(&fix, 1);
    Runner_OnPollAnswer(fix.runner, fix.now_ms, fix.poll_id, &none);
    renew(&fix, 2500);
    fix.now_ms += 2000;
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.status, ==, LC_RUN_CRASHED);
    Runner_Free(fix.runner);
}

/* Two tasks under which upstreams have crashed do not run at the same time;
 * other tasks run beside them. */
static void
test_crashing_tasks_run_separately(void)
{
    runner_fixture fix;

    begin_task(&fix);
    fix.crashes = 1;
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    g_assert_false(RunnerFix_TakesTask(&fix, 3));
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    fix.crashes = 0;
    g_assert_true(RunnerFix_TakesTask(&fix, 4));
    Runner_Free(fix.runner);
}

/* ---- capacity ---- */

static u_int
reported_cpu_milli(const runner_fixture *fix)
{
    lc_host_state state;

    Runner_State(fix->runner, fix->now_ms, &state);
    return state.room.cpu_milli;
}

/* Runs that are active or being stopped still use capacity. */
static void
test_capacity_that_shrinks(void)
{
    runner_fixture fix;
    uint64_t version;

    begin_task(&fix);
    RunnerFix_CallRun(&fix, 2, 1, 1000, 500);
    g_assert_cmpuint(reported_cpu_milli(&fix), ==, 2000);
    version = Runner_Version(fix.runner);
    fix.cpu_milli = 2100;
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    g_assert_cmpuint(Runner_Version(fix.runner), >, version);
    g_assert_cmpuint(reported_cpu_milli(&fix), ==, 100);
    RunnerFix_CallHalt(&fix, 1, 1);
    g_assert_cmpuint(reported_cpu_milli(&fix), ==, 100);
    fix.cpu_milli = 1500;
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    g_assert_cmpuint(reported_cpu_milli(&fix), ==, 0);
    g_assert_false(RunnerFix_TakesTask(&fix, 3));
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    Runner_Free(fix.runner);
}

static void
test_capacity_that_grows_again(void)
{
    runner_fixture fix;

    begin_task(&fix);
    fix.cpu_milli = 500;
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    g_assert_cmpuint(reported_cpu_milli(&fix), ==, 0);
    RunnerFix_AnswerRunning(&fix, 1);
    g_assert_cmpint(fix.stops, ==, 0);
    fix.cpu_milli = 4000;
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    g_assert_cmpuint(reported_cpu_milli(&fix), ==, 3000);
    g_assert_true(RunnerFix_TakesTask(&fix, 2));
    Runner_Free(fix.runner);
}

static const TestTable_Row rules[] = {
    {"/restart/a heartbeat of the next incarnation",
     test_heartbeat_of_next_incarnation},
    {"/restart/a list of runs is the first sign",
     test_list_of_next_incarnation},
    {"/restart/ends of the next incarnation are read",
     test_ends_of_next_incarnation_are_read},
    {"/restart/ends are acknowledged once", test_ends_are_acknowledged_once},
    {"/restart/a start accepted by the next incarnation is stopped first",
     test_start_taken_by_next_incarnation},
    {"/restart/a start is not resent to the next incarnation",
     test_start_is_not_resent_to_next_incarnation},
    {"/restart/an unanswered start holds the end",
     test_unanswered_start_holds_the_end},
    {"/restart/an answered start does not hold the end",
     test_answered_start_does_not_hold_the_end},
    {"/restart/a start on a broken connection holds the end",
     test_broken_connection_holds_the_end},
    {"/restart/ends found after a companion's restart are held",
     test_ends_found_after_restart_are_held},
    {"/restart/ends found before the upstream's name are held",
     test_ends_found_before_the_name_are_held},
    {"/restart/an end that is read late is told", test_end_read_late_is_told},
    {"/restart/the start of an earlier run holds the end",
     test_earlier_start_holds_the_end},
    {"/restart/held ends do not hide newer ones",
     test_held_ends_do_not_hide_newer_ones},
    {"/restart/a clock that goes back", test_clock_that_goes_back},
    {"/restart/a late heartbeat of the previous incarnation",
     test_late_heartbeat_of_previous_incarnation},
    {"/restart/an incarnation that is heard is not held",
     test_heard_incarnation_is_not_held},
    {"/restart/the hold goes on after a late heartbeat",
     test_hold_after_a_late_heartbeat},
    {"/restart/the hold ends while another incarnation is heard",
     test_end_of_hold_while_another_is_heard},
    {"/restart/the upstream is polled for its incarnation",
     test_unknown_incarnation_is_queried},
    {"/restart/a heartbeat without a start time",
     test_heartbeat_without_a_start},
    {"/restart/a departure of the previous incarnation",
     test_departure_of_previous_incarnation},
    {"/restart/a heartbeat of another service", test_another_service},
    {"/restart/a late heartbeat while the upstream is suspected",
     test_late_heartbeat_while_suspected},
    {"/restart/the next instance while the upstream is suspected",
     test_next_instance_while_suspected},
    {"/suspension/a deadline is not extended",
     test_deadline_after_a_suspension},
    {"/suspension/no_start_beside_an_expired_run",
     test_no_start_beside_an_expired_run},
    {"/suspension/leases have expired", test_lease_after_a_suspension},
    {"/suspension/pace is not measured", test_pace_after_a_suspension},
    {"/suspension/a buffered renewal is too old",
     test_renewal_after_a_suspension},
    {"/suspension/of any length, with the upstream or without",
     test_any_suspension},
    {"/suspension/the clock includes it", test_clock_counts_suspensions},
    {"/crashes/are reported", test_crash_is_reported},
    {"/crashes/old runs are not blamed", test_old_runs_are_not_blamed},
    {"/crashes/an exit while draining is no crash",
     test_exit_while_draining_is_not_a_crash},
    {"/crashes/under a run that was confirmed or listed",
     test_crash_under_confirmed_run},
    {"/crashes/under a start that was never answered",
     test_crash_under_unanswered_start},
    {"/crashes/without a restart", test_crash_without_restart},
    {"/crashes/suspected tasks run separately",
     test_crashing_tasks_run_separately},
    {"/capacity/shrinks while tasks run", test_capacity_that_shrinks},
    {"/capacity/grows again", test_capacity_that_grows_again},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

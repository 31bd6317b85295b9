/*
 * Single rules of orders and polls whose answers are lost: one runner, driven
 * through its public functions with fake ports.
 */

#include <glib.h>

#include "lease/run_id.h"
#include "tests/runner_fixture.h"
#include "tests/test_table.h"

/* Longer than any delay between two copies, in ms. */
#define PAUSE_MS 200
/* Copies of a start after which its run is stopped. */
#define COPIES 6
/* Copies of two starts in total, unless the upstream is suspected earlier. */
#define COPIES_OF_TWO_STARTS 12
/* Step of the simulated clock while answers are awaited, in ms. */
#define STEP_MS 10

/* Advances the clock by @p ms without answering anything. */
static void
withhold_answers(runner_fixture *fix, int64_t ms)
{
    int64_t until_ms = fix->now_ms + ms;

    while (fix->now_ms < until_ms) {
        fix->now_ms += STEP_MS;
        if (Runner_DueMs(fix->runner) <= fix->now_ms) {
            Runner_CheckOverdue(fix->runner, fix->now_ms);
        }
    }
}

/* Advances the clock by @p ms, answering polls but no orders. */
static void
answer_polls_only(runner_fixture *fix, int64_t ms)
{
    int64_t until_ms = fix->now_ms + ms;
    uint64_t answered = 0;

    while (fix->now_ms < until_ms) {
        withhold_answers(fix, STEP_MS);
        if (fix->poll_id != answered) {
            answered = fix->poll_id;
            RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
        }
    }
}

static void
answer_start(runner_fixture *fix, Runner_OrderResult end)
{
    Runner_OnStarted(fix->runner, fix->now_ms, fix->start_id, end,
                     CLOCK_MS + fix->now_ms - START_MS);
}

/* Creates a runner with one run that the upstream has confirmed. */
static void
new_with_run(runner_fixture *fix)
{
    RunnerFix_NewReady(fix);
    RunnerFix_CallRun(fix, 1, 1, 1000, 500);
    answer_start(fix, RUNNER_ORDER_ACCEPTED);
}

static void
test_start_sent_again(void)
{
    runner_fixture fix;
    Runner_Start first;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    first = fix.start;
    withhold_answers(&fix, STEP_MS);
    g_assert_cmpint(fix.starts, ==, 2);
    g_assert_cmpint(fix.stops, ==, 0);
    g_assert_true(RunId_Equal(&fix.start.id, &first.id));
    g_assert_cmpint(fix.start.deadline_ms, ==, first.deadline_ms);
    Runner_Free(fix.runner);
}

static void
test_answered_start_not_sent_again(void)
{
    runner_fixture fix;

    new_with_run(&fix);
    withhold_answers(&fix, PAUSE_MS);
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, ==, 1);
    Runner_Free(fix.runner);
}

static void
test_unanswered_keeps_room(void)
{
    runner_fixture fix;
    Runner_EndedRun ended = {1, RunnerFix_Run(1, 1), RUNNER_END_STOPPED};

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 3000, 500);
    answer_polls_only(&fix, 300);
    g_assert_cmpint(fix.starts, ==, COPIES);
    g_assert_cmpint(fix.stops, >=, 1);
    RunnerFix_CallRun(&fix, 2, 1, 1500, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    fix.now_ms += STEP_MS;
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    /* After a refusal, an entry uses a new run number. */
    RunnerFix_CallRun(&fix, 2, 2, 1500, 500);
    g_assert_cmpint(fix.starts, ==, COPIES + 1);
    Runner_Free(fix.runner);
}

/* After one broken connection, a second copy is sent instead of a stop. */
static void
test_broken_connection(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 3000, 500);
    withhold_answers(&fix, STEP_MS);
    answer_start(&fix, RUNNER_ORDER_UNANSWERED);
    withhold_answers(&fix, PAUSE_MS / 4);
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, >=, 2);
    g_assert_cmpint(fix.stops, ==, 0);
    Runner_Free(fix.runner);
}

/* A refused copy does not tell whether the unanswered one was executed. */
static void
test_refused_copy_keeps_room(void)
{
    static const Runner_OrderResult refusals[] = {
        RUNNER_ORDER_NO_ROOM,   RUNNER_ORDER_EXPIRED, RUNNER_ORDER_FENCED,
        RUNNER_ORDER_UNHEALTHY, RUNNER_ORDER_REFUSED, RUNNER_ORDER_UNSENT,
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
        runner_fixture fix;
        RunnerFix_NewReady(&fix);
        RunnerFix_CallRun(&fix, 1, 1, 3000, 500);
        withhold_answers(&fix, STEP_MS);
        g_assert_cmpint(fix.starts, ==, 2);
        fix.replies = 0;
        answer_start(&fix, refusals[i]);
        g_assert_cmpint(fix.replies, ==, 0);
        g_assert_cmpint(fix.stops, ==, 1);
        Runner_Free(fix.runner);
    }
}

/* Sends two copies of the start of run 1 and returns the first one's id. */
static uint64_t
send_two_copies(runner_fixture *fix)
{
    uint64_t first;

    RunnerFix_NewReady(fix);
    RunnerFix_CallRun(fix, 1, 1, 3000, 500);
    first = fix->start_id;
    withhold_answers(fix, STEP_MS);
    g_assert_cmpint(fix->starts, ==, 2);
    fix->replies = 0;
    fix->status = LC_RUN_DONE;
    return first;
}

/* The first copy may have been executed, so the refusal of the second must not
 * be told: the entry would answer its caller that nothing was started. */
static void
test_refused_copy_then_listed_end(void)
{
    static const Runner_End ends[] = {
        RUNNER_END_FAILED,
        RUNNER_END_STOPPED,
        RUNNER_END_HOLD_EXPIRED,
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(ends); i++) {
        runner_fixture fix;
        Runner_EndedRun ended = {1, RunnerFix_Run(1, 1), ends[i]};
        send_two_copies(&fix);
        answer_start(&fix, RUNNER_ORDER_EXPIRED);
        fix.now_ms += STEP_MS;
        RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
        g_assert_cmpint(fix.replies, ==, 1);
        g_assert_cmpint(fix.status, ==, LC_RUN_LOST);
        Runner_Free(fix.runner);
    }
}

static void
test_refused_copy_then_unlisted(void)
{
    runner_fixture fix;

    send_two_copies(&fix);
    answer_start(&fix, RUNNER_ORDER_NO_ROOM);
    Runner_OnStopped(fix.runner, fix.now_ms, fix.stop_id,
                     RUNNER_ORDER_ACCEPTED, 0);
    fix.now_ms += STEP_MS;
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_cmpint(fix.replies, ==, 0);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_cmpint(fix.replies, ==, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_LOST);
    Runner_Free(fix.runner);
}

static void
test_refused_copy_then_upstream_gone(void)
{
    runner_fixture fix;

    send_two_copies(&fix);
    answer_start(&fix, RUNNER_ORDER_UNHEALTHY);
    RunnerFix_AnswerPollOther(&fix);
    g_assert_cmpint(fix.replies, ==, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_LOST);
    Runner_Free(fix.runner);
}

static void
test_all_copies_refused(void)
{
    runner_fixture fix;
    uint64_t first = send_two_copies(&fix);

    answer_start(&fix, RUNNER_ORDER_NO_ROOM);
    g_assert_cmpint(fix.replies, ==, 0);
    Runner_OnStarted(fix.runner, fix.now_ms, first, RUNNER_ORDER_UNHEALTHY, 0);
    g_assert_cmpint(fix.replies, ==, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_REJECTED);
    Runner_Free(fix.runner);
}

/* A start whose only copy was refused has certainly not been executed. */
static void
test_refused_at_once(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 3000, 500);
    answer_start(&fix, RUNNER_ORDER_NO_ROOM);
    g_assert_cmpint(fix.status, ==, LC_RUN_REJECTED);
    g_assert_cmpint(fix.stops, ==, 0);
    Runner_Free(fix.runner);
}

/* The first copy was executed and its run ended before the second arrived. */
static void
test_old_after_copy(void)
{
    runner_fixture fix;
    Runner_EndedRun ended = {1, RunnerFix_Run(1, 1), RUNNER_END_FAILED};

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 3000, 500);
    withhold_answers(&fix, STEP_MS);
    fix.replies = 0;
    answer_start(&fix, RUNNER_ORDER_SUPERSEDED);
    g_assert_cmpint(fix.replies, ==, 0);
    g_assert_cmpint(fix.stops, ==, 0);
    fix.now_ms += STEP_MS;
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_FAILED);
    Runner_Free(fix.runner);
}

static void
test_stop_sent_again(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 3000, 500);
    answer_start(&fix, RUNNER_ORDER_ACCEPTED);
    RunnerFix_CallHalt(&fix, 1, 1);
    withhold_answers(&fix, STEP_MS);
    g_assert_cmpint(fix.stops, >=, 2);
    Runner_Free(fix.runner);
}

/* An upstream that answers nothing is sent no more copies and is reported as
 * absent until it answers a poll. */
static void
test_silent_upstream(void)
{
    runner_fixture fix;
    lc_host_state state;
    int starts;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    RunnerFix_CallRun(&fix, 2, 1, 1000, 500);
    withhold_answers(&fix, 120);
    Runner_State(fix.runner, fix.now_ms, &state);
    g_assert_cmpint(state.state, ==, LC_UPSTREAM_ABSENT);
    starts = fix.starts;
    g_assert_cmpint(starts, <, COPIES_OF_TWO_STARTS);
    withhold_answers(&fix, PAUSE_MS);
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, ==, starts);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    Runner_State(fix.runner, fix.now_ms, &state);
    g_assert_cmpint(state.state, ==, LC_UPSTREAM_READY);
    Runner_Free(fix.runner);
}

/* Up to three consecutive missing answers are attributed to chance. */
static void
test_few_missing_answers(void)
{
    runner_fixture fix;
    lc_host_state state;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    withhold_answers(&fix, STEP_MS);
    Runner_State(fix.runner, fix.now_ms, &state);
    g_assert_cmpint(state.state, ==, LC_UPSTREAM_READY);
    Runner_Free(fix.runner);
}

static void
test_overdue_poll(void)
{
    runner_fixture fix;
    Runner_EndedRun ended = {1, RunnerFix_Run(1, 1), RUNNER_END_DONE};
    Runner_PollAnswer late = {.end = RUNNER_ORDER_ACCEPTED,
                              .clock_ms = CLOCK_MS,
                              .ended = &ended,
                              .ended_count = 1};
    uint64_t first;

    new_with_run(&fix);
    first = fix.poll_id;
    withhold_answers(&fix, 130);
    g_assert_cmpuint(fix.poll_id, >, first);
    Runner_OnPollAnswer(fix.runner, fix.now_ms, first, &late);
    g_assert_cmpint(fix.status, ==, LC_RUN_DONE);
    Runner_Free(fix.runner);
}

/* An answer that was overtaken by a later one is out of date. */
static void
test_overtaken_poll(void)
{
    runner_fixture fix;
    Runner_ActiveRun running = {RunnerFix_Run(1, 1), 50};
    Runner_EndedRun ended = {1, RunnerFix_Run(1, 1), RUNNER_END_DONE};
    Runner_PollAnswer late = {.end = RUNNER_ORDER_ACCEPTED,
                              .clock_ms = CLOCK_MS,
                              .running = &running,
                              .running_count = 1};
    uint64_t first;

    new_with_run(&fix);
    first = fix.poll_id;
    withhold_answers(&fix, 130);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    Runner_OnPollAnswer(fix.runner, fix.now_ms, first, &late);
    g_assert_cmpint(fix.stops, ==, 0);
    Runner_Free(fix.runner);
}

/* A start that was confirmed after a poll was sent may be missing from its
 * answer. */
static void
test_poll_before_start(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 500);
    fix.replies = 0;
    fix.now_ms += 5;
    answer_start(&fix, RUNNER_ORDER_ACCEPTED);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    g_assert_cmpint(fix.replies, ==, 0);
    Runner_Free(fix.runner);
}

/* After a missing answer, the upstream delays its answers to polls less. */
static void
test_polls_while_answers_go_missing(void)
{
    runner_fixture fix;
    uint32_t usual_wait_ms;
    Runner_ActiveRun running = {RunnerFix_Run(1, 1), 50};

    new_with_run(&fix);
    usual_wait_ms = fix.poll.wait_ms;
    withhold_answers(&fix, 130);
    g_assert_cmpuint(fix.poll.wait_ms, ==, 0);
    RunnerFix_AnswerPoll(&fix, &running, 1, NULL, 0);
    g_assert_cmpuint(fix.poll.wait_ms, >, 0);
    g_assert_cmpuint(fix.poll.wait_ms, <, usual_wait_ms);
    Runner_Free(fix.runner);
}

static const TestTable_Row rules[] = {
    {"/orders/a start without an answer is sent again", test_start_sent_again},
    {"/orders/a start that was answered is not sent again",
     test_answered_start_not_sent_again},
    {"/orders/a start without an answer keeps its room",
     test_unanswered_keeps_room},
    {"/orders/a broken connection causes another copy",
     test_broken_connection},
    {"/orders/a refused copy does not free the room of another",
     test_refused_copy_keeps_room},
    {"/orders/a refused copy is not the end of a run that another began",
     test_refused_copy_then_listed_end},
    {"/orders/a refused copy does not tell that another was not executed",
     test_refused_copy_then_unlisted},
    {"/orders/a run with a refused copy is lost with its upstream",
     test_refused_copy_then_upstream_gone},
    {"/orders/a run of which all copies were refused is refused",
     test_all_copies_refused},
    {"/orders/a start refused at once was not executed", test_refused_at_once},
    {"/orders/a run that ended before its second copy came is not refused",
     test_old_after_copy},
    {"/orders/a stop without an answer is sent again", test_stop_sent_again},
    {"/orders/an unresponsive upstream is sent only polls",
     test_silent_upstream},
    {"/orders/a few missing answers are tolerated", test_few_missing_answers},
    {"/polls/an overdue poll is followed by another and still counts",
     test_overdue_poll},
    {"/polls/an overtaken answer changes nothing", test_overtaken_poll},
    {"/polls/a poll sent before a start does not end it",
     test_poll_before_start},
    {"/polls/wait shorter while answers are lost",
     test_polls_while_answers_go_missing},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

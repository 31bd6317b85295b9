/*
 * Rules of a companion whose upstream leaves the stops of a run unanswered. A
 * hold keeps all runs at an upstream, so that the leases of other owners must
 * not keep a run that its caller may take for over.
 */

#include <glib.h>

#include "lease/lease_timing.h"
#include "lease/run_id.h"
#include "tests/lease_fixture.h"
#include "tests/runner_fixture.h"
#include "tests/test_table.h"

#define FIRST_JOB 1
#define OTHER_JOB 100
#define STEP_MS 10
#define OTHER_START_MS 100
#define PLAY_MS 3000
#define MAX_RUNS 40

static const lc_node other_owner = {0x7f0000011b5b, 107};

/* An upstream that answers polls and starts, and no stop. */
typedef struct {
    runner_fixture fix;
    Runner_ActiveRun runs[MAX_RUNS];
    uint32_t run_count;
    uint64_t answered_poll;
    uint64_t answered_start;
    int64_t held_until_ms; /* on the companion's clock */
} upstream_play;

static void
extend(upstream_play *play, int64_t deadline_ms)
{
    play->held_until_ms = MAX(play->held_until_ms,
                              deadline_ms - CLOCK_MS + START_MS);
}

static void
answer_start(upstream_play *play)
{
    runner_fixture *fix = &play->fix;

    if (fix->start_id == play->answered_start) {
        return;
    }
    play->answered_start = fix->start_id;
    extend(play, fix->start.deadline_ms);
    g_assert_cmpuint(play->run_count, <, MAX_RUNS);
    play->runs[play->run_count++] = (Runner_ActiveRun){.id = fix->start.id};
    Runner_OnStarted(fix->runner, fix->now_ms, fix->start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS + fix->now_ms - START_MS);
}

static void
answer_poll(upstream_play *play)
{
    runner_fixture *fix = &play->fix;

    if (fix->poll_id == play->answered_poll) {
        return;
    }
    play->answered_poll = fix->poll_id;
    if (fix->poll.deadline_ms > 0) {
        extend(play, fix->poll.deadline_ms);
    }
    RunnerFix_AnswerPoll(fix, play->runs, play->run_count, NULL, 0);
}

/* Advances the time by one step, with a tick and an answer to its poll. */
static void
advance_step(upstream_play *play)
{
    runner_fixture *fix = &play->fix;

    fix->now_ms += STEP_MS;
    Runner_CheckOverdue(fix->runner, fix->now_ms);
    Runner_Tick(fix->runner, fix->now_ms);
    answer_poll(play);
}

/* Calls RENEW as the owner of the fixture. */
static void
renew_lease(runner_fixture *fix)
{
    lc_node companion = RUNNER_FIX_COMPANION;
    Msg_Call renew = {.kind = MSG_RENEW};

    renew.u.renew.owner = fix->owner;
    renew.u.renew.target = companion.incarnation;
    renew.u.renew.valid_until_ms = fix->now_ms + LeaseFix_Timing().lease_ms;
    Runner_OnCall(fix->runner, fix->now_ms, 3, &renew);
}

static void
begin_play(upstream_play *play)
{
    *play = (upstream_play){.run_count = 0};
    RunnerFix_NewReady(&play->fix);
    play->answered_poll = play->fix.poll_id;
    play->answered_start = play->fix.start_id;
}

static void
start_run(upstream_play *play, lc_node owner, uint64_t job)
{
    lc_node before = play->fix.owner;

    play->fix.owner = owner;
    RunnerFix_CallRun(&play->fix, job, 1, 100, LeaseFix_Timing().lease_ms);
    play->fix.owner = before;
    answer_start(play);
}

/* Another owner starts a task every OTHER_START_MS, as long as the upstream is
 * held. */
static void
play_other_owner(upstream_play *play)
{
    runner_fixture *fix = &play->fix;
    int64_t end_ms = fix->now_ms + PLAY_MS;
    uint64_t job = OTHER_JOB;

    while (fix->now_ms < end_ms && fix->now_ms <= play->held_until_ms) {
        if ((end_ms - fix->now_ms) % OTHER_START_MS == 0) {
            start_run(play, other_owner, job++);
        }
        advance_step(play);
    }
    g_assert_cmpuint(job, >, OTHER_JOB + 1);
}

/* Guards against two runs at once: the caller of an owner that is gone submits
 * its job elsewhere, while the hold that another owner needs keeps the run. */
static void
test_other_lease_keeps_no_run(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    upstream_play play;
    int64_t last_message_ms;

    begin_play(&play);
    last_message_ms = play.fix.now_ms;
    start_run(&play, play.fix.owner, FIRST_JOB);
    play_other_owner(&play);
    g_assert_cmpint(play.fix.stops, >, 1);
    g_assert_cmpint(play.held_until_ms, <=,
                    last_message_ms + timing.lease_ms + timing.hold_ms);
    Runner_Free(play.fix.runner);
}

/* Guards against two runs at once: the caller has gone, and submits its job
 * elsewhere while its owner, which is well, renews its lease. */
static void
test_no_lease_keeps_a_halted_run(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    upstream_play play;
    int64_t halted_ms;

    begin_play(&play);
    start_run(&play, other_owner, FIRST_JOB);
    halted_ms = play.fix.now_ms;
    play.fix.owner = other_owner;
    RunnerFix_CallHalt(&play.fix, FIRST_JOB, 1);
    play_other_owner(&play);
    g_assert_cmpint(play.fix.stops, >, 1);
    g_assert_cmpint(play.held_until_ms, <=, halted_ms + timing.hold_ms);
    Runner_Free(play.fix.runner);
}

/* An owner that was stalled longer than its lease: its renewal keeps no run
 * that its caller may have submitted elsewhere meanwhile. */
static void
test_renewal_revives_no_run(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    upstream_play play;
    runner_fixture *fix = &play.fix;
    int64_t last_message_ms;

    begin_play(&play);
    last_message_ms = fix->now_ms;
    start_run(&play, fix->owner, FIRST_JOB);
    fix->now_ms += timing.lease_ms;
    renew_lease(fix);
    g_assert_cmpint(fix->stops, ==, 1);
    play_other_owner(&play);
    g_assert_cmpint(play.held_until_ms, <=,
                    last_message_ms + timing.lease_ms + timing.hold_ms);
    Runner_Free(fix->runner);
}

/* A run is halted that its companion stops already, for another reason. */
static void
test_halt_of_a_stopping_run(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    upstream_play play;
    runner_fixture *fix = &play.fix;
    int64_t halted_ms;

    begin_play(&play);
    fix->owner = other_owner;
    RunnerFix_CallRun(fix, FIRST_JOB, 1, 100, timing.lease_ms);
    play.answered_start = fix->start_id;
    play.runs[play.run_count++] = (Runner_ActiveRun){.id = fix->start.id};
    extend(&play, fix->start.deadline_ms);
    Runner_OnStarted(fix->runner, fix->now_ms, fix->start_id,
                     RUNNER_ORDER_UNANSWERED, 0);
    Runner_OnStarted(fix->runner, fix->now_ms, fix->start_id,
                     RUNNER_ORDER_UNHEALTHY, 0);
    halted_ms = fix->now_ms;
    RunnerFix_CallHalt(fix, FIRST_JOB, 1);
    play_other_owner(&play);
    g_assert_cmpint(play.held_until_ms, <=, halted_ms + timing.hold_ms);
    Runner_Free(fix->runner);
}

/* The upstream ends all its runs as the hold ends: operators are told why,
 * also if the poll in flight tells of it. */
static void
test_hold_that_ends_is_told(void)
{
    Runner_EndedRun ends[] = {
        {.number = 1,
         .id = RunnerFix_Run(OTHER_JOB, 1),
         .end = RUNNER_END_HOLD_EXPIRED},
        {.number = 2,
         .id = RunnerFix_Run(FIRST_JOB, 1),
         .end = RUNNER_END_HOLD_EXPIRED},
    };
    upstream_play play;
    runner_fixture *fix = &play.fix;
    const uint64_t *counts;

    begin_play(&play);
    counts = Runner_Counters(fix->runner)->value;
    start_run(&play, other_owner, OTHER_JOB);
    start_run(&play, fix->owner, FIRST_JOB);
    answer_poll(&play);
    RunnerFix_CallHalt(fix, FIRST_JOB, 1);
    fix->now_ms += LeaseFix_Timing().hold_ms;
    g_assert_cmpuint(counts[COUNTER_HOLDS_LIMITED], ==, 0);
    RunnerFix_AnswerPoll(fix, NULL, 0, ends, G_N_ELEMENTS(ends));
    g_assert_cmpuint(counts[COUNTER_HOLDS_LIMITED], ==, 1);
    Runner_Free(fix->runner);
}

/* Nothing is started that could not be held, and everything goes on as soon as
 * the run is over. */
static void
test_other_owner_goes_on_afterwards(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    upstream_play play;
    runner_fixture *fix = &play.fix;

    begin_play(&play);
    start_run(&play, fix->owner, FIRST_JOB);
    RunnerFix_CallHalt(fix, FIRST_JOB, 1);
    fix->now_ms += timing.hold_ms;
    g_assert_false(RunnerFix_TakesTask(fix, OTHER_JOB));
    g_assert_cmpint(fix->status, ==, LC_RUN_NOT_READY);
    play.run_count = 0;
    Runner_OnStopped(fix->runner, fix->now_ms, fix->stop_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS + fix->now_ms - START_MS);
    fix->now_ms += STEP_MS;
    advance_step(&play);
    advance_step(&play);
    g_assert_true(RunnerFix_TakesTask(fix, OTHER_JOB + 1));
    g_assert_cmpint(fix->start.deadline_ms - CLOCK_MS + START_MS, >,
                    fix->now_ms + timing.lease_ms / 2);
    Runner_Free(fix->runner);
}

/* A companion wakes from a stall after the end of a lease, and reads a HALT
 * and a renewal before its next tick: the run is unwanted since the end of the
 * lease, not only since the HALT was read. */
static void
test_halt_read_after_the_lease(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    upstream_play play;
    runner_fixture *fix = &play.fix;
    int64_t last_message_ms;

    begin_play(&play);
    last_message_ms = fix->now_ms;
    start_run(&play, fix->owner, FIRST_JOB);
    fix->now_ms += 400;
    start_run(&play, other_owner, OTHER_JOB - 1);
    fix->now_ms += 489;
    RunnerFix_CallHalt(fix, FIRST_JOB, 1);
    renew_lease(fix);
    play_other_owner(&play);
    g_assert_cmpint(play.held_until_ms, <=,
                    last_message_ms + timing.lease_ms + timing.hold_ms);
    Runner_Free(fix->runner);
}

/* A poll that was not written in time takes back only its own extension: a
 * later one that was executed reaches as far, and the runs that it keeps must
 * not be told as over while it is in force. */
static void
test_unwritten_poll_beside_an_executed_one(void)
{
    upstream_play play;
    runner_fixture *fix = &play.fix;
    Runner_PollAnswer unwritten = {.end = RUNNER_ORDER_ABANDONED};
    uint64_t first_poll;
    int64_t send_by_ms;

    begin_play(&play);
    start_run(&play, fix->owner, FIRST_JOB);
    answer_poll(&play);
    fix->now_ms += 290;
    answer_poll(&play);
    fix->now_ms += STEP_MS;
    /* The renewal comes late; the next poll raises the hold. */
    renew_lease(fix);
    answer_poll(&play);
    first_poll = fix->poll_id;
    send_by_ms = fix->poll.send_by_ms;
    /* It waits for a connection. The later ones get one and are executed, but
     * their answers are lost. */
    while (fix->now_ms <= send_by_ms) {
        fix->now_ms += STEP_MS;
        Runner_CheckOverdue(fix->runner, fix->now_ms);
        Runner_Tick(fix->runner, fix->now_ms);
        if (fix->poll_id != first_poll && fix->poll.deadline_ms > 0) {
            Runner_OnPollWritten(fix->runner, fix->poll_id);
            extend(&play, fix->poll.deadline_ms);
        }
    }
    g_assert_cmpuint(fix->poll_id, >, first_poll);
    g_assert_cmpint(play.held_until_ms, >, fix->now_ms + 200);
    fix->replies = 0;
    Runner_OnPollAnswer(fix->runner, fix->now_ms, first_poll, &unwritten);
    while (fix->now_ms < play.held_until_ms) {
        Runner_Tick(fix->runner, fix->now_ms);
        /* The reply to RUN is sent when the run is taken for over. */
        g_assert_cmpint(fix->replies, ==, 0);
        fix->now_ms += STEP_MS;
        Runner_CheckOverdue(fix->runner, fix->now_ms);
    }
    Runner_Free(fix->runner);
}

/* A durable run goes to the successor of its owner: it is not stopped because
 * of the successor's own lease, which has ended meanwhile. */
static void
test_transferred_run_goes_on(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    lc_node gone = RUNNER_FIX_ENTRY;
    lc_node companion = RUNNER_FIX_COMPANION;
    Msg_Call fence = {.kind = MSG_FENCE};
    upstream_play play;
    runner_fixture *fix = &play.fix;

    begin_play(&play);
    fix->owner = other_owner;
    RunnerFix_CallRun(fix, OTHER_JOB, 1, 100, timing.lease_ms);
    answer_start(&play);
    fix->owner = gone;
    RunnerFix_CallRun(fix, FIRST_JOB, RUN_ID_DURABLE_BASE + 1, 100,
                      timing.lease_ms);
    answer_start(&play);
    answer_poll(&play);
    fix->now_ms += timing.lease_ms;
    fence.u.fence.target = companion.incarnation;
    fence.u.fence.gone.gone_val = &gone;
    fence.u.fence.gone.gone_len = 1;
    fence.u.fence.successor = other_owner;
    Runner_OnCall(fix->runner, fix->now_ms, 4, &fence);
    g_assert_cmpuint(fix->held_runs, ==, 1);
    g_assert_cmpint(fix->stops, ==, 1);
    g_assert_cmpuint(fix->stopped.job, ==, OTHER_JOB);
    Runner_Free(fix->runner);
}

/* A listed run that no task stands for is stopped; while that is unanswered,
 * no lease of an owner keeps it. */
static void
test_no_lease_keeps_an_unknown_run(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    upstream_play play;
    runner_fixture *fix = &play.fix;
    int64_t listed_ms;

    begin_play(&play);
    start_run(&play, other_owner, OTHER_JOB - 1);
    play.runs[play.run_count++] = (Runner_ActiveRun){
        .id = RunnerFix_Run(FIRST_JOB, 1)};
    listed_ms = fix->now_ms;
    answer_poll(&play);
    g_assert_cmpint(fix->stops, ==, 1);
    play_other_owner(&play);
    g_assert_cmpint(play.held_until_ms, <=, listed_ms + timing.hold_ms);
    Runner_Free(fix->runner);
}

/* An unknown run is the only one: the upstream is polled until it is over, and
 * takes tasks again. */
static void
test_unknown_run_is_polled_until_over(void)
{
    upstream_play play;
    runner_fixture *fix = &play.fix;

    begin_play(&play);
    start_run(&play, fix->owner, OTHER_JOB);
    play.runs[0].id = RunnerFix_Run(FIRST_JOB, 1);
    while (fix->now_ms < START_MS + PLAY_MS) {
        advance_step(&play);
    }
    g_assert_cmpint(fix->replies, ==, 1); /* no task is active any more */
    g_assert_false(RunnerFix_TakesTask(fix, OTHER_JOB + 1));
    play.run_count = 0;
    fix->now_ms += STEP_MS;
    answer_poll(&play);
    RunnerFix_Heartbeat(fix, RUNNER_UPSTREAM_READY);
    g_assert_true(RunnerFix_TakesTask(fix, OTHER_JOB + 2));
    Runner_Free(fix->runner);
}

/* Messages of the owner arrive after the run's lease has ended: that the run
 * is listed past its end is still noticed (LC527). */
static void
test_run_past_lease_is_counted(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    upstream_play play;
    runner_fixture *fix = &play.fix;

    begin_play(&play);
    start_run(&play, fix->owner, FIRST_JOB);
    answer_poll(&play);
    fix->now_ms += timing.lease_ms;
    while (fix->now_ms < START_MS + PLAY_MS) {
        renew_lease(fix);
        Runner_CheckOverdue(fix->runner, fix->now_ms);
        Runner_Tick(fix->runner, fix->now_ms);
        answer_poll(&play);
        fix->now_ms += STEP_MS;
    }
    g_assert_cmpuint(
        Runner_Counters(fix->runner)->value[COUNTER_RUNS_PAST_LEASE], ==, 1);
    Runner_Free(fix->runner);
}

/* An end of a durable job is held, so that the upstream lists as many ends as
 * one answer takes. A run whose stop was answered, and that is not listed any
 * more, is over all the same: it does not limit the hold of other owners,
 * whose tasks wait for places in the list alone. */
static void
test_long_listing_does_not_close_the_upstream(void)
{
    LeaseTiming timing = LeaseFix_Timing();
    Runner_EndedRun *ends = g_new0(Runner_EndedRun, RUNNER_MAX_LISTED_ENDS);
    upstream_play play;
    runner_fixture *fix = &play.fix;
    uint32_t i;

    begin_play(&play);
    start_run(&play, fix->owner, FIRST_JOB);
    for (i = 0; i < RUNNER_MAX_LISTED_ENDS; i++) {
        ends[i].number = i + 1;
        ends[i].id = RunnerFix_Run(OTHER_JOB + 1000 + i, 1);
        ends[i].end = RUNNER_END_DONE;
    }
    ends[0].id.run = RUN_ID_DURABLE_BASE + 1;
    RunnerFix_CallHalt(fix, FIRST_JOB, 1);
    Runner_OnStopped(fix->runner, fix->now_ms, fix->stop_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS + fix->now_ms - START_MS);
    for (i = 0; i < (uint32_t)timing.hold_ms / STEP_MS + 2; i++) {
        fix->now_ms += STEP_MS;
        Runner_CheckOverdue(fix->runner, fix->now_ms);
        Runner_Tick(fix->runner, fix->now_ms);
        if (fix->poll_id != play.answered_poll) {
            play.answered_poll = fix->poll_id;
            RunnerFix_AnswerPoll(fix, NULL, 0, ends, RUNNER_MAX_LISTED_ENDS);
        }
    }
    RunnerFix_Heartbeat(fix, RUNNER_UPSTREAM_READY);
    g_assert_false(RunnerFix_TakesTask(fix, OTHER_JOB));
    g_assert_cmpint(fix->status, ==, LC_RUN_NO_ROOM);
    RunnerFix_Release(fix, &ends[0].id);
    fix->now_ms += STEP_MS;
    Runner_Tick(fix->runner, fix->now_ms);
    RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
    g_assert_true(RunnerFix_TakesTask(fix, OTHER_JOB + 1));
    g_free(ends);
    Runner_Free(fix->runner);
}

/* Renews the lease of the fixture's owner from now on. */
/* While only an unknown run goes on, the upstream is not asked, and the run
 * not stopped, again as fast as it answers. */
static void
test_unknown_run_is_not_polled_in_a_loop(void)
{
    upstream_play play;
    runner_fixture *fix = &play.fix;
    int polls;
    int stops;
    int i;

    begin_play(&play);
    start_run(&play, fix->owner, OTHER_JOB);
    play.runs[0].id = RunnerFix_Run(FIRST_JOB, 1);
    while (fix->replies == 0) {
        advance_step(&play);
    }
    polls = fix->polls;
    stops = fix->stops;
    for (i = 0; i < 100; i++) {
        /* 100 ms in all: an upstream that delays no answer */
        fix->now_ms += 1;
        Runner_CheckOverdue(fix->runner, fix->now_ms);
        if (fix->poll.wait_ms == 0) {
            answer_poll(&play);
        }
    }
    g_assert_cmpint(fix->polls - polls, <=, 20);
    g_assert_cmpint(fix->stops - stops, <=, 20);
    Runner_Free(fix->runner);
}

/* ---- an upstream that cannot be reached for some time ---- */

#define MAX_WAITING 8
#define OUTAGE_STEP_MS 100
#define BEGIN_STEP_MS 20
#define OUTAGE_BEGIN_MS 700
#define OUTAGE_MAX_MS 1500
#define OWNER_STEP_MS 300

/* What becomes of polls in the outage. */
typedef enum {
    OUTAGE_WAITS, /* they wait for a connection until it ends */
    OUTAGE_REFUSES,
    OUTAGE_UNANSWERED, /* they are executed, their answers lost */
    OUTAGE_KINDS
} outage_kind;

/* An upstream with a slow clock that executes one run, and the polls that wait
 * for a connection to it. */
typedef struct {
    runner_fixture fix;
    outage_kind kind;
    int64_t outage_ms;
    int64_t outage_end_ms;
    int64_t owner_end_ms;   /* the owner renews until then */
    int64_t certain_end_ms; /* for the owner, by its last renewal */
    int64_t hold_until_ms;  /* on the upstream's clock */
    bool runs;
    bool late;      /* a poll was written after the end of the hold */
    bool waited;    /* one that waited was written */
    bool unwritten; /* one that waited may not be written any more */
    uint64_t last_poll;
    uint64_t waiting_ids[MAX_WAITING];
    Runner_Poll waiting[MAX_WAITING];
    uint32_t waiting_count;
} outage_play;

/* Plays of outages in which this happened, as in outage_play. */
typedef struct {
    uint32_t late;
    uint32_t waited;
    uint32_t unwritten;
} outage_counts;

static int64_t
slow_clock_ms(const outage_play *play)
{
    return CLOCK_MS +
           LeaseTiming_MinUpstreamElapsedMs(play->fix.now_ms - START_MS);
}

static bool
is_unreachable(const outage_play *play)
{
    return play->fix.now_ms >= play->outage_ms &&
           play->fix.now_ms < play->outage_end_ms;
}

static void
execute_poll(outage_play *play, uint64_t id, const Runner_Poll *poll)
{
    Runner_OnPollWritten(play->fix.runner, id);
    play->late |= !play->runs && poll->deadline_ms > 0;
    if (play->runs) {
        play->hold_until_ms = MAX(play->hold_until_ms, poll->deadline_ms);
    }
}

static void
answer_executed(outage_play *play, uint64_t id)
{
    Runner_ActiveRun running = {RunnerFix_Run(FIRST_JOB, 1), 10};
    Runner_EndedRun ended = {1, running.id, RUNNER_END_HOLD_EXPIRED};
    Runner_PollAnswer listing = {.end = RUNNER_ORDER_ACCEPTED,
                                 .clock_ms = slow_clock_ms(play),
                                 .running = &running,
                                 .running_count = play->runs,
                                 .ended = &ended,
                                 .ended_count = !play->runs};

    Runner_OnPollAnswer(play->fix.runner, play->fix.now_ms, id, &listing);
}

static void
fail_poll(outage_play *play, uint64_t id, Runner_OrderResult result)
{
    Runner_PollAnswer listing = {.end = result};

    Runner_OnPollAnswer(play->fix.runner, play->fix.now_ms, id, &listing);
}

/* Carries out the polls sent since the last call. */
static void
carry_polls(outage_play *play)
{
    while (play->fix.poll_id != play->last_poll) {
        Runner_Poll poll = play->fix.poll;
        play->last_poll = play->fix.poll_id;
        if (!is_unreachable(play)) {
            execute_poll(play, play->last_poll, &poll);
            answer_executed(play, play->last_poll);
            return; /* the next one is carried out in the next step */
        }
        if (play->kind == OUTAGE_REFUSES) {
            fail_poll(play, play->last_poll, RUNNER_ORDER_UNSENT);
        }
        else if (play->kind == OUTAGE_UNANSWERED) {
            execute_poll(play, play->last_poll, &poll);
        }
        else if (play->waiting_count < MAX_WAITING) {
            play->waiting_ids[play->waiting_count] = play->last_poll;
            play->waiting[play->waiting_count++] = poll;
        }
    }
}

/* The outage has ended: the polls that wait are written if they still may be.
 */
static void
write_waiting(outage_play *play)
{
    uint32_t i;

    for (i = 0; i < play->waiting_count; i++) {
        const Runner_Poll *poll = &play->waiting[i];
        if (poll->send_by_ms != 0 && play->fix.now_ms > poll->send_by_ms) {
            play->unwritten = true;
            fail_poll(play, play->waiting_ids[i], RUNNER_ORDER_ABANDONED);
        }
        else {
            play->waited = true;
            execute_poll(play, play->waiting_ids[i], poll);
            answer_executed(play, play->waiting_ids[i]);
        }
    }
    play->waiting_count = 0;
}

static void
advance_outage(outage_play *play)
{
    LeaseTiming timing = LeaseFix_Timing();
    runner_fixture *fix = &play->fix;

    fix->now_ms += STEP_MS;
    play->runs &= slow_clock_ms(play) <= play->hold_until_ms;
    if (fix->now_ms <= play->owner_end_ms &&
        (fix->now_ms - START_MS) % 100 == 0) {
        renew_lease(fix);
        fix->replies--; /* that to RENEW */
        play->certain_end_ms = LeaseTiming_CertainEnd(&timing, fix->now_ms);
    }
    if (!is_unreachable(play)) {
        write_waiting(play);
    }
    Runner_CheckOverdue(fix->runner, fix->now_ms);
    Runner_Tick(fix->runner, fix->now_ms);
    carry_polls(play);
}

/* Counts the plays of each kind of waiting poll. */
static void
play_outage(outage_kind kind, int64_t begin_ms, int64_t length_ms,
            int64_t owner_ms, outage_counts *counts)
{
    outage_play play = {.kind = kind,
                        .outage_ms = START_MS + begin_ms,
                        .outage_end_ms = START_MS + begin_ms + length_ms,
                        .owner_end_ms = START_MS + owner_ms,
                        .runs = true};
    LeaseTiming timing = LeaseFix_Timing();
    runner_fixture *fix = &play.fix;

    RunnerFix_NewReady(fix);
    play.certain_end_ms = LeaseTiming_CertainEnd(&timing, fix->now_ms);
    play.last_poll = fix->poll_id;
    RunnerFix_CallRun(fix, FIRST_JOB, 1, 100, LeaseFix_Timing().lease_ms);
    play.hold_until_ms = fix->start.deadline_ms;
    Runner_OnStarted(fix->runner, fix->now_ms, fix->start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    carry_polls(&play);
    for (fix->replies = 0; fix->now_ms < START_MS + PLAY_MS;) {
        advance_outage(&play);
        g_assert_true(fix->replies == 0 || !play.runs);
        g_assert_true(fix->now_ms <= play.certain_end_ms || !play.runs);
    }
    Runner_Free(fix->runner);
    counts->late += play.late;
    counts->waited += play.waited;
    counts->unwritten += play.unwritten;
}

/* The upstream goes on as the same incarnation. Polls that waited for a
 * connection are written within the hold that was in force, or not at all: no
 * run is told as over while it runs, and none outlives its owner's lease by
 * more than a hold. */
static void
test_outage_makes_no_second_run(void)
{
    outage_counts counts = {0};
    int64_t begin_ms;
    int64_t length_ms;
    int64_t owner_ms;
    int kind;

    for (kind = 0; kind < OUTAGE_KINDS; kind++) {
        for (begin_ms = 0; begin_ms < OUTAGE_BEGIN_MS;
             begin_ms += BEGIN_STEP_MS) {
            for (length_ms = 0; length_ms < OUTAGE_MAX_MS;
                 length_ms += OUTAGE_STEP_MS) {
                for (owner_ms = 0; owner_ms <= PLAY_MS;
                     owner_ms += OWNER_STEP_MS) {
                    play_outage((outage_kind)kind, begin_ms, length_ms,
                                owner_ms, &counts);
                }
            }
        }
    }
    g_test_message("%u plays with a poll written after the hold, %u with one "
                   "that waited and was written, %u with one that was not",
                   counts.late, counts.waited, counts.unwritten);
    g_assert_cmpuint(counts.late, ==, 0);
    g_assert_cmpuint(counts.waited, >, 0);
    g_assert_cmpuint(counts.unwritten, >, 0);
}

static const TestTable_Row tests[] = {
    {"/run_past_lease/outage_makes_no_second_run",
     test_outage_makes_no_second_run},
    {"/run_past_lease/unknown_run_is_not_polled_in_a_loop",
     test_unknown_run_is_not_polled_in_a_loop},
    {"/run_past_lease/long_listing_does_not_close_the_upstream",
     test_long_listing_does_not_close_the_upstream},
    {"/run_past_lease/transferred_run_goes_on", test_transferred_run_goes_on},
    {"/run_past_lease/no_lease_keeps_an_unknown_run",
     test_no_lease_keeps_an_unknown_run},
    {"/run_past_lease/unknown_run_is_polled_until_over",
     test_unknown_run_is_polled_until_over},
    {"/run_past_lease/run_past_lease_is_counted",
     test_run_past_lease_is_counted},
    {"/run_past_lease/halt_read_after_the_lease",
     test_halt_read_after_the_lease},
    {"/run_past_lease/unwritten_poll_beside_an_executed_one",
     test_unwritten_poll_beside_an_executed_one},
    {"/run_past_lease/other_lease_keeps_no_run",
     test_other_lease_keeps_no_run},
    {"/run_past_lease/no_lease_keeps_a_halted_run",
     test_no_lease_keeps_a_halted_run},
    {"/run_past_lease/renewal_revives_no_run", test_renewal_revives_no_run},
    {"/run_past_lease/halt_of_a_stopping_run", test_halt_of_a_stopping_run},
    {"/run_past_lease/hold_that_ends_is_told", test_hold_that_ends_is_told},
    {"/run_past_lease/other_owner_goes_on_afterwards",
     test_other_owner_goes_on_afterwards},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, tests, G_N_ELEMENTS(tests));
}

/*
 * Rules of a heartbeat that another writer sends under an upstream's id, with
 * values that the upstream never reports: it costs itself alone, and the
 * upstream's own heartbeats are in force again soon after.
 */

#include <glib.h>
#include <string.h>

#include "tests/runner_fixture.h"
#include "tests/test_table.h"

#define BEAT_MS ((int64_t)1500)
#define BORN_MS 1700000000000
/* The largest number that a heartbeat may hold, see platform/upstream_api.c.
 */
#define LARGEST ((int64_t)1 << 53)
/* Beats until the upstream's own heartbeats are in force again. */
#define BEATS 2
/* The same where heartbeats do not tell when they were sent. */
#define BEATS_WITHOUT_CLOCK 5

/* What a kind of upstream reports. */
typedef struct {
    const char *name;
    bool has_clock;
    bool has_born;
    int beats;
} upstream_kind;

static const upstream_kind kinds[] = {
    {"clock", true, false, BEATS},
    {"clock and start time", true, true, BEATS},
    {"neither", false, false, BEATS_WITHOUT_CLOCK},
};

/* Changes of an otherwise true heartbeat. */
typedef struct {
    const char *name;
    uint64_t sequence_ahead; /* of the upstream's last one */
    int64_t clock_ahead_ms;  /* of the upstream's clock */
    int64_t born_ms;         /* 0: as the upstream reports */
    u_int cpu_milli;         /* 0: as the upstream reports */
    const char *service;     /* NULL: as the upstream reports */
    bool without_clock;
    bool without_born;
} odd_heartbeat;

static const odd_heartbeat odd_heartbeats[] = {
    {.name = "sequence", .sequence_ahead = (uint64_t)LARGEST},
    {.name = "sequence of another counter", .sequence_ahead = 100000},
    {.name = "sequence without a clock",
     .sequence_ahead = 100000,
     .without_clock = true},
    {.name = "clock", .sequence_ahead = 1, .clock_ahead_ms = LARGEST},
    {.name = "clock of a day",
     .sequence_ahead = 1,
     .clock_ahead_ms = 86400000},
    {.name = "clock and sequence",
     .sequence_ahead = 100000,
     .clock_ahead_ms = INT64_MAX - CLOCK_MS - 100000},
    {.name = "start time", .sequence_ahead = 100000, .born_ms = LARGEST},
    {.name = "no start time", .sequence_ahead = 100000, .without_born = true},
    {.name = "capacity", .sequence_ahead = 100000, .cpu_milli = UINT32_MAX},
    {.name = "service", .sequence_ahead = 100000, .service = "other"},
    {.name = "service under the next number",
     .sequence_ahead = 1,
     .service = "other"},
};

static Runner_Heartbeat
true_heartbeat(const runner_fixture *fix, const upstream_kind *kind)
{
    static const char *const labels[] = {NULL};
    Runner_Heartbeat heartbeat = {.instance = "i-1",
                                  .born_ms = kind->has_born ? BORN_MS : 0,
                                  .sequence = fix->heartbeats,
                                  .service = "service",
                                  .reported_state = RUNNER_UPSTREAM_READY,
                                  .capacity = {4000, 4096, 0},
                                  .labels = labels};

    if (kind->has_clock) {
        heartbeat.clock_ms = CLOCK_MS + fix->now_ms - START_MS;
    }
    return heartbeat;
}

/* The upstream answers the last poll and sends its next heartbeat. */
static void
beat(runner_fixture *fix, const upstream_kind *kind,
     Runner_ReportedState reported_state)
{
    Runner_Heartbeat heartbeat;

    fix->heartbeats++;
    heartbeat = true_heartbeat(fix, kind);
    heartbeat.reported_state = reported_state;
    Runner_OnHeartbeat(fix->runner, fix->now_ms, &heartbeat);
    fix->born_ms = heartbeat.born_ms;
    RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
    RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
}

static void
advance(runner_fixture *fix, int64_t ms)
{
    int64_t until = fix->now_ms + ms;

    while (fix->now_ms < until) {
        fix->now_ms += 50;
        Runner_Tick(fix->runner, fix->now_ms);
        RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
    }
}

static Runner_Heartbeat
make_odd(const runner_fixture *fix, const upstream_kind *kind,
         const odd_heartbeat *odd)
{
    Runner_Heartbeat heartbeat = true_heartbeat(fix, kind);

    heartbeat.sequence += odd->sequence_ahead;
    heartbeat.clock_ms = odd->without_clock
                             ? 0
                             : CLOCK_MS + fix->now_ms - START_MS +
                                   odd->clock_ahead_ms;
    if (odd->born_ms != 0 || odd->without_born) {
        heartbeat.born_ms = odd->born_ms;
    }
    if (odd->cpu_milli != 0) {
        heartbeat.capacity.cpu_milli = odd->cpu_milli;
    }
    if (odd->service != NULL) {
        heartbeat.service = odd->service;
    }
    return heartbeat;
}

static void
send_odd(runner_fixture *fix, const upstream_kind *kind,
         const odd_heartbeat *odd)
{
    Runner_Heartbeat heartbeat = make_odd(fix, kind, odd);

    Runner_OnHeartbeat(fix->runner, fix->now_ms, &heartbeat);
    fix->born_ms = kind->has_born ? BORN_MS : 0;
    RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
}

/* The upstream's own heartbeats are in force: it takes no task while it says
 * that it drains, and otherwise what it has room for, by its own clock. */
static void
check_in_force(runner_fixture *fix, const upstream_kind *kind)
{
    int64_t clock_ms;

    beat(fix, kind, RUNNER_UPSTREAM_DRAINING);
    g_assert_false(RunnerFix_TakesTask(fix, 1));
    advance(fix, BEAT_MS);
    beat(fix, kind, RUNNER_UPSTREAM_READY);
    RunnerFix_CallRun(fix, 2, 1, 4001, 500);
    g_assert_cmpint(fix->starts, ==, 0);
    g_assert_true(RunnerFix_TakesTask(fix, 3));
    clock_ms = CLOCK_MS + fix->now_ms - START_MS;
    g_assert_cmpint(fix->start.deadline_ms, <, clock_ms + 10000);
    g_assert_cmpint(fix->start.deadline_ms, >, clock_ms - 1000);
}

static void
check_odd(const upstream_kind *kind, const odd_heartbeat *odd, bool first)
{
    runner_fixture fix;
    int i;

    g_test_message("%s, upstream with %s, %s", odd->name, kind->name,
                   first ? "before any of its own" : "between its own");
    RunnerFix_New(&fix);
    if (!first) {
        beat(&fix, kind, RUNNER_UPSTREAM_READY);
        beat(&fix, kind, RUNNER_UPSTREAM_READY);
    }
    advance(&fix, BEAT_MS / 2);
    send_odd(&fix, kind, odd);
    for (i = 0; i < kind->beats; i++) {
        advance(&fix, BEAT_MS);
        beat(&fix, kind, RUNNER_UPSTREAM_READY);
    }
    advance(&fix, BEAT_MS);
    check_in_force(&fix, kind);
    Runner_Free(fix.runner);
}

static void
check_all_odd(bool first)
{
    size_t i;
    size_t j;

    for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
        for (j = 0; j < G_N_ELEMENTS(odd_heartbeats); j++) {
            check_odd(&kinds[i], &odd_heartbeats[j], first);
        }
    }
}

/* Guards against an upstream that takes no more tasks, for the rest of its
 * life, after one heartbeat of another writer under its id. */
static void
test_between_own(void)
{
    check_all_odd(false);
}

/* The same if it comes before any of the upstream's own. */
static void
test_before_own(void)
{
    check_all_odd(true);
}

/* Guards against a heartbeat that no upstream can have sent being in force
 * until the upstream's next one. */
static void
test_impossible_is_not_taken(void)
{
    static const odd_heartbeat impossible[] = {
        {.name = "sequence", .sequence_ahead = (uint64_t)LARGEST},
        {.name = "clock", .sequence_ahead = 1, .clock_ahead_ms = 1000},
        {.name = "start time", .sequence_ahead = 1, .born_ms = BORN_MS},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(impossible); i++) {
        Runner_Heartbeat heartbeat;
        runner_fixture fix;
        g_test_message("%s", impossible[i].name);
        RunnerFix_New(&fix);
        beat(&fix, &kinds[0], RUNNER_UPSTREAM_READY);
        advance(&fix, BEAT_MS / 2);
        heartbeat = make_odd(&fix, &kinds[0], &impossible[i]);
        heartbeat.reported_state = RUNNER_UPSTREAM_DRAINING;
        Runner_OnHeartbeat(fix.runner, fix.now_ms, &heartbeat);
        RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
        g_assert_true(RunnerFix_TakesTask(&fix, 1));
        Runner_Free(fix.runner);
    }
}

/* One that is really late is never taken, however long none has come since:
 * it was sent before the one in force. */
static void
test_late_after_silence(void)
{
    runner_fixture fix;
    Runner_Heartbeat late[2];
    size_t i;

    RunnerFix_New(&fix);
    beat(&fix, &kinds[0], RUNNER_UPSTREAM_READY);
    for (i = 0; i < G_N_ELEMENTS(late); i++) {
        advance(&fix, BEAT_MS);
        fix.heartbeats++;
        late[i] = true_heartbeat(&fix, &kinds[0]);
    }
    advance(&fix, BEAT_MS);
    beat(&fix, &kinds[0], RUNNER_UPSTREAM_DRAINING);
    for (i = 0; i < G_N_ELEMENTS(late); i++) {
        advance(&fix, 4 * BEAT_MS);
        Runner_OnHeartbeat(fix.runner, fix.now_ms, &late[i]);
    }
    g_assert_false(RunnerFix_TakesTask(&fix, 1));
    Runner_Free(fix.runner);
}

/* The same if it was sent within the last interval. */
static void
test_late_by_a_moment(void)
{
    runner_fixture fix;
    Runner_Heartbeat late;

    RunnerFix_New(&fix);
    beat(&fix, &kinds[0], RUNNER_UPSTREAM_READY);
    advance(&fix, BEAT_MS);
    fix.heartbeats++;
    late = true_heartbeat(&fix, &kinds[0]);
    advance(&fix, 50);
    beat(&fix, &kinds[0], RUNNER_UPSTREAM_DRAINING);
    Runner_OnHeartbeat(fix.runner, fix.now_ms, &late);
    g_assert_false(RunnerFix_TakesTask(&fix, 1));
    Runner_Free(fix.runner);
}

/* Without a clock one that is late by less than some beats is not taken. */
static void
test_late_without_clock(void)
{
    runner_fixture fix;
    Runner_Heartbeat late[2];
    size_t i;

    RunnerFix_New(&fix);
    beat(&fix, &kinds[2], RUNNER_UPSTREAM_READY);
    for (i = 0; i < G_N_ELEMENTS(late); i++) {
        fix.heartbeats++;
        late[i] = true_heartbeat(&fix, &kinds[2]);
    }
    beat(&fix, &kinds[2], RUNNER_UPSTREAM_DRAINING);
    for (i = 0; i < G_N_ELEMENTS(late); i++) {
        advance(&fix, BEAT_MS);
        Runner_OnHeartbeat(fix.runner, fix.now_ms, &late[i]);
    }
    g_assert_false(RunnerFix_TakesTask(&fix, 1));
    Runner_Free(fix.runner);
}

/* A machine that was suspended may hear an upstream whose clock has gone on
 * meanwhile. */
static void
test_clock_after_suspension(void)
{
    runner_fixture fix;
    Runner_Heartbeat heartbeat;

    RunnerFix_New(&fix);
    beat(&fix, &kinds[0], RUNNER_UPSTREAM_READY);
    fix.now_ms += 100;
    Runner_OnSuspended(fix.runner, fix.now_ms, 5000);
    fix.heartbeats++;
    heartbeat = true_heartbeat(&fix, &kinds[0]);
    heartbeat.clock_ms += 5000;
    heartbeat.reported_state = RUNNER_UPSTREAM_DRAINING;
    Runner_OnHeartbeat(fix.runner, fix.now_ms, &heartbeat);
    g_assert_false(RunnerFix_TakesTask(&fix, 1));
    Runner_Free(fix.runner);
}

static const TestTable_Row rules[] = {
    {"/odd-heartbeats/one between the upstream's own", test_between_own},
    {"/odd-heartbeats/one before any of the upstream's own", test_before_own},
    {"/odd-heartbeats/one that no upstream can have sent is not taken",
     test_impossible_is_not_taken},
    {"/odd-heartbeats/late ones are not taken after a silence",
     test_late_after_silence},
    {"/odd-heartbeats/one that is late by a moment is not taken",
     test_late_by_a_moment},
    {"/odd-heartbeats/late ones without a clock are not taken",
     test_late_without_clock},
    {"/odd-heartbeats/the upstream's clock after a suspension",
     test_clock_after_suspension},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

/*
 * Rules of closed halls: what is believed of whom, that nothing starts in one,
 * and what becomes of jobs that could run nowhere else.
 */

#include <glib.h>
#include <string.h>

#include "lease/closures.h"
#include "lease/dispatcher.h"
#include "tests/lease_fixture.h"
#include "tests/rule_table.h"
#include "tests/runner_fixture.h"

static const lc_node entry_node = {0x7f0000011b59, 100};
static const lc_node own_companion = {0x7f0000011b63, 900};
static const lc_node other_companion = {0x7f0000011b64, 901};

/* A message of up to two closed halls. */
static lc_closures
message(int64_t as_of, uint32_t age_ms, const char *first, const char *second)
{
    static lc_hall names[2];
    lc_closures told = {.as_of = as_of, .age_ms = age_ms};

    names[0] = (char *)(uintptr_t)first;
    names[1] = (char *)(uintptr_t)second;
    told.halls.halls_len = first == NULL ? 0 : second == NULL ? 1 : 2;
    told.halls.halls_val = names;
    return told;
}

/* ---- what is believed ---- */

typedef struct {
    const char *name;
    int64_t as_of; /* told after "own" was closed as of 5 */
    const char *halls[2];
    Closures_Change change;
    bool own_closed;
} belief_case;

static const belief_case belief_cases[] = {
    {"/halls/a later word that names it not opens it",
     6,
     {NULL, NULL},
     CLOSURES_DIFFERENT,
     false},
    {"/halls/an earlier word never opens it",
     4,
     {NULL, NULL},
     CLOSURES_OLDER,
     true},
    {"/halls/another word of the same records changes nothing",
     5,
     {NULL, NULL},
     CLOSURES_SAME,
     true},
    {"/halls/who has read nothing is not believed",
     -1,
     {NULL, NULL},
     CLOSURES_OLDER,
     true},
    {"/halls/later records about other matters",
     9,
     {"own", NULL},
     CLOSURES_SAME,
     true},
    {"/halls/another hall besides",
     6,
     {"own", "other"},
     CLOSURES_DIFFERENT,
     true},
    {"/halls/another hall in its place",
     6,
     {"other", NULL},
     CLOSURES_DIFFERENT,
     false},
};

static void
check_belief(gconstpointer item)
{
    const belief_case *one = item;
    lc_closures told = message(5, 0, "own", NULL);
    Closures closures;

    Closures_Init(&closures, START_MS);
    g_assert_false(Closures_Has(&closures, "own"));
    g_assert_cmpint(Closures_Take(&closures, START_MS, START_MS, &told), ==,
                    CLOSURES_DIFFERENT);
    told = message(one->as_of, 0, one->halls[0], one->halls[1]);
    g_assert_cmpint(Closures_Take(&closures, START_MS, START_MS, &told), ==,
                    one->change);
    g_assert_cmpint(Closures_Has(&closures, "own"), ==, one->own_closed);
    Closures_Clear(&closures);
}

/* An answer counts from when it was asked for; what nobody asked for may have
 * been held up for any time. */
static void
test_confirmed(void)
{
    lc_closures told = message(5, 300, NULL, NULL);
    Closures closures;

    Closures_Init(&closures, START_MS);
    Closures_Take(&closures, START_MS + 2000, CLOSURES_UNASKED, &told);
    g_assert_cmpint(Closures_AgeMs(&closures, START_MS + 2000), ==, 2000);
    Closures_Take(&closures, START_MS + 3000, START_MS + 1000, &told);
    g_assert_cmpint(Closures_AgeMs(&closures, START_MS + 3000), ==, 2300);
    told = message(4, 0, NULL, NULL);
    Closures_Take(&closures, START_MS + 3000, START_MS + 3000, &told);
    g_assert_cmpint(Closures_AgeMs(&closures, START_MS + 3000), ==, 2300);
    Closures_Clear(&closures);
}

static void
test_told_on(void)
{
    lc_closures told = message(5, 100, "b", "a");
    lc_closures again;
    Closures closures;

    Closures_Init(&closures, START_MS);
    Closures_Tell(&closures, START_MS, &again);
    g_assert_cmpint(again.as_of, ==, -1);
    Closures_Take(&closures, START_MS + 500, START_MS + 500, &told);
    Closures_Tell(&closures, START_MS + 550, &again);
    g_assert_cmpint(again.as_of, ==, 5);
    g_assert_cmpuint(again.age_ms, ==, 150);
    g_assert_cmpuint(again.halls.halls_len, ==, 2);
    g_assert_cmpstr(again.halls.halls_val[0], ==, "a");
    Closures_Clear(&closures);
}

/* ---- a companion ---- */

static void
tell_runner(runner_fixture *fix, int64_t as_of, const char *hall)
{
    lc_closures told = message(as_of, 0, hall, NULL);

    Runner_TakeClosures(fix->runner, fix->now_ms, fix->now_ms, &told, "test");
}

typedef struct {
    const char *name;
    const char *closed;   /* as of 5 */
    int64_t caller_as_of; /* of the entry that sends a start */
    int starts;
} start_case;

static const start_case start_cases[] = {
    {"/halls/a companion starts in an open hall", "other", 1, 1},
    {"/halls/a companion refuses a start in its closed hall", RUNNER_FIX_HALL,
     1, 0},
    {"/halls/an entry that knows as much is refused too", RUNNER_FIX_HALL, 5,
     0},
    {"/halls/an entry that knows of later records is believed",
     RUNNER_FIX_HALL, 6, 1},
};

static void
check_start(gconstpointer item)
{
    const start_case *one = item;
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    tell_runner(&fix, 5, one->closed);
    fix.caller_as_of = one->caller_as_of;
    RunnerFix_CallRun(&fix, 1, 1, 1000, 100);
    g_assert_cmpint(fix.starts, ==, one->starts);
    if (one->starts == 0) {
        g_assert_cmpint(fix.status, ==, LC_RUN_CLOSED);
    }
    Runner_Free(fix.runner);
}

/* What runs when its hall is closed goes on, its start is sent again, and its
 * end is told. */
static void
test_runs_go_on(void)
{
    Runner_EndRow end = {1, RunnerFix_Run(1, 1), RUNNER_END_DONE};
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 400);
    tell_runner(&fix, 5, RUNNER_FIX_HALL);
    fix.now_ms += 150;
    Runner_Wake(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, ==, 2);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id, RUNNER_ORDER_TAKEN,
                     CLOCK_MS);
    g_assert_cmpint(fix.stops, ==, 0);
    RunnerFix_AnswerLook(&fix, NULL, 0, &end, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_DONE);
    Runner_Free(fix.runner);
}

/* Whoever was refused learns of the closed hall by the next report, which is
 * due at once. */
static void
test_refused_is_told(void)
{
    lc_report_args report;
    runner_fixture fix;
    uint64_t version;

    RunnerFix_NewReady(&fix);
    tell_runner(&fix, 5, RUNNER_FIX_HALL);
    version = Runner_Version(fix.runner);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 100);
    g_assert_cmpuint(Runner_Version(fix.runner), >, version);
    g_assert_true(Runner_Report(fix.runner, fix.now_ms, &report));
    g_assert_cmpint(report.closures.as_of, ==, 5);
    g_assert_cmpuint(report.closures.halls.halls_len, ==, 1);
    Runner_Free(fix.runner);
}

/* ---- an entry ---- */

typedef struct {
    Dispatcher *dispatcher;
    Route_Table *routes;
    Route *route;
    int64_t now_ms;
    Address sent_to; /* of the last start; 0 for none */
    int64_t sent_as_of;
    uint64_t sent_id;
    int answers;
    Err_Kind kind;
    uint32_t retry_ms;
} entry_fixture;

static void
port_call(void *context, Address to, uint64_t id, const Msg_Call *call)
{
    entry_fixture *fix = context;

    if (call->kind == MSG_RUN) {
        fix->sent_to = to;
        fix->sent_id = id;
        fix->sent_as_of = call->u.run.closures_as_of;
    }
}

static void
port_reset(void *context, Address to)
{
    (void)context;
    (void)to;
}

static void
port_answer(void *context, uint64_t request, const Dispatcher_Answer *answer)
{
    entry_fixture *fix = context;

    (void)request;
    fix->answers++;
    fix->kind = answer->kind;
    fix->retry_ms = answer->retry_ms;
}

static const Dispatcher_Ports dispatcher_ports = {
    .call = port_call,
    .reset = port_reset,
    .answer = port_answer,
    .event = LeaseFix_DropEvent,
};

static void
report_as_of(entry_fixture *fix, const lc_node *node, const char *hall,
             const lc_closures *told)
{
    lc_report_args report;

    memset(&report, 0, sizeof(report));
    report.host.node = *node;
    report.host.stamp_ms = fix->now_ms;
    report.host.state = LC_UPSTREAM_READY;
    report.host.room.cpu_milli = 4000;
    report.host.room.memory_mb = 4096;
    report.host.pace_percent = 100;
    report.capacity = report.host.room;
    report.hall = (char *)(uintptr_t)hall;
    report.service = (char *)(uintptr_t) "service";
    report.instance = (char *)(uintptr_t) "i-1";
    report.next_ms = 500;
    report.closures = *told;
    Dispatcher_OnReport(fix->dispatcher, fix->now_ms, &report);
    Dispatcher_Settle(fix->dispatcher, fix->now_ms);
}

static void
report(entry_fixture *fix)
{
    const lc_closures nothing = {.as_of = -1};

    report_as_of(fix, &own_companion, "own", &nothing);
    report_as_of(fix, &other_companion, "other", &nothing);
}

static void
tell(entry_fixture *fix, int64_t as_of, const char *first, const char *second)
{
    lc_closures told = message(as_of, 0, first, second);

    Dispatcher_TakeClosures(fix->dispatcher, fix->now_ms, fix->now_ms, &told,
                            "test");
    Dispatcher_Settle(fix->dispatcher, fix->now_ms);
}

static void
new_entry(entry_fixture *fix)
{
    Dispatcher_Config config = {
        .node = entry_node, .hall = "own", .max_jobs = 100};

    memset(fix, 0, sizeof(*fix));
    fix->now_ms = START_MS;
    config.term = LeaseFix_Term();
    fix->dispatcher = Dispatcher_New(&config, &dispatcher_ports, fix,
                                     fix->now_ms);
    fix->routes = Route_NewTable(1);
    fix->route = LeaseFix_AddRoute(fix->routes);
    fix->route->stretch_percent = 160;
    fix->route->target_ms = 60;
    report(fix);
}

static void
free_entry(entry_fixture *fix)
{
    Dispatcher_Free(fix->dispatcher);
    Route_FreeTable(fix->routes);
}

static void
hand_in(entry_fixture *fix, uint64_t job)
{
    Dispatcher_Submit submit = {
        .request_id = job, .route = fix->route, .deadline_ms = 5000};

    submit.job.id = job;
    submit.job.spec = g_strdup("");
    submit.job.step_count = 1;
    submit.job.steps = g_new0(LeasedJob_Step, 1);
    submit.job.steps[0].count = 1;
    submit.job.steps[0].need.cpu_milli = 1000;
    submit.job.steps[0].estimate_ms = 1000;
    Dispatcher_OnSubmit(fix->dispatcher, fix->now_ms, &submit);
    Dispatcher_Settle(fix->dispatcher, fix->now_ms);
}

typedef struct {
    const char *name;
    const char *closed[2];
    Address sent_to; /* 0: refused at once */
} placement_case;

static const placement_case placement_cases[] = {
    {"/halls/tasks stay in the open own hall",
     {"other", NULL},
     0x7f0000011b63},
    {"/halls/tasks go elsewhere while the own hall is closed",
     {"own", NULL},
     0x7f0000011b64},
    {"/halls/a hall of no deployment does no harm",
     {"nowhere", NULL},
     0x7f0000011b63},
    {"/halls/all closed: refused at once with a time to come back",
     {"own", "other"},
     0},
};

static void
check_placement(gconstpointer item)
{
    const placement_case *one = item;
    entry_fixture fix;

    new_entry(&fix);
    tell(&fix, 5, one->closed[0], one->closed[1]);
    hand_in(&fix, 1);
    g_assert_cmpuint(fix.sent_to, ==, one->sent_to);
    g_assert_cmpint(fix.answers, ==, one->sent_to == 0);
    if (one->sent_to == 0) {
        g_assert_cmpint(fix.kind, ==, ERR_HALL_CLOSED);
        g_assert_cmpuint(fix.retry_ms, >, 0);
    }
    else {
        g_assert_cmpint(fix.sent_as_of, ==, 5);
    }
    free_entry(&fix);
}

/* A job that waits for room is refused when the last hall is closed, and one
 * that waits for a hall starts as soon as that is opened. */
static void
test_last_hall_closed(void)
{
    const lc_closures nothing = {.as_of = -1};
    entry_fixture fix;

    new_entry(&fix);
    Dispatcher_Pause(fix.dispatcher);
    hand_in(&fix, 1);
    tell(&fix, 5, "own", "other");
    g_assert_cmpint(fix.answers, ==, 0);
    Dispatcher_Tick(fix.dispatcher, fix.now_ms);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.kind, ==, ERR_HALL_CLOSED);
    Dispatcher_Resume(fix.dispatcher);
    tell(&fix, 6, "other", NULL);
    report_as_of(&fix, &own_companion, "own", &nothing);
    hand_in(&fix, 2);
    g_assert_cmpuint(fix.sent_to, ==, own_companion.address);
    free_entry(&fix);
}

/* A host that is heard of only after its hall was closed. */
static void
test_new_host_in_closed_hall(void)
{
    const lc_node late = {0x7f0000011b65, 902};
    const lc_closures nothing = {.as_of = -1};
    entry_fixture fix;

    new_entry(&fix);
    tell(&fix, 5, "own", "third");
    report_as_of(&fix, &late, "third", &nothing);
    hand_in(&fix, 1);
    g_assert_cmpuint(fix.sent_to, ==, other_companion.address);
    free_entry(&fix);
}

/* A companion knows what this entry, cut off from the store, does not. */
static void
test_companion_tells(void)
{
    lc_closures told = message(5, 0, "own", NULL);
    entry_fixture fix;

    new_entry(&fix);
    report_as_of(&fix, &other_companion, "other", &told);
    hand_in(&fix, 1);
    g_assert_cmpuint(fix.sent_to, ==, other_companion.address);
    g_assert_cmpint(Dispatcher_Closures(fix.dispatcher)->as_of, ==, 5);
    free_entry(&fix);
}

/* A companion's refusal sends the task elsewhere at once, and nothing else
 * there until it has reported. */
static void
test_refused_goes_elsewhere(void)
{
    Msg_Reply reply = {.kind = MSG_RUN};
    entry_fixture fix;

    new_entry(&fix);
    hand_in(&fix, 1);
    g_assert_cmpuint(fix.sent_to, ==, own_companion.address);
    reply.u.run.status = LC_RUN_CLOSED;
    reply.u.run.host.node = own_companion;
    reply.u.run.host.stamp_ms = fix.now_ms;
    reply.u.run.host.state = LC_UPSTREAM_READY;
    reply.u.run.host.room.cpu_milli = 4000;
    reply.u.run.host.room.memory_mb = 4096;
    Dispatcher_OnReply(fix.dispatcher, fix.now_ms, fix.sent_id, &reply);
    Dispatcher_Settle(fix.dispatcher, fix.now_ms);
    g_assert_cmpuint(fix.sent_to, ==, other_companion.address);
    fix.now_ms += 100;
    hand_in(&fix, 2);
    g_assert_cmpuint(fix.sent_to, ==, other_companion.address);
    free_entry(&fix);
}

/* Readiness is about this entry, not about halls that operators close. */
static void
test_well_though_closed(void)
{
    entry_fixture fix;

    new_entry(&fix);
    tell(&fix, 5, "own", "other");
    g_assert_cmpuint(Dispatcher_ReadyHosts(fix.dispatcher, fix.now_ms), ==, 0);
    g_assert_cmpuint(Dispatcher_WellHosts(fix.dispatcher, fix.now_ms), ==, 2);
    free_entry(&fix);
}

static const RuleTable_Row rules[] = {
    {"/halls/confirmed by answers alone", test_confirmed},
    {"/halls/told on with its age", test_told_on},
    {"/halls/what runs there goes on", test_runs_go_on},
    {"/halls/who is refused is told", test_refused_is_told},
    {"/halls/the last hall is closed", test_last_hall_closed},
    {"/halls/a new host in a closed hall", test_new_host_in_closed_hall},
    {"/halls/a companion tells an entry", test_companion_tells},
    {"/halls/a refused start goes elsewhere", test_refused_goes_elsewhere},
    {"/halls/an entry is ready though all are closed",
     test_well_though_closed},
};

int
main(int argc, char **argv)
{
    size_t i;

    g_test_init(&argc, &argv, NULL);
    for (i = 0; i < G_N_ELEMENTS(belief_cases); i++) {
        g_test_add_data_func(belief_cases[i].name, &belief_cases[i],
                             check_belief);
    }
    for (i = 0; i < G_N_ELEMENTS(start_cases); i++) {
        g_test_add_data_func(start_cases[i].name, &start_cases[i],
                             check_start);
    }
    for (i = 0; i < G_N_ELEMENTS(placement_cases); i++) {
        g_test_add_data_func(placement_cases[i].name, &placement_cases[i],
                             check_placement);
    }
    for (i = 0; i < G_N_ELEMENTS(rules); i++) {
        g_test_add_func(rules[i].name, rules[i].run);
    }
    return g_test_run();
}

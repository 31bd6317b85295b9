/*
 * Closed halls: which messages change the known set, that no task starts in a
 * closed hall, and what happens to jobs that could run nowhere else.
 */

#include <glib.h>
#include <string.h>

#include "lease/dispatcher.h"
#include "lease/hall_closures.h"
#include "tests/lease_fixture.h"
#include "tests/runner_fixture.h"
#include "tests/test_table.h"

static const lc_node entry_node = {0x7f0000011b59, 100};
static const lc_node own_companion = {0x7f0000011b63, 900};
static const lc_node other_companion = {0x7f0000011b64, 901};

/* A message that names up to two closed halls. */
static lc_closures
message(int64_t as_of, uint32_t age_ms, const char *first, const char *second)
{
    static lc_hall names[2];
    lc_closures received = {.as_of = as_of, .age_ms = age_ms};

    names[0] = (char *)(uintptr_t)first;
    names[1] = (char *)(uintptr_t)second;
    received.halls.halls_len = first == NULL ? 0 : second == NULL ? 1 : 2;
    received.halls.halls_val = names;
    return received;
}

/* ---- the set of closed halls ---- */

typedef struct {
    const char *name;
    int64_t as_of; /* received after "own" was closed as of 5 */
    const char *halls[2];
    HallClosures_Change change;
    bool own_closed;
} update_case;

static const update_case update_cases[] = {
    {"/halls/a later message without the hall opens it",
     6,
     {NULL, NULL},
     HALL_CLOSURES_CHANGED,
     false},
    {"/halls/an earlier message never opens it",
     4,
     {NULL, NULL},
     HALL_CLOSURES_STALE,
     true},
    {"/halls/another message of the same records changes nothing",
     5,
     {NULL, NULL},
     HALL_CLOSURES_UNCHANGED,
     true},
    {"/halls/a sender that read no records is ignored",
     -1,
     {NULL, NULL},
     HALL_CLOSURES_STALE,
     true},
    {"/halls/later records about other keys",
     9,
     {"own", NULL},
     HALL_CLOSURES_UNCHANGED,
     true},
    {"/halls/a second hall is closed",
     6,
     {"own", "other"},
     HALL_CLOSURES_CHANGED,
     true},
    {"/halls/another hall is closed instead",
     6,
     {"other", NULL},
     HALL_CLOSURES_CHANGED,
     false},
};

static void
check_update(gconstpointer item)
{
    const update_case *one = item;
    lc_closures received = message(5, 0, "own", NULL);
    HallClosures closures;

    HallClosures_Init(&closures, START_MS);
    g_assert_false(HallClosures_Contains(&closures, "own"));
    g_assert_cmpint(
        HallClosures_Merge(&closures, START_MS, START_MS, &received), ==,
        HALL_CLOSURES_CHANGED);
    received = message(one->as_of, 0, one->halls[0], one->halls[1]);
    g_assert_cmpint(
        HallClosures_Merge(&closures, START_MS, START_MS, &received), ==,
        one->change);
    g_assert_cmpint(HallClosures_Contains(&closures, "own"), ==,
                    one->own_closed);
    HallClosures_Clear(&closures);
}

/* An answer confirms the set as of its request; an unsolicited message may
 * have been delayed for any time and confirms nothing. */
static void
test_confirmed(void)
{
    lc_closures received = message(5, 300, NULL, NULL);
    HallClosures closures;

    HallClosures_Init(&closures, START_MS);
    HallClosures_Merge(&closures, START_MS + 2000, HALL_CLOSURES_UNSOLICITED,
                       &received);
    g_assert_cmpint(HallClosures_AgeMs(&closures, START_MS + 2000), ==, 2000);
    HallClosures_Merge(&closures, START_MS + 3000, START_MS + 1000, &received);
    g_assert_cmpint(HallClosures_AgeMs(&closures, START_MS + 3000), ==, 2300);
    received = message(4, 0, NULL, NULL);
    HallClosures_Merge(&closures, START_MS + 3000, START_MS + 3000, &received);
    g_assert_cmpint(HallClosures_AgeMs(&closures, START_MS + 3000), ==, 2300);
    HallClosures_Clear(&closures);
}

static void
test_passed_on(void)
{
    lc_closures received = message(5, 100, "b", "a");
    lc_closures sent;
    HallClosures closures;

    HallClosures_Init(&closures, START_MS);
    HallClosures_FillMessage(&closures, START_MS, &sent);
    g_assert_cmpint(sent.as_of, ==, -1);
    HallClosures_Merge(&closures, START_MS + 500, START_MS + 500, &received);
    HallClosures_FillMessage(&closures, START_MS + 550, &sent);
    g_assert_cmpint(sent.as_of, ==, 5);
    g_assert_cmpuint(sent.age_ms, ==, 150);
    g_assert_cmpuint(sent.halls.halls_len, ==, 2);
    g_assert_cmpstr(sent.halls.halls_val[0], ==, "a");
    HallClosures_Clear(&closures);
}

/* ---- a companion ---- */

static void
inform_runner(runner_fixture *fix, int64_t as_of, const char *hall)
{
    lc_closures received = message(as_of, 0, hall, NULL);

    Runner_MergeClosures(fix->runner, fix->now_ms, fix->now_ms, &received,
                         "test");
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
    {"/halls/an entry with the same records is refused too", RUNNER_FIX_HALL,
     5, 0},
    {"/halls/an entry with later records is trusted", RUNNER_FIX_HALL, 6, 1},
};

static void
check_start(gconstpointer item)
{
    const start_case *one = item;
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    inform_runner(&fix, 5, one->closed);
    fix.caller_as_of = one->caller_as_of;
    RunnerFix_CallRun(&fix, 1, 1, 1000, 100);
    g_assert_cmpint(fix.starts, ==, one->starts);
    if (one->starts == 0) {
        g_assert_cmpint(fix.status, ==, LC_RUN_CLOSED);
    }
    Runner_Free(fix.runner);
}

/* A run that began before its hall was closed goes on: its start is resent
 * to the upstream, and its end is reported. */
static void
test_runs_continue(void)
{
    Runner_EndedRun end = {1, RunnerFix_Run(1, 1), RUNNER_END_DONE};
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    RunnerFix_CallRun(&fix, 1, 1, 1000, 400);
    inform_runner(&fix, 5, RUNNER_FIX_HALL);
    fix.now_ms += 150;
    Runner_CheckOverdue(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, ==, 2);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    g_assert_cmpint(fix.stops, ==, 0);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &end, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_DONE);
    Runner_Free(fix.runner);
}

/* An entry whose start was refused learns of the closed hall from the next
 * report, which is due at once. */
static void
test_refusal_triggers_report(void)
{
    lc_report_args report;
    runner_fixture fix;
    uint64_t version;

    RunnerFix_NewReady(&fix);
    inform_runner(&fix, 5, RUNNER_FIX_HALL);
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
    Address sent_to; /* target of the last start; 0 for none */
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
             const lc_closures *received)
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
    report.closures = *received;
    Dispatcher_OnReport(fix->dispatcher, fix->now_ms, &report);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
}

static void
report_all(entry_fixture *fix)
{
    const lc_closures nothing = {.as_of = -1};

    report_as_of(fix, &own_companion, "own", &nothing);
    report_as_of(fix, &other_companion, "other", &nothing);
}

static void
inform_entry(entry_fixture *fix, int64_t as_of, const char *first,
             const char *second)
{
    lc_closures received = message(as_of, 0, first, second);

    Dispatcher_MergeClosures(fix->dispatcher, fix->now_ms, fix->now_ms,
                             &received, "test");
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
}

static void
new_entry(entry_fixture *fix)
{
    Dispatcher_Config config = {
        .node = entry_node, .hall = "own", .max_jobs = 100};

    memset(fix, 0, sizeof(*fix));
    fix->now_ms = START_MS;
    config.timing = LeaseFix_Timing();
    fix->dispatcher = Dispatcher_New(&config, &dispatcher_ports, fix,
                                     fix->now_ms);
    fix->routes = Route_NewTable(1);
    fix->route = LeaseFix_AddRoute(fix->routes);
    fix->route->stretch_percent = 160;
    fix->route->target_ms = 60;
    Dispatcher_SetRoutes(fix->dispatcher, fix->routes);
    report_all(fix);
}

static void
free_entry(entry_fixture *fix)
{
    Dispatcher_Free(fix->dispatcher);
    Route_FreeTable(fix->routes);
}

static void
submit_job(entry_fixture *fix, uint64_t job)
{
    Dispatcher_Submit submit = {.request_id = job,
                                .route = fix->route,
                                .queue = Route_Reference(fix->route),
                                .deadline_ms = 5000};

    submit.job.id = job;
    submit.job.spec = g_strdup("");
    submit.job.step_count = 1;
    submit.job.steps = g_new0(LeasedJob_Step, 1);
    submit.job.steps[0].count = 1;
    submit.job.steps[0].need.cpu_milli = 1000;
    submit.job.steps[0].estimate_ms = 1000;
    Dispatcher_OnSubmit(fix->dispatcher, fix->now_ms, &submit);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
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
    {"/halls/an unknown closed hall has no effect",
     {"nowhere", NULL},
     0x7f0000011b63},
    {"/halls/all closed: refused at once with a retry time",
     {"own", "other"},
     0},
};

static void
check_placement(gconstpointer item)
{
    const placement_case *one = item;
    entry_fixture fix;

    new_entry(&fix);
    inform_entry(&fix, 5, one->closed[0], one->closed[1]);
    submit_job(&fix, 1);
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

/* A queued job is refused when the last open hall is closed; once a hall is
 * open again, a new job starts there. */
static void
test_last_hall_closed(void)
{
    const lc_closures nothing = {.as_of = -1};
    entry_fixture fix;

    new_entry(&fix);
    Dispatcher_Pause(fix.dispatcher);
    submit_job(&fix, 1);
    inform_entry(&fix, 5, "own", "other");
    g_assert_cmpint(fix.answers, ==, 0);
    Dispatcher_Tick(fix.dispatcher, fix.now_ms);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.kind, ==, ERR_HALL_CLOSED);
    Dispatcher_Resume(fix.dispatcher);
    inform_entry(&fix, 6, "other", NULL);
    report_as_of(&fix, &own_companion, "own", &nothing);
    submit_job(&fix, 2);
    g_assert_cmpuint(fix.sent_to, ==, own_companion.address);
    free_entry(&fix);
}

/* A host that first reports after its hall was closed gets no task. */
static void
test_new_host_in_closed_hall(void)
{
    const lc_node late = {0x7f0000011b65, 902};
    const lc_closures nothing = {.as_of = -1};
    entry_fixture fix;

    new_entry(&fix);
    inform_entry(&fix, 5, "own", "third");
    report_as_of(&fix, &late, "third", &nothing);
    submit_job(&fix, 1);
    g_assert_cmpuint(fix.sent_to, ==, other_companion.address);
    free_entry(&fix);
}

/* An entry that is cut off from the store learns of closed halls from the
 * reports of companions. */
static void
test_companion_informs_entry(void)
{
    lc_closures received = message(5, 0, "own", NULL);
    entry_fixture fix;

    new_entry(&fix);
    report_as_of(&fix, &other_companion, "other", &received);
    submit_job(&fix, 1);
    g_assert_cmpuint(fix.sent_to, ==, other_companion.address);
    g_assert_cmpint(Dispatcher_Closures(fix.dispatcher)->as_of, ==, 5);
    free_entry(&fix);
}

/* After a companion refuses a start, the task goes to another one at once, and
 * no other task is sent to the first until it has reported. */
static void
test_refused_goes_elsewhere(void)
{
    Msg_Reply reply = {.kind = MSG_RUN};
    entry_fixture fix;

    new_entry(&fix);
    submit_job(&fix, 1);
    g_assert_cmpuint(fix.sent_to, ==, own_companion.address);
    reply.u.run.status = LC_RUN_CLOSED;
    reply.u.run.host.node = own_companion;
    reply.u.run.host.stamp_ms = fix.now_ms;
    reply.u.run.host.state = LC_UPSTREAM_READY;
    reply.u.run.host.room.cpu_milli = 4000;
    reply.u.run.host.room.memory_mb = 4096;
    Dispatcher_OnReply(fix.dispatcher, fix.now_ms, fix.sent_id, &reply);
    Dispatcher_DispatchWaiting(fix.dispatcher, fix.now_ms);
    g_assert_cmpuint(fix.sent_to, ==, other_companion.address);
    fix.now_ms += 100;
    submit_job(&fix, 2);
    g_assert_cmpuint(fix.sent_to, ==, other_companion.address);
    free_entry(&fix);
}

/* Readiness of an entry does not depend on halls that operators close. */
static void
test_ready_with_all_closed(void)
{
    entry_fixture fix;

    new_entry(&fix);
    inform_entry(&fix, 5, "own", "other");
    g_assert_cmpuint(Dispatcher_SchedulableHosts(fix.dispatcher, fix.now_ms),
                     ==, 0);
    g_assert_cmpuint(Dispatcher_HealthyHosts(fix.dispatcher, fix.now_ms), ==,
                     2);
    free_entry(&fix);
}

static const TestTable_Row rules[] = {
    {"/halls/only answers confirm the set", test_confirmed},
    {"/halls/passed on with its age", test_passed_on},
    {"/halls/running tasks continue", test_runs_continue},
    {"/halls/a refusal triggers a report", test_refusal_triggers_report},
    {"/halls/the last hall is closed", test_last_hall_closed},
    {"/halls/a new host in a closed hall", test_new_host_in_closed_hall},
    {"/halls/a companion informs an entry", test_companion_informs_entry},
    {"/halls/a refused start goes elsewhere", test_refused_goes_elsewhere},
    {"/halls/an entry is ready with all halls closed",
     test_ready_with_all_closed},
};

int
main(int argc, char **argv)
{
    size_t i;

    g_test_init(&argc, &argv, NULL);
    for (i = 0; i < G_N_ELEMENTS(update_cases); i++) {
        g_test_add_data_func(update_cases[i].name, &update_cases[i],
                             check_update);
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

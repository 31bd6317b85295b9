/*
 * Single rules of leased jobs: one runner or one dispatcher, driven through
 * its door with fake ports. What random schedules reach too seldom to prove.
 */

#include <glib.h>
#include <string.h>

#include "lease/dispatcher.h"
#include "lease/run_id.h"
#include "lease/runner.h"

#define START_MS 10000
#define CLOCK_MS 500000
#define MOST 256

static const lc_node entry_node = {0x7f0000011b59, 100};
static const lc_node heir_node = {0x7f0000011b5a, 101};
static const lc_node companion_node = {0x7f0000011b63, 900};
static const lc_node other_companion = {0x7f0000011b64, 901};

static Term
make_term(void)
{
    Term_Bounds bounds = {1300, 1000, 50, 50};
    Term term;

    g_assert_true(Term_Plan(&bounds, &term));
    return term;
}

/* ---- a runner ---- */

typedef struct {
    Runner *runner;
    int64_t now_ms;
    int starts;
    int stops;
    int looks;
    uint64_t start_id;
    Runner_Start start;
    uint64_t look_id;
    Runner_Look look;
    uint64_t stop_id;
    lc_run_id stopped;
    int replies;
    u_int held_runs; /* told by the last FENCE */
    lc_run_status status;
} runner_fixture;

static void
port_start(void *context, uint64_t id, const Runner_Start *start)
{
    runner_fixture *fix = context;

    fix->starts++;
    fix->start_id = id;
    fix->start = *start;
}

static void
port_stop(void *context, uint64_t id, const lc_run_id *run,
          const char *instance, int64_t token)
{
    runner_fixture *fix = context;

    (void)instance;
    (void)token;
    fix->stops++;
    fix->stop_id = id;
    fix->stopped = *run;
}

static void
port_look(void *context, uint64_t id, const Runner_Look *look)
{
    runner_fixture *fix = context;

    fix->looks++;
    fix->look_id = id;
    fix->look = *look;
}

static void
port_reply(void *context, uint64_t id, const Msg_Reply *reply)
{
    runner_fixture *fix = context;

    (void)id;
    fix->replies++;
    if (reply->kind == MSG_RUN) {
        fix->status = reply->u.run.status;
    }
    else if (reply->kind == MSG_FENCE) {
        fix->held_runs = reply->u.fence.runs.runs_len;
    }
    else if (reply->kind == MSG_HALT) {
        fix->status = reply->u.halt.status;
    }
}

static void
port_event(void *context, Event_Id id, json_t *fields)
{
    (void)context;
    (void)id;
    json_decref(fields);
}

static const Runner_Ports runner_ports = {port_start, port_stop, port_look,
                                          port_reply, port_event};

static void
say_beat(runner_fixture *fix, Runner_Says says)
{
    static const char *const labels[] = {NULL};
    Runner_Upstream upstream = {"i-1",  "service",
                                says,   {4000, 4096, 0},
                                labels, CLOCK_MS + fix->now_ms - START_MS};

    Runner_OnUpstream(fix->runner, fix->now_ms, &upstream);
}

static void
answer_look(runner_fixture *fix, const Runner_Row *running, uint32_t count,
            const Runner_EndRow *ended, uint32_t ended_count)
{
    Runner_Listing listing = {RUNNER_ORDER_TAKEN,
                              CLOCK_MS + fix->now_ms - START_MS,
                              running,
                              count,
                              ended,
                              ended_count};

    Runner_OnLook(fix->runner, fix->now_ms, fix->look_id, &listing);
}

static void
new_runner(runner_fixture *fix)
{
    Runner_Config config = {
        .node = companion_node, .first_token = 7, .beat_ms = 1500};

    memset(fix, 0, sizeof(*fix));
    fix->now_ms = START_MS;
    config.term = make_term();
    fix->runner = Runner_New(&config, &runner_ports, fix, fix->now_ms);
}

/* A runner whose upstream is known and runs nothing. */
static void
new_ready_runner(runner_fixture *fix)
{
    new_runner(fix);
    say_beat(fix, RUNNER_UPSTREAM_READY);
    answer_look(fix, NULL, 0, NULL, 0);
}

static lc_run_id
run_named(uint64_t job, uint32_t run)
{
    lc_run_id id = {.job = job, .run = run};

    return id;
}

static void
call_run(runner_fixture *fix, uint64_t job, uint32_t run, uint32_t cpu,
         int64_t valid_ms)
{
    Msg_Call call = {.kind = MSG_RUN};

    call.u.run.owner = entry_node;
    call.u.run.target = companion_node.incarnation;
    call.u.run.valid_until_ms = fix->now_ms + valid_ms;
    call.u.run.id = run_named(job, run);
    call.u.run.need.cpu_milli = cpu;
    call.u.run.estimate_ms = 100;
    call.u.run.spec = (char *)(uintptr_t) "";
    Runner_OnCall(fix->runner, fix->now_ms, 1, &call);
}

static void
call_halt(runner_fixture *fix, uint64_t job, uint32_t run)
{
    Msg_Call call = {.kind = MSG_HALT};

    call.u.halt.owner = entry_node;
    call.u.halt.target = companion_node.incarnation;
    call.u.halt.id = run_named(job, run);
    Runner_OnCall(fix->runner, fix->now_ms, 2, &call);
}

static void
test_expired_run(void)
{
    runner_fixture fix;

    new_ready_runner(&fix);
    call_run(&fix, 1, 1, 1000, -1);
    g_assert_cmpint(fix.status, ==, LC_RUN_EXPIRED);
    g_assert_cmpint(fix.starts, ==, 0);
    Runner_Free(fix.runner);
}

static void
test_lease_lapses(void)
{
    runner_fixture fix;

    new_ready_runner(&fix);
    call_run(&fix, 1, 1, 1000, 100);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id, RUNNER_ORDER_TAKEN,
                     CLOCK_MS);
    fix.now_ms += 99;
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.stops, ==, 0);
    fix.now_ms += 1;
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.stops, ==, 1);
    Runner_Free(fix.runner);
}

static void
test_hold_within_lease(void)
{
    runner_fixture fix;

    new_ready_runner(&fix);
    call_run(&fix, 1, 1, 1000, 100);
    g_assert_cmpint(fix.start.deadline_ms, <=, CLOCK_MS + 100);
    g_assert_cmpint(fix.look.deadline_ms, <=, CLOCK_MS + 100);
    g_assert_cmpint(fix.look.deadline_ms, >, CLOCK_MS);
    Runner_Free(fix.runner);
}

static void
test_no_room(void)
{
    runner_fixture fix;

    new_ready_runner(&fix);
    call_run(&fix, 1, 1, 3000, 500);
    call_run(&fix, 2, 1, 1500, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    g_assert_cmpint(fix.starts, ==, 1);
    Runner_Free(fix.runner);
}

static void
test_unanswered_keeps_room(void)
{
    runner_fixture fix;
    Runner_EndRow ended = {1, run_named(1, 1), RUNNER_END_STOPPED};

    new_ready_runner(&fix);
    call_run(&fix, 1, 1, 3000, 500);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_UNANSWERED, 0);
    g_assert_cmpint(fix.stops, ==, 1);
    call_run(&fix, 2, 1, 1500, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    fix.now_ms += 10;
    answer_look(&fix, NULL, 0, &ended, 1);
    call_run(&fix, 2, 1, 1500, 500);
    g_assert_cmpint(fix.starts, ==, 2);
    Runner_Free(fix.runner);
}

static void
test_halt_before_run(void)
{
    runner_fixture fix;

    new_ready_runner(&fix);
    call_halt(&fix, 1, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_STOPPED);
    fix.now_ms += 300;
    Runner_Tick(fix.runner, fix.now_ms);
    call_run(&fix, 1, 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_STOPPED);
    g_assert_cmpint(fix.starts, ==, 0);
    Runner_Free(fix.runner);
}

static void
test_same_run_twice(void)
{
    runner_fixture fix;

    new_ready_runner(&fix);
    call_run(&fix, 1, 1, 1000, 500);
    call_run(&fix, 1, 1, 1000, 500);
    g_assert_cmpint(fix.starts, ==, 1);
    Runner_Free(fix.runner);
}

static void
test_inventory_first(void)
{
    runner_fixture fix;
    Runner_Row stranger = {run_named(9, 4), 10};

    new_runner(&fix);
    say_beat(&fix, RUNNER_UPSTREAM_READY);
    answer_look(&fix, &stranger, 1, NULL, 0);
    g_assert_cmpint(fix.stops, ==, 1);
    g_assert_cmpuint(fix.stopped.job, ==, 9);
    call_run(&fix, 1, 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_NOT_READY);
    fix.now_ms += 60;
    Runner_Tick(fix.runner, fix.now_ms);
    answer_look(&fix, NULL, 0, NULL, 0);
    call_run(&fix, 1, 1, 1000, 500);
    g_assert_cmpint(fix.starts, ==, 1);
    Runner_Free(fix.runner);
}

static void
test_draining(void)
{
    runner_fixture fix;

    new_ready_runner(&fix);
    say_beat(&fix, RUNNER_UPSTREAM_DRAINING);
    call_run(&fix, 1, 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_DRAINING);
    Runner_Free(fix.runner);
}

static void
test_ends_are_noted(void)
{
    runner_fixture fix;
    Runner_EndRow ended = {5, run_named(1, 1), RUNNER_END_DONE};

    new_ready_runner(&fix);
    call_run(&fix, 1, 1, 1000, 500);
    fix.now_ms += 50;
    answer_look(&fix, NULL, 0, &ended, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_DONE);
    g_assert_cmpuint(fix.look.last_seen, ==, 5);
    g_assert_false(Runner_IsIdle(fix.runner));
    answer_look(&fix, NULL, 0, NULL, 0);
    g_assert_true(Runner_IsIdle(fix.runner));
    Runner_Free(fix.runner);
}

static void
test_kept_ends_are_held(void)
{
    runner_fixture fix;
    Msg_Call release = {.kind = MSG_RELEASE};
    lc_run_id run = run_named(1, RUN_ID_KEPT_BASE + 1);
    Runner_EndRow ended = {5, run, RUNNER_END_DONE};

    new_ready_runner(&fix);
    call_run(&fix, 1, run.run, 1000, 500);
    fix.now_ms += 50;
    answer_look(&fix, NULL, 0, &ended, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_DONE);
    g_assert_cmpuint(fix.look.last_seen, ==, 4);
    release.u.release.target = companion_node.incarnation;
    release.u.release.runs.runs_val = &run;
    release.u.release.runs.runs_len = 1;
    Runner_OnCall(fix.runner, fix.now_ms, 3, &release);
    answer_look(&fix, NULL, 0, &ended, 1);
    g_assert_cmpuint(fix.look.last_seen, ==, 5);
    Runner_Free(fix.runner);
}

/* More ends than an upstream lists at once hide that of a run. */
static void
test_full_listing(void)
{
    runner_fixture fix;
    Runner_EndRow ended[RUNNER_ENDS_AT_ONCE];
    uint32_t i;

    new_ready_runner(&fix);
    call_run(&fix, 1, RUN_ID_KEPT_BASE + 1, 1000, 5000);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id, RUNNER_ORDER_TAKEN,
                     0);
    for (i = 0; i < RUNNER_ENDS_AT_ONCE; i++) {
        ended[i].number = i + 1;
        ended[i].id = run_named(1000 + i, RUN_ID_KEPT_BASE + 1);
        ended[i].end = RUNNER_END_DONE;
    }
    fix.now_ms += 10;
    answer_look(&fix, NULL, 0, NULL, 0);
    fix.replies = 0;
    fix.now_ms += 10;
    answer_look(&fix, NULL, 0, ended, RUNNER_ENDS_AT_ONCE);
    g_assert_cmpint(fix.replies, ==, 0);
    call_run(&fix, 2, RUN_ID_KEPT_BASE + 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    Runner_Free(fix.runner);
}

/* The entry that calls is gone, another has taken its kept jobs over. */
static void
fence_entry(runner_fixture *fix)
{
    Msg_Call call = {.kind = MSG_FENCE};
    lc_node gone = entry_node;

    call.u.fence.target = companion_node.incarnation;
    call.u.fence.gone.gone_val = &gone;
    call.u.fence.gone.gone_len = 1;
    call.u.fence.heir = heir_node;
    Runner_OnCall(fix->runner, fix->now_ms, 4, &call);
}

static void
test_fenced_owner(void)
{
    runner_fixture fix;

    new_ready_runner(&fix);
    fence_entry(&fix);
    call_run(&fix, 1, RUN_ID_KEPT_BASE + 1, 1000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_EXPIRED);
    g_assert_cmpint(fix.starts, ==, 0);
    Runner_Free(fix.runner);
}

/* What runs is the heir's, and lasts as long as its lease. */
static void
test_fence_hands_over(void)
{
    runner_fixture fix;

    new_ready_runner(&fix);
    call_run(&fix, 1, RUN_ID_KEPT_BASE + 1, 1000, 100);
    fence_entry(&fix);
    g_assert_cmpuint(fix.held_runs, ==, 1);
    fix.now_ms += TERM_KEPT_MS + 300;
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.stops, ==, 0);
    fix.now_ms += 400;
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.stops, ==, 1);
    Runner_Free(fix.runner);
}

static void
test_trial_admits_one(void)
{
    runner_fixture fix;
    uint64_t job;

    new_ready_runner(&fix);
    for (job = 1; job <= 3; job++) {
        Runner_EndRow ended = {job, run_named(job, 1), RUNNER_END_FAILED};
        call_run(&fix, job, 1, 1000, 500);
        fix.now_ms += 10;
        answer_look(&fix, NULL, 0, &ended, 1);
    }
    fix.now_ms += 300;
    call_run(&fix, 10, 1, 1000, 500);
    call_run(&fix, 11, 1, 1000, 500);
    g_assert_cmpint(fix.starts, ==, 4);
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    Runner_Free(fix.runner);
}

static void
test_other_incarnation(void)
{
    runner_fixture fix;
    Runner_Listing other = {.end = RUNNER_ORDER_OTHER};

    new_ready_runner(&fix);
    call_run(&fix, 1, 1, 1000, 500);
    Runner_OnLook(fix.runner, fix.now_ms, fix.look_id, &other);
    g_assert_cmpint(fix.status, ==, LC_RUN_LOST);
    Runner_Free(fix.runner);
}

/* ---- a dispatcher ---- */

typedef struct {
    Msg_Kind kind;
    Address to;
    uint64_t id;
    uint32_t run;
    int64_t valid_until_ms;
    int64_t at_ms;
} sent_call;

typedef struct {
    Dispatcher *dispatcher;
    Route_Table *routes;
    Route *route;
    int64_t now_ms;
    sent_call calls[MOST];
    int count;
    int resets;
    int answers;
    int kept_done;
    int kept_failed;
    int kept_over;
    Dispatcher_Outcome outcome;
} dispatcher_fixture;

static void
port_call(void *context, Address to, uint64_t id, const Msg_Call *call)
{
    dispatcher_fixture *fix = context;
    sent_call *sent = &fix->calls[fix->count];

    g_assert_cmpint(fix->count, <, MOST);
    memset(sent, 0, sizeof(*sent));
    sent->kind = call->kind;
    sent->to = to;
    sent->id = id;
    sent->at_ms = fix->now_ms;
    if (call->kind == MSG_RUN) {
        sent->run = call->u.run.id.run;
        sent->valid_until_ms = call->u.run.valid_until_ms;
    }
    fix->count++;
}

static void
port_reset(void *context, Address to)
{
    (void)to;
    ((dispatcher_fixture *)context)->resets++;
}

static void
port_answer(void *context, uint64_t request, const Dispatcher_Answer *answer)
{
    dispatcher_fixture *fix = context;

    (void)request;
    fix->answers++;
    fix->outcome = answer->outcome;
}

static void
port_kept_end(void *context, const lc_run_id *id, uint32_t task, lc_node host,
              bool done)
{
    dispatcher_fixture *fix = context;

    (void)id;
    (void)task;
    (void)host;
    fix->kept_done += done;
    fix->kept_failed += !done;
}

static void
port_kept_over(void *context, uint64_t job, Dispatcher_Outcome outcome)
{
    dispatcher_fixture *fix = context;

    (void)job;
    fix->kept_over++;
    fix->outcome = outcome;
}

static const Dispatcher_Ports dispatcher_ports = {
    port_call,  port_reset,    port_answer,
    port_event, port_kept_end, port_kept_over};

static void
report_of(dispatcher_fixture *fix, const lc_node *node)
{
    lc_report_args report;

    memset(&report, 0, sizeof(report));
    report.host.node = *node;
    report.host.stamp_ms = fix->now_ms;
    report.host.state = LC_UPSTREAM_READY;
    report.host.room.cpu_milli = 4000;
    report.host.room.memory_mb = 4096;
    report.host.pace_percent = 100;
    report.hall = (char *)(uintptr_t) "hall";
    report.service = (char *)(uintptr_t) "service";
    report.instance = (char *)(uintptr_t) "i-1";
    report.next_ms = 500;
    Dispatcher_OnReport(fix->dispatcher, fix->now_ms, &report);
    Dispatcher_Settle(fix->dispatcher, fix->now_ms);
}

static void
new_dispatcher(dispatcher_fixture *fix)
{
    Dispatcher_Config config = {.node = entry_node, .max_jobs = 100};

    memset(fix, 0, sizeof(*fix));
    fix->now_ms = START_MS;
    config.term = make_term();
    fix->dispatcher = Dispatcher_New(&config, &dispatcher_ports, fix,
                                     fix->now_ms);
    fix->routes = Route_NewTable(1);
    fix->route = Route_Add(fix->routes);
    fix->route->name = g_strdup("queue");
    fix->route->authority = g_strdup("host");
    fix->route->path_prefix = g_strdup("/q/");
    fix->route->service = g_strdup("service");
    fix->route->max_attempts = 2;
    fix->route->stretch_percent = 160;
    fix->route->target_ms = 60;
    report_of(fix, &companion_node);
}

static void
free_dispatcher(dispatcher_fixture *fix)
{
    Dispatcher_Free(fix->dispatcher);
    Route_FreeTable(fix->routes);
}

static void
hand_in(dispatcher_fixture *fix, uint64_t job, uint32_t tasks)
{
    Dispatcher_Submit submit = {
        .request_id = job, .route = fix->route, .deadline_ms = 5000};

    submit.job.id = job;
    submit.job.spec = g_strdup("");
    submit.job.step_count = 1;
    submit.job.steps = g_new0(LeasedJob_Step, 1);
    submit.job.steps[0].count = tasks;
    submit.job.steps[0].need.cpu_milli = 1000;
    submit.job.steps[0].estimate_ms = 1000;
    Dispatcher_OnSubmit(fix->dispatcher, fix->now_ms, &submit);
    Dispatcher_Settle(fix->dispatcher, fix->now_ms);
}

static int
calls_of(const dispatcher_fixture *fix, Msg_Kind kind)
{
    int count = 0;
    int i;

    for (i = 0; i < fix->count; i++) {
        count += fix->calls[i].kind == kind;
    }
    return count;
}

static const sent_call *
last_of(const dispatcher_fixture *fix, Msg_Kind kind)
{
    int i;

    for (i = fix->count - 1; i >= 0; i--) {
        if (fix->calls[i].kind == kind) {
            return &fix->calls[i];
        }
    }
    g_assert_not_reached();
}

static void
reply_run(dispatcher_fixture *fix, const sent_call *call, lc_run_status status)
{
    Msg_Reply reply = {.kind = MSG_RUN};

    reply.u.run.status = status;
    reply.u.run.host.node = companion_node;
    reply.u.run.host.stamp_ms = fix->now_ms;
    reply.u.run.host.state = status == LC_RUN_NOT_READY ? LC_UPSTREAM_ABSENT
                                                        : LC_UPSTREAM_READY;
    reply.u.run.host.room.cpu_milli = 4000;
    reply.u.run.host.room.memory_mb = 4096;
    reply.u.run.host.pace_percent = 100;
    Dispatcher_OnReply(fix->dispatcher, fix->now_ms, call->id, &reply);
    Dispatcher_Settle(fix->dispatcher, fix->now_ms);
}

static void
tick_until(dispatcher_fixture *fix, int64_t until_ms)
{
    while (fix->now_ms < until_ms) {
        fix->now_ms += 50;
        Dispatcher_Tick(fix->dispatcher, fix->now_ms);
        Dispatcher_Settle(fix->dispatcher, fix->now_ms);
    }
}

/* The same, while the companion answers what renews its leases. */
static void
tick_in_touch(dispatcher_fixture *fix, int64_t until_ms)
{
    Msg_Reply reply = {.kind = MSG_RENEW};
    int seen = 0;

    reply.u.renew.host.node = companion_node;
    reply.u.renew.host.state = LC_UPSTREAM_READY;
    reply.u.renew.host.pace_percent = 100;
    while (fix->now_ms < until_ms) {
        tick_until(fix, fix->now_ms + 50);
        reply.u.renew.host.stamp_ms = fix->now_ms;
        for (; seen < fix->count; seen++) {
            if (fix->calls[seen].kind == MSG_RENEW) {
                Dispatcher_OnReply(fix->dispatcher, fix->now_ms,
                                   fix->calls[seen].id, &reply);
            }
        }
    }
}

static void
test_paused(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    Dispatcher_Pause(fix.dispatcher);
    hand_in(&fix, 1, 1);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 0);
    Dispatcher_OnCallerGone(fix.dispatcher, fix.now_ms, 1);
    Dispatcher_Resume(fix.dispatcher);
    Dispatcher_Settle(fix.dispatcher, fix.now_ms);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 0);
    hand_in(&fix, 2, 1);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 1);
    free_dispatcher(&fix);
}

static void
test_ask_again_holds_no_longer(void)
{
    dispatcher_fixture fix;
    int64_t valid_ms;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 1);
    valid_ms = last_of(&fix, MSG_RUN)->valid_until_ms;
    Dispatcher_OnReply(fix.dispatcher, fix.now_ms, last_of(&fix, MSG_RUN)->id,
                       NULL);
    tick_until(&fix, fix.now_ms + 60);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 2);
    g_assert_cmpuint(last_of(&fix, MSG_RUN)->run, ==, 1);
    g_assert_cmpint(last_of(&fix, MSG_RUN)->valid_until_ms, <=, valid_ms);
    free_dispatcher(&fix);
}

static void
test_suspect_is_not_renewed(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 1);
    tick_until(&fix, fix.now_ms + 800);
    g_assert_cmpint(calls_of(&fix, MSG_RENEW), ==, 1);
    free_dispatcher(&fix);
}

static void
test_elsewhere_after_the_lease(void)
{
    dispatcher_fixture fix;
    Term term = make_term();
    int64_t held_ms;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 1);
    tick_until(&fix, fix.now_ms + 100);
    held_ms = last_of(&fix, MSG_RENEW)->at_ms;
    /* Another companion is free all the while. */
    while (calls_of(&fix, MSG_RUN) == 1 && fix.now_ms < held_ms + 3000) {
        report_of(&fix, &other_companion);
        tick_until(&fix, fix.now_ms + 50);
    }
    g_assert_cmpuint(last_of(&fix, MSG_RUN)->to, ==, other_companion.address);
    g_assert_cmpuint(last_of(&fix, MSG_RUN)->run, ==, 2);
    g_assert_cmpint(fix.now_ms, >=, Term_CertainEnd(&term, held_ms));
    g_assert_cmpint(fix.resets, ==, 1);
    free_dispatcher(&fix);
}

static void
test_reborn_companion(void)
{
    dispatcher_fixture fix;
    lc_node reborn = companion_node;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 1);
    reborn.incarnation++;
    fix.now_ms += 20;
    report_of(&fix, &reborn);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 2);
    g_assert_cmpuint(last_of(&fix, MSG_RUN)->run, ==, 2);
    free_dispatcher(&fix);
}

static void
test_caller_gone(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 2);
    Dispatcher_OnCallerGone(fix.dispatcher, fix.now_ms, 1);
    g_assert_cmpint(calls_of(&fix, MSG_HALT), ==, 2);
    g_assert_cmpint(fix.answers, ==, 0);
    g_assert_false(Dispatcher_IsIdle(fix.dispatcher));
    free_dispatcher(&fix);
}

static void
test_refused_is_not_run(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 1);
    reply_run(&fix, last_of(&fix, MSG_RUN), LC_RUN_NOT_READY);
    /* Nothing is heard of the companion any more. */
    tick_until(&fix, fix.now_ms + 1300);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    hand_in(&fix, 2, 1);
    g_assert_cmpint(fix.answers, ==, 2);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    free_dispatcher(&fix);
}

static void
test_attempts(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 1);
    reply_run(&fix, last_of(&fix, MSG_RUN), LC_RUN_FAILED);
    g_assert_cmpint(fix.answers, ==, 0);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 2);
    reply_run(&fix, last_of(&fix, MSG_RUN), LC_RUN_FAILED);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_FAILED);
    free_dispatcher(&fix);
}

static void
test_begun_is_not_told_as_not_run(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 1);
    tick_until(&fix, fix.now_ms + 6000);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_GIVEN_UP);
    free_dispatcher(&fix);
}

/* Two of six tasks never find room: the job is given up, and its runs are
 * stopped, when their end would be worth nothing, well before its deadline. */
static void
test_begun_is_given_up(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    fix.route->target_ms = 0;
    hand_in(&fix, 1, 6);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 4);
    tick_in_touch(&fix, START_MS + 4200);
    g_assert_cmpint(fix.answers, ==, 0);
    tick_in_touch(&fix, START_MS + 4400);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_GIVEN_UP);
    g_assert_cmpint(calls_of(&fix, MSG_HALT), ==, 4);
    free_dispatcher(&fix);
}

static void
test_advised_queue(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    fix.route->advised = true;
    hand_in(&fix, 1, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 0);
    free_dispatcher(&fix);
}

static const struct {
    const char *name;
    void (*run)(void);
} rules[] = {
    {"/runner/refuses a run whose hold is over", test_expired_run},
    {"/runner/stops the runs of a silent entry", test_lease_lapses},
    {"/runner/holds the upstream no longer than the lease",
     test_hold_within_lease},
    {"/runner/starts only what fits", test_no_room},
    {"/runner/keeps the room of an unanswered start",
     test_unanswered_keeps_room},
    {"/runner/refuses a run that was stopped before it came",
     test_halt_before_run},
    {"/runner/starts a run once", test_same_run_twice},
    {"/runner/looks for strangers first", test_inventory_first},
    {"/runner/starts nothing on an upstream that leaves", test_draining},
    {"/runner/takes note of ends", test_ends_are_noted},
    {"/runner/holds ends of kept jobs until they are released",
     test_kept_ends_are_held},
    {"/runner/does not take a run as over when its end may be hidden",
     test_full_listing},
    {"/runner/takes no order of an owner that is gone", test_fenced_owner},
    {"/runner/hands runs over to the heir", test_fence_hands_over},
    {"/runner/admits one task on trial", test_trial_admits_one},
    {"/runner/loses runs to another incarnation", test_other_incarnation},
    {"/dispatcher/starts nothing while paused", test_paused},
    {"/dispatcher/asks again without a longer hold",
     test_ask_again_holds_no_longer},
    {"/dispatcher/does not renew at a silent companion",
     test_suspect_is_not_renewed},
    {"/dispatcher/runs elsewhere only after the lease",
     test_elsewhere_after_the_lease},
    {"/dispatcher/runs again at once after a new incarnation",
     test_reborn_companion},
    {"/dispatcher/stops the job of a caller that left", test_caller_gone},
    {"/dispatcher/tells not run after refusals alone",
     test_refused_is_not_run},
    {"/dispatcher/refuses queues that need tickets", test_advised_queue},
    {"/dispatcher/counts failed attempts", test_attempts},
    {"/dispatcher/tells given up once begun",
     test_begun_is_not_told_as_not_run},
    {"/dispatcher/gives up a begun job that is worth nothing",
     test_begun_is_given_up},
};

int
main(int argc, char **argv)
{
    size_t i;

    g_test_init(&argc, &argv, NULL);
    for (i = 0; i < G_N_ELEMENTS(rules); i++) {
        g_test_add_func(rules[i].name, rules[i].run);
    }
    return g_test_run();
}

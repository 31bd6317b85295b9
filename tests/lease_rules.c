/*
 * Single rules of an entry's decisions: one dispatcher, driven through its
 * door with fake ports. What random schedules reach too seldom to prove.
 */

#include <glib.h>
#include <string.h>

#include "lease/dispatcher.h"
#include "lease/run_id.h"
#include "tests/lease_fixture.h"
#include "tests/rule_table.h"

#define START_MS 10000
#define MOST 256

static const lc_node entry_node = {0x7f0000011b59, 100};
static const lc_node companion_node = {0x7f0000011b63, 900};
static const lc_node other_companion = {0x7f0000011b64, 901};

typedef struct {
    Msg_Kind kind;
    Address to;
    uint64_t id;
    uint64_t job; /* of a RUN */
    uint32_t run;
    uint32_t crashes;
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
    int kept_crashes;
    int kept_over;
    Dispatcher_Outcome outcome;
    uint32_t retry_ms;
    uint32_t capacity_cpu; /* that companions report */
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
        sent->job = call->u.run.id.job;
        sent->run = call->u.run.id.run;
        sent->crashes = call->u.run.crashes;
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
    fix->retry_ms = answer->retry_ms;
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
port_kept_crash(void *context, const lc_run_id *id, uint32_t task)
{
    dispatcher_fixture *fix = context;

    (void)id;
    (void)task;
    fix->kept_crashes++;
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
    port_call,          port_reset,    port_answer,
    LeaseFix_DropEvent, port_kept_end, port_kept_crash,
    port_kept_over,     NULL,          NULL};

static void
report_all(dispatcher_fixture *fix, const lc_node *node,
           lc_upstream_state state, uint32_t cpu)
{
    lc_report_args report;

    memset(&report, 0, sizeof(report));
    report.host.node = *node;
    report.host.stamp_ms = fix->now_ms;
    report.host.state = state;
    report.host.room.cpu_milli = cpu;
    report.capacity.cpu_milli = fix->capacity_cpu;
    report.capacity.memory_mb = 4096;
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
report_of(dispatcher_fixture *fix, const lc_node *node)
{
    report_all(fix, node, LC_UPSTREAM_READY, 4000);
}

static void
report_state(dispatcher_fixture *fix, lc_upstream_state state, uint32_t cpu)
{
    report_all(fix, &companion_node, state, cpu);
}

static void
report_room(dispatcher_fixture *fix, uint32_t cpu)
{
    report_state(fix, LC_UPSTREAM_READY, cpu);
}

static void
new_dispatcher(dispatcher_fixture *fix)
{
    Dispatcher_Config config = {.node = entry_node, .max_jobs = 100};

    memset(fix, 0, sizeof(*fix));
    fix->now_ms = START_MS;
    config.term = LeaseFix_Term();
    fix->dispatcher = Dispatcher_New(&config, &dispatcher_ports, fix,
                                     fix->now_ms);
    fix->routes = Route_NewTable(1);
    fix->route = LeaseFix_AddRoute(fix->routes);
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
    Term term = LeaseFix_Term();
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

/* The companions are told of it, so that such tasks run apart; after the
 * second upstream the job is given up at once. */
static void
test_two_crashes(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    report_of(&fix, &other_companion);
    hand_in(&fix, 1, 1);
    g_assert_cmpuint(last_of(&fix, MSG_RUN)->crashes, ==, 0);
    reply_run(&fix, last_of(&fix, MSG_RUN), LC_RUN_CRASHED);
    g_assert_cmpint(fix.answers, ==, 0);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 2);
    g_assert_cmpuint(last_of(&fix, MSG_RUN)->crashes, ==, 1);
    reply_run(&fix, last_of(&fix, MSG_RUN), LC_RUN_CRASHED);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_FAILED);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 2);
    free_dispatcher(&fix);
}

/* It is refused at once, truly not run, once the companions are known. */
static void
test_larger_than_any_upstream(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    fix.capacity_cpu = 500;
    report_of(&fix, &companion_node);
    hand_in(&fix, 1, 1);
    g_assert_cmpint(fix.answers, ==, 0);
    free_dispatcher(&fix);
    new_dispatcher(&fix);
    fix.now_ms += 3000;
    fix.capacity_cpu = 500;
    report_of(&fix, &companion_node);
    hand_in(&fix, 1, 1);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 0);
    fix.capacity_cpu = 4000;
    report_of(&fix, &other_companion);
    hand_in(&fix, 2, 1);
    g_assert_cmpint(fix.answers, ==, 1);
    free_dispatcher(&fix);
}

/* The upstreams shrink while it waits for room. */
static void
test_upstreams_shrink_below_a_job(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    fix.now_ms += 3000;
    fix.capacity_cpu = 4000;
    report_room(&fix, 0);
    hand_in(&fix, 1, 1);
    tick_until(&fix, fix.now_ms + 50);
    g_assert_cmpint(fix.answers, ==, 0);
    fix.capacity_cpu = 500;
    report_room(&fix, 0);
    tick_until(&fix, fix.now_ms + 50);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    free_dispatcher(&fix);
}

/* A run that was lost in another way blames nobody. */
static void
test_losses_are_no_crashes(void)
{
    dispatcher_fixture fix;
    int i;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 1);
    for (i = 0; i < 4; i++) {
        reply_run(&fix, last_of(&fix, MSG_RUN), LC_RUN_LOST);
        g_assert_cmpuint(last_of(&fix, MSG_RUN)->crashes, ==, 0);
    }
    g_assert_cmpint(fix.answers, ==, 0);
    free_dispatcher(&fix);
}

/* Of a job with several tasks each is counted by itself. */
static void
test_crashes_of_several_tasks(void)
{
    dispatcher_fixture fix;
    int i;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 2);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 2);
    for (i = 0; i < 2; i++) {
        sent_call call = fix.calls[i];
        g_assert_cmpint(call.kind, ==, MSG_RUN);
        reply_run(&fix, &call, LC_RUN_CRASHED);
    }
    g_assert_cmpint(fix.answers, ==, 0);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 4);
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

/* Hands jobs in that fill the only companion, then one each of two
 * priorities; the last call tells which of them goes first. */
static void
test_priority_first(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 4);
    fix.route->priority = 1;
    hand_in(&fix, 2, 1);
    fix.now_ms += 1;
    fix.route->priority = 0;
    hand_in(&fix, 3, 1);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 4);
    report_room(&fix, 1000);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 5);
    g_assert_cmpuint(fix.calls[fix.count - 1].job, ==, 3);
    free_dispatcher(&fix);
}

static void
test_begun_first(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    fix.route->priority = 1;
    hand_in(&fix, 1, 5);
    fix.route->priority = 0;
    hand_in(&fix, 2, 1);
    report_room(&fix, 1000);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 5);
    g_assert_cmpuint(fix.calls[fix.count - 1].job, ==, 1);
    free_dispatcher(&fix);
}

/* The objective is 1,660 ms, the estimate 1,000. */
static void
test_crowded_out(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 4);
    hand_in(&fix, 2, 1);
    tick_in_touch(&fix, START_MS + 650);
    g_assert_cmpint(fix.answers, ==, 0);
    tick_in_touch(&fix, START_MS + 750);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(fix.retry_ms, >, 0);
    free_dispatcher(&fix);
}

/* Where no companion is open, the same job waits for one. */
static void
test_not_crowded_out(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    report_state(&fix, LC_UPSTREAM_ABSENT, 0);
    hand_in(&fix, 1, 1);
    fix.now_ms += 800;
    report_state(&fix, LC_UPSTREAM_ABSENT, 0);
    Dispatcher_Tick(fix.dispatcher, fix.now_ms);
    g_assert_cmpint(fix.answers, ==, 0);
    report_state(&fix, LC_UPSTREAM_READY, 4000);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 1);
    free_dispatcher(&fix);
}

/* A first job of four tasks, whose room falls free again; half of it is kept
 * for the next. */
static void
see_first_priority(dispatcher_fixture *fix)
{
    fix->capacity_cpu = 64000;
    fix->route->priority = 0;
    hand_in(fix, 1, 4);
    g_assert_cmpint(calls_of(fix, MSG_RUN), ==, 4);
    report_room(fix, 0);
    fix->route->priority = 1;
}

static void
test_reserve(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    see_first_priority(&fix);
    hand_in(&fix, 2, 1);
    report_room(&fix, 2000);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 4);
    report_room(&fix, 3000);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 5);
    free_dispatcher(&fix);
}

/* What has begun takes the last room, and so does the first priority. */
static void
test_reserve_is_used(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    see_first_priority(&fix);
    hand_in(&fix, 2, 4);
    report_room(&fix, 3000);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 7);
    report_room(&fix, 1000);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 8);
    fix.route->priority = 0;
    hand_in(&fix, 3, 1);
    report_room(&fix, 1000);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 9);
    free_dispatcher(&fix);
}

/* Nothing is kept for a priority that no job had for long, nor where so few
 * tasks fit at all that it would leave much idle. */
static void
test_reserve_bounds(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    see_first_priority(&fix);
    hand_in(&fix, 2, 1);
    fix.now_ms += 10001;
    report_room(&fix, 1000);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 5);
    free_dispatcher(&fix);
    new_dispatcher(&fix);
    see_first_priority(&fix);
    fix.capacity_cpu = 15000;
    hand_in(&fix, 2, 1);
    report_room(&fix, 1000);
    g_assert_cmpint(calls_of(&fix, MSG_RUN), ==, 5);
    free_dispatcher(&fix);
}

/* A job that is open shortly before the process ends is answered then. */
static void
test_end_of_process(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    hand_in(&fix, 1, 1);
    Dispatcher_EndBy(fix.dispatcher, START_MS + 300);
    tick_in_touch(&fix, START_MS + 250);
    g_assert_cmpint(fix.answers, ==, 0);
    tick_in_touch(&fix, START_MS + 350);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_GIVEN_UP);
    g_assert_cmpint(calls_of(&fix, MSG_HALT), ==, 1);
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

static const RuleTable_Row rules[] = {
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
    {"/dispatcher/gives up a task under which two upstreams crash",
     test_two_crashes},
    {"/dispatcher/refuses what is larger than any upstream",
     test_larger_than_any_upstream},
    {"/dispatcher/refuses what upstreams have shrunk below",
     test_upstreams_shrink_below_a_job},
    {"/dispatcher/takes no other loss for a crash",
     test_losses_are_no_crashes},
    {"/dispatcher/counts crashes by task", test_crashes_of_several_tasks},
    {"/dispatcher/tells given up once begun",
     test_begun_is_not_told_as_not_run},
    {"/dispatcher/gives up a begun job that is worth nothing",
     test_begun_is_given_up},
    {"/dispatcher/answers what is open before the process ends",
     test_end_of_process},
    {"/dispatcher/goes by priority", test_priority_first},
    {"/dispatcher/keeps room for the first priority", test_reserve},
    {"/dispatcher/gives the room kept to those it is for",
     test_reserve_is_used},
    {"/dispatcher/bounds the room kept", test_reserve_bounds},
    {"/dispatcher/goes on with a begun job first", test_begun_first},
    {"/dispatcher/refuses a job that found no room in time", test_crowded_out},
    {"/dispatcher/keeps a job that found no companion", test_not_crowded_out},
};

int
main(int argc, char **argv)
{
    return RuleTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

/*
 * Tests of single scheduling rules of an entry: one dispatcher, driven through
 * its public functions with fake ports. Covers cases that random schedules
 * reach too rarely.
 */

#include <glib.h>
#include <string.h>

#include "lease/dispatcher.h"
#include "lease/run_id.h"
#include "lease/run_status.h"
#include "tests/lease_fixture.h"
#include "tests/test_table.h"

#define START_MS 10000
#define MAX_CALLS 256

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
    sent_call calls[MAX_CALLS];
    int count;
    int resets;
    int answers;
    int durable_done;
    int durable_failed;
    int durable_crashes;
    int durable_over;
    Dispatcher_Outcome outcome;
    uint32_t retry_ms;
    uint32_t capacity_cpu; /* reported by companions, in millicores */
} dispatcher_fixture;

static void
port_call(void *context, Address to, uint64_t id, const Msg_Call *call)
{
    dispatcher_fixture *fix = context;
    sent_call *sent = &fix->calls[fix->count];

    g_assert_cmpint(fix->count, <, MAX_CALLS);
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
port_durable_end(void *context, const lc_run_id *id, uint32_t task,
                 lc_node host, bool done)
{
    dispatcher_fixture *fix = context;

    (void)id;
    (void)task;
    (void)host;
    fix->durable_done += done;
    fix->durable_failed += !done;
}

static void
port_durable_crash(void *context, const lc_run_id *id, uint32_t task)
{
    dispatcher_fixture *fix = context;

    (void)id;
    (void)task;
    fix->durable_crashes++;
}

static void
port_durable_over(void *context, uint64_t job, Dispatcher_Outcome outcome)
{
    dispatcher_fixture *fix = context;

    (void)job;
    fix->durable_over++;
    fix->outcome = outcome;
}

static const Dispatcher_Ports dispatcher_ports = {port_call,
                                                  port_reset,
                                                  port_answer,
                                                  LeaseFix_DropEvent,
                                                  port_durable_end,
                                                  port_durable_crash,
                                                  port_durable_over,
                                                  NULL,
                                                  NULL};

static void
report_host(dispatcher_fixture *fix, const lc_node *node,
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
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
}

static void
report_node(dispatcher_fixture *fix, const lc_node *node)
{
    report_host(fix, node, LC_UPSTREAM_READY, 4000);
}

static void
report_state(dispatcher_fixture *fix, lc_upstream_state state, uint32_t cpu)
{
    report_host(fix, &companion_node, state, cpu);
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
    config.timing = LeaseFix_Timing();
    fix->dispatcher = Dispatcher_New(&config, &dispatcher_ports, fix,
                                     fix->now_ms);
    fix->routes = Route_NewTable(1);
    fix->route = LeaseFix_AddRoute(fix->routes);
    fix->route->stretch_percent = 160;
    fix->route->target_ms = 60;
    Dispatcher_SetRoutes(fix->dispatcher, fix->routes);
    report_node(fix, &companion_node);
}

static void
free_dispatcher(dispatcher_fixture *fix)
{
    Dispatcher_Free(fix->dispatcher);
    Route_FreeTable(fix->routes);
}

static void
submit_job(dispatcher_fixture *fix, uint64_t job, uint32_t tasks)
{
    Dispatcher_Submit submit = {.request_id = job,
                                .route = fix->route,
                                .queue = Route_Reference(fix->route),
                                .deadline_ms = 5000};

    submit.job.id = job;
    submit.job.spec = g_strdup("");
    submit.job.step_count = 1;
    submit.job.steps = g_new0(LeasedJob_Step, 1);
    submit.job.steps[0].count = tasks;
    submit.job.steps[0].need.cpu_milli = 1000;
    submit.job.steps[0].estimate_ms = 1000;
    Dispatcher_OnSubmit(fix->dispatcher, fix->now_ms, &submit);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
}

static int
count_calls(const dispatcher_fixture *fix, Msg_Kind kind)
{
    int count = 0;
    int i;

    for (i = 0; i < fix->count; i++) {
        count += fix->calls[i].kind == kind;
    }
    return count;
}

static const sent_call *
last_call(const dispatcher_fixture *fix, Msg_Kind kind)
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
reply_run_after(dispatcher_fixture *fix, const sent_call *call,
                lc_run_status status, u_int ran_ms)
{
    Msg_Reply reply = {.kind = MSG_RUN};

    reply.u.run.status = status;
    reply.u.run.ran_ms = ran_ms;
    reply.u.run.host.node = companion_node;
    reply.u.run.host.stamp_ms = fix->now_ms;
    reply.u.run.host.state = status == LC_RUN_NOT_READY ? LC_UPSTREAM_ABSENT
                                                        : LC_UPSTREAM_READY;
    reply.u.run.host.room.cpu_milli = 4000;
    reply.u.run.host.room.memory_mb = 4096;
    reply.u.run.host.pace_percent = 100;
    Dispatcher_OnReply(fix->dispatcher, fix->now_ms, call->id, &reply);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
}

static void
reply_run(dispatcher_fixture *fix, const sent_call *call, lc_run_status status)
{
    reply_run_after(fix, call, status, 0);
}

static void
tick_until(dispatcher_fixture *fix, int64_t until_ms)
{
    while (fix->now_ms < until_ms) {
        fix->now_ms += 50;
        Dispatcher_Tick(fix->dispatcher, fix->now_ms);
        Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
    }
}

/* Like tick_until, but the companion answers renewals of its leases. */
static void
tick_with_renewals(dispatcher_fixture *fix, int64_t until_ms)
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
    submit_job(&fix, 1, 1);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    Dispatcher_OnCallerDisconnect(fix.dispatcher, fix.now_ms, 1);
    Dispatcher_Resume(fix.dispatcher);
    Dispatcher_DispatchWaiting(fix.dispatcher, fix.now_ms);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    submit_job(&fix, 2, 1);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    free_dispatcher(&fix);
}

static void
test_repeated_call_keeps_lease(void)
{
    dispatcher_fixture fix;
    int64_t valid_ms;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 1);
    valid_ms = last_call(&fix, MSG_RUN)->valid_until_ms;
    Dispatcher_OnReply(fix.dispatcher, fix.now_ms,
                       last_call(&fix, MSG_RUN)->id, NULL);
    tick_until(&fix, fix.now_ms + 60);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run, ==, 1);
    g_assert_cmpint(last_call(&fix, MSG_RUN)->valid_until_ms, <=, valid_ms);
    free_dispatcher(&fix);
}

static void
test_no_renewal_at_suspect(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 1);
    tick_until(&fix, fix.now_ms + 800);
    g_assert_cmpint(count_calls(&fix, MSG_RENEW), ==, 1);
    free_dispatcher(&fix);
}

static void
test_retry_elsewhere_after_lease(void)
{
    dispatcher_fixture fix;
    LeaseTiming timing = LeaseFix_Timing();
    int64_t held_ms;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 1);
    tick_until(&fix, fix.now_ms + 100);
    held_ms = last_call(&fix, MSG_RENEW)->at_ms;
    /* Another companion has room all the time. */
    while (count_calls(&fix, MSG_RUN) == 1 && fix.now_ms < held_ms + 3000) {
        report_node(&fix, &other_companion);
        tick_until(&fix, fix.now_ms + 50);
    }
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->to, ==,
                     other_companion.address);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run, ==, 2);
    g_assert_cmpint(fix.now_ms, >=, LeaseTiming_CertainEnd(&timing, held_ms));
    g_assert_cmpint(fix.resets, ==, 1);
    free_dispatcher(&fix);
}

static void
test_restarted_companion(void)
{
    dispatcher_fixture fix;
    lc_node restarted = companion_node;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 1);
    restarted.incarnation++;
    fix.now_ms += 20;
    report_node(&fix, &restarted);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run, ==, 2);
    free_dispatcher(&fix);
}

static void
test_caller_gone(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 2);
    Dispatcher_OnCallerDisconnect(fix.dispatcher, fix.now_ms, 1);
    g_assert_cmpint(count_calls(&fix, MSG_HALT), ==, 2);
    g_assert_cmpint(fix.answers, ==, 0);
    g_assert_false(Dispatcher_IsIdle(fix.dispatcher));
    free_dispatcher(&fix);
}

static void
test_refused_is_not_run(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 1);
    reply_run(&fix, last_call(&fix, MSG_RUN), LC_RUN_NOT_READY);
    /* The companion stays silent from here on. */
    tick_until(&fix, fix.now_ms + 1300);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    submit_job(&fix, 2, 1);
    g_assert_cmpint(fix.answers, ==, 2);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    free_dispatcher(&fix);
}

static void
test_attempts(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 1);
    reply_run(&fix, last_call(&fix, MSG_RUN), LC_RUN_FAILED);
    g_assert_cmpint(fix.answers, ==, 0);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    reply_run(&fix, last_call(&fix, MSG_RUN), LC_RUN_FAILED);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_FAILED);
    free_dispatcher(&fix);
}

/* Starts carry the number of crashes, so that companions isolate such tasks;
 * after the second crashed upstream the job is given up at once. */
static void
test_two_crashes(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    report_node(&fix, &other_companion);
    submit_job(&fix, 1, 1);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->crashes, ==, 0);
    reply_run(&fix, last_call(&fix, MSG_RUN), LC_RUN_CRASHED);
    g_assert_cmpint(fix.answers, ==, 0);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->crashes, ==, 1);
    reply_run(&fix, last_call(&fix, MSG_RUN), LC_RUN_CRASHED);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_FAILED);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    free_dispatcher(&fix);
}

static void
reply_unconfirmed_crash(dispatcher_fixture *fix)
{
    reply_run_after(fix, last_call(fix, MSG_RUN), LC_RUN_CRASHED,
                    RUN_MAY_NOT_HAVE_BEGUN);
}

/* A run whose start was merely unanswered is not to blame. */
static void
test_crash_of_unconfirmed_run(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    report_node(&fix, &other_companion);
    submit_job(&fix, 1, 1);
    reply_unconfirmed_crash(&fix);
    reply_run(&fix, last_call(&fix, MSG_RUN), LC_RUN_CRASHED);
    g_assert_cmpint(fix.answers, ==, 0);
    reply_run(&fix, last_call(&fix, MSG_RUN), LC_RUN_CRASHED);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_FAILED);
    free_dispatcher(&fix);
}

/* A task that crashes its upstream before the start is answered is given up
 * after one more crash than the three after which it may be. */
static void
test_crashes_of_unconfirmed_runs(void)
{
    dispatcher_fixture fix;
    int i;

    new_dispatcher(&fix);
    report_node(&fix, &other_companion);
    submit_job(&fix, 1, 1);
    for (i = 0; i < 3; i++) {
        reply_unconfirmed_crash(&fix);
        g_assert_cmpint(fix.answers, ==, 0);
    }
    reply_unconfirmed_crash(&fix);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_FAILED);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 4);
    free_dispatcher(&fix);
}

/* Such a job is refused at once, as not run, but only after the time in which
 * all companions have reported. */
static void
test_task_exceeds_all_upstreams(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    fix.capacity_cpu = 500;
    report_node(&fix, &companion_node);
    submit_job(&fix, 1, 1);
    g_assert_cmpint(fix.answers, ==, 0);
    free_dispatcher(&fix);
    new_dispatcher(&fix);
    fix.now_ms += 3000;
    fix.capacity_cpu = 500;
    report_node(&fix, &companion_node);
    submit_job(&fix, 1, 1);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    fix.capacity_cpu = 4000;
    report_node(&fix, &other_companion);
    submit_job(&fix, 2, 1);
    g_assert_cmpint(fix.answers, ==, 1);
    free_dispatcher(&fix);
}

/* The reported capacity shrinks while the job waits for room. */
static void
test_upstreams_shrink_below_task(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    fix.now_ms += 3000;
    fix.capacity_cpu = 4000;
    report_room(&fix, 0);
    submit_job(&fix, 1, 1);
    tick_until(&fix, fix.now_ms + 50);
    g_assert_cmpint(fix.answers, ==, 0);
    fix.capacity_cpu = 500;
    report_room(&fix, 0);
    tick_until(&fix, fix.now_ms + 50);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    free_dispatcher(&fix);
}

/* Runs lost for other reasons do not count as crashes. */
static void
test_losses_are_no_crashes(void)
{
    dispatcher_fixture fix;
    int i;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 1);
    for (i = 0; i < 4; i++) {
        reply_run(&fix, last_call(&fix, MSG_RUN), LC_RUN_LOST);
        g_assert_cmpuint(last_call(&fix, MSG_RUN)->crashes, ==, 0);
    }
    g_assert_cmpint(fix.answers, ==, 0);
    free_dispatcher(&fix);
}

/* Crashes are counted per task, not per job. */
static void
test_crashes_of_several_tasks(void)
{
    dispatcher_fixture fix;
    int i;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 2);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    for (i = 0; i < 2; i++) {
        sent_call call = fix.calls[i];
        g_assert_cmpint(call.kind, ==, MSG_RUN);
        reply_run(&fix, &call, LC_RUN_CRASHED);
    }
    g_assert_cmpint(fix.answers, ==, 0);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 4);
    free_dispatcher(&fix);
}

static void
test_started_job_is_given_up(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 1);
    tick_until(&fix, fix.now_ms + 6000);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_GIVEN_UP);
    free_dispatcher(&fix);
}

/* Two of six tasks never find room: the job is given up and its runs are
 * stopped when it can no longer end in time to be of use, well before its
 * deadline. */
static void
test_started_job_cannot_finish(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    fix.route->target_ms = 0;
    submit_job(&fix, 1, 6);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 4);
    tick_with_renewals(&fix, START_MS + 4200);
    g_assert_cmpint(fix.answers, ==, 0);
    tick_with_renewals(&fix, START_MS + 4400);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_GIVEN_UP);
    g_assert_cmpint(count_calls(&fix, MSG_HALT), ==, 4);
    free_dispatcher(&fix);
}

/* Fills the only companion, then submits one job of each of two priorities;
 * the last call shows which of them is started first. */
static void
test_priority_first(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 4);
    fix.route->priority = 1;
    submit_job(&fix, 2, 1);
    fix.now_ms += 1;
    fix.route->priority = 0;
    submit_job(&fix, 3, 1);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 4);
    report_room(&fix, 1000);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 5);
    g_assert_cmpuint(fix.calls[fix.count - 1].job, ==, 3);
    free_dispatcher(&fix);
}

static void
test_started_first(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    fix.route->priority = 1;
    submit_job(&fix, 1, 5);
    fix.route->priority = 0;
    submit_job(&fix, 2, 1);
    report_room(&fix, 1000);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 5);
    g_assert_cmpuint(fix.calls[fix.count - 1].job, ==, 1);
    free_dispatcher(&fix);
}

/* The objective is 1,660 ms, the estimate 1,000. */
static void
test_no_room_before_objective(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 4);
    submit_job(&fix, 2, 1);
    tick_with_renewals(&fix, START_MS + 650);
    g_assert_cmpint(fix.answers, ==, 0);
    tick_with_renewals(&fix, START_MS + 750);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(fix.retry_ms, >, 0);
    free_dispatcher(&fix);
}

/* While no companion is schedulable, the same job keeps waiting. */
static void
test_waits_without_companions(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    report_state(&fix, LC_UPSTREAM_ABSENT, 0);
    submit_job(&fix, 1, 1);
    fix.now_ms += 800;
    report_state(&fix, LC_UPSTREAM_ABSENT, 0);
    Dispatcher_Tick(fix.dispatcher, fix.now_ms);
    g_assert_cmpint(fix.answers, ==, 0);
    report_state(&fix, LC_UPSTREAM_READY, 4000);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    free_dispatcher(&fix);
}

/* Runs a first-priority job of four tasks; half of its room is then reserved
 * for the next such job. */
static void
run_first_priority(dispatcher_fixture *fix)
{
    fix->capacity_cpu = 64000;
    fix->route->priority = 0;
    submit_job(fix, 1, 4);
    g_assert_cmpint(count_calls(fix, MSG_RUN), ==, 4);
    report_room(fix, 0);
    fix->route->priority = 1;
}

static void
test_reserve(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    run_first_priority(&fix);
    submit_job(&fix, 2, 1);
    report_room(&fix, 2000);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 4);
    report_room(&fix, 3000);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 5);
    free_dispatcher(&fix);
}

/* Started jobs may use the reserved room, and so may the first priority. */
static void
test_reserve_for_eligible(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    run_first_priority(&fix);
    submit_job(&fix, 2, 4);
    report_room(&fix, 3000);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 7);
    report_room(&fix, 1000);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 8);
    fix.route->priority = 0;
    submit_job(&fix, 3, 1);
    report_room(&fix, 1000);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 9);
    free_dispatcher(&fix);
}

/* No room is reserved for a priority without recent jobs, nor if the total
 * capacity is so small that the reserve would leave much of it idle. */
static void
test_reserve_bounds(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    run_first_priority(&fix);
    submit_job(&fix, 2, 1);
    fix.now_ms += 10001;
    report_room(&fix, 1000);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 5);
    free_dispatcher(&fix);
    new_dispatcher(&fix);
    run_first_priority(&fix);
    fix.capacity_cpu = 15000;
    submit_job(&fix, 2, 1);
    report_room(&fix, 1000);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 5);
    free_dispatcher(&fix);
}

/* A job that is still open shortly before the process exits is answered. */
static void
test_shutdown(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    submit_job(&fix, 1, 1);
    Dispatcher_SetShutdownTime(fix.dispatcher, START_MS + 300);
    tick_with_renewals(&fix, START_MS + 250);
    g_assert_cmpint(fix.answers, ==, 0);
    tick_with_renewals(&fix, START_MS + 350);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_GIVEN_UP);
    g_assert_cmpint(count_calls(&fix, MSG_HALT), ==, 1);
    free_dispatcher(&fix);
}

static void
test_advised_queue(void)
{
    dispatcher_fixture fix;

    new_dispatcher(&fix);
    fix.route->needs_ticket = true;
    submit_job(&fix, 1, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    free_dispatcher(&fix);
}

static const TestTable_Row rules[] = {
    {"/dispatcher/starts nothing while paused", test_paused},
    {"/dispatcher/repeats calls without a longer lease",
     test_repeated_call_keeps_lease},
    {"/dispatcher/does not renew at a silent companion",
     test_no_renewal_at_suspect},
    {"/dispatcher/retries elsewhere only after the lease expired",
     test_retry_elsewhere_after_lease},
    {"/dispatcher/runs again at once after a new incarnation",
     test_restarted_companion},
    {"/dispatcher/stops the job of a caller that disconnected",
     test_caller_gone},
    {"/dispatcher/answers not run after refusals only",
     test_refused_is_not_run},
    {"/dispatcher/refuses queues that need admission tickets",
     test_advised_queue},
    {"/dispatcher/counts failed attempts", test_attempts},
    {"/dispatcher/gives up a task after two upstream crashes",
     test_two_crashes},
    {"/attempts/a crash of a run that may not have begun",
     test_crash_of_unconfirmed_run},
    {"/attempts/crashes of runs that may not have begun",
     test_crashes_of_unconfirmed_runs},
    {"/dispatcher/refuses a task larger than any upstream",
     test_task_exceeds_all_upstreams},
    {"/dispatcher/refuses a waiting job once upstreams shrink",
     test_upstreams_shrink_below_task},
    {"/dispatcher/counts no other loss as a crash",
     test_losses_are_no_crashes},
    {"/dispatcher/counts crashes by task", test_crashes_of_several_tasks},
    {"/dispatcher/answers given up once started",
     test_started_job_is_given_up},
    {"/dispatcher/gives up a started job that cannot finish",
     test_started_job_cannot_finish},
    {"/dispatcher/answers open jobs before the process exits", test_shutdown},
    {"/dispatcher/starts jobs by priority", test_priority_first},
    {"/dispatcher/reserves room for the first priority", test_reserve},
    {"/dispatcher/lets eligible jobs use the reserve",
     test_reserve_for_eligible},
    {"/dispatcher/bounds the reserve", test_reserve_bounds},
    {"/dispatcher/continues started jobs first", test_started_first},
    {"/dispatcher/refuses a job that found no room in time",
     test_no_room_before_objective},
    {"/dispatcher/keeps a job waiting without companions",
     test_waits_without_companions},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

#include "tests/entry_fixture.h"

#include <string.h>

#include "tests/lease_fixture.h"
#include "wire/run_batch.h"

#define TICK_MS 50
#define TASK_MILLI 1000
#define MEMORY_MB 65536
#define DEADLINE_MS 5000
#define ESTIMATE_MS 100

static void
record_start(EntryFix *fix, Address to, uint64_t call_id,
             const lc_run_args *run, uint32_t joined)
{
    EntryFix_Start *start = &fix->starts[fix->start_count++];

    g_assert_cmpint(fix->start_count, <=, ENTRY_FIX_CAPACITY);
    start->to = to;
    start->call_id = call_id;
    start->owner = run->owner.incarnation;
    start->joined = joined;
    start->id = run->id;
    start->valid_until_ms = run->valid_until_ms;
    start->spec_length = strlen(run->spec);
    start->at_ms = fix->now_ms;
}

static void
port_call(void *context, Address to, uint64_t call_id, const Msg_Call *call)
{
    EntryFix *fix = context;
    EntryFix_Call *row;

    if (call->kind == MSG_RUN) {
        record_start(fix, to, call_id, &call->u.run, 0);
        return;
    }
    g_assert_cmpint(fix->call_count, <, ENTRY_FIX_CAPACITY);
    row = &fix->calls[fix->call_count++];
    row->to = to;
    row->call_id = call_id;
    row->kind = call->kind;
    row->at_ms = fix->now_ms;
    if (call->kind == MSG_RENEW) {
        row->renew = call->u.renew;
    }
    if (call->kind == MSG_FORWARD) {
        row->forward = call->u.forward;
    }
    if (call->kind == MSG_EXTEND) {
        row->extend = call->u.extend;
        row->gone = call->u.extend.gone.gone_len == 0
                        ? 0
                        : call->u.extend.gone.gone_val[0];
    }
}

static void
port_reply(void *context, uint64_t reply_id, const Msg_Reply *reply)
{
    EntryFix *fix = context;
    EntryFix_SentReply *row = &fix->replies[fix->reply_count++];

    g_assert_cmpint(fix->reply_count, <=, ENTRY_FIX_CAPACITY);
    row->reply_id = reply_id;
    row->kind = reply->kind;
    if (reply->kind == MSG_FORWARD) {
        row->forward = reply->u.forward;
    }
    else {
        row->extend = reply->u.extend;
    }
}

static void
port_runs(void *context, Address to, const uint64_t *call_ids,
          const lc_runs_args *runs)
{
    u_int i;

    for (i = 0; i < runs->rows.rows_len; i++) {
        Msg_Call run;
        RunBatch_DecodeRow(runs, i, &run);
        record_start(context, to, call_ids[i], &run.u.run,
                     runs->rows.rows_len);
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
    EntryFix *fix = context;
    EntryFix_Answer *row = &fix->answers[fix->answer_count++];

    g_assert_cmpint(fix->answer_count, <=, ENTRY_FIX_CAPACITY);
    row->request = request;
    row->outcome = answer->outcome;
    row->kind = answer->kind;
    row->retry_ms = answer->retry_ms;
}

static void
port_durable_run_end(void *context, const lc_run_id *id, uint32_t task,
                     lc_node host, bool done)
{
    (void)context;
    (void)id;
    (void)task;
    (void)host;
    (void)done;
}

static const Dispatcher_Ports ports = {
    .call = port_call,
    .runs = port_runs,
    .reply = port_reply,
    .reset = port_reset,
    .answer = port_answer,
    .event = LeaseFix_DropEvent,
    .on_durable_run_end = port_durable_run_end,
};

void
EntryFix_Open(EntryFix *fix, Address address, double link_mbps)
{
    Dispatcher_Config config = {.node = {address, 77},
                                .max_jobs = 1000,
                                .link_mbps = link_mbps,
                                .join_runs = link_mbps > 0};

    memset(fix, 0, sizeof(*fix));
    fix->now_ms = ENTRY_FIX_START_MS;
    fix->timing = LeaseFix_Timing();
    config.timing = fix->timing;
    fix->dispatcher = Dispatcher_New(&config, &ports, fix, fix->now_ms);
    fix->routes = Route_NewTable(1);
    fix->route = LeaseFix_AddRoute(fix->routes);
    fix->route->stretch_percent = 160;
    fix->route->target_ms = 500;
    Dispatcher_SetRoutes(fix->dispatcher, fix->routes);
}

void
EntryFix_Close(EntryFix *fix)
{
    Dispatcher_Free(fix->dispatcher);
    Route_FreeTable(fix->routes);
}

void
EntryFix_OpenStarted(EntryFix *fix, Address address, uint64_t job)
{
    EntryFix_Open(fix, address, 0);
    EntryFix_Report(fix, 0, 4);
    EntryFix_Submit(fix, job, 1, 0);
    g_assert_cmpint(fix->start_count, ==, 1);
}

lc_node
EntryFix_Host(uint32_t host)
{
    lc_node node = {(Address)(host + 1) << 16, host + 1};

    return node;
}

static void
fill_state(const EntryFix *fix, uint32_t host, uint32_t tasks,
           lc_host_state *state)
{
    state->node = EntryFix_Host(host);
    state->stamp_ms = fix->now_ms;
    state->state = fix->on_trial ? LC_UPSTREAM_TRIAL : LC_UPSTREAM_READY;
    state->room.cpu_milli = tasks * TASK_MILLI;
    state->room.memory_mb = MEMORY_MB;
    state->pace_percent = 100;
}

void
EntryFix_FillReport(const EntryFix *fix, uint32_t host, uint32_t tasks,
                    lc_report_args *report)
{
    memset(report, 0, sizeof(*report));
    fill_state(fix, host, tasks, &report->host);
    report->capacity.cpu_milli = 16 * TASK_MILLI;
    report->capacity.memory_mb = MEMORY_MB;
    report->hall = (char *)(uintptr_t) "hall";
    report->service = (char *)(uintptr_t) "service";
    report->instance = (char *)(uintptr_t) "i-1";
    report->next_ms = 60000;
    report->closures.as_of = -1;
    report->late_ms = fix->late_ms;
}

void
EntryFix_Report(EntryFix *fix, uint32_t host, uint32_t tasks)
{
    lc_report_args report;

    EntryFix_FillReport(fix, host, tasks, &report);
    Dispatcher_OnReport(fix->dispatcher, fix->now_ms, &report);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
}

void
EntryFix_Submit(EntryFix *fix, uint64_t job, uint32_t tasks, int32_t priority)
{
    Dispatcher_Submit submit = {.request_id = job,
                                .route = fix->route,
                                .queue = Route_Reference(fix->route),
                                .deadline_ms = DEADLINE_MS};

    fix->route->priority = priority;
    submit.job.id = job;
    submit.job.spec = g_strnfill(ENTRY_FIX_SPEC_BYTES, 'x');
    submit.job.step_count = 1;
    submit.job.steps = g_new0(LeasedJob_Step, 1);
    submit.job.steps[0].count = tasks;
    submit.job.steps[0].need.cpu_milli = TASK_MILLI;
    submit.job.steps[0].estimate_ms = ESTIMATE_MS;
    Dispatcher_OnSubmit(fix->dispatcher, fix->now_ms, &submit);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
}

void
EntryFix_Reply(EntryFix *fix, const EntryFix_Start *start,
               lc_run_status status, uint32_t tasks_left)
{
    Msg_Reply reply = {.kind = MSG_RUN};

    reply.u.run.status = status;
    reply.u.run.late_start_ms = fix->late_start_ms;
    fill_state(fix, (uint32_t)(start->to >> 16) - 1, tasks_left,
               &reply.u.run.host);
    Dispatcher_OnReply(fix->dispatcher, fix->now_ms, start->call_id, &reply);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
}

void
EntryFix_BreakConnection(EntryFix *fix, const EntryFix_Start *start)
{
    Dispatcher_OnReply(fix->dispatcher, fix->now_ms, start->call_id, NULL);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
}

/* Answers the renewals among the calls from index @p from on. */
static void
answer_renewals(EntryFix *fix, int from)
{
    Msg_Reply reply = {.kind = MSG_RENEW};

    reply.u.renew.starts_told = fix->starts_told;
    reply.u.renew.unsettled.unsettled_len = fix->unsettled.run != 0;
    reply.u.renew.unsettled.unsettled_val = &fix->unsettled;
    for (; fix->renewed_tasks > 0 && from < fix->call_count; from++) {
        const EntryFix_Call *call = &fix->calls[from];
        if (call->kind == MSG_RENEW) {
            fill_state(fix, (uint32_t)(call->to >> 16) - 1, fix->renewed_tasks,
                       &reply.u.renew.host);
            Dispatcher_OnReply(fix->dispatcher, fix->now_ms, call->call_id,
                               &reply);
        }
    }
}

int
EntryFix_CountCalls(const EntryFix *fix, Msg_Kind kind)
{
    int count = 0;
    int i;

    for (i = 0; i < fix->call_count; i++) {
        count += fix->calls[i].kind == kind;
    }
    return count;
}

const EntryFix_Call *
EntryFix_LastCall(const EntryFix *fix, Msg_Kind kind)
{
    int i;

    for (i = fix->call_count - 1; i >= 0; i--) {
        if (fix->calls[i].kind == kind) {
            return &fix->calls[i];
        }
    }
    g_assert_not_reached();
}

void
EntryFix_Advance(EntryFix *fix, int64_t ms)
{
    int64_t until_ms = fix->now_ms + ms;

    while (fix->now_ms < until_ms) {
        int calls = fix->call_count;
        fix->now_ms++;
        if (fix->now_ms % TICK_MS == 0) {
            Dispatcher_Tick(fix->dispatcher, fix->now_ms);
        }
        answer_renewals(fix, calls);
        Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
    }
}

/*
 * Unit tests of durable jobs: the durable-job state of one entry with its
 * dispatcher, driven through the public functions with fake ports.
 */

#include <glib.h>
#include <string.h>

#include "lease/durable_jobs.h"
#include "lease/runner.h"
#include "tests/lease_fixture.h"
#include "tests/test_table.h"

#define START_MS 10000
#define MOST 256
#define HOLD_MS 6000
#define RESUBMIT_MS 1300
/* Offset of the wall clock from the monotonic one. */
#define WALL_MS 1700000000000

static const lc_node own_node = {0x7f0000011b59, 1000};
/* Its first owner identity. */
static const lc_node own_owner = {0x7f0000011b59, 1001};
static const lc_node companion_node = {0x7f0000011b63, 900};
/* Owner identity of another entry. */
static const lc_node other_owner = {0x7f0000011b5a, 2001};
static const lc_node third_owner = {0x7f0000011b5b, 2001};

typedef struct {
    char key[DURABLE_LOG_KEY_SIZE];
    GByteArray *value;
} written_record;

typedef struct {
    uint64_t id;
    Msg_Kind kind;
    lc_run_id run;
    int64_t valid_until_ms; /* of a RUN */
    uint64_t kept;          /* owner renewed by a RENEW, or 0 */
    u_int named;            /* owners named by a FENCE */
    lc_node last_named;
} sent_call;

typedef struct {
    Dispatcher *dispatcher;
    DurableJobs *durable_jobs;
    Route_Table *routes;
    Route *route;
    int64_t now_ms;
    uint64_t offset; /* of the next record to be read */
    GPtrArray *puts; /* written_record */
    GArray *calls;   /* sent_call, of dispatcher and durable jobs */
    int answers;
    Dispatcher_Outcome outcome;
    Err_Kind kind;
    int states_answered;
    DurableJobs_State last_state;
    Route_Table *no_routes;
    Route_Table *other_routes; /* with the queue under another name, or NULL */
    bool unreadable;           /* no body of a job can be parsed */
    uint32_t tasks;            /* of each job */
    bool long_running;
    uint32_t repeat_count;
    lc_upstream_state state;
    uint64_t incarnation_offset; /* added to the companion's incarnation */
    int unowned_logged;          /* LC321 events */
    u_int held_long; /* ends that the companion reports as held for long */
} fixture;

/* Of the fixture that was created last. */
static QueueRef queue;

/* ---- ports ---- */

static void
free_written_record(gpointer item)
{
    written_record *put = item;

    g_byte_array_unref(put->value);
    g_free(put);
}

static uint64_t
port_put(void *context, const char *key, const uint8_t *value, size_t length)
{
    fixture *fix = context;
    written_record *put = g_new0(written_record, 1);

    g_strlcpy(put->key, key, sizeof(put->key));
    put->value = g_byte_array_new();
    if (length > 0) {
        g_byte_array_append(put->value, value, (guint)length);
    }
    g_ptr_array_add(fix->puts, put);
    return fix->puts->len;
}

static void
port_answer(void *context, uint64_t request, const Dispatcher_Answer *answer)
{
    fixture *fix = context;

    (void)request;
    fix->answers++;
    fix->outcome = answer->outcome;
    fix->kind = answer->kind;
}

static void
port_answer_state(void *context, uint64_t request, DurableJobs_State state)
{
    fixture *fix = context;

    (void)request;
    fix->states_answered++;
    fix->last_state = state;
}

static void
port_call(void *context, Address to, uint64_t id, const Msg_Call *call)
{
    fixture *fix = context;
    sent_call sent = {.id = id, .kind = call->kind};

    (void)to;
    if (call->kind == MSG_RUN) {
        sent.run = call->u.run.id;
        sent.valid_until_ms = call->u.run.valid_until_ms;
    }
    else if (call->kind == MSG_RENEW) {
        sent.kept = call->u.renew.kept;
    }
    else if (call->kind == MSG_FENCE && call->u.fence.gone.gone_len > 0) {
        sent.named = call->u.fence.gone.gone_len;
        sent.last_named = call->u.fence.gone.gone_val[sent.named - 1];
    }
    g_array_append_val(fix->calls, sent);
}

static Err_Kind
port_parse(void *context, uint64_t id, const char *body, LeasedJob *job,
           Status *status)
{
    fixture *fix = context;

    (void)body;
    memset(job, 0, sizeof(*job));
    if (fix->unreadable) {
        return Err_Set(status, ERR_BAD_REQUEST, "not a job");
    }
    job->id = id;
    job->spec = g_strdup("");
    job->step_count = 1;
    job->steps = g_new0(LeasedJob_Step, 1);
    job->steps[0].count = fix->tasks;
    job->steps[0].need.cpu_milli = 1000;
    job->steps[0].estimate_ms = 100;
    job->steps[0].long_running = fix->long_running;
    job->needs_durability = true;
    job->repeat_count = fix->repeat_count;
    job->start_at_ms = WALL_MS + START_MS + 500;
    job->interval_ms = 500;
    return ERR_OK;
}

static void
port_durable_event(void *context, Event_Id id, const char *detail)
{
    fixture *fix = context;

    (void)detail;
    fix->unowned_logged += id == EVENT_KEPT_UNOWNED;
}

static void
port_reset(void *context, Address to)
{
    (void)context;
    (void)to;
}

static void
port_end(void *context, const lc_run_id *id, uint32_t task, lc_node host,
         bool done)
{
    DurableJobs_OnRunEnd(((fixture *)context)->durable_jobs, id, task, host,
                         done);
}

static void
port_crash(void *context, const lc_run_id *id, uint32_t task)
{
    DurableJobs_OnUpstreamCrash(((fixture *)context)->durable_jobs, id, task);
}

static void
port_over(void *context, uint64_t job, Dispatcher_Outcome outcome)
{
    DurableJobs_OnJobEnd(((fixture *)context)->durable_jobs, job, outcome);
}

static const DurableJobs_Ports durable_ports = {
    port_put,  port_answer, port_answer_state,
    port_call, port_parse,  port_durable_event,
};
static const Dispatcher_Ports dispatcher_ports = {
    port_call,          port_reset, port_answer,
    LeaseFix_DropEvent, port_end,   port_crash,
    port_over,          NULL,       NULL};

/* ---- fixture ---- */

static void
report_host(fixture *fix)
{
    lc_report_args report;

    memset(&report, 0, sizeof(report));
    report.host.node = companion_node;
    report.host.node.incarnation += fix->incarnation_offset;
    report.host.stamp_ms = fix->now_ms;
    report.host.state = fix->state;
    report.host.held_long = fix->held_long;
    report.host.room.cpu_milli = 4000;
    report.host.pace_percent = 100;
    report.hall = (char *)(uintptr_t) "hall";
    report.service = (char *)(uintptr_t) "service";
    report.instance = (char *)(uintptr_t) "i-1";
    report.next_ms = 500;
    Dispatcher_OnReport(fix->dispatcher, fix->now_ms, &report);
}

static void
flush(fixture *fix)
{
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
    DurableJobs_Flush(fix->durable_jobs, fix->now_ms);
}

static void
read_log(fixture *fix)
{
    DurableJobs_OnLogRead(fix->durable_jobs, fix->now_ms, fix->now_ms);
    flush(fix);
}

/* Advances the time while the log stays reachable, and the companion if
 * @p reports. */
static void
advance_with(fixture *fix, int64_t ms, bool reports)
{
    int64_t until = fix->now_ms + ms;

    while (fix->now_ms < until) {
        fix->now_ms += 50;
        if (reports) {
            report_host(fix);
            DurableJobs_OnHost(fix->durable_jobs, fix->now_ms);
        }
        read_log(fix);
        DurableJobs_Tick(fix->durable_jobs, fix->now_ms);
        Dispatcher_Tick(fix->dispatcher, fix->now_ms);
        flush(fix);
    }
}

static void
advance(fixture *fix, int64_t ms)
{
    advance_with(fix, ms, true);
}

/* An entry that has heard no companion. */
static void
new_unheard_fixture(fixture *fix)
{
    Dispatcher_Config config = {.node = own_node, .max_jobs = 100};
    DurableJobs_Config durable = {.node = own_node,
                                  .max_jobs = 100,
                                  .resubmit_ms = RESUBMIT_MS,
                                  .keep_ms = 60000};

    memset(fix, 0, sizeof(*fix));
    fix->now_ms = START_MS;
    fix->tasks = 1;
    fix->state = LC_UPSTREAM_READY;
    fix->puts = g_ptr_array_new_with_free_func(free_written_record);
    fix->calls = g_array_new(FALSE, TRUE, sizeof(sent_call));
    config.timing = LeaseFix_Timing();
    fix->dispatcher = Dispatcher_New(&config, &dispatcher_ports, fix,
                                     fix->now_ms);
    fix->routes = Route_NewTable(1);
    fix->no_routes = Route_NewTable(2);
    fix->route = LeaseFix_AddRoute(fix->routes);
    queue = Route_Reference(fix->route);
    Dispatcher_SetRoutes(fix->dispatcher, fix->routes);
    fix->durable_jobs = DurableJobs_New(&durable, &durable_ports, fix,
                                        fix->dispatcher, fix->now_ms);
    read_log(fix);
}

static void
new_fixture(fixture *fix)
{
    new_unheard_fixture(fix);
    fix->now_ms--; /* the companion is heard of before the log is read */
    report_host(fix);
    fix->now_ms++;
    flush(fix);
}

static void
free_fixture(fixture *fix)
{
    DurableJobs_Free(fix->durable_jobs);
    Dispatcher_Free(fix->dispatcher);
    Route_FreeTable(fix->routes);
    Route_FreeTable(fix->no_routes);
    Route_FreeTable(fix->other_routes);
    g_ptr_array_unref(fix->puts);
    g_array_unref(fix->calls);
}

static void
remove_queue(fixture *fix)
{
    Dispatcher_SetRoutes(fix->dispatcher, fix->no_routes);
}

static void
put_back_queue(fixture *fix)
{
    Dispatcher_SetRoutes(fix->dispatcher, fix->routes);
}

/* Gives the queue another name; callers refer to it by that from now on. */
static void
rename_queue(fixture *fix)
{
    Route *route;

    fix->other_routes = Route_NewTable(3);
    route = LeaseFix_AddRoute(fix->other_routes);
    g_free(route->name);
    route->name = g_strdup("renamed");
    queue = Route_Reference(route);
    DurableJobs_OnRoutes(fix->durable_jobs);
    Dispatcher_SetRoutes(fix->dispatcher, fix->other_routes);
}

static void
submit(fixture *fix, uint64_t id)
{
    LeasedJob job;
    DurableJobs_Submit submit = {.request_id = id,
                                 .route = fix->route,
                                 .queue = queue,
                                 .body = "{}",
                                 .job = &job};

    port_parse(fix, id, "", &job, NULL);
    DurableJobs_OnSubmit(fix->durable_jobs, fix->now_ms, &submit);
    LeasedJob_Clear(&job);
}

static void
read_bytes(fixture *fix, const char *key, const uint8_t *value, size_t length)
{
    DurableLog_Record record = {fix->offset++, key, strlen(key), value,
                                length};

    DurableJobs_OnRecord(fix->durable_jobs, fix->now_ms, &record);
}

/* Reads back the record of a put, numbered from 1. */
static void
read_put(fixture *fix, guint number)
{
    const written_record *put = g_ptr_array_index(fix->puts, number - 1);

    read_bytes(fix, put->key, put->value->data, put->value->len);
}

static void
read_puts(fixture *fix)
{
    guint number;

    for (number = 1; number <= fix->puts->len; number++) {
        read_put(fix, number);
    }
}

static void
read_record(fixture *fix, const char *key, const lc_kept_record *record)
{
    GByteArray *bytes = g_byte_array_new();

    Msg_EncodeDurableRecord(record, bytes);
    read_bytes(fix, key, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
}

/* Reads a submission of another entry. */
static void
read_submit(fixture *fix, uint64_t id, const lc_node *owner)
{
    lc_kept_record record = {.job = id};
    lc_kept_submit *body = &record.body.lc_kept_body_u.submit;
    char key[DURABLE_LOG_KEY_SIZE];

    record.body.kind = LC_KEPT_SUBMIT;
    body->owner = *owner;
    body->queue = (char *)(uintptr_t) "queue";
    body->body = (char *)(uintptr_t) "{}";
    DurableLog_SubmitKey(id, *owner, key);
    read_record(fix, key, &record);
}

static void
read_claim(fixture *fix, const lc_node *gone, const lc_node *successor)
{
    lc_kept_record record = {.job = 0};
    char key[DURABLE_LOG_KEY_SIZE];

    record.body.kind = LC_KEPT_CLAIM;
    record.body.lc_kept_body_u.claim.gone = *gone;
    record.body.lc_kept_body_u.claim.successor = *successor;
    DurableLog_ClaimKey(gone, *successor, key);
    read_record(fix, key, &record);
}

static int
count_calls(const fixture *fix, Msg_Kind kind)
{
    int count = 0;
    guint i;

    for (i = 0; i < fix->calls->len; i++) {
        count += g_array_index(fix->calls, sent_call, i).kind == kind;
    }
    return count;
}

static const sent_call *
last_call(const fixture *fix, Msg_Kind kind)
{
    guint i;

    for (i = fix->calls->len; i > 0; i--) {
        const sent_call *call = &g_array_index(fix->calls, sent_call, i - 1);
        if (call->kind == kind) {
            return call;
        }
    }
    g_assert_not_reached();
}

/* The companion reports how the last run ended. */
static void
end_run(fixture *fix, lc_run_status status)
{
    Msg_Reply reply = {.kind = MSG_RUN};

    reply.u.run.status = status;
    reply.u.run.host.node = companion_node;
    reply.u.run.host.node.incarnation += fix->incarnation_offset;
    reply.u.run.host.stamp_ms = fix->now_ms;
    reply.u.run.host.state = fix->state;
    reply.u.run.host.room.cpu_milli = 4000;
    reply.u.run.host.pace_percent = 100;
    Dispatcher_OnReply(fix->dispatcher, fix->now_ms,
                       last_call(fix, MSG_RUN)->id, &reply);
    flush(fix);
}

/* The companion answers the last FENCE with one run, or none. */
static void
answer_fence(fixture *fix, const lc_held_run *run)
{
    Msg_Reply reply = {.kind = MSG_FENCE};
    lc_held_run copy;

    reply.u.fence.taken = true;
    if (run != NULL) {
        copy = *run;
        reply.u.fence.runs.runs_val = &copy;
        reply.u.fence.runs.runs_len = 1;
    }
    DurableJobs_OnReply(fix->durable_jobs, fix->now_ms,
                        last_call(fix, MSG_FENCE)->id, &reply);
    flush(fix);
}

/* The companion answers the last FENCE with a start of job 7 that its upstream
 * may execute late. */
static void
answer_fence_late_start(fixture *fix, u_int late_start_ms)
{
    lc_late_start late = {.id = {.job = 7, .run = 1025},
                          .late_start_ms = late_start_ms};
    Msg_Reply reply = {.kind = MSG_FENCE};

    reply.u.fence.taken = true;
    reply.u.fence.late_starts.late_starts_val = &late;
    reply.u.fence.late_starts.late_starts_len = 1;
    DurableJobs_OnReply(fix->durable_jobs, fix->now_ms,
                        last_call(fix, MSG_FENCE)->id, &reply);
    flush(fix);
}

static lc_node
own_identity(const fixture *fix)
{
    lc_node node = own_node;

    node.incarnation = DurableJobs_OwnerIncarnation(fix->durable_jobs,
                                                    fix->now_ms);
    return node;
}

/* ---- submissions ---- */

static void
test_answered_when_written(void)
{
    fixture fix;

    new_fixture(&fix);
    submit(&fix, 7);
    submit(&fix, 8);
    g_assert_cmpint(fix.answers, ==, 0);
    DurableJobs_OnWritten(fix.durable_jobs, fix.now_ms, 1);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_RECORDED);
    free_fixture(&fix);
}

static void
test_started_when_read(void)
{
    fixture fix;

    new_fixture(&fix);
    submit(&fix, 7);
    DurableJobs_OnWritten(fix.durable_jobs, fix.now_ms, 1);
    flush(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    read_put(&fix, 1);
    read_log(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.run, ==, 1025);
    free_fixture(&fix);
}

static void
test_same_id_is_one_job(void)
{
    fixture fix;

    new_fixture(&fix);
    submit(&fix, 7);
    submit(&fix, 7);
    g_assert_cmpuint(fix.puts->len, ==, 1);
    DurableJobs_OnWritten(fix.durable_jobs, fix.now_ms, 1);
    g_assert_cmpint(fix.answers, ==, 2);
    read_put(&fix, 1);
    read_log(&fix);
    submit(&fix, 7);
    g_assert_cmpint(fix.answers, ==, 3);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_RECORDED);
    g_assert_cmpuint(fix.puts->len, ==, 1);
    free_fixture(&fix);
}

/* Guards against two owners of a job: a submission that is put again before it
 * is read back replaces the first record under its key, so that entries that
 * start later read another entry's submission as the first one. */
static void
test_submission_is_put_once(void)
{
    fixture fix;

    new_fixture(&fix);
    submit(&fix, 7);
    DurableJobs_OnWritten(fix.durable_jobs, fix.now_ms, 1);
    fix.now_ms += 500; /* reads stand still */
    submit(&fix, 7);
    g_assert_cmpint(fix.answers, ==, 2);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_RECORDED);
    g_assert_cmpuint(fix.puts->len, ==, 1);
    read_put(&fix, 1);
    fix.now_ms += 5;
    read_log(&fix);
    submit(&fix, 7);
    g_assert_cmpuint(fix.puts->len, ==, 1);
    free_fixture(&fix);
}

static void
test_first_submission_counts(void)
{
    fixture fix;

    new_fixture(&fix);
    submit(&fix, 7);
    read_submit(&fix, 7, &other_owner);
    read_put(&fix, 1);
    read_log(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    free_fixture(&fix);
}

static void
test_refused_without_log(void)
{
    fixture fix;

    new_fixture(&fix);
    fix.now_ms += 2000;
    submit(&fix, 7);
    g_assert_cmpuint(fix.puts->len, ==, 0);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(fix.kind, ==, ERR_LOG_DOWN);
    free_fixture(&fix);
}

/* It is not known whether the record is written, so the caller gets an
 * indefinite answer. */
static void
test_unwritten_times_out(void)
{
    fixture fix;

    new_fixture(&fix);
    submit(&fix, 7);
    advance(&fix, 2100);
    g_assert_cmpint(fix.answers, ==, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_GIVEN_UP);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_PENDING);
    free_fixture(&fix);
}

static void
test_unknown_or_stale(void)
{
    fixture fix;

    new_fixture(&fix);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_UNKNOWN);
    fix.now_ms += 2000;
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_STALE);
    free_fixture(&fix);
}

/* Guards against reporting a job as unknown that another entry has just
 * accepted. */
static void
test_cancel_rereads_log(void)
{
    fixture fix;

    new_fixture(&fix);
    DurableJobs_CancelUnknown(fix.durable_jobs, fix.now_ms, 5, 7, &queue);
    DurableJobs_CancelUnknown(fix.durable_jobs, fix.now_ms, 6, 8, &queue);
    read_log(&fix);
    g_assert_cmpint(fix.states_answered, ==, 0);
    read_submit(&fix, 7, &other_owner);
    fix.now_ms += 5;
    read_log(&fix);
    g_assert_cmpint(fix.states_answered, ==, 1);
    g_assert_cmpint(fix.last_state, ==, DURABLE_JOB_UNKNOWN);
    g_assert_cmpuint(fix.puts->len, ==, 1);
    DurableJobs_OnWritten(fix.durable_jobs, fix.now_ms, 1);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_CANCELLED);
    free_fixture(&fix);
}

/* ---- a queue that gets another name ---- */

/* Of another queue. */
static const QueueRef stranger = {"other", 1};

/* This entry has accepted job 7, and not started it. */
static void
accept_then_rename(fixture *fix)
{
    new_fixture(fix);
    submit(fix, 7);
    DurableJobs_OnWritten(fix->durable_jobs, fix->now_ms, 1);
    read_put(fix, 1);
    rename_queue(fix);
}

/* Guards against a second submission that is refused as one of another queue.
 */
static void
test_renamed_same_id(void)
{
    fixture fix;

    accept_then_rename(&fix);
    submit(&fix, 7);
    g_assert_cmpint(fix.answers, ==, 2);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_RECORDED);
    queue = stranger;
    submit(&fix, 7);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(fix.kind, ==, ERR_KEY_REUSED);
    free_fixture(&fix);
}

/* Guards against an accepted job that is shown as unknown and not counted. */
static void
test_renamed_is_shown(void)
{
    QueueCounts *counts = QueueCounts_New();
    fixture fix;

    accept_then_rename(&fix);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_PENDING);
    DurableJobs_CountWaiting(fix.durable_jobs, counts);
    g_assert_cmpuint(QueueCounts_Get(counts, fix.other_routes, &queue), ==, 1);
    g_hash_table_unref(counts);
    free_fixture(&fix);
}

/* Guards against a cancel that is answered 410 while the job runs. */
static void
test_renamed_is_cancelled(void)
{
    fixture fix;

    accept_then_rename(&fix);
    fix.now_ms += 5;
    read_log(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &stranger), ==,
        DURABLE_JOB_UNKNOWN);
    g_assert_false(
        DurableJobs_OnCancel(fix.durable_jobs, fix.now_ms, 5, 7, &stranger));
    g_assert_true(
        DurableJobs_OnCancel(fix.durable_jobs, fix.now_ms, 5, 7, &queue));
    read_put(&fix, fix.puts->len);
    g_assert_cmpint(count_calls(&fix, MSG_HALT), ==, 1);
    free_fixture(&fix);
}

/* Guards against callers that are answered by the names of a table that was
 * replaced while they waited. */
static void
test_renamed_while_callers_wait(void)
{
    fixture fix;

    new_fixture(&fix);
    read_submit(&fix, 7, &other_owner);
    DurableJobs_OnStateQuery(fix.durable_jobs, fix.now_ms, 5, 7, &queue);
    DurableJobs_CancelUnknown(fix.durable_jobs, fix.now_ms, 6, 7, &queue);
    rename_queue(&fix);
    fix.now_ms += 60;
    read_log(&fix);
    g_assert_cmpint(fix.states_answered, ==, 1);
    g_assert_cmpint(fix.last_state, ==, DURABLE_JOB_PENDING);
    g_assert_cmpuint(fix.puts->len, ==, 1);
    free_fixture(&fix);
}

/* Guards against a job that is cancelled by a caller of another queue, whose
 * job has the same ID, while its submission is being written or read back. */
static void
test_unread_submission_is_cancelled_by_its_queue(void)
{
    fixture fix;

    new_fixture(&fix);
    submit(&fix, 7);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &stranger), ==,
        DURABLE_JOB_UNKNOWN);
    g_assert_false(
        DurableJobs_OnCancel(fix.durable_jobs, fix.now_ms, 5, 7, &stranger));
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_PENDING);
    g_assert_true(
        DurableJobs_OnCancel(fix.durable_jobs, fix.now_ms, 5, 7, &queue));
    free_fixture(&fix);
}

/* Guards against an ID that is accepted for two queues. */
static void
test_unread_submission_is_of_one_queue(void)
{
    fixture fix;

    new_fixture(&fix);
    submit(&fix, 7);
    queue = stranger;
    submit(&fix, 7);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(fix.kind, ==, ERR_KEY_REUSED);
    DurableJobs_OnWritten(fix.durable_jobs, fix.now_ms, 1);
    g_assert_cmpint(fix.answers, ==, 2);
    g_assert_cmpint(fix.outcome, ==, DISPATCHER_RECORDED);
    submit(&fix, 7);
    g_assert_cmpint(fix.kind, ==, ERR_KEY_REUSED);
    free_fixture(&fix);
}

/* Guards against a cancel of an own submission that stands behind another
 * queue's one in the log: it would cancel that one's job. */
static void
test_later_submission_cancels_nothing(void)
{
    QueueRef own;
    fixture fix;

    new_fixture(&fix);
    own = queue;
    queue = stranger;
    submit(&fix, 7);
    read_submit(&fix, 7, &other_owner);
    g_assert_false(
        DurableJobs_OnCancel(fix.durable_jobs, fix.now_ms, 5, 7, &stranger));
    g_assert_true(
        DurableJobs_OnCancel(fix.durable_jobs, fix.now_ms, 5, 7, &own));
    free_fixture(&fix);
}

/* ---- ends ---- */

static void
start_own(fixture *fix)
{
    new_fixture(fix);
    submit(fix, 7);
    DurableJobs_OnWritten(fix->durable_jobs, fix->now_ms, 1);
    read_put(fix, 1);
    read_log(fix);
}

static const written_record *
last_progress(const fixture *fix, int *count)
{
    const written_record *last = NULL;
    guint i;

    *count = 0;
    for (i = 0; i < fix->puts->len; i++) {
        const written_record *put = g_ptr_array_index(fix->puts, i);
        if (put->key[0] == 'p') {
            last = put;
            ++*count;
        }
    }
    return last;
}

/* The only record of progress tells nothing but that a task of job 7 was
 * started. */
static void
check_start_record(const fixture *fix)
{
    const lc_kept_progress *progress;
    const written_record *put;
    lc_kept_record record;
    int count;

    put = last_progress(fix, &count);
    g_assert_cmpint(count, ==, 1);
    g_assert_true(
        Msg_DecodeDurableRecord(put->value->data, put->value->len, &record));
    progress = &record.body.lc_kept_body_u.progress;
    g_assert_cmpint(record.body.kind, ==, LC_KEPT_PROGRESS);
    g_assert_cmpuint(record.job, ==, 7);
    g_assert_cmpint(progress->outcome, ==, LC_KEPT_OPEN);
    g_assert_cmpuint(progress->done.done_len, ==, 0);
    g_assert_cmpuint(progress->failures.failures_len, ==, 0);
    Msg_FreeDurableRecord(&record);
}

/* Guards against a job at work that every entry but its owner shows as
 * pending. The record is put once, also while it cannot be read back. */
static void
test_start_is_recorded(void)
{
    fixture fix;

    start_own(&fix);
    advance(&fix, 500);
    check_start_record(&fix);
    advance(&fix, 3000);
    check_start_record(&fix);
    read_puts(&fix);
    advance(&fix, 3000);
    check_start_record(&fix);
    free_fixture(&fix);
}

/* The record of its end tells as much. */
static void
test_short_job_start_is_not_recorded(void)
{
    fixture fix;
    int count;

    start_own(&fix);
    advance(&fix, 200);
    end_run(&fix, LC_RUN_DONE);
    advance(&fix, 1000);
    last_progress(&fix, &count);
    g_assert_cmpint(count, ==, 1);
    free_fixture(&fix);
}

/* A job of which no task was started. */
static void
test_waiting_job_start_is_not_recorded(void)
{
    fixture fix;
    int count;

    new_unheard_fixture(&fix);
    submit(&fix, 7);
    read_put(&fix, 1);
    advance_with(&fix, 1000, false);
    last_progress(&fix, &count);
    g_assert_cmpint(count, ==, 0);
    free_fixture(&fix);
}

static void
test_released_when_written(void)
{
    fixture fix;

    start_own(&fix);
    end_run(&fix, LC_RUN_DONE);
    g_assert_cmpuint(fix.puts->len, ==, 2);
    advance(&fix, 200);
    g_assert_cmpint(count_calls(&fix, MSG_RELEASE), ==, 0);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_RUNNING);
    DurableJobs_OnWritten(fix.durable_jobs, fix.now_ms, 2);
    g_assert_cmpint(count_calls(&fix, MSG_RELEASE), ==, 1);
    read_put(&fix, 2);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_SUCCEEDED);
    free_fixture(&fix);
}

static void
test_attempts_are_written(void)
{
    fixture fix;

    start_own(&fix);
    end_run(&fix, LC_RUN_FAILED);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    end_run(&fix, LC_RUN_FAILED);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    read_put(&fix, fix.puts->len);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_FAILED);
    free_fixture(&fix);
}

static void
check_crash_record(const fixture *fix)
{
    const written_record *put = g_ptr_array_index(fix->puts,
                                                  fix->puts->len - 1);
    lc_kept_record record;
    const lc_kept_progress *progress = &record.body.lc_kept_body_u.progress;

    g_assert_true(
        Msg_DecodeDurableRecord(put->value->data, put->value->len, &record));
    g_assert_cmpint(record.body.kind, ==, LC_KEPT_PROGRESS);
    g_assert_cmpuint(progress->failures.failures_len, ==, 1);
    g_assert_cmpuint(progress->failures.failures_val[0].task, ==,
                     DURABLE_LOG_CRASH_COUNT);
    g_assert_cmpuint(progress->failures.failures_val[0].count, ==, 1);
    Msg_FreeDurableRecord(&record);
}

/* A successor learns from the log how many upstreams crashed under a task. */
static void
test_crashes_are_written(void)
{
    fixture fix;

    start_own(&fix);
    end_run(&fix, LC_RUN_CRASHED);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    check_crash_record(&fix);
    read_put(&fix, fix.puts->len);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_RUNNING);
    end_run(&fix, LC_RUN_CRASHED);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    read_put(&fix, fix.puts->len);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_FAILED);
    free_fixture(&fix);
}

/* Restarts the companion and starts another job on its successor, which gives
 * the successor a valid hold. The first run must still be queried with
 * LC_HOLD_NONE, or it would be started twice under the same number. */
static void
query_successor(fixture *fix)
{
    start_own(fix);
    fix->incarnation_offset = 1;
    report_host(fix);
    fix->now_ms += 1;
    submit(fix, 8);
    read_put(fix, fix->puts->len);
    read_log(fix);
    g_assert_cmpint(last_call(fix, MSG_RUN)->valid_until_ms, >, fix->now_ms);
    advance(fix, 50);
    g_assert_cmpuint(last_call(fix, MSG_RUN)->run.job, ==, 7);
    g_assert_cmpuint(last_call(fix, MSG_RUN)->run.run, ==, 1025);
    g_assert_cmpint(last_call(fix, MSG_RUN)->valid_until_ms, ==, LC_HOLD_NONE);
}

static void
test_run_unknown_to_successor(void)
{
    fixture fix;

    query_successor(&fix);
    end_run(&fix, LC_RUN_EXPIRED);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.job, ==, 7);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.run, ==, 1026);
    g_assert_cmpint(last_call(&fix, MSG_RUN)->valid_until_ms, >, fix.now_ms);
    free_fixture(&fix);
}

static void
test_successor_not_ready(void)
{
    fixture fix;
    int runs;

    query_successor(&fix);
    runs = count_calls(&fix, MSG_RUN);
    end_run(&fix, LC_RUN_NOT_READY);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, runs);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, runs + 1);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.run, ==, 1025);
    g_assert_cmpint(last_call(&fix, MSG_RUN)->valid_until_ms, ==,
                    LC_HOLD_NONE);
    end_run(&fix, LC_RUN_DONE);
    DurableJobs_OnWritten(fix.durable_jobs, fix.now_ms, fix.puts->len);
    g_assert_cmpint(count_calls(&fix, MSG_RELEASE), ==, 1);
    free_fixture(&fix);
}

/* A successor whose upstream does not come back must not block the task. */
static void
test_successor_never_ready(void)
{
    fixture fix;
    int64_t deadline_ms;

    query_successor(&fix);
    deadline_ms = fix.now_ms + 5900;
    while (fix.now_ms < deadline_ms) {
        end_run(&fix, LC_RUN_NOT_READY);
        advance(&fix, 450);
        g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.run, ==, 1025);
    }
    end_run(&fix, LC_RUN_NOT_READY);
    advance(&fix, 50);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.run, ==, 1026);
    free_fixture(&fix);
}

/* Failures at an upstream on trial count like any others. */
static void
test_attempts_on_trial(void)
{
    fixture fix;

    start_own(&fix);
    fix.state = LC_UPSTREAM_TRIAL;
    report_host(&fix);
    end_run(&fix, LC_RUN_FAILED);
    end_run(&fix, LC_RUN_FAILED);
    read_put(&fix, fix.puts->len);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_FAILED);
    free_fixture(&fix);
}

/* However a long-running task ends, it is restarted; nothing of it is
 * recorded, and its end is released. */
static void
test_long_running(void)
{
    static const lc_run_status ends[] = {LC_RUN_DONE, LC_RUN_FAILED,
                                         LC_RUN_FAILED, LC_RUN_LOST};
    fixture fix;
    size_t i;

    new_fixture(&fix);
    fix.long_running = true;
    submit(&fix, 7);
    read_put(&fix, 1);
    read_log(&fix);
    for (i = 0; i < G_N_ELEMENTS(ends); i++) {
        end_run(&fix, ends[i]);
        advance(&fix, 150);
        g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2 + (int)i);
    }
    /* The submission, and that a task was started. */
    g_assert_cmpuint(fix.puts->len, ==, 2);
    check_start_record(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RELEASE), ==, 3);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_RUNNING);
    free_fixture(&fix);
}

/* Each occurrence starts at its wall-clock time, whatever the others did. */
static void
test_repeats(void)
{
    fixture fix;

    new_fixture(&fix);
    fix.repeat_count = 2;
    Dispatcher_SetWallOffset(fix.dispatcher, WALL_MS);
    submit(&fix, 7);
    read_put(&fix, 1);
    read_log(&fix);
    advance(&fix, 400);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    advance(&fix, 150);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    advance(&fix, 400);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.occurrence, ==, 1);
    end_run(&fix, LC_RUN_DONE);
    read_put(&fix, fix.puts->len);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_RUNNING);
    free_fixture(&fix);
}

static void
test_no_starts_without_log(void)
{
    fixture fix;

    start_own(&fix);
    fix.now_ms += HOLD_MS + 100;
    DurableJobs_Tick(fix.durable_jobs, fix.now_ms);
    report_host(&fix);
    end_run(&fix, LC_RUN_STOPPED);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    read_log(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    free_fixture(&fix);
}

/* ---- companions that may have started after a claim ---- */

/* Opens an owner with a job that has started four tasks at the companion,
 * which has no room for the fifth. */
static void
start_four_of_five(fixture *fix)
{
    new_fixture(fix);
    fix->tasks = 5;
    submit(fix, 7);
    read_put(fix, 1);
    read_log(fix);
    g_assert_cmpint(count_calls(fix, MSG_RUN), ==, 4);
}

/* The companion has restarted; @p stopped_ms: the owner stood still before it
 * learned of that. */
static void
restart_companion(fixture *fix, int64_t stopped_ms)
{
    fix->now_ms += stopped_ms;
    fix->incarnation_offset++;
    report_host(fix);
    DurableJobs_OnHost(fix->durable_jobs, fix->now_ms);
    flush(fix);
}

/* Guards against tasks that are started again by an owner which was claimed
 * before the companion started, so that it is not fenced there. */
static void
test_new_companion_waits_for_log(void)
{
    fixture fix;

    start_four_of_five(&fix);
    restart_companion(&fix, 10);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 4);
    DurableJobs_OnLogRead(fix.durable_jobs, fix.now_ms, fix.now_ms);
    flush(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 4);
    DurableJobs_OnLogRead(fix.durable_jobs, fix.now_ms + 5, fix.now_ms + 1);
    flush(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 5);
    g_assert_cmpint(last_call(&fix, MSG_RUN)->valid_until_ms, >, fix.now_ms);
    free_fixture(&fix);
}

/* Guards against the same by an owner that stood still, and has read nothing
 * of the log since. */
static void
test_woken_owner_starts_nothing(void)
{
    fixture fix;

    start_four_of_five(&fix);
    restart_companion(&fix, 3500);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 4);
    fix.now_ms += 5;
    read_claim(&fix, &own_owner, &other_owner);
    read_log(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 4);
    free_fixture(&fix);
}

/* Guards against runs started between waking and the next tick by an owner
 * that stood still for longer than it may rely on what it has read. */
static void
test_owner_that_slept_long_starts_nothing(void)
{
    fixture fix;

    start_four_of_five(&fix);
    fix.now_ms += HOLD_MS;
    report_host(&fix);
    flush(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 4);
    free_fixture(&fix);
}

/* Guards against a renewal of runs whose owner is fenced, but not at this
 * companion. */
static void
test_new_companion_gets_no_renewal(void)
{
    fixture fix;

    start_four_of_five(&fix);
    restart_companion(&fix, 10);
    Dispatcher_Tick(fix.dispatcher, fix.now_ms);
    g_assert_cmpuint(last_call(&fix, MSG_RENEW)->kept, ==, 0);
    free_fixture(&fix);

    start_four_of_five(&fix);
    restart_companion(&fix, 10);
    fix.now_ms += 1;
    read_log(&fix);
    Dispatcher_Tick(fix.dispatcher, fix.now_ms);
    g_assert_cmpuint(last_call(&fix, MSG_RENEW)->kept, ==,
                     own_owner.incarnation);
    free_fixture(&fix);
}

/* Guards against a repeated start that takes effect after the owner may have
 * been claimed: other jobs extend the hold that it would carry. */
static void
test_start_is_not_repeated_without_log(void)
{
    fixture fix;

    start_own(&fix);
    fix.now_ms += HOLD_MS;
    report_host(&fix);
    Dispatcher_OnReply(fix.dispatcher, fix.now_ms,
                       last_call(&fix, MSG_RUN)->id, NULL);
    fix.now_ms += 100;
    report_host(&fix);
    Dispatcher_Tick(fix.dispatcher, fix.now_ms);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    g_assert_cmpint(last_call(&fix, MSG_RUN)->valid_until_ms, ==,
                    LC_HOLD_NONE);
    free_fixture(&fix);
}

/* ---- owners ---- */

static void
test_claims_silent_owner(void)
{
    fixture fix;
    guint puts;

    new_fixture(&fix);
    read_submit(&fix, 7, &other_owner);
    DurableJobs_OnPeer(fix.durable_jobs, fix.now_ms, other_owner.address,
                       other_owner.incarnation);
    advance(&fix, 1900);
    puts = fix.puts->len;
    g_assert_cmpuint(puts, ==, 0);
    advance(&fix, 200);
    g_assert_cmpuint(fix.puts->len, ==, 1);
    free_fixture(&fix);
}

static void
test_writing_owner_is_not_claimed(void)
{
    fixture fix;
    int i;

    new_fixture(&fix);
    read_submit(&fix, 7, &other_owner);
    for (i = 0; i < 5; i++) {
        advance(&fix, 1000);
        read_submit(&fix, 8 + (uint64_t)i, &other_owner);
    }
    g_assert_cmpuint(fix.puts->len, ==, 0);
    free_fixture(&fix);
}

/* This entry has claimed the job of another owner. */
static void
claim_other_owner(fixture *fix)
{
    lc_node successor;

    new_fixture(fix);
    read_submit(fix, 7, &other_owner);
    advance(fix, 3000);
    successor = own_identity(fix);
    read_claim(fix, &other_owner, &successor);
    advance(fix, 50);
}

/* Guards against a job that is never started, as its queue got another name
 * before its owner was replaced. Its record is of an earlier version. */
static void
test_successor_starts_renamed(void)
{
    fixture fix;

    claim_other_owner(&fix);
    rename_queue(&fix);
    answer_fence(&fix, NULL);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    free_fixture(&fix);
}

/* Records of the job tell its address, so that an entry that starts after a
 * change knows it, also of a job that an earlier version has accepted. */
static void
test_records_tell_address(void)
{
    lc_kept_record record;
    const written_record *put;
    QueueRef own;
    fixture fix;

    claim_other_owner(&fix);
    own = queue;
    rename_queue(&fix);
    answer_fence(&fix, NULL);
    advance(&fix, 100);
    end_run(&fix, LC_RUN_DONE);
    put = g_ptr_array_index(fix.puts, fix.puts->len - 1);
    g_assert_true(
        Msg_DecodeDurableRecord(put->value->data, put->value->len, &record));
    g_assert_cmpint(record.body.kind, ==, LC_KEPT_PROGRESS);
    g_assert_cmphex(record.queue_address, ==, own.address);
    Msg_FreeDurableRecord(&record);
    free_fixture(&fix);
}

static void
test_successor_fences_first(void)
{
    fixture fix;

    claim_other_owner(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_FENCE), ==, 1);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    answer_fence(&fix, NULL);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    /* The last records of the old owner are read before anything starts. */
    fix.now_ms += 5;
    read_log(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.run, ==, 2049);
    free_fixture(&fix);
}

/* A companion that restarts once all have answered has to answer again, and
 * the log is read after that answer. */
static void
test_successor_reads_log_after_last_answer(void)
{
    fixture fix;

    claim_other_owner(&fix);
    answer_fence(&fix, NULL);
    fix.incarnation_offset++;
    fix.now_ms += 5;
    report_host(&fix);
    DurableJobs_OnHost(fix.durable_jobs, fix.now_ms);
    g_assert_cmpint(count_calls(&fix, MSG_FENCE), ==, 2);
    fix.now_ms += 5;
    read_log(&fix);
    fix.now_ms += 5;
    answer_fence(&fix, NULL);
    flush(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    fix.now_ms += 5;
    read_log(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    free_fixture(&fix);
}

/* An entry that stands still hears nothing meanwhile: reports before and after
 * are not reports without a break. */
static void
test_successor_that_stood_still_waits(void)
{
    lc_node successor;
    fixture fix;

    new_fixture(&fix);
    read_submit(&fix, 7, &other_owner);
    successor = own_identity(&fix);
    read_claim(&fix, &other_owner, &successor);
    advance(&fix, 50);
    answer_fence(&fix, NULL);
    fix.now_ms += 2600;
    report_host(&fix);
    DurableJobs_OnHost(fix.durable_jobs, fix.now_ms);
    advance(&fix, 2400);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    advance(&fix, 200);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    free_fixture(&fix);
}

/* Reads the last progress record of the old owner for job 7. */
static void
read_progress(fixture *fix, const lc_kept_progress *progress)
{
    lc_kept_record record = {.job = 7};
    char key[DURABLE_LOG_KEY_SIZE];

    record.body.kind = LC_KEPT_PROGRESS;
    record.body.lc_kept_body_u.progress = *progress;
    DurableLog_ProgressKey(7, other_owner, key);
    read_record(fix, key, &record);
}

static void
test_successor_reads_last_progress(void)
{
    char done = 1;
    lc_kept_progress progress = {.queue = (char *)(uintptr_t) "queue",
                                 .done = {.done_len = 1, .done_val = &done}};
    fixture fix;

    claim_other_owner(&fix);
    answer_fence(&fix, NULL);
    read_progress(&fix, &progress);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    free_fixture(&fix);
}

/* One crash under the old owner and one under this one: the job fails. */
static void
test_successor_adds_crash_counts(void)
{
    lc_kept_failures crash = {DURABLE_LOG_CRASH_COUNT, 1, 1025};
    lc_kept_progress progress = {
        .queue = (char *)(uintptr_t) "queue",
        .failures = {.failures_len = 1, .failures_val = &crash}};
    fixture fix;

    claim_other_owner(&fix);
    answer_fence(&fix, NULL);
    read_progress(&fix, &progress);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    end_run(&fix, LC_RUN_CRASHED);
    read_put(&fix, fix.puts->len);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_FAILED);
    free_fixture(&fix);
}

static void
test_successor_takes_held_end(void)
{
    lc_held_run held = {.id = {.job = 7, .run = 1025},
                        .running = false,
                        .status = LC_RUN_DONE};
    fixture fix;

    claim_other_owner(&fix);
    answer_fence(&fix, &held);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    read_put(&fix, fix.puts->len);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_SUCCEEDED);
    free_fixture(&fix);
}

/* Guards against runs that are transferred to an entry that does not own their
 * jobs any more, so that its successor does not hear of them. */
static void
test_claimed_successor_asks_no_more(void)
{
    lc_node identity;
    fixture fix;

    claim_other_owner(&fix);
    identity = own_identity(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_FENCE), ==, 1);
    read_claim(&fix, &identity, &third_owner);
    /* The call is lost. */
    DurableJobs_OnReply(fix.durable_jobs, fix.now_ms,
                        last_call(&fix, MSG_FENCE)->id, NULL);
    advance(&fix, 1000);
    g_assert_cmpint(count_calls(&fix, MSG_FENCE), ==, 1);
    free_fixture(&fix);
}

/* Guards against runs that are transferred to an entry whose claim has no
 * effect: it reads its claim before an earlier one, as the newest record of
 * each key comes by key. */
static void
test_void_claim_among_newest(void)
{
    lc_node identity;
    fixture fix;

    new_fixture(&fix);
    advance(&fix, 1000);
    identity = own_identity(&fix);
    DurableJobs_OnNewest(fix.durable_jobs);
    fix.offset = 20;
    read_claim(&fix, &other_owner, &identity);
    fix.offset = 10;
    read_submit(&fix, 7, &other_owner);
    DurableJobs_Tick(fix.durable_jobs, fix.now_ms);
    flush(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    fix.offset = 15;
    read_claim(&fix, &other_owner, &third_owner);
    read_log(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_FENCE), ==, 0);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    free_fixture(&fix);
}

/* Guards against a claim that is known and not acted upon, as it was read
 * among the newest records. */
static void
test_claim_among_newest(void)
{
    lc_node identity;
    fixture fix;

    new_fixture(&fix);
    read_submit(&fix, 7, &other_owner);
    advance(&fix, 3000);
    identity = own_identity(&fix);
    DurableJobs_OnNewest(fix.durable_jobs);
    fix.offset = 20;
    read_claim(&fix, &third_owner, &identity);
    fix.offset = 15;
    read_claim(&fix, &other_owner, &third_owner);
    advance(&fix, 50);
    answer_fence(&fix, NULL);
    advance(&fix, 50);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    DurableJobs_OnNewest(fix.durable_jobs);
    fix.offset = 15;
    read_claim(&fix, &other_owner, &third_owner);
    advance(&fix, 50);
    g_assert_cmpint(count_calls(&fix, MSG_FENCE), ==, 1);
    free_fixture(&fix);
}

/* Owner number @p number of a job that passes from owner to owner. */
static lc_node
chain_owner(uint32_t number)
{
    lc_node node = {0x7f0000011c00 + number % 13, 3000 + number};

    return node;
}

static u_int
count_claims_put(const fixture *fix)
{
    u_int count = 0;
    guint i;

    for (i = 0; i < fix->puts->len; i++) {
        count += ((const written_record *)g_ptr_array_index(fix->puts, i))
                     ->key[0] == 'c';
    }
    return count;
}

/* Guards against jobs that nobody claims, as more owners have gone than are
 * remembered: all power was lost twice. */
static void
test_many_silent_owners(void)
{
    const uint32_t owners = 700;
    fixture fix;
    uint32_t i;

    new_fixture(&fix);
    for (i = 0; i < owners; i++) {
        lc_node owner = chain_owner(i);
        read_submit(&fix, 100 + i, &owner);
    }
    advance(&fix, 5000);
    g_assert_cmpuint(count_claims_put(&fix), ==, owners);
    free_fixture(&fix);
}

/* Operators are told of an open job whose owner stays silent, once, and of the
 * end of it. */
static void
test_unowned_job_is_told(void)
{
    lc_node identity;
    GString *metrics;
    fixture fix;

    new_fixture(&fix);
    read_submit(&fix, 7, &other_owner);
    advance(&fix, 9000);
    g_assert_cmpint(fix.unowned_logged, ==, 0);
    advance(&fix, 3000);
    g_assert_cmpint(fix.unowned_logged, ==, 1);
    metrics = g_string_new("");
    DurableJobs_Metrics(fix.durable_jobs, fix.now_ms, metrics);
    g_assert_nonnull(strstr(metrics->str, "levercove_kept_jobs_unowned 1\n"));
    g_string_free(metrics, TRUE);
    identity = own_identity(&fix);
    read_claim(&fix, &other_owner, &identity);
    advance(&fix, 100);
    g_assert_cmpint(fix.unowned_logged, ==, 2);
    free_fixture(&fix);
}

/* Guards against two owners of a job: a claim that is put again replaces the
 * first record under its key, so that entries that start later read another
 * entry's claim as the first one. */
static void
test_claim_is_put_once(void)
{
    fixture fix;

    new_fixture(&fix);
    read_submit(&fix, 7, &other_owner);
    advance(&fix, 20000);
    g_assert_cmpuint(count_claims_put(&fix), ==, 1);
    free_fixture(&fix);
}

/* Guards against two owners of a job: as above, by an entry that is asked to
 * stop twice and knows another successor the second time. */
static void
test_hands_over_once(void)
{
    fixture fix;

    new_fixture(&fix);
    DurableJobs_OnPeer(fix.durable_jobs, fix.now_ms, other_owner.address,
                       other_owner.incarnation);
    DurableJobs_HandOver(fix.durable_jobs, fix.now_ms);
    fix.now_ms += 2000;
    DurableJobs_OnPeer(fix.durable_jobs, fix.now_ms, third_owner.address,
                       third_owner.incarnation);
    DurableJobs_HandOver(fix.durable_jobs, fix.now_ms);
    g_assert_cmpuint(count_claims_put(&fix), ==, 1);
    free_fixture(&fix);
}

/* An entry that was claimed itself may claim an owner again, under its new
 * identity: its first claim had no effect if it was claimed before. */
static void
test_new_identity_claims_again(void)
{
    lc_node identity;
    fixture fix;

    new_fixture(&fix);
    read_submit(&fix, 7, &other_owner);
    advance(&fix, 3000);
    identity = own_identity(&fix);
    read_claim(&fix, &identity, &third_owner);
    read_put(&fix, 1);
    advance(&fix, 3000);
    g_assert_cmpuint(count_claims_put(&fix), ==, 2);
    free_fixture(&fix);
}

/* This entry is the last of @p changes successors of the first owner of job 7.
 */
static void
claim_after(fixture *fix, uint32_t changes)
{
    lc_node owner = chain_owner(0);
    uint32_t i;

    new_fixture(fix);
    read_submit(fix, 7, &owner);
    advance(fix, 3000);
    for (i = 1; i <= changes; i++) {
        lc_node successor = i == changes ? own_identity(fix) : chain_owner(i);
        read_claim(fix, &owner, &successor);
        owner = successor;
    }
    advance(fix, 50);
}

/* Guards against a job that nobody owns, or whose tasks are started beside
 * those at work, once its owner has changed often. */
static void
test_owner_after_many_changes(void)
{
    static const uint32_t changes[] = {2, 63, 64, 65, 66, 130, 1000};
    guint i;

    for (i = 0; i < G_N_ELEMENTS(changes); i++) {
        fixture fix;
        claim_after(&fix, changes[i]);
        g_assert_cmpint(count_calls(&fix, MSG_FENCE), ==, 1);
        g_assert_cmpuint(last_call(&fix, MSG_FENCE)->named, ==, changes[i]);
        g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
        answer_fence(&fix, NULL);
        fix.now_ms += 5;
        read_log(&fix);
        g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
        g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.run, ==,
                         1024 + changes[i] * 1024 + 1);
        free_fixture(&fix);
    }
}

/* Guards against a run that goes on beside a second one, as its companion is
 * not told of an owner that may still give orders. */
static void
test_all_predecessors_are_named(void)
{
    lc_held_run held = {.id = {.job = 7, .run = 1025}, .running = true};
    lc_node first = chain_owner(0);
    fixture fix;

    claim_after(&fix, 2500);
    g_assert_cmpuint(last_call(&fix, MSG_FENCE)->named, ==, 1024);
    answer_fence(&fix, NULL);
    g_assert_cmpuint(last_call(&fix, MSG_FENCE)->named, ==, 1024);
    answer_fence(&fix, NULL);
    g_assert_cmpint(count_calls(&fix, MSG_FENCE), ==, 3);
    g_assert_cmpuint(last_call(&fix, MSG_FENCE)->named, ==, 452);
    g_assert_true(
        Msg_SameNode(&last_call(&fix, MSG_FENCE)->last_named, &first));
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    answer_fence(&fix, &held);
    advance(&fix, 100);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.run, ==, 1025);
    free_fixture(&fix);
}

/* Guards against a run that is adopted as active and as ended: a companion
 * that is asked several times tells of it each time. */
static void
test_run_told_twice_is_adopted_once(void)
{
    lc_held_run held = {.id = {.job = 7, .run = 1025}, .running = true};
    fixture fix;

    claim_after(&fix, 2500);
    answer_fence(&fix, &held);
    answer_fence(&fix, &held);
    held.running = false;
    held.status = LC_RUN_FAILED;
    answer_fence(&fix, &held);
    advance(&fix, 5);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.run, !=, 1025);
    free_fixture(&fix);
}

/* A takeover that is complete is recorded, and later successors do not ask for
 * the runs of the owners before it. */
static void
test_complete_takeover_is_recorded(void)
{
    lc_node successor;
    fixture fix;

    claim_other_owner(&fix);
    g_assert_cmpuint(fix.puts->len, ==, 1);
    answer_fence(&fix, NULL);
    fix.now_ms += 5;
    read_log(&fix);
    g_assert_cmpuint(fix.puts->len, ==, 2);
    read_put(&fix, 2);
    successor = own_identity(&fix);
    read_claim(&fix, &successor, &third_owner);
    successor = own_identity(&fix);
    read_claim(&fix, &third_owner, &successor);
    advance(&fix, 50);
    g_assert_cmpuint(last_call(&fix, MSG_FENCE)->named, ==, 2);
    free_fixture(&fix);
}

/* The upstream of the only companion is on trial, where a task that may be
 * started late is not retried. */
static void
test_successor_waits_for_late_start(void)
{
    fixture fix;

    claim_other_owner(&fix);
    fix.state = LC_UPSTREAM_TRIAL;
    answer_fence_late_start(&fix, 2000);
    advance(&fix, 1900);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    advance(&fix, 200);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    free_fixture(&fix);
}

static void
test_successor_adopts_active_run(void)
{
    lc_held_run held = {.id = {.job = 7, .run = 1025}, .running = true};
    fixture fix;

    claim_other_owner(&fix);
    answer_fence(&fix, &held);
    advance(&fix, 100);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.run, ==, 1025);
    free_fixture(&fix);
}

/* This entry has claimed the job of another owner and knows no queue of the
 * job's name: operators have removed it, or no routes are known yet. */
static void
claim_without_queue(fixture *fix)
{
    claim_other_owner(fix);
    remove_queue(fix);
}

static void
check_state(fixture *fix, DurableJobs_State state)
{
    g_assert_cmpint(
        DurableJobs_StateOf(fix->durable_jobs, fix->now_ms, 7, &queue), ==,
        state);
}

/* Guards against a second run of a task whose end was found while the job's
 * queue was removed. */
static void
test_found_end_outlasts_removed_queue(void)
{
    lc_held_run held = {.id = {.job = 7, .run = 1025},
                        .running = false,
                        .status = LC_RUN_DONE};
    fixture fix;

    claim_without_queue(&fix);
    answer_fence(&fix, &held);
    advance(&fix, 100);
    read_put(&fix, fix.puts->len);
    put_back_queue(&fix);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    check_state(&fix, DURABLE_JOB_SUCCEEDED);
    free_fixture(&fix);
}

/* Guards against an end that stays unreleased, and so blocks its upstream,
 * for as long as the job's queue is removed. */
static void
test_found_end_is_released_without_queue(void)
{
    lc_held_run held = {.id = {.job = 7, .run = 1025},
                        .running = false,
                        .status = LC_RUN_DONE};
    fixture fix;

    claim_without_queue(&fix);
    answer_fence(&fix, &held);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RELEASE), ==, 0);
    DurableJobs_OnWritten(fix.durable_jobs, fix.now_ms, fix.puts->len);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RELEASE), ==, 1);
    free_fixture(&fix);
}

/* Guards against losing an active run that was found while the job's queue was
 * removed. */
static void
test_active_run_outlasts_removed_queue(void)
{
    lc_held_run held = {.id = {.job = 7, .run = 1025}, .running = true};
    fixture fix;

    claim_without_queue(&fix);
    answer_fence(&fix, &held);
    advance(&fix, 100);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.run, ==, 1025);
    g_assert_cmpint(last_call(&fix, MSG_RUN)->valid_until_ms, ==,
                    LC_HOLD_NONE);
    end_run(&fix, LC_RUN_DONE);
    read_put(&fix, fix.puts->len);
    check_state(&fix, DURABLE_JOB_SUCCEEDED);
    free_fixture(&fix);
}

/* Nothing is started before the queue's settings are known. */
static void
test_removed_queue_starts_nothing(void)
{
    fixture fix;

    claim_without_queue(&fix);
    answer_fence(&fix, NULL);
    advance(&fix, 1000);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    put_back_queue(&fix);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    g_assert_cmpuint(last_call(&fix, MSG_RUN)->run.run, ==, 2049);
    free_fixture(&fix);
}

/* Guards against a job at work that is shown as pending, or counted as
 * waiting, by an entry that does not own it or has just taken it over. */
static void
test_started_job_runs_at_any_entry(void)
{
    lc_kept_progress progress = {.queue = (char *)(uintptr_t) "queue"};
    QueueCounts *counts = QueueCounts_New();
    lc_node successor;
    fixture fix;

    new_fixture(&fix);
    read_submit(&fix, 7, &other_owner);
    check_state(&fix, DURABLE_JOB_PENDING);
    read_progress(&fix, &progress);
    check_state(&fix, DURABLE_JOB_RUNNING);
    advance(&fix, 3000);
    successor = own_identity(&fix);
    read_claim(&fix, &other_owner, &successor);
    check_state(&fix, DURABLE_JOB_RUNNING);
    DurableJobs_CountWaiting(fix.durable_jobs, counts);
    g_assert_cmpuint(QueueCounts_Get(counts, fix.routes, &queue), ==, 0);
    g_hash_table_unref(counts);
    free_fixture(&fix);
}

/* The owner was replaced before it recorded that the job is at work. */
static void
test_successor_records_start(void)
{
    lc_held_run held = {.id = {.job = 7, .run = 1025}, .running = true};
    fixture fix;

    claim_other_owner(&fix);
    answer_fence(&fix, &held);
    advance(&fix, 1000);
    check_start_record(&fix);
    free_fixture(&fix);
}

/* The number of attempts is a setting of the queue: how often a task failed
 * meanwhile counts once the queue is back. */
static void
test_failures_outlast_removed_queue(void)
{
    lc_held_run held = {.id = {.job = 7, .run = 1025}, .running = true};
    lc_kept_failures failure = {0, 1, 1024};
    lc_kept_progress progress = {
        .queue = (char *)(uintptr_t) "queue",
        .failures = {.failures_len = 1, .failures_val = &failure}};
    fixture fix;

    claim_without_queue(&fix);
    read_progress(&fix, &progress);
    answer_fence(&fix, &held);
    advance(&fix, 100);
    end_run(&fix, LC_RUN_FAILED);
    advance(&fix, 500);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    check_state(&fix, DURABLE_JOB_RUNNING);
    put_back_queue(&fix);
    advance(&fix, 100);
    read_puts(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    check_state(&fix, DURABLE_JOB_FAILED);
    free_fixture(&fix);
}

/* Guards against a run that goes on as its job is cancelled while the queue is
 * removed. */
static void
test_cancel_without_queue_stops_runs(void)
{
    lc_held_run held = {.id = {.job = 7, .run = 1025}, .running = true};
    lc_kept_record cancel = {.job = 7};
    char key[DURABLE_LOG_KEY_SIZE];
    fixture fix;

    claim_without_queue(&fix);
    cancel.body.kind = LC_KEPT_CANCEL;
    cancel.body.lc_kept_body_u.queue = (char *)(uintptr_t) "queue";
    DurableLog_CancelKey(7, key);
    read_record(&fix, key, &cancel);
    answer_fence(&fix, &held);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_HALT), >=, 1);
    read_put(&fix, fix.puts->len);
    check_state(&fix, DURABLE_JOB_CANCELLED);
    free_fixture(&fix);
}

/* A long-running task that ends while its queue is removed is restarted once
 * the queue is back. */
static void
test_long_running_outlasts_removed_queue(void)
{
    lc_held_run held = {.id = {.job = 7, .run = 1025}, .running = true};
    fixture fix;

    claim_without_queue(&fix);
    fix.long_running = true;
    answer_fence(&fix, &held);
    advance(&fix, 100);
    end_run(&fix, LC_RUN_FAILED);
    advance(&fix, 500);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    put_back_queue(&fix);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    free_fixture(&fix);
}

/* The owner itself goes on as before: it has the settings of the queue. */
static void
test_owner_outlasts_removed_queue(void)
{
    fixture fix;

    new_fixture(&fix);
    submit(&fix, 7);
    DurableJobs_OnWritten(fix.durable_jobs, fix.now_ms, 1);
    read_put(&fix, 1);
    read_log(&fix);
    remove_queue(&fix);
    advance(&fix, 100);
    end_run(&fix, LC_RUN_FAILED);
    advance(&fix, 500);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    free_fixture(&fix);
}

/* Guards against a run, or an end that blocks its upstream, that is left
 * behind by a job whose body cannot be read. */
static void
test_unreadable_job_leaves_nothing(void)
{
    static const struct {
        bool running;
        Msg_Kind sent;
    } cases[] = {{true, MSG_HALT}, {false, MSG_RELEASE}};
    guint i;

    for (i = 0; i < G_N_ELEMENTS(cases); i++) {
        lc_held_run held = {.id = {.job = 7, .run = 1025},
                            .running = cases[i].running,
                            .status = LC_RUN_DONE};
        fixture fix;
        claim_other_owner(&fix);
        fix.unreadable = true;
        answer_fence(&fix, &held);
        advance(&fix, 100);
        DurableJobs_OnWritten(fix.durable_jobs, fix.now_ms, fix.puts->len);
        read_put(&fix, fix.puts->len);
        check_state(&fix, DURABLE_JOB_FAILED);
        g_assert_cmpint(count_calls(&fix, cases[i].sent), ==, 1);
        free_fixture(&fix);
    }
}

static void
test_successor_waits_for_silent_companion(void)
{
    fixture fix;

    claim_other_owner(&fix);
    advance(&fix, HOLD_MS + RESUBMIT_MS + LEASE_TIMING_DURABLE_GRACE_MS - 200);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    advance(&fix, 400);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    free_fixture(&fix);
}

/* Which companions have runs of the old owner is known only some time after
 * reports have begun to arrive. */
static void
check_waits_for_reports(fixture *fix)
{
    advance(fix, 100);
    answer_fence(fix, NULL);
    advance(fix, 1500);
    g_assert_cmpint(count_calls(fix, MSG_RUN), ==, 0);
    advance(fix, 1500);
    g_assert_cmpint(count_calls(fix, MSG_RUN), ==, 1);
}

static void
test_successor_has_heard_no_companion(void)
{
    lc_node successor;
    fixture fix;

    new_unheard_fixture(&fix);
    read_submit(&fix, 7, &other_owner);
    successor = own_identity(&fix);
    read_claim(&fix, &other_owner, &successor);
    advance_with(&fix, 3600, false);
    check_waits_for_reports(&fix);
    free_fixture(&fix);
}

static void
test_successor_is_cut_off(void)
{
    fixture fix;

    claim_other_owner(&fix);
    advance_with(&fix, HOLD_MS + RESUBMIT_MS + LEASE_TIMING_DURABLE_GRACE_MS,
                 false);
    check_waits_for_reports(&fix);
    free_fixture(&fix);
}

static void
test_claimed_owner_stops(void)
{
    uint64_t before;
    lc_node own;
    fixture fix;

    start_own(&fix);
    own = own_identity(&fix);
    before = own.incarnation;
    read_claim(&fix, &own, &other_owner);
    advance(&fix, 200);
    g_assert_cmpint(count_calls(&fix, MSG_HALT), ==, 0);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    g_assert_true(Dispatcher_IsIdle(fix.dispatcher));
    g_assert_cmpuint(
        DurableJobs_OwnerIncarnation(fix.durable_jobs, fix.now_ms), !=,
        before);
    free_fixture(&fix);
}

/* Two owners claim each other: the first claim is effective, the other is
 * void, and the successor of the first owns the jobs of both. */
static void
test_mutual_claims(void)
{
    lc_node own;
    fixture fix;

    new_fixture(&fix);
    own = own_identity(&fix);
    read_submit(&fix, 7, &other_owner);
    read_claim(&fix, &other_owner, &own);
    read_claim(&fix, &own, &other_owner);
    g_assert_cmpuint(own_identity(&fix).incarnation, ==, own.incarnation);
    advance(&fix, 3000);
    answer_fence(&fix, NULL);
    advance(&fix, 100);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    free_fixture(&fix);
}

/* Until the first durable job, companions may have reported to some entries
 * only: a successor waits until all live companions have reported to it. */
static void
test_first_job_needs_all_reports(void)
{
    lc_node own;
    fixture fix;

    new_fixture(&fix);
    advance(&fix, 5000);
    g_assert_false(DurableJobs_NeedsAllReports(fix.durable_jobs));
    own = own_identity(&fix);
    read_submit(&fix, 7, &other_owner);
    g_assert_true(DurableJobs_NeedsAllReports(fix.durable_jobs));
    advance(&fix, 100);
    read_claim(&fix, &other_owner, &own);
    advance(&fix, 100);
    answer_fence(&fix, NULL);
    advance(&fix, 1500);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 0);
    advance(&fix, 1500);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 1);
    end_run(&fix, LC_RUN_DONE);
    read_put(&fix, fix.puts->len);
    advance(&fix, 20000);
    g_assert_true(DurableJobs_NeedsAllReports(fix.durable_jobs));
    advance(&fix, 11000);
    g_assert_false(DurableJobs_NeedsAllReports(fix.durable_jobs));
    free_fixture(&fix);
}

/* Two processes that start at the same moment may have the same incarnation.
 */
static void
test_keys_name_the_address(void)
{
    char one[DURABLE_LOG_KEY_SIZE];
    char other[DURABLE_LOG_KEY_SIZE];
    DurableLog_Record record = {.key = one};
    lc_node writer;

    DurableLog_SubmitKey(7, other_owner, one);
    DurableLog_SubmitKey(7, third_owner, other);
    g_assert_cmpstr(one, !=, other);
    record.key_length = strlen(one);
    writer = DurableLog_Writer(&record);
    g_assert_true(Msg_SameNode(&writer, &other_owner));
    DurableLog_ProgressKey(7, other_owner, one);
    DurableLog_ProgressKey(7, third_owner, other);
    g_assert_cmpstr(one, !=, other);
    DurableLog_ClaimKey(&other_owner, own_node, one);
    DurableLog_ClaimKey(&third_owner, own_node, other);
    g_assert_cmpstr(one, !=, other);
    record.key = "s0000000000000007.7d1";
    record.key_length = strlen(record.key);
    writer = DurableLog_Writer(&record);
    g_assert_cmpuint(writer.incarnation, ==, 2001);
    g_assert_cmpuint(writer.address, ==, 0);
}

static void
test_leaving_assigns_other_owner(void)
{
    const written_record *put;
    lc_kept_record record;
    fixture fix;

    new_fixture(&fix);
    DurableJobs_OnPeer(fix.durable_jobs, fix.now_ms, other_owner.address,
                       other_owner.incarnation);
    DurableJobs_HandOver(fix.durable_jobs, fix.now_ms);
    g_assert_cmpuint(
        DurableJobs_OwnerIncarnation(fix.durable_jobs, fix.now_ms), ==, 0);
    submit(&fix, 7);
    put = g_ptr_array_index(fix.puts, 1);
    g_assert_true(
        Msg_DecodeDurableRecord(put->value->data, put->value->len, &record));
    g_assert_cmpuint(record.body.lc_kept_body_u.submit.owner.incarnation, ==,
                     other_owner.incarnation);
    Msg_FreeDurableRecord(&record);
    free_fixture(&fix);
}

/* A companion reports an end that it has held for long, of a job that this
 * entry does not know. */
static void
report_unknown_held_end(fixture *fix)
{
    lc_held_run held = {.id = {.job = 9, .run = 1025}, .status = LC_RUN_DONE};

    new_fixture(fix);
    fix->held_long = 1;
    report_host(fix);
    DurableJobs_Tick(fix->durable_jobs, fix->now_ms);
    answer_fence(fix, &held);
    fix->held_long = 0;
    report_host(fix);
    g_assert_cmpint(count_calls(fix, MSG_RELEASE), ==, 0);
}

/* The job is in a part of the log that is not read yet. */
static void
test_held_end_of_unread_job(void)
{
    lc_node other = {own_node.address + 1, 500};
    fixture fix;

    report_unknown_held_end(&fix);
    DurableJobs_OnLogRead(fix.durable_jobs, fix.now_ms + 5, fix.now_ms - 5);
    flush(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RELEASE), ==, 0);
    fix.now_ms += 10;
    read_submit(&fix, 9, &other);
    read_log(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RELEASE), ==, 0);
    free_fixture(&fix);
}

/* The job is not in the log. */
static void
test_held_end_of_missing_job(void)
{
    fixture fix;

    report_unknown_held_end(&fix);
    fix.now_ms += 10;
    read_log(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RELEASE), ==, 1);
    fix.now_ms += 10;
    read_log(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RELEASE), ==, 1);
    free_fixture(&fix);
}

/* Lets the companion report an end that it has held for long. */
static void
report_held_end(fixture *fix, const lc_held_run *held)
{
    fix->held_long = 1;
    fix->now_ms += 1500;
    report_host(fix);
    DurableJobs_Tick(fix->durable_jobs, fix->now_ms);
    answer_fence(fix, held);
    flush(fix);
    fix->held_long = 0;
}

static guint
count_progress_records(const fixture *fix)
{
    guint count = 0;
    guint i;

    for (i = 0; i < fix->puts->len; i++) {
        const written_record *put = g_ptr_array_index(fix->puts, i);
        count += put->key[0] == 'p';
    }
    return count;
}

/* Starts a run that is taken for lost, so that its task waits, or is run again
 * if @p again. */
static void
lose_run(fixture *fix, bool again)
{
    start_own(fix);
    fix->state = again ? LC_UPSTREAM_READY : LC_UPSTREAM_DRAINING;
    report_host(fix);
    end_run(fix, LC_RUN_LOST);
    g_assert_cmpint(count_calls(fix, MSG_RUN), ==, again ? 2 : 1);
}

static void
check_recorded_and_released(fixture *fix)
{
    g_assert_cmpuint(count_progress_records(fix), ==, 1);
    g_assert_cmpint(count_calls(fix, MSG_RELEASE), ==, 0);
    DurableJobs_OnWritten(fix->durable_jobs, fix->now_ms, fix->puts->len);
    g_assert_cmpint(count_calls(fix, MSG_RELEASE), ==, 1);
}

/* Reads the newest record back, which must give the job this state. */
static void
check_written_state(fixture *fix, DurableJobs_State state)
{
    read_put(fix, fix->puts->len);
    g_assert_cmpint(
        DurableJobs_StateOf(fix->durable_jobs, fix->now_ms, 7, &queue), ==,
        state);
}

/* The companion reports the end of a run that was taken for lost; @p again: a
 * later run is in progress, and ends well too. */
static void
check_held_success(bool again)
{
    lc_held_run held = {{7, 0, 0, 0, 1025}, false, LC_RUN_DONE};
    fixture fix;

    lose_run(&fix, again);
    report_held_end(&fix, &held);
    check_recorded_and_released(&fix);
    if (again) {
        end_run(&fix, LC_RUN_DONE);
    }
    check_written_state(&fix, DURABLE_JOB_SUCCEEDED);
    free_fixture(&fix);
}

/* Guards against an end that nobody records, so that it is held for good, and
 * a task that is started again although it has ended well. */
static void
test_held_end_of_waiting_task(void)
{
    check_held_success(false);
}

/* Guards against the same while a later run is in progress. */
static void
test_held_end_beside_later_run(void)
{
    check_held_success(true);
}

/* Guards against a failed run that is held for good, and against one that is
 * counted each time that it is told. */
static void
test_held_failure_counts_once(void)
{
    lc_held_run held = {{7, 0, 0, 0, 1025}, false, LC_RUN_FAILED};
    fixture fix;

    lose_run(&fix, false);
    report_held_end(&fix, &held);
    check_recorded_and_released(&fix);
    report_held_end(&fix, &held);
    read_puts(&fix);
    g_assert_cmpint(
        DurableJobs_StateOf(fix.durable_jobs, fix.now_ms, 7, &queue), ==,
        DURABLE_JOB_RUNNING);
    fix.state = LC_UPSTREAM_READY;
    report_host(&fix);
    flush(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    end_run(&fix, LC_RUN_FAILED);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    check_written_state(&fix, DURABLE_JOB_FAILED);
    free_fixture(&fix);
}

/* A run whose end its companion is about to tell is not counted twice. */
static void
test_held_end_of_active_run(void)
{
    lc_held_run held = {{7, 0, 0, 0, 1025}, false, LC_RUN_FAILED};
    fixture fix;

    start_own(&fix);
    report_held_end(&fix, &held);
    g_assert_cmpuint(count_progress_records(&fix), ==, 0);
    end_run(&fix, LC_RUN_FAILED);
    report_held_end(&fix, &held);
    check_recorded_and_released(&fix);
    g_assert_cmpint(count_calls(&fix, MSG_RUN), ==, 2);
    free_fixture(&fix);
}

static const TestTable_Row rules[] = {
    {"/durable/answers once the job is in the log",
     test_answered_when_written},
    {"/durable/starts a job once its record is read", test_started_when_read},
    {"/durable/an id identifies one job", test_same_id_is_one_job},
    {"/durable/puts a submission once until it is read",
     test_submission_is_put_once},
    {"/durable/the first submission counts", test_first_submission_counts},
    {"/durable/refuses jobs while the log is down", test_refused_without_log},
    {"/durable/times out if the write is not confirmed",
     test_unwritten_times_out},
    {"/durable/a job is not unknown without the log", test_unknown_or_stale},
    {"/durable/reads the log before a cancelled job is unknown",
     test_cancel_rereads_log},
    {"/durable/a job of a renamed queue is submitted again",
     test_renamed_same_id},
    {"/durable/a job of a renamed queue is shown and counted",
     test_renamed_is_shown},
    {"/durable/a job of a renamed queue is cancelled",
     test_renamed_is_cancelled},
    {"/durable/callers wait while their queue is renamed",
     test_renamed_while_callers_wait},
    {"/durable/a submission that is not read back is of one queue",
     test_unread_submission_is_of_one_queue},
    {"/durable/a submission that is not read back is cancelled by its queue",
     test_unread_submission_is_cancelled_by_its_queue},
    {"/durable/a submission behind another queue's cancels nothing",
     test_later_submission_cancels_nothing},
    {"/durable/records tell the address of an earlier version's job",
     test_records_tell_address},
    {"/durable/a successor starts jobs of a renamed queue",
     test_successor_starts_renamed},
    {"/durable/releases ends once they are written",
     test_released_when_written},
    {"/durable/counts attempts", test_attempts_are_written},
    {"/durable/records crashes", test_crashes_are_written},
    {"/durable/a successor adds to the crash count",
     test_successor_adds_crash_counts},
    {"/durable/retries a run unknown to the companion's successor",
     test_run_unknown_to_successor},
    {"/durable/queries the companion's successor until it is ready",
     test_successor_not_ready},
    {"/durable/retries a task when the companion's successor is never ready",
     test_successor_never_ready},
    {"/durable/counts attempts on trial", test_attempts_on_trial},
    {"/durable/restarts long-running tasks", test_long_running},
    {"/durable/records that a job is at work", test_start_is_recorded},
    {"/durable/records a short job by its end alone",
     test_short_job_start_is_not_recorded},
    {"/durable/records no start of a job that waits",
     test_waiting_job_start_is_not_recorded},
    {"/durable/a started job is running at any entry",
     test_started_job_runs_at_any_entry},
    {"/durable/a successor records the start of a run that it adopts",
     test_successor_records_start},
    {"/durable/starts each occurrence when it is due", test_repeats},
    {"/durable/starts nothing when the log was not read for long",
     test_no_starts_without_log},
    {"/durable/starts nothing at a companion found after the log was read",
     test_new_companion_waits_for_log},
    {"/durable/an owner that stood still starts nothing at a new companion",
     test_woken_owner_starts_nothing},
    {"/durable/starts nothing after standing still for long",
     test_owner_that_slept_long_starts_nothing},
    {"/durable/renews nothing at a companion found after the log was read",
     test_new_companion_gets_no_renewal},
    {"/durable/does not repeat a start when the log was not read for long",
     test_start_is_not_repeated_without_log},
    {"/durable/claims a silent owner", test_claims_silent_owner},
    {"/durable/does not claim an owner that writes",
     test_writing_owner_is_not_claimed},
    {"/durable/queries companions and the log before resuming",
     test_successor_fences_first},
    {"/durable/reads the log after the last companion's answer",
     test_successor_reads_log_after_last_answer},
    {"/durable/a successor that stood still waits for reports",
     test_successor_that_stood_still_waits},
    {"/durable/reads the last records of the old owner",
     test_successor_reads_last_progress},
    {"/durable/adopts ends held by companions", test_successor_takes_held_end},
    {"/durable/a claimed successor asks for no runs",
     test_claimed_successor_asks_no_more},
    {"/durable/a claim is judged once all newest records are read",
     test_void_claim_among_newest},
    {"/durable/acts upon claims among the newest records",
     test_claim_among_newest},
    {"/durable/claims any number of silent owners", test_many_silent_owners},
    {"/durable/tells of jobs without a live owner", test_unowned_job_is_told},
    {"/durable/claims an owner once", test_claim_is_put_once},
    {"/durable/hands its jobs over once", test_hands_over_once},
    {"/durable/claims again under a new identity",
     test_new_identity_claims_again},
    {"/durable/the last of many successors owns the job",
     test_owner_after_many_changes},
    {"/durable/names all predecessors to companions",
     test_all_predecessors_are_named},
    {"/durable/adopts a run once that is told twice",
     test_run_told_twice_is_adopted_once},
    {"/durable/names predecessors until a takeover is complete",
     test_complete_takeover_is_recorded},
    {"/durable/binds tasks to late starts found at companions",
     test_successor_waits_for_late_start},
    {"/durable/adopts active runs", test_successor_adopts_active_run},
    {"/durable/a found end is not forgotten while the queue is removed",
     test_found_end_outlasts_removed_queue},
    {"/durable/a found end is released while the queue is removed",
     test_found_end_is_released_without_queue},
    {"/durable/adopts active runs while the queue is removed",
     test_active_run_outlasts_removed_queue},
    {"/durable/starts nothing while the queue is removed",
     test_removed_queue_starts_nothing},
    {"/durable/counts failures while the queue is removed",
     test_failures_outlast_removed_queue},
    {"/durable/a cancel while the queue is removed stops active runs",
     test_cancel_without_queue_stops_runs},
    {"/durable/restarts long-running tasks once the queue is back",
     test_long_running_outlasts_removed_queue},
    {"/durable/an owner runs its jobs while the queue is removed",
     test_owner_outlasts_removed_queue},
    {"/durable/a job that cannot be read leaves no runs and no ends",
     test_unreadable_job_leaves_nothing},
    {"/durable/waits for a silent companion",
     test_successor_waits_for_silent_companion},
    {"/durable/a successor that has heard no companion waits for reports",
     test_successor_has_heard_no_companion},
    {"/durable/a successor that is cut off waits for reports",
     test_successor_is_cut_off},
    {"/durable/stops when it is claimed", test_claimed_owner_stops},
    {"/durable/the first job waits for all companions' reports",
     test_first_job_needs_all_reports},
    {"/durable/keys contain the writer's address", test_keys_name_the_address},
    {"/durable/of mutual claims the first is effective", test_mutual_claims},
    {"/durable/keeps the end of a job that is not read yet",
     test_held_end_of_unread_job},
    {"/durable/releases the end of a job that is not in the log",
     test_held_end_of_missing_job},
    {"/durable/records a held end of a task that waits",
     test_held_end_of_waiting_task},
    {"/durable/records a held end beside a later run",
     test_held_end_beside_later_run},
    {"/durable/counts a held failure once", test_held_failure_counts_once},
    {"/durable/leaves the end of an active run to its companion",
     test_held_end_of_active_run},
    {"/durable/assigns new jobs to others when it leaves",
     test_leaving_assigns_other_owner},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

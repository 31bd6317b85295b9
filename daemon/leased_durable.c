#include "daemon/leased_entry_state.h"

#include <inttypes.h>
#include <string.h>

#include "platform/caller_api.h"

#define TOPIC "levercove.jobs"
/* A body of this size and what is written with it fit one record of the store.
 */
#define MAX_BODY_BYTES 200000U

/* ---- the log ---- */

static void
on_record(void *context, const KeyedRecord *read)
{
    Leased_Entry *self = context;
    DurableLog_Record record = {read->offset, read->key, read->key_length,
                                read->value, read->length};

    DurableJobs_OnRecord(self->durable_jobs, LeasedEntry_OnInput(self),
                         &record);
}

static void
on_begin(void *context)
{
    DurableJobs_OnNewest(((Leased_Entry *)context)->durable_jobs);
}

static void
on_read(void *context, int64_t requested_ms, uint64_t end)
{
    Leased_Entry *self = context;

    (void)end;
    DurableJobs_OnLogRead(self->durable_jobs, LeasedEntry_OnInput(self),
                          requested_ms);
}

static void
on_written(void *context, uint64_t number)
{
    Leased_Entry *self = context;

    DurableJobs_OnWritten(self->durable_jobs, LeasedEntry_OnInput(self),
                          number);
}

static void
on_refused(void *context, int status, const char *body, size_t length)
{
    (void)context;
    Event_Log(EVENT_KEPT_REFUSED, "status %d: %.*s", status,
              (int)MIN(length, 200), body);
}

static const KeyedLog_Ports log_ports = {
    .send = LeasedStore_Send,
    .record = on_record,
    .begin = on_begin,
    .read = on_read,
    .written = on_written,
    .refused = on_refused,
};

/* ---- ports of the durable jobs ---- */

static uint64_t
port_put(void *context, const char *key, const uint8_t *value, size_t length)
{
    Leased_Entry *self = context;

    return KeyedLog_Put(self->durable_log, key, value, length);
}

static void
port_answer(void *context, uint64_t request, const Dispatcher_Answer *answer)
{
    Leased_Entry *self = context;
    char *body;

    if (answer->outcome == DISPATCHER_NOT_RUN) {
        HttpServer_RespondError(self->callers, request, answer->kind,
                                answer->message, answer->retry_ms);
        return;
    }
    body = CallerApi_AnswerBody(answer);
    HttpServer_RespondJson(self->callers, request,
                           CallerApi_AnswerStatus(answer), answer->retry_ms,
                           body);
    g_free(body);
}

static void
port_state(void *context, uint64_t request, DurableJobs_State state)
{
    Leased_Entry *self = context;
    char *body = CallerApi_DurableBody(state);

    HttpServer_RespondJson(self->callers, request,
                           CallerApi_DurableStatus(state), 0, body);
    g_free(body);
}

static void
port_call(void *context, Address to, uint64_t call_id, const Msg_Call *call)
{
    Leased_Entry *self = context;

    Rpc_Call(self->process.rpc, to, call_id | LEASED_DURABLE_CALL_FLAG, call);
}

static Err_Kind
port_parse(void *context, uint64_t id, const char *body, LeasedJob *job,
           Status *status)
{
    CallerApi_RawRequest raw = {.body = body, .length = strlen(body)};

    (void)context;
    return CallerApi_ParseJob(&raw, id, job, status);
}

static void
port_event(void *context, Event_Id id, const char *detail)
{
    (void)context;
    Event_Log(id, "%s", detail);
}

static const DurableJobs_Ports durable_ports = {
    port_put, port_answer, port_state, port_call, port_parse, port_event,
};

void
LeasedDurable_Open(Leased_Entry *self, const Options *options)
{
    DurableJobs_Config config = {.node = Dispatcher_Node(self->dispatcher),
                                 .max_jobs = (uint32_t)options->max_jobs,
                                 .resubmit_ms = options->resubmit_ms,
                                 .keep_ms = options->keep_ms};
    char writer[64];

    self->durable_jobs = DurableJobs_New(
        &config, &durable_ports, self, self->dispatcher, self->last_input_ms);
    g_snprintf(writer, sizeof(writer), "%" PRIx64 "-%" PRIx64,
               (uint64_t)config.node.address,
               (uint64_t)config.node.incarnation);
    self->durable_log = KeyedLog_Open(uv_default_loop(), TOPIC, writer,
                                      &log_ports, self);
}

void
LeasedDurable_OnRunEnd(void *context, const lc_run_id *id, uint32_t task,
                       lc_node host, bool done)
{
    Leased_Entry *self = context;

    DurableJobs_OnRunEnd(self->durable_jobs, id, task, host, done);
}

void
LeasedDurable_OnUpstreamCrash(void *context, const lc_run_id *id,
                              uint32_t task)
{
    Leased_Entry *self = context;

    DurableJobs_OnUpstreamCrash(self->durable_jobs, id, task);
}

void
LeasedDurable_OnJobEnd(void *context, uint64_t job, Dispatcher_Outcome outcome)
{
    Leased_Entry *self = context;

    DurableJobs_OnJobEnd(self->durable_jobs, job, outcome);
}

/* ---- callers ---- */

void
LeasedDurable_Submit(Leased_Entry *self, int64_t now,
                     const HttpServer_Request *request,
                     const Dispatcher_Submit *submit)
{
    DurableJobs_Submit durable = {.request_id = request->id,
                                  .route = submit->route,
                                  .queue = submit->queue,
                                  .job = &submit->job};
    char *body;

    if (request->length > MAX_BODY_BYTES) {
        HttpServer_RespondError(
            self->callers, request->id, ERR_TOO_LARGE,
            "the body of a durable job is longer than 200000 bytes", 0);
        return;
    }
    body = g_strndup(request->body, request->length);
    durable.body = body;
    DurableJobs_OnSubmit(self->durable_jobs, now, &durable);
    g_free(body);
}

#include "daemon/leased_entry_state.h"

#include <string.h>

#include "base/event.h"
#include "platform/caller_api.h"

/* Near the end of a graceful shutdown only jobs that can still finish are
 * accepted: a job takes at most its estimate times this factor, plus the
 * slack. */
#define STOP_ESTIMATE_FACTOR 2
#define STOP_SLACK_MS 150
#define STATUS_OK 200

/* A caller's cancel request that was sent to other entries too. */
typedef struct {
    uint64_t request;
    uint64_t job;
    QueueRef queue;
    uint32_t open_calls; /* calls without a reply yet */
    bool known;
} pending_cancel;

static uint32_t
count_waiting(const Leased_Entry *self, const QueueRef *queue)
{
    int64_t now = self->last_input_ms;
    QueueCounts *own = LeasedEntry_CountWaiting(self);
    uint32_t count = QueueCounts_Get(own, self->routes, queue);
    guint i;
    guint j;

    g_hash_table_unref(own);
    for (i = 0; i < self->peers.rows->len; i++) {
        const Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        for (j = 0; Peers_IsLive(peer, now) && j < peer->waiting->len; j++) {
            const Peers_QueueCount *row = &g_array_index(peer->waiting,
                                                         Peers_QueueCount, j);
            QueueRef counted = {row->queue, row->address};
            if (Route_IsSameQueue(self->routes, queue, &counted)) {
                count += row->waiting;
            }
        }
    }
    return count;
}

static void
serve_count(Leased_Entry *self, const HttpServer_Request *request,
            const QueueRef *queue)
{
    char *body = CallerApi_CountBody(count_waiting(self, queue));

    HttpServer_RespondJson(self->callers, request->id, STATUS_OK, 0, body);
    g_free(body);
}

static void
serve_state(Leased_Entry *self, int64_t now, const HttpServer_Request *request,
            const QueueRef *queue, uint64_t job)
{
    bool started = false;
    char *body;

    if (DurableJobs_StateOf(self->durable_jobs, now, job, queue) >
            DURABLE_JOB_STALE ||
        !Dispatcher_HasOpenJob(self->dispatcher, job, queue, &started)) {
        DurableJobs_OnStateQuery(self->durable_jobs, now, request->id, job,
                                 queue);
        return;
    }
    body = CallerApi_StateBody(started);
    HttpServer_RespondJson(self->callers, request->id, STATUS_OK, 0, body);
    g_free(body);
}

static void
end_cancel(Leased_Entry *self, pending_cancel *pending)
{
    if (pending->known) {
        HttpServer_RespondJson(self->callers, pending->request, STATUS_OK, 0,
                               "{}");
    }
    else {
        DurableJobs_CancelUnknown(self->durable_jobs, self->last_input_ms,
                                  pending->request, pending->job,
                                  &pending->queue);
    }
    QueueRef_Clear(&pending->queue);
    g_free(pending);
}

static void
serve_cancel(Leased_Entry *self, int64_t now,
             const HttpServer_Request *request, const QueueRef *queue,
             uint64_t job)
{
    Msg_Call call = {.kind = MSG_WITHDRAW};
    pending_cancel *pending;
    guint i;

    if (DurableJobs_OnCancel(self->durable_jobs, now, request->id, job,
                             queue)) {
        return;
    }
    pending = g_new0(pending_cancel, 1);
    pending->request = request->id;
    pending->job = job;
    pending->queue = QueueRef_Copy(queue);
    pending->known = Dispatcher_OnCancel(self->dispatcher, now, job, queue);
    call.u.withdraw.job = job;
    call.u.withdraw.queue = (char *)(uintptr_t)queue->name;
    call.u.withdraw.queue_address = queue->address;
    for (i = 0; i < self->peers.rows->len; i++) {
        const Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        uint64_t call_id = ++self->last_call_id | LEASED_ENTRY_CALL_FLAG;
        if (!Peers_IsLive(peer, now)) {
            continue;
        }
        pending->open_calls++;
        g_hash_table_insert(self->pending_cancels,
                            g_memdup2(&call_id, sizeof(call_id)), pending);
        Rpc_Call(self->process.rpc, peer->address, call_id, &call);
    }
    if (pending->open_calls == 0) {
        end_cancel(self, pending);
    }
}

/* Whether a graceful shutdown is so near its end that the job could not
 * finish. */
static bool
is_too_late_to_accept(const Leased_Entry *self, int64_t now,
                      const LeasedJob *job)
{
    int64_t needed = (int64_t)LeasedJob_CriticalPathMs(job) *
                         STOP_ESTIMATE_FACTOR +
                     STOP_SLACK_MS;

    return self->stop_requested_ms != 0 &&
           now + needed > self->process.stop_deadline_ms;
}

static void
serve_submit(Leased_Entry *self, int64_t now, const CallerApi_RawRequest *raw,
             const HttpServer_Request *request, const Route *route,
             const QueueRef *queue, const CallerApi_Request *parsed)
{
    Dispatcher_Submit submit = {.request_id = request->id,
                                .route = route,
                                .queue = *queue,
                                .deadline_ms = route->timeout_ms};
    Status status = {ERR_OK, ""};

    if (parsed->deadline_ms > 0) {
        submit.deadline_ms = parsed->deadline_ms;
    }
    if (request->length > self->routes->body_bytes) {
        Err_Set(&status, ERR_TOO_LARGE, "longer than %u bytes",
                self->routes->body_bytes);
    }
    else {
        CallerApi_ParseJob(raw, parsed->job, &submit.job, &status);
    }
    if (status.kind != ERR_OK) {
        HttpServer_RespondError(self->callers, request->id, status.kind,
                                status.message, 0);
        return;
    }
    if (submit.job.needs_durability) {
        LeasedDurable_Submit(self, now, request, &submit);
        LeasedJob_Clear(&submit.job);
        return;
    }
    if (is_too_late_to_accept(self, now, &submit.job)) {
        LeasedJob_Clear(&submit.job);
        HttpServer_RespondError(self->callers, request->id, ERR_STOPPING,
                                "this entry is being stopped",
                                DISPATCHER_RETRY_MS);
        return;
    }
    Dispatcher_OnSubmit(self->dispatcher, now, &submit);
}

/* The address that a request was sent to: its path without the job's ID. */
static uint64_t
address_of(const HttpServer_Request *request)
{
    const char *slash = strrchr(request->path, '/');
    size_t length = slash == NULL ? 0 : (size_t)(slash - request->path) + 1;

    return QueueRef_Digest(request->authority, request->path, length);
}

static void
serve_route(Leased_Entry *self, int64_t now, const HttpServer_Request *request,
            const Route *route)
{
    CallerApi_RawRequest raw = {
        .method = request->method,
        .path = request->path,
        .deadline = HttpServer_Header(self->callers, request->id,
                                      caller_api_deadline_header),
        .body = request->body,
        .length = request->length,
    };
    QueueRef queue = {route->name, address_of(request)};
    CallerApi_Request parsed;

    CallerApi_ParseRequest(&raw, &parsed);
    switch (parsed.verb) {
    case CALLER_API_SUBMIT:
        serve_submit(self, now, &raw, request, route, &queue, &parsed);
        break;
    case CALLER_API_GET_STATE:
        serve_state(self, now, request, &queue, parsed.job);
        break;
    case CALLER_API_CANCEL:
        serve_cancel(self, now, request, &queue, parsed.job);
        break;
    case CALLER_API_COUNT:
        serve_count(self, request, &queue);
        break;
    case CALLER_API_UNKNOWN:
        HttpServer_RespondError(self->callers, request->id, ERR_BAD_REQUEST,
                                "expected a job's identity of 16 hex digits",
                                0);
        break;
    }
}

static void
reject_unknown_queue(Leased_Entry *self, int64_t now,
                     const HttpServer_Request *request)
{
    Counter_Add(Dispatcher_Counters(self->dispatcher),
                COUNTER_REQUESTS_NO_ROUTE, 1);
    Event_Log(EVENT_NO_ROUTE,
              "%.100s at %.100s; routes version %lld, %lld ms old",
              request->path, request->authority,
              (long long)LeasedRoutes_Version(self),
              (long long)(now - self->routes_applied_ms));
    HttpServer_RespondError(self->callers, request->id, ERR_UNKNOWN_QUEUE,
                            "no such queue", 0);
}

void
LeasedJobsApi_Serve(void *context, const HttpServer_Request *request)
{
    Leased_Entry *self = context;
    int64_t now = LeasedEntry_OnInput(self);
    const Route *route;

    if (self->routes == NULL) {
        HttpServer_RespondError(self->callers, request->id, ERR_NO_ROUTES,
                                "no routes are known yet",
                                DISPATCHER_RETRY_MS);
        return;
    }
    route = Route_FindByPrefix(self->routes, request->authority,
                               request->path);
    if (route == NULL) {
        reject_unknown_queue(self, now, request);
        return;
    }
    serve_route(self, now, request, route);
}

void
LeasedJobsApi_OnCallerDisconnect(void *context, uint64_t request)
{
    Leased_Entry *self = context;

    Dispatcher_OnCallerDisconnect(self->dispatcher, LeasedEntry_OnInput(self),
                                  request);
    DurableJobs_OnCallerDisconnect(self->durable_jobs, request);
}

void
LeasedJobsApi_OnWithdrawReply(Leased_Entry *self, uint64_t call_id,
                              const Msg_Reply *reply)
{
    pending_cancel *pending = g_hash_table_lookup(self->pending_cancels,
                                                  &call_id);

    if (pending == NULL) {
        return;
    }
    g_hash_table_remove(self->pending_cancels, &call_id);
    pending->known |= reply != NULL && reply->u.withdraw.known;
    pending->open_calls--;
    if (pending->open_calls == 0) {
        end_cancel(self, pending);
    }
}

void
LeasedJobsApi_OnWithdraw(Leased_Entry *self, int64_t now, uint64_t reply_id,
                         const lc_withdraw_args *args)
{
    Msg_Reply reply = {.kind = MSG_WITHDRAW};
    QueueRef queue = {args->queue, args->queue_address};

    reply.u.withdraw.known = Dispatcher_OnCancel(self->dispatcher, now,
                                                 args->job, &queue);
    Process_PortReply(&self->process, reply_id, &reply);
}

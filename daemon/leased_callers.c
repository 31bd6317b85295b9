#include "daemon/leased_entry_state.h"

#include <string.h>

#include "base/event.h"
#include "platform/callers.h"

/* Near the end of a planned stop only jobs are taken that can still end: one
 * takes at most so many times its estimate, and this besides. */
#define STOP_FACTOR 2
#define STOP_SLACK_MS 150
#define OK_STATUS 200

/* A caller's cancel that other entries were told of. */
typedef struct {
    uint64_t request;
    uint64_t job;
    char queue[LC_MAX_NAME];
    uint32_t open; /* calls on their way */
    bool known;
} Leased_Cancel;

static uint32_t
count_waiting(const Leased_Entry *self, const char *queue)
{
    int64_t now = self->awake_ms;
    QueueCounts *own = LeasedEntry_Waiting(self);
    uint32_t count = QueueCounts_Of(own, queue);
    guint i;
    guint j;

    g_hash_table_unref(own);
    for (i = 0; i < self->peers.rows->len; i++) {
        const Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        for (j = 0; Peers_IsLive(peer, now) && j < peer->waiting->len; j++) {
            const Peers_Count *row = &g_array_index(peer->waiting, Peers_Count,
                                                    j);
            if (strcmp(row->queue, queue) == 0) {
                count += row->waiting;
            }
        }
    }
    return count;
}

static void
serve_count(Leased_Entry *self, const Http_Request *request,
            const Route *route)
{
    char *body = Callers_CountBody(count_waiting(self, route->name));

    Http_RespondText(self->callers, request->id, OK_STATUS, 0, body);
    g_free(body);
}

static void
serve_look(Leased_Entry *self, int64_t now, const Http_Request *request,
           const Route *route, uint64_t job)
{
    bool begun = false;
    char *body;

    if (Keeper_Look(self->keeper, now, job, route->name) > KEEPER_STALE ||
        !Dispatcher_Look(self->dispatcher, job, route->name, &begun)) {
        Keeper_OnLook(self->keeper, now, request->id, job, route->name);
        return;
    }
    body = Callers_StateBody(begun);
    Http_RespondText(self->callers, request->id, OK_STATUS, 0, body);
    g_free(body);
}

static void
end_cancel(Leased_Entry *self, Leased_Cancel *pending)
{
    if (pending->known) {
        Http_RespondText(self->callers, pending->request, OK_STATUS, 0, "{}");
    }
    else {
        Keeper_CancelUnknown(self->keeper, self->awake_ms, pending->request,
                             pending->job, pending->queue);
    }
    g_free(pending);
}

static void
serve_cancel(Leased_Entry *self, int64_t now, const Http_Request *request,
             const Route *route, uint64_t job)
{
    Msg_Call call = {.kind = MSG_WITHDRAW};
    Leased_Cancel *pending;
    guint i;

    if (Keeper_OnCancel(self->keeper, now, request->id, job, route->name)) {
        return;
    }
    pending = g_new0(Leased_Cancel, 1);
    pending->request = request->id;
    pending->job = job;
    g_strlcpy(pending->queue, route->name, sizeof(pending->queue));
    pending->known = Dispatcher_OnCancel(self->dispatcher, now, job,
                                         route->name);
    call.u.withdraw.job = job;
    call.u.withdraw.queue = route->name;
    for (i = 0; i < self->peers.rows->len; i++) {
        const Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        uint64_t call_id = ++self->next_call | LEASED_OWN_CALL;
        if (!Peers_IsLive(peer, now)) {
            continue;
        }
        pending->open++;
        g_hash_table_insert(self->cancels,
                            g_memdup2(&call_id, sizeof(call_id)), pending);
        Rpc_Call(self->process.rpc, peer->address, call_id, &call);
    }
    if (pending->open == 0) {
        end_cancel(self, pending);
    }
}

/* A planned stop is so near its end that a job could not be finished. */
static bool
is_past_taking(const Leased_Entry *self, int64_t now, const LeasedJob *job)
{
    int64_t needed = (int64_t)LeasedJob_ChainMs(job) * STOP_FACTOR +
                     STOP_SLACK_MS;

    return self->stop_ms != 0 && now + needed > self->process.end_by_ms;
}

static void
serve_submit(Leased_Entry *self, int64_t now, const Callers_Raw *raw,
             const Http_Request *request, const Route *route,
             const Callers_Request *parsed)
{
    Dispatcher_Submit submit = {.request_id = request->id,
                                .route = route,
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
        Callers_ParseJob(raw, parsed->job, &submit.job, &status);
    }
    if (status.kind != ERR_OK) {
        Http_RespondError(self->callers, request->id, status.kind,
                          status.message, 0);
        return;
    }
    if (submit.job.needs_keeping) {
        LeasedKept_Submit(self, now, request, &submit);
        LeasedJob_Clear(&submit.job);
        return;
    }
    if (is_past_taking(self, now, &submit.job)) {
        LeasedJob_Clear(&submit.job);
        Http_RespondError(self->callers, request->id, ERR_STOPPING,
                          "this entry is being stopped", DISPATCHER_RETRY_MS);
        return;
    }
    Dispatcher_OnSubmit(self->dispatcher, now, &submit);
}

static void
serve_route(Leased_Entry *self, int64_t now, const Http_Request *request,
            const Route *route)
{
    Callers_Raw raw = {
        .method = request->method,
        .path = request->path,
        .deadline = Http_Header(self->callers, request->id,
                                callers_deadline_header),
        .body = request->body,
        .length = request->length,
    };
    Callers_Request parsed;

    Callers_Parse(&raw, &parsed);
    switch (parsed.verb) {
    case CALLERS_SUBMIT:
        serve_submit(self, now, &raw, request, route, &parsed);
        break;
    case CALLERS_LOOK:
        serve_look(self, now, request, route, parsed.job);
        break;
    case CALLERS_CANCEL:
        serve_cancel(self, now, request, route, parsed.job);
        break;
    case CALLERS_COUNT:
        serve_count(self, request, route);
        break;
    case CALLERS_OTHER:
        Http_RespondError(self->callers, request->id, ERR_BAD_REQUEST,
                          "expected a job's identity of 16 hex digits", 0);
        break;
    }
}

static void
refuse_unknown(Leased_Entry *self, int64_t now, const Http_Request *request)
{
    Counter_Add(Dispatcher_Counters(self->dispatcher),
                COUNTER_REQUESTS_NO_ROUTE, 1);
    Event_Log(EVENT_NO_ROUTE,
              "%.100s at %.100s; routes version %lld, %lld ms old",
              request->path, request->authority,
              (long long)LeasedRoutes_Version(self),
              (long long)(now - self->routes_ms));
    Http_RespondError(self->callers, request->id, ERR_UNKNOWN_QUEUE,
                      "no such queue", 0);
}

void
LeasedCallers_Serve(void *context, const Http_Request *request)
{
    Leased_Entry *self = context;
    int64_t now = LeasedEntry_Awake(self);
    const Route *route;

    if (self->routes == NULL) {
        Http_RespondError(self->callers, request->id, ERR_NO_ROUTES,
                          "no routes are known yet", DISPATCHER_RETRY_MS);
        return;
    }
    route = Route_Find(self->routes, request->authority, request->path);
    if (route == NULL) {
        refuse_unknown(self, now, request);
        return;
    }
    serve_route(self, now, request, route);
}

void
LeasedCallers_Gone(void *context, uint64_t request)
{
    Leased_Entry *self = context;

    Dispatcher_OnCallerGone(self->dispatcher, LeasedEntry_Awake(self),
                            request);
    Keeper_OnCallerGone(self->keeper, request);
}

void
LeasedCallers_TakeWithdraw(Leased_Entry *self, uint64_t call_id,
                           const Msg_Reply *reply)
{
    Leased_Cancel *pending = g_hash_table_lookup(self->cancels, &call_id);

    if (pending == NULL) {
        return;
    }
    g_hash_table_remove(self->cancels, &call_id);
    pending->known |= reply != NULL && reply->u.withdraw.known;
    pending->open--;
    if (pending->open == 0) {
        end_cancel(self, pending);
    }
}

void
LeasedCallers_AnswerWithdraw(Leased_Entry *self, int64_t now,
                             uint64_t reply_id, const lc_withdraw_args *args)
{
    Msg_Reply reply = {.kind = MSG_WITHDRAW};

    reply.u.withdraw.known = Dispatcher_OnCancel(self->dispatcher, now,
                                                 args->job, args->queue);
    Process_PortReply(&self->process, reply_id, &reply);
}

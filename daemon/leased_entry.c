#include "daemon/leased_entry.h"

#include <glib.h>
#include <string.h>

#include "daemon/process.h"
#include "daemon/seeds.h"
#include "lease/dispatcher.h"
#include "lease/peers.h"
#include "platform/callers.h"
#include "platform/routes.h"
#include "platform/store.h"

/* The loop wakes up every PROCESS_TICK_MS; a longer gap means that the
 * process stood still, and input that waited is read before anything is
 * started. */
#define STILL_MS 200
#define RESUME_MS 40
/* Entries talk to each other so often, times their number, within bounds. */
#define GOSSIP_MS 75
#define GOSSIP_LEAST_MS 300
#define GOSSIP_MOST_MS 1500
#define STARTING_MS 2000
#define STORE_CONNECTIONS 2
#define RETRY_MS 1000
/* New connections come for some time after the balancer was told not to. */
#define STOP_LEAST_MS 2500
#define STOP_MARGIN_MS 500
/* A job takes at most so many times its estimate, and this besides. */
#define STOP_FACTOR 2
#define STOP_SLACK_MS 150
#define OK_STATUS 200
/* Calls of this file; the dispatcher numbers its own without this bit. */
#define OWN_CALL (1ULL << 63)

typedef struct {
    Process process; /* first, see Process */
    Dispatcher *dispatcher;
    Route_Table *routes;
    Http_Client *http;
    Http_Server *callers;
    Http_Server *ready;
    Peers peers;
    Seeds seeds;
    uv_timer_t resume_timer;
    uv_check_t settled;
    GHashTable *cancels; /* call id -> cancel */
    uint64_t next_call;
    int64_t started_ms;
    int64_t routes_ms; /* when the routes in force were taken */
    bool store_answers;
    int64_t awake_ms; /* last time that anything was done */
    int64_t stop_ms;  /* when the planned stop was asked for */
    bool still;
    bool was_ready;
} leased_entry;

/* A caller's cancel that other entries were told of. */
typedef struct {
    uint64_t request;
    uint32_t open; /* calls on their way */
    bool known;
} cancel;

static void
on_resume(uv_timer_t *timer)
{
    leased_entry *self = timer->data;

    self->still = false;
    self->awake_ms = Process_Now().mono_ms;
    Dispatcher_Resume(self->dispatcher);
}

/* Time now; notices that the process stood still. */
static int64_t
awake(leased_entry *self)
{
    int64_t now = Process_Now().mono_ms;

    if (now - self->awake_ms > STILL_MS) {
        Event_Log(EVENT_STOOD_STILL, "for %d ms", (int)(now - self->awake_ms));
        Dispatcher_Pause(self->dispatcher);
        self->still = true;
        uv_timer_start(&self->resume_timer, on_resume, RESUME_MS, 0);
    }
    self->awake_ms = now;
    return now;
}

/* All input at hand has been taken. The process may have stood still since. */
static void
on_settled(uv_check_t *check)
{
    leased_entry *self = check->data;

    Dispatcher_Settle(self->dispatcher, awake(self));
}

/* ---- ports of the dispatcher ---- */

static void
port_answer(void *context, uint64_t request, const Dispatcher_Answer *answer)
{
    leased_entry *self = context;
    char *body = Callers_Body(answer);

    Http_RespondText(self->callers, request, Callers_Status(answer),
                     answer->retry_ms, body);
    g_free(body);
}

static const Dispatcher_Ports dispatch_ports = {
    .call = Process_PortCall,
    .reset = Process_PortReset,
    .answer = port_answer,
    .event = Process_PortFields,
};

/* ---- routes ---- */

static void
take_routes(leased_entry *self, const char *record, size_t length,
            const char *source)
{
    Status status = {ERR_OK, ""};
    Route_Table *table = Routes_Read(record, length, &status);

    if (table == NULL) {
        Event_Log(EVENT_ROUTES_BAD, "from %s: %s", source, status.message);
        return;
    }
    if (self->routes != NULL && table->version <= self->routes->version) {
        Route_FreeTable(table);
        return;
    }
    Route_FreeTable(self->routes);
    self->routes = table;
    self->routes_ms = self->awake_ms;
    Event_Log(EVENT_ROUTES, "version %lld from %s, %u queues",
              (long long)table->version, source, table->routes->len);
}

static void
on_routes(void *context, const char *record, size_t length)
{
    leased_entry *self = context;

    awake(self);
    take_routes(self, record, length, "the store");
}

static void
on_store_change(void *context, int answers)
{
    leased_entry *self = context;

    awake(self);
    self->store_answers = answers;
    Event_Log(answers ? EVENT_LOG_UP : EVENT_LOG_DOWN, "store");
}

/* ---- callers ---- */

static uint32_t
count_waiting(const leased_entry *self, const char *queue)
{
    int64_t now = self->awake_ms;
    uint32_t count = Dispatcher_Waiting(self->dispatcher, queue);
    guint i;
    guint j;

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
serve_count(leased_entry *self, const Http_Request *request,
            const Route *route)
{
    char *body = Callers_CountBody(count_waiting(self, route->name));

    Http_RespondText(self->callers, request->id, OK_STATUS, 0, body);
    g_free(body);
}

static void
serve_look(leased_entry *self, const Http_Request *request, const Route *route,
           uint64_t job)
{
    bool begun = false;
    char *body;

    if (!Dispatcher_Look(self->dispatcher, job, route->name, &begun)) {
        Http_RespondText(self->callers, request->id, Callers_UnknownStatus(),
                         0, "{}");
        return;
    }
    body = Callers_StateBody(begun);
    Http_RespondText(self->callers, request->id, OK_STATUS, 0, body);
    g_free(body);
}

static void
end_cancel(leased_entry *self, cancel *pending)
{
    Http_RespondText(self->callers, pending->request,
                     pending->known ? OK_STATUS : Callers_UnknownStatus(), 0,
                     "{}");
    g_free(pending);
}

static void
serve_cancel(leased_entry *self, int64_t now, const Http_Request *request,
             const Route *route, uint64_t job)
{
    Msg_Call call = {.kind = MSG_WITHDRAW};
    cancel *pending = g_new0(cancel, 1);
    guint i;

    pending->request = request->id;
    pending->known = Dispatcher_OnCancel(self->dispatcher, now, job,
                                         route->name);
    call.u.withdraw.job = job;
    call.u.withdraw.queue = route->name;
    for (i = 0; i < self->peers.rows->len; i++) {
        const Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        uint64_t call_id = ++self->next_call | OWN_CALL;
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
is_past_taking(const leased_entry *self, int64_t now, const LeasedJob *job)
{
    int64_t needed = (int64_t)LeasedJob_ChainMs(job) * STOP_FACTOR +
                     STOP_SLACK_MS;

    return self->stop_ms != 0 && now + needed > self->process.end_by_ms;
}

static void
serve_submit(leased_entry *self, int64_t now, const Callers_Raw *raw,
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
    if (is_past_taking(self, now, &submit.job)) {
        LeasedJob_Clear(&submit.job);
        Http_RespondError(self->callers, request->id, ERR_STOPPING,
                          "this entry is being stopped", RETRY_MS);
        return;
    }
    Dispatcher_OnSubmit(self->dispatcher, now, &submit);
}

static void
serve_route(leased_entry *self, int64_t now, const Http_Request *request,
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
        serve_look(self, request, route, parsed.job);
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
serve_callers(void *context, const Http_Request *request)
{
    leased_entry *self = context;
    int64_t now = awake(self);
    const Route *route;

    if (self->routes == NULL) {
        Http_RespondError(self->callers, request->id, ERR_NO_ROUTES,
                          "no routes are known yet", RETRY_MS);
        return;
    }
    route = Route_Find(self->routes, request->authority, request->path);
    if (route == NULL) {
        Http_RespondError(self->callers, request->id, ERR_UNKNOWN_QUEUE,
                          "no such queue", 0);
        return;
    }
    serve_route(self, now, request, route);
}

static void
on_caller_gone(void *context, uint64_t request)
{
    leased_entry *self = context;

    Dispatcher_OnCallerGone(self->dispatcher, awake(self), request);
}

static const Http_Route caller_routes[] = {
    {"/", serve_callers},
    {NULL, NULL},
};

/* ---- readiness ---- */

/* Companions report a moment after the start; who knows the routes by then
 * need not be passed over for a second by the balancer. */
static bool
is_ready(const leased_entry *self)
{
    bool starting = self->awake_ms - self->started_ms < STARTING_MS;

    return self->stop_ms == 0 && self->routes != NULL && !self->still &&
           (starting ||
            Dispatcher_ReadyHosts(self->dispatcher, self->awake_ms) > 0);
}

static void
serve_ready(void *context, const Http_Request *request)
{
    leased_entry *self = context;

    awake(self);
    if (is_ready(self)) {
        Http_RespondText(self->ready, request->id, OK_STATUS, 0, "{}");
    }
    else {
        Http_RespondError(self->ready, request->id, ERR_NO_ROUTES,
                          "routes or companions are not known yet, or the "
                          "process is being stopped",
                          RETRY_MS);
    }
}

static const Http_Route ready_routes[] = {
    {"/", serve_ready},
    {NULL, NULL},
};

/* ---- other entries ---- */

/* Entries that spoke lately, and this one; free the array. */
static GArray *
known_entries(const leased_entry *self)
{
    return Peers_Live(&self->peers, self->awake_ms,
                      self->process.options->rpc);
}

/* Texts are borrowed from the routes; free the array. */
static GArray *
own_counts(const leased_entry *self)
{
    GArray *counts = g_array_new(FALSE, TRUE, sizeof(lc_queue_count));
    guint i;

    for (i = 0; self->routes != NULL && i < self->routes->routes->len; i++) {
        const Route *route = g_ptr_array_index(self->routes->routes, i);
        lc_queue_count row = {.queue = route->name};
        row.waiting = Dispatcher_Waiting(self->dispatcher, route->name);
        if (row.waiting > 0) {
            g_array_append_val(counts, row);
        }
    }
    return counts;
}

static int64_t
routes_version(const leased_entry *self)
{
    return self->routes == NULL ? -1 : self->routes->version;
}

static void
send_gossip(leased_entry *self, int64_t now, Peers_Row *peer)
{
    GArray *live = known_entries(self);
    GArray *counts = own_counts(self);
    Msg_Call call = {.kind = MSG_GOSSIP};

    call.u.gossip.from = Dispatcher_Node(self->dispatcher);
    call.u.gossip.routes_version = routes_version(self);
    call.u.gossip.known = Peers_Digest(live);
    if (peer->digest != call.u.gossip.known) {
        call.u.gossip.entries.entries_len = live->len;
        call.u.gossip.entries.entries_val = (u_quad_t *)(void *)live->data;
    }
    call.u.gossip.waiting.waiting_len = counts->len;
    call.u.gossip.waiting.waiting_val = (lc_queue_count *)(void *)counts->data;
    peer->call_id = ++self->next_call | OWN_CALL;
    peer->asked_ms = now;
    Rpc_Call(self->process.rpc, peer->address, peer->call_id, &call);
    g_array_unref(live);
    g_array_unref(counts);
}

static void
gossip(leased_entry *self, int64_t now)
{
    int64_t spaced = Peers_SpacedMs(&self->peers, GOSSIP_MS, GOSSIP_LEAST_MS,
                                    GOSSIP_MOST_MS);
    guint i;

    for (i = 0; i < self->peers.rows->len; i++) {
        Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        int64_t patience = Peers_PatienceMs(peer, now);
        int64_t since = now - peer->asked_ms;
        if (peer->call_id == 0 && since >= MIN(spaced, patience)) {
            send_gossip(self, now, peer);
        }
        else if (peer->call_id != 0 && since >= patience) {
            Rpc_Reset(self->process.rpc, peer->address);
        }
    }
}

static void
take_news(leased_entry *self, Address from, uint64_t digest,
          const u_quad_t *entries, u_int entry_count,
          const lc_queue_count *counts, u_int count)
{
    int64_t now = self->awake_ms;
    Peers_Row *peer;
    u_int i;

    if (Peers_Hear(&self->peers, from, now)) {
        Event_Log(EVENT_PEER_FOUND, "%s", Address_Text(from));
    }
    for (i = 0; i < entry_count; i++) {
        Peers_Name(&self->peers, entries[i], now);
    }
    peer = Peers_Find(&self->peers, from);
    if (peer == NULL) {
        return;
    }
    peer->digest = digest;
    g_array_set_size(peer->waiting, 0);
    for (i = 0; i < count; i++) {
        Peers_Count row = {.waiting = counts[i].waiting};
        g_strlcpy(row.queue, counts[i].queue, sizeof(row.queue));
        g_array_append_val(peer->waiting, row);
    }
}

static void
answer_gossip(leased_entry *self, uint64_t reply_id,
              const lc_gossip_args *args)
{
    Msg_Reply reply = {.kind = MSG_GOSSIP};
    lc_gossip_res *result = &reply.u.gossip;
    GArray *live;
    GArray *counts = own_counts(self);

    take_news(self, args->from.address, args->known, args->entries.entries_val,
              args->entries.entries_len, args->waiting.waiting_val,
              args->waiting.waiting_len);
    live = known_entries(self);
    result->from = Dispatcher_Node(self->dispatcher);
    result->routes_version = routes_version(self);
    result->known = Peers_Digest(live);
    if (args->known != result->known) {
        result->entries.entries_len = live->len;
        result->entries.entries_val = (u_quad_t *)(void *)live->data;
    }
    result->waiting.waiting_len = counts->len;
    result->waiting.waiting_val = (lc_queue_count *)(void *)counts->data;
    if (self->routes != NULL && args->routes_version < self->routes->version) {
        result->routes.routes_val = self->routes->source;
        result->routes.routes_len = (u_int)self->routes->source_length;
    }
    Process_PortReply(&self->process, reply_id, &reply);
    g_array_unref(live);
    g_array_unref(counts);
}

static void
take_gossip(leased_entry *self, const lc_gossip_res *result)
{
    take_news(self, result->from.address, result->known,
              result->entries.entries_val, result->entries.entries_len,
              result->waiting.waiting_val, result->waiting.waiting_len);
    if (result->routes.routes_len > 0) {
        take_routes(self, result->routes.routes_val, result->routes.routes_len,
                    Address_Text(result->from.address));
    }
}

static void
answer_report(leased_entry *self, int64_t now, uint64_t reply_id,
              const lc_report_args *args)
{
    Msg_Reply reply = {.kind = MSG_REPORT};
    GArray *live = known_entries(self);

    reply.u.report.entry = Dispatcher_Node(self->dispatcher);
    reply.u.report.gap_ms = Dispatcher_ReportGapMs(self->dispatcher);
    if (args->known != Peers_Digest(live)) {
        reply.u.report.entries.entries_len = live->len;
        reply.u.report.entries.entries_val = (u_quad_t *)(void *)live->data;
    }
    Process_PortReply(&self->process, reply_id, &reply);
    g_array_unref(live);
    Dispatcher_OnReport(self->dispatcher, now, args);
}

static void
answer_withdraw(leased_entry *self, int64_t now, uint64_t reply_id,
                const lc_withdraw_args *args)
{
    Msg_Reply reply = {.kind = MSG_WITHDRAW};

    reply.u.withdraw.known = Dispatcher_OnCancel(self->dispatcher, now,
                                                 args->job, args->queue);
    Process_PortReply(&self->process, reply_id, &reply);
}

static void
take_withdraw(leased_entry *self, uint64_t call_id, const Msg_Reply *reply)
{
    cancel *pending = g_hash_table_lookup(self->cancels, &call_id);

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

/* ---- the role ---- */

static void
note_ready(leased_entry *self)
{
    bool ready = is_ready(self);

    if (ready != self->was_ready) {
        self->was_ready = ready;
        Event_Log(EVENT_READY, "%s: routes version %lld, %u companions",
                  ready ? "yes" : "no", (long long)routes_version(self),
                  Dispatcher_ReadyHosts(self->dispatcher, self->awake_ms));
    }
}

static void
role_tick(Process *process)
{
    leased_entry *self = (leased_entry *)process;
    int64_t now = awake(self);

    Seeds_Refresh(&self->seeds, &self->peers, now);
    Peers_Forget(&self->peers, now);
    gossip(self, now);
    Dispatcher_Tick(self->dispatcher, now);
    note_ready(self);
}

static void
role_drain(Process *process)
{
    leased_entry *self = (leased_entry *)process;

    Event_Log(EVENT_STOPPING, "entry of leased jobs");
    self->stop_ms = awake(self);
    process->end_by_ms = self->stop_ms + process->options->grace_ms -
                         STOP_MARGIN_MS;
    Http_CloseAfterAnswers(self->callers);
}

static bool
role_is_drained(const Process *process)
{
    const leased_entry *self = (const leased_entry *)process;
    int64_t since = Process_Now().mono_ms - self->stop_ms;

    if (self->stop_ms == 0 || since < STOP_LEAST_MS) {
        return false;
    }
    return Http_Unanswered(self->callers) == 0 &&
           Dispatcher_IsIdle(self->dispatcher);
}

static json_t *
role_dump(const Process *process)
{
    const leased_entry *self = (const leased_entry *)process;
    json_t *state = Dispatcher_Dump(self->dispatcher, Process_Now().mono_ms);

    json_object_set_new(state, "routes_version",
                        json_integer(routes_version(self)));
    json_object_set_new(state, "ready", json_boolean(is_ready(self)));
    return state;
}

static Counters *
role_counters(Process *process)
{
    return Dispatcher_Counters(((leased_entry *)process)->dispatcher);
}

static void
role_metrics(Process *process, GString *out)
{
    const leased_entry *self = (const leased_entry *)process;
    int64_t now = Process_Now().mono_ms;

    Dispatcher_Metrics(self->dispatcher, now, out);
    g_string_append_printf(out,
                           "levercove_ready %d\n"
                           "levercove_routes_version %lld\n"
                           "levercove_routes_age_seconds %lld\n"
                           "levercove_store_answers %d\n"
                           "levercove_entries_known %u\n",
                           is_ready(self), (long long)routes_version(self),
                           (long long)(now - self->routes_ms) / 1000,
                           self->store_answers, self->peers.rows->len);
}

static bool
role_call(Process *process, uint64_t reply_id, const Msg_Call *call)
{
    leased_entry *self = (leased_entry *)process;
    int64_t now = awake(self);

    switch (call->kind) {
    case MSG_REPORT:
        answer_report(self, now, reply_id, &call->u.report);
        return true;
    case MSG_GOSSIP:
        answer_gossip(self, reply_id, &call->u.gossip);
        return true;
    case MSG_WITHDRAW:
        answer_withdraw(self, now, reply_id, &call->u.withdraw);
        return true;
    default:
        return false;
    }
}

static void
role_reply(Process *process, uint64_t call_id, const Msg_Reply *reply)
{
    leased_entry *self = (leased_entry *)process;
    int64_t now = awake(self);
    Peers_Row *peer;

    if ((call_id & OWN_CALL) == 0) {
        Dispatcher_OnReply(self->dispatcher, now, call_id, reply);
        return;
    }
    peer = Peers_OfCall(&self->peers, call_id);
    if (peer == NULL) {
        take_withdraw(self, call_id, reply);
        return;
    }
    peer->call_id = 0;
    if (reply != NULL && reply->kind == MSG_GOSSIP) {
        take_gossip(self, &reply->u.gossip);
    }
}

static const Process_Role leased_entry_role = {
    role_tick,     role_drain,   role_is_drained, role_dump,
    role_counters, role_metrics, role_call,       role_reply,
};

static Dispatcher *
new_dispatcher(leased_entry *self, const Options *options)
{
    Term_Bounds bounds = {options->resubmit_ms, options->hold_max_ms,
                          options->stop_ms, PROCESS_TICK_MS};
    Dispatcher_Config config = {.node = Process_NewNode(options),
                                .max_jobs = (uint32_t)options->max_jobs};

    g_strlcpy(config.hall, options->hall, sizeof(config.hall));
    if (!Term_Plan(&bounds, &config.term)) {
        return NULL;
    }
    self->awake_ms = Process_Now().mono_ms;
    self->started_ms = self->awake_ms;
    return Dispatcher_New(&config, &dispatch_ports, self, self->awake_ms);
}

static Err_Kind
open_servers(leased_entry *self, uv_loop_t *loop, const Options *options,
             Status *status)
{
    self->callers = Http_NewServer(loop, options->callers, caller_routes, self,
                                   status);
    if (self->callers == NULL) {
        return status->kind;
    }
    Http_WatchCallers(self->callers, on_caller_gone);
    self->ready = Http_NewServer(loop, options->ready, ready_routes, self,
                                 status);
    if (self->ready == NULL) {
        return status->kind;
    }
    return Process_Open(&self->process, loop, options, &leased_entry_role,
                        status);
}

int
LeasedEntry_Run(const Options *options)
{
    leased_entry *self = g_new0(leased_entry, 1);
    uv_loop_t *loop = uv_default_loop();
    Status status = {ERR_OK, ""};
    int code = Err_Exit(ERR_IO);

    self->cancels = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                          NULL);
    Peers_Init(&self->peers, options->rpc);
    Seeds_Init(&self->seeds, options);
    uv_timer_init(loop, &self->resume_timer);
    self->resume_timer.data = self;
    uv_check_init(loop, &self->settled);
    self->settled.data = self;
    uv_check_start(&self->settled, on_settled);
    self->dispatcher = new_dispatcher(self, options);
    if (self->dispatcher == NULL) {
        Event_Log(EVENT_BAD_SETTINGS, "times.resubmit_ms leaves no time for "
                                      "leases");
        code = Err_Exit(ERR_BAD_SETTINGS);
        goto done;
    }
    if (open_servers(self, loop, options, &status) != ERR_OK) {
        Event_Log(EVENT_LISTEN_FAILED, "%s", status.message);
        goto done;
    }
    self->http = Http_NewClient(loop);
    Http_KeepAlive(self->http, options->store, STORE_CONNECTIONS);
    Store_Follow(loop, self->http, options->store, on_routes, on_store_change,
                 self);
    code = Process_Run(&self->process);
done:
    if (self->dispatcher != NULL) {
        Dispatcher_Free(self->dispatcher);
    }
    Route_FreeTable(self->routes);
    Peers_Clear(&self->peers);
    g_hash_table_unref(self->cancels);
    /* The loop's handles live in `self`; the process ends here. */
    return code;
}

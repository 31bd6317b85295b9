#include "daemon/leased_entry.h"

#include <glib.h>
#include <string.h>

#include "daemon/leased_entry_state.h"
#include "lease/store_wait.h"
#include "platform/callers.h"

/* The loop wakes up every PROCESS_TICK_MS; a longer gap means that the
 * process stood still, and input that waited is read before anything is
 * started. */
#define STILL_MS 200
#define RESUME_MS 40
#define STARTING_MS 2000
#define STORE_CONNECTIONS 4
/* New connections come for some time after the balancer was told not to. */
#define STOP_LEAST_MS 2500
#define STOP_MARGIN_MS 500
/* Jobs still open so long before that end are given up. Chosen: four ticks, so
 * that the answers have left. */
#define LAST_ANSWERS_MS 200
#define OK_STATUS 200

static void
on_resume(uv_timer_t *timer)
{
    Leased_Entry *self = timer->data;

    self->still = false;
    self->awake_ms = Process_Now().mono_ms;
    Dispatcher_Resume(self->dispatcher);
}

/* Time now; notices that the process stood still. */
int64_t
LeasedEntry_Awake(Leased_Entry *self)
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

/* Tells the dispatcher what else than its starts has left since the last time:
 * answers, renewals, gossip. */
static void
note_sent(Leased_Entry *self)
{
    const Rpc_Traffic *traffic = Rpc_GetTraffic(self->process.rpc);
    const Counters *counters = Dispatcher_Counters(self->dispatcher);
    uint64_t all = counters->value[COUNTER_RPC_BYTES_OUT] +
                   Http_BytesOut(self->callers);
    uint64_t starts = traffic->call_bytes_out[MSG_RUN] +
                      traffic->call_bytes_out[MSG_RUNS];
    uint64_t others = all > starts ? all - starts : 0;

    if (others > self->other_bytes) {
        Dispatcher_NoteSent(self->dispatcher,
                            (int64_t)(others - self->other_bytes));
        self->other_bytes = others;
    }
}

static void
on_link_free(uv_timer_t *timer)
{
    (void)timer; /* on_settled comes behind it */
}

/* Wakes the loop when starts that wait for the link may leave. */
static void
arm_link_timer(Leased_Entry *self)
{
    int64_t due_ms = Dispatcher_DueMs(self->dispatcher);

    if (due_ms < INT64_MAX) {
        int64_t wait_ms = MAX(due_ms - self->awake_ms, 1);
        uv_timer_start(&self->link_timer, on_link_free, (uint64_t)wait_ms, 0);
    }
}

/* All input at hand has been taken. The process may have stood still since. */
static void
on_settled(uv_check_t *check)
{
    Leased_Entry *self = check->data;

    Dispatcher_Settle(self->dispatcher, LeasedEntry_Awake(self));
    arm_link_timer(self);
    Keeper_Settle(self->keeper, self->awake_ms);
}

/* ---- ports of the dispatcher ---- */

static void
port_answer(void *context, uint64_t request, const Dispatcher_Answer *answer)
{
    Leased_Entry *self = context;
    char *body = Callers_Body(answer);

    Http_RespondText(self->callers, request, Callers_Status(answer),
                     answer->retry_ms, body);
    g_free(body);
}

/* What decided a request is read beside the routes that were in force. */
static void
port_event(void *context, Event_Id id, json_t *fields)
{
    const Leased_Entry *self = context;

    json_object_set_new(fields, "routes_version",
                        json_integer(LeasedRoutes_Version(self)));
    Process_PortFields(context, id, fields);
}

static const Dispatcher_Ports dispatch_ports = {
    .call = Process_PortCall,
    .reset = Process_PortReset,
    .answer = port_answer,
    .event = port_event,
    .kept_end = LeasedKept_End,
    .kept_crash = LeasedKept_Crash,
    .kept_over = LeasedKept_Over,
    .runs = Process_PortRuns,
    .reply = Process_PortReply,
};

static const Http_Route caller_routes[] = {
    {"/", LeasedCallers_Serve},
    {NULL, NULL},
};

/* ---- readiness ---- */

/* Companions report a moment after the start; who knows the routes by then
 * need not be passed over for a second by the balancer. */
static bool
is_ready(const Leased_Entry *self)
{
    bool starting = self->awake_ms - self->started_ms < STARTING_MS;

    return self->stop_ms == 0 && self->routes != NULL && !self->still &&
           (starting ||
            Dispatcher_WellHosts(self->dispatcher, self->awake_ms) > 0);
}

static void
serve_ready(void *context, const Http_Request *request)
{
    Leased_Entry *self = context;

    LeasedEntry_Awake(self);
    if (is_ready(self)) {
        Http_RespondText(self->ready, request->id, OK_STATUS, 0, "{}");
    }
    else {
        Http_RespondError(self->ready, request->id, ERR_NO_ROUTES,
                          "routes or companions are not known yet, or the "
                          "process is being stopped",
                          DISPATCHER_RETRY_MS);
    }
}

static const Http_Route ready_routes[] = {
    {"/", serve_ready},
    {NULL, NULL},
};

QueueCounts *
LeasedEntry_Waiting(const Leased_Entry *self)
{
    QueueCounts *counts = QueueCounts_New();

    Dispatcher_AddWaiting(self->dispatcher, counts);
    Keeper_AddWaiting(self->keeper, counts);
    return counts;
}

static uint64_t
incarnation_of(const Leased_Entry *self, Address companion)
{
    const Fleet_Host *host = Dispatcher_Host(self->dispatcher, companion);

    return host == NULL ? 0 : host->node.incarnation;
}

static void
take_report(Leased_Entry *self, int64_t now, const lc_report_args *args)
{
    uint64_t before = incarnation_of(self, args->host.node.address);

    Dispatcher_OnReport(self->dispatcher, now, args);
    if (incarnation_of(self, args->host.node.address) != before) {
        Keeper_OnHost(self->keeper, now);
    }
}

static void
answer_report(Leased_Entry *self, int64_t now, uint64_t reply_id,
              const lc_report_args *args)
{
    Msg_Reply reply = {.kind = MSG_REPORT};
    GArray *live = LeasedGossip_Known(self);

    reply.u.report.entry = Dispatcher_Node(self->dispatcher);
    reply.u.report.gap_ms = Dispatcher_ReportGapMs(self->dispatcher);
    reply.u.report.hall = (char *)(uintptr_t)self->process.options->hall;
    reply.u.report.all = Keeper_NeedsAll(self->keeper);
    if (args->known != Peers_Digest(live)) {
        reply.u.report.entries.entries_len = live->len;
        reply.u.report.entries.entries_val = (u_quad_t *)(void *)live->data;
    }
    Closures_Tell(Dispatcher_Closures(self->dispatcher), now,
                  &reply.u.report.closures);
    Process_PortReply(&self->process, reply_id, &reply);
    g_array_unref(live);
    take_report(self, now, args);
}

/* ---- the role ---- */

static void
note_ready(Leased_Entry *self)
{
    bool ready = is_ready(self);

    if (ready != self->was_ready) {
        self->was_ready = ready;
        Event_Log(EVENT_READY, "%s: routes version %lld, %u companions",
                  ready ? "yes" : "no", (long long)LeasedRoutes_Version(self),
                  Dispatcher_ReadyHosts(self->dispatcher, self->awake_ms));
    }
}

static void
offer_delegates(Leased_Entry *self, int64_t now)
{
    GArray *live;

    Dispatcher_SetRoutesVersion(self->dispatcher, LeasedRoutes_Version(self));
    if (Dispatcher_WantsDelegates(self->dispatcher, now)) {
        live = Peers_Live(&self->peers, now, 0);
        Dispatcher_OfferDelegates(
            self->dispatcher, (const Address *)(void *)live->data, live->len);
        g_array_unref(live);
    }
}

static void
role_tick(Process *process)
{
    Leased_Entry *self = (Leased_Entry *)process;
    int64_t now = LeasedEntry_Awake(self);

    Seeds_Refresh(&self->seeds, &self->peers, now);
    LeasedRegistry_Tick(&self->registry, now);
    Peers_Forget(&self->peers, now);
    LeasedGossip_Tick(self, now);
    LeasedRoutes_Tick(self, now);
    LeasedStore_Tick(self, now);
    Keeper_Tick(self->keeper, now);
    KeyedLog_SetQuiet(self->kept_log, Keeper_IsQuiet(self->keeper),
                      StoreWait_Quiet(Peers_CountLive(&self->peers, now)));
    note_sent(self);
    offer_delegates(self, now);
    Dispatcher_SetWall(self->dispatcher, Process_Now().wall_ms - now);
    Dispatcher_Tick(self->dispatcher, now);
    note_ready(self);
}

static void
role_drain(Process *process)
{
    Leased_Entry *self = (Leased_Entry *)process;

    Event_Log(EVENT_STOPPING, "entry of leased jobs");
    self->stop_ms = LeasedEntry_Awake(self);
    process->end_by_ms = self->stop_ms + process->options->grace_ms -
                         STOP_MARGIN_MS;
    Dispatcher_EndBy(self->dispatcher, process->end_by_ms - LAST_ANSWERS_MS);
    Http_CloseAfterAnswers(self->callers);
    Keeper_Leave(self->keeper, self->stop_ms);
}

static bool
role_is_drained(const Process *process)
{
    const Leased_Entry *self = (const Leased_Entry *)process;
    int64_t since = Process_Now().mono_ms - self->stop_ms;

    if (self->stop_ms == 0 || since < STOP_LEAST_MS) {
        return false;
    }
    return Http_Unanswered(self->callers) == 0 &&
           Keeper_IsIdle(self->keeper) && Dispatcher_IsIdle(self->dispatcher);
}

static json_t *
role_dump(const Process *process)
{
    const Leased_Entry *self = (const Leased_Entry *)process;
    json_t *state = Dispatcher_Dump(self->dispatcher, Process_Now().mono_ms);

    json_object_set_new(state, "kept",
                        Keeper_Dump(self->keeper, Process_Now().mono_ms));
    json_object_set_new(state, "routes_version",
                        json_integer(LeasedRoutes_Version(self)));
    json_object_set_new(state, "ready", json_boolean(is_ready(self)));
    return state;
}

static Counters *
role_counters(Process *process)
{
    return Dispatcher_Counters(((Leased_Entry *)process)->dispatcher);
}

static void
role_metrics(Process *process, GString *out)
{
    const Leased_Entry *self = (const Leased_Entry *)process;
    int64_t now = Process_Now().mono_ms;

    Dispatcher_Metrics(self->dispatcher, now, out);
    Keeper_Metrics(self->keeper, now, out);
    g_string_append_printf(out,
                           "levercove_ready %d\n"
                           "levercove_routes_version %lld\n"
                           "levercove_routes_age_seconds %lld\n"
                           "levercove_store_answers %d\n"
                           "levercove_entries_known %u\n",
                           is_ready(self),
                           (long long)LeasedRoutes_Version(self),
                           (long long)(now - self->routes_ms) / 1000,
                           self->store_answers, self->peers.rows->len);
}

static bool
role_call(Process *process, uint64_t reply_id, const Msg_Call *call)
{
    Leased_Entry *self = (Leased_Entry *)process;
    int64_t now = LeasedEntry_Awake(self);

    switch (call->kind) {
    case MSG_REPORT:
        answer_report(self, now, reply_id, &call->u.report);
        return true;
    case MSG_GOSSIP:
        LeasedGossip_Answer(self, reply_id, &call->u.gossip);
        return true;
    case MSG_ROUTES:
        LeasedRoutes_Answer(self, reply_id, &call->u.routes);
        return true;
    case MSG_STORE:
        LeasedStore_AnswerCall(self, reply_id, &call->u.store);
        return true;
    case MSG_FORWARD:
        Dispatcher_OnForward(
            self->dispatcher, now, reply_id, &call->u.forward,
            self->routes == NULL
                ? NULL
                : Route_Named(self->routes, call->u.forward.queue));
        return true;
    case MSG_EXTEND:
        Dispatcher_OnExtend(self->dispatcher, now, reply_id, &call->u.extend);
        return true;
    case MSG_WITHDRAW:
        LeasedCallers_AnswerWithdraw(self, now, reply_id, &call->u.withdraw);
        return true;
    default:
        return false;
    }
}

static void
role_reply(Process *process, uint64_t call_id, const Msg_Reply *reply)
{
    Leased_Entry *self = (Leased_Entry *)process;
    int64_t now = LeasedEntry_Awake(self);
    Peers_Row *peer;

    if ((call_id & LEASED_KEEPER_CALL) != 0) {
        Keeper_OnReply(self->keeper, now, call_id & ~LEASED_KEEPER_CALL,
                       reply);
        return;
    }
    if ((call_id & LEASED_OWN_CALL) == 0) {
        Dispatcher_OnReply(self->dispatcher, now, call_id, reply);
        return;
    }
    if (LeasedStore_TakeReply(self, call_id, reply) ||
        LeasedRoutes_TakeReply(self, now, call_id, reply)) {
        return;
    }
    peer = Peers_OfCall(&self->peers, call_id);
    if (peer == NULL) {
        LeasedCallers_TakeWithdraw(self, call_id, reply);
        return;
    }
    peer->call_id = 0;
    if (reply != NULL && reply->kind == MSG_GOSSIP) {
        LeasedGossip_Take(self, peer->asked_ms, &reply->u.gossip);
    }
}

static const Process_Role leased_entry_role = {
    role_tick,     role_drain,   role_is_drained, role_dump,
    role_counters, role_metrics, role_call,       role_reply,
};

static Dispatcher *
new_dispatcher(Leased_Entry *self, const Options *options)
{
    Term_Bounds bounds = {options->resubmit_ms, options->hold_max_ms,
                          options->stop_ms, PROCESS_TICK_MS};
    Dispatcher_Config config = {.node = Process_NewNode(options),
                                .link_mbps = options->link_mbps,
                                .join_runs = options->link_mbps > 0,
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
open_servers(Leased_Entry *self, uv_loop_t *loop, const Options *options,
             Status *status)
{
    self->callers = Http_NewServer(loop, options->callers, caller_routes, self,
                                   status);
    if (self->callers == NULL) {
        return status->kind;
    }
    Http_WatchCallers(self->callers, LeasedCallers_Gone);
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
    Leased_Entry *self = g_new0(Leased_Entry, 1);
    uv_loop_t *loop = uv_default_loop();
    Status status = {ERR_OK, ""};
    int code = Err_Exit(ERR_IO);

    self->cancels = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                          NULL);
    self->relayed = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                          g_free);
    self->store_back_ms = INT64_MIN / 2;
    Peers_Init(&self->peers, options->rpc);
    Seeds_Init(&self->seeds, options);
    uv_timer_init(loop, &self->resume_timer);
    self->resume_timer.data = self;
    uv_timer_init(loop, &self->link_timer);
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
    self->http = Http_NewClient(loop);
    Http_CountSilent(self->http, role_counters(&self->process));
    Http_KeepAlive(self->http, options->store, STORE_CONNECTIONS, true);
    LeasedKept_Open(self, options);
    if (open_servers(self, loop, options, &status) != ERR_OK) {
        Event_Log(EVENT_LISTEN_FAILED, "%s", status.message);
        goto done;
    }
    LeasedRoutes_Open(self, options);
    LeasedRegistry_Open(&self->registry, loop, options->rpc, options->store,
                        options->hall, &self->peers);
    LeasedRegistry_Tick(&self->registry, self->awake_ms);
    Rpc_KeepAlive(self->process.rpc, PROCESS_SILENCE_MS);
    code = Process_Run(&self->process);
done:
    if (self->keeper != NULL) {
        Keeper_Free(self->keeper);
    }
    if (self->dispatcher != NULL) {
        Dispatcher_Free(self->dispatcher);
    }
    LeasedRoutes_Close(self);
    Peers_Clear(&self->peers);
    g_hash_table_unref(self->cancels);
    g_hash_table_unref(self->relayed);
    /* The loop's handles live in `self`; the process ends here. */
    return code;
}

#include "daemon/leased_entry.h"

#include <glib.h>
#include <string.h>

#include "daemon/leased_entry_state.h"
#include "lease/store_poll.h"
#include "platform/caller_api.h"

/* The loop wakes up every PROCESS_TICK_MS. A gap longer than this means that
 * the process was stalled; the input that waited meanwhile is then read before
 * any task is started. */
#define STALL_MS 200
/* Dispatching resumes this long after a stall was noticed. */
#define RESUME_DELAY_MS 40
/* An entry counts as ready without companions for this long after its start.
 */
#define STARTUP_READY_MS 2000
#define STORE_CONNECTIONS 4
/* Least duration of a graceful shutdown: new connections still arrive for some
 * time after the load balancer has been told that this entry is not ready. */
#define STOP_MIN_MS 2500
/* A graceful shutdown ends this long before the kill. */
#define STOP_MARGIN_MS 500
/* Jobs still open this long before that end are given up: four ticks, so that
 * their answers are sent in time. */
#define FINAL_ANSWERS_MS 200
#define STATUS_OK 200
#define NS_PER_MS 1000000
/* A pass over the input that takes this long is logged. */
#define SLOW_PASS_MS 100
/* A lease may be extended for this long after its caller has left: less than
 * the rounding that LeaseTiming_Derive allows for. */
#define MAX_INPUT_AGE_MS 5

static void
on_resume(uv_timer_t *timer)
{
    Leased_Entry *self = timer->data;

    self->stalled = false;
    self->last_input_ms = Process_Now().mono_ms;
    HttpServer_CheckClients(self->callers);
    Dispatcher_Resume(self->dispatcher);
}

int64_t
LeasedEntry_OnInput(Leased_Entry *self)
{
    int64_t now = Process_Now().mono_ms;

    if (now - self->last_input_ms > STALL_MS) {
        Event_Log(EVENT_STOOD_STILL, "for %d ms",
                  (int)(now - self->last_input_ms));
        Dispatcher_Pause(self->dispatcher);
        self->stalled = true;
        /* The loop's time is from before the stall: the timer would be due
         * before the input is read. */
        uv_update_time(self->process.loop);
        uv_timer_start(&self->resume_timer, on_resume, RESUME_DELAY_MS, 0);
    }
    self->last_input_ms = now;
    return now;
}

/* Reports to the dispatcher the bytes sent since the last call for anything
 * but starts of tasks: answers, lease renewals, gossip. */
static void
report_sent_bytes(Leased_Entry *self)
{
    const Rpc_Traffic *traffic = Rpc_GetTraffic(self->process.rpc);
    const Counters *counters = Dispatcher_Counters(self->dispatcher);
    uint64_t all = counters->value[COUNTER_RPC_BYTES_OUT] +
                   HttpServer_BytesOut(self->callers);
    uint64_t starts = traffic->call_bytes_out[MSG_RUN] +
                      traffic->call_bytes_out[MSG_RUNS];
    uint64_t others = all > starts ? all - starts : 0;

    if (others > self->non_start_bytes) {
        Dispatcher_AddSentBytes(self->dispatcher,
                                (int64_t)(others - self->non_start_bytes));
        self->non_start_bytes = others;
    }
}

static void
on_link_timer(uv_timer_t *timer)
{
    (void)timer; /* on_after_poll runs after this */
}

/* Wakes the loop when starts that wait for the link may be sent. */
static void
arm_link_timer(Leased_Entry *self)
{
    int64_t due_ms = Dispatcher_NextDispatchMs(self->dispatcher);

    if (due_ms < INT64_MAX) {
        int64_t wait_ms = MAX(due_ms - self->last_input_ms, 1);
        uv_timer_start(&self->link_timer, on_link_timer, (uint64_t)wait_ms, 0);
    }
}

/* Time since the last poll for input has returned: input that has come since
 * then is still unread. */
static int64_t
input_age_ms(const Leased_Entry *self)
{
    return (int64_t)(uv_hrtime() / NS_PER_MS) - self->polled_ms;
}

/* Records how long it has taken to read the input that the last poll found. */
static void
record_input_pass(Leased_Entry *self)
{
    int64_t pass_ms;

    self->polled_ms = (int64_t)uv_now(self->process.loop);
    pass_ms = input_age_ms(self);
    Histogram_Add(&self->input_passes, pass_ms);
    if (pass_ms >= SLOW_PASS_MS) {
        Event_Log(EVENT_INPUT_LAGS, "after %d ms", (int)pass_ms);
    }
}

/* To be called before tasks are started, which rests on the callers' being
 * there, after the time has been read from which their leases count. */
static void
check_callers(Leased_Entry *self)
{
    if (input_age_ms(self) > MAX_INPUT_AGE_MS) {
        HttpServer_CheckClients(self->callers);
    }
}

/* All input at hand has been read. The process may have been stalled since. */
static void
on_after_poll(uv_check_t *check)
{
    Leased_Entry *self = check->data;
    int64_t now;

    record_input_pass(self);
    now = LeasedEntry_OnInput(self);
    check_callers(self);
    Rpc_ReportLostCalls(self->process.rpc);
    Dispatcher_DispatchWaiting(self->dispatcher, now);
    arm_link_timer(self);
    DurableJobs_Flush(self->durable_jobs, self->last_input_ms);
}

/* ---- ports of the dispatcher ---- */

static void
port_answer(void *context, uint64_t request, const Dispatcher_Answer *answer)
{
    Leased_Entry *self = context;
    char *body = CallerApi_AnswerBody(answer);

    HttpServer_RespondJson(self->callers, request,
                           CallerApi_AnswerStatus(answer), answer->retry_ms,
                           body);
    g_free(body);
}

/* Adds the version of the routes in force, on which the decision rests. */
static void
port_event(void *context, Event_Id id, json_t *fields)
{
    const Leased_Entry *self = context;

    json_object_set_new(fields, "routes_version",
                        json_integer(LeasedRoutes_Version(self)));
    Process_PortEventFields(context, id, fields);
}

static const Dispatcher_Ports dispatch_ports = {
    .call = Process_PortCall,
    .reset = Process_PortReset,
    .answer = port_answer,
    .event = port_event,
    .on_durable_run_end = LeasedDurable_OnRunEnd,
    .on_durable_run_crash = LeasedDurable_OnUpstreamCrash,
    .on_durable_job_end = LeasedDurable_OnJobEnd,
    .runs = Process_PortRuns,
    .reply = Process_PortReply,
};

static const HttpServer_Route caller_routes[] = {
    {"/", LeasedJobsApi_Serve},
    {NULL, NULL},
};

/* ---- readiness ---- */

/* Companions report a moment after the start: an entry that has the routes by
 * then is ready without them, as the load balancer would otherwise skip it for
 * a second. */
static bool
is_ready(const Leased_Entry *self)
{
    bool starting = self->last_input_ms - self->started_ms < STARTUP_READY_MS;

    return self->stop_requested_ms == 0 && self->routes != NULL &&
           !self->stalled &&
           (starting || Dispatcher_HealthyHosts(self->dispatcher,
                                                self->last_input_ms) > 0);
}

static void
serve_ready(void *context, const HttpServer_Request *request)
{
    Leased_Entry *self = context;

    LeasedEntry_OnInput(self);
    if (is_ready(self)) {
        HttpServer_RespondJson(self->ready, request->id, STATUS_OK, 0, "{}");
    }
    else {
        HttpServer_RespondError(
            self->ready, request->id, ERR_NO_ROUTES,
            "routes or companions are not known yet, or the "
            "process is stopping",
            DISPATCHER_RETRY_MS);
    }
}

static const HttpServer_Route ready_routes[] = {
    {"/", serve_ready},
    {NULL, NULL},
};

QueueCounts *
LeasedEntry_CountWaiting(const Leased_Entry *self)
{
    QueueCounts *counts = QueueCounts_New();

    Dispatcher_AddWaiting(self->dispatcher, counts);
    DurableJobs_CountWaiting(self->durable_jobs, counts);
    return counts;
}

static uint64_t
incarnation_of(const Leased_Entry *self, Address companion)
{
    const Fleet_Host *host = Dispatcher_Host(self->dispatcher, companion);

    return host == NULL ? 0 : host->node.incarnation;
}

static void
apply_report(Leased_Entry *self, int64_t now, const lc_report_args *args)
{
    uint64_t before = incarnation_of(self, args->host.node.address);

    Dispatcher_OnReport(self->dispatcher, now, args);
    if (incarnation_of(self, args->host.node.address) != before) {
        DurableJobs_OnHost(self->durable_jobs, now);
    }
}

static void
answer_report(Leased_Entry *self, int64_t now, uint64_t reply_id,
              const lc_report_args *args)
{
    Msg_Reply reply = {.kind = MSG_REPORT};
    GArray *live = LeasedGossip_LiveEntries(self);

    apply_report(self, now, args);
    reply.u.report.entry = Dispatcher_Node(self->dispatcher);
    reply.u.report.gap_ms = Dispatcher_ReportIntervalMs(self->dispatcher);
    reply.u.report.hall = (char *)(uintptr_t)self->process.options->hall;
    reply.u.report.all = DurableJobs_NeedsAllReports(self->durable_jobs);
    if (args->known != Peers_Digest(live)) {
        reply.u.report.entries.entries_len = live->len;
        reply.u.report.entries.entries_val = (u_quad_t *)(void *)live->data;
    }
    HallClosures_FillMessage(Dispatcher_Closures(self->dispatcher), now,
                             &reply.u.report.closures);
    reply.u.report.late_starts_version = Dispatcher_LateStartsVersion(
        self->dispatcher, &args->host.node);
    Process_PortReply(&self->process, reply_id, &reply);
    g_array_unref(live);
}

/* ---- the role ---- */

static void
log_readiness(Leased_Entry *self)
{
    bool ready = is_ready(self);

    if (ready != self->logged_ready) {
        self->logged_ready = ready;
        Event_Log(EVENT_READY, "%s: routes version %lld, %u companions",
                  ready ? "yes" : "no", (long long)LeasedRoutes_Version(self),
                  Dispatcher_SchedulableHosts(self->dispatcher,
                                              self->last_input_ms));
    }
}

static void
set_delegate_candidates(Leased_Entry *self, int64_t now)
{
    GArray *live;

    if (Dispatcher_WantsDelegates(self->dispatcher, now)) {
        live = Peers_ListLive(&self->peers, now, 0);
        Dispatcher_OfferDelegates(
            self->dispatcher, (const Address *)(void *)live->data, live->len);
        g_array_unref(live);
    }
}

static void
role_tick(Process *process)
{
    Leased_Entry *self = (Leased_Entry *)process;
    int64_t now = LeasedEntry_OnInput(self);

    Seeds_Refresh(&self->seeds, &self->peers, now);
    RegistrySync_Tick(&self->registry, now);
    Peers_Expire(&self->peers, now);
    LeasedGossip_Tick(self, now);
    LeasedRoutes_Tick(self, now);
    LeasedStore_Tick(self, now);
    DurableJobs_Tick(self->durable_jobs, now);
    KeyedLog_SetIdle(
        self->durable_log, DurableJobs_IsLogUnused(self->durable_jobs),
        StorePoll_IdleLogWaitMs(Peers_CountLive(&self->peers, now)));
    report_sent_bytes(self);
    set_delegate_candidates(self, now);
    Dispatcher_SetWallOffset(self->dispatcher, Process_Now().wall_ms - now);
    HttpServer_CheckClients(self->callers);
    Rpc_ReportLostCalls(self->process.rpc);
    Dispatcher_Tick(self->dispatcher, now);
    log_readiness(self);
}

static void
role_drain(Process *process)
{
    Leased_Entry *self = (Leased_Entry *)process;

    Event_Log(EVENT_STOPPING, "entry of leased jobs");
    self->stop_requested_ms = LeasedEntry_OnInput(self);
    process->stop_deadline_ms = self->stop_requested_ms +
                                process->options->grace_ms - STOP_MARGIN_MS;
    Dispatcher_SetShutdownTime(self->dispatcher,
                               process->stop_deadline_ms - FINAL_ANSWERS_MS);
    HttpServer_CloseAfterResponses(self->callers);
    DurableJobs_HandOver(self->durable_jobs, self->stop_requested_ms);
}

static bool
role_is_drained(const Process *process)
{
    const Leased_Entry *self = (const Leased_Entry *)process;
    int64_t since = Process_Now().mono_ms - self->stop_requested_ms;

    if (self->stop_requested_ms == 0 || since < STOP_MIN_MS) {
        return false;
    }
    return HttpServer_UnansweredCount(self->callers) == 0 &&
           DurableJobs_IsIdle(self->durable_jobs) &&
           Dispatcher_IsIdle(self->dispatcher);
}

static json_t *
role_dump(const Process *process)
{
    const Leased_Entry *self = (const Leased_Entry *)process;
    json_t *state = Dispatcher_Dump(self->dispatcher, Process_Now().mono_ms);

    json_object_set_new(
        state, "kept",
        DurableJobs_Dump(self->durable_jobs, Process_Now().mono_ms));
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
    Histogram_Print(&self->input_passes, "input_pass", "", out);
    DurableJobs_Metrics(self->durable_jobs, now, out);
    g_string_append_printf(out,
                           "levercove_ready %d\n"
                           "levercove_routes_version %lld\n"
                           "levercove_routes_age_seconds %lld\n"
                           "levercove_store_answers %d\n"
                           "levercove_entries_known %u\n",
                           is_ready(self),
                           (long long)LeasedRoutes_Version(self),
                           (long long)(now - self->routes_applied_ms) / 1000,
                           self->store_answers, self->peers.rows->len);
}

static bool
role_call(Process *process, uint64_t reply_id, const Msg_Call *call)
{
    Leased_Entry *self = (Leased_Entry *)process;
    int64_t now = LeasedEntry_OnInput(self);

    switch (call->kind) {
    case MSG_REPORT:
        answer_report(self, now, reply_id, &call->u.report);
        return true;
    case MSG_GOSSIP:
        LeasedGossip_OnCall(self, reply_id, &call->u.gossip);
        return true;
    case MSG_ROUTES:
        LeasedRoutes_OnCall(self, reply_id, &call->u.routes);
        return true;
    case MSG_STORE:
        LeasedStore_OnCall(self, reply_id, &call->u.store);
        return true;
    case MSG_FORWARD:
        Dispatcher_OnForward(self->dispatcher, now, reply_id,
                             &call->u.forward);
        return true;
    case MSG_EXTEND:
        Dispatcher_OnExtend(self->dispatcher, now, reply_id, &call->u.extend);
        return true;
    case MSG_WITHDRAW:
        LeasedJobsApi_OnWithdraw(self, now, reply_id, &call->u.withdraw);
        return true;
    default:
        return false;
    }
}

static void
role_reply(Process *process, uint64_t call_id, const Msg_Reply *reply)
{
    Leased_Entry *self = (Leased_Entry *)process;
    int64_t now = LeasedEntry_OnInput(self);
    Peers_Row *peer;

    if ((call_id & LEASED_DURABLE_CALL_FLAG) != 0) {
        DurableJobs_OnReply(self->durable_jobs, now,
                            call_id & ~LEASED_DURABLE_CALL_FLAG, reply);
        return;
    }
    if ((call_id & LEASED_ENTRY_CALL_FLAG) == 0) {
        Dispatcher_OnReply(self->dispatcher, now, call_id, reply);
        return;
    }
    if (LeasedStore_OnReply(self, call_id, reply) ||
        LeasedRoutes_OnReply(self, now, call_id, reply)) {
        return;
    }
    peer = Peers_FindByCall(&self->peers, call_id);
    if (peer == NULL) {
        LeasedJobsApi_OnWithdrawReply(self, call_id, reply);
        return;
    }
    peer->call_id = 0;
    if (reply != NULL && reply->kind == MSG_GOSSIP) {
        LeasedGossip_OnReply(self, peer->call_sent_ms, &reply->u.gossip);
    }
}

static const Process_Role leased_entry_role = {
    role_tick,     role_drain,   role_is_drained, role_dump,
    role_counters, role_metrics, role_call,       role_reply,
};

static Dispatcher *
new_dispatcher(Leased_Entry *self, const Options *options)
{
    LeaseTiming_Bounds bounds = {options->resubmit_ms, options->hold_max_ms,
                                 options->stop_ms, PROCESS_TICK_MS};
    Dispatcher_Config config = {.node = Process_NewNode(options),
                                .link_mbps = options->link_mbps,
                                .join_runs = options->link_mbps > 0,
                                .max_jobs = (uint32_t)options->max_jobs};

    g_strlcpy(config.hall, options->hall, sizeof(config.hall));
    if (!LeaseTiming_Derive(&bounds, &config.timing)) {
        return NULL;
    }
    self->last_input_ms = Process_Now().mono_ms;
    self->started_ms = self->last_input_ms;
    return Dispatcher_New(&config, &dispatch_ports, self, self->last_input_ms);
}

static Err_Kind
open_servers(Leased_Entry *self, uv_loop_t *loop, const Options *options,
             Status *status)
{
    HttpServer_Limits limits = {.clients = self->process.clients,
                                .max_body_bytes = ROUTE_DEFAULT_BODY_BYTES};

    self->callers = HttpServer_NewLimited(loop, options->callers, &limits,
                                          caller_routes, self, status);
    if (self->callers == NULL) {
        return status->kind;
    }
    HttpServer_SetDisconnectHandler(self->callers,
                                    LeasedJobsApi_OnCallerDisconnect);
    limits.max_body_bytes = HTTP_NO_BODY_BYTES;
    self->ready = HttpServer_NewLimited(loop, options->ready, &limits,
                                        ready_routes, self, status);
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
    int code = Err_ExitCode(ERR_IO);

    self->pending_cancels = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                                  g_free, NULL);
    self->relayed_calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                                g_free, g_free);
    self->store_recovered_ms = INT64_MIN / 2;
    self->process.clients = Process_NewClientLimits(options);
    Peers_Init(&self->peers, options->rpc);
    Seeds_Init(&self->seeds, options);
    uv_timer_init(loop, &self->resume_timer);
    self->resume_timer.data = self;
    uv_timer_init(loop, &self->link_timer);
    uv_check_init(loop, &self->after_poll);
    self->after_poll.data = self;
    uv_check_start(&self->after_poll, on_after_poll);
    self->dispatcher = new_dispatcher(self, options);
    if (self->dispatcher == NULL) {
        Event_Log(EVENT_BAD_SETTINGS, "times.resubmit_ms is too short for any "
                                      "lease");
        code = Err_ExitCode(ERR_BAD_SETTINGS);
        goto done;
    }
    self->http = HttpClient_New(loop);
    HttpClient_SetCounters(self->http, role_counters(&self->process));
    HttpClient_KeepAlive(self->http, options->store, STORE_CONNECTIONS, true);
    LeasedDurable_Open(self, options);
    if (open_servers(self, loop, options, &status) != ERR_OK) {
        Event_Log(EVENT_LISTEN_FAILED, "%s", status.message);
        goto done;
    }
    LeasedRoutes_Open(self, options);
    RegistrySync_Open(&self->registry, loop, options->rpc, options->store,
                      options->hall, &self->peers);
    RegistrySync_Tick(&self->registry, self->last_input_ms);
    Rpc_EnableKeepAlive(self->process.rpc, PROCESS_KEEPALIVE_TIMEOUT_MS);
    code = Process_Run(&self->process);
done:
    if (self->durable_jobs != NULL) {
        DurableJobs_Free(self->durable_jobs);
    }
    if (self->dispatcher != NULL) {
        Dispatcher_Free(self->dispatcher);
    }
    LeasedRoutes_Close(self);
    Peers_Clear(&self->peers);
    g_hash_table_unref(self->pending_cancels);
    g_hash_table_unref(self->relayed_calls);
    /* `self` is not freed: it holds the loop's handles, and the process ends
     * here. */
    return code;
}

#include "daemon/leased_companion.h"

#include <glib.h>
#include <string.h>

#include "base/clock.h"
#include "daemon/process.h"
#include "daemon/registry_sync.h"
#include "daemon/seeds.h"
#include "lease/partial_view.h"
#include "lease/peers.h"
#include "lease/runner.h"
#include "platform/store_follower.h"
#include "platform/upstream_api.h"

/* Timeout of a request to the upstream, beyond the time for which the request
 * itself lets the answer wait. The runner sends the request again long before:
 * a late answer still counts and leaves the connection usable. Longer than the
 * longest timeout of RtoEstimator. */
#define ANSWER_TIMEOUT_MS 250
/* Connections to the upstream that are kept open between requests. */
#define MAX_CONNECTIONS 16
/* Interval of reports to an entry while nothing changes: this times the number
 * of entries, within the bounds below. */
#define REPORT_IDLE_PER_ENTRY_MS 80
#define REPORT_IDLE_MIN_MS 500
#define REPORT_IDLE_MAX_MS 3000
/* Where a companion does not report to all entries, the interval of reports of
 * changes to entries of other halls is multiplied by this: they start tasks
 * here only when their own hall is full. */
#define REPORT_OTHER_HALL_FACTOR 4
/* Interval at which the entries that get reports are chosen again; far below
 * the time after which a silent entry leaves the others' lists (8 s). */
#define VIEW_REFRESH_MS 500
/* An entry that needs the reports of every companion says so in each answer;
 * this is how long that holds: three times the longest report interval. */
#define REPORT_ALL_MS 9000
/* A graceful shutdown ends this long before the kill. */
#define STOP_MARGIN_MS 700
#define STATUS_OK 200
/* Heartbeats have some hundred bytes, and more with many labels. */
#define MAX_HEARTBEAT_BYTES ((size_t)65536)
/* The closed halls are read from the store when no entry has confirmed them
 * for this part of times.close_ms; the rest of that time is left for the read.
 * Entries confirm what they read up to 2 s ago, as the store holds a read for
 * 1 s: at 50 % of 5,000 ms, 65 idle companions with 11 entries read the store
 * 18 times a second. */
#define CLOSURES_STALE_PERCENT 75
#define PERCENT 100

typedef struct {
    Process process; /* first, see Process */
    Runner *runner;
    HttpClient *http;
    Http_Server *heartbeats;
    Peers peers;
    Seeds seeds;
    Registry_Sync registry;
    StoreFollower *halls_follower; /* NULL if no store is known */
    uv_timer_t report_timer;
    uv_timer_t overdue_timer; /* at overdue_check_ms, unless INT64_MAX */
    int64_t overdue_check_ms;
    uint64_t last_call_id;
    uint32_t left_out;           /* entries that get no reports */
    int64_t view_chosen_ms;      /* when the entries were last chosen */
    int64_t report_all_until_ms; /* until then all entries get reports */
    int64_t stop_requested_ms;   /* when the shutdown was requested, or 0 */
    Clock_SuspendTracker suspension;
} leased_companion;

/* A request to the upstream that has not been answered. */
typedef struct {
    leased_companion *owner;
    uint64_t id;
} request_context;

/* Current time. Must be called at every input: it reports a suspension of the
 * host to the runner before any input that waited meanwhile is read. */
static int64_t
now_ms(leased_companion *self)
{
    Clock_Reading reading = Clock_Read();
    int64_t suspended_ms = Clock_TakeSuspendedMs(&self->suspension, reading);

    if (suspended_ms > 0) {
        Event_Log(EVENT_SUSPENDED, "for %d ms", (int)suspended_ms);
        Runner_OnSuspended(self->runner, reading.now_ms, suspended_ms);
    }
    return reading.now_ms;
}

static void send_due_reports(leased_companion *self);
static Counters *role_counters(Process *process);
static void on_overdue_timer(uv_timer_t *timer);

/* Must be called after every input to the runner. */
static void
after_input(leased_companion *self)
{
    int64_t due = Runner_DueMs(self->runner);

    if (due < self->overdue_check_ms) {
        self->overdue_check_ms = due;
        uv_timer_start(&self->overdue_timer, on_overdue_timer,
                       (uint64_t)MAX(due - now_ms(self), 0), 0);
    }
    send_due_reports(self);
}

static void
on_overdue_timer(uv_timer_t *timer)
{
    leased_companion *self = timer->data;

    self->overdue_check_ms = INT64_MAX;
    Runner_CheckOverdue(self->runner, now_ms(self));
    after_input(self);
}

/* ---- orders ---- */

static void
send_order(leased_companion *self, uint64_t id, UpstreamApi_Order *order,
           int64_t send_by_ms, uint32_t timeout_ms, HttpClient_Written written,
           HttpClient_Done done)
{
    request_context *context = g_new0(request_context, 1);
    HttpClient_Request request = {.to = self->process.options->upstream,
                                  .method = "POST",
                                  .path = order->path,
                                  .headers = order->headers,
                                  .body = order->body,
                                  .length = order->length,
                                  .timeout_ms = timeout_ms,
                                  .send_by_ms = send_by_ms,
                                  .written = written};

    context->owner = self;
    context->id = id;
    HttpClient_Send(self->http, &request, done, context);
    UpstreamApi_ClearOrder(order);
}

/* An answer that does not tell what became of the order. */
static void
log_unclear_answer(const char *order, const HttpClient_Answer *answer,
                   Runner_OrderResult result)
{
    if (answer->end == HTTP_CLIENT_ANSWERED &&
        result == RUNNER_ORDER_UNANSWERED) {
        Event_Log(EVENT_ORDER_UNANSWERED,
                  "%s: unusable answer of %zu bytes, status %d", order,
                  answer->length, answer->status);
    }
}

static void
on_start_answer(void *item, const HttpClient_Answer *answer)
{
    request_context *context = item;
    leased_companion *self = context->owner;
    int64_t clock_ms;
    Runner_OrderResult end = UpstreamApi_OrderResult(answer, &clock_ms);

    log_unclear_answer("start", answer, end);
    Runner_OnStarted(self->runner, now_ms(self), context->id, end, clock_ms);
    g_free(context);
    after_input(self);
}

static void
on_stop_answer(void *item, const HttpClient_Answer *answer)
{
    request_context *context = item;
    leased_companion *self = context->owner;
    int64_t clock_ms;
    Runner_OrderResult end = UpstreamApi_OrderResult(answer, &clock_ms);

    log_unclear_answer("stop", answer, end);
    Runner_OnStopped(self->runner, now_ms(self), context->id, end, clock_ms);
    g_free(context);
    after_input(self);
}

static void
on_poll_written(void *item)
{
    const request_context *context = item;

    Runner_OnPollWritten(context->owner->runner, context->id);
}

static void
on_poll_answer(void *item, const HttpClient_Answer *answer)
{
    request_context *context = item;
    leased_companion *self = context->owner;
    UpstreamApi_Listing listing;

    UpstreamApi_ParseListing(answer, &listing);
    log_unclear_answer("poll", answer, listing.listing.end);
    Runner_OnPollAnswer(self->runner, now_ms(self), context->id,
                        &listing.listing);
    UpstreamApi_FreeListing(&listing);
    g_free(context);
    after_input(self);
}

static void
port_start(void *context, uint64_t id, const Runner_Start *start)
{
    UpstreamApi_Order order;

    UpstreamApi_StartOrder(start, &order);
    send_order(context, id, &order, start->send_by_ms, ANSWER_TIMEOUT_MS, NULL,
               on_start_answer);
}

static void
port_stop(void *context, uint64_t id, const lc_run_id *run,
          const char *instance, int64_t token)
{
    UpstreamApi_Order order;

    UpstreamApi_StopOrder(run, instance, token, &order);
    send_order(context, id, &order, 0, ANSWER_TIMEOUT_MS, NULL,
               on_stop_answer);
}

static void
port_poll(void *context, uint64_t id, const Runner_Poll *poll)
{
    UpstreamApi_Order order;

    UpstreamApi_PollOrder(poll, &order);
    send_order(context, id, &order, poll->send_by_ms,
               poll->wait_ms + ANSWER_TIMEOUT_MS, on_poll_written,
               on_poll_answer);
}

static const Runner_Ports runner_ports = {
    .start = port_start,
    .stop = port_stop,
    .poll = port_poll,
    .reply = Process_PortReply,
    .event = Process_PortEventFields,
};

/* ---- entries ---- */

/* Interval between reports while nothing changes, in ms. */
static int64_t
idle_interval_ms(const leased_companion *self)
{
    return Peers_CallIntervalMs(&self->peers, REPORT_IDLE_PER_ENTRY_MS,
                                REPORT_IDLE_MIN_MS, REPORT_IDLE_MAX_MS);
}

/* Whether an entry has yet to confirm the list of late starts. */
static bool
needs_late_starts(const leased_companion *self, int64_t now,
                  const Peers_Row *peer)
{
    uint32_t version = Runner_LateStartsVersion(self->runner, now);

    return version != 0 && peer->late_starts_version != version;
}

static void
send_report(leased_companion *self, int64_t now, Peers_Row *peer)
{
    Msg_Call call = {.kind = MSG_REPORT};

    if (!Runner_Report(self->runner, now, &call.u.report)) {
        return;
    }
    call.u.report.hall = (char *)(uintptr_t)self->process.options->hall;
    call.u.report.next_ms = (u_int)idle_interval_ms(self);
    call.u.report.known = self->peers.list_digest;
    if (!needs_late_starts(self, now, peer)) {
        call.u.report.late_starts_version = 0;
        call.u.report.late_starts.late_starts_len = 0;
    }
    peer->call_id = ++self->last_call_id;
    peer->call_sent_ms = now;
    peer->version_in_flight = Runner_Version(self->runner);
    peer->connected = true;
    Rpc_Call(self->process.rpc, peer->address, peer->call_id, &call);
}

static void
on_report_timer(uv_timer_t *timer)
{
    send_due_reports(timer->data);
}

/* Least interval between reports of changes, in ms. */
static int64_t
report_interval_ms(const leased_companion *self, const Peers_Row *peer)
{
    bool other_hall = self->left_out > 0 &&
                      strcmp(peer->hall, self->process.options->hall) != 0;

    return other_hall
               ? (int64_t)peer->report_interval_ms * REPORT_OTHER_HALL_FACTOR
               : peer->report_interval_ms;
}

/* While late starts are listed, all entries get reports, as callers may submit
 * the jobs at any of them; those outside the view only the list, and reports
 * at the interval without changes. */
static bool
gets_reports(const leased_companion *self, int64_t now, const Peers_Row *peer)
{
    return peer->chosen || Runner_LateStartsVersion(self->runner, now) != 0;
}

/* Time in ms until the next report to a peer: 0 for now, -1 if no timer is
 * needed, as a tick or the answer of an open call triggers it. */
static int64_t
report_delay_ms(const leased_companion *self, int64_t now,
                const Peers_Row *peer)
{
    int64_t interval = report_interval_ms(self, peer);
    int64_t since = now - peer->call_sent_ms;

    if (peer->call_id != 0 || !gets_reports(self, now, peer)) {
        return -1;
    }
    if (!Peers_IsLive(peer, now)) {
        return since >= Peers_CallTimeoutMs(peer, now) ? 0 : -1;
    }
    if (needs_late_starts(self, now, peer)) {
        return MAX((int64_t)peer->report_interval_ms - since, 0);
    }
    if (!peer->chosen ||
        peer->confirmed_version == Runner_Version(self->runner)) {
        return since >= idle_interval_ms(self) ? 0 : -1;
    }
    return since >= interval ? 0 : interval - since;
}

/* Closes the connections to entries that get no reports any more, so that an
 * entry holds only connections of companions that report to it. */
static void
close_unselected(const leased_companion *self, int64_t now)
{
    guint i;

    for (i = 0; i < self->peers.rows->len; i++) {
        Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        if (!gets_reports(self, now, peer) && peer->connected &&
            peer->call_id == 0) {
            peer->connected = false;
            Rpc_Disconnect(self->process.rpc, peer->address);
        }
    }
}

static void
choose_view(leased_companion *self, int64_t now)
{
    self->view_chosen_ms = now;
    self->left_out = PartialView_Choose(
        &self->peers, now, self->process.options->rpc,
        self->process.options->hall, now < self->report_all_until_ms);
    close_unselected(self, now);
}

static void
send_due_reports(leased_companion *self)
{
    int64_t now = now_ms(self);
    int64_t next = -1;
    guint i;

    for (i = 0; i < self->peers.rows->len; i++) {
        Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        int64_t due = report_delay_ms(self, now, peer);
        if (due == 0) {
            send_report(self, now, peer);
        }
        else if (due > 0 && (next < 0 || due < next)) {
            next = due;
        }
    }
    if (next > 0 && !uv_is_active((uv_handle_t *)&self->report_timer)) {
        uv_timer_start(&self->report_timer, on_report_timer, (uint64_t)next,
                       0);
    }
}

/* The list of entries was read from the registry. */
static void
on_entries_read(void *context)
{
    leased_companion *self = context;

    choose_view(self, now_ms(self));
    send_due_reports(self);
}

static void
reset_unanswered(leased_companion *self, int64_t now)
{
    guint i;

    for (i = 0; i < self->peers.rows->len; i++) {
        const Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        if (peer->call_id != 0 &&
            now - peer->call_sent_ms >= Peers_CallTimeoutMs(peer, now)) {
            Rpc_Disconnect(self->process.rpc, peer->address);
        }
    }
}

static void
apply_report_reply(leased_companion *self, Peers_Row *peer,
                   const lc_report_res *result)
{
    int64_t now = now_ms(self);
    bool all = now < self->report_all_until_ms;

    Runner_MergeClosures(self->runner, now, peer->call_sent_ms,
                         &result->closures, Address_Text(peer->address));
    peer->confirmed_version = peer->version_in_flight;
    peer->report_interval_ms = result->gap_ms;
    peer->late_starts_version = result->late_starts_version;
    if (Peers_MarkAlive(&self->peers, peer->address, now)) {
        Event_Log(EVENT_PEER_FOUND, "%s", Address_Text(peer->address));
    }
    Peers_SetHall(&self->peers, peer->address, result->hall);
    if (result->entries.entries_len == 0) {
        Peers_ConfirmList(&self->peers, now);
    }
    else {
        Peers_ReplaceList(&self->peers, result->entries.entries_val,
                          result->entries.entries_len, now);
    }
    if (result->all) {
        self->report_all_until_ms = now + REPORT_ALL_MS;
    }
    if (result->entries.entries_len > 0 || all != result->all) {
        choose_view(self, now);
    }
}

/* ---- closed halls ---- */

static void
on_closures(void *context, int64_t requested_ms, const lc_closures *received)
{
    leased_companion *self = context;

    Runner_MergeClosures(self->runner, now_ms(self), requested_ms, received,
                         "the store");
}

static const StoreFollower_Ports halls_ports = {.closures = on_closures};

/* Reads the closed halls from the store once they are stale. Entries normally
 * send them with their answers to reports; if all entries that this companion
 * reaches are cut off from the store and from other entries, only the store
 * is left. */
static void
confirm_closures(leased_companion *self, int64_t now)
{
    const HallClosures *closures = Runner_Closures(self->runner);
    int64_t age = HallClosures_AgeMs(closures, now);
    lc_closures known;

    if (self->halls_follower == NULL || age < self->process.options->close_ms *
                                                  CLOSURES_STALE_PERCENT /
                                                  PERCENT) {
        return;
    }
    HallClosures_FillMessage(closures, now, &known);
    if (StoreFollower_ReadOnce(self->halls_follower, &known)) {
        Event_Log(EVENT_HALLS_UNSURE,
                  "not confirmed for %lld ms; reading them from the store",
                  (long long)age);
    }
}

/* ---- requests of the upstream ---- */

static void
handle_heartbeat(leased_companion *self, const HttpServer_Request *request,
                 const char *instance)
{
    UpstreamApi_Heartbeat heartbeat;
    Status status = {ERR_OK, ""};
    char text[sizeof(status.message) + LC_MAX_NAME];

    if (UpstreamApi_ParseHeartbeat(instance, request->body, request->length,
                                   &heartbeat, &status) != ERR_OK) {
        Counter_Add(role_counters(&self->process), COUNTER_HEARTBEATS_BAD, 1);
        g_snprintf(text, sizeof(text), "heartbeat of %s: %s", instance,
                   status.message);
        HttpServer_RespondError(self->heartbeats, request->id, status.kind,
                                text, 0);
    }
    else {
        Runner_OnHeartbeat(self->runner, now_ms(self), &heartbeat.upstream);
        HttpServer_RespondJson(self->heartbeats, request->id, STATUS_OK, 0,
                               "{}");
    }
    UpstreamApi_FreeHeartbeat(&heartbeat);
    after_input(self);
}

static void
serve_heartbeats(void *context, const HttpServer_Request *request)
{
    leased_companion *self = context;
    char *instance;

    switch (UpstreamApi_ParseCall(request->method, request->path, &instance)) {
    case UPSTREAM_API_HEARTBEAT:
        handle_heartbeat(self, request, instance);
        break;
    case UPSTREAM_API_DEREGISTER:
        Runner_OnUpstreamExit(
            self->runner, now_ms(self), instance,
            UpstreamApi_ParseStartTime(request->body, request->length));
        HttpServer_RespondJson(self->heartbeats, request->id, STATUS_OK, 0,
                               "{}");
        after_input(self);
        break;
    default:
        HttpServer_RespondError(self->heartbeats, request->id, ERR_NOT_FOUND,
                                "no such path", 0);
        break;
    }
    g_free(instance);
}

static const HttpServer_Route heartbeat_routes[] = {
    {"/", serve_heartbeats},
    {NULL, NULL},
};

/* ---- the role ---- */

static void
role_tick(Process *process)
{
    leased_companion *self = (leased_companion *)process;
    int64_t now = now_ms(self);

    Seeds_Refresh(&self->seeds, &self->peers, now);
    RegistrySync_Tick(&self->registry, now);
    confirm_closures(self, now);
    Runner_Tick(self->runner, now);
    Peers_Expire(&self->peers, now);
    if (now - self->view_chosen_ms >= VIEW_REFRESH_MS) {
        choose_view(self, now);
    }
    reset_unanswered(self, now);
    after_input(self);
}

static void
role_drain(Process *process)
{
    leased_companion *self = (leased_companion *)process;

    Event_Log(EVENT_STOPPING, "companion of leased jobs");
    self->stop_requested_ms = now_ms(self);
    process->stop_deadline_ms = self->stop_requested_ms +
                                process->options->grace_ms - STOP_MARGIN_MS;
    Runner_Drain(self->runner);
    after_input(self);
}

static bool
role_is_drained(const Process *process)
{
    const leased_companion *self = (const leased_companion *)process;

    return self->stop_requested_ms != 0 && Runner_IsIdle(self->runner);
}

static json_t *
role_dump(const Process *process)
{
    const leased_companion *self = (const leased_companion *)process;

    return Runner_Dump(self->runner, Clock_NowMs());
}

static Counters *
role_counters(Process *process)
{
    return Runner_Counters(((leased_companion *)process)->runner);
}

static void
role_metrics(Process *process, GString *out)
{
    leased_companion *self = (leased_companion *)process;

    Runner_Metrics(self->runner, now_ms(self), out);
    g_string_append_printf(out,
                           "levercove_entries_known %u\n"
                           "levercove_entries_left_out %u\n",
                           self->peers.rows->len, self->left_out);
}

static bool
role_call(Process *process, uint64_t reply_id, const Msg_Call *call)
{
    leased_companion *self = (leased_companion *)process;
    bool served = Runner_OnCall(self->runner, now_ms(self), reply_id, call);

    after_input(self);
    return served;
}

static void
role_reply(Process *process, uint64_t call_id, const Msg_Reply *reply)
{
    leased_companion *self = (leased_companion *)process;
    Peers_Row *peer = Peers_FindByCall(&self->peers, call_id);

    if (peer == NULL) {
        return;
    }
    peer->call_id = 0;
    if (reply != NULL && reply->kind == MSG_REPORT) {
        apply_report_reply(self, peer, &reply->u.report);
    }
    send_due_reports(self);
}

static const Process_Role leased_companion_role = {
    role_tick,     role_drain,   role_is_drained, role_dump,
    role_counters, role_metrics, role_call,       role_reply,
};

static Runner *
new_runner(leased_companion *self, const Options *options)
{
    Clock_Reading reading = Clock_Read();
    LeaseTiming_Bounds bounds = {options->resubmit_ms, options->hold_max_ms,
                                 options->stop_ms, PROCESS_TICK_MS};
    Runner_Config config = {.node = Process_NewNode(options),
                            .hall = options->hall,
                            .first_token = Process_Now().wall_ms,
                            .beat_ms = options->beat_ms,
                            .late_ms = options->late_ms};

    if (!LeaseTiming_Derive(&bounds, &config.timing)) {
        return NULL;
    }
    Clock_InitTracker(&self->suspension, reading);
    return Runner_New(&config, &runner_ports, self, reading.now_ms);
}

int
LeasedCompanion_Run(const Options *options)
{
    leased_companion *self = g_new0(leased_companion, 1);
    uv_loop_t *loop = uv_default_loop();
    HttpServer_Limits limits = {.max_body_bytes = MAX_HEARTBEAT_BYTES};
    Status status = {ERR_OK, ""};
    int code = Err_ExitCode(ERR_IO);

    self->http = HttpClient_New(loop);
    /* A request without an answer is sent again over another connection long
     * before its own times out, and upstreams leave requests unanswered on
     * connections that work: one timeout is no reason to close the idle
     * connections. */
    HttpClient_KeepAlive(self->http, options->upstream, MAX_CONNECTIONS,
                         false);
    Peers_Init(&self->peers, options->rpc);
    self->runner = new_runner(self, options);
    if (self->runner == NULL) {
        Event_Log(EVENT_BAD_SETTINGS, "times.resubmit_ms is too short for any "
                                      "lease");
        code = Err_ExitCode(ERR_BAD_SETTINGS);
        goto done;
    }
    Seeds_Init(&self->seeds, options);
    uv_timer_init(loop, &self->report_timer);
    self->report_timer.data = self;
    uv_timer_init(loop, &self->overdue_timer);
    self->overdue_timer.data = self;
    self->overdue_check_ms = INT64_MAX;
    self->process.clients = Process_NewClientLimits(options);
    limits.clients = self->process.clients;
    self->heartbeats = HttpServer_NewLimited(loop, options->beats, &limits,
                                             heartbeat_routes, self, &status);
    if (self->heartbeats == NULL ||
        Process_Open(&self->process, loop, options, &leased_companion_role,
                     &status) != ERR_OK) {
        Event_Log(EVENT_LISTEN_FAILED, "%s", status.message);
        goto done;
    }
    Rpc_EnableKeepAlive(self->process.rpc, PROCESS_KEEPALIVE_TIMEOUT_MS);
    RegistrySync_Open(&self->registry, loop, 0, options->store, options->hall,
                      &self->peers);
    if (options->store != 0) {
        self->halls_follower = StoreFollower_OpenHalls(
            loop, HttpClient_New(loop), options->store, &halls_ports, self);
    }
    self->registry.on_entries = on_entries_read;
    self->registry.context = self;
    RegistrySync_Tick(&self->registry, now_ms(self));
    code = Process_Run(&self->process);
done:
    if (self->runner != NULL) {
        Runner_Free(self->runner);
    }
    Peers_Clear(&self->peers);
    /* `self` is not freed: it holds the loop's handles, and the process ends
     * here. */
    return code;
}

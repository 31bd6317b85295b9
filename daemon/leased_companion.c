#include "daemon/leased_companion.h"

#include <glib.h>
#include <string.h>

#include "base/clock.h"
#include "daemon/leased_registry.h"
#include "daemon/process.h"
#include "daemon/seeds.h"
#include "lease/partial_view.h"
#include "lease/peers.h"
#include "lease/runner.h"
#include "platform/store.h"
#include "platform/upstreams.h"

/* A request is kept open so long past the time that its answer may wait: the
 * runner sends another long before, and an answer that comes late still
 * counts and leaves the connection usable. Chosen above the longest timeout
 * of lease/answer_time.c. */
#define ANSWER_MOST_MS 250
/* Connections kept open to the upstream. */
#define MOST_CONNECTIONS 16
/* Entries are told without a change so often, times their number, within
 * bounds. */
#define REPORT_IDLE_MS 80
#define REPORT_IDLE_LEAST_MS 500
#define REPORT_IDLE_MOST_MS 3000
/* Entries of other halls are told of changes so many times as seldom, where
 * not all entries are told: they start tasks here when their own hall is full.
 */
#define REPORT_FAR_TIMES 4
/* Which entries are told is chosen anew so often. Chosen: far below the time
 * after which a silent entry leaves the others' lists (8 s). */
#define VIEW_MS 500
/* An entry that has to know every companion says so with each answer; it is
 * believed so long. Chosen: three of the longest times between reports. */
#define ALL_MS 9000
/* A planned stop ends so long before the kill. */
#define STOP_MARGIN_MS 700
#define OK_STATUS 200
/* What is known of the closed halls is asked for at the store when no entry
 * has confirmed it for this part of times.close_ms; the rest is left for the
 * read. Entries confirm what they read up to 2 s ago, as the store holds a
 * read for 1 s: at a half of 5,000 ms idle companions asked 18 times a second
 * (65 companions, 11 entries). */
#define UNSURE_PERCENT 75
#define PERCENT 100

typedef struct {
    Process process; /* first, see Process */
    Runner *runner;
    Http_Client *http;
    Http_Server *beats;
    Peers peers;
    Seeds seeds;
    Leased_Registry registry;
    Store_Follower *halls; /* NULL if no store is known */
    uv_timer_t report_timer;
    uv_timer_t answer_timer; /* at answer_due_ms, if that is not INT64_MAX */
    int64_t answer_due_ms;
    uint64_t next_call;
    uint32_t left_out;    /* entries that are not told */
    int64_t view_ms;      /* when they were chosen last */
    int64_t all_until_ms; /* until then all of them are told */
    int64_t stop_ms;      /* when the planned stop was asked for */
    Clock_Suspension suspension;
} leased_companion;

/* An order on its way to the upstream. */
typedef struct {
    leased_companion *owner;
    uint64_t id;
} order_context;

/* Time now; to be asked at every input, as it tells the runner of a
 * suspension before anything that waited is read. */
static int64_t
now_ms(leased_companion *self)
{
    Clock_Reading reading = Clock_Read();
    int64_t suspended_ms = Clock_Suspended(&self->suspension, reading);

    if (suspended_ms > 0) {
        Event_Log(EVENT_SUSPENDED, "for %d ms", (int)suspended_ms);
        Runner_OnSuspended(self->runner, reading.now_ms, suspended_ms);
    }
    return reading.now_ms;
}

static void tell_peers(leased_companion *self);
static Counters *role_counters(Process *process);
static void on_answer_timer(uv_timer_t *timer);

/* To be called after all that the runner was told. */
static void
follow_up(leased_companion *self)
{
    int64_t due = Runner_DueMs(self->runner);

    if (due < self->answer_due_ms) {
        self->answer_due_ms = due;
        uv_timer_start(&self->answer_timer, on_answer_timer,
                       (uint64_t)MAX(due - now_ms(self), 0), 0);
    }
    tell_peers(self);
}

static void
on_answer_timer(uv_timer_t *timer)
{
    leased_companion *self = timer->data;

    self->answer_due_ms = INT64_MAX;
    Runner_Wake(self->runner, now_ms(self));
    follow_up(self);
}

/* ---- orders ---- */

static void
send_order(leased_companion *self, uint64_t id, Upstreams_Order *order,
           uint32_t timeout_ms, Http_ClientDone done)
{
    order_context *context = g_new0(order_context, 1);
    Http_ClientRequest request = {.to = self->process.options->upstream,
                                  .method = "POST",
                                  .path = order->path,
                                  .headers = order->headers,
                                  .body = order->body,
                                  .length = order->length,
                                  .timeout_ms = timeout_ms};

    context->owner = self;
    context->id = id;
    Http_Send(self->http, &request, done, context);
    Upstreams_ClearOrder(order);
}

static void
on_start_answer(void *item, const Http_ClientAnswer *answer)
{
    order_context *context = item;
    leased_companion *self = context->owner;
    int64_t clock_ms;
    Runner_OrderEnd end = Upstreams_OrderEnd(answer, &clock_ms);

    Runner_OnStarted(self->runner, now_ms(self), context->id, end, clock_ms);
    g_free(context);
    follow_up(self);
}

static void
on_stop_answer(void *item, const Http_ClientAnswer *answer)
{
    order_context *context = item;
    leased_companion *self = context->owner;
    int64_t clock_ms;
    Runner_OrderEnd end = Upstreams_OrderEnd(answer, &clock_ms);

    Runner_OnStopped(self->runner, now_ms(self), context->id, end, clock_ms);
    g_free(context);
    follow_up(self);
}

static void
on_look_answer(void *item, const Http_ClientAnswer *answer)
{
    order_context *context = item;
    leased_companion *self = context->owner;
    Upstreams_Listing listing;

    Upstreams_ReadListing(answer, &listing);
    Runner_OnLook(self->runner, now_ms(self), context->id, &listing.listing);
    Upstreams_FreeListing(&listing);
    g_free(context);
    follow_up(self);
}

static void
port_start(void *context, uint64_t id, const Runner_Start *start)
{
    Upstreams_Order order;

    Upstreams_StartOrder(start, &order);
    send_order(context, id, &order, ANSWER_MOST_MS, on_start_answer);
}

static void
port_stop(void *context, uint64_t id, const lc_run_id *run,
          const char *instance, int64_t token)
{
    Upstreams_Order order;

    Upstreams_StopOrder(run, instance, token, &order);
    send_order(context, id, &order, ANSWER_MOST_MS, on_stop_answer);
}

static void
port_look(void *context, uint64_t id, const Runner_Look *look)
{
    Upstreams_Order order;

    Upstreams_LookOrder(look, &order);
    send_order(context, id, &order, look->wait_ms + ANSWER_MOST_MS,
               on_look_answer);
}

static const Runner_Ports runner_ports = {
    .start = port_start,
    .stop = port_stop,
    .look = port_look,
    .reply = Process_PortReply,
    .event = Process_PortFields,
};

/* ---- entries ---- */

/* Time between reports while nothing changes. */
static int64_t
idle_ms(const leased_companion *self)
{
    return Peers_SpacedMs(&self->peers, REPORT_IDLE_MS, REPORT_IDLE_LEAST_MS,
                          REPORT_IDLE_MOST_MS);
}

static void
send_report(leased_companion *self, int64_t now, Peers_Row *peer)
{
    Msg_Call call = {.kind = MSG_REPORT};

    if (!Runner_Report(self->runner, now, &call.u.report)) {
        return;
    }
    call.u.report.hall = (char *)(uintptr_t)self->process.options->hall;
    call.u.report.next_ms = (u_int)idle_ms(self);
    call.u.report.known = self->peers.list_digest;
    peer->call_id = ++self->next_call;
    peer->asked_ms = now;
    peer->telling = Runner_Version(self->runner);
    peer->connected = true;
    Rpc_Call(self->process.rpc, peer->address, peer->call_id, &call);
}

static void
on_report_timer(uv_timer_t *timer)
{
    tell_peers(timer->data);
}

/* Changes are told so often at most. */
static int64_t
gap_ms(const leased_companion *self, const Peers_Row *peer)
{
    bool far = self->left_out > 0 &&
               strcmp(peer->hall, self->process.options->hall) != 0;

    return far ? (int64_t)peer->gap_ms * REPORT_FAR_TIMES : peer->gap_ms;
}

/* Time until a peer should be told, 0 for now, -1 for not by itself. */
static int64_t
report_due(const leased_companion *self, int64_t now, const Peers_Row *peer)
{
    int64_t gap = gap_ms(self, peer);
    int64_t since = now - peer->asked_ms;

    if (peer->call_id != 0 || !peer->chosen) {
        return -1;
    }
    if (!Peers_IsLive(peer, now)) {
        return since >= Peers_PatienceMs(peer, now) ? 0 : -1;
    }
    if (peer->told == Runner_Version(self->runner)) {
        return since >= idle_ms(self) ? 0 : -1;
    }
    return since >= gap ? 0 : gap - since;
}

/* Connections to entries that are not told any more are closed, so that these
 * hold as many as they hear companions. */
static void
close_left_out(const leased_companion *self)
{
    guint i;

    for (i = 0; i < self->peers.rows->len; i++) {
        Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        if (!peer->chosen && peer->connected && peer->call_id == 0) {
            peer->connected = false;
            Rpc_Reset(self->process.rpc, peer->address);
        }
    }
}

static void
choose_view(leased_companion *self, int64_t now)
{
    self->view_ms = now;
    self->left_out = PartialView_Choose(
        &self->peers, now, self->process.options->rpc,
        self->process.options->hall, now < self->all_until_ms);
    close_left_out(self);
}

static void
tell_peers(leased_companion *self)
{
    int64_t now = now_ms(self);
    int64_t next = -1;
    guint i;

    for (i = 0; i < self->peers.rows->len; i++) {
        Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        int64_t due = report_due(self, now, peer);
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

/* Entries were named by the register. */
static void
on_named(void *context)
{
    leased_companion *self = context;

    choose_view(self, now_ms(self));
    tell_peers(self);
}

static void
reset_silent(leased_companion *self, int64_t now)
{
    guint i;

    for (i = 0; i < self->peers.rows->len; i++) {
        const Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        if (peer->call_id != 0 &&
            now - peer->asked_ms >= Peers_PatienceMs(peer, now)) {
            Rpc_Reset(self->process.rpc, peer->address);
        }
    }
}

static void
take_report_reply(leased_companion *self, Peers_Row *peer,
                  const lc_report_res *result)
{
    int64_t now = now_ms(self);
    bool all = now < self->all_until_ms;

    Runner_TakeClosures(self->runner, now, peer->asked_ms, &result->closures,
                        Address_Text(peer->address));
    peer->told = peer->telling;
    peer->gap_ms = result->gap_ms;
    if (Peers_Hear(&self->peers, peer->address, now)) {
        Event_Log(EVENT_PEER_FOUND, "%s", Address_Text(peer->address));
    }
    Peers_SetHall(&self->peers, peer->address, result->hall);
    if (result->entries.entries_len == 0) {
        Peers_ConfirmList(&self->peers, now);
    }
    else {
        Peers_TakeList(&self->peers, result->entries.entries_val,
                       result->entries.entries_len, now);
    }
    if (result->all) {
        self->all_until_ms = now + ALL_MS;
    }
    if (result->entries.entries_len > 0 || all != result->all) {
        choose_view(self, now);
    }
}

/* ---- closed halls ---- */

static void
on_closures(void *context, int64_t asked_ms, const lc_closures *told)
{
    leased_companion *self = context;

    Runner_TakeClosures(self->runner, now_ms(self), asked_ms, told,
                        "the store");
}

static const Store_Ports halls_ports = {.closures = on_closures};

/* Entries tell with their answers to reports. If all that reach this companion
 * are cut off from the store and from other entries, only the store is left.
 */
static void
confirm_halls(leased_companion *self, int64_t now)
{
    const Closures *closures = Runner_Closures(self->runner);
    int64_t age = Closures_AgeMs(closures, now);
    lc_closures known;

    if (self->halls == NULL ||
        age < self->process.options->close_ms * UNSURE_PERCENT / PERCENT) {
        return;
    }
    Closures_Tell(closures, now, &known);
    if (Store_Ask(self->halls, &known)) {
        Event_Log(EVENT_HALLS_UNSURE, "for %lld ms; the store is asked",
                  (long long)age);
    }
}

/* ---- the upstream's calls ---- */

static void
take_beat(leased_companion *self, const Http_Request *request,
          const char *instance)
{
    Upstreams_Beat beat;
    Status status = {ERR_OK, ""};

    if (Upstreams_ReadBeat(instance, request->body, request->length, &beat,
                           &status) != ERR_OK) {
        Counter_Add(role_counters(&self->process), COUNTER_HEARTBEATS_BAD, 1);
        Http_RespondError(self->beats, request->id, status.kind,
                          status.message, 0);
    }
    else {
        Runner_OnUpstream(self->runner, now_ms(self), &beat.upstream);
        Http_RespondText(self->beats, request->id, OK_STATUS, 0, "{}");
    }
    Upstreams_FreeBeat(&beat);
    follow_up(self);
}

static void
serve_beats(void *context, const Http_Request *request)
{
    leased_companion *self = context;
    char *instance;

    switch (Upstreams_ParseCall(request->method, request->path, &instance)) {
    case UPSTREAMS_BEAT:
        take_beat(self, request, instance);
        break;
    case UPSTREAMS_LEAVES:
        Runner_OnUpstreamGone(
            self->runner, now_ms(self), instance,
            Upstreams_ReadBorn(request->body, request->length));
        Http_RespondText(self->beats, request->id, OK_STATUS, 0, "{}");
        follow_up(self);
        break;
    default:
        Http_RespondError(self->beats, request->id, ERR_NOT_FOUND,
                          "no such path", 0);
        break;
    }
    g_free(instance);
}

static const Http_Route beat_routes[] = {
    {"/", serve_beats},
    {NULL, NULL},
};

/* ---- the role ---- */

static void
role_tick(Process *process)
{
    leased_companion *self = (leased_companion *)process;
    int64_t now = now_ms(self);

    Seeds_Refresh(&self->seeds, &self->peers, now);
    LeasedRegistry_Tick(&self->registry, now);
    confirm_halls(self, now);
    Runner_Tick(self->runner, now);
    Peers_Forget(&self->peers, now);
    if (now - self->view_ms >= VIEW_MS) {
        choose_view(self, now);
    }
    reset_silent(self, now);
    follow_up(self);
}

static void
role_drain(Process *process)
{
    leased_companion *self = (leased_companion *)process;

    Event_Log(EVENT_STOPPING, "companion of leased jobs");
    self->stop_ms = now_ms(self);
    process->end_by_ms = self->stop_ms + process->options->grace_ms -
                         STOP_MARGIN_MS;
    Runner_Drain(self->runner);
    follow_up(self);
}

static bool
role_is_drained(const Process *process)
{
    const leased_companion *self = (const leased_companion *)process;

    return self->stop_ms != 0 && Runner_IsIdle(self->runner);
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

    follow_up(self);
    return served;
}

static void
role_reply(Process *process, uint64_t call_id, const Msg_Reply *reply)
{
    leased_companion *self = (leased_companion *)process;
    Peers_Row *peer = Peers_OfCall(&self->peers, call_id);

    if (peer == NULL) {
        return;
    }
    peer->call_id = 0;
    if (reply != NULL && reply->kind == MSG_REPORT) {
        take_report_reply(self, peer, &reply->u.report);
    }
    tell_peers(self);
}

static const Process_Role leased_companion_role = {
    role_tick,     role_drain,   role_is_drained, role_dump,
    role_counters, role_metrics, role_call,       role_reply,
};

static Runner *
new_runner(leased_companion *self, const Options *options)
{
    Clock_Reading reading = Clock_Read();
    Term_Bounds bounds = {options->resubmit_ms, options->hold_max_ms,
                          options->stop_ms, PROCESS_TICK_MS};
    Runner_Config config = {.node = Process_NewNode(options),
                            .hall = options->hall,
                            .first_token = Process_Now().wall_ms,
                            .beat_ms = options->beat_ms,
                            .late_ms = options->late_ms};

    if (!Term_Plan(&bounds, &config.term)) {
        return NULL;
    }
    Clock_Follow(&self->suspension, reading);
    return Runner_New(&config, &runner_ports, self, reading.now_ms);
}

int
LeasedCompanion_Run(const Options *options)
{
    leased_companion *self = g_new0(leased_companion, 1);
    uv_loop_t *loop = uv_default_loop();
    Status status = {ERR_OK, ""};
    int code = Err_Exit(ERR_IO);

    self->http = Http_NewClient(loop);
    /* An order without an answer is sent again over another connection long
     * before its own is given up, and upstreams leave orders unanswered whose
     * connections are well: one is no sign against the others. */
    Http_KeepAlive(self->http, options->upstream, MOST_CONNECTIONS, false);
    Peers_Init(&self->peers, options->rpc);
    self->runner = new_runner(self, options);
    if (self->runner == NULL) {
        Event_Log(EVENT_BAD_SETTINGS, "times.resubmit_ms leaves no time for "
                                      "leases");
        code = Err_Exit(ERR_BAD_SETTINGS);
        goto done;
    }
    Seeds_Init(&self->seeds, options);
    uv_timer_init(loop, &self->report_timer);
    self->report_timer.data = self;
    uv_timer_init(loop, &self->answer_timer);
    self->answer_timer.data = self;
    self->answer_due_ms = INT64_MAX;
    self->beats = Http_NewServer(loop, options->beats, beat_routes, self,
                                 &status);
    if (self->beats == NULL ||
        Process_Open(&self->process, loop, options, &leased_companion_role,
                     &status) != ERR_OK) {
        Event_Log(EVENT_LISTEN_FAILED, "%s", status.message);
        goto done;
    }
    Rpc_KeepAlive(self->process.rpc, PROCESS_SILENCE_MS);
    LeasedRegistry_Open(&self->registry, loop, 0, options->store,
                        options->hall, &self->peers);
    if (options->store != 0) {
        self->halls = Store_FollowHalls(loop, Http_NewClient(loop),
                                        options->store, &halls_ports, self);
    }
    self->registry.named = on_named;
    self->registry.context = self;
    LeasedRegistry_Tick(&self->registry, now_ms(self));
    code = Process_Run(&self->process);
done:
    if (self->runner != NULL) {
        Runner_Free(self->runner);
    }
    Peers_Clear(&self->peers);
    /* The loop's handles live in `self`; the process ends here. */
    return code;
}

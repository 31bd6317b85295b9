#include "daemon/leased_entry_state.h"

#include <string.h>

#include "base/event.h"
#include "base/random.h"
#include "lease/store_poll.h"
#include "platform/routes_record.h"

/* ---- applying ---- */

/* Logs if the open jobs that refer to a queue belong to another one now. */
static void
log_changed_queue(Route_Table *former, Route_Table *current,
                  const QueueCounts_Row *open)
{
    Route_Match match;
    const Route *before = Route_FindQueue(former, &open->queue, NULL);
    const Route *after = Route_FindQueue(current, &open->queue, &match);
    const char *name_before = before == NULL ? "(none)" : before->name;
    const char *name_after = after == NULL ? "(none)" : after->name;

    if (before == after || (before != NULL && after != NULL &&
                            before->address == after->address &&
                            strcmp(before->name, after->name) == 0)) {
        return;
    }
    Event_Log(EVENT_QUEUE_CHANGED,
              "%u open jobs of queue %s: formerly of queue %s, now of queue "
              "%s, matched by %s",
              open->jobs, open->queue.name, name_before, name_after,
              Route_MatchText(match));
}

static void
log_changed_queues(const Leased_Entry *self, Route_Table *former,
                   Route_Table *current)
{
    QueueCounts *open;
    GHashTableIter iter;
    gpointer row;

    if (former == NULL) {
        return;
    }
    open = QueueCounts_New();
    Dispatcher_AddOpen(self->dispatcher, open);
    DurableJobs_CountOpen(self->durable_jobs, open);
    g_hash_table_iter_init(&iter, open);
    while (g_hash_table_iter_next(&iter, NULL, &row)) {
        log_changed_queue(former, current, row);
    }
    g_hash_table_unref(open);
}

/* The version alone decides, whatever the source: routes that are not newer
 * than those in force are dropped. */
static void
apply_record(Leased_Entry *self, const char *record, size_t length,
             const char *source)
{
    Status status = {ERR_OK, ""};
    Route_Table *table = RoutesRecord_Parse(record, length, &status);

    if (table == NULL) {
        Event_Log(EVENT_ROUTES_BAD, "from %s: %s", source, status.message);
        return;
    }
    if (table->version <= LeasedRoutes_Version(self)) {
        Route_FreeTable(table);
        return;
    }
    DurableJobs_OnRoutes(self->durable_jobs);
    log_changed_queues(self, self->routes, table);
    Dispatcher_SetRoutes(self->dispatcher, table);
    Route_FreeTable(self->routes);
    self->routes = table;
    HttpServer_SetMaxBody(self->callers,
                          MIN(table->body_bytes, HTTP_MAX_BODY_BYTES));
    self->routes_applied_ms = self->last_input_ms;
    Event_Log(EVENT_ROUTES, "version %lld from %s, %u queues, %zu bytes",
              (long long)table->version, source, table->routes->len, length);
}

int64_t
LeasedRoutes_Version(const Leased_Entry *self)
{
    return self->routes == NULL ? -1 : self->routes->version;
}

/* ---- from the store ---- */

static void
on_routes(void *context, const char *record, size_t length)
{
    Leased_Entry *self = context;

    LeasedEntry_OnInput(self);
    apply_record(self, record, length, "the store");
}

static void
on_closures(void *context, int64_t requested_ms, const lc_closures *received)
{
    Leased_Entry *self = context;

    Dispatcher_MergeClosures(self->dispatcher, LeasedEntry_OnInput(self),
                             requested_ms, received, "the store");
}

static void
on_store_change(void *context, bool answers)
{
    Leased_Entry *self = context;

    LeasedEntry_OnInput(self);
    self->store_answers = answers;
    Event_Log(answers ? EVENT_LOG_UP : EVENT_LOG_DOWN, "store");
}

static const StoreFollower_Ports store_ports = {
    .routes = on_routes,
    .closures = on_closures,
    .change = on_store_change,
};

void
LeasedRoutes_Open(Leased_Entry *self, const Options *options)
{
    self->store_answers = true;
    RoutesFetch_Init(&self->fetch,
                     (uint32_t)Dispatcher_Node(self->dispatcher).incarnation);
    self->random = Random_Seed(Dispatcher_Node(self->dispatcher).incarnation);
    self->follower = StoreFollower_Open(uv_default_loop(), self->http,
                                        options->store, &store_ports, self);
}

void
LeasedRoutes_Close(Leased_Entry *self)
{
    RoutesFetch_Clear(&self->fetch);
    Route_FreeTable(self->routes);
}

/* ---- from other entries ---- */

static uint32_t
store_wait_ms(Leased_Entry *self, int64_t now)
{
    if (StorePoll_IsWatcher(&self->peers, now)) {
        return StorePoll_WatcherWaitMs();
    }
    return StorePoll_RandomWaitMs(Peers_CountLive(&self->peers, now),
                                  &self->random);
}

void
LeasedRoutes_Tick(Leased_Entry *self, int64_t now)
{
    Msg_Call call = {.kind = MSG_ROUTES};
    RoutesFetch_Call wanted;

    StoreFollower_SetWait(self->follower, store_wait_ms(self, now));
    if (!RoutesFetch_Next(&self->fetch, now, LeasedRoutes_Version(self),
                          self->store_answers, &self->peers, &wanted)) {
        return;
    }
    call.u.routes = wanted.args;
    self->routes_fetch_call_id = ++self->last_call_id | LEASED_ENTRY_CALL_FLAG;
    Rpc_Call(self->process.rpc, wanted.to, self->routes_fetch_call_id, &call);
}

void
LeasedRoutes_OnCall(Leased_Entry *self, uint64_t reply_id,
                    const lc_routes_args *args)
{
    Msg_Reply reply = {.kind = MSG_ROUTES};
    lc_routes_res *result = &reply.u.routes;
    const Route_Table *routes = self->routes;

    result->routes_version = LeasedRoutes_Version(self);
    if (routes != NULL) {
        size_t offset = args->routes_version == routes->version ? args->offset
                                                                : 0;
        offset = MIN(offset, routes->source_length);
        result->offset = (u_int)offset;
        result->total = (u_int)routes->source_length;
        result->data.data_val = routes->source + offset;
        result->data.data_len = (u_int)MIN(routes->source_length - offset,
                                           LC_MAX_CHUNK);
    }
    Process_PortReply(&self->process, reply_id, &reply);
}

bool
LeasedRoutes_OnReply(Leased_Entry *self, int64_t now, uint64_t call_id,
                     const Msg_Reply *reply)
{
    RoutesFetch_Result step;

    if (call_id != self->routes_fetch_call_id) {
        return false;
    }
    self->routes_fetch_call_id = 0;
    if (!self->fetch.asking) {
        return true; /* they have come from the store meanwhile */
    }
    if (reply == NULL) {
        RoutesFetch_OnFailure(&self->fetch);
        return true;
    }
    step = RoutesFetch_OnReply(&self->fetch, &reply->u.routes);
    if (step == ROUTES_FETCH_COMPLETE) {
        apply_record(self, (const char *)self->fetch.bytes->data,
                     self->fetch.bytes->len, Address_Text(self->fetch.from));
    }
    if (step != ROUTES_FETCH_FAILED) {
        LeasedRoutes_Tick(self, now);
    }
    return true;
}

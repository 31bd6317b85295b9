#include "daemon/leased_entry_state.h"

#include "platform/store_follower.h"

/* After a failed request to the store, requests are relayed through other
 * entries until the store has answered a probe; this is the probe interval. */
#define PROBE_INTERVAL_MS 500
/* The interval doubles, up to its maximum, with each failure that comes this
 * soon after a successful probe: a store of which some connections are silent
 * answers probes, and requests over the silent ones would time out again and
 * again (durable jobs were refused for 2.3 s that way). */
#define REPEATED_OUTAGE_MS 10000
#define PROBE_MAX_MS 8000
#define PROBE_TIMEOUT_MS 400
/* Time that the other entry may take in addition to the store's. */
#define RELAY_GRACE_MS 200
/* Of the time for the rest of an answer (transfer_ms), at most this much is
 * allowed to a relayed request, as its progress cannot be seen here. A page
 * of 1 MB arrives in time over a link of 5 Mbit/s. */
#define RELAY_TRANSFER_MAX_MS 1600
/* Most requests of other entries that are open at the store, and bytes of
 * their bodies: each takes a connection of this process. Others are not
 * answered, and their senders try another entry. */
#define MAX_OPEN_RELAYS 64
#define MAX_RELAYED_BYTES ((size_t)16 * 1024 * 1024)
/* Longest time for one; what entries themselves ask for is shorter. */
#define MAX_RELAY_MS 30000U
#define STATUS_UNAVAILABLE 503
#define STATUS_TOO_MANY_REQUESTS 429

/* A request that another entry relays. */
typedef struct {
    HttpClient_Done done;
    void *done_context;
    int64_t deadline_ms;
} relayed_call;

/* A request that was sent to the store itself. */
typedef struct {
    Leased_Entry *self;
    HttpClient_Done done; /* NULL: it is relayed for another entry */
    void *done_context;
    uint64_t reply_id;
    size_t length; /* of the body */
} store_request;

static bool
is_unavailable(const HttpClient_Answer *answer)
{
    return answer->end != HTTP_CLIENT_ANSWERED ||
           answer->status == STATUS_UNAVAILABLE ||
           answer->status == STATUS_TOO_MANY_REQUESTS;
}

static void
mark_unreachable(Leased_Entry *self)
{
    int64_t now = Process_Now().mono_ms;
    bool is_repeated = now - self->store_recovered_ms < REPEATED_OUTAGE_MS;

    if (!self->store_unreachable) {
        self->probe_interval_ms = is_repeated
                                      ? MIN(2 * self->probe_interval_ms,
                                            PROBE_MAX_MS)
                                      : PROBE_INTERVAL_MS;
        self->last_probe_ms = now;
        self->store_unreachable = true;
    }
}

static void
on_direct(void *context, const HttpClient_Answer *answer)
{
    store_request *call = context;
    Leased_Entry *self = call->self;

    if (is_unavailable(answer)) {
        mark_unreachable(self);
    }
    call->done(call->done_context, answer);
    g_free(call);
}

static void
send_direct(Leased_Entry *self, const HttpClient_Request *request,
            HttpClient_Done done, void *done_context)
{
    store_request *call = g_new0(store_request, 1);
    HttpClient_Request direct = *request;

    call->self = self;
    call->done = done;
    call->done_context = done_context;
    direct.to = self->process.options->store;
    HttpClient_Send(self->http, &direct, on_direct, call);
}

static void
send_through_peer(Leased_Entry *self, Address peer,
                  const HttpClient_Request *request, HttpClient_Done done,
                  void *done_context)
{
    uint64_t call_id = ++self->last_call_id | LEASED_ENTRY_CALL_FLAG;
    relayed_call *relay = g_new0(relayed_call, 1);
    Msg_Call call = {.kind = MSG_STORE};

    relay->done = done;
    relay->done_context = done_context;
    relay->deadline_ms = self->last_input_ms + request->timeout_ms +
                         MIN(request->transfer_ms, RELAY_TRANSFER_MAX_MS) +
                         RELAY_GRACE_MS;
    g_hash_table_insert(self->relayed_calls,
                        g_memdup2(&call_id, sizeof(call_id)), relay);
    call.u.store.method = (char *)(uintptr_t)request->method;
    call.u.store.path = (char *)(uintptr_t)request->path;
    call.u.store.body.body_val = (char *)(uintptr_t)request->body;
    call.u.store.body.body_len = (u_int)request->length;
    call.u.store.timeout_ms = request->timeout_ms;
    call.u.store.transfer_ms = request->transfer_ms;
    Rpc_Call(self->process.rpc, peer, call_id, &call);
}

void
LeasedStore_Send(void *context, const HttpClient_Request *request,
                 HttpClient_Done done, void *done_context)
{
    Leased_Entry *self = context;
    Address peer = DurableJobs_LivePeer(self->durable_jobs,
                                        Process_Now().mono_ms);

    if (self->store_unreachable && peer != 0) {
        send_through_peer(self, peer, request, done, done_context);
        return;
    }
    send_direct(self, request, done, done_context);
}

bool
LeasedStore_OnReply(Leased_Entry *self, uint64_t call_id,
                    const Msg_Reply *reply)
{
    relayed_call *pending = g_hash_table_lookup(self->relayed_calls, &call_id);
    HttpClient_Answer answer = {.end = HTTP_CLIENT_DISCONNECTED};
    relayed_call relay;

    if (pending == NULL) {
        return false;
    }
    relay = *pending;
    g_hash_table_remove(self->relayed_calls, &call_id);
    if (reply != NULL && reply->u.store.answered) {
        answer.end = HTTP_CLIENT_ANSWERED;
        answer.status = (int)reply->u.store.status;
        answer.body = reply->u.store.body.body_val;
        answer.length = reply->u.store.body.body_len;
    }
    relay.done(relay.done_context, &answer);
    return true;
}

static void
on_probe(void *context, const HttpClient_Answer *answer)
{
    Leased_Entry *self = context;

    if (self->store_unreachable && !is_unavailable(answer)) {
        self->store_unreachable = false;
        self->store_recovered_ms = Process_Now().mono_ms;
    }
}

static void
probe(Leased_Entry *self, int64_t now)
{
    HttpClient_Request request = {.to = self->process.options->store,
                                  .method = "GET",
                                  .path = store_probe_path,
                                  .timeout_ms = PROBE_TIMEOUT_MS};

    if (self->store_unreachable &&
        now - self->last_probe_ms >= self->probe_interval_ms) {
        self->last_probe_ms = now;
        HttpClient_Send(self->http, &request, on_probe, self);
    }
}

void
LeasedStore_Tick(Leased_Entry *self, int64_t now)
{
    GArray *expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer key;
    gpointer item;
    guint i;

    g_hash_table_iter_init(&iter, self->relayed_calls);
    while (g_hash_table_iter_next(&iter, &key, &item)) {
        if (now >= ((const relayed_call *)item)->deadline_ms) {
            g_array_append_val(expired, *(uint64_t *)key);
        }
    }
    for (i = 0; i < expired->len; i++) {
        LeasedStore_OnReply(self, g_array_index(expired, uint64_t, i), NULL);
    }
    g_array_unref(expired);
    probe(self, now);
}

static void
on_relayed(void *context, const HttpClient_Answer *answer)
{
    store_request *call = context;
    Msg_Reply reply = {.kind = MSG_STORE};

    reply.u.store.answered = answer->end == HTTP_CLIENT_ANSWERED &&
                             answer->length <= LC_MAX_ANSWER;
    if (reply.u.store.answered) {
        reply.u.store.status = (u_int)answer->status;
        reply.u.store.body.body_val = (char *)(uintptr_t)answer->body;
        reply.u.store.body.body_len = (u_int)answer->length;
    }
    call->self->open_relays--;
    call->self->relayed_bytes -= call->length;
    Process_PortReply(&call->self->process, call->reply_id, &reply);
    g_free(call);
}

void
LeasedStore_OnCall(Leased_Entry *self, uint64_t reply_id,
                   const lc_store_args *args)
{
    const Msg_Reply not_answered = {.kind = MSG_STORE};
    store_request *call = g_new0(store_request, 1);
    HttpClient_Request request = {
        .to = self->process.options->store,
        .method = args->method,
        .path = args->path,
        .body = args->body.body_val,
        .length = args->body.body_len,
        .timeout_ms = MIN(args->timeout_ms, MAX_RELAY_MS),
        .transfer_ms = MIN(args->transfer_ms, MAX_RELAY_MS)};

    if (self->open_relays >= MAX_OPEN_RELAYS ||
        self->relayed_bytes + request.length > MAX_RELAYED_BYTES) {
        Process_PortReply(&self->process, reply_id, &not_answered);
        g_free(call);
        return;
    }
    call->self = self;
    call->reply_id = reply_id;
    call->length = request.length;
    self->open_relays++;
    self->relayed_bytes += request.length;
    HttpClient_Send(self->http, &request, on_relayed, call);
}

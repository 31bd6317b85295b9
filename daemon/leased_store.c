#include "daemon/leased_entry_state.h"

#include "platform/store.h"

/* After a call that failed others are asked to call the store, until it has
 * answered a probe; one is sent so often. */
#define PROBE_MS 500
/* Doubled up to the most with each failure so soon behind a probe that went
 * well: a store of which some connections are silent answers probes, and calls
 * over the others would be waited for in vain again and again (a gap of 2.3 s
 * in which jobs that must be kept were refused). */
#define RELAPSE_MS 10000
#define PROBE_MOST_MS 8000
#define PROBE_GIVE_UP_MS 400
/* The other entry may need so much longer than the store. */
#define GRACE_MS 200
/* Of the time for the rest of an answer, so much is waited for another entry:
 * nothing tells here whether bytes come. A page of 1 MB comes in time over a
 * line of 5 Mbit/s. */
#define TRANSFER_MOST_MS 1600
#define BUSY_STATUS 503
#define MANY_STATUS 429

/* A request that another entry passes on. */
typedef struct {
    Http_ClientDone done;
    void *done_context;
    int64_t until_ms;
} Leased_Relay;

/* A request on its way to the store itself. */
typedef struct {
    Leased_Entry *self;
    Http_ClientDone done; /* NULL: it is passed on for another entry */
    void *done_context;
    uint64_t reply_id;
} store_call;

static bool
is_turned_away(const Http_ClientAnswer *answer)
{
    return answer->end != HTTP_CLIENT_ANSWERED ||
           answer->status == BUSY_STATUS || answer->status == MANY_STATUS;
}

static void
note_away(Leased_Entry *self)
{
    int64_t now = Process_Now().mono_ms;
    bool relapse = now - self->store_back_ms < RELAPSE_MS;

    if (!self->store_away) {
        self->probe_pause_ms =
            relapse ? MIN(2 * self->probe_pause_ms, PROBE_MOST_MS) : PROBE_MS;
        self->store_probed_ms = now;
        self->store_away = true;
    }
}

static void
on_direct(void *context, const Http_ClientAnswer *answer)
{
    store_call *call = context;
    Leased_Entry *self = call->self;

    if (is_turned_away(answer)) {
        note_away(self);
    }
    call->done(call->done_context, answer);
    g_free(call);
}

static void
send_direct(Leased_Entry *self, const Http_ClientRequest *request,
            Http_ClientDone done, void *done_context)
{
    store_call *call = g_new0(store_call, 1);
    Http_ClientRequest direct = *request;

    call->self = self;
    call->done = done;
    call->done_context = done_context;
    direct.to = self->process.options->store;
    Http_Send(self->http, &direct, on_direct, call);
}

static void
send_by_peer(Leased_Entry *self, Address peer,
             const Http_ClientRequest *request, Http_ClientDone done,
             void *done_context)
{
    uint64_t call_id = ++self->next_call | LEASED_OWN_CALL;
    Leased_Relay *relay = g_new0(Leased_Relay, 1);
    Msg_Call call = {.kind = MSG_STORE};

    relay->done = done;
    relay->done_context = done_context;
    relay->until_ms = self->awake_ms + request->timeout_ms +
                      MIN(request->transfer_ms, TRANSFER_MOST_MS) + GRACE_MS;
    g_hash_table_insert(self->relayed, g_memdup2(&call_id, sizeof(call_id)),
                        relay);
    call.u.store.method = (char *)(uintptr_t)request->method;
    call.u.store.path = (char *)(uintptr_t)request->path;
    call.u.store.body.body_val = (char *)(uintptr_t)request->body;
    call.u.store.body.body_len = (u_int)request->length;
    call.u.store.timeout_ms = request->timeout_ms;
    call.u.store.transfer_ms = request->transfer_ms;
    Rpc_Call(self->process.rpc, peer, call_id, &call);
}

void
LeasedStore_Send(void *context, const Http_ClientRequest *request,
                 Http_ClientDone done, void *done_context)
{
    Leased_Entry *self = context;
    Address peer = Keeper_SomePeer(self->keeper, Process_Now().mono_ms);

    if (self->store_away && peer != 0) {
        send_by_peer(self, peer, request, done, done_context);
        return;
    }
    send_direct(self, request, done, done_context);
}

bool
LeasedStore_TakeReply(Leased_Entry *self, uint64_t call_id,
                      const Msg_Reply *reply)
{
    Leased_Relay *found = g_hash_table_lookup(self->relayed, &call_id);
    Http_ClientAnswer answer = {.end = HTTP_CLIENT_BROKEN};
    Leased_Relay relay;

    if (found == NULL) {
        return false;
    }
    relay = *found;
    g_hash_table_remove(self->relayed, &call_id);
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
on_probe(void *context, const Http_ClientAnswer *answer)
{
    Leased_Entry *self = context;

    if (self->store_away && !is_turned_away(answer)) {
        self->store_away = false;
        self->store_back_ms = Process_Now().mono_ms;
    }
}

static void
probe(Leased_Entry *self, int64_t now)
{
    Http_ClientRequest request = {.to = self->process.options->store,
                                  .method = "GET",
                                  .path = store_probe_path,
                                  .timeout_ms = PROBE_GIVE_UP_MS};

    if (self->store_away &&
        now - self->store_probed_ms >= self->probe_pause_ms) {
        self->store_probed_ms = now;
        Http_Send(self->http, &request, on_probe, self);
    }
}

void
LeasedStore_Tick(Leased_Entry *self, int64_t now)
{
    GArray *late = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer key;
    gpointer item;
    guint i;

    g_hash_table_iter_init(&iter, self->relayed);
    while (g_hash_table_iter_next(&iter, &key, &item)) {
        if (now >= ((const Leased_Relay *)item)->until_ms) {
            g_array_append_val(late, *(uint64_t *)key);
        }
    }
    for (i = 0; i < late->len; i++) {
        LeasedStore_TakeReply(self, g_array_index(late, uint64_t, i), NULL);
    }
    g_array_unref(late);
    probe(self, now);
}

static void
on_passed_on(void *context, const Http_ClientAnswer *answer)
{
    store_call *call = context;
    Msg_Reply reply = {.kind = MSG_STORE};

    reply.u.store.answered = answer->end == HTTP_CLIENT_ANSWERED &&
                             answer->length <= LC_MAX_ANSWER;
    if (reply.u.store.answered) {
        reply.u.store.status = (u_int)answer->status;
        reply.u.store.body.body_val = (char *)(uintptr_t)answer->body;
        reply.u.store.body.body_len = (u_int)answer->length;
    }
    Process_PortReply(&call->self->process, call->reply_id, &reply);
    g_free(call);
}

void
LeasedStore_AnswerCall(Leased_Entry *self, uint64_t reply_id,
                       const lc_store_args *args)
{
    store_call *call = g_new0(store_call, 1);
    Http_ClientRequest request = {.to = self->process.options->store,
                                  .method = args->method,
                                  .path = args->path,
                                  .body = args->body.body_val,
                                  .length = args->body.body_len,
                                  .timeout_ms = args->timeout_ms,
                                  .transfer_ms = args->transfer_ms};

    call->self = self;
    call->reply_id = reply_id;
    Http_Send(self->http, &request, on_passed_on, call);
}

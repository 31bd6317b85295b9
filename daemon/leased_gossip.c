#include "daemon/leased_entry_state.h"

#include "base/event.h"

/* Entries talk to each other so often, times their number, within bounds. */
#define GOSSIP_MS 75
#define GOSSIP_LEAST_MS 300
#define GOSSIP_MOST_MS 1500
/* Likewise where there is nothing new to tell: no jobs wait, and none did when
 * the other was told last. Chosen: twice within the time after which a silent
 * entry leaves the others' lists (8 s). */
#define GOSSIP_QUIET_MOST_MS 4000

/* Who expects to be called waits longer by so much before it calls itself.
 * Chosen: a tick and a slow call of the other are within it, and waiting jobs
 * are told within the 2 s that their count may be old. */
#define WAIT_FOR_CALL_PERCENT 125
#define PERCENT 100

/* Entries that spoke lately, and this one; free the array. */
GArray *
LeasedGossip_Known(const Leased_Entry *self)
{
    return Peers_Live(&self->peers, self->awake_ms,
                      self->process.options->rpc);
}

/* Texts are borrowed from the jobs; free the array. */
static GArray *
own_counts(const Leased_Entry *self)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(lc_queue_count));
    QueueCounts *counts = LeasedEntry_Waiting(self);
    GHashTableIter iter;
    gpointer queue;
    gpointer waiting;

    g_hash_table_iter_init(&iter, counts);
    while (rows->len < LC_MAX_QUEUES &&
           g_hash_table_iter_next(&iter, &queue, &waiting)) {
        lc_queue_count row = {.queue = queue,
                              .waiting = GPOINTER_TO_UINT(waiting)};
        g_array_append_val(rows, row);
    }
    g_hash_table_unref(counts);
    return rows;
}

static void
note_told(const Leased_Entry *self, int64_t now, Peers_Row *peer,
          const GArray *counts)
{
    peer->told_ms = now;
    peer->told_waiting = counts->len > 0;
    peer->told_routes = LeasedRoutes_Version(self);
}

static void
send_gossip(Leased_Entry *self, int64_t now, Peers_Row *peer)
{
    GArray *live = LeasedGossip_Known(self);
    GArray *counts = own_counts(self);
    Msg_Call call = {.kind = MSG_GOSSIP};

    call.u.gossip.from = Dispatcher_Node(self->dispatcher);
    call.u.gossip.kept = Keeper_Identity(self->keeper, now);
    call.u.gossip.routes_version = LeasedRoutes_Version(self);
    call.u.gossip.known = Peers_Digest(live);
    if (peer->digest != call.u.gossip.known) {
        call.u.gossip.entries.entries_len = live->len;
        call.u.gossip.entries.entries_val = (u_quad_t *)(void *)live->data;
    }
    call.u.gossip.waiting.waiting_len = counts->len;
    call.u.gossip.waiting.waiting_val = (lc_queue_count *)(void *)counts->data;
    Closures_Tell(Dispatcher_Closures(self->dispatcher), now,
                  &call.u.gossip.closures);
    peer->call_id = ++self->next_call | LEASED_OWN_CALL;
    peer->asked_ms = now;
    note_told(self, now, peer, counts);
    Rpc_Call(self->process.rpc, peer->address, peer->call_id, &call);
    g_array_unref(live);
    g_array_unref(counts);
}

static void
log_silent(Leased_Entry *self, const Peers_Row *peer, int64_t since_ms)
{
    Counter_Add(Dispatcher_Counters(self->dispatcher), COUNTER_GOSSIP_GIVEN_UP,
                1);
    Event_Log(EVENT_PEER_SILENT, "%s, asked %lld ms ago, routes version %lld",
              Address_Text(peer->address), (long long)since_ms,
              (long long)LeasedRoutes_Version(self));
}

/* Jobs wait here, or other entries have to know soon that this one lives. */
static bool
has_news(const Leased_Entry *self)
{
    GArray *counts;
    bool waiting;

    if (Keeper_NeedsAll(self->keeper)) {
        return true;
    }
    counts = own_counts(self);
    waiting = counts->len > 0;
    g_array_unref(counts);
    return waiting;
}

static int64_t
spaced_ms(const Leased_Entry *self, int64_t now, const Peers_Row *peer,
          bool news)
{
    bool quiet = !news && !peer->told_waiting &&
                 peer->told_routes == LeasedRoutes_Version(self);
    int64_t spaced = Peers_SpacedMs(&self->peers, GOSSIP_MS, GOSSIP_LEAST_MS,
                                    quiet ? GOSSIP_QUIET_MOST_MS
                                          : GOSSIP_MOST_MS);

    if (!Peers_IsLive(peer, now)) {
        return MIN(spaced, Peers_PatienceMs(peer, now));
    }
    /* An answer tells as much as a call: of a pair the one with the lower
     * address calls, and one connection serves both. */
    return peer->address < self->process.options->rpc
               ? spaced * WAIT_FOR_CALL_PERCENT / PERCENT
               : spaced;
}

void
LeasedGossip_Tick(Leased_Entry *self, int64_t now)
{
    bool news = has_news(self);
    guint i;

    for (i = 0; i < self->peers.rows->len; i++) {
        Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        int64_t spaced = spaced_ms(self, now, peer, news);
        int64_t patience = Peers_PatienceMs(peer, now);
        int64_t since = now - peer->asked_ms;
        int64_t untold = now - MAX(peer->told_ms, peer->asked_ms);
        if (peer->call_id == 0 && untold >= spaced) {
            send_gossip(self, now, peer);
        }
        else if (peer->call_id != 0 && since >= patience) {
            log_silent(self, peer, since);
            Rpc_Reset(self->process.rpc, peer->address);
        }
    }
}

static void
take_news(Leased_Entry *self, Address from, int64_t routes_version,
          uint64_t digest, const u_quad_t *entries, u_int entry_count,
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
    peer->routes_version = routes_version;
    peer->digest = digest;
    g_array_set_size(peer->waiting, 0);
    for (i = 0; i < count; i++) {
        Peers_Count row = {.waiting = counts[i].waiting};
        g_strlcpy(row.queue, counts[i].queue, sizeof(row.queue));
        g_array_append_val(peer->waiting, row);
    }
}

void
LeasedGossip_Answer(Leased_Entry *self, uint64_t reply_id,
                    const lc_gossip_args *args)
{
    Msg_Reply reply = {.kind = MSG_GOSSIP};
    lc_gossip_res *result = &reply.u.gossip;
    Peers_Row *peer;
    GArray *live;
    GArray *counts = own_counts(self);

    Keeper_OnPeer(self->keeper, self->awake_ms, args->from.address,
                  args->kept);
    Dispatcher_TakeClosures(self->dispatcher, self->awake_ms, CLOSURES_UNASKED,
                            &args->closures, Address_Text(args->from.address));
    take_news(self, args->from.address, args->routes_version, args->known,
              args->entries.entries_val, args->entries.entries_len,
              args->waiting.waiting_val, args->waiting.waiting_len);
    live = LeasedGossip_Known(self);
    result->from = Dispatcher_Node(self->dispatcher);
    result->kept = Keeper_Identity(self->keeper, self->awake_ms);
    result->routes_version = LeasedRoutes_Version(self);
    result->known = Peers_Digest(live);
    if (args->known != result->known) {
        result->entries.entries_len = live->len;
        result->entries.entries_val = (u_quad_t *)(void *)live->data;
    }
    result->waiting.waiting_len = counts->len;
    result->waiting.waiting_val = (lc_queue_count *)(void *)counts->data;
    Closures_Tell(Dispatcher_Closures(self->dispatcher), self->awake_ms,
                  &result->closures);
    peer = Peers_Find(&self->peers, args->from.address);
    if (peer != NULL) {
        note_told(self, self->awake_ms, peer, counts);
    }
    Process_PortReply(&self->process, reply_id, &reply);
    g_array_unref(live);
    g_array_unref(counts);
}

void
LeasedGossip_Take(Leased_Entry *self, int64_t asked_ms,
                  const lc_gossip_res *result)
{
    Keeper_OnPeer(self->keeper, self->awake_ms, result->from.address,
                  result->kept);
    Dispatcher_TakeClosures(self->dispatcher, self->awake_ms, asked_ms,
                            &result->closures,
                            Address_Text(result->from.address));
    take_news(self, result->from.address, result->routes_version,
              result->known, result->entries.entries_val,
              result->entries.entries_len, result->waiting.waiting_val,
              result->waiting.waiting_len);
}

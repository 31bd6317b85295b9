#include "daemon/leased_entry_state.h"

#include "base/event.h"

/* Interval of gossip with an entry: this times the number of entries, within
 * the bounds below. */
#define GOSSIP_PER_ENTRY_MS 75
#define GOSSIP_MIN_MS 300
#define GOSSIP_MAX_MS 1500
/* Upper bound while there is nothing new to send: no jobs wait, and none did
 * at the last message. Half of the time after which a silent entry leaves the
 * others' lists (8 s). */
#define GOSSIP_IDLE_MAX_MS 4000

/* The entry of a pair that expects to be called waits for this much of the
 * interval before it calls itself: enough for a tick and a slow call of the
 * other, and counts of waiting jobs are still sent within the 2 s for which
 * they may be used. */
#define CALLEE_WAIT_PERCENT 125
#define PERCENT 100

GArray *
LeasedGossip_LiveEntries(const Leased_Entry *self)
{
    return Peers_ListLive(&self->peers, self->last_input_ms,
                          self->process.options->rpc);
}

/* Waiting jobs by queue, as lc_queue_count. The names are borrowed from the
 * jobs; the caller frees the array. The queues' addresses are appended to
 * @p addresses, unless that is NULL. */
static GArray *
own_waiting(const Leased_Entry *self, GArray *addresses)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(lc_queue_count));
    QueueCounts *counts = LeasedEntry_CountWaiting(self);
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, counts);
    while (rows->len < LC_MAX_QUEUES &&
           g_hash_table_iter_next(&iter, NULL, &item)) {
        const QueueCounts_Row *count = item;
        lc_queue_count row = {.queue = (char *)(uintptr_t)count->queue.name,
                              .waiting = count->jobs};
        g_array_append_val(rows, row);
        if (addresses != NULL) {
            g_array_append_val(addresses, count->queue.address);
        }
    }
    g_hash_table_unref(counts);
    return rows;
}

static void
record_sent(const Leased_Entry *self, int64_t now, Peers_Row *peer,
            const GArray *counts)
{
    peer->last_sent_ms = now;
    peer->last_sent_waiting = counts->len > 0;
    peer->last_sent_routes_version = LeasedRoutes_Version(self);
}

static void
send_gossip(Leased_Entry *self, int64_t now, Peers_Row *peer)
{
    GArray *live = LeasedGossip_LiveEntries(self);
    GArray *addresses = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *counts = own_waiting(self, addresses);
    Msg_Call call = {.kind = MSG_GOSSIP};

    call.u.gossip.from = Dispatcher_Node(self->dispatcher);
    call.u.gossip.kept = DurableJobs_OwnerIncarnation(self->durable_jobs, now);
    call.u.gossip.routes_version = LeasedRoutes_Version(self);
    call.u.gossip.known = Peers_Digest(live);
    if (peer->digest != call.u.gossip.known) {
        call.u.gossip.entries.entries_len = live->len;
        call.u.gossip.entries.entries_val = (u_quad_t *)(void *)live->data;
    }
    call.u.gossip.waiting.waiting_len = counts->len;
    call.u.gossip.waiting.waiting_val = (lc_queue_count *)(void *)counts->data;
    call.u.gossip.addresses.addresses_len = addresses->len;
    call.u.gossip.addresses.addresses_val =
        (u_quad_t *)(void *)addresses->data;
    HallClosures_FillMessage(Dispatcher_Closures(self->dispatcher), now,
                             &call.u.gossip.closures);
    peer->call_id = ++self->last_call_id | LEASED_ENTRY_CALL_FLAG;
    peer->call_sent_ms = now;
    record_sent(self, now, peer, counts);
    Rpc_Call(self->process.rpc, peer->address, peer->call_id, &call);
    g_array_unref(live);
    g_array_unref(counts);
    g_array_unref(addresses);
}

static void
log_silent(Leased_Entry *self, const Peers_Row *peer, int64_t since_ms)
{
    Counter_Add(Dispatcher_Counters(self->dispatcher), COUNTER_GOSSIP_GIVEN_UP,
                1);
    Event_Log(EVENT_PEER_SILENT,
              "%s has not answered for %lld ms, routes version %lld",
              Address_Text(peer->address), (long long)since_ms,
              (long long)LeasedRoutes_Version(self));
}

/* Whether jobs wait here, or other entries must soon learn that this one is
 * alive. */
static bool
is_urgent(const Leased_Entry *self)
{
    GArray *counts;
    bool waiting;

    if (DurableJobs_NeedsAllReports(self->durable_jobs)) {
        return true;
    }
    counts = own_waiting(self, NULL);
    waiting = counts->len > 0;
    g_array_unref(counts);
    return waiting;
}

static int64_t
gossip_interval_ms(const Leased_Entry *self, int64_t now,
                   const Peers_Row *peer, bool urgent)
{
    bool idle = !urgent && !peer->last_sent_waiting &&
                peer->last_sent_routes_version == LeasedRoutes_Version(self);
    int64_t interval = Peers_CallIntervalMs(
        &self->peers, GOSSIP_PER_ENTRY_MS, GOSSIP_MIN_MS,
        idle ? GOSSIP_IDLE_MAX_MS : GOSSIP_MAX_MS);

    if (!Peers_IsLive(peer, now)) {
        return MIN(interval, Peers_CallTimeoutMs(peer, now));
    }
    /* A reply carries as much as a call: of a pair the entry with the lower
     * address calls, and one connection serves both. */
    return peer->address < self->process.options->rpc
               ? interval * CALLEE_WAIT_PERCENT / PERCENT
               : interval;
}

void
LeasedGossip_Tick(Leased_Entry *self, int64_t now)
{
    bool urgent = is_urgent(self);
    guint i;

    for (i = 0; i < self->peers.rows->len; i++) {
        Peers_Row *peer = g_ptr_array_index(self->peers.rows, i);
        int64_t interval = gossip_interval_ms(self, now, peer, urgent);
        int64_t timeout = Peers_CallTimeoutMs(peer, now);
        int64_t since = now - peer->call_sent_ms;
        int64_t since_sent = now - MAX(peer->last_sent_ms, peer->call_sent_ms);
        if (peer->call_id == 0 && since_sent >= interval) {
            send_gossip(self, now, peer);
        }
        else if (peer->call_id != 0 && since >= timeout) {
            log_silent(self, peer, since);
            Rpc_Disconnect(self->process.rpc, peer->address);
        }
    }
}

/* Returns the row of the sender, or NULL. */
static Peers_Row *
apply_gossip(Leased_Entry *self, Address from, int64_t routes_version,
             uint64_t digest, const u_quad_t *entries, u_int entry_count)
{
    int64_t now = self->last_input_ms;
    Peers_Row *peer;
    u_int i;

    if (Peers_MarkAlive(&self->peers, from, now)) {
        Event_Log(EVENT_PEER_FOUND, "%s", Address_Text(from));
    }
    for (i = 0; i < entry_count; i++) {
        Peers_Add(&self->peers, entries[i], now);
    }
    peer = Peers_Find(&self->peers, from);
    if (peer != NULL) {
        peer->routes_version = routes_version;
        peer->digest = digest;
    }
    return peer;
}

/* A peer of an earlier version sends no addresses. */
static void
apply_waiting(Peers_Row *peer, const lc_queue_count *counts, u_int count,
              const u_quad_t *addresses, u_int address_count)
{
    u_int i;

    if (peer == NULL) {
        return;
    }
    g_array_set_size(peer->waiting, 0);
    for (i = 0; i < count; i++) {
        Peers_QueueCount row = {.waiting = counts[i].waiting,
                                .address = i < address_count ? addresses[i]
                                                             : 0};
        g_strlcpy(row.queue, counts[i].queue, sizeof(row.queue));
        g_array_append_val(peer->waiting, row);
    }
}

void
LeasedGossip_OnCall(Leased_Entry *self, uint64_t reply_id,
                    const lc_gossip_args *args)
{
    Msg_Reply reply = {.kind = MSG_GOSSIP};
    lc_gossip_res *result = &reply.u.gossip;
    Peers_Row *peer;
    GArray *live;
    GArray *addresses = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *counts = own_waiting(self, addresses);

    DurableJobs_OnPeer(self->durable_jobs, self->last_input_ms,
                       args->from.address, args->kept);
    Dispatcher_MergeClosures(self->dispatcher, self->last_input_ms,
                             HALL_CLOSURES_UNSOLICITED, &args->closures,
                             Address_Text(args->from.address));
    peer = apply_gossip(self, args->from.address, args->routes_version,
                        args->known, args->entries.entries_val,
                        args->entries.entries_len);
    apply_waiting(peer, args->waiting.waiting_val, args->waiting.waiting_len,
                  args->addresses.addresses_val,
                  args->addresses.addresses_len);
    live = LeasedGossip_LiveEntries(self);
    result->from = Dispatcher_Node(self->dispatcher);
    result->kept = DurableJobs_OwnerIncarnation(self->durable_jobs,
                                                self->last_input_ms);
    result->routes_version = LeasedRoutes_Version(self);
    result->known = Peers_Digest(live);
    if (args->known != result->known) {
        result->entries.entries_len = live->len;
        result->entries.entries_val = (u_quad_t *)(void *)live->data;
    }
    result->waiting.waiting_len = counts->len;
    result->waiting.waiting_val = (lc_queue_count *)(void *)counts->data;
    result->addresses.addresses_len = addresses->len;
    result->addresses.addresses_val = (u_quad_t *)(void *)addresses->data;
    HallClosures_FillMessage(Dispatcher_Closures(self->dispatcher),
                             self->last_input_ms, &result->closures);
    if (peer != NULL) {
        record_sent(self, self->last_input_ms, peer, counts);
    }
    Process_PortReply(&self->process, reply_id, &reply);
    g_array_unref(live);
    g_array_unref(counts);
    g_array_unref(addresses);
}

void
LeasedGossip_OnReply(Leased_Entry *self, int64_t requested_ms,
                     const lc_gossip_res *result)
{
    Peers_Row *peer;

    DurableJobs_OnPeer(self->durable_jobs, self->last_input_ms,
                       result->from.address, result->kept);
    Dispatcher_MergeClosures(self->dispatcher, self->last_input_ms,
                             requested_ms, &result->closures,
                             Address_Text(result->from.address));
    peer = apply_gossip(self, result->from.address, result->routes_version,
                        result->known, result->entries.entries_val,
                        result->entries.entries_len);
    apply_waiting(peer, result->waiting.waiting_val,
                  result->waiting.waiting_len, result->addresses.addresses_val,
                  result->addresses.addresses_len);
}

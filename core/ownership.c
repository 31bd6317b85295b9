#include "core/ownership.h"

#include <string.h>

#include "core/membership.h"
#include "core/recovery.h"

/* Number of retries within the wait for an inventory. */
#define INVENTORY_RETRIES 10

bool
Ownership_HasEvidence(const Blackboard *board)
{
    return !board->deposed && Blackboard_IsMember(board) &&
           board->now.mono_ms < board->evidence_until_ms;
}

/*
 * The first completed settle of `epoch` or later. It established whether the
 * keys owned since then had been started.
 */
static const Completed_Settle *
settled_since(const Blackboard *board, uint64_t epoch)
{
    guint i;

    for (i = 0; i < board->settles->len; i++) {
        const Completed_Settle *settled = &g_array_index(board->settles,
                                                         Completed_Settle, i);
        if (settled->epoch >= epoch) {
            return settled;
        }
    }
    return NULL;
}

static bool
owned_by(const View_Epoch *epoch, const Key *key, const lc_node *node)
{
    lc_node owner = View_EpochOwner(epoch, key);

    return Node_Same(&owner, node);
}

/*
 * Whether an owner of the key in the epochs before index `first` has left the
 * view, so that it cannot be queried.
 */
static bool
had_removed_owner(const View *view, guint first, const Key *key)
{
    guint i;

    for (i = 0; i < first; i++) {
        lc_node owner = View_EpochOwner(
            &g_array_index(view->epochs, View_Epoch, i), key);
        if (owner.address != 0 && View_Find(view, &owner) == NULL) {
            return true;
        }
    }
    return false;
}

Ownership_Verdict
Ownership_Check(const Blackboard *board, const Key *key, lc_node *owner)
{
    const View *view = Blackboard_View(board);
    const lc_node *self = &board->config.self;
    int64_t created_ms = Key_CreatedMs(key);
    const Completed_Settle *settled;
    const View_Epoch *oldest;
    guint first = view->epochs->len;

    *owner = View_Owner(view, key);
    if (owner->address == 0) {
        return OWN_NO_OWNER;
    }
    if (!Node_Same(owner, self)) {
        return OWN_OTHER;
    }
    while (first > 0 &&
           owned_by(&g_array_index(view->epochs, View_Epoch, first - 1), key,
                    self)) {
        first--;
    }
    settled = settled_since(
        board, g_array_index(view->epochs, View_Epoch, first).offset);
    if (settled == NULL) {
        return OWN_UNSETTLED;
    }
    oldest = &g_array_index(view->epochs, View_Epoch, 0);
    if (created_ms < board->overflow_before_ms ||
        created_ms < oldest->at_ms - board->config.skew_ms) {
        return OWN_UNSURE;
    }
    if (created_ms < settled->unsure_before_ms &&
        had_removed_owner(view, first, key)) {
        return OWN_UNSURE;
    }
    return OWN_NEVER_STARTED;
}

static void
add_settle_peers(Blackboard *board)
{
    const View *view = Blackboard_View(board);
    guint i;

    for (i = 0; i < view->members->len; i++) {
        const View_Member *member = &g_array_index(view->members, View_Member,
                                                   i);
        Settle_Peer *peer;
        if (Node_Same(&member->node, &board->config.self)) {
            continue;
        }
        peer = g_new0(Settle_Peer, 1);
        peer->address = member->node.address;
        g_hash_table_insert(member->is_entry ? board->settle.entries
                                             : board->settle.companions,
                            &peer->address, peer);
    }
}

static bool
has_removed_entry(const View *view)
{
    guint i;

    for (i = 0; i < view->removed->len; i++) {
        if (g_array_index(view->removed, View_Removed, i).is_entry) {
            return true;
        }
    }
    return false;
}

typedef struct {
    const Blackboard *board;
    bool found;
} holder_search;

static void
find_removed_holder(Job *job, void *context)
{
    holder_search *search = context;

    if (job->state == JOB_HELD &&
        View_Find(Blackboard_View(search->board), &job->holder) == NULL) {
        search->found = true;
    }
}

/*
 * Whether the holder of a job has left the view. What companions reported of
 * such a job was discarded while its holder was a member, because the holder
 * had the authoritative state, so it must be queried again.
 */
static bool
has_removed_holder(const Blackboard *board)
{
    holder_search search = {board, false};

    Ledger_ForEach(board->ledger, find_removed_holder, &search);
    return search.found;
}

void
Ownership_OnView(Blackboard *board)
{
    Settle *settle = &board->settle;
    const View *view = Blackboard_View(board);

    if (settle->epoch == view->epoch) {
        return;
    }
    settle->epoch = view->epoch;
    settle->active = Blackboard_IsOwner(board);
    if (Recovery_RemoveForeign(board) > 0 || has_removed_holder(board)) {
        settle->full = true;
    }
    settle->started_ms = board->now.mono_ms;
    settle->applied_ms = 0;
    g_hash_table_remove_all(settle->entries);
    g_hash_table_remove_all(settle->companions);
    if (settle->found != NULL) {
        g_ptr_array_unref(settle->found);
    }
    settle->found = g_ptr_array_new_with_free_func(Recovery_FreeStarted);
    if (settle->active) {
        add_settle_peers(board);
    }
    if (!has_removed_entry(view)) {
        g_hash_table_remove_all(settle->companions);
    }
}

typedef struct {
    const Blackboard *board;
    lc_node caller;
    GArray *keys;
} held_search;

static void
collect_held(Job *job, void *context)
{
    held_search *search = context;
    lc_node owner = View_Owner(Blackboard_View(search->board), &job->key);
    lc_key key = Node_KeyToWire(&job->key);

    if (job->state != JOB_HELD && job->state != JOB_RECOVERED &&
        Node_Same(&owner, &search->caller)) {
        g_array_append_val(search->keys, key);
    }
}

static GArray *
discharged_list(const Blackboard *board)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(lc_node));
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, board->discharged);
    while (g_hash_table_iter_next(&iter, &key, NULL) &&
           list->len < LC_MAX_DEMAND) {
        g_array_append_val(list, *(lc_node *)key);
    }
    return list;
}

void
Ownership_AnswerSettle(Blackboard *board, uint64_t reply_id,
                       const lc_settle_args *args)
{
    Msg_Reply reply = {.kind = MSG_SETTLE};
    held_search search = {board, args->from,
                          g_array_new(FALSE, FALSE, sizeof(lc_key))};
    GArray *discharged = discharged_list(board);

    reply.u.settle.node = board->config.self;
    reply.u.settle.position = Replica_Position(board->replica);
    if (reply.u.settle.position.epoch == args->epoch) {
        Ledger_ForEach(board->ledger, collect_held, &search);
    }
    reply.u.settle.keys.keys_len = search.keys->len;
    reply.u.settle.keys.keys_val = (lc_key *)(void *)search.keys->data;
    reply.u.settle.discharged.discharged_len = discharged->len;
    reply.u.settle.discharged.discharged_val =
        (lc_node *)(void *)discharged->data;
    board->ports.reply(board->context, reply_id, &reply);
    g_array_unref(search.keys);
    g_array_unref(discharged);
}

static void
discharge(Blackboard *board, const lc_node *node)
{
    g_hash_table_add(board->discharged, g_memdup2(node, sizeof(*node)));
}

/*
 * The settle peer that a reply belongs to, or NULL if the reply is stale: it
 * must answer a call of the current settle, and its sender must be the member
 * that was called.
 */
static Settle_Peer *
match_reply(Blackboard *board, GHashTable *peers, const Call *call,
            const lc_node *node)
{
    Settle_Peer *peer = g_hash_table_lookup(peers, &call->to);
    const View_Member *member;

    if (!board->settle.active || peer == NULL ||
        call->epoch != board->settle.epoch) {
        return NULL;
    }
    peer->call = 0;
    peer->retry_ms = board->now.mono_ms +
                     board->config.inventory_ms / INVENTORY_RETRIES;
    member = View_FindAddress(Blackboard_View(board), call->to);
    if (node == NULL || member == NULL || !Node_Same(&member->node, node)) {
        return NULL;
    }
    return peer;
}

/*
 * Whether a peer is at the epoch being settled. A peer that is behind is
 * marked for a relay of the records that it lacks.
 */
static bool
is_at_epoch(Blackboard *board, Address address, const lc_position *position)
{
    Peer *peer = Blackboard_GetPeer(board, address);

    if (position->epoch < board->settle.epoch) {
        peer->position = *position;
        peer->wants_relay = true;
    }
    return position->epoch == board->settle.epoch;
}

static void
record_held(Blackboard *board, const Key *key, const lc_node *holder)
{
    Job *job = Ledger_Find(board->ledger, key);

    if (job == NULL) {
        job = Ledger_Add(board->ledger, key);
        if (job == NULL) {
            Blackboard_RecordLedgerFull(board);
            return;
        }
    }
    else if (job->state != JOB_HELD && job->state != JOB_RECOVERED) {
        return;
    }
    else {
        Ledger_Reopen(board->ledger, job);
        Job_FreeTasks(job);
    }
    job->state = JOB_HELD;
    job->holder = *holder;
    Ledger_MarkEnded(board->ledger, job, board->now.mono_ms);
}

void
Ownership_OnSettle(Blackboard *board, const Call *call,
                   const lc_settle_res *reply)
{
    Settle_Peer *peer = match_reply(board, board->settle.entries, call,
                                    reply == NULL ? NULL : &reply->node);
    u_int i;

    if (peer == NULL || !is_at_epoch(board, call->to, &reply->position)) {
        return;
    }
    for (i = 0; i < reply->keys.keys_len; i++) {
        Key key = Node_KeyFromWire(&reply->keys.keys_val[i]);
        record_held(board, &key, &reply->node);
    }
    for (i = 0; i < reply->discharged.discharged_len; i++) {
        discharge(board, &reply->discharged.discharged_val[i]);
    }
    peer->done = true;
}

void
Ownership_OnInventory(Blackboard *board, const Call *call,
                      const lc_inventory_res *reply)
{
    Settle_Peer *peer = match_reply(board, board->settle.companions, call,
                                    reply == NULL ? NULL : &reply->node);
    u_int i;

    if (peer == NULL || !is_at_epoch(board, call->to, &reply->position)) {
        return;
    }
    for (i = 0; i < reply->tasks.tasks_len; i++) {
        g_ptr_array_add(
            board->settle.found,
            Recovery_CopyStarted(&reply->tasks.tasks_val[i], &reply->node));
    }
    peer->cursor = reply->next;
    peer->done = reply->next == 0;
    peer->retry_ms = 0;
}

static uint64_t
last_settled(const Blackboard *board)
{
    if (board->settles->len == 0) {
        return 0;
    }
    return g_array_index(board->settles, Completed_Settle,
                         board->settles->len - 1)
        .epoch;
}

static void
call_settle(Blackboard *board, Settle_Peer *peer)
{
    Msg_Call call = {.kind = MSG_SETTLE};
    Call info = {.to = peer->address, .epoch = board->settle.epoch};

    call.u.settle.from = board->config.self;
    call.u.settle.epoch = board->settle.epoch;
    peer->call = Blackboard_SendCall(board, &call, &info);
}

static void
call_inventory(Blackboard *board, Settle_Peer *peer)
{
    Msg_Call call = {.kind = MSG_INVENTORY};
    Call info = {.to = peer->address, .epoch = board->settle.epoch};

    call.u.inventory.from = board->config.self;
    call.u.inventory.epoch = board->settle.epoch;
    call.u.inventory.settled = board->settle.full ? 0 : last_settled(board);
    call.u.inventory.cursor = peer->cursor;
    peer->call = Blackboard_SendCall(board, &call, &info);
}

/* Calls every peer whose call is due; returns the number not done. */
static uint32_t
call_pending(Blackboard *board, GHashTable *peers,
             void (*call)(Blackboard *board, Settle_Peer *peer))
{
    GHashTableIter iter;
    gpointer value;
    uint32_t missing = 0;

    g_hash_table_iter_init(&iter, peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Settle_Peer *peer = value;
        if (peer->done) {
            continue;
        }
        missing++;
        if (Handle_Get(board->calls, peer->call) == NULL &&
            board->now.mono_ms >= peer->retry_ms) {
            call(board, peer);
        }
    }
    return missing;
}

/*
 * Whether no removed entry can admit a job any more. A removed entry that may
 * still run acts only on evidence of membership that members give it. All
 * members have applied its removal since `applied_ms`, so its evidence expires
 * after evidence_ms (a tenth is added as margin). Two such entries could give
 * evidence to each other, so then they stay undischarged until one of them is
 * known to be gone, for instance by the host list.
 */
static bool
all_discharged(Blackboard *board)
{
    const View *view = Blackboard_View(board);
    const View_Removed *undischarged = NULL;
    int64_t wait_ms = board->config.evidence_ms * 11 / 10;
    guint i;

    for (i = 0; i < view->removed->len; i++) {
        const View_Removed *removed = &g_array_index(view->removed,
                                                     View_Removed, i);
        if (!removed->is_entry ||
            g_hash_table_contains(board->discharged, &removed->node) ||
            Blackboard_IsNodeGone(board, &removed->node, removed->added_ms)) {
            continue;
        }
        if (undischarged != NULL) {
            return false;
        }
        undischarged = removed;
    }
    if (undischarged == NULL) {
        return true;
    }
    if (board->now.mono_ms - board->settle.applied_ms < wait_ms) {
        return false;
    }
    discharge(board, &undischarged->node);
    return true;
}

/*
 * Wall-clock time before which tasks may have been started without a record
 * at any reachable companion; 0 if there is none.
 */
static int64_t
unsure_before_wall_ms(const Blackboard *board, uint32_t silent_companions)
{
    const View *view = Blackboard_View(board);
    int64_t before_ms = 0;
    guint i;

    if (!has_removed_entry(view)) {
        return 0;
    }
    for (i = 0; i < view->removed->len; i++) {
        const View_Removed *removed = &g_array_index(view->removed,
                                                     View_Removed, i);
        if (!removed->is_entry && removed->at_ms > before_ms) {
            before_ms = removed->at_ms;
        }
    }
    if (silent_companions > 0) {
        before_ms = board->now.wall_ms;
    }
    return before_ms == 0 ? 0 : before_ms + board->config.skew_ms;
}

static void
remove_old_settles(Blackboard *board)
{
    const View *view = Blackboard_View(board);
    uint64_t oldest = g_array_index(view->epochs, View_Epoch, 0).offset;

    while (board->settles->len > 1 &&
           g_array_index(board->settles, Completed_Settle, 0).epoch < oldest) {
        g_array_remove_index(board->settles, 0);
    }
}

static void
complete_settle(Blackboard *board, uint32_t silent_companions)
{
    Completed_Settle settled = {
        board->settle.epoch, unsure_before_wall_ms(board, silent_companions)};

    board->settle.active = false;
    board->settle.full = false;
    Blackboard_Event(board, EVENT_INVENTORY,
                     "%u task starts recovered from companions",
                     board->settle.found->len);
    Recovery_Merge(board, board->settle.found, settled.unsure_before_ms);
    g_ptr_array_set_size(board->settle.found, 0);
    g_array_append_val(board->settles, settled);
    remove_old_settles(board);
    Blackboard_Event(
        board, EVENT_SETTLED,
        "epoch %llu settled in %lld ms, %u companions did not answer",
        (unsigned long long)settled.epoch,
        (long long)(board->now.mono_ms - board->settle.started_ms),
        silent_companions);
}

void
Ownership_Tick(Blackboard *board)
{
    Settle *settle = &board->settle;
    uint32_t entries;
    uint32_t companions;

    if (!settle->active) {
        return;
    }
    entries = call_pending(board, settle->entries, call_settle);
    companions = call_pending(board, settle->companions, call_inventory);
    if (entries > 0) {
        return;
    }
    if (settle->applied_ms == 0) {
        settle->applied_ms = board->now.mono_ms;
    }
    if (!all_discharged(board)) {
        return;
    }
    if (companions > 0 &&
        board->now.mono_ms - settle->started_ms < board->config.inventory_ms) {
        return;
    }
    complete_settle(board, companions);
}

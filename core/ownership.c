#include "core/ownership.h"

#include <string.h>

#include "core/members.h"
#include "core/recovery.h"

/* Tries that fit into the wait for an inventory. */
#define TRIES 10

bool
Ownership_HasEvidence(const Board *board)
{
    return !board->deposed && Board_IsMember(board) &&
           board->now.mono_ms < board->evidence_until_ms;
}

/* First settle from @p epoch on: the one that learned a key's past. */
static const Settled *
settled_since(const Board *board, uint64_t epoch)
{
    guint i;

    for (i = 0; i < board->settles->len; i++) {
        const Settled *settled = &g_array_index(board->settles, Settled, i);
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

/* Whether an owner before epoch number @p first is no longer there to ask. */
static bool
had_lost_owner(const View *view, guint first, const Key *key)
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

Own_Verdict
Ownership_Judge(const Board *board, const Key *key, lc_node *owner)
{
    const View *view = Board_View(board);
    const lc_node *self = &board->config.self;
    int64_t minted_ms = Key_Time(key);
    const Settled *settled;
    const View_Epoch *oldest;
    guint first = view->epochs->len;

    *owner = View_Owner(view, key);
    if (owner->address == 0) {
        return OWN_NOBODY;
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
    if (minted_ms < board->overflow_before_ms ||
        minted_ms < oldest->at_ms - board->config.skew_ms) {
        return OWN_UNSURE;
    }
    if (minted_ms < settled->unsure_before_ms &&
        had_lost_owner(view, first, key)) {
        return OWN_UNSURE;
    }
    return OWN_CLEAN;
}

static void
add_settle_peers(Board *board)
{
    const View *view = Board_View(board);
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
    const Board *board;
    bool found;
} lost_search;

static void
find_lost_holder(Job *job, void *context)
{
    lost_search *search = context;

    if (job->state == JOB_HELD &&
        View_Find(Board_View(search->board), &job->holder) == NULL) {
        search->found = true;
    }
}

/*
 * Whether a job's holder has left: what companions told of it before was not
 * kept, because the holder knew better, and must be asked for again.
 */
static bool
has_lost_holder(const Board *board)
{
    lost_search search = {board, false};

    Ledger_Each(board->ledger, find_lost_holder, &search);
    return search.found;
}

void
Ownership_OnView(Board *board)
{
    Settle *settle = &board->settle;
    const View *view = Board_View(board);

    if (settle->epoch == view->epoch) {
        return;
    }
    settle->epoch = view->epoch;
    settle->active = Board_IsOwner(board);
    if (Recovery_DropForeign(board) > 0 || has_lost_holder(board)) {
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
    const Board *board;
    lc_node caller;
    GArray *keys;
} held_search;

static void
collect_held(Job *job, void *context)
{
    held_search *search = context;
    lc_node owner = View_Owner(Board_View(search->board), &job->key);
    lc_key key = Node_WireKey(&job->key);

    if (job->state != JOB_HELD && job->state != JOB_RECOVERED &&
        Node_Same(&owner, &search->caller)) {
        g_array_append_val(search->keys, key);
    }
}

static GArray *
discharged_list(const Board *board)
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
Ownership_AnswerSettle(Board *board, uint64_t reply_id,
                       const lc_settle_args *args)
{
    Msg_Reply reply = {.kind = MSG_SETTLE};
    held_search search = {board, args->from,
                          g_array_new(FALSE, FALSE, sizeof(lc_key))};
    GArray *discharged = discharged_list(board);

    reply.u.settle.node = board->config.self;
    reply.u.settle.position = Fold_Position(board->fold);
    if (reply.u.settle.position.epoch == args->epoch) {
        Ledger_Each(board->ledger, collect_held, &search);
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
discharge(Board *board, const lc_node *node)
{
    g_hash_table_add(board->discharged, g_memdup2(node, sizeof(*node)));
}

/*
 * The peer of a reply that still counts, or NULL: the reply must answer the
 * call we wait for, and its sender be the member that was asked.
 */
static Settle_Peer *
match_reply(Board *board, GHashTable *peers, const Call *call,
            const lc_node *node)
{
    Settle_Peer *peer = g_hash_table_lookup(peers, &call->to);
    const View_Member *member;

    if (!board->settle.active || peer == NULL ||
        call->epoch != board->settle.epoch) {
        return NULL;
    }
    peer->call = 0;
    peer->retry_ms = board->now.mono_ms + board->config.inventory_ms / TRIES;
    member = View_FindAddress(Board_View(board), call->to);
    if (node == NULL || member == NULL || !Node_Same(&member->node, node)) {
        return NULL;
    }
    return peer;
}

/* Whether a peer stands at our epoch; one that is behind gets the records. */
static bool
same_epoch(Board *board, Address address, const lc_position *position)
{
    Peer *peer = Board_Peer(board, address);

    if (position->epoch < board->settle.epoch) {
        peer->position = *position;
        peer->wants_relay = true;
    }
    return position->epoch == board->settle.epoch;
}

static void
note_held(Board *board, const Key *key, const lc_node *holder)
{
    Job *job = Ledger_Find(board->ledger, key);

    if (job == NULL) {
        job = Ledger_Add(board->ledger, key);
        if (job == NULL) {
            Board_Overflow(board);
            return;
        }
    }
    else if (job->state != JOB_HELD && job->state != JOB_RECOVERED) {
        return;
    }
    else {
        Ledger_Reopen(board->ledger, job);
        Job_DropTasks(job);
    }
    job->state = JOB_HELD;
    job->holder = *holder;
    Ledger_End(board->ledger, job, board->now.mono_ms);
}

void
Ownership_OnSettle(Board *board, const Call *call, const lc_settle_res *reply)
{
    Settle_Peer *peer = match_reply(board, board->settle.entries, call,
                                    reply == NULL ? NULL : &reply->node);
    u_int i;

    if (peer == NULL || !same_epoch(board, call->to, &reply->position)) {
        return;
    }
    for (i = 0; i < reply->keys.keys_len; i++) {
        Key key = Node_KeyOf(&reply->keys.keys_val[i]);
        note_held(board, &key, &reply->node);
    }
    for (i = 0; i < reply->discharged.discharged_len; i++) {
        discharge(board, &reply->discharged.discharged_val[i]);
    }
    peer->done = true;
}

void
Ownership_OnInventory(Board *board, const Call *call,
                      const lc_inventory_res *reply)
{
    Settle_Peer *peer = match_reply(board, board->settle.companions, call,
                                    reply == NULL ? NULL : &reply->node);
    u_int i;

    if (peer == NULL || !same_epoch(board, call->to, &reply->position)) {
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
last_settled(const Board *board)
{
    if (board->settles->len == 0) {
        return 0;
    }
    return g_array_index(board->settles, Settled, board->settles->len - 1)
        .epoch;
}

static void
ask_settle(Board *board, Settle_Peer *peer)
{
    Msg_Call call = {.kind = MSG_SETTLE};
    Call info = {.to = peer->address, .epoch = board->settle.epoch};

    call.u.settle.from = board->config.self;
    call.u.settle.epoch = board->settle.epoch;
    peer->call = Board_Call(board, &call, &info);
}

static void
ask_inventory(Board *board, Settle_Peer *peer)
{
    Msg_Call call = {.kind = MSG_INVENTORY};
    Call info = {.to = peer->address, .epoch = board->settle.epoch};

    call.u.inventory.from = board->config.self;
    call.u.inventory.epoch = board->settle.epoch;
    call.u.inventory.settled = board->settle.full ? 0 : last_settled(board);
    call.u.inventory.cursor = peer->cursor;
    peer->call = Board_Call(board, &call, &info);
}

/* Asks every peer that is due; returns how many are not done. */
static uint32_t
ask_all(Board *board, GHashTable *peers,
        void (*ask)(Board *board, Settle_Peer *peer))
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
            ask(board, peer);
        }
    }
    return missing;
}

/*
 * Whether no removed entry can admit a job any more. One that is not known
 * to be gone lives on the word of members alone, and all of them have
 * applied its removal since `applied_ms`; but two such could vouch for each
 * other, so with two nothing short of the host list will do.
 */
static bool
all_discharged(Board *board)
{
    const View *view = Board_View(board);
    const View_Removed *open = NULL;
    int64_t wait_ms = board->config.evidence_ms * 11 / 10;
    guint i;

    for (i = 0; i < view->removed->len; i++) {
        const View_Removed *removed = &g_array_index(view->removed,
                                                     View_Removed, i);
        if (!removed->is_entry ||
            g_hash_table_contains(board->discharged, &removed->node) ||
            Board_IsGone(board, &removed->node, removed->added_ms)) {
            continue;
        }
        if (open != NULL) {
            return false;
        }
        open = removed;
    }
    if (open == NULL) {
        return true;
    }
    if (board->now.mono_ms - board->settle.applied_ms < wait_ms) {
        return false;
    }
    discharge(board, &open->node);
    return true;
}

/* Before when a start may have happened that no companion tells of. */
static int64_t
unsure_before(const Board *board, uint32_t silent_companions)
{
    const View *view = Board_View(board);
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
forget_old_settles(Board *board)
{
    const View *view = Board_View(board);
    uint64_t oldest = g_array_index(view->epochs, View_Epoch, 0).offset;

    while (board->settles->len > 1 &&
           g_array_index(board->settles, Settled, 0).epoch < oldest) {
        g_array_remove_index(board->settles, 0);
    }
}

static void
complete(Board *board, uint32_t silent_companions)
{
    Settled settled = {board->settle.epoch,
                       unsure_before(board, silent_companions)};

    board->settle.active = false;
    board->settle.full = false;
    Board_Event(board, EVENT_INVENTORY, "%u starts inherited",
                board->settle.found->len);
    Recovery_Merge(board, board->settle.found, settled.unsure_before_ms);
    g_ptr_array_set_size(board->settle.found, 0);
    g_array_append_val(board->settles, settled);
    forget_old_settles(board);
    Board_Event(board, EVENT_SETTLED,
                "epoch %llu in %lld ms, %u companions silent",
                (unsigned long long)settled.epoch,
                (long long)(board->now.mono_ms - board->settle.started_ms),
                silent_companions);
}

void
Ownership_Tick(Board *board)
{
    Settle *settle = &board->settle;
    uint32_t entries;
    uint32_t companions;

    if (!settle->active) {
        return;
    }
    entries = ask_all(board, settle->entries, ask_settle);
    companions = ask_all(board, settle->companions, ask_inventory);
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
    complete(board, companions);
}

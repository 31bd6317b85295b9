#include "core/membership.h"

#include <string.h>

#include "core/dispatch.h"
#include "core/group_limits.h"
#include "core/log_apply.h"
#include "core/placement.h"

#define RELAY_RECORDS 256
#define RELAY_BACKUP_DELAY_MS 2000
#define APPEND_TIMEOUT_MS 2000
#define RANK_DELAY_MS 1000

static bool
is_entry(const Peer *peer)
{
    return peer->role == LC_ROLE_ENTRY;
}

static bool
is_suspect(const Blackboard *board, const Peer *peer)
{
    return peer->silent_since_ms != 0 &&
           board->now.mono_ms - peer->silent_since_ms >=
               board->config.suspect_ms;
}

bool
Membership_IsUsable(const Blackboard *board, const Peer *peer)
{
    return peer->role == LC_ROLE_COMPANION && !peer->draining &&
           peer->host != HOST_LEAVING && peer->host != HOST_GONE &&
           peer->silent_since_ms == 0 &&
           View_Find(Blackboard_View(board), &peer->node) != NULL;
}

const GPtrArray *
Membership_UsableCompanions(Blackboard *board)
{
    GHashTableIter iter;
    gpointer value;

    if (!board->usable_dirty) {
        return board->usable;
    }
    board->usable_dirty = false;
    g_ptr_array_set_size(board->usable, 0);
    g_hash_table_iter_init(&iter, board->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (Membership_IsUsable(board, value)) {
            g_ptr_array_add(board->usable, value);
        }
    }
    return board->usable;
}

void
Membership_OnHosts(Blackboard *board, const Membership_Host *hosts,
                   uint32_t count)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t i;

    g_hash_table_iter_init(&iter, board->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((Peer *)value)->host = HOST_GONE;
    }
    for (i = 0; i < count; i++) {
        Peer *peer;
        if (hosts[i].address == board->config.self.address) {
            continue;
        }
        peer = Blackboard_GetPeer(board, hosts[i].address);
        if (peer->node.incarnation == 0) {
            peer->role = hosts[i].role;
        }
        peer->host = hosts[i].leaving ? HOST_LEAVING : HOST_LIVE;
    }
    board->usable_dirty = true;
}

static void
ping(Blackboard *board, Peer *peer)
{
    Msg_Call call = {.kind = MSG_PING};
    Call info = {.to = peer->address};

    call.u.ping.from = board->config.self;
    call.u.ping.position = Replica_Position(board->replica);
    peer->ping_call = Blackboard_SendCall(board, &call, &info);
}

static int64_t
ping_interval(const Blackboard *board, const Peer *peer)
{
    bool known = peer->node.incarnation != 0 &&
                 View_Find(Blackboard_View(board), &peer->node) != NULL;

    if (!known || peer->silent_since_ms != 0) {
        return board->config.ping_entry_ms / 2;
    }
    return is_entry(peer) ? board->config.ping_entry_ms
                          : board->config.ping_companion_ms;
}

static bool
should_ping(const Blackboard *board, const Peer *peer)
{
    return peer->host == HOST_LIVE || peer->host == HOST_LEAVING ||
           View_FindAddress(Blackboard_View(board), peer->address) != NULL;
}

static void
ping_if_due(Blackboard *board, Peer *peer)
{
    const Call *pending = Handle_Get(board->calls, peer->ping_call);

    if (pending != NULL) {
        if (board->now.mono_ms - pending->sent_ms >=
            board->config.suspect_ms / 2) {
            /* A network partition ends no call by itself. Resetting at half
             * of suspect_ms leaves time for a second ping. */
            board->ports.reset(board->context, peer->address);
        }
        return;
    }
    if (board->now.mono_ms < peer->next_ping_ms || !should_ping(board, peer)) {
        return;
    }
    peer->next_ping_ms = board->now.mono_ms + ping_interval(board, peer);
    ping(board, peer);
}

void
Membership_UpdatePosition(Blackboard *board, Peer *peer,
                          const lc_position *position)
{
    if (position->offset > peer->position.offset || position->offset == 0) {
        peer->position = *position;
    }
    if (peer->position.offset >= Replica_NextOffset(board->replica)) {
        peer->behind_since_ms = 0;
        peer->wants_relay = false;
    }
}

/*
 * A ping reply overrides the role and incarnation that the host list or the
 * view gave for the address: those may describe an older process.
 */
static void
update_identity(Blackboard *board, Peer *peer, const lc_ping_res *reply)
{
    lc_node before = peer->node;

    peer->role = reply->role;
    if (Node_Same(&before, &reply->node)) {
        return;
    }
    peer->node = reply->node;
    peer->position.offset = 0;
    peer->sequence = 0;
    peer->others = 0.0;
    peer->queued_until_ms = 0;
    peer->demand_sent = 0;
    peer->not_before_ms = 0;
    if (before.incarnation != 0) {
        Dispatch_CompanionLost(board, &before);
    }
}

static void
extend_evidence(Blackboard *board, const Call *call, const Peer *peer,
                const lc_ping_res *reply)
{
    int64_t until = call->sent_ms + board->config.evidence_ms;

    if (!is_entry(peer) || !reply->knows_caller ||
        View_Find(Blackboard_View(board), &reply->node) == NULL) {
        return;
    }
    if (until > board->evidence_until_ms) {
        board->evidence_until_ms = until;
    }
}

void
Membership_OnPing(Blackboard *board, const Call *call,
                  const lc_ping_res *reply)
{
    Peer *peer = Blackboard_GetPeer(board, call->to);

    peer->ping_call = 0;
    if (reply == NULL) {
        if (peer->silent_since_ms == 0) {
            peer->silent_since_ms = call->sent_ms;
            board->usable_dirty = true;
        }
        return;
    }
    board->usable_dirty = board->usable_dirty || peer->silent_since_ms != 0 ||
                          peer->draining != reply->draining ||
                          !Node_Same(&peer->node, &reply->node);
    peer->silent_since_ms = 0;
    update_identity(board, peer, reply);
    peer->draining = reply->draining;
    peer->complied = reply->complied;
    peer->slots = reply->slots;
    Membership_UpdatePosition(board, peer, &reply->position);
    if (is_entry(peer)) {
        extend_evidence(board, call, peer, reply);
    }
    else {
        Placement_UpdateFreeSlots(peer, reply->free);
    }
}

void
Membership_AnswerPing(Blackboard *board, uint64_t reply_id,
                      const lc_ping_args *args)
{
    Msg_Reply reply = {.kind = MSG_PING};
    Peer *peer = Blackboard_GetPeer(board, args->from.address);

    peer->role = LC_ROLE_ENTRY;
    if (Node_Same(&peer->node, &args->from)) {
        Membership_UpdatePosition(board, peer, &args->position);
    }
    reply.u.ping.node = board->config.self;
    reply.u.ping.role = LC_ROLE_ENTRY;
    reply.u.ping.position = Replica_Position(board->replica);
    reply.u.ping.knows_caller = !board->deposed &&
                                Blackboard_IsMember(board) &&
                                View_Find(Blackboard_View(board),
                                          &args->from) != NULL;
    reply.u.ping.draining = board->draining;
    reply.u.ping.complied = GroupLimits_CompliedEpoch(board);
    board->ports.reply(board->context, reply_id, &reply);
}

static void
relay(Blackboard *board, Peer *peer)
{
    lc_record records[RELAY_RECORDS];
    Msg_Call call = {.kind = MSG_RELAY};
    Call info = {.to = peer->address, .incarnation = peer->node.incarnation};
    char *state;

    call.u.relay.from = board->config.self;
    call.u.relay.records.records_val = records;
    call.u.relay.records.records_len = Replica_CollectRecords(
        board->replica, peer->position.offset, records, RELAY_RECORDS, &state);
    if (call.u.relay.records.records_len > 0) {
        peer->relaying = true;
        Blackboard_SendCall(board, &call, &info);
    }
    free(state);
}

static void
relay_if_due(Blackboard *board, Peer *peer)
{
    lc_node relay_entry;
    bool overdue;

    if (peer->node.incarnation == 0 || peer->relaying ||
        peer->silent_since_ms != 0 ||
        peer->position.offset >= Replica_NextOffset(board->replica)) {
        return;
    }
    if (peer->behind_since_ms == 0) {
        peer->behind_since_ms = board->now.mono_ms;
    }
    overdue = board->now.mono_ms - peer->behind_since_ms >=
              RELAY_BACKUP_DELAY_MS;
    relay_entry = View_RelayEntry(Blackboard_View(board), peer->address);
    if (peer->wants_relay || overdue ||
        (!is_entry(peer) && Node_Same(&relay_entry, &board->config.self))) {
        relay(board, peer);
    }
}

void
Membership_OnRelay(Blackboard *board, const Call *call,
                   const lc_relay_res *reply)
{
    Peer *peer = Blackboard_GetPeer(board, call->to);

    peer->relaying = false;
    if (reply == NULL || peer->node.incarnation != call->incarnation) {
        return;
    }
    Membership_UpdatePosition(board, peer, &reply->position);
}

void
Membership_AnswerRelay(Blackboard *board, uint64_t reply_id,
                       const lc_relay_args *args)
{
    Msg_Reply reply = {.kind = MSG_RELAY};
    u_int i;

    for (i = 0; i < args->records.records_len; i++) {
        const lc_record *record = &args->records.records_val[i];
        LogApply_Record(board, record->offset, record->data);
    }
    reply.u.relay.position = Replica_Position(board->replica);
    board->ports.reply(board->context, reply_id, &reply);
}

/* Proposals of view changes. */

static void
add_change(GArray *changes, const char *op, const lc_node *node, bool entry,
           bool gone)
{
    View_Change change = {op, *node, entry, gone};

    g_array_append_val(changes, change);
}

static void
add_join(Blackboard *board, const Peer *peer, GArray *changes)
{
    bool joinable = peer->silent_since_ms == 0 && !peer->draining &&
                    peer->host == HOST_LIVE;

    if (joinable && peer->node.incarnation != 0 &&
        View_Find(Blackboard_View(board), &peer->node) == NULL &&
        View_FindRemoved(Blackboard_View(board), &peer->node) == NULL) {
        add_change(changes, "add", &peer->node, false, false);
    }
}

static uint32_t
reachable_entries(const Blackboard *board, uint32_t *total, Address *lowest)
{
    const View *view = Blackboard_View(board);
    uint32_t reachable = 0;
    guint i;

    *total = 0;
    *lowest = 0;
    for (i = 0; i < view->members->len; i++) {
        const View_Member *member = &g_array_index(view->members, View_Member,
                                                   i);
        const Peer *peer = Blackboard_FindPeer(board, member->node.address);
        if (!member->is_entry) {
            continue;
        }
        (*total)++;
        if (*lowest == 0 || member->node.address < *lowest) {
            *lowest = member->node.address;
        }
        if (Node_Same(&member->node, &board->config.self) ||
            (peer != NULL && Node_Same(&peer->node, &member->node) &&
             peer->silent_since_ms == 0)) {
            reachable++;
        }
    }
    return reachable;
}

/*
 * More than half of the entries; of two equal halves the one that has the
 * entry with the lowest address.
 */
static bool
has_majority(const Blackboard *board)
{
    uint32_t total;
    Address lowest;
    uint32_t reachable = reachable_entries(board, &total, &lowest);
    const Peer *first = Blackboard_FindPeer(board, lowest);

    if (reachable * 2 != total) {
        return reachable * 2 > total;
    }
    return lowest == board->config.self.address ||
           (first != NULL && first->silent_since_ms == 0);
}

static void
add_removals(Blackboard *board, GArray *changes)
{
    const View *view = Blackboard_View(board);
    bool majority = has_majority(board);
    guint i;

    for (i = 0; i < view->members->len; i++) {
        const View_Member *member = &g_array_index(view->members, View_Member,
                                                   i);
        const Peer *peer = Blackboard_FindPeer(board, member->node.address);
        if (Node_Same(&member->node, &board->config.self) || peer == NULL) {
            continue;
        }
        if (Blackboard_IsNodeGone(board, &member->node, member->added_ms)) {
            add_change(changes, "remove", &member->node, member->is_entry,
                       true);
        }
        else if (member->is_entry && majority && is_suspect(board, peer)) {
            Blackboard_Event(board, EVENT_SUSPECT, "%s",
                             Address_Text(peer->address));
            add_change(changes, "remove", &member->node, true, false);
        }
    }
}

/* Number of answering owner entries with a lower address than this one. */
static uint32_t
own_rank(const Blackboard *board)
{
    const View *view = Blackboard_View(board);
    uint32_t rank = 0;
    guint i;

    for (i = 0; i < view->members->len; i++) {
        const View_Member *member = &g_array_index(view->members, View_Member,
                                                   i);
        const Peer *peer = Blackboard_FindPeer(board, member->node.address);
        if (member->is_entry && !member->leaving && peer != NULL &&
            peer->silent_since_ms == 0 &&
            member->node.address < board->config.self.address) {
            rank++;
        }
    }
    return rank;
}

static bool
may_append(const Blackboard *board)
{
    /* The result of the last append must have been read from the log. */
    return board->log_up && board->append_pending == 0 &&
           board->log_tail_ms > board->append_end_ms &&
           Replica_IsSynced(board->replica);
}

static void
append(Blackboard *board, const char *record)
{
    board->append_pending = ++board->next_append;
    board->append_ms = board->now.mono_ms;
    Counter_Add(&board->counters, COUNTER_APPENDS, 1);
    board->ports.append(board->context, board->append_pending, record);
}

static void
append_changes(Blackboard *board, const GArray *changes)
{
    char *record = View_EncodeRecord(Blackboard_View(board),
                                     board->now.wall_ms, changes);

    Blackboard_Event(board, EVENT_VIEW_PROPOSED,
                     "%u changes to the view at offset %llu", changes->len,
                     (unsigned long long)Blackboard_View(board)->seq);
    append(board, record);
    free(record);
}

void
Membership_OnAppend(Blackboard *board, uint64_t append_id, bool confirmed)
{
    (void)confirmed;
    if (append_id == board->append_pending) {
        /* Whether it took effect is learned by reading the log. */
        board->append_pending = 0;
        board->append_end_ms = board->now.mono_ms;
        board->proposal_due_since_ms = 0;
    }
}

void
Membership_ProposeSelf(Blackboard *board, const char *op)
{
    GArray *changes = g_array_new(FALSE, FALSE, sizeof(View_Change));

    if (may_append(board)) {
        add_change(changes, op, &board->config.self, true,
                   strcmp(op, "remove") == 0);
        append_changes(board, changes);
    }
    g_array_unref(changes);
}

static void
propose(Blackboard *board)
{
    GArray *changes;
    GHashTableIter iter;
    gpointer value;

    if (!may_append(board) || board->deposed) {
        return;
    }
    if (!Blackboard_IsMember(board)) {
        if (!board->draining) {
            Membership_ProposeSelf(board, "add");
        }
        return;
    }
    changes = g_array_new(FALSE, FALSE, sizeof(View_Change));
    g_hash_table_iter_init(&iter, board->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Peer *peer = value;
        if (!is_entry(peer)) {
            add_join(board, peer, changes);
        }
    }
    add_removals(board, changes);
    if (changes->len == 0) {
        board->proposal_due_since_ms = 0;
    }
    else if (board->proposal_due_since_ms == 0) {
        board->proposal_due_since_ms = board->now.mono_ms;
    }
    if (changes->len > 0 &&
        board->now.mono_ms - board->proposal_due_since_ms >=
            (int64_t)own_rank(board) * RANK_DELAY_MS) {
        append_changes(board, changes);
    }
    g_array_unref(changes);
}

static void
snapshot_if_due(Blackboard *board)
{
    bool many = Replica_RecordsSinceSnapshot(board->replica) >=
                board->config.snapshot_records;
    bool old = board->now.mono_ms - board->snapshot_ms >=
               board->config.snapshot_ms +
                   (int64_t)own_rank(board) * RANK_DELAY_MS * 2;
    char *record;

    if (!may_append(board) || !Blackboard_IsOwner(board) || !(many || old) ||
        (many && !old && own_rank(board) > 0)) {
        return;
    }
    record = Replica_EncodeSnapshot(board->replica);
    append(board, record);
    free(record);
}

void
Membership_Tick(Blackboard *board)
{
    GHashTableIter iter;
    gpointer value;

    if (board->append_pending != 0 &&
        board->now.mono_ms - board->append_ms > APPEND_TIMEOUT_MS) {
        board->append_pending = 0;
        board->append_end_ms = board->now.mono_ms;
    }
    g_hash_table_iter_init(&iter, board->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ping_if_due(board, value);
        relay_if_due(board, value);
    }
    propose(board);
    snapshot_if_due(board);
}

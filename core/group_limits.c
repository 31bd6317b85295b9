#include "core/group_limits.h"

#include <string.h>
#include <xxhash.h>

#include "core/dispatch.h"
#include "core/ownership.h"

#define MS_PER_S 1000.0
#define BURST_S 0.1
#define BORROW_INTERVAL_MS 50
#define BORROW_RESEND_MS 200
#define RESERVE_TIMEOUT_MS 300

/* Number of entries in the view, and this entry's rank by address. */
static uint32_t
count_entries(const Blackboard *board, uint32_t *rank)
{
    const View *view = Blackboard_View(board);
    uint32_t count = 0;
    guint i;

    *rank = 0;
    for (i = 0; i < view->members->len; i++) {
        const View_Member *member = &g_array_index(view->members, View_Member,
                                                   i);
        if (!member->is_entry) {
            continue;
        }
        count++;
        if (member->node.address < board->config.self.address) {
            (*rank)++;
        }
    }
    return count;
}

/* Share of a cap; a hash of the group's name picks who gets the remainder. */
static uint32_t
share_of(const Blackboard *board, const char *group, int64_t cap)
{
    uint32_t rank;
    uint32_t count = count_entries(board, &rank);
    uint64_t hash = XXH3_64bits(group, strlen(group));

    if (count == 0 || !Blackboard_IsMember(board)) {
        return 0;
    }
    return (uint32_t)(cap / count) +
           ((hash + rank) % count < (uint64_t)cap % count ? 1 : 0);
}

/* Whether no other entry exceeds its shares of this epoch. */
static bool
members_complied(const Blackboard *board)
{
    const View *view = Blackboard_View(board);
    guint i;

    for (i = 0; i < view->members->len; i++) {
        const View_Member *member = &g_array_index(view->members, View_Member,
                                                   i);
        const Peer *peer = Blackboard_FindPeer(board, member->node.address);
        if (!member->is_entry ||
            Node_Same(&member->node, &board->config.self)) {
            continue;
        }
        if (peer == NULL || !Node_Same(&peer->node, &member->node) ||
            peer->complied < view->epoch) {
            return false;
        }
    }
    return true;
}

static bool
removed_since(const Blackboard *board, uint64_t epoch)
{
    const View *view = Blackboard_View(board);
    guint i;

    for (i = 0; i < view->removed->len; i++) {
        const View_Removed *removed = &g_array_index(view->removed,
                                                     View_Removed, i);
        if (removed->is_entry && removed->offset > epoch) {
            return true;
        }
    }
    return false;
}

void
GroupLimits_OnView(Blackboard *board)
{
    if (board->shares_epoch != Blackboard_View(board)->epoch) {
        board->all_complied_since_ms = 0;
    }
}

/* Switches to the shares of the epoch once no entry can exceed them. */
static void
update_epoch(Blackboard *board)
{
    uint64_t epoch = Blackboard_View(board)->epoch;
    int64_t wait_ms = 0;

    if (board->shares_epoch == epoch || !Blackboard_IsMember(board)) {
        return;
    }
    if (board->complied < epoch || !members_complied(board)) {
        board->all_complied_since_ms = 0;
        return;
    }
    if (board->all_complied_since_ms == 0) {
        board->all_complied_since_ms = board->now.mono_ms;
    }
    if (removed_since(board, board->shares_epoch)) {
        /*
         * A removed entry may start tasks while its evidence is valid, and
         * they may run until their time limit.
         */
        wait_ms = board->config.evidence_ms * 11 / 10 +
                  board->config.task_timeout_ms;
    }
    if (board->now.mono_ms - board->all_complied_since_ms >= wait_ms) {
        board->shares_epoch = epoch;
    }
}

/*
 * When a share changes, its difference is added to the units, so that units
 * borrowed and lent still count. A new epoch starts with its share.
 */
static void
update_units(Blackboard *board, Group *group, int64_t cap)
{
    uint64_t epoch = Blackboard_View(board)->epoch;
    int64_t share = share_of(board, group->name, cap);

    if (board->shares_epoch != epoch) {
        group->units = MIN(group->units, share);
        group->units_share = MIN(group->units_share, share);
        return;
    }
    if (group->units_epoch != epoch) {
        group->units_epoch = epoch;
        group->units = share;
        group->borrow_id = 0;
        if (group->lent != NULL) {
            g_hash_table_remove_all(group->lent);
        }
    }
    else {
        group->units += share - group->units_share;
    }
    group->units_share = share;
}

static void
update_tokens(Blackboard *board, Group *group, int64_t rate)
{
    uint32_t rank;
    uint32_t count = count_entries(board, &rank);
    double share = count == 0 ? 0.0 : (double)rate / count;
    double max_tokens = share * BURST_S < 1.0 ? 1.0 : share * BURST_S;
    int64_t passed_ms = board->now.mono_ms - group->tokens_ms;

    group->tokens += share * (double)passed_ms / MS_PER_S;
    group->tokens_ms = board->now.mono_ms;
    if (group->tokens > max_tokens) {
        group->tokens = max_tokens;
    }
}

/* Units usable now: one may be set aside for an entry that waits longer. */
static int64_t
usable_units(const Blackboard *board, const Group *group)
{
    return group->units -
           (board->now.mono_ms < group->reserved_until_ms ? 1 : 0);
}

bool
GroupLimits_MayStart(Blackboard *board, Group *group)
{
    const GroupTable_Row *row = GroupTable_Find(Blackboard_GroupTable(board),
                                                group->name);

    if (row == NULL) {
        /* A deleted group: its queued jobs still run to their end. */
        return true;
    }
    group->weight = (uint32_t)row->weight;
    if (row->max_running > 0) {
        update_units(board, group, row->max_running);
        if (group->running >= usable_units(board, group) ||
            !Ownership_HasEvidence(board)) {
            return false;
        }
    }
    if (row->starts_per_s > 0) {
        update_tokens(board, group, row->starts_per_s);
        return group->tokens >= 1.0;
    }
    return true;
}

void
GroupLimits_OnStarted(Blackboard *board, Group *group)
{
    const GroupTable_Row *row = GroupTable_Find(Blackboard_GroupTable(board),
                                                group->name);

    if (row != NULL && row->starts_per_s > 0) {
        group->tokens -= 1.0;
    }
}

uint32_t
GroupLimits_MaxQueued(const Blackboard *board, const char *group)
{
    const GroupTable_Row *row = GroupTable_Find(Blackboard_GroupTable(board),
                                                group);

    if (row == NULL || row->max_queued == 0) {
        return UINT32_MAX;
    }
    return share_of(board, group, row->max_queued);
}

uint64_t
GroupLimits_CompliedEpoch(const Blackboard *board)
{
    return board->complied;
}

/* How long the group's oldest queued job has waited; -1 if none waits. */
static int64_t
oldest_wait_ms(const Blackboard *board, const Group *group)
{
    int64_t oldest_ms = -1;
    guint i;

    for (i = 0; i < group->queue->len; i++) {
        const Job *job = g_ptr_array_index(group->queue, i);
        oldest_ms = MAX(oldest_ms, board->now.mono_ms - job->arrived_ms);
    }
    return oldest_ms;
}

/* Whether this same request was granted before (it was sent again). */
static bool
was_granted(const Group *group, const lc_borrow_args *args)
{
    const uint64_t *id = group->lent == NULL
                             ? NULL
                             : g_hash_table_lookup(group->lent, &args->from);

    return id != NULL && *id == args->id;
}

static void
record_grant(Group *group, const lc_borrow_args *args)
{
    uint64_t *id = g_new(uint64_t, 1);

    if (group->lent == NULL) {
        group->lent = g_hash_table_new_full(Node_Hash, Node_Equal, g_free,
                                            g_free);
    }
    *id = args->id;
    g_hash_table_replace(group->lent,
                         g_memdup2(&args->from, sizeof(args->from)), id);
}

static bool
lend(Blackboard *board, Group *group, const lc_borrow_args *args)
{
    const GroupTable_Row *row = GroupTable_Find(Blackboard_GroupTable(board),
                                                group->name);
    bool older = args->waiting_ms > oldest_wait_ms(board, group);

    if (row == NULL || row->max_running == 0 ||
        args->epoch != board->shares_epoch ||
        args->epoch != Blackboard_View(board)->epoch) {
        return false;
    }
    if (was_granted(group, args)) {
        return true;
    }
    update_units(board, group, row->max_running);
    if (group->running < group->units && older) {
        group->units--;
        group->reserved_until_ms = 0;
        record_grant(group, args);
        return true;
    }
    if (older && group->units > 0) {
        group->reserved_until_ms = board->now.mono_ms + RESERVE_TIMEOUT_MS;
    }
    return false;
}

void
GroupLimits_AnswerBorrow(Blackboard *board, uint64_t reply_id,
                         const lc_borrow_args *args)
{
    Msg_Reply reply = {.kind = MSG_BORROW};
    Group *group = Groups_Get(board->groups, args->group);

    reply.u.borrow.granted = lend(board, group, args);
    reply.u.borrow.epoch = Blackboard_View(board)->epoch;
    board->ports.reply(board->context, reply_id, &reply);
}

/* The next entry by address after the one asked last, wrapping around. */
static const View_Member *
next_lender(const Blackboard *board, Address after)
{
    const View *view = Blackboard_View(board);
    const View_Member *next = NULL;
    const View_Member *first = NULL;
    guint i;

    for (i = 0; i < view->members->len; i++) {
        const View_Member *member = &g_array_index(view->members, View_Member,
                                                   i);
        if (!member->is_entry ||
            Node_Same(&member->node, &board->config.self)) {
            continue;
        }
        if (first == NULL || member->node.address < first->node.address) {
            first = member;
        }
        if (member->node.address > after &&
            (next == NULL || member->node.address < next->node.address)) {
            next = member;
        }
    }
    return next == NULL ? first : next;
}

static void
send_borrow(Blackboard *board, Group *group)
{
    Msg_Call call = {.kind = MSG_BORROW};
    Call info = {.to = group->lender.address,
                 .incarnation = group->lender.incarnation,
                 .epoch = Blackboard_View(board)->epoch,
                 .index = 0};

    call.u.borrow.from = board->config.self;
    call.u.borrow.epoch = info.epoch;
    call.u.borrow.id = group->borrow_id;
    call.u.borrow.waiting_ms = oldest_wait_ms(board, group);
    call.u.borrow.group = group->name;
    group->borrow_call = Blackboard_SendCall(board, &call, &info);
}

static void
ask_lender(Blackboard *board, Group *group)
{
    const View_Member *lender;

    if (group->borrow_id == 0) {
        lender = next_lender(board, group->lender.address);
        if (lender == NULL) {
            return;
        }
        group->lender = lender->node;
        group->borrow_id = ++board->last_borrow;
    }
    send_borrow(board, group);
}

static void
borrow_if_due(Group *group, void *context)
{
    Blackboard *board = context;
    const GroupTable_Row *row = GroupTable_Find(Blackboard_GroupTable(board),
                                                group->name);

    if (group->borrow_id != 0 &&
        View_Find(Blackboard_View(board), &group->lender) == NULL) {
        group->borrow_id = 0;
    }
    if (row == NULL || row->max_running == 0 ||
        Handle_Get(board->calls, group->borrow_call) != NULL ||
        board->now.mono_ms < group->borrow_ms ||
        board->shares_epoch != Blackboard_View(board)->epoch) {
        return;
    }
    update_units(board, group, row->max_running);
    if (group->borrow_id != 0 ||
        (group->waiting > 0 && group->running >= group->units)) {
        ask_lender(board, group);
    }
}

typedef struct {
    const Call *call;
    Group *group;
} borrow_search;

static void
match_borrow_call(Group *group, void *context)
{
    borrow_search *search = context;

    if (group->borrow_call == search->call->id) {
        search->group = group;
    }
}

void
GroupLimits_OnBorrow(Blackboard *board, const Call *call,
                     const lc_borrow_res *reply)
{
    borrow_search search = {call, NULL};
    Group *group;

    Groups_ForEach(board->groups, match_borrow_call, &search);
    group = search.group;
    if (group == NULL) {
        return;
    }
    group->borrow_call = 0;
    group->borrow_ms = board->now.mono_ms + BORROW_INTERVAL_MS;
    if (reply == NULL) {
        /* It may have been granted: the same request id is sent again. */
        group->borrow_ms = board->now.mono_ms + BORROW_RESEND_MS;
        return;
    }
    group->borrow_id = 0;
    if (reply->granted && call->epoch == board->shares_epoch &&
        call->epoch == Blackboard_View(board)->epoch) {
        group->units++;
        group->borrow_ms = board->now.mono_ms;
        Dispatch_Run(board);
    }
}

typedef struct {
    Blackboard *board;
    bool within_shares;
} comply_search;

static void
check_share(Group *group, void *context)
{
    comply_search *search = context;
    const GroupTable_Row *row = GroupTable_Find(
        Blackboard_GroupTable(search->board), group->name);

    if (row != NULL && row->max_running > 0 &&
        group->running >
            share_of(search->board, group->name, row->max_running)) {
        search->within_shares = false;
    }
}

/* Reports to peers, with the next ping, that no share is exceeded here. */
static void
update_complied(Blackboard *board)
{
    comply_search search = {board, true};

    if (board->complied == Blackboard_View(board)->epoch) {
        return;
    }
    Groups_ForEach(board->groups, check_share, &search);
    if (search.within_shares) {
        board->complied = Blackboard_View(board)->epoch;
    }
}

void
GroupLimits_Tick(Blackboard *board)
{
    update_complied(board);
    update_epoch(board);
    Groups_ForEach(board->groups, borrow_if_due, board);
}

#include "core/limits.h"

#include <string.h>
#include <xxhash.h>

#define MS_PER_S 1000.0
#define BURST_S 0.1

/* Number of entries in the view and this entry's place among them. */
static uint32_t
count_entries(const Board *board, uint32_t *rank)
{
    const View *view = Board_View(board);
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

/* Share of a cap; what does not divide goes round by the group's name. */
static uint32_t
share_of(const Board *board, const char *group, int64_t cap)
{
    uint32_t rank;
    uint32_t count = count_entries(board, &rank);
    uint64_t turn = XXH3_64bits(group, strlen(group));

    if (count == 0 || !Board_IsMember(board)) {
        return 0;
    }
    return (uint32_t)(cap / count) +
           ((turn + rank) % count < (uint64_t)cap % count ? 1 : 0);
}

/* Whether no one uses more than its share of the current epoch any more. */
static bool
all_complied(const Board *board)
{
    const View *view = Board_View(board);
    guint i;

    for (i = 0; i < view->members->len; i++) {
        const View_Member *member = &g_array_index(view->members, View_Member,
                                                   i);
        const Peer *peer = Board_FindPeer(board, member->node.address);
        if (!member->is_entry ||
            Node_Same(&member->node, &board->config.self)) {
            continue;
        }
        if (peer == NULL || !Node_Same(&peer->node, &member->node) ||
            peer->complied < view->epoch) {
            return false;
        }
    }
    for (i = 0; i < view->removed->len; i++) {
        const View_Removed *removed = &g_array_index(view->removed,
                                                     View_Removed, i);
        if (removed->is_entry &&
            board->now.wall_ms - removed->at_ms <
                board->config.task_timeout_ms + board->config.skew_ms) {
            return false;
        }
    }
    return true;
}

static void
update_units(Board *board, Group *group, int64_t cap)
{
    uint64_t epoch = Board_View(board)->epoch;
    uint32_t share = share_of(board, group->name, cap);

    if (group->units_epoch != epoch && all_complied(board)) {
        group->units_epoch = epoch;
    }
    if (group->units_epoch == epoch || share < group->units) {
        group->units = share;
    }
}

static void
update_tokens(Board *board, Group *group, int64_t rate)
{
    uint32_t rank;
    uint32_t count = count_entries(board, &rank);
    double share = count == 0 ? 0.0 : (double)rate / count;
    double most = share * BURST_S < 1.0 ? 1.0 : share * BURST_S;
    int64_t passed_ms = board->now.mono_ms - group->tokens_ms;

    group->tokens += share * (double)passed_ms / MS_PER_S;
    group->tokens_ms = board->now.mono_ms;
    if (group->tokens > most) {
        group->tokens = most;
    }
}

bool
Limits_MayStart(Board *board, Group *group)
{
    const Table_Row *row = Table_Find(Board_Table(board), group->name);

    if (row == NULL) {
        /* A deleted group: what it has queued still runs to its end. */
        return true;
    }
    group->weight = (uint32_t)row->weight;
    if (row->max_running > 0) {
        update_units(board, group, row->max_running);
        if (group->running >= group->units) {
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
Limits_Started(Board *board, Group *group)
{
    const Table_Row *row = Table_Find(Board_Table(board), group->name);

    if (row != NULL && row->starts_per_s > 0) {
        group->tokens -= 1.0;
    }
}

uint32_t
Limits_MaxQueued(const Board *board, const char *group)
{
    const Table_Row *row = Table_Find(Board_Table(board), group);

    if (row == NULL || row->max_queued == 0) {
        return UINT32_MAX;
    }
    return share_of(board, group, row->max_queued);
}

typedef struct {
    Board *board;
    bool kept;
} comply_search;

static void
check_group(Group *group, void *context)
{
    comply_search *search = context;
    const Table_Row *row = Table_Find(Board_Table(search->board), group->name);

    if (row != NULL && row->max_running > 0 &&
        group->running >
            share_of(search->board, group->name, row->max_running)) {
        search->kept = false;
    }
}

void
Limits_Tick(Board *board)
{
    comply_search search = {board, true};

    if (board->complied == Board_View(board)->epoch) {
        return;
    }
    Groups_Each(board->groups, check_group, &search);
    if (search.kept) {
        board->complied = Board_View(board)->epoch;
    }
}

uint64_t
Limits_Complied(const Board *board)
{
    return board->complied;
}

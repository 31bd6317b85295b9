#include "core/demand.h"

#include "core/limits.h"
#include "core/members.h"
#include "core/placement.h"

/* Stands for an empty demand; no rows at all mean no change. */
#define NO_DEMAND ""

typedef struct {
    Board *board;
    lc_demand *rows;
    uint32_t count;
    uint64_t signature; /* changes when a group's need appears, ends or
                           doubles */
    uint32_t unmet;     /* tasks waiting beyond the slots believed free */
    uint32_t companions;
} demand_search;

static void
add_group(Group *group, void *context)
{
    demand_search *search = context;
    uint32_t share;
    lc_demand *row;

    if (group->waiting == 0 || search->count >= LC_MAX_DEMAND ||
        !Limits_MayStart(search->board, group)) {
        return;
    }
    /* Each companion hears of its part, so that not all serve the last. */
    share = MIN(group->waiting, search->unmet);
    share = (share + search->companions - 1) / search->companions;
    row = &search->rows[search->count++];
    row->group = group->name;
    row->waiting = share;
    search->signature += (Key_Hash(group->name) | 1ULL) *
                         (64 - (uint64_t)__builtin_clz(share));
}

void
Demand_Fill(Board *board, Peer *peer, lc_demand *rows, u_int *count)
{
    uint32_t waiting = Groups_Waiting(board->groups);
    uint32_t unmet = waiting > board->open_slots ? waiting - board->open_slots
                                                 : 0;
    demand_search search = {board, rows,  0,
                            1,     unmet, Members_AllUsable(board)->len + 1};

    *count = 0;
    if (!Placement_TellsDemand(board)) {
        return;
    }
    if (unmet > 0) {
        Groups_Each(board->groups, add_group, &search);
    }
    if (search.signature == peer->demand_sent) {
        return;
    }
    peer->demand_sent = search.signature;
    if (search.count == 0) {
        rows[0].group = (char *)(uintptr_t)NO_DEMAND;
        rows[0].waiting = 0;
        search.count = 1;
    }
    *count = search.count;
}

#include "core/slot_demand.h"

#include "core/group_limits.h"
#include "core/membership.h"
#include "core/placement.h"

/* Group name that denotes an empty demand; no rows at all mean no change. */
#define EMPTY_DEMAND_GROUP ""

typedef struct {
    Blackboard *board;
    lc_demand *rows;
    uint32_t count;
    uint64_t signature; /* changes when a group's demand begins, ends
                           or doubles */
    uint32_t unmet;     /* waiting tasks beyond the estimated free slots */
    uint32_t companions;
} demand_builder;

static void
add_group(Group *group, void *context)
{
    demand_builder *builder = context;
    uint32_t share;
    lc_demand *row;

    if (group->waiting == 0 || builder->count >= LC_MAX_DEMAND ||
        !GroupLimits_MayStart(builder->board, group)) {
        return;
    }
    /*
     * Each companion is sent a part of the demand: if each had the whole, all
     * would grant slots for the same last tasks.
     */
    share = MIN(group->waiting, builder->unmet);
    share = (share + builder->companions - 1) / builder->companions;
    row = &builder->rows[builder->count++];
    row->group = group->name;
    row->waiting = share;
    builder->signature += (Key_Hash(group->name) | 1ULL) *
                          (64 - (uint64_t)__builtin_clz(share));
}

void
SlotDemand_Fill(Blackboard *board, Peer *peer, lc_demand *rows, u_int *count)
{
    uint32_t waiting = Groups_Waiting(board->groups);
    uint32_t unmet = waiting > board->free_slots ? waiting - board->free_slots
                                                 : 0;
    demand_builder builder = {
        board, rows, 0, 1, unmet, Membership_UsableCompanions(board)->len + 1};

    *count = 0;
    if (!Placement_SendsDemand(board)) {
        return;
    }
    if (unmet > 0) {
        Groups_ForEach(board->groups, add_group, &builder);
    }
    if (builder.signature == peer->demand_sent) {
        return;
    }
    peer->demand_sent = builder.signature;
    if (builder.count == 0) {
        rows[0].group = (char *)(uintptr_t)EMPTY_DEMAND_GROUP;
        rows[0].waiting = 0;
        builder.count = 1;
    }
    *count = builder.count;
}

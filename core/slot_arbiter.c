#include "core/slot_arbiter.h"

#include <string.h>

#include "base/random.h"
#include "core/vtime.h"

/* Waiting tasks of one group at one entry. */
typedef struct {
    lc_node entry;
    char group[NODE_MAX_GROUP + 1];
    uint32_t waiting;
} demand_row;

typedef struct {
    char name[NODE_MAX_GROUP + 1];
    Vtime vtime;
    uint32_t busy;
} group_row;

struct SlotArbiter {
    uint32_t slots;
    uint32_t busy;
    int64_t grant_ms;
    uint64_t random;
    uint64_t last_grant;
    double vtime_ms; /* of the group served last */
    GArray *grants;  /* SlotArbiter_Grant */
    GArray *demand;  /* demand_row */
    GHashTable *groups;
};

SlotArbiter *
SlotArbiter_New(uint32_t slots, int64_t grant_ms, uint64_t seed)
{
    SlotArbiter *arbiter = g_new0(SlotArbiter, 1);

    arbiter->slots = slots;
    arbiter->grant_ms = grant_ms;
    arbiter->random = Random_Seed(seed);
    arbiter->grants = g_array_new(FALSE, FALSE, sizeof(SlotArbiter_Grant));
    arbiter->demand = g_array_new(FALSE, FALSE, sizeof(demand_row));
    arbiter->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                            g_free);
    return arbiter;
}

void
SlotArbiter_Free(SlotArbiter *arbiter)
{
    if (arbiter == NULL) {
        return;
    }
    g_array_unref(arbiter->grants);
    g_array_unref(arbiter->demand);
    g_hash_table_unref(arbiter->groups);
    g_free(arbiter);
}

uint32_t
SlotArbiter_FreeSlots(const SlotArbiter *arbiter)
{
    uint32_t taken = arbiter->busy + arbiter->grants->len;

    return taken >= arbiter->slots ? 0 : arbiter->slots - taken;
}

uint32_t
SlotArbiter_Slots(const SlotArbiter *arbiter)
{
    return arbiter->slots;
}

static group_row *
get_group(SlotArbiter *arbiter, const char *name)
{
    group_row *group = g_hash_table_lookup(arbiter->groups, name);

    if (group == NULL) {
        group = g_new0(group_row, 1);
        g_strlcpy(group->name, name, sizeof(group->name));
        Vtime_Init(&group->vtime, arbiter->vtime_ms);
        g_hash_table_insert(arbiter->groups, group->name, group);
    }
    return group;
}

static uint32_t
weight_of(const GroupTable *table, const char *group)
{
    const GroupTable_Row *row = GroupTable_Find(table, group);

    return row == NULL ? 1 : (uint32_t)row->weight;
}

static demand_row *
demand_at(const SlotArbiter *arbiter, guint index)
{
    return &g_array_index(arbiter->demand, demand_row, index);
}

static void
remove_demand(SlotArbiter *arbiter, const lc_node *entry)
{
    guint i;

    for (i = arbiter->demand->len; i-- > 0;) {
        if (Node_Same(&demand_at(arbiter, i)->entry, entry)) {
            g_array_remove_index_fast(arbiter->demand, i);
        }
    }
}

static bool
has_demand(const SlotArbiter *arbiter, const char *group)
{
    guint i;

    for (i = 0; i < arbiter->demand->len; i++) {
        if (strcmp(demand_at(arbiter, i)->group, group) == 0) {
            return true;
        }
    }
    return false;
}

void
SlotArbiter_SetDemand(SlotArbiter *arbiter, const lc_node *entry,
                      const lc_demand *rows, uint32_t count)
{
    uint32_t i;

    if (count == 0) {
        return;
    }
    remove_demand(arbiter, entry);
    for (i = 0; i < count; i++) {
        demand_row row;
        group_row *group;
        if (rows[i].waiting == 0) {
            continue;
        }
        group = get_group(arbiter, rows[i].group);
        if (group->busy == 0 && !has_demand(arbiter, rows[i].group)) {
            Vtime_Resume(&group->vtime, arbiter->vtime_ms);
        }
        row.entry = *entry;
        row.waiting = rows[i].waiting;
        g_strlcpy(row.group, rows[i].group, sizeof(row.group));
        g_array_append_val(arbiter->demand, row);
    }
}

void
SlotArbiter_OnView(SlotArbiter *arbiter, const View *view)
{
    guint i;

    for (i = arbiter->demand->len; i-- > 0;) {
        if (View_Find(view, &demand_at(arbiter, i)->entry) == NULL) {
            g_array_remove_index_fast(arbiter->demand, i);
        }
    }
    for (i = arbiter->grants->len; i-- > 0;) {
        if (View_Find(
                view,
                &g_array_index(arbiter->grants, SlotArbiter_Grant, i).entry) ==
            NULL) {
            g_array_remove_index_fast(arbiter->grants, i);
        }
    }
}

/* Removes a grant of an entry; false if it has expired. */
static bool
consume_grant(SlotArbiter *arbiter, const lc_node *entry, uint64_t id)
{
    guint i;

    for (i = 0; i < arbiter->grants->len; i++) {
        const SlotArbiter_Grant *grant = &g_array_index(arbiter->grants,
                                                        SlotArbiter_Grant, i);
        if (grant->id == id && Node_Same(&grant->entry, entry)) {
            g_array_remove_index_fast(arbiter->grants, i);
            return true;
        }
    }
    return false;
}

bool
SlotArbiter_Acquire(SlotArbiter *arbiter, const lc_node *entry, uint64_t grant,
                    const char *group, const GroupTable *table)
{
    group_row *row;

    if ((grant == 0 || !consume_grant(arbiter, entry, grant)) &&
        SlotArbiter_FreeSlots(arbiter) == 0) {
        return false;
    }
    row = get_group(arbiter, group);
    if (row->busy == 0 && !has_demand(arbiter, group)) {
        Vtime_Resume(&row->vtime, arbiter->vtime_ms);
    }
    arbiter->vtime_ms = row->vtime.value_ms;
    Vtime_Start(&row->vtime, weight_of(table, group));
    row->busy++;
    arbiter->busy++;
    return true;
}

void
SlotArbiter_Release(SlotArbiter *arbiter, const char *group, int64_t slot_ms,
                    const GroupTable *table)
{
    group_row *row = get_group(arbiter, group);

    Vtime_End(&row->vtime, weight_of(table, group), slot_ms);
    row->busy--;
    arbiter->busy--;
}

void
SlotArbiter_CancelStart(SlotArbiter *arbiter, const char *group,
                        const GroupTable *table)
{
    group_row *row = get_group(arbiter, group);

    Vtime_Cancel(&row->vtime, weight_of(table, group));
    row->busy--;
    arbiter->busy--;
}

static group_row *
choose_group(SlotArbiter *arbiter)
{
    group_row *best = NULL;
    guint i;

    for (i = 0; i < arbiter->demand->len; i++) {
        group_row *group = get_group(arbiter, demand_at(arbiter, i)->group);
        if (best == NULL || group->vtime.value_ms < best->vtime.value_ms) {
            best = group;
        }
    }
    return best;
}

/* Index of a demand row, drawn by lottery: one ticket per waiting task. */
static guint
draw_demand(SlotArbiter *arbiter, const char *group)
{
    uint64_t total = 0;
    uint64_t ticket;
    guint chosen = 0;
    guint i;

    for (i = 0; i < arbiter->demand->len; i++) {
        if (strcmp(demand_at(arbiter, i)->group, group) == 0) {
            total += demand_at(arbiter, i)->waiting;
        }
    }
    ticket = total == 0 ? 0 : Random_Next(&arbiter->random) % total;
    for (i = 0; i < arbiter->demand->len; i++) {
        const demand_row *row = demand_at(arbiter, i);
        if (strcmp(row->group, group) != 0) {
            continue;
        }
        chosen = i;
        if (ticket < row->waiting) {
            break;
        }
        ticket -= row->waiting;
    }
    return chosen;
}

bool
SlotArbiter_GrantFreeSlot(SlotArbiter *arbiter, int64_t mono_ms,
                          SlotArbiter_Grant *grant)
{
    const group_row *group;
    demand_row *row;
    guint index;

    if (arbiter->demand->len == 0 || SlotArbiter_FreeSlots(arbiter) == 0) {
        return false;
    }
    group = choose_group(arbiter);
    index = draw_demand(arbiter, group->name);
    row = demand_at(arbiter, index);
    memset(grant, 0, sizeof(*grant));
    grant->id = ++arbiter->last_grant;
    grant->entry = row->entry;
    grant->expires_ms = mono_ms + arbiter->grant_ms;
    g_strlcpy(grant->group, row->group, sizeof(grant->group));
    g_array_append_val(arbiter->grants, *grant);
    row->waiting--;
    if (row->waiting == 0) {
        g_array_remove_index_fast(arbiter->demand, index);
    }
    return true;
}

/* Removes an unused grant and its entry's demand: nothing waits there. */
static void
remove_unused_grant(SlotArbiter *arbiter, guint index)
{
    lc_node entry =
        g_array_index(arbiter->grants, SlotArbiter_Grant, index).entry;

    g_array_remove_index_fast(arbiter->grants, index);
    remove_demand(arbiter, &entry);
}

void
SlotArbiter_OnDecline(SlotArbiter *arbiter, uint64_t id)
{
    guint i;

    for (i = 0; i < arbiter->grants->len; i++) {
        if (g_array_index(arbiter->grants, SlotArbiter_Grant, i).id == id) {
            remove_unused_grant(arbiter, i);
            return;
        }
    }
}

uint32_t
SlotArbiter_ExpireGrants(SlotArbiter *arbiter, int64_t mono_ms)
{
    uint32_t expired = 0;
    guint i;

    for (i = arbiter->grants->len; i-- > 0;) {
        if (g_array_index(arbiter->grants, SlotArbiter_Grant, i).expires_ms <=
            mono_ms) {
            remove_unused_grant(arbiter, i);
            expired++;
        }
    }
    return expired;
}

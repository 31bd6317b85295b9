#include "core/group.h"

#include <string.h>

#define CHOICE_REUSE_MS 20

struct Groups {
    GHashTable *by_name;
    Group_Order order;
    double vtime_ms; /* of the group served last */
    uint32_t waiting;
};

typedef double (*score_function)(const Group *group, const Job *job,
                                 int64_t mono_ms);

static double
score_fifo(const Group *group, const Job *job, int64_t mono_ms)
{
    (void)group;
    return (double)(mono_ms - job->arrived_ms);
}

static double
score_shortest(const Group *group, const Job *job, int64_t mono_ms)
{
    (void)group;
    (void)mono_ms;
    return -(double)job->waiting;
}

/* Highest response ratio next: (time waited + expected work) / that work. */
static double
score_ratio(const Group *group, const Job *job, int64_t mono_ms)
{
    double work = job->waiting * group->vtime.mean_ms;

    return ((double)(mono_ms - job->arrived_ms) + work) / work;
}

static const struct {
    const char *text;
    score_function score;
} orders[GROUP_ORDER_COUNT] = {
#define X(name, text, score) {text, score},
    GROUP_ORDER_LIST(X)
#undef X
};

Group_Order
Group_OrderFromText(const char *text)
{
    int i;

    for (i = 0; i < GROUP_ORDER_COUNT; i++) {
        if (strcmp(orders[i].text, text) == 0) {
            break;
        }
    }
    return (Group_Order)i;
}

static void
free_group(gpointer item)
{
    Group *group = item;

    g_ptr_array_unref(group->queue);
    if (group->lent != NULL) {
        g_hash_table_unref(group->lent);
    }
    g_free(group);
}

Groups *
Groups_New(Group_Order order)
{
    Groups *groups = g_new0(Groups, 1);

    groups->order = order;
    groups->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                            free_group);
    return groups;
}

void
Groups_Free(Groups *groups)
{
    if (groups == NULL) {
        return;
    }
    g_hash_table_unref(groups->by_name);
    g_free(groups);
}

Group *
Groups_Find(const Groups *groups, const char *name)
{
    return g_hash_table_lookup(groups->by_name, name);
}

Group *
Groups_Get(Groups *groups, const char *name)
{
    Group *group = Groups_Find(groups, name);

    if (group != NULL) {
        return group;
    }
    group = g_new0(Group, 1);
    g_strlcpy(group->name, name, sizeof(group->name));
    group->queue = g_ptr_array_new();
    group->weight = 1;
    Vtime_Init(&group->vtime, groups->vtime_ms);
    g_hash_table_insert(groups->by_name, group->name, group);
    return group;
}

static void
add_to_queue(Groups *groups, Group *group, Job *job)
{
    if (group->waiting == 0 && group->running == 0) {
        Vtime_Resume(&group->vtime, groups->vtime_ms);
    }
    g_ptr_array_add(group->queue, job);
}

void
Groups_Enqueue(Groups *groups, Job *job)
{
    Group *group = Groups_Get(groups, job->group);

    if (job->waiting == 0) {
        return;
    }
    add_to_queue(groups, group, job);
    group->waiting += job->waiting;
    groups->waiting += job->waiting;
}

static void
remove_from_queue(Group *group, Job *job)
{
    g_ptr_array_remove(group->queue, job);
    if (group->current == job) {
        group->current = NULL;
    }
}

void
Groups_Dequeue(Groups *groups, Job *job)
{
    Group *group = Groups_Get(groups, job->group);

    if (job->waiting == 0) {
        return;
    }
    remove_from_queue(group, job);
    group->waiting -= job->waiting;
    groups->waiting -= job->waiting;
}

void
Groups_TaskSent(Groups *groups, Job *job)
{
    Group *group = Groups_Get(groups, job->group);

    job->waiting--;
    job->sent++;
    group->waiting--;
    group->running++;
    groups->waiting--;
    groups->vtime_ms = group->vtime.value_ms;
    Vtime_Start(&group->vtime, group->weight);
    if (job->waiting == 0) {
        remove_from_queue(group, job);
    }
}

void
Groups_TaskAdopted(Groups *groups, Job *job)
{
    job->sent++;
    Groups_Get(groups, job->group)->running++;
}

void
Groups_TaskReturned(Groups *groups, Job *job)
{
    Group *group = Groups_Get(groups, job->group);

    job->sent--;
    group->running--;
    Vtime_Cancel(&group->vtime, group->weight);
    if (job->state != JOB_ACTIVE) {
        return;
    }
    if (job->waiting == 0) {
        add_to_queue(groups, group, job);
    }
    job->waiting++;
    group->waiting++;
    groups->waiting++;
}

void
Groups_TaskEnded(Groups *groups, Job *job, int64_t slot_ms)
{
    Group *group = Groups_Get(groups, job->group);

    job->sent--;
    group->running--;
    Vtime_End(&group->vtime, group->weight, slot_ms);
}

/* Equal times are ordered by name, so that a run is reproducible. */
static bool
is_before(const Group *a, const Group *b)
{
    if (a->vtime.value_ms != b->vtime.value_ms) {
        return a->vtime.value_ms < b->vtime.value_ms;
    }
    return strcmp(a->name, b->name) < 0;
}

Group *
Groups_Choose(Groups *groups, bool (*may_start)(Group *group, void *context),
              void *context)
{
    Group *best = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, groups->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Group *group = value;
        if (group->waiting == 0 || !may_start(group, context)) {
            continue;
        }
        if (best == NULL || is_before(group, best)) {
            best = group;
        }
    }
    return best;
}

Job *
Groups_ChooseJob(Groups *groups, Group *group, int64_t mono_ms)
{
    score_function score = orders[groups->order].score;
    double best = 0.0;
    guint i;

    if (group->current != NULL && mono_ms < group->current_until_ms) {
        return group->current;
    }
    group->current = NULL;
    group->current_until_ms = mono_ms + CHOICE_REUSE_MS;
    for (i = 0; i < group->queue->len; i++) {
        Job *job = g_ptr_array_index(group->queue, i);
        double value = score(group, job, mono_ms);
        if (group->current == NULL || value > best) {
            group->current = job;
            best = value;
        }
    }
    return group->current;
}

uint32_t
Groups_Waiting(const Groups *groups)
{
    return groups->waiting;
}

void
Groups_ForEach(const Groups *groups,
               void (*visit)(Group *group, void *context), void *context)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, groups->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        visit(value, context);
    }
}

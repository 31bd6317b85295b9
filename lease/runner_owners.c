#include "lease/runner_state.h"

Runner_Owner *
RunnerOwner_Find(const Runner *runner, const lc_node *node)
{
    guint i;

    for (i = 0; i < runner->owners->len; i++) {
        Runner_Owner *row = &g_array_index(runner->owners, Runner_Owner, i);
        if (Msg_SameNode(&row->node, node)) {
            return row;
        }
    }
    return NULL;
}

static bool
has_expired_runs(const Runner_Owner *row, int64_t now_ms)
{
    return row->running > 0 && !row->runs_stopped && now_ms >= row->until_ms;
}

bool
RunnerOwner_TakeExpired(Runner *runner, int64_t now_ms)
{
    bool any = false;
    guint i;

    for (i = 0; i < runner->owners->len; i++) {
        Runner_Owner *row = &g_array_index(runner->owners, Runner_Owner, i);
        if (has_expired_runs(row, now_ms)) {
            row->runs_stopped = true;
            any = true;
        }
    }
    return any;
}

Runner_Owner *
RunnerOwner_Extend(Runner *runner, int64_t now_ms, const lc_node *node,
                   int64_t until_ms)
{
    Runner_Owner fresh = {.node = *node};
    Runner_Owner *row;

    RunnerTask_StopExpired(runner, now_ms);
    row = RunnerOwner_Find(runner, node);

    if (row == NULL) {
        g_array_append_val(runner->owners, fresh);
        row = &g_array_index(runner->owners, Runner_Owner,
                             runner->owners->len - 1);
    }
    row->until_ms = MAX(row->until_ms, until_ms);
    row->runs_stopped = false;
    return row;
}

/* Earliest time since which a run has been unwanted, or INT64_MAX. A lease may
 * have ended since the last tick. */
static int64_t
unwanted_since_ms(const Runner *runner, int64_t now_ms)
{
    int64_t since_ms = runner->unknown_since_ms != 0 ? runner->unknown_since_ms
                                                     : INT64_MAX;
    GHashTableIter iter;
    gpointer item;
    guint i;

    for (i = 0; i < runner->owners->len; i++) {
        const Runner_Owner *row = &g_array_index(runner->owners, Runner_Owner,
                                                 i);
        if (has_expired_runs(row, now_ms)) {
            since_ms = MIN(since_ms, row->until_ms);
        }
    }
    if (runner->unwanted_tasks == 0) {
        return since_ms;
    }
    g_hash_table_iter_init(&iter, runner->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const Runner_Task *row = item;
        if (row->state != TASK_ENDED && row->unwanted_ms != 0) {
            since_ms = MIN(since_ms, row->unwanted_ms);
        }
    }
    return since_ms;
}

int64_t
RunnerOwner_HoldLimitMs(const Runner *runner, int64_t now_ms)
{
    int64_t hold_ms = runner->config.timing.hold_ms;
    int64_t since_ms = unwanted_since_ms(runner, now_ms);

    return since_ms == INT64_MAX ? hold_ms : since_ms + hold_ms - now_ms;
}

int64_t
RunnerOwner_MaxHoldMs(const Runner *runner, int64_t now_ms)
{
    int64_t ahead = 0;
    guint i;

    for (i = 0; i < runner->owners->len; i++) {
        const Runner_Owner *row = &g_array_index(runner->owners, Runner_Owner,
                                                 i);
        if (row->running > 0) {
            ahead = MAX(ahead, row->until_ms - now_ms);
        }
    }
    return MIN(ahead, RunnerOwner_HoldLimitMs(runner, now_ms));
}

void
RunnerOwner_RemoveExpired(Runner *runner, int64_t now_ms)
{
    guint i = 0;

    while (i < runner->owners->len) {
        const Runner_Owner *row = &g_array_index(runner->owners, Runner_Owner,
                                                 i);
        if (row->running == 0 && now_ms > row->until_ms) {
            g_array_remove_index_fast(runner->owners, i);
        }
        else {
            i++;
        }
    }
}

#include "lease/runner_state.h"

#include <string.h>

#include "lease/run_id.h"

/* Orders name the instance that they are meant for, so an upstream that has
 * answered under another name executes no copy. The name is unknown if the run
 * was found before the first heartbeat: it may be the current one. */
static bool
is_instance_replaced(const Runner *runner, const Runner_Task *row)
{
    return runner->upstream.inventoried && row->instance[0] != '\0' &&
           strcmp(row->instance, runner->upstream.instance) != 0;
}

/* If the run was observed but no copy was accepted, one unanswered copy is
 * known to have started it. A copy may be written later than it was sent,
 * until `send_by_ms`. */
int64_t
RunnerLateStart_ExpiryMs(const Runner *runner, const Runner_Task *row)
{
    bool observed = row->executed || row->end_number > 0 ||
                    row->progress_ms > 0;
    uint32_t resolved = row->answered_copies +
                        (observed && !row->start_accepted);

    if (resolved >= row->start_copies || is_instance_replaced(runner, row)) {
        return 0;
    }
    return MAX(row->start_sent_ms, row->send_by_ms) + runner->config.late_ms;
}

int64_t
RunnerLateStart_TaskExpiryMs(const Runner *runner, const lc_run_id *id,
                             const Runner_Task *except)
{
    int64_t expiry_ms = 0;
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, runner->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const Runner_Task *row = item;
        if (row != except && RunId_SameTask(&row->id, id)) {
            expiry_ms = MAX(expiry_ms, RunnerLateStart_ExpiryMs(runner, row));
        }
    }
    return expiry_ms;
}

static uint32_t
remaining_ms(int64_t now_ms, int64_t expiry_ms)
{
    return now_ms < expiry_ms ? (uint32_t)(expiry_ms - now_ms) : 0;
}

uint32_t
RunnerLateStart_RunMs(const Runner *runner, int64_t now_ms,
                      const Runner_Task *row)
{
    return remaining_ms(now_ms, RunnerLateStart_ExpiryMs(runner, row));
}

/* An upstream that reports no start time gets another instance name with each
 * incarnation, and executes no start that was meant for the previous one. */
static bool
may_keep_name(const Runner *runner)
{
    return runner->upstream.born_ms != 0;
}

uint32_t
RunnerLateStart_TaskMs(const Runner *runner, int64_t now_ms,
                       const lc_run_id *id)
{
    return RunId_IsDurable(id) || may_keep_name(runner)
               ? remaining_ms(now_ms,
                              RunnerLateStart_TaskExpiryMs(runner, id, NULL))
               : 0;
}

void
RunnerLateStart_AssumeCopies(const Runner *runner, Runner_Task *row,
                             uint32_t copies)
{
    row->start_copies = copies;
    row->start_sent_ms = runner->created_ms;
}

/* ---- the list for all entries ---- */

/* Whether an entry may start the task of a leased run again: its owner or
 * caller is gone, or it has ended without a result. */
static bool
may_be_repeated(const Runner_Task *row)
{
    return !RunId_IsDurable(&row->id) &&
           (row->unwanted_ms != 0 || row->late_listed_until_ms != 0 ||
            (row->state == TASK_ENDED && row->status != LC_RUN_DONE));
}

static void
log_listed(Runner *runner, int64_t now_ms, const Runner_Task *row)
{
    Counter_Add(&runner->counters, COUNTER_LATE_STARTS, 1);
    RunnerTask_Log(runner, EVENT_LATE_START, row,
                   "%u of %u copies of the start answered, the others may be "
                   "executed for %u ms",
                   row->answered_copies, row->start_copies,
                   RunnerLateStart_RunMs(runner, now_ms, row));
}

/* Updates whether a run is listed; returns whether the list has changed by
 * more than the passing of time. */
static bool
update_listed(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    int64_t expiry_ms = may_be_repeated(row)
                            ? RunnerLateStart_ExpiryMs(runner, row)
                            : 0;
    int64_t listed_until_ms = row->late_listed_until_ms;

    if (now_ms < expiry_ms) {
        row->late_listed_until_ms = expiry_ms;
        if (listed_until_ms == 0) {
            log_listed(runner, now_ms, row);
        }
        return listed_until_ms == 0;
    }
    row->late_listed_until_ms = 0;
    return now_ms < listed_until_ms;
}

void
RunnerLateStart_Update(Runner *runner, int64_t now_ms)
{
    bool changed = false;
    GHashTableIter iter;
    gpointer item;

    if (!may_keep_name(runner) && now_ms >= runner->late_starts_until_ms) {
        return;
    }
    g_hash_table_iter_init(&iter, runner->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        Runner_Task *row = item;
        changed |= update_listed(runner, now_ms, row);
        runner->late_starts_until_ms = MAX(runner->late_starts_until_ms,
                                           row->late_listed_until_ms);
    }
    if (changed) {
        runner->late_starts_version++;
    }
}

uint32_t
Runner_LateStartsVersion(const Runner *runner, int64_t now_ms)
{
    return now_ms < runner->late_starts_until_ms ? runner->late_starts_version
                                                 : 0;
}

/* The runs of an owner of which a copy of the start is unanswered, whether
 * they may be repeated or not. Nothing is told where they are too many. */
void
RunnerLateStart_FillRenewed(const Runner *runner, int64_t now_ms,
                            const lc_node *owner, GArray *rows,
                            lc_renew_res *renewed)
{
    GHashTableIter iter;
    gpointer item;

    if (!may_keep_name(runner)) {
        return;
    }
    g_hash_table_iter_init(&iter, runner->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const Runner_Task *row = item;
        if (row->owner.address == owner->address &&
            !RunId_IsDurable(&row->id) &&
            now_ms < RunnerLateStart_ExpiryMs(runner, row)) {
            g_array_append_val(rows, row->id);
        }
    }
    if (rows->len <= LC_MAX_LATE_STARTS) {
        renewed->starts_told = TRUE;
        renewed->unsettled.unsettled_len = rows->len;
        renewed->unsettled.unsettled_val = (lc_run_id *)(void *)rows->data;
    }
}

static gint
compare_latest_first(gconstpointer a, gconstpointer b)
{
    const lc_late_start *left = a;
    const lc_late_start *right = b;

    return left->late_start_ms > right->late_start_ms
               ? -1
               : left->late_start_ms < right->late_start_ms;
}

/* The oldest runs are left out of a list that is too long: their tasks have
 * most likely been repeated already, or never will be. */
void
RunnerLateStart_FillReport(const Runner *runner, int64_t now_ms,
                           lc_report_args *report)
{
    GArray *rows = runner->late_starts;
    GHashTableIter iter;
    gpointer item;

    report->late_ms = may_keep_name(runner) ? (u_int)runner->config.late_ms
                                            : 0;
    report->late_starts_version = Runner_LateStartsVersion(runner, now_ms);
    if (report->late_starts_version == 0) {
        return;
    }
    g_array_set_size(rows, 0);
    g_hash_table_iter_init(&iter, runner->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const Runner_Task *row = item;
        lc_late_start late = {
            .id = row->id,
            .late_start_ms = remaining_ms(now_ms, row->late_listed_until_ms)};
        if (late.late_start_ms > 0) {
            g_array_append_val(rows, late);
        }
    }
    g_array_sort(rows, compare_latest_first);
    report->late_starts.late_starts_len = MIN(rows->len, LC_MAX_LATE_STARTS);
    report->late_starts.late_starts_val = (lc_late_start *)(void *)rows->data;
}

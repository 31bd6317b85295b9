#include <string.h>

#include "lease/durable_log.h"
#include "lease/run_id.h"
#include "lease/runner_state.h"

/* Ended runs are retained for this long, for entries that ask again. */
#define RETENTION_MS 4000
/* Owners have usually stored an end within this time. */
#define HELD_LONG_MS 1500
/* A fenced owner is remembered for this long. It gives no orders once it has
 * not read the log for DURABLE_JOBS_LOG_TIMEOUT_MS; the rest is for calls on
 * their way. */
#define FENCED_RETENTION_MS 60000

bool
RunnerDurable_IsFenced(const Runner *runner, const lc_node *owner)
{
    return g_hash_table_contains(runner->fenced, owner);
}

/* Only final results are held until released. */
static bool
needs_release(Runner_End end)
{
    return end == RUNNER_END_DONE || end == RUNNER_END_FAILED;
}

static int64_t
hold_expiry(const Runner *runner, const Runner_Task *row)
{
    return MAX(row->earlier_expiry_ms, RunnerLateStart_ExpiryMs(runner, row));
}

/* Prevents a second execution of an acknowledged run: an upstream that
 * restarts under the same name does not know the run and would execute a late
 * copy of its start. The end is not acknowledged while such a copy can arrive.
 */
static void
hold_for_start(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    row->earlier_expiry_ms = RunnerLateStart_TaskExpiryMs(runner, &row->id,
                                                          row);
    if (now_ms < hold_expiry(runner, row)) {
        row->held_for_start = true;
        runner->held_for_starts++;
    }
}

static void
clear_start_hold(Runner *runner, Runner_Task *row)
{
    if (row->held_for_start) {
        row->held_for_start = false;
        runner->held_for_starts--;
    }
}

/* An upstream lists a limited number of ends per answer, so the oldest holds
 * for late copies are cleared early to keep newer ends listed. */
void
RunnerDurable_CheckStartHold(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    uint64_t newer = runner->upstream.last_seen - row->end_number;

    if (row->held_for_start && (now_ms >= hold_expiry(runner, row) ||
                                newer >= RUNNER_MAX_HELD_ENDS)) {
        clear_start_hold(runner, row);
    }
}

uint64_t
RunnerDurable_ListedEnds(const Runner *runner)
{
    return runner->upstream.last_seen > runner->upstream.acknowledged
               ? runner->upstream.last_seen - runner->upstream.acknowledged
               : 0;
}

bool
RunnerDurable_IsListFull(const Runner *runner)
{
    uint64_t listed = RunnerDurable_ListedEnds(runner);

    return listed >= RUNNER_MANY_LISTED_ENDS &&
           listed + runner->active_tasks >=
               RUNNER_MAX_LISTED_ENDS - RUNNER_LIST_MARGIN;
}

void
RunnerDurable_LogListFull(Runner *runner)
{
    bool full = RunnerDurable_IsListFull(runner);
    char detail[80];

    if (full == runner->logged_list_full) {
        return;
    }
    runner->logged_list_full = full;
    g_snprintf(detail, sizeof(detail), "%s, %u of %llu ends not released",
               full ? "full" : "has room", runner->unreleased,
               (unsigned long long)RunnerDurable_ListedEnds(runner));
    RunnerUpstream_Log(runner, EVENT_END_LIST, detail);
}

/* A previous process of this companion may have sent several copies of the
 * start, so one copy is assumed to be unanswered. */
static Runner_Task *
add_unknown_end(Runner *runner, int64_t now_ms, const Runner_EndedRun *ended)
{
    lc_run_args found = {.id = ended->id, .spec = (char *)(uintptr_t) ""};
    Runner_Task *row = RunnerTask_Add(runner, now_ms, &found);

    row->state = TASK_ENDED;
    row->status = ended->end == RUNNER_END_DONE ? LC_RUN_DONE : LC_RUN_FAILED;
    row->ended_ms = now_ms;
    RunnerLateStart_AssumeCopies(runner, row, 2);
    return row;
}

void
RunnerDurable_HoldEnd(Runner *runner, int64_t now_ms, Runner_Task *row,
                      const Runner_EndedRun *ended)
{
    if (!needs_release(ended->end)) {
        return;
    }
    if (row == NULL) {
        row = add_unknown_end(runner, now_ms, ended);
    }
    if (row->state == TASK_ENDED && ended->end == RUNNER_END_DONE) {
        row->status = LC_RUN_DONE; /* may have been given up before */
    }
    row->end_number = ended->number;
    row->unreleased = true;
    runner->unreleased++;
    hold_for_start(runner, now_ms, row);
}

void
RunnerDurable_Release(Runner *runner, Runner_Task *row)
{
    if (row->unreleased) {
        row->unreleased = false;
        runner->unreleased--;
    }
}

void
RunnerDurable_ReleaseAll(Runner *runner)
{
    GList *rows = RunnerTask_All(runner);
    GList *item;

    for (item = rows; item != NULL; item = item->next) {
        Runner_Task *row = item->data;
        RunnerDurable_Release(runner, row);
        clear_start_hold(runner, row);
        row->end_number = 0; /* may be listed again under another number */
    }
    g_list_free(rows);
}

uint64_t
RunnerDurable_LastSeen(const Runner *runner)
{
    uint64_t last = runner->upstream.last_seen;
    GHashTableIter iter;
    gpointer item;

    if (runner->unreleased == 0 && runner->held_for_starts == 0) {
        return last;
    }
    g_hash_table_iter_init(&iter, runner->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const Runner_Task *row = item;
        if (row->unreleased || row->held_for_start) {
            last = MIN(last, row->end_number - 1);
        }
    }
    return last;
}

bool
RunnerDurable_IsHeldLong(const Runner_Task *row, int64_t now_ms)
{
    return row->unreleased && now_ms - row->ended_ms > HELD_LONG_MS;
}

/* An end that is not released may stand nowhere else: the store may be away
 * for long, and its owner gone. */
static bool
is_retained(const Runner_Task *row, int64_t now_ms)
{
    int64_t used_ms = MAX(row->ended_ms, row->answered_ms);

    return row->unreleased || now_ms - used_ms <= RETENTION_MS;
}

bool
RunnerDurable_IsDisposable(const Runner *runner, const Runner_Task *row,
                           int64_t now_ms)
{
    bool start_expired = RunId_IsDurable(&row->id)
                             ? now_ms >= RunnerLateStart_ExpiryMs(runner, row)
                             : now_ms >= row->late_listed_until_ms;

    return start_expired && !is_retained(row, now_ms);
}

void
RunnerDurable_OnRelease(Runner *runner, int64_t now_ms, uint64_t reply_id,
                        const lc_release_args *args)
{
    Msg_Reply reply = {.kind = MSG_RELEASE};
    u_int i;

    for (i = 0; args->target == runner->config.node.incarnation &&
                i < args->runs.runs_len;
         i++) {
        Runner_Task *row = g_hash_table_lookup(runner->tasks,
                                               &args->runs.runs_val[i]);
        if (row != NULL) {
            RunnerDurable_Release(runner, row);
        }
    }
    Runner_State(runner, now_ms, &reply.u.release.host);
    runner->ports->reply(runner->context, reply_id, &reply);
}

static gboolean
is_forgotten(gpointer key, gpointer item, gpointer now_ms)
{
    const Runner_FencedOwner *row = item;

    (void)key;
    return *(const int64_t *)now_ms - row->fenced_ms > FENCED_RETENTION_MS;
}

static void
add_fenced(Runner *runner, int64_t now_ms, const lc_node *owner)
{
    Runner_FencedOwner *row;

    if (RunnerDurable_IsFenced(runner, owner)) {
        return;
    }
    row = g_new0(Runner_FencedOwner, 1);
    row->owner = *owner;
    row->fenced_ms = now_ms;
    g_hash_table_insert(runner->fenced, &row->owner, row);
}

/* Transfers a run to the successor of its owner, with a new lease plus
 * LEASE_TIMING_DURABLE_GRACE_MS from now. */
static void
transfer_run(Runner *runner, int64_t now_ms, Runner_Task *row,
             const lc_node *successor)
{
    Runner_Owner *next = RunnerOwner_Extend(
        runner, now_ms, successor,
        now_ms + runner->config.timing.lease_ms +
            LEASE_TIMING_DURABLE_GRACE_MS);
    Runner_Owner *former = RunnerOwner_Find(runner, &row->owner);

    if (former != NULL) {
        former->running--;
    }
    row->owner = *successor;
    next->running++;
}

static bool
is_named(const lc_fence_args *args, const lc_node *owner)
{
    u_int i;

    for (i = 0; i < args->gone.gone_len; i++) {
        if (Msg_SameNode(owner, &args->gone.gone_val[i])) {
            return true;
        }
    }
    return false;
}

/* Whether an active run is told: those of the owners that are gone, which are
 * transferred, and those that were transferred before, as the answer that told
 * of them may have been lost. */
static bool
is_active_run_told(const lc_fence_args *args, const Runner_Task *row)
{
    return is_named(args, &row->owner) ||
           (args->gone.gone_len > 0 &&
            Msg_SameNode(&row->owner, &args->successor));
}

/* Lists active runs, and the ends that no owner has released, whose run may
 * have been of any earlier owner. */
static void
list_runs(Runner *runner, int64_t now_ms, const lc_fence_args *args,
          GArray *runs)
{
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, runner->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        Runner_Task *row = item;
        bool running = row->state != TASK_ENDED;
        lc_held_run held = {
            .id = row->id, .running = running, .status = row->status};
        if (!RunId_IsDurable(&row->id) || runs->len >= LC_MAX_PAGE ||
            (running ? !is_active_run_told(args, row) : !row->unreleased)) {
            continue;
        }
        if (running && is_named(args, &row->owner)) {
            transfer_run(runner, now_ms, row, &args->successor);
        }
        g_array_append_val(runs, held);
    }
}

/* Lists the ended runs, of whichever owner, whose starts the upstream may
 * still execute. */
static void
list_late_starts(const Runner *runner, int64_t now_ms, GArray *late_starts)
{
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, runner->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const Runner_Task *row = item;
        lc_late_start late = {.id = row->id};
        late.late_start_ms = RunnerLateStart_RunMs(runner, now_ms, row);
        if (RunId_IsDurable(&row->id) && row->state == TASK_ENDED &&
            late.late_start_ms > 0 && late_starts->len < LC_MAX_PAGE) {
            g_array_append_val(late_starts, late);
        }
    }
}

void
RunnerDurable_OnFence(Runner *runner, int64_t now_ms, uint64_t reply_id,
                      const lc_fence_args *args)
{
    Msg_Reply reply = {.kind = MSG_FENCE};
    GArray *runs = g_array_new(FALSE, TRUE, sizeof(lc_held_run));
    GArray *late_starts = g_array_new(FALSE, TRUE, sizeof(lc_late_start));
    u_int i;

    if (args->target == runner->config.node.incarnation &&
        runner->upstream.inventoried) {
        reply.u.fence.taken = true;
        g_hash_table_foreach_remove(runner->fenced, is_forgotten, &now_ms);
        for (i = 0; i < args->gone.gone_len; i++) {
            add_fenced(runner, now_ms, &args->gone.gone_val[i]);
        }
        list_runs(runner, now_ms, args, runs);
        list_late_starts(runner, now_ms, late_starts);
    }
    reply.u.fence.runs.runs_len = runs->len;
    reply.u.fence.runs.runs_val = (lc_held_run *)(void *)runs->data;
    reply.u.fence.late_starts.late_starts_len = late_starts->len;
    reply.u.fence.late_starts.late_starts_val =
        (lc_late_start *)(void *)late_starts->data;
    Runner_State(runner, now_ms, &reply.u.fence.host);
    runner->ports->reply(runner->context, reply_id, &reply);
    g_array_unref(runs);
    g_array_unref(late_starts);
}

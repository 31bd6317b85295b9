#include "lease/runner_state.h"

#include <string.h>

#include "base/address.h"
#include "lease/resources.h"
#include "lease/run_id.h"
#include "lease/run_status.h"

/* A task is blamed for a crash of its upstream only if it was started within
 * this time, or within twice its estimate, as a task that crashes its upstream
 * does so soon after its start or by the end of its work. Far longer than the
 * detection of a crash (a hold of 600 ms, a heartbeat), and far shorter than
 * the run time of long-running tasks. */
#define CRASH_ATTRIBUTION_MS 3000
/* Queued replies carry their kind in the lowest bit: set for HALT, clear for
 * RUN. */
#define REPLY_IS_HALT 1U

void
RunnerTask_Free(gpointer item)
{
    Runner_Task *row = item;

    g_array_unref(row->pending_replies);
    g_free(row->instance);
    g_free(row->spec);
    g_free(row);
}

void
RunnerTask_Log(const Runner *runner, Event_Id id, const Runner_Task *row,
               const char *format, ...)
{
    char job[RUN_ID_JOB_SIZE];
    char detail[300];
    va_list args;

    if (!Event_Admit(id)) {
        return;
    }
    va_start(args, format);
    g_vsnprintf(detail, sizeof(detail), format, args);
    va_end(args);
    RunId_FormatJob(row->id.job, job);
    runner->ports->event(
        runner->context, id,
        json_pack("{s:s, s:i, s:i, s:i, s:s, s:s, s:s}", "job", job, "step",
                  (int)row->id.step, "index", (int)row->id.index, "run",
                  (int)row->id.run, "owner", Address_Text(row->owner.address),
                  "upstream", runner->upstream.instance, "detail", detail));
}

void
RunnerTask_ReplyRun(Runner *runner, int64_t now_ms, uint64_t reply_id,
                    const lc_run_res *result)
{
    Msg_Reply reply = {.kind = MSG_RUN};

    reply.u.run = *result;
    Runner_State(runner, now_ms, &reply.u.run.host);
    runner->ports->reply(runner->context, reply_id, &reply);
}

void
RunnerTask_ReplyHalt(Runner *runner, int64_t now_ms, uint64_t reply_id,
                     lc_run_status status)
{
    Msg_Reply reply = {.kind = MSG_HALT};

    reply.u.halt.status = status;
    Runner_State(runner, now_ms, &reply.u.halt.host);
    runner->ports->reply(runner->context, reply_id, &reply);
}

void
RunnerTask_QueueReply(Runner_Task *row, uint64_t reply_id, Msg_Kind kind)
{
    uint64_t pending = reply_id << 1 | (kind == MSG_HALT ? REPLY_IS_HALT : 0);

    g_array_append_val(row->pending_replies, pending);
}

void
RunnerTask_Answer(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    GArray *pending_replies = row->pending_replies;
    lc_run_res result = {.status = row->status, .ran_ms = row->ran_ms};
    guint i;

    result.late_start_ms = RunnerLateStart_TaskMs(runner, now_ms, &row->id);
    row->pending_replies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (i = 0; i < pending_replies->len; i++) {
        uint64_t pending = g_array_index(pending_replies, uint64_t, i);
        if ((pending & REPLY_IS_HALT) != 0) {
            RunnerTask_ReplyHalt(runner, now_ms, pending >> 1, row->status);
        }
        else {
            RunnerTask_ReplyRun(runner, now_ms, pending >> 1, &result);
        }
    }
    g_array_unref(pending_replies);
}

void
RunnerTask_End(Runner *runner, int64_t now_ms, Runner_Task *row,
               lc_run_status status)
{
    Runner_Owner *owner = RunnerOwner_Find(runner, &row->owner);

    if (row->state == TASK_ENDED) {
        return;
    }
    row->state = TASK_ENDED;
    row->status = status;
    row->ended_ms = now_ms;
    Resources_Subtract(&runner->used, &row->need);
    runner->active_tasks--;
    runner->unwanted_tasks -= row->unwanted_ms != 0;
    runner->idle_ms = now_ms;
    runner->version++;
    if (owner != NULL) {
        owner->running--;
    }
    Counter_Add(
        &runner->counters,
        status == LC_RUN_DONE ? COUNTER_TASKS_DONE : COUNTER_TASKS_FAILED, 1);
    if (status != LC_RUN_DONE) {
        RunnerTask_Log(runner, EVENT_RUN_ENDED, row,
                       "%s after %u ms, %u of %u copies of the start answered",
                       RunStatus_Text(status),
                       row->ran_ms == RUN_MAY_NOT_HAVE_BEGUN ? 0 : row->ran_ms,
                       row->answered_copies, row->start_copies);
    }
    RunnerTask_Answer(runner, now_ms, row);
}

void
RunnerTask_MarkUnwanted(Runner *runner, Runner_Task *row, int64_t since_ms)
{
    if (row->over) {
        return;
    }
    if (row->unwanted_ms == 0) {
        row->unwanted_ms = since_ms;
        runner->unwanted_tasks++;
    }
    else {
        row->unwanted_ms = MIN(row->unwanted_ms, since_ms);
    }
}

void
RunnerTask_MarkOver(Runner *runner, Runner_Task *row)
{
    row->over = true;
    runner->unwanted_tasks -= row->unwanted_ms != 0;
    row->unwanted_ms = 0;
}

static void
stop_if_lease_expired(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    const Runner_Owner *owner = RunnerOwner_Find(runner, &row->owner);

    if (owner == NULL || now_ms < owner->until_ms) {
        return;
    }
    RunnerTask_MarkUnwanted(runner, row, owner->until_ms);
    if (row->state != TASK_STOPPING) {
        RunnerTask_Log(runner, EVENT_LEASE_LAPSED, row,
                       "no lease renewal from owner %s",
                       Address_Text(row->owner.address));
        RunnerTask_Stop(runner, now_ms, row, LC_RUN_STOPPED);
    }
}

void
RunnerTask_StopExpired(Runner *runner, int64_t now_ms)
{
    GList *rows;
    GList *item;

    if (!RunnerOwner_TakeExpired(runner, now_ms)) {
        return;
    }
    rows = RunnerTask_All(runner);
    for (item = rows; item != NULL; item = item->next) {
        Runner_Task *row = item->data;
        if (row->state != TASK_ENDED) {
            stop_if_lease_expired(runner, now_ms, row);
        }
    }
    g_list_free(rows);
}

void
RunnerTask_Stop(Runner *runner, int64_t now_ms, Runner_Task *row,
                lc_run_status status)
{
    if (row->state == TASK_ENDED || row->state == TASK_STOPPING) {
        return;
    }
    row->state = TASK_STOPPING;
    row->status = status;
    RunnerOrder_Stop(runner, now_ms, row);
}

GList *
RunnerTask_All(const Runner *runner)
{
    return g_hash_table_get_values(runner->tasks);
}

bool
RunnerTask_IsOfEarlierIncarnation(const Runner *runner, const Runner_Task *row)
{
    return row->incarnation != runner->upstream.incarnation;
}

bool
RunnerTask_IsBlamedForCrash(const Runner_Task *row, int64_t now_ms)
{
    return now_ms - row->ordered_ms <=
           MAX(CRASH_ATTRIBUTION_MS, 2 * (int64_t)row->estimate_ms);
}

void
RunnerTask_EndLost(Runner *runner, int64_t now_ms, Runner_Task *row,
                   bool crashed)
{
    if (row->state == TASK_STOPPING) {
        RunnerTask_End(runner, now_ms, row, row->status);
    }
    else if (crashed && RunnerTask_IsBlamedForCrash(row, now_ms)) {
        if (row->progress_ms == 0) {
            row->ran_ms = RUN_MAY_NOT_HAVE_BEGUN;
        }
        RunnerTask_End(runner, now_ms, row, LC_RUN_CRASHED);
    }
    else {
        RunnerTask_End(runner, now_ms, row, LC_RUN_LOST);
    }
}

void
RunnerTask_EndAllLost(Runner *runner, int64_t now_ms, bool crashed)
{
    GList *rows = RunnerTask_All(runner);
    GList *item;

    for (item = rows; item != NULL; item = item->next) {
        RunnerTask_EndLost(runner, now_ms, item->data, crashed);
    }
    g_list_free(rows);
}

Runner_Task *
RunnerTask_Add(Runner *runner, int64_t now_ms, const lc_run_args *args)
{
    Runner_Task *row = g_new0(Runner_Task, 1);

    row->id = args->id;
    row->owner = args->owner;
    row->need = args->need;
    row->estimate_ms = args->estimate_ms;
    row->crashes = args->crashes;
    row->incarnation = runner->upstream.incarnation;
    row->instance = g_strdup(runner->upstream.instance);
    row->spec = g_strdup(args->spec);
    row->pending_replies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    row->ordered_ms = now_ms;
    row->handle = Handle_Add(runner->by_handle, row);
    g_hash_table_replace(runner->tasks, &row->id, row);
    return row;
}

void
RunnerTask_Remove(Runner *runner, Runner_Task *row)
{
    Handle_Remove(runner->by_handle, row->handle);
    g_hash_table_remove(runner->tasks, &row->id);
}

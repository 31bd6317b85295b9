#include "core/recovery.h"

#include <string.h>

#include "core/outcome.h"

Recovery_Started *
Recovery_CopyStarted(const lc_started *started, const lc_node *companion)
{
    Recovery_Started *copy = g_new0(Recovery_Started, 1);

    copy->key = Node_KeyFromWire(&started->key);
    copy->index = started->index;
    copy->total = started->total;
    copy->state = started->state;
    copy->code = started->code;
    copy->companion = *companion;
    copy->group = g_strdup(started->group);
    copy->length = started->result.result_len;
    copy->result = g_memdup2(started->result.result_val, copy->length);
    return copy;
}

void
Recovery_FreeStarted(gpointer item)
{
    Recovery_Started *started = item;

    g_free(started->group);
    g_free(started->result);
    g_free(started);
}

static bool
is_live_holder(const Blackboard *board, const Job *job)
{
    return job->state == JOB_HELD &&
           View_Find(Blackboard_View(board), &job->holder) != NULL;
}

/*
 * The job of a reported start; NULL if the ledger is full or this entry or a
 * live holder has the authoritative state of the job.
 */
static Job *
recovered_job(Blackboard *board, const Recovery_Started *started)
{
    Job *job = Ledger_Find(board->ledger, &started->key);

    if (job == NULL) {
        job = Ledger_Add(board->ledger, &started->key);
        if (job == NULL) {
            Blackboard_RecordLedgerFull(board);
            return NULL;
        }
    }
    else if (job->state == JOB_RECOVERED) {
        Ledger_Reopen(board->ledger, job);
        return job;
    }
    else if (job->state != JOB_HELD || is_live_holder(board, job)) {
        return NULL;
    }
    else {
        Ledger_Reopen(board->ledger, job);
    }
    job->state = JOB_RECOVERED;
    job->group = g_intern_string(started->group);
    job->arrived_ms = board->now.mono_ms;
    Job_SetTotal(job, started->total);
    Counter_Add(&board->counters, COUNTER_JOBS_RECOVERED, 1);
    return job;
}

static void
apply_started(Job *job, const Recovery_Started *started)
{
    Task *task;

    if (started->index >= job->total ||
        job->tasks[started->index].state == TASK_DONE) {
        return;
    }
    task = &job->tasks[started->index];
    if (task->state == TASK_WAITING) {
        job->waiting--;
    }
    task->companion = started->companion;
    switch (started->state) {
    case LC_TASK_RUNNING:
        task->state = TASK_SENT;
        break;
    case LC_TASK_DONE:
        Job_SetResult(job, started->index, started->code, started->result,
                      started->length);
        job->done++;
        break;
    case LC_TASK_FAILED:
    case LC_TASK_EVICTED:
        task->state = TASK_FAILED;
        task->code = started->code;
        break;
    }
}

typedef struct {
    Blackboard *board;
    int64_t unsure_before_ms;
    GPtrArray *jobs;
} unresolved_search;

static void
collect_unresolved(Job *job, void *context)
{
    unresolved_search *search = context;

    if (job->state == JOB_RECOVERED ||
        (job->state == JOB_HELD && !is_live_holder(search->board, job))) {
        g_ptr_array_add(search->jobs, job);
    }
}

static bool
has_failed_task(const Job *job)
{
    uint32_t i;

    for (i = 0; i < job->total; i++) {
        if (job->tasks[i].state == TASK_FAILED) {
            return true;
        }
    }
    return false;
}

static void
resolve_job(unresolved_search *search, Job *job)
{
    bool unsure = Key_CreatedMs(&job->key) < search->unsure_before_ms;
    /* Unreported tasks may have run on companions that are lost. */
    bool incomplete = job->state == JOB_HELD || job->waiting > 0;
    bool failed = has_failed_task(job);

    if (job->state == JOB_FAILED) {
        /* Its results were evicted while other jobs were resolved. */
        return;
    }
    Ledger_Reopen(search->board->ledger, job);
    if (job->state == JOB_HELD && !unsure) {
        Ledger_Remove(search->board->ledger, job);
    }
    else if (unsure && incomplete && !failed) {
        Outcome_Fail(
            search->board, job, ERR_LOST,
            "its entry and a companion were lost; tasks may have run");
    }
    else if (failed) {
        Outcome_Fail(search->board, job, ERR_UPSTREAM_FAILED,
                     "a task of the job failed before its entry was lost");
    }
    else if (job->done == job->total) {
        Outcome_Done(search->board, job);
    }
    else {
        Ledger_MarkEnded(search->board->ledger, job,
                         search->board->now.mono_ms);
    }
}

void
Recovery_Merge(Blackboard *board, const GPtrArray *found,
               int64_t unsure_before_ms)
{
    unresolved_search search = {board, unsure_before_ms, g_ptr_array_new()};
    guint i;

    for (i = 0; i < found->len; i++) {
        const Recovery_Started *started = g_ptr_array_index(found, i);
        Job *job = recovered_job(board, started);
        if (job != NULL) {
            apply_started(job, started);
        }
    }
    Ledger_ForEach(board->ledger, collect_unresolved, &search);
    for (i = 0; i < search.jobs->len; i++) {
        resolve_job(&search, g_ptr_array_index(search.jobs, i));
    }
    g_ptr_array_unref(search.jobs);
}

typedef struct {
    const Blackboard *board;
    GPtrArray *jobs;
} foreign_search;

static void
collect_foreign(Job *job, void *context)
{
    foreign_search *search = context;
    lc_node owner = View_Owner(Blackboard_View(search->board), &job->key);

    if (job->state == JOB_RECOVERED &&
        !Node_Same(&owner, &search->board->config.self)) {
        g_ptr_array_add(search->jobs, job);
    }
}

uint32_t
Recovery_RemoveForeign(Blackboard *board)
{
    foreign_search search = {board, g_ptr_array_new()};
    uint32_t count;
    guint i;

    Ledger_ForEach(board->ledger, collect_foreign, &search);
    count = search.jobs->len;
    for (i = 0; i < count; i++) {
        Ledger_Remove(board->ledger, g_ptr_array_index(search.jobs, i));
    }
    g_ptr_array_unref(search.jobs);
    return count;
}

#include <inttypes.h>
#include <string.h>

#include "lease/durable_jobs_state.h"
#include "lease/run_id.h"

/* A job that is at work in two looks this far apart is recorded as started. */
#define STARTS_INTERVAL_MS 250

void
DurableOwned_Free(gpointer item)
{
    DurableJobs_OwnJob *row = item;

    g_byte_array_unref(row->done);
    g_array_unref(row->failures);
    g_array_unref(row->ends);
    g_free(row);
}

static DurableJobs_OwnJob *
add_own_job(DurableJobs *self, const DurableLog_Job *job)
{
    DurableJobs_OwnJob *row = g_new0(DurableJobs_OwnJob, 1);

    row->id = job->id;
    row->done = g_byte_array_new();
    g_byte_array_append(row->done, job->done->data, job->done->len);
    row->failures = g_array_copy(job->failures);
    row->ends = g_array_new(FALSE, TRUE, sizeof(DurableJobs_RunEnd));
    g_hash_table_insert(self->jobs, &row->id, row);
    return row;
}

static void
mark_changed(DurableJobs *self, DurableJobs_OwnJob *row)
{
    g_hash_table_add(self->changed, &row->id);
}

void
DurableOwned_Remove(DurableJobs *self, DurableJobs_OwnJob *row)
{
    guint i;

    for (i = 0; i < row->ends->len; i++) {
        DurableOwned_QueueRelease(
            self, &g_array_index(row->ends, DurableJobs_RunEnd, i));
    }
    g_hash_table_remove(self->changed, &row->id);
    g_hash_table_remove(self->jobs, &row->id);
}

void
DurableOwned_PutProgress(DurableJobs *self, DurableJobs_OwnJob *row)
{
    const DurableLog_Job *job = DurableLog_Find(self->log, row->id);
    lc_kept_record record = {.job = row->id};
    lc_kept_progress *progress = &record.body.lc_kept_body_u.progress;
    char key[DURABLE_LOG_KEY_SIZE];
    uint64_t number;
    guint i;

    record.body.kind = LC_KEPT_PROGRESS;
    progress->queue = (char *)(uintptr_t)job->queue.name;
    record.queue_address = job->queue.address;
    progress->outcome = row->outcome;
    progress->done.done_val = (char *)row->done->data;
    progress->done.done_len = row->done->len;
    progress->failures.failures_val =
        (lc_kept_failures *)(void *)row->failures->data;
    progress->failures.failures_len = row->failures->len;
    DurableLog_ProgressKey(row->id, self->node, key);
    number = DurableJobs_Put(self, key, &record);
    row->progress_put = true;
    for (i = 0; i < row->ends->len; i++) {
        DurableJobs_RunEnd end = g_array_index(row->ends, DurableJobs_RunEnd,
                                               i);
        end.number = number;
        g_array_append_val(self->ends, end);
    }
    g_array_set_size(row->ends, 0);
}

static void
record_start(DurableJobs *self, DurableJobs_OwnJob *row)
{
    const DurableLog_Job *job = DurableLog_Find(self->log, row->id);
    bool started = false;

    if (row->progress_put || job->writers->len > 0 ||
        !Dispatcher_HasOpenJob(self->dispatcher, row->id, NULL, &started)) {
        return;
    }
    if (started && row->at_work) {
        mark_changed(self, row);
    }
    row->at_work = started;
}

void
DurableOwned_RecordStarts(DurableJobs *self, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer item;

    if (now_ms - self->starts_checked_ms < STARTS_INTERVAL_MS) {
        return;
    }
    self->starts_checked_ms = now_ms;
    g_hash_table_iter_init(&iter, self->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        record_start(self, item);
    }
}

/* Returns whether the failure was not counted before. */
static bool
add_failure(DurableJobs_OwnJob *row, uint32_t task, uint32_t run)
{
    lc_kept_failures fresh = {task, 1, run};
    guint i;

    for (i = 0; i < row->failures->len; i++) {
        lc_kept_failures *known = &g_array_index(row->failures,
                                                 lc_kept_failures, i);
        if (known->task == task) {
            bool counts = run > known->run;
            known->count += counts;
            known->run = MAX(known->run, run);
            return counts;
        }
    }
    g_array_append_val(row->failures, fresh);
    return true;
}

void
DurableJobs_OnRunEnd(DurableJobs *self, const lc_run_id *id, uint32_t task,
                     lc_node host, bool done)
{
    DurableJobs_OwnJob *row = g_hash_table_lookup(self->jobs, &id->job);
    DurableJobs_RunEnd end = {.host = host, .run = *id};

    if (task == DURABLE_JOBS_NO_TASK) {
        DurableOwned_QueueRelease(self, &end);
        return;
    }
    if (row == NULL) {
        return; /* not owned, or ended: see DurableTakeover_FetchHeldEnds */
    }
    if (done) {
        DurableLog_MarkDone(row->done, task);
    }
    else {
        add_failure(row, task, id->run);
    }
    g_array_append_val(row->ends, end);
    mark_changed(self, row);
}

static bool
has_end(const GArray *ends, const DurableJobs_RunEnd *end)
{
    guint i;

    for (i = 0; i < ends->len; i++) {
        const DurableJobs_RunEnd *row = &g_array_index(ends,
                                                       DurableJobs_RunEnd, i);
        if (Msg_SameNode(&row->host, &end->host) &&
            RunId_Equal(&row->run, &end->run)) {
            return true;
        }
    }
    return false;
}

void
DurableOwned_RecordHeldEnd(DurableJobs *self, int64_t now_ms,
                           const DurableJobs_RunEnd *end, uint32_t task,
                           bool done)
{
    DurableJobs_OwnJob *row = g_hash_table_lookup(self->jobs, &end->run.job);
    bool counts = true;

    if (row == NULL || row->written || has_end(row->ends, end) ||
        has_end(self->ends, end) ||
        Dispatcher_IsRunActive(self->dispatcher, &end->run)) {
        return;
    }
    g_array_append_val(row->ends, *end);
    mark_changed(self, row);
    if (done) {
        DurableLog_MarkDone(row->done, task);
    }
    else {
        counts = add_failure(row, task, end->run.run);
    }
    if (counts) {
        Dispatcher_OnHeldEnd(self->dispatcher, now_ms, &end->run, done);
    }
}

void
DurableJobs_OnUpstreamCrash(DurableJobs *self, const lc_run_id *id,
                            uint32_t task)
{
    DurableJobs_OwnJob *row = g_hash_table_lookup(self->jobs, &id->job);

    if (row != NULL) {
        add_failure(row, task | DURABLE_LOG_CRASH_COUNT, id->run);
        mark_changed(self, row);
    }
}

void
DurableJobs_OnJobEnd(DurableJobs *self, uint64_t job,
                     Dispatcher_Outcome outcome)
{
    DurableJobs_OwnJob *row = g_hash_table_lookup(self->jobs, &job);

    if (row == NULL || row->written) {
        return;
    }
    switch (outcome) {
    case DISPATCHER_SUCCEEDED:
        row->outcome = LC_KEPT_SUCCEEDED;
        break;
    case DISPATCHER_CANCELLED:
        row->outcome = LC_KEPT_CANCELLED;
        break;
    default:
        row->outcome = LC_KEPT_FAILED;
        break;
    }
    mark_changed(self, row);
}

static void
send_release(DurableJobs *self, lc_node host, GArray *ends)
{
    DurableJobs_Call *pending = g_new0(DurableJobs_Call, 1);
    Msg_Call call = {.kind = MSG_RELEASE};
    lc_run_id *runs = g_new0(lc_run_id, ends->len);
    guint i;

    for (i = 0; i < ends->len; i++) {
        runs[i] = g_array_index(ends, DurableJobs_RunEnd, i).run;
    }
    call.u.release.target = host.incarnation;
    call.u.release.runs.runs_len = MIN(ends->len, LC_MAX_PAGE);
    call.u.release.runs.runs_val = runs;
    pending->kind = MSG_RELEASE;
    pending->host = host;
    pending->ends = g_array_ref(ends);
    self->ports->call(self->context, host.address,
                      Handle_Add(self->calls, pending), &call);
    g_free(runs);
}

void
DurableOwned_QueueRelease(DurableJobs *self, const DurableJobs_RunEnd *end)
{
    DurableJobs_RunEnd written = *end;

    written.number = 0;
    g_array_append_val(self->ends, written);
}

/* Removes the written ends at one companion from the list, one page at most.
 */
static GArray *
take_written_ends_at(DurableJobs *self, lc_node host)
{
    GArray *taken = g_array_new(FALSE, TRUE, sizeof(DurableJobs_RunEnd));
    guint i = 0;

    while (i < self->ends->len) {
        DurableJobs_RunEnd *end = &g_array_index(self->ends,
                                                 DurableJobs_RunEnd, i);
        if (end->number <= self->written && Msg_SameNode(&end->host, &host) &&
            taken->len < LC_MAX_PAGE) {
            g_array_append_val(taken, *end);
            g_array_remove_index_fast(self->ends, i);
        }
        else {
            i++;
        }
    }
    return taken;
}

void
DurableOwned_SendReleases(DurableJobs *self)
{
    guint i = 0;

    while (i < self->ends->len) {
        DurableJobs_RunEnd end = g_array_index(self->ends, DurableJobs_RunEnd,
                                               i);
        GArray *ends;
        if (end.number > self->written) {
            i++;
            continue;
        }
        ends = take_written_ends_at(self, end.host);
        send_release(self, end.host, ends);
        g_array_unref(ends);
        i = 0;
    }
}

/* If the companion was not reached, its ends are queued again, unless it has
 * restarted: the next incarnation reports the ends that it finds. */
void
DurableOwned_OnReleaseReply(DurableJobs *self, const DurableJobs_Call *call,
                            bool answered)
{
    const Fleet_Host *host = Dispatcher_Host(self->dispatcher,
                                             call->host.address);

    if (answered || host == NULL ||
        host->node.incarnation != call->host.incarnation) {
        return;
    }
    g_array_append_vals(self->ends, call->ends->data, call->ends->len);
}

/* Adopts the runs of a job that companions hold: ends are recorded, active
 * runs are passed to the dispatcher. */
static void
adopt_found_runs(DurableJobs *self, DurableJobs_OwnJob *row,
                 const LeasedJob *job, const DurableJobs_Recovery *recovery,
                 GArray *runs)
{
    guint i;

    for (i = 0; recovery != NULL && i < recovery->runs->len; i++) {
        const DurableJobs_FoundRun *found = &g_array_index(
            recovery->runs, DurableJobs_FoundRun, i);
        const lc_run_id *id = &found->run.id;
        Dispatcher_ReportedRun reported = {*id, found->host};
        if (id->job != row->id) {
            continue;
        }
        if (found->run.running) {
            g_array_append_val(runs, reported);
            continue;
        }
        DurableJobs_OnRunEnd(self, id, LeasedJob_RecordedEndNumber(job, id),
                             found->host, found->run.status == LC_RUN_DONE);
    }
}

static DurableJobs_OwnJob *
write_outcome(DurableJobs *self, const DurableLog_Job *job,
              lc_kept_outcome outcome)
{
    DurableJobs_OwnJob *row = add_own_job(self, job);

    row->outcome = outcome;
    mark_changed(self, row);
    return row;
}

static void
send_halt(DurableJobs *self, const DurableJobs_FoundRun *found)
{
    DurableJobs_Call *pending = g_new0(DurableJobs_Call, 1);
    Msg_Call call = {.kind = MSG_HALT};

    call.u.halt.owner = self->node;
    call.u.halt.target = found->host.incarnation;
    call.u.halt.id = found->run.id;
    pending->kind = MSG_HALT;
    pending->host = found->host;
    self->ports->call(self->context, found->host.address,
                      Handle_Add(self->calls, pending), &call);
}

/* Stops the runs of a job that cannot be managed any further, and has its ends
 * released once its outcome is written. */
static void
drop_found_runs(DurableJobs *self, DurableJobs_OwnJob *row,
                const DurableJobs_Recovery *recovery)
{
    guint i;

    for (i = 0; recovery != NULL && i < recovery->runs->len; i++) {
        const DurableJobs_FoundRun *found = &g_array_index(
            recovery->runs, DurableJobs_FoundRun, i);
        DurableJobs_RunEnd end = {.host = found->host, .run = found->run.id};
        if (found->run.id.job != row->id) {
            continue;
        }
        if (found->run.running) {
            send_halt(self, found);
        }
        else {
            g_array_append_val(row->ends, end);
        }
    }
}

/* Finds the queue that a job belongs to now, and logs which, unless it is the
 * one that the job was submitted to. */
static const Route *
find_route(const DurableJobs *self, const DurableLog_Job *job)
{
    Route_Match match;
    const Route *route = Route_FindQueue(Dispatcher_Routes(self->dispatcher),
                                         &job->queue, &match);
    char detail[80 + 2 * LC_MAX_NAME];
    QueueRef current;

    if (route == NULL) {
        return NULL;
    }
    current = Route_Reference(route);
    if (!QueueRef_Equal(&current, &job->queue)) {
        g_snprintf(detail, sizeof(detail),
                   "job %016" PRIx64 " of queue %s: now of queue %s, "
                   "matched by %s",
                   job->id, job->queue.name, route->name,
                   Route_MatchText(match));
        self->ports->event(self->context, EVENT_QUEUE_CHANGED, detail);
    }
    return route;
}

/* The job is managed like any other, so that runs and ends found by a recovery
 * are not lost, but its tasks cannot be started before the queue is known. */
static void
await_queue(DurableJobs *self, DurableJobs_OwnJob *row,
            const DurableLog_Job *job)
{
    char detail[80 + LC_MAX_NAME];

    row->awaits_queue = true;
    self->has_unstarted = true;
    g_snprintf(detail, sizeof(detail),
               "job %016" PRIx64 ": queue %s is not known, no task is started",
               job->id, job->queue.name);
    self->ports->event(self->context, EVENT_KEPT_NO_QUEUE, detail);
}

void
DurableOwned_Start(DurableJobs *self, int64_t now_ms, DurableLog_Job *job,
                   const DurableJobs_Recovery *recovery)
{
    uint32_t generation = DurableLog_Ownership(self->log, job).claims_count;
    Dispatcher_DurableJob start = {.run_base = RUN_ID_DURABLE_BASE +
                                               generation * RUN_ID_OWNER_STEP};
    Status status = {ERR_OK, ""};
    DurableJobs_OwnJob *row;
    GArray *runs;

    DurableLog_AddAddress(job, Dispatcher_Routes(self->dispatcher));
    start.queue = job->queue;
    start.route = find_route(self, job);
    if (job->cancelled && recovery == NULL) {
        write_outcome(self, job, LC_KEPT_CANCELLED);
        return;
    }
    if (self->ports->parse(self->context, job->id, job->body, &start.job,
                           &status) != ERR_OK) {
        self->ports->event(self->context, EVENT_KEPT_BAD, status.message);
        row = write_outcome(self, job, LC_KEPT_FAILED);
        drop_found_runs(self, row, recovery);
        return;
    }
    runs = g_array_new(FALSE, TRUE, sizeof(Dispatcher_ReportedRun));
    row = add_own_job(self, job);
    if (start.route == NULL) {
        await_queue(self, row, job);
    }
    adopt_found_runs(self, row, &start.job, recovery, runs);
    start.runs = runs;
    start.late_starts = recovery == NULL ? NULL : recovery->late_starts;
    start.done = row->done;
    start.failures = row->failures;
    Dispatcher_AddDurable(self->dispatcher, now_ms, &start);
    g_array_unref(runs);
    if (job->cancelled) {
        /* Its active runs have to be stopped. */
        Dispatcher_OnCancel(self->dispatcher, now_ms, job->id, NULL);
    }
}

/* Starts the tasks of a job if its queue has become known. */
static void
resume_if_queue_known(DurableJobs *self, int64_t now_ms,
                      DurableJobs_OwnJob *row, const DurableLog_Job *job)
{
    const Route *route = find_route(self, job);

    if (route == NULL) {
        self->has_unstarted = true;
        return;
    }
    row->awaits_queue = false;
    Dispatcher_SetDurableRoute(self->dispatcher, now_ms, job->id, route);
}

void
DurableOwned_StartAll(DurableJobs *self, int64_t now_ms)
{
    GPtrArray *open;
    guint i;

    /* A claim that is not acted upon yet may give jobs to this entry that are
     * at work elsewhere. */
    if (!self->has_unstarted || self->claims_unread) {
        return;
    }
    self->has_unstarted = false;
    open = DurableLog_OpenJobs(self->log);
    for (i = 0; i < open->len; i++) {
        DurableLog_Job *job = g_ptr_array_index(open, i);
        DurableJobs_OwnJob *row = g_hash_table_lookup(self->jobs, &job->id);
        lc_node owner = DurableLog_OwnerOf(self->log, job);
        if (!Msg_SameNode(&owner, &self->node)) {
            continue;
        }
        if (row != NULL) {
            if (row->awaits_queue) {
                resume_if_queue_known(self, now_ms, row, job);
            }
        }
        else if (DurableTakeover_RecoveryOf(self, job) == NULL) {
            DurableOwned_Start(self, now_ms, job, NULL);
        }
    }
    g_ptr_array_unref(open);
}

#include "lease/dispatcher_state.h"
#include "lease/durable_log.h"
#include "lease/run_id.h"

/* Deadline of durable jobs, which have none. */
#define NO_DEADLINE_MS (INT64_MAX / 4)

void
Dispatcher_SetDurableOwner(Dispatcher *self, uint64_t incarnation)
{
    uint32_t i;
    uint32_t j;

    self->durable_owner = incarnation;
    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        Active_Job *job = Handle_ItemAt(self->jobs, i);
        if (job == NULL || !job->durable) {
            continue;
        }
        for (j = 0; j < job->task_count; j++) {
            DispatcherCompletion_ReleaseHost(self, &job->tasks[j]);
        }
        DispatcherCompletion_FreeJob(self, job);
    }
}

void
Dispatcher_SetWallOffset(Dispatcher *self, int64_t offset_ms)
{
    self->wall_offset_ms = offset_ms;
}

void
Dispatcher_AllowDurable(Dispatcher *self, int64_t log_read_ms,
                        int64_t until_ms)
{
    self->durable_log_read_ms = log_read_ms;
    self->durable_until_ms = until_ms;
    self->dispatch_pending = true;
}

bool
DispatcherDurable_IsAllowed(const Dispatcher *self, int64_t now_ms)
{
    return now_ms < self->durable_until_ms;
}

bool
DispatcherDurable_IsAllowedAt(const Dispatcher *self, int64_t now_ms,
                              const Fleet_Host *host)
{
    return DispatcherDurable_IsAllowed(self, now_ms) &&
           Fleet_IsHeardBefore(host, self->durable_log_read_ms);
}

static void
restore_failures(Active_Job *job, const GArray *failures)
{
    guint i;

    for (i = 0; i < failures->len; i++) {
        const lc_kept_failures *row = &g_array_index(failures,
                                                     lc_kept_failures, i);
        uint32_t task = row->task & ~DURABLE_LOG_CRASH_COUNT;
        if (task >= job->task_count) {
            continue;
        }
        if ((row->task & DURABLE_LOG_CRASH_COUNT) != 0) {
            job->tasks[task].crashes = row->count;
        }
        else {
            job->tasks[task].failures = row->count;
        }
    }
}

static void
restore_done(Active_Job *job, const Dispatcher_DurableJob *start,
             int64_t wall_ms)
{
    uint32_t i;

    for (i = 0; i < job->task_count; i++) {
        Active_Task *task = &job->tasks[i];
        task->id.run = start->run_base;
        if (DurableLog_IsDone(start->done, i)) {
            task->done = true;
            Active_SetState(job, task, ACTIVE_OVER);
            job->starts++;
        }
    }
    Active_Unblock(job, wall_ms);
}

static Active_Task *
find_task(const Active_Job *job, const lc_run_id *id)
{
    uint32_t i;

    for (i = 0; i < job->task_count; i++) {
        if (RunId_SameTask(&job->tasks[i].id, id)) {
            return &job->tasks[i];
        }
    }
    return NULL;
}

/* Adopts a run that a companion has reported if it is the task's latest, and
 * schedules a query for it. */
static void
restore_run(Dispatcher *self, int64_t now_ms, Active_Job *job,
            const Dispatcher_ReportedRun *run)
{
    Active_Task *task = find_task(job, &run->id);

    if (task == NULL || task->done ||
        (DispatcherCompletion_IsInFlight(task) &&
         task->id.run >= run->id.run)) {
        return;
    }
    task->id.run = run->id.run;
    DispatcherCompletion_QueryRun(self, now_ms, job, task, run->host);
    job->starts++;
}

/* The task of an open durable job that @p id is a run of, or NULL. */
static Active_Task *
find_open_task(const Dispatcher *self, const lc_run_id *id, Active_Job **job)
{
    *job = g_hash_table_lookup(self->by_id, &id->job);
    return *job == NULL || !(*job)->durable || (*job)->closing
               ? NULL
               : find_task(*job, id);
}

bool
Dispatcher_IsRunActive(const Dispatcher *self, const lc_run_id *id)
{
    Active_Job *job;
    const Active_Task *task = find_open_task(self, id, &job);

    return task != NULL && task->id.run == id->run &&
           DispatcherCompletion_IsInFlight(task);
}

void
Dispatcher_OnHeldEnd(Dispatcher *self, int64_t now_ms, const lc_run_id *id,
                     bool done)
{
    Active_Job *job;
    Active_Task *task = find_open_task(self, id, &job);

    if (task == NULL || task->done) {
        return;
    }
    if (done && !DispatcherCompletion_IsInFlight(task)) {
        DispatcherCompletion_FinishTask(self, now_ms, job, task);
    }
    else if (!done) {
        task->failures++;
        DispatcherCompletion_CheckAttempts(self, now_ms, job, task,
                                           job->max_attempts);
    }
}

/* Ends the job if its recorded progress already decides its outcome. */
static void
end_if_decided(Dispatcher *self, int64_t now_ms, Active_Job *job)
{
    Dispatcher_Answer answer = {
        .outcome = DISPATCHER_SUCCEEDED, .kind = ERR_OK, .message = ""};
    uint32_t i;

    if (Active_IsDone(job)) {
        DispatcherCompletion_EndJob(self, now_ms, job, &answer);
        return;
    }
    for (i = 0; i < job->task_count; i++) {
        if (DispatcherCompletion_CheckAttempts(
                self, now_ms, job, &job->tasks[i], job->max_attempts) ||
            DispatcherCompletion_CheckCrashLimit(self, now_ms, job,
                                                 &job->tasks[i])) {
            return;
        }
    }
}

static Active_Job *
new_job(Dispatcher_DurableJob *start, int64_t now_ms)
{
    Route unknown = {.service = (char *)(uintptr_t) "",
                     .max_attempts = UINT32_MAX};
    Active_Job *job = Active_New(&start->job, &start->queue,
                                 start->route != NULL ? start->route
                                                      : &unknown,
                                 now_ms, NO_DEADLINE_MS);

    job->awaits_queue = start->route == NULL;
    job->durable = true;
    return job;
}

void
Dispatcher_AddDurable(Dispatcher *self, int64_t now_ms,
                      Dispatcher_DurableJob *start)
{
    Active_Job *job = new_job(start, now_ms);
    guint i;

    job->handle = Handle_Add(self->jobs, job);
    g_hash_table_replace(self->by_id, &job->spec.id, job);
    restore_done(job, start, now_ms + self->wall_offset_ms);
    restore_failures(job, start->failures);
    DispatcherLateStart_BindTasks(self, now_ms, job, start->late_starts);
    for (i = 0; i < start->runs->len; i++) {
        restore_run(self, now_ms, job,
                    &g_array_index(start->runs, Dispatcher_ReportedRun, i));
    }
    Counter_Add(&self->counters, COUNTER_JOBS_SUBMITTED, 1);
    self->dispatch_pending = true;
    end_if_decided(self, now_ms, job);
}

void
Dispatcher_SetDurableRoute(Dispatcher *self, int64_t now_ms, uint64_t id,
                           const Route *route)
{
    Active_Job *job = g_hash_table_lookup(self->by_id, &id);

    if (job == NULL || !job->awaits_queue || job->closing) {
        return;
    }
    Active_SetRoute(job, route);
    self->dispatch_pending = true;
    end_if_decided(self, now_ms, job);
}

const Fleet *
Dispatcher_Fleet(const Dispatcher *self)
{
    return &self->fleet;
}

const Fleet_Host *
Dispatcher_Host(const Dispatcher *self, Address address)
{
    return Fleet_Find(&self->fleet, address);
}

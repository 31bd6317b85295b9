/*
 * Late starts of leased jobs. A caller whose entry is gone, or that has hung
 * up, submits its job again at any entry, while an upstream that restarts
 * under its name may still execute a start of the first submission. Companions
 * list such starts in their reports. The task is then started at that
 * companion alone: there the upstream executes one of its runs at most, and a
 * restarted upstream is found empty before it gets new starts.
 *
 * Answers to renewals list the unsettled starts of an entry's own runs, so
 * that it knows them when a companion falls silent.
 */
#include "base/address.h"
#include "lease/dispatcher_state.h"
#include "lease/host_choice.h"
#include "lease/run_id.h"

/* A suspected upstream is polled every 50 ms: one that is up mostly answers
 * within this time, also while half of its answers are lost. */
#define ABSENT_MS 300

/* A task started at the companion needs a higher run number than the start
 * that may be late, which the upstream then refuses. */
void
DispatcherLateStart_BindTask(Dispatcher *self, int64_t now_ms,
                             const Active_Job *job, Active_Task *task,
                             const LateStart *late)
{
    Address address = late->companion.address;
    bool bound = Active_IsBound(task, now_ms) &&
                 (task->bound_to == address || task->bound_to == 0);

    if (task->done || now_ms >= late->until_ms) {
        return;
    }
    Active_Bind(task, now_ms, address, late->until_ms);
    if (!DispatcherCompletion_IsInFlight(task)) {
        task->id.run = MAX(task->id.run, late->id.run);
    }
    if (!bound) {
        JobTrace_Add(job->trace, now_ms, JOB_TRACE_BOUND, &late->id, address,
                     (int32_t)(late->until_ms - now_ms));
        Counter_Add(&self->counters, COUNTER_TASKS_BOUND, 1);
    }
}

void
DispatcherLateStart_BindTasks(Dispatcher *self, int64_t now_ms,
                              Active_Job *job, const GArray *starts)
{
    guint i;
    uint32_t j;

    for (i = 0; starts != NULL && i < starts->len; i++) {
        const LateStart *late = &g_array_index(starts, LateStart, i);
        for (j = 0; j < job->task_count; j++) {
            if (RunId_SameTask(&job->tasks[j].id, &late->id)) {
                DispatcherLateStart_BindTask(self, now_ms, job, &job->tasks[j],
                                             late);
            }
        }
    }
}

void
DispatcherLateStart_BindJob(Dispatcher *self, int64_t now_ms, Active_Job *job)
{
    DispatcherLateStart_BindTasks(
        self, now_ms, job, LateStarts_OfJob(self->late_starts, job->spec.id));
    DispatcherLateStart_BindTasks(
        self, now_ms, job,
        LateStarts_OfJob(self->assumed_starts, job->spec.id));
}

void
DispatcherLateStart_OnRenewed(Fleet_Host *host, const lc_renew_res *renewed)
{
    if (!renewed->starts_told) {
        return;
    }
    host->unsettled_as_of_ms = host->renew_sent_ms;
    g_array_set_size(host->unsettled, 0);
    g_array_append_vals(host->unsettled, renewed->unsettled.unsettled_val,
                        renewed->unsettled.unsettled_len);
}

/* Whether a copy of a run's start may be unanswered. A settled start remains
 * so: copies are sent only while none is answered. */
static bool
is_unsettled(const Fleet_Host *host, const Active_Task *task)
{
    guint i;

    if (task->sent_ms >= host->unsettled_as_of_ms) {
        return true;
    }
    for (i = 0; i < host->unsettled->len; i++) {
        if (RunId_Equal(&g_array_index(host->unsettled, lc_run_id, i),
                        &task->id)) {
            return true;
        }
    }
    return false;
}

void
DispatcherLateStart_OnConnectionLost(const Dispatcher *self, Active_Task *task)
{
    const Fleet_Host *host = DispatcherCompletion_HostOf(self, task);

    if (host != NULL && is_unsettled(host, task)) {
        task->sent_ms = INT64_MAX;
    }
}

void
DispatcherLateStart_OnSilent(Dispatcher *self, int64_t now_ms,
                             const Active_Job *job, Active_Task *task,
                             const Fleet_Host *host)
{
    LateStart late = {
        .id = task->id,
        .companion = host->node,
        .until_ms = Fleet_CertainEnd(host, &self->config.timing) +
                    host->late_ms};

    if (job->durable || host->late_ms == 0 || !is_unsettled(host, task)) {
        return;
    }
    LateStarts_Add(self->assumed_starts, now_ms, &late);
    DispatcherLateStart_BindTask(self, now_ms, job, task, &late);
}

void
DispatcherLateStart_OnReport(Dispatcher *self, int64_t now_ms,
                             const lc_report_args *report)
{
    u_int i;

    if (report->late_starts_version == 0 ||
        !LateStarts_Replace(self->late_starts, now_ms, &report->host.node,
                            report->late_starts_version,
                            report->late_starts.late_starts_val,
                            report->late_starts.late_starts_len)) {
        return;
    }
    for (i = 0; i < report->late_starts.late_starts_len; i++) {
        uint64_t id = report->late_starts.late_starts_val[i].id.job;
        Active_Job *job = g_hash_table_lookup(self->by_id, &id);
        if (job != NULL && !job->durable) {
            DispatcherLateStart_BindJob(self, now_ms, job);
        }
    }
}

uint32_t
Dispatcher_LateStartsVersion(const Dispatcher *self, const lc_node *companion)
{
    return LateStarts_Version(self->late_starts, companion);
}

/* Whether the companion's upstream is known to take no task for a while. One
 * that is full, on trial or merely suspected takes it later. */
static bool
is_away(const Dispatcher *self, int64_t now_ms, Address address)
{
    const Fleet_Host *host = Fleet_Find(&self->fleet, address);

    return host == NULL || host->closed ||
           host->state == LC_UPSTREAM_DRAINING ||
           (host->state == LC_UPSTREAM_ABSENT &&
            now_ms - host->absent_since_ms >= ABSENT_MS) ||
           !HostChoice_IsLive(host, now_ms);
}

/* Returns a waiting task that can be started nowhere now, or NULL. */
static const Active_Task *
unstartable_task(const Dispatcher *self, int64_t now_ms, const Active_Job *job)
{
    uint32_t i;

    for (i = 0; i < job->task_count; i++) {
        const Active_Task *task = &job->tasks[i];
        if (task->state == ACTIVE_WAITING && Active_IsBound(task, now_ms) &&
            is_away(self, now_ms, task->bound_to)) {
            return task;
        }
    }
    return NULL;
}

bool
DispatcherLateStart_EndIfUnstartable(Dispatcher *self, int64_t now_ms,
                                     Active_Job *job)
{
    const Active_Task *task = unstartable_task(self, now_ms, job);
    Dispatcher_Answer answer = {
        .outcome = Active_HasStarted(job) ? DISPATCHER_GIVEN_UP
                                          : DISPATCHER_NOT_RUN,
        .kind = ERR_UNSETTLED,
        .message = "an upstream that takes no tasks now may still execute an "
                   "earlier start of the job"};

    if (task == NULL) {
        return false;
    }
    answer.retry_ms = (uint32_t)MIN(task->bound_until_ms - now_ms,
                                    DISPATCHER_RETRY_MS);
    Counter_Add(&self->counters, COUNTER_JOBS_UNSTARTABLE, 1);
    DispatcherCompletion_EndJob(self, now_ms, job, &answer);
    return true;
}

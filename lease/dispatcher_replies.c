#include "lease/dispatcher_state.h"
#include "lease/run_status.h"

/* Exponential backoff for repeating a call after a broken connection or an
 * inconclusive reply. */
#define RETRY_BASE_MS 50
#define RETRY_MAX_DOUBLINGS 8
#define RETRY_MAX_MS 400
/* A companion that refused a task for a reason other than room is avoided for
 * this long. */
#define REFUSED_BACKOFF_MS 20
/* Same for a companion that knows its hall to be closed when this entry does
 * not yet: its report arrives within one report interval (500 ms at most, see
 * dispatcher_hosts.c). */
#define HALL_CLOSED_BACKOFF_MS 500
/* Delay before a long-running task is started again, however it ended. */
#define LONG_RUNNING_RESTART_MS 50
/* Run numbers to skip when an upstream knows later runs, of an earlier
 * submission. */
#define SKIPPED_RUN_NUMBERS 16

static Active_Task *
find_task(const Dispatcher *self, const Dispatcher_Call *about,
          Active_Job **job)
{
    Active_Task *task;

    *job = Handle_Get(self->jobs, about->job);
    if (*job == NULL) {
        return NULL;
    }
    task = &(*job)->tasks[about->task];
    if (task->id.run != about->run || !DispatcherCompletion_IsInFlight(task)) {
        return NULL;
    }
    return task;
}

/* Whether the reply leaves open if the run is still in progress. */
static bool
is_inconclusive(lc_run_status status, const lc_host_state *state,
                const Dispatcher_Call *about)
{
    return status == LC_RUN_NOT_READY &&
           state->node.incarnation != about->host.incarnation;
}

/* Maps the refusal of a run that was only queried to LC_RUN_LOST: the
 * companion does not know it. */
static lc_run_status
effective_status(lc_run_status status, const Active_Task *task)
{
    bool refused = status == LC_RUN_EXPIRED || status == LC_RUN_NOT_READY;

    return refused && task->outcome_queried_ms != 0 ? LC_RUN_LOST : status;
}

static int64_t
retry_delay_ms(const Active_Task *task)
{
    return MIN((int64_t)RETRY_BASE_MS
                   << MIN(task->call_retries, RETRY_MAX_DOUBLINGS),
               RETRY_MAX_MS);
}

static void
on_run_refused(Dispatcher *self, int64_t now_ms, Active_Job *job,
               Active_Task *task, Fleet_Host *host, lc_run_status status)
{
    Counter_Add(&self->counters, COUNTER_WASTED_BUSY, 1);
    job->starts--;
    task->refused++;
    ForwardChoice_CountRefused(&self->sends);
    if (host != NULL && status != LC_RUN_NO_ROOM) {
        host->avoid_until_ms = now_ms + (status == LC_RUN_CLOSED
                                             ? HALL_CLOSED_BACKOFF_MS
                                             : REFUSED_BACKOFF_MS);
    }
    if (status == LC_RUN_OLD) {
        task->id.run += SKIPPED_RUN_NUMBERS;
    }
    DispatcherCompletion_Requeue(self, job, task, now_ms);
}

/* The upstream may execute a start of this run, or of an earlier one, once it
 * has restarted under its name. A run elsewhere could then run beside that
 * one, or its end could be acknowledged before. */
static void
bind_to_late_start(Dispatcher *self, int64_t now_ms, const Active_Job *job,
                   Active_Task *task, uint32_t late_start_ms)
{
    LateStart late = {.id = task->id,
                      .companion = task->host,
                      .until_ms = now_ms + late_start_ms};

    if (late_start_ms > 0) {
        DispatcherLateStart_BindTask(self, now_ms, job, task, &late);
    }
}

/* @p confirmed: the run is known to have begun. */
static void
on_run_ended(Dispatcher *self, int64_t now_ms, Active_Job *job,
             Active_Task *task, lc_run_status status, bool confirmed)
{
    Fleet_Host *host = DispatcherCompletion_HostOf(self, task);

    DispatcherCompletion_ReleaseHost(self, task);
    if (job->durable && (status == LC_RUN_DONE || status == LC_RUN_FAILED)) {
        self->ports->on_durable_run_end(
            self->context, &task->id,
            LeasedJob_RecordedEndNumber(&job->spec, &task->id), task->host,
            status == LC_RUN_DONE);
    }
    JobTrace_Add(job->trace, now_ms, JOB_TRACE_ENDED, &task->id,
                 task->host.address, (int32_t)status);
    if (status == LC_RUN_CRASHED && DispatcherCompletion_OnRunCrashed(
                                        self, now_ms, job, task, confirmed)) {
        return;
    }
    if (Active_Step(job, task)->long_running &&
        (status <= LC_RUN_STALLED || status == LC_RUN_CRASHED)) {
        task->avoid = task->host.address;
        DispatcherCompletion_Requeue(self, job, task,
                                     now_ms + LONG_RUNNING_RESTART_MS);
        return;
    }
    switch (status) {
    case LC_RUN_DONE:
        if (job->closing) {
            DispatcherCompletion_Requeue(self, job, task, now_ms);
        }
        else {
            DispatcherCompletion_FinishTask(self, now_ms, job, task);
        }
        break;
    case LC_RUN_FAILED:
        DispatcherCompletion_OnRunFailed(self, now_ms, job, task, host);
        break;
    case LC_RUN_STOPPED:
    case LC_RUN_LOST:
    case LC_RUN_STALLED:
    case LC_RUN_CRASHED:
    case LC_RUN_OTHER_NODE:
        task->avoid = task->host.address;
        DispatcherCompletion_Requeue(self, job, task, now_ms);
        break;
    default:
        on_run_refused(self, now_ms, job, task, host, status);
        break;
    }
}

static void
on_run_reply(Dispatcher *self, int64_t now_ms, const Dispatcher_Call *about,
             const lc_run_res *result)
{
    Active_Job *job;
    Active_Task *task = find_task(self, about, &job);

    if (task == NULL) {
        return;
    }
    if (result == NULL) {
        if (task->state == ACTIVE_SENT) {
            Active_SetState(job, task, ACTIVE_ORPHANED);
            DispatcherLateStart_OnConnectionLost(self, task);
            if (task->call_retries == 0) {
                JobTrace_Add(job->trace, now_ms, JOB_TRACE_ORPHANED, &task->id,
                             task->host.address, 0);
            }
            task->not_before_ms = now_ms + retry_delay_ms(task);
        }
        return;
    }
    if (task->outcome_queried_ms != 0 && result->status == LC_RUN_NOT_READY &&
        now_ms - task->outcome_queried_ms < DISPATCHER_OUTCOME_TIMEOUT_MS) {
        Active_SetState(job, task, ACTIVE_ORPHANED);
        task->not_before_ms = now_ms + retry_delay_ms(task);
        return;
    }
    if (is_inconclusive(result->status, &result->host, about)) {
        task->not_before_ms = now_ms + retry_delay_ms(task);
        return;
    }
    if (result->status == LC_RUN_OTHER_NODE && job->durable && !job->closing) {
        /* The companion's next incarnation may know how the run ended. */
        DispatcherCompletion_QueryRun(self, now_ms, job, task,
                                      result->host.node);
        return;
    }
    bind_to_late_start(self, now_ms, job, task, result->late_start_ms);
    on_run_ended(self, now_ms, job, task,
                 effective_status(result->status, task),
                 result->ran_ms != RUN_MAY_NOT_HAVE_BEGUN);
}

static void
on_halt_reply(Dispatcher *self, int64_t now_ms, const Dispatcher_Call *about,
              const lc_halt_res *result)
{
    Active_Job *job;
    Active_Task *task = find_task(self, about, &job);

    if (task == NULL) {
        return;
    }
    if (result == NULL ||
        is_inconclusive(result->status, &result->host, about)) {
        Fleet_Host *host = DispatcherCompletion_HostOf(self, task);
        task->not_before_ms = now_ms + retry_delay_ms(task);
        if (host != NULL) {
            host->halt_failed |= result == NULL;
        }
        return;
    }
    on_run_ended(self, now_ms, job, task, result->status, true);
}

static void
apply_state(const Dispatcher *self, int64_t now_ms,
            const Dispatcher_Call *about, const Msg_Reply *reply)
{
    Fleet_Host *host = Fleet_Find(&self->fleet, about->host.address);

    if (host == NULL) {
        return;
    }
    switch (reply->kind) {
    case MSG_RUN:
        Fleet_ApplyState(host, now_ms, &reply->u.run.host);
        break;
    case MSG_HALT:
        Fleet_ApplyState(host, now_ms, &reply->u.halt.host);
        break;
    case MSG_RENEW:
        Fleet_ApplyState(host, now_ms, &reply->u.renew.host);
        break;
    default:
        break;
    }
}

static void
on_renew_reply(Dispatcher *self, int64_t now_ms, const Dispatcher_Call *about,
               uint64_t call_id, const Msg_Reply *reply)
{
    Fleet_Host *host = Fleet_Find(&self->fleet, about->host.address);

    if (host == NULL || host->renew_call_id != call_id) {
        return;
    }
    host->renew_call_id = 0;
    if (reply == NULL) {
        DispatcherHosts_Suspect(self, now_ms, host);
        return;
    }
    DispatcherLateStart_OnRenewed(host, &reply->u.renew);
}

void
Dispatcher_OnReply(Dispatcher *self, int64_t now_ms, uint64_t call_id,
                   const Msg_Reply *reply)
{
    Dispatcher_Call *about = Handle_Remove(self->calls, call_id);

    if (about == NULL) {
        return;
    }
    if (reply != NULL) {
        apply_state(self, now_ms, about, reply);
    }
    switch (about->kind) {
    case MSG_RUN:
        on_run_reply(self, now_ms, about,
                     reply == NULL ? NULL : &reply->u.run);
        break;
    case MSG_HALT:
        on_halt_reply(self, now_ms, about,
                      reply == NULL ? NULL : &reply->u.halt);
        break;
    case MSG_FORWARD:
        DispatcherForward_OnReply(self, now_ms, about,
                                  reply == NULL ? NULL : &reply->u.forward);
        break;
    case MSG_EXTEND:
        DispatcherForward_OnExtendReply(self, now_ms, about, call_id,
                                        reply == NULL ? NULL
                                                      : &reply->u.extend);
        break;
    default:
        on_renew_reply(self, now_ms, about, call_id, reply);
        break;
    }
    g_free(about);
    self->dispatch_pending = true;
}

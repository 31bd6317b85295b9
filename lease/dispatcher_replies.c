#include "lease/dispatcher_state.h"

/* Asking again after a broken connection, or an answer that settles
 * nothing. */
#define AGAIN_MS 50
#define AGAIN_DOUBLINGS 8
#define AGAIN_MOST_MS 400
/* Refused for another reason than room: elsewhere, here not for a moment. */
#define REFUSED_MS 20
/* A companion whose hall is closed, as it knows but this entry does not yet:
 * its report comes within a report gap (500 ms at most, dispatcher_hosts.c).
 */
#define CLOSED_MS 500
/* A task that lasts is started again after so long, wherever it ended. */
#define LAST_AGAIN_MS 50
/* Runs of an earlier submission that an upstream may know of. */
#define RUNS_SKIPPED 16

static Active_Task *
task_of(const Dispatcher *self, const Dispatcher_Call *about, Active_Job **job)
{
    Active_Task *task;

    *job = Handle_Get(self->jobs, about->job);
    if (*job == NULL) {
        return NULL;
    }
    task = &(*job)->tasks[about->task];
    if (task->id.run != about->run || !DispatcherEnd_IsOut(task)) {
        return NULL;
    }
    return task;
}

/* Whether an answer of that status leaves open whether the run goes on. */
static bool
settles_nothing(lc_run_status status, const lc_host_state *state,
                const Dispatcher_Call *about)
{
    return status == LC_RUN_NOT_READY &&
           state->node.incarnation != about->host.incarnation;
}

/* Maps the refusal of a run that was only asked for to LC_RUN_LOST: the
 * companion does not know it. */
static lc_run_status
effective_status(lc_run_status status, const Active_Task *task)
{
    bool refused = status == LC_RUN_EXPIRED || status == LC_RUN_NOT_READY;

    return refused && task->asked_since_ms != 0 ? LC_RUN_LOST : status;
}

/* Each time twice as long, up to a limit. */
static int64_t
ask_pause_ms(const Active_Task *task)
{
    return MIN((int64_t)AGAIN_MS << MIN(task->asks, AGAIN_DOUBLINGS),
               AGAIN_MOST_MS);
}

static void
refused_by(Dispatcher *self, int64_t now_ms, Active_Job *job,
           Active_Task *task, Fleet_Host *host, lc_run_status status)
{
    Counter_Add(&self->counters, COUNTER_WASTED_BUSY, 1);
    job->starts--;
    task->refused++;
    ForwardChoice_NoteRefused(&self->sends);
    if (host != NULL && status != LC_RUN_NO_ROOM) {
        host->avoid_until_ms = now_ms + (status == LC_RUN_CLOSED ? CLOSED_MS
                                                                 : REFUSED_MS);
    }
    if (status == LC_RUN_OLD) {
        task->id.run += RUNS_SKIPPED;
    }
    DispatcherEnd_Requeue(self, job, task, now_ms);
}

static void
run_ended(Dispatcher *self, int64_t now_ms, Active_Job *job, Active_Task *task,
          lc_run_status status)
{
    Fleet_Host *host = DispatcherEnd_HostOf(self, task);

    DispatcherEnd_LeaveHost(self, task);
    if (job->kept && (status == LC_RUN_DONE || status == LC_RUN_FAILED)) {
        self->ports->kept_end(self->context, &task->id,
                              LeasedJob_EndNumber(&job->spec, &task->id),
                              task->host, status == LC_RUN_DONE);
    }
    JobTrace_Add(job->trace, now_ms, JOB_TRACE_ENDED, &task->id,
                 task->host.address, (int32_t)status);
    if (status == LC_RUN_CRASHED &&
        DispatcherEnd_Crash(self, now_ms, job, task)) {
        return;
    }
    if (Active_Step(job, task)->long_running &&
        (status <= LC_RUN_STALLED || status == LC_RUN_CRASHED)) {
        task->avoid = task->host.address;
        DispatcherEnd_Requeue(self, job, task, now_ms + LAST_AGAIN_MS);
        return;
    }
    switch (status) {
    case LC_RUN_DONE:
        if (job->closing) {
            DispatcherEnd_Requeue(self, job, task, now_ms);
        }
        else {
            DispatcherEnd_Finish(self, now_ms, job, task);
        }
        break;
    case LC_RUN_FAILED:
        DispatcherEnd_Fail(self, now_ms, job, task, host);
        break;
    case LC_RUN_STOPPED:
    case LC_RUN_LOST:
    case LC_RUN_STALLED:
    case LC_RUN_CRASHED:
    case LC_RUN_OTHER_NODE:
        task->avoid = task->host.address;
        DispatcherEnd_Requeue(self, job, task, now_ms);
        break;
    default:
        refused_by(self, now_ms, job, task, host, status);
        break;
    }
}

static void
on_run_reply(Dispatcher *self, int64_t now_ms, const Dispatcher_Call *about,
             const lc_run_res *result)
{
    Active_Job *job;
    Active_Task *task = task_of(self, about, &job);

    if (task == NULL) {
        return;
    }
    if (result == NULL) {
        if (task->state == ACTIVE_SENT) {
            Active_Move(job, task, ACTIVE_ORPHANED);
            if (task->asks == 0) {
                JobTrace_Add(job->trace, now_ms, JOB_TRACE_ORPHANED, &task->id,
                             task->host.address, 0);
            }
            task->again_ms = now_ms + ask_pause_ms(task);
        }
        return;
    }
    if (task->asked_since_ms != 0 && result->status == LC_RUN_NOT_READY &&
        now_ms - task->asked_since_ms < DISPATCHER_OUTCOME_TIMEOUT_MS) {
        Active_Move(job, task, ACTIVE_ORPHANED);
        task->again_ms = now_ms + ask_pause_ms(task);
        return;
    }
    if (settles_nothing(result->status, &result->host, about)) {
        task->again_ms = now_ms + ask_pause_ms(task);
        return;
    }
    if (result->status == LC_RUN_OTHER_NODE && job->kept && !job->closing) {
        /* Its successor may have found how the run ended. */
        DispatcherEnd_AskFor(self, now_ms, job, task, result->host.node);
        return;
    }
    run_ended(self, now_ms, job, task, effective_status(result->status, task));
}

static void
on_halt_reply(Dispatcher *self, int64_t now_ms, const Dispatcher_Call *about,
              const lc_halt_res *result)
{
    Active_Job *job;
    Active_Task *task = task_of(self, about, &job);

    if (task == NULL) {
        return;
    }
    if (result == NULL ||
        settles_nothing(result->status, &result->host, about)) {
        task->again_ms = now_ms + ask_pause_ms(task);
        return;
    }
    run_ended(self, now_ms, job, task, result->status);
}

static void
take_state(const Dispatcher *self, int64_t now_ms,
           const Dispatcher_Call *about, const Msg_Reply *reply)
{
    Fleet_Host *host = Fleet_Find(&self->fleet, about->host.address);

    if (host == NULL) {
        return;
    }
    switch (reply->kind) {
    case MSG_RUN:
        Fleet_TakeState(host, now_ms, &reply->u.run.host);
        break;
    case MSG_HALT:
        Fleet_TakeState(host, now_ms, &reply->u.halt.host);
        break;
    case MSG_RENEW:
        Fleet_TakeState(host, now_ms, &reply->u.renew.host);
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

    if (host == NULL || host->renewing != call_id) {
        return;
    }
    host->renewing = 0;
    if (reply == NULL) {
        DispatcherHosts_Suspect(self, now_ms, host);
    }
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
        take_state(self, now_ms, about, reply);
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
        DispatcherForward_OnExtended(self, now_ms, about, call_id,
                                     reply == NULL ? NULL : &reply->u.extend);
        break;
    default:
        on_renew_reply(self, now_ms, about, call_id, reply);
        break;
    }
    g_free(about);
    self->unsettled = true;
}

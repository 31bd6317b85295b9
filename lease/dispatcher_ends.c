#include "lease/dispatcher_state.h"

/* Failures at upstreams on trial are no attempts, up to a number. */
#define FREE_ATTEMPTS 4
/* A task is given up when so many upstreams have crashed under it: the least
 * that the platform's rules allow, as each crash takes all that runs beside
 * it. One that lasts is one of a few, and may meet two by chance in its life:
 * one more. */
#define CRASHES_MOST 2
#define CRASHES_MOST_LASTING 3

Fleet_Host *
DispatcherEnd_HostOf(const Dispatcher *self, const Active_Task *task)
{
    Fleet_Host *host = Fleet_Find(&self->fleet, task->host.address);

    if (host == NULL || host->node.incarnation != task->host.incarnation) {
        return NULL;
    }
    return host;
}

bool
DispatcherEnd_IsOut(const Active_Task *task)
{
    return task->state == ACTIVE_SENT || task->state == ACTIVE_ORPHANED ||
           task->state == ACTIVE_HALTING;
}

/* A run is over, or was never begun. */
void
DispatcherEnd_LeaveHost(Dispatcher *self, const Active_Task *task)
{
    Fleet_Host *host = DispatcherEnd_HostOf(self, task);

    if (host != NULL && DispatcherEnd_IsOut(task) && host->running > 0) {
        host->running--;
    }
}

void
DispatcherEnd_AskFor(Dispatcher *self, int64_t now_ms, Active_Job *job,
                     Active_Task *task, lc_node host)
{
    Fleet_Host *row;

    DispatcherEnd_LeaveHost(self, task);
    task->host = host;
    task->asks = 0;
    if (task->asked_since_ms == 0) {
        task->asked_since_ms = now_ms;
    }
    task->again_ms = now_ms;
    Active_Move(job, task, ACTIVE_ORPHANED);
    row = DispatcherEnd_HostOf(self, task);
    if (row != NULL) {
        row->running++;
    }
}

void
DispatcherEnd_Forget(Dispatcher *self, Active_Job *job)
{
    DispatcherOrigin_Leave(self, job);
    if (g_hash_table_lookup(self->by_id, &job->spec.id) == job) {
        g_hash_table_remove(self->by_id, &job->spec.id);
    }
    Handle_Remove(self->jobs, job->handle);
    Active_Free(job);
}

static Queue_Outcome
outcome_of(int64_t now_ms, const Active_Job *job,
           const Dispatcher_Answer *answer)
{
    static const Queue_Outcome outcomes[] = {
        [DISPATCHER_SUCCEEDED] = QUEUE_OUTCOME_IN_TIME,
        [DISPATCHER_FAILED] = QUEUE_OUTCOME_FAILED,
        [DISPATCHER_NOT_RUN] = QUEUE_OUTCOME_NOT_RUN,
        [DISPATCHER_GIVEN_UP] = QUEUE_OUTCOME_GIVEN_UP,
        [DISPATCHER_CANCELLED] = QUEUE_OUTCOME_CANCELLED,
    };

    if (answer->outcome == DISPATCHER_SUCCEEDED &&
        now_ms > job->objective_ms) {
        return QUEUE_OUTCOME_LATE;
    }
    return outcomes[answer->outcome];
}

static Event_Id
event_of(Queue_Outcome outcome)
{
    static const Event_Id events[QUEUE_OUTCOME_COUNT] = {
        [QUEUE_OUTCOME_IN_TIME] = EVENT_JOB_ANSWERED,
        [QUEUE_OUTCOME_LATE] = EVENT_JOB_LATE,
        [QUEUE_OUTCOME_FAILED] = EVENT_JOB_FAILED,
        [QUEUE_OUTCOME_NOT_RUN] = EVENT_JOB_REFUSED,
        [QUEUE_OUTCOME_GIVEN_UP] = EVENT_JOB_FAILED,
        [QUEUE_OUTCOME_CANCELLED] = EVENT_JOB_FAILED,
        [QUEUE_OUTCOME_CALLER_GONE] = EVENT_CALLER_GONE,
    };

    return events[outcome];
}

void
DispatcherEnd_Note(Dispatcher *self, int64_t now_ms, const Active_Job *job,
                   Queue_Outcome outcome, const char *detail)
{
    Queue_Stats *stats = QueueStats_Of(&self->stats, job->queue);

    stats->outcomes[outcome]++;
    Histogram_Add(&stats->answer, now_ms - job->arrived_ms);
    if (job->first_sent_ms != 0) {
        Histogram_Add(&stats->wait, job->first_sent_ms - job->arrived_ms);
    }
    DispatcherLog_Job(self, event_of(outcome), now_ms, job, detail);
}

static void
answer_job(Dispatcher *self, int64_t now_ms, Active_Job *job,
           const Dispatcher_Answer *answer)
{
    static const Counter_Id counters[] = {
        [DISPATCHER_SUCCEEDED] = COUNTER_JOBS_DONE,
        [DISPATCHER_FAILED] = COUNTER_JOBS_FAILED,
        [DISPATCHER_NOT_RUN] = COUNTER_JOBS_NOT_RUN,
        [DISPATCHER_GIVEN_UP] = COUNTER_JOBS_FAILED,
        [DISPATCHER_CANCELLED] = COUNTER_JOBS_FAILED,
    };
    guint i;

    if (job->kept) {
        self->ports->kept_over(self->context, job->spec.id, answer->outcome);
    }
    Counter_Add(&self->counters, counters[answer->outcome], 1);
    DispatcherEnd_Note(self, now_ms, job, outcome_of(now_ms, job, answer),
                       answer->message);
    for (i = 0; i < job->requests->len; i++) {
        uint64_t request = g_array_index(job->requests, uint64_t, i);
        g_hash_table_remove(self->by_request, &request);
        if (!DispatcherOrigin_Answer(self, request, answer)) {
            self->ports->answer(self->context, request, answer);
        }
        self->unanswered--;
    }
    g_array_set_size(job->requests, 0);
}

/* Stops what runs of an answered job; frees it when nothing does. */
void
DispatcherEnd_Close(Dispatcher *self, Active_Job *job)
{
    uint32_t i;

    job->closing = true;
    if (job->delegate != 0) {
        DispatcherForward_Drop(self, job);
    }
    for (i = 0; i < job->task_count; i++) {
        Active_Task *task = &job->tasks[i];
        if (task->state == ACTIVE_SENT || task->state == ACTIVE_ORPHANED) {
            Active_Move(job, task, ACTIVE_HALTING);
            DispatcherCall_Halt(self, job, task);
        }
        else if (task->state != ACTIVE_HALTING) {
            Active_Move(job, task, ACTIVE_OVER);
        }
    }
    if (job->open == 0) {
        DispatcherEnd_Forget(self, job);
    }
}

void
DispatcherEnd_Job(Dispatcher *self, int64_t now_ms, Active_Job *job,
                  const Dispatcher_Answer *answer)
{
    answer_job(self, now_ms, job, answer);
    DispatcherEnd_Close(self, job);
}

void
DispatcherEnd_GiveUp(Dispatcher *self, int64_t now_ms, Active_Job *job,
                     Err_Kind kind, const char *message)
{
    Dispatcher_Answer answer = {
        .outcome = DISPATCHER_GIVEN_UP, .kind = kind, .message = message};

    if (!Active_HasBegun(job)) {
        answer.outcome = DISPATCHER_NOT_RUN;
        if (Err_Outcome(kind) != OUTCOME_NOT_RUN) {
            answer.kind = ERR_WAIT_TOO_LONG;
        }
        answer.retry_ms = DISPATCHER_RETRY_MS;
    }
    DispatcherEnd_Job(self, now_ms, job, &answer);
}

void
DispatcherEnd_Finish(Dispatcher *self, int64_t now_ms, Active_Job *job,
                     Active_Task *task)
{
    Dispatcher_Answer answer = {
        .outcome = DISPATCHER_SUCCEEDED, .kind = ERR_OK, .message = ""};

    task->done = true;
    Active_Move(job, task, ACTIVE_OVER);
    if (Active_IsDone(job)) {
        DispatcherEnd_Job(self, now_ms, job, &answer);
        return;
    }
    if (job->spec.step_count > 1) {
        Active_Unblock(job, now_ms + self->wall_ahead_ms);
    }
}

/* The task may be sent again; its last run is certainly over. */
void
DispatcherEnd_Requeue(Dispatcher *self, Active_Job *job, Active_Task *task,
                      int64_t not_before_ms)
{
    if (job->closing) {
        Active_Move(job, task, ACTIVE_OVER);
        if (job->open == 0) {
            DispatcherEnd_Forget(self, job);
        }
        return;
    }
    Active_Move(job, task, ACTIVE_WAITING);
    task->again_ms = not_before_ms;
}

static void
log_crash(const Dispatcher *self, int64_t now_ms, const Active_Job *job,
          const Active_Task *task)
{
    char detail[160];
    char earlier[ADDRESS_TEXT_SIZE];

    g_strlcpy(earlier,
              task->crashes > 1 ? Address_Text(task->crashed) : "none",
              sizeof(earlier));
    g_snprintf(detail, sizeof(detail),
               "task %u.%u, run %u: upstream beside %s crashed, %u so far, "
               "the one before beside %s",
               task->id.step, task->id.index, task->id.run,
               Address_Text(task->host.address), task->crashes, earlier);
    DispatcherLog_Job(self, EVENT_RUN_CRASHED, now_ms, job, detail);
}

bool
DispatcherEnd_GiveUpCrashing(Dispatcher *self, int64_t now_ms, Active_Job *job,
                             const Active_Task *task)
{
    Dispatcher_Answer answer = {.outcome = DISPATCHER_FAILED,
                                .kind = ERR_TASK_CRASHES,
                                .message = "upstreams crash under a task"};
    uint32_t most = Active_Step(job, task)->long_running ? CRASHES_MOST_LASTING
                                                         : CRASHES_MOST;

    if (job->closing || task->crashes < most) {
        return false;
    }
    Counter_Add(&self->counters, COUNTER_JOBS_CRASHING, 1);
    DispatcherEnd_Job(self, now_ms, job, &answer);
    return true;
}

bool
DispatcherEnd_Crash(Dispatcher *self, int64_t now_ms, Active_Job *job,
                    Active_Task *task)
{
    task->crashes++;
    Counter_Add(&self->counters, COUNTER_TASKS_CRASHED, 1);
    log_crash(self, now_ms, job, task);
    task->crashed = task->host.address;
    if (job->kept) {
        self->ports->kept_crash(self->context, &task->id,
                                LeasedJob_TaskNumber(&job->spec, &task->id));
    }
    Active_Move(job, task, ACTIVE_WAITING);
    return DispatcherEnd_GiveUpCrashing(self, now_ms, job, task);
}

void
DispatcherEnd_Fail(Dispatcher *self, int64_t now_ms, Active_Job *job,
                   Active_Task *task, const Fleet_Host *host)
{
    Dispatcher_Answer answer = {.outcome = DISPATCHER_FAILED,
                                .kind = ERR_UPSTREAM_FAILED,
                                .message = "a task failed too often"};
    uint32_t most = job->max_attempts;

    task->failures++;
    task->avoid = task->host.address;
    if (host != NULL && host->state == LC_UPSTREAM_TRIAL && !job->kept) {
        most += FREE_ATTEMPTS;
    }
    if (!job->closing && task->failures >= most) {
        Active_Move(job, task, ACTIVE_OVER);
        DispatcherEnd_Job(self, now_ms, job, &answer);
        return;
    }
    DispatcherEnd_Requeue(self, job, task, now_ms);
}

#include "lease/dispatcher_state.h"

/* Attempts that a task gets beyond its limit when it fails at an upstream on
 * trial, as such failures should not count against it. */
#define TRIAL_EXTRA_ATTEMPTS 4
/* A task is given up after this many upstreams have crashed while running it:
 * the minimum that the platform's rules allow, as each crash also ends all
 * other runs at that upstream. Long-running tasks are few, and one may meet
 * two unrelated crashes in its lifetime, so they are allowed one more. */
#define MAX_CRASHES 2
#define MAX_CRASHES_LONG_RUNNING 3
/* Further crashes after which a task is given up if some are of runs that may
 * not have begun: a task that crashes its upstream at once never confirms its
 * start, while one whose start was merely unanswered is not to blame. */
#define EXTRA_UNCONFIRMED_CRASHES 2

/* Delay before a task that failed is started again at the same host, as it is
 * bound there; doubles with each failure of the task. An upstream that fails
 * tasks intermittently would otherwise use up all its attempts at once. */
#define BOUND_RETRY_MS 200
#define BOUND_RETRY_MAX_DOUBLINGS 6

Fleet_Host *
DispatcherCompletion_HostOf(const Dispatcher *self, const Active_Task *task)
{
    Fleet_Host *host = Fleet_Find(&self->fleet, task->host.address);

    if (host == NULL || host->node.incarnation != task->host.incarnation) {
        return NULL;
    }
    return host;
}

bool
DispatcherCompletion_IsInFlight(const Active_Task *task)
{
    return task->state == ACTIVE_SENT || task->state == ACTIVE_ORPHANED ||
           task->state == ACTIVE_HALTING;
}

void
DispatcherCompletion_ReleaseHost(Dispatcher *self, const Active_Task *task)
{
    Fleet_Host *host = DispatcherCompletion_HostOf(self, task);

    if (host != NULL && DispatcherCompletion_IsInFlight(task) &&
        host->running > 0) {
        host->running--;
    }
}

void
DispatcherCompletion_QueryRun(Dispatcher *self, int64_t now_ms,
                              Active_Job *job, Active_Task *task, lc_node host)
{
    Fleet_Host *row;

    DispatcherCompletion_ReleaseHost(self, task);
    task->host = host;
    task->call_retries = 0;
    if (task->outcome_queried_ms == 0) {
        task->outcome_queried_ms = now_ms;
    }
    task->not_before_ms = now_ms;
    Active_SetState(job, task, ACTIVE_ORPHANED);
    row = DispatcherCompletion_HostOf(self, task);
    if (row != NULL) {
        row->running++;
    }
}

void
DispatcherCompletion_FreeJob(Dispatcher *self, Active_Job *job)
{
    DispatcherOrigin_RemoveJob(self, job);
    if (g_hash_table_lookup(self->by_id, &job->spec.id) == job) {
        g_hash_table_remove(self->by_id, &job->spec.id);
    }
    Handle_Remove(self->jobs, job->handle);
    Active_Free(job);
}

static QueueStats_Outcome
outcome_of(int64_t now_ms, const Active_Job *job,
           const Dispatcher_Answer *answer)
{
    static const QueueStats_Outcome outcomes[] = {
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
event_of(QueueStats_Outcome outcome)
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
DispatcherCompletion_RecordOutcome(Dispatcher *self, int64_t now_ms,
                                   const Active_Job *job,
                                   QueueStats_Outcome outcome,
                                   const char *detail)
{
    QueueStats *stats = QueueStats_Get(&self->stats, job->queue.name);

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

    if (job->durable) {
        self->ports->on_durable_job_end(self->context, job->spec.id,
                                        answer->outcome);
    }
    Counter_Add(&self->counters, counters[answer->outcome], 1);
    DispatcherCompletion_RecordOutcome(
        self, now_ms, job, outcome_of(now_ms, job, answer), answer->message);
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

void
DispatcherCompletion_CloseJob(Dispatcher *self, Active_Job *job)
{
    uint32_t i;

    job->closing = true;
    if (job->delegate != 0) {
        DispatcherForward_Withdraw(self, job);
    }
    for (i = 0; i < job->task_count; i++) {
        Active_Task *task = &job->tasks[i];
        if (task->state == ACTIVE_SENT || task->state == ACTIVE_ORPHANED) {
            Active_SetState(job, task, ACTIVE_HALTING);
            DispatcherCall_Halt(self, job, task);
        }
        else if (task->state != ACTIVE_HALTING) {
            Active_SetState(job, task, ACTIVE_OVER);
        }
    }
    if (job->open == 0) {
        DispatcherCompletion_FreeJob(self, job);
    }
}

void
DispatcherCompletion_EndJob(Dispatcher *self, int64_t now_ms, Active_Job *job,
                            const Dispatcher_Answer *answer)
{
    answer_job(self, now_ms, job, answer);
    DispatcherCompletion_CloseJob(self, job);
}

void
DispatcherCompletion_GiveUp(Dispatcher *self, int64_t now_ms, Active_Job *job,
                            Err_Kind kind, const char *message)
{
    Dispatcher_Answer answer = {
        .outcome = DISPATCHER_GIVEN_UP, .kind = kind, .message = message};

    if (!Active_HasStarted(job)) {
        answer.outcome = DISPATCHER_NOT_RUN;
        if (Err_Outcome(kind) != OUTCOME_NOT_RUN) {
            answer.kind = ERR_WAIT_TOO_LONG;
        }
        answer.retry_ms = DISPATCHER_RETRY_MS;
    }
    DispatcherCompletion_EndJob(self, now_ms, job, &answer);
}

void
DispatcherCompletion_FinishTask(Dispatcher *self, int64_t now_ms,
                                Active_Job *job, Active_Task *task)
{
    Dispatcher_Answer answer = {
        .outcome = DISPATCHER_SUCCEEDED, .kind = ERR_OK, .message = ""};

    task->done = true;
    Active_SetState(job, task, ACTIVE_OVER);
    if (Active_IsDone(job)) {
        DispatcherCompletion_EndJob(self, now_ms, job, &answer);
        return;
    }
    if (job->spec.step_count > 1) {
        Active_Unblock(job, now_ms + self->wall_offset_ms);
    }
}

void
DispatcherCompletion_Requeue(Dispatcher *self, Active_Job *job,
                             Active_Task *task, int64_t not_before_ms)
{
    if (job->closing) {
        Active_SetState(job, task, ACTIVE_OVER);
        if (job->open == 0) {
            DispatcherCompletion_FreeJob(self, job);
        }
        return;
    }
    Active_SetState(job, task, ACTIVE_WAITING);
    task->not_before_ms = not_before_ms;
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
               "task %u.%u, run %u: upstream of %s crashed, crash %u of this "
               "task, previous at %s",
               task->id.step, task->id.index, task->id.run,
               Address_Text(task->host.address), task->crashes, earlier);
    DispatcherLog_Job(self, EVENT_RUN_CRASHED, now_ms, job, detail);
}

bool
DispatcherCompletion_CheckCrashLimit(Dispatcher *self, int64_t now_ms,
                                     Active_Job *job, const Active_Task *task)
{
    Dispatcher_Answer answer = {
        .outcome = DISPATCHER_FAILED,
        .kind = ERR_TASK_CRASHES,
        .message = "several upstreams crashed while running the same "
                   "task"};
    uint32_t limit = Active_Step(job, task)->long_running
                         ? MAX_CRASHES_LONG_RUNNING
                         : MAX_CRASHES;

    if (job->closing || (task->crashes - task->unconfirmed_crashes < limit &&
                         task->crashes < limit + EXTRA_UNCONFIRMED_CRASHES)) {
        return false;
    }
    Counter_Add(&self->counters, COUNTER_JOBS_CRASHING, 1);
    DispatcherCompletion_EndJob(self, now_ms, job, &answer);
    return true;
}

bool
DispatcherCompletion_OnRunCrashed(Dispatcher *self, int64_t now_ms,
                                  Active_Job *job, Active_Task *task,
                                  bool confirmed)
{
    task->crashes++;
    task->unconfirmed_crashes += !confirmed;
    Counter_Add(&self->counters, COUNTER_TASKS_CRASHED, 1);
    log_crash(self, now_ms, job, task);
    task->crashed = task->host.address;
    if (job->durable && confirmed) {
        self->ports->on_durable_run_crash(
            self->context, &task->id,
            LeasedJob_TaskNumber(&job->spec, &task->id));
    }
    Active_SetState(job, task, ACTIVE_WAITING);
    return DispatcherCompletion_CheckCrashLimit(self, now_ms, job, task);
}

static int64_t
failed_retry_ms(const Active_Task *task, int64_t now_ms)
{
    uint32_t doublings = MIN(task->failures - 1, BOUND_RETRY_MAX_DOUBLINGS);

    return Active_IsBound(task, now_ms)
               ? MIN(now_ms + ((int64_t)BOUND_RETRY_MS << doublings),
                     task->bound_until_ms)
               : now_ms;
}

bool
DispatcherCompletion_CheckAttempts(Dispatcher *self, int64_t now_ms,
                                   Active_Job *job, const Active_Task *task,
                                   uint32_t limit)
{
    Dispatcher_Answer answer = {
        .outcome = DISPATCHER_FAILED,
        .kind = ERR_UPSTREAM_FAILED,
        .message = "a task failed in all its attempts"};

    if (job->closing || task->failures < limit) {
        return false;
    }
    DispatcherCompletion_EndJob(self, now_ms, job, &answer);
    return true;
}

void
DispatcherCompletion_OnRunFailed(Dispatcher *self, int64_t now_ms,
                                 Active_Job *job, Active_Task *task,
                                 const Fleet_Host *host)
{
    uint32_t limit = job->max_attempts;

    task->failures++;
    task->avoid = task->host.address;
    if (host != NULL && host->state == LC_UPSTREAM_TRIAL && !job->durable) {
        limit += TRIAL_EXTRA_ATTEMPTS;
    }
    Active_SetState(job, task, ACTIVE_WAITING);
    if (!DispatcherCompletion_CheckAttempts(self, now_ms, job, task, limit)) {
        DispatcherCompletion_Requeue(self, job, task,
                                     failed_retry_ms(task, now_ms));
    }
}

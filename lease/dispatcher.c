#include "lease/dispatcher.h"

#include "base/random.h"
#include "lease/dispatcher_state.h"

#define PERCENT 100
/* Share of its estimate that a task takes at least. */
#define MIN_ESTIMATE_PERCENT 55

Dispatcher *
Dispatcher_New(const Dispatcher_Config *config, const Dispatcher_Ports *ports,
               void *context, int64_t now_ms)
{
    Dispatcher *self = g_new0(Dispatcher, 1);

    self->config = *config;
    self->ports = ports;
    self->context = context;
    self->shutdown_ms = INT64_MAX;
    self->started_ms = now_ms;
    Fleet_Init(&self->fleet);
    Delegates_Init(&self->delegates, config->node.incarnation);
    self->origins = g_ptr_array_new_with_free_func(g_free);
    self->withdrawals = g_array_new(FALSE, FALSE,
                                    sizeof(Dispatcher_Withdrawal));
    self->origin_replies = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                                 g_free, g_free);
    HallClosures_Init(&self->closures, now_ms);
    self->late_starts = LateStarts_New();
    self->assumed_starts = LateStarts_New();
    LinkBudget_Init(&self->link, now_ms, config->link_mbps);
    QueueStats_Init(&self->stats);
    self->jobs = Handle_NewTable();
    self->calls = Handle_NewTable();
    self->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    self->by_request = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                             g_free, NULL);
    self->random = Random_Seed(config->node.incarnation ^ (uint64_t)now_ms);
    return self;
}

void
Dispatcher_Free(Dispatcher *self)
{
    uint32_t i;

    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        Active_Job *job = Handle_ItemAt(self->jobs, i);
        if (job != NULL) {
            Active_Free(job);
        }
    }
    for (i = 0; i < Handle_RowCount(self->calls); i++) {
        g_free(Handle_ItemAt(self->calls, i));
    }
    Handle_FreeTable(self->jobs);
    Handle_FreeTable(self->calls);
    g_hash_table_unref(self->by_id);
    g_hash_table_unref(self->by_request);
    Fleet_Clear(&self->fleet);
    Delegates_Clear(&self->delegates);
    g_ptr_array_unref(self->origins);
    g_array_unref(self->withdrawals);
    g_hash_table_unref(self->origin_replies);
    HallClosures_Clear(&self->closures);
    LateStarts_Free(self->late_starts);
    LateStarts_Free(self->assumed_starts);
    QueueStats_Clear(&self->stats);
    g_free(self);
}

lc_node
Dispatcher_Node(const Dispatcher *self)
{
    return self->config.node;
}

static void
refuse(Dispatcher *self, uint64_t request, uint64_t job, Err_Kind kind,
       const char *message, uint32_t retry_ms)
{
    Dispatcher_Answer answer = {.outcome = DISPATCHER_NOT_RUN,
                                .kind = kind,
                                .message = message,
                                .retry_ms = retry_ms};

    Counter_Add(&self->counters, COUNTER_JOBS_NOT_RUN, 1);
    DispatcherLog_Identity(self, EVENT_JOB_REFUSED, job, message);
    self->ports->answer(self->context, request, &answer);
}

void
Dispatcher_AttachRequest(Dispatcher *self, Active_Job *job, uint64_t request)
{
    g_array_append_val(job->requests, request);
    g_hash_table_insert(self->by_request, g_memdup2(&request, sizeof(request)),
                        job);
    self->unanswered++;
}

bool
Dispatcher_IsSameQueue(const Dispatcher *self, const QueueRef *request,
                       const Active_Job *job)
{
    return request == NULL
               ? job->durable
               : Route_IsSameQueue(self->routes, request, &job->queue);
}

static bool
attach_to_existing(Dispatcher *self, int64_t now_ms, Dispatcher_Submit *submit)
{
    Active_Job *job = g_hash_table_lookup(self->by_id, &submit->job.id);

    if (job == NULL) {
        return false;
    }
    if (job->closing || job->durable ||
        !Dispatcher_IsSameQueue(self, &submit->queue, job)) {
        refuse(self, submit->request_id, submit->job.id, ERR_UNSETTLED,
               "an earlier run of this job is still being stopped",
               DISPATCHER_RETRY_MS);
    }
    else {
        Counter_Add(&self->counters, COUNTER_JOBS_ATTACHED, 1);
        job->deadline_ms = MAX(job->deadline_ms, now_ms + submit->deadline_ms);
        Dispatcher_AttachRequest(self, job, submit->request_id);
    }
    LeasedJob_Clear(&submit->job);
    return true;
}

/* Returns how long the job's starts would wait for the link, in ms, if that
 * exceeds the job's slack; else 0. */
static int64_t
excessive_link_wait_ms(const Dispatcher *self, int64_t now_ms,
                       const Dispatcher_Submit *submit)
{
    Dispatcher_Arrival arrival = {
        .priority = submit->route->priority,
        .slack_ms = Route_ObjectiveMs(submit->route, &submit->job) -
                    LeasedJob_CriticalPathMs(&submit->job)};
    int64_t wait_ms = DispatcherLink_WaitMs(self, now_ms, &arrival);

    return wait_ms > arrival.slack_ms ? wait_ms : 0;
}

void
Dispatcher_OnSubmit(Dispatcher *self, int64_t now_ms,
                    Dispatcher_Submit *submit)
{
    Status status = {ERR_OK, ""};
    uint32_t retry_ms = DISPATCHER_RETRY_MS;
    int64_t wait_ms = 0;
    Active_Job *job;

    Counter_Add(&self->counters, COUNTER_JOBS_SUBMITTED, 1);
    if (attach_to_existing(self, now_ms, submit)) {
        return;
    }
    if (Handle_ItemCount(self->jobs) >= self->config.max_jobs) {
        Err_Set(&status, ERR_QUEUE_FULL, "%u jobs are open at this entry",
                Handle_ItemCount(self->jobs));
    }
    else if (!self->paused && DispatcherHosts_Isolated(self, now_ms)) {
        Err_Set(&status, ERR_WAIT_TOO_LONG,
                "this entry is cut off from all companions");
    }
    else if (DispatcherHalls_AllClosedFor(self, now_ms, &submit->job,
                                          submit->route->service)) {
        Err_Set(&status, ERR_HALL_CLOSED,
                "operators have closed all halls that could run the job");
    }
    else if (DispatcherCapacity_ExceedsAll(self, now_ms, &submit->job,
                                           submit->route->service)) {
        Err_Set(&status, ERR_WAIT_TOO_LONG,
                "a task of the job exceeds the capacity of every upstream");
    }
    else if (Route_CheckJob(submit->route, &submit->job, &status) == ERR_OK &&
             (wait_ms = excessive_link_wait_ms(self, now_ms, submit)) > 0) {
        Err_Set(&status, ERR_WAIT_TOO_LONG,
                "the job's starts would wait %lld ms for this entry's "
                "network link",
                (long long)wait_ms);
        Counter_Add(&self->counters, COUNTER_REFUSED_LINK, 1);
        retry_ms = DispatcherLink_RetryMs(self, wait_ms);
    }
    if (status.kind != ERR_OK) {
        refuse(self, submit->request_id, submit->job.id, status.kind,
               status.message, retry_ms);
        LeasedJob_Clear(&submit->job);
        return;
    }
    job = Active_New(&submit->job, &submit->queue, submit->route, now_ms,
                     now_ms + submit->deadline_ms);
    job->handle = Handle_Add(self->jobs, job);
    g_hash_table_insert(self->by_id, &job->spec.id, job);
    Dispatcher_AttachRequest(self, job, submit->request_id);
    DispatcherLateStart_BindJob(self, now_ms, job);
    if (DispatcherLateStart_EndIfUnstartable(self, now_ms, job)) {
        return;
    }
    Reserve_RecordJob(&self->reserve, now_ms, job->priority, job->task_count);
    self->dispatch_pending = true;
}

void
Dispatcher_OnCallerDisconnect(Dispatcher *self, int64_t now_ms,
                              uint64_t request)
{
    Active_Job *job = g_hash_table_lookup(self->by_request, &request);
    guint i;

    if (job == NULL) {
        return;
    }
    g_hash_table_remove(self->by_request, &request);
    self->unanswered--;
    for (i = 0; i < job->requests->len; i++) {
        if (g_array_index(job->requests, uint64_t, i) == request) {
            g_array_remove_index_fast(job->requests, i);
            break;
        }
    }
    if (job->requests->len == 0) {
        DispatcherCompletion_RecordOutcome(
            self, now_ms, job, QUEUE_OUTCOME_CALLER_GONE,
            "the caller disconnected; stopping the job's runs");
        DispatcherCompletion_CloseJob(self, job);
    }
}

bool
Dispatcher_OnCancel(Dispatcher *self, int64_t now_ms, uint64_t id,
                    const QueueRef *queue)
{
    Dispatcher_Answer answer = {.outcome = DISPATCHER_CANCELLED,
                                .kind = ERR_CANCELLED,
                                .message = "cancelled by the caller"};
    Active_Job *job = g_hash_table_lookup(self->by_id, &id);

    if (job == NULL || !Dispatcher_IsSameQueue(self, queue, job)) {
        return false;
    }
    if (!job->closing) {
        DispatcherCompletion_EndJob(self, now_ms, job, &answer);
    }
    return true;
}

bool
Dispatcher_HasOpenJob(const Dispatcher *self, uint64_t id,
                      const QueueRef *queue, bool *started)
{
    const Active_Job *job = g_hash_table_lookup(self->by_id, &id);

    if (job == NULL || job->closing ||
        !Dispatcher_IsSameQueue(self, queue, job)) {
        return false;
    }
    *started = Active_HasStarted(job);
    return true;
}

void
Dispatcher_AddOpen(const Dispatcher *self, QueueCounts *counts)
{
    uint32_t i;

    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        const Active_Job *job = Handle_ItemAt(self->jobs, i);
        if (job != NULL && !job->closing && !job->durable) {
            QueueCounts_Add(counts, &job->queue);
        }
    }
}

void
Dispatcher_AddWaiting(const Dispatcher *self, QueueCounts *counts)
{
    uint32_t i;

    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        const Active_Job *job = Handle_ItemAt(self->jobs, i);
        if (job != NULL && !job->closing && !Active_HasStarted(job)) {
            QueueCounts_Add(counts, &job->queue);
        }
    }
}

void
Dispatcher_DispatchWaiting(Dispatcher *self, int64_t now_ms)
{
    if (self->dispatch_pending && !self->paused) {
        self->dispatch_pending = false;
        DispatcherQueue_Dispatch(self, now_ms);
    }
}

int64_t
Dispatcher_NextDispatchMs(const Dispatcher *self)
{
    return self->starts_wait_for_link ? LinkBudget_NextStartMs(&self->link)
                                      : INT64_MAX;
}

void
Dispatcher_AddSentBytes(Dispatcher *self, int64_t bytes)
{
    LinkBudget_Spend(&self->link, bytes);
}

void
Dispatcher_SetShutdownTime(Dispatcher *self, int64_t shutdown_ms)
{
    self->shutdown_ms = shutdown_ms;
}

void
Dispatcher_SetRoutes(Dispatcher *self, Route_Table *routes)
{
    self->routes = routes;
}

Route_Table *
Dispatcher_Routes(const Dispatcher *self)
{
    return self->routes;
}

void
Dispatcher_Pause(Dispatcher *self)
{
    self->paused = true;
}

void
Dispatcher_Resume(Dispatcher *self)
{
    self->paused = false;
    self->dispatch_pending = true;
}

/* Returns valid_until_ms for a repeated RUN call. LC_HOLD_NONE prevents the
 * companion from starting a run that is unknown to it and may have ended. */
static int64_t
retry_valid_until_ms(const Dispatcher *self, int64_t now_ms,
                     const Active_Job *job, const Active_Task *task)
{
    const Fleet_Host *host = DispatcherCompletion_HostOf(self, task);

    if (host == NULL || task->outcome_queried_ms != 0 ||
        (job->durable && !DispatcherDurable_IsAllowed(self, now_ms))) {
        return LC_HOLD_NONE;
    }
    return DispatcherOrigin_LimitLease(job, host, host->valid_until_ms);
}

/* Repeats the calls about runs in an unknown state, without extending their
 * leases. */
static void
repeat_calls(Dispatcher *self, int64_t now_ms, Active_Job *job)
{
    uint32_t i;

    for (i = 0; i < job->task_count; i++) {
        Active_Task *task = &job->tasks[i];
        Fleet_Host *host;
        if (task->not_before_ms > now_ms) {
            continue;
        }
        task->call_retries += task->state == ACTIVE_HALTING ||
                              task->state == ACTIVE_ORPHANED;
        if (task->state == ACTIVE_HALTING) {
            DispatcherCall_Halt(self, job, task);
        }
        else if (task->state == ACTIVE_ORPHANED) {
            host = DispatcherCompletion_HostOf(self, task);
            if (host != NULL) {
                /* The first copy may have been lost, and with it the lease
                 * that it carried. */
                DispatcherCall_RepeatHalts(self, host);
            }
            Active_SetState(job, task, ACTIVE_SENT);
            task->sent_ms = MIN(task->sent_ms, now_ms);
            DispatcherCall_Run(self, job, task,
                               retry_valid_until_ms(self, now_ms, job, task));
        }
    }
}

/* A job whose tasks still wait when they can no longer end in time to be of
 * use is given up, started or not: it would occupy room that other jobs can
 * use in time, and its caller would be told only at the deadline. */
static bool
cannot_finish_in_time(const Active_Job *job, int64_t now_ms)
{
    int64_t least_ms = (int64_t)Active_RemainingMs(job) *
                       MIN_ESTIMATE_PERCENT / PERCENT;

    return job->waiting > 0 && now_ms + least_ms > Active_UsefulUntilMs(job);
}

/* A job that has not started when it can no longer meet its objective,
 * although companions are schedulable, has found no room until then. It is
 * refused, so that the room it would take serves other jobs in time. */
static bool
cannot_meet_objective(const Dispatcher *self, const Active_Job *job,
                      int64_t now_ms)
{
    return !Active_HasStarted(job) && Active_SlackMs(job, now_ms) < 0 &&
           Dispatcher_SchedulableHosts(self, now_ms) > 0;
}

static void
refuse_if_not_started(Dispatcher *self, int64_t now_ms, Active_Job *job)
{
    if (!Active_HasStarted(job)) {
        DispatcherCompletion_GiveUp(
            self, now_ms, job, ERR_WAIT_TOO_LONG,
            "this entry is cut off from all companions");
    }
}

static void
check_job(Dispatcher *self, int64_t now_ms, Active_Job *job, bool isolated)
{
    if (now_ms >= job->deadline_ms) {
        DispatcherCompletion_GiveUp(self, now_ms, job, ERR_DEADLINE,
                                    "its deadline passed");
    }
    else if (now_ms >= self->shutdown_ms) {
        DispatcherCompletion_GiveUp(self, now_ms, job, ERR_STOPPING,
                                    "this entry is being stopped");
    }
    else if (DispatcherLateStart_EndIfUnstartable(self, now_ms, job)) {
        return;
    }
    else if (cannot_finish_in_time(job, now_ms)) {
        DispatcherCompletion_GiveUp(
            self, now_ms, job, ERR_DEADLINE,
            "the job cannot finish before its deadline");
    }
    else if (!Active_HasStarted(job) &&
             DispatcherHalls_AllClosedFor(self, now_ms, &job->spec,
                                          job->service)) {
        DispatcherCompletion_GiveUp(
            self, now_ms, job, ERR_HALL_CLOSED,
            "operators have closed all halls that could run the job");
    }
    else if (!Active_HasStarted(job) &&
             DispatcherCapacity_ExceedsAll(self, now_ms, &job->spec,
                                           job->service)) {
        DispatcherCompletion_GiveUp(
            self, now_ms, job, ERR_WAIT_TOO_LONG,
            "a task of the job exceeds the capacity of every "
            "upstream");
    }
    else if (cannot_meet_objective(self, job, now_ms)) {
        DispatcherCompletion_GiveUp(
            self, now_ms, job, ERR_WAIT_TOO_LONG,
            LinkBudget_IsCongested(&self->link, now_ms)
                ? "this entry's network link was too busy to "
                  "start the job in time for its objective"
                : "no companion had room in time for the "
                  "job's objective");
    }
    else if (isolated) {
        refuse_if_not_started(self, now_ms, job);
    }
}

void
Dispatcher_Tick(Dispatcher *self, int64_t now_ms)
{
    bool isolated = !self->paused && DispatcherHosts_Isolated(self, now_ms);
    uint32_t i;

    DispatcherLink_LogChange(self, now_ms);
    LateStarts_RemoveExpired(self->late_starts, now_ms);
    LateStarts_RemoveExpired(self->assumed_starts, now_ms);
    DispatcherOrigin_Tick(self, now_ms);
    DispatcherForward_Tick(self, now_ms);
    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        Active_Job *job = Handle_ItemAt(self->jobs, i);
        if (job == NULL) {
            continue;
        }
        repeat_calls(self, now_ms, job);
        if (job->spec.repeat_count > 0 && !job->closing) {
            Active_Unblock(job, now_ms + self->wall_offset_ms);
        }
        if (!job->closing && !job->durable) {
            check_job(self, now_ms, job, isolated);
        }
    }
    for (i = 0; i < self->fleet.hosts->len; i++) {
        DispatcherHosts_Check(self, now_ms,
                              g_ptr_array_index(self->fleet.hosts, i));
    }
    self->dispatch_pending = true;
}

bool
Dispatcher_IsIdle(const Dispatcher *self)
{
    return self->unanswered == 0 && Handle_ItemCount(self->jobs) == 0;
}

void
Dispatcher_Metrics(const Dispatcher *self, int64_t now_ms, GString *out)
{
    QueueStats_Print(&self->stats, out);
    Histogram_Print(&self->belief_age, "belief_age", "", out);
    HallClosures_Metrics(&self->closures, now_ms, out);
    g_string_append_printf(
        out,
        "levercove_jobs_open %u\n"
        "levercove_companions_known %u\n"
        "levercove_companions_open %u\n"
        "levercove_companions_well %u\n"
        "levercove_reserve_tasks %u\n"
        "levercove_late_start_lists %u\n"
        "levercove_link_bytes_per_second %lld\n"
        "levercove_link_usable_bytes_per_second %lld\n"
        "levercove_link_short %d\n"
        "levercove_link_waits_total %llu\n",
        Handle_ItemCount(self->jobs), self->fleet.hosts->len,
        Dispatcher_SchedulableHosts(self, now_ms),
        Dispatcher_HealthyHosts(self, now_ms),
        Reserve_TaskCount(&self->reserve, now_ms),
        LateStarts_ListCount(self->late_starts), (long long)self->link.rate,
        (long long)self->link.bytes_per_s,
        LinkBudget_IsCongested(&self->link, now_ms),
        (unsigned long long)self->link.waits);
}

Counters *
Dispatcher_Counters(Dispatcher *self)
{
    return &self->counters;
}

json_t *
Dispatcher_Dump(const Dispatcher *self, int64_t now_ms)
{
    json_t *hosts = json_array();
    guint i;

    for (i = 0; i < self->fleet.hosts->len; i++) {
        json_array_append_new(
            hosts, DispatcherHosts_Dump(
                       g_ptr_array_index(self->fleet.hosts, i), now_ms));
    }
    return json_pack("{s:s, s:i, s:i, s:b, s:o, s:o}", "role", "entry", "jobs",
                     (int)Handle_ItemCount(self->jobs), "unanswered",
                     (int)self->unanswered, "paused", self->paused,
                     "companions", hosts, "closed",
                     HallClosures_Dump(&self->closures, now_ms));
}

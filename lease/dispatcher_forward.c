/*
 * Jobs that this entry forwards to others: sent while its link is congested,
 * kept alive by leases, answered when the other entry answers.
 */
#include "lease/dispatcher_state.h"
#include "lease/job_wire.h"

/* Time added by forwarding a job: one message each way between entries. */
#define FORWARD_OVERHEAD_MS 20

static bool
may_forward(const Dispatcher *self, int64_t now_ms, const Active_Job *job)
{
    return LinkBudget_IsCongested(&self->link, now_ms) && !job->durable &&
           job->origin == NULL && !job->forward_refused &&
           job->first_sent_ms == 0 && job->spec.repeat_count == 0 &&
           self->shutdown_ms == INT64_MAX &&
           !Active_HasBoundTask(job, now_ms) &&
           job->deadline_ms - now_ms > FORWARD_OVERHEAD_MS;
}

/* Moves all tasks in one state to another, as the job is forwarded or comes
 * back. */
static void
move_tasks(Active_Job *job, Active_State from, Active_State to)
{
    uint32_t i;

    for (i = 0; i < job->task_count; i++) {
        if (job->tasks[i].state == from) {
            Active_SetState(job, &job->tasks[i], to);
        }
    }
}

static void
log_forward(const Dispatcher *self, int64_t now_ms, const Active_Job *job,
            const Delegate *delegate, int64_t local_bytes,
            int64_t forward_bytes)
{
    char detail[160];

    g_snprintf(detail, sizeof(detail),
               "to %s, with a credit of %lld bytes %lld ms ago; costs %lld "
               "bytes here, %lld forwarded",
               Address_Text(delegate->node.address),
               (long long)delegate->credit_bytes,
               (long long)(now_ms - delegate->received_ms),
               (long long)local_bytes, (long long)forward_bytes);
    DispatcherLog_Job(self, EVENT_JOB_FORWARDED, now_ms, job, detail);
}

static void
send_extend(Dispatcher *self, int64_t now_ms, Delegate *row)
{
    Dispatcher_Call about = {.kind = MSG_EXTEND, .host = row->node};
    Msg_Call call = {.kind = MSG_EXTEND};
    /* If the numbers of withdrawn jobs exceed one message, the lease is not
     * extended, as it would also keep alive those left out. */
    bool extends = row->jobs > 0 && row->withdrawn->len <= LC_MAX_PEERS;

    call.u.extend.from = self->config.node;
    call.u.extend.target = row->node.incarnation;
    call.u.extend.valid_until_ms =
        extends ? Delegates_ValidUntil(row, &self->config.timing, now_ms) : 0;
    call.u.extend.gone.gone_len = MIN(row->withdrawn->len, LC_MAX_PEERS);
    call.u.extend.gone.gone_val = (u_quad_t *)(void *)row->withdrawn->data;
    row->withdrawn_in_flight = call.u.extend.gone.gone_len;
    row->extend_sent_ms = now_ms;
    row->extend_call_id = DispatcherCall_Send(self, &about, &call);
}

static void
send_forward(Dispatcher *self, int64_t now_ms, Active_Job *job,
             const Delegate *delegate)
{
    Dispatcher_Call about = {
        .kind = MSG_FORWARD, .job = job->handle, .host = delegate->node};
    Msg_Call call = {.kind = MSG_FORWARD};
    lc_forward_args *args = &call.u.forward;

    JobWire_Encode(&job->spec, args);
    args->from = self->config.node;
    args->target = delegate->node.incarnation;
    args->number = job->forward_number;
    args->valid_until_ms = Delegates_ValidUntil(delegate, &self->config.timing,
                                                now_ms);
    args->routes_version = self->routes == NULL ? -1 : self->routes->version;
    args->waited_ms = (uint32_t)MAX(now_ms - job->arrived_ms, 0);
    args->deadline_ms = (uint32_t)(job->deadline_ms - now_ms -
                                   FORWARD_OVERHEAD_MS);
    args->queue = (char *)(uintptr_t)job->queue.name;
    args->queue_address = job->queue.address;
    DispatcherCall_Send(self, &about, &call);
    g_free(args->steps.steps_val);
}

bool
DispatcherForward_Try(Dispatcher *self, int64_t now_ms, Active_Job *job,
                      const lc_resources *largest)
{
    int64_t local_bytes;
    int64_t forward_bytes;
    Delegate *delegate;

    if (!may_forward(self, now_ms, job)) {
        return false;
    }
    local_bytes = ForwardChoice_LocalBytes(&self->sends, job, largest);
    forward_bytes = ForwardChoice_ForwardBytes(job);
    if (!ForwardChoice_IsBetter(local_bytes, forward_bytes)) {
        return false;
    }
    delegate = Delegates_Pick(&self->delegates, now_ms, local_bytes);
    if (delegate == NULL) {
        return false;
    }
    log_forward(self, now_ms, job, delegate, local_bytes, forward_bytes);
    delegate->credit_bytes -= local_bytes;
    delegate->jobs++;
    job->delegate = delegate->node.address;
    job->forward_number = ++self->last_forward_number;
    job->starts++;
    job->first_sent_ms = now_ms;
    move_tasks(job, ACTIVE_WAITING, ACTIVE_FORWARDED);
    JobTrace_Add(job->trace, now_ms, JOB_TRACE_FORWARDED, &job->tasks[0].id,
                 job->delegate, (int32_t)local_bytes);
    Counter_Add(&self->counters, COUNTER_JOBS_FORWARDED, 1);
    LinkBudget_Spend(&self->link, forward_bytes);
    if (delegate->withdrawn->len > 0 && delegate->extend_call_id == 0) {
        /* The FORWARD may begin a lease, which must not keep alive a withdrawn
         * job that is still on its way over a broken connection. */
        send_extend(self, now_ms, delegate);
    }
    send_forward(self, now_ms, job, delegate);
    return true;
}

/* Detaches the job from its delegate, which is returned, or NULL. */
static Delegate *
end_forward(const Dispatcher *self, Active_Job *job)
{
    Delegate *delegate = Delegates_Find(&self->delegates, job->delegate);

    job->delegate = 0;
    if (delegate != NULL) {
        delegate->jobs--;
    }
    return delegate;
}

void
DispatcherForward_Withdraw(Dispatcher *self, Active_Job *job)
{
    Delegate *delegate = end_forward(self, job);

    if (delegate != NULL) {
        g_array_append_val(delegate->withdrawn, job->forward_number);
    }
}

/* The other entry refused the job, which therefore runs here. */
static void
on_forward_refused(Dispatcher *self, int64_t now_ms, Active_Job *job)
{
    Delegate *delegate = end_forward(self, job);

    if (delegate != NULL) {
        Delegates_ClearCredit(delegate);
    }
    Counter_Add(&self->counters, COUNTER_FORWARDS_REFUSED, 1);
    JobTrace_Add(job->trace, now_ms, JOB_TRACE_FORWARD_REFUSED,
                 &job->tasks[0].id, 0, 0);
    job->starts--;
    job->first_sent_ms = 0;
    job->forward_refused = true;
    move_tasks(job, ACTIVE_FORWARDED, ACTIVE_WAITING);
}

/* The job's outcome cannot be known. The other entry stops the job itself when
 * its lease expires, which is before the caller may resubmit it. */
static void
on_forward_lost(Dispatcher *self, int64_t now_ms, Active_Job *job)
{
    Counter_Add(&self->counters, COUNTER_FORWARDS_LOST, 1);
    DispatcherForward_Withdraw(self, job);
    DispatcherCompletion_GiveUp(self, now_ms, job, ERR_LOST,
                                "the entry that ran it was lost");
}

static void
relay_answer(Dispatcher *self, int64_t now_ms, Active_Job *job,
             const lc_forward_res *result)
{
    Err_Kind kind = Err_FromText(result->error);
    Dispatcher_Answer answer = {.outcome = (Dispatcher_Outcome)result->outcome,
                                .kind = kind == ERR_COUNT ? ERR_LOST : kind,
                                .message = result->message,
                                .retry_ms = result->retry_ms};

    end_forward(self, job);
    if (result->outcome > DISPATCHER_CANCELLED) {
        answer.outcome = DISPATCHER_GIVEN_UP;
    }
    if (answer.outcome == DISPATCHER_NOT_RUN) {
        job->starts--;
    }
    DispatcherCompletion_EndJob(self, now_ms, job, &answer);
}

void
DispatcherForward_OnReply(Dispatcher *self, int64_t now_ms,
                          const Dispatcher_Call *about,
                          const lc_forward_res *result)
{
    Active_Job *job = Handle_Get(self->jobs, about->job);

    if (job == NULL || job->delegate != about->host.address) {
        return;
    }
    if (result == NULL) {
        on_forward_lost(self, now_ms, job);
    }
    else if (!result->taken) {
        on_forward_refused(self, now_ms, job);
    }
    else {
        relay_answer(self, now_ms, job, result);
    }
}

void
DispatcherForward_Tick(Dispatcher *self, int64_t now_ms)
{
    bool wanted = LinkBudget_IsCongested(&self->link, now_ms);
    guint i;

    for (i = 0; i < self->delegates.rows->len; i++) {
        Delegate *row = g_ptr_array_index(self->delegates.rows, i);
        if (!self->paused && Delegates_IsExtendDue(row, now_ms, wanted)) {
            send_extend(self, now_ms, row);
        }
    }
}

void
DispatcherForward_OnExtendReply(Dispatcher *self, int64_t now_ms,
                                const Dispatcher_Call *about, uint64_t call_id,
                                const lc_extend_res *result)
{
    Delegate *row = Delegates_Find(&self->delegates, about->host.address);

    if (row == NULL || row->extend_call_id != call_id) {
        return;
    }
    row->extend_call_id = 0;
    if (result == NULL) {
        Delegates_ClearCredit(row);
        return;
    }
    g_array_remove_range(row->withdrawn, 0, row->withdrawn_in_flight);
    row->withdrawn_in_flight = 0;
    Delegates_ApplyAnswer(row, now_ms, result);
}

bool
Dispatcher_WantsDelegates(const Dispatcher *self, int64_t now_ms)
{
    return LinkBudget_IsCongested(&self->link, now_ms) ||
           self->delegates.rows->len > 0;
}

void
Dispatcher_OfferDelegates(Dispatcher *self, const Address *addresses,
                          guint count)
{
    Delegates_SetCandidates(&self->delegates, addresses, count);
}

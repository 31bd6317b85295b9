#include "lease/dispatcher_state.h"
#include "wire/run_batch.h"

uint64_t
DispatcherCall_Send(Dispatcher *self, const Dispatcher_Call *about,
                    const Msg_Call *call)
{
    Dispatcher_Call *pending = g_memdup2(about, sizeof(*about));
    uint64_t call_id = Handle_Add(self->calls, pending);

    self->ports->call(self->context, about->host.address, call_id, call);
    return call_id;
}

static Dispatcher_Call
about_task(const Active_Job *job, const Active_Task *task, Msg_Kind kind)
{
    Dispatcher_Call about = {.kind = kind,
                             .job = job->handle,
                             .task = (uint32_t)(task - job->tasks),
                             .host = task->host,
                             .run = task->id.run};

    return about;
}

/* Durable jobs run under an identity that another entry may take over, jobs of
 * another entry under an identity for that entry. */
static lc_node
owner_of(const Dispatcher *self, const Active_Job *job)
{
    lc_node owner = self->config.node;

    if (job->durable) {
        owner.incarnation = self->durable_owner;
    }
    else if (job->origin != NULL) {
        owner.incarnation = job->origin->owner;
    }
    return owner;
}

static lc_run_args
run_args(const Dispatcher *self, const Active_Job *job,
         const Active_Task *task, int64_t valid_until_ms)
{
    const LeasedJob_Step *step = Active_Step(job, task);
    lc_run_args run = {.owner = owner_of(self, job),
                       .target = task->host.incarnation,
                       .valid_until_ms = valid_until_ms,
                       .closures_as_of = self->closures.as_of,
                       .id = task->id,
                       .need = step->need,
                       .crashes = task->crashes,
                       .spec = job->spec.spec};

    /* A long-running task has no expected end. */
    run.estimate_ms = step->long_running ? 0 : step->estimate_ms;
    return run;
}

static void
spend_start(Dispatcher *self, const Active_Job *job, guint rows)
{
    LinkBudget_Spend(&self->link,
                     (int64_t)(FORWARD_CHOICE_START_BYTES + job->spec_bytes +
                               (size_t)rows * FORWARD_CHOICE_ROW_BYTES));
}

void
DispatcherCall_Run(Dispatcher *self, const Active_Job *job,
                   const Active_Task *task, int64_t valid_until_ms)
{
    Dispatcher_Call about = about_task(job, task, MSG_RUN);
    Msg_Call call = {.kind = MSG_RUN};

    call.u.run = run_args(self, job, task, valid_until_ms);
    spend_start(self, job, 1);
    DispatcherCall_Send(self, &about, &call);
}

void
DispatcherCall_RepeatHalts(Dispatcher *self, Fleet_Host *host)
{
    uint32_t i;
    uint32_t j;

    if (!host->halt_failed) {
        return;
    }
    host->halt_failed = false;
    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        const Active_Job *job = Handle_ItemAt(self->jobs, i);
        for (j = 0; job != NULL && j < job->task_count; j++) {
            Active_Task *task = &job->tasks[j];
            if (task->state == ACTIVE_HALTING &&
                task->not_before_ms != INT64_MAX &&
                DispatcherCompletion_HostOf(self, task) == host) {
                task->call_retries++;
                DispatcherCall_Halt(self, job, task);
            }
        }
    }
}

int64_t
DispatcherCall_ExtendHold(Dispatcher *self, int64_t now_ms, Fleet_Host *host)
{
    DispatcherCall_RepeatHalts(self, host);
    return Fleet_ExtendHold(host, &self->config.timing, now_ms);
}

/* Starts two or more tasks at one host in one call. */
static void
send_joined(Dispatcher *self, const Active_Job *job, Active_Task *const *tasks,
            guint count, int64_t valid_until_ms)
{
    lc_run_args run = run_args(self, job, tasks[0], valid_until_ms);
    lc_runs_args runs = {.owner = run.owner,
                         .target = run.target,
                         .valid_until_ms = run.valid_until_ms,
                         .closures_as_of = run.closures_as_of,
                         .job = run.id.job,
                         .spec = run.spec};
    uint64_t *call_ids = g_new(uint64_t, count);
    guint i;

    runs.rows.rows_len = count;
    runs.rows.rows_val = g_new(lc_runs_row, count);
    for (i = 0; i < count; i++) {
        Dispatcher_Call about = about_task(job, tasks[i], MSG_RUN);
        run = run_args(self, job, tasks[i], valid_until_ms);
        RunBatch_EncodeRow(&run, &runs.rows.rows_val[i]);
        call_ids[i] = Handle_Add(self->calls,
                                 g_memdup2(&about, sizeof(about)));
    }
    Counter_Add(&self->counters, COUNTER_TASKS_JOINED, count);
    spend_start(self, job, count);
    self->ports->runs(self->context, tasks[0]->host.address, call_ids, &runs);
    g_free(runs.rows.rows_val);
    g_free(call_ids);
}

static gint
compare_hosts(gconstpointer a, gconstpointer b)
{
    const Active_Task *left = *(Active_Task *const *)a;
    const Active_Task *right = *(Active_Task *const *)b;

    if (left->host.address != right->host.address) {
        return left->host.address < right->host.address ? -1 : 1;
    }
    return left < right ? -1 : left > right;
}

/* Counts the consecutive tasks, from index @p from on, that go to one host. */
static guint
count_same_host(const GPtrArray *tasks, guint from)
{
    const Active_Task *first = g_ptr_array_index(tasks, from);
    guint end = from;

    while (
        end < tasks->len &&
        ((const Active_Task *)g_ptr_array_index(tasks, end))->host.address ==
            first->host.address) {
        end++;
    }
    return end - from;
}

void
DispatcherCall_Starts(Dispatcher *self, int64_t now_ms, const Active_Job *job,
                      GPtrArray *tasks)
{
    guint from = 0;

    if (self->config.join_runs) {
        g_ptr_array_sort(tasks, compare_hosts);
    }
    while (from < tasks->len) {
        Active_Task *const *group = (Active_Task *const *)&tasks->pdata[from];
        guint count = self->config.join_runs ? count_same_host(tasks, from)
                                             : 1;
        Fleet_Host *host = Fleet_Find(&self->fleet, group[0]->host.address);
        int64_t valid_until_ms = DispatcherOrigin_LimitLease(
            job, host, DispatcherCall_ExtendHold(self, now_ms, host));
        ForwardChoice_CountStarts(&self->sends, now_ms, count);
        if (count > 1) {
            send_joined(self, job, group, count, valid_until_ms);
        }
        else {
            DispatcherCall_Run(self, job, group[0], valid_until_ms);
        }
        from += count;
    }
}

void
DispatcherCall_Halt(Dispatcher *self, const Active_Job *job, Active_Task *task)
{
    Dispatcher_Call about = about_task(job, task, MSG_HALT);
    Msg_Call call = {.kind = MSG_HALT};

    call.u.halt.owner = owner_of(self, job);
    call.u.halt.target = task->host.incarnation;
    call.u.halt.id = task->id;
    task->not_before_ms = INT64_MAX;
    DispatcherCall_Send(self, &about, &call);
}

void
DispatcherCall_Renew(Dispatcher *self, int64_t now_ms, Fleet_Host *host)
{
    Dispatcher_Call about = {.kind = MSG_RENEW, .host = host->node};
    Msg_Call call = {.kind = MSG_RENEW};

    call.u.renew.owner = self->config.node;
    call.u.renew.kept = DispatcherDurable_IsAllowedAt(self, now_ms, host)
                            ? self->durable_owner
                            : 0;
    call.u.renew.target = host->node.incarnation;
    call.u.renew.valid_until_ms = DispatcherCall_ExtendHold(self, now_ms,
                                                            host);
    host->renew_sent_ms = now_ms;
    host->renew_call_id = DispatcherCall_Send(self, &about, &call);
}

#include "lease/dispatcher_state.h"

static uint64_t
send_call(Dispatcher *self, const Dispatcher_Call *about, const Msg_Call *call)
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

/* Kept jobs are run under an identity that others may take over. */
static lc_node
owner_of(const Dispatcher *self, const Active_Job *job)
{
    lc_node owner = self->config.node;

    if (job->kept) {
        owner.incarnation = self->kept;
    }
    return owner;
}

void
DispatcherCall_Run(Dispatcher *self, const Active_Job *job,
                   const Active_Task *task, int64_t valid_until_ms)
{
    const LeasedJob_Step *step = Active_Step(job, task);
    Dispatcher_Call about = about_task(job, task, MSG_RUN);
    Msg_Call call = {.kind = MSG_RUN};

    call.u.run.owner = owner_of(self, job);
    call.u.run.target = task->host.incarnation;
    call.u.run.valid_until_ms = valid_until_ms;
    call.u.run.closures_as_of = self->closures.as_of;
    call.u.run.id = task->id;
    call.u.run.need = step->need;
    /* Of a task that lasts nothing is expected but that it goes on. */
    call.u.run.estimate_ms = step->long_running ? 0 : step->estimate_ms;
    call.u.run.crashes = task->crashes;
    call.u.run.spec = job->spec.spec;
    send_call(self, &about, &call);
}

void
DispatcherCall_Halt(Dispatcher *self, const Active_Job *job, Active_Task *task)
{
    Dispatcher_Call about = about_task(job, task, MSG_HALT);
    Msg_Call call = {.kind = MSG_HALT};

    call.u.halt.owner = owner_of(self, job);
    call.u.halt.target = task->host.incarnation;
    call.u.halt.id = task->id;
    task->again_ms = INT64_MAX;
    send_call(self, &about, &call);
}

void
DispatcherCall_Renew(Dispatcher *self, int64_t now_ms, Fleet_Host *host)
{
    Dispatcher_Call about = {.kind = MSG_RENEW, .host = host->node};
    Msg_Call call = {.kind = MSG_RENEW};

    call.u.renew.owner = self->config.node;
    call.u.renew.kept = self->kept_held ? self->kept : 0;
    call.u.renew.target = host->node.incarnation;
    call.u.renew.valid_until_ms = Fleet_Hold(host, &self->config.term, now_ms);
    host->renew_ms = now_ms;
    host->renewing = send_call(self, &about, &call);
}

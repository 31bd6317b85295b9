/*
 * Jobs that other entries forward to this one. They run like its own, but
 * under a separate identity for each origin, whose leases at companions never
 * last longer than the lease granted by that origin.
 */
#include "base/address.h"
#include "lease/dispatcher_state.h"
#include "lease/job_wire.h"

/* Marks the ids of other entries' requests, to tell them from callers'. */
#define ORIGIN_REQUEST (UINT64_C(1) << 62)
/* An owner identity is this process's incarnation, a time in microseconds,
 * with a sequence number in the bits above it. */
#define OWNER_SHIFT 52
/* Allows for clocks that are read in whole ms, at one place more than for own
 * leases. */
#define ROUNDING_MS 4

static Dispatcher_Origin *
find_origin(const Dispatcher *self, const lc_node *node)
{
    guint i;

    for (i = 0; i < self->origins->len; i++) {
        Dispatcher_Origin *row = g_ptr_array_index(self->origins, i);
        if (!row->expired && Msg_SameNode(&row->node, node)) {
            return row;
        }
    }
    return NULL;
}

static Dispatcher_Origin *
add_origin(Dispatcher *self, const lc_node *node)
{
    Dispatcher_Origin *row = g_new0(Dispatcher_Origin, 1);

    row->node = *node;
    row->owner = self->config.node.incarnation |
                 (++self->last_owner << OWNER_SHIFT);
    g_ptr_array_add(self->origins, row);
    return row;
}

void
DispatcherOrigin_RemoveJob(Dispatcher *self, Active_Job *job)
{
    Dispatcher_Origin *row = job->origin;

    if (row == NULL) {
        return;
    }
    job->origin = NULL;
    row->jobs--;
    if (row->expired && row->jobs == 0) {
        g_ptr_array_remove(self->origins, row);
    }
}

/* The origin has stopped or is unreachable: its callers may resubmit their
 * jobs elsewhere. */
static void
expire_origin(Dispatcher *self, int64_t now_ms, Dispatcher_Origin *row)
{
    uint32_t i;

    row->expired = true;
    if (row->jobs > 0) {
        DispatcherLog_Origin(
            self, EVENT_FORWARD_LAPSED, row,
            "the lease of the entry that forwarded them expired");
    }
    row->jobs++; /* keeps the row while its jobs are freed */
    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        Active_Job *job = Handle_ItemAt(self->jobs, i);
        if (job != NULL && job->origin == row && !job->closing) {
            DispatcherCompletion_GiveUp(
                self, now_ms, job, ERR_LOST,
                "the lease of the entry that forwarded it expired");
        }
    }
    row->jobs--;
    if (row->jobs == 0) {
        g_ptr_array_remove(self->origins, row);
    }
}

/* Converts the end of an origin's lease to a companion's clock. Assumes that
 * the companion's last message took no time, so that the result may be too
 * early but never too late. */
static int64_t
lease_end_at(const Dispatcher_Origin *row, const Fleet_Host *host)
{
    return host->stamp_ms + row->lease_end_ms - host->received_ms -
           ROUNDING_MS;
}

int64_t
DispatcherOrigin_LimitLease(const Active_Job *job, const Fleet_Host *host,
                            int64_t valid_until_ms)
{
    if (job->origin == NULL) {
        return valid_until_ms;
    }
    return MIN(valid_until_ms, lease_end_at(job->origin, host));
}

static void
renew_at(Dispatcher *self, int64_t now_ms, const Dispatcher_Origin *row,
         Fleet_Host *host)
{
    Dispatcher_Call about = {.kind = MSG_RENEW, .host = host->node};
    Msg_Call call = {.kind = MSG_RENEW};
    int64_t hold_ms = DispatcherCall_ExtendHold(self, now_ms, host);

    call.u.renew.owner.address = self->config.node.address;
    call.u.renew.owner.incarnation = row->owner;
    call.u.renew.target = host->node.incarnation;
    call.u.renew.valid_until_ms = MIN(hold_ms, lease_end_at(row, host));
    DispatcherCall_Send(self, &about, &call);
}

/* Returns the set of companions that run tasks of an origin's jobs; the caller
 * frees it. */
static GHashTable *
hosts_of(const Dispatcher *self, const Dispatcher_Origin *row)
{
    GHashTable *hosts = g_hash_table_new(NULL, NULL);
    uint32_t i;
    uint32_t j;

    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        const Active_Job *job = Handle_ItemAt(self->jobs, i);
        if (job == NULL || job->origin != row || job->closing) {
            continue;
        }
        for (j = 0; j < job->task_count; j++) {
            Fleet_Host *host = DispatcherCompletion_HostOf(self,
                                                           &job->tasks[j]);
            if (host != NULL &&
                DispatcherCompletion_IsInFlight(&job->tasks[j])) {
                g_hash_table_add(hosts, host);
            }
        }
    }
    return hosts;
}

static void
renew(Dispatcher *self, int64_t now_ms, Dispatcher_Origin *row)
{
    GHashTable *hosts = hosts_of(self, row);
    GHashTableIter iter;
    gpointer item;

    row->renewed_ms = now_ms;
    g_hash_table_iter_init(&iter, hosts);
    while (g_hash_table_iter_next(&iter, &item, NULL)) {
        Fleet_Host *host = item;
        if (!host->suspect) {
            renew_at(self, now_ms, row, host);
        }
    }
    g_hash_table_unref(hosts);
}

static bool
is_withdrawn(const Dispatcher *self, int64_t now_ms, const lc_node *origin,
             uint64_t number)
{
    guint i;

    for (i = 0; i < self->withdrawals->len; i++) {
        const Dispatcher_Withdrawal *mark = &g_array_index(
            self->withdrawals, Dispatcher_Withdrawal, i);
        if (mark->number == number && now_ms <= mark->until_ms &&
            Msg_SameNode(&mark->origin, origin)) {
            return true;
        }
    }
    return false;
}

/* Marks a withdrawn job that is not known here: its FORWARD may still arrive,
 * over another connection, as long as it is valid. */
static void
mark_withdrawn(Dispatcher *self, int64_t now_ms, const lc_node *origin,
               uint64_t number)
{
    Dispatcher_Withdrawal mark = {.origin = *origin,
                                  .number = number,
                                  .until_ms = now_ms +
                                              self->config.timing.lease_ms};

    if (!is_withdrawn(self, now_ms, origin, number)) {
        g_array_append_val(self->withdrawals, mark);
    }
}

static void
remove_expired_withdrawals(const Dispatcher *self, int64_t now_ms)
{
    guint i = 0;

    while (i < self->withdrawals->len) {
        if (now_ms > g_array_index(self->withdrawals, Dispatcher_Withdrawal, i)
                         .until_ms) {
            g_array_remove_index_fast(self->withdrawals, i);
        }
        else {
            i++;
        }
    }
}

void
DispatcherOrigin_Tick(Dispatcher *self, int64_t now_ms)
{
    guint i = self->origins->len;

    remove_expired_withdrawals(self, now_ms);
    while (i > 0) {
        Dispatcher_Origin *row = g_ptr_array_index(self->origins, --i);
        if (row->expired) {
            continue;
        }
        if (now_ms >= row->lease_end_ms) {
            expire_origin(self, now_ms, row);
        }
        else if (!self->paused && row->jobs > 0 &&
                 now_ms - row->renewed_ms >= DISPATCHER_RENEW_MS) {
            renew(self, now_ms, row);
        }
    }
}

/* Returns why a forwarded job is refused, or NULL if it is accepted. */
static const char *
refusal_reason(const Dispatcher *self, int64_t now_ms,
               const lc_forward_args *args, const Route *route)
{
    int64_t id = (int64_t)args->job;

    if (args->target != self->config.node.incarnation ||
        args->valid_until_ms <= now_ms) {
        return "its lease has expired";
    }
    if (route == NULL || self->routes->version < args->routes_version) {
        return "its routes are not known here";
    }
    if (self->paused || self->shutdown_ms != INT64_MAX) {
        return "this entry accepts no forwarded jobs now";
    }
    if (LinkBudget_IsCongested(&self->link, now_ms) ||
        Handle_ItemCount(self->jobs) >= self->config.max_jobs ||
        DispatcherHosts_Isolated(self, now_ms)) {
        return "this entry has no capacity for the job";
    }
    if (g_hash_table_contains(self->by_id, &id)) {
        return "the job is already known at this entry";
    }
    return NULL;
}

static void
reply_refused(const Dispatcher *self, uint64_t reply_id, const char *reason)
{
    Msg_Reply reply = {.kind = MSG_FORWARD};

    reply.u.forward.error = (char *)(uintptr_t)Err_Text(ERR_OK);
    reply.u.forward.message = (char *)(uintptr_t)reason;
    self->ports->reply(self->context, reply_id, &reply);
}

/* Refuses a job that was withdrawn before it arrived; returns false for any
 * other. */
static bool
refuse_withdrawn(Dispatcher *self, int64_t now_ms, uint64_t reply_id,
                 const lc_forward_args *args)
{
    if (!is_withdrawn(self, now_ms, &args->from, args->number)) {
        return false;
    }
    Counter_Add(&self->counters, COUNTER_FORWARDS_WITHDRAWN, 1);
    DispatcherLog_Identity(self, EVENT_FORWARD_WITHDRAWN, args->job,
                           Address_Text(args->from.address));
    reply_refused(self, reply_id, "its origin has withdrawn it");
    return true;
}

static void
accept_job(Dispatcher *self, int64_t now_ms, uint64_t reply_id,
           const lc_forward_args *args, const Route *route, LeasedJob *spec)
{
    Dispatcher_Origin *row = find_origin(self, &args->from);
    int64_t arrived_ms = now_ms - (int64_t)args->waited_ms;
    QueueRef queue = {args->queue, args->queue_address};
    Active_Job *job = Active_New(spec, &queue, route, arrived_ms,
                                 now_ms + (int64_t)args->deadline_ms);
    uint64_t request = ++self->last_origin_request | ORIGIN_REQUEST;

    if (row == NULL) {
        row = add_origin(self, &args->from);
    }
    if (row->jobs == 0) {
        /* With jobs open, only EXTEND may extend the lease, as it also lists
         * the jobs that were withdrawn. */
        row->lease_end_ms = MAX(row->lease_end_ms, args->valid_until_ms);
    }
    row->jobs++;
    job->origin = row;
    job->forward_number = args->number;
    job->handle = Handle_Add(self->jobs, job);
    g_hash_table_insert(self->by_id, &job->spec.id, job);
    g_hash_table_insert(self->origin_replies,
                        g_memdup2(&request, sizeof(request)),
                        g_memdup2(&reply_id, sizeof(reply_id)));
    Dispatcher_AttachRequest(self, job, request);
    Reserve_RecordJob(&self->reserve, now_ms, job->priority, job->task_count);
    Counter_Add(&self->counters, COUNTER_FORWARDS_TAKEN, 1);
    DispatcherLog_Origin(self, EVENT_FORWARD_TAKEN, row, "");
    self->dispatch_pending = true;
    DispatcherLateStart_BindJob(self, now_ms, job);
    DispatcherLateStart_EndIfUnstartable(self, now_ms, job);
}

void
Dispatcher_OnForward(Dispatcher *self, int64_t now_ms, uint64_t reply_id,
                     const lc_forward_args *args)
{
    Dispatcher_Origin *row = find_origin(self, &args->from);
    QueueRef queue = {args->queue, args->queue_address};
    const Route *route = Route_FindQueue(self->routes, &queue, NULL);
    const char *reason = refusal_reason(self, now_ms, args, route);
    Status status = {ERR_OK, ""};
    LeasedJob spec;

    if (row != NULL && now_ms >= row->lease_end_ms) {
        expire_origin(self, now_ms, row);
    }
    if (refuse_withdrawn(self, now_ms, reply_id, args)) {
        return;
    }
    if (reason == NULL && JobWire_Decode(args, &spec, &status) != ERR_OK) {
        reason = status.message;
    }
    else if (reason == NULL &&
             Route_CheckJob(route, &spec, &status) != ERR_OK) {
        LeasedJob_Clear(&spec);
        reason = status.message;
    }
    if (reason != NULL) {
        reply_refused(self, reply_id, reason);
        return;
    }
    accept_job(self, now_ms, reply_id, args, route, &spec);
}

bool
DispatcherOrigin_Answer(Dispatcher *self, uint64_t request,
                        const Dispatcher_Answer *answer)
{
    const uint64_t *reply_id = g_hash_table_lookup(self->origin_replies,
                                                   &request);
    Msg_Reply reply = {.kind = MSG_FORWARD};

    if ((request & ORIGIN_REQUEST) == 0) {
        return false;
    }
    if (reply_id != NULL) {
        reply.u.forward.taken = true;
        reply.u.forward.outcome = (u_int)answer->outcome;
        reply.u.forward.error = (char *)(uintptr_t)Err_Text(answer->kind);
        reply.u.forward.message = (char *)(uintptr_t)answer->message;
        reply.u.forward.retry_ms = answer->retry_ms;
        self->ports->reply(self->context, *reply_id, &reply);
        g_hash_table_remove(self->origin_replies, &request);
    }
    return true;
}

/* Drops an origin's request for a job; other callers may still wait for it.
 * Returns false if the job is not known. */
static bool
drop_request(Dispatcher *self, int64_t now_ms, const Dispatcher_Origin *row,
             uint64_t number)
{
    uint32_t i;
    guint j;

    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        const Active_Job *job = Handle_ItemAt(self->jobs, i);
        if (job == NULL || job->origin != row || job->closing ||
            job->forward_number != number) {
            continue;
        }
        for (j = 0; j < job->requests->len; j++) {
            uint64_t request = g_array_index(job->requests, uint64_t, j);
            if ((request & ORIGIN_REQUEST) != 0) {
                g_hash_table_remove(self->origin_replies, &request);
                Dispatcher_OnCallerDisconnect(self, now_ms, request);
                return true;
            }
        }
    }
    return false;
}

static uint64_t
headroom(const Dispatcher *self, int64_t now_ms)
{
    if (self->paused || self->shutdown_ms != INT64_MAX ||
        DispatcherHosts_Isolated(self, now_ms)) {
        return 0;
    }
    return (uint64_t)LinkBudget_Headroom(&self->link, now_ms);
}

void
Dispatcher_OnExtend(Dispatcher *self, int64_t now_ms, uint64_t reply_id,
                    const lc_extend_args *args)
{
    Dispatcher_Origin *row = find_origin(self, &args->from);
    bool is_target = args->target == self->config.node.incarnation;
    Msg_Reply reply = {.kind = MSG_EXTEND};
    u_int i;

    if (row != NULL && now_ms >= row->lease_end_ms) {
        expire_origin(self, now_ms, row);
        row = NULL;
    }
    if (row != NULL && is_target) {
        row->lease_end_ms = MAX(row->lease_end_ms, args->valid_until_ms);
    }
    for (i = 0; is_target && i < args->gone.gone_len; i++) {
        uint64_t number = args->gone.gone_val[i];
        if (row == NULL || !drop_request(self, now_ms, row, number)) {
            mark_withdrawn(self, now_ms, &args->from, number);
        }
    }
    reply.u.extend.node = self->config.node;
    reply.u.extend.stamp_ms = now_ms;
    reply.u.extend.headroom = headroom(self, now_ms);
    self->ports->reply(self->context, reply_id, &reply);
}

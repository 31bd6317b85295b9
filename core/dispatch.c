#include "core/dispatch.h"

#include <string.h>

#include "core/group_limits.h"
#include "core/membership.h"
#include "core/outcome.h"
#include "core/placement.h"
#include "core/slot_demand.h"

#define RESEND_INTERVAL_MS 200
#define REFUSAL_BACKOFF_MS 100

static void
call_start(Blackboard *board, Job *job, uint32_t index, Peer *peer,
           uint64_t grant)
{
    lc_demand demand[LC_MAX_DEMAND];
    Task *task = &job->tasks[index];
    Msg_Call call = {.kind = MSG_START};
    lc_start_args *args = &call.u.start;
    Call info = {.to = peer->address,
                 .incarnation = peer->node.incarnation,
                 .job = job->handle,
                 .index = index};

    args->owner = board->config.self;
    args->epoch = Blackboard_View(board)->epoch;
    args->sequence = ++peer->sequence;
    args->target = peer->node.incarnation;
    args->attach = task->adopted;
    args->key = Node_KeyToWire(&job->key);
    args->index = index;
    args->total = job->total;
    args->timeout_ms = board->config.task_timeout_ms;
    args->grant = grant;
    args->group = (char *)(uintptr_t)job->group;
    args->payload.payload_len = task->length;
    args->payload.payload_val = (char *)task->payload;
    args->demand.demand_val = demand;
    SlotDemand_Fill(board, peer, demand, &args->demand.demand_len);
    peer->running++;
    task->companion = peer->node;
    Blackboard_SendCall(board, &call, &info);
}

static void
send_task(Blackboard *board, Group *group, Job *job, uint32_t index,
          Peer *peer, uint64_t grant)
{
    Task *task = &job->tasks[index];

    if (board->free_slots > 0 && grant == 0) {
        board->free_slots--;
    }
    task->state = TASK_SENT;
    task->sent_ms = board->now.mono_ms;
    task->call_lost_ms = 0;
    job->progress_ms = board->now.mono_ms;
    Groups_TaskSent(board->groups, job);
    GroupLimits_OnStarted(board, group);
    Counter_Add(&board->counters, COUNTER_TASKS_STARTED, 1);
    call_start(board, job, index, peer, grant);
}

static bool
may_start(Group *group, void *context)
{
    return GroupLimits_MayStart(context, group);
}

/* Sends one task of @p group to @p peer; false if none waits. */
static bool
send_next(Blackboard *board, Group *group, Peer *peer, uint64_t grant)
{
    Job *job = Groups_ChooseJob(board->groups, group, board->now.mono_ms);
    int64_t index;

    if (job == NULL) {
        return false;
    }
    index = Job_NextWaiting(job);
    if (index < 0) {
        return false;
    }
    send_task(board, group, job, (uint32_t)index, peer, grant);
    return true;
}

void
Dispatch_Run(Blackboard *board)
{
    if (Groups_Waiting(board->groups) == 0 || board->deposed) {
        return;
    }
    board->free_slots = Placement_FreeSlots(board);
    while (Groups_Waiting(board->groups) > 0) {
        Peer *peer = Placement_Choose(board);
        Group *group;
        if (peer == NULL) {
            break;
        }
        group = Groups_Choose(board->groups, may_start, board);
        if (group == NULL || !send_next(board, group, peer, 0)) {
            break;
        }
    }
}

static void
decline_grant(Blackboard *board, Peer *peer, uint64_t grant)
{
    lc_demand demand[LC_MAX_DEMAND];
    Msg_Call call = {.kind = MSG_DECLINE};
    Call info = {.to = peer->address, .incarnation = peer->node.incarnation};

    Counter_Add(&board->counters, COUNTER_WASTED_GRANT, 1);
    peer->queued_until_ms = 0;
    peer->demand_sent = 0;
    call.u.decline.from = board->config.self;
    call.u.decline.grant = grant;
    call.u.decline.demand.demand_val = demand;
    SlotDemand_Fill(board, peer, demand, &call.u.decline.demand.demand_len);
    Blackboard_SendCall(board, &call, &info);
}

/* Uses a grant for its group, or else for the next group that may start. */
static bool
use_grant(Blackboard *board, Peer *peer, uint64_t grant, const char *name)
{
    Group *group = Groups_Find(board->groups, name);

    if (!Membership_IsUsable(board, peer) || board->deposed) {
        return false;
    }
    if (group == NULL || group->waiting == 0 ||
        !GroupLimits_MayStart(board, group)) {
        group = Groups_Choose(board->groups, may_start, board);
    }
    /* Each grant consumes demand at the companion: send the demand again. */
    peer->demand_sent = 0;
    return group != NULL && send_next(board, group, peer, grant);
}

void
Dispatch_AnswerGrant(Blackboard *board, uint64_t reply_id,
                     const lc_grant_args *args)
{
    Msg_Reply reply = {.kind = MSG_GRANT};
    Peer *peer = Blackboard_FindPeer(board, args->from.address);

    if (peer != NULL && Node_Same(&peer->node, &args->from)) {
        reply.u.grant.used = use_grant(board, peer, args->grant, args->group);
    }
    if (reply.u.grant.used) {
        Placement_MarkQueued(board, peer);
    }
    else {
        Counter_Add(&board->counters, COUNTER_WASTED_GRANT, 1);
        if (peer != NULL) {
            peer->queued_until_ms = 0;
            peer->demand_sent = 0;
        }
    }
    board->ports.reply(board->context, reply_id, &reply);
}

static void
task_done(Blackboard *board, Job *job, uint32_t index,
          const lc_start_res *reply)
{
    Job_SetResult(job, index, reply->code, reply->result.result_val,
                  reply->result.result_len);
    job->done++;
    Counter_Add(&board->counters, COUNTER_TASKS_DONE, 1);
    if (job->done == job->total) {
        Outcome_Done(board, job);
    }
}

static const struct {
    Err_Kind kind;
    const char *message;
} start_failures[] = {
    [LC_START_FAILED] = {ERR_UPSTREAM_FAILED, "the upstream failed a task"},
    [LC_START_TIMEOUT] = {ERR_TASK_TIMEOUT, "a task exceeded its time limit"},
    [LC_START_EVICTED] = {ERR_ANSWER_EVICTED, "a task's result was evicted"},
};

static void
end_task(Blackboard *board, Job *job, uint32_t index,
         const lc_start_res *reply)
{
    Task *task = &job->tasks[index];

    Groups_TaskEnded(board->groups, job, board->now.mono_ms - task->sent_ms);
    board->tasks_ended++;
    if (reply->status == LC_START_DONE) {
        task_done(board, job, index, reply);
        return;
    }
    task->state = TASK_FAILED;
    Counter_Add(&board->counters, COUNTER_TASKS_FAILED, 1);
    Outcome_Fail(board, job, start_failures[reply->status].kind,
                 start_failures[reply->status].message);
}

static const Counter_Id refusal_counters[] = {
    [LC_START_GONE] = COUNTER_WASTED_GONE,
    [LC_START_BUSY] = COUNTER_WASTED_BUSY,
    [LC_START_STALE] = COUNTER_WASTED_STALE,
    [LC_START_FENCED] = COUNTER_WASTED_FENCED,
    [LC_START_BEHIND] = COUNTER_WASTED_BEHIND,
    [LC_START_DRAINING] = COUNTER_WASTED_DRAINING,
    [LC_START_DOWN] = COUNTER_WASTED_DOWN,
};

static void
apply_refusal(Blackboard *board, Peer *peer, const lc_start_res *reply)
{
    Counter_Add(&board->counters, refusal_counters[reply->status], 1);
    switch (reply->status) {
    case LC_START_BEHIND:
        peer->position = reply->position;
        peer->wants_relay = true;
        peer->not_before_ms = board->now.mono_ms + REFUSAL_BACKOFF_MS;
        break;
    case LC_START_GONE:
        peer->next_ping_ms = board->now.mono_ms;
        peer->not_before_ms = board->now.mono_ms + REFUSAL_BACKOFF_MS;
        break;
    case LC_START_DRAINING:
        peer->draining = true;
        board->usable_dirty = true;
        break;
    case LC_START_FENCED:
    case LC_START_DOWN:
        peer->not_before_ms = board->now.mono_ms + REFUSAL_BACKOFF_MS;
        break;
    default:
        break;
    }
}

/* The task was not started: it waits again, for any companion. */
static void
return_task(Blackboard *board, Job *job, uint32_t index)
{
    Task *task = &job->tasks[index];

    task->state = TASK_WAITING;
    task->companion.address = 0;
    task->call_lost_ms = 0;
    if (index < job->first_waiting) {
        job->first_waiting = index;
    }
    Groups_TaskReturned(board->groups, job);
}

static void
add_lost_start(Blackboard *board, Job *job, uint32_t index)
{
    Lost_Start *start = g_new(Lost_Start, 1);

    start->job = job->handle;
    start->index = index;
    g_queue_push_tail(board->lost_starts, start);
}

void
Dispatch_AdoptTask(Blackboard *board, Job *job, uint32_t index)
{
    Task *task = &job->tasks[index];

    Groups_TaskAdopted(board->groups, job);
    job->progress_ms = board->now.mono_ms;
    task->adopted = true;
    task->sent_ms = board->now.mono_ms;
    task->call_lost_ms = board->now.mono_ms;
    task->retry_ms = board->now.mono_ms;
    add_lost_start(board, job, index);
}

static void
mark_call_lost(Blackboard *board, Job *job, uint32_t index)
{
    Task *task = &job->tasks[index];

    if (task->call_lost_ms == 0) {
        task->call_lost_ms = board->now.mono_ms;
    }
    task->retry_ms = board->now.mono_ms + RESEND_INTERVAL_MS;
    add_lost_start(board, job, index);
}

/* Job of a START call that its task still waits for, or NULL. */
static Job *
job_of_call(Blackboard *board, const Call *call)
{
    Job *job = Ledger_Get(board->ledger, call->job);

    if (job == NULL || job->state != JOB_ACTIVE || call->index >= job->total ||
        job->tasks[call->index].state != TASK_SENT ||
        job->tasks[call->index].companion.incarnation != call->incarnation) {
        return NULL;
    }
    return job;
}

/* Reply for a task that no longer waits for it: updates the counts only. */
static void
account_late_reply(Blackboard *board, const Call *call,
                   const lc_start_res *reply)
{
    Job *job = Ledger_Get(board->ledger, call->job);

    if (job == NULL || job->sent == 0) {
        return;
    }
    if (reply != NULL && reply->status <= LC_START_EVICTED) {
        Groups_TaskEnded(board->groups, job,
                         board->now.mono_ms - call->sent_ms);
    }
    else {
        Groups_TaskReturned(board->groups, job);
    }
}

static void
update_companion(Blackboard *board, Peer *peer, const lc_start_res *reply)
{
    Membership_UpdatePosition(board, peer, &reply->position);
    Placement_UpdateFreeSlots(peer, reply->free);
    if (reply->status == LC_START_BUSY) {
        Placement_MarkQueued(board, peer);
    }
    if (reply->grant != 0 &&
        !use_grant(board, peer, reply->grant, reply->grant_group)) {
        decline_grant(board, peer, reply->grant);
    }
}

void
Dispatch_OnStart(Blackboard *board, const Call *call,
                 const lc_start_res *reply)
{
    Peer *peer = Blackboard_GetPeer(board, call->to);
    bool same = peer->node.incarnation == call->incarnation;
    Job *job = job_of_call(board, call);
    bool call_was_lost = job != NULL &&
                         job->tasks[call->index].call_lost_ms != 0;

    if (same && peer->running > 0) {
        peer->running--;
    }
    if (job == NULL) {
        account_late_reply(board, call, reply);
    }
    else if (reply == NULL) {
        peer->demand_sent = 0;
        mark_call_lost(board, job, call->index);
    }
    else if (reply->status == LC_START_GONE && call_was_lost) {
        Outcome_Lost(board, job);
    }
    else if (reply->status <= LC_START_EVICTED) {
        end_task(board, job, call->index, reply);
    }
    else {
        /* Refused, or its only call reached a later incarnation. */
        return_task(board, job, call->index);
    }
    if (reply != NULL && same) {
        if (reply->status >= LC_START_GONE) {
            apply_refusal(board, peer, reply);
        }
        update_companion(board, peer, reply);
    }
    Dispatch_Run(board);
}

static bool
was_sent_to(const Job *job, const lc_node *node)
{
    uint32_t i;

    for (i = 0; i < job->total; i++) {
        if (job->tasks[i].state == TASK_SENT &&
            Node_Same(&job->tasks[i].companion, node)) {
            return true;
        }
    }
    return false;
}

void
Dispatch_CompanionLost(Blackboard *board, const lc_node *node)
{
    GPtrArray *lost = g_ptr_array_new();
    Peer *peer = Blackboard_GetPeer(board, node->address);
    GHashTableIter iter;
    gpointer key;
    guint i;

    g_hash_table_iter_init(&iter, board->active);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (was_sent_to(key, node)) {
            g_ptr_array_add(lost, key);
        }
    }
    if (lost->len > 0 || peer->running > 0) {
        Blackboard_Event(board, EVENT_COMPANION_LOST, "%s, %u jobs",
                         Address_Text(node->address), lost->len);
    }
    for (i = 0; i < lost->len; i++) {
        Outcome_Lost(board, g_ptr_array_index(lost, i));
    }
    peer->running = 0;
    g_ptr_array_unref(lost);
}

/* Sends a START again whose call was lost; false while it is not due. */
static bool
resend_lost_start(Blackboard *board, const Lost_Start *start)
{
    Job *job = Ledger_Get(board->ledger, start->job);
    Task *task;
    Peer *peer;

    if (job == NULL || job->state != JOB_ACTIVE ||
        start->index >= job->total ||
        job->tasks[start->index].state != TASK_SENT) {
        return true;
    }
    task = &job->tasks[start->index];
    if (board->now.mono_ms < task->retry_ms) {
        return false;
    }
    peer = Blackboard_GetPeer(board, task->companion.address);
    if (peer->node.incarnation > task->companion.incarnation ||
        Blackboard_IsNodeGone(board, &task->companion, 0) ||
        board->now.mono_ms - task->call_lost_ms > board->config.patience_ms) {
        Outcome_Lost(board, job);
        return true;
    }
    if (!Node_Same(&peer->node, &task->companion)) {
        task->retry_ms = board->now.mono_ms + RESEND_INTERVAL_MS;
        return false;
    }
    call_start(board, job, start->index, peer, 0);
    return true;
}

static void
resend_lost_starts(Blackboard *board)
{
    guint left = g_queue_get_length(board->lost_starts);

    while (left-- > 0) {
        Lost_Start *start = g_queue_pop_head(board->lost_starts);
        if (resend_lost_start(board, start)) {
            g_free(start);
        }
        else {
            g_queue_push_tail(board->lost_starts, start);
        }
    }
}

void
Dispatch_Tick(Blackboard *board)
{
    resend_lost_starts(board);
    Dispatch_Run(board);
}

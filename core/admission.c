#include "core/admission.h"

#include <string.h>

#include "core/dispatch.h"
#include "core/group_limits.h"
#include "core/membership.h"
#include "core/outcome.h"
#include "core/ownership.h"

#define MAX_KEY_TRIES 64
#define RETRY_MS 500
#define MS_PER_S 1000.0

static void
forward(Blackboard *board, const Job_Waiter *waiter,
        const Admission_Spec *spec, const lc_node *to, bool held)
{
    Msg_Call call = {.kind = MSG_SUBMIT};
    lc_submit_args *args = &call.u.submit;
    Call info = {.to = to->address,
                 .incarnation = to->incarnation,
                 .key = spec->key,
                 .waiter = *waiter};

    args->kind = spec->look ? LC_SUBMIT_LOOK : LC_SUBMIT_RUN;
    args->held = held;
    args->key = Node_KeyToWire(&spec->key);
    args->group = (char *)(uintptr_t)spec->group;
    args->repeatable = spec->repeatable;
    args->deadline_ms = spec->deadline_ms;
    args->tasks.tasks_len = spec->count;
    args->tasks.tasks_val = (lc_payload *)(uintptr_t)spec->tasks;
    Counter_Add(&board->counters, COUNTER_JOBS_FORWARDED, 1);
    Blackboard_SendCall(board, &call, &info);
}

static bool
key_in_window(Blackboard *board, const Job_Waiter *waiter, const Key *key)
{
    int64_t age_ms = board->now.wall_ms - Key_CreatedMs(key);

    if (age_ms > board->config.window_ms) {
        Outcome_Refuse(board, waiter, key, ERR_KEY_TOO_OLD,
                       "the key is older than the deduplication window", 0);
        return false;
    }
    if (age_ms < -board->config.skew_ms) {
        Outcome_Refuse(board, waiter, key, ERR_KEY_AHEAD,
                       "the key was minted in the future",
                       -age_ms - board->config.skew_ms);
        return false;
    }
    return true;
}

/* Time to work off the group's queue at the recent rate of task ends. */
static int64_t
expected_wait_ms(const Blackboard *board, const Group *group)
{
    if (board->tasks_ended_per_s < 1.0) {
        return 0;
    }
    return (int64_t)(group->waiting / board->tasks_ended_per_s * MS_PER_S);
}

static bool
has_room(Blackboard *board, const Job_Waiter *waiter,
         const Admission_Spec *spec)
{
    const GroupTable_Row *row = GroupTable_Find(Blackboard_GroupTable(board),
                                                spec->group);
    Group *group;
    int64_t wait_ms;

    if (row == NULL) {
        Outcome_Refuse(board, waiter, &spec->key, ERR_UNKNOWN_GROUP,
                       "the group is not in the table", 0);
        return false;
    }
    group = Groups_Get(board->groups, spec->group);
    group->weight = (uint32_t)row->weight;
    wait_ms = expected_wait_ms(board, group);
    if (group->queue->len >= GroupLimits_MaxQueued(board, spec->group)) {
        Outcome_Refuse(board, waiter, &spec->key, ERR_QUEUE_FULL,
                       "the group's queue is full",
                       wait_ms > RETRY_MS ? wait_ms : RETRY_MS);
        return false;
    }
    if (row->max_wait_ms > 0 && wait_ms > row->max_wait_ms) {
        Outcome_Refuse(board, waiter, &spec->key, ERR_WAIT_TOO_LONG,
                       "the group's queue is longer than its max_wait_ms",
                       wait_ms - row->max_wait_ms + RETRY_MS);
        return false;
    }
    return true;
}

static void
set_payloads(Job *job, const Admission_Spec *spec)
{
    uint32_t i;

    for (i = 0; i < spec->count; i++) {
        Job_SetPayload(job, i, spec->tasks[i].data.data_val,
                       spec->tasks[i].data.data_len);
    }
}

static void
activate(Blackboard *board, Job *job, const Admission_Spec *spec,
         const Job_Waiter *waiter)
{
    job->state = JOB_ACTIVE;
    job->repeatable = spec->repeatable;
    job->arrived_ms = board->now.mono_ms;
    job->deadline_ms = spec->deadline_ms > 0
                           ? board->now.mono_ms + spec->deadline_ms
                           : 0;
    Job_AddWaiter(job, waiter);
    g_hash_table_add(board->active, job);
    Groups_Enqueue(board->groups, job);
}

static void
admit(Blackboard *board, const Job_Waiter *waiter, const Admission_Spec *spec)
{
    Job *job;

    if (!Ownership_HasEvidence(board)) {
        Outcome_Refuse(
            board, waiter, &spec->key, ERR_NO_EVIDENCE,
            "this entry has no current evidence that it is in the view",
            RETRY_MS);
        return;
    }
    if (!has_room(board, waiter, spec)) {
        return;
    }
    job = Ledger_Add(board->ledger, &spec->key);
    if (job == NULL) {
        Outcome_Refuse(board, waiter, &spec->key, ERR_LEDGER_FULL,
                       "the ledger of this entry is full",
                       board->config.window_ms / 10);
        return;
    }
    job->group = g_intern_string(spec->group);
    Job_SetTotal(job, spec->count);
    set_payloads(job, spec);
    activate(board, job, spec, waiter);
    Counter_Add(&board->counters, COUNTER_JOBS_SUBMITTED, 1);
    Dispatch_Run(board);
}

/* Continues a job of a removed entry from what companions have reported. */
static void
resume_recovered(Blackboard *board, Job *job, const Job_Waiter *waiter,
                 const Admission_Spec *spec)
{
    uint32_t i;

    if (!Ownership_HasEvidence(board)) {
        Outcome_Refuse(
            board, waiter, &spec->key, ERR_NO_EVIDENCE,
            "this entry has no current evidence that it is in the view",
            RETRY_MS);
        return;
    }
    Ledger_Reopen(board->ledger, job);
    set_payloads(job, spec);
    activate(board, job, spec, waiter);
    for (i = 0; i < job->total; i++) {
        if (job->tasks[i].state == TASK_SENT) {
            Dispatch_AdoptTask(board, job, i);
        }
    }
    Dispatch_Run(board);
}

/* Another entry may own the key by now and have continued the job. */
static void
resume_if_owner(Blackboard *board, Job *job, const Job_Waiter *waiter,
                const Admission_Spec *spec)
{
    lc_node owner;
    Ownership_Verdict verdict = Ownership_Check(board, &spec->key, &owner);

    if (verdict == OWN_NEVER_STARTED || verdict == OWN_UNSURE) {
        resume_recovered(board, job, waiter, spec);
        return;
    }
    Outcome_Refuse(board, waiter, &spec->key, ERR_UNSETTLED,
                   "ownership of the key's range is being transferred",
                   RETRY_MS);
}

static bool
is_same_job(const Job *job, const Admission_Spec *spec)
{
    return spec->look || job->total == 0 ||
           (job->total == spec->count && strcmp(job->group, spec->group) == 0);
}

/* A request for a key that is in the ledger. */
static void
attach(Blackboard *board, Job *job, const Job_Waiter *waiter,
       const Admission_Spec *spec)
{
    if (job->state == JOB_HELD) {
        forward(board, waiter, spec, &job->holder, true);
        return;
    }
    if (!is_same_job(job, spec)) {
        Outcome_Refuse(
            board, waiter, &spec->key, ERR_KEY_REUSED,
            "the key belongs to a job with another group or number of tasks",
            0);
        return;
    }
    Counter_Add(&board->counters, COUNTER_JOBS_ATTACHED, 1);
    if (spec->look && job->state == JOB_ACTIVE) {
        Outcome_Running(board, waiter, &spec->key);
    }
    else if (job->state == JOB_RECOVERED && spec->look) {
        Outcome_Refuse(
            board, waiter, &spec->key, ERR_OWNER_LOST,
            "the entry that ran the job was lost; submit the job again",
            RETRY_MS);
    }
    else if (job->state == JOB_RECOVERED) {
        resume_if_owner(board, job, waiter, spec);
    }
    else {
        Outcome_Attach(board, job, waiter);
    }
}

static void
record_lost(Blackboard *board, const Job_Waiter *waiter, const Key *key)
{
    Job *job = Ledger_Add(board->ledger, key);

    if (job == NULL) {
        Outcome_Refuse(board, waiter, key, ERR_LOST,
                       "the job may have run, and its outcome is lost", 0);
        return;
    }
    Job_AddWaiter(job, waiter);
    Outcome_Fail(board, job, ERR_LOST,
                 "the job may have run, and its outcome is lost");
}

/* A request for a key that is not in the ledger and that this entry owns. */
static void
handle_new_key(Blackboard *board, const Job_Waiter *waiter,
               const Admission_Spec *spec, Ownership_Verdict verdict)
{
    if (verdict == OWN_UNSETTLED) {
        Outcome_Refuse(board, waiter, &spec->key, ERR_UNSETTLED,
                       "ownership of the key's range is being transferred",
                       RETRY_MS);
    }
    else if (verdict == OWN_UNSURE && !Ownership_HasEvidence(board)) {
        Outcome_Refuse(
            board, waiter, &spec->key, ERR_NO_EVIDENCE,
            "this entry has no current evidence that it is in the view",
            RETRY_MS);
    }
    else if (verdict == OWN_UNSURE) {
        record_lost(board, waiter, &spec->key);
    }
    else if (spec->look) {
        Outcome_Refuse(board, waiter, &spec->key, ERR_NOT_FOUND,
                       "no job of this key is known", 0);
    }
    else {
        admit(board, waiter, spec);
    }
}

void
Admission_Submit(Blackboard *board, uint64_t request,
                 const Admission_Spec *spec)
{
    Job_Waiter waiter = {false, request};
    Job *job = Ledger_Find(board->ledger, &spec->key);
    Ownership_Verdict verdict;
    lc_node owner;

    if (!key_in_window(board, &waiter, &spec->key)) {
        return;
    }
    if (job != NULL) {
        attach(board, job, &waiter, spec);
        return;
    }
    verdict = Ownership_Check(board, &spec->key, &owner);
    if (verdict == OWN_OTHER) {
        forward(board, &waiter, spec, &owner, false);
    }
    else if (verdict == OWN_NO_OWNER) {
        Outcome_Refuse(board, &waiter, &spec->key, ERR_UNSETTLED,
                       "no entry has joined the view yet", RETRY_MS);
    }
    else {
        handle_new_key(board, &waiter, spec, verdict);
    }
}

void
Admission_AnswerSubmit(Blackboard *board, uint64_t reply_id,
                       const lc_submit_args *args)
{
    Job_Waiter waiter = {true, reply_id};
    Key key = Node_KeyFromWire(&args->key);
    Admission_Spec spec = {.key = key,
                           .look = args->kind == LC_SUBMIT_LOOK,
                           .group = args->group,
                           .repeatable = args->repeatable,
                           .deadline_ms = args->deadline_ms,
                           .tasks = args->tasks.tasks_val,
                           .count = args->tasks.tasks_len};
    Job *job = Ledger_Find(board->ledger, &key);
    Ownership_Verdict verdict;
    lc_node owner;

    if (!key_in_window(board, &waiter, &key)) {
        return;
    }
    if (job != NULL && (job->state != JOB_HELD || !args->held)) {
        attach(board, job, &waiter, &spec);
        return;
    }
    verdict = Ownership_Check(board, &key, &owner);
    if (args->held || verdict == OWN_OTHER || verdict == OWN_NO_OWNER) {
        Outcome_NotOwner(board, reply_id);
        return;
    }
    handle_new_key(board, &waiter, &spec, verdict);
}

void
Admission_OnSubmit(Blackboard *board, const Call *call,
                   const lc_submit_res *reply)
{
    Peer *peer = Blackboard_GetPeer(board, call->to);

    if (reply != NULL && reply->accepted) {
        Outcome_Forward(board, &call->waiter, &call->key, &reply->answer);
        return;
    }
    if (reply == NULL) {
        Outcome_Refuse(
            board, &call->waiter, &call->key, ERR_OWNER_LOST,
            "the entry that has the job was lost; retry the request",
            RETRY_MS);
        return;
    }
    if (peer->node.incarnation != 0) {
        peer->position = reply->position;
        peer->wants_relay = reply->position.offset <
                            Replica_NextOffset(board->replica);
    }
    Outcome_Refuse(board, &call->waiter, &call->key, ERR_UNSETTLED,
                   "entries do not yet agree on the view", RETRY_MS);
}

Key
Admission_CreateKey(Blackboard *board)
{
    Key key;
    int i;

    for (i = 0; i < MAX_KEY_TRIES; i++) {
        lc_node owner;
        uint64_t high = Blackboard_Random(board);
        uint64_t low = Blackboard_Random(board);
        key = Key_Create(board->now.wall_ms, high, low);
        owner = View_Owner(Blackboard_View(board), &key);
        if (Node_Same(&owner, &board->config.self)) {
            break;
        }
    }
    return key;
}

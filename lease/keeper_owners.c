#include <string.h>

#include "lease/choice.h"
#include "lease/keeper_state.h"
#include "lease/run_id.h"

/* An owner silent for this long is regarded as failed. Entries claim its jobs
 * in turn, by the stagger below, so that usually only one does. */
#define OWNER_TIMEOUT_MS 2000
#define CLAIM_STAGGER_MS 400
/* Claims are made only if the log was read within this time. */
#define CLAIM_MAX_LOG_AGE_MS 1000
/* Time before a claim is put again. */
#define CLAIM_RETRY_MS 3000
/* All live companions have reported to an entry by this time after its start,
 * or after they were asked to. */
#define COMPANIONS_REPORTED_MS 2500
#define FETCH_HELD_INTERVAL_MS 1000
/* Limit on ends of unknown jobs that are remembered until the log is read,
 * about 0.1 s later in undisturbed operation; those beyond are fetched again.
 */
#define MAX_UNKNOWN_ENDS 1024
#define MAX_SEEN_OWNERS 256
/* An owner that has written nothing for this long puts a heartbeat record. */
#define OWNER_HEARTBEAT_MS 700
/* A companion silent for this long has no active runs. */
#define COMPANION_DEAD_MS 30000

static DurableJobs_Peer *
find_peer(const Keeper *keeper, Address address)
{
    guint i;

    for (i = 0; i < keeper->peers->len; i++) {
        DurableJobs_Peer *peer = &g_array_index(keeper->peers,
                                                DurableJobs_Peer, i);
        if (peer->address == address) {
            return peer;
        }
    }
    return NULL;
}

/* An entry that reports it cannot manage its jobs counts as silent at once. */
void
Keeper_OnPeer(Keeper *keeper, int64_t now_ms, Address address,
              uint64_t owner_incarnation)
{
    DurableJobs_Peer *peer = find_peer(keeper, address);
    DurableJobs_Peer fresh = {.address = address};

    if (peer == NULL) {
        g_array_append_val(keeper->peers, fresh);
        peer = &g_array_index(keeper->peers, DurableJobs_Peer,
                              keeper->peers->len - 1);
    }
    peer->heard_ms = owner_incarnation == 0 ? now_ms - OWNER_TIMEOUT_MS
                                            : now_ms;
    if (owner_incarnation != 0) {
        peer->owner_incarnation = owner_incarnation;
    }
}

Address
Keeper_SomePeer(const Keeper *keeper, int64_t now_ms)
{
    guint start = keeper->peers->len == 0
                      ? 0
                      : (guint)(now_ms % keeper->peers->len);
    guint i;

    for (i = 0; i < keeper->peers->len; i++) {
        const DurableJobs_Peer *peer = &g_array_index(
            keeper->peers, DurableJobs_Peer, (start + i) % keeper->peers->len);
        if (now_ms - peer->heard_ms < OWNER_TIMEOUT_MS) {
            return peer->address;
        }
    }
    return 0;
}

lc_node
DurableTakeover_PickSuccessor(const Keeper *keeper, int64_t now_ms)
{
    Address address = Keeper_SomePeer(keeper, now_ms);
    const DurableJobs_Peer *peer = find_peer(keeper, address);
    lc_node other = {0, 0};

    if (peer != NULL) {
        other.address = peer->address;
        other.incarnation = peer->owner_incarnation;
    }
    return other;
}

/* Number of live entries whose turn to claim an owner comes before this one's.
 */
static uint32_t
claim_rank(const Keeper *keeper, int64_t now_ms)
{
    uint32_t before = 0;
    guint i;

    for (i = 0; i < keeper->peers->len; i++) {
        const DurableJobs_Peer *peer = &g_array_index(keeper->peers,
                                                      DurableJobs_Peer, i);
        before += now_ms - peer->heard_ms < OWNER_TIMEOUT_MS &&
                  peer->address < keeper->node.address;
    }
    return before;
}

/* When an owner of open jobs was first seen in the log, or last wrote to it:
 * it may have changed its identity and not yet announced the new one. */
static int64_t
owner_seen_ms(Keeper *keeper, int64_t now_ms, const lc_node *owner)
{
    DurableJobs_SeenOwner fresh = {*owner, now_ms};
    guint i;

    for (i = 0; i < keeper->seen_owners->len; i++) {
        const DurableJobs_SeenOwner *row = &g_array_index(
            keeper->seen_owners, DurableJobs_SeenOwner, i);
        if (Msg_SameNode(&row->owner, owner)) {
            return row->since_ms;
        }
    }
    if (keeper->seen_owners->len >= MAX_SEEN_OWNERS) {
        g_array_remove_index(keeper->seen_owners, 0);
    }
    g_array_append_val(keeper->seen_owners, fresh);
    return now_ms;
}

/* Whether @p writer, from the key of a record, is @p node; some keys hold the
 * incarnation only. */
static bool
is_writer(const lc_node *node, const lc_node *writer)
{
    return node->incarnation == writer->incarnation &&
           (writer->address == 0 || node->address == writer->address);
}

void
DurableTakeover_OnOwnerRecord(Keeper *keeper, int64_t now_ms, lc_node writer)
{
    guint i;

    if (is_writer(&keeper->node, &writer)) {
        keeper->own_record_ms = now_ms;
        return;
    }
    for (i = 0; i < keeper->seen_owners->len; i++) {
        DurableJobs_SeenOwner *row = &g_array_index(keeper->seen_owners,
                                                    DurableJobs_SeenOwner, i);
        if (is_writer(&row->owner, &writer)) {
            row->since_ms = now_ms;
        }
    }
}

void
DurableTakeover_PutHeartbeat(Keeper *keeper, int64_t now_ms)
{
    lc_kept_record record = {.job = 0};
    char key[DURABLE_LOG_KEY_SIZE];

    if (g_hash_table_size(keeper->jobs) == 0 ||
        now_ms - MAX(keeper->own_record_ms, keeper->heartbeat_ms) <
            OWNER_HEARTBEAT_MS) {
        return;
    }
    keeper->heartbeat_ms = now_ms;
    record.body.kind = LC_KEPT_ALIVE;
    record.body.lc_kept_body_u.alive = keeper->node;
    DurableLog_HeartbeatKey(&keeper->node, key);
    DurableJobs_Put(keeper, key, &record);
}

static bool
may_be_claimed(Keeper *keeper, int64_t now_ms, const lc_node *owner)
{
    const DurableJobs_Peer *peer = find_peer(keeper, owner->address);
    int64_t heard_ms = owner_seen_ms(keeper, now_ms, owner);

    if (owner->address == keeper->node.address) {
        return true; /* an earlier identity at this address */
    }
    if (peer != NULL && peer->owner_incarnation == owner->incarnation) {
        heard_ms = MAX(heard_ms, peer->heard_ms);
    }
    return now_ms - heard_ms >=
           OWNER_TIMEOUT_MS +
               (int64_t)claim_rank(keeper, now_ms) * CLAIM_STAGGER_MS;
}

void
DurableTakeover_PutClaim(Keeper *keeper, int64_t now_ms, const lc_node *gone,
                         const lc_node *successor)
{
    lc_kept_record record = {.job = 0};
    lc_kept_claim *claim = &record.body.lc_kept_body_u.claim;
    char key[DURABLE_LOG_KEY_SIZE];

    record.body.kind = LC_KEPT_CLAIM;
    claim->gone = *gone;
    claim->successor = *successor;
    DurableLog_ClaimKey(gone, keeper->node, key);
    DurableJobs_Put(keeper, key, &record);
    g_array_append_val(keeper->claims, *gone);
    keeper->claimed_ms = now_ms;
}

void
DurableTakeover_ClaimSilentOwners(Keeper *keeper, int64_t now_ms)
{
    GPtrArray *open;
    guint i;

    if (now_ms - keeper->claimed_ms >= CLAIM_RETRY_MS) {
        g_array_set_size(keeper->claims, 0);
    }
    if (Keeper_Identity(keeper, now_ms) == 0 ||
        now_ms - keeper->log_read_ms > CLAIM_MAX_LOG_AGE_MS) {
        return; /* this entry itself may have been claimed */
    }
    open = DurableLog_OpenJobs(keeper->log);
    for (i = 0; i < open->len; i++) {
        lc_node owner = Kept_OwnerOf(keeper->log, g_ptr_array_index(open, i));
        if (!Msg_SameNode(&owner, &keeper->node) &&
            !Msg_HasNode(keeper->claims, &owner) &&
            may_be_claimed(keeper, now_ms, &owner)) {
            DurableTakeover_PutClaim(keeper, now_ms, &owner, &keeper->node);
        }
    }
    g_ptr_array_unref(open);
}

void
DurableTakeover_ClearRecovery(DurableJobs_Recovery *recovery)
{
    g_array_unref(recovery->fenced);
    g_array_unref(recovery->runs);
}

/* Another entry has claimed the jobs of this one. Their active runs continue
 * under the new owner; this entry continues under a new identity. */
static void
reset_identity(Keeper *keeper)
{
    keeper->ports->event(keeper->context, EVENT_KEPT_LOST,
                         "another entry has claimed the kept jobs of this "
                         "one");
    g_hash_table_remove_all(keeper->changed);
    g_hash_table_remove_all(keeper->jobs);
    keeper->node.incarnation++;
    Dispatcher_OwnKept(keeper->dispatcher, keeper->node.incarnation);
}

void
DurableTakeover_OnClaim(Keeper *keeper, int64_t now_ms, lc_node gone,
                        lc_node successor)
{
    DurableJobs_Recovery recovery = {.gone = gone, .claimed_ms = now_ms};

    if (Msg_SameNode(&gone, &keeper->node)) {
        reset_identity(keeper);
        return;
    }
    if (!Msg_SameNode(&successor, &keeper->node)) {
        return;
    }
    keeper->ports->event(keeper->context, EVENT_KEPT_CLAIMED,
                         Address_Text(gone.address));
    recovery.fenced = g_array_new(FALSE, TRUE, sizeof(lc_node));
    recovery.runs = g_array_new(FALSE, TRUE, sizeof(DurableJobs_FoundRun));
    g_array_append_val(keeper->recoveries, recovery);
    keeper->has_unstarted = true;
    DurableTakeover_AdvanceRecoveries(keeper, now_ms);
}

const DurableJobs_Recovery *
DurableTakeover_RecoveryOf(const Keeper *keeper, const DurableLog_Job *job)
{
    guint i;

    if (Msg_SameNode(&job->owner, &keeper->node)) {
        return NULL;
    }
    for (i = keeper->recoveries->len; i > 0; i--) {
        const DurableJobs_Recovery *recovery = &g_array_index(
            keeper->recoveries, DurableJobs_Recovery, i - 1);
        if (DurableLog_HasOwned(keeper->log, job, &recovery->gone)) {
            return recovery;
        }
    }
    return NULL;
}

void
DurableTakeover_SendFence(Keeper *keeper, lc_node host, lc_node gone)
{
    DurableJobs_Call *pending = g_new0(DurableJobs_Call, 1);
    Msg_Call call = {.kind = MSG_FENCE};
    GArray *predecessors;

    pending->kind = MSG_FENCE;
    pending->host = host;
    pending->gone = gone;
    predecessors = gone.incarnation == 0
                       ? g_array_new(FALSE, TRUE, sizeof(lc_node))
                       : DurableLog_Predecessors(keeper->log, &gone);
    call.u.fence.target = host.incarnation;
    call.u.fence.gone.gone_len = predecessors->len;
    call.u.fence.gone.gone_val = (lc_node *)(void *)predecessors->data;
    call.u.fence.successor = keeper->node;
    keeper->ports->call(keeper->context, host.address,
                        Handle_Add(keeper->calls, pending), &call);
    g_array_unref(predecessors);
}

static bool
is_fence_pending(const Keeper *keeper, const lc_node *host,
                 const lc_node *gone)
{
    uint32_t i;

    for (i = 0; i < Handle_Size(keeper->calls); i++) {
        const DurableJobs_Call *call = Handle_At(keeper->calls, i);
        if (call != NULL && call->kind == MSG_FENCE &&
            Msg_SameNode(&call->host, host) &&
            Msg_SameNode(&call->gone, gone)) {
            return true;
        }
    }
    return false;
}

/* Sends a FENCE to companions that have not answered; returns whether all
 * have. */
static bool
fence_companions(Keeper *keeper, int64_t now_ms,
                 const DurableJobs_Recovery *recovery)
{
    const Fleet *fleet = Dispatcher_Fleet(keeper->dispatcher);
    int64_t since_ms = MAX(keeper->started_ms, keeper->all_reports_since_ms);
    bool all = now_ms - since_ms >= COMPANIONS_REPORTED_MS;
    guint i;

    for (i = 0; i < fleet->hosts->len; i++) {
        const Fleet_Host *host = g_ptr_array_index(fleet->hosts, i);
        if (now_ms - host->received_ms > COMPANION_DEAD_MS ||
            Msg_HasNode(recovery->fenced, &host->node)) {
            continue;
        }
        all = false;
        if (Choice_IsHeard(host, now_ms) &&
            !is_fence_pending(keeper, &host->node, &recovery->gone)) {
            DurableTakeover_SendFence(keeper, host->node, recovery->gone);
        }
    }
    return all;
}

static void
start_recovered(Keeper *keeper, int64_t now_ms,
                const DurableJobs_Recovery *recovery)
{
    GPtrArray *open = DurableLog_OpenJobs(keeper->log);
    guint i;

    for (i = 0; i < open->len; i++) {
        DurableLog_Job *job = g_ptr_array_index(open, i);
        lc_node owner = Kept_OwnerOf(keeper->log, job);
        if (Msg_SameNode(&owner, &keeper->node) &&
            !g_hash_table_contains(keeper->jobs, &job->id) &&
            DurableTakeover_RecoveryOf(keeper, job) == recovery) {
            DurableOwned_Start(keeper, now_ms, job, recovery);
        }
    }
    g_ptr_array_unref(open);
}

void
DurableTakeover_AdvanceRecoveries(Keeper *keeper, int64_t now_ms)
{
    int64_t certain_ms = DURABLE_JOBS_LOG_TIMEOUT_MS +
                         keeper->config.resubmit_ms + TERM_KEPT_MS;
    guint i = 0;

    while (i < keeper->recoveries->len) {
        DurableJobs_Recovery *recovery = &g_array_index(
            keeper->recoveries, DurableJobs_Recovery, i);
        bool all_answered = fence_companions(keeper, now_ms, recovery) ||
                            now_ms - recovery->claimed_ms >= certain_ms;
        if (all_answered && recovery->answered_ms == 0) {
            recovery->answered_ms = now_ms;
        }
        /* The old owner released ends only once they were recorded, so a log
         * read after the answers has them. */
        if (!all_answered || keeper->log_read_ms <= recovery->answered_ms) {
            i++;
            continue;
        }
        start_recovered(keeper, now_ms, recovery);
        DurableTakeover_ClearRecovery(recovery);
        g_array_remove_index(keeper->recoveries, i);
        keeper->has_unstarted = true;
    }
}

static bool
is_end_recorded(const Keeper *keeper, const DurableLog_Job *kept,
                const lc_run_id *id)
{
    Status status = {ERR_OK, ""};
    LeasedJob job;
    uint32_t number;
    bool done;

    if (kept->outcome != LC_KEPT_OPEN) {
        return true;
    }
    if (kept->body == NULL ||
        keeper->ports->parse(keeper->context, kept->id, kept->body, &job,
                             &status) != ERR_OK) {
        return false;
    }
    number = LeasedJob_EndNumber(&job, id);
    done = number == DURABLE_JOBS_NO_TASK || Kept_IsDone(kept->done, number);
    LeasedJob_Clear(&job);
    return done;
}

static void
add_unknown_end(Keeper *keeper, int64_t now_ms, const DurableJobs_RunEnd *end)
{
    DurableJobs_UnknownEnd unknown = {.end = *end, .heard_ms = now_ms};
    guint i;

    for (i = 0; i < keeper->unknown_ends->len; i++) {
        const DurableJobs_RunEnd *known =
            &g_array_index(keeper->unknown_ends, DurableJobs_UnknownEnd, i)
                 .end;
        if (Msg_SameNode(&known->host, &end->host) &&
            RunId_Equal(&known->run, &end->run)) {
            return;
        }
    }
    if (keeper->unknown_ends->len < MAX_UNKNOWN_ENDS) {
        g_array_append_val(keeper->unknown_ends, unknown);
    }
}

void
DurableTakeover_OnLogRead(Keeper *keeper)
{
    guint i = 0;

    while (i < keeper->unknown_ends->len) {
        const DurableJobs_UnknownEnd *unknown = &g_array_index(
            keeper->unknown_ends, DurableJobs_UnknownEnd, i);
        if (unknown->heard_ms >= keeper->log_read_ms) {
            i++;
            continue;
        }
        if (DurableLog_Find(keeper->log, unknown->end.run.job) == NULL) {
            DurableOwned_QueueRelease(keeper, &unknown->end);
        }
        g_array_remove_index_fast(keeper->unknown_ends, i);
    }
    DurableOwned_SendReleases(keeper);
}

/* Releases ends that are no longer needed. A run starts only after its job was
 * written, so a log that is read after the end was reported has the job. */
static void
release_unneeded(Keeper *keeper, int64_t now_ms, lc_node host,
                 const lc_fence_res *result)
{
    u_int i;

    for (i = 0; i < result->runs.runs_len; i++) {
        const lc_held_run *run = &result->runs.runs_val[i];
        const DurableLog_Job *job = DurableLog_Find(keeper->log, run->id.job);
        DurableJobs_RunEnd end = {.host = host, .run = run->id};
        if (run->running) {
            continue;
        }
        if (job == NULL) {
            add_unknown_end(keeper, now_ms, &end);
        }
        else if (is_end_recorded(keeper, job, &run->id)) {
            DurableOwned_QueueRelease(keeper, &end);
        }
    }
}

void
DurableTakeover_OnFenceReply(Keeper *keeper, int64_t now_ms,
                             const DurableJobs_Call *call,
                             const lc_fence_res *result)
{
    guint i;
    u_int j;

    release_unneeded(keeper, now_ms, call->host, result);
    for (i = 0; i < keeper->recoveries->len; i++) {
        DurableJobs_Recovery *recovery = &g_array_index(
            keeper->recoveries, DurableJobs_Recovery, i);
        if (!Msg_SameNode(&recovery->gone, &call->gone) ||
            Msg_HasNode(recovery->fenced, &call->host)) {
            continue;
        }
        g_array_append_val(recovery->fenced, call->host);
        for (j = 0; j < result->runs.runs_len; j++) {
            DurableJobs_FoundRun found = {result->runs.runs_val[j],
                                          call->host};
            g_array_append_val(recovery->runs, found);
        }
    }
    DurableTakeover_AdvanceRecoveries(keeper, now_ms);
    DurableOwned_SendReleases(keeper);
}

/* The entry that should have released such ends has died, or its call was
 * lost. */
void
DurableTakeover_FetchHeldEnds(Keeper *keeper, int64_t now_ms)
{
    const Fleet *fleet = Dispatcher_Fleet(keeper->dispatcher);
    lc_node nobody = {0, 0};
    guint i;

    for (i = 0; i < fleet->hosts->len; i++) {
        Fleet_Host *host = g_ptr_array_index(fleet->hosts, i);
        if (host->held_long > 0 &&
            now_ms - host->held_asked_ms > FETCH_HELD_INTERVAL_MS &&
            Choice_IsHeard(host, now_ms)) {
            host->held_asked_ms = now_ms;
            DurableTakeover_SendFence(keeper, host->node, nobody);
        }
    }
}

void
Keeper_OnHost(Keeper *keeper, int64_t now_ms)
{
    DurableTakeover_AdvanceRecoveries(keeper, now_ms);
}

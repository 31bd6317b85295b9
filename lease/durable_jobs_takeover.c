#include <inttypes.h>
#include <string.h>

#include "lease/durable_jobs_state.h"
#include "lease/host_choice.h"
#include "lease/run_id.h"

/* An owner silent for this long is regarded as failed. Entries claim its jobs
 * in turn, by the stagger below, so that usually only one does. */
#define OWNER_TIMEOUT_MS 2000
#define CLAIM_STAGGER_MS 400
/* Claims are made only if the log was read within this time. */
#define CLAIM_MAX_LOG_AGE_MS 1000
/* All live companions have reported to an entry by this time after its start,
 * or after they were asked to. */
#define COMPANIONS_REPORTED_MS 2500
#define FETCH_HELD_INTERVAL_MS 1000
/* Limit on ends of unknown jobs that are remembered until the log is read,
 * about 0.1 s later in undisturbed operation; those beyond are fetched again.
 */
#define MAX_UNKNOWN_ENDS 1024
/* An owner that has written nothing for this long puts a heartbeat record. */
#define OWNER_HEARTBEAT_MS 700
/* An entry that has not looked for this long, as it stood still, has missed
 * reports. */
#define REPORTS_GAP_MS 1000
/* Open jobs without a live owner are logged after this long. */
#define UNOWNED_LOG_MS 10000
/* A companion silent for this long has no active runs. */
#define COMPANION_DEAD_MS 30000

static DurableJobs_Peer *
find_peer(const DurableJobs *self, Address address)
{
    guint i;

    for (i = 0; i < self->peers->len; i++) {
        DurableJobs_Peer *peer = &g_array_index(self->peers, DurableJobs_Peer,
                                                i);
        if (peer->address == address) {
            return peer;
        }
    }
    return NULL;
}

/* An entry that reports it cannot manage its jobs counts as silent at once. */
void
DurableJobs_OnPeer(DurableJobs *self, int64_t now_ms, Address address,
                   uint64_t owner_incarnation)
{
    DurableJobs_Peer *peer = find_peer(self, address);
    DurableJobs_Peer fresh = {.address = address};

    if (peer == NULL) {
        g_array_append_val(self->peers, fresh);
        peer = &g_array_index(self->peers, DurableJobs_Peer,
                              self->peers->len - 1);
    }
    peer->heard_ms = owner_incarnation == 0 ? now_ms - OWNER_TIMEOUT_MS
                                            : now_ms;
    if (owner_incarnation != 0) {
        peer->owner_incarnation = owner_incarnation;
    }
}

Address
DurableJobs_LivePeer(const DurableJobs *self, int64_t now_ms)
{
    guint start = self->peers->len == 0 ? 0
                                        : (guint)(now_ms % self->peers->len);
    guint i;

    for (i = 0; i < self->peers->len; i++) {
        const DurableJobs_Peer *peer = &g_array_index(
            self->peers, DurableJobs_Peer, (start + i) % self->peers->len);
        if (now_ms - peer->heard_ms < OWNER_TIMEOUT_MS) {
            return peer->address;
        }
    }
    return 0;
}

lc_node
DurableTakeover_PickSuccessor(const DurableJobs *self, int64_t now_ms)
{
    Address address = DurableJobs_LivePeer(self, now_ms);
    const DurableJobs_Peer *peer = find_peer(self, address);
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
claim_rank(const DurableJobs *self, int64_t now_ms)
{
    uint32_t before = 0;
    guint i;

    for (i = 0; i < self->peers->len; i++) {
        const DurableJobs_Peer *peer = &g_array_index(self->peers,
                                                      DurableJobs_Peer, i);
        before += now_ms - peer->heard_ms < OWNER_TIMEOUT_MS &&
                  peer->address < self->node.address;
    }
    return before;
}

/* When an owner of open jobs was first seen in the log, or last wrote to it:
 * it may have changed its identity and not yet announced the new one. */
static int64_t
owner_seen_ms(DurableJobs *self, int64_t now_ms, const lc_node *owner)
{
    DurableJobs_SeenOwner *row = g_hash_table_lookup(self->seen_owners, owner);

    if (row == NULL) {
        row = g_new0(DurableJobs_SeenOwner, 1);
        row->owner = *owner;
        row->since_ms = now_ms;
        g_hash_table_insert(self->seen_owners, &row->owner, row);
    }
    row->looked_up_ms = now_ms;
    return row->since_ms;
}

/* Forgets owners that had no open job in the last look at all of them. */
static void
forget_owners(DurableJobs *self, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, self->seen_owners);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        if (((const DurableJobs_SeenOwner *)item)->looked_up_ms != now_ms) {
            g_hash_table_iter_remove(&iter);
        }
    }
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
DurableTakeover_OnOwnerRecord(DurableJobs *self, int64_t now_ms,
                              lc_node writer)
{
    DurableJobs_SeenOwner *row;
    GHashTableIter iter;
    gpointer item;

    if (is_writer(&self->node, &writer)) {
        self->own_record_ms = now_ms;
        return;
    }
    if (writer.address != 0) {
        row = g_hash_table_lookup(self->seen_owners, &writer);
        if (row != NULL) {
            row->since_ms = now_ms;
        }
        return;
    }
    g_hash_table_iter_init(&iter, self->seen_owners);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        row = item;
        if (is_writer(&row->owner, &writer)) {
            row->since_ms = now_ms;
        }
    }
}

void
DurableTakeover_PutHeartbeat(DurableJobs *self, int64_t now_ms)
{
    lc_kept_record record = {.job = 0};
    char key[DURABLE_LOG_KEY_SIZE];

    if (g_hash_table_size(self->jobs) == 0 ||
        now_ms - MAX(self->own_record_ms, self->heartbeat_ms) <
            OWNER_HEARTBEAT_MS) {
        return;
    }
    self->heartbeat_ms = now_ms;
    record.body.kind = LC_KEPT_ALIVE;
    record.body.lc_kept_body_u.alive = self->node;
    DurableLog_HeartbeatKey(&self->node, key);
    DurableJobs_Put(self, key, &record);
}

/* When an owner last gave a sign of life, in the log or by a message. */
static int64_t
owner_heard_ms(DurableJobs *self, int64_t now_ms, const lc_node *owner)
{
    const DurableJobs_Peer *peer = find_peer(self, owner->address);
    int64_t heard_ms = owner_seen_ms(self, now_ms, owner);

    if (Msg_SameNode(owner, &self->node)) {
        return now_ms;
    }
    if (peer != NULL && peer->owner_incarnation == owner->incarnation) {
        heard_ms = MAX(heard_ms, peer->heard_ms);
    }
    return heard_ms;
}

static bool
may_be_claimed(const DurableJobs *self, int64_t now_ms, const lc_node *owner,
               int64_t heard_ms)
{
    if (owner->address == self->node.address) {
        return true; /* an earlier identity at this address */
    }
    return now_ms - heard_ms >=
           OWNER_TIMEOUT_MS +
               (int64_t)claim_rank(self, now_ms) * CLAIM_STAGGER_MS;
}

static void
count_unowned(DurableJobs *self, int64_t now_ms, int64_t heard_ms)
{
    if (now_ms - heard_ms >= OWNER_TIMEOUT_MS) {
        self->unowned++;
        self->unowned_since_ms = MIN(self->unowned_since_ms, heard_ms);
    }
}

/* A takeover in undisturbed operation is over long before. */
static void
log_unowned(DurableJobs *self, int64_t now_ms)
{
    bool lasts = self->unowned > 0 &&
                 now_ms - self->unowned_since_ms >= UNOWNED_LOG_MS;
    char detail[80];

    if (lasts == self->logged_unowned) {
        return;
    }
    self->logged_unowned = lasts;
    g_snprintf(detail, sizeof(detail),
               lasts ? "%u jobs, for %" PRId64 " ms" : "none any more",
               self->unowned, now_ms - self->unowned_since_ms);
    self->ports->event(self->context, EVENT_KEPT_UNOWNED, detail);
}

void
DurableTakeover_PutClaim(DurableJobs *self, const lc_node *claimed_owner,
                         const lc_node *successor)
{
    lc_kept_record record = {.job = 0};
    lc_kept_claim *claim = &record.body.lc_kept_body_u.claim;
    char key[DURABLE_LOG_KEY_SIZE];

    if (Msg_HasNode(self->claims, claimed_owner)) {
        return;
    }
    record.body.kind = LC_KEPT_CLAIM;
    claim->gone = *claimed_owner;
    claim->successor = *successor;
    DurableLog_ClaimKey(claimed_owner, self->node, key);
    DurableJobs_Put(self, key, &record);
    g_array_append_val(self->claims, *claimed_owner);
}

void
DurableTakeover_ClaimSilentOwners(DurableJobs *self, int64_t now_ms)
{
    GPtrArray *open = DurableLog_OpenJobs(self->log);
    /* Otherwise this entry itself may have been claimed. */
    bool may_claim = DurableJobs_OwnerIncarnation(self, now_ms) != 0 &&
                     now_ms - self->log_read_ms <= CLAIM_MAX_LOG_AGE_MS;
    guint i;

    self->unowned = 0;
    self->unowned_since_ms = now_ms;
    for (i = 0; i < open->len; i++) {
        lc_node owner = DurableLog_OwnerOf(self->log,
                                           g_ptr_array_index(open, i));
        int64_t heard_ms = owner_heard_ms(self, now_ms, &owner);
        count_unowned(self, now_ms, heard_ms);
        if (may_claim && !Msg_SameNode(&owner, &self->node) &&
            may_be_claimed(self, now_ms, &owner, heard_ms)) {
            DurableTakeover_PutClaim(self, &owner, &self->node);
        }
    }
    forget_owners(self, now_ms);
    log_unowned(self, now_ms);
    g_ptr_array_unref(open);
}

void
DurableTakeover_ClearRecovery(DurableJobs_Recovery *recovery)
{
    g_array_unref(recovery->predecessors);
    g_array_unref(recovery->fenced);
    g_array_unref(recovery->runs);
    g_array_unref(recovery->late_starts);
}

static void
clear_recoveries(DurableJobs *self)
{
    guint i;

    for (i = 0; i < self->recoveries->len; i++) {
        DurableTakeover_ClearRecovery(
            &g_array_index(self->recoveries, DurableJobs_Recovery, i));
    }
    g_array_set_size(self->recoveries, 0);
}

/* Another entry has claimed the jobs of this one, with those whose takeover is
 * not complete: it asks for their runs too. Their active runs continue
 * under the new owner; this entry continues under a new identity. */
static void
reset_identity(DurableJobs *self)
{
    self->ports->event(self->context, EVENT_KEPT_LOST,
                       "another entry has claimed the durable jobs of this "
                       "one");
    g_hash_table_remove_all(self->changed);
    g_hash_table_remove_all(self->jobs);
    g_array_set_size(self->claims, 0);
    g_array_set_size(self->taken_over, 0);
    clear_recoveries(self);
    self->node.incarnation++;
    Dispatcher_SetDurableOwner(self->dispatcher, self->node.incarnation);
}

static void
begin_recovery(DurableJobs *self, int64_t now_ms, lc_node claimed_owner)
{
    DurableJobs_Recovery recovery = {.claimed_owner = claimed_owner,
                                     .claimed_ms = now_ms};

    if (Msg_HasNode(self->taken_over, &claimed_owner)) {
        return;
    }
    g_array_append_val(self->taken_over, claimed_owner);
    self->ports->event(self->context, EVENT_KEPT_CLAIMED,
                       Address_Text(claimed_owner.address));
    recovery.predecessors = Claims_Predecessors(DurableLog_Claims(self->log),
                                                &claimed_owner);
    recovery.fenced = g_array_new(FALSE, TRUE, sizeof(lc_node));
    recovery.runs = g_array_new(FALSE, TRUE, sizeof(DurableJobs_FoundRun));
    recovery.late_starts = g_array_new(FALSE, TRUE, sizeof(LateStart));
    g_array_append_val(self->recoveries, recovery);
    self->has_unstarted = true;
}

void
DurableTakeover_OnClaim(DurableJobs *self, int64_t now_ms,
                        lc_node claimed_owner, lc_node successor)
{
    if (Msg_SameNode(&claimed_owner, &self->node)) {
        reset_identity(self);
        return;
    }
    if (!Msg_SameNode(&successor, &self->node)) {
        return;
    }
    begin_recovery(self, now_ms, claimed_owner);
    DurableTakeover_AdvanceRecoveries(self, now_ms);
}

void
DurableTakeover_OnAllClaims(DurableJobs *self, int64_t now_ms)
{
    Claims *claims = DurableLog_Claims(self->log);
    GArray *claimed;
    guint i;

    if (Claims_SuccessorOf(claims, &self->node).incarnation != 0) {
        reset_identity(self);
        return;
    }
    claimed = Claims_ClaimedBy(claims, &self->node);
    for (i = 0; i < claimed->len; i++) {
        begin_recovery(self, now_ms, g_array_index(claimed, lc_node, i));
    }
    g_array_unref(claimed);
}

static DurableJobs_Recovery *
find_recovery(const DurableJobs *self, const lc_node *claimed_owner)
{
    guint i;

    for (i = 0; i < self->recoveries->len; i++) {
        DurableJobs_Recovery *recovery = &g_array_index(
            self->recoveries, DurableJobs_Recovery, i);
        if (Msg_SameNode(&recovery->claimed_owner, claimed_owner)) {
            return recovery;
        }
    }
    return NULL;
}

const DurableJobs_Recovery *
DurableTakeover_RecoveryOf(const DurableJobs *self, const DurableLog_Job *job)
{
    Claims_Ownership ownership = DurableLog_Ownership(self->log, job);

    return ownership.claims_count == 0
               ? NULL
               : find_recovery(self, &ownership.predecessor);
}

/* Names the predecessors from @p first on, as many as one call can. */
static void
send_fence(DurableJobs *self, lc_node host,
           const DurableJobs_Recovery *recovery, guint first)
{
    DurableJobs_Call *pending = g_new0(DurableJobs_Call, 1);
    Msg_Call call = {.kind = MSG_FENCE};
    guint count = MIN(recovery->predecessors->len - first, LC_MAX_PEERS);

    pending->kind = MSG_FENCE;
    pending->host = host;
    pending->claimed_owner = recovery->claimed_owner;
    pending->next_predecessor = first + count;
    call.u.fence.target = host.incarnation;
    call.u.fence.gone.gone_len = count;
    call.u.fence.gone.gone_val = &g_array_index(recovery->predecessors,
                                                lc_node, first);
    call.u.fence.successor = self->node;
    self->ports->call(self->context, host.address,
                      Handle_Add(self->calls, pending), &call);
}

/* Asks a companion for all ends that it holds. */
static void
query_held_ends(DurableJobs *self, lc_node host)
{
    DurableJobs_Call *pending = g_new0(DurableJobs_Call, 1);
    Msg_Call call = {.kind = MSG_FENCE};

    pending->kind = MSG_FENCE;
    pending->host = host;
    call.u.fence.target = host.incarnation;
    call.u.fence.successor = self->node;
    self->ports->call(self->context, host.address,
                      Handle_Add(self->calls, pending), &call);
}

static bool
is_fence_pending(const DurableJobs *self, const lc_node *host,
                 const lc_node *claimed_owner)
{
    uint32_t i;

    for (i = 0; i < Handle_RowCount(self->calls); i++) {
        const DurableJobs_Call *call = Handle_ItemAt(self->calls, i);
        if (call != NULL && call->kind == MSG_FENCE &&
            Msg_SameNode(&call->host, host) &&
            Msg_SameNode(&call->claimed_owner, claimed_owner)) {
            return true;
        }
    }
    return false;
}

static bool
hears_companions(const DurableJobs *self, int64_t now_ms)
{
    const Fleet *fleet = Dispatcher_Fleet(self->dispatcher);
    guint i;

    for (i = 0; i < fleet->hosts->len; i++) {
        if (HostChoice_IsLive(g_ptr_array_index(fleet->hosts, i), now_ms)) {
            return true;
        }
    }
    return false;
}

static void
update_reports_since(DurableJobs *self, int64_t now_ms)
{
    bool missed = now_ms - self->reports_checked_ms > REPORTS_GAP_MS;

    self->reports_checked_ms = now_ms;
    if (missed || !hears_companions(self, now_ms)) {
        self->reports_since_ms = 0;
    }
    else if (self->reports_since_ms == 0) {
        self->reports_since_ms = now_ms;
    }
}

/* Whether every live companion has reported to this entry. One that hears no
 * companion, as it has just started or is cut off, does not know which of them
 * have runs of a gone owner. */
static bool
knows_companions(const DurableJobs *self, int64_t now_ms)
{
    int64_t since_ms = MAX(MAX(self->started_ms, self->all_reports_since_ms),
                           self->reports_since_ms);

    return self->reports_since_ms != 0 &&
           now_ms - since_ms >= COMPANIONS_REPORTED_MS;
}

/* Sends a FENCE to companions that have not answered; returns whether all
 * have. */
static bool
fence_companions(DurableJobs *self, int64_t now_ms,
                 const DurableJobs_Recovery *recovery)
{
    const Fleet *fleet = Dispatcher_Fleet(self->dispatcher);
    bool all = true;
    guint i;

    for (i = 0; i < fleet->hosts->len; i++) {
        const Fleet_Host *host = g_ptr_array_index(fleet->hosts, i);
        if (now_ms - host->received_ms > COMPANION_DEAD_MS ||
            Msg_HasNode(recovery->fenced, &host->node)) {
            continue;
        }
        all = false;
        if (HostChoice_IsLive(host, now_ms) &&
            !is_fence_pending(self, &host->node, &recovery->claimed_owner)) {
            send_fence(self, host->node, recovery, 0);
        }
    }
    return all;
}

/* Later successors need not ask for the runs of this owner and those before it
 * any more. */
static void
put_complete(DurableJobs *self, const lc_node *claimed_owner)
{
    lc_kept_record record = {.job = 0};
    char key[DURABLE_LOG_KEY_SIZE];

    record.body.kind = LC_KEPT_COMPLETE;
    record.body.lc_kept_body_u.complete = *claimed_owner;
    DurableLog_CompleteKey(claimed_owner, self->node, key);
    DurableJobs_Put(self, key, &record);
}

static void
start_recovered(DurableJobs *self, int64_t now_ms,
                const DurableJobs_Recovery *recovery)
{
    GPtrArray *open = DurableLog_OpenJobs(self->log);
    guint i;

    for (i = 0; i < open->len; i++) {
        DurableLog_Job *job = g_ptr_array_index(open, i);
        lc_node owner = DurableLog_OwnerOf(self->log, job);
        if (Msg_SameNode(&owner, &self->node) &&
            !g_hash_table_contains(self->jobs, &job->id) &&
            DurableTakeover_RecoveryOf(self, job) == recovery) {
            DurableOwned_Start(self, now_ms, job, recovery);
        }
    }
    g_ptr_array_unref(open);
}

void
DurableTakeover_AdvanceRecoveries(DurableJobs *self, int64_t now_ms)
{
    int64_t certain_ms = DURABLE_JOBS_LOG_TIMEOUT_MS +
                         self->config.resubmit_ms +
                         LEASE_TIMING_DURABLE_GRACE_MS;
    bool all_known;
    guint i = 0;

    update_reports_since(self, now_ms);
    all_known = knows_companions(self, now_ms);
    while (i < self->recoveries->len) {
        DurableJobs_Recovery *recovery = &g_array_index(
            self->recoveries, DurableJobs_Recovery, i);
        bool all_answered = fence_companions(self, now_ms, recovery) ||
                            now_ms - recovery->claimed_ms >= certain_ms;
        all_answered = all_answered && all_known;
        if (!all_answered) {
            recovery->answered_ms = 0;
        }
        else if (recovery->answered_ms == 0) {
            recovery->answered_ms = now_ms;
        }
        /* The old owner released ends only once they were recorded, so a log
         * read after the answers has them. */
        if (!all_answered || self->log_read_ms <= recovery->answered_ms) {
            i++;
            continue;
        }
        start_recovered(self, now_ms, recovery);
        put_complete(self, &recovery->claimed_owner);
        DurableTakeover_ClearRecovery(recovery);
        g_array_remove_index(self->recoveries, i);
        self->has_unstarted = true;
    }
}

/* Sets the number of the task whose end is recorded for a run; false if the
 * job cannot be read. */
static bool
find_end_number(const DurableJobs *self, const DurableLog_Job *durable,
                const lc_run_id *id, uint32_t *number)
{
    Status status = {ERR_OK, ""};
    LeasedJob job;

    if (durable->body == NULL ||
        self->ports->parse(self->context, durable->id, durable->body, &job,
                           &status) != ERR_OK) {
        return false;
    }
    *number = LeasedJob_RecordedEndNumber(&job, id);
    LeasedJob_Clear(&job);
    return true;
}

/* Handles an end that a companion holds: an end that is recorded, or need not
 * be, is released. One that is not, of a job of this entry, is recorded. */
static void
settle_held_end(DurableJobs *self, int64_t now_ms,
                const DurableLog_Job *durable, const DurableJobs_RunEnd *end,
                bool done)
{
    uint32_t number = DURABLE_JOBS_NO_TASK;

    if (durable->outcome != LC_KEPT_OPEN) {
        DurableOwned_QueueRelease(self, end);
        return;
    }
    if (!find_end_number(self, durable, &end->run, &number)) {
        return;
    }
    if (number == DURABLE_JOBS_NO_TASK ||
        DurableLog_IsDone(durable->done, number)) {
        DurableOwned_QueueRelease(self, end);
    }
    else {
        DurableOwned_RecordHeldEnd(self, now_ms, end, number, done);
    }
}

static void
add_unknown_end(DurableJobs *self, int64_t now_ms,
                const DurableJobs_RunEnd *end)
{
    DurableJobs_UnknownEnd unknown = {.end = *end, .heard_ms = now_ms};
    guint i;

    for (i = 0; i < self->unknown_ends->len; i++) {
        const DurableJobs_RunEnd *known =
            &g_array_index(self->unknown_ends, DurableJobs_UnknownEnd, i).end;
        if (Msg_SameNode(&known->host, &end->host) &&
            RunId_Equal(&known->run, &end->run)) {
            return;
        }
    }
    if (self->unknown_ends->len < MAX_UNKNOWN_ENDS) {
        g_array_append_val(self->unknown_ends, unknown);
    }
}

void
DurableTakeover_OnLogRead(DurableJobs *self)
{
    guint i = 0;

    while (i < self->unknown_ends->len) {
        const DurableJobs_UnknownEnd *unknown = &g_array_index(
            self->unknown_ends, DurableJobs_UnknownEnd, i);
        if (unknown->heard_ms >= self->log_read_ms) {
            i++;
            continue;
        }
        if (DurableLog_Find(self->log, unknown->end.run.job) == NULL) {
            DurableOwned_QueueRelease(self, &unknown->end);
        }
        g_array_remove_index_fast(self->unknown_ends, i);
    }
    DurableOwned_SendReleases(self);
}

/* Settles the ends that a companion holds. A run starts only after its job was
 * written, so a log that is read after the end was reported has the job. */
static void
settle_held_ends(DurableJobs *self, int64_t now_ms, lc_node host,
                 const lc_fence_res *result)
{
    u_int i;

    for (i = 0; i < result->runs.runs_len; i++) {
        const lc_held_run *run = &result->runs.runs_val[i];
        const DurableLog_Job *job = DurableLog_Find(self->log, run->id.job);
        DurableJobs_RunEnd end = {.host = host, .run = run->id};
        if (run->running) {
            continue;
        }
        if (job == NULL) {
            add_unknown_end(self, now_ms, &end);
        }
        else {
            settle_held_end(self, now_ms, job, &end,
                            run->status == LC_RUN_DONE);
        }
    }
}

/* Each answer of a companion tells all that its earlier ones did. */
static void
forget_found_runs(DurableJobs_Recovery *recovery, const lc_node *host)
{
    guint i = recovery->runs->len;

    while (i-- > 0) {
        if (Msg_SameNode(
                &g_array_index(recovery->runs, DurableJobs_FoundRun, i).host,
                host)) {
            g_array_remove_index_fast(recovery->runs, i);
        }
    }
    for (i = recovery->late_starts->len; i-- > 0;) {
        if (Msg_SameNode(
                &g_array_index(recovery->late_starts, LateStart, i).companion,
                host)) {
            g_array_remove_index_fast(recovery->late_starts, i);
        }
    }
}

static void
add_found_runs(DurableJobs_Recovery *recovery, int64_t now_ms, lc_node host,
               const lc_fence_res *result)
{
    u_int i;

    forget_found_runs(recovery, &host);
    for (i = 0; i < result->runs.runs_len; i++) {
        DurableJobs_FoundRun found = {result->runs.runs_val[i], host};
        g_array_append_val(recovery->runs, found);
    }
    for (i = 0; i < result->late_starts.late_starts_len; i++) {
        const lc_late_start *row = &result->late_starts.late_starts_val[i];
        LateStart late = {.id = row->id,
                          .companion = host,
                          .until_ms = now_ms + row->late_start_ms};
        g_array_append_val(recovery->late_starts, late);
    }
}

void
DurableTakeover_OnFenceReply(DurableJobs *self, int64_t now_ms,
                             const DurableJobs_Call *call,
                             const lc_fence_res *result)
{
    DurableJobs_Recovery *recovery = find_recovery(self, &call->claimed_owner);

    settle_held_ends(self, now_ms, call->host, result);
    if (recovery != NULL && !Msg_HasNode(recovery->fenced, &call->host)) {
        add_found_runs(recovery, now_ms, call->host, result);
        if (call->next_predecessor < recovery->predecessors->len) {
            send_fence(self, call->host, recovery, call->next_predecessor);
        }
        else {
            g_array_append_val(recovery->fenced, call->host);
        }
    }
    DurableTakeover_AdvanceRecoveries(self, now_ms);
    DurableOwned_SendReleases(self);
}

/* The entry that should have released such ends has died, or its call was
 * lost. */
void
DurableTakeover_FetchHeldEnds(DurableJobs *self, int64_t now_ms)
{
    const Fleet *fleet = Dispatcher_Fleet(self->dispatcher);
    guint i;

    for (i = 0; i < fleet->hosts->len; i++) {
        Fleet_Host *host = g_ptr_array_index(fleet->hosts, i);
        if (host->held_long > 0 &&
            now_ms - host->held_queried_ms > FETCH_HELD_INTERVAL_MS &&
            HostChoice_IsLive(host, now_ms)) {
            host->held_queried_ms = now_ms;
            query_held_ends(self, host->node);
        }
    }
}

void
DurableJobs_OnHost(DurableJobs *self, int64_t now_ms)
{
    DurableTakeover_AdvanceRecoveries(self, now_ms);
}

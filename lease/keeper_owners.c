#include <string.h>

#include "lease/choice.h"
#include "lease/keeper_state.h"
#include "lease/run_id.h"

/* An owner that nobody has heard of for so long is taken as gone; entries
 * claim it one after the other, so that mostly one does. */
#define SILENT_MS 2000
#define TURN_MS 400
/* Claims are made on fresh word of the log only. */
#define FRESH_MS 1000
/* A claim that was put is not put again for so long. */
#define CLAIM_AGAIN_MS 3000
/* Companions have reported to an entry by this time after its start. */
#define GATHERED_MS 2500
#define ASK_HELD_MS 1000
/* Ends of unknown jobs that are remembered until the log was read, which is
 * after a tenth of a second on calm days; those beyond are asked for again. */
#define MOST_DOUBTS 1024
#define MOST_SEEN 256
/* An owner that wrote nothing for so long says that it lives. */
#define ALIVE_MS 700
/* A companion silent for so long has nothing that runs. */
#define FORGOTTEN_MS 30000

static Keeper_Peer *
find_peer(const Keeper *keeper, Address address)
{
    guint i;

    for (i = 0; i < keeper->peers->len; i++) {
        Keeper_Peer *peer = &g_array_index(keeper->peers, Keeper_Peer, i);
        if (peer->address == address) {
            return peer;
        }
    }
    return NULL;
}

/* One that says it cannot look after its jobs counts as silent at once. */
void
Keeper_OnPeer(Keeper *keeper, int64_t now_ms, Address address, uint64_t kept)
{
    Keeper_Peer *peer = find_peer(keeper, address);
    Keeper_Peer fresh = {.address = address};

    if (peer == NULL) {
        g_array_append_val(keeper->peers, fresh);
        peer = &g_array_index(keeper->peers, Keeper_Peer,
                              keeper->peers->len - 1);
    }
    peer->heard_ms = kept == 0 ? now_ms - SILENT_MS : now_ms;
    if (kept != 0) {
        peer->kept = kept;
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
        const Keeper_Peer *peer = &g_array_index(
            keeper->peers, Keeper_Peer, (start + i) % keeper->peers->len);
        if (now_ms - peer->heard_ms < SILENT_MS) {
            return peer->address;
        }
    }
    return 0;
}

lc_node
KeeperOwner_Other(const Keeper *keeper, int64_t now_ms)
{
    Address address = Keeper_SomePeer(keeper, now_ms);
    const Keeper_Peer *peer = find_peer(keeper, address);
    lc_node other = {0, 0};

    if (peer != NULL) {
        other.address = peer->address;
        other.incarnation = peer->kept;
    }
    return other;
}

/* How many live entries come before this one when an owner is claimed. */
static uint32_t
turn_of(const Keeper *keeper, int64_t now_ms)
{
    uint32_t before = 0;
    guint i;

    for (i = 0; i < keeper->peers->len; i++) {
        const Keeper_Peer *peer = &g_array_index(keeper->peers, Keeper_Peer,
                                                 i);
        before += now_ms - peer->heard_ms < SILENT_MS &&
                  peer->address < keeper->node.address;
    }
    return before;
}

/* When an owner first showed in the log as one that is not over: it may have
 * changed its identity, and had no time to say so. */
static int64_t
seen_ms(Keeper *keeper, int64_t now_ms, const lc_node *owner)
{
    Keeper_Seen fresh = {*owner, now_ms};
    guint i;

    for (i = 0; i < keeper->seen->len; i++) {
        const Keeper_Seen *row = &g_array_index(keeper->seen, Keeper_Seen, i);
        if (Msg_SameNode(&row->owner, owner)) {
            return row->since_ms;
        }
    }
    if (keeper->seen->len >= MOST_SEEN) {
        g_array_remove_index(keeper->seen, 0);
    }
    g_array_append_val(keeper->seen, fresh);
    return now_ms;
}

/* Whether a record's key names a node; some name its incarnation alone. */
static bool
is_writer(const lc_node *node, const lc_node *writer)
{
    return node->incarnation == writer->incarnation &&
           (writer->address == 0 || node->address == writer->address);
}

void
KeeperOwner_Wrote(Keeper *keeper, int64_t now_ms, lc_node writer)
{
    guint i;

    if (is_writer(&keeper->node, &writer)) {
        keeper->wrote_ms = now_ms;
        return;
    }
    for (i = 0; i < keeper->seen->len; i++) {
        Keeper_Seen *row = &g_array_index(keeper->seen, Keeper_Seen, i);
        if (is_writer(&row->owner, &writer)) {
            row->since_ms = now_ms;
        }
    }
}

void
KeeperOwner_SayAlive(Keeper *keeper, int64_t now_ms)
{
    lc_kept_record record = {.job = 0};
    char key[KEPT_KEY_SIZE];

    if (g_hash_table_size(keeper->jobs) == 0 ||
        now_ms - MAX(keeper->wrote_ms, keeper->alive_ms) < ALIVE_MS) {
        return;
    }
    keeper->alive_ms = now_ms;
    record.body.kind = LC_KEPT_ALIVE;
    record.body.lc_kept_body_u.alive = keeper->node;
    Kept_AliveKey(&keeper->node, key);
    Keeper_Put(keeper, key, &record);
}

static bool
is_due(Keeper *keeper, int64_t now_ms, const lc_node *owner)
{
    const Keeper_Peer *peer = find_peer(keeper, owner->address);
    int64_t heard_ms = seen_ms(keeper, now_ms, owner);

    if (owner->address == keeper->node.address) {
        return true; /* an earlier life of this process */
    }
    if (peer != NULL && peer->kept == owner->incarnation) {
        heard_ms = MAX(heard_ms, peer->heard_ms);
    }
    return now_ms - heard_ms >=
           SILENT_MS + (int64_t)turn_of(keeper, now_ms) * TURN_MS;
}

void
KeeperOwner_PutClaim(Keeper *keeper, int64_t now_ms, const lc_node *gone,
                     const lc_node *successor)
{
    lc_kept_record record = {.job = 0};
    lc_kept_claim *claim = &record.body.lc_kept_body_u.claim;
    char key[KEPT_KEY_SIZE];

    record.body.kind = LC_KEPT_CLAIM;
    claim->gone = *gone;
    claim->successor = *successor;
    Kept_ClaimKey(gone, keeper->node, key);
    Keeper_Put(keeper, key, &record);
    g_array_append_val(keeper->claims, *gone);
    keeper->claimed_ms = now_ms;
}

void
KeeperOwner_Watch(Keeper *keeper, int64_t now_ms)
{
    GPtrArray *open;
    guint i;

    if (now_ms - keeper->claimed_ms >= CLAIM_AGAIN_MS) {
        g_array_set_size(keeper->claims, 0);
    }
    if (Keeper_Identity(keeper, now_ms) == 0 ||
        now_ms - keeper->contact_ms > FRESH_MS) {
        return; /* the log may tell that we are gone ourselves */
    }
    open = Kept_Open(keeper->kept);
    for (i = 0; i < open->len; i++) {
        lc_node owner = Kept_OwnerOf(keeper->kept, g_ptr_array_index(open, i));
        if (!Msg_SameNode(&owner, &keeper->node) &&
            !Msg_HasNode(keeper->claims, &owner) &&
            is_due(keeper, now_ms, &owner)) {
            KeeperOwner_PutClaim(keeper, now_ms, &owner, &keeper->node);
        }
    }
    g_ptr_array_unref(open);
}

void
KeeperOwner_ClearRecovery(Keeper_Recovery *recovery)
{
    g_array_unref(recovery->fenced);
    g_array_unref(recovery->runs);
}

/* Another entry has taken our jobs over. What runs of them goes on for it; we
 * go on under a new identity. */
static void
lose_identity(Keeper *keeper)
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
KeeperOwner_Claimed(Keeper *keeper, int64_t now_ms, lc_node gone,
                    lc_node successor)
{
    Keeper_Recovery recovery = {.gone = gone, .claimed_ms = now_ms};

    if (Msg_SameNode(&gone, &keeper->node)) {
        lose_identity(keeper);
        return;
    }
    if (!Msg_SameNode(&successor, &keeper->node)) {
        return;
    }
    keeper->ports->event(keeper->context, EVENT_KEPT_CLAIMED,
                         Address_Text(gone.address));
    recovery.fenced = g_array_new(FALSE, TRUE, sizeof(lc_node));
    recovery.runs = g_array_new(FALSE, TRUE, sizeof(Keeper_Found));
    g_array_append_val(keeper->recoveries, recovery);
    keeper->unstarted = true;
    KeeperOwner_Recover(keeper, now_ms);
}

/* The recovery of the last claim that made a job ours, or NULL. */
const Keeper_Recovery *
KeeperOwner_RecoveryOf(const Keeper *keeper, const Kept_Job *job)
{
    guint i;

    if (Msg_SameNode(&job->owner, &keeper->node)) {
        return NULL;
    }
    for (i = keeper->recoveries->len; i > 0; i--) {
        const Keeper_Recovery *recovery = &g_array_index(
            keeper->recoveries, Keeper_Recovery, i - 1);
        if (Kept_Passed(keeper->kept, job, &recovery->gone)) {
            return recovery;
        }
    }
    return NULL;
}

void
KeeperOwner_Ask(Keeper *keeper, lc_node host, lc_node gone)
{
    Keeper_Call *about = g_new0(Keeper_Call, 1);
    Msg_Call call = {.kind = MSG_FENCE};
    GArray *line;

    about->kind = MSG_FENCE;
    about->host = host;
    about->gone = gone;
    line = gone.incarnation == 0 ? g_array_new(FALSE, TRUE, sizeof(lc_node))
                                 : Kept_Line(keeper->kept, &gone);
    call.u.fence.target = host.incarnation;
    call.u.fence.gone.gone_len = line->len;
    call.u.fence.gone.gone_val = (lc_node *)(void *)line->data;
    call.u.fence.successor = keeper->node;
    keeper->ports->call(keeper->context, host.address,
                        Handle_Add(keeper->calls, about), &call);
    g_array_unref(line);
}

static bool
is_asked(const Keeper *keeper, const lc_node *host, const lc_node *gone)
{
    uint32_t i;

    for (i = 0; i < Handle_Size(keeper->calls); i++) {
        const Keeper_Call *call = Handle_At(keeper->calls, i);
        if (call != NULL && call->kind == MSG_FENCE &&
            Msg_SameNode(&call->host, host) &&
            Msg_SameNode(&call->gone, gone)) {
            return true;
        }
    }
    return false;
}

/* Asks the companions that have not told yet; whether none is left. */
static bool
ask_companions(Keeper *keeper, int64_t now_ms, const Keeper_Recovery *recovery)
{
    const Fleet *fleet = Dispatcher_Fleet(keeper->dispatcher);
    int64_t since_ms = MAX(keeper->started_ms, keeper->all_since_ms);
    bool all = now_ms - since_ms >= GATHERED_MS;
    guint i;

    for (i = 0; i < fleet->hosts->len; i++) {
        const Fleet_Host *host = g_ptr_array_index(fleet->hosts, i);
        if (now_ms - host->received_ms > FORGOTTEN_MS ||
            Msg_HasNode(recovery->fenced, &host->node)) {
            continue;
        }
        all = false;
        if (Choice_IsHeard(host, now_ms) &&
            !is_asked(keeper, &host->node, &recovery->gone)) {
            KeeperOwner_Ask(keeper, host->node, recovery->gone);
        }
    }
    return all;
}

static void
start_recovered(Keeper *keeper, int64_t now_ms,
                const Keeper_Recovery *recovery)
{
    GPtrArray *open = Kept_Open(keeper->kept);
    guint i;

    for (i = 0; i < open->len; i++) {
        Kept_Job *job = g_ptr_array_index(open, i);
        lc_node owner = Kept_OwnerOf(keeper->kept, job);
        if (Msg_SameNode(&owner, &keeper->node) &&
            !g_hash_table_contains(keeper->jobs, &job->id) &&
            KeeperOwner_RecoveryOf(keeper, job) == recovery) {
            KeeperJob_Start(keeper, now_ms, job, recovery);
        }
    }
    g_ptr_array_unref(open);
}

void
KeeperOwner_Recover(Keeper *keeper, int64_t now_ms)
{
    int64_t certain_ms = KEEPER_HOLD_MS + keeper->config.resubmit_ms +
                         TERM_KEPT_MS;
    guint i = 0;

    while (i < keeper->recoveries->len) {
        Keeper_Recovery *recovery = &g_array_index(keeper->recoveries,
                                                   Keeper_Recovery, i);
        bool told = ask_companions(keeper, now_ms, recovery) ||
                    now_ms - recovery->claimed_ms >= certain_ms;
        if (told && recovery->told_ms == 0) {
            recovery->told_ms = now_ms;
        }
        /* What the old owner had released before is written by now. */
        if (!told || keeper->contact_ms <= recovery->told_ms) {
            i++;
            continue;
        }
        start_recovered(keeper, now_ms, recovery);
        KeeperOwner_ClearRecovery(recovery);
        g_array_remove_index(keeper->recoveries, i);
        keeper->unstarted = true;
    }
}

static bool
is_written(const Keeper *keeper, const Kept_Job *kept, const lc_run_id *id)
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
    done = number == KEEPER_NO_TASK || Kept_IsDone(kept->done, number);
    LeasedJob_Clear(&job);
    return done;
}

static void
add_doubt(Keeper *keeper, int64_t now_ms, const Keeper_End *end)
{
    Keeper_Doubt doubt = {.end = *end, .heard_ms = now_ms};
    guint i;

    for (i = 0; i < keeper->doubts->len; i++) {
        const Keeper_End *known =
            &g_array_index(keeper->doubts, Keeper_Doubt, i).end;
        if (Msg_SameNode(&known->host, &end->host) &&
            RunId_Equal(&known->run, &end->run)) {
            return;
        }
    }
    if (keeper->doubts->len < MOST_DOUBTS) {
        g_array_append_val(keeper->doubts, doubt);
    }
}

void
KeeperOwner_TakeRead(Keeper *keeper)
{
    guint i = 0;

    while (i < keeper->doubts->len) {
        const Keeper_Doubt *doubt = &g_array_index(keeper->doubts,
                                                   Keeper_Doubt, i);
        if (doubt->heard_ms >= keeper->contact_ms) {
            i++;
            continue;
        }
        if (Kept_Find(keeper->kept, doubt->end.run.job) == NULL) {
            KeeperJob_Release(keeper, &doubt->end);
        }
        g_array_remove_index_fast(keeper->doubts, i);
    }
    KeeperJob_ReleaseWritten(keeper);
}

/* Ends that nobody asks for any more are let go of. A run begins after its job
 * was written: a log that is read after the end was heard of tells the job. */
static void
release_useless(Keeper *keeper, int64_t now_ms, lc_node host,
                const lc_fence_res *result)
{
    u_int i;

    for (i = 0; i < result->runs.runs_len; i++) {
        const lc_held_run *run = &result->runs.runs_val[i];
        const Kept_Job *job = Kept_Find(keeper->kept, run->id.job);
        Keeper_End end = {.host = host, .run = run->id};
        if (run->running) {
            continue;
        }
        if (job == NULL) {
            add_doubt(keeper, now_ms, &end);
        }
        else if (is_written(keeper, job, &run->id)) {
            KeeperJob_Release(keeper, &end);
        }
    }
}

void
KeeperOwner_Fenced(Keeper *keeper, int64_t now_ms, const Keeper_Call *call,
                   const lc_fence_res *result)
{
    guint i;
    u_int j;

    release_useless(keeper, now_ms, call->host, result);
    for (i = 0; i < keeper->recoveries->len; i++) {
        Keeper_Recovery *recovery = &g_array_index(keeper->recoveries,
                                                   Keeper_Recovery, i);
        if (!Msg_SameNode(&recovery->gone, &call->gone) ||
            Msg_HasNode(recovery->fenced, &call->host)) {
            continue;
        }
        g_array_append_val(recovery->fenced, call->host);
        for (j = 0; j < result->runs.runs_len; j++) {
            Keeper_Found found = {result->runs.runs_val[j], call->host};
            g_array_append_val(recovery->runs, found);
        }
    }
    KeeperOwner_Recover(keeper, now_ms);
    KeeperJob_ReleaseWritten(keeper);
}

/* Asks for ends that companions hold for long: whoever was to release them
 * has died, or its call was lost. */
void
KeeperOwner_AskHeld(Keeper *keeper, int64_t now_ms)
{
    const Fleet *fleet = Dispatcher_Fleet(keeper->dispatcher);
    lc_node nobody = {0, 0};
    guint i;

    for (i = 0; i < fleet->hosts->len; i++) {
        Fleet_Host *host = g_ptr_array_index(fleet->hosts, i);
        if (host->held_long > 0 &&
            now_ms - host->held_asked_ms > ASK_HELD_MS &&
            Choice_IsHeard(host, now_ms)) {
            host->held_asked_ms = now_ms;
            KeeperOwner_Ask(keeper, host->node, nobody);
        }
    }
}

void
Keeper_OnHost(Keeper *keeper, int64_t now_ms)
{
    KeeperOwner_Recover(keeper, now_ms);
}

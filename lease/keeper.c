#include "lease/keeper.h"

#include <inttypes.h>
#include <string.h>

#include "lease/keeper_state.h"
#include "lease/run_id.h"

/* Without a word of the log for so long, others should take the jobs over. */
#define RELIABLE_MS 2500
#define SWEEP_MS 1000

Keeper *
Keeper_New(const Keeper_Config *config, const Keeper_Ports *ports,
           void *context, Dispatcher *dispatcher, int64_t now_ms)
{
    Keeper *keeper = g_new0(Keeper, 1);

    keeper->config = *config;
    keeper->ports = ports;
    keeper->context = context;
    keeper->dispatcher = dispatcher;
    keeper->kept = Kept_New();
    /* Not the identity under which jobs are run that need not be kept: it
     * may be taken away. */
    keeper->node = config->node;
    keeper->node.incarnation++;
    keeper->started_ms = now_ms;
    keeper->waiters = g_array_new(FALSE, TRUE, sizeof(Keeper_Waiter));
    keeper->lookers = g_array_new(FALSE, TRUE, sizeof(Keeper_Looker));
    keeper->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         KeeperJob_Free);
    keeper->changed = g_hash_table_new(g_int64_hash, g_int64_equal);
    keeper->doubts = g_array_new(FALSE, TRUE, sizeof(Keeper_Doubt));
    keeper->ends = g_array_new(FALSE, TRUE, sizeof(Keeper_End));
    keeper->recoveries = g_array_new(FALSE, TRUE, sizeof(Keeper_Recovery));
    keeper->peers = g_array_new(FALSE, TRUE, sizeof(Keeper_Peer));
    keeper->seen = g_array_new(FALSE, TRUE, sizeof(Keeper_Seen));
    keeper->claims = g_array_new(FALSE, TRUE, sizeof(lc_node));
    keeper->calls = Handle_NewTable();
    Dispatcher_OwnKept(dispatcher, keeper->node.incarnation);
    return keeper;
}

static void
free_call(Keeper_Call *call)
{
    if (call->ends != NULL) {
        g_array_unref(call->ends);
    }
    g_free(call);
}

void
Keeper_Free(Keeper *keeper)
{
    guint i;

    for (i = 0; i < Handle_Size(keeper->calls); i++) {
        Keeper_Call *call = Handle_At(keeper->calls, i);
        if (call != NULL) {
            free_call(call);
        }
    }
    for (i = 0; i < keeper->waiters->len; i++) {
        g_free(g_array_index(keeper->waiters, Keeper_Waiter, i).queue);
    }
    for (i = 0; i < keeper->lookers->len; i++) {
        g_free(g_array_index(keeper->lookers, Keeper_Looker, i).queue);
    }
    for (i = 0; i < keeper->recoveries->len; i++) {
        KeeperOwner_ClearRecovery(
            &g_array_index(keeper->recoveries, Keeper_Recovery, i));
    }
    Handle_FreeTable(keeper->calls);
    g_hash_table_unref(keeper->changed);
    g_hash_table_unref(keeper->jobs);
    g_array_unref(keeper->waiters);
    g_array_unref(keeper->lookers);
    g_array_unref(keeper->doubts);
    g_array_unref(keeper->ends);
    g_array_unref(keeper->recoveries);
    g_array_unref(keeper->peers);
    g_array_unref(keeper->seen);
    g_array_unref(keeper->claims);
    Kept_Free(keeper->kept);
    g_free(keeper);
}

uint64_t
Keeper_Put(Keeper *keeper, const char *key, const lc_kept_record *record)
{
    GByteArray *bytes = g_byte_array_new();
    uint64_t number;

    Msg_EncodeKept(record, bytes);
    number = keeper->ports->put(keeper->context, key, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    return number;
}

/* The owner stops a cancelled job; whose start was not taken yet, too. */
static void
cancel_own(Keeper *keeper, int64_t now_ms, const Kept_Job *job)
{
    if (g_hash_table_contains(keeper->jobs, &job->id)) {
        Dispatcher_OnCancel(keeper->dispatcher, now_ms, job->id, job->queue);
    }
}

/* The outcome stands in the log: nothing is to be run any more, whoever wrote
 * it. */
static void
end_own(Keeper *keeper, int64_t now_ms, const Kept_Job *job)
{
    Keeper_Job *row = g_hash_table_lookup(keeper->jobs, &job->id);

    if (job->outcome == LC_KEPT_OPEN || row == NULL) {
        return;
    }
    row->written = true;
    Dispatcher_OnCancel(keeper->dispatcher, now_ms, job->id, job->queue);
    KeeperJob_Forget(keeper, row);
}

void
Keeper_OnRecord(Keeper *keeper, int64_t now_ms, const Kept_Record *record)
{
    Kept_Change change = Kept_Take(keeper->kept, now_ms, record);

    KeeperOwner_Wrote(keeper, now_ms, Kept_Writer(record));
    switch (change.kind) {
    case KEPT_SUBMITTED:
        keeper->unstarted = true;
        break;
    case KEPT_PROGRESSED:
        end_own(keeper, now_ms, change.job);
        break;
    case KEPT_CANCELLED:
        cancel_own(keeper, now_ms, change.job);
        break;
    case KEPT_ALIVE:
        KeeperOwner_Wrote(keeper, now_ms, change.gone);
        break;
    case KEPT_CLAIMED:
        KeeperOwner_Claimed(keeper, now_ms, change.gone, change.successor);
        break;
    default:
        break;
    }
}

void
Keeper_OnRead(Keeper *keeper, int64_t now_ms, int64_t asked_ms)
{
    keeper->contact_ms = MAX(keeper->contact_ms, asked_ms);
    Dispatcher_HoldKept(keeper->dispatcher,
                        now_ms - keeper->contact_ms < KEEPER_HOLD_MS);
    KeeperOwner_TakeRead(keeper);
    KeeperOwner_Recover(keeper, now_ms);
    KeeperJob_StartAll(keeper, now_ms);
    KeeperCaller_TakeRead(keeper, now_ms);
    KeeperCaller_TellLookers(keeper, now_ms);
}

/* The live entry with the lowest address drops what is over for long. */
static void
sweep(Keeper *keeper, int64_t now_ms)
{
    GPtrArray *over;
    char key[KEPT_KEY_SIZE];
    guint i;
    guint j;

    for (i = 0; i < keeper->peers->len; i++) {
        const Keeper_Peer *peer = &g_array_index(keeper->peers, Keeper_Peer,
                                                 i);
        if (peer->address < keeper->node.address &&
            now_ms - peer->heard_ms < RELIABLE_MS) {
            return;
        }
    }
    over = Kept_Over(keeper->kept, now_ms - keeper->config.keep_ms);
    for (i = 0; i < over->len; i++) {
        const Kept_Job *job = g_ptr_array_index(over, i);
        for (j = 0; j < job->submitters->len; j++) {
            Kept_SubmitKey(job->id, g_array_index(job->submitters, lc_node, j),
                           key);
            keeper->ports->put(keeper->context, key, NULL, 0);
        }
        Kept_CancelKey(job->id, key);
        if (job->cancelled) {
            keeper->ports->put(keeper->context, key, NULL, 0);
        }
        for (j = 0; j < job->writers->len; j++) {
            Kept_ProgressKey(job->id, g_array_index(job->writers, lc_node, j),
                             key);
            keeper->ports->put(keeper->context, key, NULL, 0);
        }
    }
    g_ptr_array_unref(over);
}

void
Keeper_Settle(Keeper *keeper, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer id;

    (void)now_ms;
    g_hash_table_iter_init(&iter, keeper->changed);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        KeeperJob_Write(keeper, g_hash_table_lookup(keeper->jobs, id));
    }
    g_hash_table_remove_all(keeper->changed);
}

/* All companions are asked to report for so long after the last job is over:
 * longer than they hold ends of it for sure (lease/runner_kept.c). */
#define NEEDS_ALL_MS 30000

static void
note_open(Keeper *keeper, int64_t now_ms)
{
    if (Kept_OpenCount(keeper->kept) == 0) {
        if (now_ms - keeper->open_ms >= NEEDS_ALL_MS) {
            keeper->open_ms = 0;
        }
        return;
    }
    if (keeper->open_ms == 0) {
        keeper->all_since_ms = now_ms;
    }
    keeper->open_ms = now_ms;
}

bool
Keeper_NeedsAll(const Keeper *keeper)
{
    return keeper->open_ms != 0 || Kept_OpenCount(keeper->kept) > 0;
}

bool
Keeper_IsQuiet(const Keeper *keeper)
{
    return Kept_OpenCount(keeper->kept) == 0 && keeper->waiters->len == 0 &&
           keeper->lookers->len == 0;
}

void
Keeper_Tick(Keeper *keeper, int64_t now_ms)
{
    note_open(keeper, now_ms);
    if (Keeper_IsQuiet(keeper)) {
        keeper->quiet_ms = now_ms;
    }
    Dispatcher_HoldKept(keeper->dispatcher,
                        keeper->contact_ms != 0 &&
                            now_ms - keeper->contact_ms < KEEPER_HOLD_MS);
    KeeperCaller_GiveUp(keeper, now_ms);
    KeeperCaller_TellLookers(keeper, now_ms);
    KeeperJob_ReleaseWritten(keeper);
    KeeperOwner_SayAlive(keeper, now_ms);
    KeeperOwner_Watch(keeper, now_ms);
    KeeperOwner_Recover(keeper, now_ms);
    KeeperOwner_AskHeld(keeper, now_ms);
    KeeperJob_StartAll(keeper, now_ms);
    if (now_ms - keeper->swept_ms >= SWEEP_MS &&
        !KeeperCaller_LogIsDown(keeper, now_ms)) {
        keeper->swept_ms = now_ms;
        sweep(keeper, now_ms);
    }
}

void
Keeper_OnReply(Keeper *keeper, int64_t now_ms, uint64_t call_id,
               const Msg_Reply *reply)
{
    Keeper_Call *call = Handle_Remove(keeper->calls, call_id);

    if (call == NULL) {
        return;
    }
    if (call->kind == MSG_FENCE && reply != NULL && reply->u.fence.taken) {
        KeeperOwner_Fenced(keeper, now_ms, call, &reply->u.fence);
    }
    else if (call->kind == MSG_RELEASE) {
        KeeperJob_Released(keeper, call, reply != NULL);
    }
    free_call(call);
}

void
Keeper_Leave(Keeper *keeper, int64_t now_ms)
{
    lc_node successor = KeeperOwner_Other(keeper, now_ms);

    keeper->leaving = true;
    if (successor.incarnation != 0) {
        KeeperOwner_PutClaim(keeper, now_ms, &keeper->node, &successor);
    }
}

uint64_t
Keeper_Identity(const Keeper *keeper, int64_t now_ms)
{
    bool reliable = keeper->contact_ms != 0 &&
                    now_ms - keeper->contact_ms < RELIABLE_MS;

    return reliable && !keeper->leaving ? keeper->node.incarnation : 0;
}

bool
Keeper_IsIdle(const Keeper *keeper)
{
    return keeper->waiters->len == 0 && keeper->lookers->len == 0 &&
           g_hash_table_size(keeper->jobs) == 0;
}

void
Keeper_Metrics(const Keeper *keeper, int64_t now_ms, GString *out)
{
    g_string_append_printf(out,
                           "levercove_kept_jobs_open %u\n"
                           "levercove_kept_jobs_owned %u\n"
                           "levercove_kept_log_age_seconds %" PRId64 "\n"
                           "levercove_kept_recoveries %u\n"
                           "levercove_kept_ends_unwritten %u\n",
                           Kept_OpenCount(keeper->kept),
                           g_hash_table_size(keeper->jobs),
                           (now_ms - keeper->contact_ms) / 1000,
                           keeper->recoveries->len, keeper->ends->len);
}

json_t *
Keeper_Dump(const Keeper *keeper, int64_t now_ms)
{
    return json_pack("{s:i, s:i, s:i, s:i, s:I, s:b}", "open",
                     (int)Kept_OpenCount(keeper->kept), "owned",
                     (int)g_hash_table_size(keeper->jobs), "waiters",
                     (int)keeper->waiters->len, "recoveries",
                     (int)keeper->recoveries->len, "log_age_ms",
                     (json_int_t)(now_ms - keeper->contact_ms), "leaving",
                     keeper->leaving);
}

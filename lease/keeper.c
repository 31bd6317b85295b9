#include "lease/keeper.h"

#include <inttypes.h>
#include <string.h>

#include "lease/keeper_state.h"
#include "lease/run_id.h"

/* An entry that has not read the log for this long no longer announces its
 * owner identity, so that others take its jobs over. */
#define OWNER_LOG_TIMEOUT_MS 2500
#define EXPIRY_INTERVAL_MS 1000

Keeper *
Keeper_New(const Keeper_Config *config, const Keeper_Ports *ports,
           void *context, Dispatcher *dispatcher, int64_t now_ms)
{
    Keeper *keeper = g_new0(Keeper, 1);

    keeper->config = *config;
    keeper->ports = ports;
    keeper->context = context;
    keeper->dispatcher = dispatcher;
    keeper->log = Kept_New();
    /* Differs from the identity under which other jobs are run, because this
     * one can be revoked by a claim. */
    keeper->node = config->node;
    keeper->node.incarnation++;
    keeper->started_ms = now_ms;
    keeper->waiters = g_array_new(FALSE, TRUE, sizeof(DurableJobs_Waiter));
    keeper->state_queries = g_array_new(FALSE, TRUE,
                                        sizeof(DurableJobs_StateQuery));
    keeper->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         DurableOwned_Free);
    keeper->changed = g_hash_table_new(g_int64_hash, g_int64_equal);
    keeper->unknown_ends = g_array_new(FALSE, TRUE,
                                       sizeof(DurableJobs_UnknownEnd));
    keeper->ends = g_array_new(FALSE, TRUE, sizeof(DurableJobs_RunEnd));
    keeper->recoveries = g_array_new(FALSE, TRUE,
                                     sizeof(DurableJobs_Recovery));
    keeper->peers = g_array_new(FALSE, TRUE, sizeof(DurableJobs_Peer));
    keeper->seen_owners = g_array_new(FALSE, TRUE,
                                      sizeof(DurableJobs_SeenOwner));
    keeper->claims = g_array_new(FALSE, TRUE, sizeof(lc_node));
    keeper->calls = Handle_NewTable();
    Dispatcher_OwnKept(dispatcher, keeper->node.incarnation);
    return keeper;
}

static void
free_call(DurableJobs_Call *call)
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
        DurableJobs_Call *call = Handle_At(keeper->calls, i);
        if (call != NULL) {
            free_call(call);
        }
    }
    for (i = 0; i < keeper->waiters->len; i++) {
        g_free(g_array_index(keeper->waiters, DurableJobs_Waiter, i).queue);
    }
    for (i = 0; i < keeper->state_queries->len; i++) {
        g_free(g_array_index(keeper->state_queries, DurableJobs_StateQuery, i)
                   .queue);
    }
    for (i = 0; i < keeper->recoveries->len; i++) {
        DurableTakeover_ClearRecovery(
            &g_array_index(keeper->recoveries, DurableJobs_Recovery, i));
    }
    Handle_FreeTable(keeper->calls);
    g_hash_table_unref(keeper->changed);
    g_hash_table_unref(keeper->jobs);
    g_array_unref(keeper->waiters);
    g_array_unref(keeper->state_queries);
    g_array_unref(keeper->unknown_ends);
    g_array_unref(keeper->ends);
    g_array_unref(keeper->recoveries);
    g_array_unref(keeper->peers);
    g_array_unref(keeper->seen_owners);
    g_array_unref(keeper->claims);
    Kept_Free(keeper->log);
    g_free(keeper);
}

uint64_t
DurableJobs_Put(Keeper *keeper, const char *key, const lc_kept_record *record)
{
    GByteArray *bytes = g_byte_array_new();
    uint64_t number;

    Msg_EncodeKept(record, bytes);
    number = keeper->ports->put(keeper->context, key, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    return number;
}

/* The owner stops a cancelled job, even if its start is not accepted yet. */
static void
cancel_own_job(Keeper *keeper, int64_t now_ms, const DurableLog_Job *job)
{
    if (g_hash_table_contains(keeper->jobs, &job->id)) {
        Dispatcher_OnCancel(keeper->dispatcher, now_ms, job->id, job->queue);
    }
}

/* Once an outcome is in the log, whoever wrote it, the job is not run any
 * more. */
static void
end_own_job(Keeper *keeper, int64_t now_ms, const DurableLog_Job *job)
{
    DurableJobs_OwnJob *row = g_hash_table_lookup(keeper->jobs, &job->id);

    if (job->outcome == LC_KEPT_OPEN || row == NULL) {
        return;
    }
    row->written = true;
    Dispatcher_OnCancel(keeper->dispatcher, now_ms, job->id, job->queue);
    DurableOwned_Remove(keeper, row);
}

void
Keeper_OnRecord(Keeper *keeper, int64_t now_ms, const Kept_Record *record)
{
    Kept_Change change = Kept_Take(keeper->log, now_ms, record);

    DurableTakeover_OnOwnerRecord(keeper, now_ms, DurableLog_Writer(record));
    switch (change.kind) {
    case DURABLE_LOG_SUBMITTED:
        keeper->has_unstarted = true;
        break;
    case DURABLE_LOG_PROGRESSED:
        end_own_job(keeper, now_ms, change.job);
        break;
    case DURABLE_LOG_CANCELLED:
        cancel_own_job(keeper, now_ms, change.job);
        break;
    case DURABLE_LOG_OWNER_ALIVE:
        DurableTakeover_OnOwnerRecord(keeper, now_ms, change.gone);
        break;
    case DURABLE_LOG_CLAIMED:
        DurableTakeover_OnClaim(keeper, now_ms, change.gone, change.successor);
        break;
    default:
        break;
    }
}

void
Keeper_OnRead(Keeper *keeper, int64_t now_ms, int64_t asked_ms)
{
    keeper->log_read_ms = MAX(keeper->log_read_ms, asked_ms);
    Dispatcher_HoldKept(keeper->dispatcher, now_ms - keeper->log_read_ms <
                                                DURABLE_JOBS_LOG_TIMEOUT_MS);
    DurableTakeover_OnLogRead(keeper);
    DurableTakeover_AdvanceRecoveries(keeper, now_ms);
    DurableOwned_StartAll(keeper, now_ms);
    DurableCaller_OnLogRead(keeper, now_ms);
    DurableCaller_AnswerStateQueries(keeper, now_ms);
}

/* Deletes the records of jobs that ended more than `keep_ms` ago; done only by
 * the live entry with the lowest address. */
static void
drop_expired_jobs(Keeper *keeper, int64_t now_ms)
{
    GPtrArray *over;
    char key[DURABLE_LOG_KEY_SIZE];
    guint i;
    guint j;

    for (i = 0; i < keeper->peers->len; i++) {
        const DurableJobs_Peer *peer = &g_array_index(keeper->peers,
                                                      DurableJobs_Peer, i);
        if (peer->address < keeper->node.address &&
            now_ms - peer->heard_ms < OWNER_LOG_TIMEOUT_MS) {
            return;
        }
    }
    over = DurableLog_EndedJobs(keeper->log, now_ms - keeper->config.keep_ms);
    for (i = 0; i < over->len; i++) {
        const DurableLog_Job *job = g_ptr_array_index(over, i);
        for (j = 0; j < job->submitters->len; j++) {
            DurableLog_SubmitKey(
                job->id, g_array_index(job->submitters, lc_node, j), key);
            keeper->ports->put(keeper->context, key, NULL, 0);
        }
        DurableLog_CancelKey(job->id, key);
        if (job->cancelled) {
            keeper->ports->put(keeper->context, key, NULL, 0);
        }
        for (j = 0; j < job->writers->len; j++) {
            DurableLog_ProgressKey(
                job->id, g_array_index(job->writers, lc_node, j), key);
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
        DurableOwned_PutProgress(keeper,
                                 g_hash_table_lookup(keeper->jobs, id));
    }
    g_hash_table_remove_all(keeper->changed);
}

/* All companions are asked to report until this long after the last job has
 * ended: longer than they are certain to hold its ends
 * (lease/runner_kept.c). */
#define ALL_REPORTS_AFTER_END_MS 30000

static void
update_last_open(Keeper *keeper, int64_t now_ms)
{
    if (DurableLog_OpenCount(keeper->log) == 0) {
        if (now_ms - keeper->last_open_ms >= ALL_REPORTS_AFTER_END_MS) {
            keeper->last_open_ms = 0;
        }
        return;
    }
    if (keeper->last_open_ms == 0) {
        keeper->all_reports_since_ms = now_ms;
    }
    keeper->last_open_ms = now_ms;
}

bool
Keeper_NeedsAll(const Keeper *keeper)
{
    return keeper->last_open_ms != 0 || DurableLog_OpenCount(keeper->log) > 0;
}

bool
Keeper_IsQuiet(const Keeper *keeper)
{
    return DurableLog_OpenCount(keeper->log) == 0 &&
           keeper->waiters->len == 0 && keeper->state_queries->len == 0;
}

void
Keeper_Tick(Keeper *keeper, int64_t now_ms)
{
    update_last_open(keeper, now_ms);
    if (Keeper_IsQuiet(keeper)) {
        keeper->last_quiet_ms = now_ms;
    }
    Dispatcher_HoldKept(keeper->dispatcher,
                        keeper->log_read_ms != 0 &&
                            now_ms - keeper->log_read_ms <
                                DURABLE_JOBS_LOG_TIMEOUT_MS);
    DurableCaller_ExpireWaiters(keeper, now_ms);
    DurableCaller_AnswerStateQueries(keeper, now_ms);
    DurableOwned_SendReleases(keeper);
    DurableTakeover_PutHeartbeat(keeper, now_ms);
    DurableTakeover_ClaimSilentOwners(keeper, now_ms);
    DurableTakeover_AdvanceRecoveries(keeper, now_ms);
    DurableTakeover_FetchHeldEnds(keeper, now_ms);
    DurableOwned_StartAll(keeper, now_ms);
    if (now_ms - keeper->expiry_checked_ms >= EXPIRY_INTERVAL_MS &&
        !DurableCaller_IsLogDown(keeper, now_ms)) {
        keeper->expiry_checked_ms = now_ms;
        drop_expired_jobs(keeper, now_ms);
    }
}

void
Keeper_OnReply(Keeper *keeper, int64_t now_ms, uint64_t call_id,
               const Msg_Reply *reply)
{
    DurableJobs_Call *call = Handle_Remove(keeper->calls, call_id);

    if (call == NULL) {
        return;
    }
    if (call->kind == MSG_FENCE && reply != NULL && reply->u.fence.taken) {
        DurableTakeover_OnFenceReply(keeper, now_ms, call, &reply->u.fence);
    }
    else if (call->kind == MSG_RELEASE) {
        DurableOwned_OnReleaseReply(keeper, call, reply != NULL);
    }
    free_call(call);
}

void
Keeper_Leave(Keeper *keeper, int64_t now_ms)
{
    lc_node successor = DurableTakeover_PickSuccessor(keeper, now_ms);

    keeper->leaving = true;
    if (successor.incarnation != 0) {
        DurableTakeover_PutClaim(keeper, now_ms, &keeper->node, &successor);
    }
}

uint64_t
Keeper_Identity(const Keeper *keeper, int64_t now_ms)
{
    bool reliable = keeper->log_read_ms != 0 &&
                    now_ms - keeper->log_read_ms < OWNER_LOG_TIMEOUT_MS;

    return reliable && !keeper->leaving ? keeper->node.incarnation : 0;
}

bool
Keeper_IsIdle(const Keeper *keeper)
{
    return keeper->waiters->len == 0 && keeper->state_queries->len == 0 &&
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
                           DurableLog_OpenCount(keeper->log),
                           g_hash_table_size(keeper->jobs),
                           (now_ms - keeper->log_read_ms) / 1000,
                           keeper->recoveries->len, keeper->ends->len);
}

json_t *
Keeper_Dump(const Keeper *keeper, int64_t now_ms)
{
    return json_pack("{s:i, s:i, s:i, s:i, s:I, s:b}", "open",
                     (int)DurableLog_OpenCount(keeper->log), "owned",
                     (int)g_hash_table_size(keeper->jobs), "waiters",
                     (int)keeper->waiters->len, "recoveries",
                     (int)keeper->recoveries->len, "log_age_ms",
                     (json_int_t)(now_ms - keeper->log_read_ms), "leaving",
                     keeper->leaving);
}

#include "lease/durable_jobs.h"

#include <inttypes.h>
#include <string.h>

#include "lease/durable_jobs_state.h"
#include "lease/run_id.h"

/* An entry that has not read the log for this long no longer announces its
 * owner identity, so that others take its jobs over. */
#define OWNER_LOG_TIMEOUT_MS 2500
#define EXPIRY_INTERVAL_MS 1000
#define MAX_DUMPED_JOBS 100U

DurableJobs *
DurableJobs_New(const DurableJobs_Config *config,
                const DurableJobs_Ports *ports, void *context,
                Dispatcher *dispatcher, int64_t now_ms)
{
    DurableJobs *self = g_new0(DurableJobs, 1);

    self->config = *config;
    self->ports = ports;
    self->context = context;
    self->dispatcher = dispatcher;
    self->log = DurableLog_New();
    /* Differs from the identity under which other jobs are run, because this
     * one can be revoked by a claim. */
    self->node = config->node;
    self->node.incarnation++;
    self->started_ms = now_ms;
    self->waiters = g_array_new(FALSE, TRUE, sizeof(DurableJobs_Waiter));
    self->state_queries = g_array_new(FALSE, TRUE,
                                      sizeof(DurableJobs_StateQuery));
    self->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                       DurableOwned_Free);
    self->changed = g_hash_table_new(g_int64_hash, g_int64_equal);
    self->unknown_ends = g_array_new(FALSE, TRUE,
                                     sizeof(DurableJobs_UnknownEnd));
    self->ends = g_array_new(FALSE, TRUE, sizeof(DurableJobs_RunEnd));
    self->recoveries = g_array_new(FALSE, TRUE, sizeof(DurableJobs_Recovery));
    self->peers = g_array_new(FALSE, TRUE, sizeof(DurableJobs_Peer));
    self->seen_owners = g_hash_table_new_full(Msg_HashNode, Msg_EqualNodes,
                                              NULL, g_free);
    self->claims = g_array_new(FALSE, TRUE, sizeof(lc_node));
    self->taken_over = g_array_new(FALSE, TRUE, sizeof(lc_node));
    self->calls = Handle_NewTable();
    Dispatcher_SetDurableOwner(dispatcher, self->node.incarnation);
    return self;
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
DurableJobs_Free(DurableJobs *self)
{
    guint i;

    for (i = 0; i < Handle_RowCount(self->calls); i++) {
        DurableJobs_Call *call = Handle_ItemAt(self->calls, i);
        if (call != NULL) {
            free_call(call);
        }
    }
    for (i = 0; i < self->waiters->len; i++) {
        QueueRef_Clear(
            &g_array_index(self->waiters, DurableJobs_Waiter, i).queue);
    }
    for (i = 0; i < self->state_queries->len; i++) {
        QueueRef_Clear(
            &g_array_index(self->state_queries, DurableJobs_StateQuery, i)
                 .queue);
    }
    for (i = 0; i < self->recoveries->len; i++) {
        DurableTakeover_ClearRecovery(
            &g_array_index(self->recoveries, DurableJobs_Recovery, i));
    }
    Handle_FreeTable(self->calls);
    g_hash_table_unref(self->changed);
    g_hash_table_unref(self->jobs);
    g_array_unref(self->waiters);
    g_array_unref(self->state_queries);
    g_array_unref(self->unknown_ends);
    g_array_unref(self->ends);
    g_array_unref(self->recoveries);
    g_array_unref(self->peers);
    g_hash_table_unref(self->seen_owners);
    g_array_unref(self->claims);
    g_array_unref(self->taken_over);
    DurableLog_Free(self->log);
    g_free(self);
}

uint64_t
DurableJobs_Put(DurableJobs *self, const char *key,
                const lc_kept_record *record)
{
    GByteArray *bytes = g_byte_array_new();
    uint64_t number;

    Msg_EncodeDurableRecord(record, bytes);
    number = self->ports->put(self->context, key, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    return number;
}

/* The owner stops a cancelled job, even if its start is not accepted yet. */
static void
cancel_own_job(DurableJobs *self, int64_t now_ms, const DurableLog_Job *job)
{
    if (g_hash_table_contains(self->jobs, &job->id)) {
        Dispatcher_OnCancel(self->dispatcher, now_ms, job->id, NULL);
    }
}

/* Once an outcome is in the log, whoever wrote it, the job is not run any
 * more. */
static void
end_own_job(DurableJobs *self, int64_t now_ms, const DurableLog_Job *job)
{
    DurableJobs_OwnJob *row = g_hash_table_lookup(self->jobs, &job->id);

    if (job->outcome == LC_KEPT_OPEN || row == NULL) {
        return;
    }
    row->written = true;
    Dispatcher_OnCancel(self->dispatcher, now_ms, job->id, NULL);
    DurableOwned_Remove(self, row);
}

void
DurableJobs_OnNewest(DurableJobs *self)
{
    self->claims_unread = true;
}

void
DurableJobs_OnRecord(DurableJobs *self, int64_t now_ms,
                     const DurableLog_Record *record)
{
    DurableLog_Change change = DurableLog_Apply(self->log, now_ms, record);

    DurableTakeover_OnOwnerRecord(self, now_ms, DurableLog_Writer(record));
    switch (change.kind) {
    case DURABLE_LOG_SUBMITTED:
        self->has_unstarted = true;
        break;
    case DURABLE_LOG_PROGRESSED:
        end_own_job(self, now_ms, change.job);
        break;
    case DURABLE_LOG_CANCELLED:
        cancel_own_job(self, now_ms, change.job);
        break;
    case DURABLE_LOG_OWNER_ALIVE:
        DurableTakeover_OnOwnerRecord(self, now_ms, change.claimed_owner);
        break;
    case DURABLE_LOG_CLAIMED:
        if (!self->claims_unread) {
            DurableTakeover_OnClaim(self, now_ms, change.claimed_owner,
                                    change.successor);
        }
        break;
    case DURABLE_LOG_REORDERED:
        self->claims_unread = true;
        break;
    default:
        break;
    }
}

void
DurableJobs_OnLogRead(DurableJobs *self, int64_t now_ms, int64_t requested_ms)
{
    self->log_read_ms = MAX(self->log_read_ms, requested_ms);
    Dispatcher_AllowDurable(self->dispatcher, self->log_read_ms,
                            self->log_read_ms + DURABLE_JOBS_LOG_TIMEOUT_MS);
    if (self->claims_unread) {
        self->claims_unread = false;
        DurableTakeover_OnAllClaims(self, now_ms);
    }
    DurableTakeover_OnLogRead(self);
    DurableTakeover_AdvanceRecoveries(self, now_ms);
    DurableOwned_StartAll(self, now_ms);
    DurableCaller_OnLogRead(self, now_ms);
    DurableCaller_AnswerStateQueries(self, now_ms);
}

/* Deletes the records of jobs that ended more than `keep_ms` ago; done only by
 * the live entry with the lowest address. */
static void
delete_expired_jobs(DurableJobs *self, int64_t now_ms)
{
    GPtrArray *ended;
    char key[DURABLE_LOG_KEY_SIZE];
    guint i;
    guint j;

    for (i = 0; i < self->peers->len; i++) {
        const DurableJobs_Peer *peer = &g_array_index(self->peers,
                                                      DurableJobs_Peer, i);
        if (peer->address < self->node.address &&
            now_ms - peer->heard_ms < OWNER_LOG_TIMEOUT_MS) {
            return;
        }
    }
    ended = DurableLog_EndedJobs(self->log, now_ms - self->config.keep_ms);
    for (i = 0; i < ended->len; i++) {
        const DurableLog_Job *job = g_ptr_array_index(ended, i);
        for (j = 0; j < job->submitters->len; j++) {
            DurableLog_SubmitKey(
                job->id, g_array_index(job->submitters, lc_node, j), key);
            self->ports->put(self->context, key, NULL, 0);
        }
        DurableLog_CancelKey(job->id, key);
        if (job->cancelled) {
            self->ports->put(self->context, key, NULL, 0);
        }
        for (j = 0; j < job->writers->len; j++) {
            DurableLog_ProgressKey(
                job->id, g_array_index(job->writers, lc_node, j), key);
            self->ports->put(self->context, key, NULL, 0);
        }
    }
    g_ptr_array_unref(ended);
}

void
DurableJobs_Flush(DurableJobs *self, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer id;

    (void)now_ms;
    g_hash_table_iter_init(&iter, self->changed);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        DurableOwned_PutProgress(self, g_hash_table_lookup(self->jobs, id));
    }
    g_hash_table_remove_all(self->changed);
}

/* All companions are asked to report until this long after the last job has
 * ended, so that the ends they still hold of it are found and released. */
#define ALL_REPORTS_AFTER_END_MS 30000

static void
update_last_open(DurableJobs *self, int64_t now_ms)
{
    if (DurableLog_OpenCount(self->log) == 0) {
        if (now_ms - self->last_open_ms >= ALL_REPORTS_AFTER_END_MS) {
            self->last_open_ms = 0;
        }
        return;
    }
    if (self->last_open_ms == 0) {
        self->all_reports_since_ms = now_ms;
    }
    self->last_open_ms = now_ms;
}

bool
DurableJobs_NeedsAllReports(const DurableJobs *self)
{
    return self->last_open_ms != 0 || DurableLog_OpenCount(self->log) > 0;
}

bool
DurableJobs_IsLogUnused(const DurableJobs *self)
{
    return DurableLog_OpenCount(self->log) == 0 && self->waiters->len == 0 &&
           self->state_queries->len == 0;
}

void
DurableJobs_Tick(DurableJobs *self, int64_t now_ms)
{
    update_last_open(self, now_ms);
    if (DurableJobs_IsLogUnused(self)) {
        self->last_quiet_ms = now_ms;
    }
    DurableCaller_ExpireWaiters(self, now_ms);
    DurableCaller_AnswerStateQueries(self, now_ms);
    DurableOwned_SendReleases(self);
    DurableTakeover_PutHeartbeat(self, now_ms);
    DurableTakeover_ClaimSilentOwners(self, now_ms);
    DurableTakeover_AdvanceRecoveries(self, now_ms);
    DurableTakeover_FetchHeldEnds(self, now_ms);
    DurableOwned_StartAll(self, now_ms);
    DurableOwned_RecordStarts(self, now_ms);
    if (now_ms - self->expiry_checked_ms >= EXPIRY_INTERVAL_MS &&
        !DurableCaller_IsLogDown(self, now_ms)) {
        self->expiry_checked_ms = now_ms;
        delete_expired_jobs(self, now_ms);
    }
}

void
DurableJobs_OnReply(DurableJobs *self, int64_t now_ms, uint64_t call_id,
                    const Msg_Reply *reply)
{
    DurableJobs_Call *call = Handle_Remove(self->calls, call_id);

    if (call == NULL) {
        return;
    }
    if (call->kind == MSG_FENCE && reply != NULL && reply->u.fence.taken) {
        DurableTakeover_OnFenceReply(self, now_ms, call, &reply->u.fence);
    }
    else if (call->kind == MSG_RELEASE) {
        DurableOwned_OnReleaseReply(self, call, reply != NULL);
    }
    free_call(call);
}

void
DurableJobs_HandOver(DurableJobs *self, int64_t now_ms)
{
    lc_node successor = DurableTakeover_PickSuccessor(self, now_ms);

    self->leaving = true;
    if (successor.incarnation != 0) {
        DurableTakeover_PutClaim(self, &self->node, &successor);
    }
}

uint64_t
DurableJobs_OwnerIncarnation(const DurableJobs *self, int64_t now_ms)
{
    bool reliable = self->log_read_ms != 0 &&
                    now_ms - self->log_read_ms < OWNER_LOG_TIMEOUT_MS;

    return reliable && !self->leaving ? self->node.incarnation : 0;
}

void
DurableJobs_OnRoutes(DurableJobs *self)
{
    DurableLog_AddAddresses(self->log, Dispatcher_Routes(self->dispatcher));
}

void
DurableJobs_CountOpen(const DurableJobs *self, QueueCounts *counts)
{
    GPtrArray *open = DurableLog_OpenJobs(self->log);
    guint i;

    for (i = 0; i < open->len; i++) {
        const DurableLog_Job *job = g_ptr_array_index(open, i);
        QueueCounts_Add(counts, &job->queue);
    }
    g_ptr_array_unref(open);
}

bool
DurableJobs_IsIdle(const DurableJobs *self)
{
    return self->waiters->len == 0 && self->state_queries->len == 0 &&
           g_hash_table_size(self->jobs) == 0;
}

static uint32_t
count_without_queue(const DurableJobs *self)
{
    GHashTableIter iter;
    gpointer item;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, self->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        count += ((const DurableJobs_OwnJob *)item)->awaits_queue;
    }
    return count;
}

void
DurableJobs_Metrics(const DurableJobs *self, int64_t now_ms, GString *out)
{
    g_string_append_printf(
        out,
        "levercove_kept_jobs_open %u\n"
        "levercove_kept_jobs_owned %u\n"
        "levercove_kept_jobs_without_queue %u\n"
        "levercove_kept_jobs_unowned %u\n"
        "levercove_kept_unowned_seconds %" PRId64 "\n"
        "levercove_kept_log_age_seconds %" PRId64 "\n"
        "levercove_kept_recoveries %u\n"
        "levercove_kept_ends_unwritten %u\n",
        DurableLog_OpenCount(self->log), g_hash_table_size(self->jobs),
        count_without_queue(self), self->unowned,
        self->unowned == 0 ? 0 : (now_ms - self->unowned_since_ms) / 1000,
        (now_ms - self->log_read_ms) / 1000, self->recoveries->len,
        self->ends->len);
}

/* Name of the queue that a job belongs to now, or NULL. */
static const char *
route_name(const DurableJobs *self, const DurableLog_Job *job)
{
    const Route *route = Route_FindQueue(Dispatcher_Routes(self->dispatcher),
                                         &job->queue, NULL);

    return route == NULL ? NULL : route->name;
}

/* A job as this entry sees it; the same at all entries that have read the log
 * up to the same record. */
static json_t *
dump_job(const DurableJobs *self, const DurableLog_Job *job)
{
    Claims_Ownership ownership = DurableLog_Ownership(self->log, job);
    char id[24];
    json_t *row;

    g_snprintf(id, sizeof(id), "%016" PRIx64, job->id);
    row = json_pack("{s:s, s:s, s:I, s:I, s:b, s:b}", "job", id, "owner",
                    Address_Text(ownership.owner.address), "identity",
                    (json_int_t)ownership.owner.incarnation, "changes",
                    (json_int_t)ownership.claims_count, "started",
                    DurableCaller_HasStarted(self, job), "here",
                    g_hash_table_contains(self->jobs, &job->id));
    /* Left out if a name is not UTF-8, or the job belongs to no queue. */
    json_object_set_new(row, "queue", json_string(job->queue.name));
    json_object_set_new(row, "route", json_string(route_name(self, job)));
    return row;
}

static json_t *
dump_jobs(const DurableJobs *self)
{
    GPtrArray *open = DurableLog_OpenJobs(self->log);
    json_t *jobs = json_array();
    guint i;

    for (i = 0; i < MIN(open->len, MAX_DUMPED_JOBS); i++) {
        json_array_append_new(jobs,
                              dump_job(self, g_ptr_array_index(open, i)));
    }
    g_ptr_array_unref(open);
    return jobs;
}

json_t *
DurableJobs_Dump(const DurableJobs *self, int64_t now_ms)
{
    return json_pack("{s:i, s:i, s:i, s:i, s:I, s:b, s:o}", "open",
                     (int)DurableLog_OpenCount(self->log), "owned",
                     (int)g_hash_table_size(self->jobs), "waiters",
                     (int)self->waiters->len, "recoveries",
                     (int)self->recoveries->len, "log_age_ms",
                     (json_int_t)(now_ms - self->log_read_ms), "leaving",
                     self->leaving, "jobs", dump_jobs(self));
}

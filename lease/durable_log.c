#include "lease/durable_log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define BITS_PER_BYTE 8
#define PROGRESS_LETTER 'p'
#define HEX_DIGITS 16

struct DurableLog {
    GHashTable *jobs; /* id -> DurableLog_Job */
    GHashTable *open; /* ids of submitted jobs that have not ended */
    Claims *claims;
};

static void
free_job(gpointer item)
{
    DurableLog_Job *job = item;

    QueueRef_Clear(&job->queue);
    g_free(job->body);
    g_byte_array_unref(job->done);
    g_array_unref(job->failures);
    g_array_unref(job->submitters);
    g_array_unref(job->writers);
    g_free(job);
}

DurableLog *
DurableLog_New(void)
{
    DurableLog *log = g_new0(DurableLog, 1);

    log->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                      free_job);
    log->open = g_hash_table_new(g_int64_hash, g_int64_equal);
    log->claims = Claims_New();
    return log;
}

void
DurableLog_Free(DurableLog *log)
{
    g_hash_table_unref(log->open);
    g_hash_table_unref(log->jobs);
    Claims_Free(log->claims);
    g_free(log);
}

static void
format_key(char letter, uint64_t about, lc_node writer,
           char key[DURABLE_LOG_KEY_SIZE])
{
    gsize length = (gsize)g_snprintf(key, DURABLE_LOG_KEY_SIZE,
                                     "%c%016" PRIx64 ".%" PRIx64, letter,
                                     about, (uint64_t)writer.incarnation);

    if (writer.address != 0) {
        g_snprintf(key + length, DURABLE_LOG_KEY_SIZE - length, ".%" PRIx64,
                   (uint64_t)writer.address);
    }
}

void
DurableLog_SubmitKey(uint64_t job, lc_node writer,
                     char key[DURABLE_LOG_KEY_SIZE])
{
    format_key('s', job, writer, key);
}

void
DurableLog_ProgressKey(uint64_t job, lc_node writer,
                       char key[DURABLE_LOG_KEY_SIZE])
{
    format_key(PROGRESS_LETTER, job, writer, key);
}

void
DurableLog_CancelKey(uint64_t job, char key[DURABLE_LOG_KEY_SIZE])
{
    g_snprintf(key, DURABLE_LOG_KEY_SIZE, "x%016" PRIx64, job);
}

static void
format_owner_key(char letter, const lc_node *claimed_owner, lc_node writer,
                 char key[DURABLE_LOG_KEY_SIZE])
{
    gsize length;

    format_key(letter, claimed_owner->incarnation, writer, key);
    length = strlen(key);
    g_snprintf(key + length, DURABLE_LOG_KEY_SIZE - length, ".%" PRIx64,
               (uint64_t)claimed_owner->address);
}

void
DurableLog_ClaimKey(const lc_node *claimed_owner, lc_node writer,
                    char key[DURABLE_LOG_KEY_SIZE])
{
    format_owner_key('c', claimed_owner, writer, key);
}

void
DurableLog_CompleteKey(const lc_node *claimed_owner, lc_node writer,
                       char key[DURABLE_LOG_KEY_SIZE])
{
    format_owner_key('f', claimed_owner, writer, key);
}

/* One key for each address, whatever the incarnation. */
void
DurableLog_HeartbeatKey(const lc_node *owner, char key[DURABLE_LOG_KEY_SIZE])
{
    g_snprintf(key, DURABLE_LOG_KEY_SIZE, "h%" PRIx64,
               (uint64_t)owner->address);
}

bool
DurableLog_IsDone(const GByteArray *done, uint32_t task)
{
    return task / BITS_PER_BYTE < done->len &&
           (done->data[task / BITS_PER_BYTE] >> task % BITS_PER_BYTE & 1) != 0;
}

void
DurableLog_MarkDone(GByteArray *done, uint32_t task)
{
    guint8 nothing = 0;

    while (done->len <= task / BITS_PER_BYTE) {
        g_byte_array_append(done, &nothing, 1);
    }
    done->data[task / BITS_PER_BYTE] |= (guint8)(1U << task % BITS_PER_BYTE);
}

DurableLog_Job *
DurableLog_Find(const DurableLog *log, uint64_t id)
{
    return g_hash_table_lookup(log->jobs, &id);
}

static void
set_queue(DurableLog_Job *job, const QueueRef *queue)
{
    QueueRef copy = QueueRef_Copy(queue);

    QueueRef_Clear(&job->queue);
    job->queue = copy;
}

/* Earlier versions record the queue's name alone. Another record of the job
 * may tell the address as well. */
static void
add_address(DurableLog_Job *job, const QueueRef *queue)
{
    if (job->queue.address == 0 && strcmp(job->queue.name, queue->name) == 0) {
        job->queue.address = queue->address;
    }
}

/* A record may be read before the submission of its job: until that is read,
 * the queue is the one that the record refers to. */
static DurableLog_Job *
find_or_add(DurableLog *log, uint64_t id, const QueueRef *queue)
{
    DurableLog_Job *job = DurableLog_Find(log, id);

    if (job != NULL) {
        add_address(job, queue);
        return job;
    }
    job = g_new0(DurableLog_Job, 1);
    job->id = id;
    job->queue = QueueRef_Copy(queue);
    job->done = g_byte_array_new();
    job->failures = g_array_new(FALSE, TRUE, sizeof(lc_kept_failures));
    job->submitters = g_array_new(FALSE, TRUE, sizeof(lc_node));
    job->writers = g_array_new(FALSE, TRUE, sizeof(lc_node));
    g_hash_table_insert(log->jobs, &job->id, job);
    return job;
}

static void
add_writer(GArray *writers, lc_node writer)
{
    if (!Msg_HasNode(writers, &writer)) {
        g_array_append_val(writers, writer);
    }
}

lc_node
DurableLog_Writer(const DurableLog_Record *record)
{
    char text[DURABLE_LOG_KEY_SIZE];
    lc_node writer = {0, 0};
    const char *dot;
    char *end;

    g_strlcpy(text, record->key, MIN(record->key_length + 1, sizeof(text)));
    dot = strchr(text, '.');
    if (dot == NULL) {
        return writer;
    }
    writer.incarnation = g_ascii_strtoull(dot + 1, &end, HEX_DIGITS);
    if (*end == '.') {
        writer.address = g_ascii_strtoull(end + 1, NULL, HEX_DIGITS);
    }
    return writer;
}

/* The effective submission decides, whatever was read before it. */
static void
refer_as_submitted(DurableLog_Job *job, const QueueRef *queue)
{
    QueueRef before = QueueRef_Copy(&job->queue);

    set_queue(job, queue);
    add_address(job, &before);
    QueueRef_Clear(&before);
}

static DurableLog_Change
apply_submit(DurableLog *log, const DurableLog_Record *record, uint64_t id,
             const QueueRef *queue, const lc_kept_submit *submit)
{
    DurableLog_Job *job = find_or_add(log, id, queue);
    DurableLog_Change change = {.kind = DURABLE_LOG_UNCHANGED, .job = job};

    add_writer(job->submitters, DurableLog_Writer(record));
    if (job->submitted && job->offset <= record->offset) {
        return change;
    }
    change.kind = DURABLE_LOG_SUBMITTED;
    job->submitted = true;
    job->offset = record->offset;
    job->owner = submit->owner;
    refer_as_submitted(job, queue);
    if (job->outcome == LC_KEPT_OPEN) {
        g_free(job->body);
        job->body = g_strdup(submit->body);
        g_hash_table_add(log->open, &job->id);
    }
    return change;
}

static void
merge_failures(DurableLog_Job *job, const lc_kept_failures *row)
{
    guint i;

    for (i = 0; i < job->failures->len; i++) {
        lc_kept_failures *known = &g_array_index(job->failures,
                                                 lc_kept_failures, i);
        if (known->task == row->task) {
            known->count = MAX(known->count, row->count);
            known->run = MAX(known->run, row->run);
            return;
        }
    }
    g_array_append_val(job->failures, *row);
}

static void
merge_progress(DurableLog_Job *job, const lc_kept_progress *progress)
{
    const uint8_t *bits = (const uint8_t *)progress->done.done_val;
    uint32_t bit;
    u_int i;

    for (i = 0; i < progress->done.done_len; i++) {
        for (bit = 0; bit < BITS_PER_BYTE; bit++) {
            if ((bits[i] >> bit & 1) != 0) {
                DurableLog_MarkDone(job->done, i * BITS_PER_BYTE + bit);
            }
        }
    }
    for (i = 0; i < progress->failures.failures_len; i++) {
        merge_failures(job, &progress->failures.failures_val[i]);
    }
}

static DurableLog_Change
apply_progress(DurableLog *log, int64_t now_ms,
               const DurableLog_Record *record, uint64_t id,
               const QueueRef *queue, const lc_kept_progress *progress)
{
    DurableLog_Job *job = find_or_add(log, id, queue);
    DurableLog_Change change = {.kind = DURABLE_LOG_PROGRESSED, .job = job};

    add_writer(job->writers, DurableLog_Writer(record));
    merge_progress(job, progress);
    if (progress->outcome == LC_KEPT_OPEN ||
        (job->outcome != LC_KEPT_OPEN &&
         job->outcome_offset <= record->offset)) {
        return change;
    }
    if (job->outcome == LC_KEPT_OPEN) {
        job->outcome_ms = now_ms;
    }
    job->outcome = progress->outcome;
    job->outcome_offset = record->offset;
    g_clear_pointer(&job->body, g_free);
    g_hash_table_remove(log->open, &job->id);
    return change;
}

static DurableLog_Change
apply_claim(DurableLog *log, uint64_t offset, const lc_kept_claim *claim)
{
    DurableLog_Change change = {.kind = DURABLE_LOG_UNCHANGED};

    if (Claims_Add(log->claims, offset, &claim->gone, &claim->successor)) {
        change.kind = DURABLE_LOG_CLAIMED;
        change.claimed_owner = claim->gone;
        change.successor = claim->successor;
    }
    else if (!Claims_IsInOrder(log->claims)) {
        change.kind = DURABLE_LOG_REORDERED;
    }
    return change;
}

/* The progress records of a job are deleted last, after its retention time. */
static DurableLog_Change
apply_deletion(DurableLog *log, const DurableLog_Record *record)
{
    DurableLog_Change change = {.kind = DURABLE_LOG_UNCHANGED};
    char digits[HEX_DIGITS + 1] = "";
    DurableLog_Job *job;

    if (record->key_length < 1 + HEX_DIGITS ||
        record->key[0] != PROGRESS_LETTER) {
        return change;
    }
    memcpy(digits, record->key + 1, HEX_DIGITS);
    job = DurableLog_Find(log, g_ascii_strtoull(digits, NULL, HEX_DIGITS));
    if (job != NULL && job->outcome != LC_KEPT_OPEN) {
        g_hash_table_remove(log->jobs, &job->id);
        change.kind = DURABLE_LOG_DELETED;
    }
    return change;
}

/* The queue that a record refers to; the name is borrowed. */
static QueueRef
queue_of(const lc_kept_record *record)
{
    const lc_kept_body *body = &record->body;
    QueueRef queue = {"", record->queue_address};

    switch (body->kind) {
    case LC_KEPT_SUBMIT:
        queue.name = body->lc_kept_body_u.submit.queue;
        break;
    case LC_KEPT_PROGRESS:
        queue.name = body->lc_kept_body_u.progress.queue;
        break;
    case LC_KEPT_CANCEL:
        queue.name = body->lc_kept_body_u.queue;
        break;
    default:
        break;
    }
    return queue;
}

DurableLog_Change
DurableLog_Apply(DurableLog *log, int64_t now_ms,
                 const DurableLog_Record *record)
{
    DurableLog_Change change = {.kind = DURABLE_LOG_UNCHANGED};
    lc_kept_record read;
    QueueRef queue;

    if (record->length == 0) {
        return apply_deletion(log, record);
    }
    if (!Msg_DecodeDurableRecord(record->value, record->length, &read)) {
        return change;
    }
    queue = queue_of(&read);
    switch (read.body.kind) {
    case LC_KEPT_SUBMIT:
        change = apply_submit(log, record, read.job, &queue,
                              &read.body.lc_kept_body_u.submit);
        break;
    case LC_KEPT_PROGRESS:
        change = apply_progress(log, now_ms, record, read.job, &queue,
                                &read.body.lc_kept_body_u.progress);
        break;
    case LC_KEPT_CANCEL:
        change.kind = DURABLE_LOG_CANCELLED;
        change.job = find_or_add(log, read.job, &queue);
        change.job->cancelled = true;
        break;
    case LC_KEPT_ALIVE:
        change.kind = DURABLE_LOG_OWNER_ALIVE;
        change.claimed_owner = read.body.lc_kept_body_u.alive;
        break;
    case LC_KEPT_CLAIM:
        change = apply_claim(log, record->offset,
                             &read.body.lc_kept_body_u.claim);
        break;
    case LC_KEPT_COMPLETE:
        Claims_SetComplete(log->claims, &read.body.lc_kept_body_u.complete);
        break;
    }
    Msg_FreeDurableRecord(&read);
    return change;
}

lc_node
DurableLog_OwnerOf(const DurableLog *log, const DurableLog_Job *job)
{
    return DurableLog_Ownership(log, job).owner;
}

Claims_Ownership
DurableLog_Ownership(const DurableLog *log, const DurableLog_Job *job)
{
    return Claims_Follow(log->claims, &job->owner);
}

Claims *
DurableLog_Claims(const DurableLog *log)
{
    return log->claims;
}

GPtrArray *
DurableLog_OpenJobs(const DurableLog *log)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer id;

    g_hash_table_iter_init(&iter, log->open);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        g_ptr_array_add(list, g_hash_table_lookup(log->jobs, id));
    }
    return list;
}

GPtrArray *
DurableLog_EndedJobs(const DurableLog *log, int64_t until_ms)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, log->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const DurableLog_Job *job = item;
        if (job->outcome != LC_KEPT_OPEN && job->outcome_ms <= until_ms) {
            g_ptr_array_add(list, item);
        }
    }
    return list;
}

void
DurableLog_AddAddress(DurableLog_Job *job, Route_Table *routes)
{
    const Route *route;

    if (job->queue.address != 0) {
        return;
    }
    route = Route_FindQueue(routes, &job->queue, NULL);
    if (route != NULL) {
        job->queue.address = Route_Reference(route).address;
    }
}

void
DurableLog_AddAddresses(DurableLog *log, Route_Table *routes)
{
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, log->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        DurableLog_AddAddress(item, routes);
    }
}

uint32_t
DurableLog_OpenCount(const DurableLog *log)
{
    return g_hash_table_size(log->open);
}

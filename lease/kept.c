#include "lease/kept.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Successors of successors: no chain is that long but one that closes on
 * itself. */
#define MOST_CLAIMS 64
#define BITS 8
#define PROGRESS_LETTER 'p'
#define HEX_DIGITS 16

typedef struct {
    uint64_t offset;
    lc_node gone;
    lc_node successor;
    bool counts;
} kept_claim;

struct Kept {
    GHashTable *jobs; /* id -> Kept_Job */
    GHashTable *open; /* set of those that are submitted and not over */
    GArray *claims;   /* kept_claim, by offset */
};

static void
free_job(gpointer item)
{
    Kept_Job *job = item;

    g_free(job->queue);
    g_free(job->body);
    g_byte_array_unref(job->done);
    g_array_unref(job->failures);
    g_array_unref(job->submitters);
    g_array_unref(job->writers);
    g_free(job);
}

Kept *
Kept_New(void)
{
    Kept *kept = g_new0(Kept, 1);

    kept->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                       free_job);
    kept->open = g_hash_table_new(g_int64_hash, g_int64_equal);
    kept->claims = g_array_new(FALSE, TRUE, sizeof(kept_claim));
    return kept;
}

void
Kept_Free(Kept *kept)
{
    g_hash_table_unref(kept->open);
    g_hash_table_unref(kept->jobs);
    g_array_unref(kept->claims);
    g_free(kept);
}

static void
format_key(char letter, uint64_t about, lc_node writer,
           char key[KEPT_KEY_SIZE])
{
    gsize length = (gsize)g_snprintf(key, KEPT_KEY_SIZE,
                                     "%c%016" PRIx64 ".%" PRIx64, letter,
                                     about, (uint64_t)writer.incarnation);

    if (writer.address != 0) {
        g_snprintf(key + length, KEPT_KEY_SIZE - length, ".%" PRIx64,
                   (uint64_t)writer.address);
    }
}

void
Kept_SubmitKey(uint64_t job, lc_node writer, char key[KEPT_KEY_SIZE])
{
    format_key('s', job, writer, key);
}

void
Kept_ProgressKey(uint64_t job, lc_node writer, char key[KEPT_KEY_SIZE])
{
    format_key(PROGRESS_LETTER, job, writer, key);
}

void
Kept_CancelKey(uint64_t job, char key[KEPT_KEY_SIZE])
{
    g_snprintf(key, KEPT_KEY_SIZE, "x%016" PRIx64, job);
}

void
Kept_ClaimKey(const lc_node *gone, lc_node writer, char key[KEPT_KEY_SIZE])
{
    gsize length;

    format_key('c', gone->incarnation, writer, key);
    length = strlen(key);
    g_snprintf(key + length, KEPT_KEY_SIZE - length, ".%" PRIx64,
               (uint64_t)gone->address);
}

/* One for each address, whatever its incarnation. */
void
Kept_AliveKey(const lc_node *owner, char key[KEPT_KEY_SIZE])
{
    g_snprintf(key, KEPT_KEY_SIZE, "h%" PRIx64, (uint64_t)owner->address);
}

bool
Kept_IsDone(const GByteArray *done, uint32_t task)
{
    return task / BITS < done->len &&
           (done->data[task / BITS] >> task % BITS & 1) != 0;
}

void
Kept_MarkDone(GByteArray *done, uint32_t task)
{
    guint8 nothing = 0;

    while (done->len <= task / BITS) {
        g_byte_array_append(done, &nothing, 1);
    }
    done->data[task / BITS] |= (guint8)(1U << task % BITS);
}

Kept_Job *
Kept_Find(const Kept *kept, uint64_t id)
{
    return g_hash_table_lookup(kept->jobs, &id);
}

static Kept_Job *
find_or_add(Kept *kept, uint64_t id, const char *queue)
{
    Kept_Job *job = Kept_Find(kept, id);

    if (job != NULL) {
        return job;
    }
    job = g_new0(Kept_Job, 1);
    job->id = id;
    job->queue = g_strdup(queue);
    job->done = g_byte_array_new();
    job->failures = g_array_new(FALSE, TRUE, sizeof(lc_kept_failures));
    job->submitters = g_array_new(FALSE, TRUE, sizeof(lc_node));
    job->writers = g_array_new(FALSE, TRUE, sizeof(lc_node));
    g_hash_table_insert(kept->jobs, &job->id, job);
    return job;
}

static void
note_writer(GArray *writers, lc_node writer)
{
    if (!Msg_HasNode(writers, &writer)) {
        g_array_append_val(writers, writer);
    }
}

lc_node
Kept_Writer(const Kept_Record *record)
{
    char text[KEPT_KEY_SIZE];
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

static Kept_Change
take_submit(Kept *kept, const Kept_Record *record, uint64_t id,
            const lc_kept_submit *submit)
{
    Kept_Job *job = find_or_add(kept, id, submit->queue);
    Kept_Change change = {.kind = KEPT_NOTHING, .job = job};

    note_writer(job->submitters, Kept_Writer(record));
    if (job->submitted && job->offset <= record->offset) {
        return change;
    }
    change.kind = KEPT_SUBMITTED;
    job->submitted = true;
    job->offset = record->offset;
    job->owner = submit->owner;
    if (job->outcome == LC_KEPT_OPEN) {
        g_free(job->body);
        job->body = g_strdup(submit->body);
        g_hash_table_add(kept->open, &job->id);
    }
    return change;
}

static void
merge_failures(Kept_Job *job, const lc_kept_failures *row)
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
merge_progress(Kept_Job *job, const lc_kept_progress *progress)
{
    const uint8_t *bits = (const uint8_t *)progress->done.done_val;
    uint32_t bit;
    u_int i;

    for (i = 0; i < progress->done.done_len; i++) {
        for (bit = 0; bit < BITS; bit++) {
            if ((bits[i] >> bit & 1) != 0) {
                Kept_MarkDone(job->done, i * BITS + bit);
            }
        }
    }
    for (i = 0; i < progress->failures.failures_len; i++) {
        merge_failures(job, &progress->failures.failures_val[i]);
    }
}

static Kept_Change
take_progress(Kept *kept, int64_t now_ms, const Kept_Record *record,
              uint64_t id, const lc_kept_progress *progress)
{
    Kept_Job *job = find_or_add(kept, id, progress->queue);
    Kept_Change change = {.kind = KEPT_PROGRESSED, .job = job};

    note_writer(job->writers, Kept_Writer(record));
    merge_progress(job, progress);
    if (progress->outcome == LC_KEPT_OPEN ||
        (job->outcome != LC_KEPT_OPEN && job->over_offset <= record->offset)) {
        return change;
    }
    if (job->outcome == LC_KEPT_OPEN) {
        job->over_ms = now_ms;
    }
    job->outcome = progress->outcome;
    job->over_offset = record->offset;
    g_clear_pointer(&job->body, g_free);
    g_hash_table_remove(kept->open, &job->id);
    return change;
}

static kept_claim *
find_claim(const Kept *kept, const lc_node *gone)
{
    guint i;

    for (i = 0; i < kept->claims->len; i++) {
        kept_claim *claim = &g_array_index(kept->claims, kept_claim, i);
        if (claim->counts && Msg_SameNode(&claim->gone, gone)) {
            return claim;
        }
    }
    return NULL;
}

static gint
compare_claims(gconstpointer a, gconstpointer b)
{
    const kept_claim *left = a;
    const kept_claim *right = b;

    return left->offset < right->offset ? -1 : left->offset > right->offset;
}

/* Of an owner the first claim counts, unless its successor was claimed before:
 * so two that claim each other do not both lose. */
static void
judge_claims(Kept *kept)
{
    guint i;

    g_array_sort(kept->claims, compare_claims);
    for (i = 0; i < kept->claims->len; i++) {
        g_array_index(kept->claims, kept_claim, i).counts = false;
    }
    for (i = 0; i < kept->claims->len; i++) {
        kept_claim *claim = &g_array_index(kept->claims, kept_claim, i);
        claim->counts = find_claim(kept, &claim->gone) == NULL &&
                        find_claim(kept, &claim->successor) == NULL;
    }
}

static bool
is_known(const Kept *kept, uint64_t offset)
{
    guint i;

    for (i = 0; i < kept->claims->len; i++) {
        if (g_array_index(kept->claims, kept_claim, i).offset == offset) {
            return true;
        }
    }
    return false;
}

static Kept_Change
take_claim(Kept *kept, uint64_t offset, const lc_kept_claim *taken)
{
    Kept_Change change = {.kind = KEPT_NOTHING};
    kept_claim fresh = {offset, taken->gone, taken->successor, false};
    const kept_claim *counts;

    if (is_known(kept, offset)) {
        return change;
    }
    g_array_append_val(kept->claims, fresh);
    judge_claims(kept);
    counts = find_claim(kept, &taken->gone);
    if (counts != NULL && counts->offset == offset) {
        change.kind = KEPT_CLAIMED;
        change.gone = taken->gone;
        change.successor = taken->successor;
    }
    return change;
}

/* Progress is dropped last, once nobody asks for the job any more. */
static Kept_Change
take_drop(Kept *kept, const Kept_Record *record)
{
    Kept_Change change = {.kind = KEPT_NOTHING};
    char digits[HEX_DIGITS + 1] = "";
    Kept_Job *job;

    if (record->key_length < 1 + HEX_DIGITS ||
        record->key[0] != PROGRESS_LETTER) {
        return change;
    }
    memcpy(digits, record->key + 1, HEX_DIGITS);
    job = Kept_Find(kept, g_ascii_strtoull(digits, NULL, HEX_DIGITS));
    if (job != NULL && job->outcome != LC_KEPT_OPEN) {
        g_hash_table_remove(kept->jobs, &job->id);
        change.kind = KEPT_DROPPED;
    }
    return change;
}

Kept_Change
Kept_Take(Kept *kept, int64_t now_ms, const Kept_Record *record)
{
    Kept_Change change = {.kind = KEPT_NOTHING};
    lc_kept_record read;

    if (record->length == 0) {
        return take_drop(kept, record);
    }
    if (!Msg_DecodeKept(record->value, record->length, &read)) {
        return change;
    }
    switch (read.body.kind) {
    case LC_KEPT_SUBMIT:
        change = take_submit(kept, record, read.job,
                             &read.body.lc_kept_body_u.submit);
        break;
    case LC_KEPT_PROGRESS:
        change = take_progress(kept, now_ms, record, read.job,
                               &read.body.lc_kept_body_u.progress);
        break;
    case LC_KEPT_CANCEL:
        change.kind = KEPT_CANCELLED;
        change.job = find_or_add(kept, read.job,
                                 read.body.lc_kept_body_u.queue);
        change.job->cancelled = true;
        break;
    case LC_KEPT_ALIVE:
        change.kind = KEPT_ALIVE;
        change.gone = read.body.lc_kept_body_u.alive;
        break;
    case LC_KEPT_CLAIM:
        change = take_claim(kept, record->offset,
                            &read.body.lc_kept_body_u.claim);
        break;
    }
    Msg_FreeKept(&read);
    return change;
}

/* Follows claims from an owner; returns how many there were. */
static uint32_t
follow_claims(const Kept *kept, lc_node *node)
{
    uint32_t count = 0;
    const kept_claim *claim = find_claim(kept, node);

    while (claim != NULL && count < MOST_CLAIMS) {
        *node = claim->successor;
        count++;
        claim = find_claim(kept, node);
    }
    return count;
}

lc_node
Kept_OwnerOf(const Kept *kept, const Kept_Job *job)
{
    lc_node node = job->owner;

    follow_claims(kept, &node);
    return node;
}

uint32_t
Kept_Generation(const Kept *kept, const Kept_Job *job)
{
    lc_node node = job->owner;

    return follow_claims(kept, &node);
}

static bool
leads_to(const Kept *kept, lc_node from, const lc_node *node)
{
    uint32_t count;

    for (count = 0; count < MOST_CLAIMS; count++) {
        const kept_claim *claim = find_claim(kept, &from);
        if (Msg_SameNode(&from, node)) {
            return true;
        }
        if (claim == NULL) {
            return false;
        }
        from = claim->successor;
    }
    return false;
}

bool
Kept_Passed(const Kept *kept, const Kept_Job *job, const lc_node *node)
{
    return leads_to(kept, job->owner, node);
}

GArray *
Kept_Line(const Kept *kept, const lc_node *node)
{
    GArray *line = g_array_new(FALSE, TRUE, sizeof(lc_node));
    guint i;

    g_array_append_val(line, *node);
    for (i = 0; i < kept->claims->len && line->len < LC_MAX_PEERS; i++) {
        lc_node gone = g_array_index(kept->claims, kept_claim, i).gone;
        if (!Msg_SameNode(&gone, node) && leads_to(kept, gone, node)) {
            g_array_append_val(line, gone);
        }
    }
    return line;
}

GPtrArray *
Kept_Open(const Kept *kept)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer id;

    g_hash_table_iter_init(&iter, kept->open);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        g_ptr_array_add(list, g_hash_table_lookup(kept->jobs, id));
    }
    return list;
}

GPtrArray *
Kept_Over(const Kept *kept, int64_t until_ms)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, kept->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const Kept_Job *job = item;
        if (job->outcome != LC_KEPT_OPEN && job->over_ms <= until_ms) {
            g_ptr_array_add(list, item);
        }
    }
    return list;
}

uint32_t
Kept_OpenCount(const Kept *kept)
{
    return g_hash_table_size(kept->open);
}

#include "core/job.h"

#include <string.h>

struct Ledger {
    uint32_t max_jobs;
    size_t max_bytes;
    size_t bytes;
    GHashTable *by_key;
    Handle_Table *handles;
    GQueue ended;        /* jobs, oldest end first */
    GQueue with_answers; /* ended jobs whose results are kept, same order */
};

static const char *const job_state_texts[] = {
#define X(name, text) text,
    JOB_STATE_LIST(X)
#undef X
};

const char *
Job_StateText(Job_State state)
{
    return job_state_texts[state];
}

bool
Job_HasStarted(const Job *job)
{
    return job->waiting < job->total;
}

int64_t
Job_NextWaiting(Job *job)
{
    while (job->first_waiting < job->total &&
           job->tasks[job->first_waiting].state != TASK_WAITING) {
        job->first_waiting++;
    }
    return job->first_waiting < job->total ? (int64_t)job->first_waiting : -1;
}

void
Job_SetTotal(Job *job, uint32_t total)
{
    job->total = total;
    job->waiting = total;
    job->tasks = g_new0(Task, total);
}

void
Job_SetPayload(Job *job, uint32_t index, const void *data, uint32_t length)
{
    Task *task = &job->tasks[index];

    g_free(task->payload);
    task->payload = length == 0 ? NULL : g_memdup2(data, length);
    task->length = length;
}

void
Job_SetResult(Job *job, uint32_t index, uint32_t code, const void *data,
              uint32_t length)
{
    Task *task = &job->tasks[index];

    g_free(task->result);
    task->result = length == 0 ? NULL : g_memdup2(data, length);
    task->result_length = length;
    task->code = code;
    task->state = TASK_DONE;
    job->result_bytes += length;
}

void
Job_FreeTasks(Job *job)
{
    uint32_t i;

    for (i = 0; job->tasks != NULL && i < job->total; i++) {
        g_free(job->tasks[i].payload);
        g_free(job->tasks[i].result);
    }
    g_free(job->tasks);
    g_free(job->packed);
    job->tasks = NULL;
    job->packed = NULL;
    job->total = 0;
    job->waiting = 0;
    job->done = 0;
    job->first_waiting = 0;
    job->result_bytes = 0;
}

void
Job_AddWaiter(Job *job, const Job_Waiter *waiter)
{
    if (job->waiters == NULL) {
        job->waiters = g_array_new(FALSE, FALSE, sizeof(Job_Waiter));
    }
    g_array_append_val(job->waiters, *waiter);
}

/* Header of one result in a packed job; all bytes follow the last header. */
typedef struct {
    uint32_t code;
    uint32_t length;
} packed_result;

/* Copies all results into one block, with 8 bytes of header per task. */
static void
pack_results(Job *job)
{
    uint32_t total = job->total;
    size_t size = total * sizeof(packed_result) + job->result_bytes;
    packed_result *headers = g_malloc(size);
    uint8_t *bytes = (uint8_t *)(headers + total);
    uint32_t i;

    for (i = 0; i < total; i++) {
        const Task *task = &job->tasks[i];
        headers[i].code = task->code;
        headers[i].length = task->result_length;
        if (task->result_length > 0) {
            memcpy(bytes, task->result, task->result_length);
        }
        bytes += task->result_length;
    }
    Job_FreeTasks(job);
    job->total = total;
    job->done = total;
    job->packed = headers;
    job->result_bytes = size;
}

void
Job_Results(const Job *job, lc_result *results)
{
    const packed_result *headers = job->packed;
    char *bytes = (char *)(uintptr_t)(headers + job->total);
    uint32_t i;

    for (i = 0; i < job->total; i++) {
        results[i].code = headers[i].code;
        results[i].data.data_len = headers[i].length;
        results[i].data.data_val = bytes;
        bytes += headers[i].length;
    }
}

static void
free_job(gpointer item)
{
    Job *job = item;

    Job_FreeTasks(job);
    if (job->waiters != NULL) {
        g_array_unref(job->waiters);
    }
    g_free(job);
}

Ledger *
Ledger_New(uint32_t max_jobs, size_t max_bytes)
{
    Ledger *ledger = g_new0(Ledger, 1);

    ledger->max_jobs = max_jobs;
    ledger->max_bytes = max_bytes;
    ledger->by_key = g_hash_table_new_full(Key_Hash, Key_Equal, NULL,
                                           free_job);
    ledger->handles = Handle_NewTable();
    g_queue_init(&ledger->ended);
    g_queue_init(&ledger->with_answers);
    return ledger;
}

void
Ledger_Free(Ledger *ledger)
{
    if (ledger == NULL) {
        return;
    }
    g_queue_clear(&ledger->ended);
    g_queue_clear(&ledger->with_answers);
    g_hash_table_unref(ledger->by_key);
    Handle_FreeTable(ledger->handles);
    g_free(ledger);
}

Job *
Ledger_Find(const Ledger *ledger, const Key *key)
{
    return g_hash_table_lookup(ledger->by_key, key);
}

Job *
Ledger_Get(const Ledger *ledger, Handle handle)
{
    return Handle_Get(ledger->handles, handle);
}

Job *
Ledger_Add(Ledger *ledger, const Key *key)
{
    Job *job;

    if (g_hash_table_size(ledger->by_key) >= ledger->max_jobs) {
        return NULL;
    }
    job = g_new0(Job, 1);
    job->key = *key;
    job->message = "";
    job->group = "";
    job->handle = Handle_Add(ledger->handles, job);
    g_hash_table_insert(ledger->by_key, &job->key, job);
    return job;
}

static void
unlink_ended(Ledger *ledger, Job *job)
{
    if (job->ended_link == NULL) {
        return;
    }
    g_queue_delete_link(&ledger->ended, job->ended_link);
    job->ended_link = NULL;
    if (job->result_bytes > 0) {
        ledger->bytes -= job->result_bytes;
        g_queue_remove(&ledger->with_answers, job);
    }
}

void
Ledger_Remove(Ledger *ledger, Job *job)
{
    unlink_ended(ledger, job);
    Handle_Remove(ledger->handles, job->handle);
    g_hash_table_remove(ledger->by_key, &job->key);
}

static void
evict_oldest_answer(Ledger *ledger)
{
    Job *job = g_queue_pop_head(&ledger->with_answers);

    ledger->bytes -= job->result_bytes;
    Job_FreeTasks(job);
    job->state = JOB_FAILED;
    job->kind = ERR_ANSWER_EVICTED;
    job->message = "the job is done, but its answer was evicted";
}

void
Ledger_MarkEnded(Ledger *ledger, Job *job, int64_t mono_ms)
{
    job->ended_ms = mono_ms;
    g_queue_push_tail(&ledger->ended, job);
    job->ended_link = ledger->ended.tail;
    if (job->state == JOB_FAILED) {
        Job_FreeTasks(job);
    }
    else if (job->state == JOB_DONE) {
        pack_results(job);
    }
    if (job->result_bytes > 0) {
        ledger->bytes += job->result_bytes;
        g_queue_push_tail(&ledger->with_answers, job);
    }
    /* This job's own answer stays: its waiters are about to get it. */
    while (ledger->bytes > ledger->max_bytes &&
           g_queue_peek_head(&ledger->with_answers) != job) {
        evict_oldest_answer(ledger);
    }
}

void
Ledger_Reopen(Ledger *ledger, Job *job)
{
    unlink_ended(ledger, job);
}

void
Ledger_Expire(Ledger *ledger, int64_t mono_ms)
{
    Job *job = g_queue_peek_head(&ledger->ended);

    while (job != NULL && job->ended_ms < mono_ms) {
        Ledger_Remove(ledger, job);
        job = g_queue_peek_head(&ledger->ended);
    }
}

uint32_t
Ledger_Count(const Ledger *ledger)
{
    return g_hash_table_size(ledger->by_key);
}

size_t
Ledger_Bytes(const Ledger *ledger)
{
    return ledger->bytes;
}

void
Ledger_ForEach(const Ledger *ledger, void (*visit)(Job *job, void *context),
               void *context)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, ledger->by_key);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        visit(value, context);
    }
}

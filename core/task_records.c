#include "core/task_records.h"

#include <string.h>

struct TaskRecords {
    uint32_t max_records;
    size_t max_bytes;
    size_t bytes;
    uint64_t last_number;
    GHashTable *by_task; /* set of TaskRecord, by key and index */
    Handle_Table *handles;
    GQueue order;        /* all records, ascending by number */
    GQueue with_results; /* ended records with results, oldest first */
};

static guint
hash_record(gconstpointer item)
{
    const TaskRecord *record = item;

    return Key_Hash(&record->key) ^ (record->index * 0x9E3779B1U);
}

static gboolean
equal_records(gconstpointer a, gconstpointer b)
{
    const TaskRecord *left = a;
    const TaskRecord *right = b;

    return left->index == right->index && Key_Equal(&left->key, &right->key);
}

static void
free_record(gpointer item)
{
    TaskRecord *record = item;

    g_free(record->result);
    if (record->waiters != NULL) {
        g_array_unref(record->waiters);
    }
    g_free(record);
}

TaskRecords *
TaskRecords_New(uint32_t max_records, size_t max_bytes)
{
    TaskRecords *records = g_new0(TaskRecords, 1);

    records->max_records = max_records;
    records->max_bytes = max_bytes;
    records->by_task = g_hash_table_new_full(hash_record, equal_records, NULL,
                                             free_record);
    records->handles = Handle_NewTable();
    g_queue_init(&records->order);
    g_queue_init(&records->with_results);
    return records;
}

void
TaskRecords_Free(TaskRecords *records)
{
    if (records == NULL) {
        return;
    }
    g_queue_clear(&records->order);
    g_queue_clear(&records->with_results);
    g_hash_table_unref(records->by_task);
    Handle_FreeTable(records->handles);
    g_free(records);
}

TaskRecord *
TaskRecords_Find(const TaskRecords *records, const Key *key, uint32_t index)
{
    TaskRecord wanted;

    wanted.key = *key;
    wanted.index = index;
    return g_hash_table_lookup(records->by_task, &wanted);
}

TaskRecord *
TaskRecords_Get(const TaskRecords *records, Handle handle)
{
    return Handle_Get(records->handles, handle);
}

TaskRecord *
TaskRecords_Add(TaskRecords *records, const Key *key, uint32_t index)
{
    TaskRecord *record;

    if (g_hash_table_size(records->by_task) >= records->max_records) {
        return NULL;
    }
    record = g_new0(TaskRecord, 1);
    record->key = *key;
    record->index = index;
    record->number = ++records->last_number;
    record->state = LC_TASK_RUNNING;
    record->handle = Handle_Add(records->handles, record);
    record->waiters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_hash_table_add(records->by_task, record);
    g_queue_push_tail(&records->order, record);
    return record;
}

static void
free_result(TaskRecords *records, TaskRecord *record)
{
    if (record->length == 0) {
        return;
    }
    g_queue_remove(&records->with_results, record);
    records->bytes -= record->length;
    g_free(record->result);
    record->result = NULL;
    record->length = 0;
}

void
TaskRecords_Remove(TaskRecords *records, TaskRecord *record)
{
    free_result(records, record);
    g_queue_remove(&records->order, record);
    Handle_Remove(records->handles, record->handle);
    g_hash_table_remove(records->by_task, record);
}

static void
evict_results(TaskRecords *records)
{
    while (records->bytes > records->max_bytes) {
        TaskRecord *record = g_queue_peek_head(&records->with_results);
        free_result(records, record);
        record->state = LC_TASK_EVICTED;
    }
}

void
TaskRecords_End(TaskRecords *records, TaskRecord *record, lc_task_state state,
                uint32_t code, const void *result, uint32_t length,
                int64_t mono_ms)
{
    record->state = state;
    record->code = code;
    record->ended_ms = mono_ms;
    record->length = length;
    if (length > 0) {
        record->result = g_memdup2(result, length);
        records->bytes += length;
        g_queue_push_tail(&records->with_results, record);
    }
    Handle_Remove(records->handles, record->handle);
    evict_results(records);
}

void
TaskRecords_Expire(TaskRecords *records, int64_t mono_ms)
{
    TaskRecord *record = g_queue_peek_head(&records->order);

    while (record != NULL && record->state != LC_TASK_RUNNING &&
           record->ended_ms < mono_ms) {
        TaskRecords_Remove(records, record);
        record = g_queue_peek_head(&records->order);
    }
}

uint32_t
TaskRecords_Count(const TaskRecords *records)
{
    return g_hash_table_size(records->by_task);
}

size_t
TaskRecords_Bytes(const TaskRecords *records)
{
    return records->bytes;
}

void
TaskRecords_Each(const TaskRecords *records, uint64_t after,
                 bool (*visit)(const TaskRecord *record, void *context),
                 void *context)
{
    const GList *item;

    for (item = records->order.head; item != NULL; item = item->next) {
        const TaskRecord *record = item->data;
        if (record->number > after && !visit(record, context)) {
            return;
        }
    }
}

/**
 * @file task_records.h
 * @brief Records of the tasks that a companion has started. They make a
 * repeated START idempotent, and new owners of keys recover jobs from them.
 *
 * A record is created before the task is passed to the upstream and kept for
 * the deduplication window after the task's end. When memory is short, results
 * are evicted, oldest first; the records stay.
 *
 * Memory: the table owns its records; a TaskRecord is valid until it is
 * removed or expires.
 */
#ifndef LC_CORE_TASK_RECORDS_H
#define LC_CORE_TASK_RECORDS_H

#include <glib.h>

#include "base/handle_table.h"
#include "core/node.h"

/** One started task. */
typedef struct {
    Key key;
    uint32_t index;
    uint32_t total;
    uint64_t number; /**< ascending in order of creation */
    Handle handle;
    lc_node starter;   /**< entry that sent the START call */
    const char *group; /**< interned */
    lc_task_state state;
    uint32_t code;
    uint8_t *result;
    uint32_t length;
    int64_t started_ms;
    int64_t ended_ms;
    bool timed_out;
    GArray *waiters; /**< uint64_t: ids of calls to reply to at the end */
} TaskRecord;

typedef struct TaskRecords TaskRecords;

/** Creates a table; @p max_bytes limits the memory of results. */
TaskRecords *TaskRecords_New(uint32_t max_records, size_t max_bytes);
void TaskRecords_Free(TaskRecords *records);

TaskRecord *TaskRecords_Find(const TaskRecords *records, const Key *key,
                             uint32_t index);
TaskRecord *TaskRecords_Get(const TaskRecords *records, Handle handle);

/** Adds a record in state LC_TASK_RUNNING; NULL if the table is full. */
TaskRecord *TaskRecords_Add(TaskRecords *records, const Key *key,
                            uint32_t index);

/** Removes the record of a task that was not started after all. */
void TaskRecords_Remove(TaskRecords *records, TaskRecord *record);

/** Marks the task as ended and stores a copy of its result. */
void TaskRecords_End(TaskRecords *records, TaskRecord *record,
                     lc_task_state state, uint32_t code, const void *result,
                     uint32_t length, int64_t mono_ms);

/** Removes records of tasks that ended before @p mono_ms. */
void TaskRecords_Expire(TaskRecords *records, int64_t mono_ms);

uint32_t TaskRecords_Count(const TaskRecords *records);

/** Bytes of the results held. */
size_t TaskRecords_Bytes(const TaskRecords *records);

/** Visits records numbered above @p after until @p visit returns false. */
void TaskRecords_Each(const TaskRecords *records, uint64_t after,
                      bool (*visit)(const TaskRecord *record, void *context),
                      void *context);

#endif

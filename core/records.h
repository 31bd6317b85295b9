/**
 * @file records.h
 * @brief What a companion ever started: the record that makes a repeated
 * START safe and that entries inherit from.
 *
 * A record is made before the task is passed on and kept for the dedupe
 * window after its end. Results are dropped first under memory pressure,
 * oldest first; the records stay.
 *
 * Ownership: the table owns its records; a Record is valid until it is
 * removed or expires.
 */
#ifndef LC_CORE_RECORDS_H
#define LC_CORE_RECORDS_H

#include <glib.h>

#include "base/handle.h"
#include "core/node.h"

/** One started task. */
typedef struct {
    Key key;
    uint32_t index;
    uint32_t total;
    uint64_t number; /**< rises with each record */
    Handle handle;
    lc_node starter;   /**< entry that had it started */
    const char *group; /**< interned */
    lc_task_state state;
    uint32_t code;
    uint8_t *result;
    uint32_t length;
    int64_t started_ms;
    int64_t ended_ms;
    bool timed_out;
    GArray *waiters; /**< uint64_t reply ids */
} Record;

/** Opaque table. */
typedef struct Records Records;

Records *Records_New(uint32_t max_records, size_t max_bytes);
void Records_Free(Records *records);

Record *Records_Find(const Records *records, const Key *key, uint32_t index);
Record *Records_Get(const Records *records, Handle handle);

/** New record in state running, or NULL when the table is full. */
Record *Records_Add(Records *records, const Key *key, uint32_t index);

/** Forgets a task that did not start after all. */
void Records_Remove(Records *records, Record *record);

/** Marks the task ended and keeps a copy of its result. */
void Records_End(Records *records, Record *record, lc_task_state state,
                 uint32_t code, const void *result, uint32_t length,
                 int64_t mono_ms);

/** Removes records that ended before @p mono_ms. */
void Records_Expire(Records *records, int64_t mono_ms);

uint32_t Records_Count(const Records *records);
size_t Records_Bytes(const Records *records);

/** Visits records numbered above @p after until @p visit says false. */
void Records_Each(const Records *records, uint64_t after,
                  bool (*visit)(const Record *record, void *context),
                  void *context);

#endif

/**
 * @file table.h
 * @brief The operators' table: one row for each group, with its weight and
 * limits, versioned by the log offset of the record that set it.
 *
 * A deleted row stays as a tombstone with its version, so that an edit based
 * on the row before the deletion is still refused as stale.
 */
#ifndef LC_CORE_TABLE_H
#define LC_CORE_TABLE_H

#include <glib.h>

#include "core/node.h"

/** Columns: X(field, JSON and CSV name, least, most, default). 0: no limit */
#define TABLE_COLUMNS(X)                                                      \
    X(weight, "weight", 1, 1000000, 1)                                        \
    X(max_running, "max_running", 0, 1000000, 0)                              \
    X(max_queued, "max_queued", 0, 10000000, 0)                               \
    X(starts_per_s, "starts_per_s", 0, 1000000, 0)                            \
    X(max_wait_ms, "max_wait_ms", 0, 86400000, 0)

/** Number of columns besides the group's name. */
enum {
#define X(field, name, least, most, initial) TABLE_COLUMN_##field,
    TABLE_COLUMNS(X)
#undef X
        TABLE_COLUMN_COUNT
};

/** Values of one group. */
typedef struct {
    char group[NODE_MAX_GROUP + 1];
    bool present;     /**< false for the tombstone of a deleted row */
    uint64_t version; /**< offset of the record that set it */
#define X(field, name, least, most, initial) int64_t field;
    TABLE_COLUMNS(X)
#undef X
} Table_Row;

/** Opaque table. */
typedef struct Table Table;

Table *Table_New(void);
void Table_Free(Table *table);

/** Row of a group that is present, or NULL. Borrowed. */
const Table_Row *Table_Find(const Table *table, const char *group);

/** Version of a group's row or tombstone; 0 if there never was one. */
uint64_t Table_Version(const Table *table, const char *group);

/** Whether a name may be a group's: 1 to 64 of [A-Za-z0-9._-]. */
bool Table_ValidName(const char *group);

/**
 * Reads a row from JSON, with defaults for absent columns. Errors:
 * BAD_REQUEST, naming every wrong column at once.
 */
Err_Kind Table_RowFromJson(const char *group, const json_t *value,
                           Table_Row *row, Status *status);

/** Values of a row without its version. Caller owns the result. */
json_t *Table_RowToJson(const Table_Row *row);

/** Replaces a group's row. */
void Table_Put(Table *table, const Table_Row *row);

/** Rows ordered by name, tombstones included on request; free the array. */
GPtrArray *Table_Sorted(const Table *table, bool tombstones);

/** Whole table, tombstones included. Caller owns the result. */
json_t *Table_ToJson(const Table *table);

/** Table out of a snapshot, or NULL if it is malformed. */
Table *Table_FromJson(const json_t *value);

#endif

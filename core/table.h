/**
 * @file table.h
 * @brief The group table, which operators edit: one row per group with its
 * weight and limits, versioned by the log offset of the record that set it.
 *
 * A deleted row stays as a tombstone with its version, so that an edit based
 * on the row as it was before the deletion is still refused as stale.
 */
#ifndef LC_CORE_TABLE_H
#define LC_CORE_TABLE_H

#include <glib.h>

#include "core/node.h"

/** Columns: X(field, JSON and CSV name, min, max, default). 0: no limit */
#define TABLE_COLUMNS(X)                                                      \
    X(weight, "weight", 1, 1000000, 1)                                        \
    X(max_running, "max_running", 0, 1000000, 0)                              \
    X(max_queued, "max_queued", 0, 10000000, 0)                               \
    X(starts_per_s, "starts_per_s", 0, 1000000, 0)                            \
    X(max_wait_ms, "max_wait_ms", 0, 86400000, 0)

/** Number of columns besides the group's name. */
enum {
#define X(field, name, min, max, initial) GROUP_TABLE_COLUMN_##field,
    TABLE_COLUMNS(X)
#undef X
        GROUP_TABLE_COLUMN_COUNT
};

/** Row of one group. */
typedef struct {
    char group[NODE_MAX_GROUP + 1];
    bool present;     /**< false for the tombstone of a deleted row */
    uint64_t version; /**< offset of the record that set it */
#define X(field, name, min, max, initial) int64_t field;
    TABLE_COLUMNS(X)
#undef X
} Table_Row;

/** Opaque table. */
typedef struct Table Table;

Table *Table_New(void);
void Table_Free(Table *table);

/** Row of a group; NULL if there is none or it was deleted. Borrowed. */
const Table_Row *Table_Find(const Table *table, const char *group);

/** Version of a group's row or tombstone; 0 if there never was one. */
uint64_t Table_Version(const Table *table, const char *group);

/** Whether a group may have this name: 1 to 64 of [A-Za-z0-9._-]. */
bool Table_ValidName(const char *group);

/**
 * Parses a row from JSON, with defaults for absent columns. Errors:
 * BAD_REQUEST, with a message that names every invalid column.
 */
Err_Kind Table_RowFromJson(const char *group, const json_t *value,
                           Table_Row *row, Status *status);

/** Row as JSON, without its version. Caller owns the result. */
json_t *Table_RowToJson(const Table_Row *row);

/** Inserts a copy of a row, replacing the group's old one. */
void Table_Put(Table *table, const Table_Row *row);

/** Rows ordered by name, with tombstones if asked; free the array. */
GPtrArray *Table_Sorted(const Table *table, bool tombstones);

/** All rows and tombstones as JSON. Caller owns the result. */
json_t *Table_ToJson(const Table *table);

/** Parses a snapshot's table; NULL if it is malformed. */
Table *Table_FromJson(const json_t *value);

#endif

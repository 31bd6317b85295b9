/**
 * @file group_table.h
 * @brief The group table, which operators edit: one row per group with its
 * weight and limits, versioned by the log offset of the record that set it.
 *
 * A deleted row stays as a tombstone with its version, so that an edit based
 * on the row as it was before the deletion is still refused as stale.
 */
#ifndef LC_CORE_GROUP_TABLE_H
#define LC_CORE_GROUP_TABLE_H

#include <glib.h>

#include "core/node.h"

/** Columns: X(field, JSON and CSV name, min, max, default). 0: no limit */
#define GROUP_TABLE_COLUMNS(X)                                                \
    X(weight, "weight", 1, 1000000, 1)                                        \
    X(max_running, "max_running", 0, 1000000, 0)                              \
    X(max_queued, "max_queued", 0, 10000000, 0)                               \
    X(starts_per_s, "starts_per_s", 0, 1000000, 0)                            \
    X(max_wait_ms, "max_wait_ms", 0, 86400000, 0)

/** Number of columns besides the group's name. */
enum {
#define X(field, name, min, max, initial) GROUP_TABLE_COLUMN_##field,
    GROUP_TABLE_COLUMNS(X)
#undef X
        GROUP_TABLE_COLUMN_COUNT
};

/** Row of one group. */
typedef struct {
    char group[NODE_MAX_GROUP + 1];
    bool present;     /**< false for the tombstone of a deleted row */
    uint64_t version; /**< offset of the record that set it */
#define X(field, name, min, max, initial) int64_t field;
    GROUP_TABLE_COLUMNS(X)
#undef X
} GroupTable_Row;

/** Opaque table. */
typedef struct GroupTable GroupTable;

GroupTable *GroupTable_New(void);
void GroupTable_Free(GroupTable *table);

/** Row of a group; NULL if there is none or it was deleted. Borrowed. */
const GroupTable_Row *GroupTable_Find(const GroupTable *table,
                                      const char *group);

/** Version of a group's row or tombstone; 0 if there never was one. */
uint64_t GroupTable_Version(const GroupTable *table, const char *group);

/** Whether a group may have this name: 1 to 64 of [A-Za-z0-9._-]. */
bool GroupTable_IsValidName(const char *group);

/**
 * Parses a row from JSON, with defaults for absent columns. Errors:
 * BAD_REQUEST, with a message that names every invalid column.
 */
Err_Kind GroupTable_RowFromJson(const char *group, const json_t *value,
                                GroupTable_Row *row, Status *status);

/** Row as JSON, without its version. Caller owns the result. */
json_t *GroupTable_RowToJson(const GroupTable_Row *row);

/** Inserts a copy of a row, replacing the group's old one. */
void GroupTable_Put(GroupTable *table, const GroupTable_Row *row);

/** Rows ordered by name, with tombstones if asked; free the array. */
GPtrArray *GroupTable_SortedRows(const GroupTable *table, bool tombstones);

/** All rows and tombstones as JSON. Caller owns the result. */
json_t *GroupTable_ToJson(const GroupTable *table);

/** Parses a snapshot's table; NULL if it is malformed. */
GroupTable *GroupTable_FromJson(const json_t *value);

#endif

/**
 * @file handle_table.h
 * @brief Table of pointers, addressed by handles. A handle holds an index
 * and a generation, so that the handle of a removed item is never taken for
 * the item that reuses its row.
 *
 * Ownership: the table owns its rows, never the items that they point to.
 */
#ifndef LC_BASE_HANDLE_TABLE_H
#define LC_BASE_HANDLE_TABLE_H

#include <stdint.h>

/** Handle value; 0 is never valid. */
typedef uint64_t Handle;

/** Opaque table of pointers. */
typedef struct Handle_Table Handle_Table;

Handle_Table *Handle_NewTable(void);

/** Frees the table; its items stay with the caller. */
void Handle_FreeTable(Handle_Table *table);

/** Stores @p item and returns its handle. */
Handle Handle_Add(Handle_Table *table, void *item);

/** Returns the item of a handle, or NULL if it was removed. */
void *Handle_Get(const Handle_Table *table, Handle handle);

/** Removes an item and returns it, or NULL if it was removed before. */
void *Handle_Remove(Handle_Table *table, Handle handle);

/** Number of items. */
uint32_t Handle_ItemCount(const Handle_Table *table);

/** Item in the row at @p index, which is below Handle_RowCount; NULL for a
 * free row. */
void *Handle_ItemAt(const Handle_Table *table, uint32_t index);

/** Number of rows, used and free. */
uint32_t Handle_RowCount(const Handle_Table *table);

#endif

/**
 * @file handle.h
 * @brief Small handles into a table: an index with a generation, so that a
 * handle of a freed row is never mistaken for its successor.
 *
 * Ownership: the table owns its rows' places, never what they point to.
 */
#ifndef LC_BASE_HANDLE_H
#define LC_BASE_HANDLE_H

#include <stdint.h>

/** Handle value; 0 is never valid. */
typedef uint64_t Handle;

/** Opaque table of pointers. */
typedef struct Handle_Table Handle_Table;

Handle_Table *Handle_NewTable(void);

/** Frees the table; what its rows point to stays with the caller. */
void Handle_FreeTable(Handle_Table *table);

/** Stores @p item and returns its handle. */
Handle Handle_Add(Handle_Table *table, void *item);

/** Item of a handle, or NULL if it was removed. */
void *Handle_Get(const Handle_Table *table, Handle handle);

/** Removes a row and returns its item, or NULL if it was removed. */
void *Handle_Remove(Handle_Table *table, Handle handle);

/** Number of live rows. */
uint32_t Handle_Count(const Handle_Table *table);

/** Item at a position below Handle_Size, or NULL for a free row. */
void *Handle_At(const Handle_Table *table, uint32_t index);

/** Number of positions, live and free. */
uint32_t Handle_Size(const Handle_Table *table);

#endif

#include "base/handle_table.h"

#include <glib.h>

typedef struct {
    void *item;
    uint32_t generation;
    uint32_t next_free;
} handle_row;

struct Handle_Table {
    GArray *rows;
    uint32_t first_free;
    uint32_t count;
};

#define NO_ROW UINT32_MAX

Handle_Table *
Handle_NewTable(void)
{
    Handle_Table *table = g_new0(Handle_Table, 1);

    table->rows = g_array_new(FALSE, TRUE, sizeof(handle_row));
    table->first_free = NO_ROW;
    return table;
}

void
Handle_FreeTable(Handle_Table *table)
{
    if (table == NULL) {
        return;
    }
    g_array_unref(table->rows);
    g_free(table);
}

Handle
Handle_Add(Handle_Table *table, void *item)
{
    handle_row *row;
    uint32_t index = table->first_free;

    if (index == NO_ROW) {
        handle_row new_row = {NULL, 0, NO_ROW};
        index = table->rows->len;
        g_array_append_val(table->rows, new_row);
        row = &g_array_index(table->rows, handle_row, index);
    }
    else {
        row = &g_array_index(table->rows, handle_row, index);
        table->first_free = row->next_free;
    }
    row->item = item;
    row->generation++;
    table->count++;
    return ((Handle)row->generation << 32) | index;
}

static handle_row *
find_row(const Handle_Table *table, Handle handle)
{
    uint32_t index = (uint32_t)handle;
    handle_row *row;

    if (index >= table->rows->len) {
        return NULL;
    }
    row = &g_array_index(table->rows, handle_row, index);
    if (row->generation != (uint32_t)(handle >> 32) || row->item == NULL) {
        return NULL;
    }
    return row;
}

void *
Handle_Get(const Handle_Table *table, Handle handle)
{
    handle_row *row = find_row(table, handle);

    return row == NULL ? NULL : row->item;
}

void *
Handle_Remove(Handle_Table *table, Handle handle)
{
    handle_row *row = find_row(table, handle);
    void *item;

    if (row == NULL) {
        return NULL;
    }
    item = row->item;
    row->item = NULL;
    row->next_free = table->first_free;
    table->first_free = (uint32_t)handle;
    table->count--;
    return item;
}

uint32_t
Handle_ItemCount(const Handle_Table *table)
{
    return table->count;
}

void *
Handle_ItemAt(const Handle_Table *table, uint32_t index)
{
    return g_array_index(table->rows, handle_row, index).item;
}

uint32_t
Handle_RowCount(const Handle_Table *table)
{
    return table->rows->len;
}

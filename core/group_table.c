#include "core/group_table.h"

#include <ctype.h>
#include <stddef.h>
#include <string.h>

struct GroupTable {
    GHashTable *rows; /* name -> GroupTable_Row */
};

typedef struct {
    const char *name;
    int64_t min;
    int64_t max;
    int64_t initial;
    size_t offset;
} column;

static const column columns[GROUP_TABLE_COLUMN_COUNT] = {
#define X(field, name, min, max, initial)                                     \
    {name, min, max, initial, offsetof(GroupTable_Row, field)},
    GROUP_TABLE_COLUMNS(X)
#undef X
};

static int64_t *
cell(GroupTable_Row *row, const column *col)
{
    return (int64_t *)(void *)((char *)row + col->offset);
}

GroupTable *
GroupTable_New(void)
{
    GroupTable *table = g_new0(GroupTable, 1);

    table->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return table;
}

void
GroupTable_Free(GroupTable *table)
{
    if (table == NULL) {
        return;
    }
    g_hash_table_unref(table->rows);
    g_free(table);
}

const GroupTable_Row *
GroupTable_Find(const GroupTable *table, const char *group)
{
    const GroupTable_Row *row = g_hash_table_lookup(table->rows, group);

    return row != NULL && row->present ? row : NULL;
}

uint64_t
GroupTable_Version(const GroupTable *table, const char *group)
{
    const GroupTable_Row *row = g_hash_table_lookup(table->rows, group);

    return row == NULL ? 0 : row->version;
}

bool
GroupTable_IsValidName(const char *group)
{
    size_t length = strlen(group);
    size_t i;

    if (length == 0 || length > NODE_MAX_GROUP) {
        return false;
    }
    for (i = 0; i < length; i++) {
        if (!isalnum((unsigned char)group[i]) &&
            strchr("._-", group[i]) == NULL) {
            return false;
        }
    }
    return true;
}

static const column *
find_column(const char *name)
{
    int i;

    for (i = 0; i < GROUP_TABLE_COLUMN_COUNT; i++) {
        if (strcmp(columns[i].name, name) == 0) {
            return &columns[i];
        }
    }
    return NULL;
}

static void
parse_cell(const char *name, const json_t *value, GroupTable_Row *row,
           GString *errors)
{
    const column *col = find_column(name);

    if (strcmp(name, "group") == 0) {
        return;
    }
    if (col == NULL) {
        g_string_append_printf(errors, "; %s: unknown column", name);
        return;
    }
    if (!json_is_integer(value) || json_integer_value(value) < col->min ||
        json_integer_value(value) > col->max) {
        g_string_append_printf(errors,
                               "; %s: expected an integer %lld to %lld", name,
                               (long long)col->min, (long long)col->max);
        return;
    }
    *cell(row, col) = json_integer_value(value);
}

Err_Kind
GroupTable_RowFromJson(const char *group, const json_t *value,
                       GroupTable_Row *row, Status *status)
{
    GString *errors = g_string_new(NULL);
    Err_Kind kind = ERR_OK;
    const json_t *item;
    const char *name;
    int i;

    memset(row, 0, sizeof(*row));
    row->present = true;
    for (i = 0; i < GROUP_TABLE_COLUMN_COUNT; i++) {
        *cell(row, &columns[i]) = columns[i].initial;
    }
    if (!GroupTable_IsValidName(group)) {
        g_string_append(errors, "; group: expected 1 to 64 of [A-Za-z0-9._-]");
    }
    else {
        g_strlcpy(row->group, group, sizeof(row->group));
    }
    if (!json_is_object(value)) {
        g_string_append(errors, "; row: expected an object");
    }
    json_object_foreach((json_t *)(uintptr_t)value, name, item)
    {
        parse_cell(name, item, row, errors);
    }
    if (errors->len > 0) {
        kind = Err_Set(status, ERR_BAD_REQUEST, "%s", errors->str + 2);
    }
    g_string_free(errors, TRUE);
    return kind;
}

json_t *
GroupTable_RowToJson(const GroupTable_Row *row)
{
    json_t *value = json_object();
    GroupTable_Row copy = *row;
    int i;

    json_object_set_new(value, "group", json_string(row->group));
    for (i = 0; i < GROUP_TABLE_COLUMN_COUNT; i++) {
        json_object_set_new(value, columns[i].name,
                            json_integer(*cell(&copy, &columns[i])));
    }
    return value;
}

void
GroupTable_Put(GroupTable *table, const GroupTable_Row *row)
{
    GroupTable_Row *copy = g_new(GroupTable_Row, 1);

    *copy = *row;
    g_hash_table_replace(table->rows, copy->group, copy);
}

static gint
compare_rows(gconstpointer a, gconstpointer b)
{
    const GroupTable_Row *const *left = a;
    const GroupTable_Row *const *right = b;

    return strcmp((*left)->group, (*right)->group);
}

GPtrArray *
GroupTable_SortedRows(const GroupTable *table, bool tombstones)
{
    GPtrArray *sorted = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, table->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (tombstones || ((GroupTable_Row *)value)->present) {
            g_ptr_array_add(sorted, value);
        }
    }
    g_ptr_array_sort(sorted, compare_rows);
    return sorted;
}

json_t *
GroupTable_ToJson(const GroupTable *table)
{
    GPtrArray *sorted = GroupTable_SortedRows(table, true);
    json_t *list = json_array();
    guint i;

    for (i = 0; i < sorted->len; i++) {
        const GroupTable_Row *row = g_ptr_array_index(sorted, i);
        json_t *item = GroupTable_RowToJson(row);
        json_object_set_new(item, "version",
                            json_integer((json_int_t)row->version));
        json_object_set_new(item, "present", json_boolean(row->present));
        json_array_append_new(list, item);
    }
    g_ptr_array_unref(sorted);
    return list;
}

static bool
load_row(GroupTable *table, const json_t *item)
{
    const char *group = json_string_value(json_object_get(item, "group"));
    json_t *cells;
    GroupTable_Row row;
    bool loaded;

    if (group == NULL) {
        return false;
    }
    cells = json_copy((json_t *)(uintptr_t)item);
    json_object_del(cells, "version");
    json_object_del(cells, "present");
    loaded = GroupTable_RowFromJson(group, cells, &row, NULL) == ERR_OK;
    json_decref(cells);
    if (loaded) {
        row.version = (uint64_t)json_integer_value(
            json_object_get(item, "version"));
        row.present = json_is_true(json_object_get(item, "present"));
        GroupTable_Put(table, &row);
    }
    return loaded;
}

GroupTable *
GroupTable_FromJson(const json_t *value)
{
    GroupTable *table = GroupTable_New();
    const json_t *item;
    size_t i;

    if (!json_is_array(value)) {
        GroupTable_Free(table);
        return NULL;
    }
    json_array_foreach(value, i, item)
    {
        if (!load_row(table, item)) {
            GroupTable_Free(table);
            return NULL;
        }
    }
    return table;
}

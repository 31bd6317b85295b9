#include "cli/table_csv.h"

#include <string.h>

/* Column names, in the order of output. */
static const char *const columns[] = {"group",
#define X(field, name, min, max, initial) name,
                                      GROUP_TABLE_COLUMNS(X)
#undef X
};

#define COLUMN_COUNT G_N_ELEMENTS(columns)

static void
write_cell(GString *out, const json_t *value)
{
    if (json_is_integer(value)) {
        g_string_append_printf(out, "%lld",
                               (long long)json_integer_value(value));
    }
    else if (json_is_string(value)) {
        g_string_append(out, json_string_value(value));
    }
}

char *
TableCsv_Write(const json_t *groups)
{
    GString *out = g_string_new(NULL);
    const json_t *row;
    size_t i;
    size_t column;

    for (column = 0; column < COLUMN_COUNT; column++) {
        g_string_append_printf(out, "%s%s", column == 0 ? "" : ",",
                               columns[column]);
    }
    g_string_append(out, "\r\n");
    json_array_foreach(groups, i, row)
    {
        for (column = 0; column < COLUMN_COUNT; column++) {
            g_string_append(out, column == 0 ? "" : ",");
            write_cell(out, json_object_get(row, columns[column]));
        }
        g_string_append(out, "\r\n");
    }
    return g_string_free(out, FALSE);
}

/* Splits a line into cells, which may be quoted. */
static GPtrArray *
split_line(const char *line)
{
    GPtrArray *cells = g_ptr_array_new_with_free_func(g_free);
    GString *cell = g_string_new(NULL);
    bool quoted = false;
    const char *at;

    for (at = line; *at != '\0'; at++) {
        if (*at == '"' && quoted && at[1] == '"') {
            g_string_append_c(cell, '"');
            at++;
        }
        else if (*at == '"') {
            quoted = !quoted;
        }
        else if (*at == ',' && !quoted) {
            g_ptr_array_add(cells, g_strstrip(g_strdup(cell->str)));
            g_string_truncate(cell, 0);
        }
        else {
            g_string_append_c(cell, *at);
        }
    }
    g_ptr_array_add(cells, g_strstrip(g_string_free(cell, FALSE)));
    return cells;
}

/* Converts a row to JSON, so that GroupTable_RowFromJson checks it; invalid
 * numbers stay strings. */
static json_t *
cells_to_json(const GPtrArray *header, const GPtrArray *cells)
{
    json_t *row = json_object();
    guint i;

    for (i = 0; i < header->len && i < cells->len; i++) {
        const char *name = g_ptr_array_index(header, i);
        const char *text = g_ptr_array_index(cells, i);
        char *end;
        gint64 number = g_ascii_strtoll(text, &end, 10);
        if (text[0] == '\0') {
            continue;
        }
        json_object_set_new(row, name,
                            *end == '\0' ? json_integer(number)
                                         : json_string(text));
    }
    return row;
}

static void
read_row(const GPtrArray *header, const char *line, guint number, GArray *rows,
         GString *errors)
{
    GPtrArray *cells = split_line(line);
    json_t *value = cells_to_json(header, cells);
    char *group = NULL;
    Status status = {ERR_OK, ""};
    GroupTable_Row row;
    guint i;

    for (i = 0; i < header->len && i < cells->len; i++) {
        if (strcmp(g_ptr_array_index(header, i), "group") == 0) {
            group = g_ptr_array_index(cells, i);
        }
    }
    if (cells->len != header->len) {
        Err_Set(&status, ERR_BAD_REQUEST, "expected %u cells, found %u",
                header->len, cells->len);
    }
    else {
        GroupTable_RowFromJson(group == NULL ? "" : group, value, &row,
                               &status);
    }
    if (status.kind == ERR_OK) {
        g_array_append_val(rows, row);
    }
    else {
        g_string_append_printf(errors, "line %u: %s\n", number,
                               status.message);
    }
    json_decref(value);
    g_ptr_array_unref(cells);
}

GArray *
TableCsv_Read(const char *text, char **errors)
{
    char **lines = g_strsplit(text, "\n", 0);
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(GroupTable_Row));
    GString *messages = g_string_new(NULL);
    GPtrArray *header = NULL;
    guint i;

    for (i = 0; lines[i] != NULL; i++) {
        g_strstrip(lines[i]);
        if (lines[i][0] == '\0') {
            continue;
        }
        if (header == NULL) {
            header = split_line(lines[i]);
        }
        else {
            read_row(header, lines[i], i + 1, rows, messages);
        }
    }
    if (header == NULL) {
        g_string_append(messages, "line 1: expected a line of column names\n");
    }
    else {
        g_ptr_array_unref(header);
    }
    g_strfreev(lines);
    if (messages->len > 0) {
        g_array_unref(rows);
        rows = NULL;
    }
    *errors = g_string_free(messages, FALSE);
    return rows;
}

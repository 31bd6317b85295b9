/**
 * @file csv.h
 * @brief The table as CSV (RFC 4180), as operators edit it in spreadsheets.
 */
#ifndef LC_CLI_CSV_H
#define LC_CLI_CSV_H

#include <glib.h>
#include <jansson.h>

#include "core/table.h"

/** Rows as CSV with a header line; free with g_free. */
char *Csv_Write(const json_t *groups);

/**
 * Reads rows; each becomes a Table_Row in the result (free with
 * g_array_unref). Errors: BAD_REQUEST, naming every wrong line at once; the
 * lines are in @p errors (free with g_free) and the result is NULL.
 */
GArray *Csv_Read(const char *text, char **errors);

#endif

/**
 * @file table_csv.h
 * @brief The group table as CSV (RFC 4180), for editing in spreadsheets.
 */
#ifndef LC_CLI_TABLE_CSV_H
#define LC_CLI_TABLE_CSV_H

#include <glib.h>
#include <jansson.h>

#include "core/group_table.h"

/** Formats rows as CSV with a header line; free with g_free. */
char *TableCsv_Write(const json_t *groups);

/**
 * Parses rows into an array of GroupTable_Row (free with g_array_unref).
 * Returns NULL if any line is invalid (BAD_REQUEST). @p errors always receives
 * a text (free with g_free) with one line for each invalid line, or an empty
 * one.
 */
GArray *TableCsv_Read(const char *text, char **errors);

#endif

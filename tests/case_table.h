/**
 * @file case_table.h
 * @brief Table-driven tests from text files. Each file in tests/cases
 * holds the cases of one kind in the form
 *
 *     == name
 *     input lines
 *     --
 *     expected output lines
 *
 * The kind is the file's base name. Its function turns the input into output,
 * which must equal the expected output. Lines that begin with "# " are
 * comments.
 */
#ifndef LC_TESTS_CASE_TABLE_H
#define LC_TESTS_CASE_TABLE_H

#include <glib.h>

/** Appends the output for the input of a case. */
typedef void (*CaseTable_Function)(const char *input, GString *output);

/** Row of a table of kinds, which ends with a NULL kind. */
typedef struct {
    const char *kind;
    CaseTable_Function run;
} CaseTable_Kind;

/** Splits an input into lines, without the empty last one; to be freed with
 * g_strfreev. */
char **CaseTable_Lines(const char *input);

/** Runs all cases of all kinds. The environment variable LEVERCOVE_CASES names
 * a directory to read instead of tests/cases. */
int CaseTable_Main(int argc, char **argv, const CaseTable_Kind *kinds);

#endif

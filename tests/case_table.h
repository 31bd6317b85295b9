/**
 * @file case_table.h
 * @brief Tests as plain text: each file under tests/cases holds cases of one
 * kind, as
 *
 *     == name
 *     input lines
 *     --
 *     expected output lines
 *
 * The kind is the file's name; its function turns input into output, which
 * must equal the expected one. Lines that begin with "# " are remarks.
 */
#ifndef LC_TESTS_CASE_TABLE_H
#define LC_TESTS_CASE_TABLE_H

#include <glib.h>

/** Turns the input of a case into its output. */
typedef void (*CaseTable_Function)(const char *input, GString *output);

/** One kind of case; a table of them ends with a NULL kind. */
typedef struct {
    const char *kind;
    CaseTable_Function run;
} CaseTable_Kind;

/** Lines of an input, without the empty last one; free with g_strfreev. */
char **CaseTable_Lines(const char *input);

/** Runs all cases of all kinds; LEVERCOVE_CASES names another folder. */
int CaseTable_Main(int argc, char **argv, const CaseTable_Kind *kinds);

#endif

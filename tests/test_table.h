/**
 * @file test_table.h
 * @brief A table of named tests, run by GLib.
 */
#ifndef LC_TESTS_TEST_TABLE_H
#define LC_TESTS_TEST_TABLE_H

#include <stddef.h>

/** One test: its path for GLib's test runner and its function. */
typedef struct {
    const char *name;
    void (*run)(void);
} TestTable_Row;

/** Runs all tests as the body of main(); returns the exit code. */
int TestTable_Main(int argc, char **argv, const TestTable_Row *tests,
                   size_t count);

#endif

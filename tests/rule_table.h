/**
 * @file rule_table.h
 * @brief Single rules as a table of named tests, run by GLib.
 */
#ifndef LC_TESTS_RULE_TABLE_H
#define LC_TESTS_RULE_TABLE_H

#include <stddef.h>

/** One rule: a path for GLib's test runner, and what proves it. */
typedef struct {
    const char *name;
    void (*run)(void);
} RuleTable_Row;

/** Runs all rules as a program's main does; returns its exit code. */
int RuleTable_Main(int argc, char **argv, const RuleTable_Row *rules,
                   size_t count);

#endif

/**
 * @file commands.h
 * @brief The commands of `levercove`. Each returns the exit code.
 */
#ifndef LC_CLI_COMMANDS_H
#define LC_CLI_COMMANDS_H

#include <stdbool.h>

#include "base/address.h"

/** What the options gave. */
typedef struct {
    Address entry;   /**< callers' address of an entry */
    Address store;   /**< of the platform */
    const char *by;  /**< who changes something */
    const char *key; /**< for submit; or NULL */
} Command_Options;

/** One command: `levercove NAME ARGUMENTS...` */
typedef struct {
    const char *name;      /**< one or two words */
    const char *arguments; /**< for the help */
    const char *help;
    int least; /**< number of arguments */
    int most;
    bool needs_entry; /**< an entry's address must be given */
    bool needs_store; /**< the store's, likewise */
    int (*run)(const Command_Options *options, int count, char **arguments);
} Command;

/** All commands; the last has no name. */
extern const Command command_table[];

#endif

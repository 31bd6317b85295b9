/**
 * @file commands.h
 * @brief Table of the commands of `levercove`.
 */
#ifndef LC_CLI_COMMANDS_H
#define LC_CLI_COMMANDS_H

#include <stdbool.h>

#include "base/address.h"

/** Values of the command line options. */
typedef struct {
    Address entry;   /**< address for callers of an entry; 0 if not given */
    Address store;   /**< address of the platform's store; 0 if not given */
    const char *by;  /**< name of the operator who closes a hall */
    const char *key; /**< idempotency key for submit, or NULL */
} Command_Options;

/** A command: `levercove NAME ARGUMENTS...`. @c run returns the exit code. */
typedef struct {
    const char *name;      /**< one or two words */
    const char *arguments; /**< as shown in the help */
    const char *help;
    int min_arguments;
    int max_arguments;
    bool needs_entry; /**< the address of an entry is required */
    bool needs_store; /**< the address of the store is required */
    int (*run)(const Command_Options *options, int count, char **arguments);
} Command;

/** All commands; the last one has a NULL name. */
extern const Command command_table[];

#endif

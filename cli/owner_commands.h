/**
 * @file owner_commands.h
 * @brief The command `owners`: which entry owns the open durable jobs, as each
 * entry sees it. Entries that have read the same log agree.
 */
#ifndef LC_CLI_OWNER_COMMANDS_H
#define LC_CLI_OWNER_COMMANDS_H

#include "cli/commands.h"

/** Prints a line for each process and job. Returns the exit code: that of IO
 * if a process does not answer. */
int OwnerCommands_Show(const Command_Options *options, int count,
                       char **arguments);

#endif

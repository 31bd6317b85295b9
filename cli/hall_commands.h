/**
 * @file hall_commands.h
 * @brief The commands about halls: `levercove hall close`, `hall open` and
 * `hall show`.
 */
#ifndef LC_CLI_HALL_COMMANDS_H
#define LC_CLI_HALL_COMMANDS_H

#include "cli/commands.h"

/** Closes a hall: no more tasks are started there. */
int HallCommands_Close(const Command_Options *options, int count,
                       char **arguments);

/** Opens a closed hall. */
int HallCommands_Open(const Command_Options *options, int count,
                      char **arguments);

/** Prints the closed halls, and which of them are known to the processes at
 * the admin addresses @p arguments. */
int HallCommands_Show(const Command_Options *options, int count,
                      char **arguments);

#endif

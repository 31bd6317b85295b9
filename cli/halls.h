/**
 * @file halls.h
 * @brief The commands about halls: `levercove hall close`, `hall open` and
 * `hall show`.
 */
#ifndef LC_CLI_HALLS_H
#define LC_CLI_HALLS_H

#include "cli/commands.h"

/** Closes a hall: no task is started there from now on. */
int HallsCommand_Close(const Command_Options *options, int count,
                       char **arguments);

/** Opens a hall again. */
int HallsCommand_Open(const Command_Options *options, int count,
                      char **arguments);

/** Prints the closed halls and what processes know of them; @p arguments are
 * admin addresses. */
int HallsCommand_Show(const Command_Options *options, int count,
                      char **arguments);

#endif

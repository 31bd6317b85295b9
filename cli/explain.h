/**
 * @file explain.h
 * @brief The life of one leased job out of the logs of several processes.
 */
#ifndef LC_CLI_EXPLAIN_H
#define LC_CLI_EXPLAIN_H

#include "cli/commands.h"

/** `levercove explain JOB FILE...`: prints what was decided about a job, in
 * order, with what the processes concerned believed then. Lines that are no
 * JSON objects are passed over. Fails with NOT_FOUND if no line names it. */
int Explain_Run(const Command_Options *options, int count, char **arguments);

#endif

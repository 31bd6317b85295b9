/**
 * @file explain.h
 * @brief The command `explain`: the history of one leased job, from the logs
 * of several processes.
 */
#ifndef LC_CLI_EXPLAIN_H
#define LC_CLI_EXPLAIN_H

#include "cli/commands.h"

/** `levercove explain JOB FILE...`: prints the decisions about a job in order
 * of time, together with what the processes involved logged about companions
 * at that time. Lines without a JSON object are skipped. Returns the exit
 * code; NOT_FOUND if no line names the job. */
int Explain_Run(const Command_Options *options, int count, char **arguments);

#endif

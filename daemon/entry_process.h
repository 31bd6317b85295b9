/**
 * @file entry_process.h
 * @brief The entry role: ties core's Entry to RPC, HTTP, log and host list.
 */
#ifndef LC_DAEMON_ENTRY_PROCESS_H
#define LC_DAEMON_ENTRY_PROCESS_H

#include "daemon/options.h"

/** Runs an entry until it is stopped; returns the exit code. */
int EntryProcess_Run(const Options *options);

#endif

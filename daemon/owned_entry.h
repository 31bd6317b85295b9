/**
 * @file owned_entry.h
 * @brief `levercoved` as an entry of owned jobs: connects core's Entry to
 * RPC, HTTP, the log service and the host list.
 */
#ifndef LC_DAEMON_OWNED_ENTRY_H
#define LC_DAEMON_OWNED_ENTRY_H

#include "daemon/options.h"

/** Runs an entry until it is stopped; returns the process's exit code. */
int OwnedEntry_Run(const Options *options);

#endif

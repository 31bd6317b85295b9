/**
 * @file leased_entry.h
 * @brief `levercoved` as an entry of leased jobs.
 */
#ifndef LC_DAEMON_LEASED_ENTRY_H
#define LC_DAEMON_LEASED_ENTRY_H

#include "daemon/options.h"

/** Runs until stopped; returns the process's exit code. */
int LeasedEntry_Run(const Options *options);

#endif

/**
 * @file leased_companion.h
 * @brief `levercoved` as a companion of leased jobs.
 */
#ifndef LC_DAEMON_LEASED_COMPANION_H
#define LC_DAEMON_LEASED_COMPANION_H

#include "daemon/options.h"

/** Runs until stopped; returns the process's exit code. */
int LeasedCompanion_Run(const Options *options);

#endif

/**
 * @file companion_process.h
 * @brief `levercoved` as a companion of owned jobs: connects core's
 * Companion to RPC and to the HTTP interface of its upstream.
 */
#ifndef LC_DAEMON_COMPANION_PROCESS_H
#define LC_DAEMON_COMPANION_PROCESS_H

#include "daemon/options.h"

/** Runs a companion until it is stopped; returns the process's exit code. */
int OwnedCompanion_Run(const Options *options);

#endif

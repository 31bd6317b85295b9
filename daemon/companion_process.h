/**
 * @file companion_process.h
 * @brief The companion role: ties core's Companion to RPC and its upstream.
 */
#ifndef LC_DAEMON_COMPANION_PROCESS_H
#define LC_DAEMON_COMPANION_PROCESS_H

#include "daemon/options.h"

/** Runs a companion until it is stopped; returns the exit code. */
int CompanionProcess_Run(const Options *options);

#endif

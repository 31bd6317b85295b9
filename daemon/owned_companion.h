/**
 * @file owned_companion.h
 * @brief `levercoved` as a companion of owned jobs: connects core's
 * Companion to RPC and to the HTTP interface of its upstream.
 */
#ifndef LC_DAEMON_OWNED_COMPANION_H
#define LC_DAEMON_OWNED_COMPANION_H

#include "daemon/options.h"

/** Runs a companion until it is stopped; returns the process's exit code. */
int OwnedCompanion_Run(const Options *options);

#endif

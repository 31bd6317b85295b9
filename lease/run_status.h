/**
 * @file run_status.h
 * @brief Text of the results of runs.
 */
#ifndef LC_LEASE_RUN_STATUS_H
#define LC_LEASE_RUN_STATUS_H

#include "wire/msg.h"

/** Number of statuses. */
#define RUN_STATUS_COUNT (LC_RUN_CRASHED + 1)

/** `ran_ms` of a crashed run whose start was never confirmed: it may not have
 * begun. */
#define RUN_MAY_NOT_HAVE_BEGUN UINT32_MAX

/** Text of an lc_run_status; "unknown" for any other number. */
const char *RunStatus_Text(int status);

#endif

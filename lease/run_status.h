/**
 * @file run_status.h
 * @brief How runs end, as text for people.
 */
#ifndef LC_LEASE_RUN_STATUS_H
#define LC_LEASE_RUN_STATUS_H

#include "wire/msg.h"

/** Number of statuses. */
#define RUN_STATUS_COUNT (LC_RUN_CRASHED + 1)

/** Short text of a status; "unknown" for numbers that are none. */
const char *RunStatus_Text(int status);

#endif

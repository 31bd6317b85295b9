/**
 * @file run_status.h
 * @brief How runs end, as text for people.
 */
#ifndef LC_LEASE_RUN_STATUS_H
#define LC_LEASE_RUN_STATUS_H

#include "wire/msg.h"

/** Short text of a status; "unknown" for numbers that are none. */
const char *RunStatus_Text(int status);

#endif

/**
 * @file job_wire.h
 * @brief A job as one entry hands it to another.
 */
#ifndef LC_LEASE_JOB_WIRE_H
#define LC_LEASE_JOB_WIRE_H

#include "lease/job.h"

/** Fills in steps and spec of @p args, which borrow from @p job but for the
 * array of steps: free that. */
void JobWire_Put(const LeasedJob *job, lc_forward_args *args);

/** Makes a job of what came; the caller owns it. Errors: BAD_REQUEST with the
 * step that is odd. */
Err_Kind JobWire_Get(const lc_forward_args *args, LeasedJob *job,
                     Status *status);

#endif

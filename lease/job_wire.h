/**
 * @file job_wire.h
 * @brief Encoding of a job for forwarding it from one entry to another.
 */
#ifndef LC_LEASE_JOB_WIRE_H
#define LC_LEASE_JOB_WIRE_H

#include "lease/job.h"

/** Fills in the job's id, spec and steps in @p args. They borrow from @p job,
 * except the array of steps, which the caller frees. */
void JobWire_Encode(const LeasedJob *job, lc_forward_args *args);

/** Makes a job from received arguments; the caller owns it. Errors:
 * BAD_REQUEST with the step that is not valid. */
Err_Kind JobWire_Decode(const lc_forward_args *args, LeasedJob *job,
                        Status *status);

#endif

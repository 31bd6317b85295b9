/**
 * @file job_timeouts.h
 * @brief Controller of job timeouts: ends jobs that waited too long, passed
 * their deadline or make no progress. It also measures the rate at which
 * tasks end here, from which admission estimates waiting times.
 */
#ifndef LC_CORE_JOB_TIMEOUTS_H
#define LC_CORE_JOB_TIMEOUTS_H

#include "core/blackboard.h"

void JobTimeouts_Tick(Blackboard *board);

#endif

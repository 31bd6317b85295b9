/**
 * @file overdue.h
 * @brief Controller of job timeouts: ends jobs that waited too long, passed
 * their deadline or make no progress. It also measures the rate at which
 * tasks end here, from which admission estimates waiting times.
 */
#ifndef LC_CORE_OVERDUE_H
#define LC_CORE_OVERDUE_H

#include "core/board.h"

void Overdue_Tick(Board *board);

#endif

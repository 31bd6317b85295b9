/**
 * @file overdue.h
 * @brief Controller of time: jobs that waited too long, passed their
 * deadline or make no progress are answered at once; and the rate at which
 * tasks end here, from which admission expects waits.
 */
#ifndef LC_CORE_OVERDUE_H
#define LC_CORE_OVERDUE_H

#include "core/board.h"

void Overdue_Tick(Board *board);

#endif

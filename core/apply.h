/**
 * @file apply.h
 * @brief Applies log records to an entry's blackboard and notifies the
 * controllers of changes.
 */
#ifndef LC_CORE_APPLY_H
#define LC_CORE_APPLY_H

#include "core/board.h"

/** Applies one record that was read from the log or relayed by a peer. */
void Apply_Record(Board *board, uint64_t offset, const char *record);

#endif

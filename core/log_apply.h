/**
 * @file log_apply.h
 * @brief Applies log records to an entry's blackboard and notifies the
 * controllers of changes.
 */
#ifndef LC_CORE_LOG_APPLY_H
#define LC_CORE_LOG_APPLY_H

#include "core/blackboard.h"

/** Applies one record that was read from the log or relayed by a peer. */
void LogApply_Record(Blackboard *board, uint64_t offset, const char *record);

#endif

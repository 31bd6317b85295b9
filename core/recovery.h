/**
 * @file recovery.h
 * @brief Recovery of jobs of entries that have left the view, from the task
 * starts that companions have recorded.
 */
#ifndef LC_CORE_RECOVERY_H
#define LC_CORE_RECOVERY_H

#include "core/blackboard.h"

/** A task start that a companion reported. */
typedef struct {
    Key key;
    uint32_t index;
    uint32_t total;
    lc_task_state state;
    uint32_t code;
    lc_node companion;
    char *group;
    uint8_t *result;
    uint32_t length;
} Recovery_Started;

/** Copies a start from a message; release with Recovery_FreeStarted. */
Recovery_Started *Recovery_CopyStarted(const lc_started *started,
                                       const lc_node *companion);
void Recovery_FreeStarted(gpointer item);

/**
 * Removes recovered jobs whose keys this entry no longer owns: their new
 * owner may continue them. Returns the number of jobs removed.
 */
uint32_t Recovery_RemoveForeign(Blackboard *board);

/**
 * Merges the starts of @p found (Recovery_Started) into the ledger and
 * resolves the jobs whose holder has left the view: recovered from the
 * reports of companions, never started, or, if their key was created before
 * @p unsure_before_ms (wall clock), possibly lost.
 */
void Recovery_Merge(Blackboard *board, const GPtrArray *found,
                    int64_t unsure_before_ms);

#endif

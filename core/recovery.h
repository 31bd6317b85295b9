/**
 * @file recovery.h
 * @brief Taking over jobs of entries that are gone, from what companions
 * recorded of their starts.
 */
#ifndef LC_CORE_RECOVERY_H
#define LC_CORE_RECOVERY_H

#include "core/board.h"

/** A start told by a companion. */
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

/** Copies a start out of a message; free with Recovery_FreeStarted. */
Recovery_Started *Recovery_CopyStarted(const lc_started *started,
                                       const lc_node *companion);
void Recovery_FreeStarted(gpointer item);

/**
 * Forgets what was recovered for keys that this entry no longer owns: their
 * owner may go on with them. Returns how many jobs were forgotten.
 */
uint32_t Recovery_DropForeign(Board *board);

/**
 * Puts the starts of @p found (Recovery_Started) into the ledger and decides
 * on jobs whose holder has left the view: known from companions, never
 * started, or lost when minted before @p unsure_before_ms.
 */
void Recovery_Merge(Board *board, const GPtrArray *found,
                    int64_t unsure_before_ms);

#endif

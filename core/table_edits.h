/**
 * @file table_edits.h
 * @brief Controller of edits of the group table: an edit is accepted only
 * after its record was read back from the log and applied.
 *
 * If the confirmation of an append was lost, the log is first searched for
 * the edit's id before it is appended again. Should both copies be written,
 * every reader refuses the second one, because it is based on a version of
 * the row that the first one replaced.
 */
#ifndef LC_CORE_TABLE_EDITS_H
#define LC_CORE_TABLE_EDITS_H

#include "core/blackboard.h"

/** Sets a row, or deletes it if @p row is NULL, if its version is @p base. */
void TableEdits_Submit(Blackboard *board, uint64_t request, const char *group,
                       uint64_t base, const GroupTable_Row *row);

/** An edit record was applied or refused: ends the edits it decides. */
void TableEdits_OnRecord(Blackboard *board);

/** An append ended; false if it belongs to another controller. */
bool TableEdits_OnAppend(Blackboard *board, uint64_t append_id,
                         bool confirmed);

/** Ends all pending edits with an unknown result. */
void TableEdits_Abandon(Blackboard *board);

void TableEdits_Tick(Blackboard *board);

#endif

/**
 * @file edits.h
 * @brief Controller of table edits: an edit is accepted only after its
 * record was read back from the log and applied.
 *
 * An append whose confirmation was lost is first looked for by its id; sent
 * again, a second copy is refused by every reader, because it names a
 * version of the row that the first copy replaced.
 */
#ifndef LC_CORE_EDITS_H
#define LC_CORE_EDITS_H

#include "core/board.h"

/** Sets a row (@p row) or deletes it (NULL), if its version is @p base. */
void Edits_Submit(Board *board, uint64_t request, const char *group,
                  uint64_t base, const Table_Row *row);

/** An edit record was applied or refused. */
void Edits_OnRecord(Board *board);

/** An append ended; false if it is not one of this controller's. */
bool Edits_OnAppend(Board *board, uint64_t append_id, bool confirmed);

/** Ends all pending edits as unknown. */
void Edits_Abandon(Board *board);

void Edits_Tick(Board *board);

#endif

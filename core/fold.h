/**
 * @file fold.h
 * @brief The state that all nodes agree on, folded from the log's records in
 * offset order: the view and the table, and what became of recent edits.
 *
 * Records arrive from the log or relayed by a peer; both carry their offset,
 * and an offset is applied once. A snapshot record replaces everything
 * before it and is valid only if no other record stands between the offset
 * it names and its own. Malformed records are skipped by every reader alike.
 *
 * Ownership: the fold owns view, table and retained records; accessors
 * return borrowed pointers that the next applied record invalidates.
 */
#ifndef LC_CORE_FOLD_H
#define LC_CORE_FOLD_H

#include "core/table.h"
#include "core/view.h"

/** What became of a record. */
typedef enum {
    FOLD_OLD,          /**< its offset was already applied */
    FOLD_GAP,          /**< records before it are missing */
    FOLD_SKIPPED,      /**< malformed or not valid, skipped by all */
    FOLD_VIEW,         /**< the view changed */
    FOLD_VIEW_REFUSED, /**< not a successor of the view */
    FOLD_EDIT,         /**< the table changed */
    FOLD_EDIT_REFUSED, /**< based on an older version of its row */
    FOLD_SNAPSHOT,     /**< a snapshot that only confirms what is known */
    FOLD_LOADED        /**< a snapshot or a peer's state replaced all */
} Fold_Result;

/** What became of an edit, by its id. */
typedef struct {
    uint64_t offset;
    bool accepted;
} Fold_Edit;

/** Opaque folded state. */
typedef struct Fold Fold;

/** @p window_ms: how long the view keeps its history. */
Fold *Fold_New(int64_t window_ms);
void Fold_Free(Fold *fold);

/** Next offset that is missing here; 1 at the start. */
uint64_t Fold_Next(const Fold *fold);

/** False while records expired unread and no snapshot was found yet. */
bool Fold_Synced(const Fold *fold);

const View *Fold_View(const Fold *fold);
const Table *Fold_Table(const Fold *fold);

/** Next offset (0 while out of step) and epoch, as told to peers. */
lc_position Fold_Position(const Fold *fold);

/** Applies a record; on refusals @p status holds the reason. */
Fold_Result Fold_Apply(Fold *fold, uint64_t offset, const char *record,
                       Status *status);

/**
 * Tells that the log keeps nothing before @p first: if that is beyond
 * Fold_Next, the fold is out of step until a snapshot arrives.
 */
void Fold_Expired(Fold *fold, uint64_t first);

/** What became of an edit, or NULL if its record was not seen. */
const Fold_Edit *Fold_FindEdit(const Fold *fold, const char *id);

/** Records since the last snapshot. */
uint64_t Fold_SinceSnapshot(const Fold *fold);

/** Text of an edit record; @p row NULL deletes. Free with free(). */
char *Fold_EditRecord(const char *id, const char *group, uint64_t base,
                      const Table_Row *row);

/** Text of a snapshot record of this state. Free with free(). */
char *Fold_SnapshotRecord(const Fold *fold);

/**
 * Collects records from @p next on, for a peer that lacks them: those
 * retained, or one state record where they are no longer kept. Fills at most
 * @p limit; the texts are borrowed until the next applied record, except the
 * state record's, which @p state receives for the caller to free().
 */
uint32_t Fold_Collect(const Fold *fold, uint64_t next, lc_record *out,
                      uint32_t limit, char **state);

#endif

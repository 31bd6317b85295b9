/**
 * @file fold.h
 * @brief The replicated state that all nodes agree on: the view, the table
 * and the results of recent edits, built by applying the records of the log
 * in offset order (a replicated state machine).
 *
 * Records come from the log or are relayed by a peer; both carry their
 * offset, and an offset is applied once. A snapshot record replaces
 * everything before it and is valid only if no other record stands between
 * the offset it names and its own. Every reader skips malformed records, so
 * that all replicas stay equal.
 *
 * Memory: a Fold owns view, table and retained records; accessors
 * return borrowed pointers that the next applied record invalidates.
 */
#ifndef LC_CORE_FOLD_H
#define LC_CORE_FOLD_H

#include "core/table.h"
#include "core/view.h"

/** Result of applying a record. */
typedef enum {
    FOLD_OLD,          /**< its offset was already applied */
    FOLD_GAP,          /**< earlier records are missing */
    FOLD_SKIPPED,      /**< malformed or invalid; every reader skips it */
    FOLD_VIEW,         /**< the view changed */
    FOLD_VIEW_REFUSED, /**< not a successor of the view */
    FOLD_EDIT,         /**< the table changed */
    FOLD_EDIT_REFUSED, /**< based on an older version of its row */
    FOLD_SNAPSHOT,     /**< a snapshot equal to the state; nothing to load */
    FOLD_LOADED        /**< a snapshot or a peer's state replaced the state */
} Fold_Result;

/** Result of an edit. */
typedef struct {
    uint64_t offset;
    bool accepted;
} Fold_Edit;

typedef struct Fold Fold;

/** Creates an empty state whose view keeps history for @p window_ms. */
Fold *Fold_New(int64_t window_ms);
void Fold_Free(Fold *fold);

/** Offset of the next record to apply; 1 at the start. */
uint64_t Fold_Next(const Fold *fold);

/** False if records expired unread, until a snapshot has been loaded. */
bool Fold_Synced(const Fold *fold);

const View *Fold_View(const Fold *fold);
const Table *Fold_Table(const Fold *fold);

/** Next offset (0 while not synced) and epoch, as sent to peers. */
lc_position Fold_Position(const Fold *fold);

/** Applies a record; if it is skipped or refused, @p status has the reason. */
Fold_Result Fold_Apply(Fold *fold, uint64_t offset, const char *record,
                       Status *status);

/**
 * Handles that the log holds no record before @p first: if that is beyond
 * Fold_Next, the state is not synced until a snapshot arrives.
 */
void Fold_Expired(Fold *fold, uint64_t first);

/** Result of an edit, or NULL if its record was not applied here. */
const Fold_Edit *Fold_FindEdit(const Fold *fold, const char *id);

/** Number of records since the last snapshot. */
uint64_t Fold_SinceSnapshot(const Fold *fold);

/** Encodes an edit record; @p row NULL deletes. Release with free(). */
char *Fold_EditRecord(const char *id, const char *group, uint64_t base,
                      const Table_Row *row);

/** Encodes a snapshot record of this state. Release with free(). */
char *Fold_SnapshotRecord(const Fold *fold);

/**
 * Collects the records from offset @p next on for a peer that lacks them:
 * the retained records, or one state record if they are no longer retained.
 * Fills at most @p limit and returns their number. The texts are borrowed
 * until the next applied record, except that of a state record, which is
 * also stored in @p state (NULL otherwise) for the caller to free().
 */
uint32_t Fold_Collect(const Fold *fold, uint64_t next, lc_record *out,
                      uint32_t limit, char **state);

#endif

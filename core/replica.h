/**
 * @file replica.h
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
 * Memory: a Replica owns view, table and retained records; accessors
 * return borrowed pointers that the next applied record invalidates.
 */
#ifndef LC_CORE_REPLICA_H
#define LC_CORE_REPLICA_H

#include "core/group_table.h"
#include "core/membership_view.h"

/** Result of applying a record. */
typedef enum {
    REPLICA_ALREADY_APPLIED, /**< its offset was already applied */
    REPLICA_GAP,             /**< earlier records are missing */
    REPLICA_SKIPPED,      /**< malformed or invalid; every reader skips it */
    REPLICA_VIEW,         /**< the view changed */
    REPLICA_VIEW_REFUSED, /**< not a successor of the view */
    REPLICA_EDIT,         /**< the table changed */
    REPLICA_EDIT_REFUSED, /**< based on an older version of its row */
    REPLICA_SNAPSHOT, /**< a snapshot equal to the state; nothing to load */
    REPLICA_LOADED    /**< a snapshot or a peer's state replaced the state */
} Replica_Result;

/** Result of an edit. */
typedef struct {
    uint64_t offset;
    bool accepted;
} Replica_Edit;

typedef struct Replica Replica;

/** Creates an empty state whose view keeps history for @p window_ms. */
Replica *Replica_New(int64_t window_ms);
void Replica_Free(Replica *replica);

/** Offset of the next record to apply; 1 at the start. */
uint64_t Replica_NextOffset(const Replica *replica);

/** False if records expired unread, until a snapshot has been loaded. */
bool Replica_IsSynced(const Replica *replica);

const View *Replica_View(const Replica *replica);
const GroupTable *Replica_GroupTable(const Replica *replica);

/** Next offset (0 while not synced) and epoch, as sent to peers. */
lc_position Replica_Position(const Replica *replica);

/** Applies a record; if it is skipped or refused, @p status has the reason. */
Replica_Result Replica_Apply(Replica *replica, uint64_t offset,
                             const char *record, Status *status);

/**
 * Handles that the log holds no record before @p first: if that is beyond
 * Replica_NextOffset, the state is not synced until a snapshot arrives.
 */
void Replica_OnRecordsExpired(Replica *replica, uint64_t first);

/** Result of an edit, or NULL if its record was not applied here. */
const Replica_Edit *Replica_FindEdit(const Replica *replica, const char *id);

/** Number of records since the last snapshot. */
uint64_t Replica_RecordsSinceSnapshot(const Replica *replica);

/** Encodes an edit record; @p row NULL deletes. Release with free(). */
char *Replica_EncodeEdit(const char *id, const char *group, uint64_t base,
                         const GroupTable_Row *row);

/** Encodes a snapshot record of this state. Release with free(). */
char *Replica_EncodeSnapshot(const Replica *replica);

/**
 * Collects the records from offset @p next on for a peer that lacks them:
 * the retained records, or one state record if they are no longer retained.
 * Fills at most @p limit and returns their number. The texts are borrowed
 * until the next applied record, except that of a state record, which is
 * also stored in @p state (NULL otherwise) for the caller to free().
 */
uint32_t Replica_CollectRecords(const Replica *replica, uint64_t next,
                                lc_record *out, uint32_t limit, char **state);

#endif

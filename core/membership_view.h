/**
 * @file membership_view.h
 * @brief Membership view: which incarnations of entries and companions
 * belong to the cluster, built by applying view records in log order.
 *
 * A view record names its predecessor; the first valid successor wins, so
 * every reader builds the same history. The epoch is the offset of the last
 * record that changed the set of entries; ownership of keys depends on the
 * epoch alone.
 *
 * Memory: a View owns its arrays; accessors return borrowed pointers that
 * the next change of the view invalidates.
 */
#ifndef LC_CORE_MEMBERSHIP_VIEW_H
#define LC_CORE_MEMBERSHIP_VIEW_H

#include <glib.h>

#include "core/node.h"

/** A process that is a member of the view. */
typedef struct {
    lc_node node;
    bool is_entry;
    bool leaving;     /**< still serves its jobs, owns no keys */
    uint64_t added;   /**< log offset of the record that added it */
    int64_t added_ms; /**< wall clock of that record */
} View_Member;

/** A process that was removed from the view within the window. */
typedef struct {
    lc_node node;
    bool is_entry;
    bool gone; /**< the log proves that it no longer runs */
    uint64_t offset;
    int64_t added_ms; /**< wall clock of the record that added it */
    int64_t at_ms;    /**< wall clock of the record that removed it */
} View_Removed;

/** The entries that own keys from an epoch on. */
typedef struct {
    uint64_t offset;
    int64_t at_ms;
    GArray *owners; /**< lc_node of every entry that was not leaving */
} View_Epoch;

/** Membership as of the last applied view record. */
typedef struct {
    uint64_t seq;      /**< offset of the last applied view record */
    uint64_t epoch;    /**< offset of the last record that changed entries */
    int64_t at_ms;     /**< wall clock of the last applied view record */
    int64_t window_ms; /**< how long history is kept */
    GArray *members;   /**< View_Member */
    GHashTable *index; /**< address -> 1-based index into members */
    GArray *removed;   /**< View_Removed */
    GArray *epochs;    /**< View_Epoch, oldest first */
} View;

/** Creates an empty view that keeps history for @p window_ms. */
View *View_New(int64_t window_ms);
void View_Free(View *view);

/** Member with this address and incarnation, or NULL. */
const View_Member *View_Find(const View *view, const lc_node *node);

/** Member at this address, or NULL. */
const View_Member *View_FindAddress(const View *view, Address address);

/** Removed process with this address and incarnation, or NULL. */
const View_Removed *View_FindRemoved(const View *view, const lc_node *node);

/** Owner of a key in the current epoch; address 0 if there is none. */
lc_node View_Owner(const View *view, const Key *key);

/** Owner of a key in a past epoch; address 0 if there was none. */
lc_node View_EpochOwner(const View_Epoch *epoch, const Key *key);

/**
 * The current owner that relays log records to the companion at @p address;
 * address 0 if there is none.
 */
lc_node View_RelayEntry(const View *view, Address address);

/**
 * Applies a view record. Errors: BAD_RECORD (malformed or not a successor;
 * the view is unchanged).
 */
Err_Kind View_Apply(View *view, uint64_t offset, const json_t *record,
                    Status *status);

/** One change of a view record. */
typedef struct {
    const char *op; /**< "add", "leave" or "remove" */
    lc_node node;
    bool is_entry;
    bool gone;
} View_Change;

/**
 * Encodes a view record whose predecessor is @p view; release with free().
 */
char *View_EncodeRecord(const View *view, int64_t wall_ms,
                        const GArray *changes);

/** Encodes the view for a snapshot or a state dump. Caller owns the result. */
json_t *View_ToJson(const View *view);

/** Decodes a view of a snapshot; NULL if it is malformed. */
View *View_FromJson(const json_t *value, int64_t window_ms);

#endif

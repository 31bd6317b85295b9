/**
 * @file ownership.h
 * @brief Controller of ownership: whether this entry may act for a key.
 *
 * An entry owns a key by rendezvous hash over the entries of the epoch. It
 * acts for keys that came to it only once it has settled the epoch: every
 * other entry of the view has applied it and told which of those keys it
 * holds, every removed entry is known to admit nothing any more, and the
 * companions, which refuse removed entries, told what those had started.
 */
#ifndef LC_CORE_OWNERSHIP_H
#define LC_CORE_OWNERSHIP_H

#include "core/board.h"

/** What this entry may do for a key that is not in its ledger. */
typedef enum {
    OWN_NOBODY,    /**< the view has no owners */
    OWN_OTHER,     /**< another entry owns it */
    OWN_UNSETTLED, /**< it came to this entry, its past is not known yet */
    OWN_UNSURE,    /**< it may have run where nobody can tell any more */
    OWN_CLEAN      /**< this entry owns it and it was never started */
} Own_Verdict;

/** Judges a key; on OWN_OTHER @p owner is set. */
Own_Verdict Ownership_Judge(const Board *board, const Key *key,
                            lc_node *owner);

/** Whether there is fresh evidence that this entry is still in the view. */
bool Ownership_HasEvidence(const Board *board);

/** The view changed. */
void Ownership_OnView(Board *board);

/** Tells the caller which of its keys this entry holds. */
void Ownership_AnswerSettle(Board *board, uint64_t reply_id,
                            const lc_settle_args *args);

/** A SETTLE call ended; @p reply is NULL when it was lost. */
void Ownership_OnSettle(Board *board, const Call *call,
                        const lc_settle_res *reply);

/** An INVENTORY call ended; @p reply is NULL when it was lost. */
void Ownership_OnInventory(Board *board, const Call *call,
                           const lc_inventory_res *reply);

void Ownership_Tick(Board *board);

#endif

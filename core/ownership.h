/**
 * @file ownership.h
 * @brief Controller of key ownership: whether this entry may act for a key.
 *
 * The owner of a key is chosen by rendezvous hashing over the entries of the
 * epoch. An entry acts for keys that it newly owns only once it has settled
 * the epoch: every other entry of the view has applied the epoch and reported
 * which of those keys it holds, every removed entry is discharged (known to
 * admit no more jobs), and the companions, which reject removed entries, have
 * reported the tasks that those had started.
 */
#ifndef LC_CORE_OWNERSHIP_H
#define LC_CORE_OWNERSHIP_H

#include "core/blackboard.h"

/** Whether this entry may start a job whose key is not in its ledger. */
typedef enum {
    OWN_NO_OWNER,     /**< the view has no owner entries */
    OWN_OTHER,        /**< another entry owns it */
    OWN_UNSETTLED,    /**< newly owned; the epoch is not settled yet */
    OWN_UNSURE,       /**< it may have run; no node can tell any more */
    OWN_NEVER_STARTED /**< this entry owns it and it was never started */
} Ownership_Verdict;

/** Checks a key; @p owner receives its owner, address 0 if there is none. */
Ownership_Verdict Ownership_Check(const Blackboard *board, const Key *key,
                                  lc_node *owner);

/** Whether recent evidence shows that this entry is still in the view. */
bool Ownership_HasEvidence(const Blackboard *board);

/** Handles a change of the view: a new epoch must be settled. */
void Ownership_OnView(Blackboard *board);

/** Answers which keys owned by the caller this entry holds. */
void Ownership_AnswerSettle(Blackboard *board, uint64_t reply_id,
                            const lc_settle_args *args);

/** Handles the end of a SETTLE call; @p reply is NULL if it was lost. */
void Ownership_OnSettle(Blackboard *board, const Call *call,
                        const lc_settle_res *reply);

/** Handles the end of an INVENTORY call; @p reply is NULL if it was lost. */
void Ownership_OnInventory(Blackboard *board, const Call *call,
                           const lc_inventory_res *reply);

void Ownership_Tick(Blackboard *board);

#endif

/**
 * @file claims.h
 * @brief Claims on owners of durable jobs: who has taken over from whom.
 *
 * The first claim of an owner in the order of the log is effective, unless its
 * successor was claimed earlier or is that owner itself. Each effective claim
 * of a cycle would therefore be older than the next one, so there are no
 * cycles, and following claims from any owner ends at the current one.
 *
 * Claims may be added in any order and repeatedly. Those added in the order of
 * the log cost constant time each; otherwise all are judged anew, once, when
 * next asked about. Questions take amortized logarithmic time, however long
 * the history is.
 */
#ifndef LC_LEASE_CLAIMS_H
#define LC_LEASE_CLAIMS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/msg.h"

/** How the jobs of a first owner have come to their current one. */
typedef struct {
    lc_node owner;         /**< the current owner */
    lc_node predecessor;   /**< whom it has claimed; zeros if nobody */
    uint32_t claims_count; /**< effective claims between both */
} Claims_Ownership;

/** Opaque set of claims. */
typedef struct Claims Claims;

Claims *Claims_New(void);
void Claims_Free(Claims *claims);

/** Adds the claim at @p offset of the log. Returns whether it took effect;
 * false also for a claim that is added out of order, on which
 * Claims_SuccessorOf decides. */
bool Claims_Add(Claims *claims, uint64_t offset, const lc_node *claimed_owner,
                const lc_node *successor);

/** Whether all claims so far were added in the order of the log, or were
 * judged since. */
bool Claims_IsInOrder(const Claims *claims);

/** Notes that a takeover from @p claimed_owner is complete: neither it nor any
 * of its predecessors has runs or gives orders any more. */
void Claims_SetComplete(Claims *claims, const lc_node *claimed_owner);

/** Who took over from @p node; zeros if it is not claimed. */
lc_node Claims_SuccessorOf(Claims *claims, const lc_node *node);

/** Current owner of the jobs of @p first_owner. */
Claims_Ownership Claims_Follow(Claims *claims, const lc_node *first_owner);

/** Owners that @p successor itself has claimed, as an array of lc_node; the
 * caller frees it. */
GArray *Claims_ClaimedBy(Claims *claims, const lc_node *successor);

/** An owner and its predecessors, direct and indirect, but those from which a
 * takeover is complete, as an array of lc_node; the caller frees it. */
GArray *Claims_Predecessors(Claims *claims, const lc_node *node);

#endif

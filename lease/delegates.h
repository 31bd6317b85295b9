/**
 * @file delegates.h
 * @brief Other entries to which this one can forward jobs: the link headroom
 * that each has reported, and the leases on the jobs forwarded to it.
 *
 * No entry is queried while this one's link is not congested. A reported
 * headroom is a fraction of a second old, and every entry that asks is told
 * the same; each therefore uses only a part of it, and the delegate itself
 * refuses what it cannot take. Times are monotonic, in ms, on this entry's
 * clock unless stated otherwise.
 */
#ifndef LC_LEASE_DELEGATES_H
#define LC_LEASE_DELEGATES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "lease/lease_timing.h"
#include "wire/msg.h"

/** One other entry. */
typedef struct {
    lc_node node;         /**< incarnation 0 while it is not known */
    int64_t stamp_ms;     /**< on its clock: when its last answer was sent */
    int64_t received_ms;  /**< when that answer arrived; 0 for never */
    int64_t credit_bytes; /**< link cost of the jobs it may still be sent */
    uint64_t extend_call_id; /**< call id of the pending EXTEND, or 0 */
    int64_t extend_sent_ms;  /**< when that was sent */
    uint32_t jobs;           /**< forwarded to it and not ended */
    GArray *withdrawn; /**< uint64_t, numbers of withdrawn jobs it has not
                            acknowledged */
    guint withdrawn_in_flight; /**< how many are in the pending EXTEND */
} Delegate;

/** All delegates. */
typedef struct {
    GPtrArray *rows; /**< Delegate, owned */
    uint64_t salt; /**< start offset in the list of candidates, so that entries
                        do not all query the same few */
} Delegates;

void Delegates_Init(Delegates *delegates, uint64_t salt);
void Delegates_Clear(Delegates *delegates);

/** Sets the live entries that may be used; a few of them become delegates.
 * Delegates that are not among them go once nothing of theirs is open. */
void Delegates_SetCandidates(Delegates *delegates, const Address *addresses,
                             guint count);

/** Returns the delegate at an address, or NULL. */
Delegate *Delegates_Find(const Delegates *delegates, Address address);

/** Whether an EXTEND is due. @p wanted: this entry's link is congested. */
bool Delegates_IsExtendDue(const Delegate *row, int64_t now_ms, bool wanted);

/** End of validity of an EXTEND or FORWARD sent now, in ms on the delegate's
 * clock; 0 if that is not known. */
int64_t Delegates_ValidUntil(const Delegate *row, const LeaseTiming *timing,
                             int64_t now_ms);

/** Applies a delegate's answer to an EXTEND. */
void Delegates_ApplyAnswer(Delegate *row, int64_t now_ms,
                           const lc_extend_res *answer);

/** Clears the credit of a delegate that did not answer or refused a job: it is
 * sent no job until it answers again. */
void Delegates_ClearCredit(Delegate *row);

/** Returns the delegate with the most credit that can take a job which costs
 * its link @p bytes, or NULL. */
Delegate *Delegates_Pick(const Delegates *delegates, int64_t now_ms,
                         int64_t bytes);

#endif

/**
 * @file membership.h
 * @brief Controller of membership: pings peers, relays log records to those
 * that lack them, reads the host list and proposes view changes.
 *
 * Every entry computes the changes that the view needs; the answering entry
 * with the lowest address appends them at once, the others after a delay that
 * grows with their rank. A view record that lost the race names a stale
 * predecessor and is skipped by every reader, so duplicate proposals are
 * harmless.
 */
#ifndef LC_CORE_MEMBERSHIP_H
#define LC_CORE_MEMBERSHIP_H

#include "core/blackboard.h"

/** One row of the host list. */
typedef struct {
    Address address;
    lc_role role;
    bool leaving;
} Membership_Host;

/** Handles a new copy of the host list. */
void Membership_OnHosts(Blackboard *board, const Membership_Host *hosts,
                        uint32_t count);

/** Handles the reply to a ping; @p reply is NULL if the call was lost. */
void Membership_OnPing(Blackboard *board, const Call *call,
                       const lc_ping_res *reply);

/** Handles the reply to a relay; @p reply is NULL if the call was lost. */
void Membership_OnRelay(Blackboard *board, const Call *call,
                        const lc_relay_res *reply);

/** Answers a ping. */
void Membership_AnswerPing(Blackboard *board, uint64_t reply_id,
                           const lc_ping_args *args);

/** Applies the log records that a peer relayed, and answers. */
void Membership_AnswerRelay(Blackboard *board, uint64_t reply_id,
                            const lc_relay_args *args);

/** Records how far a peer has applied the log. */
void Membership_UpdatePosition(Blackboard *board, Peer *peer,
                               const lc_position *position);

/** Handles the end of an append of this controller. */
void Membership_OnAppend(Blackboard *board, uint64_t append_id,
                         bool confirmed);

/**
 * Appends a view record that changes this entry; @p op is "add", "leave" (it
 * owns no keys any more) or "remove".
 */
void Membership_ProposeSelf(Blackboard *board, const char *op);

/** Whether tasks may be sent to a companion. */
bool Membership_IsUsable(const Blackboard *board, const Peer *peer);

/** Companions to which tasks may be sent now. Borrowed. */
const GPtrArray *Membership_UsableCompanions(Blackboard *board);

void Membership_Tick(Blackboard *board);

#endif

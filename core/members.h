/**
 * @file members.h
 * @brief Controller of membership: pings peers, relays log records to those
 * that lack them, reads the host list and proposes view changes.
 *
 * Every entry computes the changes that the view needs; the answering entry
 * with the lowest address appends them at once, the others after a delay that
 * grows with their rank. A view record that lost the race names a stale
 * predecessor and is skipped by every reader, so duplicate proposals are
 * harmless.
 */
#ifndef LC_CORE_MEMBERS_H
#define LC_CORE_MEMBERS_H

#include "core/board.h"

/** One row of the host list. */
typedef struct {
    Address address;
    lc_role role;
    bool leaving;
} Members_Host;

/** Handles a new copy of the host list. */
void Members_OnHosts(Board *board, const Members_Host *hosts, uint32_t count);

/** Handles the reply to a ping; @p reply is NULL if the call was lost. */
void Members_OnPing(Board *board, const Call *call, const lc_ping_res *reply);

/** Handles the reply to a relay; @p reply is NULL if the call was lost. */
void Members_OnRelay(Board *board, const Call *call,
                     const lc_relay_res *reply);

/** Answers a ping. */
void Members_AnswerPing(Board *board, uint64_t reply_id,
                        const lc_ping_args *args);

/** Applies the log records that a peer relayed, and answers. */
void Members_AnswerRelay(Board *board, uint64_t reply_id,
                         const lc_relay_args *args);

/** Records how far a peer has applied the log. */
void Members_Heard(Board *board, Peer *peer, const lc_position *position);

/** Handles the end of an append of this controller. */
void Members_OnAppend(Board *board, uint64_t append_id, bool confirmed);

/**
 * Appends a view record that changes this entry; @p op is "add", "leave" (it
 * owns no keys any more) or "remove".
 */
void Members_ProposeSelf(Board *board, const char *op);

/** Whether tasks may be sent to a companion. */
bool Members_Usable(const Board *board, const Peer *peer);

/** Companions to which tasks may be sent now. Borrowed. */
const GPtrArray *Members_AllUsable(Board *board);

void Members_Tick(Board *board);

#endif

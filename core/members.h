/**
 * @file members.h
 * @brief Controller of membership: pings peers, relays log records to those
 * that lack them, reads the host list and proposes view changes.
 *
 * Every entry works out the same wanted changes; the one with the lowest
 * address that it does not suspect appends them, the others only after a
 * delay. A view record that lost the race names a stale predecessor and is
 * skipped by all, so a proposal sent twice does no harm.
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

/** The host list was read. */
void Members_OnHosts(Board *board, const Members_Host *hosts, uint32_t count);

/** A ping was answered, or lost (@p reply NULL). */
void Members_OnPing(Board *board, const Call *call, const lc_ping_res *reply);

/** A relay was answered, or lost (@p reply NULL). */
void Members_OnRelay(Board *board, const Call *call,
                     const lc_relay_res *reply);

/** Answers a ping. */
void Members_AnswerPing(Board *board, uint64_t reply_id,
                        const lc_ping_args *args);

/** Applies relayed records. */
void Members_AnswerRelay(Board *board, uint64_t reply_id,
                         const lc_relay_args *args);

/** A peer told how far it has applied the log. */
void Members_Heard(Board *board, Peer *peer, const lc_position *position);

/** An append of this controller ended. */
void Members_OnAppend(Board *board, uint64_t append_id, bool confirmed);

/** Appends the change by which this entry stops owning keys or leaves. */
void Members_ProposeSelf(Board *board, const char *op);

/** Whether a companion may be sent work. */
bool Members_Usable(const Board *board, const Peer *peer);

/** Companions that may be sent work, as of now. Borrowed. */
const GPtrArray *Members_AllUsable(Board *board);

void Members_Tick(Board *board);

#endif

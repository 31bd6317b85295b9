/**
 * @file fleet.h
 * @brief An entry's view of all companions: the state each one reported, the
 * capacity left there, and the latest hold that this entry has sent it.
 *
 * Rows are never removed while the fleet exists; a companion that has been
 * silent for long stays with state ABSENT. Times are monotonic, in ms, on this
 * entry's clock unless stated otherwise.
 */
#ifndef LC_LEASE_FLEET_H
#define LC_LEASE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "lease/lease_timing.h"
#include "wire/msg.h"

/** One companion. */
typedef struct {
    lc_node node;
    char *hall;
    char *service;
    char *instance;
    char **labels;
    lc_upstream_state state;
    int64_t absent_since_ms; /**< valid in state ABSENT */
    lc_resources capacity;
    lc_resources room; /**< last reported, less what was sent since */
    uint32_t pace_percent;
    uint32_t held;      /**< ends of durable jobs' runs that are not released
                             there */
    uint32_t held_long; /**< those of them that have waited for long */

    int64_t held_queried_ms; /**< when this entry last asked for them */
    int64_t first_heard_ms;  /**< when its current incarnation was first heard
                                  of */
    int64_t stamp_ms;    /**< on its clock: when its last message was sent */
    int64_t received_ms; /**< when that message arrived */
    int64_t reported_ms; /**< when its last report arrived */
    uint32_t next_ms; /**< interval within which it promised the next report */
    int64_t valid_until_ms; /**< on its clock: end of the latest hold sent */
    int64_t hold_sent_ms;   /**< when that hold was sent; 0 for never */
    uint32_t running;       /**< runs of this entry that have not ended */
    uint64_t renew_call_id; /**< call id of the pending RENEW, or 0 */
    int64_t renew_sent_ms;  /**< when the last RENEW was sent */
    bool suspect;           /**< a RENEW was not answered in time */
    bool halt_failed;       /**< the connection of a HALT broke */
    uint32_t late_ms;       /**< as in lc_report_args */
    GArray *unsettled;      /**< lc_run_id, as listed in the answer to a RENEW,
                                 of the runs sent before it */
    int64_t unsettled_as_of_ms; /**< when that RENEW was sent */
    bool closed;                /**< operators have closed its hall */
    int64_t avoid_until_ms; /**< set by refusals other than for lack of room */
} Fleet_Host;

/** All known companions. */
typedef struct {
    GPtrArray *hosts; /**< Fleet_Host, owned */
    GHashTable *by_address;
} Fleet;

/** Incarnation of a message compared with the one known. */
typedef enum {
    FLEET_SAME_INCARNATION, /**< the known incarnation */
    FLEET_NEW,              /**< companion was not known */
    FLEET_RESTARTED, /**< newer one: all runs of the last one have ended */
    FLEET_STALE /**< ignored: an older incarnation, or a newer one that is not
                   ready */
} Fleet_Change;

void Fleet_Init(Fleet *fleet);
void Fleet_Clear(Fleet *fleet);

/** Returns the companion at an address, or NULL. */
Fleet_Host *Fleet_Find(const Fleet *fleet, Address address);

/** Applies a report. A new incarnation is ignored (STALE) until it knows which
 * tasks its upstream runs. @p host_out is set in every case. */
Fleet_Change Fleet_ApplyReport(Fleet *fleet, int64_t now_ms,
                               const lc_report_args *report,
                               Fleet_Host **host_out);

/** Applies the state that a companion sent with an answer; false if it is from
 * another incarnation than the known one. A state older than the last one is
 * ignored. */
bool Fleet_ApplyState(Fleet_Host *host, int64_t now_ms,
                      const lc_host_state *state);

/** Records that a message with a new hold is sent now; returns the end of the
 * hold in ms on the companion's clock. */
int64_t Fleet_ExtendHold(Fleet_Host *host, const LeaseTiming *timing,
                         int64_t now_ms);

/** Time by which every run held there has certainly ended; 0 if nothing is
 * held. */
int64_t Fleet_CertainEnd(const Fleet_Host *host, const LeaseTiming *timing);

/** Whether the companion's current incarnation was heard of before a time. */
bool Fleet_IsHeardBefore(const Fleet_Host *host, int64_t time_ms);

/** Whether the upstream has @p label; the empty label always matches. */
bool Fleet_HasLabel(const Fleet_Host *host, const char *label);

#endif

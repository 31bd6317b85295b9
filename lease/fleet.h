/**
 * @file fleet.h
 * @brief What an entry believes of each companion: its word of itself, the
 * room that is left there, and how far this entry has held it.
 *
 * Rows live as long as the fleet; a row of a companion long silent is kept
 * with state ABSENT. Times are monotonic, in ms.
 */
#ifndef LC_LEASE_FLEET_H
#define LC_LEASE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "lease/term.h"
#include "wire/msg.h"

/** One companion. */
typedef struct {
    lc_node node;
    char *hall;
    char *service;
    char *instance;
    char **labels;
    lc_upstream_state state;
    lc_resources capacity;
    lc_resources room; /**< as far as known, less what was sent since */
    uint32_t pace_percent;
    uint32_t held;      /**< ends of kept jobs that are not released there */
    uint32_t held_long; /**< of them those that wait for long */

    int64_t held_asked_ms;  /**< when this entry asked for them */
    int64_t stamp_ms;       /**< its clock at its last word */
    int64_t received_ms;    /**< when that arrived */
    int64_t reported_ms;    /**< when its last report arrived */
    uint32_t next_ms;       /**< after which the next was promised */
    int64_t valid_until_ms; /**< on its clock: the furthest hold sent */
    int64_t held_ms;        /**< when that was sent; 0 for never */
    uint32_t running;       /**< runs of this entry that are not over */
    uint64_t renewing;      /**< RENEW on its way, or 0 */
    int64_t renew_ms;       /**< when the last RENEW was sent */
    bool suspect;           /**< a RENEW had no answer in time */
    bool closed;            /**< operators have closed its hall */
    int64_t avoid_until_ms; /**< after refusals that are no want of room */
} Fleet_Host;

/** All companions known. */
typedef struct {
    GPtrArray *hosts; /**< Fleet_Host */
    GHashTable *by_address;
} Fleet;

/** What a message of a companion changed. */
typedef enum {
    FLEET_KNOWN,  /**< same incarnation as before */
    FLEET_NEW,    /**< not known before */
    FLEET_REBORN, /**< another incarnation: all runs of the last are over */
    FLEET_STALE   /**< from an incarnation that is past; passed over */
} Fleet_Change;

void Fleet_Init(Fleet *fleet);
void Fleet_Clear(Fleet *fleet);

/** Row of an address, or NULL. */
Fleet_Host *Fleet_Find(const Fleet *fleet, Address address);

/** Takes a report. A new incarnation that is not ready yet is passed over
 * (STALE) until it knows what its upstream runs. */
Fleet_Change Fleet_TakeReport(Fleet *fleet, int64_t now_ms,
                              const lc_report_args *report,
                              Fleet_Host **host_out);

/** Takes what a companion says of itself in an answer; false if it is not
 * of the incarnation known. */
bool Fleet_TakeState(Fleet_Host *host, int64_t now_ms,
                     const lc_host_state *state);

/** Notes that a message with a new hold is sent now; returns its end on the
 * companion's clock. */
int64_t Fleet_Hold(Fleet_Host *host, const Term *term, int64_t now_ms);

/** When everything held there is certainly over; 0 if nothing is. */
int64_t Fleet_CertainEnd(const Fleet_Host *host, const Term *term);

/** Whether the upstream carries @p label; the empty label always fits. */
bool Fleet_HasLabel(const Fleet_Host *host, const char *label);

#endif

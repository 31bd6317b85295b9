/**
 * @file peers.h
 * @brief The entries that a process knows, from its settings and from lists of
 * live entries that other processes send.
 *
 * Times are monotonic, in ms.
 */
#ifndef LC_LEASE_PEERS_H
#define LC_LEASE_PEERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "wire/msg.h"

/** One entry. */
typedef struct {
    Address address;
    char hall[LC_MAX_NAME]; /**< "" while it is not known */
    bool seed;              /**< named by the settings */
    bool listed;            /**< in the last list received */
    bool chosen;            /**< see lease/partial_view.h */
    bool connected;         /**< called since its connection was closed */
    int64_t heard_ms;       /**< last message from it; 0 for never */
    int64_t since_ms;       /**< when this row was created */
    int64_t last_named_ms;  /**< when any process last named it */
    int64_t call_sent_ms;   /**< when the pending call was sent */
    int64_t last_sent_ms;   /**< when our state was last sent to it, by a call
                          or reply */
    uint64_t call_id;       /**< pending call, or 0 */
    uint64_t confirmed_version;   /**< of our state that it confirmed */
    uint64_t version_in_flight;   /**< version of our state in the pending
                                     call */
    uint32_t late_starts_version; /**< of our late starts that it confirmed */
    uint32_t report_interval_ms;  /**< least time between two reports to it, as
                                   it asks, in ms */
    uint64_t digest;        /**< of the entries that it knows, from its last
                               message */
    bool last_sent_waiting; /**< the last message to it said that jobs wait
                               here */
    int64_t last_sent_routes_version; /**< our route version in the last
                                         message to it */
    int64_t routes_version; /**< its route version, from its last message; -1:
                               none */
    GArray *waiting;        /**< Peers_QueueCount, from its last message */
} Peers_Row;

/** Waiting jobs of one queue at a peer. */
typedef struct {
    char queue[LC_MAX_NAME];
    uint64_t address; /**< as in QueueRef */
    uint32_t waiting;
} Peers_QueueCount;

/** An entry as recorded in the registry. */
typedef struct {
    Address address;
    char hall[LC_MAX_NAME]; /**< "" if the record has none */
} Peers_RegistryRecord;

/** All known entries except this process. */
typedef struct {
    Address self;
    GPtrArray *rows;           /**< Peers_Row */
    uint64_t list_digest;      /**< of the last list received; 0 before */
    int64_t list_confirmed_ms; /**< when it was last received or confirmed */
} Peers;

void Peers_Init(Peers *peers, Address self);
void Peers_Clear(Peers *peers);

/** Row of an address, or NULL. */
Peers_Row *Peers_Find(const Peers *peers, Address address);

/** Adds an entry that was named by any process, or updates when that last
 * happened; returns whether it is new. */
bool Peers_Add(Peers *peers, Address address, int64_t now_ms);

/** Sets the hall of a known entry; ignored if @p hall is NULL or "". */
void Peers_SetHall(Peers *peers, Address address, const char *hall);

/** Replaces the list of all live entries by one from another process. */
void Peers_ReplaceList(Peers *peers, const u_quad_t *entries, u_int count,
                       int64_t now_ms);

/** Records that another process still has the same list. */
void Peers_ConfirmList(Peers *peers, int64_t now_ms);

/** Marks an entry as live, as it sent a message; returns whether it was not
 * live before. */
bool Peers_MarkAlive(Peers *peers, Address address, int64_t now_ms);

/** Sets the seeds from the settings. */
void Peers_SetSeeds(Peers *peers, const Address *seeds, uint32_t count,
                    int64_t now_ms);

/** Row with this pending call, or NULL. */
Peers_Row *Peers_FindByCall(const Peers *peers, uint64_t call_id);

/** Removes rows of entries that are no seeds, have no pending call, and were
 * neither heard nor named for long. */
void Peers_Expire(Peers *peers, int64_t now_ms);

/** Whether an entry is live: it sent a message lately. */
bool Peers_IsLive(const Peers_Row *row, int64_t now_ms);

/** Timeout of a call to a peer, and interval between calls to a peer that is
 * not live, in ms: short at first, as it may be starting, longer after some
 * seconds. */
int64_t Peers_CallTimeoutMs(const Peers_Row *row, int64_t now_ms);

/** Addresses of the live peers, and @p extra unless it is 0; the caller frees
 * the array. */
GArray *Peers_ListLive(const Peers *peers, int64_t now_ms, Address extra);

/** Number of live peers. */
uint32_t Peers_CountLive(const Peers *peers, int64_t now_ms);

/** Digest of a set of addresses, independent of their order. */
uint64_t Peers_Digest(const GArray *addresses);

/** Interval between calls to a healthy peer, in ms: @p per_peer_ms per known
 * peer, so that the total call rate stays low, within @p min_ms and @p max_ms.
 */
int64_t Peers_CallIntervalMs(const Peers *peers, int64_t per_peer_ms,
                             int64_t min_ms, int64_t max_ms);

#endif

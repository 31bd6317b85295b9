/**
 * @file peers.h
 * @brief The entries that a process knows: from its settings, and from what
 * other processes say they have heard of lately.
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
    bool listed;            /**< in the list that was taken last */
    bool chosen;            /**< see lease/partial_view.h */
    bool connected;   /**< it was called since its connection was closed */
    int64_t heard_ms; /**< last word of it; 0 for never */
    int64_t since_ms; /**< when this row was made */
    int64_t known_ms; /**< when it was last named by anybody */
    int64_t asked_ms; /**< when the call on its way was sent */
    int64_t
        told_ms; /**< when it was last told of us, by a call or an answer */
    uint64_t call_id;    /**< call on its way, or 0 */
    uint64_t told;       /**< version of our state that it was told */
    uint64_t telling;    /**< version on its way */
    uint32_t gap_ms;     /**< it wants to be told at most so often */
    uint64_t digest;     /**< of the entries that it knows, as it told last */
    bool told_waiting;   /**< it was told last that jobs wait here */
    int64_t told_routes; /**< version of ours that it was told last */
    int64_t routes_version; /**< of its routes, as it told last; -1: none */
    GArray *waiting;        /**< Peers_Count, as it told last */
} Peers_Row;

/** Waiting jobs of one queue at a peer. */
typedef struct {
    char queue[LC_MAX_NAME];
    uint32_t waiting;
} Peers_Count;

/** An entry as the register names it. */
typedef struct {
    Address address;
    char hall[LC_MAX_NAME]; /**< "" if that is not told */
} Peers_Named;

/** All entries known but ourselves. */
typedef struct {
    Address self;
    GPtrArray *rows;      /**< Peers_Row */
    uint64_t list_digest; /**< of the list that was taken last; 0 before */
    int64_t list_ms;      /**< when it was last told or confirmed */
} Peers;

void Peers_Init(Peers *peers, Address self);
void Peers_Clear(Peers *peers);

/** Row of an address, or NULL. */
Peers_Row *Peers_Find(const Peers *peers, Address address);

/** Notes that an entry was named; returns whether it is new. */
bool Peers_Name(Peers *peers, Address address, int64_t now_ms);

/** Notes the hall of an entry that is known; NULL or "" tells nothing. */
void Peers_SetHall(Peers *peers, Address address, const char *hall);

/** Takes the list of all entries that another process hears, in place of the
 * list before. */
void Peers_TakeList(Peers *peers, const u_quad_t *entries, u_int count,
                    int64_t now_ms);

/** Another process has the same list. */
void Peers_ConfirmList(Peers *peers, int64_t now_ms);

/** Notes that an entry spoke; returns whether it had not lately. */
bool Peers_Hear(Peers *peers, Address address, int64_t now_ms);

/** Sets the seeds of the settings. */
void Peers_SetSeeds(Peers *peers, const Address *seeds, uint32_t count,
                    int64_t now_ms);

/** Row that waits for the answer of a call, or NULL. */
Peers_Row *Peers_OfCall(const Peers *peers, uint64_t call_id);

/** Drops rows that are no seeds and have been silent for long. */
void Peers_Forget(Peers *peers, int64_t now_ms);

/** Whether an entry spoke lately. */
bool Peers_IsLive(const Peers_Row *row, int64_t now_ms);

/** How long the answer of a peer is waited for, and how often one that has
 * not spoken lately is called, in ms: often at first, as it may be starting,
 * seldom after some seconds. */
int64_t Peers_PatienceMs(const Peers_Row *row, int64_t now_ms);

/** Addresses that spoke lately, and @p with unless it is 0; the caller frees
 * the array. */
GArray *Peers_Live(const Peers *peers, int64_t now_ms, Address with);

/** Number of those that spoke lately. */
uint32_t Peers_CountLive(const Peers *peers, int64_t now_ms);

/** Digest of a set of addresses, whatever their order. */
uint64_t Peers_Digest(const GArray *addresses);

/** How often one that is well is called, in ms: so often that the calls of
 * all together stay few, within bounds. */
int64_t Peers_SpacedMs(const Peers *peers, int64_t each_ms, int64_t least_ms,
                       int64_t most_ms);

#endif

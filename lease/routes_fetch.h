/**
 * @file routes_fetch.h
 * @brief Fetches newer routes from other entries, when the store has not given
 * them: one peer at a time and one chunk at a time, so that what comes over
 * the line of this host is at most one copy besides the store's.
 *
 * Decides alone; the caller sends the calls and hands in their answers. What
 * has come is kept when a peer fails, and the next one goes on from there.
 * Times are monotonic, in ms.
 */
#ifndef LC_LEASE_ROUTES_FETCH_H
#define LC_LEASE_ROUTES_FETCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lease/peers.h"
#include "wire/msg.h"

/** Longest record that is fetched, in bytes: what the client of the store
 * takes as one answer. */
#define ROUTES_FETCH_MOST (32U * 1024 * 1024)

/** State of a fetch. Set to zero, then RoutesFetch_Init. */
typedef struct {
    int64_t behind_ms; /**< since when a newer version is known of; 0: not */
    int64_t version;   /**< that of the bytes */
    uint32_t total;    /**< bytes of the whole record; 0 before a chunk came */
    GByteArray *bytes; /**< what has come */
    Address from;      /**< the peer asked last, or 0 */
    bool failed;       /**< it gave nothing of use */
    bool asking;       /**< a call is on its way */
    int64_t asked_ms;
    uint32_t turn; /**< peers are asked in turn */
} Routes_Fetch;

/** A call to be sent. */
typedef struct {
    Address to;
    lc_routes_args args;
} RoutesFetch_Call;

/** What an answer led to. */
typedef enum {
    ROUTES_FETCH_FAILED, /**< nothing of use; another peer is asked */
    ROUTES_FETCH_MORE,   /**< a chunk; more is to be asked for */
    ROUTES_FETCH_WHOLE   /**< `bytes` hold the whole record */
} RoutesFetch_Step;

/** @p turn says which peer is asked first, so that not all ask the same. */
void RoutesFetch_Init(Routes_Fetch *fetch, uint32_t turn);
void RoutesFetch_Clear(Routes_Fetch *fetch);

/** Whether a call is due; fills @p call. @p version is that in force here, -1
 * for none; @p store_answers whether the store may be expected to give the
 * newer one. */
bool RoutesFetch_Next(Routes_Fetch *fetch, int64_t now_ms, int64_t version,
                      bool store_answers, const Peers *peers,
                      RoutesFetch_Call *call);

/** The last call has no answer: its peer cannot be reached, or is slow. */
void RoutesFetch_Fail(Routes_Fetch *fetch);

/** Takes the answer of the last call. */
RoutesFetch_Step RoutesFetch_Take(Routes_Fetch *fetch,
                                  const lc_routes_res *answer);

#endif

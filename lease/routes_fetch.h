/**
 * @file routes_fetch.h
 * @brief Fetches a newer route table from other entries when the store has not
 * delivered it. One chunk is requested from one peer at a time, so that the
 * network link of this host carries at most one copy besides the store's.
 *
 * Contains only the decisions; the caller sends the calls and passes in their
 * replies. Bytes received are kept when a peer fails, and the next peer
 * continues from there. Times are monotonic, in ms.
 */
#ifndef LC_LEASE_ROUTES_FETCH_H
#define LC_LEASE_ROUTES_FETCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lease/peers.h"
#include "wire/msg.h"

/** Maximum length of a record that is fetched, in bytes: the limit of the
 * store client for one answer. */
#define ROUTES_FETCH_MAX_BYTES (32U * 1024 * 1024)

/** State of a fetch. Set to zero, then RoutesFetch_Init. */
typedef struct {
    int64_t newer_since_ms; /**< when a newer version became known; 0: none */
    int64_t version;        /**< version of the bytes */
    uint32_t total;     /**< length of the whole record; 0 before any chunk */
    GByteArray *bytes;  /**< bytes received so far */
    Address from;       /**< the peer asked last, or 0 */
    bool failed;        /**< the last call to it failed */
    bool asking;        /**< a call is pending */
    int64_t sent_ms;    /**< when the last call was sent */
    uint32_t next_peer; /**< where the round-robin over peers continues */
} RoutesFetch;

/** A call to be sent. */
typedef struct {
    Address to;
    lc_routes_args args;
} RoutesFetch_Call;

/** Result of a reply. */
typedef enum {
    ROUTES_FETCH_FAILED,  /**< unusable reply; another peer is asked */
    ROUTES_FETCH_PARTIAL, /**< a chunk was added; more are needed */
    ROUTES_FETCH_COMPLETE /**< `bytes` hold the whole record */
} RoutesFetch_Result;

/** @p next_peer is where the round-robin begins; it should differ between
 * processes, so that they do not all ask the same peer. */
void RoutesFetch_Init(RoutesFetch *fetch, uint32_t next_peer);
void RoutesFetch_Clear(RoutesFetch *fetch);

/** Whether a call is due; if so, fills @p call. @p version is the version in
 * force here, -1 for none; @p store_answers tells whether the store can be
 * expected to deliver the newer one. */
bool RoutesFetch_Next(RoutesFetch *fetch, int64_t now_ms, int64_t version,
                      bool store_answers, const Peers *peers,
                      RoutesFetch_Call *call);

/** The last call failed: its peer is unreachable or too slow. */
void RoutesFetch_OnFailure(RoutesFetch *fetch);

/** Processes the reply to the last call. */
RoutesFetch_Result RoutesFetch_OnReply(RoutesFetch *fetch,
                                       const lc_routes_res *reply);

#endif

/**
 * @file leased_entry_state.h
 * @brief State of an entry process of leased jobs, shared by the files that
 * make it up: the process, what callers ask for, and talk with other entries.
 *
 * For daemon/leased_*.c alone.
 */
#ifndef LC_DAEMON_LEASED_ENTRY_STATE_H
#define LC_DAEMON_LEASED_ENTRY_STATE_H

#include <glib.h>

#include "daemon/leased_registry.h"
#include "daemon/process.h"
#include "daemon/seeds.h"
#include "lease/dispatcher.h"
#include "lease/keeper.h"
#include "lease/peers.h"
#include "lease/queue_counts.h"
#include "lease/routes_fetch.h"
#include "platform/http_client.h"
#include "platform/keyed_log.h"
#include "platform/store.h"

/** Calls of the process itself; the dispatcher numbers its own without this
 * bit. */
#define LEASED_OWN_CALL (1ULL << 63)
/** Calls of the keeper. */
#define LEASED_KEEPER_CALL (1ULL << 62)

/** The process. */
typedef struct {
    Process process; /* first, see Process */
    Dispatcher *dispatcher;
    Keeper *keeper;
    Keyed_Log *kept_log;
    GHashTable *relayed; /* call id -> Leased_Relay, see leased_store.c */
    bool store_away;     /* it does not answer this entry */
    int64_t store_probed_ms;
    int64_t probe_pause_ms;
    int64_t store_back_ms; /* when a probe went well last */
    Route_Table *routes;
    Store_Follower *follower; /* of the operators' records */
    uint64_t random;
    Routes_Fetch fetch;  /* of newer ones from other entries */
    uint64_t fetch_call; /* call on its way, or 0 */
    Http_Client *http;
    Http_Server *callers;
    Http_Server *ready;
    Peers peers;
    Seeds seeds;
    Leased_Registry registry;
    uv_timer_t resume_timer;
    uv_timer_t link_timer; /* starts may leave then */
    uv_check_t settled;
    GHashTable *cancels; /* call id -> Leased_Cancel */
    uint64_t next_call;
    uint64_t other_bytes; /* sent besides starts, as told the dispatcher */
    int64_t started_ms;
    int64_t routes_ms; /* when the routes in force were taken */
    bool store_answers;
    int64_t awake_ms; /* last time that anything was done */
    int64_t stop_ms;  /* when the planned stop was asked for */
    bool still;
    bool was_ready;
} Leased_Entry;

/* The process: leased_entry.c. */

/** Jobs at this entry of which no task was started, by queue. Names are
 * borrowed; free it before anything is done about the jobs. */
QueueCounts *LeasedEntry_Waiting(const Leased_Entry *self);

/** Time now; to be asked at every input, as it notices that the process stood
 * still, and pauses the dispatcher until all input has been read. */
int64_t LeasedEntry_Awake(Leased_Entry *self);

/* Callers: leased_callers.c. */

/** Serves a request of a caller. @p context is the process. */
void LeasedCallers_Serve(void *context, const Http_Request *request);

/** A caller has gone before its answer. */
void LeasedCallers_Gone(void *context, uint64_t request);

/** Another entry cancels a job for its caller. */
void LeasedCallers_AnswerWithdraw(Leased_Entry *self, int64_t now,
                                  uint64_t reply_id,
                                  const lc_withdraw_args *args);

/** Another entry has cancelled a job for us, or cannot be reached. */
void LeasedCallers_TakeWithdraw(Leased_Entry *self, uint64_t call_id,
                                const Msg_Reply *reply);

/* Kept jobs: leased_kept.c. */

/** Makes the keeper, and follows its records from now on. */
void LeasedKept_Open(Leased_Entry *self, const Options *options);

/** Ports of the dispatcher. */
void LeasedKept_End(void *context, const lc_run_id *id, uint32_t task,
                    lc_node host, bool done);
void LeasedKept_Crash(void *context, const lc_run_id *id, uint32_t task);
void LeasedKept_Over(void *context, uint64_t job, Dispatcher_Outcome outcome);

/** Takes a job that must be kept. */
void LeasedKept_Submit(Leased_Entry *self, int64_t now,
                       const Http_Request *request,
                       const Dispatcher_Submit *submit);

/* Routes, from the store or other entries: leased_routes.c. */

/** Follows the store's record of routes from now on. */
void LeasedRoutes_Open(Leased_Entry *self, const Options *options);
void LeasedRoutes_Close(Leased_Entry *self);

/** Version of the routes in force, or -1. */
int64_t LeasedRoutes_Version(const Leased_Entry *self);

/** Asks another entry for newer routes, if that is due. */
void LeasedRoutes_Tick(Leased_Entry *self, int64_t now);

/** Another entry asks for a chunk of the routes. */
void LeasedRoutes_Answer(Leased_Entry *self, uint64_t reply_id,
                         const lc_routes_args *args);

/** Another entry has answered, or cannot be reached; false if @p call_id is
 * not of such a call. */
bool LeasedRoutes_TakeReply(Leased_Entry *self, int64_t now, uint64_t call_id,
                            const Msg_Reply *reply);

/* The store, directly or through another entry: leased_store.c. */

/** Sends a request to the store. While it does not answer this entry, others
 * are asked to call it. @p context is the process. */
void LeasedStore_Send(void *context, const Http_ClientRequest *request,
                      Http_ClientDone done, void *done_context);

/** Another entry cannot reach the store. */
void LeasedStore_AnswerCall(Leased_Entry *self, uint64_t reply_id,
                            const lc_store_args *args);

/** Another entry has called the store for us; false if @p call_id is not of
 * such a call. */
bool LeasedStore_TakeReply(Leased_Entry *self, uint64_t call_id,
                           const Msg_Reply *reply);

/** Gives up calls that others have not answered. */
void LeasedStore_Tick(Leased_Entry *self, int64_t now);

/* Other entries: leased_gossip.c. */

/** Entries that spoke lately, and this one; free the array. */
GArray *LeasedGossip_Known(const Leased_Entry *self);

/** Tells other entries what is due, and gives up on those that are silent. */
void LeasedGossip_Tick(Leased_Entry *self, int64_t now);

/** Another entry tells us of itself. */
void LeasedGossip_Answer(Leased_Entry *self, uint64_t reply_id,
                         const lc_gossip_args *args);

/** Another entry has answered what we told it at @p asked_ms. */
void LeasedGossip_Take(Leased_Entry *self, int64_t asked_ms,
                       const lc_gossip_res *result);

#endif

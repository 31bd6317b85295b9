/**
 * @file leased_entry_state.h
 * @brief State of an entry process of leased jobs, shared by the files that
 * implement it: the process, callers' requests, durable jobs, routes, access
 * to the store, and gossip with other entries.
 *
 * Private to daemon/leased_*.c.
 */
#ifndef LC_DAEMON_LEASED_ENTRY_STATE_H
#define LC_DAEMON_LEASED_ENTRY_STATE_H

#include <glib.h>

#include "base/histogram.h"
#include "daemon/process.h"
#include "daemon/registry_sync.h"
#include "daemon/seeds.h"
#include "lease/dispatcher.h"
#include "lease/durable_jobs.h"
#include "lease/peers.h"
#include "lease/queue_counts.h"
#include "lease/routes_fetch.h"
#include "platform/http_client.h"
#include "platform/keyed_log.h"
#include "platform/store_follower.h"

/** Flag in the ids of calls of the process itself; ids of the dispatcher's
 * calls lack it. */
#define LEASED_ENTRY_CALL_FLAG (1ULL << 63)
/** Flag in the ids of calls of the durable jobs. */
#define LEASED_DURABLE_CALL_FLAG (1ULL << 62)

/** An entry process. */
typedef struct {
    Process process; /* first, see Process */
    Dispatcher *dispatcher;
    DurableJobs *durable_jobs;
    KeyedLog *durable_log;
    GHashTable *relayed_calls; /* call id -> relayed_call */
    uint32_t open_relays;      /* requests of other entries at the store */
    size_t relayed_bytes;      /* of their bodies */
    bool store_unreachable;    /* a request of this entry failed, and no probe
                              succeeded since */
    int64_t last_probe_ms;
    int64_t probe_interval_ms;
    int64_t store_recovered_ms; /* when a probe last succeeded */
    Route_Table *routes;
    StoreFollower *follower; /* of the operators' records in the store */
    uint64_t random;
    RoutesFetch fetch;             /* of newer routes from other entries */
    uint64_t routes_fetch_call_id; /* call without a reply yet, or 0 */
    HttpClient *http;
    Http_Server *callers;
    Http_Server *ready;
    Peers peers;
    Seeds seeds;
    Registry_Sync registry;
    uv_timer_t resume_timer;
    uv_timer_t link_timer;       /* expires when waiting starts may be sent */
    uv_check_t after_poll;       /* runs after each poll for input */
    int64_t polled_ms;           /* when that poll returned (uv_hrtime) */
    Histogram input_passes;      /* time taken to read the input of a poll */
    GHashTable *pending_cancels; /* call id -> pending_cancel */
    uint64_t last_call_id;
    uint64_t non_start_bytes; /* sent besides starts, as reported to the
                             dispatcher */
    int64_t started_ms;
    int64_t routes_applied_ms; /* when the routes in force were applied */
    bool store_answers;
    int64_t last_input_ms;     /* time of the last input */
    int64_t stop_requested_ms; /* when the shutdown was requested, or 0 */
    bool stalled;              /* stalled; input that waited is being read */
    bool logged_ready;         /* readiness as last logged */
} Leased_Entry;

/* The process: daemon/leased_entry.c. */

/** Number of jobs at this entry of which no task has started. The names are
 * borrowed from the jobs: free it before anything changes them. */
QueueCounts *LeasedEntry_CountWaiting(const Leased_Entry *self);

/** Must be called at every input; returns the current monotonic time in ms.
 * Detects that the process was stalled, and then pauses the dispatcher until
 * the input that waited has been read. */
int64_t LeasedEntry_OnInput(Leased_Entry *self);

/* Requests of callers: daemon/leased_jobs_api.c. */

/** Serves a caller's HTTP request. @p context is the Leased_Entry. */
void LeasedJobsApi_Serve(void *context, const HttpServer_Request *request);

/** A caller has disconnected before its answer. @p context is the
 * Leased_Entry. */
void LeasedJobsApi_OnCallerDisconnect(void *context, uint64_t request);

/** Another entry asks to cancel a job for its caller: answers whether the job
 * is known here. */
void LeasedJobsApi_OnWithdraw(Leased_Entry *self, int64_t now,
                              uint64_t reply_id, const lc_withdraw_args *args);

/** Another entry has answered a request to cancel a job, or cannot be reached
 * (@p reply is NULL). */
void LeasedJobsApi_OnWithdrawReply(Leased_Entry *self, uint64_t call_id,
                                   const Msg_Reply *reply);

/* Durable jobs: daemon/leased_durable.c. */

/** Creates the manager of durable jobs and starts to follow its log. */
void LeasedDurable_Open(Leased_Entry *self, const Options *options);

/** Ports of the dispatcher; @p context is the Leased_Entry. */
void LeasedDurable_OnRunEnd(void *context, const lc_run_id *id, uint32_t task,
                            lc_node host, bool done);
void LeasedDurable_OnUpstreamCrash(void *context, const lc_run_id *id,
                                   uint32_t task);
void LeasedDurable_OnJobEnd(void *context, uint64_t job,
                            Dispatcher_Outcome outcome);

/** Submits a job that must be durable; rejects a body that does not fit one
 * record of the store. */
void LeasedDurable_Submit(Leased_Entry *self, int64_t now,
                          const HttpServer_Request *request,
                          const Dispatcher_Submit *submit);

/* Routes, from the store or other entries: daemon/leased_routes.c. */

/** Starts to follow the store's record of routes. */
void LeasedRoutes_Open(Leased_Entry *self, const Options *options);
void LeasedRoutes_Close(Leased_Entry *self);

/** Version of the routes in force, or -1. */
int64_t LeasedRoutes_Version(const Leased_Entry *self);

/** Requests newer routes from another entry, if that is due. */
void LeasedRoutes_Tick(Leased_Entry *self, int64_t now);

/** Another entry requests a chunk of the routes: answers it. */
void LeasedRoutes_OnCall(Leased_Entry *self, uint64_t reply_id,
                         const lc_routes_args *args);

/** Another entry has answered a request for routes, or cannot be reached
 * (@p reply is NULL); returns false if @p call_id is not of such a request. */
bool LeasedRoutes_OnReply(Leased_Entry *self, int64_t now, uint64_t call_id,
                          const Msg_Reply *reply);

/* The store, directly or through another entry: daemon/leased_store.c. */

/** Sends a request to the store; while the store does not answer this entry,
 * relays it through another entry. @p context is the Leased_Entry. */
void LeasedStore_Send(void *context, const HttpClient_Request *request,
                      HttpClient_Done done, void *done_context);

/** Another entry cannot reach the store: sends its request there. */
void LeasedStore_OnCall(Leased_Entry *self, uint64_t reply_id,
                        const lc_store_args *args);

/** Another entry has relayed a request to the store, or cannot be reached
 * (@p reply is NULL); returns false if @p call_id is not of such a request. */
bool LeasedStore_OnReply(Leased_Entry *self, uint64_t call_id,
                         const Msg_Reply *reply);

/** Gives up relayed requests whose time is over, and probes the store if that
 * is due. */
void LeasedStore_Tick(Leased_Entry *self, int64_t now);

/* Gossip with other entries: daemon/leased_gossip.c. */

/** Addresses of live entries, and of this one; the caller frees the array. */
GArray *LeasedGossip_LiveEntries(const Leased_Entry *self);

/** Sends the gossip that is due, and closes connections to entries that have
 * not answered in time. */
void LeasedGossip_Tick(Leased_Entry *self, int64_t now);

/** Another entry has sent gossip: applies and answers it. */
void LeasedGossip_OnCall(Leased_Entry *self, uint64_t reply_id,
                         const lc_gossip_args *args);

/** Another entry has answered the gossip sent at @p requested_ms: applies the
 * answer. */
void LeasedGossip_OnReply(Leased_Entry *self, int64_t requested_ms,
                          const lc_gossip_res *result);

#endif

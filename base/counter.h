/**
 * @file counter.h
 * @brief Event counters of one node, with their names for `GET /metrics`.
 */
#ifndef LC_BASE_COUNTER_H
#define LC_BASE_COUNTER_H

#include <glib.h>
#include <stdint.h>

/** X(NAME, metric name) */
#define COUNTER_LIST(X)                                                       \
    X(JOBS_SUBMITTED, "jobs_submitted")                                       \
    X(JOBS_ATTACHED, "jobs_attached")                                         \
    X(JOBS_FORWARDED, "jobs_forwarded")                                       \
    X(JOBS_DONE, "jobs_done")                                                 \
    X(JOBS_FAILED, "jobs_failed")                                             \
    X(JOBS_NOT_RUN, "jobs_not_run")                                           \
    X(JOBS_UNKNOWN, "jobs_unknown")                                           \
    X(JOBS_RECOVERED, "jobs_recovered")                                       \
    X(TASKS_STARTED, "tasks_started")                                         \
    X(FORWARDS_TAKEN, "forwards_taken")                                       \
    X(FORWARDS_REFUSED, "forwards_refused")                                   \
    X(FORWARDS_LOST, "forwards_lost")                                         \
    X(FORWARDS_WITHDRAWN, "forwards_withdrawn")                               \
    X(REFUSED_LINK, "refused_link")                                           \
    X(TASKS_JOINED, "tasks_joined")                                           \
    X(TASKS_DONE, "tasks_done")                                               \
    X(TASKS_FAILED, "tasks_failed")                                           \
    X(WASTED_BUSY, "wasted_busy")                                             \
    X(WASTED_STALE, "wasted_stale")                                           \
    X(WASTED_FENCED, "wasted_fenced")                                         \
    X(WASTED_BEHIND, "wasted_behind")                                         \
    X(WASTED_DRAINING, "wasted_draining")                                     \
    X(WASTED_DOWN, "wasted_upstream_down")                                    \
    X(WASTED_GONE, "wasted_companion_gone")                                   \
    X(WASTED_DUPLICATE, "wasted_duplicate")                                   \
    X(WASTED_LATE, "wasted_late")                                             \
    X(WASTED_GRANT, "wasted_grant_unused")                                    \
    X(CALLS_LOST, "calls_lost")                                               \
    X(ORDERS_RESENT, "orders_resent")                                         \
    X(STARTS_ABANDONED, "starts_abandoned")                                   \
    X(RUNS_PAST_LEASE, "runs_past_lease")                                     \
    X(HOLDS_LIMITED, "holds_limited")                                         \
    X(RUNS_UNKNOWN, "runs_unknown")                                           \
    X(LATE_STARTS, "late_starts")                                             \
    X(TASKS_BOUND, "tasks_bound")                                             \
    X(JOBS_UNSTARTABLE, "jobs_unstartable")                                   \
    X(RECORDS_APPLIED, "records_applied")                                     \
    X(RECORDS_SKIPPED, "records_skipped")                                     \
    X(VIEWS_APPLIED, "views_applied")                                         \
    X(APPENDS, "log_appends")                                                 \
    X(HEARTBEATS_LATE, "heartbeats_late")                                     \
    X(HEARTBEATS_BAD, "heartbeats_refused")                                   \
    X(TASKS_CRASHED, "tasks_crashed")                                         \
    X(JOBS_CRASHING, "jobs_crashing")                                         \
    X(REQUESTS_NO_ROUTE, "requests_no_route")                                 \
    X(GOSSIP_GIVEN_UP, "gossip_given_up")                                     \
    X(RPC_BYTES_IN, "rpc_bytes_in")                                           \
    X(RPC_BYTES_OUT, "rpc_bytes_out")                                         \
    X(CONNECTIONS_SILENT, "connections_silent")                               \
    X(RPC_BAD, "rpc_bad_records")

/** Counter identifiers, in the order of COUNTER_LIST. */
typedef enum {
#define X(name, text) COUNTER_##name,
    COUNTER_LIST(X)
#undef X
        COUNTER_COUNT
} Counter_Id;

/** Values of all counters of one node. */
typedef struct {
    uint64_t value[COUNTER_COUNT];
} Counters;

/** Adds @p amount to one counter. */
void Counter_Add(Counters *counters, Counter_Id id, uint64_t amount);

/** Appends all counters to @p out, one `levercove_name value` line each. */
void Counter_Print(const Counters *counters, GString *out);

#endif

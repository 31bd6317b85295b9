/**
 * @file runner.h
 * @brief A companion's decisions on leased tasks: it accounts for the
 * resources of its upstream, keeps the leases of entries, holds the upstream
 * no longer than these leases last, and tracks the upstream's health from the
 * results of tasks.
 *
 * Performs no I/O and reads no clock. Each input is a function call with the
 * monotonic time in ms; each output is a call of one of Runner_Ports, which
 * must not call back. Arguments are borrowed for the duration of a call.
 */
#ifndef LC_LEASE_RUNNER_H
#define LC_LEASE_RUNNER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/event.h"
#include "lease/hall_closures.h"
#include "lease/lease_timing.h"
#include "wire/msg.h"

/** Maximum number of ended runs in one answer of an upstream. Later ones are
 * not listed until these have been acknowledged. */
#define RUNNER_MAX_LISTED_ENDS 500
/** Maximum number of ends of durable jobs that a companion holds until their
 * owners have stored and released them. */
#define RUNNER_MAX_HELD_ENDS 300
/** With fewer listed ends the list counts as empty: in undisturbed operation
 * they are acknowledged within one poll. */
#define RUNNER_MANY_LISTED_ENDS 100
/** Places in the list that are left free, for ends of runs that the companion
 * does not know. */
#define RUNNER_LIST_MARGIN 20

/** X(NAME, text): results of a run in the answers of an upstream. */
#define RUNNER_END_LIST(X)                                                    \
    X(DONE, "done")                                                           \
    X(FAILED, "failed")                                                       \
    X(STOPPED, "stopped")                                                     \
    X(HOLD_EXPIRED, "lapsed")

/** Results of runs, in the order of RUNNER_END_LIST. */
typedef enum {
#define X(name, text) RUNNER_END_##name,
    RUNNER_END_LIST(X)
#undef X
        RUNNER_END_COUNT
} Runner_End;

/** Results of an order (start, stop or poll) sent to the upstream:
 * X(NAME, text). */
#define RUNNER_ORDER_RESULT_LIST(X)                                           \
    X(ACCEPTED, "accepted")                                                   \
    X(NO_ROOM, "no room")                                                     \
    X(SUPERSEDED, "the upstream knows a later run, or the end of this one")   \
    X(EXPIRED, "its deadline had passed")                                     \
    X(FENCED, "the upstream has seen a higher fencing token")                 \
    X(UNHEALTHY, "not executed, the upstream is unhealthy")                   \
    X(REFUSED, "not executed, the upstream considers it invalid")             \
    X(OTHER_INCARNATION, "another incarnation answered")                      \
    X(UNSENT, "not a byte was delivered")                                     \
    X(UNANSWERED, "may be executed, now or later")                            \
    X(ABANDONED, "never sent, its time to be sent had passed")

typedef enum {
#define X(name, text) RUNNER_ORDER_##name,
    RUNNER_ORDER_RESULT_LIST(X)
#undef X
        RUNNER_ORDER_RESULT_COUNT
} Runner_OrderResult;

/** State that an upstream reports in its heartbeats. */
typedef enum {
    RUNNER_UPSTREAM_READY,
    RUNNER_UPSTREAM_DRAINING
} Runner_ReportedState;

/** Heartbeat of an upstream. */
typedef struct {
    const char *instance;
    int64_t born_ms;   /**< wall-clock time of its start in ms, which
                            distinguishes incarnations with the same instance
                            name; 0 if not reported */
    uint64_t sequence; /**< number of the heartbeat; rises with each one */
    const char *service;
    Runner_ReportedState reported_state;
    lc_resources capacity;
    const char *const *labels; /**< NULL-terminated */
    int64_t clock_ms;          /**< the upstream's own clock in ms; 0 if not
                                    reported */
} Runner_Heartbeat;

/** An order to start a run. */
typedef struct {
    lc_run_id id;
    const char *spec;
    const char *instance;
    int64_t deadline_ms; /**< on the upstream's clock, in ms */
    int64_t token;       /**< fencing token */
    int64_t send_by_ms;  /**< latest time to send the order, on this
                              process's clock in ms; see RunnerOrder_Start */
} Runner_Start;

/** A poll for running and ended runs, which may extend the hold. */
typedef struct {
    const char *instance; /**< "" for any */
    int64_t deadline_ms;  /**< new end of the hold, on the upstream's clock in
                               ms; 0 for no extension */
    int64_t token;        /**< fencing token */
    uint64_t last_seen;   /**< acknowledges ends up to this number */
    uint32_t wait_ms;     /**< longest time in ms that the upstream may wait
                               for an end before it answers */
    int64_t send_by_ms;   /**< as in Runner_Start, if it extends the hold;
                               0: unlimited */
} Runner_Poll;

/** A run in progress. */
typedef struct {
    lc_run_id id;
    uint32_t percent;
} Runner_ActiveRun;

/** An ended run. */
typedef struct {
    uint64_t number; /**< of the end, as counted by the upstream */
    lc_run_id id;
    Runner_End end;
} Runner_EndedRun;

/** Answer to a poll. */
typedef struct {
    Runner_OrderResult end; /**< the lists are empty unless this is
                              RUNNER_ORDER_ACCEPTED */
    int64_t clock_ms;       /**< as in Runner_Heartbeat */
    int64_t born_ms;        /**< as in Runner_Heartbeat */
    const Runner_ActiveRun *running;
    uint32_t running_count;
    const Runner_EndedRun *ended;
    uint32_t ended_count;
} Runner_PollAnswer;

/** Output functions of a runner; none may call it back, but that `poll` may
 * call Runner_OnPollWritten. */
typedef struct {
    void (*start)(void *context, uint64_t order_id, const Runner_Start *start);
    void (*stop)(void *context, uint64_t order_id, const lc_run_id *id,
                 const char *instance, int64_t token);
    /** Polls the upstream. */
    void (*poll)(void *context, uint64_t poll_id, const Runner_Poll *poll);
    void (*reply)(void *context, uint64_t reply_id, const Msg_Reply *reply);
    /** Writes an event that Event_Admit has admitted; takes ownership of the
     * fields. */
    void (*event)(void *context, Event_Id id, json_t *fields);
} Runner_Ports;

/** Settings. */
typedef struct {
    lc_node node;
    const char *hall; /**< of this companion; borrowed for the lifetime of the
                           runner */
    LeaseTiming timing;
    int64_t first_token; /**< initial fencing token; higher than any used
                              before, as far as known */
    int64_t beat_ms;     /**< heartbeat interval of the upstream, in ms */
    int64_t late_ms;     /**< longest time in ms from sending an unanswered
                              start to its execution */
} Runner_Config;

/** Opaque runner. */
typedef struct Runner Runner;

Runner *Runner_New(const Runner_Config *config, const Runner_Ports *ports,
                   void *context, int64_t now_ms);
void Runner_Free(Runner *runner);

/** Handles a heartbeat of the upstream. */
void Runner_OnHeartbeat(Runner *runner, int64_t now_ms,
                        const Runner_Heartbeat *heartbeat);

/** Handles the upstream's announcement that it terminates; @p born_ms as in
 * Runner_Heartbeat. */
void Runner_OnUpstreamExit(Runner *runner, int64_t now_ms,
                           const char *instance, int64_t born_ms);

/** Adjusts for a suspension of the machine that lasted @p suspended_ms and
 * ended now. Whether the upstream's clock was stopped as well is unknown, so
 * everything derived from it assumes the worse case. Must be called before any
 * input that arrived since. */
void Runner_OnSuspended(Runner *runner, int64_t now_ms, int64_t suspended_ms);

/** Handles a call of an entry. Returns false if it is of a kind that runners
 * do not answer. */
bool Runner_OnCall(Runner *runner, int64_t now_ms, uint64_t reply_id,
                   const Msg_Call *call);

/** Handles the result of a start order. @p clock_ms is the upstream's clock,
 * or 0 if not reported. */
void Runner_OnStarted(Runner *runner, int64_t now_ms, uint64_t order_id,
                      Runner_OrderResult result, int64_t clock_ms);

/** Handles the result of a stop order; @p clock_ms as in Runner_OnStarted. */
void Runner_OnStopped(Runner *runner, int64_t now_ms, uint64_t order_id,
                      Runner_OrderResult result, int64_t clock_ms);

/** Handles that a poll has got a connection and is written to it, after which
 * the upstream may execute it. Until this or an answer, no later poll relies
 * on the hold to which it extends. */
void Runner_OnPollWritten(Runner *runner, uint64_t poll_id);

/** Handles the result of a poll. */
void Runner_OnPollAnswer(Runner *runner, int64_t now_ms, uint64_t poll_id,
                         const Runner_PollAnswer *listing);

/** Performs periodic work; must be called every `LeaseTiming.tick_ms`. */
void Runner_Tick(Runner *runner, int64_t now_ms);

/** Time at which the next answer of the upstream becomes overdue, or INT64_MAX
 * if none is awaited. Runner_CheckOverdue must be called then. */
int64_t Runner_DueMs(const Runner *runner);

/** Handles overdue answers. */
void Runner_CheckOverdue(Runner *runner, int64_t now_ms);

/** Stops accepting new tasks. */
void Runner_Drain(Runner *runner);

/** Whether no task is active and all ends have been acknowledged. */
bool Runner_IsIdle(const Runner *runner);

/** Fills in the state of this companion that every message carries. */
void Runner_State(const Runner *runner, int64_t now_ms, lc_host_state *state);

/** Fills in a report; its strings and lists are borrowed from the runner until
 * the next call. Returns false while no upstream is known and no late start is
 * listed. */
bool Runner_Report(const Runner *runner, int64_t now_ms,
                   lc_report_args *report);

/** Merges the halls that operators have closed, as received from @p source;
 * see HallClosures_Merge for @p requested_ms. */
void Runner_MergeClosures(Runner *runner, int64_t now_ms, int64_t requested_ms,
                          const lc_closures *received, const char *source);

/** The closed halls as known to this companion. */
const HallClosures *Runner_Closures(const Runner *runner);

/** Version of the list of late starts in the reports, which entries confirm; 0
 * while there is nothing that an entry has to know. */
uint32_t Runner_LateStartsVersion(const Runner *runner, int64_t now_ms);

/** Incremented whenever the free resources or the state that entries see
 * change. */
uint64_t Runner_Version(const Runner *runner);

/** Appends metrics in the text exposition format. */
void Runner_Metrics(const Runner *runner, int64_t now_ms, GString *out);

Counters *Runner_Counters(Runner *runner);

/** Diagnostic state for operators; the caller owns the result. */
json_t *Runner_Dump(const Runner *runner, int64_t now_ms);

#endif

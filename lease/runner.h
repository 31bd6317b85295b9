/**
 * @file runner.h
 * @brief A companion's decisions on leased tasks: it guards the room of the
 * upstream beside it, keeps the leases of entries, holds the upstream only
 * as long as these last, and judges the upstream by how tasks end.
 *
 * No I/O and no clock: everything that happens is a function call with the
 * monotonic time in ms, everything it does leaves through Runner_Ports, which
 * never call back. Arguments are borrowed for the time of a call.
 */
#ifndef LC_LEASE_RUNNER_H
#define LC_LEASE_RUNNER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/event.h"
#include "lease/closures.h"
#include "lease/term.h"
#include "wire/msg.h"

/** An upstream lists so many ends at once; later ones are not told until
 * these are taken note of. */
#define RUNNER_ENDS_AT_ONCE 500
/** So many ends of kept jobs may wait to be written down at a companion. */
#define RUNNER_MOST_HELD 300

/** X(NAME, text): how an upstream says that a run ended. */
#define RUNNER_END_LIST(X)                                                    \
    X(DONE, "done")                                                           \
    X(FAILED, "failed")                                                       \
    X(STOPPED, "stopped")                                                     \
    X(LAPSED, "lapsed")

/** Ends of runs, in the order of RUNNER_END_LIST. */
typedef enum {
#define X(name, text) RUNNER_END_##name,
    RUNNER_END_LIST(X)
#undef X
        RUNNER_END_COUNT
} Runner_End;

/** How an order to the upstream was answered. */
typedef enum {
    RUNNER_ORDER_TAKEN,
    RUNNER_ORDER_NO_ROOM,
    RUNNER_ORDER_OLD,       /**< it knows a later run */
    RUNNER_ORDER_LATE,      /**< its deadline had passed */
    RUNNER_ORDER_FENCED,    /**< it has seen a higher token */
    RUNNER_ORDER_UNWELL,    /**< nothing done: it is not well */
    RUNNER_ORDER_REFUSED,   /**< nothing done: it takes the order for wrong */
    RUNNER_ORDER_OTHER,     /**< another incarnation answered */
    RUNNER_ORDER_UNSENT,    /**< no byte reached it */
    RUNNER_ORDER_UNANSWERED /**< it may be done, now or later */
} Runner_OrderEnd;

/** States of an upstream as it says itself. */
typedef enum { RUNNER_UPSTREAM_READY, RUNNER_UPSTREAM_DRAINING } Runner_Says;

/** What an upstream says of itself. */
typedef struct {
    const char *instance;
    int64_t born_ms;   /**< wall clock of its start, which tells its lives
                            under one name apart; 0 if it told none */
    uint64_t sequence; /**< of its heartbeats: the later is the higher */
    const char *service;
    Runner_Says says;
    lc_resources capacity;
    const char *const *labels; /**< NULL-terminated */
    int64_t clock_ms;          /**< its own clock; 0 if it told none */
} Runner_Upstream;

/** An order to start a run. */
typedef struct {
    lc_run_id id;
    const char *spec;
    const char *instance;
    int64_t deadline_ms; /**< on the upstream's clock */
    int64_t token;
} Runner_Start;

/** A question for what runs and what ended, which may extend the hold. */
typedef struct {
    const char *instance; /**< "" for any */
    int64_t deadline_ms;  /**< on the upstream's clock; 0 for no extension */
    int64_t token;
    uint64_t last_seen; /**< ends up to this number are taken note of */
    uint32_t wait_ms;   /**< the answer may wait so long for an end */
} Runner_Look;

/** A run that goes on. */
typedef struct {
    lc_run_id id;
    uint32_t percent;
} Runner_Row;

/** A run that ended. */
typedef struct {
    uint64_t number;
    lc_run_id id;
    Runner_End end;
} Runner_EndRow;

/** Answer to a look. */
typedef struct {
    Runner_OrderEnd end; /**< TAKEN, or the lists are empty */
    int64_t clock_ms;
    int64_t born_ms; /**< as in Runner_Upstream */
    const Runner_Row *running;
    uint32_t running_count;
    const Runner_EndRow *ended;
    uint32_t ended_count;
} Runner_Listing;

/** Functions through which a runner acts; none may call it back. */
typedef struct {
    void (*start)(void *context, uint64_t order_id, const Runner_Start *start);
    void (*stop)(void *context, uint64_t order_id, const lc_run_id *id,
                 const char *instance, int64_t token);
    void (*look)(void *context, uint64_t look_id, const Runner_Look *look);
    void (*reply)(void *context, uint64_t reply_id, const Msg_Reply *reply);
    /** Writes an admitted event; takes the fields. */
    void (*event)(void *context, Event_Id id, json_t *fields);
} Runner_Ports;

/** Settings. */
typedef struct {
    lc_node node;
    const char *hall; /**< of this companion; borrowed for good */
    Term term;
    int64_t first_token; /**< higher than any used before, as far as known */
    int64_t beat_ms;     /**< an upstream says something so often */
    int64_t late_ms;     /**< longest time from sending an unanswered start to
                              its execution */
} Runner_Config;

/** Opaque runner. */
typedef struct Runner Runner;

Runner *Runner_New(const Runner_Config *config, const Runner_Ports *ports,
                   void *context, int64_t now_ms);
void Runner_Free(Runner *runner);

/** The upstream spoke. */
void Runner_OnUpstream(Runner *runner, int64_t now_ms,
                       const Runner_Upstream *upstream);

/** The upstream has said that it ends; @p born_ms as in Runner_Upstream. */
void Runner_OnUpstreamGone(Runner *runner, int64_t now_ms,
                           const char *instance, int64_t born_ms);

/** The machine was suspended for @p suspended_ms until now. The upstream's
 * clock stood still as well, or did not: what is worked out from it takes the
 * case that is worse. To be called before anything that came since. */
void Runner_OnSuspended(Runner *runner, int64_t now_ms, int64_t suspended_ms);

/** An entry calls; false if runners do not answer such calls. */
bool Runner_OnCall(Runner *runner, int64_t now_ms, uint64_t reply_id,
                   const Msg_Call *call);

/** A start was answered. @p clock_ms is 0 if none was told. */
void Runner_OnStarted(Runner *runner, int64_t now_ms, uint64_t order_id,
                      Runner_OrderEnd end, int64_t clock_ms);

/** A stop was answered. */
void Runner_OnStopped(Runner *runner, int64_t now_ms, uint64_t order_id,
                      Runner_OrderEnd end, int64_t clock_ms);

/** A look was answered. */
void Runner_OnLook(Runner *runner, int64_t now_ms, uint64_t look_id,
                   const Runner_Listing *listing);

/** Time has passed; to be called every `term.tick_ms`. */
void Runner_Tick(Runner *runner, int64_t now_ms);

/** When an answer of the upstream is overdue, or INT64_MAX if none is
 * awaited; Runner_Wake is to be called then. */
int64_t Runner_DueMs(const Runner *runner);

/** Acts on answers that are overdue. */
void Runner_Wake(Runner *runner, int64_t now_ms);

/** Takes no new tasks from now on. */
void Runner_Drain(Runner *runner);

/** Whether nothing runs and all ends are taken note of. */
bool Runner_IsIdle(const Runner *runner);

/** Fills in what every message says of this companion. */
void Runner_State(const Runner *runner, int64_t now_ms, lc_host_state *state);

/** Fills in a report; its texts are borrowed from the runner until the next
 * call. False while the upstream is not known. */
bool Runner_Report(const Runner *runner, int64_t now_ms,
                   lc_report_args *report);

/** Takes what @p source knows of the halls that operators have closed; see
 * Closures_Take for @p asked_ms. */
void Runner_TakeClosures(Runner *runner, int64_t now_ms, int64_t asked_ms,
                         const lc_closures *told, const char *source);

/** What is known of the closed halls here. */
const Closures *Runner_Closures(const Runner *runner);

/** Rises whenever the room or state that entries know has changed. */
uint64_t Runner_Version(const Runner *runner);

/** Appends figures for scrapers. */
void Runner_Metrics(const Runner *runner, int64_t now_ms, GString *out);

Counters *Runner_Counters(Runner *runner);

/** State for operators; the caller owns the result. */
json_t *Runner_Dump(const Runner *runner, int64_t now_ms);

#endif

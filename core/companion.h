/**
 * @file companion.h
 * @brief One companion: allocates the slots of its upstream, records every
 * task start, rejects calls of entries that have left the view, and reports
 * the starts of those entries to the new owners of their keys.
 *
 * Each function takes the time of the input and may call the ports.
 * Arguments are borrowed for the duration of the call.
 */
#ifndef LC_CORE_COMPANION_H
#define LC_CORE_COMPANION_H

#include "core/group_table.h"
#include "core/membership_view.h"
#include "core/node.h"

/** Settings of one companion; all times in ms. */
typedef struct {
    lc_node self;
    uint64_t seed;
    uint32_t slots;
    int64_t grant_ms;  /**< time after which an unused grant expires */
    int64_t down_ms;   /**< no starts after a refused connection */
    int64_t window_ms; /**< deduplication window */
    int64_t skew_ms;   /**< bound on wall clock skew between hosts */
    uint32_t max_records;
    size_t max_result_bytes;
} Companion_Config;

/** How a task ended at the upstream. */
typedef enum {
    COMPANION_RUN_DONE,
    COMPANION_RUN_FAILED,
    COMPANION_RUN_TIMEOUT,
    COMPANION_RUN_UNREACHED /**< certainly never reached the upstream */
} Companion_RunResult;

typedef struct Companion Companion;

/** Default configuration for @p self. */
Companion_Config Companion_Defaults(lc_node self);

Companion *Companion_New(const Companion_Config *config,
                         const Node_Ports *ports, void *context,
                         Node_Time now);
void Companion_Free(Companion *companion);

/** Handles a call of a peer; false if companions do not serve its kind. */
bool Companion_OnCall(Companion *companion, Node_Time now, uint64_t reply_id,
                      const Msg_Call *call);

/** Handles the end of a call; @p reply is NULL if the connection broke. */
void Companion_OnReply(Companion *companion, Node_Time now, uint64_t call_id,
                       const Msg_Reply *reply);

/** Handles the end of a task that was run through the port. */
void Companion_OnRunEnd(Companion *companion, Node_Time now, uint64_t run_id,
                        Companion_RunResult result, uint32_t code,
                        const void *data, uint32_t length);

/** Performs periodic work; call at least every 100 ms. */
void Companion_Tick(Companion *companion, Node_Time now);

/** Begins the graceful shutdown: no new tasks are started. */
void Companion_Drain(Companion *companion, Node_Time now);

/** Whether no task runs any more after Companion_Drain. */
bool Companion_IsDrained(const Companion *companion);

const GroupTable *Companion_GroupTable(const Companion *companion);
Counters *Companion_Counters(Companion *companion);

/** State dump for operators. Caller owns the result. */
json_t *Companion_Dump(const Companion *companion);

#endif

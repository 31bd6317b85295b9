/**
 * @file companion.h
 * @brief One companion: guards the slots of its upstream, records every
 * start, refuses entries that left the view, and tells their successors what
 * it started for them.
 *
 * Each function takes the time of the input and may act through the ports.
 * Arguments are borrowed for the time of the call.
 */
#ifndef LC_CORE_COMPANION_H
#define LC_CORE_COMPANION_H

#include "core/node.h"
#include "core/table.h"
#include "core/view.h"

/** Settings of one companion; all times in ms. */
typedef struct {
    lc_node self;
    uint64_t seed;
    uint32_t slots;
    int64_t grant_ms;  /**< how long a granted slot may stay unused */
    int64_t down_ms;   /**< pause after the upstream refused a connection */
    int64_t window_ms; /**< dedupe window */
    int64_t skew_ms;   /**< bound on differences of wall clocks */
    uint32_t max_records;
    size_t max_result_bytes;
} Companion_Config;

/** How a task ended at the upstream. */
typedef enum {
    COMPANION_RUN_DONE,
    COMPANION_RUN_FAILED,
    COMPANION_RUN_TIMEOUT,
    COMPANION_RUN_UNREACHED /**< it certainly never reached the upstream */
} Companion_Run;

/** Opaque companion. */
typedef struct Companion Companion;

/** Fills a configuration with defaults for @p self. */
Companion_Config Companion_Defaults(lc_node self);

Companion *Companion_New(const Companion_Config *config,
                         const Node_Ports *ports, void *context,
                         Node_Time now);
void Companion_Free(Companion *companion);

/** A peer calls; false if companions do not answer such calls. */
bool Companion_OnCall(Companion *companion, Node_Time now, uint64_t reply_id,
                      const Msg_Call *call);

/** A call ended; @p reply is NULL when the connection broke. */
void Companion_OnReply(Companion *companion, Node_Time now, uint64_t call_id,
                       const Msg_Reply *reply);

/** A task that was run through the port has ended. */
void Companion_OnRun(Companion *companion, Node_Time now, uint64_t run_id,
                     Companion_Run result, uint32_t code, const void *data,
                     uint32_t length);

/** Time passes; call at least every 100 ms. */
void Companion_Tick(Companion *companion, Node_Time now);

/** Begins the planned stop: no new starts. */
void Companion_Drain(Companion *companion, Node_Time now);

/** Whether nothing runs any more after Companion_Drain. */
bool Companion_IsDrained(const Companion *companion);

const Table *Companion_Table(const Companion *companion);
Counters *Companion_Counters(Companion *companion);

/** State for operators. Caller owns the result. */
json_t *Companion_Dump(const Companion *companion);

#endif

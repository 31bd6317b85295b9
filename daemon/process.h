/**
 * @file process.h
 * @brief What both roles of `levercoved` share: the loop, the clocks, the
 * signals, the tick and the administration address.
 */
#ifndef LC_DAEMON_PROCESS_H
#define LC_DAEMON_PROCESS_H

#include "core/node.h"
#include "daemon/http_server.h"
#include "daemon/options.h"
#include "wire/rpc.h"

/** Time between ticks of a role. */
#define PROCESS_TICK_MS 50
/** A connection between processes of leased jobs that is silent for so long is
 * closed: as long as a lease (lease/term.c), since what runs for an owner that
 * is not heard lapses by then. */
#define PROCESS_SILENCE_MS 600

/** A running role; the first member of its own structure. */
typedef struct Process Process;

/** What a role does; all get the process itself. */
typedef struct {
    /** Time has passed. */
    void (*tick)(Process *process);
    /** The planned stop was asked for. */
    void (*drain)(Process *process);
    /** Whether the planned stop is complete. */
    bool (*is_drained)(const Process *process);
    /** State for operators; the caller owns the result. */
    json_t *(*dump)(const Process *process);
    /** Counters of the role. */
    Counters *(*counters)(Process *process);
    /** Figures of the role beside its counters; NULL for none. */
    void (*metrics)(Process *process, GString *out);
    /** A peer calls; false if this role does not answer such calls. */
    bool (*call)(Process *process, uint64_t reply_id, const Msg_Call *call);
    /** A call ended. */
    void (*reply)(Process *process, uint64_t call_id, const Msg_Reply *reply);
} Process_Role;

struct Process {
    uv_loop_t *loop;
    const Options *options;
    const Process_Role *role;
    Rpc *rpc;
    Http_Server *admin;
    uv_timer_t tick;
    uv_signal_t terminate;
    uv_signal_t interrupt;
    uv_signal_t hangup;
    bool stopping;      /**< the planned stop was asked for */
    int64_t end_by_ms;  /**< monotonic; a planned stop ends then whatever is
                             open; 0 for never */
    int64_t drained_ms; /**< monotonic; since when it is drained, or 0 */
    int exit_code;
};

/** Exit code of a stop forced by a second request. */
#define PROCESS_FORCED 3

/** Time now. */
Node_Time Process_Now(void);

/** A new incarnation: the wall clock in microseconds. */
lc_node Process_NewNode(const Options *options);

/** Opens RPC and administration, starts signals and tick. Errors: IO. */
Err_Kind Process_Open(Process *process, uv_loop_t *loop,
                      const Options *options, const Process_Role *role,
                      Status *status);

/** Breaks all connections to peers and listens again. Errors: IO. */
Err_Kind Process_ReopenRpc(Process *process, Status *status);

/** Runs until the process is told to stop; returns its exit code. */
int Process_Run(Process *process);

/** Node ports that any role passes on to its RPC and its log. */
void Process_PortCall(void *process, Address to, uint64_t call_id,
                      const Msg_Call *call);
void Process_PortRuns(void *process, Address to, const uint64_t *call_ids,
                      const lc_runs_args *runs);
void Process_PortReply(void *process, uint64_t reply_id,
                       const Msg_Reply *reply);
void Process_PortReset(void *process, Address to);
void Process_PortEvent(void *process, Event_Id id, const char *detail);
void Process_PortFields(void *process, Event_Id id, json_t *fields);

#endif

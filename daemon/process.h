/**
 * @file process.h
 * @brief What all roles of `levercoved` share: the event loop, clocks, signal
 * handling, the periodic tick, and the HTTP interface for operators.
 */
#ifndef LC_DAEMON_PROCESS_H
#define LC_DAEMON_PROCESS_H

#include "core/node.h"
#include "daemon/http_server.h"
#include "daemon/options.h"
#include "wire/rpc.h"

/** Interval between ticks of a role. */
#define PROCESS_TICK_MS 50
/** Keepalive timeout of connections between processes of leased jobs: as long
 * as a lease (LeaseTiming_Derive), since the leases of an owner that is not
 * heard from have expired by then. */
#define PROCESS_KEEPALIVE_TIMEOUT_MS 600

/** A running process; the first member of each role's own structure. */
typedef struct Process Process;

/** Callbacks of a role; all get the process itself. */
typedef struct {
    /** Called every PROCESS_TICK_MS. */
    void (*tick)(Process *process);
    /** A graceful shutdown was requested. */
    void (*drain)(Process *process);
    /** Whether the graceful shutdown is complete. */
    bool (*is_drained)(const Process *process);
    /** State for operators; the caller owns the result. */
    json_t *(*dump)(const Process *process);
    /** Counters of the role. */
    Counters *(*counters)(Process *process);
    /** Appends metrics of the role besides its counters; NULL for none. */
    void (*metrics)(Process *process, GString *out);
    /** A peer has called; false if this role does not answer such calls. */
    bool (*call)(Process *process, uint64_t reply_id, const Msg_Call *call);
    /** A call has ended; @p reply is NULL if the connection broke. */
    void (*reply)(Process *process, uint64_t call_id, const Msg_Reply *reply);
} Process_Role;

struct Process {
    uv_loop_t *loop;
    const Options *options;
    const Process_Role *role;
    ClientLimits *clients; /**< set before Process_Open */
    Rpc *rpc;
    Http_Server *admin;
    uv_timer_t tick;
    uv_signal_t terminate;
    uv_signal_t interrupt;
    uv_signal_t hangup;
    bool stopping;            /**< a graceful shutdown was requested */
    int64_t stop_deadline_ms; /**< monotonic; when a graceful shutdown ends
                            whatever is still open; 0 for never */
    int64_t drained_ms; /**< monotonic; since when the role is drained, or 0 */
    int exit_code;
};

/** Exit code when a second signal forces the stop. */
#define PROCESS_EXIT_FORCED 3

/** Current monotonic and wall-clock time. */
Node_Time Process_Now(void);

/** Identity of this process with a new incarnation, which is the wall clock in
 * microseconds. */
lc_node Process_NewNode(const Options *options);

/** Limits on the clients of all servers of this process, from its settings and
 * its limit of open files. */
ClientLimits *Process_NewClientLimits(const Options *options);

/** Opens RPC and the operators' interface, installs signal handlers and starts
 * the tick. Errors: IO. */
Err_Kind Process_Open(Process *process, uv_loop_t *loop,
                      const Options *options, const Process_Role *role,
                      Status *status);

/** Closes all connections to peers and listens again. Errors: IO. */
Err_Kind Process_ReopenRpc(Process *process, Status *status);

/** Runs the loop until the process is to stop; returns its exit code. */
int Process_Run(Process *process);

/** Implementations of ports that roles share: they forward to the RPC layer
 * and the event log. */
void Process_PortCall(void *process, Address to, uint64_t call_id,
                      const Msg_Call *call);
void Process_PortRuns(void *process, Address to, const uint64_t *call_ids,
                      const lc_runs_args *runs);
void Process_PortReply(void *process, uint64_t reply_id,
                       const Msg_Reply *reply);
void Process_PortReset(void *process, Address to);
void Process_PortEvent(void *process, Event_Id id, const char *detail);
void Process_PortEventFields(void *process, Event_Id id, json_t *fields);

#endif

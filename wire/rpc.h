/**
 * @file rpc.h
 * @brief Calls between processes: ONC RPC over libuv TCP, with one outgoing
 * connection for each peer, opened on demand.
 *
 * Ownership: functions and handlers borrow calls and replies until they
 * return. Each call ends in exactly one call of the `reply` handler, which
 * never happens inside Rpc_Call.
 */
#ifndef LC_WIRE_RPC_H
#define LC_WIRE_RPC_H

#include <stdint.h>
#include <uv.h>

#include "base/address.h"
#include "base/client_limits.h"
#include "base/counter.h"
#include "base/err.h"
#include "wire/msg.h"

/** Opaque RPC endpoint of one process: its listener and connections. */
typedef struct Rpc Rpc;

/** Handlers of incoming calls and replies. */
typedef struct {
    /** A call arrived; answer it once with Rpc_Reply or Rpc_Refuse. */
    void (*call)(void *context, uint64_t reply_id, const Msg_Call *call);
    /** An outgoing call ended; @p reply is NULL if the call was lost or
     * refused, or its reply was malformed. */
    void (*reply)(void *context, uint64_t call_id, const Msg_Reply *reply);
} Rpc_Handlers;

/** Messages and bytes sent and received, by kind of message. */
typedef struct {
    uint64_t calls_out[MSG_COUNT];
    uint64_t calls_in[MSG_COUNT];
    uint64_t replies_out[MSG_COUNT];
    uint64_t replies_in[MSG_COUNT];
    uint64_t call_bytes_out[MSG_COUNT];
    uint64_t reply_bytes_out[MSG_COUNT];
} Rpc_Traffic;

Rpc *Rpc_New(uv_loop_t *loop, Counters *counters, const Rpc_Handlers *handlers,
             void *context);

/** Counts connections that peers open, and what is held for them, towards
 * @p limits, borrowed. To be called before Rpc_Listen; without it there are no
 * limits. */
void Rpc_SetClientLimits(Rpc *rpc, ClientLimits *limits);

/** Listens for connections of peers; errors: IO. */
Err_Kind Rpc_Listen(Rpc *rpc, Address address, Status *status);

/** Sends a call; its end is delivered to the `reply` handler with @p call_id.
 */
void Rpc_Call(Rpc *rpc, Address to, uint64_t call_id, const Msg_Call *call);

/** Sends a RUNS call. Each row i counts as a RUN call, whose end is delivered
 * with @p call_ids[i]. A peer that refuses the call has executed no row. */
void Rpc_CallRuns(Rpc *rpc, Address to, const uint64_t *call_ids,
                  const lc_runs_args *runs);

/** Answers an incoming call; ignored if its connection is closed. */
void Rpc_Reply(Rpc *rpc, uint64_t reply_id, const Msg_Reply *reply);

/** Refuses an incoming call, as this process does not serve its procedure. */
void Rpc_Refuse(Rpc *rpc, uint64_t reply_id);

/** Tells now of the calls that were lost since the loop last did: the next
 * call to the same peer goes over a new connection, and may not go out before
 * what a lost one revoked is repeated. */
void Rpc_ReportLostCalls(Rpc *rpc);

/** Closes the outgoing connection to a peer; its pending calls are lost. */
void Rpc_Disconnect(Rpc *rpc, Address to);

/** Enables keepalive. An outgoing connection with pending calls that receives
 * nothing for @p timeout_ms is closed, and its calls are lost; after half of
 * that time the peer is sent a NULL call as a ping. Outgoing connections
 * without pending calls are closed after a minute, and incoming ones on which
 * nothing was received after two, or whose peer sends a record or reads
 * replies for longer than a working link takes. */
void Rpc_EnableKeepAlive(Rpc *rpc, uint32_t timeout_ms);

/** Whether writes to any connection are still pending. */
int Rpc_HasPendingWrites(const Rpc *rpc);

const Rpc_Traffic *Rpc_GetTraffic(const Rpc *rpc);

/** Closes all connections and the listener; @p rpc is freed when the loop has
 * run their close callbacks. */
void Rpc_Close(Rpc *rpc);

#endif

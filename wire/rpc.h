/**
 * @file rpc.h
 * @brief Calls between processes: ONC RPC over libuv TCP, one outgoing
 * connection for each peer, opened on demand.
 *
 * Calls and replies are borrowed for the time of the function. Each call
 * ends in exactly one `reply` of the handlers, never from inside Rpc_Call.
 */
#ifndef LC_WIRE_RPC_H
#define LC_WIRE_RPC_H

#include <stdint.h>
#include <uv.h>

#include "base/address.h"
#include "base/counter.h"
#include "base/err.h"
#include "wire/msg.h"

/** Opaque set of connections of one process. */
typedef struct Rpc Rpc;

/** Where calls and replies are delivered. */
typedef struct {
    /** A peer calls; answer once with Rpc_Reply(reply_id). */
    void (*call)(void *context, uint64_t reply_id, const Msg_Call *call);
    /** A call of ours ended; @p reply is NULL when the connection broke. */
    void (*reply)(void *context, uint64_t call_id, const Msg_Reply *reply);
} Rpc_Handlers;

/** Messages of each kind, by direction. */
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

/** Listens for peers; errors: IO. */
Err_Kind Rpc_Listen(Rpc *rpc, Address address, Status *status);

/** Sends a call; its end is delivered with @p call_id. */
void Rpc_Call(Rpc *rpc, Address to, uint64_t call_id, const Msg_Call *call);

/** Sends a RUNS call. Row i is a RUN of its own, the end of which is delivered
 * as
 * @p call_ids[i]; a peer that refuses the call has done none of them. */
void Rpc_CallRuns(Rpc *rpc, Address to, const uint64_t *call_ids,
                  const lc_runs_args *runs);

/** Answers a call; ignored when its connection has gone. */
void Rpc_Reply(Rpc *rpc, uint64_t reply_id, const Msg_Reply *reply);

/** Refuses a call whose procedure this process does not serve. */
void Rpc_Refuse(Rpc *rpc, uint64_t reply_id);

/** Breaks the connection to a peer; its pending calls are lost. */
void Rpc_Reset(Rpc *rpc, Address to);

/** Keeps connections alive from now on: one on which a call waits and nothing
 * has come for @p silence_ms is closed, and its calls are lost; after half of
 * that the peer is asked for a sign of life. Connections that are not used are
 * closed after a minute. */
void Rpc_KeepAlive(Rpc *rpc, uint32_t silence_ms);

/** Whether replies still wait to be written. */
int Rpc_Writing(const Rpc *rpc);

const Rpc_Traffic *Rpc_GetTraffic(const Rpc *rpc);

/** Closes everything and frees @p rpc once the loop has run. */
void Rpc_Close(Rpc *rpc);

#endif

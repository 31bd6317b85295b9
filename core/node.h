/**
 * @file node.h
 * @brief Interface between a node of core/ (entry or companion) and the
 * process that runs it: the time of an input, the output ports, and helpers
 * for node identities and keys.
 *
 * core/ does no I/O and reads no clock. Each input is a function call that
 * carries the time; each output is a call of a function of Node_Ports. Ports
 * never call back into the node.
 */
#ifndef LC_CORE_NODE_H
#define LC_CORE_NODE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/event.h"
#include "base/idempotency_key.h"
#include "wire/msg.h"

/** Longest name of a group, in bytes. */
#define NODE_MAX_GROUP 64

/** The time of an input. */
typedef struct {
    int64_t mono_ms; /**< monotonic, with suspended time, see Clock_NowMs */
    int64_t wall_ms; /**< Unix epoch, within the skew margin of others */
} Node_Time;

/** Complete answer to a caller. Valid only during the port call. */
typedef struct {
    Key key;
    Err_Kind kind;
    const char *message;
    bool running;      /**< answer to a state query: the job still runs */
    uint32_t retry_ms; /**< time to wait before a retry; 0: do not retry */
    const lc_result *results;
    uint32_t count;
} Node_Answer;

/** One task for the upstream. Valid only during the port call. */
typedef struct {
    Key key;
    uint32_t index;
    uint32_t timeout_ms;
    const char *group;
    const uint8_t *payload;
    uint32_t length;
} Node_Task;

/** Output functions of a node; none may call back into the node. */
typedef struct {
    /** Sends a call; its reply or loss is reported with @p call_id. */
    void (*call)(void *context, Address to, uint64_t call_id,
                 const Msg_Call *call);
    /** Answers a call of a peer. */
    void (*reply)(void *context, uint64_t reply_id, const Msg_Reply *reply);
    /** Closes the connection to a peer, which ends its pending calls. */
    void (*reset)(void *context, Address to);
    /** Answers the request of a caller. Entry only. */
    void (*answer)(void *context, uint64_t request_id,
                   const Node_Answer *answer);
    /** Appends a record to the log. Entry only. */
    void (*append)(void *context, uint64_t append_id, const char *record);
    /** Reports the result of an edit of the table. Entry only. */
    void (*edited)(void *context, uint64_t request_id, const Status *status,
                   uint64_t version);
    /** Runs a task on the upstream. Companion only. */
    void (*run)(void *context, uint64_t run_id, const Node_Task *task);
    /** Logs a numbered event. */
    void (*event)(void *context, Event_Id id, const char *detail);
} Node_Ports;

/** Whether two nodes have the same address and incarnation. */
static inline bool
Node_Same(const lc_node *a, const lc_node *b)
{
    return Msg_SameNode(a, b);
}

/** Hash of a lc_node for GLib tables. */
static inline unsigned
Node_Hash(const void *node)
{
    const lc_node *one = (const lc_node *)node;

    return (unsigned)(one->address * 31 + one->incarnation);
}

/** Equality of lc_node for GLib tables. */
static inline int
Node_Equal(const void *a, const void *b)
{
    return Node_Same((const lc_node *)a, (const lc_node *)b);
}

/** Converts a key to its wire form. */
static inline lc_key
Node_KeyToWire(const Key *key)
{
    lc_key wire;

    for (unsigned i = 0; i < sizeof(wire.bytes); i++) {
        wire.bytes[i] = (char)key->bytes[i];
    }
    return wire;
}

/** Converts a key from its wire form. */
static inline Key
Node_KeyFromWire(const lc_key *wire)
{
    Key key;

    for (unsigned i = 0; i < sizeof(key.bytes); i++) {
        key.bytes[i] = (uint8_t)wire->bytes[i];
    }
    return key;
}

#endif

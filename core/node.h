/**
 * @file node.h
 * @brief What every node of core/ is given from outside: its identity, the
 * time, and the table of functions through which it acts.
 *
 * core/ does no I/O and reads no clock. Everything that happens reaches it
 * as a function call that carries the time; everything it does leaves it
 * through Node_Ports. Ports never call back into the node.
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
#include "base/key.h"
#include "wire/msg.h"

/** Longest name of a group, in bytes. */
#define NODE_MAX_GROUP 64

/** The time of an input. */
typedef struct {
    int64_t mono_ms; /**< monotonic, see Clock_NowMs */
    int64_t wall_ms; /**< Unix epoch, within the skew margin of others */
} Node_Time;

/** Whole answer to a caller. Borrowed by the port that delivers it. */
typedef struct {
    Key key;
    Err_Kind kind;
    const char *message;
    bool running;      /**< a look found the job still running */
    uint32_t retry_ms; /**< when to come back; 0 for never */
    const lc_result *results;
    uint32_t count;
} Node_Answer;

/** One task for the upstream. Borrowed. */
typedef struct {
    Key key;
    uint32_t index;
    uint32_t timeout_ms;
    const char *group;
    const uint8_t *payload;
    uint32_t length;
} Node_Task;

/** Functions through which a node acts; none may call the node back. */
typedef struct {
    /** Sends a call; its end comes back with @p call_id. */
    void (*call)(void *context, Address to, uint64_t call_id,
                 const Msg_Call *call);
    /** Answers a call of a peer. */
    void (*reply)(void *context, uint64_t reply_id, const Msg_Reply *reply);
    /** Breaks the connection to a peer. */
    void (*reset)(void *context, Address to);
    /** Answers a caller. Entry only. */
    void (*answer)(void *context, uint64_t request_id,
                   const Node_Answer *answer);
    /** Appends to the log. Entry only. */
    void (*append)(void *context, uint64_t append_id, const char *record);
    /** Ends an edit of the table. Entry only. */
    void (*edited)(void *context, uint64_t request_id, const Status *status,
                   uint64_t version);
    /** Runs a task on the upstream. Companion only. */
    void (*run)(void *context, uint64_t run_id, const Node_Task *task);
    /** Writes a numbered event. */
    void (*event)(void *context, Event_Id id, const char *detail);
} Node_Ports;

/** Whether two nodes are the same incarnation at the same address. */
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

/** Key as carried by messages. */
static inline lc_key
Node_WireKey(const Key *key)
{
    lc_key wire;

    for (unsigned i = 0; i < sizeof(wire.bytes); i++) {
        wire.bytes[i] = (char)key->bytes[i];
    }
    return wire;
}

/** Key out of a message. */
static inline Key
Node_KeyOf(const lc_key *wire)
{
    Key key;

    for (unsigned i = 0; i < sizeof(key.bytes); i++) {
        key.bytes[i] = (uint8_t)wire->bytes[i];
    }
    return key;
}

#endif

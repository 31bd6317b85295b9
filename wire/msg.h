/**
 * @file msg.h
 * @brief Typed messages between processes and their wire format: ONC RPC
 * (RFC 5531) calls and replies with record marking.
 *
 * Ownership: a decoded message owns its memory and is freed with
 * Msg_FreeCall or Msg_FreeReply. A function that takes a `const` message
 * borrows it and copies what it needs after it returns.
 */
#ifndef LC_WIRE_MSG_H
#define LC_WIRE_MSG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/levercove.h"

/** X(NAME, lower-case name): all procedures but NULL, in the order of their
 * numbers. */
#define MSG_LIST(X)                                                           \
    X(PING, ping)                                                             \
    X(RELAY, relay)                                                           \
    X(START, start)                                                           \
    X(GRANT, grant)                                                           \
    X(INVENTORY, inventory)                                                   \
    X(SETTLE, settle)                                                         \
    X(SUBMIT, submit)                                                         \
    X(DECLINE, decline)                                                       \
    X(BORROW, borrow)                                                         \
    X(RUN, run)                                                               \
    X(RENEW, renew)                                                           \
    X(HALT, halt)                                                             \
    X(REPORT, report)                                                         \
    X(GOSSIP, gossip)                                                         \
    X(WITHDRAW, withdraw)                                                     \
    X(RELEASE, release)                                                       \
    X(FENCE, fence)                                                           \
    X(STORE, store)                                                           \
    X(ROUTES, routes)                                                         \
    X(RUNS, runs)                                                             \
    X(FORWARD, forward)                                                       \
    X(EXTEND, extend)

/** Kinds of message; each value is the procedure number less one. */
typedef enum {
#define X(name, lower) MSG_##name,
    MSG_LIST(X)
#undef X
        MSG_COUNT
} Msg_Kind;

/** Arguments of one call. */
typedef struct {
    Msg_Kind kind;
    union {
#define X(name, lower) lc_##lower##_args lower;
        MSG_LIST(X)
#undef X
    } u;
} Msg_Call;

/** Results of one call. */
typedef struct {
    Msg_Kind kind;
    union {
#define X(name, lower) lc_##lower##_res lower;
        MSG_LIST(X)
#undef X
    } u;
} Msg_Reply;

/** Longest record accepted, in bytes. */
#define MSG_MAX_RECORD (16U * 1024 * 1024)

/** Length of the record mark in bytes. */
#define MSG_MARK_SIZE 4

/** Result of decoding a record. */
typedef enum {
    MSG_IS_CALL,   /**< a call to be answered */
    MSG_IS_NULL,   /**< NULL procedure call: answer with Msg_EncodeNull */
    MSG_IS_REPLY,  /**< a reply with results to the call with this xid */
    MSG_IS_DENIED, /**< a reply that refuses the call with this xid */
    MSG_IS_INVALID_CALL, /**< invalid call: answer with Msg_EncodeRefusal */
    MSG_IS_NOT_RPC       /**< not an RPC message: close the connection */
} Msg_RecordType;

/** A decoded record. */
typedef struct {
    Msg_RecordType type;
    uint32_t xid;
    enum accept_stat refusal; /**< for MSG_IS_INVALID_CALL */
    size_t body;              /**< for MSG_IS_REPLY: offset of the results */
    Msg_Call call;            /**< for MSG_IS_CALL; free with Msg_FreeCall */
} Msg_Record;

/** Whether both nodes have the same address and the same incarnation. */
bool Msg_SameNode(const lc_node *a, const lc_node *b);

/** Hash and equality of lc_node keys, for GLib's tables. */
guint Msg_HashNode(gconstpointer node);
gboolean Msg_EqualNodes(gconstpointer a, gconstpointer b);

/** Whether an array of lc_node contains @p node. */
bool Msg_HasNode(const GArray *nodes, const lc_node *node);

/** Lower-case name of a kind. */
const char *Msg_Name(Msg_Kind kind);

/** Appends the record of a call, record mark included. */
void Msg_EncodeCall(const Msg_Call *call, uint32_t xid, GByteArray *out);

/** Appends the record of a reply, record mark included. */
void Msg_EncodeReply(const Msg_Reply *reply, uint32_t xid, GByteArray *out);

/** Appends a call of the NULL procedure, which every peer answers at once. */
void Msg_EncodePing(uint32_t xid, GByteArray *out);

/** Appends the empty reply of the NULL procedure. */
void Msg_EncodeNull(uint32_t xid, GByteArray *out);

/** Appends a reply that refuses a call for @p reason. */
void Msg_EncodeRefusal(uint32_t xid, enum accept_stat reason, GByteArray *out);

/** Decodes a record, given without its mark. */
void Msg_Decode(const uint8_t *data, size_t length, Msg_Record *record);

/** Decodes the results of a reply; false if they are malformed. */
bool Msg_DecodeReply(Msg_Kind kind, const uint8_t *data, size_t length,
                     Msg_Reply *reply);

/** Appends a durable job's record in the format of the store. */
void Msg_EncodeDurableRecord(const lc_kept_record *record, GByteArray *out);

/** Decodes a durable job's record; false if it is malformed. To be freed with
 * Msg_FreeDurableRecord. */
bool Msg_DecodeDurableRecord(const uint8_t *data, size_t length,
                             lc_kept_record *record);

void Msg_FreeDurableRecord(lc_kept_record *record);

void Msg_FreeCall(Msg_Call *call);
void Msg_FreeReply(Msg_Reply *reply);

#endif

/**
 * @file client_limits.h
 * @brief Limits on what all clients of a process hold together: connections,
 * and bytes of unfinished requests and of answers that they have not read.
 *
 * At a limit the connection that is needed least is closed: for bytes the one
 * that holds most, so that requests of ordinary size are never given up for
 * larger ones; for connections the one that has waited longest with an
 * unfinished request, then the one that has not read its answer, then the one
 * that has been idle longest, and only then one that has just begun to send or
 * to read. One whose request is being served stays.
 *
 * Ownership: clients are parts of their connections; the table borrows them
 * from ClientLimits_Join to ClientLimits_Leave.
 */
#ifndef LC_BASE_CLIENT_LIMITS_H
#define LC_BASE_CLIENT_LIMITS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** X(NAME, text): why the connection of a client was closed */
#define CLIENT_LIMIT_LIST(X)                                                  \
    X(BYTES, "bytes")                                                         \
    X(CONNECTIONS, "connections")                                             \
    X(REQUEST_TIME, "request_time")                                           \
    X(ANSWER_TIME, "answer_time")

typedef enum {
#define X(name, text) CLIENT_LIMIT_##name,
    CLIENT_LIMIT_LIST(X)
#undef X
        CLIENT_LIMIT_COUNT
} ClientLimits_Reason;

/** What a client is doing, the first to be closed first. */
typedef enum {
    CLIENT_UNFINISHED, /**< has sent no request yet, or part of one */
    CLIENT_UNREAD,     /**< has an answer that it has not read */
    CLIENT_IDLE,       /**< between requests */
    CLIENT_SERVED      /**< waits for its answer */
} ClientLimits_State;

/** Opaque table of all clients of a process. */
typedef struct ClientLimits ClientLimits;

/** A connection of a client. */
typedef struct {
    /** Begins to close the connection. May be called within any function of
     * this module; must not call ClientLimits_Leave itself. */
    void (*close)(void *owner);
    void *owner;
    /* The rest is set by this module. */
    ClientLimits *limits;
    guint index;
    size_t bytes;
    ClientLimits_State state;
    int64_t since_ms; /**< of the state */
    bool closing;
} ClientLimits_Client;

/** Something that accepts connections, and waits while there is no room. */
typedef struct {
    void (*accept)(void *owner);
    void *owner;
    bool waiting;
} ClientLimits_Listener;

/** @p max_bytes and @p max_connections hold for all clients together. */
ClientLimits *ClientLimits_New(size_t max_bytes, uint32_t max_connections);

void ClientLimits_AddListener(ClientLimits *limits,
                              ClientLimits_Listener *listener);

/** Removes a listener, which may have been added or not. */
void ClientLimits_RemoveListener(ClientLimits *limits,
                                 ClientLimits_Listener *listener);

/** Whether a connection may be accepted now. If not, one is closed, and
 * @p listener is called as soon as there is room. */
bool ClientLimits_HasRoom(ClientLimits *limits,
                          ClientLimits_Listener *listener, int64_t now_ms);

/** Adds a connection that was accepted. */
void ClientLimits_Join(ClientLimits *limits, ClientLimits_Client *client,
                       int64_t now_ms);

/** Removes a connection that is closed; its descriptor is free again. */
void ClientLimits_Leave(ClientLimits_Client *client);

/** Sets the bytes held for a client. Connections are closed if all together
 * hold too much, maybe this one: see its `closing`. */
void ClientLimits_SetBytes(ClientLimits_Client *client, size_t bytes);

void ClientLimits_SetState(ClientLimits_Client *client,
                           ClientLimits_State state, int64_t now_ms);

/** To be called now and then: lets connections that wait to be accepted take
 * the place of those that have begun to hold one up. */
void ClientLimits_Tick(ClientLimits *limits, int64_t now_ms);

/** Does not count @p stall_ms, for which this process stood still, as time in
 * the state. */
void ClientLimits_ExcuseStall(ClientLimits_Client *client, int64_t stall_ms);

/** Closes a connection, unless it is being closed. */
void ClientLimits_Close(ClientLimits_Client *client,
                        ClientLimits_Reason reason);

/** Appends gauges and counters, one `levercove_name value` line each. */
void ClientLimits_Print(const ClientLimits *limits, GString *out);

#endif

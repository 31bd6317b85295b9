/**
 * @file client_limits.h
 * @brief Limit on the bytes that are held for all clients of a process
 * together: of unfinished requests and of answers that they have not read.
 *
 * At the limit the connection is closed that holds most, so that requests of
 * ordinary size are never given up for larger ones.
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
#define CLIENT_LIMIT_LIST(X) X(BYTES, "bytes")

typedef enum {
#define X(name, text) CLIENT_LIMIT_##name,
    CLIENT_LIMIT_LIST(X)
#undef X
        CLIENT_LIMIT_COUNT
} ClientLimits_Reason;

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
    bool closing;
} ClientLimits_Client;

/** @p max_bytes holds for all clients together. */
ClientLimits *ClientLimits_New(size_t max_bytes);

/** Adds a connection that was accepted. */
void ClientLimits_Join(ClientLimits *limits, ClientLimits_Client *client);

/** Removes a connection that is closed. */
void ClientLimits_Leave(ClientLimits_Client *client);

/** Sets the bytes held for a client. Connections are closed if all together
 * hold too much, maybe this one: see its `closing`. */
void ClientLimits_SetBytes(ClientLimits_Client *client, size_t bytes);

/** Closes a connection, unless it is being closed. */
void ClientLimits_Close(ClientLimits_Client *client,
                        ClientLimits_Reason reason);

/** Appends gauges and counters, one `levercove_name value` line each. */
void ClientLimits_Print(const ClientLimits *limits, GString *out);

#endif

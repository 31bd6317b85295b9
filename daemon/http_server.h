/**
 * @file http_server.h
 * @brief HTTP/1 server for callers and operators, based on h2o and libuv: a
 * table of routes, and responses that may be sent later, by request id.
 */
#ifndef LC_DAEMON_HTTP_SERVER_H
#define LC_DAEMON_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/address.h"
#include "base/client_limits.h"
#include "base/err.h"

/** Longest request body of any server, in bytes. */
#define HTTP_MAX_BODY_BYTES ((size_t)8 * 1024 * 1024)
/** Longest request body where requests need none, in bytes. */
#define HTTP_NO_BODY_BYTES ((size_t)4096)

/** A request. Borrowed: valid during the handler's call. */
typedef struct {
    uint64_t id;
    const char *method;
    const char *path;  /**< without the query string */
    const char *query; /**< after "?", or "" */
    const char *rest;  /**< of the path, after the route's prefix */
    const char *body;
    size_t length;
    const char *authority;       /**< value of the Host header, or "" */
    const char *idempotency_key; /**< header values, or NULL */
    const char *if_match;
    const char *if_none_match;
    const char *levercove_key; /**< set by companions, as the next
                                two are */
    const char *levercove_index;
    const char *levercove_group;
} HttpServer_Request;

/** A response; HttpServer_Respond copies what it needs. */
typedef struct {
    int status;
    const char *type;  /**< media type; NULL for JSON */
    const char *etag;  /**< or NULL */
    uint32_t retry_ms; /**< sent as Retry-After in whole seconds, rounded
                            up; 0 for none */
    const char *body;
    size_t length;
} HttpServer_Response;

/** Responds at once or later, with HttpServer_Respond(request->id). */
typedef void (*HttpServer_Handler)(void *context,
                                   const HttpServer_Request *request);

/** One route: an exact path, or a prefix if it ends in "/". */
typedef struct {
    const char *path;
    HttpServer_Handler handler;
} HttpServer_Route;

/** An HTTP server. */
typedef struct Http_Server Http_Server;

/** Limits of a server. */
typedef struct {
    ClientLimits *clients; /**< its connections count towards them; borrowed */
    size_t max_body_bytes; /**< a longer body is refused */
} HttpServer_Limits;

/** Listens on @p address and serves @p routes, which end with an entry whose
 * path is NULL; @p context is passed to the handlers. Returns NULL on error.
 * Errors: IO. */
Http_Server *HttpServer_NewLimited(uv_loop_t *loop, Address address,
                                   const HttpServer_Limits *limits,
                                   const HttpServer_Route *routes,
                                   void *context, Status *status);

/** The same for any number of clients and bodies of HTTP_MAX_BODY_BYTES. */
Http_Server *HttpServer_New(uv_loop_t *loop, Address address,
                            const HttpServer_Route *routes, void *context,
                            Status *status);

/** Changes the length above which a body is refused, in bytes. */
void HttpServer_SetMaxBody(Http_Server *server, size_t bytes);

/** Value of a header (lower-case name) of a request that has not been
 * answered, or NULL. Valid until the response is sent. */
const char *HttpServer_Header(const Http_Server *server, uint64_t id,
                              const char *name);

/** Calls @p on_disconnect for each request whose client disconnects before the
 * response; such a request needs no response. */
void HttpServer_SetDisconnectHandler(Http_Server *server,
                                     void (*on_disconnect)(void *context,
                                                           uint64_t id));

/** Calls that handler now for all clients that have disconnected, also those
 * whose disconnect the event loop has not read yet. */
void HttpServer_CheckClients(Http_Server *server);

/** From now on closes each connection after its next response; new
 * connections are still accepted. */
void HttpServer_CloseAfterResponses(Http_Server *server);

/** Responds to a request; does nothing if its client has disconnected. */
void HttpServer_Respond(Http_Server *server, uint64_t id,
                        const HttpServer_Response *response);

/** Responds with a JSON text; @p retry_ms as in HttpServer_Response. */
void HttpServer_RespondJson(Http_Server *server, uint64_t id, int status,
                            uint32_t retry_ms, const char *text);

/** Responds with an error as JSON, with the status and texts of @p kind;
 * @p retry_ms as in HttpServer_Response. */
void HttpServer_RespondError(Http_Server *server, uint64_t id, Err_Kind kind,
                             const char *message, uint32_t retry_ms);

/** Requests that have not been answered. */
uint32_t HttpServer_UnansweredCount(const Http_Server *server);

/** Bytes of all responses so far, with an estimate for their headers. */
uint64_t HttpServer_BytesOut(const Http_Server *server);

/** Closes the listener; connections that are open are still served. */
void HttpServer_StopListening(Http_Server *server);

/** Closes the listener and shuts the server down; its memory stays allocated
 * until the process exits. */
void HttpServer_Free(Http_Server *server);

#endif

/**
 * @file http_server.h
 * @brief HTTP/1 for callers and operators, by h2o on libuv: a table of
 * routes, and answers that may come later, by request handle.
 */
#ifndef LC_DAEMON_HTTP_SERVER_H
#define LC_DAEMON_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/address.h"
#include "base/err.h"

/** Longest request body, in bytes. */
#define HTTP_MAX_BODY ((size_t)8 * 1024 * 1024)

/** A request. Borrowed by the handler. */
typedef struct {
    uint64_t id;
    const char *method;
    const char *path;  /**< without the query */
    const char *query; /**< behind "?", or "" */
    const char *rest;  /**< of the path, behind the route's prefix */
    const char *body;
    size_t length;
    const char *authority;       /**< of the Host header, or "" */
    const char *idempotency_key; /**< header values, or NULL */
    const char *if_match;
    const char *if_none_match;
    const char *levercove_key; /**< set by companions */
    const char *levercove_index;
    const char *levercove_group;
} Http_Request;

/** An answer. Borrowed by Http_Respond. */
typedef struct {
    int status;
    const char *type;  /**< media type; NULL for JSON */
    const char *etag;  /**< or NULL */
    uint32_t retry_ms; /**< sent as whole seconds, rounded up; 0 for none */
    const char *body;
    size_t length;
} Http_Response;

/** Answers at once or later, with Http_Respond(request->id). */
typedef void (*Http_Handler)(void *context, const Http_Request *request);

/** One route: a path, or everything below it if it ends in "/". */
typedef struct {
    const char *path;
    Http_Handler handler;
} Http_Route;

/** Opaque server. */
typedef struct Http_Server Http_Server;

/** Serves @p routes (up to an entry without a path). Errors: IO. */
Http_Server *Http_NewServer(uv_loop_t *loop, Address address,
                            const Http_Route *routes, void *context,
                            Status *status);

/** Value of a header (lower-case name) of a request that has not been
 * answered, or NULL. Borrowed until the answer. */
const char *Http_Header(const Http_Server *server, uint64_t id,
                        const char *name);

/** Calls @p gone for each request whose caller hangs up before its answer;
 * such a request needs no answer. */
void Http_WatchCallers(Http_Server *server,
                       void (*gone)(void *context, uint64_t id));

/** Lets each connection end with its next answer; still takes new ones. */
void Http_CloseAfterAnswers(Http_Server *server);

/** Answers a request; ignored when its caller has gone. */
void Http_Respond(Http_Server *server, uint64_t id,
                  const Http_Response *response);

/** Answers with a JSON text. */
void Http_RespondText(Http_Server *server, uint64_t id, int status,
                      uint32_t retry_ms, const char *text);

/** Answers with an error of the closed list as JSON. */
void Http_RespondError(Http_Server *server, uint64_t id, Err_Kind kind,
                       const char *message, uint32_t retry_ms);

/** Requests that have not been answered. */
uint32_t Http_Unanswered(const Http_Server *server);

/** Bytes of all answers so far, with their headers as they usually are. */
uint64_t Http_BytesOut(const Http_Server *server);

/** Takes no more connections; those open go on. */
void Http_StopListening(Http_Server *server);

/** Closes the listener and frees the server once the loop has run. */
void Http_FreeServer(Http_Server *server);

#endif

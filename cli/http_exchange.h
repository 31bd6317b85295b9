/**
 * @file http_exchange.h
 * @brief Blocking HTTP requests for the command line.
 */
#ifndef LC_CLI_HTTP_EXCHANGE_H
#define LC_CLI_HTTP_EXCHANGE_H

#include <stddef.h>

#include "base/address.h"
#include "base/err.h"

/** A complete answer; free with HttpExchange_Clear. */
typedef struct {
    int status;
    char *body;    /**< NUL-terminated */
    size_t length; /**< of the body, without the NUL */
    char etag[40];
} HttpExchange_Answer;

/** A request. Borrowed. */
typedef struct {
    Address to;
    const char *method;
    const char *path;
    const char *headers; /**< header lines, each ending in CR LF; or NULL */
    const void *body;
    size_t length;
} HttpExchange_Request;

/**
 * Sends a request and waits for its answer. Errors: IO (no complete answer).
 * Returns ERR_OK for a complete answer of any status.
 */
Err_Kind HttpExchange_Perform(const HttpExchange_Request *request,
                              HttpExchange_Answer *answer, Status *status);

/** Returns the kind of error in an answer and sets its message, or ERR_OK if
 * the status code is below 400. */
Err_Kind HttpExchange_Check(const HttpExchange_Answer *answer, Status *status);

/** Reads the state of the process at an admin address. Errors: BAD_REQUEST
 * (not an address), and those of HttpExchange_Perform. */
Err_Kind HttpExchange_ReadState(const char *admin_address,
                                HttpExchange_Answer *answer, Status *status);

/** Prints an error to stderr; returns its exit code. */
int HttpExchange_PrintError(const Status *status);

void HttpExchange_Clear(HttpExchange_Answer *answer);

#endif

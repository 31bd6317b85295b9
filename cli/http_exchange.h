/**
 * @file http_exchange.h
 * @brief Blocking HTTP requests for the command line.
 */
#ifndef LC_CLI_HTTP_EXCHANGE_H
#define LC_CLI_HTTP_EXCHANGE_H

#include <stddef.h>

#include "base/address.h"
#include "base/err.h"

/** A complete answer; free with Exchange_Clear. */
typedef struct {
    int status;
    char *body;    /**< NUL-terminated */
    size_t length; /**< of the body, without the NUL */
    char etag[40];
} Exchange_Answer;

/** A request. Borrowed. */
typedef struct {
    Address to;
    const char *method;
    const char *path;
    const char *headers; /**< header lines, each ending in CR LF; or NULL */
    const void *body;
    size_t length;
} Exchange_Request;

/**
 * Sends a request and waits for its answer. Errors: IO (no complete answer).
 * Returns ERR_OK for a complete answer of any status.
 */
Err_Kind Exchange_Perform(const Exchange_Request *request,
                          Exchange_Answer *answer, Status *status);

/** Returns the kind of error in an answer and sets its message, or ERR_OK if
 * the status code is below 400. */
Err_Kind Exchange_Check(const Exchange_Answer *answer, Status *status);

/** Prints an error to stderr; returns its exit code. */
int Exchange_PrintError(const Status *status);

void Exchange_Clear(Exchange_Answer *answer);

#endif

/**
 * @file exchange.h
 * @brief One HTTP request of the command line, waited for.
 */
#ifndef LC_CLI_EXCHANGE_H
#define LC_CLI_EXCHANGE_H

#include <stddef.h>

#include "base/address.h"
#include "base/err.h"

/** A whole answer; release with Exchange_Clear. */
typedef struct {
    int status;
    char *body; /**< ends with a NUL that is not counted */
    size_t length;
    char etag[40];
} Exchange_Answer;

/** A request. Borrowed. */
typedef struct {
    Address to;
    const char *method;
    const char *path;
    const char *headers; /**< whole lines, each ended by CR LF; or NULL */
    const void *body;
    size_t length;
} Exchange_Request;

/**
 * Sends a request and waits for its end. Errors: IO (no whole answer).
 * An answer of any status is ERR_OK here.
 */
Err_Kind Exchange_Do(const Exchange_Request *request, Exchange_Answer *answer,
                     Status *status);

/** Kind of error that an answer tells of, with its message; or ERR_OK. */
Err_Kind Exchange_Check(const Exchange_Answer *answer, Status *status);

/** Prints an error; returns its exit code. */
int Exchange_Fail(const Status *status);

void Exchange_Clear(Exchange_Answer *answer);

#endif

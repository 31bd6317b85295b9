/**
 * @file err.h
 * @brief Error kinds with their HTTP statuses and exit codes, and a status
 * value of an error kind and its message.
 *
 * Ownership: a Status is a plain value; it owns no memory.
 */
#ifndef LC_BASE_ERR_H
#define LC_BASE_ERR_H

/** What an answer tells the caller about its job. */
typedef enum {
    OUTCOME_DONE,    /**< every task ran and the answer is complete */
    OUTCOME_FAILED,  /**< the job has ended without an answer */
    OUTCOME_NOT_RUN, /**< no task under this key was ever started */
    OUTCOME_UNKNOWN, /**< this node does not know; ask again */
    OUTCOME_REFUSED  /**< this request was not accepted; says nothing about
                          earlier requests with the same key */
} Outcome;

/**
 * X(NAME, text, HTTP status, exit code, outcome, retry hint)
 *
 * The retry hint tells whether an answer carries a Retry-After header.
 */
#define ERR_LIST(X)                                                           \
    X(OK, "ok", 200, 0, OUTCOME_DONE, 0)                                      \
    X(BAD_JSON, "bad_json", 400, 2, OUTCOME_REFUSED, 0)                       \
    X(BAD_REQUEST, "bad_request", 400, 2, OUTCOME_REFUSED, 0)                 \
    X(BAD_KEY, "bad_key", 400, 2, OUTCOME_REFUSED, 0)                         \
    X(KEY_TOO_OLD, "key_too_old", 410, 3, OUTCOME_REFUSED, 0)                 \
    X(KEY_AHEAD, "key_ahead", 400, 3, OUTCOME_REFUSED, 1)                     \
    X(KEY_REUSED, "key_reused", 409, 3, OUTCOME_REFUSED, 0)                   \
    X(TOO_LARGE, "too_large", 413, 2, OUTCOME_REFUSED, 0)                     \
    X(NOT_FOUND, "not_found", 404, 4, OUTCOME_REFUSED, 0)                     \
    X(METHOD, "method_not_allowed", 405, 2, OUTCOME_REFUSED, 0)               \
    X(UNKNOWN_GROUP, "unknown_group", 404, 3, OUTCOME_NOT_RUN, 0)             \
    X(STALE_ROW, "stale_row", 412, 5, OUTCOME_REFUSED, 0)                     \
    X(NEED_MATCH, "if_match_required", 428, 2, OUTCOME_REFUSED, 0)            \
    X(UNKNOWN_QUEUE, "unknown_queue", 404, 3, OUTCOME_NOT_RUN, 0)             \
    X(UNSUPPORTED, "unsupported", 503, 3, OUTCOME_NOT_RUN, 1)                 \
    X(STOPPING, "stopping", 503, 6, OUTCOME_NOT_RUN, 1)                       \
    X(NO_ROUTES, "no_routes", 503, 6, OUTCOME_NOT_RUN, 1)                     \
    X(CANCELLED, "cancelled", 409, 3, OUTCOME_FAILED, 0)                      \
    X(HALL_CLOSED, "hall_closed", 503, 6, OUTCOME_NOT_RUN, 1)                 \
    X(QUEUE_FULL, "queue_full", 429, 6, OUTCOME_NOT_RUN, 1)                   \
    X(WAIT_TOO_LONG, "wait_too_long", 503, 6, OUTCOME_NOT_RUN, 1)             \
    X(NO_EVIDENCE, "no_evidence", 503, 6, OUTCOME_UNKNOWN, 1)                 \
    X(UNSETTLED, "unsettled", 503, 6, OUTCOME_UNKNOWN, 1)                     \
    X(OWNER_LOST, "owner_lost", 504, 7, OUTCOME_UNKNOWN, 1)                   \
    X(LEDGER_FULL, "ledger_full", 503, 6, OUTCOME_NOT_RUN, 1)                 \
    X(LOST, "lost", 502, 7, OUTCOME_FAILED, 0)                                \
    X(ANSWER_EVICTED, "answer_evicted", 502, 7, OUTCOME_FAILED, 0)            \
    X(UPSTREAM_FAILED, "upstream_failed", 502, 7, OUTCOME_FAILED, 0)          \
    X(TASK_CRASHES, "task_crashes_upstreams", 502, 7, OUTCOME_FAILED, 0)      \
    X(TASK_TIMEOUT, "task_timeout", 504, 7, OUTCOME_FAILED, 0)                \
    X(DEADLINE, "deadline_passed", 504, 7, OUTCOME_FAILED, 0)                 \
    X(LOG_DOWN, "log_unavailable", 503, 8, OUTCOME_UNKNOWN, 1)                \
    X(BAD_RECORD, "bad_record", 500, 9, OUTCOME_UNKNOWN, 0)                   \
    X(BAD_SETTINGS, "bad_settings", 500, 2, OUTCOME_REFUSED, 0)               \
    X(IO, "io_error", 500, 9, OUTCOME_UNKNOWN, 0)

/** Error kinds, in the order of ERR_LIST. */
typedef enum {
#define X(name, text, http, code, outcome, retry) ERR_##name,
    ERR_LIST(X)
#undef X
        ERR_COUNT
} Err_Kind;

/** An error kind with a human-readable message. */
typedef struct {
    Err_Kind kind;
    char message[240];
} Status;

/** Sets @p status (may be NULL) and returns @p kind. */
Err_Kind Err_Set(Status *status, Err_Kind kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Error code of a kind as text, as sent to callers. */
const char *Err_Text(Err_Kind kind);

/** Kind with the given error code, or ERR_COUNT. */
Err_Kind Err_FromText(const char *text);

/** HTTP status code for a kind. */
int Err_HttpStatus(Err_Kind kind);

/** Exit code of the command-line program for a kind. */
int Err_ExitCode(Err_Kind kind);

/** What a kind tells the caller about its job. */
Outcome Err_Outcome(Err_Kind kind);

/** Whether an answer of this kind carries a Retry-After header. */
int Err_HasRetryAfter(Err_Kind kind);

/** Outcome as text, as sent to callers. */
const char *Err_OutcomeText(Outcome outcome);

#endif

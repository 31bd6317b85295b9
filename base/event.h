/**
 * @file event.h
 * @brief Numbered log events, written through GLib's structured logging as
 * one JSON object a line on standard output.
 *
 * Writing never blocks, see log_buffer.h. Lines are rate-limited per event:
 * DEBUG events (successful requests) to a few a second, all others to some
 * hundreds a second. The next line of the event tells how many were left out.
 * The operators' catalogue is docs/EVENTS.md; a test compares both.
 */
#ifndef LC_BASE_EVENT_H
#define LC_BASE_EVENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/** X(NAME, number, GLib level, text in the catalogue) */
#define EVENT_LIST(X)                                                         \
    X(STARTED, 100, G_LOG_LEVEL_MESSAGE, "process started")                   \
    X(STOPPING, 101, G_LOG_LEVEL_MESSAGE, "graceful shutdown started")        \
    X(STOPPED, 102, G_LOG_LEVEL_MESSAGE, "process stopped")                   \
    X(STOP_FORCED, 103, G_LOG_LEVEL_WARNING, "second stop request, exiting")  \
    X(BAD_SETTINGS, 104, G_LOG_LEVEL_CRITICAL, "settings refused")            \
    X(LISTEN_FAILED, 105, G_LOG_LEVEL_CRITICAL, "cannot listen")              \
    X(RELOAD, 106, G_LOG_LEVEL_MESSAGE, "settings reload requested")          \
    X(LINES_DROPPED, 107, G_LOG_LEVEL_WARNING, "log lines dropped")           \
    X(LOG_DOWN, 200, G_LOG_LEVEL_WARNING, "log service unavailable")          \
    X(LOG_UP, 201, G_LOG_LEVEL_MESSAGE, "log service available again")        \
    X(HOSTS_DOWN, 202, G_LOG_LEVEL_WARNING, "host list unavailable")          \
    X(HOSTS_UP, 203, G_LOG_LEVEL_MESSAGE, "host list available again")        \
    X(RECORD_SKIPPED, 204, G_LOG_LEVEL_WARNING, "log record skipped")         \
    X(SNAPSHOT, 205, G_LOG_LEVEL_INFO, "snapshot appended")                   \
    X(LOG_GAP, 206, G_LOG_LEVEL_WARNING, "log records expired unread")        \
    X(READ_GIVEN_UP, 207, G_LOG_LEVEL_WARNING, "read of the store failed")    \
    X(VIEW, 300, G_LOG_LEVEL_MESSAGE, "view applied")                         \
    X(VIEW_PROPOSED, 301, G_LOG_LEVEL_INFO, "view change appended")           \
    X(SETTLED, 302, G_LOG_LEVEL_MESSAGE, "key ranges of this view known")     \
    X(SUSPECT, 303, G_LOG_LEVEL_WARNING, "peer suspected")                    \
    X(DEPOSED, 304, G_LOG_LEVEL_WARNING, "this process left the view")        \
    X(COMPANION_LOST, 305, G_LOG_LEVEL_WARNING, "companion lost")             \
    X(INVENTORY, 306, G_LOG_LEVEL_MESSAGE, "inventory taken")                 \
    X(EDIT, 400, G_LOG_LEVEL_MESSAGE, "table edit applied")                   \
    X(EDIT_REFUSED, 401, G_LOG_LEVEL_MESSAGE, "table edit refused")           \
    X(JOB_FAILED, 500, G_LOG_LEVEL_INFO, "job failed")                        \
    X(FENCED, 501, G_LOG_LEVEL_WARNING, "start refused: owner not in view")   \
    X(UPSTREAM_DOWN, 502, G_LOG_LEVEL_WARNING,                                \
      "upstream refuses connections")                                         \
    X(UPSTREAM_UP, 503, G_LOG_LEVEL_MESSAGE,                                  \
      "upstream accepts connections again")                                   \
    X(COMPANION_FOUND, 307, G_LOG_LEVEL_MESSAGE, "companion found")           \
    X(PEER_FOUND, 308, G_LOG_LEVEL_MESSAGE, "entry found")                    \
    X(STOOD_STILL, 309, G_LOG_LEVEL_WARNING, "process stalled")               \
    X(INPUT_LAGS, 319, G_LOG_LEVEL_WARNING, "input read late")                \
    X(READY, 310, G_LOG_LEVEL_MESSAGE, "readiness changed")                   \
    X(KEPT_CLAIMED, 311, G_LOG_LEVEL_MESSAGE, "durable jobs taken over")      \
    X(KEPT_LOST, 312, G_LOG_LEVEL_WARNING,                                    \
      "durable jobs claimed by another entry")                                \
    X(KEPT_BAD, 313, G_LOG_LEVEL_WARNING, "durable job is unreadable")        \
    X(KEPT_NO_QUEUE, 320, G_LOG_LEVEL_WARNING,                                \
      "durable job waits for its queue")                                      \
    X(QUEUE_CHANGED, 322, G_LOG_LEVEL_MESSAGE,                                \
      "jobs belong to another queue")                                         \
    X(KEPT_UNOWNED, 321, G_LOG_LEVEL_WARNING,                                 \
      "durable jobs without a live owner")                                    \
    X(KEPT_REFUSED, 314, G_LOG_LEVEL_WARNING, "store refused a record")       \
    X(PEER_SILENT, 315, G_LOG_LEVEL_WARNING, "entry gave no answer in time")  \
    X(SUSPENDED, 317, G_LOG_LEVEL_WARNING, "machine was suspended")           \
    X(PEER_DROPPED, 316, G_LOG_LEVEL_MESSAGE,                                 \
      "entry removed from the registry")                                      \
    X(ROUTES, 402, G_LOG_LEVEL_MESSAGE, "route table applied")                \
    X(ROUTES_BAD, 403, G_LOG_LEVEL_WARNING, "route table skipped")            \
    X(NO_ROUTE, 404, G_LOG_LEVEL_INFO, "request for an unknown queue")        \
    X(HALLS, 405, G_LOG_LEVEL_MESSAGE, "closed halls changed")                \
    X(HALLS_UNSURE, 406, G_LOG_LEVEL_WARNING,                                 \
      "closed halls not confirmed lately")                                    \
    X(HALL_BAD, 407, G_LOG_LEVEL_WARNING, "bad record of a closed hall")      \
    X(JOB_LATE, 508, G_LOG_LEVEL_INFO, "leased job answered late")            \
    X(JOB_ANSWERED, 509, G_LOG_LEVEL_DEBUG, "leased job answered in time")    \
    X(JOB_REFUSED, 510, G_LOG_LEVEL_INFO, "leased job refused")               \
    X(CALLER_GONE, 511, G_LOG_LEVEL_INFO, "caller gone, job stopped")         \
    X(RUN_ENDED, 512, G_LOG_LEVEL_INFO, "run ended without a result")         \
    X(RUN_STALLED, 513, G_LOG_LEVEL_INFO, "run makes no progress")            \
    X(LEASE_LAPSED, 514, G_LOG_LEVEL_WARNING, "lease expired, run stopped")   \
    X(ORDER_UNANSWERED, 515, G_LOG_LEVEL_WARNING, "order not answered")       \
    X(ORDER_REFUSED, 516, G_LOG_LEVEL_INFO, "order refused by the upstream")  \
    X(RUN_CRASHED, 517, G_LOG_LEVEL_WARNING, "upstream crashed under a run")  \
    X(JOB_FORWARDED, 518, G_LOG_LEVEL_DEBUG,                                  \
      "job forwarded to another entry")                                       \
    X(FORWARD_TAKEN, 519, G_LOG_LEVEL_DEBUG,                                  \
      "job received from another entry")                                      \
    X(UPSTREAM_KNOWN, 520, G_LOG_LEVEL_MESSAGE, "upstream discovered")        \
    X(UPSTREAM_LOST, 521, G_LOG_LEVEL_WARNING, "upstream lost")               \
    X(UPSTREAM_DRAINING, 522, G_LOG_LEVEL_MESSAGE, "upstream drain changed")  \
    X(UPSTREAM_TRIAL, 523, G_LOG_LEVEL_WARNING, "upstream on trial")          \
    X(UPSTREAM_TRUSTED, 524, G_LOG_LEVEL_MESSAGE, "upstream trusted again")   \
    X(HEARTBEAT_LATE, 525, G_LOG_LEVEL_INFO, "late heartbeat ignored")        \
    X(FORWARD_LAPSED, 526, G_LOG_LEVEL_WARNING,                               \
      "jobs of a silent entry stopped")                                       \
    X(RUN_PAST_LEASE, 527, G_LOG_LEVEL_WARNING, "run outlives its lease")     \
    X(RUN_UNKNOWN, 528, G_LOG_LEVEL_INFO, "unknown run, stopped")             \
    X(HOLD_LIMITED, 529, G_LOG_LEVEL_WARNING, "upstream held no longer")      \
    X(LATE_START, 530, G_LOG_LEVEL_INFO, "start may be executed late")        \
    X(END_LIST, 532, G_LOG_LEVEL_WARNING, "list of ends full or free again")  \
    X(FORWARD_WITHDRAWN, 531, G_LOG_LEVEL_INFO, "withdrawn job refused")      \
    X(START_SENT, 533, G_LOG_LEVEL_INFO, "start of a run sent")               \
    X(LINK_SHORT, 318, G_LOG_LEVEL_MESSAGE, "link congested or free again")   \
    X(RPC_BAD, 600, G_LOG_LEVEL_WARNING, "RPC record refused")                \
    X(HTTP_BAD, 601, G_LOG_LEVEL_INFO, "HTTP request refused")                \
    X(CONNECTION_SILENT, 602, G_LOG_LEVEL_WARNING,                            \
      "connection silent, closed")                                            \
    X(CLIENT_CLOSED, 603, G_LOG_LEVEL_INFO,                                   \
      "client over a limit, connection closed")

/** Event identifiers, in the order of EVENT_LIST. */
typedef enum {
#define X(name, number, level, text) EVENT_##name,
    EVENT_LIST(X)
#undef X
        EVENT_COUNT
} Event_Id;

/** Number of an event in the catalogue. */
int Event_Number(Event_Id id);

/** Catalogue text of an event. */
const char *Event_Text(Event_Id id);

/** Takes a token from the event's rate limit; without one the line is counted
 * as left out and false is returned. After each true, Event_Write must
 * follow. */
bool Event_Admit(Event_Id id);

/** Writes an admitted event. @p fields is an object whose reference is taken
 * over. */
void Event_Write(Event_Id id, json_t *fields);

/** Writes an event with a detail text, unless the rate limit leaves it out. */
void Event_Log(Event_Id id, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Sends all lines to standard output from now on, with @p node as the name of
 * this process. */
void Event_UseStdout(const char *node);

/** Writes buffered lines to standard output as far as it accepts them without
 * blocking. */
void Event_Flush(void);

#endif

/**
 * @file job_trace.h
 * @brief What an entry decided about one job, in order, kept small until the
 * job ends and written in one log line.
 */
#ifndef LC_LEASE_JOB_TRACE_H
#define LC_LEASE_JOB_TRACE_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "base/address.h"
#include "wire/msg.h"

/** X(NAME, text): what was decided or learned. */
#define JOB_TRACE_LIST(X)                                                     \
    X(SENT, "sent")             /* value: pace of the host in percent */      \
    X(ENDED, "ended")           /* value: status of the run */                \
    X(ORPHANED, "orphaned")     /* the connection broke */                    \
    X(HALTED, "halted")         /* its stop was asked for */                  \
    X(EXPIRED, "expired")       /* its lease is certainly over */             \
    X(REBORN, "reborn")         /* its companion began anew */                \
    X(FORWARDED, "forwarded")   /* value: bytes it would have cost here */    \
    X(GIVEN_BACK, "given back") /* the other entry did not take it */

/** Kinds of item, in the order of JOB_TRACE_LIST. */
typedef enum {
#define X(name, text) JOB_TRACE_##name,
    JOB_TRACE_LIST(X)
#undef X
        JOB_TRACE_COUNT
} JobTrace_What;

/** Longest trace; what comes after is counted. */
#define JOB_TRACE_MOST 160

/** Opaque trace. */
typedef struct JobTrace JobTrace;

JobTrace *JobTrace_New(int64_t now_ms);
void JobTrace_Free(JobTrace *trace);

/** Adds an item about a run at a host. */
void JobTrace_Add(JobTrace *trace, int64_t now_ms, JobTrace_What what,
                  const lc_run_id *run, Address host, int32_t value);

/** Items as [ms, what, "STEP.INDEX", run, host, value]; the caller owns the
 * result. */
json_t *JobTrace_ToJson(const JobTrace *trace);

#endif

/**
 * @file job_trace.h
 * @brief Trace of an entry's decisions about one job in order, stored
 * compactly until the job ends and then written as one log line.
 */
#ifndef LC_LEASE_JOB_TRACE_H
#define LC_LEASE_JOB_TRACE_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "base/address.h"
#include "wire/msg.h"

/** X(NAME, text): kinds of trace item. */
#define JOB_TRACE_LIST(X)                                                     \
    X(SENT, "sent")           /* value: pace of the host in percent */        \
    X(ENDED, "ended")         /* value: status of the run */                  \
    X(ORPHANED, "orphaned")   /* the connection was lost */                   \
    X(HALTED, "halted")       /* a stop of the run was requested */           \
    X(EXPIRED, "expired")     /* its lease has certainly expired */           \
    X(RESTARTED, "reborn")    /* its companion has a new incarnation */       \
    X(BOUND, "bound")         /* value: for how many ms, see Active_Bind */   \
    X(FORWARDED, "forwarded") /* value: expected bytes if started here */     \
    X(FORWARD_REFUSED, "given back") /* the other entry refused it */

/** Kinds of trace item, in the order of JOB_TRACE_LIST. */
typedef enum {
#define X(name, text) JOB_TRACE_##name,
    JOB_TRACE_LIST(X)
#undef X
        JOB_TRACE_COUNT
} JobTrace_Kind;

/** Most items of a trace; later ones are only counted. */
#define JOB_TRACE_MAX_ITEMS 160

/** Opaque trace. */
typedef struct JobTrace JobTrace;

JobTrace *JobTrace_New(int64_t now_ms);
void JobTrace_Free(JobTrace *trace);

/** Adds an item about a run at a host; the meaning of @p value depends on the
 * kind, see JOB_TRACE_LIST. */
void JobTrace_Add(JobTrace *trace, int64_t now_ms, JobTrace_Kind kind,
                  const lc_run_id *run, Address host, int32_t value);

/** Returns the items as [ms since the arrival, kind, "STEP.INDEX", run, host,
 * value]; the caller owns the result. If items were left out, a last element
 * [count, "left out"] tells how many. */
json_t *JobTrace_ToJson(const JobTrace *trace);

#endif

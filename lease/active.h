/**
 * @file active.h
 * @brief A job that an entry runs, and where each of its tasks stands.
 *
 * Owned by the dispatcher. Times are monotonic, in ms.
 */
#ifndef LC_LEASE_ACTIVE_H
#define LC_LEASE_ACTIVE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "base/handle.h"
#include "lease/job.h"
#include "lease/job_trace.h"
#include "lease/route.h"

/** X(NAME, text): where a task stands. */
#define ACTIVE_STATE_LIST(X)                                                  \
    X(BLOCKED, "blocked")   /* steps before it have not ended */              \
    X(WAITING, "waiting")   /* may be sent */                                 \
    X(SENT, "sent")         /* a companion has it, or will refuse it */       \
    X(ORPHANED, "orphaned") /* the connection broke: it may run */            \
    X(HALTING, "halting")   /* it is being stopped */                         \
    X(AWAY, "away")         /* another entry runs the job */                  \
    X(OVER, "over")         /* done, or not to be run any more */

/** States of tasks, in the order of ACTIVE_STATE_LIST. */
typedef enum {
#define X(name, text) ACTIVE_##name,
    ACTIVE_STATE_LIST(X)
#undef X
        ACTIVE_STATE_COUNT
} Active_State;

/** One task. */
typedef struct {
    lc_run_id id; /**< with the number of its last run */
    Active_State state;
    bool done;
    uint32_t failures;      /**< ends that count as attempts */
    uint32_t crashes;       /**< upstreams that crashed under it */
    Address crashed;        /**< where the last of them is */
    lc_node host;           /**< of the last run */
    Address avoid;          /**< where it went wrong last */
    int64_t again_ms;       /**< nothing is sent for it before */
    uint32_t refused;       /**< starts in a row that were refused */
    uint32_t asks;          /**< in vain, for the run on its way */
    int64_t asked_since_ms; /**< when the outcome of the run was first asked
                               for; the run may have ended and must not be
                               started again. 0 if it may be started */
} Active_Task;

/** One job. */
typedef struct {
    Handle handle;
    LeasedJob spec;
    char *queue;
    char *service;
    int32_t priority;
    uint32_t max_attempts;
    GArray *requests; /**< uint64_t, callers that wait */
    int64_t arrived_ms;
    int64_t objective_ms; /**< answered by then it earns its whole worth */
    int64_t deadline_ms;
    size_t spec_bytes;
    uint32_t task_count;
    Active_Task *tasks;
    uint32_t waiting;      /**< tasks in state WAITING */
    uint32_t open;         /**< tasks not OVER */
    uint32_t starts;       /**< runs that were sent and not refused */
    int64_t first_sent_ms; /**< 0 before */
    JobTrace *trace;
    bool lasts;       /**< some of its tasks are started again for good */
    bool kept;        /**< it has no caller and no deadline */
    Address delegate; /**< the entry that runs it for this one, or 0 */
    struct Dispatcher_Origin *origin; /**< the entry for which this one runs
                                           it, or NULL */
    uint64_t forward_number;          /**< by which either entry names it */
    bool forward_refused;             /**< it stays here */
    bool closing; /**< answered; only stops are waited for */
} Active_Job;

/** Makes a job of @p spec, whose memory it takes. Unless the job has times,
 * the tasks of its first steps wait. */
Active_Job *Active_New(LeasedJob *spec, const Route *route, int64_t now_ms,
                       int64_t deadline_ms);
void Active_Free(Active_Job *job);

/** Step of a task. */
const LeasedJob_Step *Active_Step(const Active_Job *job,
                                  const Active_Task *task);

/** Moves a task to another state; keeps the counts. */
void Active_Move(Active_Job *job, Active_Task *task, Active_State state);

/** Unblocks the tasks whose steps and times may start now; @p wall_ms is the
 * wall clock. */
void Active_Unblock(Active_Job *job, int64_t wall_ms);

/** Whether all tasks are done. */
bool Active_IsDone(const Active_Job *job);

/** Estimate of the longest chain that has not ended, in ms. */
uint32_t Active_RemainingMs(const Active_Job *job);

/** Time that a job can still wait and meet its objective, in ms; negative if
 * it cannot. */
int64_t Active_SlackMs(const Active_Job *job, int64_t now_ms);

/** Whether a task may have been started. */
bool Active_HasBegun(const Active_Job *job);

/** Last time at which an answer is still worth something: so many times the
 * objective after the arrival, and not after the deadline. */
int64_t Active_WorthlessAfter(const Active_Job *job);

#endif

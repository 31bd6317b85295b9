/**
 * @file active_job.h
 * @brief An active job of an entry and the state of each of its tasks.
 *
 * Owned by the dispatcher. Times are monotonic, in ms, unless stated
 * otherwise.
 */
#ifndef LC_LEASE_ACTIVE_JOB_H
#define LC_LEASE_ACTIVE_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "base/handle_table.h"
#include "lease/job.h"
#include "lease/job_trace.h"
#include "lease/route_table.h"

/** X(NAME, text): states of a task. */
#define ACTIVE_STATE_LIST(X)                                                  \
    X(BLOCKED, "blocked")   /* steps it depends on have not ended */          \
    X(WAITING, "waiting")   /* ready to be sent to a companion */             \
    X(SENT, "sent")         /* sent to a companion, which may refuse it */    \
    X(ORPHANED, "orphaned") /* connection lost: it may still run */           \
    X(HALTING, "halting")   /* a stop has been requested */                   \
    X(FORWARDED, "away")    /* the job is forwarded to another entry */       \
    X(OVER, "over")         /* done, or not to be run again */

/** Task states, in the order of ACTIVE_STATE_LIST. */
typedef enum {
#define X(name, text) ACTIVE_##name,
    ACTIVE_STATE_LIST(X)
#undef X
        ACTIVE_STATE_COUNT
} Active_State;

/** One task. */
typedef struct {
    lc_run_id id; /**< includes the number of the latest run */
    Active_State state;
    bool done;
    uint32_t failures; /**< run ends that count as attempts */
    uint32_t crashes;  /**< upstreams that crashed while running it */
    uint32_t unconfirmed_crashes; /**< those of runs that may not have begun */
    Address crashed;  /**< address of the companion of the last one */
    lc_node host;     /**< companion of the latest run */
    Address avoid;    /**< companion where it last failed */
    Address bound_to; /**< companion whose upstream may execute an earlier
                           start of the task until `bound_until_ms`: until
                           then the task is started nowhere else. 0 if
                           several may */
    int64_t bound_until_ms;
    int64_t sent_ms; /**< when the latest run was sent first over a connection
                          that has not broken, or that broke after its start
                          was settled; INT64_MAX: not sent again yet */
    int64_t not_before_ms;      /**< nothing is sent for it before this time */
    uint32_t refused;           /**< consecutive refused starts */
    uint32_t call_retries;      /**< repeated calls about the current run */
    int64_t outcome_queried_ms; /**< when the outcome of the run was first
                                     queried: the run may have ended, and must
                                     not be started again. 0 if it may be
                                     started */
} Active_Task;

/** One job. */
typedef struct {
    Handle handle;
    LeasedJob spec;
    QueueRef queue; /**< as its submission refers to it */
    char *service;
    int32_t priority;
    uint32_t max_attempts;
    GArray *requests; /**< uint64_t, requests of waiting callers */
    int64_t arrived_ms;
    int64_t objective_ms; /**< an answer by then has its full value */
    int64_t deadline_ms;
    size_t spec_bytes;
    uint32_t task_count;
    Active_Task *tasks;
    uint32_t waiting;      /**< tasks in state WAITING */
    uint32_t open;         /**< tasks not OVER */
    uint32_t starts;       /**< runs sent and not refused */
    int64_t first_sent_ms; /**< 0 until the first run is sent */
    JobTrace *trace;
    bool has_long_running; /**< some of its tasks are restarted however they
                                end */
    bool durable;          /**< it has no caller and no deadline */
    bool awaits_queue;     /**< the settings of its queue are not known: active
                                runs go on, and no task is started */
    Address delegate;      /**< entry that this job was forwarded to, or 0 */
    struct Dispatcher_Origin *origin; /**< entry that forwarded the job to this
                                           one, or NULL */
    uint64_t forward_number;          /**< identifies the forwarded job to both
                                           entries */
    bool forward_refused;             /**< a delegate refused it: it is not
                                         forwarded again */
    bool closing; /**< answered; only its stops are outstanding */
} Active_Job;

/** Creates a job from @p spec and takes over the memory that @p spec owns,
 * which is zeroed. Unless the job runs at set times, the tasks of its first
 * steps are WAITING. Free with Active_Free. */
Active_Job *Active_New(LeasedJob *spec, const QueueRef *queue,
                       const Route *route, int64_t now_ms,
                       int64_t deadline_ms);
void Active_Free(Active_Job *job);

/** Takes the settings of the job's queue. */
void Active_SetRoute(Active_Job *job, const Route *route);

/** Returns the step that a task belongs to. */
const LeasedJob_Step *Active_Step(const Active_Job *job,
                                  const Active_Task *task);

/** Changes the state of a task and updates the job's counts. */
void Active_SetState(Active_Job *job, Active_Task *task, Active_State state);

/** Makes the blocked tasks WAITING whose dependencies have ended and whose
 * start time has come; @p wall_ms is the wall clock in ms. */
void Active_Unblock(Active_Job *job, int64_t wall_ms);

/** Binds a task to a companion whose upstream may execute an earlier start of
 * the task until @p until_ms. */
void Active_Bind(Active_Task *task, int64_t now_ms, Address address,
                 int64_t until_ms);

/** Whether a task is bound to one companion, or may be started at none. */
bool Active_IsBound(const Active_Task *task, int64_t now_ms);

/** Whether a task of the job is bound. */
bool Active_HasBoundTask(const Active_Job *job, int64_t now_ms);

/** Whether all tasks are done. */
bool Active_IsDone(const Active_Job *job);

/** Estimated length of the critical path of the tasks that are not done, in
 * ms. */
uint32_t Active_RemainingMs(const Active_Job *job);

/** Time that a job can still wait and meet its objective, in ms; negative if
 * it cannot meet it any more. */
int64_t Active_SlackMs(const Active_Job *job, int64_t now_ms);

/** Whether a task of the job may have been started. */
bool Active_HasStarted(const Active_Job *job);

/** Latest time at which an answer still has some value: a fixed multiple of
 * the objective after the arrival, but not after the deadline. */
int64_t Active_UsefulUntilMs(const Active_Job *job);

#endif

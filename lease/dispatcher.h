/**
 * @file dispatcher.h
 * @brief Schedules leased jobs at an entry: which task runs next, at which
 * companion, when it is retried elsewhere, and when its caller is answered.
 *
 * The entry that received a job runs it and persists nothing. Two runs of a
 * task are kept from overlapping by lease times alone, see lease_timing.h. The
 * module does no I/O and reads no clock; ports must not call back into it.
 * Arguments are borrowed unless stated otherwise.
 */
#ifndef LC_LEASE_DISPATCHER_H
#define LC_LEASE_DISPATCHER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/err.h"
#include "base/event.h"
#include "lease/fleet.h"
#include "lease/hall_closures.h"
#include "lease/job.h"
#include "lease/late_starts.h"
#include "lease/lease_timing.h"
#include "lease/queue_counts.h"
#include "lease/route_table.h"

/** Retry delay suggested to a caller whose job was not run, in ms. */
#define DISPATCHER_RETRY_MS 1000

/** Final outcome of a job as reported to its caller. */
typedef enum {
    DISPATCHER_SUCCEEDED,
    DISPATCHER_FAILED,   /**< a task used up its attempts */
    DISPATCHER_NOT_RUN,  /**< no task has started or will start */
    DISPATCHER_GIVEN_UP, /**< tasks were started, but there is no result */
    DISPATCHER_CANCELLED,
    DISPATCHER_RECORDED /**< recorded in the store; it will be run */
} Dispatcher_Outcome;

/** Answer sent to a caller. */
typedef struct {
    Dispatcher_Outcome outcome;
    Err_Kind kind;
    const char *message;
    uint32_t retry_ms; /**< delay before a retry, in ms; 0: do not retry */
} Dispatcher_Answer;

/** Callbacks for the dispatcher's actions; none may call back into it. */
typedef struct {
    void (*call)(void *context, Address to, uint64_t call_id,
                 const Msg_Call *call);
    void (*reset)(void *context, Address to);
    void (*answer)(void *context, uint64_t request_id,
                   const Dispatcher_Answer *answer);
    /** Writes an event that Event_Admit let through; takes ownership of the
     * fields. */
    void (*event)(void *context, Event_Id id, json_t *fields);
    /** A run of a durable job ended; @p done tells whether it succeeded. */
    void (*on_durable_run_end)(void *context, const lc_run_id *id,
                               uint32_t task, lc_node host, bool done);
    /** An upstream crashed while it ran a task of a durable job. */
    void (*on_durable_run_crash)(void *context, const lc_run_id *id,
                                 uint32_t task);
    /** A durable job has ended. */
    void (*on_durable_job_end)(void *context, uint64_t job,
                               Dispatcher_Outcome outcome);
    /** Starts several tasks of a job; the reply to row i comes under
     * @p call_ids[i]. Only used if `join_runs` is set. */
    void (*runs)(void *context, Address to, const uint64_t *call_ids,
                 const lc_runs_args *runs);
    /** Replies to a call of another entry. */
    void (*reply)(void *context, uint64_t reply_id, const Msg_Reply *reply);
} Dispatcher_Ports;

/** Settings. */
typedef struct {
    lc_node node;
    LeaseTiming timing;
    char hall[LC_MAX_NAME];
    uint32_t max_jobs; /**< open at the same time */
    double link_mbps;  /**< capacity of this entry's link; 0: unknown */
    bool join_runs; /**< starts tasks of a job at the same host in one call */
} Dispatcher_Config;

/** A job submitted by a caller. */
typedef struct {
    uint64_t request_id;
    const Route *route;
    QueueRef queue;      /**< that the request refers to */
    int64_t deadline_ms; /**< from now; the caller stops waiting after it */
    LeasedJob job;       /**< contents move to the dispatcher */
} Dispatcher_Submit;

/** A run of a durable job that a companion has reported. */
typedef struct {
    lc_run_id id;
    lc_node host;
} Dispatcher_ReportedRun;

/** A durable job to start or to resume. */
typedef struct {
    QueueRef queue;
    const Route *route;        /**< of the queue; NULL if it is not known: no
                                    task is started before
                                    Dispatcher_SetDurableRoute */
    LeasedJob job;             /**< contents move to the dispatcher */
    const GByteArray *done;    /**< bitmap of the finished tasks */
    const GArray *failures;    /**< lc_kept_failures, see
                                    DURABLE_LOG_CRASH_COUNT */
    const GArray *runs;        /**< Dispatcher_ReportedRun */
    const GArray *late_starts; /**< LateStart, of any job; or NULL
                                */
    uint32_t run_base;         /**< highest run number used before */
} Dispatcher_DurableJob;

/** Opaque dispatcher. */
typedef struct Dispatcher Dispatcher;

Dispatcher *Dispatcher_New(const Dispatcher_Config *config,
                           const Dispatcher_Ports *ports, void *context,
                           int64_t now_ms);
void Dispatcher_Free(Dispatcher *self);

/** Returns the identity of this entry. */
lc_node Dispatcher_Node(const Dispatcher *self);

/** Submits a job. Its caller is answered when the job ends, or during this
 * call if the job is refused. */
void Dispatcher_OnSubmit(Dispatcher *self, int64_t now_ms,
                         Dispatcher_Submit *submit);

/** Handles a caller's disconnect: its job is stopped and not answered. */
void Dispatcher_OnCallerDisconnect(Dispatcher *self, int64_t now_ms,
                                   uint64_t request_id);

/** Cancels a job of the queue that the request refers to, or a durable job of
 * any queue if @p queue is NULL; returns false if it is not known here. */
bool Dispatcher_OnCancel(Dispatcher *self, int64_t now_ms, uint64_t job,
                         const QueueRef *queue);

/** Whether a job of the queue, or a durable one of any queue if @p queue is
 * NULL, is known here and still open; sets @p started to whether any of its
 * tasks has been started. */
bool Dispatcher_HasOpenJob(const Dispatcher *self, uint64_t job,
                           const QueueRef *queue, bool *started);

/** Adds the open jobs that are not durable to @p counts. Queue names are
 * borrowed. */
void Dispatcher_AddOpen(const Dispatcher *self, QueueCounts *counts);

/** Adds the jobs without a started task to @p counts. Queue names are
 * borrowed. */
void Dispatcher_AddWaiting(const Dispatcher *self, QueueCounts *counts);

/** Sets the incarnation under which durable jobs are run. Durable jobs of the
 * previous one are dropped without stopping their runs: other entries take
 * them over. */
void Dispatcher_SetDurableOwner(Dispatcher *self, uint64_t incarnation);

/** Allows runs of durable jobs to be started and renewed until @p until_ms, at
 * the companions whose current incarnation was heard of before @p log_read_ms:
 * the log has been read as it stood then, and another entry had not claimed
 * these jobs. */
void Dispatcher_AllowDurable(Dispatcher *self, int64_t log_read_ms,
                             int64_t until_ms);

/** Sets the offset of the wall clock from the monotonic clock, in ms; to be
 * called before each tick, as the wall clock may step. */
void Dispatcher_SetWallOffset(Dispatcher *self, int64_t offset_ms);

/** Adds a durable job; it has no caller and no deadline. */
void Dispatcher_AddDurable(Dispatcher *self, int64_t now_ms,
                           Dispatcher_DurableJob *start);

/** The queue of a durable job that was added without a route is known. */
void Dispatcher_SetDurableRoute(Dispatcher *self, int64_t now_ms, uint64_t id,
                                const Route *route);

/** Whether a run of a durable job may be in progress as far as is known: its
 * end will be told by its companion. */
bool Dispatcher_IsRunActive(const Dispatcher *self, const lc_run_id *id);

/** A companion holds the end of an earlier run of a durable job's task, which
 * is recorded now. The task is done if it waits; a failure counts as an
 * attempt. May end the job. */
void Dispatcher_OnHeldEnd(Dispatcher *self, int64_t now_ms,
                          const lc_run_id *id, bool done);

/** Returns all known companions. */
const Fleet *Dispatcher_Fleet(const Dispatcher *self);

/** Returns the companion at an address, or NULL. */
const Fleet_Host *Dispatcher_Host(const Dispatcher *self, Address address);

/** Handles a companion's report. */
void Dispatcher_OnReport(Dispatcher *self, int64_t now_ms,
                         const lc_report_args *report);

/** Version of the list of late starts known from a companion; 0 if none. */
uint32_t Dispatcher_LateStartsVersion(const Dispatcher *self,
                                      const lc_node *companion);

/** Merges the list of halls closed by operators as received from @p source;
 * see HallClosures_Merge for @p requested_ms. */
void Dispatcher_MergeClosures(Dispatcher *self, int64_t now_ms,
                              int64_t requested_ms,
                              const lc_closures *received, const char *source);

/** Returns the closed halls as known here. */
const HallClosures *Dispatcher_Closures(const Dispatcher *self);

/** Handles the reply to a call; @p reply is NULL if the connection broke. */
void Dispatcher_OnReply(Dispatcher *self, int64_t now_ms, uint64_t call_id,
                        const Msg_Reply *reply);

/** Starts the waiting tasks for which a companion has room. To be called once
 * all available input has been processed: the functions above only record it.
 */
void Dispatcher_DispatchWaiting(Dispatcher *self, int64_t now_ms);

/** Returns the time in ms at which Dispatcher_DispatchWaiting must be called
 * again even without input, since starts wait for the link; INT64_MAX if none
 * wait. */
int64_t Dispatcher_NextDispatchMs(const Dispatcher *self);

/** Whether Dispatcher_OfferDelegates should be called now with the live
 * entries. */
bool Dispatcher_WantsDelegates(const Dispatcher *self, int64_t now_ms);

/** Offers the addresses of entries that could run jobs for this one. */
void Dispatcher_OfferDelegates(Dispatcher *self, const Address *addresses,
                               guint count);

/** Sets the routes in force, by which jobs belong to queues. Borrowed until
 * the next ones are set. */
void Dispatcher_SetRoutes(Dispatcher *self, Route_Table *routes);

/** Returns the routes in force, or NULL. */
Route_Table *Dispatcher_Routes(const Dispatcher *self);

/** Handles a job forwarded by another entry. */
void Dispatcher_OnForward(Dispatcher *self, int64_t now_ms, uint64_t reply_id,
                          const lc_forward_args *args);

/** Handles an EXTEND: another entry renews its lease on the jobs that it has
 * forwarded here. */
void Dispatcher_OnExtend(Dispatcher *self, int64_t now_ms, uint64_t reply_id,
                         const lc_extend_args *args);

/** Counts bytes other than starts that this entry has sent over its link. */
void Dispatcher_AddSentBytes(Dispatcher *self, int64_t bytes);

/** Announces that the process exits soon after @p shutdown_ms. Jobs still open
 * then are given up and answered, so that no caller sees only a broken
 * connection. */
void Dispatcher_SetShutdownTime(Dispatcher *self, int64_t shutdown_ms);

/** Starts no task and extends no lease until Dispatcher_Resume: after the
 * process was suspended, the input that arrived meanwhile must be read first,
 * as callers may have left. */
void Dispatcher_Pause(Dispatcher *self);
void Dispatcher_Resume(Dispatcher *self);

/** Runs periodic work; to be called at least every `timing.tick_ms`. */
void Dispatcher_Tick(Dispatcher *self, int64_t now_ms);

/** Whether all requests are answered and all runs are known to have ended. */
bool Dispatcher_IsIdle(const Dispatcher *self);

/** Returns the minimum interval between two reports of one companion, in ms.
 * It grows with the number of companions to bound the total report rate. */
uint32_t Dispatcher_ReportIntervalMs(const Dispatcher *self);

/** Returns the number of companions that accept tasks now. */
uint32_t Dispatcher_SchedulableHosts(const Dispatcher *self, int64_t now_ms);

/** Returns the number of healthy companions, including those in closed halls.
 */
uint32_t Dispatcher_HealthyHosts(const Dispatcher *self, int64_t now_ms);

/** Appends metrics in the text format of scrapers. */
void Dispatcher_Metrics(const Dispatcher *self, int64_t now_ms, GString *out);

/** Returns the event counters, owned by the dispatcher. */
Counters *Dispatcher_Counters(Dispatcher *self);

/** Returns the state as JSON for operators; the caller owns the result. */
json_t *Dispatcher_Dump(const Dispatcher *self, int64_t now_ms);

#endif

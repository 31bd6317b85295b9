/**
 * @file dispatcher.h
 * @brief An entry's decisions on leased jobs: which task runs next, at which
 * companion, when it is tried elsewhere, and when its caller gets an answer.
 *
 * The entry that received a job runs it; nothing is kept. What keeps two runs
 * of a task apart is time alone, see term.h. No I/O and no clock; ports never
 * call back. Arguments are borrowed unless said otherwise.
 */
#ifndef LC_LEASE_DISPATCHER_H
#define LC_LEASE_DISPATCHER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/counter.h"
#include "base/err.h"
#include "base/event.h"
#include "lease/closures.h"
#include "lease/fleet.h"
#include "lease/job.h"
#include "lease/queue_counts.h"
#include "lease/route.h"
#include "lease/term.h"

/** When a caller whose job was not run should come back, in ms. */
#define DISPATCHER_RETRY_MS 1000

/** How a job is over for its caller. */
typedef enum {
    DISPATCHER_SUCCEEDED,
    DISPATCHER_FAILED,   /**< a task failed too often */
    DISPATCHER_NOT_RUN,  /**< no task was started and none will be */
    DISPATCHER_GIVEN_UP, /**< tasks were started; the job has no result */
    DISPATCHER_CANCELLED,
    DISPATCHER_KEPT /**< it is written down and will be run */
} Dispatcher_Outcome;

/** Answer to a caller. */
typedef struct {
    Dispatcher_Outcome outcome;
    Err_Kind kind;
    const char *message;
    uint32_t retry_ms; /**< when to come back; 0 for never */
} Dispatcher_Answer;

/** Functions through which a dispatcher acts; none may call it back. */
typedef struct {
    void (*call)(void *context, Address to, uint64_t call_id,
                 const Msg_Call *call);
    void (*reset)(void *context, Address to);
    void (*answer)(void *context, uint64_t request_id,
                   const Dispatcher_Answer *answer);
    /** Writes an admitted event; takes the fields. */
    void (*event)(void *context, Event_Id id, json_t *fields);
    /** A run of a kept job ended, well or badly. */
    void (*kept_end)(void *context, const lc_run_id *id, uint32_t task,
                     lc_node host, bool done);
    /** An upstream has crashed under a run of a kept job's task. */
    void (*kept_crash)(void *context, const lc_run_id *id, uint32_t task);
    /** A kept job is over. */
    void (*kept_over)(void *context, uint64_t job, Dispatcher_Outcome outcome);
    /** Starts several tasks of a job; row i ends as @p call_ids[i]. Not used
     * unless the settings say so. */
    void (*runs)(void *context, Address to, const uint64_t *call_ids,
                 const lc_runs_args *runs);
    /** Answers a call of another entry. */
    void (*reply)(void *context, uint64_t reply_id, const Msg_Reply *reply);
} Dispatcher_Ports;

/** Settings. */
typedef struct {
    lc_node node;
    Term term;
    char hall[LC_MAX_NAME];
    uint32_t max_jobs; /**< at once */
    double link_mbps;  /**< of this entry's link; 0: not known */
    bool join_runs; /**< tasks of a job that go to one host are started in one
                     call */
} Dispatcher_Config;

/** A job handed in. */
typedef struct {
    uint64_t request_id;
    const Route *route;
    int64_t deadline_ms; /**< from now; after it the caller does not wait */
    LeasedJob job;       /**< the dispatcher takes what it owns */
} Dispatcher_Submit;

/** A run of a kept job that was found at a companion. */
typedef struct {
    lc_run_id id;
    lc_node host;
} Dispatcher_Placement;

/** A kept job to be run, or gone on with. */
typedef struct {
    const Route *route;
    LeasedJob job;          /**< the dispatcher takes what it owns */
    const GByteArray *done; /**< a bit for each task */
    const GArray *failures; /**< lc_kept_failures, see KEPT_CRASHES */
    const GArray *runs;     /**< Dispatcher_Placement */
    uint32_t run_base;      /**< earlier runs are numbered up to this */
} Dispatcher_Kept;

/** Opaque dispatcher. */
typedef struct Dispatcher Dispatcher;

Dispatcher *Dispatcher_New(const Dispatcher_Config *config,
                           const Dispatcher_Ports *ports, void *context,
                           int64_t now_ms);
void Dispatcher_Free(Dispatcher *self);

/** Identity of this entry. */
lc_node Dispatcher_Node(const Dispatcher *self);

/** Takes a job; it is answered in the end, at once if it is refused. */
void Dispatcher_OnSubmit(Dispatcher *self, int64_t now_ms,
                         Dispatcher_Submit *submit);

/** A caller has gone: its job is stopped and not answered. */
void Dispatcher_OnCallerGone(Dispatcher *self, int64_t now_ms,
                             uint64_t request_id);

/** A job is cancelled; false if it is not known here. */
bool Dispatcher_OnCancel(Dispatcher *self, int64_t now_ms, uint64_t job,
                         const char *queue);

/** Whether a job is known here and not over; @p begun tells if a task is. */
bool Dispatcher_Look(const Dispatcher *self, uint64_t job, const char *queue,
                     bool *begun);

/** Counts the jobs of which no task was started. Names are borrowed. */
void Dispatcher_AddWaiting(const Dispatcher *self, QueueCounts *counts);

/** Sets the identity under which kept jobs are run. All kept jobs of an
 * earlier one are forgotten as they are: others look after them. */
void Dispatcher_OwnKept(Dispatcher *self, uint64_t incarnation);

/** Whether kept jobs may be started and their leases renewed. */
void Dispatcher_HoldKept(Dispatcher *self, bool held);

/** Sets how far the wall clock is ahead of the monotonic one; to be called
 * before each tick, as the former may step. */
void Dispatcher_SetWall(Dispatcher *self, int64_t ahead_ms);

/** Takes a kept job; it has no caller and no deadline. */
void Dispatcher_AddKept(Dispatcher *self, int64_t now_ms,
                        Dispatcher_Kept *start);

/** All companions known. */
const Fleet *Dispatcher_Fleet(const Dispatcher *self);

/** Companion at an address, or NULL. */
const Fleet_Host *Dispatcher_Host(const Dispatcher *self, Address address);

/** A companion reports. */
void Dispatcher_OnReport(Dispatcher *self, int64_t now_ms,
                         const lc_report_args *report);

/** Takes what @p source knows of the halls that operators have closed; see
 * Closures_Take for @p asked_ms. */
void Dispatcher_TakeClosures(Dispatcher *self, int64_t now_ms,
                             int64_t asked_ms, const lc_closures *told,
                             const char *source);

/** What is known of the closed halls here. */
const Closures *Dispatcher_Closures(const Dispatcher *self);

/** A call ended; @p reply is NULL when its connection broke. */
void Dispatcher_OnReply(Dispatcher *self, int64_t now_ms, uint64_t call_id,
                        const Msg_Reply *reply);

/** Sends the waiting tasks that find room. To be called when all input at
 * hand has been taken: the functions above only note what came. */
void Dispatcher_Settle(Dispatcher *self, int64_t now_ms);

/** When Dispatcher_Settle is to be called again though nothing comes, or
 * INT64_MAX: starts wait for the link. */
int64_t Dispatcher_DueMs(const Dispatcher *self);

/** Whether the entries that live should be offered now. */
bool Dispatcher_WantsDelegates(const Dispatcher *self, int64_t now_ms);

/** Names entries that could run jobs for this one. */
void Dispatcher_OfferDelegates(Dispatcher *self, const Address *addresses,
                               guint count);

/** Version of the routes in force. */
void Dispatcher_SetRoutesVersion(Dispatcher *self, int64_t version);

/** Another entry hands a job on; @p route is its queue here, or NULL. */
void Dispatcher_OnForward(Dispatcher *self, int64_t now_ms, uint64_t reply_id,
                          const lc_forward_args *args, const Route *route);

/** Another entry extends its lease on the jobs that it has handed on. */
void Dispatcher_OnExtend(Dispatcher *self, int64_t now_ms, uint64_t reply_id,
                         const lc_extend_args *args);

/** Bytes other than starts that this entry has put on its link. */
void Dispatcher_NoteSent(Dispatcher *self, int64_t bytes);

/** The process ends soon after @p end_ms: jobs that are open by then are given
 * up and answered, so that no caller's connection just breaks. */
void Dispatcher_EndBy(Dispatcher *self, int64_t end_ms);

/** Starts nothing until Dispatcher_Resume: input that waited while the process
 * stood still must be read first. */
void Dispatcher_Pause(Dispatcher *self);
void Dispatcher_Resume(Dispatcher *self);

/** Time has passed; to be called every `term.tick_ms` or more often. */
void Dispatcher_Tick(Dispatcher *self, int64_t now_ms);

/** Whether no job is unanswered and no run is unaccounted for. */
bool Dispatcher_IsIdle(const Dispatcher *self);

/** How often a companion should report changes at most, in ms, so that the
 * reports of all together stay few. */
uint32_t Dispatcher_ReportGapMs(const Dispatcher *self);

/** Companions that take tasks now. */
uint32_t Dispatcher_ReadyHosts(const Dispatcher *self, int64_t now_ms);

/** Companions that are well, also those whose halls are closed. */
uint32_t Dispatcher_WellHosts(const Dispatcher *self, int64_t now_ms);

/** Appends figures for scrapers. */
void Dispatcher_Metrics(const Dispatcher *self, int64_t now_ms, GString *out);

Counters *Dispatcher_Counters(Dispatcher *self);

/** State for operators; the caller owns the result. */
json_t *Dispatcher_Dump(const Dispatcher *self, int64_t now_ms);

#endif

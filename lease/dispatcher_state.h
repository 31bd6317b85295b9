/**
 * @file dispatcher_state.h
 * @brief State of a dispatcher, shared by the files that make it up: calls,
 * ends of runs and jobs, the queue of waiting tasks, companions.
 *
 * For lease/dispatcher*.c alone. The table of jobs owns them; a function that
 * ends a task may free its job, and says so.
 */
#ifndef LC_LEASE_DISPATCHER_STATE_H
#define LC_LEASE_DISPATCHER_STATE_H

#include "base/handle.h"
#include "base/histogram.h"
#include "lease/active.h"
#include "lease/closures.h"
#include "lease/delegates.h"
#include "lease/dispatcher.h"
#include "lease/forward_choice.h"
#include "lease/link_budget.h"
#include "lease/queue_stats.h"
#include "lease/reserve.h"

/* Leases at companions are renewed so often. */
#define DISPATCHER_RENEW_MS 100
/** How long a kept task waits for the outcome of its run, which may have
 * succeeded, while the companion is silent or not ready. After that the task
 * is retried elsewhere. */
#define DISPATCHER_OUTCOME_TIMEOUT_MS 6000

/* What a call on its way is about. */
typedef struct {
    Msg_Kind kind;
    Handle job;
    uint32_t task;
    lc_node host;
    uint32_t run;
} Dispatcher_Call;

/* Another entry whose jobs this one runs. */
typedef struct Dispatcher_Origin {
    lc_node node;
    int64_t until_ms;   /* of the lease that it grants */
    uint64_t owner;     /* incarnation under which companions run its jobs */
    uint32_t jobs;      /* those that are not freed */
    int64_t renewed_ms; /* when leases at companions were renewed last */
    bool lapsed;        /* its lease ended; its jobs are being stopped */
} Dispatcher_Origin;

struct Dispatcher {
    Dispatcher_Config config;
    const Dispatcher_Ports *ports;
    void *context;
    Counters counters;
    Queue_Table stats;
    Fleet fleet;
    Closures closures;
    Reserve reserve;
    LinkBudget link;
    bool link_full;      /* starts wait for the link */
    bool link_was_short; /* as the log tells it */
    ForwardChoice_Sends sends;
    Delegates delegates;
    uint64_t last_number;       /* of jobs given to them */
    GPtrArray *origins;         /* Dispatcher_Origin */
    GHashTable *origin_replies; /* request id -> reply id */
    uint64_t last_request;      /* of other entries */
    uint64_t last_owner;
    int64_t routes_version;
    Histogram belief_age; /* of a companion's room as a task is sent there */
    Handle_Table *jobs;
    Handle_Table *calls;    /* Dispatcher_Call */
    GHashTable *by_id;      /* job id -> Active_Job */
    GHashTable *by_request; /* request id -> Active_Job */
    uint64_t random;
    int64_t started_ms;
    uint32_t unanswered;
    int64_t wall_ahead_ms; /* of the wall clock before the monotonic one */
    uint64_t kept;         /* incarnation as an owner of kept jobs */
    bool kept_held;
    int64_t end_ms; /* all jobs are answered by then; INT64_MAX if not set */
    bool paused;
    bool unsettled; /* something came that may let tasks be sent */
};

/* Log lines: dispatcher_log.c. */

/** Writes a line about a job of which only the identity is known. */
void DispatcherLog_Identity(const Dispatcher *self, Event_Id id, uint64_t job,
                            const char *detail);

/** Writes everything that was decided about a job. */
void DispatcherLog_Job(const Dispatcher *self, Event_Id id, int64_t now_ms,
                       const Active_Job *job, const char *detail);

/** Writes a line about jobs of another entry. */
void DispatcherLog_Origin(const Dispatcher *self, Event_Id id,
                          const Dispatcher_Origin *origin, const char *detail);

/** Writes a line about a companion. */
void DispatcherLog_Host(const Dispatcher *self, Event_Id id, int64_t now_ms,
                        const Fleet_Host *host, const char *detail);

/** Notes that a request waits for the job. */
void Dispatcher_AttachRequest(Dispatcher *self, Active_Job *job,
                              uint64_t request);

/* Calls: dispatcher_calls.c. */

/** Sends a call about which a reply is awaited; returns its id. */
uint64_t DispatcherCall_Send(Dispatcher *self, const Dispatcher_Call *about,
                             const Msg_Call *call);

/** Asks the task's host to run it, or to tell how that run goes. */
void DispatcherCall_Run(Dispatcher *self, const Active_Job *job,
                        const Active_Task *task, int64_t valid_until_ms);

/** Asks the hosts of a job's tasks, an array of Active_Task, to start them;
 * those at one host are asked for in one call. Sorts the array. */
void DispatcherCall_Starts(Dispatcher *self, int64_t now_ms,
                           const Active_Job *job, GPtrArray *tasks);

/** Asks the task's host to stop its run. */
void DispatcherCall_Halt(Dispatcher *self, const Active_Job *job,
                         Active_Task *task);

/** Lengthens the lease on all runs at a host. */
void DispatcherCall_Renew(Dispatcher *self, int64_t now_ms, Fleet_Host *host);

/* Jobs given to other entries: dispatcher_forward.c. */

/** Gives a job that has not begun to another entry if that is better, and
 * says whether. */
bool DispatcherForward_Try(Dispatcher *self, int64_t now_ms, Active_Job *job,
                           const lc_resources *largest);

/** The job needs no other entry any more, which is told at the next tick. */
void DispatcherForward_Drop(Dispatcher *self, Active_Job *job);

/** The other entry has answered; @p result is NULL if it was lost. May free
 * the job. */
void DispatcherForward_OnReply(Dispatcher *self, int64_t now_ms,
                               const Dispatcher_Call *about,
                               const lc_forward_res *result);

/** Extends leases of what others run, and asks who could run more. */
void DispatcherForward_Tick(Dispatcher *self, int64_t now_ms);

/** An EXTEND was answered; @p result is NULL if it was lost. */
void DispatcherForward_OnExtended(Dispatcher *self, int64_t now_ms,
                                  const Dispatcher_Call *about,
                                  uint64_t call_id,
                                  const lc_extend_res *result);

/* Jobs of other entries: dispatcher_origin.c. */

/** Stops the jobs of entries whose leases have ended, and renews the leases
 * of the others at companions. */
void DispatcherOrigin_Tick(Dispatcher *self, int64_t now_ms);

/** Until when a start or renewal for the job at a host may be valid: no longer
 * than the entry grants that forwarded it. */
int64_t DispatcherOrigin_Limit(const Active_Job *job, const Fleet_Host *host,
                               int64_t valid_until_ms);

/** Answers a request of another entry; false if it is a caller's. */
bool DispatcherOrigin_Answer(Dispatcher *self, uint64_t request,
                             const Dispatcher_Answer *answer);

/** The job is freed. */
void DispatcherOrigin_Leave(Dispatcher *self, Active_Job *job);

/* Ends: dispatcher_ends.c. */

/** Frees a job and forgets its identity. */
void DispatcherEnd_Forget(Dispatcher *self, Active_Job *job);

/** Companion that has the task's run, or NULL if it began anew. */
Fleet_Host *DispatcherEnd_HostOf(const Dispatcher *self,
                                 const Active_Task *task);

/** Whether a run of the task may be under way. */
bool DispatcherEnd_IsOut(const Active_Task *task);

/** The run is over or was never begun: its host has one less. */
void DispatcherEnd_LeaveHost(Dispatcher *self, const Active_Task *task);

/** A run may be known to a companion, which is asked for it at the next
 * tick. */
void DispatcherEnd_AskFor(Dispatcher *self, int64_t now_ms, Active_Job *job,
                          Active_Task *task, lc_node host);

/** The task is done. May free its job. */
void DispatcherEnd_Finish(Dispatcher *self, int64_t now_ms, Active_Job *job,
                          Active_Task *task);

/** The task's run is certainly over; it may run again, not before a time.
 * May free its job. */
void DispatcherEnd_Requeue(Dispatcher *self, Active_Job *job,
                           Active_Task *task, int64_t not_before_ms);

/** The task's run failed; ends the job after too many. May free it. */
void DispatcherEnd_Fail(Dispatcher *self, int64_t now_ms, Active_Job *job,
                        Active_Task *task, const Fleet_Host *host);

/** An upstream has crashed under the task's run. True if its job was given up
 * for that, and is over; it may be freed. */
bool DispatcherEnd_Crash(Dispatcher *self, int64_t now_ms, Active_Job *job,
                         Active_Task *task);

/** Ends a job if enough upstreams have crashed under a task of it, and says
 * whether. */
bool DispatcherEnd_GiveUpCrashing(Dispatcher *self, int64_t now_ms,
                                  Active_Job *job, const Active_Task *task);

/** Answers a job and stops what runs of it. May free it. */
void DispatcherEnd_Job(Dispatcher *self, int64_t now_ms, Active_Job *job,
                       const Dispatcher_Answer *answer);

/** Counts and logs how a job is over. */
void DispatcherEnd_Note(Dispatcher *self, int64_t now_ms,
                        const Active_Job *job, Queue_Outcome outcome,
                        const char *detail);

/** Stops what runs of a job that needs no answer any more. May free it. */
void DispatcherEnd_Close(Dispatcher *self, Active_Job *job);

/** Ends a job without a result: as not run, if none of its runs may have
 * begun. May free it. */
void DispatcherEnd_GiveUp(Dispatcher *self, int64_t now_ms, Active_Job *job,
                          Err_Kind kind, const char *message);

/* Admission by the link: dispatcher_link.c. */

/* What decides where a job that arrives would stand in the queue. */
typedef struct {
    int32_t priority;
    int64_t slack_ms;
} Dispatcher_Arrival;

/** Logs that the link is short now, or is not any more. */
void DispatcherLink_Note(Dispatcher *self, int64_t now_ms);

/** How long its starts would wait for the link, in ms; 0 while that is not
 * short. */
int64_t DispatcherLink_WaitMs(const Dispatcher *self, int64_t now_ms,
                              const Dispatcher_Arrival *arrival);

/** When a caller should come back that would have waited so long. */
uint32_t DispatcherLink_RetryMs(Dispatcher *self, int64_t wait_ms);

/* Waiting tasks: dispatcher_queue.c. */

/** The most of each resource that any open companion has left. */
lc_resources DispatcherQueue_LargestRoom(const Dispatcher *self,
                                         int64_t now_ms);

/** Sends every waiting task that fits somewhere, the most urgent first. */
void DispatcherQueue_Pass(Dispatcher *self, int64_t now_ms);

/* Companions: dispatcher_hosts.c. */

/** Whether nothing has been heard of any companion for some time. */
bool DispatcherHosts_Isolated(const Dispatcher *self, int64_t now_ms);

/** A companion has not answered in time: it is sent nothing new, and its
 * leases are not renewed, so that they end. */
void DispatcherHosts_Suspect(Dispatcher *self, int64_t now_ms,
                             Fleet_Host *host);

/** Renews leases, and takes back runs whose lease is certainly over. */
void DispatcherHosts_Check(Dispatcher *self, int64_t now_ms, Fleet_Host *host);

/* Capacity: dispatcher_fit.c. */

/** Whether a host could run a task of the step if nothing else ran there. */
bool DispatcherFit_CouldRun(const LeasedJob_Step *step, const char *service,
                            const Fleet_Host *host);

/** Whether a task of a job for @p service is larger than every upstream that
 * is heard: it cannot begin, however long it waits. */
bool DispatcherFit_Nowhere(const Dispatcher *self, int64_t now_ms,
                           const LeasedJob *job, const char *service);

/* Closed halls: dispatcher_halls.c. */

/** Notes whether a companion's hall is closed. */
void DispatcherHalls_Mark(const Dispatcher *self, Fleet_Host *host);

/** Whether a step of a job for @p service could run in closed halls, and
 * nowhere else. */
bool DispatcherHalls_ClosedTo(const Dispatcher *self, int64_t now_ms,
                              const LeasedJob *job, const char *service);

/** State of a companion for operators; the caller owns the result. */
json_t *DispatcherHosts_Dump(const Fleet_Host *host, int64_t now_ms);

#endif

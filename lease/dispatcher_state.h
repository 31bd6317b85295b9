/**
 * @file dispatcher_state.h
 * @brief Internal state of a dispatcher and the functions that its source
 * files share: calls, completion of runs and jobs, queue of waiting tasks,
 * companions.
 *
 * For lease/dispatcher*.c only. The job table owns the jobs; each function
 * that may free a job by ending one of its tasks documents it.
 */
#ifndef LC_LEASE_DISPATCHER_STATE_H
#define LC_LEASE_DISPATCHER_STATE_H

#include "base/handle_table.h"
#include "base/histogram.h"
#include "lease/active_job.h"
#include "lease/delegates.h"
#include "lease/dispatcher.h"
#include "lease/forward_choice.h"
#include "lease/hall_closures.h"
#include "lease/link_budget.h"
#include "lease/priority_reserve.h"
#include "lease/queue_stats.h"

/* Interval between renewals of the leases at a companion. */
#define DISPATCHER_RENEW_MS 100
/** How long a durable task waits for the outcome of its run while the
 * companion is silent or not ready, as the run may have succeeded. After that
 * the task is retried elsewhere. */
#define DISPATCHER_OUTCOME_TIMEOUT_MS 6000

/* Context of a call that awaits its reply. */
typedef struct {
    Msg_Kind kind;
    Handle job;
    uint32_t task;
    lc_node host;
    uint32_t run;
} Dispatcher_Call;

/* Another entry that has forwarded jobs to this one. */
typedef struct Dispatcher_Origin {
    lc_node node;
    int64_t lease_end_ms; /* end of the lease that it grants */
    uint64_t owner; /* incarnation under which its jobs run at companions */
    uint32_t jobs;  /* jobs of it that are not freed yet */
    int64_t renewed_ms; /* last renewal of leases at companions */
    bool expired;       /* its lease has ended; its jobs are being stopped */
} Dispatcher_Origin;

/* A job that its origin has withdrawn before its FORWARD has arrived. */
typedef struct {
    lc_node origin;
    uint64_t number;
    int64_t until_ms; /* until then the FORWARD may still be valid */
} Dispatcher_Withdrawal;

struct Dispatcher {
    Dispatcher_Config config;
    const Dispatcher_Ports *ports;
    void *context;
    Counters counters;
    QueueStats_Table stats;
    Fleet fleet;
    HallClosures closures;
    LateStarts *late_starts;
    LateStarts *assumed_starts; /* of runs whose companions fell silent */
    Reserve reserve;
    LinkBudget link;
    bool starts_wait_for_link; /* starts wait for the link */
    bool logged_congested;     /* state of the last log line on the link */
    ForwardChoice_Sends sends;
    Delegates delegates;
    uint64_t last_forward_number; /* of jobs forwarded to delegates */
    GPtrArray *origins;           /* Dispatcher_Origin */
    GArray *withdrawals;          /* Dispatcher_Withdrawal */
    GHashTable *origin_replies;   /* request id -> reply id */
    uint64_t last_origin_request; /* id given to a forwarded job */
    uint64_t last_owner;
    Route_Table *routes;  /* in force; borrowed; or NULL */
    Histogram belief_age; /* age of the known room of a companion when a task
                             is sent there */
    Handle_Table *jobs;
    Handle_Table *calls;    /* Dispatcher_Call */
    GHashTable *by_id;      /* job id -> Active_Job */
    GHashTable *by_request; /* request id -> Active_Job */
    uint64_t random;
    int64_t started_ms;
    uint32_t unanswered;
    int64_t wall_offset_ms;      /* wall clock minus monotonic clock */
    uint64_t durable_owner;      /* incarnation as owner of durable jobs */
    int64_t durable_log_read_ms; /* arguments of Dispatcher_AllowDurable */
    int64_t durable_until_ms;
    int64_t shutdown_ms; /* when open jobs are given up; INT64_MAX: not set */
    bool paused;
    bool dispatch_pending; /* input has come that may allow tasks to start */
};

/* Log lines: dispatcher_log.c. */

/** Logs an event on a job of which only the identity is known. */
void DispatcherLog_Identity(const Dispatcher *self, Event_Id id, uint64_t job,
                            const char *detail);

/** Logs an event with all decisions made on a job; @p detail says why. */
void DispatcherLog_Job(const Dispatcher *self, Event_Id id, int64_t now_ms,
                       const Active_Job *job, const char *detail);

/** Logs an event on the jobs of another entry. */
void DispatcherLog_Origin(const Dispatcher *self, Event_Id id,
                          const Dispatcher_Origin *origin, const char *detail);

/** Logs an event on a companion. */
void DispatcherLog_Host(const Dispatcher *self, Event_Id id, int64_t now_ms,
                        const Fleet_Host *host, const char *detail);

/** Whether a request is about a job; a @p request of NULL is about any durable
 * job. */
bool Dispatcher_IsSameQueue(const Dispatcher *self, const QueueRef *request,
                            const Active_Job *job);

/** Adds a request to be answered when the job ends. */
void Dispatcher_AttachRequest(Dispatcher *self, Active_Job *job,
                              uint64_t request);

/* Calls: dispatcher_calls.c. */

/** Sends a call and registers it as awaiting a reply; returns its id. */
uint64_t DispatcherCall_Send(Dispatcher *self, const Dispatcher_Call *about,
                             const Msg_Call *call);

/** Asks the task's host to run it, or to report the state of that run. */
void DispatcherCall_Run(Dispatcher *self, const Active_Job *job,
                        const Active_Task *task, int64_t valid_until_ms);

/** Asks the hosts of a job's tasks, an array of Active_Task, to start them. If
 * the settings say so, sorts the array and sends one call per host. */
void DispatcherCall_Starts(Dispatcher *self, int64_t now_ms,
                           const Active_Job *job, GPtrArray *tasks);

/** Repeats the HALTs to a host that a broken connection may have lost. To be
 * called before any message that may extend the lease of their runs. */
void DispatcherCall_RepeatHalts(Dispatcher *self, Fleet_Host *host);

/** Returns the end of the lease that a message to a host may extend now, see
 * Fleet_ExtendHold, and calls DispatcherCall_RepeatHalts before. */
int64_t DispatcherCall_ExtendHold(Dispatcher *self, int64_t now_ms,
                                  Fleet_Host *host);

/** Asks the task's host to stop its run. */
void DispatcherCall_Halt(Dispatcher *self, const Active_Job *job,
                         Active_Task *task);

/** Renews the lease on all runs of this entry at a host. */
void DispatcherCall_Renew(Dispatcher *self, int64_t now_ms, Fleet_Host *host);

/* Jobs forwarded to other entries: dispatcher_forward.c. */

/** Forwards a job without started tasks to another entry if that loads the
 * link less; returns whether it did. */
bool DispatcherForward_Try(Dispatcher *self, int64_t now_ms, Active_Job *job,
                           const lc_resources *largest);

/** Withdraws a forwarded job; the other entry is told with the next EXTEND. */
void DispatcherForward_Withdraw(Dispatcher *self, Active_Job *job);

/** Handles the reply to a FORWARD; @p result is NULL if the connection was
 * lost. May free the job. */
void DispatcherForward_OnReply(Dispatcher *self, int64_t now_ms,
                               const Dispatcher_Call *about,
                               const lc_forward_res *result);

/** Renews the leases on forwarded jobs, and asks delegates for their capacity.
 */
void DispatcherForward_Tick(Dispatcher *self, int64_t now_ms);

/** Handles the reply to an EXTEND; @p result is NULL if the connection was
 * lost. */
void DispatcherForward_OnExtendReply(Dispatcher *self, int64_t now_ms,
                                     const Dispatcher_Call *about,
                                     uint64_t call_id,
                                     const lc_extend_res *result);

/* Jobs of other entries: dispatcher_origin.c. */

/** Stops the jobs of entries whose leases have ended, and renews the leases
 * of the others at companions. */
void DispatcherOrigin_Tick(Dispatcher *self, int64_t now_ms);

/** Limits the validity of a start or renewal for the job at a host to the
 * lease granted by the entry that forwarded it. Times in ms on the host's
 * clock. */
int64_t DispatcherOrigin_LimitLease(const Active_Job *job,
                                    const Fleet_Host *host,
                                    int64_t valid_until_ms);

/** Answers a request of another entry; returns false if a caller made it. */
bool DispatcherOrigin_Answer(Dispatcher *self, uint64_t request,
                             const Dispatcher_Answer *answer);

/** Removes a job that is being freed from its origin. */
void DispatcherOrigin_RemoveJob(Dispatcher *self, Active_Job *job);

/* Completion of runs and jobs: dispatcher_completion.c. */

/** Frees a job and removes it from the tables. */
void DispatcherCompletion_FreeJob(Dispatcher *self, Active_Job *job);

/** Returns the companion that has the task's run, or NULL if it is unknown or
 * has restarted since. */
Fleet_Host *DispatcherCompletion_HostOf(const Dispatcher *self,
                                        const Active_Task *task);

/** Whether a run of the task may be in progress. */
bool DispatcherCompletion_IsInFlight(const Active_Task *task);

/** Decrements the host's running count for a run that is over or was never
 * started. */
void DispatcherCompletion_ReleaseHost(Dispatcher *self,
                                      const Active_Task *task);

/** Schedules a query to @p host, which may know the task's run, for the next
 * tick. */
void DispatcherCompletion_QueryRun(Dispatcher *self, int64_t now_ms,
                                   Active_Job *job, Active_Task *task,
                                   lc_node host);

/** Marks a task as done. May free its job. */
void DispatcherCompletion_FinishTask(Dispatcher *self, int64_t now_ms,
                                     Active_Job *job, Active_Task *task);

/** Makes a task whose run is certainly over wait again, until @p not_before_ms
 * at least. May free its job. */
void DispatcherCompletion_Requeue(Dispatcher *self, Active_Job *job,
                                  Active_Task *task, int64_t not_before_ms);

/** Counts a failed run; ends the job when the task has used up its attempts.
 * May free the job. */
void DispatcherCompletion_OnRunFailed(Dispatcher *self, int64_t now_ms,
                                      Active_Job *job, Active_Task *task,
                                      const Fleet_Host *host);

/** Ends a job if the task has failed @p limit times; returns whether it did.
 * May free the job. */
bool DispatcherCompletion_CheckAttempts(Dispatcher *self, int64_t now_ms,
                                        Active_Job *job,
                                        const Active_Task *task,
                                        uint32_t limit);

/** Counts a crash of an upstream during the task's run; @p confirmed: the run
 * had begun. Returns true if this ended the job, which may then be freed. */
bool DispatcherCompletion_OnRunCrashed(Dispatcher *self, int64_t now_ms,
                                       Active_Job *job, Active_Task *task,
                                       bool confirmed);

/** Ends a job if the task has reached the limit of upstream crashes; returns
 * whether it did. May free the job. */
bool DispatcherCompletion_CheckCrashLimit(Dispatcher *self, int64_t now_ms,
                                          Active_Job *job,
                                          const Active_Task *task);

/** Answers a job and stops its runs. May free it. */
void DispatcherCompletion_EndJob(Dispatcher *self, int64_t now_ms,
                                 Active_Job *job,
                                 const Dispatcher_Answer *answer);

/** Counts and logs the outcome of a job. */
void DispatcherCompletion_RecordOutcome(Dispatcher *self, int64_t now_ms,
                                        const Active_Job *job,
                                        QueueStats_Outcome outcome,
                                        const char *detail);

/** Stops the runs of a job that needs no answer any more, or frees the job if
 * it has none. */
void DispatcherCompletion_CloseJob(Dispatcher *self, Active_Job *job);

/** Ends a job without a result: as not run if none of its runs can have
 * started, otherwise as given up. May free it. */
void DispatcherCompletion_GiveUp(Dispatcher *self, int64_t now_ms,
                                 Active_Job *job, Err_Kind kind,
                                 const char *message);

/* Admission control by link capacity: dispatcher_link.c. */

/* Determines the queue position of an arriving job. */
typedef struct {
    int32_t priority;
    int64_t slack_ms;
} Dispatcher_Arrival;

/** Logs when the link becomes congested or recovers. */
void DispatcherLink_LogChange(Dispatcher *self, int64_t now_ms);

/** Returns how long the starts of an arriving job would wait for the link, in
 * ms; 0 while the link is not congested. */
int64_t DispatcherLink_WaitMs(const Dispatcher *self, int64_t now_ms,
                              const Dispatcher_Arrival *arrival);

/** Returns the randomized retry delay, in ms, for a caller whose job would
 * have waited @p wait_ms for the link. */
uint32_t DispatcherLink_RetryMs(Dispatcher *self, int64_t wait_ms);

/* Durable jobs: dispatcher_durable.c. */

/** Whether this entry may start and renew runs of its durable jobs at all:
 * another entry may have claimed them since it last read the log. */
bool DispatcherDurable_IsAllowed(const Dispatcher *self, int64_t now_ms);

/** Whether it may at @p host. A claim that is not read yet is newer than the
 * last read, and so than the host's incarnation, if that was heard of before
 * the read: the successor fences it. An incarnation heard of later may have
 * started after such a claim, and is not fenced. */
bool DispatcherDurable_IsAllowedAt(const Dispatcher *self, int64_t now_ms,
                                   const Fleet_Host *host);

/* Waiting tasks: dispatcher_queue.c. */

/** Returns, per resource, the largest free amount at any schedulable
 * companion. */
lc_resources DispatcherQueue_LargestRoom(const Dispatcher *self,
                                         int64_t now_ms);

/** Starts every waiting task that fits at some companion, the most urgent
 * first. */
void DispatcherQueue_Dispatch(Dispatcher *self, int64_t now_ms);

/* Companions: dispatcher_hosts.c. */

/** Whether companions are known but none has been heard from lately. */
bool DispatcherHosts_Isolated(const Dispatcher *self, int64_t now_ms);

/** Marks a companion that has not answered in time as suspect: it gets no new
 * tasks, and its leases are not renewed, so that they expire. */
void DispatcherHosts_Suspect(Dispatcher *self, int64_t now_ms,
                             Fleet_Host *host);

/** Renews leases, and requeues tasks whose lease has certainly expired. */
void DispatcherHosts_Check(Dispatcher *self, int64_t now_ms, Fleet_Host *host);

/* Capacity: dispatcher_capacity.c. */

/** Whether an idle host could run a task of the step. */
bool DispatcherCapacity_CouldRun(const LeasedJob_Step *step,
                                 const char *service, const Fleet_Host *host);

/** Whether a task of a job for @p service exceeds the capacity of every
 * upstream heard from, so that it cannot start however long it waits. */
bool DispatcherCapacity_ExceedsAll(const Dispatcher *self, int64_t now_ms,
                                   const LeasedJob *job, const char *service);

/* Late starts of leased jobs: dispatcher_late_starts.c. */

/** Binds a task to the companion whose upstream may execute an earlier start
 * of it. */
void DispatcherLateStart_BindTask(Dispatcher *self, int64_t now_ms,
                                  const Active_Job *job, Active_Task *task,
                                  const LateStart *late);

/** Binds the tasks of a job by @p starts, LateStart of any job; NULL: none. */
void DispatcherLateStart_BindTasks(Dispatcher *self, int64_t now_ms,
                                   Active_Job *job, const GArray *starts);

/** Binds the tasks of a job by the companions' lists. */
void DispatcherLateStart_BindJob(Dispatcher *self, int64_t now_ms,
                                 Active_Job *job);

/** Applies the list of unsettled starts in the answer to the last RENEW. */
void DispatcherLateStart_OnRenewed(Fleet_Host *host,
                                   const lc_renew_res *renewed);

/** Records that the connection of a RUN broke: unless its start was settled,
 * the companion may not know the run yet when it answers the next RENEW. */
void DispatcherLateStart_OnConnectionLost(const Dispatcher *self,
                                          Active_Task *task);

/** Binds a task, and later submissions of its job, to a companion that fell
 * silent, if its upstream may still execute the task's last start. To be
 * called when the run is certainly over. */
void DispatcherLateStart_OnSilent(Dispatcher *self, int64_t now_ms,
                                  const Active_Job *job, Active_Task *task,
                                  const Fleet_Host *host);

/** Applies a companion's list, also to open jobs. */
void DispatcherLateStart_OnReport(Dispatcher *self, int64_t now_ms,
                                  const lc_report_args *report);

/** Ends a job if one of its waiting tasks is bound to a companion whose
 * upstream takes no tasks, so that it can be started nowhere; returns whether
 * it did. May free the job. */
bool DispatcherLateStart_EndIfUnstartable(Dispatcher *self, int64_t now_ms,
                                          Active_Job *job);

/* Closed halls: dispatcher_halls.c. */

/** Updates whether a companion's hall is closed. */
void DispatcherHalls_UpdateClosed(const Dispatcher *self, Fleet_Host *host);

/** Whether a step of a job for @p service could run in closed halls only. */
bool DispatcherHalls_AllClosedFor(const Dispatcher *self, int64_t now_ms,
                                  const LeasedJob *job, const char *service);

/** Returns a companion's state as JSON for operators; the caller owns it. */
json_t *DispatcherHosts_Dump(const Fleet_Host *host, int64_t now_ms);

#endif

/**
 * @file runner_state.h
 * @brief Internal state of a runner and the functions that its source files
 * share: tasks, orders about them, owners (entries with a lease), the
 * upstream, and polls of it.
 *
 * To be included by lease/runner*.c only.
 */
#ifndef LC_LEASE_RUNNER_STATE_H
#define LC_LEASE_RUNNER_STATE_H

#include <glib.h>

#include "base/handle_table.h"
#include "base/histogram.h"
#include "lease/dead_incarnations.h"
#include "lease/hall_closures.h"
#include "lease/health.h"
#include "lease/rto_estimator.h"
#include "lease/run_status.h"
#include "lease/runner.h"

typedef enum {
    TASK_ORDERED,  /* the start was sent, but is not confirmed */
    TASK_RUNNING,  /* the upstream has confirmed the start */
    TASK_STOPPING, /* being stopped; ends with `status`, which never tells that
                      the run was not started */
    TASK_ENDED
} Runner_TaskState;

typedef struct {
    lc_run_id id;
    lc_node owner;
    lc_resources need;
    char *spec;
    uint32_t estimate_ms;
    uint32_t crashes;     /* earlier upstream crashes while it ran */
    uint32_t incarnation; /* of the upstream that the start was sent to */
    char *instance;       /* instance name of that incarnation */
    Runner_TaskState state;
    lc_run_status status; /* valid while stopping and when ended */
    Handle handle;
    GArray *pending_replies; /* uint64_t, see REPLY_IS_HALT */
    int64_t ordered_ms;
    int64_t confirmed_ms; /* when it was known to have started or to have been
                             refused; 0 before */
    int64_t deadline_clock_ms; /* of the start, on the upstream's clock */
    int64_t send_by_ms;    /* no copy is sent later; on this process's clock */
    uint32_t start_copies; /* copies of the start sent */
    uint32_t refused_copies;  /* copies refused or never sent */
    uint32_t answered_copies; /* copies answered, or never delivered */
    bool start_accepted;      /* the upstream accepted a copy */
    bool executed; /* the upstream listed an end other than by a stop, which
                      may have come before the start */
    int64_t start_sent_ms; /* when the last copy was sent */
    uint32_t stop_copies;  /* copies of the stop sent */
    int64_t order_ms;      /* when the last start or stop was sent */
    bool stop_confirmed;
    int64_t stop_confirmed_ms;
    int64_t ended_ms;
    int64_t answered_ms; /* when a RUN or HALT was last answered from it, once
                            ended; 0: never */
    uint64_t end_number; /* as listed by the upstream; 0 if not listed */
    bool unreleased;     /* end of a durable job's run, not released yet */
    bool held_for_start; /* a late copy of its start may still arrive */
    int64_t unwanted_ms; /* when its lease ended or it was halted, so that its
                            owner's caller may submit the job elsewhere some
                            time after; 0 before */
    bool over; /* it runs no longer; how it ended is not listed yet */
    bool outlived_lease;          /* logged by RunnerAudit_CheckLease */
    int64_t earlier_expiry_ms;    /* of the starts of the task's other runs */
    int64_t late_listed_until_ms; /* in the list of late starts until then; 0:
                                     it is not */
    int64_t progress_ms; /* when the percentage last rose; 0 before any report
                          */
    uint32_t percent;
    uint32_t ran_ms;
    bool lasted;    /* a long-running task that was at work for
                       HEALTH_TRIAL_TASK_MS */
    bool suspended; /* the machine was meanwhile: its times tell no pace */
} Runner_Task;

typedef struct {
    lc_node node;
    int64_t until_ms;
    uint32_t running;
    bool runs_stopped; /* since its lease has ended */
} Runner_Owner;

/* An owner of durable jobs that another entry has claimed. */
typedef struct {
    lc_node owner;
    int64_t fenced_ms;
} Runner_FencedOwner;

/* State of the upstream of this companion, as far as known. */
typedef struct {
    bool known; /* a heartbeat of the current incarnation was accepted */
    bool draining;
    bool left;        /* has announced its end, but may still execute runs */
    bool inventoried; /* no run of an earlier companion process is left */
    char *instance;
    int64_t born_ms;        /* 0 until the upstream reports its start time */
    uint32_t incarnation;   /* incremented when another becomes current */
    bool earlier_drained;   /* the previous incarnation was draining at its end
                             */
    uint64_t sequence;      /* of the last accepted heartbeat */
    int64_t beat_clock_ms;  /* its clock in that heartbeat; 0: not reported */
    uint64_t late_sequence; /* of the last heartbeat ignored as late since */
    bool answered;          /* the current incarnation has answered a poll */
    int64_t answer_clock_ms; /* its clock in an answer; 0: not known */
    int64_t answer_sent_ms;  /* when that poll was sent */
    char *service;
    char **labels;
    lc_resources capacity;
    int64_t heard_ms;
    int64_t clock_ms; /* lower bound of its clock at clock_read_ms */
    int64_t clock_read_ms;
    uint64_t last_seen;    /* highest number of a listed end */
    uint64_t acknowledged; /* highest last_seen of an answered poll */
    bool doubtful;         /* suspected: answers nothing, or not reliably from
                              the current incarnation */
    bool refused;          /* suspected because no connection can be opened */
} Runner_UpstreamInfo;

/* A heartbeat of an incarnation other than the current one. The upstream's
 * answer to a poll that names the current one decides which is alive. */
typedef struct {
    bool pending;
    uint64_t after_poll; /* only answers to later polls decide */
    char *instance;
    char *service;
    char **labels;
    Runner_Heartbeat heartbeat; /* points to the strings above */
} Runner_Candidate;

/* One copy of a start or stop whose result is awaited. */
typedef struct {
    Handle task;
    int64_t sent_ms;
    int64_t due_ms; /* when its answer is overdue; INT64_MAX after that */
} Runner_Order;

/* Orders to the upstream and what became of them, for metrics. */
typedef enum {
    RUNNER_ORDER_START,
    RUNNER_ORDER_STOP,
    RUNNER_ORDER_POLL,
    RUNNER_ORDER_KINDS
} Runner_OrderKind;

typedef enum {
    RUNNER_OUTCOME_ANSWERED,
    RUNNER_OUTCOME_UNANSWERED,
    RUNNER_OUTCOME_NOT_SENT,
    RUNNER_OUTCOMES
} Runner_OrderOutcome;

/* A poll whose answer is awaited. */
typedef struct {
    uint64_t id;
    int64_t sent_ms;
    int64_t due_ms; /* as in Runner_Order */
    uint64_t last_seen;
    int64_t hold_until_ms; /* to which it extends the hold; 0: it does not */
    bool waits; /* the upstream may delay the answer until a run ends */
} Runner_PendingPoll;

/* Maximum number of polls in flight. All but the last are overdue; a late
 * answer still lists ends. More than fit into the time that a request is kept
 * open while the timeout is at its maximum. */
#define RUNNER_MAX_PENDING_POLLS 4

struct Runner {
    Runner_Config config;
    const Runner_Ports *ports;
    void *context;
    Counters counters;
    Histogram start_latency; /* first copy of a start to each answer, in ms */
    Histogram run_times;     /* run times of successful tasks */
    uint64_t refusals[RUN_STATUS_COUNT]; /* refused runs by status */
    uint64_t order_outcomes[RUNNER_ORDER_KINDS][RUNNER_OUTCOMES];
    Health health;
    Runner_UpstreamInfo upstream;
    Runner_Candidate candidate;
    DeadIncarnations dead_incarnations;
    HallClosures closures;
    lc_resources used;
    GHashTable *tasks; /* lc_run_id -> Runner_Task */
    Handle_Table *by_handle;
    GArray *owners;
    int64_t token;
    Handle_Table *orders; /* Runner_Order */
    RtoEstimator rto;
    uint32_t consecutive_misses; /* orders and polls without a timely answer */
    int64_t first_miss_sent_ms;  /* when the first of these was sent */
    Runner_PendingPoll polls[RUNNER_MAX_PENDING_POLLS]; /* oldest first */
    uint32_t poll_count;
    uint64_t last_poll_id;
    int64_t next_poll_ms;    /* earliest time of the next poll */
    int64_t hold_until_ms;   /* by then the upstream's hold has expired, and it
                                stops all runs */
    int64_t sent_hold_ms;    /* the same without the pending polls, which may
                                turn out not to have been sent */
    int64_t written_hold_ms; /* the same by starts and by polls known to have
                                been written */
    uint32_t active_tasks;   /* tasks that have not ended */
    int64_t unknown_since_ms; /* when a run that no active task stands for was
                                 first listed, as it still is; 0: none is */
    uint32_t unwanted_tasks;  /* of these, the ones with `unwanted_ms` */
    bool hold_limited;     /* the hold has not been extended because of them */
    int64_t idle_ms;       /* when the last task ended */
    uint32_t unreleased;   /* ends not released */
    bool logged_list_full; /* state of the last log line on the list of ends */
    uint32_t held_long;    /* of these, the ones held for long at the last
                              tick */
    uint32_t held_for_starts; /* ends held because of late copies of starts */
    int64_t created_ms;
    GHashTable *fenced; /* lc_node -> Runner_FencedOwner */
    bool draining;
    uint64_t version;
    lc_label label_row[LC_MAX_LABELS];
    uint32_t late_starts_version; /* of the list of late starts */
    int64_t late_starts_until_ms; /* by then all that was ever listed has
                                     expired */
    GArray *late_starts; /* lc_late_start, the list in the last report */
};

/* Tasks: runner_tasks.c. Runner.tasks owns its tasks. */

/** Creates a task in state TASK_ORDERED, before its start is sent. */
Runner_Task *RunnerTask_Add(Runner *runner, int64_t now_ms,
                            const lc_run_args *args);

/** Frees a task; destroy function of Runner.tasks. */
void RunnerTask_Free(gpointer item);

/** Removes an ended task from all tables and frees it. */
void RunnerTask_Remove(Runner *runner, Runner_Task *row);

/** Queues the reply to a RUN or HALT until the task has ended. */
void RunnerTask_QueueReply(Runner_Task *row, uint64_t reply_id, Msg_Kind kind);

/** Sends all queued replies of an ended task. */
void RunnerTask_Answer(Runner *runner, int64_t now_ms, Runner_Task *row);

/** Replies to one RUN. */
void RunnerTask_ReplyRun(Runner *runner, int64_t now_ms, uint64_t reply_id,
                         const lc_run_res *result);

/** Replies to one HALT. */
void RunnerTask_ReplyHalt(Runner *runner, int64_t now_ms, uint64_t reply_id,
                          lc_run_status status);

/** Ends a task that neither runs nor can start any more: frees its resources
 * and sends the queued replies. */
void RunnerTask_End(Runner *runner, int64_t now_ms, Runner_Task *row,
                    lc_run_status status);

/** Whether the task is blamed if its upstream crashes now. */
bool RunnerTask_IsBlamedForCrash(const Runner_Task *row, int64_t now_ms);

/** Ends a task whose upstream is gone or was restarted, so that the task
 * neither runs nor can start any more. @p crashed: the upstream terminated
 * without announcing it. */
void RunnerTask_EndLost(Runner *runner, int64_t now_ms, Runner_Task *row,
                        bool crashed);

/** Calls RunnerTask_EndLost for all tasks. */
void RunnerTask_EndAllLost(Runner *runner, int64_t now_ms, bool crashed);

/** Whether the start was sent to an earlier incarnation of the upstream. */
bool RunnerTask_IsOfEarlierIncarnation(const Runner *runner,
                                       const Runner_Task *row);

/** Records that a run must end soon, whatever becomes of its stop: it limits
 * the hold of its upstream, see RunnerOwner_HoldLimitMs. @p since_ms: when its
 * lease ended or it was halted. */
void RunnerTask_MarkUnwanted(Runner *runner, Runner_Task *row,
                             int64_t since_ms);

/** Records that the upstream does not execute a run any more, which ends once
 * its result is listed. */
void RunnerTask_MarkOver(Runner *runner, Runner_Task *row);

/** Stops the tasks whose leases have ended. */
void RunnerTask_StopExpired(Runner *runner, int64_t now_ms);

/** Begins to stop a task; it will end with @p status, unless the upstream
 * lists it as done, or has refused every copy of its start. Other copies than
 * the refused ones may have been executed, so @p status must not be that of a
 * run that was not started. */
void RunnerTask_Stop(Runner *runner, int64_t now_ms, Runner_Task *row,
                     lc_run_status status);

/** All tasks, in a list that stays valid while they end; the caller frees the
 * list only. */
GList *RunnerTask_All(const Runner *runner);

/** Logs an event about a run. */
void RunnerTask_Log(const Runner *runner, Event_Id id, const Runner_Task *row,
                    const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Orders: runner_orders.c. */

/** Sends the start of a task. Its deadline on the upstream is at
 * @p lease_until_ms at the latest, and within RunnerOwner_HoldLimitMs, as it
 * extends the hold. No copy is sent after the deadline: an incarnation that
 * has restarted under the same name would execute it, as the deadline means
 * nothing on its clock. */
void RunnerOrder_Start(Runner *runner, int64_t now_ms, Runner_Task *row,
                       int64_t lease_until_ms);

/** Sends the stop of a task. */
void RunnerOrder_Stop(Runner *runner, int64_t now_ms, Runner_Task *row);

/** Sends the pending start or stop of a task again if its answer is overdue.
 */
void RunnerOrder_Retry(Runner *runner, int64_t now_ms, Runner_Task *row);

/** Records an answer of the upstream; @p in_time: before it was overdue. */
void RunnerOrder_RecordAnswer(Runner *runner, bool in_time);

/** Records that the answer to a request sent at @p sent_ms is overdue. */
void RunnerOrder_RecordMiss(Runner *runner, int64_t now_ms, int64_t sent_ms);

/** Records a miss for every order whose answer has become overdue, and
 * retries. */
void RunnerOrder_CheckOverdue(Runner *runner, int64_t now_ms);

/** Time at which the next answer to an order becomes overdue, or INT64_MAX. */
int64_t RunnerOrder_DueMs(const Runner *runner);

/* Logs and metrics about orders and leases: runner_audit.c. */

/** Text of an order's result for logs. */
const char *RunnerAudit_ResultText(Runner_OrderResult result);

/** Counts the result of an order. */
void RunnerAudit_CountOrder(Runner *runner, Runner_OrderKind kind,
                            Runner_OrderResult result);

/** Logs, once, a run that the upstream lists after the time by which it must
 * have ended, counted from the end of its lease or its HALT. @p polled_ms:
 * when the poll was sent; its answer may have been read much later. */
void RunnerAudit_CheckLease(Runner *runner, int64_t now_ms, int64_t polled_ms,
                            Runner_Task *row);

/** Logs, once, that the hold is not extended any more because of runs whose
 * stops are unanswered. */
void RunnerAudit_CheckHoldLimit(Runner *runner, int64_t now_ms);

/** Logs the same for a run that has ended with the hold. */
void RunnerAudit_OnHoldExpired(Runner *runner, const Runner_Task *row);

/** Logs a listed run that no active task stands for. @p row is its ended task,
 * or NULL. */
void RunnerAudit_OnUnknownRun(Runner *runner, int64_t now_ms,
                              const lc_run_id *id, const Runner_Task *row);

/** Appends the counts of orders. */
void RunnerAudit_Metrics(const Runner *runner, GString *out);

/* Owners: runner_owners.c. */

/** The owner record of an entry, or NULL. */
Runner_Owner *RunnerOwner_Find(const Runner *runner, const lc_node *node);

/** Extends the lease of an entry; never shortens it. Runs whose lease has
 * ended before are stopped, not kept by the new one. */
Runner_Owner *RunnerOwner_Extend(Runner *runner, int64_t now_ms,
                                 const lc_node *node, int64_t until_ms);

/** Marks the owners with active tasks whose leases have ended since the last
 * call; returns false if there are none. */
bool RunnerOwner_TakeExpired(Runner *runner, int64_t now_ms);

/** Longest hold in ms from now that keeps no run beyond the time by which it
 * must be over. A hold keeps all runs at the upstream, and a stop may remain
 * unanswered: a run whose lease has ended, or that was halted, must not be
 * kept by the leases of others for longer than the hold that it had itself.
 * The same holds for a listed run that no task stands for.
 * 0 or less: the hold must not be extended. */
int64_t RunnerOwner_HoldLimitMs(const Runner *runner, int64_t now_ms);

/** Longest hold in ms from now: does not exceed the longest lease of an owner
 * with active tasks, nor RunnerOwner_HoldLimitMs. */
int64_t RunnerOwner_MaxHoldMs(const Runner *runner, int64_t now_ms);

/** Removes owners without active tasks whose leases have expired. */
void RunnerOwner_RemoveExpired(Runner *runner, int64_t now_ms);

/* Durable jobs: runner_durable.c. */

/** Whether an owner of durable jobs was claimed and is fenced. */
bool RunnerDurable_IsFenced(const Runner *runner, const lc_node *owner);

/** Holds the end of a durable job's run until it is released. @p row is NULL
 * for a run that only the upstream knows, which has no owner. */
void RunnerDurable_HoldEnd(Runner *runner, int64_t now_ms, Runner_Task *row,
                           const Runner_EndedRun *ended);

/** Releases a held end. */
void RunnerDurable_Release(Runner *runner, Runner_Task *row);

/** Whether an end has been held for longer than an owner usually needs to
 * store it. */
bool RunnerDurable_IsHeldLong(const Runner_Task *row, int64_t now_ms);

/** Releases all ends, because the upstream incarnation that listed them is
 * gone. */
void RunnerDurable_ReleaseAll(Runner *runner);

/** Highest end number that may be acknowledged. */
uint64_t RunnerDurable_LastSeen(const Runner *runner);

/** Stops holding back the acknowledgement of an end because of its start once
 * no late copy can be executed, or when too many newer ends are listed. */
void RunnerDurable_CheckStartHold(Runner *runner, int64_t now_ms,
                                  Runner_Task *row);

/** Number of ends that the upstream lists, as they are not acknowledged. */
uint64_t RunnerDurable_ListedEnds(const Runner *runner);

/** Whether the end of another run might not be listed: then none is started.
 * An end that is not listed keeps its run's resources in use, and its caller
 * without an answer. */
bool RunnerDurable_IsListFull(const Runner *runner);

/** Logs when the list has become full, or has room again. */
void RunnerDurable_LogListFull(Runner *runner);

/** Whether the record of an ended run may be removed. */
bool RunnerDurable_IsDisposable(const Runner *runner, const Runner_Task *row,
                                int64_t now_ms);

/** Handles a RELEASE call. */
void RunnerDurable_OnRelease(Runner *runner, int64_t now_ms, uint64_t reply_id,
                             const lc_release_args *args);

/** Handles a FENCE call. */
void RunnerDurable_OnFence(Runner *runner, int64_t now_ms, uint64_t reply_id,
                           const lc_fence_args *args);

/* Starts that may be executed late: runner_late_starts.c. An upstream that
 * restarts under its name knows neither the runs nor the token of its previous
 * incarnation, and executes every copy of a start that arrives afterwards. */

/** Time from which no unanswered copy of a run's start can be executed any
 * more, or 0 if no copy is outstanding. */
int64_t RunnerLateStart_ExpiryMs(const Runner *runner, const Runner_Task *row);

/** Latest such time of a task's runs other than @p except, which may be NULL.
 */
int64_t RunnerLateStart_TaskExpiryMs(const Runner *runner, const lc_run_id *id,
                                     const Runner_Task *except);

/** How long, in ms from now, a copy of a run's start may be executed; 0 if
 * none is outstanding. */
uint32_t RunnerLateStart_RunMs(const Runner *runner, int64_t now_ms,
                               const Runner_Task *row);

/** How long, in ms from now, a start of any run of a task may be executed by
 * an incarnation other than the one it was sent to; 0 if no copy is
 * outstanding or, for a leased job, if each incarnation has a name of its own.
 */
uint32_t RunnerLateStart_TaskMs(const Runner *runner, int64_t now_ms,
                                const lc_run_id *id);

/** Assumes that the previous process of this companion has sent copies of a
 * run's start until it ended. */
void RunnerLateStart_AssumeCopies(const Runner *runner, Runner_Task *row,
                                  uint32_t copies);

/** Updates the list of leased runs whose tasks may be started again by any
 * entry while their starts may be executed here. */
void RunnerLateStart_Update(Runner *runner, int64_t now_ms);

/** Adds to the answer to a RENEW which starts of the owner's address are
 * unsettled, in @p rows, an empty array of lc_run_id. */
void RunnerLateStart_FillRenewed(const Runner *runner, int64_t now_ms,
                                 const lc_node *owner, GArray *rows,
                                 lc_renew_res *renewed);

/** Adds that list to a report; it is borrowed until the next call. */
void RunnerLateStart_FillReport(const Runner *runner, int64_t now_ms,
                                lc_report_args *report);

/* The upstream: runner_upstream.c. */

/** Lower bound of the upstream's clock now, in ms. */
int64_t RunnerUpstream_Clock(const Runner *runner, int64_t now_ms);

/** Records a reading of the upstream's clock; 0 means not reported. */
void RunnerUpstream_RecordClock(Runner *runner, int64_t now_ms,
                                int64_t clock_ms);

/** Records the clock in the answer to a poll that was sent at @p sent_ms. It
 * goes before what heartbeats told, as nobody else answers polls. */
void RunnerUpstream_RecordAnswer(Runner *runner, int64_t now_ms,
                                 int64_t sent_ms, int64_t clock_ms);

/** The machine was suspended: the upstream's clock may have gone on or not. */
void RunnerUpstream_OnSuspended(Runner *runner, int64_t now_ms,
                                int64_t suspended_ms);

/** Marks the upstream as suspected: until it answers a poll, it is sent only
 * polls. */
void RunnerUpstream_Suspect(Runner *runner, const char *reason);

/** Ends the suspicion, as the upstream has answered a poll. */
void RunnerUpstream_Trust(Runner *runner);

/** Records that no connection to the upstream can be opened. */
void RunnerUpstream_RecordRefused(Runner *runner);

/** Suspects the upstream if the answer to a request sent at @p sent_ms shows
 * that its clock has gone back: another incarnation may have answered. */
void RunnerUpstream_CheckClock(Runner *runner, int64_t now_ms, int64_t sent_ms,
                               int64_t clock_ms);

/** Handles the start time reported in an answer. Returns true if it belongs to
 * a new incarnation; the rest of the answer must be discarded then. */
bool RunnerUpstream_CheckStartTime(Runner *runner, int64_t now_ms,
                                   int64_t born_ms);

/** Handles an answer from an incarnation other than the known one. */
void RunnerUpstream_OnOtherIncarnation(Runner *runner, int64_t now_ms);

/** The current incarnation has answered a poll: discards the pending candidate
 * if the poll was sent after its heartbeat. */
void RunnerUpstream_Confirm(Runner *runner, uint64_t poll_id);

/** Whether another incarnation under the same name is heard and not confirmed
 * yet: it would execute the orders for the current one. */
bool RunnerUpstream_MayHaveRestarted(const Runner *runner);

/** Frees the state of the upstream. */
void RunnerUpstream_Clear(Runner *runner);

/** Forgets an upstream that has announced its end once it has no runs left. */
void RunnerUpstream_CheckLeft(Runner *runner, int64_t now_ms);

/** Raises the fencing token after the upstream has seen a higher one. */
void RunnerUpstream_RaiseToken(Runner *runner);

/** Logs an event about the upstream. */
void RunnerUpstream_Log(const Runner *runner, Event_Id id, const char *reason);

/* Polls: runner_poll.c. */

/** Polls the upstream if there is reason to, and all pending polls are
 * overdue. */
void RunnerPoll_Send(Runner *runner, int64_t now_ms);

/** Records a miss for every poll whose answer has become overdue, and polls
 * again. */
void RunnerPoll_CheckOverdue(Runner *runner, int64_t now_ms);

/** Time at which the next answer to a poll becomes overdue, or INT64_MAX. */
int64_t RunnerPoll_DueMs(const Runner *runner);

/** Forgets all pending polls, which may have been sent. */
void RunnerPoll_DropAll(Runner *runner);

/** Records that no hold is in force. */
void RunnerPoll_ClearHold(Runner *runner);

/** Records that the hold may last @p ms longer. */
void RunnerPoll_ShiftHold(Runner *runner, int64_t ms);

/** Records that the upstream may go on for @p ahead_ms from now without
 * another hold. */
void RunnerPoll_RecordHold(Runner *runner, int64_t now_ms, int64_t ahead_ms);

#endif

/**
 * @file runner_state.h
 * @brief State of a runner, shared by the files that make it up: tasks,
 * orders about them, owners (entries with a lease), the upstream, and looks
 * at it.
 *
 * For lease/runner*.c alone.
 */
#ifndef LC_LEASE_RUNNER_STATE_H
#define LC_LEASE_RUNNER_STATE_H

#include <glib.h>

#include "base/handle.h"
#include "base/histogram.h"
#include "lease/answer_time.h"
#include "lease/closures.h"
#include "lease/health.h"
#include "lease/incarnations.h"
#include "lease/run_status.h"
#include "lease/runner.h"

typedef enum {
    TASK_ORDERED,  /* the start is on its way */
    TASK_RUNNING,  /* the upstream has it */
    TASK_STOPPING, /* it is to end as `status` */
    TASK_ENDED
} Runner_TaskState;

typedef struct {
    lc_run_id id;
    lc_node owner;
    lc_resources need;
    char *spec;
    uint32_t estimate_ms;
    uint32_t crashes; /* upstreams that crashed under the task before */
    uint32_t life;    /* of the upstream that it was ordered from */
    Runner_TaskState state;
    lc_run_status status; /* while stopping, and at the end */
    Handle handle;
    GArray *waiting; /* uint64_t ids of replies owed */
    int64_t ordered_ms;
    int64_t confirmed_ms; /* it ran or was refused for certain; 0 before */
    int64_t deadline_clock_ms; /* of the start, on the upstream's clock */
    uint32_t start_copies;     /* of the start, as sent */
    uint32_t refused_copies;   /* of them those certainly not carried out */
    uint32_t answered_copies;  /* of them those answered or not sent */
    bool start_taken;          /* a copy was answered as taken */
    int64_t start_sent_ms;     /* when the last copy was sent */
    uint32_t stop_copies;      /* of the stop, as sent */
    int64_t order_ms;          /* when the last copy of either was sent */
    bool stop_confirmed;
    int64_t stop_confirmed_ms;
    int64_t ended_ms;
    uint64_t end_number; /* as the upstream listed it; 0 if it has not */
    bool unreleased;     /* a kept job's end that is not written down yet */
    bool held_for_start; /* a late copy of its start may still arrive */
    int64_t earlier_expiry_ms; /* of starts of the task's other runs */
    int64_t progress_ms; /* when the percentage last rose; 0 if not told */
    uint32_t percent;
    uint32_t ran_ms;
} Runner_Task;

typedef struct {
    lc_node node;
    int64_t until_ms;
    uint32_t running;
} Runner_Owner;

/* What is known of the upstream beside this companion. */
typedef struct {
    bool known; /* it has spoken */
    bool draining;
    bool inventoried; /* nothing of an earlier companion runs there */
    char *instance;
    int64_t born_ms;   /* 0 while it told no start */
    uint32_t life;     /* rises whenever another life is in force */
    bool drained;      /* the life before took no more tasks at its end */
    uint64_t sequence; /* of its last heartbeat in order */
    char *service;
    char **labels;
    lc_resources capacity;
    int64_t heard_ms;
    int64_t clock_ms; /* its clock at least, when read */
    int64_t clock_read_ms;
    uint64_t last_seen;
    uint64_t acknowledged; /* the last_seen of the last answered look */
    bool doubtful;         /* it answers nothing */
    bool refused;          /* and nothing listens at its address */
} Runner_Known;

/* A heartbeat of another incarnation than the one in force. The upstream's
 * answer to a look that names the latter decides which of them lives. */
typedef struct {
    bool pending;
    uint64_t after_look; /* answers to looks behind this one decide */
    char *instance;
    char *service;
    char **labels;
    Runner_Upstream said; /* points to the texts above */
} Runner_Successor;

/* One copy of an order on its way to the upstream. */
typedef struct {
    Handle task;
    int64_t sent_ms;
    int64_t due_ms; /* its answer is missing then; INT64_MAX once it was */
} Runner_Order;

/* A look on its way. */
typedef struct {
    uint64_t id;
    int64_t sent_ms;
    int64_t due_ms; /* likewise */
    uint64_t last_seen;
    bool waits; /* its answer may wait for an end */
} Runner_OpenLook;

/* Looks that may be on their way at once: all but the last are overdue, and
 * an answer that comes late still tells of ends. Chosen: more than fit into
 * the time that a request is kept open while the timeout is at its most. */
#define RUNNER_LOOKS_MOST 4

struct Runner {
    Runner_Config config;
    const Runner_Ports *ports;
    void *context;
    Counters counters;
    Histogram orders_time;               /* from a start to its answer */
    Histogram runs;                      /* of tasks that ended well */
    uint64_t refusals[RUN_STATUS_COUNT]; /* by status */
    Health health;
    Runner_Known up;
    Runner_Successor successor;
    Incarnations gone;
    Closures closures;
    lc_resources used;
    GHashTable *tasks; /* lc_run_id -> Runner_Task */
    Handle_Table *by_handle;
    GArray *owners;
    int64_t token;
    Handle_Table *orders; /* Runner_Order */
    AnswerTime answers;
    uint32_t missed_in_row;  /* orders and looks without an answer */
    int64_t missed_since_ms; /* when the first of them was sent */
    Runner_OpenLook looks[RUNNER_LOOKS_MOST]; /* the oldest first */
    uint32_t look_count;
    uint64_t last_look_id;
    int64_t look_again_ms; /* not before */
    int64_t hold_until_ms; /* the upstream lets all go by then */
    uint32_t live;         /* tasks that have not ended */
    int64_t idle_ms;       /* when the last of them ended */
    uint32_t unreleased;   /* ends that are not to be taken note of yet */
    uint32_t held_long;    /* of them those held for long, at the last tick */
    uint32_t held_for_starts; /* ends held for late copies of starts */
    int64_t created_ms;
    GArray *fenced; /* lc_node, owners of kept jobs that are gone */
    bool draining;
    uint64_t version;
    lc_label label_row[LC_MAX_LABELS];
};

/* Tasks: runner_tasks.c. A task belongs to the table that lists it. */

/** Adds a task that is to be started, at the time of its order. */
Runner_Task *RunnerTask_Add(Runner *runner, int64_t now_ms,
                            const lc_run_args *args);

/** Frees a task that no table lists. */
void RunnerTask_Free(gpointer item);

/** Drops an ended task from all tables. */
void RunnerTask_Forget(Runner *runner, Runner_Task *row);

/** Notes that a RUN or HALT is to be answered when the task has ended. */
void RunnerTask_Owe(Runner_Task *row, uint64_t reply_id, Msg_Kind kind);

/** Answers all that is owed for an ended task. */
void RunnerTask_Answer(Runner *runner, int64_t now_ms, Runner_Task *row);

/** Answers one RUN. */
void RunnerTask_ReplyRun(Runner *runner, int64_t now_ms, uint64_t reply_id,
                         lc_run_status status, uint32_t ran_ms);

/** Answers one HALT. */
void RunnerTask_ReplyHalt(Runner *runner, int64_t now_ms, uint64_t reply_id,
                          lc_run_status status);

/** The task neither runs nor can begin: frees its room, answers. */
void RunnerTask_End(Runner *runner, int64_t now_ms, Runner_Task *row,
                    lc_run_status status);

/** The upstream that had a task is gone, or has begun another life, and the
 * task neither runs nor can begin. @p crashed: it went without a word. */
void RunnerTask_Lose(Runner *runner, int64_t now_ms, Runner_Task *row,
                     bool crashed);

/** Loses all tasks. */
void RunnerTask_LoseAll(Runner *runner, int64_t now_ms, bool crashed);

/** Whether a task was ordered from an earlier life of the upstream. */
bool RunnerTask_IsOfEarlierLife(const Runner *runner, const Runner_Task *row);

/** Begins to stop a task, which is to end as @p status. */
void RunnerTask_Stop(Runner *runner, int64_t now_ms, Runner_Task *row,
                     lc_run_status status);

/** All tasks, in a list that may be walked while they end; free it. */
GList *RunnerTask_All(const Runner *runner);

/** Writes a line about a run. */
void RunnerTask_Log(const Runner *runner, Event_Id id, const Runner_Task *row,
                    const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Orders: runner_orders.c. */

/** Orders the start, held until @p lease_until_ms at most. */
void RunnerOrder_Start(Runner *runner, int64_t now_ms, Runner_Task *row,
                       int64_t lease_until_ms);

/** Orders the stop. */
void RunnerOrder_Stop(Runner *runner, int64_t now_ms, Runner_Task *row);

/** Sends the order that a task waits for again if its answer is missing. */
void RunnerOrder_Retry(Runner *runner, int64_t now_ms, Runner_Task *row);

/** The upstream answered; @p in_time: before the answer counted as missing. */
void RunnerOrder_NoteAnswer(Runner *runner, bool in_time);

/** The answer to something that was sent at @p sent_ms is missing. */
void RunnerOrder_NoteMiss(Runner *runner, int64_t now_ms, int64_t sent_ms);

/** Takes every order whose answer is overdue as unanswered so far. */
void RunnerOrder_Wake(Runner *runner, int64_t now_ms);

/** When the next answer to an order is overdue, or INT64_MAX. */
int64_t RunnerOrder_DueMs(const Runner *runner);

/* Owners: runner_owners.c. */

/** Row of an entry, or NULL. */
Runner_Owner *RunnerOwner_Find(const Runner *runner, const lc_node *node);

/** Lengthens the lease of an entry, never shortens it. */
Runner_Owner *RunnerOwner_Extend(Runner *runner, const lc_node *node,
                                 int64_t until_ms);

/** How far a hold may reach from now: never past the longest lease of an
 * owner with work there. */
int64_t RunnerOwner_HoldAhead(const Runner *runner, int64_t now_ms);

/** Drops owners without work whose leases are over. */
void RunnerOwner_Forget(Runner *runner, int64_t now_ms);

/* Kept jobs: runner_kept.c. */

/** Whether an owner of kept jobs is gone. */
bool RunnerKept_IsFenced(const Runner *runner, const lc_node *owner);

/** Holds the end of a kept job's run until it is released; one that is not
 * known here was found at the upstream, and nobody owns it. */
void RunnerKept_HoldEnd(Runner *runner, int64_t now_ms, Runner_Task *row,
                        const Runner_EndRow *ended);

/** Lets go of an end. */
void RunnerKept_LetGo(Runner *runner, Runner_Task *row);

/** Whether an end is held for longer than it takes to write it down. */
bool RunnerKept_IsHeldLong(const Runner_Task *row, int64_t now_ms);

/** Lets go of all ends: the upstream that listed them is gone. */
void RunnerKept_LetGoAll(Runner *runner);

/** Ends up to this number may be taken note of. */
uint64_t RunnerKept_LastSeen(const Runner *runner);

/** Stops holding an end once no late copy of its start can be executed, or
 * when too many newer ends are listed. */
void RunnerKept_CheckStartHold(Runner *runner, int64_t now_ms,
                               Runner_Task *row);

/** Whether an ended run is not needed any more. */
bool RunnerKept_IsForgotten(const Runner *runner, const Runner_Task *row,
                            int64_t now_ms);

/** Answers a RELEASE. */
void RunnerKept_OnRelease(Runner *runner, int64_t now_ms, uint64_t reply_id,
                          const lc_release_args *args);

/** Answers a FENCE. */
void RunnerKept_OnFence(Runner *runner, int64_t now_ms, uint64_t reply_id,
                        const lc_fence_args *args);

/* The upstream: runner_upstream.c. */

/** The upstream's clock shows at least this now. */
int64_t RunnerUpstream_Clock(const Runner *runner, int64_t now_ms);

/** Takes a reading of its clock; 0 is none. */
void RunnerUpstream_TakeClock(Runner *runner, int64_t now_ms,
                              int64_t clock_ms);

/** It answers nothing: it is sent nothing but looks until it does. */
void RunnerUpstream_Doubt(Runner *runner, const char *reason);

/** No connection to it can be opened. */
void RunnerUpstream_Refused(Runner *runner);

/** The answer to something that was sent at @p sent_ms shows a clock that has
 * gone back: another life may have answered. */
void RunnerUpstream_CheckClock(Runner *runner, int64_t now_ms, int64_t sent_ms,
                               int64_t clock_ms);

/** The upstream has told in an answer when it started. True if that begins
 * another life, and the rest of the answer is of no use. */
bool RunnerUpstream_MeetLife(Runner *runner, int64_t now_ms, int64_t born_ms);

/** Another incarnation than the one known has answered. */
void RunnerUpstream_MeetOther(Runner *runner, int64_t now_ms);

/** The incarnation in force has answered a look: no other lives. */
void RunnerUpstream_Confirm(Runner *runner, uint64_t look_id);

/** Frees what is known of the upstream. */
void RunnerUpstream_Clear(Runner *runner);

/** The upstream has seen a higher token than ours. */
void RunnerUpstream_RaiseToken(Runner *runner);

/** Writes a line about the upstream. */
void RunnerUpstream_Log(const Runner *runner, Event_Id id, const char *reason);

/* Looks: runner_look.c. */

/** Looks at the upstream if there is reason to, and none is on its way. */
void RunnerLook_Send(Runner *runner, int64_t now_ms);

/** Takes a look whose answer is overdue as unanswered so far. */
void RunnerLook_Wake(Runner *runner, int64_t now_ms);

/** When the answer to a look is overdue, or INT64_MAX. */
int64_t RunnerLook_DueMs(const Runner *runner);

/** Notes how long the upstream may go on by itself. */
void RunnerLook_NoteHold(Runner *runner, int64_t now_ms, int64_t ahead_ms);

#endif

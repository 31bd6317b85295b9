/**
 * @file job.h
 * @brief Jobs of an entry and the ledger that holds them by key.
 *
 * A job stays in the ledger for the dedupe window after it ended, so that
 * the same key sent again gets the same answer. Under memory pressure the
 * answers go first, oldest first; the keys stay, and an evicted answer is
 * reported as failed, never run again.
 *
 * Ownership: the ledger owns its jobs, a job owns its tasks' payloads and
 * results. A Job pointer is valid until Ledger_Remove or Ledger_Expire.
 */
#ifndef LC_CORE_JOB_H
#define LC_CORE_JOB_H

#include <glib.h>

#include "base/handle.h"
#include "core/node.h"

/** States of a task; X(NAME, text) */
#define TASK_STATE_LIST(X)                                                    \
    X(WAITING, "waiting")                                                     \
    X(SENT, "sent")                                                           \
    X(DONE, "done")                                                           \
    X(FAILED, "failed")

typedef enum {
#define X(name, text) TASK_##name,
    TASK_STATE_LIST(X)
#undef X
} Task_State;

/** One task of a job. */
typedef struct {
    Task_State state;
    bool followed; /**< started by another entry: never start it here */
    uint8_t *payload;
    uint32_t length;
    uint8_t *result;
    uint32_t result_length;
    uint32_t code;     /**< status code of the upstream's answer */
    lc_node companion; /**< where it was sent; address 0 if nowhere */
    int64_t sent_ms;   /**< monotonic */
    int64_t retry_ms;  /**< monotonic; when to ask that companion again */
    int64_t silent_ms; /**< monotonic; since when its call is lost, or 0 */
} Task;

/** States of a job; X(NAME, text) */
#define JOB_STATE_LIST(X)                                                     \
    X(ACTIVE, "active")       /* queued or running here */                    \
    X(DONE, "done")           /* whole answer kept */                         \
    X(FAILED, "failed")       /* over without an answer */                    \
    X(HELD, "held")           /* another entry runs or ran it */              \
    X(RECOVERED, "recovered") /* tasks known from companions, no payloads */

typedef enum {
#define X(name, text) JOB_##name,
    JOB_STATE_LIST(X)
#undef X
} Job_State;

/** Who waits for an answer. */
typedef struct {
    bool is_peer; /**< a reply to a SUBMIT call, else a caller's request */
    uint64_t id;
} Job_Waiter;

/** One job. */
typedef struct Job {
    Key key;
    Handle handle;
    Job_State state;
    Err_Kind kind;       /**< for JOB_FAILED */
    const char *message; /**< for JOB_FAILED; a literal */
    const char *group;   /**< interned */
    bool repeatable;
    uint32_t total;
    Task *tasks;            /**< NULL once the job ended */
    void *packed;           /**< for JOB_DONE: all results in one piece */
    uint32_t first_waiting; /**< no task before it is waiting */
    uint32_t waiting;
    uint32_t sent;
    uint32_t done;
    lc_node holder;      /**< for JOB_HELD */
    int64_t arrived_ms;  /**< monotonic */
    int64_t progress_ms; /**< monotonic; last task sent or ended */
    int64_t deadline_ms; /**< monotonic; 0 for none */
    int64_t ended_ms;    /**< monotonic */
    size_t kept_bytes;   /**< of results kept for the answer */
    GArray *waiters;     /**< Job_Waiter, or NULL if nobody waits */
    GList *place;        /**< in the ledger's list of ended jobs */
} Job;

/** Text of a job's state. */
const char *Job_StateText(Job_State state);

/** Whether the job has begun: any task sent or ended. */
bool Job_Begun(const Job *job);

/** Next waiting task's index, or -1. */
int64_t Job_NextWaiting(Job *job);

/** Gives a job @p total empty tasks. */
void Job_SetTotal(Job *job, uint32_t total);

/** Copies a payload into a task. */
void Job_SetPayload(Job *job, uint32_t index, const void *data,
                    uint32_t length);

/** Copies a result into a task and marks it done. */
void Job_SetResult(Job *job, uint32_t index, uint32_t code, const void *data,
                   uint32_t length);

/** Adds one who waits. */
void Job_AddWaiter(Job *job, const Job_Waiter *waiter);

/** Fills @p results, one for each task of a JOB_DONE. Borrowed. */
void Job_Results(const Job *job, lc_result *results);

/** Frees all tasks. */
void Job_DropTasks(Job *job);

/** Opaque ledger. */
typedef struct Ledger Ledger;

/** @p max_jobs: keys kept at most; @p max_bytes: of answers kept. */
Ledger *Ledger_New(uint32_t max_jobs, size_t max_bytes);
void Ledger_Free(Ledger *ledger);

Job *Ledger_Find(const Ledger *ledger, const Key *key);
Job *Ledger_Get(const Ledger *ledger, Handle handle);

/** New job in state JOB_ACTIVE, or NULL when the ledger is full. */
Job *Ledger_Add(Ledger *ledger, const Key *key);

void Ledger_Remove(Ledger *ledger, Job *job);

/** Marks the job ended now and evicts answers beyond the budget. */
void Ledger_End(Ledger *ledger, Job *job, int64_t mono_ms);

/** Takes an ended job back to work, out of the list of ended ones. */
void Ledger_Reopen(Ledger *ledger, Job *job);

/** Removes jobs that ended before @p mono_ms. */
void Ledger_Expire(Ledger *ledger, int64_t mono_ms);

uint32_t Ledger_Count(const Ledger *ledger);
size_t Ledger_Bytes(const Ledger *ledger);

/** Iterates over all jobs; the visitor must not remove any. */
void Ledger_Each(const Ledger *ledger, void (*visit)(Job *job, void *context),
                 void *context);

#endif

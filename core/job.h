/**
 * @file job.h
 * @brief Jobs of an entry and the ledger that holds them by key.
 *
 * A job stays in the ledger for the deduplication window after it ended, so
 * that a request with the same key gets the same answer. When the answers
 * exceed their memory budget, the oldest are evicted. The keys stay: a job
 * whose answer was evicted is reported as failed and never run again.
 *
 * Ownership: the ledger owns its jobs, a job owns its tasks' payloads and
 * results. A Job pointer is valid until Ledger_Remove or Ledger_Expire.
 */
#ifndef LC_CORE_JOB_H
#define LC_CORE_JOB_H

#include <glib.h>

#include "base/handle_table.h"
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
    bool adopted; /**< started by another entry: attach, never start */
    uint8_t *payload;
    uint32_t length;
    uint8_t *result;
    uint32_t result_length;
    uint32_t code;        /**< status code of the upstream's answer */
    lc_node companion;    /**< where it was sent; address 0 if it was not */
    int64_t sent_ms;      /**< monotonic */
    int64_t retry_ms;     /**< monotonic; when to send its START again */
    int64_t call_lost_ms; /**< monotonic; when its call was lost, or 0 */
} Task;

/** States of a job; X(NAME, text) */
#define JOB_STATE_LIST(X)                                                     \
    X(ACTIVE, "active")       /* queued or running here */                    \
    X(DONE, "done")           /* all results are kept */                      \
    X(FAILED, "failed")       /* ended without results */                     \
    X(HELD, "held")           /* another entry runs or ran it */              \
    X(RECOVERED, "recovered") /* tasks known from companions, no payloads */

typedef enum {
#define X(name, text) JOB_##name,
    JOB_STATE_LIST(X)
#undef X
} Job_State;

/** A caller or peer that waits for a job's answer. */
typedef struct {
    bool is_peer; /**< reply to a SUBMIT call, else a caller's request */
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
    Task *tasks;            /**< NULL after the job ended */
    void *packed;           /**< for JOB_DONE: all results in one block */
    uint32_t first_waiting; /**< index; no earlier task is waiting */
    uint32_t waiting;
    uint32_t sent;
    uint32_t done;
    lc_node holder;      /**< for JOB_HELD */
    int64_t arrived_ms;  /**< monotonic */
    int64_t progress_ms; /**< monotonic; last task sent or ended */
    int64_t deadline_ms; /**< monotonic; 0 for none */
    int64_t ended_ms;    /**< monotonic */
    size_t result_bytes; /**< size of the results kept */
    GArray *waiters;     /**< Job_Waiter, or NULL if there are none */
    GList *ended_link;   /**< link in the ledger's list of ended jobs */
} Job;

/** Text of a job's state. */
const char *Job_StateText(Job_State state);

/** Whether any task of the job was sent or has ended. */
bool Job_HasStarted(const Job *job);

/** Index of the next waiting task, or -1. */
int64_t Job_NextWaiting(Job *job);

/** Allocates @p total empty tasks for a job. */
void Job_SetTotal(Job *job, uint32_t total);

/** Copies a payload into a task, replacing any other. */
void Job_SetPayload(Job *job, uint32_t index, const void *data,
                    uint32_t length);

/** Copies a result into a task and marks it done. */
void Job_SetResult(Job *job, uint32_t index, uint32_t code, const void *data,
                   uint32_t length);

/** Adds a waiter; it is copied. */
void Job_AddWaiter(Job *job, const Job_Waiter *waiter);

/** Fills @p results, one per task of a JOB_DONE; their bytes are borrowed. */
void Job_Results(const Job *job, lc_result *results);

/** Frees all tasks and results. */
void Job_FreeTasks(Job *job);

/** Opaque ledger. */
typedef struct Ledger Ledger;

/** @p max_jobs: limit of keys; @p max_bytes: limit of answers kept. */
Ledger *Ledger_New(uint32_t max_jobs, size_t max_bytes);
void Ledger_Free(Ledger *ledger);

Job *Ledger_Find(const Ledger *ledger, const Key *key);
Job *Ledger_Get(const Ledger *ledger, Handle handle);

/** New job in state JOB_ACTIVE, or NULL when the ledger is full. */
Job *Ledger_Add(Ledger *ledger, const Key *key);

void Ledger_Remove(Ledger *ledger, Job *job);

/** Marks a job ended at @p mono_ms and evicts answers over the budget. */
void Ledger_MarkEnded(Ledger *ledger, Job *job, int64_t mono_ms);

/** Removes a job from the list of ended ones, to run it again. */
void Ledger_Reopen(Ledger *ledger, Job *job);

/** Removes jobs that ended before @p mono_ms. */
void Ledger_Expire(Ledger *ledger, int64_t mono_ms);

uint32_t Ledger_Count(const Ledger *ledger);
size_t Ledger_Bytes(const Ledger *ledger);

/** Visits all jobs; the visitor must not remove any. */
void Ledger_ForEach(const Ledger *ledger,
                    void (*visit)(Job *job, void *context), void *context);

#endif

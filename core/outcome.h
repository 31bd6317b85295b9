/**
 * @file outcome.h
 * @brief Ends jobs and answers the callers and peers that wait for them.
 */
#ifndef LC_CORE_OUTCOME_H
#define LC_CORE_OUTCOME_H

#include "core/blackboard.h"

/** Every task is done: sends all results to all waiters. */
void Outcome_Done(Blackboard *board, Job *job);

/** Ends the job with an error, which all waiters get; keeps its key. */
void Outcome_Fail(Blackboard *board, Job *job, Err_Kind kind,
                  const char *message);

/** Fails the job: a companion was lost that had started a task of it. */
void Outcome_Lost(Blackboard *board, Job *job);

/** No task was started: answers all waiters and removes the job. */
void Outcome_NotRun(Blackboard *board, Job *job, Err_Kind kind,
                    const char *message, int64_t retry_ms);

/** Answers a waiter if the job has ended, else adds it to the job. */
void Outcome_Attach(Blackboard *board, Job *job, const Job_Waiter *waiter);

/**
 * Answers a waiter with an error, without a job. @p retry_ms: delay after
 * which to retry, before jitter; 0 for none.
 */
void Outcome_Refuse(Blackboard *board, const Job_Waiter *waiter,
                    const Key *key, Err_Kind kind, const char *message,
                    int64_t retry_ms);

/** Forwards the answer of another entry to a waiter. */
void Outcome_Forward(Blackboard *board, const Job_Waiter *waiter,
                     const Key *key, const lc_answer *answer);

/** Answers a state query: the job is running. */
void Outcome_Running(Blackboard *board, const Job_Waiter *waiter,
                     const Key *key);

/** Rejects a peer's SUBMIT: this entry does not own the key. */
void Outcome_NotOwner(Blackboard *board, uint64_t reply_id);

/** Answers all waiters of all jobs that this entry has left the view. */
void Outcome_AbandonAll(Blackboard *board);

#endif

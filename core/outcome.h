/**
 * @file outcome.h
 * @brief Ends of jobs and answers to those who wait for them.
 */
#ifndef LC_CORE_OUTCOME_H
#define LC_CORE_OUTCOME_H

#include "core/board.h"

/** Every task is done: answers all waiters whole. */
void Outcome_Done(Board *board, Job *job);

/** The job is over without an answer: tells all waiters at once. */
void Outcome_Fail(Board *board, Job *job, Err_Kind kind, const char *message);

/** A companion was lost with a started task of the job. */
void Outcome_Lost(Board *board, Job *job);

/** No task of the job was started: tells all waiters and forgets the job. */
void Outcome_NotRun(Board *board, Job *job, Err_Kind kind, const char *message,
                    int64_t retry_ms);

/** Answers one waiter from an ended job, or adds it to a running one. */
void Outcome_Attach(Board *board, Job *job, const Job_Waiter *waiter);

/** Answers one waiter without a job. */
void Outcome_Refuse(Board *board, const Job_Waiter *waiter, const Key *key,
                    Err_Kind kind, const char *message, int64_t retry_ms);

/** Passes on the answer of another entry. */
void Outcome_Forward(Board *board, const Job_Waiter *waiter, const Key *key,
                     const lc_answer *answer);

/** Tells that a look found the job running. */
void Outcome_Running(Board *board, const Job_Waiter *waiter, const Key *key);

/** Tells a peer that this entry is not the one to ask. */
void Outcome_NotOwner(Board *board, uint64_t reply_id);

/** Tells all waiters of all jobs that this entry lost its place. */
void Outcome_AbandonAll(Board *board);

#endif

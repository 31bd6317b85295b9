/**
 * @file dispatch.h
 * @brief Controller of dispatch: sends tasks to companions.
 *
 * A task is sent to a companion with an estimated free slot, or on a grant: a
 * slot that the companion reserved for this entry. It is sent to another
 * companion only after the first one refused it. When the call is lost, it is
 * sent again to the same incarnation of the same companion.
 */
#ifndef LC_CORE_DISPATCH_H
#define LC_CORE_DISPATCH_H

#include "core/blackboard.h"

/** Sends waiting tasks while limits and free slots allow. */
void Dispatch_Run(Blackboard *board);

/** A START call ended; @p reply is NULL when it was lost. */
void Dispatch_OnStart(Blackboard *board, const Call *call,
                      const lc_start_res *reply);

/** A companion reserved a slot for this entry: uses it, and replies. */
void Dispatch_AnswerGrant(Blackboard *board, uint64_t reply_id,
                          const lc_grant_args *args);

/** A companion's incarnation is gone: fails the jobs with tasks there. */
void Dispatch_CompanionLost(Blackboard *board, const lc_node *node);

/** Adopts a task that another entry started: attaches to it by a START. */
void Dispatch_AdoptTask(Blackboard *board, Job *job, uint32_t index);

void Dispatch_Tick(Blackboard *board);

#endif

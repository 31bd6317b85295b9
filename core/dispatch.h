/**
 * @file dispatch.h
 * @brief Controller of dispatch: which task goes where and when.
 *
 * A task goes to a companion with a slot believed free, or on a grant: a
 * slot that the companion reserved for this entry. It goes elsewhere only
 * after the companion refused it; when its call is lost the same companion
 * incarnation is asked again.
 */
#ifndef LC_CORE_DISPATCH_H
#define LC_CORE_DISPATCH_H

#include "core/board.h"

/** Sends what may be sent. */
void Dispatch_Run(Board *board);

/** A START call ended; @p reply is NULL when it was lost. */
void Dispatch_OnStart(Board *board, const Call *call,
                      const lc_start_res *reply);

/** A companion reserved a slot for this entry. */
void Dispatch_AnswerGrant(Board *board, uint64_t reply_id,
                          const lc_grant_args *args);

/** A companion's incarnation is gone: what was started there is lost. */
void Dispatch_CompanionLost(Board *board, const lc_node *node);

/** A task that another entry started: learn its end from its companion. */
void Dispatch_Follow(Board *board, Job *job, uint32_t index);

void Dispatch_Tick(Board *board);

#endif

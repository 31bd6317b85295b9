/**
 * @file group_limits.h
 * @brief Controller of the groups' limits: which part of a group's caps and
 * rates this entry may use without asking the other entries.
 *
 * A cap is split into units among the entries of the epoch. An entry that has
 * no unit left borrows from the others, one at a time. A unit moves and is
 * never copied, so that all entries together never exceed the cap. Units that
 * a new epoch adds to a share are used only when no member exceeds its new
 * share and the tasks of removed entries have had time to end.
 */
#ifndef LC_CORE_GROUP_LIMITS_H
#define LC_CORE_GROUP_LIMITS_H

#include "core/blackboard.h"

/** Whether one more task of the group may start now. */
bool GroupLimits_MayStart(Blackboard *board, Group *group);

/** A task of the group was started. */
void GroupLimits_OnStarted(Blackboard *board, Group *group);

/** Jobs this entry may queue for the group; UINT32_MAX: no limit. */
uint32_t GroupLimits_MaxQueued(const Blackboard *board, const char *group);

/** Latest epoch whose shares this entry does not exceed; sent to peers. */
uint64_t GroupLimits_CompliedEpoch(const Blackboard *board);

/** The view changed. */
void GroupLimits_OnView(Blackboard *board);

/** Another entry asks to borrow a unit: lends one if it may, and replies. */
void GroupLimits_AnswerBorrow(Blackboard *board, uint64_t reply_id,
                              const lc_borrow_args *args);

/** A BORROW call ended; @p reply is NULL when it was lost. */
void GroupLimits_OnBorrow(Blackboard *board, const Call *call,
                          const lc_borrow_res *reply);

void GroupLimits_Tick(Blackboard *board);

#endif

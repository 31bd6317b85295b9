/**
 * @file limits.h
 * @brief Controller of the groups' limits: which part of a group's caps and
 * rates this entry may use without asking the other entries.
 *
 * A cap is split into units among the entries of the epoch. An entry that has
 * no unit left borrows from the others, one at a time. A unit moves and is
 * never copied, so that all entries together never exceed the cap. Units that
 * a new epoch adds to a share are used only when no member exceeds its new
 * share and the tasks of removed entries have had time to end.
 */
#ifndef LC_CORE_LIMITS_H
#define LC_CORE_LIMITS_H

#include "core/board.h"

/** Whether one more task of the group may start now. */
bool Limits_MayStart(Board *board, Group *group);

/** A task of the group was started. */
void Limits_Started(Board *board, Group *group);

/** Jobs this entry may queue for the group; UINT32_MAX: no limit. */
uint32_t Limits_MaxQueued(const Board *board, const char *group);

/** Latest epoch whose shares this entry does not exceed; sent to peers. */
uint64_t Limits_Complied(const Board *board);

/** The view changed. */
void Limits_OnView(Board *board);

/** Another entry asks to borrow a unit: lends one if it may, and replies. */
void Limits_AnswerBorrow(Board *board, uint64_t reply_id,
                         const lc_borrow_args *args);

/** A BORROW call ended; @p reply is NULL when it was lost. */
void Limits_OnBorrow(Board *board, const Call *call,
                     const lc_borrow_res *reply);

void Limits_Tick(Board *board);

#endif

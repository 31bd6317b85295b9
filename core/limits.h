/**
 * @file limits.h
 * @brief Controller of the groups' limits: shares of a group's caps and
 * rates that this entry may use on its own.
 *
 * A cap is split over the entries of the epoch by their order. A share that
 * grew with a new epoch is used only when every other member reports that it
 * keeps to its new share, and tasks of a removed entry have had time to end.
 */
#ifndef LC_CORE_LIMITS_H
#define LC_CORE_LIMITS_H

#include "core/board.h"

/** Whether one more task of the group may start now. */
bool Limits_MayStart(Board *board, Group *group);

/** A task of the group was started. */
void Limits_Started(Board *board, Group *group);

/** Jobs this entry may have queued for the group; UINT32_MAX: any. */
uint32_t Limits_MaxQueued(const Board *board, const char *group);

/** Epoch up to which this entry keeps to its shares, told to peers. */
uint64_t Limits_Complied(const Board *board);

void Limits_Tick(Board *board);

#endif

/**
 * @file placement.h
 * @brief Chooses the companion that a task is sent to, by one of several
 * policies. The default is `grants`; the others are baselines to compare it
 * with.
 */
#ifndef LC_CORE_PLACEMENT_H
#define LC_CORE_PLACEMENT_H

#include "core/blackboard.h"

/** Companion for the next task; NULL if the task must wait. */
Peer *Placement_Choose(Blackboard *board);

/** Estimated free slots of all companions that may be sent tasks. */
uint32_t Placement_FreeSlots(Blackboard *board);

/** Whether the policy sends demand to companions, so that they grant slots. */
bool Placement_SendsDemand(const Blackboard *board);

/** A companion reported @p free slots: updates the estimate. */
void Placement_UpdateFreeSlots(Peer *peer, uint32_t free);

/**
 * A companion was full, or granted a slot: it has our demand and will send a
 * grant when a slot is free. Until it reports one, but for 2 s at most, only
 * starts on its grants are sent to it.
 */
void Placement_MarkQueued(const Blackboard *board, Peer *peer);

/** Policy of that name, or PLACEMENT_COUNT. */
Placement_Policy Placement_FromText(const char *text);

#endif

/**
 * @file placement.h
 * @brief Which companion a task is sent to, by a table of policies. The
 * others are baselines that the chosen one, `grants`, is measured against.
 */
#ifndef LC_CORE_PLACEMENT_H
#define LC_CORE_PLACEMENT_H

#include "core/board.h"

/** Companion to send the next task to, or NULL to wait. */
Peer *Placement_Choose(Board *board);

/** Slots believed free at all companions that may be sent work. */
uint32_t Placement_OpenSlots(Board *board);

/** Whether companions are told what waits, so that they grant slots. */
bool Placement_TellsDemand(const Board *board);

/** A companion told how many of its slots are free. */
void Placement_HeardFree(Peer *peer, uint32_t free);

/** A companion was full, or granted a slot: it calls when one is free. */
void Placement_Queued(const Board *board, Peer *peer);

/** Policy of that name, or PLACEMENT_COUNT. */
Placement_Policy Placement_FromText(const char *text);

#endif

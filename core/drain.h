/**
 * @file drain.h
 * @brief Controller of the planned stop of an entry: it stops owning keys,
 * ends the jobs it has, and leaves the view when nothing waits on it.
 */
#ifndef LC_CORE_DRAIN_H
#define LC_CORE_DRAIN_H

#include "core/board.h"

/** Begins the planned stop. */
void Drain_Start(Board *board);

/** Whether the stop has come so far that no new requests should come. */
bool Drain_IsClosed(const Board *board);

/** Whether nothing is left to wait for. */
bool Drain_IsDone(const Board *board);

void Drain_Tick(Board *board);

#endif

/**
 * @file drain.h
 * @brief Controller of the graceful shutdown of an entry: the entry gives up
 * the ownership of keys, finishes its jobs, and leaves the view when no
 * caller or peer waits for an answer.
 */
#ifndef LC_CORE_DRAIN_H
#define LC_CORE_DRAIN_H

#include "core/blackboard.h"

/** Begins the graceful shutdown. */
void Drain_Start(Blackboard *board);

/** Whether the entry drains and has left the view: no new requests. */
bool Drain_IsClosed(const Blackboard *board);

/** Whether the process may exit. */
bool Drain_IsDone(const Blackboard *board);

void Drain_Tick(Blackboard *board);

#endif

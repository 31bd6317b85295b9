/**
 * @file store_wait.h
 * @brief How long the platform's store may hold an entry's reads.
 *
 * A record is told at once however long a read is held. What the time bounds
 * is how old the news may be that nothing was put there: a read confirms what
 * stood in the store when it was asked. It also bounds how long it takes until
 * a connection that has gone silent is noticed. Each read is a call.
 *
 * Entries tell each other of newer routes and closed halls, and how old that
 * knowledge is. So it is enough if some of them, the watchers, ask each
 * second; the others ask the more seldom the more they are, and the calls of
 * all together stay below 25 a second. An entry that hears no other is a
 * watcher.
 */
#ifndef LC_LEASE_STORE_WAIT_H
#define LC_LEASE_STORE_WAIT_H

#include <stdbool.h>
#include <stdint.h>

#include "lease/peers.h"

/** Whether the entry is among the watchers: those of the lowest hashes of all
 * that it hears. Entries that hear the same agree; where they do not, there is
 * one more or one less for a while. */
bool StoreWait_IsWatcher(const Peers *peers, int64_t now_ms);

/** Time in ms for the next read of the operators' records of an entry that
 * hears @p live others and is no watcher; drawn, so that entries that started
 * together do not ask together. Few entries ask as watchers do. */
uint32_t StoreWait_Draw(uint32_t live, uint64_t *random);

/** Time in ms for a watcher's read. */
uint32_t StoreWait_Watcher(void);

/** Time in ms for a read of the kept jobs' log while nobody waits for what
 * stands there: it grows with the entries, within the time after which one
 * that has not read counts as unable to look after jobs. A connection that
 * goes silent meanwhile is noticed so much later, and new jobs that have to be
 * kept are refused until then. */
uint32_t StoreWait_Quiet(uint32_t live);

#endif

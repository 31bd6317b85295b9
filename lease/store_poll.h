/**
 * @file store_poll.h
 * @brief How long the platform's store may hold an entry's long-poll reads.
 *
 * A new record is returned at once however long a read may be held. The wait
 * bounds how old the knowledge that nothing was added may be, since a read
 * confirms what the store held when the read was sent. It also bounds how long
 * it takes until a dead connection is noticed. Each read is a call to the
 * store.
 *
 * Entries inform each other of newer routes and closed halls, and of the age
 * of that knowledge. It is therefore enough that a few of them, the watchers,
 * read each second; the others read less often the more entries there are, and
 * all entries together stay below 25 calls a second. An entry without live
 * peers is a watcher.
 */
#ifndef LC_LEASE_STORE_POLL_H
#define LC_LEASE_STORE_POLL_H

#include <stdbool.h>
#include <stdint.h>

#include "lease/peers.h"

/** Whether this entry is a watcher: one of those with the lowest hashes among
 * itself and its live peers. Entries with the same live peers agree; while
 * they differ, there may be one watcher more or less. */
bool StorePoll_IsWatcher(const Peers *peers, int64_t now_ms);

/** Wait in ms for the next read of the operators' records by an entry with
 * @p live live peers that is no watcher. It is randomized, so that entries
 * that started together do not read together. In a small fleet it equals a
 * watcher's. */
uint32_t StorePoll_RandomWaitMs(uint32_t live, uint64_t *random);

/** Wait in ms for a watcher's read. */
uint32_t StorePoll_WatcherWaitMs(void);

/** Wait in ms for a read of the durable jobs' log while no caller waits for
 * its records. It grows with the number of entries, but stays below the time
 * after which an entry that has not read the log counts as unable to own jobs.
 * A connection that dies during the wait is noticed that much later, and until
 * then new durable jobs are refused. */
uint32_t StorePoll_IdleLogWaitMs(uint32_t live);

#endif

/**
 * @file store_wait.h
 * @brief How long the platform's store may hold an entry's read of the
 * operators' records.
 *
 * A record is told at once however long a read is held. What the time bounds
 * is how long it takes until a connection that has gone silent is noticed, and
 * each read is a call. Entries tell each other of newer routes and closed
 * halls: so it is enough if one of them asks anew ten times a second. The
 * calls of all together stay at ten a second from ten entries on, and an entry
 * that hears no other asks each second by itself.
 */
#ifndef LC_LEASE_STORE_WAIT_H
#define LC_LEASE_STORE_WAIT_H

#include <stdint.h>

/** Time in ms for the next read of an entry that hears @p live others; drawn,
 * so that entries that started together do not ask together. */
uint32_t StoreWait_Draw(uint32_t live, uint64_t *random);

/** Time in ms for a read of the kept jobs' log while nobody waits for what
 * stands there: it grows with the entries, within the time after which one
 * that has not read counts as unable to look after jobs. A connection that
 * goes silent meanwhile is noticed so much later, and new jobs that have to be
 * kept are refused until then. */
uint32_t StoreWait_Quiet(uint32_t live);

#endif

/**
 * @file queue_counts.h
 * @brief How many jobs of each queue are in a state; queues without one take
 * no room, however many there are.
 */
#ifndef LC_LEASE_QUEUE_COUNTS_H
#define LC_LEASE_QUEUE_COUNTS_H

#include <glib.h>
#include <stdint.h>

/** Name -> count. Names are borrowed from who adds them. */
typedef GHashTable QueueCounts;

/** Free with g_hash_table_unref. */
QueueCounts *QueueCounts_New(void);

/** Counts one job of a queue. */
void QueueCounts_Add(QueueCounts *counts, const char *queue);

/** Jobs of a queue. */
uint32_t QueueCounts_Of(QueueCounts *counts, const char *queue);

#endif

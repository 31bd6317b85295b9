/**
 * @file queue_counts.h
 * @brief Number of jobs per queue, for one state of jobs. Queues without such
 * a job take no memory, however many queues there are.
 */
#ifndef LC_LEASE_QUEUE_COUNTS_H
#define LC_LEASE_QUEUE_COUNTS_H

#include <glib.h>
#include <stdint.h>

/** Queue name -> count. Names are borrowed from the caller of
 * QueueCounts_Add. */
typedef GHashTable QueueCounts;

/** Creates an empty table; free with g_hash_table_unref. */
QueueCounts *QueueCounts_New(void);

/** Counts one job of a queue. */
void QueueCounts_Add(QueueCounts *counts, const char *queue);

/** Returns the number of jobs of a queue; 0 if none was counted. */
uint32_t QueueCounts_Get(QueueCounts *counts, const char *queue);

#endif

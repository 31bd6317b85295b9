/**
 * @file queue_counts.h
 * @brief Number of jobs per queue, for one state of jobs. Queues without such
 * a job take no memory, however many queues there are.
 */
#ifndef LC_LEASE_QUEUE_COUNTS_H
#define LC_LEASE_QUEUE_COUNTS_H

#include <glib.h>
#include <stdint.h>

#include "lease/queue_ref.h"
#include "lease/route_table.h"

/** Jobs that refer to one queue. */
typedef struct {
    QueueRef queue; /**< the name is borrowed from the caller of
                         QueueCounts_Add */
    uint32_t jobs;
} QueueCounts_Row;

/** QueueRef -> QueueCounts_Row. */
typedef GHashTable QueueCounts;

/** Creates an empty table; free with g_hash_table_unref. */
QueueCounts *QueueCounts_New(void);

/** Counts one job that refers to a queue. */
void QueueCounts_Add(QueueCounts *counts, const QueueRef *queue);

/** Returns the number of jobs whose references are to the same queue as
 * @p queue, by the routes in force. */
uint32_t QueueCounts_Get(QueueCounts *counts, Route_Table *routes,
                         const QueueRef *queue);

#endif

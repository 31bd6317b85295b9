/**
 * @file queue_stats.h
 * @brief Latency histograms and outcome counters of leased jobs per queue, for
 * metrics.
 */
#ifndef LC_LEASE_QUEUE_STATS_H
#define LC_LEASE_QUEUE_STATS_H

#include <glib.h>

#include "base/histogram.h"

/** X(NAME, label): outcomes of a job; the label is that of the metric. */
#define QUEUE_OUTCOME_LIST(X)                                                 \
    X(IN_TIME, "in_time")                                                     \
    X(LATE, "late")                                                           \
    X(FAILED, "failed")                                                       \
    X(NOT_RUN, "not_run")                                                     \
    X(GIVEN_UP, "given_up")                                                   \
    X(CANCELLED, "cancelled")                                                 \
    X(CALLER_GONE, "caller_gone")

/** Outcomes, in the order of QUEUE_OUTCOME_LIST. */
typedef enum {
#define X(name, label) QUEUE_OUTCOME_##name,
    QUEUE_OUTCOME_LIST(X)
#undef X
        QUEUE_OUTCOME_COUNT
} QueueStats_Outcome;

/** Statistics of one queue. */
typedef struct {
    Histogram wait;   /**< ms from arrival to the first run sent */
    Histogram answer; /**< ms from arrival to the answer */
    uint64_t outcomes[QUEUE_OUTCOME_COUNT];
} QueueStats;

/** Statistics of all queues by name. */
typedef struct {
    GHashTable *queues; /**< name -> QueueStats, both owned */
} QueueStats_Table;

void QueueStats_Init(QueueStats_Table *table);
void QueueStats_Clear(QueueStats_Table *table);

/** Returns the statistics of a queue, created on first use. */
QueueStats *QueueStats_Get(QueueStats_Table *table, const char *queue);

/** Appends all statistics in the text format of metrics. */
void QueueStats_Print(const QueueStats_Table *table, GString *out);

#endif

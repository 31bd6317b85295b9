#include "lease/queue_counts.h"

QueueCounts *
QueueCounts_New(void)
{
    return g_hash_table_new_full(QueueRef_Hash, QueueRef_Equal, NULL, g_free);
}

uint32_t
QueueCounts_Get(QueueCounts *counts, Route_Table *routes,
                const QueueRef *queue)
{
    GHashTableIter iter;
    gpointer item;
    uint32_t sum = 0;

    g_hash_table_iter_init(&iter, counts);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const QueueCounts_Row *row = item;
        if (Route_IsSameQueue(routes, &row->queue, queue)) {
            sum += row->jobs;
        }
    }
    return sum;
}

void
QueueCounts_Add(QueueCounts *counts, const QueueRef *queue)
{
    QueueCounts_Row *row = g_hash_table_lookup(counts, queue);

    if (row == NULL) {
        row = g_new0(QueueCounts_Row, 1);
        row->queue = *queue;
        g_hash_table_insert(counts, &row->queue, row);
    }
    row->jobs++;
}

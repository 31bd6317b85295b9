#include "lease/queue_counts.h"

QueueCounts *
QueueCounts_New(void)
{
    return g_hash_table_new_full(QueueRef_Hash, QueueRef_Equal, g_free, NULL);
}

uint32_t
QueueCounts_Get(QueueCounts *counts, Route_Table *routes,
                const QueueRef *queue)
{
    GHashTableIter iter;
    gpointer key;
    gpointer count;
    uint32_t sum = 0;

    g_hash_table_iter_init(&iter, counts);
    while (g_hash_table_iter_next(&iter, &key, &count)) {
        if (Route_IsSameQueue(routes, key, queue)) {
            sum += GPOINTER_TO_UINT(count);
        }
    }
    return sum;
}

void
QueueCounts_Add(QueueCounts *counts, const QueueRef *queue)
{
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, queue));

    /* If the row exists, it keeps its key, and this copy is freed. */
    g_hash_table_insert(counts, g_memdup2(queue, sizeof(*queue)),
                        GUINT_TO_POINTER(count + 1));
}

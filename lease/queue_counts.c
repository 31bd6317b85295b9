#include "lease/queue_counts.h"

QueueCounts *
QueueCounts_New(void)
{
    return g_hash_table_new(g_str_hash, g_str_equal);
}

uint32_t
QueueCounts_Get(QueueCounts *counts, const char *queue)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(counts, queue));
}

void
QueueCounts_Add(QueueCounts *counts, const char *queue)
{
    uint32_t count = QueueCounts_Get(counts, queue) + 1;

    g_hash_table_insert(counts, (gpointer)(uintptr_t)queue,
                        GUINT_TO_POINTER(count));
}

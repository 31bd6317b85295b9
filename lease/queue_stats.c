#include "lease/queue_stats.h"

#include <inttypes.h>

void
QueueStats_Init(QueueStats_Table *table)
{
    table->queues = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          g_free);
}

void
QueueStats_Clear(QueueStats_Table *table)
{
    g_hash_table_unref(table->queues);
}

QueueStats *
QueueStats_Get(QueueStats_Table *table, const char *queue)
{
    QueueStats *stats = g_hash_table_lookup(table->queues, queue);

    if (stats == NULL) {
        stats = g_new0(QueueStats, 1);
        g_hash_table_insert(table->queues, g_strdup(queue), stats);
    }
    return stats;
}

void
QueueStats_Print(const QueueStats_Table *table, GString *out)
{
    static const char *const labels[QUEUE_OUTCOME_COUNT] = {
#define X(name, label) label,
        QUEUE_OUTCOME_LIST(X)
#undef X
    };
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    char label[200];
    int i;

    g_hash_table_iter_init(&iter, table->queues);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const QueueStats *stats = value;
        g_snprintf(label, sizeof(label), "queue=\"%s\"", (const char *)name);
        Histogram_Print(&stats->wait, "job_wait", label, out);
        Histogram_Print(&stats->answer, "job_answer", label, out);
        for (i = 0; i < QUEUE_OUTCOME_COUNT; i++) {
            g_string_append_printf(
                out,
                "levercove_jobs_ended_total{%s,outcome=\"%s\"} %" PRIu64 "\n",
                label, labels[i], stats->outcomes[i]);
        }
    }
}

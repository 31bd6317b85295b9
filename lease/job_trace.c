#include "lease/job_trace.h"

typedef struct {
    uint32_t at_ms; /* after the arrival of the job */
    JobTrace_Kind kind;
    uint32_t step;
    uint32_t index;
    uint32_t run;
    int32_t value;
    Address host;
} trace_item;

struct JobTrace {
    int64_t begin_ms;
    GArray *items;
    uint32_t left_out;
};

JobTrace *
JobTrace_New(int64_t now_ms)
{
    JobTrace *trace = g_new0(JobTrace, 1);

    trace->begin_ms = now_ms;
    trace->items = g_array_new(FALSE, FALSE, sizeof(trace_item));
    return trace;
}

void
JobTrace_Free(JobTrace *trace)
{
    g_array_unref(trace->items);
    g_free(trace);
}

void
JobTrace_Add(JobTrace *trace, int64_t now_ms, JobTrace_Kind kind,
             const lc_run_id *run, Address host, int32_t value)
{
    trace_item item = {.at_ms = (uint32_t)(now_ms - trace->begin_ms),
                       .kind = kind,
                       .step = run->step,
                       .index = run->index,
                       .run = run->run,
                       .value = value,
                       .host = host};

    if (trace->items->len >= JOB_TRACE_MAX_ITEMS) {
        trace->left_out++;
        return;
    }
    g_array_append_val(trace->items, item);
}

json_t *
JobTrace_ToJson(const JobTrace *trace)
{
    static const char *const texts[JOB_TRACE_COUNT] = {
#define X(name, text) text,
        JOB_TRACE_LIST(X)
#undef X
    };
    json_t *list = json_array();
    guint i;

    for (i = 0; i < trace->items->len; i++) {
        const trace_item *item = &g_array_index(trace->items, trace_item, i);
        char task[32];
        g_snprintf(task, sizeof(task), "%u.%u", item->step, item->index);
        json_array_append_new(
            list, json_pack("[i, s, s, i, s, i]", (int)item->at_ms,
                            texts[item->kind], task, (int)item->run,
                            Address_Text(item->host), (int)item->value));
    }
    if (trace->left_out > 0) {
        json_array_append_new(
            list, json_pack("[i, s]", (int)trace->left_out, "left out"));
    }
    return list;
}

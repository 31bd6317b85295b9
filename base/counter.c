#include "base/counter.h"

static const char *const counter_names[COUNTER_COUNT] = {
#define X(name, text) text,
    COUNTER_LIST(X)
#undef X
};

void
Counter_Add(Counters *counters, Counter_Id id, uint64_t amount)
{
    counters->value[id] += amount;
}

void
Counter_Print(const Counters *counters, GString *out)
{
    int i;

    for (i = 0; i < COUNTER_COUNT; i++) {
        g_string_append_printf(out, "levercove_%s %" G_GUINT64_FORMAT "\n",
                               counter_names[i], counters->value[i]);
    }
}

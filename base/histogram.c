#include "base/histogram.h"

#include <inttypes.h>

static const struct {
    int64_t limit_ms;
    const char *seconds;
} buckets[HISTOGRAM_BUCKETS] = {
#define X(ms, seconds) {ms, seconds},
    HISTOGRAM_LIST(X)
#undef X
};

void
Histogram_Add(Histogram *histogram, int64_t ms)
{
    int i;

    ms = MAX(ms, 0);
    histogram->count++;
    histogram->sum_ms += (uint64_t)ms;
    for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
        if (ms <= buckets[i].limit_ms) {
            histogram->counts[i]++;
            return;
        }
    }
}

void
Histogram_Print(const Histogram *histogram, const char *name,
                const char *labels, GString *out)
{
    const char *comma = labels[0] == '\0' ? "" : ",";
    uint64_t cumulative = 0;
    int i;

    for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
        cumulative += histogram->counts[i];
        g_string_append_printf(
            out, "levercove_%s_seconds_bucket{%s%sle=\"%s\"} %" PRIu64 "\n",
            name, labels, comma, buckets[i].seconds, cumulative);
    }
    g_string_append_printf(
        out, "levercove_%s_seconds_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
        name, labels, comma, histogram->count);
    g_string_append_printf(
        out, "levercove_%s_seconds_sum{%s} %" PRIu64 ".%03u\n", name, labels,
        histogram->sum_ms / 1000, (unsigned)(histogram->sum_ms % 1000));
    g_string_append_printf(out, "levercove_%s_seconds_count{%s} %" PRIu64 "\n",
                           name, labels, histogram->count);
}

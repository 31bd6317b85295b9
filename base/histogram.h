/**
 * @file histogram.h
 * @brief Latency histogram with fixed buckets, printed in the Prometheus text
 * format. Latencies are recorded in ms and printed in seconds.
 */
#ifndef LC_BASE_HISTOGRAM_H
#define LC_BASE_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/** X(upper bound in ms, the same in seconds as text) */
#define HISTOGRAM_LIST(X)                                                     \
    X(1, "0.001")                                                             \
    X(2, "0.002")                                                             \
    X(5, "0.005")                                                             \
    X(10, "0.01")                                                             \
    X(20, "0.02")                                                             \
    X(50, "0.05")                                                             \
    X(100, "0.1")                                                             \
    X(200, "0.2")                                                             \
    X(500, "0.5")                                                             \
    X(1000, "1")                                                              \
    X(2000, "2")                                                              \
    X(5000, "5")                                                              \
    X(10000, "10")

#define HISTOGRAM_BUCKETS 13

/** Non-cumulative counts: each bucket excludes the smaller ones. */
typedef struct {
    uint64_t counts[HISTOGRAM_BUCKETS];
    uint64_t count; /**< all latencies, also above the last bucket */
    uint64_t sum_ms;
} Histogram;

/** Records one latency in ms; a negative one counts as 0. */
void Histogram_Add(Histogram *histogram, int64_t ms);

/** Appends the lines of one histogram. @p labels holds `name="value"` pairs
 * separated by commas, or is "". */
void Histogram_Print(const Histogram *histogram, const char *name,
                     const char *labels, GString *out);

#endif

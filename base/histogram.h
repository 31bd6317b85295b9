/**
 * @file histogram.h
 * @brief Latencies counted in fixed buckets, printed in the text format that
 * common scrapers read. Times go in as ms and come out as seconds.
 */
#ifndef LC_BASE_HISTOGRAM_H
#define LC_BASE_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/** X(upper bound in ms, as text in seconds) */
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

/** Counts by bucket, each without those of smaller ones. */
typedef struct {
    uint64_t counts[HISTOGRAM_BUCKETS];
    uint64_t count; /**< all, also those above the last bucket */
    uint64_t sum_ms;
} Histogram;

/** Counts one latency; negative ones count as 0. */
void Histogram_Add(Histogram *histogram, int64_t ms);

/** Appends the lines of one histogram. @p labels is "name=\"value\"" pairs
 * with commas, or "". */
void Histogram_Print(const Histogram *histogram, const char *name,
                     const char *labels, GString *out);

#endif

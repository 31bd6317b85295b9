#include "lease/answer_time.h"

#include <glib.h>

#define US_PER_MS 1000
#define PERMILLE 1000
/* Weights of the smoothed mean and deviation, and deviations in a timeout:
 * the values of RFC 6298. */
#define MEAN_PART 8
#define DEVIATION_PART 4
#define DEVIATIONS 4
/* Bounds of the timeout. Least: ten times what upstreams on the same host
 * took at most on calm days (under 1 ms, docs/ROUNDS.md), so that timers that
 * fire late by some ms cause no second copy. Most: the fixed timeout that
 * orders had before answers were timed. */
#define TIMEOUT_LEAST_MS 10
#define TIMEOUT_MOST_MS 100
/* Before the first sample. */
#define TIMEOUT_FIRST_MS 50
/* Weight of one more request in the share that is lost. One miss lifts the
 * share to 62 permille, five answers bring that below the limit. */
#define LOST_PART 16
#define LOSSY_PERMILLE 50

void
AnswerTime_Take(AnswerTime *times, int64_t answer_ms)
{
    int64_t sample_us = MAX(answer_ms, 0) * US_PER_MS;
    int64_t error_us = sample_us - times->mean_us;

    if (!times->sampled) {
        times->sampled = true;
        times->mean_us = sample_us;
        times->deviation_us = sample_us / 2;
        return;
    }
    times->mean_us += error_us / MEAN_PART;
    times->deviation_us += (ABS(error_us) - times->deviation_us) /
                           DEVIATION_PART;
}

void
AnswerTime_Hit(AnswerTime *times)
{
    times->lost_permille -= times->lost_permille / LOST_PART;
}

void
AnswerTime_Miss(AnswerTime *times)
{
    times->lost_permille += (PERMILLE - times->lost_permille) / LOST_PART;
}

int64_t
AnswerTime_TimeoutMs(const AnswerTime *times)
{
    int64_t timeout_us = times->mean_us + DEVIATIONS * times->deviation_us;

    if (!times->sampled) {
        return TIMEOUT_FIRST_MS;
    }
    return CLAMP((timeout_us + US_PER_MS - 1) / US_PER_MS, TIMEOUT_LEAST_MS,
                 TIMEOUT_MOST_MS);
}

bool
AnswerTime_IsLossy(const AnswerTime *times)
{
    return times->lost_permille >= LOSSY_PERMILLE;
}

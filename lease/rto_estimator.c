#include "lease/rto_estimator.h"

#include <glib.h>

#define US_PER_MS 1000
#define PERMILLE 1000
/* Divisors of the smoothed mean and deviation, and number of deviations in a
 * timeout: the values of RFC 6298. */
#define MEAN_DIVISOR 8
#define DEVIATION_DIVISOR 4
#define TIMEOUT_DEVIATIONS 4
/* Bounds of the timeout. The minimum is ten times the longest response time of
 * upstreams on the same host in undisturbed operation (under 1 ms), so that
 * timers that fire a few ms late cause no retransmission. The maximum bounds
 * the delay of a retransmission. */
#define TIMEOUT_MIN_MS 10
#define TIMEOUT_MAX_MS 100
/* Timeout before the first sample. */
#define TIMEOUT_INITIAL_MS 50
/* Divisor of the moving loss rate. One miss raises the rate from 0 to 62
 * permille; five answers bring it below the limit. */
#define LOST_DIVISOR 16
#define LOSSY_PERMILLE 50

void
RtoEstimator_AddSample(RtoEstimator *estimator, int64_t answer_ms)
{
    int64_t sample_us = MAX(answer_ms, 0) * US_PER_MS;
    int64_t error_us = sample_us - estimator->mean_us;

    if (!estimator->sampled) {
        estimator->sampled = true;
        estimator->mean_us = sample_us;
        estimator->deviation_us = sample_us / 2;
        return;
    }
    estimator->mean_us += error_us / MEAN_DIVISOR;
    estimator->deviation_us += (ABS(error_us) - estimator->deviation_us) /
                               DEVIATION_DIVISOR;
}

void
RtoEstimator_OnAnswered(RtoEstimator *estimator)
{
    estimator->lost_permille -= estimator->lost_permille / LOST_DIVISOR;
}

void
RtoEstimator_OnTimeout(RtoEstimator *estimator)
{
    estimator->lost_permille += (PERMILLE - estimator->lost_permille) /
                                LOST_DIVISOR;
}

int64_t
RtoEstimator_TimeoutMs(const RtoEstimator *estimator)
{
    int64_t timeout_us = estimator->mean_us +
                         TIMEOUT_DEVIATIONS * estimator->deviation_us;

    if (!estimator->sampled) {
        return TIMEOUT_INITIAL_MS;
    }
    return CLAMP((timeout_us + US_PER_MS - 1) / US_PER_MS, TIMEOUT_MIN_MS,
                 TIMEOUT_MAX_MS);
}

bool
RtoEstimator_IsLossy(const RtoEstimator *estimator)
{
    return estimator->lost_permille >= LOSSY_PERMILLE;
}

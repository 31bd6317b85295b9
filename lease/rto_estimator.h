/**
 * @file rto_estimator.h
 * @brief Estimator of a server's response time and loss rate: the
 * retransmission timeout of RFC 6298 over measured response times.
 *
 * A plain value with no clock of its own. Every copy of a request is timed
 * separately, so that no sample is ambiguous.
 */
#ifndef LC_LEASE_RTO_ESTIMATOR_H
#define LC_LEASE_RTO_ESTIMATOR_H

#include <stdbool.h>
#include <stdint.h>

/** Estimate for one server. */
typedef struct {
    int64_t mean_us;        /**< smoothed mean of the samples */
    int64_t deviation_us;   /**< smoothed mean deviation */
    bool sampled;           /**< at least one sample was added */
    uint32_t lost_permille; /**< moving share of requests without an answer
                                 in time */
} RtoEstimator;

/** Adds a sample: the time in ms that an answer took. */
void RtoEstimator_AddSample(RtoEstimator *estimator, int64_t answer_ms);

/** Records a request that was answered in time. */
void RtoEstimator_OnAnswered(RtoEstimator *estimator);

/** Records a request that was not answered in time. */
void RtoEstimator_OnTimeout(RtoEstimator *estimator);

/** Timeout in ms after which a request counts as unanswered. */
int64_t RtoEstimator_TimeoutMs(const RtoEstimator *estimator);

/** Whether the loss rate is high enough that more frequent requests pay off.
 */
bool RtoEstimator_IsLossy(const RtoEstimator *estimator);

#endif

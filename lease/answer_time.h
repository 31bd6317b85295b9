/**
 * @file answer_time.h
 * @brief Estimator of a server's response time and loss rate: the
 * retransmission timeout of RFC 6298 over measured response times.
 *
 * A plain value with no clock of its own. Every copy of a request is timed
 * separately, so that no sample is ambiguous.
 */
#ifndef LC_LEASE_ANSWER_TIME_H
#define LC_LEASE_ANSWER_TIME_H

#include <stdbool.h>
#include <stdint.h>

/** Estimate for one server. */
typedef struct {
    int64_t mean_us;        /**< smoothed mean of the samples */
    int64_t deviation_us;   /**< smoothed mean deviation */
    bool sampled;           /**< at least one sample was added */
    uint32_t lost_permille; /**< moving average, unanswered in time */
} AnswerTime;

/** Adds a sample: the time in ms that an answer took. */
void AnswerTime_Take(AnswerTime *times, int64_t answer_ms);

/** Records a request that was answered in time. */
void AnswerTime_Hit(AnswerTime *times);

/** Records a request that was not answered in time. */
void AnswerTime_Miss(AnswerTime *times);

/** Timeout in ms after which a request counts as unanswered. */
int64_t AnswerTime_TimeoutMs(const AnswerTime *times);

/** Whether the loss rate is high enough that more frequent requests pay off.
 */
bool AnswerTime_IsLossy(const AnswerTime *times);

#endif

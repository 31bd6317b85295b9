/**
 * @file answer_time.h
 * @brief How long a server takes to answer, and how many of its answers go
 * missing: the retransmission timeout of RFC 6298 over measured times.
 *
 * A plain value with no clock of its own. Every copy of a request is timed by
 * itself, so that no sample is ambiguous.
 */
#ifndef LC_LEASE_ANSWER_TIME_H
#define LC_LEASE_ANSWER_TIME_H

#include <stdbool.h>
#include <stdint.h>

/** Estimate of one server's answer times. */
typedef struct {
    int64_t mean_us;        /**< smoothed mean of the samples */
    int64_t deviation_us;   /**< smoothed mean of their deviations */
    bool sampled;           /**< a sample was taken */
    uint32_t lost_permille; /**< moving share of requests unanswered in time */
} AnswerTime;

/** Takes the time, in ms, that an answer took. */
void AnswerTime_Take(AnswerTime *times, int64_t answer_ms);

/** A request was answered. */
void AnswerTime_Hit(AnswerTime *times);

/** A request had no answer in time. */
void AnswerTime_Miss(AnswerTime *times);

/** Time in ms after which a request's answer counts as missing. */
int64_t AnswerTime_TimeoutMs(const AnswerTime *times);

/** Whether so many answers go missing that it pays to ask more often. */
bool AnswerTime_IsLossy(const AnswerTime *times);

#endif

/**
 * @file vtime.h
 * @brief Weighted virtual time: slot time divided by weight. The start of a
 * task charges its expected duration; its end corrects the charge.
 */
#ifndef LC_CORE_VTIME_H
#define LC_CORE_VTIME_H

#include <stdint.h>

/** Virtual time of one group. */
typedef struct {
    double value_ms; /**< slot time divided by weight */
    double mean_ms;  /**< moving mean of task durations */
} Vtime;

/** Starts at @p floor_ms, the virtual time of the group served last. */
void Vtime_Init(Vtime *vtime, double floor_ms);

/** Raises an idle group's time to @p floor_ms: idling earns no credit. */
void Vtime_Resume(Vtime *vtime, double floor_ms);

/** Charges the expected duration of a task that starts. */
void Vtime_Start(Vtime *vtime, uint32_t weight);

/** Takes back the charge of a task that did not start. */
void Vtime_Cancel(Vtime *vtime, uint32_t weight);

/** Corrects the charge of a task that took @p slot_ms. */
void Vtime_End(Vtime *vtime, uint32_t weight, int64_t slot_ms);

#endif

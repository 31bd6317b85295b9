/**
 * @file vtime.h
 * @brief Weighted virtual time: slot time over weight, charged at the start
 * of a task by its expected length and corrected at its end.
 */
#ifndef LC_CORE_VTIME_H
#define LC_CORE_VTIME_H

#include <stdint.h>

/** Virtual time of one group. */
typedef struct {
    double value_ms; /**< slot-ms over weight */
    double mean_ms;  /**< moving mean of task time */
} Vtime;

/** Begins at @p floor_ms, the virtual time of the group served last. */
void Vtime_Init(Vtime *vtime, double floor_ms);

/** A group that was idle earns no credit for it. */
void Vtime_Resume(Vtime *vtime, double floor_ms);

/** Charges the start of a task. */
void Vtime_Start(Vtime *vtime, uint32_t weight);

/** Takes back the charge of a task that did not start. */
void Vtime_Cancel(Vtime *vtime, uint32_t weight);

/** Corrects the charge of a task that took @p slot_ms. */
void Vtime_End(Vtime *vtime, uint32_t weight, int64_t slot_ms);

#endif

/**
 * @file clock.h
 * @brief Clocks in ms with and without the time that the machine was
 * suspended, and detection of suspensions.
 *
 * Every time limit that other processes rely on (leases, holds, deadlines,
 * ages of cached state) is measured with Clock_NowMs, which includes suspended
 * time, because that time has passed for all other machines. The monotonic
 * clock excludes it: it stops together with all processes on this machine.
 */
#ifndef LC_BASE_CLOCK_H
#define LC_BASE_CLOCK_H

#include <stdint.h>

/** One reading of both clocks. */
typedef struct {
    int64_t now_ms;       /**< includes suspended time; never goes back */
    int64_t monotonic_ms; /**< excludes suspended time */
} Clock_Reading;

/** Detects suspensions of the machine from the drift between both clocks. */
typedef struct {
    int64_t offset_ms; /**< now_ms less monotonic_ms, as last accounted for */
} Clock_SuspendTracker;

/** Reads both clocks. */
Clock_Reading Clock_Read(void);

/** Current time in ms, suspended time included. */
int64_t Clock_NowMs(void);

/** Starts detection at a reading; suspensions before it are not reported. */
void Clock_InitTracker(Clock_SuspendTracker *tracker, Clock_Reading reading);

/** Returns the time in ms that the machine was suspended and that no earlier
 * call returned, or 0. */
int64_t Clock_TakeSuspendedMs(Clock_SuspendTracker *tracker,
                              Clock_Reading reading);

/** For tests only: adds @p ms of simulated suspension to Clock_NowMs. */
void Clock_TestSuspend(int64_t ms);

#endif

/**
 * @file clock.h
 * @brief The two clocks of a process, in ms.
 *
 * Every bound that other processes rely on (leases, holds, deadlines, ages of
 * what is believed) runs on Clock_NowMs, which counts the time that the
 * machine was suspended: to all others that time has passed. The steady clock
 * does not count it, and stands still together with what runs on the same
 * machine.
 */
#ifndef LC_BASE_CLOCK_H
#define LC_BASE_CLOCK_H

#include <stdint.h>

/** A reading of both clocks. */
typedef struct {
    int64_t now_ms;    /**< counts suspended time; never goes back */
    int64_t steady_ms; /**< does not */
} Clock_Reading;

/** Follows the time that the machine was suspended. */
typedef struct {
    int64_t ahead_ms; /**< of the one clock before the other, so far */
} Clock_Suspension;

/** Reads both clocks. */
Clock_Reading Clock_Read(void);

/** Time now, suspended time included. */
int64_t Clock_NowMs(void);

/** Begins to follow from a reading. */
void Clock_Follow(Clock_Suspension *suspension, Clock_Reading reading);

/** Time in ms that the machine was suspended since the last call, 0 for
 * none. */
int64_t Clock_Suspended(Clock_Suspension *suspension, Clock_Reading reading);

/** For tests alone: from now on the machine counts as suspended for @p ms
 * more. */
void Clock_TestSuspend(int64_t ms);

#endif

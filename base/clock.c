#include "base/clock.h"

#include <time.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000
/* The clocks are read one after the other, so a process that is preempted
 * between the two readings sees them drift apart without a suspension. Drift
 * up to this limit is ignored. It is less than 1% of a lease of 589 ms, so a
 * suspension that goes undetected does not matter to a lease. */
#define MAX_READ_SKEW_MS 5

static int64_t test_suspended_ms;

static int64_t
read_clock(clockid_t id)
{
    struct timespec now;

    clock_gettime(id, &now);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

int64_t
Clock_NowMs(void)
{
    return read_clock(CLOCK_BOOTTIME) + test_suspended_ms;
}

Clock_Reading
Clock_Read(void)
{
    Clock_Reading reading;

    reading.monotonic_ms = read_clock(CLOCK_MONOTONIC);
    reading.now_ms = Clock_NowMs();
    return reading;
}

void
Clock_InitTracker(Clock_SuspendTracker *tracker, Clock_Reading reading)
{
    tracker->offset_ms = reading.now_ms - reading.monotonic_ms;
}

int64_t
Clock_TakeSuspendedMs(Clock_SuspendTracker *tracker, Clock_Reading reading)
{
    int64_t offset_ms = reading.now_ms - reading.monotonic_ms;
    int64_t added_ms = offset_ms - tracker->offset_ms;

    if (added_ms <= MAX_READ_SKEW_MS) {
        return 0;
    }
    tracker->offset_ms = offset_ms;
    return added_ms;
}

void
Clock_TestSuspend(int64_t ms)
{
    test_suspended_ms += ms;
}

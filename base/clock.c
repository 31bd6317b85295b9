#include "base/clock.h"

#include <time.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000
/* Both clocks are read one after the other: a process that is held up between
 * the two readings sees them drift apart without a suspension, and up to this
 * it counts as none. Chosen: less than 1% of a lease of 589 ms, so that what
 * is overlooked does not matter to a lease. */
#define READING_APART_MS 5

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

    reading.steady_ms = read_clock(CLOCK_MONOTONIC);
    reading.now_ms = Clock_NowMs();
    return reading;
}

void
Clock_Follow(Clock_Suspension *suspension, Clock_Reading reading)
{
    suspension->ahead_ms = reading.now_ms - reading.steady_ms;
}

int64_t
Clock_Suspended(Clock_Suspension *suspension, Clock_Reading reading)
{
    int64_t ahead_ms = reading.now_ms - reading.steady_ms;
    int64_t more_ms = ahead_ms - suspension->ahead_ms;

    if (more_ms <= READING_APART_MS) {
        return 0;
    }
    suspension->ahead_ms = ahead_ms;
    return more_ms;
}

void
Clock_TestSuspend(int64_t ms)
{
    test_suspended_ms += ms;
}

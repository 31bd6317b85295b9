#include "tests/test_clock.h"

#include <stdbool.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

static bool stopped;
static struct timespec shown;

int
clock_gettime(clockid_t clock_id, struct timespec *tp)
{
    bool monotonic = clock_id == CLOCK_MONOTONIC ||
                     clock_id == CLOCK_MONOTONIC_COARSE;

    if (!stopped || !monotonic) {
        return (int)syscall(SYS_clock_gettime, clock_id, tp);
    }
    *tp = shown;
    return 0;
}

void
TestClock_Stop(void)
{
    if (!stopped) {
        clock_gettime(CLOCK_MONOTONIC, &shown);
        stopped = true;
    }
}

void
TestClock_Advance(int64_t ms)
{
    int64_t ns = shown.tv_nsec + ms % MS_PER_S * NS_PER_MS;

    shown.tv_sec += ms / MS_PER_S + ns / NS_PER_S;
    shown.tv_nsec = ns % NS_PER_S;
}

void
TestClock_Go(void)
{
    stopped = false;
}

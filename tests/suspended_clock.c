/*
 * Preloaded into a program under test (LD_PRELOAD): simulates a machine that
 * was suspended. CLOCK_MONOTONIC lags by the number of ms in the file
 * $SUSPENDED/PID (a decimal number); CLOCK_BOOTTIME, which counts suspended
 * time, and CLOCK_REALTIME are not changed.
 */
#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

typedef int (*clock_function)(clockid_t id, struct timespec *now);

static long
lag_ms(void)
{
    const char *directory = getenv("SUSPENDED");
    char path[256];
    long lag = 0;
    FILE *file;

    if (directory == NULL) {
        return 0;
    }
    snprintf(path, sizeof(path), "%s/%ld", directory, (long)getpid());
    file = fopen(path, "r");
    if (file == NULL) {
        return 0;
    }
    if (fscanf(file, "%ld", &lag) != 1) {
        lag = 0;
    }
    fclose(file);
    return lag;
}

int
clock_gettime(clockid_t clock_id, struct timespec *tp)
{
    static clock_function real_clock_gettime;
    int result;
    long lag;

    if (real_clock_gettime == NULL) {
        void *symbol = dlsym(RTLD_NEXT, "clock_gettime");
        memcpy(&real_clock_gettime, &symbol, sizeof(real_clock_gettime));
    }
    result = real_clock_gettime(clock_id, tp);
    if (result != 0 ||
        (clock_id != CLOCK_MONOTONIC && clock_id != CLOCK_MONOTONIC_COARSE)) {
        return result;
    }
    lag = lag_ms();
    tp->tv_sec -= lag / MS_PER_S;
    tp->tv_nsec -= lag % MS_PER_S * NS_PER_MS;
    if (tp->tv_nsec < 0) {
        tp->tv_nsec += NS_PER_S;
        tp->tv_sec--;
    }
    return 0;
}

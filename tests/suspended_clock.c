/*
 * Preloaded into a program under test: plays a machine that was suspended.
 * The steady clock of the process stands still by as many ms as the file
 * SUSPENDED/PID holds (a decimal number); the clock that counts suspended time
 * and the time of day go on.
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
lost_ms(void)
{
    const char *folder = getenv("SUSPENDED");
    char path[256];
    long lost = 0;
    FILE *file;

    if (folder == NULL) {
        return 0;
    }
    snprintf(path, sizeof(path), "%s/%ld", folder, (long)getpid());
    file = fopen(path, "r");
    if (file == NULL) {
        return 0;
    }
    if (fscanf(file, "%ld", &lost) != 1) {
        lost = 0;
    }
    fclose(file);
    return lost;
}

int
clock_gettime(clockid_t clock_id, struct timespec *tp)
{
    static clock_function real;
    int result;
    long lost;

    if (real == NULL) {
        void *symbol = dlsym(RTLD_NEXT, "clock_gettime");
        memcpy(&real, &symbol, sizeof(real));
    }
    result = real(clock_id, tp);
    if (result != 0 ||
        (clock_id != CLOCK_MONOTONIC && clock_id != CLOCK_MONOTONIC_COARSE)) {
        return result;
    }
    lost = lost_ms();
    tp->tv_sec -= lost / MS_PER_S;
    tp->tv_nsec -= lost % MS_PER_S * NS_PER_MS;
    if (tp->tv_nsec < 0) {
        tp->tv_nsec += NS_PER_S;
        tp->tv_sec--;
    }
    return 0;
}

/*
 * Preloaded into `levercoved`: now and then the process stands still just
 * before it writes to a socket or reads from one, so after it has read the
 * clock. STALL_ONE_IN: one call in so many (0: none).
 */
#include <dlfcn.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MIN_STALL_MS 300
#define RANGE_STALL_MS 1200
#define START_S 2 /* all processes have found each other */

static uint64_t state;
static uint64_t one_in;
static time_t begin_s;

static uint64_t
next_random(void)
{
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return state >> 33;
}

static void
stall(int file)
{
    struct timespec now;
    struct stat status;

    if (syscall(SYS_gettid) != getpid() || fstat(file, &status) != 0 ||
        !S_ISSOCK(status.st_mode)) {
        return;
    }
    clock_gettime(CLOCK_MONOTONIC, &now);
    if (begin_s == 0) {
        const char *text = getenv("STALL_ONE_IN");
        one_in = text == NULL ? 0 : strtoull(text, NULL, 10);
        begin_s = now.tv_sec;
        state = (uint64_t)now.tv_nsec * 2654435761U + (uint64_t)getpid();
    }
    if (one_in != 0 && now.tv_sec >= begin_s + START_S &&
        next_random() % one_in == 0) {
        uint64_t ms = MIN_STALL_MS + next_random() % RANGE_STALL_MS;
        struct timespec rest = {(time_t)(ms / 1000),
                                (long)(ms % 1000) * 1000000};
        nanosleep(&rest, NULL);
    }
}

/* NOLINTBEGIN(bugprone-macro-parentheses): a name. */
#define REAL(name)                                                            \
    static __typeof__(&name) real;                                            \
    if (real == NULL) {                                                       \
        real = (__typeof__(&name))dlsym(RTLD_NEXT, #name);                    \
    }
/* NOLINTEND(bugprone-macro-parentheses) */

/* NOLINTBEGIN(readability-inconsistent-declaration-parameter-name) */

ssize_t
write(int file, const void *bytes, size_t length)
{
    REAL(write)
    stall(file);
    return real(file, bytes, length);
}

ssize_t
writev(int file, const struct iovec *parts, int count)
{
    REAL(writev)
    stall(file);
    return real(file, parts, count);
}

ssize_t
sendmsg(int file, const struct msghdr *message, int flags)
{
    REAL(sendmsg)
    stall(file);
    return real(file, message, flags);
}

ssize_t
read(int file, void *bytes, size_t length)
{
    REAL(read)
    stall(file);
    return real(file, bytes, length);
}

/* NOLINTEND(readability-inconsistent-declaration-parameter-name) */

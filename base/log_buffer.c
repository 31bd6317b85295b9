#include "base/log_buffer.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* A pipe that polls as writable takes so much without blocking. */
#define CHUNK 4096
/* Lines wait for each other up to so much. */
#define FLUSH_AT 4096

struct Log_Buffer {
    int descriptor;
    bool broken; /* the reader is gone */
    uint64_t dropped;
    size_t used;
    char bytes[LOG_BUFFER_SIZE];
};

Log_Buffer *
LogBuffer_New(int descriptor)
{
    Log_Buffer *buffer = g_new0(Log_Buffer, 1);

    buffer->descriptor = descriptor;
    return buffer;
}

static bool
is_writable(const Log_Buffer *buffer)
{
    struct pollfd place = {.fd = buffer->descriptor, .events = POLLOUT};

    return poll(&place, 1, 0) == 1 && (place.revents & POLLOUT) != 0;
}

void
LogBuffer_Flush(Log_Buffer *buffer)
{
    size_t done = 0;

    while (done < buffer->used && !buffer->broken && is_writable(buffer)) {
        size_t size = MIN(buffer->used - done, CHUNK);
        ssize_t written = write(buffer->descriptor, buffer->bytes + done,
                                size);
        if (written > 0) {
            done += (size_t)written;
        }
        else if (errno == EPIPE || errno == EBADF) {
            buffer->broken = true;
        }
        else {
            break;
        }
    }
    if (buffer->broken) {
        done = buffer->used;
    }
    if (done > 0) {
        memmove(buffer->bytes, buffer->bytes + done, buffer->used - done);
        buffer->used -= done;
    }
}

bool
LogBuffer_Add(Log_Buffer *buffer, const char *line, size_t length, bool vital)
{
    size_t limit = vital ? LOG_BUFFER_SIZE
                         : LOG_BUFFER_SIZE - LOG_BUFFER_RESERVE;

    if (buffer->used + length > limit) {
        LogBuffer_Flush(buffer);
    }
    if (buffer->used + length > limit) {
        buffer->dropped++;
        return false;
    }
    memcpy(buffer->bytes + buffer->used, line, length);
    buffer->used += length;
    if (buffer->used >= FLUSH_AT) {
        LogBuffer_Flush(buffer);
    }
    return true;
}

uint64_t
LogBuffer_TakeDropped(Log_Buffer *buffer)
{
    uint64_t dropped = buffer->dropped;

    buffer->dropped = 0;
    return dropped;
}

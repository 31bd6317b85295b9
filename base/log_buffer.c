#include "base/log_buffer.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* Bytes (PIPE_BUF) that a pipe reported as writable accepts without
 * blocking. */
#define WRITE_CHUNK_BYTES 4096
/* Bytes at which buffered lines are written together. */
#define FLUSH_THRESHOLD_BYTES 4096

struct LogBuffer {
    int descriptor;
    bool broken; /* the reader has closed its end */
    uint64_t dropped;
    size_t used;
    char bytes[LOG_BUFFER_SIZE];
};

LogBuffer *
LogBuffer_New(int descriptor)
{
    LogBuffer *buffer = g_new0(LogBuffer, 1);

    buffer->descriptor = descriptor;
    return buffer;
}

static bool
is_writable(const LogBuffer *buffer)
{
    struct pollfd poll_fd = {.fd = buffer->descriptor, .events = POLLOUT};

    return poll(&poll_fd, 1, 0) == 1 && (poll_fd.revents & POLLOUT) != 0;
}

void
LogBuffer_Flush(LogBuffer *buffer)
{
    size_t flushed = 0;

    while (flushed < buffer->used && !buffer->broken && is_writable(buffer)) {
        size_t size = MIN(buffer->used - flushed, WRITE_CHUNK_BYTES);
        ssize_t written = write(buffer->descriptor, buffer->bytes + flushed,
                                size);
        if (written > 0) {
            flushed += (size_t)written;
        }
        else if (errno == EPIPE || errno == EBADF) {
            buffer->broken = true;
        }
        else {
            break;
        }
    }
    if (buffer->broken) {
        flushed = buffer->used;
    }
    if (flushed > 0) {
        memmove(buffer->bytes, buffer->bytes + flushed,
                buffer->used - flushed);
        buffer->used -= flushed;
    }
}

bool
LogBuffer_Add(LogBuffer *buffer, const char *line, size_t length,
              bool use_reserve)
{
    size_t limit = use_reserve ? LOG_BUFFER_SIZE
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
    if (buffer->used >= FLUSH_THRESHOLD_BYTES) {
        LogBuffer_Flush(buffer);
    }
    return true;
}

uint64_t
LogBuffer_TakeDropped(LogBuffer *buffer)
{
    uint64_t dropped = buffer->dropped;

    buffer->dropped = 0;
    return dropped;
}

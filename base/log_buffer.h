/**
 * @file log_buffer.h
 * @brief Lines on their way to standard output: a bounded buffer that is
 * written without ever blocking. What finds no room is dropped and counted.
 */
#ifndef LC_BASE_LOG_BUFFER_H
#define LC_BASE_LOG_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes that wait for a slow reader at most. */
#define LOG_BUFFER_SIZE ((size_t)256 * 1024)

/** Room kept for lines that tell of something wrong. */
#define LOG_BUFFER_RESERVE ((size_t)64 * 1024)

/** Opaque buffer. */
typedef struct Log_Buffer Log_Buffer;

/** Writes to @p descriptor, which stays as it is and is not closed. */
Log_Buffer *LogBuffer_New(int descriptor);

/** Adds a line; false if it was dropped. Lines that are not @p vital leave
 * the reserve free. */
bool LogBuffer_Add(Log_Buffer *buffer, const char *line, size_t length,
                   bool vital);

/** Writes what the reader takes now. */
void LogBuffer_Flush(Log_Buffer *buffer);

/** Lines dropped since the last call. */
uint64_t LogBuffer_TakeDropped(Log_Buffer *buffer);

#endif

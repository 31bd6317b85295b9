/**
 * @file log_buffer.h
 * @brief Bounded buffer of log lines, written to a descriptor without ever
 * blocking. Lines that do not fit are dropped and counted.
 */
#ifndef LC_BASE_LOG_BUFFER_H
#define LC_BASE_LOG_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Most bytes buffered for a slow reader. */
#define LOG_BUFFER_SIZE ((size_t)256 * 1024)

/** Bytes reserved for lines that report faults, so that those of normal
 * operation cannot crowd them out. */
#define LOG_BUFFER_RESERVE ((size_t)64 * 1024)

/** Opaque buffer. */
typedef struct LogBuffer LogBuffer;

/** Creates a buffer that writes to @p descriptor, whose flags are not changed
 * and which is not closed. */
LogBuffer *LogBuffer_New(int descriptor);

/** Adds a line; false if it was dropped. Lines without @p use_reserve leave
 * the reserve free. */
bool LogBuffer_Add(LogBuffer *buffer, const char *line, size_t length,
                   bool use_reserve);

/** Writes as much as the descriptor accepts now. */
void LogBuffer_Flush(LogBuffer *buffer);

/** Returns the number of lines dropped since the last call. */
uint64_t LogBuffer_TakeDropped(LogBuffer *buffer);

#endif

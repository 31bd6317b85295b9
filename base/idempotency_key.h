/**
 * @file idempotency_key.h
 * @brief Idempotency keys: UUID version 7 (RFC 9562), which hold their
 * creation time in milliseconds of the Unix epoch.
 */
#ifndef LC_BASE_IDEMPOTENCY_KEY_H
#define LC_BASE_IDEMPOTENCY_KEY_H

#include <stdbool.h>
#include <stdint.h>

/** Length of the text form in bytes, without the final NUL. */
#define KEY_TEXT_LENGTH 36

/** A key in binary form. */
typedef struct {
    uint8_t bytes[16];
} Key;

/** Parses the text form; false unless it is a version 7 UUID. */
bool Key_Parse(const char *text, Key *key);

/** Writes the text form into @p text. */
void Key_Format(const Key *key, char text[KEY_TEXT_LENGTH + 1]);

/** Creates a key from the wall clock time in ms of the Unix epoch and random
 * bits, of which 74 are used. */
Key Key_Create(int64_t wall_ms, uint64_t random_high, uint64_t random_low);

/** Creation time in ms of the Unix epoch. */
int64_t Key_CreatedMs(const Key *key);

/** Hash for GLib tables. */
unsigned int Key_Hash(const void *key);

/** Equality for GLib tables. */
int Key_Equal(const void *a, const void *b);

#endif

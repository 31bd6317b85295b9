#include "base/idempotency_key.h"

#include <ctype.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

static bool
is_dash_position(int position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

bool
Key_Parse(const char *text, Key *key)
{
    int position;
    int digit = 0;

    if (strlen(text) != KEY_TEXT_LENGTH) {
        return false;
    }
    memset(key, 0, sizeof(*key));
    for (position = 0; position < KEY_TEXT_LENGTH; position++) {
        if (is_dash_position(position)) {
            if (text[position] != '-') {
                return false;
            }
            continue;
        }
        if (!isxdigit((unsigned char)text[position])) {
            return false;
        }
        key->bytes[digit / 2] =
            (uint8_t)(key->bytes[digit / 2] << 4 |
                      g_ascii_xdigit_value(text[position]));
        digit++;
    }
    return key->bytes[6] >> 4 == 7 && key->bytes[8] >> 6 == 2;
}

void
Key_Format(const Key *key, char text[KEY_TEXT_LENGTH + 1])
{
    static const char digits[] = "0123456789abcdef";
    int digit = 0;
    int position;

    for (position = 0; position < KEY_TEXT_LENGTH; position++) {
        uint8_t byte = key->bytes[digit / 2];
        if (is_dash_position(position)) {
            text[position] = '-';
            continue;
        }
        text[position] = digits[digit % 2 == 0 ? byte >> 4 : byte & 15];
        digit++;
    }
    text[KEY_TEXT_LENGTH] = '\0';
}

Key
Key_Create(int64_t wall_ms, uint64_t random_high, uint64_t random_low)
{
    Key key;
    int i;

    for (i = 0; i < 6; i++) {
        key.bytes[i] = (uint8_t)(wall_ms >> (8 * (5 - i)));
    }
    key.bytes[6] = (uint8_t)(0x70 | (random_high >> 8 & 0x0f));
    key.bytes[7] = (uint8_t)random_high;
    for (i = 0; i < 8; i++) {
        key.bytes[8 + i] = (uint8_t)(random_low >> (8 * i));
    }
    key.bytes[8] = (uint8_t)(0x80 | (key.bytes[8] & 0x3f));
    return key;
}

int64_t
Key_CreatedMs(const Key *key)
{
    int64_t wall_ms = 0;
    int i;

    for (i = 0; i < 6; i++) {
        wall_ms = wall_ms << 8 | key->bytes[i];
    }
    return wall_ms;
}

unsigned int
Key_Hash(const void *key)
{
    return (unsigned int)XXH3_64bits(key, sizeof(Key));
}

int
Key_Equal(const void *a, const void *b)
{
    return memcmp(a, b, sizeof(Key)) == 0;
}

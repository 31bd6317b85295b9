/**
 * @file settings.h
 * @brief JSON settings checked whole against a table: every error at once,
 * each with file, path in the document and what was expected.
 */
#ifndef LC_BASE_SETTINGS_H
#define LC_BASE_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/err.h"

/** Kinds of setting. */
typedef enum {
    SETTING_ADDRESS,   /**< "IP:port" into an Address */
    SETTING_INTEGER,   /**< least to most, into an int64_t */
    SETTING_NUMBER,    /**< least to most, whole or not, into a double */
    SETTING_ADDRESSES, /**< list of "IP:port" into a Setting_Addresses */
    SETTING_TEXT,      /**< one of `choices`, or any, into a char[64] */
    SETTING_GROUP      /**< an object whose members follow, "name." each */
} Setting_Kind;

/** One setting; a table of them ends with a NULL path. */
typedef struct {
    const char *path; /**< "name" or "object.name" */
    Setting_Kind kind;
    size_t place; /**< offset in the structure that is filled */
    int required;
    int64_t least;
    int64_t most;
    const char *choices; /**< "a|b", or NULL for any text */
} Setting;

/** Size of the text of a SETTING_TEXT. */
#define SETTING_TEXT_SIZE 64

/** Most entries of a SETTING_ADDRESSES. */
#define SETTING_MAX_ADDRESSES 64

/** Value of a SETTING_ADDRESSES. */
typedef struct {
    uint32_t count;
    Address list[SETTING_MAX_ADDRESSES];
} Setting_Addresses;

/**
 * Reads a file into @p out, which holds the defaults. Returns ERR_OK, or
 * ERR_BAD_SETTINGS with one line per error in @p errors (free with g_free).
 */
Err_Kind Settings_Load(const char *file, const Setting *table, void *out,
                       char **errors);

#endif

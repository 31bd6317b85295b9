/**
 * @file settings.h
 * @brief Loads a JSON settings file and validates it against a table. All
 * errors are reported at once, each with the file, the path in the document
 * and what was expected.
 */
#ifndef LC_BASE_SETTINGS_H
#define LC_BASE_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/err.h"

/** Type of a setting, and of the variable that it is stored in. */
typedef enum {
    SETTING_ADDRESS,   /**< "IP:port", stored as Address */
    SETTING_INTEGER,   /**< minimum to maximum, stored as int64_t */
    SETTING_NUMBER,    /**< as above, fractions allowed, as double */
    SETTING_ADDRESSES, /**< list of "IP:port", as Setting_Addresses */
    SETTING_TEXT,      /**< one of `choices`, or any; stored as char[64] */
    SETTING_OBJECT     /**< object; its members have rows "object.name" */
} Setting_Kind;

/** Row of a table of settings, which ends with a NULL path. */
typedef struct {
    const char *path; /**< "name" or "object.name" */
    Setting_Kind kind;
    size_t offset; /**< of its variable in the structure to fill, in bytes */
    int required;
    int64_t minimum;
    int64_t maximum;
    const char *choices; /**< "a|b", or NULL for any text */
} Setting;

/** Size of the buffer of a SETTING_TEXT in bytes, NUL included. */
#define SETTING_TEXT_SIZE 64

/** Most addresses in a SETTING_ADDRESSES. */
#define SETTING_MAX_ADDRESSES 64

/** Value of a SETTING_ADDRESSES. */
typedef struct {
    uint32_t count;
    Address list[SETTING_MAX_ADDRESSES];
} Setting_Addresses;

/**
 * Reads a file into @p out, which must hold the defaults. Returns ERR_OK, or
 * ERR_BAD_SETTINGS with one line per error in @p errors (to be freed with
 * g_free in both cases).
 */
Err_Kind Settings_Load(const char *file, const Setting *table, void *out,
                       char **errors);

#endif

/**
 * @file version.h
 * @brief Version of levercoved and levercove, and which sources they were
 * built from.
 */
#ifndef LC_BASE_VERSION_H
#define LC_BASE_VERSION_H

/** Version as shown by `--version`. */
#define LC_VERSION_TEXT "0.1.0"

/** Hash of the sources that the program was built from, 12 hex digits. */
extern const char *const version_build_id;

#endif

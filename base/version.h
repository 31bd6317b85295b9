/**
 * @file version.h
 * @brief Version of levercoved and levercove.
 */
#ifndef LC_BASE_VERSION_H
#define LC_BASE_VERSION_H

/** Version as shown by `--version`. */
#define LC_VERSION_TEXT "0.1.0"

#endif

/**
 * @file seeds.h
 * @brief Seeds out of the settings file, which may change at any time.
 */
#ifndef LC_DAEMON_SEEDS_H
#define LC_DAEMON_SEEDS_H

#include "daemon/options.h"
#include "lease/peers.h"

/** Where seeds are read from. */
typedef struct {
    const Options *options;
    int64_t read_ms; /**< when the file was last read */
} Seeds;

void Seeds_Init(Seeds *seeds, const Options *options);

/** Reads the file again if the last time is some seconds ago. A malformed
 * file changes nothing. */
void Seeds_Refresh(Seeds *seeds, Peers *peers, int64_t now_ms);

#endif

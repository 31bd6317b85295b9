/**
 * @file seeds.h
 * @brief Re-reads the seeds from the settings file, which may change at any
 * time.
 */
#ifndef LC_DAEMON_SEEDS_H
#define LC_DAEMON_SEEDS_H

#include "daemon/options.h"
#include "lease/peers.h"

/** State of reading the seeds. */
typedef struct {
    const Options *options;
    int64_t read_ms; /**< when the file was last read, monotonic */
} Seeds;

void Seeds_Init(Seeds *seeds, const Options *options);

/** Reads the file again if it was last read at least 2 s ago. A malformed file
 * changes nothing. */
void Seeds_Refresh(Seeds *seeds, Peers *peers, int64_t now_ms);

#endif

/**
 * @file demand.h
 * @brief What an entry has waiting, as it tells companions so that they grant
 * it slots.
 */
#ifndef LC_CORE_DEMAND_H
#define LC_CORE_DEMAND_H

#include "core/board.h"

/**
 * Fills @p rows (LC_MAX_DEMAND of them) with the demand to tell a companion;
 * no rows where it was told the same before.
 */
void Demand_Fill(Board *board, Peer *peer, lc_demand *rows, u_int *count);

#endif

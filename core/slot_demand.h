/**
 * @file slot_demand.h
 * @brief Demand of an entry: its waiting tasks by group, which it sends to
 * companions so that they grant it slots.
 */
#ifndef LC_CORE_SLOT_DEMAND_H
#define LC_CORE_SLOT_DEMAND_H

#include "core/blackboard.h"

/**
 * Fills @p rows (room for LC_MAX_DEMAND) with the demand to send to a
 * companion; sets @p count to 0 if the demand last sent still holds, or if
 * the placement policy sends none.
 */
void SlotDemand_Fill(Blackboard *board, Peer *peer, lc_demand *rows,
                     u_int *count);

#endif

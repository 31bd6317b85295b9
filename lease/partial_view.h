/**
 * @file partial_view.h
 * @brief Selects the entries that a companion reports to.
 *
 * In a small fleet a companion reports to all entries. In a large one it
 * reports to a bounded number, so that the reports a companion sends, the
 * reports an entry receives and the companions an entry searches for free
 * capacity do not grow with the fleet: entries of its own hall first, as these
 * prefer to start their tasks there, and some of other halls, so that every
 * entry has an alternative when its own hall is full, closed or lost. The
 * selection uses rendezvous hashing, so that an entry that joins or leaves
 * changes no other pair.
 */
#ifndef LC_LEASE_PARTIAL_VIEW_H
#define LC_LEASE_PARTIAL_VIEW_H

#include "lease/peers.h"

/** Maximum number of entries that a companion reports to. At 184 entries and
 * 800 companions in five halls an entry then receives reports from 174
 * companions instead of 800. Reports to all entries were measured without
 * loss at up to 55 entries; 40 leaves room for entries whose hall is not known
 * yet. */
#define PARTIAL_VIEW_MAX_ENTRIES 40
/** Of these, the number of entries of the companion's own hall; fewer if that
 * hall has fewer. */
#define PARTIAL_VIEW_OWN_HALL_ENTRIES 24

/** Sets `chosen` in the rows of the entries that the companion at @p self in
 * @p hall reports to. Candidates are the entries of the last list received
 * (before the first list, all entries that were ever named), seeds, and
 * entries that answered lately though no other process hears them. @p all
 * selects every entry, whatever their number. Returns the number of candidates
 * not selected. */
uint32_t PartialView_Choose(const Peers *peers, int64_t now_ms, Address self,
                            const char *hall, bool all);

#endif

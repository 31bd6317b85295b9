/**
 * @file partial_view.h
 * @brief Which entries a companion reports to.
 *
 * Where entries are few, to all of them. Where they are many, to a bounded
 * number, so that what a companion sends, what an entry hears and how many
 * companions it searches for room stay as they are when the fleet grows: the
 * entries of its own hall first, as these start their tasks there, and some
 * of other halls, so that every entry has somewhere to go when its own hall is
 * full, closed or lost. Which ones is drawn by rendezvous hashing, so that an
 * entry that comes or goes moves no other pair.
 */
#ifndef LC_LEASE_PARTIAL_VIEW_H
#define LC_LEASE_PARTIAL_VIEW_H

#include "lease/peers.h"

/** A companion reports to so many entries at most. At 184 entries and 800
 * companions in five halls an entry hears 174 of them, in place of 800.
 * Chosen: the largest number of entries that reports to all were measured at
 * without loss was 55; 40 leaves room for the entries whose hall is not known
 * yet. */
#define PARTIAL_VIEW_MOST 40
/** Of them so many of its own hall; fewer where that has fewer. */
#define PARTIAL_VIEW_OWN 24

/** Marks the entries that the companion at @p self in @p hall reports to: of
 * those in the list that was taken last (all that were ever named before the
 * first list), and of those that answered lately though no other hears them.
 * @p all: whatever their number. Returns how many are left out. */
uint32_t PartialView_Choose(const Peers *peers, int64_t now_ms, Address self,
                            const char *hall, bool all);

#endif

/**
 * @file delegates.h
 * @brief The other entries, as those that may run jobs for this one: what
 * each has told of its link, and the leases on what it was given.
 *
 * Nobody is asked while the own link carries everything. What is known of a
 * delegate is a fraction of a second old and told to every entry that asks;
 * each therefore uses a part of it alone, and the delegate itself refuses what
 * it cannot take. Times are monotonic, in ms.
 */
#ifndef LC_LEASE_DELEGATES_H
#define LC_LEASE_DELEGATES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "lease/term.h"
#include "wire/msg.h"

/** One other entry. */
typedef struct {
    lc_node node;         /**< incarnation 0 while it is not known */
    int64_t stamp_ms;     /**< its clock at its last word */
    int64_t received_ms;  /**< when that arrived; 0 for never */
    int64_t credit_bytes; /**< of jobs that it may still be given */
    uint64_t asking;      /**< EXTEND on its way, or 0 */
    int64_t asked_ms;     /**< when that was sent */
    uint32_t jobs;        /**< given to it and not over */
    GArray *gone;         /**< uint64_t, numbers it has not been told of */
    guint gone_told;      /**< of them, in the EXTEND on its way */
} Delegate;

/** All of them. */
typedef struct {
    GPtrArray *rows; /**< Delegate */
    uint64_t salt;   /**< so that not all ask the same few */
} Delegates;

void Delegates_Init(Delegates *delegates, uint64_t salt);
void Delegates_Clear(Delegates *delegates);

/** Names entries that live; the first few are asked. */
void Delegates_Offer(Delegates *delegates, const Address *addresses,
                     guint count);

/** Row of an entry, or NULL. */
Delegate *Delegates_Find(const Delegates *delegates, Address address);

/** Whether an EXTEND is due. @p wanted: the own link is short. */
bool Delegates_IsDue(const Delegate *row, int64_t now_ms, bool wanted);

/** Until when an EXTEND or FORWARD sent now is valid, on its clock; 0 if that
 * is not known. */
int64_t Delegates_ValidUntil(const Delegate *row, const Term *term,
                             int64_t now_ms);

/** It has answered. */
void Delegates_TakeWord(Delegate *row, int64_t now_ms,
                        const lc_extend_res *word);

/** It has not, or took nothing: it is given nothing until it says more. */
void Delegates_Close(Delegate *row);

/** The entry that best takes a job which costs its link so many bytes, or
 * NULL. */
Delegate *Delegates_Pick(const Delegates *delegates, int64_t now_ms,
                         int64_t bytes);

#endif

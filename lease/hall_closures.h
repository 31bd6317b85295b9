/**
 * @file hall_closures.h
 * @brief The set of halls that operators have closed, as known to this
 * process. No task is started in a closed hall; tasks that already run there
 * finish normally.
 *
 * Operators' changes are records in one log, so the number of records read
 * orders all knowledge of it: a set read up to a later record replaces one
 * read up to an earlier record, whichever process sent it, and never the
 * reverse. Times are monotonic, in ms.
 */
#ifndef LC_LEASE_HALL_CLOSURES_H
#define LC_LEASE_HALL_CLOSURES_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/msg.h"

/** The closed halls. Set up by HallClosures_Init. */
typedef struct {
    int64_t as_of;        /**< number of records read; -1: none */
    int64_t confirmed_ms; /**< latest time the set is known to be in force */
    int64_t changed_ms;   /**< when the set below last changed */
    GPtrArray *halls;     /**< names of the closed halls, sorted */
} HallClosures;

/** Effect of a message. */
typedef enum {
    HALL_CLOSURES_STALE,     /**< older than what is known; ignored */
    HALL_CLOSURES_UNCHANGED, /**< the same halls, possibly confirmed */
    HALL_CLOSURES_CHANGED    /**< the set of closed halls has changed */
} HallClosures_Change;

/** Starts with nothing known: no hall counts as closed. */
void HallClosures_Init(HallClosures *closures, int64_t now_ms);
void HallClosures_Clear(HallClosures *closures);

/** Request time of an unsolicited message. It may have been delayed for any
 * time and therefore confirms nothing. */
#define HALL_CLOSURES_UNSOLICITED INT64_MIN

/** Merges a set that was received. @p requested_ms is when it was requested,
 * or HALL_CLOSURES_UNSOLICITED if it was not: the set counts as confirmed at
 * @p requested_ms less the age given in the message, which holds however long
 * the answer took to arrive. */
HallClosures_Change HallClosures_Merge(HallClosures *closures, int64_t now_ms,
                                       int64_t requested_ms,
                                       const lc_closures *message);

/** Whether @p hall is closed, so that no task may be started in it. */
bool HallClosures_Contains(const HallClosures *closures, const char *hall);

/** Whether to reject a start in @p hall from a sender that knew the records up
 * to @p as_of and took the hall as open. A sender that knows later records
 * than this process is trusted. */
bool HallClosures_RejectsStart(const HallClosures *closures, const char *hall,
                               int64_t as_of);

/** Fills a message. Its names are borrowed from @p closures and valid until
 * the next call that changes it. */
void HallClosures_FillMessage(const HallClosures *closures, int64_t now_ms,
                              lc_closures *out);

/** Time since the latest confirmation, in ms. */
int64_t HallClosures_AgeMs(const HallClosures *closures, int64_t now_ms);

/** Comma-separated names of the closed halls, for log lines; the caller frees
 * the result. */
char *HallClosures_Text(const HallClosures *closures);

/** State for operators; the caller owns the result. */
json_t *HallClosures_Dump(const HallClosures *closures, int64_t now_ms);

/** Appends metrics in the text exposition format. */
void HallClosures_Metrics(const HallClosures *closures, int64_t now_ms,
                          GString *out);

#endif

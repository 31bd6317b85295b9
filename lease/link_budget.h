/**
 * @file link_budget.h
 * @brief What an entry may put on its link now (token bucket), and whether
 * the link is short.
 *
 * What is sent faster than the link carries waits in buffers where nothing
 * orders it: urgent starts stand behind others, answers and renewals behind
 * both, and hosts were chosen by what was known before the wait, so that many
 * starts find no room and are sent again. Starts that wait here are ordered,
 * and find their hosts as they leave.
 *
 * Times are monotonic, in ms.
 */
#ifndef LC_LEASE_LINK_BUDGET_H
#define LC_LEASE_LINK_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** A bucket. A plain value; all zeros: nothing is limited. */
typedef struct {
    int64_t bytes_per_s;    /**< of the link; 0: not limited */
    int64_t left_bytes;     /**< negative after more was sent than there was */
    int64_t filled_ms;      /**< when it was filled last */
    int64_t short_until_ms; /**< 0: never short */
    uint64_t waits;         /**< passes in which starts had to wait */
    int64_t used_bytes;     /**< since used_since_ms */
    int64_t used_since_ms;
    int64_t rate; /**< bytes a second of the last whole period */
} LinkBudget;

/** A full bucket of a link of so many Mbit/s; 0: not limited. */
void LinkBudget_Init(LinkBudget *budget, int64_t now_ms, double link_mbps);

/** Whether a start may be sent now. */
bool LinkBudget_Allows(LinkBudget *budget, int64_t now_ms);

/** So many bytes were sent, of starts or of anything else. */
void LinkBudget_Spend(LinkBudget *budget, int64_t bytes);

/** Starts that could begin otherwise wait for the link. */
void LinkBudget_NoteWait(LinkBudget *budget, int64_t now_ms);

/** Whether starts waited for the link lately: bytes are worth more than an
 * even use of the hosts. */
bool LinkBudget_IsShort(const LinkBudget *budget, int64_t now_ms);

/** Bytes a second that the link could carry besides what it does; INT64_MAX
 * if it is not limited, 0 while it is short. */
int64_t LinkBudget_Headroom(const LinkBudget *budget, int64_t now_ms);

/** When a start may be sent, if nothing is sent before. */
int64_t LinkBudget_DueMs(const LinkBudget *budget);

#endif

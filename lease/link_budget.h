/**
 * @file link_budget.h
 * @brief Token bucket that limits what an entry sends over its link, and
 * detection of link congestion.
 *
 * What is sent faster than the link carries waits in send buffers in the
 * order of sending: urgent starts wait behind others, answers and renewals
 * behind both, and hosts were chosen by what was known before the wait, so
 * that many starts find no room and are sent again. Starts that wait here
 * instead are ordered by urgency, and get their hosts when they are sent.
 *
 * Times are monotonic, in ms.
 */
#ifndef LC_LEASE_LINK_BUDGET_H
#define LC_LEASE_LINK_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** A token bucket. A plain value; all zeros: no limit. */
typedef struct {
    int64_t bytes_per_s;     /**< usable rate of the link; 0: no limit */
    int64_t available_bytes; /**< tokens; negative if more was sent than there
                                were */
    int64_t refilled_ms;     /**< time of the last refill */
    int64_t congested_until_ms; /**< 0: not congested so far */
    uint64_t waits;     /**< dispatch passes in which starts had to wait */
    int64_t used_bytes; /**< sent since used_since_ms */
    int64_t used_since_ms;
    int64_t rate; /**< bytes per second in the last complete period */
} LinkBudget;

/** Fills the bucket of a link of @p link_mbps Mbit/s; 0: no limit. */
void LinkBudget_Init(LinkBudget *budget, int64_t now_ms, double link_mbps);

/** Refills the bucket; returns whether a start may be sent now. */
bool LinkBudget_Allows(LinkBudget *budget, int64_t now_ms);

/** Accounts for bytes sent, of starts or of any other message. */
void LinkBudget_Spend(LinkBudget *budget, int64_t bytes);

/** Records that starts wait for the link alone. */
void LinkBudget_RecordWait(LinkBudget *budget, int64_t now_ms);

/** Whether the link is congested, as starts have waited for it lately: saving
 * bytes then takes precedence over spreading load evenly over the hosts. */
bool LinkBudget_IsCongested(const LinkBudget *budget, int64_t now_ms);

/** Unused rate of the link in bytes per second; INT64_MAX if there is no
 * limit, 0 while it is congested. */
int64_t LinkBudget_Headroom(const LinkBudget *budget, int64_t now_ms);

/** Time at which the next start may be sent, if nothing else is sent before.
 */
int64_t LinkBudget_NextStartMs(const LinkBudget *budget);

#endif

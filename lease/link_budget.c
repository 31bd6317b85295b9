#include "lease/link_budget.h"

#include <glib.h>

#define MS_PER_S 1000
#define BYTES_PER_MBIT 125000
#define PERCENT 100
/* Part of the link rate that messages may use; packet headers and
 * acknowledgements take the rest. */
#define USABLE_PERCENT 90
/* Size of the bucket, as time of the link: small compared with the slack of an
 * urgent task, and more than the pause between two passes of a busy event
 * loop. */
#define BURST_MS 10
/* Largest debt, as time of the link: bytes that other messages took do not
 * delay starts for longer. */
#define MAX_DEBT_MS 500
/* The link counts as congested for this time after the last wait, so that jobs
 * that arrive in waves of a second count as one burst. */
#define CONGESTED_MS 1000
/* Period over which the rate is measured. */
#define RATE_PERIOD_MS 500

static int64_t
burst_bytes(const LinkBudget *budget)
{
    return budget->bytes_per_s * BURST_MS / MS_PER_S;
}

void
LinkBudget_Init(LinkBudget *budget, int64_t now_ms, double link_mbps)
{
    LinkBudget full = {.refilled_ms = now_ms, .used_since_ms = now_ms};

    full.bytes_per_s = (int64_t)(link_mbps * BYTES_PER_MBIT * USABLE_PERCENT /
                                 PERCENT);
    full.available_bytes = burst_bytes(&full);
    *budget = full;
}

static void
update_rate(LinkBudget *budget, int64_t now_ms)
{
    int64_t since_ms = now_ms - budget->used_since_ms;

    if (since_ms >= RATE_PERIOD_MS) {
        budget->rate = budget->used_bytes * MS_PER_S / since_ms;
        budget->used_bytes = 0;
        budget->used_since_ms = now_ms;
    }
}

bool
LinkBudget_Allows(LinkBudget *budget, int64_t now_ms)
{
    int64_t since_ms = now_ms - budget->refilled_ms;

    update_rate(budget, now_ms);
    if (budget->bytes_per_s == 0) {
        return true;
    }
    if (since_ms > 0) {
        budget->available_bytes = MIN(budget->available_bytes +
                                          budget->bytes_per_s * since_ms /
                                              MS_PER_S,
                                      burst_bytes(budget));
        budget->refilled_ms = now_ms;
    }
    return budget->available_bytes > 0;
}

void
LinkBudget_Spend(LinkBudget *budget, int64_t bytes)
{
    budget->used_bytes += bytes;
    if (budget->bytes_per_s > 0) {
        budget->available_bytes = MAX(budget->available_bytes - bytes,
                                      -budget->bytes_per_s * MAX_DEBT_MS /
                                          MS_PER_S);
    }
}

void
LinkBudget_RecordWait(LinkBudget *budget, int64_t now_ms)
{
    budget->waits++;
    budget->congested_until_ms = now_ms + CONGESTED_MS;
}

bool
LinkBudget_IsCongested(const LinkBudget *budget, int64_t now_ms)
{
    return now_ms < budget->congested_until_ms;
}

int64_t
LinkBudget_Headroom(const LinkBudget *budget, int64_t now_ms)
{
    if (budget->bytes_per_s == 0) {
        return INT64_MAX;
    }
    if (LinkBudget_IsCongested(budget, now_ms)) {
        return 0;
    }
    return MAX(budget->bytes_per_s - budget->rate, 0);
}

int64_t
LinkBudget_NextStartMs(const LinkBudget *budget)
{
    if (budget->available_bytes > 0 || budget->bytes_per_s == 0) {
        return budget->refilled_ms;
    }
    return budget->refilled_ms + 1 -
           budget->available_bytes * MS_PER_S / budget->bytes_per_s;
}

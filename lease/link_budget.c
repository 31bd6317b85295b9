#include "lease/link_budget.h"

#include <glib.h>

#define MS_PER_S 1000
#define BYTES_PER_MBIT 125000
#define PERCENT 100
/* The rest is left to the headers of packets and their acknowledgements. */
#define USABLE_PERCENT 90
/* What may leave at once, as time of the link: small beside what an urgent
 * task's objective has to spare, and more than the pause between two passes of
 * a loop that is busy. */
#define BURST_MS 10
/* More than this is never owed: bytes that others asked for do not keep starts
 * from the link for longer. */
#define MOST_OWED_MS 500
/* A link stays short for so long after the last wait: jobs that arrive in
 * waves of a second are one burst. */
#define SHORT_MS 1000
/* The rate is told of periods so long. */
#define RATE_MS 500

static int64_t
most_bytes(const LinkBudget *budget)
{
    return budget->bytes_per_s * BURST_MS / MS_PER_S;
}

void
LinkBudget_Init(LinkBudget *budget, int64_t now_ms, double link_mbps)
{
    LinkBudget fresh = {.filled_ms = now_ms, .used_since_ms = now_ms};

    fresh.bytes_per_s = (int64_t)(link_mbps * BYTES_PER_MBIT * USABLE_PERCENT /
                                  PERCENT);
    fresh.left_bytes = most_bytes(&fresh);
    *budget = fresh;
}

static void
note_rate(LinkBudget *budget, int64_t now_ms)
{
    int64_t since_ms = now_ms - budget->used_since_ms;

    if (since_ms >= RATE_MS) {
        budget->rate = budget->used_bytes * MS_PER_S / since_ms;
        budget->used_bytes = 0;
        budget->used_since_ms = now_ms;
    }
}

bool
LinkBudget_Allows(LinkBudget *budget, int64_t now_ms)
{
    int64_t since_ms = now_ms - budget->filled_ms;

    note_rate(budget, now_ms);
    if (budget->bytes_per_s == 0) {
        return true;
    }
    if (since_ms > 0) {
        budget->left_bytes = MIN(budget->left_bytes +
                                     budget->bytes_per_s * since_ms / MS_PER_S,
                                 most_bytes(budget));
        budget->filled_ms = now_ms;
    }
    return budget->left_bytes > 0;
}

void
LinkBudget_Spend(LinkBudget *budget, int64_t bytes)
{
    budget->used_bytes += bytes;
    if (budget->bytes_per_s > 0) {
        budget->left_bytes = MAX(budget->left_bytes - bytes,
                                 -budget->bytes_per_s * MOST_OWED_MS /
                                     MS_PER_S);
    }
}

void
LinkBudget_NoteWait(LinkBudget *budget, int64_t now_ms)
{
    budget->waits++;
    budget->short_until_ms = now_ms + SHORT_MS;
}

bool
LinkBudget_IsShort(const LinkBudget *budget, int64_t now_ms)
{
    return now_ms < budget->short_until_ms;
}

int64_t
LinkBudget_Headroom(const LinkBudget *budget, int64_t now_ms)
{
    if (budget->bytes_per_s == 0) {
        return INT64_MAX;
    }
    if (LinkBudget_IsShort(budget, now_ms)) {
        return 0;
    }
    return MAX(budget->bytes_per_s - budget->rate, 0);
}

int64_t
LinkBudget_DueMs(const LinkBudget *budget)
{
    if (budget->left_bytes > 0 || budget->bytes_per_s == 0) {
        return budget->filled_ms;
    }
    return budget->filled_ms + 1 -
           budget->left_bytes * MS_PER_S / budget->bytes_per_s;
}

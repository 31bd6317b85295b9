#include "lease/delegates.h"

/* Most delegates; more would only spread the same bytes. */
#define MAX_DELEGATES 8
/* Interval at which the leases of forwarded jobs are renewed; the same as at
 * companions. */
#define RENEW_INTERVAL_MS 100
/* Interval at which delegates that run nothing are queried while this entry's
 * link is congested. */
#define QUERY_INTERVAL_MS 250
/* No job is forwarded to a delegate whose last answer is older than this. */
#define MAX_ANSWER_AGE_MS 500
/* An entry uses this part (as a divisor) of a reported headroom until the next
 * answer, as other entries may have been told the same headroom. */
#define CREDIT_DIVISOR 2
#define MS_PER_S 1000
/* Reported headrooms are cut to this, in bytes per second: an unlimited link
 * reports more. */
#define MAX_HEADROOM (INT64_C(1) << 40)

static void
free_row(gpointer item)
{
    Delegate *row = item;

    g_array_unref(row->withdrawn);
    g_free(row);
}

void
Delegates_Init(Delegates *delegates, uint64_t salt)
{
    delegates->salt = salt;
    delegates->rows = g_ptr_array_new_with_free_func(free_row);
}

void
Delegates_Clear(Delegates *delegates)
{
    g_ptr_array_unref(delegates->rows);
}

Delegate *
Delegates_Find(const Delegates *delegates, Address address)
{
    guint i;

    for (i = 0; i < delegates->rows->len; i++) {
        Delegate *row = g_ptr_array_index(delegates->rows, i);
        if (row->node.address == address) {
            return row;
        }
    }
    return NULL;
}

static bool
is_candidate(const Delegate *row, const Address *addresses, guint count)
{
    guint i;

    for (i = 0; i < count; i++) {
        if (addresses[i] == row->node.address) {
            return true;
        }
    }
    return false;
}

/* Removes the delegates that are no longer candidates, once they have no job,
 * no pending call and no withdrawn job to be told of. */
static void
remove_unlisted(Delegates *delegates, const Address *addresses, guint count)
{
    guint i = 0;

    while (i < delegates->rows->len) {
        const Delegate *row = g_ptr_array_index(delegates->rows, i);
        if (row->jobs == 0 && row->extend_call_id == 0 &&
            row->withdrawn->len == 0 && !is_candidate(row, addresses, count)) {
            g_ptr_array_remove_index_fast(delegates->rows, i);
        }
        else {
            i++;
        }
    }
}

void
Delegates_SetCandidates(Delegates *delegates, const Address *addresses,
                        guint count)
{
    guint i;

    remove_unlisted(delegates, addresses, count);
    for (i = 0; i < count && delegates->rows->len < MAX_DELEGATES; i++) {
        Address address = addresses[(i + delegates->salt) % count];
        Delegate *row;
        if (Delegates_Find(delegates, address) != NULL) {
            continue;
        }
        row = g_new0(Delegate, 1);
        row->node.address = address;
        row->withdrawn = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_ptr_array_add(delegates->rows, row);
    }
}

bool
Delegates_IsExtendDue(const Delegate *row, int64_t now_ms, bool wanted)
{
    int64_t since_ms = now_ms - row->extend_sent_ms;

    if (row->extend_call_id != 0) {
        return false;
    }
    if (row->jobs > 0 || row->withdrawn->len > 0) {
        return since_ms >= RENEW_INTERVAL_MS;
    }
    return wanted && since_ms >= QUERY_INTERVAL_MS;
}

int64_t
Delegates_ValidUntil(const Delegate *row, const LeaseTiming *timing,
                     int64_t now_ms)
{
    if (row->received_ms == 0) {
        return 0;
    }
    return LeaseTiming_ValidUntil(timing, row->stamp_ms, row->received_ms,
                                  now_ms);
}

void
Delegates_ApplyAnswer(Delegate *row, int64_t now_ms,
                      const lc_extend_res *answer)
{
    int64_t headroom = (int64_t)MIN(answer->headroom, (uint64_t)MAX_HEADROOM);

    row->node = answer->node;
    row->stamp_ms = answer->stamp_ms;
    row->received_ms = now_ms;
    row->credit_bytes = headroom * QUERY_INTERVAL_MS / MS_PER_S /
                        CREDIT_DIVISOR;
}

void
Delegates_ClearCredit(Delegate *row)
{
    row->credit_bytes = 0;
}

Delegate *
Delegates_Pick(const Delegates *delegates, int64_t now_ms, int64_t bytes)
{
    Delegate *best = NULL;
    guint i;

    for (i = 0; i < delegates->rows->len; i++) {
        Delegate *row = g_ptr_array_index(delegates->rows, i);
        if (row->received_ms == 0 ||
            now_ms - row->received_ms > MAX_ANSWER_AGE_MS ||
            row->credit_bytes < bytes) {
            continue;
        }
        if (best == NULL || row->credit_bytes > best->credit_bytes) {
            best = row;
        }
    }
    return best;
}

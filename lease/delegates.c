#include "lease/delegates.h"

/* Entries that are asked; more would only spread the same bytes. */
#define MOST_ASKED 8
/* Leases of what they run are renewed so often, as those at companions. */
#define EXTEND_MS 100
/* And those that run nothing are asked so often while the own link is short.
 */
#define ASK_MS 250
/* Who has not answered within this is given nothing. */
#define FRESH_MS 500
/* Of the headroom told, the part that one entry uses until it is told again:
 * others may be told the same. */
#define CREDIT_PART 2
#define MS_PER_S 1000
/* A link that nobody limits is told as this. */
#define MOST_HEADROOM (INT64_C(1) << 40)

static void
free_row(gpointer item)
{
    Delegate *row = item;

    g_array_unref(row->gone);
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
is_named(const Delegate *row, const Address *addresses, guint count)
{
    guint i;

    for (i = 0; i < count; i++) {
        if (addresses[i] == row->node.address) {
            return true;
        }
    }
    return false;
}

/* Rows that are not named any more go once nothing of theirs is open. */
static void
drop_others(Delegates *delegates, const Address *addresses, guint count)
{
    guint i = 0;

    while (i < delegates->rows->len) {
        const Delegate *row = g_ptr_array_index(delegates->rows, i);
        if (row->jobs == 0 && row->asking == 0 && row->gone->len == 0 &&
            !is_named(row, addresses, count)) {
            g_ptr_array_remove_index_fast(delegates->rows, i);
        }
        else {
            i++;
        }
    }
}

void
Delegates_Offer(Delegates *delegates, const Address *addresses, guint count)
{
    guint i;

    drop_others(delegates, addresses, count);
    for (i = 0; i < count && delegates->rows->len < MOST_ASKED; i++) {
        Address address = addresses[(i + delegates->salt) % count];
        Delegate *row;
        if (Delegates_Find(delegates, address) != NULL) {
            continue;
        }
        row = g_new0(Delegate, 1);
        row->node.address = address;
        row->gone = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_ptr_array_add(delegates->rows, row);
    }
}

bool
Delegates_IsDue(const Delegate *row, int64_t now_ms, bool wanted)
{
    int64_t since_ms = now_ms - row->asked_ms;

    if (row->asking != 0) {
        return false;
    }
    if (row->jobs > 0 || row->gone->len > 0) {
        return since_ms >= EXTEND_MS;
    }
    return wanted && since_ms >= ASK_MS;
}

int64_t
Delegates_ValidUntil(const Delegate *row, const Term *term, int64_t now_ms)
{
    if (row->received_ms == 0) {
        return 0;
    }
    return Term_ValidUntil(term, row->stamp_ms, row->received_ms, now_ms);
}

void
Delegates_TakeWord(Delegate *row, int64_t now_ms, const lc_extend_res *word)
{
    int64_t headroom = (int64_t)MIN(word->headroom, (uint64_t)MOST_HEADROOM);

    row->node = word->node;
    row->stamp_ms = word->stamp_ms;
    row->received_ms = now_ms;
    row->credit_bytes = headroom * ASK_MS / MS_PER_S / CREDIT_PART;
}

void
Delegates_Close(Delegate *row)
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
        if (row->received_ms == 0 || now_ms - row->received_ms > FRESH_MS ||
            row->credit_bytes < bytes) {
            continue;
        }
        if (best == NULL || row->credit_bytes > best->credit_bytes) {
            best = row;
        }
    }
    return best;
}

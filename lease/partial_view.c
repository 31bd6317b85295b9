#include "lease/partial_view.h"

#include <string.h>
#include <xxhash.h>

typedef struct {
    uint64_t rank;
    Peers_Row *row;
} candidate;

static uint64_t
rank_of(Address self, Address entry)
{
    Address pair[] = {self, entry};

    return XXH3_64bits(pair, sizeof(pair));
}

static gint
compare_ranks(gconstpointer a, gconstpointer b)
{
    const candidate *left = a;
    const candidate *right = b;

    return left->rank < right->rank ? -1 : left->rank > right->rank;
}

/* A report to an entry whose hall is not known makes it return its hall. No
 * more such entries are chosen at once than a view holds, so that no entry is
 * called by every companion when all processes start together and none is in
 * the registry yet. */
static void
choose_unknown_halls(const GArray *candidates)
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < candidates->len; i++) {
        Peers_Row *row = g_array_index(candidates, candidate, i).row;
        row->chosen = row->hall[0] == '\0' && count < PARTIAL_VIEW_MAX_ENTRIES;
        count += row->chosen;
    }
}

/* Chooses the first candidates of the hall, or of all halls if that is NULL,
 * until `limit` are chosen in all; returns how many are. */
static uint32_t
choose_first(const GArray *candidates, const char *hall, uint32_t chosen,
             uint32_t limit)
{
    guint i;

    for (i = 0; i < candidates->len && chosen < limit; i++) {
        Peers_Row *row = g_array_index(candidates, candidate, i).row;
        if (!row->chosen && row->hall[0] != '\0' &&
            (hall == NULL || strcmp(row->hall, hall) == 0)) {
            row->chosen = true;
            chosen++;
        }
    }
    return chosen;
}

uint32_t
PartialView_Choose(const Peers *peers, int64_t now_ms, Address self,
                   const char *hall, bool all)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate));
    uint32_t count;
    uint32_t chosen;
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        Peers_Row *row = g_ptr_array_index(peers->rows, i);
        candidate item = {rank_of(self, row->address), row};
        row->chosen = false;
        if (peers->list_digest == 0 || row->listed || row->seed ||
            Peers_IsLive(row, now_ms)) {
            g_array_append_val(candidates, item);
        }
    }
    count = candidates->len;
    if (all || count <= PARTIAL_VIEW_MAX_ENTRIES) {
        for (i = 0; i < peers->rows->len; i++) {
            ((Peers_Row *)g_ptr_array_index(peers->rows, i))->chosen = true;
        }
        g_array_unref(candidates);
        return 0;
    }
    g_array_sort(candidates, compare_ranks);
    choose_unknown_halls(candidates);
    chosen = choose_first(candidates, hall, 0, PARTIAL_VIEW_OWN_HALL_ENTRIES);
    chosen = choose_first(candidates, NULL, chosen, PARTIAL_VIEW_MAX_ENTRIES);
    g_array_unref(candidates);
    return count - chosen;
}

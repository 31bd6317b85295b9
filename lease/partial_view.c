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

/* Entries whose halls are not known are asked for them, by a report, a view's
 * number at once: when all processes begin together, and none is in the
 * register yet, nobody is called by every companion. */
static void
choose_unknown(const GArray *candidates)
{
    uint32_t asked = 0;
    guint i;

    for (i = 0; i < candidates->len; i++) {
        Peers_Row *row = g_array_index(candidates, candidate, i).row;
        row->chosen = row->hall[0] == '\0' && asked < PARTIAL_VIEW_MOST;
        asked += row->chosen;
    }
}

/* Marks the first ones of the hall, or of all halls if that is NULL, until
 * `most` are marked in all; returns how many are. */
static uint32_t
choose_first(const GArray *candidates, const char *hall, uint32_t chosen,
             uint32_t most)
{
    guint i;

    for (i = 0; i < candidates->len && chosen < most; i++) {
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
        candidate one = {rank_of(self, row->address), row};
        row->chosen = false;
        if (peers->list_digest == 0 || row->listed || row->seed ||
            Peers_IsLive(row, now_ms)) {
            g_array_append_val(candidates, one);
        }
    }
    count = candidates->len;
    if (all || count <= PARTIAL_VIEW_MOST) {
        for (i = 0; i < peers->rows->len; i++) {
            ((Peers_Row *)g_ptr_array_index(peers->rows, i))->chosen = true;
        }
        g_array_unref(candidates);
        return 0;
    }
    g_array_sort(candidates, compare_ranks);
    choose_unknown(candidates);
    chosen = choose_first(candidates, hall, 0, PARTIAL_VIEW_OWN);
    chosen = choose_first(candidates, NULL, chosen, PARTIAL_VIEW_MOST);
    g_array_unref(candidates);
    return count - chosen;
}

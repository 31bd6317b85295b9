#include "lease/registry.h"

/* After a read that failed; doubled up to the most. Chosen: some tries within
 * the second that a restart of everything should take, then a call every two
 * seconds while the store is away. */
#define RETRY_MS 100
#define RETRY_MOST_MS 2000
/* A process that hears no entry reads again so often. Chosen as long as an
 * entry that is no seed may take to answer. */
#define ALONE_MS 1000
/* An entry looks for its own record, and for those of entries that are gone,
 * so often: two reads a second of 60 entries. Chosen. */
#define REFRESH_MS 30000
/* The record of an entry that was silent for so long is dropped: longer than
 * a restart or a cut usually takes; who lives puts its own again at its next
 * refresh. Chosen. */
#define GONE_MS 60000

void
Registry_Init(Registry *registry, Address self, int64_t now_ms)
{
    registry->self = self;
    registry->calling = false;
    registry->missing = false;
    registry->again_ms = now_ms;
    registry->pause_ms = RETRY_MS;
    registry->silent = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                             g_free, g_free);
}

void
Registry_Clear(Registry *registry)
{
    g_hash_table_unref(registry->silent);
}

static bool
hears_any(const Peers *peers, int64_t now_ms)
{
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        if (Peers_IsLive(g_ptr_array_index(peers->rows, i), now_ms)) {
            return true;
        }
    }
    return false;
}

/* One live entry drops a record: the one whose address follows it. */
static bool
is_next_of(Address self, Address gone, const Peers *peers, int64_t now_ms)
{
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        const Peers_Row *row = g_ptr_array_index(peers->rows, i);
        if (Peers_IsLive(row, now_ms) && row->address - gone < self - gone) {
            return false;
        }
    }
    return true;
}

static bool
find_gone(const Registry *registry, int64_t now_ms, const Peers *peers,
          Address *gone)
{
    GHashTableIter iter;
    gpointer address;
    gpointer since_ms;

    g_hash_table_iter_init(&iter, registry->silent);
    while (g_hash_table_iter_next(&iter, &address, &since_ms)) {
        *gone = *(const Address *)address;
        if (now_ms - *(const int64_t *)since_ms >= GONE_MS &&
            is_next_of(registry->self, *gone, peers, now_ms)) {
            return true;
        }
    }
    return false;
}

Registry_Step
Registry_Next(Registry *registry, int64_t now_ms, const Peers *peers,
              Address *gone)
{
    bool hears = hears_any(peers, now_ms);
    int64_t due_ms = registry->again_ms;

    if (registry->calling) {
        return REGISTRY_WAIT;
    }
    registry->calling = true;
    if (registry->missing) {
        registry->missing = false;
        return REGISTRY_PUT;
    }
    if (registry->self != 0 && hears &&
        find_gone(registry, now_ms, peers, gone)) {
        g_hash_table_remove(registry->silent, gone);
        return REGISTRY_DROP;
    }
    if (now_ms >= due_ms && (registry->self != 0 || !hears)) {
        return REGISTRY_READ;
    }
    registry->calling = false;
    return REGISTRY_WAIT;
}

static void
note_silent(Registry *registry, int64_t now_ms, Address address,
            const Peers *peers)
{
    const Peers_Row *row = Peers_Find(peers, address);

    if (row != NULL && Peers_IsLive(row, now_ms)) {
        g_hash_table_remove(registry->silent, &address);
    }
    else if (!g_hash_table_contains(registry->silent, &address)) {
        g_hash_table_insert(registry->silent,
                            g_memdup2(&address, sizeof(address)),
                            g_memdup2(&now_ms, sizeof(now_ms)));
    }
}

void
Registry_OnRead(Registry *registry, int64_t now_ms, const GArray *entries,
                Peers *peers)
{
    bool found = false;
    guint i;

    registry->calling = false;
    if (entries == NULL) {
        registry->again_ms = now_ms + registry->pause_ms;
        registry->pause_ms = MIN(2 * registry->pause_ms, RETRY_MOST_MS);
        return;
    }
    registry->pause_ms = RETRY_MS;
    for (i = 0; i < entries->len; i++) {
        const Peers_Named *named = &g_array_index(entries, Peers_Named, i);
        Address address = named->address;
        found |= address == registry->self;
        if (address != registry->self) {
            Peers_Name(peers, address, now_ms);
            Peers_SetHall(peers, address, named->hall);
            note_silent(registry, now_ms, address, peers);
        }
    }
    registry->missing = registry->self != 0 && !found;
    registry->again_ms = now_ms +
                         (hears_any(peers, now_ms) ? REFRESH_MS : ALONE_MS);
}

void
Registry_OnWritten(Registry *registry, int64_t now_ms, bool confirmed)
{
    registry->calling = false;
    if (!confirmed) {
        registry->again_ms = now_ms + registry->pause_ms;
        registry->pause_ms = MIN(2 * registry->pause_ms, RETRY_MOST_MS);
    }
}

#include "lease/entry_registry.h"

/* Delay after a failed call, doubled up to the maximum: several tries within
 * the second that a restart of the whole fleet should take, then a call every
 * two seconds while the store is unavailable. */
#define RETRY_MS 100
#define RETRY_MAX_MS 2000
/* Read interval of a process without live peers: the time that an entry which
 * is no seed may take to answer. */
#define ISOLATED_READ_MS 1000
/* Interval at which an entry looks for its own record and for records of
 * entries that are gone: two reads a second by 60 entries together. */
#define REFRESH_MS 30000
/* The record of an entry that was silent for this long is deleted. Longer than
 * a restart or a network partition usually takes; a live entry whose record
 * was deleted writes it again at its next refresh. */
#define DELETE_AFTER_MS 60000

void
EntryRegistry_Init(EntryRegistry *registry, Address self, int64_t now_ms)
{
    registry->self = self;
    registry->call_pending = false;
    registry->record_missing = false;
    registry->next_read_ms = now_ms;
    registry->retry_delay_ms = RETRY_MS;
    registry->silent_since = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                                   g_free, g_free);
}

void
EntryRegistry_Clear(EntryRegistry *registry)
{
    g_hash_table_unref(registry->silent_since);
}

static bool
has_live_peer(const Peers *peers, int64_t now_ms)
{
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        if (Peers_IsLive(g_ptr_array_index(peers->rows, i), now_ms)) {
            return true;
        }
    }
    return false;
}

/* Only one live entry deletes a record: the one whose address follows next,
 * in ring order. */
static bool
is_successor(Address self, Address gone, const Peers *peers, int64_t now_ms)
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
find_gone(const EntryRegistry *registry, int64_t now_ms, const Peers *peers,
          Address *gone)
{
    GHashTableIter iter;
    gpointer address;
    gpointer since_ms;

    g_hash_table_iter_init(&iter, registry->silent_since);
    while (g_hash_table_iter_next(&iter, &address, &since_ms)) {
        *gone = *(const Address *)address;
        if (now_ms - *(const int64_t *)since_ms >= DELETE_AFTER_MS &&
            is_successor(registry->self, *gone, peers, now_ms)) {
            return true;
        }
    }
    return false;
}

EntryRegistry_Step
EntryRegistry_Next(EntryRegistry *registry, int64_t now_ms, const Peers *peers,
                   Address *gone)
{
    bool has_live = has_live_peer(peers, now_ms);
    int64_t due_ms = registry->next_read_ms;

    if (registry->call_pending) {
        return ENTRY_REGISTRY_WAIT;
    }
    registry->call_pending = true;
    if (registry->record_missing) {
        registry->record_missing = false;
        return ENTRY_REGISTRY_WRITE;
    }
    if (registry->self != 0 && has_live &&
        find_gone(registry, now_ms, peers, gone)) {
        g_hash_table_remove(registry->silent_since, gone);
        return ENTRY_REGISTRY_DELETE;
    }
    if (now_ms >= due_ms && (registry->self != 0 || !has_live)) {
        return ENTRY_REGISTRY_READ;
    }
    registry->call_pending = false;
    return ENTRY_REGISTRY_WAIT;
}

static void
update_silent(EntryRegistry *registry, int64_t now_ms, Address address,
              const Peers *peers)
{
    const Peers_Row *row = Peers_Find(peers, address);

    if (row != NULL && Peers_IsLive(row, now_ms)) {
        g_hash_table_remove(registry->silent_since, &address);
    }
    else if (!g_hash_table_contains(registry->silent_since, &address)) {
        g_hash_table_insert(registry->silent_since,
                            g_memdup2(&address, sizeof(address)),
                            g_memdup2(&now_ms, sizeof(now_ms)));
    }
}

void
EntryRegistry_OnRead(EntryRegistry *registry, int64_t now_ms,
                     const GArray *entries, Peers *peers)
{
    bool found = false;
    guint i;

    registry->call_pending = false;
    if (entries == NULL) {
        registry->next_read_ms = now_ms + registry->retry_delay_ms;
        registry->retry_delay_ms = MIN(2 * registry->retry_delay_ms,
                                       RETRY_MAX_MS);
        return;
    }
    registry->retry_delay_ms = RETRY_MS;
    for (i = 0; i < entries->len; i++) {
        const Peers_RegistryRecord *named = &g_array_index(
            entries, Peers_RegistryRecord, i);
        Address address = named->address;
        found |= address == registry->self;
        if (address != registry->self) {
            Peers_Add(peers, address, now_ms);
            Peers_SetHall(peers, address, named->hall);
            update_silent(registry, now_ms, address, peers);
        }
    }
    registry->record_missing = registry->self != 0 && !found;
    registry->next_read_ms = now_ms + (has_live_peer(peers, now_ms)
                                           ? REFRESH_MS
                                           : ISOLATED_READ_MS);
}

void
EntryRegistry_OnWritten(EntryRegistry *registry, int64_t now_ms,
                        bool confirmed)
{
    registry->call_pending = false;
    if (!confirmed) {
        registry->next_read_ms = now_ms + registry->retry_delay_ms;
        registry->retry_delay_ms = MIN(2 * registry->retry_delay_ms,
                                       RETRY_MAX_MS);
    }
}

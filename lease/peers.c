#include "lease/peers.h"

#include <string.h>
#include <xxhash.h>

/* An entry not heard for this long is no longer live and is left out of the
 * lists sent to other processes. */
#define LIVENESS_TIMEOUT_MS 8000
/* An entry that is no seed and was neither heard nor named for this long is
 * removed. */
#define REMOVE_AFTER_MS 20000

/* Calls to an entry that is not live, but was last heard or first named less
 * than STARTING_MS ago, have a short timeout: it may be starting, and what was
 * sent before it listened is lost. */
#define STARTING_MS 8000
#define STARTING_CALL_TIMEOUT_MS 120
#define CALL_TIMEOUT_MS 1000

static uint64_t
digest_of(Address address)
{
    return XXH3_64bits(&address, sizeof(address));
}

static void
free_row(gpointer item)
{
    Peers_Row *row = item;

    g_array_unref(row->waiting);
    g_free(row);
}

void
Peers_Init(Peers *peers, Address self)
{
    memset(peers, 0, sizeof(*peers));
    peers->self = self;
    peers->rows = g_ptr_array_new_with_free_func(free_row);
}

void
Peers_Clear(Peers *peers)
{
    g_ptr_array_unref(peers->rows);
}

Peers_Row *
Peers_Find(const Peers *peers, Address address)
{
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        Peers_Row *row = g_ptr_array_index(peers->rows, i);
        if (row->address == address) {
            return row;
        }
    }
    return NULL;
}

bool
Peers_Add(Peers *peers, Address address, int64_t now_ms)
{
    Peers_Row *row = Peers_Find(peers, address);
    bool is_new = row == NULL;

    if (address == peers->self) {
        return false;
    }
    if (is_new) {
        row = g_new0(Peers_Row, 1);
        row->address = address;
        row->since_ms = now_ms;
        row->routes_version = -1;
        row->waiting = g_array_new(FALSE, TRUE, sizeof(Peers_QueueCount));
        g_ptr_array_add(peers->rows, row);
    }
    row->last_named_ms = now_ms;
    return is_new;
}

void
Peers_SetHall(Peers *peers, Address address, const char *hall)
{
    Peers_Row *row = Peers_Find(peers, address);

    if (row != NULL && hall != NULL && hall[0] != '\0') {
        g_strlcpy(row->hall, hall, sizeof(row->hall));
    }
}

void
Peers_ReplaceList(Peers *peers, const u_quad_t *entries, u_int count,
                  int64_t now_ms)
{
    uint64_t digest = 0;
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        ((Peers_Row *)g_ptr_array_index(peers->rows, i))->listed = false;
    }
    for (i = 0; i < count; i++) {
        Peers_Row *row;
        digest ^= digest_of(entries[i]);
        Peers_Add(peers, entries[i], now_ms);
        row = Peers_Find(peers, entries[i]);
        if (row != NULL) {
            row->listed = true;
        }
    }
    peers->list_digest = digest;
    peers->list_confirmed_ms = now_ms;
}

void
Peers_ConfirmList(Peers *peers, int64_t now_ms)
{
    peers->list_confirmed_ms = now_ms;
}

bool
Peers_MarkAlive(Peers *peers, Address address, int64_t now_ms)
{
    Peers_Row *row;
    bool was_live;

    Peers_Add(peers, address, now_ms);
    row = Peers_Find(peers, address);
    if (row == NULL) {
        return false;
    }
    was_live = Peers_IsLive(row, now_ms);
    row->heard_ms = now_ms;
    return !was_live;
}

void
Peers_SetSeeds(Peers *peers, const Address *seeds, uint32_t count,
               int64_t now_ms)
{
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        ((Peers_Row *)g_ptr_array_index(peers->rows, i))->seed = false;
    }
    for (i = 0; i < count; i++) {
        Peers_Row *row;
        Peers_Add(peers, seeds[i], now_ms);
        row = Peers_Find(peers, seeds[i]);
        if (row != NULL) {
            row->seed = true;
        }
    }
}

Peers_Row *
Peers_FindByCall(const Peers *peers, uint64_t call_id)
{
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        Peers_Row *row = g_ptr_array_index(peers->rows, i);
        if (row->call_id == call_id) {
            return row;
        }
    }
    return NULL;
}

void
Peers_Expire(Peers *peers, int64_t now_ms)
{
    guint i = 0;

    while (i < peers->rows->len) {
        const Peers_Row *row = g_ptr_array_index(peers->rows, i);
        int64_t last_known_ms = MAX(row->heard_ms, row->last_named_ms);
        if (row->listed) {
            last_known_ms = MAX(last_known_ms, peers->list_confirmed_ms);
        }
        if (!row->seed && row->call_id == 0 &&
            now_ms - last_known_ms > REMOVE_AFTER_MS) {
            g_ptr_array_remove_index_fast(peers->rows, i);
        }
        else {
            i++;
        }
    }
}

bool
Peers_IsLive(const Peers_Row *row, int64_t now_ms)
{
    return row->heard_ms > 0 && now_ms - row->heard_ms < LIVENESS_TIMEOUT_MS;
}

int64_t
Peers_CallTimeoutMs(const Peers_Row *row, int64_t now_ms)
{
    int64_t silent_ms = now_ms - MAX(row->heard_ms, row->since_ms);

    if (Peers_IsLive(row, now_ms) || silent_ms > STARTING_MS) {
        return CALL_TIMEOUT_MS;
    }
    return STARTING_CALL_TIMEOUT_MS;
}

GArray *
Peers_ListLive(const Peers *peers, int64_t now_ms, Address extra)
{
    GArray *live = g_array_new(FALSE, FALSE, sizeof(Address));
    guint i;

    if (extra != 0) {
        g_array_append_val(live, extra);
    }
    for (i = 0; i < peers->rows->len; i++) {
        const Peers_Row *row = g_ptr_array_index(peers->rows, i);
        if (Peers_IsLive(row, now_ms)) {
            g_array_append_val(live, row->address);
        }
    }
    return live;
}

uint32_t
Peers_CountLive(const Peers *peers, int64_t now_ms)
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        count += Peers_IsLive(g_ptr_array_index(peers->rows, i), now_ms);
    }
    return count;
}

uint64_t
Peers_Digest(const GArray *addresses)
{
    uint64_t digest = 0;
    guint i;

    for (i = 0; i < addresses->len; i++) {
        digest ^= digest_of(g_array_index(addresses, Address, i));
    }
    return digest;
}

int64_t
Peers_CallIntervalMs(const Peers *peers, int64_t per_peer_ms, int64_t min_ms,
                     int64_t max_ms)
{
    return CLAMP(per_peer_ms * (int64_t)peers->rows->len, min_ms, max_ms);
}

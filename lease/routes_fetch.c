#include "lease/routes_fetch.h"

/* Head start of the store: its own copy arrives within a round trip and the
 * time to transfer it. If it does not, half of the smallest config_apply_ms
 * (2,000) is left for the fetch. */
#define STORE_HEAD_START_MS 300
/* Timeout of a call for one chunk. At 64 KiB/s, the slowest link considered,
 * a chunk needs half of this. */
#define CHUNK_TIMEOUT_MS 1000

void
RoutesFetch_Init(RoutesFetch *fetch, uint32_t next_peer)
{
    fetch->bytes = g_byte_array_new();
    fetch->next_peer = next_peer;
}

void
RoutesFetch_Clear(RoutesFetch *fetch)
{
    if (fetch->bytes != NULL) {
        g_byte_array_unref(fetch->bytes);
    }
}

static void
restart(RoutesFetch *fetch, int64_t version)
{
    fetch->version = version;
    fetch->total = 0;
    g_byte_array_set_size(fetch->bytes, 0);
}

static bool
is_complete(const RoutesFetch *fetch)
{
    return fetch->total > 0 && fetch->bytes->len == fetch->total;
}

static bool
has_newer_routes(const Peers_Row *peer, int64_t now_ms, int64_t version)
{
    return Peers_IsLive(peer, now_ms) && peer->routes_version > version;
}

/* Stays with the last peer unless it has failed. Otherwise takes the next in
 * round-robin order, and the failed one only if there is no other. */
static const Peers_Row *
choose_peer(RoutesFetch *fetch, int64_t now_ms, int64_t version,
            const Peers *peers)
{
    const Peers_Row *found = NULL;
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        guint index = (fetch->next_peer + i) % peers->rows->len;
        const Peers_Row *peer = g_ptr_array_index(peers->rows, index);
        bool is_last = peer->address == fetch->from;

        if (!has_newer_routes(peer, now_ms, version)) {
            continue;
        }
        if (is_last && !fetch->failed) {
            return peer;
        }
        if (found == NULL || (found->address == fetch->from && !is_last)) {
            found = peer;
        }
    }
    return found;
}

/* Without routes no request can be served, so the first table is fetched
 * without waiting for the store. */
static bool
may_start(const RoutesFetch *fetch, int64_t now_ms, int64_t version,
          bool store_answers)
{
    return version < 0 || !store_answers ||
           now_ms - fetch->newer_since_ms >= STORE_HEAD_START_MS;
}

static void
reset(RoutesFetch *fetch)
{
    fetch->newer_since_ms = 0;
    fetch->asking = false;
    restart(fetch, -1);
}

bool
RoutesFetch_Next(RoutesFetch *fetch, int64_t now_ms, int64_t version,
                 bool store_answers, const Peers *peers,
                 RoutesFetch_Call *call)
{
    const Peers_Row *peer;

    if (fetch->asking && now_ms - fetch->sent_ms >= CHUNK_TIMEOUT_MS) {
        RoutesFetch_OnFailure(fetch);
    }
    peer = choose_peer(fetch, now_ms, version, peers);
    if (peer == NULL) {
        reset(fetch);
        return false;
    }
    if (fetch->newer_since_ms == 0 || is_complete(fetch)) {
        /* A record that was received whole but could not be used is not
         * fetched again at once: the store's head start begins anew. */
        restart(fetch, -1);
        fetch->newer_since_ms = now_ms;
    }
    if (fetch->asking || !may_start(fetch, now_ms, version, store_answers)) {
        return false;
    }
    if (fetch->version <= version || (peer->address != fetch->from &&
                                      peer->routes_version < fetch->version)) {
        restart(fetch, peer->routes_version);
    }
    fetch->from = peer->address;
    fetch->failed = false;
    fetch->asking = true;
    fetch->sent_ms = now_ms;
    call->to = peer->address;
    call->args.routes_version = fetch->version;
    call->args.offset = fetch->bytes->len;
    return true;
}

static bool
is_usable(const RoutesFetch *fetch, const lc_routes_res *reply)
{
    return reply->routes_version == fetch->version &&
           reply->data.data_len > 0 &&
           reply->total <= ROUTES_FETCH_MAX_BYTES &&
           reply->offset == fetch->bytes->len &&
           reply->offset <= reply->total &&
           reply->data.data_len <= reply->total - reply->offset &&
           (fetch->total == 0 || reply->total == fetch->total);
}

void
RoutesFetch_OnFailure(RoutesFetch *fetch)
{
    fetch->asking = false;
    fetch->failed = true;
    fetch->next_peer++;
}

RoutesFetch_Result
RoutesFetch_OnReply(RoutesFetch *fetch, const lc_routes_res *reply)
{
    fetch->asking = false;
    if (reply->routes_version > fetch->version) {
        restart(fetch, reply->routes_version);
    }
    if (!is_usable(fetch, reply)) {
        RoutesFetch_OnFailure(fetch);
        return ROUTES_FETCH_FAILED;
    }
    fetch->total = reply->total;
    g_byte_array_append(fetch->bytes, (const guint8 *)reply->data.data_val,
                        reply->data.data_len);
    return is_complete(fetch) ? ROUTES_FETCH_COMPLETE : ROUTES_FETCH_PARTIAL;
}

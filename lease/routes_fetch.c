#include "lease/routes_fetch.h"

/* The store's own copy comes within a round trip and its time on the line.
 * Half of the least config_apply_ms (2,000) stays for the fetch if it does
 * not. */
#define STORE_FIRST_MS 300
/* A chunk is given up after so long: at 64 KiB/s, the slowest line that is
 * reckoned with, it needs half of this. */
#define CHUNK_PATIENCE_MS 1000

void
RoutesFetch_Init(Routes_Fetch *fetch, uint32_t turn)
{
    fetch->bytes = g_byte_array_new();
    fetch->turn = turn;
}

void
RoutesFetch_Clear(Routes_Fetch *fetch)
{
    if (fetch->bytes != NULL) {
        g_byte_array_unref(fetch->bytes);
    }
}

static void
begin_anew(Routes_Fetch *fetch, int64_t version)
{
    fetch->version = version;
    fetch->total = 0;
    g_byte_array_set_size(fetch->bytes, 0);
}

static bool
is_whole(const Routes_Fetch *fetch)
{
    return fetch->total > 0 && fetch->bytes->len == fetch->total;
}

static bool
has_newer(const Peers_Row *peer, int64_t now_ms, int64_t version)
{
    return Peers_IsLive(peer, now_ms) && peer->routes_version > version;
}

/* The peer asked last goes on, unless it has failed; else the next in turn,
 * and the one that failed only if there is no other. */
static const Peers_Row *
choose_peer(Routes_Fetch *fetch, int64_t now_ms, int64_t version,
            const Peers *peers)
{
    const Peers_Row *found = NULL;
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        guint place = (fetch->turn + i) % peers->rows->len;
        const Peers_Row *peer = g_ptr_array_index(peers->rows, place);
        bool is_last = peer->address == fetch->from;

        if (!has_newer(peer, now_ms, version)) {
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

/* Without any routes nothing is served: that does not wait for the store. */
static bool
may_begin(const Routes_Fetch *fetch, int64_t now_ms, int64_t version,
          bool store_answers)
{
    return version < 0 || !store_answers ||
           now_ms - fetch->behind_ms >= STORE_FIRST_MS;
}

static void
stop(Routes_Fetch *fetch)
{
    fetch->behind_ms = 0;
    fetch->asking = false;
    begin_anew(fetch, -1);
}

bool
RoutesFetch_Next(Routes_Fetch *fetch, int64_t now_ms, int64_t version,
                 bool store_answers, const Peers *peers,
                 RoutesFetch_Call *call)
{
    const Peers_Row *peer;

    if (fetch->asking && now_ms - fetch->asked_ms >= CHUNK_PATIENCE_MS) {
        RoutesFetch_Fail(fetch);
    }
    peer = choose_peer(fetch, now_ms, version, peers);
    if (peer == NULL) {
        stop(fetch);
        return false;
    }
    if (fetch->behind_ms == 0 || is_whole(fetch)) {
        /* A record that came whole and was of no use is not asked for again at
         * once. */
        begin_anew(fetch, -1);
        fetch->behind_ms = now_ms;
    }
    if (fetch->asking || !may_begin(fetch, now_ms, version, store_answers)) {
        return false;
    }
    if (fetch->version <= version || (peer->address != fetch->from &&
                                      peer->routes_version < fetch->version)) {
        begin_anew(fetch, peer->routes_version);
    }
    fetch->from = peer->address;
    fetch->failed = false;
    fetch->asking = true;
    fetch->asked_ms = now_ms;
    call->to = peer->address;
    call->args.routes_version = fetch->version;
    call->args.offset = fetch->bytes->len;
    return true;
}

static bool
is_useful(const Routes_Fetch *fetch, const lc_routes_res *answer)
{
    return answer->routes_version == fetch->version &&
           answer->data.data_len > 0 && answer->total <= ROUTES_FETCH_MOST &&
           answer->offset == fetch->bytes->len &&
           answer->offset <= answer->total &&
           answer->data.data_len <= answer->total - answer->offset &&
           (fetch->total == 0 || answer->total == fetch->total);
}

void
RoutesFetch_Fail(Routes_Fetch *fetch)
{
    fetch->asking = false;
    fetch->failed = true;
    fetch->turn++;
}

RoutesFetch_Step
RoutesFetch_Take(Routes_Fetch *fetch, const lc_routes_res *answer)
{
    fetch->asking = false;
    if (answer->routes_version > fetch->version) {
        begin_anew(fetch, answer->routes_version);
    }
    if (!is_useful(fetch, answer)) {
        RoutesFetch_Fail(fetch);
        return ROUTES_FETCH_FAILED;
    }
    fetch->total = answer->total;
    g_byte_array_append(fetch->bytes, (const guint8 *)answer->data.data_val,
                        answer->data.data_len);
    return is_whole(fetch) ? ROUTES_FETCH_WHOLE : ROUTES_FETCH_MORE;
}

#include "core/placement.h"

#include <string.h>

#include "core/members.h"

#define HINT_MS 100
#define PROBES 2
#define MAX_PROBES 8

typedef Peer *(*choose_function)(Board *board, const GPtrArray *usable);

static uint32_t
believed_free(const Board *board, const Peer *peer)
{
    uint32_t busy = peer->running;

    /* What others held is old news, unless the companion will call us. */
    if (peer->registered || board->now.mono_ms - peer->heard_ms < HINT_MS) {
        busy += peer->others;
    }
    return busy >= peer->slots ? 0 : peer->slots - busy;
}

static bool
is_open(const Board *board, const Peer *peer)
{
    return board->now.mono_ms >= peer->not_before_ms &&
           believed_free(board, peer) > 0 && Members_Usable(board, peer);
}

static Peer *
random_peer(Board *board, const GPtrArray *usable)
{
    return g_ptr_array_index(usable, Board_Random(board) % usable->len);
}

/* Any companion that did not refuse just now, full or not. */
static Peer *
choose_random(Board *board, const GPtrArray *usable)
{
    int i;

    for (i = 0; i < MAX_PROBES; i++) {
        Peer *peer = random_peer(board, usable);
        if (board->now.mono_ms >= peer->not_before_ms) {
            return peer;
        }
    }
    return NULL;
}

/* The freer of two random open ones, so that entries do not choose alike. */
static Peer *
choose_of_two(Board *board, const GPtrArray *usable)
{
    Peer *best = NULL;
    int found = 0;
    int i;

    for (i = 0; i < MAX_PROBES && found < PROBES; i++) {
        Peer *peer = random_peer(board, usable);
        if (!is_open(board, peer)) {
            continue;
        }
        found++;
        if (best == NULL ||
            believed_free(board, peer) > believed_free(board, best)) {
            best = peer;
        }
    }
    return best;
}

/* As before; where probes find none, the first open one in turn. */
static Peer *
choose_granted(Board *board, const GPtrArray *usable)
{
    Peer *best = choose_of_two(board, usable);
    guint start = (guint)(Board_Random(board) % usable->len);
    guint i;

    for (i = 0; best == NULL && i < usable->len; i++) {
        Peer *peer = g_ptr_array_index(usable, (start + i) % usable->len);
        if (is_open(board, peer)) {
            best = peer;
        }
    }
    return best;
}

static const struct {
    const char *text;
    choose_function choose;
    bool tells_demand;
} policies[PLACEMENT_COUNT] = {
#define X(name, text, choose, tells_demand) {text, choose, tells_demand},
    PLACEMENT_LIST(X)
#undef X
};

Placement_Policy
Placement_FromText(const char *text)
{
    int i;

    for (i = 0; i < PLACEMENT_COUNT; i++) {
        if (strcmp(policies[i].text, text) == 0) {
            break;
        }
    }
    return (Placement_Policy)i;
}

Peer *
Placement_Choose(Board *board)
{
    const GPtrArray *usable = Members_AllUsable(board);

    if (usable->len == 0) {
        return NULL;
    }
    return policies[board->config.placement].choose(board, usable);
}

bool
Placement_TellsDemand(const Board *board)
{
    return policies[board->config.placement].tells_demand;
}

void
Placement_HeardFree(Board *board, Peer *peer, uint32_t free)
{
    uint32_t busy = peer->slots > free ? peer->slots - free : 0;

    peer->others = busy > peer->running ? busy - peer->running : 0;
    peer->heard_ms = board->now.mono_ms;
    if (free > 0) {
        peer->registered = false;
    }
}

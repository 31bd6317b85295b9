#include "core/placement.h"

#include <string.h>

#include "core/members.h"

#define OTHERS_SHARE 0.5
#define PROBE_MS 50
#define QUEUED_MS 2000
#define PROBES 2
#define MAX_PROBES 8

typedef Peer *(*choose_function)(Board *board, const GPtrArray *usable);

static uint32_t
believed_free(const Peer *peer)
{
    uint32_t busy = peer->running + (uint32_t)(peer->others + 0.5);

    return busy >= peer->slots ? 0 : peer->slots - busy;
}

static bool
is_open(const Board *board, const Peer *peer)
{
    return board->now.mono_ms >= peer->not_before_ms &&
           board->now.mono_ms >= peer->queued_until_ms &&
           believed_free(peer) > 0 && Members_Usable(board, peer);
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
        if (best == NULL || believed_free(peer) > believed_free(best)) {
            best = peer;
        }
    }
    return best;
}

/*
 * What is believed of others may be old: one start is risked on a companion
 * that seems full and does not know that work waits here. It either runs, or
 * its refusal leaves our demand there.
 */
static bool
is_worth_a_probe(const Board *board, const Peer *peer)
{
    return peer->running < peer->slots &&
           board->now.mono_ms >= peer->queued_until_ms &&
           board->now.mono_ms >= peer->probe_ms &&
           board->now.mono_ms >= peer->not_before_ms;
}

/* As before; where random tries find none, the first open one in turn. */
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
    for (i = 0; best == NULL && i < usable->len; i++) {
        Peer *peer = g_ptr_array_index(usable, (start + i) % usable->len);
        if (is_worth_a_probe(board, peer)) {
            peer->probe_ms = board->now.mono_ms + PROBE_MS;
            peer->demand_sent = 0;
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

uint32_t
Placement_OpenSlots(Board *board)
{
    const GPtrArray *usable = Members_AllUsable(board);
    uint32_t open = 0;
    guint i;

    for (i = 0; i < usable->len; i++) {
        const Peer *peer = g_ptr_array_index(usable, i);
        if (is_open(board, peer)) {
            open += believed_free(peer);
        }
    }
    return open;
}

bool
Placement_TellsDemand(const Board *board)
{
    return policies[board->config.placement].tells_demand;
}

void
Placement_HeardFree(Peer *peer, uint32_t free)
{
    uint32_t busy = peer->slots > free ? peer->slots - free : 0;
    double others = busy > peer->running ? busy - peer->running : 0;

    peer->others += OTHERS_SHARE * (others - peer->others);
    if (free > 0) {
        peer->queued_until_ms = 0;
    }
}

void
Placement_Queued(const Board *board, Peer *peer)
{
    peer->queued_until_ms = board->now.mono_ms + QUEUED_MS;
}

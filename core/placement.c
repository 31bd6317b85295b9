#include "core/placement.h"

#include <string.h>

#include "core/membership.h"

#define OTHERS_EWMA_WEIGHT 0.5
#define PROBE_INTERVAL_MS 50
#define QUEUED_TIMEOUT_MS 2000
#define CANDIDATES 2
#define MAX_DRAWS 8

typedef Peer *(*choose_function)(Blackboard *board, const GPtrArray *usable);

static uint32_t
estimated_free(const Peer *peer)
{
    uint32_t busy = peer->running + (uint32_t)(peer->others + 0.5);

    return busy >= peer->slots ? 0 : peer->slots - busy;
}

static bool
has_free_slot(const Blackboard *board, const Peer *peer)
{
    return board->now.mono_ms >= peer->not_before_ms &&
           board->now.mono_ms >= peer->queued_until_ms &&
           estimated_free(peer) > 0 && Membership_IsUsable(board, peer);
}

static Peer *
random_peer(Blackboard *board, const GPtrArray *usable)
{
    return g_ptr_array_index(usable, Blackboard_Random(board) % usable->len);
}

/* Any companion that did not refuse a start lately, full or not. */
static Peer *
choose_random(Blackboard *board, const GPtrArray *usable)
{
    int i;

    for (i = 0; i < MAX_DRAWS; i++) {
        Peer *peer = random_peer(board, usable);
        if (board->now.mono_ms >= peer->not_before_ms) {
            return peer;
        }
    }
    return NULL;
}

/*
 * The one with more free slots of two drawn at random, so that entries do not
 * all choose the same companion.
 */
static Peer *
choose_of_two(Blackboard *board, const GPtrArray *usable)
{
    Peer *best = NULL;
    int found = 0;
    int i;

    for (i = 0; i < MAX_DRAWS && found < CANDIDATES; i++) {
        Peer *peer = random_peer(board, usable);
        if (!has_free_slot(board, peer)) {
            continue;
        }
        found++;
        if (best == NULL || estimated_free(peer) > estimated_free(best)) {
            best = peer;
        }
    }
    return best;
}

/*
 * The estimate of slots used by other entries may be out of date, so one start
 * is sent to a companion that seems full and does not have our demand. Either
 * the task runs, or the companion refuses it and registers the demand.
 */
static bool
may_probe(const Blackboard *board, const Peer *peer)
{
    return peer->running < peer->slots &&
           board->now.mono_ms >= peer->queued_until_ms &&
           board->now.mono_ms >= peer->next_probe_ms &&
           board->now.mono_ms >= peer->not_before_ms;
}

/*
 * As choose_of_two; if the random draws find none, the first companion with a
 * free slot from a random start, then the first that may be probed.
 */
static Peer *
choose_granted(Blackboard *board, const GPtrArray *usable)
{
    Peer *best = choose_of_two(board, usable);
    guint start = (guint)(Blackboard_Random(board) % usable->len);
    guint i;

    for (i = 0; best == NULL && i < usable->len; i++) {
        Peer *peer = g_ptr_array_index(usable, (start + i) % usable->len);
        if (has_free_slot(board, peer)) {
            best = peer;
        }
    }
    for (i = 0; best == NULL && i < usable->len; i++) {
        Peer *peer = g_ptr_array_index(usable, (start + i) % usable->len);
        if (may_probe(board, peer)) {
            peer->next_probe_ms = board->now.mono_ms + PROBE_INTERVAL_MS;
            peer->demand_sent = 0;
            best = peer;
        }
    }
    return best;
}

static const struct {
    const char *text;
    choose_function choose;
    bool sends_demand;
} policies[PLACEMENT_COUNT] = {
#define X(name, text, choose, sends_demand) {text, choose, sends_demand},
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
Placement_Choose(Blackboard *board)
{
    const GPtrArray *usable = Membership_UsableCompanions(board);

    if (usable->len == 0) {
        return NULL;
    }
    return policies[board->config.placement].choose(board, usable);
}

uint32_t
Placement_FreeSlots(Blackboard *board)
{
    const GPtrArray *usable = Membership_UsableCompanions(board);
    uint32_t free_slots = 0;
    guint i;

    for (i = 0; i < usable->len; i++) {
        const Peer *peer = g_ptr_array_index(usable, i);
        if (has_free_slot(board, peer)) {
            free_slots += estimated_free(peer);
        }
    }
    return free_slots;
}

bool
Placement_SendsDemand(const Blackboard *board)
{
    return policies[board->config.placement].sends_demand;
}

void
Placement_UpdateFreeSlots(Peer *peer, uint32_t free)
{
    uint32_t busy = peer->slots > free ? peer->slots - free : 0;
    double others = busy > peer->running ? busy - peer->running : 0;

    peer->others += OTHERS_EWMA_WEIGHT * (others - peer->others);
    if (free > 0) {
        peer->queued_until_ms = 0;
    }
}

void
Placement_MarkQueued(const Blackboard *board, Peer *peer)
{
    peer->queued_until_ms = board->now.mono_ms + QUEUED_TIMEOUT_MS;
}

#include "lease/store_poll.h"

#include <glib.h>
#include <xxhash.h>

#include "base/random.h"

/* Number of entries that read each second. An entry that dies still counts as
 * live for 8 s (lease/peers.c), and several may die at once; with eight, some
 * watchers are left. */
#define WATCHER_COUNT 8U
/* Interval between reads of all other entries together, before randomization:
 * a tenth of the minimum wait. */
#define WAIT_PER_ENTRY_MS 100U
/* Leaves time for a first byte within the smallest config_apply_ms (2,000), so
 * that a lone entry meets it. */
#define MIN_WAIT_MS 1000U
/* The store holds no read longer. Reached at 300 entries. */
#define MAX_WAIT_MS 30000U
/* Waits of the durable jobs' log. From 40 entries on, all entries together
 * make some 90 reads a second, about as many as 40 entries with two reads a
 * second each. The maximum is 0.5 s below the time after which an entry that
 * has not read the log cannot own jobs (2,500 ms). */
#define IDLE_LOG_WAIT_PER_ENTRY_MS 11U
#define IDLE_LOG_MAX_WAIT_MS 2000U

bool
StorePoll_IsWatcher(const Peers *peers, int64_t now_ms)
{
    uint64_t own_hash = XXH3_64bits(&peers->self, sizeof(peers->self));
    uint32_t lower = 0;
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        const Peers_Row *row = g_ptr_array_index(peers->rows, i);
        lower += Peers_IsLive(row, now_ms) &&
                 XXH3_64bits(&row->address, sizeof(row->address)) < own_hash;
    }
    return lower < WATCHER_COUNT;
}

uint32_t
StorePoll_WatcherWaitMs(void)
{
    return MIN_WAIT_MS;
}

uint32_t
StorePoll_IdleLogWaitMs(uint32_t live)
{
    return MIN((live + 1) * IDLE_LOG_WAIT_PER_ENTRY_MS, IDLE_LOG_MAX_WAIT_MS);
}

uint32_t
StorePoll_RandomWaitMs(uint32_t live, uint64_t *random)
{
    uint32_t wait_ms = CLAMP((live + 1) * WAIT_PER_ENTRY_MS, MIN_WAIT_MS,
                             MAX_WAIT_MS);
    uint32_t half_ms = wait_ms / 2;

    if (wait_ms == MIN_WAIT_MS) {
        return wait_ms;
    }
    return half_ms + (uint32_t)(Random_Next(random) % half_ms) + 1;
}

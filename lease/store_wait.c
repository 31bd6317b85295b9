#include "lease/store_wait.h"

#include <glib.h>
#include <xxhash.h>

#include "base/random.h"

/* So many ask each second. Chosen: who dies counts as live for 8 s yet
 * (lease/peers.c), and several may die at once; some are left. */
#define WATCHERS 8U
/* Between reads of all others together. Chosen: a tenth of the least wait. */
#define EACH_MS 100U
/* Within the least config_apply_ms (2,000) for an entry alone, with the time
 * for a first byte. */
#define LEAST_MS 1000U
/* The store holds a read no longer: at 300 entries. */
#define MOST_MS 30000U
/* Of the kept jobs' log: some 90 reads a second of all entries from 40 on, as
 * many as 40 entries make at two a second. Chosen; at most 0.5 s below the
 * time after which an entry that has not read cannot look after jobs (2,500).
 */
#define QUIET_EACH_MS 11U
#define QUIET_MOST_MS 2000U

bool
StoreWait_IsWatcher(const Peers *peers, int64_t now_ms)
{
    uint64_t own = XXH3_64bits(&peers->self, sizeof(peers->self));
    uint32_t before = 0;
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        const Peers_Row *row = g_ptr_array_index(peers->rows, i);
        before += Peers_IsLive(row, now_ms) &&
                  XXH3_64bits(&row->address, sizeof(row->address)) < own;
    }
    return before < WATCHERS;
}

uint32_t
StoreWait_Watcher(void)
{
    return LEAST_MS;
}

uint32_t
StoreWait_Quiet(uint32_t live)
{
    return MIN((live + 1) * QUIET_EACH_MS, QUIET_MOST_MS);
}

uint32_t
StoreWait_Draw(uint32_t live, uint64_t *random)
{
    uint32_t wait_ms = CLAMP((live + 1) * EACH_MS, LEAST_MS, MOST_MS);
    uint32_t half_ms = wait_ms / 2;

    if (wait_ms == LEAST_MS) {
        return wait_ms;
    }
    return half_ms + (uint32_t)(Random_Next(random) % half_ms) + 1;
}

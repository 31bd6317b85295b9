#include "lease/reserve.h"

#include "lease/choice.h"
#include "lease/resources.h"

/* A priority that no job had for so long keeps nothing. Chosen: longer than a
 * gap between jobs of a queue that is in use. */
#define FORGET_MS 10000
#define MEAN_PART 16
/* Kept: half of a usual job, as the rest of it finds room that falls free
 * meanwhile. Measured: a quarter to a whole job do alike (docs/ROUNDS.md). */
#define USUAL_PART 2
/* And not above this part of all that fits in the hosts that are open, so that
 * wide jobs do not leave much idle. Chosen. */
#define MOST_PART 16

static bool
is_known(const Reserve *reserve, int64_t now_ms)
{
    return reserve->seen_ms != 0 && now_ms - reserve->seen_ms <= FORGET_MS;
}

void
Reserve_Note(Reserve *reserve, int64_t now_ms, int32_t priority,
             uint32_t tasks)
{
    bool known = is_known(reserve, now_ms);

    if (known && priority > reserve->priority) {
        return;
    }
    if (!known || priority < reserve->priority) {
        reserve->priority = priority;
        reserve->width_x16 = tasks * MEAN_PART;
    }
    reserve->seen_ms = now_ms;
    reserve->width_x16 += tasks - reserve->width_x16 / MEAN_PART;
}

uint32_t
Reserve_Tasks(const Reserve *reserve, int64_t now_ms)
{
    if (!is_known(reserve, now_ms)) {
        return 0;
    }
    return reserve->width_x16 / MEAN_PART / USUAL_PART;
}

bool
Reserve_Allows(const Reserve *reserve, const Fleet *fleet, int64_t now_ms,
               int32_t priority, const lc_resources *need)
{
    uint64_t kept = Reserve_Tasks(reserve, now_ms);
    uint64_t fits = 0;
    uint64_t most = 0;
    guint i;

    if (priority <= reserve->priority || kept == 0) {
        return true;
    }
    for (i = 0; i < fleet->hosts->len && fits <= kept; i++) {
        const Fleet_Host *host = g_ptr_array_index(fleet->hosts, i);
        if (Choice_IsOpen(host, now_ms)) {
            fits += Resources_Count(need, &host->room);
            most += Resources_Count(need, &host->capacity);
        }
    }
    return fits > MIN(kept, most / MOST_PART);
}

#include "lease/priority_reserve.h"

#include "lease/host_choice.h"
#include "lease/resources.h"

/* Nothing is reserved for a priority that no job has had for this time. It is
 * longer than the gaps between jobs of a queue that is in use. */
#define EXPIRY_MS 10000
/* Weight of a new value in the moving average, as a divisor. */
#define AVERAGE_DIVISOR 16
/* Half of an average job is reserved, as the rest of it finds room that falls
 * free meanwhile. From a quarter to a whole job the effect is alike. */
#define JOB_DIVISOR 2
/* At most this part of the total capacity of the schedulable hosts is
 * reserved, so that jobs of many tasks do not leave much of it idle. */
#define CAPACITY_DIVISOR 16

static bool
is_recent(const Reserve *reserve, int64_t now_ms)
{
    return reserve->seen_ms != 0 && now_ms - reserve->seen_ms <= EXPIRY_MS;
}

void
Reserve_RecordJob(Reserve *reserve, int64_t now_ms, int32_t priority,
                  uint32_t tasks)
{
    bool recent = is_recent(reserve, now_ms);

    if (recent && priority > reserve->priority) {
        return;
    }
    if (!recent || priority < reserve->priority) {
        reserve->priority = priority;
        reserve->mean_tasks_x16 = tasks * AVERAGE_DIVISOR;
    }
    reserve->seen_ms = now_ms;
    reserve->mean_tasks_x16 += tasks -
                               reserve->mean_tasks_x16 / AVERAGE_DIVISOR;
}

uint32_t
Reserve_TaskCount(const Reserve *reserve, int64_t now_ms)
{
    if (!is_recent(reserve, now_ms)) {
        return 0;
    }
    return reserve->mean_tasks_x16 / AVERAGE_DIVISOR / JOB_DIVISOR;
}

bool
Reserve_Allows(const Reserve *reserve, const Fleet *fleet, int64_t now_ms,
               int32_t priority, const lc_resources *need)
{
    uint64_t reserved_tasks = Reserve_TaskCount(reserve, now_ms);
    uint64_t free_tasks = 0;
    uint64_t capacity_tasks = 0;
    guint i;

    if (priority <= reserve->priority || reserved_tasks == 0) {
        return true;
    }
    for (i = 0; i < fleet->hosts->len && free_tasks <= reserved_tasks; i++) {
        const Fleet_Host *host = g_ptr_array_index(fleet->hosts, i);
        if (HostChoice_IsSchedulable(host, now_ms)) {
            free_tasks += Resources_CountFits(need, &host->room);
            capacity_tasks += Resources_CountFits(need, &host->capacity);
        }
    }
    return free_tasks > MIN(reserved_tasks, capacity_tasks / CAPACITY_DIVISOR);
}

#include "lease/dispatcher_state.h"
#include "lease/host_choice.h"
#include "lease/resources.h"

/* Time after the entry's start by which all live companions have reported to
 * it; the recovery of durable jobs assumes the same. Before that, companions
 * with more capacity may not be known yet. */
#define DISCOVERY_MS 2500

static bool
is_eligible(const LeasedJob_Step *step, const char *service,
            const Fleet_Host *host)
{
    return g_strcmp0(host->service, service) == 0 &&
           Fleet_HasLabel(host, step->requirement);
}

bool
DispatcherCapacity_CouldRun(const LeasedJob_Step *step, const char *service,
                            const Fleet_Host *host)
{
    return Resources_Fit(&step->need, &host->capacity) &&
           is_eligible(step, service, host);
}

/* A host that reports no capacity may have enough. */
static bool
is_too_small(const LeasedJob_Step *step, const Fleet_Host *host)
{
    return !Resources_IsZero(&host->capacity) &&
           !Resources_Fit(&step->need, &host->capacity);
}

static bool
step_exceeds_all(const Dispatcher *self, int64_t now_ms,
                 const LeasedJob_Step *step, const char *service)
{
    bool heard = false;
    guint i;

    for (i = 0; i < self->fleet.hosts->len; i++) {
        const Fleet_Host *host = self->fleet.hosts->pdata[i];
        if (!HostChoice_IsLive(host, now_ms) ||
            !is_eligible(step, service, host)) {
            continue;
        }
        if (!is_too_small(step, host)) {
            return false;
        }
        heard = true;
    }
    return heard;
}

bool
DispatcherCapacity_ExceedsAll(const Dispatcher *self, int64_t now_ms,
                              const LeasedJob *job, const char *service)
{
    uint32_t i;

    if (now_ms - self->started_ms < DISCOVERY_MS) {
        return false;
    }
    for (i = 0; i < job->step_count; i++) {
        if (step_exceeds_all(self, now_ms, &job->steps[i], service)) {
            return true;
        }
    }
    return false;
}

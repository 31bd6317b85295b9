#include "lease/choice.h"
#include "lease/dispatcher_state.h"
#include "lease/resources.h"

/* By then the companions that live have reported to an entry that has begun,
 * as the recovery of kept jobs reckons; before, the larger ones may not be
 * known.
 */
#define KNOWN_MS 2500

static bool
may_ever_run(const LeasedJob_Step *step, const char *service,
             const Fleet_Host *host)
{
    return g_strcmp0(host->service, service) == 0 &&
           Fleet_HasLabel(host, step->requirement);
}

bool
DispatcherFit_CouldRun(const LeasedJob_Step *step, const char *service,
                       const Fleet_Host *host)
{
    return Resources_Fit(&step->need, &host->capacity) &&
           may_ever_run(step, service, host);
}

/* One that tells no capacity may have it. */
static bool
is_too_small(const LeasedJob_Step *step, const Fleet_Host *host)
{
    return !Resources_IsNone(&host->capacity) &&
           !Resources_Fit(&step->need, &host->capacity);
}

static bool
step_fits_nowhere(const Dispatcher *self, int64_t now_ms,
                  const LeasedJob_Step *step, const char *service)
{
    bool heard = false;
    guint i;

    for (i = 0; i < self->fleet.hosts->len; i++) {
        const Fleet_Host *host = self->fleet.hosts->pdata[i];
        if (!Choice_IsHeard(host, now_ms) ||
            !may_ever_run(step, service, host)) {
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
DispatcherFit_Nowhere(const Dispatcher *self, int64_t now_ms,
                      const LeasedJob *job, const char *service)
{
    uint32_t i;

    if (now_ms - self->started_ms < KNOWN_MS) {
        return false;
    }
    for (i = 0; i < job->step_count; i++) {
        if (step_fits_nowhere(self, now_ms, &job->steps[i], service)) {
            return true;
        }
    }
    return false;
}

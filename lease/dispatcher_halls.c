#include "lease/dispatcher_state.h"

#include "lease/host_choice.h"

void
DispatcherHalls_UpdateClosed(const Dispatcher *self, Fleet_Host *host)
{
    host->closed = HallClosures_Contains(&self->closures, host->hall);
}

/* Counts the known hosts in each closed hall, and this entry's runs there. A
 * hall without hosts belongs to no deployment, or its hosts have not reported
 * yet. */
static json_t *
describe_halls(const Dispatcher *self)
{
    json_t *halls = json_object();
    guint i;
    guint j;

    for (i = 0; i < self->closures.halls->len; i++) {
        const char *hall = self->closures.halls->pdata[i];
        int hosts = 0;
        int runs = 0;
        for (j = 0; j < self->fleet.hosts->len; j++) {
            const Fleet_Host *host = self->fleet.hosts->pdata[j];
            if (g_strcmp0(host->hall, hall) == 0) {
                hosts++;
                runs += (int)host->running;
            }
        }
        json_object_set_new(
            halls, hall,
            json_pack("{s:i, s:i}", "hosts", hosts, "runs", runs));
    }
    return halls;
}

static void
log_halls(const Dispatcher *self, const char *source)
{
    char *names = HallClosures_Text(&self->closures);

    if (Event_Admit(EVENT_HALLS)) {
        self->ports->event(self->context, EVENT_HALLS,
                           json_pack("{s:s, s:I, s:s, s:o}", "closed", names,
                                     "as_of", (json_int_t)self->closures.as_of,
                                     "source", source, "halls",
                                     describe_halls(self)));
    }
    g_free(names);
}

void
Dispatcher_MergeClosures(Dispatcher *self, int64_t now_ms,
                         int64_t requested_ms, const lc_closures *received,
                         const char *source)
{
    guint i;

    if (HallClosures_Merge(&self->closures, now_ms, requested_ms, received) !=
        HALL_CLOSURES_CHANGED) {
        return;
    }
    for (i = 0; i < self->fleet.hosts->len; i++) {
        DispatcherHalls_UpdateClosed(self, self->fleet.hosts->pdata[i]);
    }
    log_halls(self, source);
    self->dispatch_pending = true;
}

const HallClosures *
Dispatcher_Closures(const Dispatcher *self)
{
    return &self->closures;
}

static bool
step_is_closed_everywhere(const Dispatcher *self, int64_t now_ms,
                          const LeasedJob_Step *step, const char *service)
{
    bool closed = false;
    guint i;

    for (i = 0; i < self->fleet.hosts->len; i++) {
        const Fleet_Host *host = self->fleet.hosts->pdata[i];
        if (!HostChoice_IsLive(host, now_ms) ||
            !DispatcherCapacity_CouldRun(step, service, host)) {
            continue;
        }
        if (!host->closed) {
            return false;
        }
        closed = true;
    }
    return closed;
}

bool
DispatcherHalls_AllClosedFor(const Dispatcher *self, int64_t now_ms,
                             const LeasedJob *job, const char *service)
{
    uint32_t i;

    if (self->closures.halls->len == 0) {
        return false;
    }
    for (i = 0; i < job->step_count; i++) {
        if (step_is_closed_everywhere(self, now_ms, &job->steps[i], service)) {
            return true;
        }
    }
    return false;
}

/*
 * Admission control by link capacity: a job whose starts would wait for the
 * entry's link until its objective cannot be met is refused on arrival.
 */
#include "lease/dispatcher_state.h"

#include "base/random.h"

#define MS_PER_S 1000

void
DispatcherLink_LogChange(Dispatcher *self, int64_t now_ms)
{
    bool is_congested = LinkBudget_IsCongested(&self->link, now_ms);
    uint32_t waiting = 0;
    uint32_t i;

    if (is_congested == self->logged_congested) {
        return;
    }
    self->logged_congested = is_congested;
    if (!Event_Admit(EVENT_LINK_SHORT)) {
        return;
    }
    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        const Active_Job *job = Handle_ItemAt(self->jobs, i);
        waiting += job != NULL && !job->closing && job->waiting > 0;
    }
    self->ports->event(
        self->context, EVENT_LINK_SHORT,
        json_pack("{s:b, s:I, s:I, s:I, s:i, s:i}", "short", is_congested,
                  "bytes_per_second", (json_int_t)self->link.rate, "usable",
                  (json_int_t)self->link.bytes_per_s, "waits",
                  (json_int_t)self->link.waits, "jobs_waiting", (int)waiting,
                  "sends_percent", (int)self->sends.sends_percent));
}

/* Whether the waiting starts of a job are sent before those of one that
 * arrives now. Follows the queue order, except that it ignores ranks. */
static bool
is_sent_before(const Active_Job *job, const Dispatcher_Arrival *arrival,
               int64_t now_ms)
{
    if (job->priority != arrival->priority) {
        return job->priority < arrival->priority;
    }
    return Active_SlackMs(job, now_ms) <= arrival->slack_ms;
}

static int64_t
start_bytes(const Dispatcher *self, const Active_Job *job,
            const lc_resources *largest, int64_t now_ms)
{
    int64_t local_bytes = ForwardChoice_LocalBytes(&self->sends, job, largest);
    int64_t forward_bytes = ForwardChoice_ForwardBytes(job);

    if (ForwardChoice_IsBetter(local_bytes, forward_bytes) &&
        Delegates_Pick(&self->delegates, now_ms, local_bytes) != NULL) {
        return forward_bytes;
    }
    return local_bytes;
}

int64_t
DispatcherLink_WaitMs(const Dispatcher *self, int64_t now_ms,
                      const Dispatcher_Arrival *arrival)
{
    lc_resources largest;
    int64_t bytes = 0;
    uint32_t i;

    if (self->link.bytes_per_s == 0 ||
        !LinkBudget_IsCongested(&self->link, now_ms)) {
        return 0;
    }
    largest = DispatcherQueue_LargestRoom(self, now_ms);
    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        const Active_Job *job = Handle_ItemAt(self->jobs, i);
        if (job != NULL && !job->closing && job->waiting > 0 &&
            is_sent_before(job, arrival, now_ms)) {
            bytes += start_bytes(self, job, &largest, now_ms);
        }
    }
    return bytes * MS_PER_S / self->link.bytes_per_s;
}

uint32_t
DispatcherLink_RetryMs(Dispatcher *self, int64_t wait_ms)
{
    /* Randomized, as many callers are refused at the same moment. */
    return (uint32_t)wait_ms + DISPATCHER_RETRY_MS +
           (uint32_t)(Random_Next(&self->random) % DISPATCHER_RETRY_MS);
}

#include "lease/dispatcher_state.h"

#include "base/address.h"
#include "lease/run_id.h"

void
DispatcherLog_Identity(const Dispatcher *self, Event_Id id, uint64_t job,
                       const char *detail)
{
    char text[RUN_ID_JOB_SIZE];

    if (Event_Admit(id)) {
        RunId_FormatJob(job, text);
        self->ports->event(
            self->context, id,
            json_pack("{s:s, s:s}", "job", text, "detail", detail));
    }
}

void
DispatcherLog_Job(const Dispatcher *self, Event_Id id, int64_t now_ms,
                  const Active_Job *job, const char *detail)
{
    int64_t waited_ms = (job->first_sent_ms == 0 ? now_ms
                                                 : job->first_sent_ms) -
                        job->arrived_ms;
    char text[RUN_ID_JOB_SIZE];

    if (!Event_Admit(id)) {
        return;
    }
    RunId_FormatJob(job->spec.id, text);
    self->ports->event(
        self->context, id,
        json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, "
                  "s:i, s:o}",
                  "job", text, "queue", job->queue.name, "detail", detail,
                  "took_ms", (int)(now_ms - job->arrived_ms), "waited_ms",
                  (int)waited_ms, "objective_ms",
                  (int)(job->objective_ms - job->arrived_ms), "deadline_ms",
                  (int)(job->deadline_ms - job->arrived_ms), "priority",
                  (int)job->priority, "tasks", (int)job->task_count, "waiting",
                  (int)job->waiting, "open", (int)job->open, "companions",
                  (int)Dispatcher_SchedulableHosts(self, now_ms), "trace",
                  JobTrace_ToJson(job->trace)));
}

void
DispatcherLog_Origin(const Dispatcher *self, Event_Id id,
                     const Dispatcher_Origin *origin, const char *detail)
{
    if (Event_Admit(id)) {
        self->ports->event(self->context, id,
                           json_pack("{s:s, s:s, s:i}", "entry",
                                     Address_Text(origin->node.address),
                                     "detail", detail, "jobs",
                                     (int)origin->jobs));
    }
}

void
DispatcherLog_Host(const Dispatcher *self, Event_Id id, int64_t now_ms,
                   const Fleet_Host *host, const char *detail)
{
    if (Event_Admit(id)) {
        self->ports->event(
            self->context, id,
            json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i}", "companion",
                      Address_Text(host->node.address), "hall", host->hall,
                      "upstream", host->instance, "service", host->service,
                      "detail", detail, "runs", (int)host->running,
                      "heard_ms_ago", (int)(now_ms - host->received_ms)));
    }
}

#include "lease/dispatcher_state.h"

#include "base/address.h"
#include "lease/host_choice.h"

/* A companion that has not answered a renewal for this long is suspect. */
#define SUSPECT_MS 250
/* Limits the reports of all companions together to 500 a second, within bounds
 * on the interval of each. */
#define REPORT_INTERVAL_PER_HOST_MS 2U
#define REPORT_INTERVAL_MIN_MS 15U
#define REPORT_INTERVAL_MAX_MS 500U

bool
DispatcherHosts_Isolated(const Dispatcher *self, int64_t now_ms)
{
    guint i;

    for (i = 0; i < self->fleet.hosts->len; i++) {
        if (HostChoice_IsLive(g_ptr_array_index(self->fleet.hosts, i),
                              now_ms)) {
            return false;
        }
    }
    return self->fleet.hosts->len > 0;
}

/* The run is over, but the companion or its next incarnation may know how it
 * ended. If so, leaves the task to be queried and returns true. */
static bool
query_outcome(Dispatcher *self, int64_t now_ms, Active_Job *job,
              Active_Task *task, Fleet_Host *host, bool restarted)
{
    if (!job->durable || job->closing) {
        return false;
    }
    if (restarted) {
        DispatcherCompletion_QueryRun(self, now_ms, job, task, host->node);
        return true;
    }
    if (now_ms - host->received_ms >= DISPATCHER_OUTCOME_TIMEOUT_MS) {
        return false;
    }
    host->running++;
    return true;
}

/* Requeues the tasks of all runs at an address, which are certainly over,
 * except those of one incarnation (0: no exception). */
static void
end_runs_at(Dispatcher *self, int64_t now_ms, Fleet_Host *host,
            uint64_t except_incarnation)
{
    Address address = host->node.address;
    uint32_t i;
    uint32_t j;

    host->running = 0;
    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        Active_Job *job = Handle_ItemAt(self->jobs, i);
        for (j = 0; job != NULL && j < job->task_count; j++) {
            Active_Task *task = &job->tasks[j];
            if (!DispatcherCompletion_IsInFlight(task) ||
                task->host.address != address ||
                task->host.incarnation == except_incarnation) {
                continue;
            }
            if (query_outcome(self, now_ms, job, task, host,
                              except_incarnation != 0)) {
                continue;
            }
            JobTrace_Add(job->trace, now_ms,
                         except_incarnation == 0 ? JOB_TRACE_EXPIRED
                                                 : JOB_TRACE_RESTARTED,
                         &task->id, address, 0);
            task->avoid = address;
            if (except_incarnation == 0) {
                DispatcherLateStart_OnSilent(self, now_ms, job, task, host);
            }
            DispatcherCompletion_Requeue(self, job, task, now_ms);
            /* A job that was closing may have been freed. */
            job = Handle_ItemAt(self->jobs, i);
        }
    }
}

void
Dispatcher_OnReport(Dispatcher *self, int64_t now_ms,
                    const lc_report_args *report)
{
    Fleet_Host *host = NULL;
    Fleet_Change change = Fleet_ApplyReport(&self->fleet, now_ms, report,
                                            &host);

    Dispatcher_MergeClosures(self, now_ms, HALL_CLOSURES_UNSOLICITED,
                             &report->closures,
                             Address_Text(report->host.node.address));
    DispatcherLateStart_OnReport(self, now_ms, report);
    if (change == FLEET_STALE) {
        return;
    }
    DispatcherHalls_UpdateClosed(self, host);
    if (change != FLEET_SAME_INCARNATION) {
        DispatcherLog_Host(self, EVENT_COMPANION_FOUND, now_ms, host,
                           change == FLEET_NEW ? "new"
                                               : "another incarnation");
    }
    if (change == FLEET_RESTARTED) {
        end_runs_at(self, now_ms, host, host->node.incarnation);
    }
    self->dispatch_pending = true;
}

void
DispatcherHosts_Suspect(Dispatcher *self, int64_t now_ms, Fleet_Host *host)
{
    if (!host->suspect) {
        host->suspect = true;
        DispatcherLog_Host(self, EVENT_SUSPECT, now_ms, host,
                           "no answer in time");
    }
}

void
DispatcherHosts_Check(Dispatcher *self, int64_t now_ms, Fleet_Host *host)
{
    int64_t certain_ms = Fleet_CertainEnd(host, &self->config.timing);

    if (host->renew_call_id != 0 &&
        now_ms - host->renew_sent_ms > SUSPECT_MS) {
        DispatcherHosts_Suspect(self, now_ms, host);
    }
    if (host->suspect && host->running > 0 && now_ms > certain_ms) {
        self->ports->reset(self->context, host->node.address);
        end_runs_at(self, now_ms, host, 0);
        return;
    }
    if (!self->paused && host->running > 0 && !host->suspect &&
        host->renew_call_id == 0 &&
        now_ms - host->renew_sent_ms >= DISPATCHER_RENEW_MS) {
        DispatcherCall_Renew(self, now_ms, host);
    }
}

uint32_t
Dispatcher_ReportIntervalMs(const Dispatcher *self)
{
    return CLAMP(self->fleet.hosts->len * REPORT_INTERVAL_PER_HOST_MS,
                 REPORT_INTERVAL_MIN_MS, REPORT_INTERVAL_MAX_MS);
}

static uint32_t
count_hosts(const Dispatcher *self, int64_t now_ms,
            bool (*holds)(const Fleet_Host *host, int64_t now_ms))
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < self->fleet.hosts->len; i++) {
        count += holds(g_ptr_array_index(self->fleet.hosts, i), now_ms);
    }
    return count;
}

uint32_t
Dispatcher_SchedulableHosts(const Dispatcher *self, int64_t now_ms)
{
    return count_hosts(self, now_ms, HostChoice_IsSchedulable);
}

uint32_t
Dispatcher_HealthyHosts(const Dispatcher *self, int64_t now_ms)
{
    return count_hosts(self, now_ms, HostChoice_IsHealthy);
}

json_t *
DispatcherHosts_Dump(const Fleet_Host *host, int64_t now_ms)
{
    return json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:b, s:b, s:I}",
                     "address", Address_Text(host->node.address), "hall",
                     host->hall, "instance", host->instance, "state",
                     (int)host->state, "room_cpu_milli",
                     (int)host->room.cpu_milli, "pace_percent",
                     (int)host->pace_percent, "running", (int)host->running,
                     "suspect", host->suspect, "closed", host->closed,
                     "heard_ms_ago", (json_int_t)(now_ms - host->received_ms));
}

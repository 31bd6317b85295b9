#include "lease/host_choice.h"

#include <string.h>

#include "base/random.h"
#include "lease/resources.h"
#include "lease/runner.h"

#define PERCENT 100
#define SLOW_PACE_PERCENT 200
/* How late the next message of a companion may be. */
#define LIVENESS_TIMEOUT_MS 600
/* A pace below this counts as normal: the mean of estimates that are wrong by
 * 40% each varies so much by chance, and an entry that followed it would send
 * everything to the same few hosts. Less than SLOW_PACE_PERCENT. */
#define NORMAL_PACE_PERCENT 150
/* Cost of a host in another hall, in ms. */
#define OTHER_HALL_COST_MS 1
/* Cost of a host on trial, which makes it the last resort, in ms; one task in
 * TRIAL_ONE_IN is placed without it. */
#define TRIAL_HOST_COST_MS 400
#define TRIAL_ONE_IN 16
/* Cost of the host where a task last failed, in ms, besides the estimate of
 * the task: it is used again only if no other host has room. */
#define AVOIDED_HOST_COST_MS 100
/* Time that reading remote data adds to a task, in percent. */
#define REMOTE_DATA_PERCENT 50

bool
HostChoice_IsLive(const Fleet_Host *host, int64_t now_ms)
{
    int64_t promised_ms = host->reported_ms + host->next_ms;

    return now_ms < MAX(host->received_ms, promised_ms) + LIVENESS_TIMEOUT_MS;
}

bool
HostChoice_IsHealthy(const Fleet_Host *host, int64_t now_ms)
{
    return (host->state == LC_UPSTREAM_READY ||
            host->state == LC_UPSTREAM_TRIAL) &&
           !host->suspect && HostChoice_IsLive(host, now_ms) &&
           now_ms >= host->avoid_until_ms;
}

bool
HostChoice_IsSchedulable(const Fleet_Host *host, int64_t now_ms)
{
    return !host->closed && HostChoice_IsHealthy(host, now_ms);
}

/* Number of other tasks of the same step and occurrence that were placed at an
 * address. */
static uint32_t
count_placed(const Active_Job *job, const Active_Task *task, Address address)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < job->task_count; i++) {
        const Active_Task *other = &job->tasks[i];
        if (other != task && other->id.step == task->id.step &&
            other->id.occurrence == task->id.occurrence &&
            (other->done || (other->state != ACTIVE_WAITING &&
                             other->state != ACTIVE_BLOCKED)) &&
            other->host.address == address) {
            count++;
        }
    }
    return count;
}

/* Whether the task would miss its objective there, but meet it on a host of
 * normal pace. */
static bool
is_too_slow(const HostChoice_Context *context, const Active_Job *job,
            const LeasedJob_Step *step, const Fleet_Host *host)
{
    int64_t remaining_ms = job->objective_ms - context->now_ms;
    int64_t expected_ms = (int64_t)step->estimate_ms * host->pace_percent /
                          PERCENT;

    return host->pace_percent > SLOW_PACE_PERCENT &&
           expected_ms > remaining_ms && step->estimate_ms < remaining_ms;
}

/* Whether a bound task must not be started at a host. A task of a durable job
 * also waits while its own host is on trial, since a failure there would use
 * up an attempt. */
static bool
is_bound_elsewhere(const HostChoice_Context *context, const Active_Job *job,
                   const Active_Task *task, const Fleet_Host *host)
{
    return Active_IsBound(task, context->now_ms) &&
           (task->bound_to != host->node.address ||
            (job->durable && host->state == LC_UPSTREAM_TRIAL));
}

static bool
may_run(const HostChoice_Context *context, const Active_Job *job,
        const Active_Task *task, const Fleet_Host *host)
{
    const LeasedJob_Step *step = Active_Step(job, task);

    if (!HostChoice_IsSchedulable(host, context->now_ms) ||
        is_bound_elsewhere(context, job, task, host) ||
        !Resources_Fit(&step->need, &host->room) ||
        g_strcmp0(host->service, job->service) != 0 ||
        !Fleet_HasLabel(host, step->requirement)) {
        return false;
    }
    if (job->durable && !Fleet_IsHeardBefore(host, context->log_read_ms)) {
        return false; /* see DispatcherDurable_IsAllowedAt */
    }
    if (job->durable && host->held >= RUNNER_MAX_HELD_ENDS) {
        return false; /* it could not hold their ends */
    }
    if (is_too_slow(context, job, step, host)) {
        return false;
    }
    return step->most_together == 0 ||
           count_placed(job, task, host->node.address) < step->most_together;
}

/* Cost of running the task there, in ms: its expected time and penalties. */
static int64_t
placement_cost_ms(const HostChoice_Context *context, const Active_Job *job,
                  const Active_Task *task, const Fleet_Host *host)
{
    const LeasedJob_Step *step = Active_Step(job, task);
    uint32_t pace = host->pace_percent < NORMAL_PACE_PERCENT
                        ? PERCENT
                        : host->pace_percent;
    int64_t work_ms = (int64_t)step->estimate_ms * pace / PERCENT;
    int64_t cost = work_ms;

    if (!Fleet_HasLabel(host, step->affinity)) {
        cost += work_ms * REMOTE_DATA_PERCENT / PERCENT;
    }
    if (task->avoid == host->node.address) {
        cost += AVOIDED_HOST_COST_MS + step->estimate_ms;
    }
    if (host->state == LC_UPSTREAM_TRIAL &&
        Random_Next(context->random) % TRIAL_ONE_IN != 0) {
        cost += TRIAL_HOST_COST_MS;
    }
    if (task->refused == 0 && g_strcmp0(host->hall, context->hall) != 0) {
        cost += OTHER_HALL_COST_MS;
    }
    return cost;
}

/* Companions of the lowest cost so far, and the one drawn from them. */
typedef struct {
    int64_t cost_ms;
    uint32_t calls; /* needed to start the tasks placed together */
    uint64_t fits;  /* sum of the tasks that fit in each */
    Fleet_Host *drawn;
} host_sample;

/* Weighted random sampling: the probability of each companion is in proportion
 * to the tasks that fit there, because its reported room is as old as its last
 * message, and the more room it had the likelier some is left. With a strict
 * order all entries choose the same hosts: at usual load 0.68 of all starts
 * then found no room, and 0.04 with sampling (55 entries, 240 companions,
 * tests/fleet_load). */
static void
sample_host(host_sample *sample, const HostChoice_Context *context,
            Fleet_Host *host, int64_t cost_ms, uint32_t fits)
{
    uint32_t calls = context->packed_tasks / fits +
                     (context->packed_tasks % fits != 0);

    if (cost_ms > sample->cost_ms ||
        (cost_ms == sample->cost_ms && calls > sample->calls)) {
        return;
    }
    if (cost_ms < sample->cost_ms || calls < sample->calls) {
        sample->cost_ms = cost_ms;
        sample->calls = calls;
        sample->fits = 0;
    }
    sample->fits += fits;
    if (Random_Next(context->random) % sample->fits < fits) {
        sample->drawn = host;
    }
}

Fleet_Host *
HostChoice_Pick(const HostChoice_Context *context, const Active_Job *job,
                const Active_Task *task)
{
    const lc_resources *need = &Active_Step(job, task)->need;
    host_sample sample = {.cost_ms = INT64_MAX};
    guint i;

    if (context->packed_tasks > 0 && context->previous_host != NULL &&
        context->previous_host->node.address != task->avoid &&
        may_run(context, job, task, context->previous_host)) {
        return context->previous_host;
    }
    for (i = 0; i < context->fleet->hosts->len; i++) {
        Fleet_Host *host = g_ptr_array_index(context->fleet->hosts, i);
        if (may_run(context, job, task, host)) {
            sample_host(&sample, context, host,
                        placement_cost_ms(context, job, task, host),
                        Resources_CountFits(need, &host->room));
        }
    }
    return sample.drawn;
}

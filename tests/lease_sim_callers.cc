#include "tests/lease_sim_state.h"

#include <cstring>

namespace lease {

namespace {

/* Duration of the tasks of every LONG_JOB_EVERY-th job in a plan with
 * long_tasks: beyond DEADLINE_MS + RESUBMIT_MS. */
const int64_t LONG_WORK_MS = 4000;
const uint64_t LONG_JOB_EVERY = 3;

} // namespace

/* ---- callers ---- */

void
Simulation::make_job()
{
    CallerJob job;
    bool late = now > plan.length_ms + plan.quiet_ms / 2;
    static const int64_t works[] = {60, 60, 200, 200, 900};

    job.id = ++next_job;
    job.tasks = 1 + random_below(6);
    job.work_ms = works[random_below(5)];
    if (plan.long_tasks && now < plan.length_ms &&
        job.id % LONG_JOB_EVERY == 0) {
        job.work_ms = LONG_WORK_MS;
    }
    job.first_submit_ms = now;
    jobs[job.id] = job;
    report.jobs++;
    if (late) {
        report.late_jobs++;
    }
    submit(&jobs[job.id]);
}

void
Simulation::make_crashing_job()
{
    CallerJob job;

    job.id = ++next_job;
    job.tasks = 1;
    job.work_ms = 60;
    job.first_submit_ms = now;
    job.crashes_upstreams = true;
    jobs[job.id] = job;
    report.jobs++;
    submit(&jobs[job.id]);
}

void
Simulation::submit(CallerJob *job)
{
    uint32_t index = random_below(plan.entries);
    EntryNode *entry = &entries[index];
    uint64_t request = ++next_request;
    uint64_t id = job->id;
    uint64_t boot_id = entry->boot_id;

    job->submissions++;
    job->upstreams_crashed = 0;
    if (!entry->alive) {
        resubmit_later(job, RESUBMIT_MS);
        return;
    }
    job->open_request = request;
    requests[request] = {id, index, boot_id};
    schedule(now + 3, [this, entry, boot_id, id, request] {
        if (entry->boot_id != boot_id) {
            return;
        }
        when_thawed(entry, [this, entry, id, request] {
            const CallerJob &caller = jobs[id];
            Dispatcher_Submit submit;
            memset(&submit, 0, sizeof(submit));
            submit.request_id = request;
            submit.route = route;
            submit.queue = Route_Reference(route);
            submit.deadline_ms = DEADLINE_MS;
            submit.job.id = id;
            submit.job.spec = g_strdup(spec_of(id).c_str());
            submit.job.step_count = 1;
            submit.job.steps = g_new0(LeasedJob_Step, 1);
            submit.job.steps[0].count = caller.tasks;
            submit.job.steps[0].need = {cpu_need_of(id), TASK_MEMORY_MB, 0};
            submit.job.steps[0].estimate_ms = (uint32_t)caller.work_ms;
            Dispatcher_OnSubmit(entry->dispatcher, now, &submit);
        });
    });
    int64_t leaves = disconnects_until > now && random_below(3) == 0
                         ? 1 + random_below(200)
                         : DEADLINE_MS + 20;
    schedule(now + leaves, [this, request] { disconnect_caller(request); });
}

void
Simulation::disconnect_caller(uint64_t request)
{
    Request &row = requests[request];
    CallerJob &job = jobs[row.job];
    EntryNode *entry = &entries[row.entry];
    uint64_t boot_id = row.boot_id;

    if (row.answered) {
        return;
    }
    row.answered = true;
    job.may_have_run = true;
    schedule(now + 3, [this, entry, boot_id, request] {
        if (entry->boot_id != boot_id) {
            return;
        }
        when_thawed(entry, [this, entry, request] {
            Dispatcher_OnCallerDisconnect(entry->dispatcher, now, request);
        });
    });
    resubmit_later(&job, RESUBMIT_MS);
}

void
Simulation::resubmit_later(CallerJob *job, int64_t after_ms)
{
    uint64_t id = job->id;

    job->open_request = 0;
    if (job->submissions >= MAX_SUBMISSIONS) {
        job->finished = true;
        return;
    }
    schedule(now + after_ms, [this, id] { submit(&jobs[id]); });
}

/* Whether some running upstream has capacity for one task of a job. */
bool
Simulation::has_capacity(const CallerJob &job) const
{
    for (const Upstream &upstream : upstreams) {
        if (upstream.is_up() && cpu_used_at(upstream) + cpu_need_of(job.id) <=
                                    CAPACITY.cpu_milli) {
            return true;
        }
    }
    return false;
}

void
Simulation::answer(EntryNode *from, uint64_t request,
                   const Dispatcher_Answer *answer)
{
    auto row = requests.find(request);

    (void)from;
    if (row == requests.end() || row->second.answered) {
        if (row == requests.end()) {
            violation("answer to an unknown request");
        }
        return;
    }
    row->second.answered = true;
    CallerJob &job = jobs[row->second.job];
    if (answer->outcome != DISPATCHER_NOT_RUN) {
        job.may_have_run = true;
    }
    switch (answer->outcome) {
    case DISPATCHER_SUCCEEDED:
        report.succeeded++;
        if (job.first_submit_ms > plan.length_ms + plan.quiet_ms / 2) {
            report.late_succeeded++;
        }
        for (uint32_t i = 0; i < job.tasks; i++) {
            if (!done[TaskKey(job.id, 0, i)]) {
                violation("job " + std::to_string(job.id) +
                          " reported as succeeded with an unfinished task");
            }
        }
        job.finished = true;
        break;
    case DISPATCHER_FAILED:
        report.failed++;
        job.finished = true;
        break;
    case DISPATCHER_NOT_RUN:
        report.not_run++;
        if (job.first_submit_ms > plan.length_ms + plan.quiet_ms / 2 &&
            !has_capacity(job)) {
            report.late_jobs--; /* no upstream had room for it */
        }
        job.finished = true;
        break;
    default:
        report.given_up++;
        resubmit_later(&job, RESUBMIT_MS);
        break;
    }
}

} // namespace lease

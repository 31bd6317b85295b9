#include "tests/lease_world_state.h"

#include <cstring>

namespace lease {

/* ---- callers ---- */

void
World::make_job()
{
    CallerJob job;
    bool late = now > plan.length_ms + plan.quiet_ms / 2;
    static const int64_t works[] = {60, 60, 200, 200, 900};

    job.id = ++next_job;
    job.tasks = 1 + pick(6);
    job.work_ms = works[pick(5)];
    job.first_ms = now;
    jobs[job.id] = job;
    report.jobs++;
    if (late) {
        report.late_jobs++;
    }
    submit(&jobs[job.id]);
}

void
World::make_crasher()
{
    CallerJob job;

    job.id = ++next_job;
    job.tasks = 1;
    job.work_ms = 60;
    job.first_ms = now;
    job.crashes = true;
    jobs[job.id] = job;
    report.jobs++;
    submit(&jobs[job.id]);
}

void
World::submit(CallerJob *job)
{
    uint32_t index = pick(plan.entries);
    EntryNode *entry = &entries[index];
    uint64_t request = ++next_request;
    uint64_t id = job->id;
    uint64_t life = entry->life;

    job->tries++;
    job->crashed = 0;
    if (!entry->alive) {
        again(job, RESUBMIT_MS);
        return;
    }
    job->open_request = request;
    requests[request] = {id, index, life};
    at(now + 3, [this, entry, life, id, request] {
        if (entry->life != life) {
            return;
        }
        when_awake(entry, [this, entry, id, request] {
            const CallerJob &caller = jobs[id];
            Dispatcher_Submit submit;
            memset(&submit, 0, sizeof(submit));
            submit.request_id = request;
            submit.route = route;
            submit.deadline_ms = DEADLINE_MS;
            submit.job.id = id;
            submit.job.spec = g_strdup(spec_of(id).c_str());
            submit.job.step_count = 1;
            submit.job.steps = g_new0(LeasedJob_Step, 1);
            submit.job.steps[0].count = caller.tasks;
            submit.job.steps[0].need = {need_of(id), JOB_MEMORY_MB, 0};
            submit.job.steps[0].estimate_ms = (uint32_t)caller.work_ms;
            Dispatcher_OnSubmit(entry->dispatcher, now, &submit);
        });
    });
    int64_t leaves = hang_ups_until > now && pick(3) == 0 ? 1 + pick(200)
                                                          : DEADLINE_MS + 20;
    at(now + leaves, [this, request] { hang_up(request); });
}

void
World::hang_up(uint64_t request)
{
    Request &row = requests[request];
    CallerJob &job = jobs[row.job];
    EntryNode *entry = &entries[row.entry];
    uint64_t life = row.life;

    if (row.answered) {
        return;
    }
    row.answered = true;
    job.any_taken = true;
    at(now + 3, [this, entry, life, request] {
        if (entry->life != life) {
            return;
        }
        when_awake(entry, [this, entry, request] {
            Dispatcher_OnCallerGone(entry->dispatcher, now, request);
        });
    });
    again(&job, RESUBMIT_MS);
}

void
World::again(CallerJob *job, int64_t after_ms)
{
    uint64_t id = job->id;

    job->open_request = 0;
    if (job->tries >= RETRIES) {
        job->over = true;
        return;
    }
    at(now + after_ms, [this, id] { submit(&jobs[id]); });
}

/* Whether one task of a job fits on any upstream that is up. */
bool
World::has_room(const CallerJob &job) const
{
    for (const Upstream &upstream : upstreams) {
        if (upstream.is_up() &&
            used_at(upstream) + need_of(job.id) <= CAPACITY.cpu_milli) {
            return true;
        }
    }
    return false;
}

void
World::answer(EntryNode *from, uint64_t request,
              const Dispatcher_Answer *answer)
{
    auto row = requests.find(request);

    (void)from;
    if (row == requests.end() || row->second.answered) {
        if (row == requests.end()) {
            violation("answer to no request");
        }
        return;
    }
    row->second.answered = true;
    CallerJob &job = jobs[row->second.job];
    if (answer->outcome != DISPATCHER_NOT_RUN) {
        job.any_taken = true;
    }
    switch (answer->outcome) {
    case DISPATCHER_SUCCEEDED:
        report.succeeded++;
        if (job.first_ms > plan.length_ms + plan.quiet_ms / 2) {
            report.late_succeeded++;
        }
        for (uint32_t i = 0; i < job.tasks; i++) {
            if (!done[TaskName(job.id, 0, i)]) {
                violation("job " + std::to_string(job.id) +
                          " told as done with a task that is not");
            }
        }
        job.over = true;
        break;
    case DISPATCHER_FAILED:
        report.failed++;
        job.over = true;
        break;
    case DISPATCHER_NOT_RUN:
        report.not_run++;
        if (job.first_ms > plan.length_ms + plan.quiet_ms / 2 &&
            !has_room(job)) {
            report.late_jobs--; /* no service could have begun it */
        }
        job.over = true;
        break;
    default:
        report.given_up++;
        again(&job, RESUBMIT_MS);
        break;
    }
}

} // namespace lease

#include "tests/lease_world_state.h"

namespace lease {

std::string
World::name(const lc_run_id &id)
{
    return std::to_string(id.job) + "." + std::to_string(id.step) + "." +
           std::to_string(id.index) + " run " + std::to_string(id.run);
}

/* ---- what is checked ---- */

void
World::check_room(uint32_t index)
{
    const Upstream &upstream = upstreams[index];
    bool told = now - upstream.shrunk_ms > SHRINK_TOLD_MS;
    uint32_t room = told ? upstream.cpu_milli : CAPACITY.cpu_milli;

    if (used_at(upstream) > room) {
        violation("upstream " + std::to_string(index) + " over its room");
    }
}

std::string
spec_of(uint64_t job)
{
    /* As long as it takes for a start to cost a narrow link something. */
    return "spec of job " + std::to_string(job) + std::string(600, 'x');
}

/* A start brings what its own job's caller handed in. */
void
World::check_spec(const lc_run_id &id, const char *spec)
{
    if (spec != spec_of(id.job)) {
        violation(name(id) + " started with \"" + spec + "\"");
    }
}

void
World::count_run(uint32_t index, const lc_run_id &id)
{
    auto &places = at_work[task_of(id)];

    for (auto &place : places) {
        if (place.first != index) {
            violation("two runs at once: " + name(place.second) + " at " +
                      std::to_string(place.first) + ", " + name(id) + " at " +
                      std::to_string(index));
        }
    }
    places[index] = id;
}

/* A moment after the start. */
void
World::crash_under(uint32_t index, CallerJob *job)
{
    Upstream *upstream = &upstreams[index];

    if (!job->crashes) {
        return;
    }
    report.most_crashed = std::max(report.most_crashed, ++job->crashed);
    if (job->crashed > CRASHES_MOST) {
        violation("job " + std::to_string(job->id) + " has crashed " +
                  std::to_string(job->crashed) + " upstreams");
    }
    at(now + 3 + pick(30), [this, upstream] {
        upstream->crash(now, false);
        at(now + 300 + pick(400), [this, upstream] {
            if (!upstream->is_up()) {
                upstream->come_again(now);
            }
        });
    });
}

void
World::on_started(uint32_t index, const lc_run_id &id)
{
    auto job = jobs.find(id.job);

    report.starts++;
    report.starts_at.resize(plan.companions);
    report.starts_at[index]++;
    if (id.job >= FIRST_KEPT) {
        on_kept_start(id);
    }
    count_run(index, id);
    if (id.job >= FIRST_KEPT) {
        kept_callers[id.job].started = true;
    }
    else if (job == jobs.end()) {
        violation("a start of no job");
    }
    else {
        job->second.started = true;
        crash_under(index, &job->second);
    }
    if (trace) {
        fprintf(stderr, "%6ld start %s at %u\n", (long)now, name(id).c_str(),
                index);
    }
}

void
World::on_ended(uint32_t index, const lc_run_id &id, Runner_End end)
{
    at_work[task_of(id)].erase(index);
    if (id.job >= FIRST_KEPT) {
        on_kept_end(id, end);
    }
    if (end == RUNNER_END_DONE) {
        done[task_of(id)] = true;
    }
    if (trace) {
        fprintf(stderr, "%6ld end %s at %u: %d\n", (long)now, name(id).c_str(),
                index, (int)end);
    }
}

void
World::check_end()
{
    for (auto &pair : at_work) {
        if (!pair.second.empty()) {
            violation("a task still runs at the end");
        }
    }
    for (auto &pair : jobs) {
        if (pair.second.started && !pair.second.any_taken) {
            violation("job " + std::to_string(pair.first) +
                      " ran though all its attempts were answered not run");
        }
    }
    for (auto &pair : requests) {
        if (!pair.second.answered) {
            violation("request without an answer");
        }
    }
    for (uint32_t i = 0; i < plan.companions; i++) {
        if (upstreams[i].unseen_ends() != 0) {
            violation("ends that nobody took note of at upstream " +
                      std::to_string(i) + ", first " +
                      name(upstreams[i].first_unseen()));
        }
    }
    check_kept();
    if (report.late_succeeded * 10 < report.late_jobs * 9) {
        violation(
            "service is not back: " + std::to_string(report.late_succeeded) +
            " of " + std::to_string(report.late_jobs));
    }
}

} // namespace lease

#include "tests/lease_sim_state.h"

namespace lease {

std::string
Simulation::run_name(const lc_run_id &id)
{
    return std::to_string(id.job) + "." + std::to_string(id.step) + "." +
           std::to_string(id.index) + " run " + std::to_string(id.run);
}

/* ---- checks ---- */

void
Simulation::check_capacity(uint32_t index)
{
    const Upstream &upstream = upstreams[index];
    bool reported = now - upstream.capacity_reduced_ms > CAPACITY_REPORT_MS;
    uint32_t limit = reported ? upstream.cpu_milli : CAPACITY.cpu_milli;

    if (cpu_used_at(upstream) > limit) {
        violation("upstream " + std::to_string(index) +
                  " runs more than its capacity");
    }
}

std::string
spec_of(uint64_t job)
{
    /* Long enough that starts use up the bandwidth of a slow link. */
    return "spec of job " + std::to_string(job) + std::string(600, 'x');
}

/* A start must carry the spec of its own job. */
void
Simulation::check_spec(const lc_run_id &id, const char *spec)
{
    if (spec != spec_of(id.job)) {
        violation(run_name(id) + " started with \"" + spec + "\"");
    }
}

void
Simulation::count_run(uint32_t index, const lc_run_id &id)
{
    auto &places = active_runs[task_of(id)];

    for (auto &place : places) {
        if (place.first != index) {
            violation("two runs at once: " + run_name(place.second) + " at " +
                      std::to_string(place.first) + ", " + run_name(id) +
                      " at " + std::to_string(index));
        }
    }
    places[index] = id;
}

/* An upstream that starts a task of a crashing job crashes soon afterwards and
 * restarts under the same name. */
void
Simulation::crash_upstream_later(uint32_t index, CallerJob *job)
{
    Upstream *upstream = &upstreams[index];

    if (!job->crashes_upstreams) {
        return;
    }
    report.max_crashes = std::max(report.max_crashes,
                                  ++job->upstreams_crashed);
    if (job->upstreams_crashed > MAX_CRASHES) {
        violation("job " + std::to_string(job->id) + " has crashed " +
                  std::to_string(job->upstreams_crashed) + " upstreams");
    }
    schedule(now + 3 + random_below(30), [this, upstream] {
        upstream->crash(now, false);
        schedule(now + 300 + random_below(400), [this, upstream] {
            if (!upstream->is_up()) {
                upstream->bring_up_same_name(now);
            }
        });
    });
}

void
Simulation::on_started(uint32_t index, const lc_run_id &id)
{
    auto job = jobs.find(id.job);

    report.starts++;
    report.starts_at.resize(plan.companions);
    report.starts_at[index]++;
    if (upstreams[index].work_of(id) != LASTS_MS) {
        last_start_ms[index] = now;
    }
    if (id.job >= FIRST_DURABLE_ID) {
        on_durable_start(id);
    }
    count_run(index, id);
    if (id.job >= FIRST_DURABLE_ID) {
        durable_callers[id.job].started = true;
    }
    else if (job == jobs.end()) {
        violation("a start of an unknown job");
    }
    else {
        job->second.started = true;
        crash_upstream_later(index, &job->second);
    }
    if (trace) {
        fprintf(stderr, "%6ld start %s at %u\n", (long)now,
                run_name(id).c_str(), index);
    }
}

void
Simulation::on_ended(uint32_t index, const lc_run_id &id, Runner_End end)
{
    active_runs[task_of(id)].erase(index);
    if (id.job >= FIRST_DURABLE_ID) {
        on_durable_end(id, end);
    }
    if (end == RUNNER_END_DONE) {
        done[task_of(id)] = true;
    }
    if (trace) {
        fprintf(stderr, "%6ld end %s at %u: %d\n", (long)now,
                run_name(id).c_str(), index, (int)end);
    }
}

void
Simulation::check_end()
{
    for (auto &pair : active_runs) {
        if (!pair.second.empty()) {
            violation("a task still runs at the end");
        }
    }
    for (auto &pair : jobs) {
        if (pair.second.started && !pair.second.may_have_run) {
            violation(
                "job " + std::to_string(pair.first) +
                " ran although all its submissions were answered not_run");
        }
    }
    for (auto &pair : requests) {
        if (!pair.second.answered) {
            violation("a request without an answer");
        }
    }
    for (uint32_t i = 0; i < plan.companions; i++) {
        if (upstreams[i].unacknowledged_ends() != 0) {
            violation("unacknowledged ends at upstream " + std::to_string(i) +
                      ", first " +
                      run_name(upstreams[i].first_unacknowledged()));
        }
    }
    check_durable();
    if (report.late_succeeded * 10 < report.late_jobs * 9) {
        violation("service has not recovered, late jobs succeeded: " +
                  std::to_string(report.late_succeeded) + " of " +
                  std::to_string(report.late_jobs));
    }
}

} // namespace lease

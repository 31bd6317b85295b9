#include "tests/soak/checker.h"

#include "tests/soak/upstream.h"

namespace soak {

namespace {

const size_t MAX_VIOLATIONS = 20;
/* Every entry knows an accepted durable job after this time. */
const int64_t VISIBLE_MS = 3000;

std::string
run_text(const lc_run_id &id)
{
    return std::to_string(id.job) + "." + std::to_string(id.index) + " run " +
           std::to_string(id.run);
}

} // namespace

Job &
Checker::add_job(uint64_t id, uint32_t tasks, uint32_t cpu, int64_t work,
                 int64_t now_ms)
{
    Job job;

    job.id = id;
    job.tasks = tasks;
    job.cpu_milli = cpu;
    job.work_ms = work;
    job.first_sent_ms = now_ms;
    jobs[id] = job;
    if (now_ms >= recovery_deadline_ms) {
        jobs_after_recovery++;
    }
    return jobs[id];
}

Job *
Checker::find(uint64_t id)
{
    auto found = jobs.find(id);

    return found == jobs.end() ? nullptr : &found->second;
}

void
Checker::violation(int64_t now_ms, const std::string &text)
{
    if (violations.size() < MAX_VIOLATIONS) {
        violations.push_back("at " + std::to_string(now_ms) + " ms: " + text);
    }
}

void
Checker::on_start(int64_t now_ms, const std::string &upstream,
                  const lc_run_id &id)
{
    auto &runs = running[lease::task_of(id)];
    Job *job = find(id.job);

    starts++;
    if (!runs.empty()) {
        violation(now_ms,
                  "two runs at once: " + run_text(runs.begin()->second) +
                      " at " + runs.begin()->first + ", " + run_text(id) +
                      " at " + upstream);
    }
    runs[upstream] = id;
    if (job == nullptr) {
        violation(now_ms, "start of an unknown job at " + upstream);
        return;
    }
    job->started = true;
    if (job->durable) {
        check_durable_start(now_ms, upstream, id);
    }
    used_cpu_milli[upstream] += job->cpu_milli;
    if (used_cpu_milli[upstream] > UPSTREAM_CAPACITY.cpu_milli) {
        violation(now_ms, upstream + " runs more than its CPU capacity");
    }
}

void
Checker::on_end(int64_t now_ms, const std::string &upstream,
                int64_t incarnation, const lc_run_id &id, Runner_End end)
{
    Job *job = find(id.job);

    (void)now_ms;
    running[lease::task_of(id)].erase(upstream);
    if (end == RUNNER_END_DONE) {
        succeeded[lease::task_of(id)] = true;
        successful_ends[lease::task_of(id)].push_back(
            {upstream, incarnation, id.run, false, false});
    }
    if (job != nullptr) {
        used_cpu_milli[upstream] -= job->cpu_milli;
    }
}

/* No start may follow an acknowledged end of the same task, even if the end is
 * acknowledged only after that start. Ends are distinguished by upstream and
 * incarnation: a crash loses the unacknowledged ends, and a late copy of the
 * start can run and end again in the next incarnation. */
void
Checker::check_durable_start(int64_t now_ms, const std::string &upstream,
                             const lc_run_id &id)
{
    for (SuccessfulEnd &end : successful_ends[lease::task_of(id)]) {
        end.started_again = true;
        if (end.acknowledged) {
            violation(now_ms, "start after an acknowledged end: " +
                                  run_text(id) + " at " + upstream +
                                  "; ended: run " + std::to_string(end.run) +
                                  " at " + end.upstream + ", incarnation of " +
                                  std::to_string(end.incarnation));
        }
    }
}

void
Checker::on_acknowledged_end(int64_t now_ms, const std::string &upstream,
                             int64_t incarnation, const lc_run_id &id,
                             Runner_End end)
{
    const Job *job = find(id.job);

    if (end != RUNNER_END_DONE || job == nullptr || !job->durable) {
        return;
    }
    for (SuccessfulEnd &end_row : successful_ends[lease::task_of(id)]) {
        if (end_row.run != id.run || end_row.upstream != upstream ||
            end_row.incarnation != incarnation) {
            continue;
        }
        end_row.acknowledged = true;
        if (end_row.started_again) {
            violation(now_ms,
                      "end acknowledged after another start: " + run_text(id) +
                          " at " + upstream + ", incarnation of " +
                          std::to_string(incarnation));
        }
    }
}

void
Checker::on_state_answer(int64_t now_ms, Job &job, const Answer &answer)
{
    job.state_queries++;
    if (!answer.received || answer.status == 503) {
        return;
    }
    if (answer.status != 200 && now_ms - job.accepted_ms < VISIBLE_MS) {
        return; /* other entries read the log record with a delay */
    }
    if (answer.status != 200) {
        violation(now_ms, "durable job " + std::to_string(job.id) +
                              " is reported as unknown");
        return;
    }
    if (answer.body.find("failed") != std::string::npos ||
        answer.body.find("cancelled") != std::string::npos) {
        job.end_told_ms =
            now_ms; /* faults may use up all attempts of a task */
    }
    if (answer.body.find("succeeded") == std::string::npos ||
        job.end_told_ms != 0) {
        return;
    }
    job.end_told_ms = now_ms;
    job.done = true;
    durable_done++;
    for (uint32_t i = 0; i < job.tasks; i++) {
        if (!succeeded[lease::TaskKey(job.id, 0, i)]) {
            violation(now_ms, "durable job " + std::to_string(job.id) +
                                  " reported as done with a task that is not");
        }
    }
}

uint64_t
Checker::durable_open() const
{
    uint64_t open = 0;

    for (auto &pair : jobs) {
        open += pair.second.accepted && pair.second.end_told_ms == 0;
    }
    return open;
}

void
Checker::check_durable_ended(int64_t now_ms, const Job &job)
{
    if (job.accepted && job.end_told_ms == 0) {
        violation(now_ms, "durable job " + std::to_string(job.id) +
                              " was accepted and has not ended");
    }
}

void
Checker::on_answer(int64_t now_ms, Job &job, const Answer &answer)
{
    bool refused = answer.received &&
                   (answer.status == 503 || answer.status == 429);

    answers[answer.received ? answer.status / 100 % 6 : 0]++;
    if (!refused) {
        job.may_have_run = true;
    }
    if (!answer.received || answer.status != 200) {
        return;
    }
    if (job.durable) {
        if (!job.accepted) {
            durable_accepted++;
            job.accepted = true;
            job.accepted_ms = now_ms;
        }
        return;
    }
    if (answer.body.find("succeeded") != std::string::npos) {
        job.done = true;
        if (job.first_sent_ms >= recovery_deadline_ms) {
            done_after_recovery++;
        }
        for (uint32_t i = 0; i < job.tasks; i++) {
            if (!succeeded[lease::TaskKey(job.id, 0, i)]) {
                violation(now_ms,
                          "job " + std::to_string(job.id) +
                              " reported as done with a task that is not");
            }
        }
    }
}

void
Checker::finish(int64_t now_ms)
{
    for (auto &pair : running) {
        if (!pair.second.empty()) {
            violation(now_ms, "still running: " +
                                  run_text(pair.second.begin()->second));
        }
    }
    for (auto &pair : jobs) {
        if (pair.second.durable) {
            check_durable_ended(now_ms, pair.second);
        }
        if (pair.second.started && !pair.second.may_have_run) {
            violation(now_ms, "job " + std::to_string(pair.first) +
                                  " ran though all attempts were refused");
        }
    }
    if (done_after_recovery * 10 < jobs_after_recovery * 9) {
        violation(now_ms, "service has not recovered, jobs done: " +
                              std::to_string(done_after_recovery) + " of " +
                              std::to_string(jobs_after_recovery));
    }
}

} // namespace soak

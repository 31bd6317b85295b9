#include "tests/soak/checker.h"

#include "tests/soak/upstream.h"

namespace soak {

namespace {

const size_t MOST_VIOLATIONS = 20;
/* An accepted job is known everywhere after so long. */
const int64_t VISIBLE_MS = 3000;

std::string
text_of(const lc_run_id &id)
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
    job.first_ms = now_ms;
    jobs[id] = job;
    if (now_ms >= calm_from_ms) {
        late_jobs++;
    }
    return jobs[id];
}

Job *
Checker::find(uint64_t id)
{
    auto place = jobs.find(id);

    return place == jobs.end() ? nullptr : &place->second;
}

void
Checker::violation(int64_t now_ms, const std::string &text)
{
    if (violations.size() < MOST_VIOLATIONS) {
        violations.push_back("at " + std::to_string(now_ms) + " ms: " + text);
    }
}

void
Checker::on_start(int64_t now_ms, const std::string &place,
                  const lc_run_id &id)
{
    auto &places = at_work[lease::task_of(id)];
    Job *job = find(id.job);

    starts++;
    if (!places.empty()) {
        violation(now_ms,
                  "two runs at once: " + text_of(places.begin()->second) +
                      " at " + places.begin()->first + ", " + text_of(id) +
                      " at " + place);
    }
    places[place] = id;
    if (job == nullptr) {
        violation(now_ms, "a start of no job at " + place);
        return;
    }
    job->started = true;
    if (job->kept) {
        check_kept_start(now_ms, id);
    }
    used[place] += job->cpu_milli;
    if (used[place] > UPSTREAM_CAPACITY.cpu_milli) {
        violation(now_ms, place + " is over its room");
    }
}

void
Checker::on_end(int64_t now_ms, const std::string &place, int64_t incarnation,
                const lc_run_id &id, Runner_End end)
{
    Job *job = find(id.job);

    (void)now_ms;
    at_work[lease::task_of(id)].erase(place);
    if (end == RUNNER_END_DONE) {
        ended_well[lease::task_of(id)] = true;
        well_ends[lease::task_of(id)].push_back(
            {place, incarnation, id.run, false, false});
    }
    if (job != nullptr) {
        used[place] -= job->cpu_milli;
    }
}

/* No start may follow an acknowledged end of the same task, even if the end is
 * acknowledged only after that start. Ends are distinguished by upstream and
 * incarnation: a crash loses the unacknowledged ends, and a late copy of the
 * start can run and end again in the next incarnation. */
void
Checker::check_kept_start(int64_t now_ms, const lc_run_id &id)
{
    for (WellEnd &end : well_ends[lease::task_of(id)]) {
        end.followed = true;
        if (end.noted) {
            violation(now_ms,
                      "a start after an end taken note of: " + text_of(id));
        }
    }
}

void
Checker::on_noted(int64_t now_ms, const std::string &place,
                  int64_t incarnation, const lc_run_id &id, Runner_End end)
{
    const Job *job = find(id.job);

    if (end != RUNNER_END_DONE || job == nullptr || !job->kept) {
        return;
    }
    for (WellEnd &row : well_ends[lease::task_of(id)]) {
        if (row.run != id.run || row.place != place ||
            row.incarnation != incarnation) {
            continue;
        }
        row.noted = true;
        if (row.followed) {
            violation(now_ms, "an end taken note of after another start: " +
                                  text_of(id));
        }
    }
}

void
Checker::on_look(int64_t now_ms, Job &job, const Answer &answer)
{
    job.looks++;
    if (!answer.whole || answer.status == 503) {
        return;
    }
    if (answer.status != 200 && now_ms - job.accepted_ms < VISIBLE_MS) {
        return; /* read elsewhere a moment later */
    }
    if (answer.status != 200) {
        violation(now_ms, "kept job " + std::to_string(job.id) +
                              " is told as unknown");
        return;
    }
    if (answer.body.find("failed") != std::string::npos ||
        answer.body.find("cancelled") != std::string::npos) {
        job.over_ms = now_ms; /* a task may fail too often on a bad day */
    }
    if (answer.body.find("succeeded") == std::string::npos ||
        job.over_ms != 0) {
        return;
    }
    job.over_ms = now_ms;
    job.done = true;
    kept_done++;
    for (uint32_t i = 0; i < job.tasks; i++) {
        if (!ended_well[lease::TaskName(job.id, 0, i)]) {
            violation(now_ms, "kept job " + std::to_string(job.id) +
                                  " told as done with a task that is not");
        }
    }
}

uint64_t
Checker::kept_open() const
{
    uint64_t open = 0;

    for (auto &pair : jobs) {
        open += pair.second.accepted && pair.second.over_ms == 0;
    }
    return open;
}

void
Checker::finish_kept(int64_t now_ms, const Job &job)
{
    if (job.accepted && job.over_ms == 0) {
        violation(now_ms, "kept job " + std::to_string(job.id) +
                              " was accepted and is not over");
    }
}

void
Checker::on_answer(int64_t now_ms, Job &job, const Answer &answer)
{
    bool refused = answer.whole &&
                   (answer.status == 503 || answer.status == 429);

    answers[answer.whole ? answer.status / 100 % 6 : 0]++;
    if (!refused) {
        job.may_have_run = true;
    }
    if (!answer.whole || answer.status != 200) {
        return;
    }
    if (job.kept) {
        if (!job.accepted) {
            kept_accepted++;
            job.accepted = true;
            job.accepted_ms = now_ms;
        }
        return;
    }
    if (answer.body.find("succeeded") != std::string::npos) {
        job.done = true;
        if (job.first_ms >= calm_from_ms) {
            late_done++;
        }
        for (uint32_t i = 0; i < job.tasks; i++) {
            if (!ended_well[lease::TaskName(job.id, 0, i)]) {
                violation(now_ms, "job " + std::to_string(job.id) +
                                      " told as done with a task that is not");
            }
        }
    }
}

void
Checker::finish(int64_t now_ms)
{
    for (auto &pair : at_work) {
        if (!pair.second.empty()) {
            violation(now_ms, "still running: " +
                                  text_of(pair.second.begin()->second));
        }
    }
    for (auto &pair : jobs) {
        if (pair.second.kept) {
            finish_kept(now_ms, pair.second);
        }
        if (pair.second.started && !pair.second.may_have_run) {
            violation(now_ms, "job " + std::to_string(pair.first) +
                                  " ran though all attempts were refused");
        }
    }
    if (late_done * 10 < late_jobs * 9) {
        violation(now_ms, "service is not back: " + std::to_string(late_done) +
                              " of " + std::to_string(late_jobs));
    }
}

} // namespace soak

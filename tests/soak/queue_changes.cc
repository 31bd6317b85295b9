/*
 * Plays changes of the route table under accepted jobs, on a small cluster:
 * queues get other names and prefixes, exchange names, are removed and put
 * back, while entries are stopped and killed. Checks what callers were
 * promised: a job is known at its address, it is run once, when it is due, it
 * is not run once it is cancelled, and callers of another queue neither see
 * nor cancel it. Prints what was played, and the violations.
 *
 * Usage: queue_changes PLAY LEVERCOVED FOLDER PORT [SEED]
 */

#include <glib.h>
#include <jansson.h>
#include <signal.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/soak/cluster.h"

namespace {

/* Bounds of the users' platform, ms. */
const int64_t VISIBLE_MS = 3000;
const int64_t CONTACT_MS = 3000;
const int64_t CANCEL_MS = 3000;
const int64_t CONFIG_APPLY_MS = 2000;
const int64_t EARLY_MS = 250;
const int64_t FINISH_MS = 14000;
const int64_t LASTING_RESTART_MS = 6000;

const int64_t START_MS = 3500;
const int64_t ASK_TIMEOUT_MS = 1000;
const int64_t POST_TIMEOUT_MS = 2500;
const int64_t RESUBMIT_MS = 1300;
const int MAX_ATTEMPTS = 3;
const int ENTRIES = 3;
const int COMPANIONS = 4;
/* Above the versions that the cluster publishes by itself. */
const int FIRST_VERSION = 1000;

soak::Cluster *cluster;
HttpClient *client;
int version = FIRST_VERSION;
std::vector<std::string> violations;

int64_t
now()
{
    return cluster->now();
}

void
violation(const std::string &text)
{
    violations.push_back("at " + std::to_string(now()) + " ms: " + text);
}

/* ---- queues ---- */

struct Queue {
    std::string name;
    std::string prefix;
    bool exists = true;
    int priority = 0;
};

std::vector<Queue> queues;
/* When each prefix was last not covered by the table in force. */
std::map<std::string, int64_t> uncovered_ms;

bool
is_covered(const std::string &prefix)
{
    for (const Queue &queue : queues) {
        if (queue.exists &&
            prefix.compare(0, queue.prefix.size(), queue.prefix) == 0) {
            return true;
        }
    }
    return false;
}

/* Writes the table, as operators do. A queue may have several hosts; callers
 * use the first one. */
void
publish()
{
    std::string rows;

    for (const Queue &queue : queues) {
        for (const char *host : {"site.example", "other.example"}) {
            rows += queue.exists
                        ? std::string(rows.empty() ? "" : ",") +
                              "{\"name\":\"" + queue.name + "\",\"host\":\"" +
                              host + "\",\"path_prefix\":\"" + queue.prefix +
                              "\",\"service\":\"service\",\"timeout_ms\":9000,"
                              "\"max_attempts\":3,\"stretch\":1.6,"
                              "\"priority\":" +
                              std::to_string(queue.priority) +
                              ",\"target_latency_ms\":9000}"
                        : "";
        }
    }
    version += 1 + (int)cluster->random_below(3);
    cluster->store->put("config", "{\"version\":" + std::to_string(version) +
                                      ",\"routes\":[" + rows + "]}");
    for (auto &pair : uncovered_ms) {
        if (!is_covered(pair.first)) {
            pair.second = INT64_MAX;
        }
        else if (pair.second == INT64_MAX) {
            pair.second = now();
        }
    }
}

/* Whether the table has covered the prefix for as long as entries may take to
 * apply one. */
bool
is_covered_for_long(const std::string &prefix)
{
    auto found = uncovered_ms.find(prefix);

    return found == uncovered_ms.end() ||
           (found->second != INT64_MAX &&
            now() - found->second > CONFIG_APPLY_MS + ASK_TIMEOUT_MS);
}

size_t
add_queue(const std::string &name, const std::string &prefix)
{
    Queue queue;

    queue.name = name;
    queue.prefix = prefix;
    queues.push_back(queue);
    uncovered_ms[prefix] = 0;
    return queues.size() - 1;
}

/* ---- jobs ---- */

enum class Kind { Due, Lasting, BestEffort };

struct Task {
    std::set<std::string> running; /* upstreams */
    int done = 0;
    bool done_noted = false;
    int64_t over_ms = 0; /* when it last ended */
};

struct Job {
    uint64_t id = 0;
    Kind kind = Kind::Due;
    std::string prefix; /* at which it was handed in */
    uint32_t tasks = 0;
    int64_t work_ms = 0;
    int64_t due_ms = 0;
    std::string body;
    int attempts = 0;
    int64_t accepted_ms = -1;
    int64_t cancel_sent_ms = -1;
    int64_t cancelled_ms = -1; /* when its cancel was acknowledged */
    std::map<std::pair<uint32_t, uint32_t>, Task> state; /* by step, index */
};

std::map<uint64_t, Job> jobs;

std::string
id_text(uint64_t id)
{
    char text[24];

    snprintf(text, sizeof(text), "%016" PRIx64, id);
    return text;
}

std::string
text_of(const Job &job)
{
    return "job " + id_text(job.id) + " at " + job.prefix;
}

struct Answer {
    bool received = false;
    int status = 0;
    std::string body;

    json_t *
    member(const char *name) const
    {
        json_t *document = json_loads(body.c_str(), 0, nullptr);
        json_t *found = json_incref(json_object_get(document, name));
        json_decref(document);
        return found;
    }
    std::string
    state() const
    {
        json_t *found = member("state");
        std::string text = json_is_string(found) ? json_string_value(found)
                                                 : "";
        json_decref(found);
        return text;
    }
};

using OnAnswer = std::function<void(const Answer &)>;

void
call(int entry, const char *method, const std::string &path,
     const std::string &body, int64_t timeout_ms, OnAnswer done)
{
    HttpClient_Request request = {};
    std::string headers =
        "Host: site.example\r\nX-Deadline-Ms: " + std::to_string(timeout_ms) +
        "\r\n" + (body.empty() ? "" : "Content-Type: application/json\r\n");

    request.to = cluster->entry_address(entry, soak::Port::Callers);
    request.method = method;
    request.path = path.c_str();
    request.headers = headers.c_str();
    request.body = body.data();
    request.length = body.size();
    request.timeout_ms = (uint32_t)timeout_ms;
    HttpClient_Send(
        client, &request,
        [](void *context, const HttpClient_Answer *http) {
            std::unique_ptr<OnAnswer> run((OnAnswer *)context);
            Answer answer;
            answer.received = http->end == HTTP_CLIENT_ANSWERED;
            if (answer.received) {
                answer.status = http->status;
                answer.body.assign(http->body, http->length);
            }
            (*run)(answer);
        },
        new OnAnswer(std::move(done)));
}

bool
in_touch(int entry)
{
    const soak::Process &process = *cluster->entries[(size_t)entry];

    return process.is_up() &&
           (int64_t)uv_now(cluster->loop) - process.last_fault_ms > CONTACT_MS;
}

bool
is_visible(const Job &job)
{
    return job.accepted_ms >= 0 && now() - job.accepted_ms > VISIBLE_MS;
}

/* Sends the submission, and again elsewhere while its outcome is not known. */
void
send_job(uint64_t id, int entry)
{
    Job &job = jobs[id];

    job.attempts++;
    call(entry, "POST", job.prefix + id_text(id), job.body,
         job.kind == Kind::BestEffort ? 9000 : POST_TIMEOUT_MS,
         [id, entry](const Answer &answer) {
             Job &sent = jobs[id];
             if (answer.status / 100 == 2) {
                 sent.accepted_ms = now();
             }
             else if ((!answer.received || answer.status == 502 ||
                       answer.status == 504) &&
                      sent.attempts < MAX_ATTEMPTS &&
                      sent.kind != Kind::BestEffort) {
                 cluster->run_after(RESUBMIT_MS, [id, entry] {
                     send_job(id, (entry + 1) % ENTRIES);
                 });
             }
         });
}

std::string
body_of(const Job &job)
{
    int64_t wall_ms = g_get_real_time() / 1000 + job.due_ms - now();
    std::string step = "\"steps\":[{\"count\":" + std::to_string(job.tasks) +
                       ",\"cpu\":200,\"estimate_ms\":" +
                       std::to_string(std::min<int64_t>(job.work_ms, 3000));

    switch (job.kind) {
    case Kind::Lasting:
        return "{\"spec\":\"lasts\"," + step + ",\"long_running\":true}]}";
    case Kind::BestEffort:
        return "{\"spec\":\"best\",\"best_effort\":true," + step + "}]}";
    default:
        return "{\"spec\":\"due\"," + step +
               "}],\"repeat_count\":1,\"interval_ms\":0,\"start_at_ms\":" +
               std::to_string(wall_ms) + "}";
    }
}

uint64_t
submit(int entry, Kind kind, const std::string &prefix, uint32_t tasks,
       int64_t work_ms, int64_t due_ms)
{
    static uint64_t last;
    uint64_t id = ++last * 0x9E3779B97F4A7C15ULL;
    Job job = {};

    job.id = id;
    job.kind = kind;
    job.prefix = prefix;
    job.tasks = tasks;
    job.work_ms = work_ms;
    job.due_ms = due_ms;
    job.body = body_of(job);
    jobs[id] = job;
    send_job(id, entry);
    return id;
}

/* A caller asks for a job at an address at which it must be known. */
void
ask(uint64_t id, int entry, const std::string &prefix)
{
    if (!is_visible(jobs[id]) || !in_touch(entry)) {
        return;
    }
    call(entry, "GET", prefix + id_text(id), "", ASK_TIMEOUT_MS,
         [id, entry, prefix](const Answer &answer) {
             const Job &job = jobs[id];
             bool gone = answer.status == 410 ||
                         (answer.status == 404 && is_covered_for_long(prefix));
             if (gone && in_touch(entry) && job.cancel_sent_ms < 0) {
                 violation("LOST: " + text_of(job) + " asked for at " +
                           prefix + ", entry " + std::to_string(entry) + ": " +
                           std::to_string(answer.status));
             }
         });
}

/* A caller of another queue asks for a job, and cancels it. */
void
ask_as_stranger(uint64_t id, int entry, const std::string &prefix)
{
    for (const char *method : {"GET", "DELETE"}) {
        call(entry, method, prefix + id_text(id), "", ASK_TIMEOUT_MS,
             [id, prefix, method](const Answer &answer) {
                 if (answer.received && answer.status / 100 == 2) {
                     violation(
                         std::string(method) + " of " + text_of(jobs[id]) +
                         " at " + prefix +
                         ", another queue: " + std::to_string(answer.status));
                 }
             });
    }
}

/* The same ID arrives again after its 2xx: it remains one job. */
void
submit_again(uint64_t id, int entry)
{
    if (!is_visible(jobs[id]) || !in_touch(entry)) {
        return;
    }
    call(entry, "POST", jobs[id].prefix + id_text(id), jobs[id].body,
         POST_TIMEOUT_MS, [id](const Answer &answer) {
             if (answer.status == 409) {
                 violation(text_of(jobs[id]) +
                           " sent again: " + answer.body.substr(0, 120));
             }
         });
}

bool
is_at_work(const Job &job)
{
    return std::any_of(
        job.state.begin(), job.state.end(),
        [](const std::pair<const std::pair<uint32_t, uint32_t>, Task> &pair) {
            return !pair.second.running.empty();
        });
}

/* A cancelled job has nothing at work. */
void
check_stopped(const Job &job)
{
    if (is_at_work(job)) {
        violation("UNASKED: " + text_of(job) +
                  " is at work, its cancel was acknowledged");
    }
}

void
cancel(uint64_t id, int entry, const std::string &prefix)
{
    if (jobs[id].kind != Kind::BestEffort && !is_visible(jobs[id])) {
        return;
    }
    jobs[id].cancel_sent_ms = now();
    call(entry, "DELETE", prefix + id_text(id), "", POST_TIMEOUT_MS,
         [id, entry](const Answer &answer) {
             Job &job = jobs[id];
             if (answer.status / 100 == 2 || answer.status == 410) {
                 job.cancelled_ms = now();
             }
             if (answer.status == 410 && in_touch(entry) &&
                 (job.accepted_ms >= 0 || is_at_work(job))) {
                 violation("DELETE of " + text_of(job) + ", entry " +
                           std::to_string(entry) + ": 410");
             }
         });
}

void
check_count(const std::string &prefix, json_int_t expected)
{
    for (int entry = 0; entry < ENTRIES; entry++) {
        call(entry, "GET", prefix, "", ASK_TIMEOUT_MS,
             [prefix, expected, entry](const Answer &answer) {
                 json_t *count = answer.member("waiting");
                 if (json_integer_value(count) != expected) {
                     violation("MIXED: GET " + prefix + ", entry " +
                               std::to_string(entry) + ": " +
                               answer.body.substr(0, 80) + ", " +
                               std::to_string(expected) + " wait");
                 }
                 json_decref(count);
             });
    }
}

/* ---- what upstreams see ---- */

Task *
find_task(const lc_run_id &id, Job **job)
{
    auto found = jobs.find(id.job);

    if (found == jobs.end()) {
        violation("UNASKED: start of an unknown job " + id_text(id.job));
        return nullptr;
    }
    *job = &found->second;
    return &found->second.state[{id.step, id.index}];
}

void
on_start(const std::string &upstream, const lc_run_id &id)
{
    Job *job;
    Task *task = find_task(id, &job);

    if (task == nullptr) {
        return;
    }
    if (task->done_noted || !task->running.empty()) {
        violation("TWICE: " + text_of(*job) + ", task " +
                  std::to_string(id.index) + " at " + upstream);
    }
    if (job->kind == Kind::Due && now() < job->due_ms - EARLY_MS) {
        violation("ORDER: " + text_of(*job) + " started " +
                  std::to_string(job->due_ms - now()) + " ms early");
    }
    if (job->cancelled_ms >= 0 && now() - job->cancelled_ms > CANCEL_MS) {
        violation("UNASKED: " + text_of(*job) + " started " +
                  std::to_string(now() - job->cancelled_ms) +
                  " ms after its cancel was acknowledged");
    }
    task->running.insert(upstream);
}

void
watch_upstream(soak::Upstream *upstream)
{
    std::string name = upstream->name;

    upstream->model.on_start = [name](const lc_run_id &id) {
        on_start(name, id);
    };
    upstream->model.on_end = [name](const lc_run_id &id, Runner_End end) {
        Job *job;
        Task *task = find_task(id, &job);
        if (task != nullptr) {
            task->running.erase(name);
            task->done += end == RUNNER_END_DONE;
            task->over_ms = now();
        }
    };
    upstream->model.on_end_acknowledged = [](const lc_run_id &id,
                                             Runner_End end) {
        Job *job;
        Task *task = find_task(id, &job);
        if (task != nullptr) {
            task->done_noted |= end == RUNNER_END_DONE;
        }
    };
    upstream->model.work_of = [](const lc_run_id &id) {
        auto found = jobs.find(id.job);
        return found == jobs.end() ? 100 : found->second.work_ms;
    };
}

/* ---- the end ---- */

void
check_lasting(const Job &job)
{
    for (uint32_t i = 0; i < job.tasks; i++) {
        auto found = job.state.find({0, i});
        if (found == job.state.end() ||
            (found->second.running.empty() &&
             now() - found->second.over_ms > LASTING_RESTART_MS)) {
            violation("LOST: task " + std::to_string(i) + " of " +
                      text_of(job) + " is not at work");
        }
    }
}

void
check_done(const Job &job)
{
    for (uint32_t i = 0; i < job.tasks; i++) {
        auto found = job.state.find({0, i});
        int done = found == job.state.end() ? 0 : found->second.done;
        if (done != 1) {
            violation("task " + std::to_string(i) + " of " + text_of(job) +
                      " was done " + std::to_string(done) + " times");
        }
    }
}

bool
is_done(const Job &job)
{
    uint32_t done = 0;

    for (auto &pair : job.state) {
        done += pair.second.done > 0;
    }
    return done == job.tasks;
}

/* What every entry shows in the end. The cancel of a job that has ended
 * changes nothing. */
void
check_shown(uint64_t id, int entry, const std::string &prefix)
{
    call(entry, "GET", prefix + id_text(id), "", ASK_TIMEOUT_MS,
         [id, entry](const Answer &answer) {
             const Job &job = jobs[id];
             const char *expected = job.cancelled_ms >= 0       ? "cancelled"
                                    : job.kind == Kind::Lasting ? "running"
                                                                : "succeeded";
             if (answer.state() != expected &&
                 !(job.cancelled_ms >= 0 && is_done(job) &&
                   answer.state() == "succeeded")) {
                 violation("LOST: " + text_of(job) + " is " + expected +
                           ", entry " + std::to_string(entry) +
                           " shows: " + std::to_string(answer.status) + " " +
                           answer.body.substr(0, 80));
             }
         });
}

/* Where a job is to be found in the end, by the prefix where it was handed in.
 */
std::function<std::string(const std::string &)> final_prefix =
    [](const std::string &prefix) { return prefix; };

void
finish()
{
    uint64_t accepted = 0;

    for (auto &pair : jobs) {
        const Job &job = pair.second;
        accepted += job.accepted_ms >= 0;
        if (job.cancelled_ms >= 0) {
            check_stopped(job);
        }
        else if (job.accepted_ms < 0 || job.cancel_sent_ms >= 0) {
            continue; /* callers were promised nothing */
        }
        else if (job.kind == Kind::Lasting) {
            check_lasting(job);
        }
        else {
            check_done(job);
        }
        if (job.accepted_ms >= 0 && job.kind != Kind::BestEffort) {
            for (int entry = 0; entry < ENTRIES; entry++) {
                check_shown(pair.first, entry, final_prefix(job.prefix));
            }
        }
    }
    printf("%" PRIu64 " of %zu jobs accepted\n", accepted, jobs.size());
    cluster->run_after(ASK_TIMEOUT_MS + 200, [] { cluster->finish(); });
}

/* ---- plays with a fixed order of events ---- */

const int64_t CHANGE_AT_MS = 3500;
const int64_t CALLERS_AT_MS = CHANGE_AT_MS + 2500;
const int64_t DISRUPTION_AT_MS = 7500;
const int64_t DISRUPTION_GAP_MS = 1500;
const int64_t DUE_AT_MS = 11000;
const int64_t CALM_AT_MS = DUE_AT_MS + 2000;
const int64_t PUT_BACK_MS = 1500;
const uint32_t DUE_JOBS = 4;

size_t renamed, moved, swapped_a, swapped_b, removed, lasting, best_effort,
    stranger;
uint64_t best_effort_job;
uint64_t cancelled_best_effort_job;

std::vector<uint64_t>
jobs_at(const std::string &prefix)
{
    std::vector<uint64_t> found;

    for (auto &pair : jobs) {
        if (pair.second.prefix == prefix) {
            found.push_back(pair.first);
        }
    }
    return found;
}

/* The address of a job after the changes below. */
std::string
address_after(const std::string &prefix)
{
    return prefix == "/moved/" ? "/moved/to/" : prefix;
}

void
hand_in()
{
    int64_t due_ms = now() + DUE_AT_MS;

    for (uint32_t i = 0; i < DUE_JOBS; i++) {
        for (size_t queue : {renamed, moved, swapped_a, swapped_b, removed}) {
            submit((int)i % ENTRIES, Kind::Due, queues[queue].prefix, 2, 300,
                   due_ms);
        }
    }
    for (int i = 0; i < 2; i++) {
        submit(i, Kind::Lasting, queues[lasting].prefix, 3, lease::LASTS_MS,
               0);
    }
    cluster->run_after(CHANGE_AT_MS - 200, [] {
        best_effort_job = submit(1, Kind::BestEffort,
                                 queues[best_effort].prefix, 1, 5000, 0);
        cancelled_best_effort_job = submit(
            1, Kind::BestEffort, queues[best_effort].prefix, 1, 5000, 0);
    });
}

/* One version of the table has all changes but the last. */
void
change_table()
{
    queues[renamed].name = "renamed-2";
    queues[lasting].name = "lasting-2";
    queues[best_effort].name = "best-effort-2";
    queues[moved].prefix = "/moved/to/";
    uncovered_ms["/moved/to/"] = now();
    std::swap(queues[swapped_a].name, queues[swapped_b].name);
    queues[removed].exists = false;
    publish();
    cluster->run_after(PUT_BACK_MS, [] {
        queues[removed].exists = true;
        queues[removed].name = "removed-2";
        publish();
    });
}

/* Each caller asks at its own address, some come again or cancel; strangers
 * ask too. */
void
callers_come()
{
    int index = 0;

    for (auto &pair : jobs) {
        const Job &job = pair.second;
        std::string prefix = address_after(job.prefix);
        if (job.kind == Kind::BestEffort) {
            continue;
        }
        for (int entry = 0; entry < ENTRIES; entry++) {
            ask(pair.first, entry, prefix);
            ask_as_stranger(pair.first, entry, queues[stranger].prefix);
        }
        if (job.prefix == queues[swapped_a].prefix) {
            ask_as_stranger(pair.first, 0, queues[swapped_b].prefix);
        }
        if (prefix == job.prefix) {
            submit_again(pair.first, index++ % ENTRIES);
        }
    }
}

void
callers_cancel()
{
    for (size_t queue :
         {renamed, moved, swapped_a, swapped_b, removed, lasting}) {
        std::vector<uint64_t> waiting = jobs_at(
            queue == moved ? "/moved/" : queues[queue].prefix);
        for (size_t i = 0; i < waiting.size() / 2; i++) {
            cancel(waiting[i], (int)(i + queue) % ENTRIES,
                   queues[queue].prefix);
        }
    }
    cancel(cancelled_best_effort_job, 2, queues[best_effort].prefix);
    cluster->run_after(CANCEL_MS,
                       [] { check_stopped(jobs[cancelled_best_effort_job]); });
}

void
prepare_queues()
{
    renamed = add_queue("renamed", "/renamed/");
    moved = add_queue("moved", "/moved/");
    swapped_a = add_queue("swapped-a", "/a/");
    swapped_b = add_queue("swapped-b", "/b/");
    removed = add_queue("removed", "/removed/");
    lasting = add_queue("lasting", "/lasting/");
    best_effort = add_queue("best-effort", "/best/");
    stranger = add_queue("stranger", "/stranger/");
    final_prefix = address_after;
    publish();
}

void
play_calm()
{
    hand_in();
    cluster->run_after(CHANGE_AT_MS, change_table);
    cluster->run_after(CALLERS_AT_MS, [] {
        callers_come();
        for (size_t queue : {renamed, moved, swapped_a, swapped_b, removed}) {
            check_count(queues[queue].prefix, DUE_JOBS);
        }
    });
    cluster->run_after(CALLERS_AT_MS + 500, callers_cancel);
    cluster->run_after(CALM_AT_MS + FINISH_MS, finish);
}

/* Planned stops of all entries, one after the other. */
void
play_stops()
{
    play_calm();
    for (int i = 0; i < ENTRIES; i++) {
        cluster->run_after(DISRUPTION_AT_MS + i * DISRUPTION_GAP_MS, [i] {
            cluster->entries[(size_t)i]->signal(SIGTERM);
        });
    }
}

/* All entries are killed at once. */
void
play_kills()
{
    play_calm();
    cluster->run_after(DISRUPTION_AT_MS, [] {
        for (auto &process : cluster->entries) {
            process->kill(300);
        }
    });
}

/* ---- random changes ---- */

const int64_t RANDOM_MS = 24000;
const int64_t RANDOM_CHANGE_MS = 1100;
const int64_t RANDOM_FAULT_MS = 4500;
const int64_t RANDOM_JOB_MS = 110;
const int RANDOM_QUEUES = 6;
/* The last ones change their prefixes, the others their names: of a queue that
 * changes both while a job is open, the job cannot be found. */
const int MOVED_QUEUES = 2;

int random_names;
std::vector<std::string> home_prefixes;

std::string
fresh_name()
{
    return "name-" + std::to_string(++random_names);
}

void
put_back_later(size_t index, bool other_name)
{
    queues[index].exists = false;
    cluster->run_after(PUT_BACK_MS, [index, other_name] {
        queues[index].exists = true;
        if (other_name) {
            queues[index].name = fresh_name();
        }
        publish();
    });
}

void
change_randomly()
{
    size_t renames = RANDOM_QUEUES - MOVED_QUEUES;
    size_t index = cluster->random_below((uint32_t)renames);
    size_t other = cluster->random_below((uint32_t)renames);
    size_t mover = renames + cluster->random_below(MOVED_QUEUES);
    Queue &catch_all = queues.back();

    switch (cluster->random_below(7)) {
    case 0:
    case 1:
        queues[index].name = fresh_name();
        break;
    case 2:
        std::swap(queues[index].name, queues[other].name);
        break;
    case 3:
        put_back_later(index, cluster->random_below(2) == 0);
        break;
    case 4:
        queues[mover].prefix = queues[mover].prefix == home_prefixes[mover]
                                   ? home_prefixes[mover] + "to/"
                                   : home_prefixes[mover];
        break;
    case 5:
        queues[index].priority = (int)cluster->random_below(3);
        break;
    default:
        catch_all.exists = !catch_all.exists;
        break;
    }
    publish();
}

void
disturb_randomly()
{
    size_t entry = cluster->random_below(ENTRIES);

    switch (cluster->random_below(4)) {
    case 0:
    case 1:
        cluster->entries[entry]->signal(SIGTERM);
        break;
    case 2:
        cluster->entries[entry]->kill(300);
        break;
    default:
        for (auto &process : cluster->entries) {
            process->kill(300);
        }
        break;
    }
}

void
hand_in_randomly()
{
    size_t queue = cluster->random_below(RANDOM_QUEUES);
    uint32_t luck = cluster->random_below(20);
    int entry = (int)cluster->random_below(ENTRIES);
    const std::string prefix = queues[queue].prefix;

    if (!queues[queue].exists) {
        return;
    }
    if (luck == 0) {
        submit(entry, Kind::Lasting, prefix, 2, lease::LASTS_MS, 0);
        return;
    }
    submit(entry, Kind::Due, prefix, 1 + luck % 2, 200,
           now() + 500 + cluster->random_below(12000));
}

/* Some job is asked for, comes again or is cancelled. */
void
call_randomly()
{
    size_t index = cluster->random_below((uint32_t)jobs.size());
    auto found = std::next(jobs.begin(), (long)index);
    int entry = (int)cluster->random_below(ENTRIES);

    ask(found->first, entry, found->second.prefix);
    switch (cluster->random_below(10)) {
    case 0:
    case 1:
        submit_again(found->first, entry);
        break;
    case 2:
        ask_as_stranger(found->first, entry, "/stranger/");
        break;
    case 3:
        if (in_touch(entry) && is_covered_for_long(found->second.prefix)) {
            cancel(found->first, entry, found->second.prefix);
        }
        break;
    default:
        break;
    }
}

void
prepare_random()
{
    for (int i = 0; i < RANDOM_QUEUES; i++) {
        home_prefixes.push_back("/q" + std::to_string(i) + "/");
        add_queue(fresh_name(), home_prefixes.back());
        uncovered_ms[home_prefixes.back() + "to/"] = INT64_MAX;
    }
    add_queue("stranger", "/stranger/");
    add_queue("catch-all", "/");
    publish();
}

/* A moved queue has its first prefix again, so all its jobs are at home. */
void
calm_down()
{
    for (int i = 0; i < RANDOM_QUEUES; i++) {
        queues[(size_t)i].prefix = home_prefixes[(size_t)i];
    }
    final_prefix = [](const std::string &prefix) {
        return prefix.substr(0, prefix.find('/', 1) + 1);
    };
    publish();
}

/* The load and the faults of play_random(), without a change. */
void
play_quiet()
{
    for (int64_t at = 0; at < RANDOM_MS; at += RANDOM_JOB_MS) {
        cluster->run_after(at, hand_in_randomly);
        cluster->run_after(at + 40, call_randomly);
        cluster->run_after(at + 80, call_randomly);
    }
    for (int64_t at = RANDOM_FAULT_MS; at < RANDOM_MS; at += RANDOM_FAULT_MS) {
        cluster->run_after(at, disturb_randomly);
    }
    cluster->run_after(RANDOM_MS + PUT_BACK_MS + 500, calm_down);
    cluster->run_after(RANDOM_MS + PUT_BACK_MS + 500 + FINISH_MS, finish);
}

void
play_random()
{
    play_quiet();
    for (int64_t at = 2500; at < RANDOM_MS; at += RANDOM_CHANGE_MS) {
        cluster->run_after(at, change_randomly);
    }
}

const struct {
    const char *name;
    void (*prepare)();
    void (*play)();
} plays[] = {
    {"calm", prepare_queues, play_calm},
    {"stops", prepare_queues, play_stops},
    {"kills", prepare_queues, play_kills},
    {"random", prepare_random, play_random},
    {"quiet", prepare_random, play_quiet},
};

} // namespace

int
main(int argc, char **argv)
{
    soak::ClusterSettings settings;

    if (argc < 5) {
        fprintf(stderr,
                "usage: queue_changes PLAY LEVERCOVED FOLDER PORT [SEED]\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    settings.entries = ENTRIES;
    settings.companions = COMPANIONS;
    settings.program = argv[2];
    settings.folder = argv[3];
    settings.base_port = atoi(argv[4]);
    settings.seed = argc > 5 ? strtoull(argv[5], nullptr, 10) : 1;
    settings.verbose = true;
    cluster = new soak::Cluster(settings);
    client = HttpClient_New(cluster->loop);
    for (auto &upstream : cluster->upstreams) {
        watch_upstream(upstream.get());
    }
    for (const auto &row : plays) {
        if (strcmp(row.name, argv[1]) == 0) {
            row.prepare();
            cluster->start();
            cluster->run_after(START_MS, row.play);
            uv_run(cluster->loop, UV_RUN_DEFAULT);
            for (const std::string &line : violations) {
                printf("violation %s\n", line.c_str());
            }
            for (const std::string &line : cluster->checker.violations) {
                printf("violation %s\n", line.c_str());
            }
            printf("%s, seed %" PRIu64 ": %zu violations\n", argv[1],
                   settings.seed,
                   violations.size() + cluster->checker.violations.size());
            return !violations.empty() || !cluster->checker.violations.empty();
        }
    }
    fprintf(stderr, "queue_changes: no play %s\n", argv[1]);
    return 2;
}

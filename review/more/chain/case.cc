// A job that lasts is no longer run after its owner has changed 65 times by
// rolling restarts of the entries.
#include "stand.h"

using namespace stand;

static Cluster cluster;
static const int ENTRIES = 8, SIDES = 3;
static const int64_t GAP_MS = 1100;
static const int HAND_OVERS = 68;
static const char *JOB = "5c0e7a21d94b3601";

static bool stopping[ENTRIES];

// The entry that owns the job, or is taking it over.
static int owner()
{
    for (int i = 0; i < ENTRIES; i++) {
        if (stopping[i]) {
            continue;
        }
        if (cluster.metric(i, "levercove_kept_jobs_owned") > 0 ||
            cluster.metric(i, "levercove_kept_recoveries") > 0) {
            return i;
        }
    }
    return -1;
}

// The tasks of the job that are at work now.
static int at_work()
{
    int count = 0;
    for (const Run &r : cluster.history.of(JOB)) {
        count += r.ended == 0;
    }
    return count;
}

static bool wait_at_work(int count, int64_t until)
{
    while (at_work() < count) {
        if (now() > until) {
            return false;
        }
        sleep_ms(20);
    }
    return true;
}

// Starts the entries that have ended.
static void start_ended()
{
    for (int i = 0; i < ENTRIES; i++) {
        if (!cluster.entries[(size_t)i]->alive()) {
            cluster.entries[(size_t)i]->start();
            stopping[i] = false;
        }
    }
}

int main(int argc, char **argv)
{
    open_record(argc > 1 ? argv[1] : nullptr, &cluster, 119000);
    if (!cluster.prepare(ENTRIES, SIDES)) {
        return 2;
    }
    for (auto &m : cluster.minions) {
        m->work = [](const string &, int, const string &spec) {
            return spec == "lasts" ? (int64_t)-1 : (int64_t)100;
        };
    }
    cluster.configure(1, {{"queue", "/q/", 0, 3}});
    cluster.start();
    if (!cluster.wait_ready(15000)) {
        record("the deployment is not ready");
        cluster.finish(2);
    }
    string path = string("/q/") + JOB;
    if (cluster.request(0, "POST", path, "jobs.example",
                        "{\"spec\":\"lasts\",\"steps\":[{\"count\":2,\"cpu\":"
                        "1000,\"mem_mb\":256,\"long_running\":true}]}").status != 200 ||
        !wait_at_work(2, now() + 5000)) {
        record("the job was not accepted, or not started");
        cluster.finish(2);
    }
    int done = 0;
    int64_t first = now(), next = first;
    while (trouble() && done < HAND_OVERS && now() < 96000) {
        start_ended();
        int i = now() >= next ? owner() : -1;
        if (i >= 0) {
            done++;
            record("hand-over %d: entry %d owns the job and is stopped", done, i);
            cluster.entries[(size_t)i]->signal(SIGTERM);
            stopping[i] = true;
            next = now() + GAP_MS;
        }
        else if (now() - next > 9000) {
            record("no entry has owned the job for 9 s");
            break;
        }
        sleep_ms(20);
    }
    record("%d hand-overs in %d s; calm from here on", done, (int)((now() - first) / 1000));
    int64_t calm = now();
    while (now() < calm + 3500 || !cluster.wait_ready(now() + 100)) {
        start_ended();
        sleep_ms(20);
        if (now() > calm + 9000) {
            record("the entries are not back");
            cluster.finish(2);
        }
    }
    record("all entries are ready");
    int64_t ready = now();
    // The bound: at work from 6 s after its last run on, but for 3 s.
    bool seen = false;
    while (now() < ready + 9500 && !seen) {
        seen = at_work() == 2;
        sleep_ms(20);
    }
    // The same entries serve a new job at once: there is room.
    int64_t probe = now();
    Reply accepted = cluster.request(0, "POST", "/q/5c0e7a21d94b36ff", "jobs.example",
                                     "{\"spec\":\"short\",\"steps\":[{\"count\":2,"
                                     "\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":100}]}");
    bool served = false;
    while (accepted.status == 200 && !served && now() < probe + 3000) {
        sleep_ms(200);
        served = cluster.request(1, "GET", "/q/5c0e7a21d94b36ff", "jobs.example", "").body.find("succeeded") != string::npos;
    }
    for (int i = 0; i < ENTRIES; i++) {
        cluster.request(i, "GET", path, "jobs.example", "");
    }
    int count = at_work();
    record("tasks of the job at work: %d of 2; a new job is served: %s", count, served ? "yes" : "no");
    if (!served) {
        cluster.finish(2);
    }
    if (count == 2) {
        record("held");
        cluster.finish(0);
    }
    record("BROKEN, LOST: an accepted job that lasts has had no task at work for %d s, "
           "%d s of them calm",
           (int)((now() - [] {
               int64_t last = 0;
               for (const Run &r : cluster.history.of(JOB)) {
                   last = std::max(last, r.ended);
               }
               return last;
           }()) / 1000), (int)((now() - ready) / 1000));
    cluster.finish(1);
}

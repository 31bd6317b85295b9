// A queue is dropped by a change of the configuration, the entry that owns a
// kept job of it is restarted, and the queue comes back: the job's tasks run
// twice.
#include "stand.h"

using namespace stand;

static Cluster cluster;
static const int ENTRIES = 3, SIDES = 6;
static const char *JOB = "5c0e7a21d94b3602";
static const int TASKS = 4;
static const int64_t WORK_MS = 3500;

static int owner()
{
    for (int i = 0; i < ENTRIES; i++) {
        if (i != 1 && cluster.metric(i, "levercove_kept_jobs_owned") > 0) {
            return i;
        }
    }
    return -1;
}

static bool wait_for(int64_t ms, const std::function<bool()> &holds)
{
    int64_t until = now() + ms;
    while (!holds()) {
        if (now() > until) {
            return false;
        }
        sleep_ms(20);
    }
    return true;
}

int main(int argc, char **argv)
{
    const char *choice = getenv("TROUBLE"); // 0, config, restart, ack, or both
    string kind = choice == nullptr ? "both" : choice;
    bool drops = kind != "0" && kind != "restart";
    bool restarts = kind != "0" && kind != "config" && kind != "ack";
    string path = string("/a/") + JOB;

    open_record(argc > 1 ? argv[1] : nullptr, &cluster, 100000);
    if (!cluster.prepare(ENTRIES, SIDES)) {
        return 2;
    }
    for (auto &m : cluster.minions) {
        m->work = [](const string &, int, const string &spec) {
            return spec == "lasts" ? (int64_t)-1 : WORK_MS;
        };
    }
    Cluster::Queue a = {"r-a", "/a/", 0, 3}, b = {"r-b", "/b/", 0, 3};
    cluster.configure(1, {a, b});
    cluster.start();
    if (!cluster.wait_ready(15000)) {
        record("the deployment is not ready");
        cluster.finish(2);
    }
    sleep_ms(3000);
    // Other work, of the other queue and of an entry that is not restarted, is
    // on every minion all the time, as on an ordinary day.
    if (cluster.request(1, "POST", "/b/5c0e7a21d94b36bb", "jobs.example",
                        "{\"spec\":\"lasts\",\"steps\":[{\"count\":" +
                            std::to_string(2 * SIDES) +
                            ",\"cpu\":500,\"mem_mb\":128,\"anti_affinity\":2,"
                            "\"long_running\":true}]}").status != 200 ||
        !wait_for(4000, [] {
            return cluster.history.of("5c0e7a21d94b36bb").size() == 2 * SIDES;
        })) {
        record("the other work was not started");
        cluster.finish(2);
    }
    sleep_ms(1000);
    if (cluster.request(0, "POST", path, "jobs.example",
                        "{\"spec\":\"x\",\"steps\":[{\"count\":" + std::to_string(TASKS) +
                        ",\"cpu\":2000,\"mem_mb\":512,\"estimate_ms\":3500}]}").status != 200 ||
        !wait_for(3000, [] { return cluster.history.of(JOB).size() == (size_t)TASKS; })) {
        record("the job was not accepted, or not started");
        cluster.finish(2);
    }
    int first = owner();
    if (drops) {
        cluster.configure(3, {b});
    }
    if (kind == "ack" && first >= 0) { // after_ack_kill: it loses power right after the change
        Process &p = *cluster.entries[(size_t)first];
        p.kill();
        sleep_ms(3000);
        p.start();
    }
    sleep_ms(2100); // config_apply_ms is 2,000
    if (restarts) {
        int i = owner();
        if (i < 0) {
            cluster.finish(2);
        }
        record("entry %d, which owns the job, is stopped and started again", i);
        Process &p = *cluster.entries[(size_t)i];
        p.signal(SIGTERM);
        wait_for(8000, [&p] { return !p.alive(); });
        p.start();
    }
    else {
        sleep_ms(2600);
    }
    sleep_ms(4000);
    if (drops) {
        cluster.configure(6, {a, b});
    }
    bool over = wait_for(40000, [&path] {
        sleep_ms(500);
        return cluster.request(1, "GET", path, "jobs.example", "").body.find("succeeded") != string::npos;
    });
    sleep_ms(2500);
    // TWICE, as it is written.
    int broken = 0;
    std::vector<Run> runs = cluster.history.of(JOB);
    for (const Run &x : runs) {
        for (const Run &y : runs) {
            if (x.task != y.task || &x == &y || y.started < x.started ||
                (y.started == x.started && &y < &x)) {
                continue;
            }
            if (x.ended == 0 || y.started < x.ended) {
                record("BROKEN, TWICE: run %d and run %d of %s at once, from %.3f on", x.run, y.run, x.task.c_str(), (double)y.started / 1000);
                broken++;
            }
            else if (x.how == "done" && x.noted != 0 && x.noted >= y.started) {
                record("BROKEN, TWICE: run %d of %s starts at %.3f; run %d had ended done at %.3f, an end that was taken note of at %.3f",
                       y.run, x.task.c_str(), (double)y.started / 1000, x.run, (double)x.ended / 1000, (double)x.noted / 1000);
                broken++;
            }
        }
    }
    record("the job has succeeded: %s; breaches: %d", over ? "yes" : "no", broken);
    cluster.finish(broken > 0 ? 1 : 0);
}

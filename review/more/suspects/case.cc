// A minion crashes 2 s after a service of 60 tasks that last was started, and is
// back after 4.5 s. Some of the tasks that it ran are never started again.
#include "stand.h"

using namespace stand;

static Cluster cluster;
static const int ENTRIES = 3, SIDES = 11, CRASHED = 3, TASKS = 60;
static const char *JOB = "5c0e7a21d94b3660";

static int at_work()
{
    int count = 0;
    for (const Run &r : cluster.history.of(JOB)) {
        count += r.ended == 0;
    }
    return count;
}

int main(int argc, char **argv)
{
    open_record(argc > 1 ? argv[1] : nullptr, &cluster, 100000);
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
    sleep_ms(3000);
    string path = string("/q/") + JOB;
    if (cluster.request(0, "POST", path, "jobs.example",
                        "{\"spec\":\"lasts\",\"steps\":[{\"count\":" + std::to_string(TASKS) +
                            ",\"cpu\":500,\"mem_mb\":64,\"long_running\":true}]}").status != 200) {
        cluster.finish(2);
    }
    sleep_ms(2000);
    record("at work: %d of %d", at_work(), TASKS);
    if (at_work() != TASKS) {
        cluster.finish(2);
    }
    if (trouble()) {
        cluster.minions[CRASHED]->crash(4500, false, true);
    }
    sleep_ms(4500);
    int64_t back = now();
    int most = 0;
    while (now() < back + 20000) {
        if (now() > back + 6000) {
            most = std::max(most, at_work());
        }
        sleep_ms(50);
    }
    cluster.request(0, "POST", "/q/5c0e7a21d94b36ff", "jobs.example",
                    "{\"spec\":\"short\",\"steps\":[{\"count\":24,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":100}]}");
    sleep_ms(1500);
    bool served = cluster.request(0, "GET", "/q/5c0e7a21d94b36ff", "jobs.example", "").body.find("succeeded") != string::npos;
    record("from 6 to 20 s after the minion was back at most %d of %d tasks were at work, in 176 cores; a new job of 24 tasks is served: %s", most, TASKS, served ? "yes" : "no");
    cluster.finish(!served ? 2 : most < TASKS ? 1 : 0);
}

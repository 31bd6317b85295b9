// A minion is lost for good. A task that lasts, which ran there and may run
// anywhere, is not started again, since an earlier task of its job needs a
// label that no minion has any more.
#include "stand.h"

using namespace stand;

static Cluster cluster;
static const int ENTRIES = 3, SIDES = 8, LOST = 6;
static const char *JOB = "5c0e7a21d94b3603";
static const int FREE_TASKS = 12;

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

// Tasks of step 1, which may run anywhere, that are at work now.
static int at_work()
{
    int count = 0;
    for (const Run &r : cluster.history.of(string(JOB) + ".0.1.")) {
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
    cluster.minions[LOST]->labels = {"b", "r2"};
    cluster.configure(1, {{"queue", "/q/", 0, 3}});
    cluster.start();
    if (!cluster.wait_ready(15000)) {
        record("the deployment is not ready");
        cluster.finish(2);
    }
    sleep_ms(3000);
    if (cluster.request(0, "POST", string("/q/") + JOB, "jobs.example",
                        "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,"
                        "\"requirements\":\"b\",\"long_running\":true},{\"count\":" +
                            std::to_string(FREE_TASKS) +
                            ",\"cpu\":500,\"mem_mb\":256,\"long_running\":true}]}").status != 200 ||
        !wait_for(4000, [] { return at_work() == FREE_TASKS; })) {
        record("the job was not accepted, or not started");
        cluster.finish(2);
    }
    sleep_ms(2000);
    int there = 0;
    for (const Run &r : cluster.history.of(string(JOB) + ".0.1.")) {
        there += r.ended == 0 && r.minion == cluster.minions[LOST]->id;
    }
    record("%d of the tasks that may run anywhere are at work on the minion with the label", there);
    if (there == 0) {
        cluster.finish(2);
    }
    if (trouble()) {
        cluster.minions[LOST]->go();
    }
    int64_t lost = now();
    wait_for(6000, [] { return at_work() == FREE_TASKS; });
    while (now() < lost + 6000) {
        sleep_ms(20);
    }
    // From 6 s after the last run: for 3 s, and for ten more.
    int most = 0;
    while (now() < lost + 19000) {
        most = std::max(most, at_work());
        sleep_ms(20);
    }
    Reply accepted = cluster.request(0, "POST", "/q/5c0e7a21d94b36ff", "jobs.example",
                                     "{\"spec\":\"short\",\"steps\":[{\"count\":12,"
                                     "\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":100}]}");
    bool served = accepted.status == 200 && wait_for(3000, [] {
        sleep_ms(200);
        return cluster.request(0, "GET", "/q/5c0e7a21d94b36ff", "jobs.example", "").body.find("succeeded") != string::npos;
    });
    cluster.request(0, "GET", string("/q/") + JOB, "jobs.example", "");
    record("from 6 to 19 s after the loss at most %d of the %d tasks that may run anywhere were at work; a new job of 12 such tasks is served: %s",
           most, FREE_TASKS, served ? "yes" : "no");
    if (!served) {
        cluster.finish(2);
    }
    if (most < FREE_TASKS) {
        record("BROKEN, LOST: %d tasks that last were not run for 13 s, with seven minions nearly empty", FREE_TASKS - most);
        cluster.finish(1);
    }
    record("held");
    cluster.finish(0);
}

// Three services of twelve tasks that last. Their tasks fail from time to time,
// each twice in 50 s; most of them are then not started again.
#include "stand.h"

using namespace stand;

static Cluster cluster;
static const int ENTRIES = 3, SIDES = 6, SERVICES = 3, TASKS = 12;

static std::vector<Run> at_work()
{
    std::vector<Run> list;
    for (const Run &r : cluster.history.of("5c0e7a21d94b364")) {
        if (r.ended == 0) {
            list.push_back(r);
        }
    }
    return list;
}

int main(int argc, char **argv)
{
    open_record(argc > 1 ? argv[1] : nullptr, &cluster, 110000);
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
    for (int i = 0; i < SERVICES; i++) {
        cluster.request(0, "POST", "/q/5c0e7a21d94b364" + std::to_string(i), "jobs.example",
                        "{\"spec\":\"lasts\",\"steps\":[{\"count\":" + std::to_string(TASKS) +
                            ",\"cpu\":1000,\"mem_mb\":64,\"long_running\":true}]}");
    }
    sleep_ms(3000);
    record("at work: %zu of %d", at_work().size(), SERVICES * TASKS);
    if (at_work().size() != (size_t)(SERVICES * TASKS)) {
        cluster.finish(2);
    }
    for (int i = 0; trouble() && i < 2 * SERVICES * TASKS && !at_work().empty(); i++) {
        std::vector<Run> list = at_work();
        Run r = list[(size_t)rand() % list.size()];
        for (auto &m : cluster.minions) {
            if (m->id == r.minion) {
                m->fail(r.task);
            }
        }
        sleep_ms(700);
        if (i % 12 == 11) {
            record("after %d failures at work: %zu of %d", i + 1, at_work().size(), SERVICES * TASKS);
        }
    }
    sleep_ms(10000); // 6 s, 3 s and 1 s more
    size_t count = at_work().size();
    Reply other = cluster.request(0, "POST", "/q/5c0e7a21d94b36ff", "jobs.example",
                                  "{\"spec\":\"short\",\"best_effort\":true,\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":100}]}");
    record("10 s after the last failure at work: %zu of %d, in 96 cores; another job: %d", count, SERVICES * TASKS, other.status);
    cluster.finish(count < (size_t)(SERVICES * TASKS) ? 1 : 0);
}

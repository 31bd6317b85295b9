// KNOWN-RED.txt, process/late_copy_unheard: a start gets no answer; its minion
// crashes, and the companion beside it and the entry of the job lose power. The
// client sends its job again elsewhere. The minion is back under its name and
// carries out the start late: two runs of one task at once.
// TROUBLE=silent: the entry lives. It hears nothing of the companion and gives the
// job up (504), and the client sends it again elsewhere.
// TROUBLE=kept: the entry lives, the job is kept, the companion is dark for 9.5 s;
// after 6 s its task is started elsewhere.
#include "stand.h"

using namespace stand;

static Cluster cluster;
static const int ENTRIES = 3, SIDES = 12;
static const char *JOB = "5c0e7a21d94b3670";
static const int64_t WORK_MS = 1200, LATE_MS = 2050, DARK_MS = 3500, DOWN_MS = 1900, RESEND_MS = 1300;

int main(int argc, char **argv)
{
    const char *choice = getenv("TROUBLE");
    bool silent = choice != nullptr && strcmp(choice, "silent") == 0;
    bool durable = choice != nullptr && strcmp(choice, "kept") == 0;
    int64_t late_ms = durable ? 7400 : silent ? LATE_MS + 700 : LATE_MS;
    int64_t dark_ms = durable ? 9500 : DARK_MS;
    int64_t work_ms = durable ? 2500 : WORK_MS;
    std::atomic<int> kept{-1};
    std::atomic<int64_t> kept_at{0};

    open_record(argc > 1 ? argv[1] : nullptr, &cluster, 60000);
    if (!cluster.prepare(ENTRIES, SIDES)) {
        return 2;
    }
    for (int i = 0; i < SIDES; i++) {
        Minion *m = cluster.minions[(size_t)i].get();
        m->tells_born = true;
        m->work = [work_ms](const string &, int, const string &) { return work_ms; };
        m->keeps = [i, &kept, &kept_at](const string &task) {
            int none = -1;
            if (!trouble() || task.compare(0, 16, JOB) != 0) {
                return false;
            }
            if (kept.compare_exchange_strong(none, i)) {
                kept_at = now();
                record("the start at minion %d gets no answer", i);
            }
            return kept == i;
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
    string body = string("{\"spec\":\"x\",") + (durable ? "" : "\"best_effort\":true,") + "\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":1200}]}";
    Reply first;
    std::thread client([&] { first = cluster.request(0, "POST", path, "jobs.example", body); });
    int64_t until = now() + 3000;
    while (trouble() && kept < 0 && now() < until) {
        sleep_ms(1);
    }
    if (trouble()) {
        if (kept < 0) {
            cluster.finish(2);
        }
        if (!silent && !durable) {
            cluster.entries[0]->kill();
        }
        cluster.companions[(size_t)kept]->kill();
        cluster.minions[(size_t)kept]->crash(DOWN_MS, true, true);
        std::thread back([&] {
            sleep_ms(kept_at + dark_ms - now());
            if (!silent && !durable) {
                cluster.entries[0]->start();
            }
            cluster.companions[(size_t)kept]->start();
        });
        client.join();
        sleep_ms(RESEND_MS);
        std::thread again([&] {
            if (!durable) {
                cluster.request(1, "POST", path, "jobs.example", body);
            }
        });
        sleep_ms(kept_at + late_ms - now());
        cluster.minions[(size_t)kept]->execute_kept();
        again.join();
        back.join();
    }
    else {
        client.join();
    }
    sleep_ms(4000);
    int broken = 0;
    std::vector<Run> runs = cluster.history.of(JOB);
    for (size_t i = 0; i < runs.size(); i++) {
        for (size_t j = i + 1; j < runs.size(); j++) {
            int64_t end = std::min(runs[i].ended, runs[j].ended);
            int64_t start = std::max(runs[i].started, runs[j].started);
            if (start < end) {
                record("BROKEN, TWICE: two runs of %s at once, on %s and %s, for %d ms", runs[i].task.c_str(), runs[i].minion.c_str(), runs[j].minion.c_str(), (int)(end - start));
                broken++;
            }
        }
    }
    cluster.finish(broken > 0 ? 1 : runs.empty() ? 2 : 0);
}

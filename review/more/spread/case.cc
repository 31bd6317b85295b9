// A kept job spreads its tasks over all minions by `anti_affinity`. One minion is
// lost for good with its task; that task is never started again, since each other
// minion has had a task of the step, which ended seconds ago.
#include "stand.h"

using namespace stand;

static Cluster cluster;
static const int ENTRIES = 3, SIDES = 7, LOST = 6;
static const char *JOB = "5c0e7a21d94b3650";

int main(int argc, char **argv)
{
    open_record(argc > 1 ? argv[1] : nullptr, &cluster, 100000);
    if (!cluster.prepare(ENTRIES, SIDES)) {
        return 2;
    }
    for (int i = 0; i < SIDES; i++) {
        cluster.minions[(size_t)i]->work = [i](const string &, int, const string &) {
            return (int64_t)(i == LOST ? 4000 : 2500);
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
                        "{\"spec\":\"x\",\"steps\":[{\"count\":" + std::to_string(SIDES) +
                            ",\"cpu\":1000,\"mem_mb\":64,\"anti_affinity\":1,\"estimate_ms\":2500}]}").status != 200) {
        cluster.finish(2);
    }
    sleep_ms(3300);
    if (trouble()) {
        cluster.minions[LOST]->go();
    }
    int64_t since = now();
    bool done = false;
    while (!done && now() < since + 25000) {
        sleep_ms(950);
        done = cluster.request(1, "GET", path, "jobs.example", "").body.find("succeeded") != string::npos;
    }
    record("the job has succeeded: %s", done ? "yes" : "no");
    cluster.finish(done ? 0 : 1);
}

// A job whose steps have 2,147,483,647 + 2,147,483,647 + 2 tasks is accepted;
// each entry that owns it crashes, and so does the next one.
#include "stand.h"

using namespace stand;

static Cluster cluster;
static const int ENTRIES = 3, SIDES = 4;

int main(int argc, char **argv)
{
    open_record(argc > 1 ? argv[1] : nullptr, &cluster, 100000);
    if (!cluster.prepare(ENTRIES, SIDES)) {
        return 2;
    }
    cluster.configure(1, {{"queue", "/q/", 0, 3}});
    cluster.start();
    if (!cluster.wait_ready(15000)) {
        record("the deployment is not ready");
        cluster.finish(2);
    }
    sleep_ms(2000);
    if (trouble()) {
        cluster.request(0, "POST", "/q/5c0e7a21d94b3630", "jobs.example",
                        "{\"spec\":\"x\",\"steps\":[{\"count\":2147483647,\"cpu\":500},"
                        "{\"count\":2147483647,\"cpu\":500},{\"count\":2,\"cpu\":500}]}");
    }
    int ends[ENTRIES] = {0, 0, 0};
    int64_t until = now() + 40000;
    while (now() < until) {
        for (int i = 0; i < ENTRIES; i++) {
            Process &p = *cluster.entries[(size_t)i];
            if (!p.alive()) {
                ends[i]++;
                sleep_ms(300);
                p.start();
            }
        }
        sleep_ms(50);
    }
    int often = 0;
    for (int i = 0; i < ENTRIES; i++) {
        record("entry %d has ended on its own %d times", i, ends[i]);
        often += ends[i] >= 3;
    }
    cluster.finish(often >= 2 ? 1 : 0);
}

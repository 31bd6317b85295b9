// A minion fails for seconds all that it starts. It is sound again, but takes
// no task any more, as a task that lasts is at work there.
#include "stand.h"

using namespace stand;

static Cluster cluster;
static const int ENTRIES = 3, SIDES = 13, GREY = 12;
static const int64_t GREY_MS = 6500;
static const char *SERVICE_JOB = "5c0e7a21d94b3610";
static const char *JOB = "5c0e7a21d94b3611";
static std::atomic<bool> failing{false};

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

static Reply submit(const string &id, int count, const string &requirement)
{
    return cluster.request(0, "POST", "/q/" + id, "jobs.example",
                           "{\"spec\":\"short\",\"steps\":[{\"count\":" + std::to_string(count) +
                           ",\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":200" +
                           (requirement.empty() ? "" : ",\"requirements\":\"" + requirement + "\"") + "}]}");
}

static bool succeeded(const string &id)
{
    return cluster.request(1, "GET", "/q/" + id, "jobs.example", "").body.find("succeeded") != string::npos;
}

int main(int argc, char **argv)
{
    open_record(argc > 1 ? argv[1] : nullptr, &cluster, 100000);
    if (!cluster.prepare(ENTRIES, SIDES)) {
        return 2;
    }
    for (int i = 0; i < SIDES; i++) {
        Minion *m = cluster.minions[(size_t)i].get();
        m->work = [](const string &, int, const string &spec) {
            return spec == "lasts" ? (int64_t)-1 : (int64_t)200;
        };
        m->fails = [i](const string &, int) { return i == GREY && failing; };
    }
    string rack = cluster.minions[GREY]->labels[1];
    cluster.configure(1, {{"queue", "/q/", 0, 3}});
    cluster.start();
    if (!cluster.wait_ready(15000)) {
        record("the deployment is not ready");
        cluster.finish(2);
    }
    sleep_ms(3000);
    // A service with one task on each minion.
    if (cluster.request(1, "POST", string("/q/") + SERVICE_JOB, "jobs.example",
                        "{\"spec\":\"lasts\",\"steps\":[{\"count\":" + std::to_string(SIDES) +
                        ",\"cpu\":500,\"mem_mb\":128,\"anti_affinity\":1,\"long_running\":true}]}").status != 200 ||
        !wait_for(4000, [] { return cluster.history.of(SERVICE_JOB).size() == (size_t)SIDES; })) {
        record("the service was not started");
        cluster.finish(2);
    }
    // Jobs whose tasks must run on the rack of the last minion.
    int64_t begin = now(), grey = begin + 2000, sound = grey + GREY_MS;
    bool marked = false;
    for (int n = 0; now() < sound; n++) {
        if (trouble() && !marked && now() >= grey) {
            record("minion %s fails all that it starts for %d ms", cluster.minions[GREY]->id.c_str(), (int)GREY_MS);
            failing = marked = true;
        }
        char id[32];
        snprintf(id, sizeof(id), "5c0e7a21d94c%04x", n);
        submit(id, 2, rack);
        sleep_ms(450);
    }
    failing = false;
    record("all minions are sound");
    sleep_ms(4000); // contact_ms is 3,000
    Reply accepted = submit(JOB, 2, rack);
    int64_t since = now();
    bool done = accepted.status == 200 && wait_for(15000, [] { sleep_ms(480); return succeeded(JOB); });
    string other = "5c0e7a21d94b3612";
    bool others = submit(other, 26, "").status == 200 && wait_for(4000, [&other] { sleep_ms(280); return succeeded(other); });
    record("the job on rack %s has succeeded: %s, after %d ms; one that may run anywhere: %s", rack.c_str(),
           done ? "yes" : "no", (int)(now() - since), others ? "yes" : "no");
    if (accepted.status != 200) {
        cluster.finish(2);
    }
    if (!done) {
        record("BROKEN, LOST: an accepted job has had nothing running for 15 s, though its minion is sound and uses 500 of its 16,000 thousandths of a core");
        cluster.finish(1);
    }
    record("held");
    cluster.finish(0);
}

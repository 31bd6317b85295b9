/*
 * Processes that end by themselves: among small kept jobs comes one that can
 * never be done, as the counts of its steps add up to more than 32 bits hold.
 * It is accepted, and ends every entry that owns it, again and again.
 */
#include <map>

#include "review/stand-2/world.h"

using namespace review;

namespace {

const char *const HUGE_JOB = "2b0e7a21d94b36f8";
const int JOBS = 45; /* 15 a second */
const int64_t TRAFFIC_AT = 5000;
const int64_t TRAFFIC_MS = 3000;
const int64_t FINISH_MS = 14000;

struct Job {
    bool accepted = false;
    int asked = 0;
    bool answered = false;
    std::string state;
};

} // namespace

int
main(int argc, char **argv)
{
    const char *trouble_text = getenv("TROUBLE");
    bool trouble = trouble_text == nullptr || strcmp(trouble_text, "0") != 0;
    Setup setup;

    if (argc != 3) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    setup.folder = argv[1];
    setup.record = argv[2];

    World world(setup);
    std::map<std::string, Job> jobs;
    int huge_status = 0;

    for (auto &minion : world.minions) {
        minion->work_of = [](const std::string &, uint32_t) {
            return Work{200, false, false};
        };
        minion->on_start = [&](Minion *at, const std::string &name,
                               uint32_t run) {
            world.note("start %s run %u at %s", name.c_str(), run,
                       at->name.c_str());
        };
        minion->on_end = [&](Minion *at, const std::string &name, uint32_t run,
                             const std::string &how, uint64_t) {
            world.note("end %s run %u at %s: %s", name.c_str(), run,
                       at->name.c_str(), how.c_str());
        };
        minion->on_note = [](Minion *, const std::string &, uint32_t,
                             const std::string &, bool) {};
    }
    world.start("\"priority\":0,\"max_attempts\":3,\"stretch\":1.6,"
                "\"target_latency_ms\":60,\"timeout_ms\":3000");

    /* A job counts as answered if any entry answers. */
    std::function<void(std::string)> ask = [&](std::string id) {
        world.send(jobs[id].asked++, "GET", id, "",
                   [&, id](int status, const std::string &state) {
                       if (status == 200) {
                           jobs[id].answered = true;
                           jobs[id].state = state;
                       }
                       else if (jobs[id].asked < 3) {
                           ask(id);
                       }
                   });
    };

    for (int i = 0; i < JOBS; i++) {
        char id[20];
        snprintf(id, sizeof(id), "%016x", 0x1a000 + i);
        std::string name = id;
        world.after(TRAFFIC_AT + i * TRAFFIC_MS / JOBS, [&, name, i] {
            world.send(i % 3, "POST", name,
                       "{\"spec\":\"verdict\",\"steps\":[{\"count\":2,"
                       "\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":200}]}",
                       [&, name](int status, const std::string &) {
                           jobs[name].accepted = status / 100 == 2;
                       });
        });
    }
    world.after(TRAFFIC_AT + 1500, [&] {
        /* Without the trouble, the sum is too large as well, but fits 32
         * bits. */
        const char *count = trouble ? "2147483647" : "1073741823";
        std::string step = std::string("{\"count\":") + count +
                           ",\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":200}";
        world.send(1, "POST", HUGE_JOB,
                   "{\"spec\":\"verdict\",\"steps\":[" + step + "," + step +
                       ",{\"count\":4,\"cpu\":1000,\"mem_mb\":64,"
                       "\"estimate_ms\":200}]}",
                   [&](int status, const std::string &) {
                       huge_status = status;
                   });
    });
    world.after(TRAFFIC_AT + TRAFFIC_MS + FINISH_MS, [&] {
        for (auto &pair : jobs) {
            if (pair.second.accepted) {
                ask(pair.first);
            }
        }
    });
    world.after(TRAFFIC_AT + TRAFFIC_MS + FINISH_MS + 9500, [&] {
        for (auto &entry : world.entries) {
            world.note("%s ended by itself %d times", entry->name.c_str(),
                       (int)entry->unexpected_exits);
        }
        world.finish();
    });
    world.run();

    int accepted = 0;
    int unanswered = 0;
    int open = 0;
    int often = 0;
    for (auto &pair : jobs) {
        accepted += pair.second.accepted;
        unanswered += pair.second.accepted && !pair.second.answered;
        open += pair.second.accepted && pair.second.answered &&
                pair.second.state.find("succeeded") == std::string::npos;
    }
    for (auto &entry : world.entries) {
        often += entry->unexpected_exits >= 3;
    }
    printf("the huge job was answered %d; entries that ended by themselves "
           "three times or more: %d of 3; jobs accepted %d of %d, of these "
           "without an answer %d, and not done %d\n",
           huge_status, often, accepted, JOBS, unanswered, open);
    if (accepted == 0 || huge_status == 0) {
        return 2;
    }
    return often >= 2 ? 1 : 0;
}

/*
 * BUDGET: entry 0 owns kept jobs whose tasks always fail. It is cut off from
 * the store and from the other entries before it has written the failures of
 * their runs; one of the others takes the jobs over, and learns of both failed
 * runs of a task from the companions. It does not count the earlier of them if
 * it hears of it after the later one, and starts the task a third time.
 */
#include <map>

#include "review/stand-2/world.h"

using namespace review;

namespace {

const int JOBS = 10;
const uint32_t MAX_ATTEMPTS = 2;

struct Task {
    struct Start {
        uint32_t run;
        uint32_t failed_before; /* ends `failed` before it */
        uint32_t noted = 0;     /* of these, taken note of in the end */
    };
    std::vector<Start> starts;
    std::vector<std::pair<std::string, uint32_t>> failed; /* minion, run */
    uint32_t noted = 0;
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
    std::map<std::string, Task> tasks;
    int accepted = 0;
    int lasting = 0;

    for (auto &minion : world.minions) {
        minion->work_of = [](const std::string &name, uint32_t) {
            bool lasts = name[0] == 'f';
            return Work{lasts ? -1 : 300, !lasts, false};
        };
        minion->on_start = [&](Minion *at, const std::string &name,
                               uint32_t run) {
            Task &task = tasks[name];
            world.note("start %s run %u at %s, after %zu failed", name.c_str(),
                       run, at->name.c_str(), task.failed.size());
            task.starts.push_back({run, (uint32_t)task.failed.size()});
        };
        minion->on_end = [&](Minion *at, const std::string &name, uint32_t run,
                             const std::string &how, uint64_t) {
            world.note("end %s run %u at %s: %s", name.c_str(), run,
                       at->name.c_str(), how.c_str());
            if (how == "failed") {
                tasks[name].failed.push_back({at->name, run});
            }
        };
        minion->on_note = [&](Minion *at, const std::string &name,
                              uint32_t run, const std::string &how,
                              bool lapsed) {
            Task &task = tasks[name];
            world.note("noted %s run %u at %s: %s%s", name.c_str(), run,
                       at->name.c_str(), how.c_str(),
                       lapsed ? ", the lease has lapsed since" : "");
            if (how != "failed" || lapsed) {
                return;
            }
            for (auto &start : task.starts) {
                for (uint32_t i = 0; i < start.failed_before; i++) {
                    start.noted += task.failed[i].first == at->name &&
                                   task.failed[i].second == run;
                }
            }
        };
    }
    world.start("\"priority\":0,\"max_attempts\":" +
                std::to_string(MAX_ATTEMPTS) +
                ",\"stretch\":1.6,\"target_latency_ms\":60,"
                "\"timeout_ms\":3000");

    /* Work that lasts, of another entry, at every minion: the minions' leases
     * go on. */
    world.after(4000, [&] {
        world.send(1, "POST", "f000000000000001",
                   "{\"spec\":\"lasts\",\"steps\":[{\"count\":4,\"cpu\":1000,"
                   "\"mem_mb\":64,\"long_running\":true,"
                   "\"anti_affinity\":1}]}",
                   [&](int status, const std::string &) {
                       lasting = status / 100 == 2;
                   });
    });
    for (int i = 0; i < JOBS; i++) {
        char id[20];
        snprintf(id, sizeof(id), "%016x", 0x1b000 + i);
        std::string name = id;
        world.after(6000 + 5 * i, [&, name] {
            world.send(0, "POST", name,
                       "{\"spec\":\"poison\",\"steps\":[{\"count\":1,"
                       "\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":300}]}",
                       [&](int status, const std::string &) {
                           accepted += status / 100 == 2;
                       });
        });
    }
    world.after(6200, [&] {
        if (trouble) {
            world.cut_entry_0(true);
        }
    });
    world.after(6200 + 5500, [&] {
        if (trouble) {
            world.cut_entry_0(false);
        }
    });
    world.after(24000, [&] { world.finish(); });
    world.run();

    int broken = 0;
    for (auto &pair : tasks) {
        for (auto &start : pair.second.starts) {
            if (pair.first[0] != 'f' && start.noted >= MAX_ATTEMPTS) {
                broken++;
                printf("BROKEN BUDGET: %s run %u started after %u runs had "
                       "ended failed, all of them taken note of; "
                       "max_attempts is %u\n",
                       pair.first.c_str(), start.run, start.noted,
                       MAX_ATTEMPTS);
            }
        }
    }
    printf("accepted %d of %d; tasks started too often %d\n", accepted, JOBS,
           broken);
    if (accepted < JOBS || lasting == 0) {
        return 2;
    }
    return broken > 0 ? 1 : 0;
}

/*
 * TWICE: the store is down. Kept tasks end meanwhile, which no entry can
 * write down; beside many other ends, their companions have the minions forget
 * these ends all the same. Then all processes are killed at once: nobody knows
 * of the ends any more, and the tasks are started again.
 */
#include <map>

#include "review/stand-2/world.h"

using namespace review;

namespace {

const int KEPT_JOBS = 12;
const int64_t DOWN_FROM = 6000;
const int64_t DOWN_MS = 7000;
const int64_t KILL_AT = 12500;
const int64_t LOAD_FROM = 5000;
const int64_t LOAD_MS = 9000;
const int64_t LOAD_PER_S = 60;

struct Task {
    std::map<std::string, uint32_t> running; /* minion -> run */
    bool done_noted = false; /* an end `done` was taken note of */
    std::string done_text;
};

} // namespace

int
main(int argc, char **argv)
{
    const char *trouble_text = getenv("TROUBLE");
    /* TROUBLE=store, TROUBLE=kill: one of the disruptions alone. */
    std::string choice = trouble_text == nullptr ? "" : trouble_text;
    bool down = choice != "0" && choice != "kill";
    bool kills = choice != "0" && choice != "store";
    Setup setup;

    if (argc != 3) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    setup.folder = argv[1];
    setup.record = argv[2];

    World world(setup);
    std::map<std::string, Task> tasks;
    std::map<std::string, std::string> states;
    int accepted = 0;
    int broken = 0;
    int served = 0;
    int sent = 0;

    for (auto &minion : world.minions) {
        minion->work_of = [](const std::string &name, uint32_t) {
            return Work{name[0] == 'e' ? 1500 : 60, false, false};
        };
        minion->on_start = [&](Minion *at, const std::string &name,
                               uint32_t run) {
            Task &task = tasks[name];
            if (name[0] != 'e') {
                return; /* it needn't be kept */
            }
            std::string text = name + " run " + std::to_string(run) + " at " +
                               at->name;
            world.note("start %s", text.c_str());
            if (!task.running.empty()) {
                broken++;
                world.note("BROKEN TWICE: two runs at once: %s", text.c_str());
            }
            if (task.done_noted) {
                broken++;
                world.note("BROKEN TWICE: start %s after the end of %s was "
                           "taken note of",
                           text.c_str(), task.done_text.c_str());
            }
            task.running[at->name] = run;
        };
        minion->on_end = [&](Minion *at, const std::string &name, uint32_t run,
                             const std::string &how, uint64_t number) {
            if (name[0] == 'e') {
                tasks[name].running.erase(at->name);
                world.note("end %s run %u at %s: %s, number %d", name.c_str(),
                           run, at->name.c_str(), how.c_str(), (int)number);
            }
        };
        minion->on_note = [&](Minion *at, const std::string &name,
                              uint32_t run, const std::string &how,
                              bool lapsed) {
            if (name[0] != 'e') {
                return;
            }
            world.note("noted %s run %u at %s: %s%s", name.c_str(), run,
                       at->name.c_str(), how.c_str(),
                       lapsed ? ", the lease has lapsed since" : "");
            if (how == "done" && !lapsed) {
                tasks[name].done_noted = true;
                tasks[name].done_text = "run " + std::to_string(run) + " at " +
                                        at->name;
            }
        };
    }
    world.start("\"priority\":0,\"max_attempts\":3,\"stretch\":1.6,"
                "\"target_latency_ms\":60,\"timeout_ms\":1500");

    for (int i = 0; i < KEPT_JOBS; i++) {
        char id[20];
        snprintf(id, sizeof(id), "e%015x", i);
        std::string name = id;
        world.after(5000 + 20 * i, [&, name, i] {
            world.send(i % 3, "POST", name,
                       "{\"spec\":\"kept\",\"steps\":[{\"count\":1,\"cpu\":"
                       "1000,\"mem_mb\":64,\"estimate_ms\":1500}]}",
                       [&](int status, const std::string &) {
                           accepted += status / 100 == 2;
                       });
        });
        world.after(26000, [&, name] {
            world.send(1, "GET", name, "",
                       [&, name](int, const std::string &state) {
                           states[name] = state;
                       });
        });
    }
    /* Jobs as quick-check of the sheet: eight tasks of 60 ms on 1.6 cores. */
    for (int i = 0; i < LOAD_MS * LOAD_PER_S / 1000; i++) {
        char id[20];
        snprintf(id, sizeof(id), "%016x", 0x1d0000 + i);
        std::string name = id;
        world.after(LOAD_FROM + i * 1000 / LOAD_PER_S, [&, name, i] {
            sent++;
            world.send(i % 3, "POST", name,
                       "{\"spec\":\"quick\",\"best_effort\":true,\"steps\":["
                       "{\"count\":8,\"cpu\":1600,\"mem_mb\":64,"
                       "\"estimate_ms\":60}]}",
                       [&](int status, const std::string &) {
                           served += status == 200;
                       });
        });
    }
    if (down) {
        world.after(DOWN_FROM, [&] {
            world.note("the store is down");
            world.store->mode = soak::StoreFaultMode::Busy;
        });
    }
    if (kills) {
        world.after(KILL_AT, [&] {
            world.note("SIGKILL: all entries and companions");
            for (auto *list : {&world.entries, &world.companions}) {
                for (auto &process : *list) {
                    process->kill(1000);
                }
            }
        });
    }
    if (down) {
        world.after(DOWN_FROM + DOWN_MS, [&] {
            world.note("the store is back");
            world.store->mode = soak::StoreFaultMode::Healthy;
        });
    }
    world.after(28000, [&] { world.finish(); });
    world.run();

    int done = 0;
    for (auto &pair : states) {
        done += pair.second.find("succeeded") != std::string::npos;
    }
    printf("kept jobs accepted %d of %d, done %d; others served %d of %d; "
           "TWICE broken %d times\n",
           accepted, KEPT_JOBS, done, served, sent, broken);
    if (accepted == 0) {
        return 2;
    }
    return broken > 0 ? 1 : 0;
}

/*
 * TWICE: entry 0 owns a kept job. It is cut off from the store and from the
 * other entries; one of them takes its job over. Companions that are stopped
 * and started again after that, as planned, don't know that entry 0 is fenced:
 * both entries start the job's tasks.
 */
#include <map>
#include <set>

#include "review/stand-2/world.h"

using namespace review;

namespace {

const char *const JOB = "5c0e7a21d94b36f8";
const int STEPS = 45;
const int PER_STEP = 4;
const int TASKS = STEPS * PER_STEP;

struct Task {
    std::map<std::string, uint32_t> running; /* minion -> run */
    bool done_noted = false; /* an end `done` was taken note of */
    std::string done_text;
};

struct Check {
    World *world;
    std::map<std::string, Task> tasks;
    int broken = 0;
    std::set<std::string> done;

    void
    fail(const std::string &text)
    {
        broken++;
        world->note("BROKEN TWICE: %s", text.c_str());
    }
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
    setup.companions = 6;

    World world(setup);
    Check check{&world, {}, 0, {}};
    bool accepted = false;
    bool ended = false;

    for (auto &minion : world.minions) {
        minion->work_of = [](const std::string &, uint32_t) {
            return Work{300, false, false};
        };
        minion->on_start = [&](Minion *at, const std::string &name,
                               uint32_t run) {
            Task &task = check.tasks[name];
            std::string text = name + " run " + std::to_string(run) + " at " +
                               at->name;
            world.note("start %s", text.c_str());
            if (!task.running.empty()) {
                check.fail("two runs at once: " + text + " beside run " +
                           std::to_string(task.running.begin()->second) +
                           " at " + task.running.begin()->first);
            }
            if (task.done_noted) {
                check.fail("start " + text + " after the end of " +
                           task.done_text + " was taken note of");
            }
            task.running[at->name] = run;
        };
        minion->on_end = [&](Minion *at, const std::string &name, uint32_t run,
                             const std::string &how, uint64_t) {
            check.tasks[name].running.erase(at->name);
            world.note("end %s run %u at %s: %s", name.c_str(), run,
                       at->name.c_str(), how.c_str());
            if (how == "done") {
                check.done.insert(name);
            }
        };
        minion->on_note = [&](Minion *at, const std::string &name,
                              uint32_t run, const std::string &how,
                              bool lapsed) {
            world.note("noted %s run %u at %s: %s%s", name.c_str(), run,
                       at->name.c_str(), how.c_str(),
                       lapsed ? ", the lease has lapsed since" : "");
            if (how == "done" && !lapsed) {
                check.tasks[name].done_noted = true;
                check.tasks[name].done_text = "run " + std::to_string(run) +
                                              " at " + at->name;
            }
        };
    }
    world.start("\"priority\":0,\"max_attempts\":3,\"stretch\":1.6,"
                "\"target_latency_ms\":60,\"timeout_ms\":3000");

    std::string body = "{\"spec\":\"verdicts\",\"steps\":[";
    for (int i = 0; i < STEPS; i++) {
        body += std::string(i == 0 ? "" : ",") +
                "{\"count\":" + std::to_string(PER_STEP) +
                ",\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":300" +
                (i == 0 ? ""
                        : ",\"depends_on\":[" + std::to_string(i - 1) + "]") +
                "}";
    }
    body += "]}";

    std::function<void()> ask = [&] {
        world.send(1, "GET", JOB, "", [&](int, const std::string &state) {
            if (state.find("succeeded") != std::string::npos ||
                state.find("failed") != std::string::npos) {
                ended = true;
            }
            else {
                world.after(500, ask);
            }
        });
    };

    world.after(4000, [&] {
        world.send(0, "POST", JOB, body, [&](int status, const std::string &) {
            accepted = status / 100 == 2;
        });
    });
    world.after(5000, [&] {
        if (trouble) {
            world.cut_entry_0(true);
        }
    });
    /* Planned work, with and without the disruption: two of six machines are
     * stopped and started in turn. */
    for (int i = 0; i < 2; i++) {
        world.after(5000 + 2600 + 1100 * i, [&, i] {
            world.note("SIGTERM: companion %d", i);
            world.companions[(size_t)i]->signal(SIGTERM);
        });
    }
    world.after(5000 + 5500, [&] {
        if (trouble) {
            world.cut_entry_0(false);
        }
    });
    world.after(14000, ask);
    std::function<void()> close = [&] {
        if (!ended && world.now() < 60000) {
            world.after(500, close);
            return;
        }
        world.finish();
    };
    world.after(16000, close);
    world.run();
    printf("accepted %d, tasks done %zu of %d, ended %d, TWICE broken %d "
           "times\n",
           accepted, check.done.size(), TASKS, ended, check.broken);
    if (!accepted) {
        return 2;
    }
    return check.broken > 0 ? 1 : 0;
}

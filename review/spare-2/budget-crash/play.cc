/*
 * BUDGET: a task of a kept job crashes each minion that starts it, at once.
 * Its owner is stopped and started again, as planned, when three minions have
 * crashed under it; the next owner does not know of them.
 */
#include "review/stand-2/world.h"

using namespace review;

namespace {

const char *const JOB = "5c0e7a21d94b36f8";

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
    int starts = 0;
    int crashes = 0;
    bool accepted = false;
    std::string state = "no answer";

    for (auto &minion : world.minions) {
        minion->work_of = [](const std::string &, uint32_t) {
            return Work{300, false, true};
        };
        minion->on_start = [&](Minion *at, const std::string &name,
                               uint32_t run) {
            starts++;
            world.note("start %s run %u at %s, after %d crashes", name.c_str(),
                       run, at->name.c_str(), crashes);
        };
        minion->on_end = [](Minion *, const std::string &, uint32_t,
                            const std::string &, uint64_t) {};
        minion->on_note = [](Minion *, const std::string &, uint32_t,
                             const std::string &, bool) {};
        minion->on_crash = [&](Minion *at) {
            crashes++;
            world.note("%s crashes, crash %d", at->name.c_str(), crashes);
            if (crashes == 3 && trouble) {
                /* After the minion is back and heard again. */
                world.after(200, [&] {
                    world.note("SIGTERM: entry 0");
                    world.entries[0]->signal(SIGTERM);
                });
            }
        };
    }
    world.start("\"priority\":0,\"max_attempts\":3,\"stretch\":1.6,"
                "\"target_latency_ms\":60,\"timeout_ms\":3000");

    std::function<void()> ask = [&] {
        world.send(1, "GET", JOB, "", [&](int, const std::string &body) {
            state = body;
            if (body.find("failed") == std::string::npos &&
                world.now() < 70000) {
                world.after(1000, ask);
            }
            else {
                world.after(3000, [&] { world.finish(); });
            }
        });
    };
    world.after(4000, [&] {
        world.send(0, "POST", JOB,
                   "{\"spec\":\"crash\",\"steps\":[{\"count\":1,\"cpu\":500,"
                   "\"mem_mb\":64,\"estimate_ms\":300}]}",
                   [&](int status, const std::string &) {
                       accepted = status / 100 == 2;
                       ask();
                   });
    });
    world.run();
    printf("accepted %d; starts %d, crashes %d, state %s\n", accepted, starts,
           crashes, state.c_str());
    if (!accepted) {
        return 2;
    }
    /* Started three times more after three crashes. */
    return starts - 3 >= 3 ? 1 : 0;
}

/*
 * LOST: a kept job of a queue whose name has 129 bytes is accepted, and written
 * nowhere: no entry knows it afterwards.
 */
#include "review/stand-2/world.h"

using namespace review;

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
    setup.queue = std::string(trouble ? 129 : 128, 'q');

    World world(setup);
    int accepted = 0;
    int told = 0;
    int starts = 0;

    for (auto &minion : world.minions) {
        minion->work_of = [](const std::string &, uint32_t) {
            return Work{300, false, false};
        };
        minion->on_start = [&](Minion *, const std::string &, uint32_t) {
            starts++;
        };
        minion->on_end = [](Minion *, const std::string &, uint32_t,
                            const std::string &, uint64_t) {};
        minion->on_note = [](Minion *, const std::string &, uint32_t,
                             const std::string &, bool) {};
    }
    world.start("\"priority\":0,\"max_attempts\":3,\"stretch\":1.6,"
                "\"target_latency_ms\":60,\"timeout_ms\":3000");
    world.after(4000, [&] {
        world.send(0, "POST", "5c0e7a21d94b36f8",
                   "{\"spec\":\"verdict\",\"steps\":[{\"count\":2,\"cpu\":500,"
                   "\"mem_mb\":64,\"estimate_ms\":300}]}",
                   [&](int status, const std::string &) {
                       accepted = status;
                   });
    });
    world.after(10000, [&] {
        world.send(1, "GET", "5c0e7a21d94b36f8", "",
                   [&](int status, const std::string &) {
                       told = status;
                       world.finish();
                   });
    });
    world.run();
    printf("POST answered %d, GET 6 s later %d, starts %d\n", accepted, told,
           starts);
    return accepted / 100 != 2 ? 2 : told == 410 || starts == 0 ? 1 : 0;
}

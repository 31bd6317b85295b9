/*
 * A randomized soak: real `levercoved` processes between stand-ins of the
 * store, the upstreams and the callers, with a proxy before every address
 * that one process is reached at by another, and faults from outside.
 *
 * One seed is one run. It prints what was done and every violation.
 */

#include <glib.h>
#include <signal.h>

#include <cinttypes>
#include <cstdio>
#include <cstdlib>

#include "tests/soak/cluster.h"

extern "C" {
#include "base/random.h"
}

namespace {

/* Settings of a run. */
gint64 seed = 1;
gint seconds = 12;
gint entry_count = 3;
gint companion_count = 6;
gint per_second = 40;
gdouble link_mbps = 0;
gint base_port = 21000;
gchar *program;
gchar *folder;
gchar *figures;
gboolean verbose;

const int64_t START_MS = 2500;
const int64_t SILENCE_LEAST_MS = 2000; /* between two faults of this kind */
const int64_t CLOSED_LEAST_MS = 300;   /* of a hall */
const int64_t CLOSED_MORE_MS = 6000;
const int64_t LOADED_MS = 50;   /* from the start to main */
const int64_t CALM_MS = 6000;   /* after the last fault */
const int64_t SETTLE_MS = 3000; /* of it, until service must be back */
const int64_t KEPT_MS = 20000;  /* since then, until all kept jobs are over */

const GOptionEntry options[] = {
    {"seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Of all choices", "N"},
    {"seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "With faults", "N"},
    {"entries", 0, 0, G_OPTION_ARG_INT, &entry_count, "Processes", "N"},
    {"companions", 0, 0, G_OPTION_ARG_INT, &companion_count, "Processes", "N"},
    {"link", 0, 0, G_OPTION_ARG_DOUBLE, &link_mbps,
     "Of the first entry, in Mbit/s: it hands jobs on", "N"},
    {"rate", 0, 0, G_OPTION_ARG_INT, &per_second, "Jobs a second", "N"},
    {"port", 0, 0, G_OPTION_ARG_INT, &base_port, "First port", "N"},
    {"program", 0, 0, G_OPTION_ARG_FILENAME, &program, "levercoved", "FILE"},
    {"folder", 0, 0, G_OPTION_ARG_FILENAME, &folder, "For logs", "DIR"},
    {"figures", 0, 0, G_OPTION_ARG_FILENAME, &figures,
     "JSON lines by second, for scripts/report.sh", "FILE"},
    {"verbose", 0, 0, G_OPTION_ARG_NONE, &verbose, "Print faults", nullptr},
    {nullptr, 0, 0, G_OPTION_ARG_NONE, nullptr, nullptr, nullptr},
};

soak::Cluster *cluster;
uint64_t faults;

void
make_job()
{
    static const int64_t works[] = {60, 60, 60, 200, 200, 700};

    if (cluster->over) {
        return;
    }
    if (cluster->pick(5) == 0) {
        cluster->hand_in_kept(1 + cluster->pick(4),
                              1000 + cluster->pick(4) * 300,
                              works[cluster->pick(6)]);
    }
    else {
        cluster->hand_in(1 + cluster->pick(6), 1000 + cluster->pick(4) * 300,
                         works[cluster->pick(6)], true);
    }
    cluster->after(1 + cluster->pick((uint32_t)(2000 / per_second)), make_job);
}

/* ---- faults ---- */

soak::Process &
any_process()
{
    std::vector<soak::Process *> all = cluster->processes();

    return *all[cluster->pick((uint32_t)all.size())];
}

soak::Proxy &
any_proxy()
{
    std::vector<soak::Proxy *> all = cluster->proxies();

    return *all[cluster->pick((uint32_t)all.size())];
}

void
fault_kill()
{
    soak::Process &process = any_process();

    cluster->say("kill " + process.name);
    process.kill(50 + cluster->pick(1500));
}

void
fault_pause()
{
    soak::Process &process = any_process();
    int64_t ms = 100 + cluster->pick(2500);

    cluster->say("pause " + process.name + " for " + std::to_string(ms));
    process.signal(SIGSTOP);
    cluster->after(ms, [&process] { process.signal(SIGCONT); });
}

void
fault_terminate()
{
    soak::Process &process = any_process();

    cluster->say("terminate " + process.name);
    process.signal(SIGTERM);
}

/* Before its first instruction no program can do anything about a signal. */
void
fault_hangup()
{
    soak::Process &process = any_process();

    if ((int64_t)uv_now(cluster->loop) - process.started_ms >= LOADED_MS) {
        process.signal(SIGHUP);
    }
}

void
fault_harm()
{
    static const char *const texts[] = {"one way held", "other way held",
                                        "both held", "both lost", "delay"};
    soak::Proxy &proxy = any_proxy();
    soak::Harm harm;
    int64_t ms = 100 + cluster->pick(2500);
    uint32_t kind = cluster->pick(5);

    harm.hold_in = kind == 0 || kind == 2 || kind == 3;
    harm.hold_out = kind == 1 || kind == 2 || kind == 3;
    harm.lose = kind == 3;
    harm.delay_ms = kind == 4 ? 20 + cluster->pick(300) : 0;
    cluster->say(std::string("network: ") + texts[kind] + " for " +
                 std::to_string(ms));
    proxy.harm(harm, cluster->pick(2) == 0);
    cluster->after(ms, [&proxy] { proxy.heal(); });
}

void
fault_reset()
{
    cluster->say("reset");
    any_proxy().reset(cluster->pick(2) == 0);
}

void
fault_upstream()
{
    soak::Upstream *upstream =
        cluster->upstreams[cluster->pick((uint32_t)companion_count)].get();
    int64_t ms = 200 + cluster->pick(2000);

    switch (cluster->pick(5)) {
    case 0:
        cluster->say("crash " + upstream->name);
        if (upstream->model.is_up()) {
            upstream->crash();
            cluster->after(ms, [upstream] { upstream->come_up(); });
        }
        break;
    case 1:
        cluster->say("stuck " + upstream->name);
        upstream->model.manner.stuck = true;
        cluster->after(ms,
                       [upstream] { upstream->model.manner.stuck = false; });
        break;
    case 2:
        cluster->say("failing " + upstream->name);
        upstream->model.manner.failing = true;
        cluster->after(ms,
                       [upstream] { upstream->model.manner.failing = false; });
        break;
    case 3:
        cluster->say("slow " + upstream->name);
        upstream->model.manner.slow = 6;
        cluster->after(ms, [upstream] { upstream->model.manner.slow = 1; });
        break;
    default:
        cluster->say("late orders at " + upstream->name);
        upstream->late_orders = true;
        cluster->after(ms, [upstream] { upstream->late_orders = false; });
        break;
    }
}

void
fault_store()
{
    soak::StoreManner manner = (soak::StoreManner)(
        1 + cluster->pick((uint32_t)soak::StoreManner::Count - 1));

    cluster->say(std::string("store ") + soak::StoreManner_Text(manner));
    cluster->store->manner = manner;
    cluster->after(300 + cluster->pick(2500),
                   [] { cluster->store->manner = soak::StoreManner::Well; });
}

void
fault_routes()
{
    cluster->say("new routes");
    cluster->put_routes();
    if (cluster->pick(3) == 0) {
        cluster->store->compact();
    }
}

void
fault_all()
{
    bool every = cluster->pick(2) == 0;

    cluster->say(every ? "kill all" : "kill all entries");
    for (auto &process : cluster->entries) {
        process->kill(100 + cluster->pick(300));
    }
    for (auto &process : cluster->companions) {
        if (every) {
            process->kill(100 + cluster->pick(300));
        }
    }
}

/* Connections that are open go silent for good: of one address or of all,
 * both ways or one way. Drawn apart, so that the other faults of a seed stay
 * as they were. */
void
next_silence()
{
    static uint64_t state = Random_Seed((uint64_t)seed);
    uint64_t draw = Random_Next(&state) >> 20;
    std::vector<soak::Proxy *> all = cluster->proxies();
    bool in = draw % 3 != 0;
    bool out = draw % 3 != 1;

    if (cluster->now() > START_MS + (int64_t)seconds * 1000) {
        return;
    }
    faults++;
    cluster->say(std::string("silent connections") + (in ? ", in" : "") +
                 (out ? ", out" : "") + (draw % 5 == 0 ? ", all" : ""));
    for (size_t i = 0; i < all.size(); i++) {
        if (draw % 5 == 0 || i == (draw >> 8) % all.size()) {
            all[i]->silence(in, out);
        }
    }
    cluster->after(SILENCE_LEAST_MS +
                       (int64_t)((draw >> 24) % SILENCE_LEAST_MS),
                   next_silence);
}

/* Operators close a hall and open it again, also several, also again and
 * again. Drawn apart, likewise. */
void
next_closing()
{
    static uint64_t state = Random_Seed((uint64_t)seed + 1);
    static int closings[3];
    uint64_t draw = Random_Next(&state) >> 20;
    int hall = (int)(draw % 3);
    int64_t end_ms = START_MS + (int64_t)seconds * 1000;
    int64_t ms = CLOSED_LEAST_MS + (int64_t)((draw >> 8) % CLOSED_MORE_MS);

    if (cluster->now() > end_ms) {
        return;
    }
    faults++;
    int closing = ++closings[hall];
    cluster->put_hall(hall, true);
    cluster->after(std::min(ms, end_ms - cluster->now()), [hall, closing] {
        if (closings[hall] == closing) {
            cluster->put_hall(hall, false);
        }
    });
    cluster->after(CLOSED_LEAST_MS + (int64_t)((draw >> 32) % CLOSED_MORE_MS),
                   next_closing);
}

void
next_fault()
{
    static void (*const kinds[])() = {
        fault_kill,      fault_kill,   fault_pause,    fault_pause,
        fault_terminate, fault_hangup, fault_harm,     fault_harm,
        fault_harm,      fault_reset,  fault_upstream, fault_upstream,
        fault_upstream,  fault_store,  fault_routes,   fault_all,
    };

    if (cluster->now() > START_MS + (int64_t)seconds * 1000) {
        return;
    }
    faults++;
    kinds[cluster->pick(G_N_ELEMENTS(kinds))]();
    cluster->after(50 + cluster->pick(900), next_fault);
}

/* Kept jobs may need longer, if those who looked after them died at the
 * last. */
void
finish_when_kept()
{
    if (cluster->checker.kept_open() > 0 &&
        cluster->now() < cluster->checker.calm_from_ms + KEPT_MS) {
        cluster->after(200, finish_when_kept);
        return;
    }
    cluster->finish();
}

int
report()
{
    printf("seed %" G_GINT64_FORMAT ": %" PRIu64 " faults, %" PRIu64
           " jobs, %" PRIu64 " starts; answers 2xx %" PRIu64 ", 4xx %" PRIu64
           ", 5xx %" PRIu64 ", none %" PRIu64 "; %" PRIu64 " of %" PRIu64
           " done in the calm; kept %" PRIu64 " of %" PRIu64
           "; %zu violations\n",
           seed, faults, cluster->jobs, cluster->checker.starts,
           cluster->checker.answers[2], cluster->checker.answers[4],
           cluster->checker.answers[5], cluster->checker.answers[0],
           cluster->checker.late_done, cluster->checker.late_jobs,
           cluster->checker.kept_done, cluster->checker.kept_accepted,
           cluster->checker.violations.size());
    for (const std::string &line : cluster->checker.violations) {
        printf("  %s\n", line.c_str());
    }
    return cluster->checker.violations.empty() ? 0 : 1;
}

bool
parse(int *argc, char ***argv)
{
    GOptionContext *context = g_option_context_new("- soak of leased jobs");
    GError *error = nullptr;

    g_option_context_add_main_entries(context, options, nullptr);
    bool good = g_option_context_parse(context, argc, argv, &error);
    if (!good) {
        fprintf(stderr, "soak: %s\n", error->message);
        g_error_free(error);
    }
    else if (program == nullptr || folder == nullptr) {
        fprintf(stderr, "soak: --program and --folder are needed\n");
        good = false;
    }
    g_option_context_free(context);
    return good;
}

} // namespace

int
main(int argc, char **argv)
{
    if (!parse(&argc, &argv)) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    soak::Shape shape;
    shape.entries = entry_count;
    shape.companions = companion_count;
    shape.base_port = base_port;
    shape.program = program;
    shape.folder = folder;
    shape.verbose = verbose;
    shape.seed = (uint64_t)seed;
    shape.link_mbps = link_mbps;
    cluster = new soak::Cluster(shape);
    cluster->start();
    int64_t healed = START_MS + (int64_t)seconds * 1000 + 3000;
    cluster->after(START_MS, make_job);
    cluster->after(START_MS + 500, next_fault);
    cluster->after(START_MS + 900, next_silence);
    cluster->after(START_MS + 1200, next_closing);
    cluster->after(healed, [] {
        cluster->heal();
        cluster->checker.calm_from_ms = cluster->now() + SETTLE_MS;
    });
    cluster->after(healed + CALM_MS, [] { cluster->over = true; });
    cluster->after(healed + CALM_MS + 1500, [] { cluster->probe_routes(); });
    cluster->after(healed + CALM_MS + 3500, finish_when_kept);
    uv_run(cluster->loop, UV_RUN_DEFAULT);
    if (figures != nullptr) {
        cluster->write_figures(figures);
    }
    return report();
}

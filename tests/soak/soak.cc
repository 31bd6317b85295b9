/*
 * A randomized soak: real `levercoved` processes between stand-ins of the
 * store, the upstreams and the callers, with a proxy in front of every address
 * at which one process reaches another, and injected faults.
 *
 * Each run has one seed. It prints a summary and every violation.
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
gint jobs_per_second = 40;
gdouble link_mbps = 0;
gboolean remove_queue;
gint max_files;
gint base_port = 21000;
gchar *program;
gchar *folder;
gchar *figures_file;
gboolean verbose;

const int64_t START_MS = 2500;
const int64_t BLACK_HOLE_MIN_MS = 2000; /* least time between two */
const int64_t CLOSED_MIN_MS = 300;      /* least time that a hall is closed */
const int64_t CLOSED_RANGE_MS = 6000;
const int64_t QUEUE_MIN_MS = 600; /* least time between two changes of the
                                     durable jobs' queue */
const int64_t QUEUE_RANGE_MS = 2400;
const int64_t EXEC_MS = 50;           /* upper bound from fork to main */
const int64_t AFTER_FAULTS_MS = 6000; /* load after the faults have ended */
const int64_t RECOVERY_MS = 3000;     /* of AFTER_FAULTS_MS: until service must
                                      have recovered */
const int64_t DURABLE_END_MS = 20000; /* after that: limit until all durable
                                  jobs have ended */

const GOptionEntry options[] = {
    {"seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed of all random choices",
     "N"},
    {"seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "Duration with faults", "N"},
    {"entries", 0, 0, G_OPTION_ARG_INT, &entry_count, "Processes", "N"},
    {"companions", 0, 0, G_OPTION_ARG_INT, &companion_count, "Processes", "N"},
    {"link", 0, 0, G_OPTION_ARG_DOUBLE, &link_mbps,
     "Bandwidth of the first entry, in Mbit/s: it then forwards jobs", "N"},
    {"remove-queue", 0, 0, G_OPTION_ARG_NONE, &remove_queue,
     "Remove the durable jobs' queue at times, and put it back", nullptr},
    {"files", 0, 0, G_OPTION_ARG_INT, &max_files,
     "Files that each process may open, which it does not know", "N"},
    {"rate", 0, 0, G_OPTION_ARG_INT, &jobs_per_second, "Jobs per second", "N"},
    {"port", 0, 0, G_OPTION_ARG_INT, &base_port, "First port", "N"},
    {"program", 0, 0, G_OPTION_ARG_FILENAME, &program, "levercoved", "FILE"},
    {"folder", 0, 0, G_OPTION_ARG_FILENAME, &folder,
     "Folder for settings and logs", "DIR"},
    {"figures", 0, 0, G_OPTION_ARG_FILENAME, &figures_file,
     "JSON lines by second, for scripts/report.sh", "FILE"},
    {"verbose", 0, 0, G_OPTION_ARG_NONE, &verbose, "Print faults", nullptr},
    {nullptr, 0, 0, G_OPTION_ARG_NONE, nullptr, nullptr, nullptr},
};

soak::Cluster *cluster;
uint64_t faults;

void
make_job()
{
    static const int64_t work_choices_ms[] = {60, 60, 60, 200, 200, 700};

    if (cluster->submissions_stopped) {
        return;
    }
    if (cluster->random_below(5) == 0) {
        cluster->submit_durable_job(1 + cluster->random_below(4),
                                    1000 + cluster->random_below(4) * 300,
                                    work_choices_ms[cluster->random_below(6)]);
    }
    else {
        cluster->submit_job(1 + cluster->random_below(6),
                            1000 + cluster->random_below(4) * 300,
                            work_choices_ms[cluster->random_below(6)], true);
    }
    cluster->run_after(
        1 + cluster->random_below((uint32_t)(2000 / jobs_per_second)),
        make_job);
}

/* ---- faults ---- */

soak::Process &
random_process()
{
    std::vector<soak::Process *> all = cluster->processes();

    return *all[cluster->random_below((uint32_t)all.size())];
}

soak::Proxy &
random_proxy()
{
    std::vector<soak::Proxy *> all = cluster->proxies();

    return *all[cluster->random_below((uint32_t)all.size())];
}

void
fault_kill()
{
    soak::Process &process = random_process();

    cluster->log_event("kill " + process.name);
    process.kill(50 + cluster->random_below(1500));
}

void
fault_pause()
{
    soak::Process &process = random_process();
    int64_t ms = 100 + cluster->random_below(2500);

    cluster->log_event("pause " + process.name + " for " + std::to_string(ms));
    process.signal(SIGSTOP);
    cluster->run_after(ms, [&process] { process.signal(SIGCONT); });
}

void
fault_terminate()
{
    soak::Process &process = random_process();

    cluster->log_event("terminate " + process.name);
    process.signal(SIGTERM);
}

/* Spares processes that may not have reached main yet: until then SIGHUP ends
 * any program. */
void
fault_hangup()
{
    soak::Process &process = random_process();

    if ((int64_t)uv_now(cluster->loop) - process.started_ms >= EXEC_MS) {
        process.signal(SIGHUP);
    }
}

void
fault_network()
{
    static const char *const texts[] = {
        "blocked to the target", "blocked from the target",
        "blocked both ways", "lost both ways", "delay"};
    soak::Proxy &proxy = random_proxy();
    soak::LinkFault fault;
    int64_t ms = 100 + cluster->random_below(2500);
    uint32_t kind = cluster->random_below(5);

    fault.block_in = kind == 0 || kind == 2 || kind == 3;
    fault.block_out = kind == 1 || kind == 2 || kind == 3;
    fault.drop_blocked = kind == 3;
    fault.delay_ms = kind == 4 ? 20 + cluster->random_below(300) : 0;
    cluster->log_event(std::string("network: ") + texts[kind] + " for " +
                       std::to_string(ms));
    proxy.inject(fault, cluster->random_below(2) == 0);
    cluster->run_after(ms, [&proxy] { proxy.heal(); });
}

void
fault_reset()
{
    cluster->log_event("reset");
    random_proxy().reset(cluster->random_below(2) == 0);
}

void
fault_upstream()
{
    soak::Upstream *upstream =
        cluster->upstreams[cluster->random_below((uint32_t)companion_count)]
            .get();
    int64_t ms = 200 + cluster->random_below(2000);

    switch (cluster->random_below(5)) {
    case 0:
        cluster->log_event("crash " + upstream->name);
        if (upstream->model.is_up()) {
            upstream->crash();
            cluster->run_after(ms,
                               [upstream] { upstream->start_incarnation(); });
        }
        break;
    case 1:
        cluster->log_event("stuck " + upstream->name);
        upstream->model.fault_mode.stuck = true;
        cluster->run_after(
            ms, [upstream] { upstream->model.fault_mode.stuck = false; });
        break;
    case 2:
        cluster->log_event("failing " + upstream->name);
        upstream->model.fault_mode.failing = true;
        cluster->run_after(
            ms, [upstream] { upstream->model.fault_mode.failing = false; });
        break;
    case 3:
        cluster->log_event("slow " + upstream->name);
        upstream->model.fault_mode.slow = 6;
        cluster->run_after(
            ms, [upstream] { upstream->model.fault_mode.slow = 1; });
        break;
    default:
        cluster->log_event("late orders at " + upstream->name);
        upstream->delay_orders = true;
        cluster->run_after(ms, [upstream] { upstream->delay_orders = false; });
        break;
    }
}

void
fault_store()
{
    soak::StoreFaultMode mode = (soak::StoreFaultMode)(
        1 + cluster->random_below((uint32_t)soak::StoreFaultMode::Count - 1));

    cluster->log_event(std::string("store ") +
                       soak::StoreFaultMode_Text(mode));
    cluster->store->mode = mode;
    cluster->run_after(300 + cluster->random_below(2500), [] {
        cluster->store->mode = soak::StoreFaultMode::Healthy;
    });
}

void
fault_routes()
{
    cluster->log_event("new routes");
    cluster->publish_routes();
    if (cluster->random_below(3) == 0) {
        cluster->store->compact();
    }
}

void
fault_all()
{
    bool all_processes = cluster->random_below(2) == 0;

    cluster->log_event(all_processes ? "kill all" : "kill all entries");
    for (auto &process : cluster->entries) {
        process->kill(100 + cluster->random_below(300));
    }
    for (auto &process : cluster->companions) {
        if (all_processes) {
            process->kill(100 + cluster->random_below(300));
        }
    }
}

/* Black-holes the connections that are open, at one address or at all, both
 * ways or one way. It has its own random state, so that it does not change the
 * other faults of a seed. */
void
next_black_hole()
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
    cluster->log_event(std::string("black-hole connections") +
                       (in ? ", in" : "") + (out ? ", out" : "") +
                       (draw % 5 == 0 ? ", all" : ""));
    for (size_t i = 0; i < all.size(); i++) {
        if (draw % 5 == 0 || i == (draw >> 8) % all.size()) {
            all[i]->black_hole(in, out);
        }
    }
    cluster->run_after(BLACK_HOLE_MIN_MS +
                           (int64_t)((draw >> 24) % BLACK_HOLE_MIN_MS),
                       next_black_hole);
}

/* Closes a hall and opens it again after some time; several can be closed at
 * once, and a closed one can be closed again. It has its own random state,
 * too. */
void
next_hall_closing()
{
    static uint64_t state = Random_Seed((uint64_t)seed + 1);
    static int closings[3];
    uint64_t draw = Random_Next(&state) >> 20;
    int hall = (int)(draw % 3);
    int64_t end_ms = START_MS + (int64_t)seconds * 1000;
    int64_t ms = CLOSED_MIN_MS + (int64_t)((draw >> 8) % CLOSED_RANGE_MS);

    if (cluster->now() > end_ms) {
        return;
    }
    faults++;
    int closing = ++closings[hall];
    cluster->set_hall_closed(hall, true);
    cluster->run_after(std::min(ms, end_ms - cluster->now()), [hall, closing] {
        if (closings[hall] == closing) {
            cluster->set_hall_closed(hall, false);
        }
    });
    cluster->run_after(CLOSED_MIN_MS +
                           (int64_t)((draw >> 32) % CLOSED_RANGE_MS),
                       next_hall_closing);
}

/* Removes the queue of the durable jobs and puts it back, again and again. It
 * has its own random state, too. */
void
next_queue_change()
{
    static uint64_t state = Random_Seed((uint64_t)seed + 2);
    static bool exists = true;
    uint64_t draw = Random_Next(&state) >> 20;

    if (cluster->now() > START_MS + (int64_t)seconds * 1000) {
        return;
    }
    faults++;
    exists = !exists;
    cluster->set_durable_queue(exists);
    cluster->run_after(QUEUE_MIN_MS + (int64_t)(draw % QUEUE_RANGE_MS),
                       next_queue_change);
}

void
next_fault()
{
    static void (*const injectors[])() = {
        fault_kill,      fault_kill,   fault_pause,    fault_pause,
        fault_terminate, fault_hangup, fault_network,  fault_network,
        fault_network,   fault_reset,  fault_upstream, fault_upstream,
        fault_upstream,  fault_store,  fault_routes,   fault_all,
    };

    if (cluster->now() > START_MS + (int64_t)seconds * 1000) {
        return;
    }
    faults++;
    injectors[cluster->random_below(G_N_ELEMENTS(injectors))]();
    cluster->run_after(50 + cluster->random_below(900), next_fault);
}

/* Durable jobs may need longer if their owner died in one of the last faults.
 */
void
finish_when_durable_ended()
{
    if (cluster->checker.durable_open() > 0 &&
        cluster->now() <
            cluster->checker.recovery_deadline_ms + DURABLE_END_MS) {
        cluster->run_after(200, finish_when_durable_ended);
        return;
    }
    cluster->finish();
}

int
print_report()
{
    printf("seed %" G_GINT64_FORMAT ": %" PRIu64 " faults, %" PRIu64
           " jobs, %" PRIu64 " starts; answers 2xx %" PRIu64 ", 4xx %" PRIu64
           ", 5xx %" PRIu64 ", none %" PRIu64 "; %" PRIu64 " of %" PRIu64
           " done after recovery; kept %" PRIu64 " of %" PRIu64
           "; %zu violations\n",
           seed, faults, cluster->jobs, cluster->checker.starts,
           cluster->checker.answers[2], cluster->checker.answers[4],
           cluster->checker.answers[5], cluster->checker.answers[0],
           cluster->checker.done_after_recovery,
           cluster->checker.jobs_after_recovery, cluster->checker.durable_done,
           cluster->checker.durable_accepted,
           cluster->checker.violations.size());
    for (const std::string &line : cluster->checker.violations) {
        printf("  %s\n", line.c_str());
    }
    return cluster->checker.violations.empty() ? 0 : 1;
}

bool
parse_options(int *argc, char ***argv)
{
    GOptionContext *context = g_option_context_new(
        "- randomized soak of leased jobs");
    GError *error = nullptr;

    g_option_context_add_main_entries(context, options, nullptr);
    bool valid = g_option_context_parse(context, argc, argv, &error);
    if (!valid) {
        fprintf(stderr, "soak: %s\n", error->message);
        g_error_free(error);
    }
    else if (program == nullptr || folder == nullptr) {
        fprintf(stderr, "soak: options --program and --folder are required\n");
        valid = false;
    }
    g_option_context_free(context);
    return valid;
}

} // namespace

int
main(int argc, char **argv)
{
    if (!parse_options(&argc, &argv)) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    soak::ClusterSettings settings;
    settings.entries = entry_count;
    settings.companions = companion_count;
    settings.base_port = base_port;
    settings.program = program;
    settings.folder = folder;
    settings.verbose = verbose;
    settings.seed = (uint64_t)seed;
    settings.link_mbps = link_mbps;
    settings.durable_queue = remove_queue;
    cluster = new soak::Cluster(settings);
    for (soak::Process *process : cluster->processes()) {
        process->hidden_max_open_files = max_files;
    }
    cluster->start();
    int64_t heal_ms = START_MS + (int64_t)seconds * 1000 + 3000;
    cluster->run_after(START_MS, make_job);
    cluster->run_after(START_MS + 500, next_fault);
    cluster->run_after(START_MS + 900, next_black_hole);
    cluster->run_after(START_MS + 1200, next_hall_closing);
    if (remove_queue) {
        cluster->run_after(START_MS + 1500, next_queue_change);
    }
    cluster->run_after(heal_ms, [] {
        cluster->heal();
        cluster->checker.recovery_deadline_ms = cluster->now() + RECOVERY_MS;
    });
    cluster->run_after(heal_ms + AFTER_FAULTS_MS,
                       [] { cluster->submissions_stopped = true; });
    cluster->run_after(heal_ms + AFTER_FAULTS_MS + 1500,
                       [] { cluster->check_routes_applied(); });
    cluster->run_after(heal_ms + AFTER_FAULTS_MS + 3500,
                       finish_when_durable_ended);
    uv_run(cluster->loop, UV_RUN_DEFAULT);
    if (figures_file != nullptr) {
        cluster->write_figures(figures_file);
    }
    return print_report();
}

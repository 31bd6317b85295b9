/*
 * Single failures on a small cluster, for the operators' page: each hands a
 * job in, lets something fail, and prints the job's identity and its answer.
 * What the logs then say is looked at by tests/process/explain.sh.
 */

#include <glib.h>
#include <signal.h>

#include <cinttypes>
#include <cstdio>
#include <cstring>

#include "tests/soak/cluster.h"

namespace {

const int64_t START_MS = 2500;
const int64_t END_MS = 4500; /* after the start */
/* Longer than the grace time of a planned stop (cluster.cc). */
const int64_t STOP_END_MS = 5500;
const int64_t STALL_MS = 9000;
/* Longer than a lease and a hold, so that runs go elsewhere meanwhile. */
const int64_t SUSPENDED_MS = 2500;
const int64_t SUSPENDED_LOAD_MS = 9000;
const int64_t JOB_EACH_MS = 60;
const int64_t MANY_LOAD_MS = 18000;
const int64_t MANY_KEPT_MS = 8000;
/* A configuration of the size in docs/incidents/inc1-config.md, on a line that
 * carries it in 0.4 s. */
const int IDLE_QUEUES = 4000;
const int64_t LINE_BYTES_PER_S = 2000000;
const int64_t CHANGE_MS = 900;
const int CHANGES = 4;
const int64_t APPLY_MS = 3000; /* config_apply_ms of the larger deployments */
const int64_t SILENT_LOAD_MS = 6000;
const int64_t SILENCE_MS = 1500;
const int64_t SEEDLESS_LOAD_MS = 3500;
const int64_t POWER_LOSS_MS = 1000;
const int64_t STEADY_LOAD_MS = 7000;
const int64_t HALL_CUT_MS = 500;
const int64_t HALL_KILL_MS = 5500;
const int64_t HALL_OPEN_MS = 9500;
const int64_t HALL_LOAD_MS = 11500;
const int64_t SILENT_APPLY_MS = 2000; /* the least config_apply_ms */
const uint64_t KEPT_JOBS = 12;
const int64_t KEPT_END_MS = 14000; /* a takeover may take nine seconds */
const int64_t FORWARD_LOAD_MS = 5000;
const int64_t FORWARD_EACH_MS = 25;
const int64_t FORWARD_FREEZE_MS = 1800; /* longer than a lease and a hold */
/* Some 20 jobs a second and what keeps them and their leases: half of all. */
const double FORWARD_LINK_MBPS = 0.45;
const int64_t ENDS_LOST_EACH_MS = 100;
const int64_t ENDS_LOST_LOAD_MS = 5000;
const int64_t LATE_STARTS_INTERVAL_MS = 30;
const int64_t LATE_STARTS_LOAD_MS = 12000;
const int64_t LATE_STARTS_END_MS = 20000;
const int64_t CRASH_INTERVAL_MS = 2000;
const int64_t FAILING_INTERVAL_MS = 150;
const int64_t LATE_RETRIES_END_MS = 40000;
const int64_t CRASH_DOWNTIME_MS = 300;
const int64_t ANSWERS_MS = 3500; /* until the last caller has its answer */

soak::Cluster *cluster;
uint64_t watched;

/* Nothing fails. */
void
play_calm()
{
    watched = cluster->hand_in(5, 1000, 200, false);
}

/* All companions are gone: the job is refused. */
void
play_refusal()
{
    for (auto &process : cluster->companions) {
        process->finish();
    }
    cluster->after(300,
                   [] { watched = cluster->hand_in(2, 1000, 100, false); });
}

/* One upstream lets everything hang: the job is late, or tried elsewhere. */
void
play_grey()
{
    cluster->upstreams[0]->model.manner.stuck = true;
    cluster->upstreams[1]->model.manner.stuck = true;
    watched = cluster->hand_in(6, 3000, 200, false);
}

/* A companion dies in the middle of a job and does not come back. */
void
play_companion_dies()
{
    watched = cluster->hand_in(6, 3000, 700, false);
    cluster->after(200, [] { cluster->companions[0]->finish(); });
}

/* Nobody reads the entry's log while hundreds of jobs fail: no answer is
 * held up, and what was dropped is counted. */
void
stalled_load()
{
    if (cluster->now() > START_MS + STALL_MS) {
        cluster->entries[0]->drain_log();
        cluster->over = true;
        return;
    }
    for (int i = 0; i < 2; i++) {
        watched = cluster->hand_in(4, 500, 20, false);
    }
    cluster->after(10, stalled_load);
}

void
play_stalled_reader()
{
    for (auto &upstream : cluster->upstreams) {
        upstream->model.manner.failing = true;
    }
    stalled_load();
}

/* An entry is stopped as planned under load: whoever reaches it until it is
 * gone has an answer. */
void
stopping_load()
{
    if (cluster->now() > START_MS + 1800) {
        cluster->over = true;
        return;
    }
    watched = cluster->hand_in(3, 1000, 300, false);
    cluster->after(40, stopping_load);
}

void
play_planned_stop()
{
    stopping_load();
    cluster->after(500, [] { cluster->entries[0]->signal(SIGTERM); });
}

/* No need to wait once all kept jobs are over. */
void
finish_when_kept()
{
    if (cluster->checker.kept_accepted == KEPT_JOBS &&
        cluster->checker.kept_open() == 0) {
        cluster->after(500, [] { cluster->finish(); });
        return;
    }
    cluster->after(100, finish_when_kept);
}

/* Kept jobs are handed in at all entries. */
void
hand_in_some_kept()
{
    for (uint64_t i = 0; i < KEPT_JOBS; i++) {
        watched = cluster->hand_in_kept(3, 500, 300);
    }
    finish_when_kept();
}

/* The entry that owns some of the jobs dies for good. */
void
play_kept_owner_dies()
{
    hand_in_some_kept();
    cluster->after(150, [] { cluster->entries[0]->finish(); });
}

/* All power is lost at once, while tasks run. */
void
play_kept_power_loss()
{
    hand_in_some_kept();
    cluster->after(150, [] {
        for (soak::Process *process : cluster->processes()) {
            process->kill(300);
        }
        for (auto &upstream : cluster->upstreams) {
            upstream->crash();
        }
    });
    cluster->after(500, [] {
        for (auto &upstream : cluster->upstreams) {
            upstream->come_up();
        }
    });
}

/* Submits kept jobs at a fixed interval. */
void
kept_load(int64_t duration_ms, int64_t interval_ms)
{
    for (int64_t at = 0; at < duration_ms; at += interval_ms) {
        cluster->after(at,
                       [] { watched = cluster->hand_in_kept(2, 100, 150); });
    }
}

/* Kills all companions while tasks of kept jobs run. The tasks succeed, then
 * the upstreams crash and restart under the same names before any companion is
 * back. */
void
play_kept_ends_lost()
{
    kept_load(ENDS_LOST_LOAD_MS, ENDS_LOST_EACH_MS);
    cluster->after(500, [] {
        for (auto &companion : cluster->companions) {
            companion->kill(2200);
        }
    });
    cluster->after(1300, [] {
        for (auto &upstream : cluster->upstreams) {
            upstream->crash();
        }
    });
    cluster->after(1700, [] {
        for (auto &upstream : cluster->upstreams) {
            upstream->come_up();
        }
    });
}

/* Delays orders by seconds at all upstreams and crashes these repeatedly, so
 * that some starts are executed by a later incarnation. */
void
play_late_starts()
{
    kept_load(LATE_STARTS_LOAD_MS, LATE_STARTS_INTERVAL_MS);
    for (auto &upstream : cluster->upstreams) {
        upstream->late_orders = true;
    }
    for (int64_t at = CRASH_INTERVAL_MS; at < LATE_STARTS_LOAD_MS;
         at += CRASH_INTERVAL_MS) {
        cluster->after(at, [] {
            for (auto &upstream : cluster->upstreams) {
                upstream->crash();
            }
        });
        cluster->after(at + CRASH_DOWNTIME_MS, [] {
            for (auto &upstream : cluster->upstreams) {
                upstream->come_up();
            }
        });
    }
    cluster->after(LATE_STARTS_LOAD_MS, [] {
        for (auto &upstream : cluster->upstreams) {
            upstream->late_orders = false;
        }
    });
}

/* Extends late_starts with upstreams that fail their tasks intermittently, so
 * that tasks are retried elsewhere while earlier starts are unanswered. */
void
play_late_retries()
{
    play_late_starts();
    for (int64_t at = FAILING_INTERVAL_MS; at < LATE_STARTS_LOAD_MS;
         at += FAILING_INTERVAL_MS) {
        cluster->after(at, [] {
            for (auto &upstream : cluster->upstreams) {
                upstream->model.manner.failing = cluster->pick(4) == 0;
            }
        });
    }
    cluster->after(LATE_STARTS_LOAD_MS, [] {
        for (auto &upstream : cluster->upstreams) {
            upstream->model.manner.failing = false;
        }
    });
}

/* The store does not answer one of the entries. */
void
play_kept_store_away()
{
    soak::Harm harm;

    harm.hold_in = true;
    harm.hold_out = true;
    cluster->store_path(0)->harm(harm, true);
    cluster->after(2000, hand_in_some_kept);
}

/* An entry with kept jobs is stopped while the store answers nobody. */
void
play_stop_store_silent()
{
    soak::Harm harm;

    harm.hold_in = true;
    harm.hold_out = true;
    cluster->after(300, [] {
        for (uint64_t i = 0; i < KEPT_JOBS; i++) {
            watched = cluster->hand_in_kept(3, 500, STOP_END_MS);
        }
    });
    cluster->after(1000, [harm] {
        cluster->store_path(0)->harm(harm, true);
        cluster->store_path(1)->harm(harm, true);
    });
    cluster->after(1200, [] { cluster->entries[0]->signal(SIGTERM); });
}

/* Machines of companions are suspended under load, one after the other; the
 * programs run with tests/suspended_clock.c. */
void
suspend_companion(size_t index)
{
    cluster->companions[index]->signal(SIGSTOP);
    cluster->after(SUSPENDED_MS, [index] {
        std::string file = std::string(getenv("SUSPENDED")) + "/" +
                           std::to_string(cluster->companions[index]->pid());
        FILE *out = fopen(file.c_str(), "w");
        fprintf(out, "%d\n", (int)SUSPENDED_MS);
        fclose(out);
        cluster->companions[index]->signal(SIGCONT);
    });
}

void
play_suspended()
{
    for (int i = 0; i < SUSPENDED_LOAD_MS / JOB_EACH_MS; i++) {
        cluster->after(i * JOB_EACH_MS, [] {
            watched = cluster->hand_in(2, 1500, 150, false);
        });
    }
    cluster->after(500, [] { suspend_companion(0); });
    cluster->after(500 + SUSPENDED_MS + 1000, [] { suspend_companion(1); });
}

/* More entries than a companion reports to, until kept jobs come. */
void
play_many_entries()
{
    for (int i = 0; i < MANY_LOAD_MS / JOB_EACH_MS; i++) {
        cluster->after(i * JOB_EACH_MS, [] {
            watched = cluster->hand_in(2, 1500, 100, false);
        });
    }
    cluster->after(MANY_KEPT_MS, [] {
        for (uint64_t i = 0; i < KEPT_JOBS; i++) {
            cluster->hand_in_kept(3, 500, 500);
        }
    });
}

/* A large configuration changes again and again; one entry is behind a line
 * that carries less than what others might send it. */
void
play_large_configuration()
{
    cluster->narrow(0, LINE_BYTES_PER_S);
    cluster->add_idle_queues(IDLE_QUEUES);
    for (int i = 0; i < CHANGES; i++) {
        cluster->after(i * CHANGE_MS, [] { cluster->put_routes(); });
    }
    cluster->after((CHANGES - 1) * CHANGE_MS + APPLY_MS, [] {
        cluster->probe_routes();
        watched = cluster->hand_in(2, 500, 100, false);
    });
}

/* Small jobs at a steady rate for so long. */
void
steady_load(int64_t length_ms)
{
    if (cluster->now() > START_MS + length_ms) {
        cluster->over = true;
        return;
    }
    watched = cluster->hand_in(2, 500, 100, false);
    cluster->after(25, [length_ms] { steady_load(length_ms); });
}

/* All connections that are open go silent under load; new ones work. */
void
silence(const std::vector<std::string> &kinds, bool in, bool out)
{
    steady_load(SILENT_LOAD_MS);
    cluster->after(SILENCE_MS, [kinds, in, out] {
        for (const std::string &kind : kinds) {
            for (soak::Proxy *proxy : cluster->proxies_of(kind)) {
                proxy->silence(in, out);
            }
        }
        cluster->put_routes();
    });
    cluster->after(SILENCE_MS + SILENT_APPLY_MS,
                   [] { cluster->probe_routes(); });
}

const std::vector<std::string> EVERY = {"entries", "companions", "upstreams",
                                        "store"};

void
play_silent_both()
{
    silence(EVERY, true, true);
}

void
play_silent_in()
{
    silence(EVERY, true, false);
}

void
play_silent_out()
{
    silence(EVERY, false, true);
}

void
play_silent_entries()
{
    silence({"entries"}, true, true);
}

void
play_silent_companions()
{
    silence({"companions"}, true, true);
}

void
play_silent_upstreams()
{
    silence({"upstreams"}, true, true);
}

void
play_silent_store()
{
    silence({"store"}, true, true);
}

/* Entries and companions are told of seeds that are no more; then all power is
 * lost, and comes back. */
void
play_seeds_gone()
{
    steady_load(SEEDLESS_LOAD_MS);
    cluster->after(POWER_LOSS_MS, [] {
        for (soak::Process *process : cluster->processes()) {
            process->kill(100);
        }
    });
}

/* All callers come to one entry, whose link carries a part of their jobs. */
void
one_sided_load(int64_t length_ms)
{
    cluster->only_entry = 0;
    for (int64_t at = 0; at < length_ms; at += FORWARD_EACH_MS) {
        cluster->after(at,
                       [] { watched = cluster->hand_in(8, 500, 60, false); });
    }
}

void
play_handed_on()
{
    one_sided_load(FORWARD_LOAD_MS);
}

/* The entries that take them die while they run them. */
void
play_taker_dies()
{
    one_sided_load(FORWARD_LOAD_MS);
    cluster->after(FORWARD_LOAD_MS / 2, [] {
        cluster->entries[1]->kill(1500);
        cluster->entries[2]->kill(1500);
    });
}

/* The entry that hands them on stands still beyond all leases. */
void
play_origin_frozen()
{
    one_sided_load(FORWARD_LOAD_MS);
    cluster->after(FORWARD_LOAD_MS / 2,
                   [] { cluster->entries[0]->signal(SIGSTOP); });
    cluster->after(FORWARD_LOAD_MS / 2 + FORWARD_FREEZE_MS,
                   [] { cluster->entries[0]->signal(SIGCONT); });
}

/* Nothing fails, under load: for commands of operators. */
void
play_steady()
{
    steady_load(STEADY_LOAD_MS);
}

/* A hall is closed while the entries cannot reach the store, and opened when
 * the store has dropped its history; the whole system is killed between. */
void
play_closed_hall()
{
    steady_load(HALL_LOAD_MS);
    cluster->after(HALL_CUT_MS, [] {
        soak::Harm harm;
        harm.hold_in = true;
        harm.hold_out = true;
        for (soak::Proxy *path : cluster->proxies_of("store")) {
            path->harm(harm, false);
        }
        cluster->put_hall(0, true);
    });
    cluster->after(HALL_KILL_MS, [] {
        for (soak::Proxy *path : cluster->proxies_of("store")) {
            path->heal();
        }
        for (soak::Process *process : cluster->processes()) {
            process->kill(100);
        }
    });
    cluster->after(HALL_OPEN_MS, [] {
        cluster->put_hall(0, false);
        cluster->store->compact();
    });
}

const struct {
    const char *name;
    void (*play)();
    int64_t length_ms;
    int entries;
    int companions = 2;
    double link_mbps = 0;
} scenarios[] = {
    {"calm", play_calm, END_MS, 1},
    {"refusal", play_refusal, END_MS, 1},
    {"grey", play_grey, END_MS, 1},
    {"companion_dies", play_companion_dies, END_MS, 1},
    {"planned_stop", play_planned_stop, END_MS, 1},
    {"stop_store_silent", play_stop_store_silent, STOP_END_MS, 2},
    {"suspended", play_suspended, SUSPENDED_LOAD_MS + ANSWERS_MS, 2},
    {"many_entries", play_many_entries, MANY_LOAD_MS + ANSWERS_MS, 46, 12},
    {"stalled_reader", play_stalled_reader, STALL_MS + ANSWERS_MS, 1},
    {"large_configuration", play_large_configuration,
     CHANGES *CHANGE_MS + APPLY_MS + ANSWERS_MS, 4},
    {"silent_both", play_silent_both, SILENT_LOAD_MS + ANSWERS_MS, 3},
    {"silent_in", play_silent_in, SILENT_LOAD_MS + ANSWERS_MS, 3},
    {"silent_out", play_silent_out, SILENT_LOAD_MS + ANSWERS_MS, 3},
    {"silent_entries", play_silent_entries, SILENT_LOAD_MS + ANSWERS_MS, 3},
    {"silent_companions", play_silent_companions, SILENT_LOAD_MS + ANSWERS_MS,
     3},
    {"silent_upstreams", play_silent_upstreams, SILENT_LOAD_MS + ANSWERS_MS,
     3},
    {"silent_store", play_silent_store, SILENT_LOAD_MS + ANSWERS_MS, 3},
    {"steady", play_steady, STEADY_LOAD_MS + ANSWERS_MS, 3},
    {"closed_hall", play_closed_hall, HALL_LOAD_MS + ANSWERS_MS, 3},
    {"seeds_gone", play_seeds_gone, SEEDLESS_LOAD_MS + ANSWERS_MS, 3},
    {"handed_on", play_handed_on, FORWARD_LOAD_MS + ANSWERS_MS, 3, 6,
     FORWARD_LINK_MBPS},
    {"taker_dies", play_taker_dies, FORWARD_LOAD_MS + ANSWERS_MS, 3, 6,
     FORWARD_LINK_MBPS},
    {"origin_frozen", play_origin_frozen, FORWARD_LOAD_MS + ANSWERS_MS, 3, 6,
     FORWARD_LINK_MBPS},
    {"kept_owner_dies", play_kept_owner_dies, KEPT_END_MS, 2},
    {"kept_power_loss", play_kept_power_loss, KEPT_END_MS, 2},
    {"kept_store_away", play_kept_store_away, KEPT_END_MS, 2},
    {"kept_ends_lost", play_kept_ends_lost, KEPT_END_MS, 2},
    {"late_starts", play_late_starts, LATE_STARTS_END_MS, 2, 4},
    {"late_retries", play_late_retries, LATE_RETRIES_END_MS, 2, 4},
};

} // namespace

int
main(int argc, char **argv)
{
    soak::Shape shape;

    if (argc != 5) {
        fprintf(stderr, "usage: scenario NAME LEVERCOVED FOLDER PORT\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    for (const auto &one : scenarios) {
        if (strcmp(one.name, argv[1]) == 0) {
            shape.entries = one.entries;
            shape.companions = one.companions;
            shape.link_mbps = one.link_mbps;
        }
    }
    shape.seeds_gone = strcmp(argv[1], "seeds_gone") == 0;
    shape.program = argv[2];
    shape.folder = argv[3];
    shape.base_port = atoi(argv[4]);
    cluster = new soak::Cluster(shape);
    if (strcmp(argv[1], "stalled_reader") == 0) {
        cluster->entries[0]->stall_log();
    }
    cluster->start();
    for (const auto &one : scenarios) {
        if (strcmp(one.name, argv[1]) == 0) {
            cluster->after(START_MS, one.play);
            cluster->after(START_MS + one.length_ms,
                           [] { cluster->finish(); });
        }
    }
    uv_run(cluster->loop, UV_RUN_DEFAULT);
    printf("%016" PRIx64 "\n", watched);
    fprintf(stderr, "kept %" PRIu64 " of %" PRIu64 "\n",
            cluster->checker.kept_done, cluster->checker.kept_accepted);
    for (const std::string &line : cluster->checker.violations) {
        fprintf(stderr, "violation %s\n", line.c_str());
    }
    for (const auto &pair : cluster->seconds) {
        const soak::Cluster::Second &second = pair.second;
        fprintf(stderr,
                "second %" PRId64 ": sent %d, done %d, refused %d, given up "
                "%d, none %d\n",
                pair.first, second.sent, second.done, second.refused,
                second.given_up, second.none);
    }
    fprintf(stderr,
            "answers: 2xx %" PRIu64 ", 5xx %" PRIu64 ", none %" PRIu64
            ", slowest %" PRId64 " ms\n",
            cluster->checker.answers[2], cluster->checker.answers[5],
            cluster->checker.answers[0], cluster->slowest_ms);
    return watched == 0;
}

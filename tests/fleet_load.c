/*
 * Loads of a large fleet, played in virtual time: what of it is served, how
 * many starts find no room, how evenly hosts are used. "--print PART SEED"
 * writes the figures of the loads whose names have that part ("" for all);
 * with "plain" behind it, of starts that are neither joined nor paced.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/fleet_world.h"

/* The users' large deployment; usual is 60% of all processors at 1. */
static const FleetWorld_Shape large = {
    .entries = 55,
    .companions = 240,
    .halls = 5,
    .cpu_milli = 3800,
    .link_ms = 1,
    .kinds = {{"quick", 0, 309, 8, 60},
              {"long", 2, 56, 4, 900},
              {"check", 1, 900, 2, 200}},
};

/* That of shifted work: fewer, larger hosts for small tasks, more of the long
 * ones, and a wave. */
static const FleetWorld_Shape shifted = {
    .entries = 11,
    .companions = 65,
    .halls = 3,
    .cpu_milli = 1500,
    .link_ms = 1,
    .wave = 0.27,
    .wave_ms = 11000,
    .kinds = {{"quick", 0, 166, 8, 60},
              {"long", 2, 65.9, 4, 900},
              {"check", 1, 486, 2, 200}},
};

/* Few entries, one of them with a link that the demand of its hall can fill;
 * half of all processors at 1. */
static const FleetWorld_Shape narrow = {
    .entries = 8,
    .companions = 54,
    .halls = 4,
    .cpu_milli = 1300,
    .link_ms = 1,
    .kinds = {{"quick", 0, 181, 8, 51},
              {"long", 2, 32.9, 4, 760},
              {"check", 1, 527, 2, 170}},
};

/* A load, and the least that must be shown. */
typedef struct {
    const char *name;
    FleetWorld_Load load;
    double worth;          /* at least, of the jobs of the rush */
    double refused_starts; /* at most, for each start */
    double spread;         /* at most */
    double late_share;     /* at least; 0 if no host comes */
    double first_served;   /* at least, of the jobs of the rush at the first
                              entry, in time */
} load_case;

/* The bounds leave a tenth or so to what was measured. */
static const load_case load_cases[] = {
    {"usual load",
     {.shape = &large,
      .usual = 0.65,
      .rush = 0.65,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 4000,
      .length_ms = 4000},
     .worth = 0.99,
     .refused_starts = 0.1,
     .spread = 0.2,
     .late_share = 0},
    {"a rush on one kind while hosts come",
     {.shape = &large,
      .usual = 0.8,
      .rush = 2,
      .only = 1,
      .rush_ms = 1000,
      .rush_end_ms = 6000,
      .length_ms = 6000,
      .late_companions = 48},
     .worth = 0.98,
     .refused_starts = 0.5,
     .spread = 0.15,
     .late_share = 0.85},
    {"a burst over all capacity",
     {.shape = &large,
      .usual = 1,
      .rush = 1.8,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 5000,
      .length_ms = 6000},
     .worth = 0.79,
     .refused_starts = 0.65,
     .spread = 0.15,
     .late_share = 0},
    {"a third of the entries away",
     {.shape = &large,
      .usual = 1,
      .rush = 1.3,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 5000,
      .length_ms = 5000,
      .away = 0.34},
     .worth = 0.98,
     .refused_starts = 0.55,
     .spread = 0.15,
     .late_share = 0},
    {"a tenth of the upstreams flapping",
     {.shape = &large,
      .usual = 1,
      .rush = 1.3,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 5000,
      .length_ms = 5000,
      .flapping = 0.1},
     .worth = 0.9,
     .refused_starts = 0.68,
     .spread = 0.2,
     .late_share = 0},
    {"all processes begin together under load",
     {.shape = &large,
      .usual = 1,
      .rush = 1.2,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 4000,
      .length_ms = 4000,
      .fresh_start = true},
     .worth = 0.98,
     .refused_starts = 0.55,
     .spread = 0.15,
     .late_share = 0},
    {"one job of a thousand crashes upstreams",
     {.shape = &large,
      .usual = 1,
      .rush = 1,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 7000,
      .length_ms = 8000,
      .crashing = 0.001},
     .worth = 0.98,
     .refused_starts = 0.5,
     .spread = 0.3,
     .late_share = 0},
    {"shifted: usual load and its wave",
     {.shape = &shifted,
      .usual = 1,
      .rush = 1,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 12000,
      .length_ms = 12000},
     .worth = 0.98,
     .refused_starts = 0.15,
     .spread = 0.22,
     .late_share = 0},
    {"shifted: a hall closed for 11 s and taken back",
     {.shape = &shifted,
      .usual = 1,
      .rush = 1,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 12000,
      .length_ms = 14000,
      .close_ms = 1000,
      .open_ms = 12000},
     .worth = 0.93,
     .refused_starts = 0.37,
     .spread = 0.6,
     .late_share = 0},
    {"shifted: a hall closed and a burst of 1.4 besides",
     {.shape = &shifted,
      .usual = 1,
      .rush = 1.4,
      .only = -1,
      .rush_ms = 2000,
      .rush_end_ms = 6000,
      .length_ms = 9000,
      .close_ms = 1000,
      .open_ms = 8000},
     .worth = 0.88,
     .refused_starts = 0.39,
     .spread = 0.6,
     .late_share = 0},
    {"shifted: a third of the entries away in a burst",
     {.shape = &shifted,
      .usual = 1,
      .rush = 1.5,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 5000,
      .length_ms = 6000,
      .away = 0.34},
     .worth = 0.94,
     .refused_starts = 0.36,
     .spread = 0.13,
     .late_share = 0},
    {"shifted: a rush of over twice the load",
     {.shape = &shifted,
      .usual = 1,
      .rush = 2.2,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 5000,
      .length_ms = 6000},
     .worth = 0.75,
     .refused_starts = 0.45,
     .spread = 0.12,
     .late_share = 0},
    {"a rush of over twice the load",
     {.shape = &large,
      .usual = 1,
      .rush = 2.2,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 5000,
      .length_ms = 6000},
     .worth = 0.64,
     .refused_starts = 0.66,
     .spread = 0.16,
     .late_share = 0},
};

/* The narrow link carries some 2,500 starts with a spec a second: enough for
 * what the first entry's callers usually want, not for a burst of theirs. */
static const load_case link_cases[] = {
    {"narrow link: usual load",
     {.shape = &narrow,
      .usual = 1,
      .rush = 1,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 5000,
      .length_ms = 5000,
      .link_mbps = 25,
      .demand = 2},
     .worth = 0.98,
     .refused_starts = 0.1,
     .spread = 0.25,
     .first_served = 0.98},
    {"narrow link: demand of 1.5 beside a burst of all",
     {.shape = &narrow,
      .usual = 1,
      .rush = 1.4,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 5000,
      .length_ms = 5000,
      .link_mbps = 25,
      .demand = 3},
     .worth = 0.95,
     .refused_starts = 0.5,
     .spread = 0.25,
     .first_served = 0.95},
    {"narrow link: demand of 2.8",
     {.shape = &narrow,
      .usual = 1,
      .rush = 1,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 5000,
      .length_ms = 5000,
      .link_mbps = 25,
      .demand = 5.6},
     .worth = 0.95,
     .refused_starts = 0.5,
     .spread = 0.25,
     .first_served = 0.95},
    {"narrow link: a tenth of the others'",
     {.shape = &narrow,
      .usual = 0.8,
      .rush = 0.8,
      .only = -1,
      .rush_ms = 1000,
      .rush_end_ms = 5000,
      .length_ms = 5000,
      .link_mbps = 10,
      .demand = 2.5},
     .worth = 0.95,
     .refused_starts = 0.5,
     .spread = 0.25,
     .first_served = 0.95},
};

static void
print_report(const char *name, const FleetWorld_Report *report)
{
    int kind;

    printf("%-42s %.3f %.3f | %.3f %5" G_GUINT64_FORMAT
           " | %.3f %.3f %.2f %4d "
           "| %3d %4d |",
           name, report->worth, report->worth_rush,
           (double)report->refused_starts / (double)MAX(report->starts, 1),
           report->refused_free, report->busy_rush, report->spread,
           report->late_share, (int)report->first_start_ms,
           (int)report->wait_p50_ms, (int)report->wait_p99_ms);
    for (kind = 0; kind < FLEET_WORLD_KINDS; kind++) {
        const FleetWorld_Jobs *jobs = &report->kinds[kind];
        printf(" %u/%u/%u/%u", jobs->in_time, jobs->late, jobs->refused,
               jobs->given_up);
    }
    if (report->first.sent > 0) {
        printf(" | first %u/%u/%u/%u of %u, %d ms queued",
               report->first.in_time, report->first.late,
               report->first.refused, report->first.given_up,
               report->first.sent, (int)report->queued_most_ms);
        printf(", bytes a job");
        for (kind = 0; kind < FLEET_WORLD_KINDS; kind++) {
            printf(" %.0f", (double)report->first_bytes[kind] /
                                (double)MAX(report->first_jobs[kind], 1));
        }
    }
    printf(" | %.0f B a start",
           (double)report->bytes / (double)MAX(report->starts, 1));
    if (report->crashes > 0) {
        printf(" | %u crashes, %u most, %u innocent", report->crashes,
               report->most_crashes, report->innocent);
    }
    printf("\n");
}

/* @p plain: starts are neither joined nor paced. */
static FleetWorld_Report
play(const load_case *one, uint64_t seed, bool plain)
{
    FleetWorld_Load load = one->load;

    load.seed = seed;
    /* As an entry does whose settings tell its link. */
    load.join_runs = load.link_mbps > 0 && !plain;
    load.paced = load.join_runs;
    return FleetWorld_Play(&load);
}

static void
print_table(const load_case *cases, size_t count, const char *part,
            uint64_t seed, bool plain)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (strstr(cases[i].name, part) != NULL) {
            FleetWorld_Report report = play(&cases[i], seed, plain);
            print_report(cases[i].name, &report);
        }
    }
}

static void
print_all(const char *part, uint64_t seed, bool plain)
{
    printf("load: worth, of the rush | refused starts, refused with a tenth "
           "free | busy, spread, share of new hosts, their first start | wait "
           "p50, p99 | quick, long, check: in time/late/refused/given up | "
           "the same of the entry with the narrow link, the longest wait for "
           "it\n");
    print_table(link_cases, G_N_ELEMENTS(link_cases), part, seed, plain);
    print_table(load_cases, G_N_ELEMENTS(load_cases), part, seed, plain);
}

static void
test_load(gconstpointer item)
{
    const load_case *one = item;
    FleetWorld_Report report = play(one, 1, false);

    g_assert_cmpfloat(report.worth_rush, >=, one->worth);
    g_assert_cmpfloat((double)report.refused_starts, <=,
                      one->refused_starts * (double)report.starts);
    g_assert_cmpfloat(report.spread, <=, one->spread);
    g_assert_cmpfloat(report.late_share, >=, one->late_share);
    g_assert_cmpuint(report.most_crashes, <=, 2);
    g_assert_cmpfloat((double)report.first.in_time, >=,
                      one->first_served * (double)report.first.sent);
}

static void
add_cases(const load_case *cases, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        char *path = g_strdup_printf("/fleet/%s", cases[i].name);
        g_test_add_data_func(path, &cases[i], test_load);
        g_free(path);
    }
}

int
main(int argc, char **argv)
{
    bool plain = argc == 5 && strcmp(argv[4], "plain") == 0;

    if (argc >= 4 && strcmp(argv[1], "--print") == 0) {
        print_all(argv[2], g_ascii_strtoull(argv[3], NULL, 10), plain);
        return 0;
    }
    g_test_init(&argc, &argv, NULL);
    add_cases(link_cases, G_N_ELEMENTS(link_cases));
    add_cases(load_cases, G_N_ELEMENTS(load_cases));
    return g_test_run();
}

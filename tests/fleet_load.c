/*
 * Simulated loads on a large fleet, with bounds on the share of jobs that is
 * served, on starts that find no capacity, and on how evenly hosts are used.
 * "--print PART SEED" writes the results of the loads whose names contain PART
 * ("" for all); a further argument "plain" turns joined runs and the pacing of
 * starts to the link off.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/fleet_sim.h"

/* The users' large deployment. Load factor 1 takes 60% of all processors. */
static const FleetSim_Deployment large = {
    .entries = 55,
    .companions = 240,
    .halls = 5,
    .cpu_milli = 3800,
    .link_ms = 1,
    .kinds = {{"quick", 0, 309, 8, 60},
              {"long", 2, 56, 4, 900},
              {"check", 1, 900, 2, 200}},
};

/* The same with other work: fewer hosts that are larger in relation to the
 * tasks, more of the long tasks, and a periodic load. */
static const FleetSim_Deployment shifted = {
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

/* Few entries, one of them with a link that the jobs of its hall can saturate.
 * Load factor 1 takes half of all processors. */
static const FleetSim_Deployment slow_link = {
    .entries = 8,
    .companions = 54,
    .halls = 4,
    .cpu_milli = 1300,
    .link_ms = 1,
    .kinds = {{"quick", 0, 181, 8, 51},
              {"long", 2, 32.9, 4, 760},
              {"check", 1, 527, 2, 170}},
};

/* A load and the bounds on its results. */
typedef struct {
    const char *name;
    FleetSim_Load load;
    double value;          /* least surge_value */
    double refused_starts; /* most per start sent */
    double spread;         /* most */
    double added_share;    /* least; 0 if no host is added */
    double first_in_time;  /* least share of jobs that reached the first
                             entry during the surge */
} load_case;

/* The bounds are looser than the results by about a tenth. */
static const load_case load_cases[] = {
    {"usual load",
     {.deployment = &large,
      .base_factor = 0.65,
      .surge_factor = 0.65,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 4000,
      .length_ms = 4000},
     .value = 0.99,
     .refused_starts = 0.1,
     .spread = 0.2,
     .added_share = 0},
    {"a rush on one kind while hosts come",
     {.deployment = &large,
      .base_factor = 0.8,
      .surge_factor = 2,
      .surge_kind = 1,
      .surge_ms = 1000,
      .surge_end_ms = 6000,
      .length_ms = 6000,
      .added_companions = 48},
     .value = 0.98,
     .refused_starts = 0.5,
     .spread = 0.15,
     .added_share = 0.85},
    {"a burst over all capacity",
     {.deployment = &large,
      .base_factor = 1,
      .surge_factor = 1.8,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 5000,
      .length_ms = 6000},
     .value = 0.79,
     .refused_starts = 0.65,
     .spread = 0.15,
     .added_share = 0},
    {"a third of the entries away",
     {.deployment = &large,
      .base_factor = 1,
      .surge_factor = 1.3,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 5000,
      .length_ms = 5000,
      .entries_down = 0.34},
     .value = 0.98,
     .refused_starts = 0.55,
     .spread = 0.15,
     .added_share = 0},
    {"a tenth of the upstreams flapping",
     {.deployment = &large,
      .base_factor = 1,
      .surge_factor = 1.3,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 5000,
      .length_ms = 5000,
      .flapping = 0.1},
     .value = 0.9,
     .refused_starts = 0.68,
     .spread = 0.2,
     .added_share = 0},
    {"all processes begin together under load",
     {.deployment = &large,
      .base_factor = 1,
      .surge_factor = 1.2,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 4000,
      .length_ms = 4000,
      .restart_all = true},
     .value = 0.98,
     .refused_starts = 0.55,
     .spread = 0.15,
     .added_share = 0},
    {"one job of a thousand crashes upstreams",
     {.deployment = &large,
      .base_factor = 1,
      .surge_factor = 1,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 7000,
      .length_ms = 8000,
      .crashing = 0.001},
     .value = 0.98,
     .refused_starts = 0.5,
     .spread = 0.3,
     .added_share = 0},
    {"shifted: usual load and its wave",
     {.deployment = &shifted,
      .base_factor = 1,
      .surge_factor = 1,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 12000,
      .length_ms = 12000},
     .value = 0.98,
     .refused_starts = 0.15,
     .spread = 0.22,
     .added_share = 0},
    {"shifted: a hall closed for 11 s and taken back",
     {.deployment = &shifted,
      .base_factor = 1,
      .surge_factor = 1,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 12000,
      .length_ms = 14000,
      .close_ms = 1000,
      .open_ms = 12000},
     .value = 0.93,
     .refused_starts = 0.37,
     .spread = 0.6,
     .added_share = 0},
    {"shifted: a hall closed and a burst of 1.4 besides",
     {.deployment = &shifted,
      .base_factor = 1,
      .surge_factor = 1.4,
      .surge_kind = -1,
      .surge_ms = 2000,
      .surge_end_ms = 6000,
      .length_ms = 9000,
      .close_ms = 1000,
      .open_ms = 8000},
     .value = 0.88,
     .refused_starts = 0.39,
     .spread = 0.6,
     .added_share = 0},
    {"shifted: a third of the entries away in a burst",
     {.deployment = &shifted,
      .base_factor = 1,
      .surge_factor = 1.5,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 5000,
      .length_ms = 6000,
      .entries_down = 0.34},
     .value = 0.94,
     .refused_starts = 0.36,
     .spread = 0.13,
     .added_share = 0},
    {"shifted: a rush of over twice the load",
     {.deployment = &shifted,
      .base_factor = 1,
      .surge_factor = 2.2,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 5000,
      .length_ms = 6000},
     .value = 0.75,
     .refused_starts = 0.45,
     .spread = 0.12,
     .added_share = 0},
    {"a rush of over twice the load",
     {.deployment = &large,
      .base_factor = 1,
      .surge_factor = 2.2,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 5000,
      .length_ms = 6000},
     .value = 0.64,
     .refused_starts = 0.66,
     .spread = 0.16,
     .added_share = 0},
};

/* The slow link carries about 2,500 starts with a spec per second: enough for
 * the usual jobs at the first entry, too little for a burst of them. */
static const load_case link_cases[] = {
    {"narrow link: usual load",
     {.deployment = &slow_link,
      .base_factor = 1,
      .surge_factor = 1,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 5000,
      .length_ms = 5000,
      .link_mbps = 25,
      .first_entry_factor = 2},
     .value = 0.98,
     .refused_starts = 0.1,
     .spread = 0.25,
     .first_in_time = 0.98},
    {"narrow link: demand of 1.5 beside a burst of all",
     {.deployment = &slow_link,
      .base_factor = 1,
      .surge_factor = 1.4,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 5000,
      .length_ms = 5000,
      .link_mbps = 25,
      .first_entry_factor = 3},
     .value = 0.95,
     .refused_starts = 0.5,
     .spread = 0.25,
     .first_in_time = 0.95},
    {"narrow link: demand of 2.8",
     {.deployment = &slow_link,
      .base_factor = 1,
      .surge_factor = 1,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 5000,
      .length_ms = 5000,
      .link_mbps = 25,
      .first_entry_factor = 5.6},
     .value = 0.95,
     .refused_starts = 0.5,
     .spread = 0.25,
     .first_in_time = 0.95},
    {"narrow link: a tenth of the others'",
     {.deployment = &slow_link,
      .base_factor = 0.8,
      .surge_factor = 0.8,
      .surge_kind = -1,
      .surge_ms = 1000,
      .surge_end_ms = 5000,
      .length_ms = 5000,
      .link_mbps = 10,
      .first_entry_factor = 2.5},
     .value = 0.95,
     .refused_starts = 0.5,
     .spread = 0.25,
     .first_in_time = 0.95},
};

static void
print_report(const char *name, const FleetSim_Report *report)
{
    int kind;

    printf("%-42s %.3f %.3f | %.3f %5" G_GUINT64_FORMAT
           " | %.3f %.3f %.2f %4d "
           "| %3d %4d |",
           name, report->value, report->surge_value,
           (double)report->refused_starts / (double)MAX(report->starts, 1),
           report->refused_while_free, report->surge_utilisation,
           report->spread, report->added_share, (int)report->first_start_ms,
           (int)report->wait_p50_ms, (int)report->wait_p99_ms);
    for (kind = 0; kind < FLEET_SIM_KINDS; kind++) {
        const FleetSim_Outcomes *jobs = &report->kinds[kind];
        printf(" %u/%u/%u/%u", jobs->in_time, jobs->late, jobs->refused,
               jobs->given_up);
    }
    if (report->first.sent > 0) {
        printf(" | first %u/%u/%u/%u of %u, %d ms queued",
               report->first.in_time, report->first.late,
               report->first.refused, report->first.given_up,
               report->first.sent, (int)report->max_queued_ms);
        printf(", bytes a job");
        for (kind = 0; kind < FLEET_SIM_KINDS; kind++) {
            printf(" %.0f", (double)report->first_bytes[kind] /
                                (double)MAX(report->first_jobs[kind], 1));
        }
    }
    printf(" | %.0f B a start",
           (double)report->bytes / (double)MAX(report->starts, 1));
    if (report->crashes > 0) {
        printf(" | %u crashes, %u most, %u innocent", report->crashes,
               report->max_job_crashes, report->wrongly_blamed);
    }
    printf("\n");
}

/* @p plain: without joined runs and without pacing starts to the link. */
static FleetSim_Report
run_load(const load_case *one, uint64_t seed, bool plain)
{
    FleetSim_Load load = one->load;

    load.seed = seed;
    /* As for an entry whose settings give the bandwidth of its link. */
    load.join_runs = load.link_mbps > 0 && !plain;
    load.link_known = load.join_runs;
    return FleetSim_Run(&load);
}

static void
print_table(const load_case *cases, size_t count, const char *part,
            uint64_t seed, bool plain)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (strstr(cases[i].name, part) != NULL) {
            FleetSim_Report report = run_load(&cases[i], seed, plain);
            print_report(cases[i].name, &report);
        }
    }
}

static void
print_loads(const char *part, uint64_t seed, bool plain)
{
    printf("load: value, value in the surge | refused starts, refused with a "
           "tenth free | utilisation, spread, share of added hosts, their "
           "first start | wait p50, p99 | quick, long, check: in "
           "time/late/refused/given up | the same at the entry with the slow "
           "link, its longest queue\n");
    print_table(link_cases, G_N_ELEMENTS(link_cases), part, seed, plain);
    print_table(load_cases, G_N_ELEMENTS(load_cases), part, seed, plain);
}

static void
test_load(gconstpointer item)
{
    const load_case *one = item;
    FleetSim_Report report = run_load(one, 1, false);

    g_assert_cmpfloat(report.surge_value, >=, one->value);
    g_assert_cmpfloat((double)report.refused_starts, <=,
                      one->refused_starts * (double)report.starts);
    g_assert_cmpfloat(report.spread, <=, one->spread);
    g_assert_cmpfloat(report.added_share, >=, one->added_share);
    g_assert_cmpuint(report.max_job_crashes, <=, 2);
    g_assert_cmpfloat((double)report.first.in_time, >=,
                      one->first_in_time * (double)report.first.sent);
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
        print_loads(argv[2], g_ascii_strtoull(argv[3], NULL, 10), plain);
        return 0;
    }
    g_test_init(&argc, &argv, NULL);
    add_cases(link_cases, G_N_ELEMENTS(link_cases));
    add_cases(load_cases, G_N_ELEMENTS(load_cases));
    return g_test_run();
}

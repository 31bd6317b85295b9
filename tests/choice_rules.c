/*
 * How a companion is chosen for a task: hosts as a table, a choice drawn many
 * times, and the share that each host must get.
 */
#include <glib.h>
#include <string.h>

#include "base/random.h"
#include "lease/choice.h"

#define NOW_MS 10000
#define DRAWS 3000
#define MOST_HOSTS 4
/* Four deviations of a share of a half over so many draws. */
#define SHARE_ERROR 0.04
#define ESTIMATE_MS 200
#define NEED_MILLI 1000

/* One host. */
typedef struct {
    const char *hall;
    uint32_t room_milli;
    uint32_t pace_percent;
    const char *label;
    double share; /* expected */
} host_row;

/* One choice. The hosts end with one without a hall. */
typedef struct {
    const char *name;
    const char *affinity;
    const char *requirement;
    uint32_t refused;  /* starts in a row */
    int avoid;         /* host where it went wrong, or -1 */
    uint32_t together; /* tasks that are to go to few hosts */
    host_row hosts[MOST_HOSTS + 1];
} choice_case;

static Address
address_of(int host)
{
    return (Address)(host + 1) << 16;
}

static void
add_host(Fleet *fleet, int number, const host_row *row)
{
    lc_report_args report;
    lc_label labels[1];
    Fleet_Host *host;

    memset(&report, 0, sizeof(report));
    labels[0] = (char *)(uintptr_t)row->label;
    report.host.node.address = address_of(number);
    report.host.node.incarnation = 1;
    report.host.stamp_ms = NOW_MS;
    report.host.state = LC_UPSTREAM_READY;
    report.host.room.cpu_milli = row->room_milli;
    report.host.room.memory_mb = 1024;
    report.host.pace_percent = row->pace_percent;
    report.hall = (char *)(uintptr_t)row->hall;
    report.service = (char *)(uintptr_t) "service";
    report.instance = (char *)(uintptr_t) "upstream";
    report.labels.labels_len = row->label == NULL ? 0 : 1;
    report.labels.labels_val = labels;
    report.next_ms = 500;
    Fleet_TakeReport(fleet, NOW_MS, &report, &host);
}

static Active_Job *
new_job(const choice_case *one)
{
    Route route = {.name = (char *)(uintptr_t) "queue",
                   .service = (char *)(uintptr_t) "service",
                   .max_attempts = 2,
                   .target_ms = 60,
                   .stretch_percent = 160};
    LeasedJob spec = {.id = 1, .spec = g_strdup(""), .step_count = 1};
    Active_Job *job;

    spec.steps = g_new0(LeasedJob_Step, 1);
    spec.steps[0].count = 1;
    spec.steps[0].need.cpu_milli = NEED_MILLI;
    spec.steps[0].estimate_ms = ESTIMATE_MS;
    if (one->affinity != NULL) {
        g_strlcpy(spec.steps[0].affinity, one->affinity, LC_MAX_NAME);
    }
    if (one->requirement != NULL) {
        g_strlcpy(spec.steps[0].requirement, one->requirement, LC_MAX_NAME);
    }
    job = Active_New(&spec, &route, NOW_MS, NOW_MS + 1500);
    job->tasks[0].refused = one->refused;
    job->tasks[0].avoid = one->avoid < 0 ? 0 : address_of(one->avoid);
    return job;
}

static void
check(gconstpointer item)
{
    const choice_case *one = item;
    uint64_t random = Random_Seed(7);
    uint32_t drawn[MOST_HOSTS + 1] = {0}; /* the last: none */
    Active_Job *job = new_job(one);
    Fleet fleet;
    Choice choice = {.fleet = &fleet,
                     .hall = "own",
                     .now_ms = NOW_MS,
                     .random = &random,
                     .together = one->together};
    int i;

    Fleet_Init(&fleet);
    for (i = 0; one->hosts[i].hall != NULL; i++) {
        add_host(&fleet, i, &one->hosts[i]);
    }
    for (i = 0; i < DRAWS; i++) {
        const Fleet_Host *host = Choice_Host(&choice, job, &job->tasks[0]);
        drawn[host == NULL ? MOST_HOSTS
                           : (int)(host->node.address >> 16) - 1]++;
    }
    for (i = 0; one->hosts[i].hall != NULL; i++) {
        double share = (double)drawn[i] / DRAWS;
        g_assert_cmpfloat_with_epsilon(share, one->hosts[i].share,
                                       SHARE_ERROR);
        if (one->hosts[i].share == 0) {
            g_assert_cmpuint(drawn[i], ==, 0);
        }
    }
    Active_Free(job);
    Fleet_Clear(&fleet);
}

static const choice_case choice_cases[] = {
    {.name = "/choice/paces that differ by chance are alike",
     .avoid = -1,
     .hosts = {{"own", 4000, 80, NULL, 0.333},
               {"own", 4000, 100, NULL, 0.333},
               {"own", 4000, 149, NULL, 0.333}}},
    {.name = "/choice/a slow host is left while others have room",
     .avoid = -1,
     .hosts = {{"own", 1000, 100, NULL, 1}, {"own", 8000, 190, NULL, 0}}},
    {.name = "/choice/hosts get their share by the tasks that fit",
     .avoid = -1,
     .hosts = {{"own", 1900, 100, NULL, 0.25},
               {"own", 3000, 100, NULL, 0.75},
               {"own", 999, 100, NULL, 0}}},
    {.name = "/choice/the own hall comes first",
     .avoid = -1,
     .hosts = {{"own", 1000, 100, NULL, 1}, {"other", 8000, 100, NULL, 0}}},
    {.name = "/choice/another hall serves when the own is full",
     .avoid = -1,
     .hosts = {{"own", 900, 100, NULL, 0}, {"other", 8000, 100, NULL, 1}}},
    {.name = "/choice/a refused start goes anywhere",
     .refused = 1,
     .avoid = -1,
     .hosts = {{"own", 2000, 100, NULL, 0.5},
               {"other", 2000, 100, NULL, 0.5}}},
    {.name = "/choice/near its data first",
     .affinity = "rack-1",
     .avoid = -1,
     .hosts = {{"own", 8000, 100, "rack-2", 0},
               {"other", 1000, 100, "rack-1", 1}}},
    {.name = "/choice/where a task went wrong comes last",
     .avoid = 0,
     .hosts = {{"own", 8000, 100, NULL, 0}, {"other", 1000, 100, NULL, 1}}},
    {.name = "/choice/a required label is never passed over",
     .requirement = "large",
     .avoid = -1,
     .hosts = {{"own", 8000, 100, "small", 0}, {"own", 900, 100, "large", 0}}},
    {.name = "/choice/tasks that go together find the host that takes all",
     .avoid = -1,
     .together = 4,
     .hosts = {{"own", 3900, 100, NULL, 0},
               {"own", 4000, 100, NULL, 0.333},
               {"own", 8000, 100, NULL, 0.667}}},
    {.name = "/choice/or those that take most of them",
     .avoid = -1,
     .together = 4,
     .hosts = {{"own", 1000, 100, NULL, 0},
               {"own", 2000, 100, NULL, 0.4},
               {"own", 3000, 100, NULL, 0.6}}},
    {.name = "/choice/together is worth no slow host and no other hall",
     .avoid = -1,
     .together = 4,
     .hosts = {{"own", 1000, 100, NULL, 1},
               {"own", 8000, 190, NULL, 0},
               {"other", 8000, 100, NULL, 0}}},
};

int
main(int argc, char **argv)
{
    size_t i;

    g_test_init(&argc, &argv, NULL);
    for (i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
        g_test_add_data_func(choice_cases[i].name, &choice_cases[i], check);
    }
    return g_test_run();
}

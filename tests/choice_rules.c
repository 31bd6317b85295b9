/*
 * Tests of placement: for a table of hosts the companion of a task is chosen
 * many times, and each host must get its expected share.
 */
#include <glib.h>
#include <string.h>

#include "base/random.h"
#include "lease/host_choice.h"

#define NOW_MS 10000
#define DRAWS 3000
#define MAX_HOSTS 4
/* Four standard deviations of a share of one half over DRAWS draws. */
#define SHARE_ERROR 0.04
#define ESTIMATE_MS 200
#define NEED_MILLI 1000

/* One host. */
typedef struct {
    const char *hall;
    uint32_t room_milli;
    uint32_t pace_percent;
    const char *label;
    double share; /* expected share of the draws */
} host_row;

/* One test case. The host without a hall ends the list. */
typedef struct {
    const char *name;
    const char *affinity;
    const char *requirement;
    uint32_t refused;      /* consecutive refused starts */
    int avoid;             /* host where the task failed, or -1 */
    uint32_t packed_tasks; /* tasks to be placed on few hosts */
    host_row hosts[MAX_HOSTS + 1];
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
    Fleet_ApplyReport(fleet, NOW_MS, &report, &host);
}

static Active_Job *
new_job(const choice_case *test)
{
    Route route = {.name = (char *)(uintptr_t) "queue",
                   .service = (char *)(uintptr_t) "service",
                   .max_attempts = 2,
                   .target_ms = 60,
                   .stretch_percent = 160};
    LeasedJob spec = {.id = 1, .spec = g_strdup(""), .step_count = 1};
    QueueRef queue = {route.name, 0};
    Active_Job *job;

    spec.steps = g_new0(LeasedJob_Step, 1);
    spec.steps[0].count = 1;
    spec.steps[0].need.cpu_milli = NEED_MILLI;
    spec.steps[0].estimate_ms = ESTIMATE_MS;
    if (test->affinity != NULL) {
        g_strlcpy(spec.steps[0].affinity, test->affinity, LC_MAX_NAME);
    }
    if (test->requirement != NULL) {
        g_strlcpy(spec.steps[0].requirement, test->requirement, LC_MAX_NAME);
    }
    job = Active_New(&spec, &queue, &route, NOW_MS, NOW_MS + 1500);
    job->tasks[0].refused = test->refused;
    job->tasks[0].avoid = test->avoid < 0 ? 0 : address_of(test->avoid);
    return job;
}

static void
check_shares(gconstpointer item)
{
    const choice_case *test = item;
    uint64_t random = Random_Seed(7);
    uint32_t drawn[MAX_HOSTS + 1] = {0}; /* the last one: no host */
    Active_Job *job = new_job(test);
    Fleet fleet;
    HostChoice_Context context = {.fleet = &fleet,
                                  .hall = "own",
                                  .now_ms = NOW_MS,
                                  .random = &random,
                                  .packed_tasks = test->packed_tasks};
    int i;

    Fleet_Init(&fleet);
    for (i = 0; test->hosts[i].hall != NULL; i++) {
        add_host(&fleet, i, &test->hosts[i]);
    }
    for (i = 0; i < DRAWS; i++) {
        const Fleet_Host *host = HostChoice_Pick(&context, job,
                                                 &job->tasks[0]);
        drawn[host == NULL ? MAX_HOSTS
                           : (int)(host->node.address >> 16) - 1]++;
    }
    for (i = 0; test->hosts[i].hall != NULL; i++) {
        double share = (double)drawn[i] / DRAWS;
        g_assert_cmpfloat_with_epsilon(share, test->hosts[i].share,
                                       SHARE_ERROR);
        if (test->hosts[i].share == 0) {
            g_assert_cmpuint(drawn[i], ==, 0);
        }
    }
    Active_Free(job);
    Fleet_Clear(&fleet);
}

static const choice_case choice_cases[] = {
    {.name = "/choice/paces below the threshold count as equal",
     .avoid = -1,
     .hosts = {{"own", 4000, 80, NULL, 0.333},
               {"own", 4000, 100, NULL, 0.333},
               {"own", 4000, 149, NULL, 0.333}}},
    {.name = "/choice/a slow host is not used while others have room",
     .avoid = -1,
     .hosts = {{"own", 1000, 100, NULL, 1}, {"own", 8000, 190, NULL, 0}}},
    {.name = "/choice/shares are proportional to the tasks that fit",
     .avoid = -1,
     .hosts = {{"own", 1900, 100, NULL, 0.25},
               {"own", 3000, 100, NULL, 0.75},
               {"own", 999, 100, NULL, 0}}},
    {.name = "/choice/the own hall is preferred",
     .avoid = -1,
     .hosts = {{"own", 1000, 100, NULL, 1}, {"other", 8000, 100, NULL, 0}}},
    {.name = "/choice/another hall is used when the own is full",
     .avoid = -1,
     .hosts = {{"own", 900, 100, NULL, 0}, {"other", 8000, 100, NULL, 1}}},
    {.name = "/choice/a refused start may go to any hall",
     .refused = 1,
     .avoid = -1,
     .hosts = {{"own", 2000, 100, NULL, 0.5},
               {"other", 2000, 100, NULL, 0.5}}},
    {.name = "/choice/hosts near the data are preferred",
     .affinity = "rack-1",
     .avoid = -1,
     .hosts = {{"own", 8000, 100, "rack-2", 0},
               {"other", 1000, 100, "rack-1", 1}}},
    {.name = "/choice/the host where a task failed is the last resort",
     .avoid = 0,
     .hosts = {{"own", 8000, 100, NULL, 0}, {"other", 1000, 100, NULL, 1}}},
    {.name = "/choice/a required label is never ignored",
     .requirement = "large",
     .avoid = -1,
     .hosts = {{"own", 8000, 100, "small", 0}, {"own", 900, 100, "large", 0}}},
    {.name = "/choice/tasks placed together go to a host that fits all",
     .avoid = -1,
     .packed_tasks = 4,
     .hosts = {{"own", 3900, 100, NULL, 0},
               {"own", 4000, 100, NULL, 0.333},
               {"own", 8000, 100, NULL, 0.667}}},
    {.name = "/choice/tasks placed together go to hosts that fit most of them",
     .avoid = -1,
     .packed_tasks = 4,
     .hosts = {{"own", 1000, 100, NULL, 0},
               {"own", 2000, 100, NULL, 0.4},
               {"own", 3000, 100, NULL, 0.6}}},
    {.name = "/choice/placing together justifies no slow host or other hall",
     .avoid = -1,
     .packed_tasks = 4,
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
        g_test_add_data_func(choice_cases[i].name, &choice_cases[i],
                             check_shares);
    }
    return g_test_run();
}

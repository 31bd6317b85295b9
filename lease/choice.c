#include "lease/choice.h"

#include <string.h>

#include "base/random.h"
#include "lease/resources.h"
#include "lease/runner.h"

#define PERCENT 100
#define SLOW_PERCENT 200
/* A companion may be late with its next word by so much. */
#define SILENT_MS 600
/* A pace below this is taken as normal: the mean of estimates that are wrong
 * by 40% each moves so far by chance, and who follows it sends everything to
 * the same few hosts. Chosen below SLOW_PERCENT. */
#define NORMAL_PERCENT 150
/* Costs in ms. */
#define OTHER_HALL_MS 1
/* A host on trial is the last resort, but for one task in so many. */
#define TRIAL_MS 400
#define TRIAL_ONE_IN 16
/* Where a task went wrong it goes again only if nothing else is free. */
#define AVOID_MS 100
/* Time that reading data from elsewhere adds, in percent. */
#define FAR_PERCENT 50

bool
Choice_IsHeard(const Fleet_Host *host, int64_t now_ms)
{
    int64_t promised_ms = host->reported_ms + host->next_ms;

    return now_ms < MAX(host->received_ms, promised_ms) + SILENT_MS;
}

bool
Choice_IsWell(const Fleet_Host *host, int64_t now_ms)
{
    return (host->state == LC_UPSTREAM_READY ||
            host->state == LC_UPSTREAM_TRIAL) &&
           !host->suspect && Choice_IsHeard(host, now_ms) &&
           now_ms >= host->avoid_until_ms;
}

bool
Choice_IsOpen(const Fleet_Host *host, int64_t now_ms)
{
    return !host->closed && Choice_IsWell(host, now_ms);
}

/* Tasks of the step that run at an address. */
static uint32_t
count_together(const Active_Job *job, const Active_Task *task, Address address)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < job->task_count; i++) {
        const Active_Task *other = &job->tasks[i];
        if (other != task && other->id.step == task->id.step &&
            other->id.occurrence == task->id.occurrence &&
            (other->done || (other->state != ACTIVE_WAITING &&
                             other->state != ACTIVE_BLOCKED)) &&
            other->host.address == address) {
            count++;
        }
    }
    return count;
}

/* Whether the task would miss its objective there, but not elsewhere. */
static bool
is_too_slow(const Choice *choice, const Active_Job *job,
            const LeasedJob_Step *step, const Fleet_Host *host)
{
    int64_t left_ms = job->objective_ms - choice->now_ms;
    int64_t there_ms = (int64_t)step->estimate_ms * host->pace_percent /
                       PERCENT;

    return host->pace_percent > SLOW_PERCENT && there_ms > left_ms &&
           step->estimate_ms < left_ms;
}

static bool
may_run(const Choice *choice, const Active_Job *job, const Active_Task *task,
        const Fleet_Host *host)
{
    const LeasedJob_Step *step = Active_Step(job, task);

    if (!Choice_IsOpen(host, choice->now_ms) ||
        !Resources_Fit(&step->need, &host->room) ||
        g_strcmp0(host->service, job->service) != 0 ||
        !Fleet_HasLabel(host, step->requirement)) {
        return false;
    }
    if (job->kept && host->held >= RUNNER_MOST_HELD) {
        return false; /* their ends could not be told */
    }
    if (is_too_slow(choice, job, step, host)) {
        return false;
    }
    return step->most_together == 0 ||
           count_together(job, task, host->node.address) < step->most_together;
}

/* Expected time there in ms, and what makes it worse. */
static int64_t
cost_at(const Choice *choice, const Active_Job *job, const Active_Task *task,
        const Fleet_Host *host)
{
    const LeasedJob_Step *step = Active_Step(job, task);
    uint32_t pace = host->pace_percent < NORMAL_PERCENT ? PERCENT
                                                        : host->pace_percent;
    int64_t work_ms = (int64_t)step->estimate_ms * pace / PERCENT;
    int64_t cost = work_ms;

    if (!Fleet_HasLabel(host, step->affinity)) {
        cost += work_ms * FAR_PERCENT / PERCENT;
    }
    if (task->avoid == host->node.address) {
        cost += AVOID_MS + step->estimate_ms;
    }
    if (host->state == LC_UPSTREAM_TRIAL &&
        Random_Next(choice->random) % TRIAL_ONE_IN != 0) {
        cost += TRIAL_MS;
    }
    if (task->refused == 0 && g_strcmp0(host->hall, choice->hall) != 0) {
        cost += OTHER_HALL_MS;
    }
    return cost;
}

/* Companions of the least cost so far, one of which is drawn. */
typedef struct {
    int64_t cost_ms;
    uint32_t calls; /* that start the tasks which go together */
    uint64_t fits;  /* tasks that fit there, of all of them */
    Fleet_Host *drawn;
} Draw;

/* Each is drawn with a chance in proportion to the tasks that fit there: what
 * is believed of it is as old as its last message, and the more room it had
 * the likelier there is still some. A strict order sends all entries to the
 * same hosts: of all starts at usual load 0.68 found no room, 0.04 as drawn
 * (55 entries, 240 companions, tests/fleet_load). */
static void
add_to_draw(Draw *draw, const Choice *choice, Fleet_Host *host,
            int64_t cost_ms, uint32_t fits)
{
    uint32_t calls = choice->together / fits + (choice->together % fits != 0);

    if (cost_ms > draw->cost_ms ||
        (cost_ms == draw->cost_ms && calls > draw->calls)) {
        return;
    }
    if (cost_ms < draw->cost_ms || calls < draw->calls) {
        draw->cost_ms = cost_ms;
        draw->calls = calls;
        draw->fits = 0;
    }
    draw->fits += fits;
    if (Random_Next(choice->random) % draw->fits < fits) {
        draw->drawn = host;
    }
}

Fleet_Host *
Choice_Host(const Choice *choice, const Active_Job *job,
            const Active_Task *task)
{
    const lc_resources *need = &Active_Step(job, task)->need;
    Draw draw = {.cost_ms = INT64_MAX};
    guint i;

    if (choice->together > 0 && choice->with != NULL &&
        choice->with->node.address != task->avoid &&
        may_run(choice, job, task, choice->with)) {
        return choice->with;
    }
    for (i = 0; i < choice->fleet->hosts->len; i++) {
        Fleet_Host *host = g_ptr_array_index(choice->fleet->hosts, i);
        if (may_run(choice, job, task, host)) {
            add_to_draw(&draw, choice, host, cost_at(choice, job, task, host),
                        Resources_Count(need, &host->room));
        }
    }
    return draw.drawn;
}

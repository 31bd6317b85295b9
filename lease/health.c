#include "lease/health.h"

#include <glib.h>
#include <stdlib.h>

#define PERCENT 100
/* Weight of one more task in the mean pace. */
#define PACE_WEIGHT 8
#define PACE_MOST 2000
/* Ends of different jobs in a row before an upstream is on trial. */
#define BAD_LIMIT 3
#define STALL_LIMIT 2
/* Tasks that end well before a trial is over. */
#define GOOD_LIMIT 2
#define TRIAL_GAP_MS 250
/* A run whose percentage stands still for so long, and a part of its estimate
 * besides, would take several times its estimate, however wrong that is. */
#define HANG_MS 160
#define HANG_PART 20
/* Runs younger than this tell nothing of their pace. */
#define YOUNG_MS 60
/* Different jobs that must agree, and from which pace on. */
#define JOBS_AGREE 2
#define SLOW_PERCENT 300
/* What beginning again elsewhere costs. */
#define AGAIN_MS 60
#define FADE_EVERY_MS 100
#define FADE_PART 32

Health
Health_New(void)
{
    Health health = {.pace_percent = HEALTH_PACE_PERCENT};

    return health;
}

static void
note_pace(Health *health, uint32_t pace)
{
    pace = MIN(pace, PACE_MOST);
    health->pace_percent = (health->pace_percent * (PACE_WEIGHT - 1) + pace) /
                           PACE_WEIGHT;
}

static bool
begin_trial(Health *health, int64_t now_ms)
{
    bool begins = !health->trial;

    health->trial = true;
    health->good_in_row = 0;
    health->next_trial_ms = now_ms + TRIAL_GAP_MS;
    return begins;
}

bool
Health_Good(Health *health, uint32_t ran_ms, uint32_t estimate_ms)
{
    health->bad_in_row = 0;
    if (estimate_ms > 0) {
        note_pace(health, ran_ms * PERCENT / estimate_ms);
    }
    if (!health->trial) {
        return false;
    }
    health->good_in_row++;
    health->next_trial_ms = 0;
    if (health->good_in_row < GOOD_LIMIT) {
        return false;
    }
    health->trial = false;
    return true;
}

bool
Health_Bad(Health *health, int64_t now_ms, uint64_t job)
{
    if (health->bad_in_row > 0 && health->last_bad_job == job) {
        return false;
    }
    health->bad_in_row++;
    health->last_bad_job = job;
    if (health->trial || health->bad_in_row >= BAD_LIMIT) {
        return begin_trial(health, now_ms);
    }
    return false;
}

bool
Health_Stalled(Health *health, int64_t now_ms)
{
    health->bad_in_row++;
    if (health->trial || health->bad_in_row >= STALL_LIMIT) {
        return begin_trial(health, now_ms);
    }
    return false;
}

bool
Health_Admits(const Health *health, int64_t now_ms, uint32_t running)
{
    return !health->trial || (running == 0 && now_ms >= health->next_trial_ms);
}

void
Health_Started(Health *health, int64_t now_ms)
{
    if (health->trial) {
        health->next_trial_ms = now_ms + TRIAL_GAP_MS;
    }
}

static uint32_t
pace_of(const Health_Progress *run)
{
    uint64_t whole_ms = (uint64_t)run->elapsed_ms * PERCENT /
                        MAX(run->percent, 1);

    return (uint32_t)MIN(whole_ms * PERCENT / MAX(run->estimate_ms, 1),
                         PACE_MOST);
}

/* By job, then the fastest run of each first. */
static gint
compare_runs(gconstpointer a, gconstpointer b)
{
    const Health_Progress *left = a;
    const Health_Progress *right = b;

    if (left->job != right->job) {
        return left->job < right->job ? -1 : 1;
    }
    return (gint)pace_of(left) - (gint)pace_of(right);
}

static gint
compare_paces(gconstpointer a, gconstpointer b)
{
    return (gint) * (const uint32_t *)a - (gint) * (const uint32_t *)b;
}

/* Paces of different jobs, each by its fastest run, in order. */
static GArray *
paces_by_job(Health_Progress *runs, uint32_t count)
{
    GArray *paces = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    uint32_t i;

    if (count > 1) {
        qsort(runs, count, sizeof(runs[0]), compare_runs);
    }
    for (i = 0; i < count; i++) {
        uint32_t pace = pace_of(&runs[i]);
        if (runs[i].elapsed_ms >= YOUNG_MS &&
            (i == 0 || runs[i].job != runs[i - 1].job)) {
            g_array_append_val(paces, pace);
        }
    }
    g_array_sort(paces, compare_paces);
    return paces;
}

uint32_t
Health_TakeProgress(Health *health, Health_Progress *runs, uint32_t count)
{
    GArray *paces = paces_by_job(runs, count);
    uint32_t slow = 0;

    if (paces->len >= JOBS_AGREE) {
        uint32_t median = g_array_index(paces, uint32_t, (paces->len - 1) / 2);
        if (median >= SLOW_PERCENT) {
            note_pace(health, median);
            slow = median;
        }
    }
    g_array_unref(paces);
    return slow;
}

void
Health_Fade(Health *health, int64_t now_ms)
{
    uint32_t above;

    if (now_ms - health->faded_ms < FADE_EVERY_MS ||
        health->pace_percent <= HEALTH_PACE_PERCENT) {
        return;
    }
    above = health->pace_percent - HEALTH_PACE_PERCENT;
    health->faded_ms = now_ms;
    health->pace_percent -= MAX(above / FADE_PART, 1);
}

bool
Health_Hangs(int64_t unchanged_ms, uint32_t estimate_ms)
{
    return unchanged_ms > HANG_MS + estimate_ms / HANG_PART;
}

bool
Health_BetterElsewhere(const Health_Progress *run, uint32_t slow_percent)
{
    uint64_t whole_ms = (uint64_t)run->elapsed_ms * PERCENT /
                        MAX(run->percent, 1);
    uint64_t elsewhere_ms = whole_ms * PERCENT / slow_percent;

    return whole_ms - run->elapsed_ms > elsewhere_ms + AGAIN_MS;
}

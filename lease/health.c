#include "lease/health.h"

#include <glib.h>
#include <stdlib.h>

#define PERCENT 100
/* A new sample has a weight of 1 / PACE_WEIGHT in the mean pace. */
#define PACE_WEIGHT 8
#define MAX_PACE_PERCENT 2000
/* Consecutive failures of different jobs, and stalls, that begin a trial. */
#define FAILURE_LIMIT 3
#define STALL_LIMIT 2
/* Successful tasks that end a trial. */
#define SUCCESS_LIMIT 2
#define TRIAL_INTERVAL_MS 250
/* A run hangs if its percentage has not changed for HANG_MS plus its estimate
 * / HANG_ESTIMATE_DIVISOR. At that rate it would take several times its
 * estimate, however wrong that is. */
#define HANG_MS 160
#define HANG_ESTIMATE_DIVISOR 20
/* Runs are ignored in the pace before this time has elapsed. */
#define MIN_ELAPSED_MS 60
/* An upstream is slow if this many jobs agree and their median pace is at
 * least SLOW_PERCENT. */
#define MIN_AGREEING_JOBS 2
#define SLOW_PERCENT 300
/* Time lost by a restart on another upstream. */
#define RESTART_COST_MS 60
#define DECAY_INTERVAL_MS 100
#define DECAY_DIVISOR 32

Health
Health_New(void)
{
    Health health = {.pace_percent = HEALTH_PACE_PERCENT};

    return health;
}

static void
add_pace_sample(Health *health, uint32_t pace)
{
    pace = MIN(pace, MAX_PACE_PERCENT);
    health->pace_percent = (health->pace_percent * (PACE_WEIGHT - 1) + pace) /
                           PACE_WEIGHT;
}

static bool
begin_trial(Health *health, int64_t now_ms)
{
    bool begins = !health->trial;

    health->trial = true;
    health->consecutive_successes = 0;
    health->next_trial_ms = now_ms + TRIAL_INTERVAL_MS;
    return begins;
}

bool
Health_RecordSuccess(Health *health, uint32_t ran_ms, uint32_t estimate_ms)
{
    health->consecutive_failures = 0;
    if (estimate_ms > 0) {
        add_pace_sample(health, ran_ms * PERCENT / estimate_ms);
    }
    if (!health->trial) {
        return false;
    }
    health->consecutive_successes++;
    health->next_trial_ms = 0;
    if (health->consecutive_successes < SUCCESS_LIMIT) {
        return false;
    }
    health->trial = false;
    return true;
}

bool
Health_RecordFailure(Health *health, int64_t now_ms, uint64_t job)
{
    if (health->consecutive_failures > 0 && health->last_failed_job == job) {
        return false;
    }
    health->consecutive_failures++;
    health->last_failed_job = job;
    if (health->trial || health->consecutive_failures >= FAILURE_LIMIT) {
        return begin_trial(health, now_ms);
    }
    return false;
}

bool
Health_RecordStall(Health *health, int64_t now_ms)
{
    health->consecutive_failures++;
    if (health->trial || health->consecutive_failures >= STALL_LIMIT) {
        return begin_trial(health, now_ms);
    }
    return false;
}

bool
Health_Admits(const Health *health, int64_t now_ms, uint32_t recent)
{
    return !health->trial || (recent == 0 && now_ms >= health->next_trial_ms);
}

void
Health_RecordStart(Health *health, int64_t now_ms)
{
    if (health->trial) {
        health->next_trial_ms = now_ms + TRIAL_INTERVAL_MS;
    }
}

static uint32_t
pace_of(const Health_Progress *run)
{
    uint64_t total_ms = (uint64_t)run->elapsed_ms * PERCENT /
                        MAX(run->percent, 1);

    return (uint32_t)MIN(total_ms * PERCENT / MAX(run->estimate_ms, 1),
                         MAX_PACE_PERCENT);
}

/* Sorts by job, and the runs of one job by pace, fastest first. */
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

/* Returns the pace of each job's fastest run, sorted. */
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
        if (runs[i].elapsed_ms >= MIN_ELAPSED_MS &&
            (i == 0 || runs[i].job != runs[i - 1].job)) {
            g_array_append_val(paces, pace);
        }
    }
    g_array_sort(paces, compare_paces);
    return paces;
}

uint32_t
Health_ApplyProgress(Health *health, Health_Progress *runs, uint32_t count)
{
    GArray *paces = paces_by_job(runs, count);
    uint32_t slow = 0;

    if (paces->len >= MIN_AGREEING_JOBS) {
        uint32_t median = g_array_index(paces, uint32_t, (paces->len - 1) / 2);
        if (median >= SLOW_PERCENT) {
            add_pace_sample(health, median);
            slow = median;
        }
    }
    g_array_unref(paces);
    return slow;
}

void
Health_Decay(Health *health, int64_t now_ms)
{
    uint32_t excess;

    if (now_ms - health->decayed_ms < DECAY_INTERVAL_MS ||
        health->pace_percent <= HEALTH_PACE_PERCENT) {
        return;
    }
    excess = health->pace_percent - HEALTH_PACE_PERCENT;
    health->decayed_ms = now_ms;
    health->pace_percent -= MAX(excess / DECAY_DIVISOR, 1);
}

bool
Health_IsHung(int64_t unchanged_ms, uint32_t estimate_ms)
{
    return unchanged_ms > HANG_MS + estimate_ms / HANG_ESTIMATE_DIVISOR;
}

bool
Health_IsFasterElsewhere(const Health_Progress *run, uint32_t slow_percent)
{
    uint64_t total_ms = (uint64_t)run->elapsed_ms * PERCENT /
                        MAX(run->percent, 1);
    uint64_t elsewhere_ms = total_ms * PERCENT / slow_percent;

    return total_ms - run->elapsed_ms > elsewhere_ms + RESTART_COST_MS;
}

#include "lease/health.h"

#include <glib.h>

#define PERCENT 100
/* Weight of one more task in the mean pace. */
#define PACE_WEIGHT 8
#define PACE_MOST 2000
/* Ends of different jobs in a row before an upstream is on trial. */
#define BAD_LIMIT 3
/* Tasks that end well before a trial is over. */
#define GOOD_LIMIT 2
#define TRIAL_GAP_MS 250
#define TRIAL_PACE_PERCENT 300
/* Estimates are rough: a run may take so much longer, and this besides. */
#define STALL_PERCENT 250
#define STALL_SLACK_MS 150
#define NO_PROGRESS_MS 120

Health
Health_New(void)
{
    Health health = {.pace_percent = HEALTH_PACE_PERCENT};

    return health;
}

static void
note_pace(Health *health, uint32_t ran_ms, uint32_t estimate_ms)
{
    uint32_t pace = ran_ms * PERCENT / MAX(estimate_ms, 1);

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
        note_pace(health, ran_ms, estimate_ms);
    }
    if (!health->trial) {
        return false;
    }
    if (estimate_ms > 0 &&
        ran_ms > estimate_ms * TRIAL_PACE_PERCENT / PERCENT) {
        health->good_in_row = 0;
        return false;
    }
    health->good_in_row++;
    health->next_trial_ms = 0;
    if (health->good_in_row < GOOD_LIMIT) {
        return false;
    }
    health->trial = false;
    health->pace_percent = MIN(health->pace_percent, HEALTH_PACE_PERCENT * 2);
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
    health->pace_percent = MIN(health->pace_percent * 3 / 2, PACE_MOST);
    health->bad_in_row++;
    if (health->trial || health->bad_in_row >= 2) {
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

bool
Health_IsStalled(const Health *health, uint32_t elapsed_ms, uint32_t percent,
                 uint32_t estimate_ms)
{
    uint32_t projected = elapsed_ms * PERCENT / MAX(percent, 1);

    (void)health;
    if (percent >= 90) {
        return false;
    }
    if (percent == 0) {
        return elapsed_ms > NO_PROGRESS_MS + estimate_ms / 10;
    }
    return elapsed_ms > NO_PROGRESS_MS &&
           projected > estimate_ms * STALL_PERCENT / PERCENT + STALL_SLACK_MS;
}

#include "lease/runner_state.h"

#include <string.h>

#define TOKEN_STEP 5000
/* A clock this far below its expected lower bound was reset. Above the drift
 * of at most 2% over the longest wait for an answer. */
#define CLOCK_BACK_MS 100

void
RunnerUpstream_Log(const Runner *runner, Event_Id id, const char *reason)
{
    if (Event_Admit(id)) {
        runner->ports->event(
            runner->context, id,
            json_pack("{s:s, s:s, s:i, s:i}", "upstream", runner->up.instance,
                      "detail", reason, "tasks", (int)runner->active_tasks,
                      "pace_percent", (int)runner->health.pace_percent));
    }
}

int64_t
RunnerUpstream_Clock(const Runner *runner, int64_t now_ms)
{
    return runner->up.clock_ms +
           LeaseTiming_MinUpstreamElapsedMs(now_ms - runner->up.clock_read_ms);
}

void
RunnerUpstream_TakeClock(Runner *runner, int64_t now_ms, int64_t clock_ms)
{
    if (clock_ms > 0 && clock_ms >= RunnerUpstream_Clock(runner, now_ms)) {
        runner->up.clock_ms = clock_ms;
        runner->up.clock_read_ms = now_ms;
    }
}

/* ---- incarnations ---- */

/* Resets all counters and observations of the earlier incarnation. */
static void
reset_for_incarnation(Runner *runner, int64_t now_ms, int64_t born_ms)
{
    RunnerDurable_ReleaseAll(runner);
    runner->up.incarnation++;
    runner->up.born_ms = born_ms;
    runner->up.earlier_drained = runner->up.draining;
    runner->up.sequence = 0;
    runner->up.inventoried = false;
    runner->up.last_seen = 0;
    runner->up.acknowledged = 0;
    runner->up.clock_ms = 0;
    runner->up.clock_read_ms = now_ms;
    runner->up.doubtful = false;
    runner->up.refused = false;
    runner->consecutive_misses = 0;
    runner->poll_count = 0;
    memset(&runner->answers, 0, sizeof(runner->answers));
    runner->next_poll_ms = now_ms;
    runner->health = Health_New();
    runner->version++;
}

/* Switches to an incarnation with another instance name. Orders carry the
 * name, so the new one executes none that were sent to the old one. */
static void
switch_instance(Runner *runner, int64_t now_ms,
                const Runner_Heartbeat *heartbeat)
{
    bool first = !runner->up.known && runner->up.instance[0] == '\0';

    RunnerTask_LoseAll(runner, now_ms, !runner->up.draining);
    reset_for_incarnation(runner, now_ms, heartbeat->born_ms);
    runner->hold_until_ms = 0;
    g_free(runner->up.instance);
    runner->up.instance = g_strdup(heartbeat->instance);
    RunnerUpstream_Log(runner, EVENT_UPSTREAM_KNOWN,
                       first ? "first heartbeat" : "new incarnation");
}

/* Switches to a new incarnation with the same instance name, which may execute
 * an order sent to the earlier one although the order's deadline means nothing
 * on its clock. From now on such orders are refused because of their lower
 * token. Those executed before are listed and stopped, see
 * is_certainly_over() in runner_poll.c. Until then, an unreachable upstream
 * may hold such a run for the longest hold that it grants. */
static void
restart_instance(Runner *runner, int64_t now_ms, int64_t born_ms)
{
    reset_for_incarnation(runner, now_ms, born_ms);
    runner->token++;
    runner->up.known = false;
    if (runner->active_tasks > 0) {
        RunnerPoll_NoteHold(runner, now_ms,
                            runner->config.timing.hold_limit_ms);
    }
    RunnerUpstream_Log(runner, EVENT_UPSTREAM_KNOWN,
                       "started again under its name");
}

/* ---- successors ---- */

static void
drop_successor(Runner *runner)
{
    Runner_Successor *successor = &runner->successor;

    g_free(successor->instance);
    g_free(successor->service);
    g_strfreev(successor->labels);
    memset(successor, 0, sizeof(*successor));
}

static void
store_successor(Runner *runner, int64_t now_ms,
                const Runner_Heartbeat *heartbeat)
{
    Runner_Successor *successor = &runner->successor;

    drop_successor(runner);
    successor->pending = true;
    successor->after_poll = runner->last_poll_id;
    successor->instance = g_strdup(heartbeat->instance);
    successor->service = g_strdup(heartbeat->service);
    successor->labels = g_strdupv((char **)heartbeat->labels);
    successor->heartbeat = *heartbeat;
    successor->heartbeat.instance = successor->instance;
    successor->heartbeat.service = successor->service;
    successor->heartbeat.labels = (const char *const *)successor->labels;
    runner->next_poll_ms = now_ms;
    RunnerPoll_Send(runner, now_ms);
}

static void
ignore_heartbeat(Runner *runner, const Runner_Heartbeat *heartbeat,
                 const char *reason)
{
    Counter_Add(&runner->counters, COUNTER_HEARTBEATS_LATE, 1);
    if (Event_Admit(EVENT_HEARTBEAT_LATE)) {
        runner->ports->event(
            runner->context, EVENT_HEARTBEAT_LATE,
            json_pack("{s:s, s:I, s:I, s:s, s:s, s:I, s:I}", "upstream",
                      heartbeat->instance, "born_ms",
                      (json_int_t)heartbeat->born_ms, "sequence",
                      (json_int_t)heartbeat->sequence, "detail", reason,
                      "in_force", runner->up.instance, "in_force_born_ms",
                      (json_int_t)runner->up.born_ms, "in_force_sequence",
                      (json_int_t)runner->up.sequence));
    }
}

void
RunnerUpstream_Confirm(Runner *runner, uint64_t poll_id)
{
    Runner_Successor *successor = &runner->successor;

    if (successor->pending && poll_id > successor->after_poll) {
        ignore_heartbeat(runner, &successor->heartbeat,
                         "another incarnation answers at this address");
        DeadIncarnations_Add(&runner->dead_incarnations, successor->instance,
                             successor->heartbeat.born_ms);
        drop_successor(runner);
    }
}

/* ---- heartbeats ---- */

static void
take_state(Runner *runner, int64_t now_ms, const Runner_Heartbeat *heartbeat)
{
    bool draining = heartbeat->reported_state == RUNNER_UPSTREAM_DRAINING;

    if (draining != runner->up.draining) {
        RunnerUpstream_Log(runner, EVENT_UPSTREAM_DRAINING,
                           draining ? "accepts no more tasks"
                                    : "accepts tasks again");
    }
    runner->version++;
    runner->up.known = true;
    runner->up.draining = draining;
    runner->up.sequence = heartbeat->sequence;
    runner->up.heard_ms = now_ms;
    runner->up.capacity = heartbeat->capacity;
    g_free(runner->up.service);
    runner->up.service = g_strdup(heartbeat->service);
    g_strfreev(runner->up.labels);
    runner->up.labels = g_strdupv((char **)heartbeat->labels);
    RunnerUpstream_TakeClock(runner, now_ms, heartbeat->clock_ms);
    RunnerPoll_Send(runner, now_ms);
}

static void
adopt_incarnation(Runner *runner, int64_t now_ms,
                  const Runner_Heartbeat *heartbeat)
{
    if (strcmp(runner->up.instance, heartbeat->instance) == 0) {
        restart_instance(runner, now_ms, heartbeat->born_ms);
    }
    else {
        switch_instance(runner, now_ms, heartbeat);
    }
    take_state(runner, now_ms, heartbeat);
}

/* If the current incarnation may be alive, the upstream is polled first. Only
 * the upstream's own answer marks an incarnation as permanently gone, since
 * the heartbeat may be a late one of an incarnation that is dead. */
static void
take_other_heartbeat(Runner *runner, int64_t now_ms,
                     const Runner_Heartbeat *heartbeat)
{
    if (runner->up.known && !runner->up.doubtful) {
        store_successor(runner, now_ms, heartbeat);
        return;
    }
    drop_successor(runner);
    adopt_incarnation(runner, now_ms, heartbeat);
}

static bool
is_current(const Runner *runner, const Runner_Heartbeat *heartbeat)
{
    return strcmp(runner->up.instance, heartbeat->instance) == 0 &&
           (heartbeat->born_ms == runner->up.born_ms ||
            runner->up.born_ms == 0);
}

/* Returns the reason to ignore a heartbeat, or NULL. An upstream that has
 * reported its start time continues to do so, and never changes its service
 * within one incarnation. */
static const char *
reason_to_ignore(const Runner *runner, const Runner_Heartbeat *heartbeat)
{
    if (DeadIncarnations_Contains(&runner->dead_incarnations,
                                  heartbeat->instance, heartbeat->born_ms)) {
        return "this incarnation is known to be gone";
    }
    if (strcmp(runner->up.instance, heartbeat->instance) == 0 &&
        heartbeat->born_ms == 0 && runner->up.born_ms != 0) {
        return "has no start time, unlike the current incarnation";
    }
    if (!is_current(runner, heartbeat)) {
        return NULL;
    }
    if (heartbeat->sequence <= runner->up.sequence) {
        return "its sequence number is not above the last one";
    }
    if (runner->up.known &&
        strcmp(runner->up.service, heartbeat->service) != 0) {
        return "names another service than the current incarnation";
    }
    return NULL;
}

void
Runner_OnHeartbeat(Runner *runner, int64_t now_ms,
                   const Runner_Heartbeat *heartbeat)
{
    const char *reason = reason_to_ignore(runner, heartbeat);

    if (reason != NULL) {
        ignore_heartbeat(runner, heartbeat, reason);
    }
    else if (!is_current(runner, heartbeat)) {
        take_other_heartbeat(runner, now_ms, heartbeat);
    }
    else {
        runner->up.born_ms = heartbeat->born_ms;
        take_state(runner, now_ms, heartbeat);
    }
}

static void
lose_upstream(Runner *runner, int64_t now_ms, const char *reason, bool crashed)
{
    RunnerUpstream_Log(runner, EVENT_UPSTREAM_LOST, reason);
    RunnerTask_LoseAll(runner, now_ms, crashed);
    runner->up.known = false;
    runner->version++;
}

/* A leave message without a start time may be a late one of an earlier
 * incarnation. Unless the upstream has reported that it drains, it is polled
 * to find out. */
static bool
may_be_earlier_incarnation(const Runner *runner, int64_t born_ms)
{
    return born_ms == 0 && runner->up.born_ms != 0 && !runner->up.draining;
}

void
Runner_OnUpstreamGone(Runner *runner, int64_t now_ms, const char *instance,
                      int64_t born_ms)
{
    bool same = strcmp(runner->up.instance, instance) == 0;

    if (born_ms == 0 && same && !may_be_earlier_incarnation(runner, born_ms)) {
        born_ms = runner->up.born_ms;
    }
    if (same && may_be_earlier_incarnation(runner, born_ms)) {
        RunnerUpstream_Suspect(runner,
                               "it or an earlier incarnation of it has left");
        RunnerPoll_Send(runner, now_ms);
        return;
    }
    DeadIncarnations_Add(&runner->dead_incarnations, instance, born_ms);
    if (runner->up.known && same && born_ms == runner->up.born_ms) {
        lose_upstream(runner, now_ms, "the upstream has left", false);
    }
}

void
RunnerUpstream_Suspect(Runner *runner, const char *reason)
{
    if (runner->up.doubtful) {
        return;
    }
    if (runner->up.known) {
        RunnerUpstream_Log(runner, EVENT_UPSTREAM_LOST, reason);
    }
    runner->up.doubtful = true;
    runner->version++;
}

void
RunnerUpstream_NoteRefused(Runner *runner)
{
    RunnerUpstream_Suspect(runner, "connection failed");
    runner->up.refused = true;
}

void
RunnerUpstream_CheckClock(Runner *runner, int64_t now_ms, int64_t sent_ms,
                          int64_t clock_ms)
{
    int64_t least_ms = RunnerUpstream_Clock(runner, now_ms) -
                       (now_ms - sent_ms) - CLOCK_BACK_MS;

    if (clock_ms > 0 && clock_ms < least_ms && runner->up.born_ms != 0) {
        RunnerUpstream_Suspect(runner, "upstream clock has gone back");
    }
}

bool
RunnerUpstream_CheckStartTime(Runner *runner, int64_t now_ms, int64_t born_ms)
{
    Runner_Successor *next = &runner->successor;

    if (born_ms == 0 || born_ms == runner->up.born_ms) {
        return false;
    }
    if (runner->up.born_ms == 0) {
        runner->up.born_ms = born_ms;
        return false;
    }
    DeadIncarnations_Add(&runner->dead_incarnations, runner->up.instance,
                         runner->up.born_ms);
    restart_instance(runner, now_ms, born_ms);
    if (next->pending && next->heartbeat.born_ms == born_ms &&
        strcmp(next->instance, runner->up.instance) == 0) {
        take_state(runner, now_ms, &next->heartbeat);
        drop_successor(runner);
    }
    return true;
}

void
RunnerUpstream_OnOtherIncarnation(Runner *runner, int64_t now_ms)
{
    Runner_Successor next = runner->successor;

    if (!runner->up.known) {
        g_free(runner->up.instance);
        runner->up.instance = g_strdup("");
        return;
    }
    lose_upstream(runner, now_ms, "another incarnation answers",
                  !runner->up.draining);
    DeadIncarnations_Add(&runner->dead_incarnations, runner->up.instance,
                         runner->up.born_ms);
    if (next.pending && strcmp(next.instance, runner->up.instance) != 0) {
        switch_instance(runner, now_ms, &next.heartbeat);
        take_state(runner, now_ms, &next.heartbeat);
    }
    drop_successor(runner);
}

void
RunnerUpstream_RaiseToken(Runner *runner)
{
    runner->token += TOKEN_STEP;
}

void
RunnerUpstream_Clear(Runner *runner)
{
    drop_successor(runner);
    DeadIncarnations_Clear(&runner->dead_incarnations);
    g_free(runner->up.instance);
    g_free(runner->up.service);
    g_strfreev(runner->up.labels);
}

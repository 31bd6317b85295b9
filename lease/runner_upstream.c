#include "lease/runner_state.h"

#include <string.h>

#define TOKEN_STEP 5000
/* A clock this far below its expected lower bound was reset. Above the drift
 * of at most 2% over the longest wait for an answer. */
#define CLOCK_BACK_MS 100
/* A clock further ahead of the upstream's own answers than this, and this part
 * of the time since, is not the upstream's. */
#define CLOCK_AHEAD_MS 100
#define CLOCK_AHEAD_DIVISOR 50
/* The sequence numbers of an upstream rise no faster than the nanoseconds of a
 * clock that was read up to this long before. */
#define SEQUENCE_PER_MS 1000000
#define SEQUENCE_SLACK_MS 10000
/* A heartbeat that none has followed for so many intervals does not keep
 * others out any more. */
#define SILENT_BEATS 3

void
RunnerUpstream_Log(const Runner *runner, Event_Id id, const char *reason)
{
    if (Event_Admit(id)) {
        runner->ports->event(
            runner->context, id,
            json_pack("{s:s, s:s, s:i, s:i}", "upstream",
                      runner->upstream.instance, "detail", reason, "tasks",
                      (int)runner->active_tasks, "pace_percent",
                      (int)runner->health.pace_percent));
    }
}

int64_t
RunnerUpstream_Clock(const Runner *runner, int64_t now_ms)
{
    return runner->upstream.clock_ms +
           LeaseTiming_MinUpstreamElapsedMs(now_ms -
                                            runner->upstream.clock_read_ms);
}

void
RunnerUpstream_RecordClock(Runner *runner, int64_t now_ms, int64_t clock_ms)
{
    if (clock_ms > 0 && clock_ms >= RunnerUpstream_Clock(runner, now_ms)) {
        runner->upstream.clock_ms = clock_ms;
        runner->upstream.clock_read_ms = now_ms;
    }
}

void
RunnerUpstream_RecordAnswer(Runner *runner, int64_t now_ms, int64_t sent_ms,
                            int64_t clock_ms)
{
    Runner_UpstreamInfo *upstream = &runner->upstream;

    if (clock_ms <= 0) {
        return;
    }
    if (upstream->answer_clock_ms == 0 && clock_ms < upstream->clock_ms) {
        /* So far known from heartbeats, which may be another writer's. */
        upstream->clock_ms = 0;
        upstream->clock_read_ms = now_ms;
    }
    RunnerUpstream_RecordClock(runner, now_ms, clock_ms);
    if (clock_ms >= upstream->answer_clock_ms) {
        upstream->answer_clock_ms = clock_ms;
        upstream->answer_sent_ms = sent_ms;
    }
}

void
RunnerUpstream_OnSuspended(Runner *runner, int64_t now_ms,
                           int64_t suspended_ms)
{
    runner->upstream.clock_read_ms = MIN(
        runner->upstream.clock_read_ms + suspended_ms, now_ms);
    runner->upstream.answer_clock_ms = 0;
}

/* ---- incarnations ---- */

/* Resets all counters and observations of the earlier incarnation. */
static void
reset_for_incarnation(Runner *runner, int64_t now_ms, int64_t born_ms)
{
    RunnerDurable_ReleaseAll(runner);
    runner->upstream.incarnation++;
    runner->upstream.born_ms = born_ms;
    runner->upstream.earlier_drained = runner->upstream.draining;
    runner->upstream.left = false;
    runner->upstream.sequence = 0;
    runner->upstream.beat_clock_ms = 0;
    runner->upstream.late_sequence = 0;
    runner->upstream.answered = false;
    runner->upstream.answer_clock_ms = 0;
    runner->upstream.inventoried = false;
    runner->upstream.last_seen = 0;
    runner->upstream.acknowledged = 0;
    runner->upstream.clock_ms = 0;
    runner->upstream.clock_read_ms = now_ms;
    runner->upstream.doubtful = false;
    runner->upstream.refused = false;
    runner->consecutive_misses = 0;
    RunnerPoll_DropAll(runner);
    runner->unknown_since_ms = 0;
    memset(&runner->rto, 0, sizeof(runner->rto));
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
    bool first = !runner->upstream.known &&
                 runner->upstream.instance[0] == '\0';

    RunnerTask_EndAllLost(runner, now_ms, !runner->upstream.draining);
    reset_for_incarnation(runner, now_ms, heartbeat->born_ms);
    RunnerPoll_ClearHold(runner);
    g_free(runner->upstream.instance);
    runner->upstream.instance = g_strdup(heartbeat->instance);
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
    runner->upstream.known = false;
    if (runner->active_tasks > 0) {
        RunnerPoll_RecordHold(runner, now_ms,
                              runner->config.timing.hold_limit_ms);
    }
    RunnerUpstream_Log(runner, EVENT_UPSTREAM_KNOWN,
                       "started again under its name");
}

/* ---- candidates ---- */

static void
clear_candidate(Runner *runner)
{
    Runner_Candidate *candidate = &runner->candidate;

    g_free(candidate->instance);
    g_free(candidate->service);
    g_strfreev(candidate->labels);
    memset(candidate, 0, sizeof(*candidate));
}

static void
store_candidate(Runner *runner, int64_t now_ms,
                const Runner_Heartbeat *heartbeat)
{
    Runner_Candidate *candidate = &runner->candidate;

    clear_candidate(runner);
    candidate->pending = true;
    candidate->after_poll = runner->last_poll_id;
    candidate->instance = g_strdup(heartbeat->instance);
    candidate->service = g_strdup(heartbeat->service);
    candidate->labels = g_strdupv((char **)heartbeat->labels);
    candidate->heartbeat = *heartbeat;
    candidate->heartbeat.instance = candidate->instance;
    candidate->heartbeat.service = candidate->service;
    candidate->heartbeat.labels = (const char *const *)candidate->labels;
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
            json_pack(
                "{s:s, s:I, s:I, s:s, s:s, s:I, s:I}", "upstream",
                heartbeat->instance, "born_ms", (json_int_t)heartbeat->born_ms,
                "sequence", (json_int_t)heartbeat->sequence, "detail", reason,
                "in_force", runner->upstream.instance, "in_force_born_ms",
                (json_int_t)runner->upstream.born_ms, "in_force_sequence",
                (json_int_t)runner->upstream.sequence));
    }
}

void
RunnerUpstream_Confirm(Runner *runner, uint64_t poll_id)
{
    Runner_Candidate *candidate = &runner->candidate;

    runner->upstream.answered = true;
    if (candidate->pending && poll_id > candidate->after_poll) {
        ignore_heartbeat(runner, &candidate->heartbeat,
                         "another incarnation answers at this address");
        DeadIncarnations_Add(&runner->dead_incarnations, candidate->instance,
                             candidate->heartbeat.born_ms);
        clear_candidate(runner);
    }
}

/* ---- heartbeats ---- */

static void
apply_heartbeat(Runner *runner, int64_t now_ms,
                const Runner_Heartbeat *heartbeat)
{
    bool draining = heartbeat->reported_state == RUNNER_UPSTREAM_DRAINING;

    if (draining != runner->upstream.draining) {
        RunnerUpstream_Log(runner, EVENT_UPSTREAM_DRAINING,
                           draining ? "accepts no more tasks"
                                    : "accepts tasks again");
    }
    runner->version++;
    runner->upstream.known = true;
    runner->upstream.draining = draining;
    runner->upstream.sequence = heartbeat->sequence;
    runner->upstream.beat_clock_ms = heartbeat->clock_ms;
    runner->upstream.late_sequence = 0;
    runner->upstream.heard_ms = now_ms;
    runner->upstream.capacity = heartbeat->capacity;
    g_free(runner->upstream.service);
    runner->upstream.service = g_strdup(heartbeat->service);
    g_strfreev(runner->upstream.labels);
    runner->upstream.labels = g_strdupv((char **)heartbeat->labels);
    RunnerUpstream_RecordClock(runner, now_ms, heartbeat->clock_ms);
    RunnerPoll_Send(runner, now_ms);
}

static void
adopt_incarnation(Runner *runner, int64_t now_ms,
                  const Runner_Heartbeat *heartbeat)
{
    if (strcmp(runner->upstream.instance, heartbeat->instance) == 0) {
        restart_instance(runner, now_ms, heartbeat->born_ms);
    }
    else {
        switch_instance(runner, now_ms, heartbeat);
    }
    apply_heartbeat(runner, now_ms, heartbeat);
}

/* Whether adopting the sender of a heartbeat unasked would end active runs,
 * which the current incarnation may be executing although it does not answer.
 * Only another instance name ends them, see restart_instance(). */
static bool
would_end_runs(const Runner *runner, const Runner_Heartbeat *heartbeat)
{
    return runner->active_tasks > 0 &&
           strcmp(runner->upstream.instance, heartbeat->instance) != 0;
}

/* If the current incarnation may be alive, the upstream is polled first. Only
 * the upstream's own answer marks an incarnation as permanently gone, since
 * the heartbeat may be a late one of an incarnation that is dead. */
static void
handle_other_heartbeat(Runner *runner, int64_t now_ms,
                       const Runner_Heartbeat *heartbeat)
{
    if (runner->upstream.known &&
        (!runner->upstream.doubtful || would_end_runs(runner, heartbeat))) {
        store_candidate(runner, now_ms, heartbeat);
        return;
    }
    clear_candidate(runner);
    adopt_incarnation(runner, now_ms, heartbeat);
}

static bool
is_current(const Runner *runner, const Runner_Heartbeat *heartbeat)
{
    return strcmp(runner->upstream.instance, heartbeat->instance) == 0 &&
           (heartbeat->born_ms == runner->upstream.born_ms ||
            runner->upstream.born_ms == 0);
}

/* Whether the clock is further ahead than the upstream's can be. */
static bool
is_clock_ahead(const Runner *runner, int64_t now_ms, int64_t clock_ms)
{
    const Runner_UpstreamInfo *upstream = &runner->upstream;
    int64_t elapsed_ms = now_ms - upstream->answer_sent_ms;

    return upstream->answer_clock_ms > 0 &&
           clock_ms > upstream->answer_clock_ms + elapsed_ms +
                          elapsed_ms / CLOCK_AHEAD_DIVISOR + CLOCK_AHEAD_MS;
}

static bool
is_sequence_ahead(const Runner *runner, int64_t now_ms, uint64_t sequence)
{
    const Runner_UpstreamInfo *upstream = &runner->upstream;
    uint64_t most = (uint64_t)(now_ms - upstream->heard_ms +
                               SEQUENCE_SLACK_MS) *
                    SEQUENCE_PER_MS;

    return upstream->sequence > 0 && sequence > upstream->sequence &&
           sequence - upstream->sequence > most;
}

/* No heartbeat has followed the one in force for some intervals. */
static bool
is_silent(const Runner *runner, int64_t now_ms)
{
    return runner->config.beat_ms > 0 &&
           now_ms - runner->upstream.heard_ms >=
               SILENT_BEATS * runner->config.beat_ms;
}

/* Whether a heartbeat with a lower sequence number than the one in force shows
 * that the latter was another writer's: it was sent later, by the upstream's
 * clock, which only rises. If it does not tell its clock, it must be one of a
 * series that goes on while nothing follows the one in force. */
static bool
overrules(const Runner *runner, int64_t now_ms,
          const Runner_Heartbeat *heartbeat)
{
    const Runner_UpstreamInfo *upstream = &runner->upstream;

    if (heartbeat->clock_ms > 0 && upstream->answer_clock_ms > 0) {
        return (heartbeat->clock_ms > upstream->beat_clock_ms ||
                is_clock_ahead(runner, now_ms, upstream->beat_clock_ms)) &&
               heartbeat->clock_ms >
                   upstream->answer_clock_ms - runner->config.beat_ms;
    }
    return heartbeat->clock_ms == 0 && upstream->late_sequence > 0 &&
           heartbeat->sequence > upstream->late_sequence &&
           is_silent(runner, now_ms);
}

/* As reason_to_ignore(), of a heartbeat of the current incarnation. */
static const char *
reason_to_ignore_current(const Runner *runner, int64_t now_ms,
                         const Runner_Heartbeat *heartbeat)
{
    const Runner_UpstreamInfo *upstream = &runner->upstream;

    if (heartbeat->born_ms != 0 && upstream->born_ms == 0 &&
        upstream->answered) {
        return "has a start time, unlike the upstream's answers";
    }
    if (is_clock_ahead(runner, now_ms, heartbeat->clock_ms)) {
        return "its clock is ahead of the upstream's";
    }
    if (is_sequence_ahead(runner, now_ms, heartbeat->sequence)) {
        return "its sequence number is too far above the last one";
    }
    if (heartbeat->sequence <= upstream->sequence) {
        return overrules(runner, now_ms, heartbeat)
                   ? NULL
                   : "its sequence number is not above the last one";
    }
    if (upstream->known && !is_silent(runner, now_ms) &&
        strcmp(upstream->service, heartbeat->service) != 0) {
        return "names another service than the current incarnation";
    }
    return NULL;
}

/* Returns the reason to ignore a heartbeat, or NULL. An upstream that has
 * reported its start time continues to do so, and never changes its service
 * within one incarnation. */
static const char *
reason_to_ignore(const Runner *runner, int64_t now_ms,
                 const Runner_Heartbeat *heartbeat)
{
    if (DeadIncarnations_Contains(&runner->dead_incarnations,
                                  heartbeat->instance, heartbeat->born_ms)) {
        return "this incarnation is known to be gone";
    }
    if (strcmp(runner->upstream.instance, heartbeat->instance) == 0 &&
        heartbeat->born_ms == 0 && runner->upstream.born_ms != 0) {
        return "has no start time, unlike the current incarnation";
    }
    return is_current(runner, heartbeat)
               ? reason_to_ignore_current(runner, now_ms, heartbeat)
               : NULL;
}

void
Runner_OnHeartbeat(Runner *runner, int64_t now_ms,
                   const Runner_Heartbeat *heartbeat)
{
    const char *reason = reason_to_ignore(runner, now_ms, heartbeat);

    if (reason != NULL) {
        ignore_heartbeat(runner, heartbeat, reason);
        if (is_current(runner, heartbeat) &&
            heartbeat->sequence <= runner->upstream.sequence) {
            runner->upstream.late_sequence = heartbeat->sequence;
        }
    }
    else if (!is_current(runner, heartbeat)) {
        handle_other_heartbeat(runner, now_ms, heartbeat);
    }
    else {
        runner->upstream.born_ms = heartbeat->born_ms;
        apply_heartbeat(runner, now_ms, heartbeat);
    }
}

static void
on_upstream_lost(Runner *runner, int64_t now_ms, const char *reason,
                 bool crashed)
{
    RunnerUpstream_Log(runner, EVENT_UPSTREAM_LOST, reason);
    RunnerTask_EndAllLost(runner, now_ms, crashed);
    runner->upstream.known = false;
    runner->version++;
}

void
RunnerUpstream_CheckLeft(Runner *runner, int64_t now_ms)
{
    if (!runner->upstream.left || runner->active_tasks > 0) {
        return;
    }
    runner->upstream.left = false;
    runner->upstream.doubtful = false;
    on_upstream_lost(runner, now_ms, "the upstream has left", false);
}

/* The upstream goes on until the answer to its announcement reaches it, or for
 * some seconds. Its runs are over once it has answered so, another incarnation
 * answers, or the hold has expired, which is not extended any more. */
static void
begin_departure(Runner *runner, int64_t now_ms)
{
    runner->upstream.left = true;
    RunnerUpstream_CheckLeft(runner, now_ms);
    if (runner->upstream.left) {
        runner->upstream.draining = true;
        RunnerUpstream_Suspect(runner, "the upstream leaves");
        RunnerPoll_Send(runner, now_ms);
    }
}

/* A leave message without a start time may be a late one of an earlier
 * incarnation. Unless the upstream has reported that it drains, it is polled
 * to find out. */
static bool
may_be_earlier_incarnation(const Runner *runner, int64_t born_ms)
{
    return born_ms == 0 && runner->upstream.born_ms != 0 &&
           !runner->upstream.draining;
}

void
Runner_OnUpstreamExit(Runner *runner, int64_t now_ms, const char *instance,
                      int64_t born_ms)
{
    bool same = strcmp(runner->upstream.instance, instance) == 0;

    if (born_ms == 0 && same && !may_be_earlier_incarnation(runner, born_ms)) {
        born_ms = runner->upstream.born_ms;
    }
    if (same && may_be_earlier_incarnation(runner, born_ms)) {
        RunnerUpstream_Suspect(runner,
                               "it or an earlier incarnation of it has left");
        RunnerPoll_Send(runner, now_ms);
        return;
    }
    DeadIncarnations_Add(&runner->dead_incarnations, instance, born_ms);
    if (runner->upstream.known && same &&
        born_ms == runner->upstream.born_ms) {
        begin_departure(runner, now_ms);
    }
}

void
RunnerUpstream_Suspect(Runner *runner, const char *reason)
{
    if (runner->upstream.doubtful) {
        return;
    }
    if (runner->upstream.known) {
        RunnerUpstream_Log(runner, EVENT_UPSTREAM_LOST, reason);
    }
    runner->upstream.doubtful = true;
    runner->version++;
}

void
RunnerUpstream_Trust(Runner *runner)
{
    runner->version += runner->upstream.doubtful;
    runner->upstream.doubtful = false;
    runner->upstream.refused = false;
}

void
RunnerUpstream_RecordRefused(Runner *runner)
{
    RunnerUpstream_Suspect(runner, "connection failed");
    runner->upstream.refused = true;
}

void
RunnerUpstream_CheckClock(Runner *runner, int64_t now_ms, int64_t sent_ms,
                          int64_t clock_ms)
{
    int64_t least_ms = RunnerUpstream_Clock(runner, now_ms) -
                       (now_ms - sent_ms) - CLOCK_BACK_MS;

    if (clock_ms > 0 && clock_ms < least_ms && runner->upstream.born_ms != 0) {
        RunnerUpstream_Suspect(runner, "upstream clock has gone back");
    }
}

bool
RunnerUpstream_CheckStartTime(Runner *runner, int64_t now_ms, int64_t born_ms)
{
    Runner_Candidate *next = &runner->candidate;

    if (born_ms == runner->upstream.born_ms) {
        return false;
    }
    if (born_ms == 0) {
        /* An upstream reports it always or never: a heartbeat of another
         * writer has told it. */
        runner->upstream.born_ms = 0;
        return false;
    }
    if (runner->upstream.born_ms == 0) {
        runner->upstream.born_ms = born_ms;
        return false;
    }
    DeadIncarnations_Add(&runner->dead_incarnations, runner->upstream.instance,
                         runner->upstream.born_ms);
    restart_instance(runner, now_ms, born_ms);
    if (next->pending && next->heartbeat.born_ms == born_ms &&
        strcmp(next->instance, runner->upstream.instance) == 0) {
        apply_heartbeat(runner, now_ms, &next->heartbeat);
        clear_candidate(runner);
    }
    return true;
}

void
RunnerUpstream_OnOtherIncarnation(Runner *runner, int64_t now_ms)
{
    Runner_Candidate next = runner->candidate;

    if (!runner->upstream.known) {
        g_free(runner->upstream.instance);
        runner->upstream.instance = g_strdup("");
        return;
    }
    on_upstream_lost(runner, now_ms, "another incarnation answers",
                     !runner->upstream.draining);
    DeadIncarnations_Add(&runner->dead_incarnations, runner->upstream.instance,
                         runner->upstream.born_ms);
    if (next.pending &&
        strcmp(next.instance, runner->upstream.instance) != 0) {
        switch_instance(runner, now_ms, &next.heartbeat);
        apply_heartbeat(runner, now_ms, &next.heartbeat);
    }
    clear_candidate(runner);
}

bool
RunnerUpstream_MayHaveRestarted(const Runner *runner)
{
    return runner->candidate.pending &&
           strcmp(runner->candidate.instance, runner->upstream.instance) == 0;
}

void
RunnerUpstream_RaiseToken(Runner *runner)
{
    runner->token += TOKEN_STEP;
}

void
RunnerUpstream_Clear(Runner *runner)
{
    clear_candidate(runner);
    DeadIncarnations_Clear(&runner->dead_incarnations);
    g_free(runner->upstream.instance);
    g_free(runner->upstream.service);
    g_strfreev(runner->upstream.labels);
}

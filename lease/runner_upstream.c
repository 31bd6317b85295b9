#include "lease/runner_state.h"

#include <string.h>

#define TOKEN_STEP 5000

void
RunnerUpstream_Log(const Runner *runner, Event_Id id, const char *reason)
{
    if (Event_Admit(id)) {
        runner->ports->event(
            runner->context, id,
            json_pack("{s:s, s:s, s:i, s:i}", "upstream", runner->up.instance,
                      "detail", reason, "tasks", (int)runner->live,
                      "pace_percent", (int)runner->health.pace_percent));
    }
}

/* The upstream's clock shows at least this now. */
int64_t
RunnerUpstream_Clock(const Runner *runner, int64_t now_ms)
{
    return runner->up.clock_ms +
           Term_UpstreamElapsed(now_ms - runner->up.clock_read_ms);
}

void
RunnerUpstream_TakeClock(Runner *runner, int64_t now_ms, int64_t clock_ms)
{
    if (clock_ms > 0 && clock_ms >= RunnerUpstream_Clock(runner, now_ms)) {
        runner->up.clock_ms = clock_ms;
        runner->up.clock_read_ms = now_ms;
    }
}

static void
begin_instance(Runner *runner, int64_t now_ms, const Runner_Upstream *upstream)
{
    bool first = !runner->up.known && runner->up.instance[0] == '\0';

    RunnerTask_EndAll(runner, now_ms, LC_RUN_LOST);
    RunnerKept_LetGoAll(runner);
    g_free(runner->up.instance);
    runner->up.instance = g_strdup(upstream->instance);
    runner->up.sequence = 0;
    runner->up.inventoried = false;
    runner->up.last_seen = 0;
    runner->up.acknowledged = 0;
    runner->up.clock_ms = 0;
    runner->up.clock_read_ms = now_ms;
    runner->up.doubtful = false;
    runner->missed_in_row = 0;
    runner->look_count = 0;
    memset(&runner->answers, 0, sizeof(runner->answers));
    runner->look_again_ms = now_ms;
    runner->hold_until_ms = 0;
    runner->health = Health_New();
    RunnerUpstream_Log(runner, EVENT_UPSTREAM_KNOWN,
                       first ? "heard of" : "a new incarnation");
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
keep_successor(Runner *runner, int64_t now_ms, const Runner_Upstream *said)
{
    Runner_Successor *successor = &runner->successor;

    drop_successor(runner);
    successor->pending = true;
    successor->after_look = runner->last_look_id;
    successor->instance = g_strdup(said->instance);
    successor->service = g_strdup(said->service);
    successor->labels = g_strdupv((char **)said->labels);
    successor->said = *said;
    successor->said.instance = successor->instance;
    successor->said.service = successor->service;
    successor->said.labels = (const char *const *)successor->labels;
    runner->look_again_ms = now_ms;
    RunnerLook_Send(runner, now_ms);
}

static void
pass_over(Runner *runner, const char *instance, uint64_t sequence,
          const char *reason)
{
    Counter_Add(&runner->counters, COUNTER_HEARTBEATS_LATE, 1);
    if (Event_Admit(EVENT_HEARTBEAT_LATE)) {
        runner->ports->event(
            runner->context, EVENT_HEARTBEAT_LATE,
            json_pack("{s:s, s:I, s:s, s:s, s:I}", "upstream", instance,
                      "sequence", (json_int_t)sequence, "detail", reason,
                      "in_force", runner->up.instance, "in_force_sequence",
                      (json_int_t)runner->up.sequence));
    }
}

void
RunnerUpstream_Confirm(Runner *runner, uint64_t look_id)
{
    Runner_Successor *successor = &runner->successor;

    if (successor->pending && look_id > successor->after_look) {
        pass_over(runner, successor->instance, successor->said.sequence,
                  "another incarnation answers at its address");
        Incarnations_NoteGone(&runner->gone, successor->instance);
        drop_successor(runner);
    }
}

/* ---- heartbeats ---- */

static void
take_state(Runner *runner, int64_t now_ms, const Runner_Upstream *upstream)
{
    bool draining = upstream->says == RUNNER_UPSTREAM_DRAINING;

    if (draining != runner->up.draining) {
        RunnerUpstream_Log(runner, EVENT_UPSTREAM_DRAINING,
                           draining ? "takes no more tasks"
                                    : "takes tasks again");
    }
    runner->version++;
    runner->up.known = true;
    runner->up.draining = draining;
    runner->up.sequence = upstream->sequence;
    runner->up.heard_ms = now_ms;
    runner->up.capacity = upstream->capacity;
    g_free(runner->up.service);
    runner->up.service = g_strdup(upstream->service);
    g_strfreev(runner->up.labels);
    runner->up.labels = g_strdupv((char **)upstream->labels);
    RunnerUpstream_TakeClock(runner, now_ms, upstream->clock_ms);
    RunnerLook_Send(runner, now_ms);
}

/* The upstream is asked first if the incarnation in force may live. It is
 * taken as gone for good on the upstream's own word alone: this incarnation
 * may be the dead one. */
static void
take_other(Runner *runner, int64_t now_ms, const Runner_Upstream *upstream)
{
    if (runner->up.known && !runner->up.doubtful) {
        keep_successor(runner, now_ms, upstream);
        return;
    }
    drop_successor(runner);
    begin_instance(runner, now_ms, upstream);
    take_state(runner, now_ms, upstream);
}

void
Runner_OnUpstream(Runner *runner, int64_t now_ms,
                  const Runner_Upstream *upstream)
{
    if (Incarnations_IsGone(&runner->gone, upstream->instance)) {
        pass_over(runner, upstream->instance, upstream->sequence,
                  "this incarnation is gone");
    }
    else if (strcmp(runner->up.instance, upstream->instance) != 0) {
        take_other(runner, now_ms, upstream);
    }
    else if (upstream->sequence <= runner->up.sequence) {
        pass_over(runner, upstream->instance, upstream->sequence,
                  "a later one has come");
    }
    else {
        take_state(runner, now_ms, upstream);
    }
}

void
RunnerUpstream_Lose(Runner *runner, int64_t now_ms, const char *reason)
{
    RunnerUpstream_Log(runner, EVENT_UPSTREAM_LOST, reason);
    RunnerTask_EndAll(runner, now_ms, LC_RUN_LOST);
    runner->up.known = false;
    runner->version++;
}

void
Runner_OnUpstreamGone(Runner *runner, int64_t now_ms, const char *instance)
{
    Incarnations_NoteGone(&runner->gone, instance);
    if (runner->up.known && strcmp(runner->up.instance, instance) == 0) {
        RunnerUpstream_Lose(runner, now_ms, "it has left");
    }
}

void
RunnerUpstream_Doubt(Runner *runner, const char *reason)
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

/* What is known of the upstream's incarnation is out of date. */
void
RunnerUpstream_MeetOther(Runner *runner, int64_t now_ms)
{
    Runner_Successor next = runner->successor;

    if (!runner->up.known) {
        g_free(runner->up.instance);
        runner->up.instance = g_strdup("");
        return;
    }
    RunnerUpstream_Lose(runner, now_ms, "another incarnation answers");
    Incarnations_NoteGone(&runner->gone, runner->up.instance);
    if (next.pending) {
        begin_instance(runner, now_ms, &next.said);
        take_state(runner, now_ms, &next.said);
        drop_successor(runner);
    }
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
    Incarnations_Clear(&runner->gone);
    g_free(runner->up.instance);
    g_free(runner->up.service);
    g_strfreev(runner->up.labels);
}

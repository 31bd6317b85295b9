#include "lease/runner_state.h"

#include <string.h>

#define TOKEN_STEP 5000
/* A clock that shows so much less than it must has begun anew. Chosen: above
 * the 2% that it may be slow over the time that an answer is waited for. */
#define CLOCK_BACK_MS 100

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

/* ---- lives ---- */

/* Forgets what an earlier life has counted, told and seen. */
static void
begin_life(Runner *runner, int64_t now_ms, int64_t born_ms)
{
    RunnerKept_LetGoAll(runner);
    runner->up.life++;
    runner->up.born_ms = born_ms;
    runner->up.drained = runner->up.draining;
    runner->up.sequence = 0;
    runner->up.inventoried = false;
    runner->up.last_seen = 0;
    runner->up.acknowledged = 0;
    runner->up.clock_ms = 0;
    runner->up.clock_read_ms = now_ms;
    runner->up.doubtful = false;
    runner->up.refused = false;
    runner->missed_in_row = 0;
    runner->look_count = 0;
    memset(&runner->answers, 0, sizeof(runner->answers));
    runner->look_again_ms = now_ms;
    runner->health = Health_New();
    runner->version++;
}

/* Another name: orders name it, so that none of those before is carried out.
 */
static void
begin_instance(Runner *runner, int64_t now_ms, const Runner_Upstream *upstream)
{
    bool first = !runner->up.known && runner->up.instance[0] == '\0';

    RunnerTask_LoseAll(runner, now_ms, !runner->up.draining);
    begin_life(runner, now_ms, upstream->born_ms);
    runner->hold_until_ms = 0;
    g_free(runner->up.instance);
    runner->up.instance = g_strdup(upstream->instance);
    RunnerUpstream_Log(runner, EVENT_UPSTREAM_KNOWN,
                       first ? "heard of" : "a new incarnation");
}

/* The same name: an order to the earlier life may be carried out by this one,
 * on whose clock its deadline means nothing. It is refused from now on for its
 * token, and what has come before is listed and stopped, see is_over of
 * runner_look.c. Until then an upstream that cannot be reached holds it as
 * long as it holds anything. */
static void
begin_again(Runner *runner, int64_t now_ms, int64_t born_ms)
{
    begin_life(runner, now_ms, born_ms);
    runner->token++;
    runner->up.known = false;
    if (runner->live > 0) {
        RunnerLook_NoteHold(runner, now_ms, runner->config.term.hold_most_ms);
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
pass_over(Runner *runner, const Runner_Upstream *said, const char *reason)
{
    Counter_Add(&runner->counters, COUNTER_HEARTBEATS_LATE, 1);
    if (Event_Admit(EVENT_HEARTBEAT_LATE)) {
        runner->ports->event(
            runner->context, EVENT_HEARTBEAT_LATE,
            json_pack("{s:s, s:I, s:I, s:s, s:s, s:I, s:I}", "upstream",
                      said->instance, "born_ms", (json_int_t)said->born_ms,
                      "sequence", (json_int_t)said->sequence, "detail", reason,
                      "in_force", runner->up.instance, "in_force_born_ms",
                      (json_int_t)runner->up.born_ms, "in_force_sequence",
                      (json_int_t)runner->up.sequence));
    }
}

void
RunnerUpstream_Confirm(Runner *runner, uint64_t look_id)
{
    Runner_Successor *successor = &runner->successor;

    if (successor->pending && look_id > successor->after_look) {
        pass_over(runner, &successor->said,
                  "another incarnation answers at its address");
        Incarnations_NoteGone(&runner->gone, successor->instance,
                              successor->said.born_ms);
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

static void
begin_other(Runner *runner, int64_t now_ms, const Runner_Upstream *upstream)
{
    if (strcmp(runner->up.instance, upstream->instance) == 0) {
        begin_again(runner, now_ms, upstream->born_ms);
    }
    else {
        begin_instance(runner, now_ms, upstream);
    }
    take_state(runner, now_ms, upstream);
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
    begin_other(runner, now_ms, upstream);
}

static bool
is_in_force(const Runner *runner, const Runner_Upstream *upstream)
{
    return strcmp(runner->up.instance, upstream->instance) == 0 &&
           (upstream->born_ms == runner->up.born_ms ||
            runner->up.born_ms == 0);
}

/* Why a heartbeat counts for nothing, or NULL. An upstream that has told its
 * start goes on to tell it, and never changes its service in one life. */
static const char *
reason_to_pass(const Runner *runner, const Runner_Upstream *upstream)
{
    if (Incarnations_IsGone(&runner->gone, upstream->instance,
                            upstream->born_ms)) {
        return "this incarnation is gone";
    }
    if (strcmp(runner->up.instance, upstream->instance) == 0 &&
        upstream->born_ms == 0 && runner->up.born_ms != 0) {
        return "it tells no start, and the incarnation in force does";
    }
    if (!is_in_force(runner, upstream)) {
        return NULL;
    }
    if (upstream->sequence <= runner->up.sequence) {
        return "a later one has come";
    }
    if (runner->up.known &&
        strcmp(runner->up.service, upstream->service) != 0) {
        return "it names another service than the incarnation in force";
    }
    return NULL;
}

void
Runner_OnUpstream(Runner *runner, int64_t now_ms,
                  const Runner_Upstream *upstream)
{
    const char *reason = reason_to_pass(runner, upstream);

    if (reason != NULL) {
        pass_over(runner, upstream, reason);
    }
    else if (!is_in_force(runner, upstream)) {
        take_other(runner, now_ms, upstream);
    }
    else {
        runner->up.born_ms = upstream->born_ms;
        take_state(runner, now_ms, upstream);
    }
}

static void
lose(Runner *runner, int64_t now_ms, const char *reason, bool crashed)
{
    RunnerUpstream_Log(runner, EVENT_UPSTREAM_LOST, reason);
    RunnerTask_LoseAll(runner, now_ms, crashed);
    runner->up.known = false;
    runner->version++;
}

/* One that tells no start may have left in an earlier life, of which it is
 * heard late: the upstream is asked if it has not said that it drains. */
static bool
may_be_earlier(const Runner *runner, int64_t born_ms)
{
    return born_ms == 0 && runner->up.born_ms != 0 && !runner->up.draining;
}

void
Runner_OnUpstreamGone(Runner *runner, int64_t now_ms, const char *instance,
                      int64_t born_ms)
{
    bool same = strcmp(runner->up.instance, instance) == 0;

    if (born_ms == 0 && same && !may_be_earlier(runner, born_ms)) {
        born_ms = runner->up.born_ms;
    }
    if (same && may_be_earlier(runner, born_ms)) {
        RunnerUpstream_Doubt(runner, "it, or an earlier life of it, has left");
        RunnerLook_Send(runner, now_ms);
        return;
    }
    Incarnations_NoteGone(&runner->gone, instance, born_ms);
    if (runner->up.known && same && born_ms == runner->up.born_ms) {
        lose(runner, now_ms, "it has left", false);
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

void
RunnerUpstream_Refused(Runner *runner)
{
    RunnerUpstream_Doubt(runner, "no connection");
    runner->up.refused = true;
}

void
RunnerUpstream_CheckClock(Runner *runner, int64_t now_ms, int64_t sent_ms,
                          int64_t clock_ms)
{
    int64_t least_ms = RunnerUpstream_Clock(runner, now_ms) -
                       (now_ms - sent_ms) - CLOCK_BACK_MS;

    if (clock_ms > 0 && clock_ms < least_ms && runner->up.born_ms != 0) {
        RunnerUpstream_Doubt(runner, "its clock has gone back");
    }
}

bool
RunnerUpstream_MeetLife(Runner *runner, int64_t now_ms, int64_t born_ms)
{
    Runner_Successor *next = &runner->successor;

    if (born_ms == 0 || born_ms == runner->up.born_ms) {
        return false;
    }
    if (runner->up.born_ms == 0) {
        runner->up.born_ms = born_ms;
        return false;
    }
    Incarnations_NoteGone(&runner->gone, runner->up.instance,
                          runner->up.born_ms);
    begin_again(runner, now_ms, born_ms);
    if (next->pending && next->said.born_ms == born_ms &&
        strcmp(next->instance, runner->up.instance) == 0) {
        take_state(runner, now_ms, &next->said);
        drop_successor(runner);
    }
    return true;
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
    lose(runner, now_ms, "another incarnation answers", !runner->up.draining);
    Incarnations_NoteGone(&runner->gone, runner->up.instance,
                          runner->up.born_ms);
    if (next.pending && strcmp(next.instance, runner->up.instance) != 0) {
        begin_instance(runner, now_ms, &next.said);
        take_state(runner, now_ms, &next.said);
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
    Incarnations_Clear(&runner->gone);
    g_free(runner->up.instance);
    g_free(runner->up.service);
    g_strfreev(runner->up.labels);
}

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

void
Runner_OnUpstream(Runner *runner, int64_t now_ms,
                  const Runner_Upstream *upstream)
{
    bool draining = upstream->says == RUNNER_UPSTREAM_DRAINING;

    if (strcmp(runner->up.instance, upstream->instance) != 0) {
        begin_instance(runner, now_ms, upstream);
    }
    if (draining != runner->up.draining) {
        RunnerUpstream_Log(runner, EVENT_UPSTREAM_DRAINING,
                           draining ? "takes no more tasks"
                                    : "takes tasks again");
    }
    runner->version++;
    runner->up.known = true;
    runner->up.draining = draining;
    runner->up.heard_ms = now_ms;
    runner->up.capacity = upstream->capacity;
    g_free(runner->up.service);
    runner->up.service = g_strdup(upstream->service);
    g_strfreev(runner->up.labels);
    runner->up.labels = g_strdupv((char **)upstream->labels);
    RunnerUpstream_TakeClock(runner, now_ms, upstream->clock_ms);
    RunnerLook_Send(runner, now_ms);
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
    if (runner->up.known) {
        RunnerUpstream_Lose(runner, now_ms, "another incarnation answers");
    }
    else {
        g_free(runner->up.instance);
        runner->up.instance = g_strdup("");
    }
}

void
RunnerUpstream_RaiseToken(Runner *runner)
{
    runner->token += TOKEN_STEP;
}

#include "tests/runner_fixture.h"

#include <glib.h>
#include <string.h>

#include "lease/run_id.h"
#include "tests/lease_fixture.h"

static const lc_node entry_node = RUNNER_FIX_ENTRY;
static const lc_node successor_node = {0x7f0000011b5a, 101};
static const lc_node companion_node = RUNNER_FIX_COMPANION;

static void
port_start(void *context, uint64_t id, const Runner_Start *start)
{
    runner_fixture *fix = context;

    fix->starts++;
    fix->start_id = id;
    fix->start = *start;
}

static void
port_stop(void *context, uint64_t id, const lc_run_id *run,
          const char *instance, int64_t token)
{
    runner_fixture *fix = context;

    (void)instance;
    (void)token;
    fix->stops++;
    fix->stop_id = id;
    fix->stopped = *run;
}

static void
port_poll(void *context, uint64_t id, const Runner_Poll *poll)
{
    runner_fixture *fix = context;

    fix->polls++;
    fix->poll_id = id;
    fix->poll = *poll;
}

static void
port_reply(void *context, uint64_t id, const Msg_Reply *reply)
{
    runner_fixture *fix = context;

    (void)id;
    fix->replies++;
    if (reply->kind == MSG_RUN) {
        fix->status = reply->u.run.status;
        fix->ran_ms = reply->u.run.ran_ms;
        fix->late_start_ms = reply->u.run.late_start_ms;
    }
    else if (reply->kind == MSG_FENCE) {
        fix->held_runs = reply->u.fence.runs.runs_len;
        if (fix->held_runs > 0) {
            fix->held = reply->u.fence.runs.runs_val[0];
        }
        fix->late_starts = reply->u.fence.late_starts.late_starts_len;
        if (fix->late_starts > 0) {
            fix->late = reply->u.fence.late_starts.late_starts_val[0];
        }
    }
    else if (reply->kind == MSG_RENEW) {
        fix->starts_told = reply->u.renew.starts_told;
        fix->unsettled = reply->u.renew.unsettled.unsettled_len;
        if (fix->unsettled > 0) {
            fix->unsettled_run = reply->u.renew.unsettled.unsettled_val[0];
        }
    }
    else if (reply->kind == MSG_HALT) {
        fix->status = reply->u.halt.status;
    }
}

static void
port_event(void *context, Event_Id id, json_t *fields)
{
    runner_fixture *fix = context;

    if (id == EVENT_START_SENT) {
        fix->logged_starts++;
        fix->logged_run = (int)json_integer_value(
            json_object_get(fields, "run"));
        g_strlcpy(fix->logged_owner,
                  json_string_value(json_object_get(fields, "owner")),
                  sizeof(fix->logged_owner));
    }
    LeaseFix_DropEvent(context, id, fields);
}

static const Runner_Ports runner_ports = {port_start, port_stop, port_poll,
                                          port_reply, port_event};

void
RunnerFix_HeartbeatOf(runner_fixture *fix, const char *instance,
                      uint64_t sequence, Runner_ReportedState reported_state)
{
    static const char *const labels[] = {NULL};
    Runner_Heartbeat upstream = {.instance = instance,
                                 .born_ms = fix->born_ms,
                                 .sequence = sequence,
                                 .service = "service",
                                 .reported_state = reported_state,
                                 .capacity = {fix->cpu_milli, 4096, 0},
                                 .labels = labels,
                                 .clock_ms = fix->clock_ms + fix->now_ms -
                                             START_MS};

    Runner_OnHeartbeat(fix->runner, fix->now_ms, &upstream);
}

void
RunnerFix_Heartbeat(runner_fixture *fix, Runner_ReportedState reported_state)
{
    RunnerFix_HeartbeatOf(fix, "i-1", ++fix->heartbeats, reported_state);
}

void
RunnerFix_AnswerPollOther(runner_fixture *fix)
{
    Runner_PollAnswer listing = {.end = RUNNER_ORDER_OTHER_INCARNATION};

    Runner_OnPollAnswer(fix->runner, fix->now_ms, fix->poll_id, &listing);
}

void
RunnerFix_AnswerPoll(runner_fixture *fix, const Runner_ActiveRun *running,
                     uint32_t count, const Runner_EndedRun *ended,
                     uint32_t ended_count)
{
    Runner_PollAnswer listing = {.end = RUNNER_ORDER_ACCEPTED,
                                 .clock_ms = fix->clock_ms + fix->now_ms -
                                             START_MS,
                                 .born_ms = fix->born_ms,
                                 .running = running,
                                 .running_count = count,
                                 .ended = ended,
                                 .ended_count = ended_count};

    Runner_OnPollAnswer(fix->runner, fix->now_ms, fix->poll_id, &listing);
}

void
RunnerFix_New(runner_fixture *fix)
{
    Runner_Config config = {.node = companion_node,
                            .hall = RUNNER_FIX_HALL,
                            .first_token = 7,
                            .beat_ms = 1500,
                            .late_ms = RUNNER_FIX_LATE_MS};

    memset(fix, 0, sizeof(*fix));
    fix->now_ms = START_MS;
    fix->clock_ms = CLOCK_MS;
    fix->cpu_milli = 4000;
    fix->owner = entry_node;
    fix->estimate_ms = 100;
    config.timing = LeaseFix_Timing();
    fix->runner = Runner_New(&config, &runner_ports, fix, fix->now_ms);
}

void
RunnerFix_NewBorn(runner_fixture *fix, int64_t born_ms)
{
    RunnerFix_New(fix);
    fix->born_ms = born_ms;
    fix->cpu_milli = 400000;
    RunnerFix_Heartbeat(fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
}

void
RunnerFix_NewReady(runner_fixture *fix)
{
    RunnerFix_New(fix);
    RunnerFix_Heartbeat(fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(fix, NULL, 0, NULL, 0);
}

lc_run_id
RunnerFix_Run(uint64_t job, uint32_t run)
{
    lc_run_id id = {.job = job, .run = run};

    return id;
}

void
RunnerFix_CallRun(runner_fixture *fix, uint64_t job, uint32_t run,
                  uint32_t cpu, int64_t valid_ms)
{
    Msg_Call call = {.kind = MSG_RUN};

    call.u.run.owner = fix->owner;
    call.u.run.target = companion_node.incarnation;
    call.u.run.valid_until_ms = fix->now_ms + valid_ms;
    call.u.run.id = RunnerFix_Run(job, run);
    call.u.run.need.cpu_milli = cpu;
    call.u.run.estimate_ms = fix->estimate_ms;
    call.u.run.spec = (char *)(uintptr_t) "";
    call.u.run.closures_as_of = fix->caller_as_of;
    call.u.run.crashes = fix->crashes;
    Runner_OnCall(fix->runner, fix->now_ms, 1, &call);
}

void
RunnerFix_QueryRun(runner_fixture *fix, uint64_t job, uint32_t run)
{
    RunnerFix_CallRun(fix, job, run, 1000, LC_HOLD_NONE - fix->now_ms);
}

void
RunnerFix_BeginTask(runner_fixture *fix)
{
    RunnerFix_CallRun(fix, 1, 1, 1000, 500);
    Runner_OnStarted(fix->runner, fix->now_ms, fix->start_id,
                     RUNNER_ORDER_ACCEPTED, fix->clock_ms);
    fix->replies = 0;
    fix->status = LC_RUN_DONE;
}

void
RunnerFix_AnswerRunning(runner_fixture *fix, uint64_t job)
{
    Runner_ActiveRun row = {RunnerFix_Run(job, 1), 10};

    RunnerFix_AnswerPoll(fix, &row, 1, NULL, 0);
}

bool
RunnerFix_TakesTask(runner_fixture *fix, uint64_t job)
{
    int before = fix->starts;

    RunnerFix_CallRun(fix, job, 1, 100, 500);
    return fix->starts == before + 1;
}

void
RunnerFix_Renew(runner_fixture *fix, int64_t valid_ms)
{
    Msg_Call call = {.kind = MSG_RENEW};

    call.u.renew.owner = fix->owner;
    call.u.renew.target = companion_node.incarnation;
    call.u.renew.valid_until_ms = fix->now_ms + valid_ms;
    Runner_OnCall(fix->runner, fix->now_ms, 3, &call);
}

void
RunnerFix_CallHalt(runner_fixture *fix, uint64_t job, uint32_t run)
{
    Msg_Call call = {.kind = MSG_HALT};

    call.u.halt.owner = fix->owner;
    call.u.halt.target = companion_node.incarnation;
    call.u.halt.id = RunnerFix_Run(job, run);
    Runner_OnCall(fix->runner, fix->now_ms, 2, &call);
}

void
RunnerFix_Release(runner_fixture *fix, const lc_run_id *run)
{
    Msg_Call call = {.kind = MSG_RELEASE};
    lc_run_id copy = *run;

    call.u.release.target = companion_node.incarnation;
    call.u.release.runs.runs_val = &copy;
    call.u.release.runs.runs_len = 1;
    Runner_OnCall(fix->runner, fix->now_ms, 3, &call);
}

void
RunnerFix_FenceEntry(runner_fixture *fix)
{
    lc_node gone = entry_node;

    RunnerFix_Fence(fix, &gone);
}

void
RunnerFix_Fence(runner_fixture *fix, const lc_node *owner)
{
    Msg_Call call = {.kind = MSG_FENCE};
    lc_node gone = *owner;

    call.u.fence.target = companion_node.incarnation;
    call.u.fence.gone.gone_val = &gone;
    call.u.fence.gone.gone_len = 1;
    call.u.fence.successor = successor_node;
    Runner_OnCall(fix->runner, fix->now_ms, 4, &call);
}

#include "lease/runner_state.h"

#include <inttypes.h>

#include "lease/run_id.h"

static const char *const order_names[RUNNER_ORDER_KINDS] = {
    [RUNNER_ORDER_START] = "start",
    [RUNNER_ORDER_STOP] = "stop",
    [RUNNER_ORDER_POLL] = "poll",
};

static const char *const outcome_names[RUNNER_OUTCOMES] = {
    [RUNNER_OUTCOME_ANSWERED] = "answered",
    [RUNNER_OUTCOME_UNANSWERED] = "unanswered",
    [RUNNER_OUTCOME_NOT_SENT] = "not_sent",
};

static const char *const result_texts[RUNNER_ORDER_RESULT_COUNT] = {
#define X(name, text) [RUNNER_ORDER_##name] = (text),
    RUNNER_ORDER_RESULT_LIST(X)
#undef X
};

const char *
RunnerAudit_ResultText(Runner_OrderResult result)
{
    return result_texts[result];
}

static Runner_OrderOutcome
outcome_of(Runner_OrderResult result)
{
    switch (result) {
    case RUNNER_ORDER_UNANSWERED:
        return RUNNER_OUTCOME_UNANSWERED;
    case RUNNER_ORDER_UNSENT:
    case RUNNER_ORDER_ABANDONED:
        return RUNNER_OUTCOME_NOT_SENT;
    default:
        return RUNNER_OUTCOME_ANSWERED;
    }
}

void
RunnerAudit_CountOrder(Runner *runner, Runner_OrderKind kind,
                       Runner_OrderResult result)
{
    runner->order_outcomes[kind][outcome_of(result)]++;
}

/* Time by which an unwanted run must be over, however long its stop was
 * unanswered. */
static int64_t
certain_end(const Runner *runner, const Runner_Task *row)
{
    const LeaseTiming *timing = &runner->config.timing;

    return row->unwanted_ms + LeaseTiming_MaxHoldMs(timing->hold_ms) +
           timing->stop_ms + timing->tick_ms;
}

void
RunnerAudit_CheckLease(Runner *runner, int64_t now_ms, int64_t polled_ms,
                       Runner_Task *row)
{
    if (row->unwanted_ms == 0 || row->outlived_lease ||
        polled_ms <= certain_end(runner, row)) {
        return;
    }
    row->outlived_lease = true;
    Counter_Add(&runner->counters, COUNTER_RUNS_PAST_LEASE, 1);
    RunnerTask_Log(runner, EVENT_RUN_PAST_LEASE, row,
                   "lease ended, or halted, %" PRId64
                   " ms ago, %u stops sent%s, hold ends in %" PRId64
                   " ms, %u owners",
                   now_ms - row->unwanted_ms, row->stop_copies,
                   row->stop_confirmed ? ", one answered" : "",
                   runner->hold_until_ms - now_ms, runner->owners->len);
}

static void
report_hold_limited(Runner *runner)
{
    char text[100];

    if (runner->hold_limited) {
        return;
    }
    runner->hold_limited = true;
    Counter_Add(&runner->counters, COUNTER_HOLDS_LIMITED, 1);
    g_snprintf(text, sizeof(text),
               "%s not known to be over %" PRId64 " ms after they should end",
               runner->unknown_since_ms != 0 ? "unknown runs"
                                             : "halted or expired runs",
               runner->config.timing.hold_ms);
    RunnerUpstream_Log(runner, EVENT_HOLD_LIMITED, text);
}

void
RunnerAudit_CheckHoldLimit(Runner *runner, int64_t now_ms)
{
    if (RunnerOwner_HoldLimitMs(runner, now_ms) > 0) {
        runner->hold_limited = false;
    }
    else if (runner->upstream.inventoried) {
        report_hold_limited(runner);
    }
}

void
RunnerAudit_OnHoldExpired(Runner *runner, const Runner_Task *row)
{
    if (row->unwanted_ms != 0) {
        report_hold_limited(runner);
    }
}

static const char *
upstream_name(const Runner *runner)
{
    return runner->upstream.instance[0] == '\0' ? "not heard from yet"
                                                : runner->upstream.instance;
}

/* Null if this process has extended no hold that may be in force. */
static json_t *
hold_left(const Runner *runner, int64_t now_ms)
{
    return runner->hold_until_ms == 0
               ? json_null()
               : json_integer(runner->hold_until_ms - now_ms);
}

void
RunnerAudit_OnUnknownRun(Runner *runner, int64_t now_ms, const lc_run_id *id,
                         const Runner_Task *row)
{
    char job[RUN_ID_JOB_SIZE];

    Counter_Add(&runner->counters, COUNTER_RUNS_UNKNOWN, 1);
    if (!Event_Admit(EVENT_RUN_UNKNOWN)) {
        return;
    }
    RunId_FormatJob(id->job, job);
    runner->ports->event(
        runner->context, EVENT_RUN_UNKNOWN,
        json_pack("{s:s, s:i, s:i, s:i, s:s, s:b, s:I, s:b, s:I, s:o}", "job",
                  job, "step", (int)id->step, "index", (int)id->index, "run",
                  (int)id->run, "upstream", upstream_name(runner),
                  "ended_here", row != NULL, "ended_ms_ago",
                  (json_int_t)(row == NULL ? 0 : now_ms - row->ended_ms),
                  "inventoried", runner->upstream.inventoried, "up_ms",
                  (json_int_t)(now_ms - runner->created_ms), "hold_left_ms",
                  hold_left(runner, now_ms)));
}

void
RunnerAudit_Metrics(const Runner *runner, GString *out)
{
    int kind;
    int outcome;

    for (kind = 0; kind < RUNNER_ORDER_KINDS; kind++) {
        for (outcome = 0; outcome < RUNNER_OUTCOMES; outcome++) {
            g_string_append_printf(
                out,
                "levercove_upstream_orders_total{order=\"%s\",outcome="
                "\"%s\"} %" PRIu64 "\n",
                order_names[kind], outcome_names[outcome],
                runner->order_outcomes[kind][outcome]);
        }
    }
}

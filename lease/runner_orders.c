#include "lease/runner_state.h"

#include <inttypes.h>

/* After this many unanswered copies of a start, its run is stopped. If half of
 * all answers are lost, this affects one start in 64. */
#define MAX_COPIES 6
/* After this many copies, the delay between copies doubles up to the limit
 * below. Six copies to an upstream that answers in under 1 ms are sent within
 * 170 ms, before half of the lease (589 ms) has passed. */
#define COPIES_BEFORE_BACKOFF 3
#define MAX_RETRY_DELAY_MS 160
/* Maximum number of pending orders beyond which no copies are sent. Less than
 * the 64 connections that the users' upstreams accept. */
#define MAX_PENDING_ORDERS 40
/* An upstream is suspected, and sent only polls, after this many consecutive
 * requests without an answer, sent over at least this time. If half of all
 * answers are lost, one in 16 such sequences occurs by chance; the next answer
 * to a poll ends the suspicion. */
#define SUSPECT_MISSES 4
#define SUSPECT_MS 60

void
RunnerOrder_RecordAnswer(Runner *runner, bool in_time)
{
    runner->consecutive_misses = 0;
    if (in_time) {
        RtoEstimator_OnAnswered(&runner->rto);
    }
}

void
RunnerOrder_RecordMiss(Runner *runner, int64_t now_ms, int64_t sent_ms)
{
    RtoEstimator_OnTimeout(&runner->rto);
    if (runner->consecutive_misses++ == 0) {
        runner->first_miss_sent_ms = sent_ms;
    }
    if (runner->consecutive_misses >= SUSPECT_MISSES &&
        now_ms - runner->first_miss_sent_ms >= SUSPECT_MS) {
        RunnerUpstream_Suspect(runner, "does not answer");
    }
}

static int64_t
retry_delay_ms(const Runner *runner, uint32_t copies)
{
    uint32_t doublings = copies > COPIES_BEFORE_BACKOFF
                             ? copies - COPIES_BEFORE_BACKOFF
                             : 0;
    int64_t timeout_ms = RtoEstimator_TimeoutMs(&runner->rto);

    return MIN(timeout_ms << MIN(doublings, MAX_COPIES), MAX_RETRY_DELAY_MS);
}

static Handle
add_order(Runner *runner, int64_t now_ms, Runner_Task *row, uint32_t copies)
{
    Runner_Order *order = g_new0(Runner_Order, 1);

    row->order_ms = now_ms;
    order->task = row->handle;
    order->sent_ms = now_ms;
    order->due_ms = now_ms + retry_delay_ms(runner, copies);
    return Handle_Add(runner->orders, order);
}

static void
send_start(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    Runner_Start start = {.id = row->id,
                          .spec = row->spec,
                          .instance = runner->upstream.instance,
                          .deadline_ms = row->deadline_clock_ms,
                          .token = runner->token,
                          .send_by_ms = row->send_by_ms};
    Handle id = add_order(runner, now_ms, row, ++row->start_copies);

    row->start_sent_ms = now_ms;
    runner->ports->start(runner->context, id, &start);
}

void
RunnerOrder_Start(Runner *runner, int64_t now_ms, Runner_Task *row,
                  int64_t lease_until_ms)
{
    int64_t ahead = MIN(lease_until_ms - now_ms,
                        RunnerOwner_HoldLimitMs(runner, now_ms));

    row->deadline_clock_ms = RunnerUpstream_Clock(runner, now_ms) + ahead;
    row->send_by_ms = now_ms + ahead;
    RunnerPoll_RecordHold(runner, now_ms, ahead);
    RunnerTask_Log(runner, EVENT_START_SENT, row,
                   "token %" PRId64 ", may run for %" PRId64 " ms",
                   runner->token, ahead);
    send_start(runner, now_ms, row);
}

void
RunnerOrder_Stop(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    Handle id = add_order(runner, now_ms, row, ++row->stop_copies);

    runner->ports->stop(runner->context, id, &row->id,
                        runner->upstream.instance, runner->token);
}

static bool
may_resend(const Runner *runner)
{
    return !runner->upstream.doubtful &&
           !RunnerUpstream_MayHaveRestarted(runner) &&
           Handle_ItemCount(runner->orders) < MAX_PENDING_ORDERS;
}

static bool
awaits_start(const Runner_Task *row)
{
    return row->state == TASK_ORDERED && row->confirmed_ms == 0;
}

/* Copies are safe: the incarnation that a start is meant for executes only one
 * copy of it, and none that arrives after its deadline or after the run has
 * ended there. Its successor knows neither, so that no copy is sent after the
 * deadline; polls tell how the run ended. */
static void
resend(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    if (!may_resend(runner)) {
        return; /* retried at the next tick */
    }
    if (row->state == TASK_STOPPING && !row->stop_confirmed) {
        RunnerOrder_Stop(runner, now_ms, row);
    }
    else if (awaits_start(row) && now_ms > row->send_by_ms) {
        return;
    }
    else if (awaits_start(row) && row->start_copies >= MAX_COPIES) {
        RunnerTask_Log(runner, EVENT_ORDER_UNANSWERED, row, "start, %u copies",
                       row->start_copies);
        RunnerTask_Stop(runner, now_ms, row, LC_RUN_LOST);
    }
    else if (awaits_start(row)) {
        Counter_Add(&runner->counters, COUNTER_ORDERS_RESENT, 1);
        send_start(runner, now_ms, row);
    }
}

/* A start for an earlier incarnation is not sent again to the current one, as
 * its deadline refers to the earlier one's clock. */
static bool
is_pending(const Runner *runner, const Runner_Task *row)
{
    return row->state == TASK_STOPPING ||
           !RunnerTask_IsOfEarlierIncarnation(runner, row);
}

void
RunnerOrder_Retry(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    uint32_t copies = row->state == TASK_STOPPING ? row->stop_copies
                                                  : row->start_copies;

    if (row->state != TASK_ENDED && is_pending(runner, row) &&
        now_ms - row->order_ms >= retry_delay_ms(runner, copies)) {
        resend(runner, now_ms, row);
    }
}

int64_t
RunnerOrder_DueMs(const Runner *runner)
{
    int64_t due_ms = INT64_MAX;
    uint32_t i;

    for (i = 0; i < Handle_RowCount(runner->orders); i++) {
        const Runner_Order *order = Handle_ItemAt(runner->orders, i);
        if (order != NULL) {
            due_ms = MIN(due_ms, order->due_ms);
        }
    }
    return due_ms;
}

void
RunnerOrder_CheckOverdue(Runner *runner, int64_t now_ms)
{
    uint32_t i;

    for (i = 0; i < Handle_RowCount(runner->orders); i++) {
        Runner_Order *order = Handle_ItemAt(runner->orders, i);
        Runner_Task *row;
        if (order == NULL || now_ms < order->due_ms) {
            continue;
        }
        order->due_ms = INT64_MAX;
        RunnerOrder_RecordMiss(runner, now_ms, order->sent_ms);
        row = Handle_Get(runner->by_handle, order->task);
        if (row != NULL) {
            RunnerOrder_Retry(runner, now_ms, row);
        }
    }
}

static bool
is_answer(Runner_OrderResult result)
{
    return result != RUNNER_ORDER_UNSENT && result != RUNNER_ORDER_ABANDONED &&
           result != RUNNER_ORDER_UNANSWERED;
}

/* Records the result of one copy and returns its task, or NULL if the task has
 * ended or is unknown. A broken connection counts as a miss at once. */
static Runner_Task *
complete_order(Runner *runner, int64_t now_ms, uint64_t order_id,
               Runner_OrderResult result, int64_t clock_ms)
{
    Runner_Order *order = Handle_Remove(runner->orders, order_id);
    Runner_Task *row;
    bool in_time;

    if (order == NULL) {
        return NULL; /* the stop of an unknown run */
    }
    row = Handle_Get(runner->by_handle, order->task);
    in_time = order->due_ms != INT64_MAX;
    if (result != RUNNER_ORDER_OTHER_INCARNATION && row != NULL &&
        !RunnerTask_IsOfEarlierIncarnation(runner, row)) {
        RunnerUpstream_CheckClock(runner, now_ms, order->sent_ms, clock_ms);
    }
    if (is_answer(result)) {
        RtoEstimator_AddSample(&runner->rto, now_ms - order->sent_ms);
        RunnerOrder_RecordAnswer(runner, in_time);
    }
    else if (in_time && result != RUNNER_ORDER_ABANDONED) {
        RunnerOrder_RecordMiss(runner, now_ms, order->sent_ms);
    }
    g_free(order);
    return row == NULL || row->state == TASK_ENDED ? NULL : row;
}

/* Ends a run if no copy of its start was or can be executed. */
static bool
end_if_unstarted(Runner *runner, int64_t now_ms, Runner_Task *row,
                 lc_run_status status)
{
    bool halted = row->state == TASK_STOPPING && row->status != LC_RUN_LOST;

    if (row->refused_copies < row->start_copies) {
        return false;
    }
    row->ran_ms = 0;
    RunnerTask_End(runner, now_ms, row, halted ? row->status : status);
    return true;
}

/* Handles a copy of the start that was certainly not executed. Other copies
 * may have been executed, or may be later; then the run is stopped, and its
 * resources stay reserved until it has certainly ended. However it ends, it
 * is lost: after @p status, the entry could tell its caller that the task was
 * not started. */
static void
refuse_copy(Runner *runner, int64_t now_ms, Runner_Task *row,
            lc_run_status status)
{
    row->refused_copies++;
    if (!end_if_unstarted(runner, now_ms, row, status)) {
        RunnerTask_Stop(runner, now_ms, row, LC_RUN_LOST);
    }
}

/* Handles a copy that was not sent before the deadline of the start. A run
 * that the upstream executes by an earlier copy goes on. */
static void
abandon_copy(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    Counter_Add(&runner->counters, COUNTER_STARTS_ABANDONED, 1);
    row->refused_copies++;
    end_if_unstarted(runner, now_ms, row, LC_RUN_EXPIRED);
}

static void
confirm_start(int64_t now_ms, Runner_Task *row)
{
    row->confirmed_ms = now_ms;
    row->progress_ms = now_ms;
    if (row->state == TASK_ORDERED) {
        row->state = TASK_RUNNING;
    }
}

/* The upstream knows a later run, or this run has ended there. If more than
 * one copy was sent, the latter is likely, and the next poll lists the result.
 */
static void
on_start_superseded(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    if (row->start_copies > 1) {
        row->confirmed_ms = now_ms;
    }
    else {
        refuse_copy(runner, now_ms, row, LC_RUN_OLD);
    }
}

static void
on_start_result(Runner *runner, int64_t now_ms, Runner_Task *row,
                Runner_OrderResult result)
{
    switch (result) {
    case RUNNER_ORDER_ACCEPTED:
        confirm_start(now_ms, row);
        break;
    case RUNNER_ORDER_UNANSWERED:
        RunnerOrder_Retry(runner, now_ms, row);
        break;
    case RUNNER_ORDER_ABANDONED:
        abandon_copy(runner, now_ms, row);
        break;
    case RUNNER_ORDER_OTHER_INCARNATION:
        RunnerUpstream_OnOtherIncarnation(runner, now_ms);
        break;
    case RUNNER_ORDER_SUPERSEDED:
        on_start_superseded(runner, now_ms, row);
        break;
    case RUNNER_ORDER_UNHEALTHY:
        Health_RecordFailure(&runner->health, now_ms, row->id.job);
        refuse_copy(runner, now_ms, row, LC_RUN_REJECTED);
        break;
    case RUNNER_ORDER_UNSENT:
        RunnerUpstream_RecordRefused(runner);
        refuse_copy(runner, now_ms, row, LC_RUN_REJECTED);
        break;
    case RUNNER_ORDER_FENCED:
        if (!RunnerTask_IsOfEarlierIncarnation(runner, row)) {
            RunnerUpstream_RaiseToken(runner);
        }
        refuse_copy(runner, now_ms, row, LC_RUN_REJECTED);
        break;
    default:
        RunnerTask_Log(runner, EVENT_ORDER_REFUSED, row, "start: %s",
                       RunnerAudit_ResultText(result));
        refuse_copy(runner, now_ms, row, LC_RUN_REJECTED);
        break;
    }
}

/* The clock in an answer belongs to the incarnation that the order was sent
 * to, unless another incarnation answered. */
static void
record_clock(Runner *runner, int64_t now_ms, const Runner_Task *row,
             Runner_OrderResult result, int64_t clock_ms)
{
    if (result != RUNNER_ORDER_OTHER_INCARNATION &&
        !RunnerTask_IsOfEarlierIncarnation(runner, row)) {
        RunnerUpstream_RecordClock(runner, now_ms, clock_ms);
    }
}

/* A copy that was answered or never delivered cannot be executed later. */
static void
count_answer(const Runner *runner, uint64_t order_id,
             Runner_OrderResult result)
{
    const Runner_Order *order = Handle_Get(runner->orders, order_id);
    Runner_Task *row = order == NULL
                           ? NULL
                           : Handle_Get(runner->by_handle, order->task);

    if (row != NULL && result != RUNNER_ORDER_UNANSWERED) {
        row->answered_copies++;
        row->start_accepted |= result == RUNNER_ORDER_ACCEPTED;
    }
}

void
Runner_OnStarted(Runner *runner, int64_t now_ms, uint64_t order_id,
                 Runner_OrderResult result, int64_t clock_ms)
{
    Runner_Task *row;

    RunnerAudit_CountOrder(runner, RUNNER_ORDER_START, result);
    count_answer(runner, order_id, result);
    row = complete_order(runner, now_ms, order_id, result, clock_ms);
    if (row == NULL) {
        return;
    }
    record_clock(runner, now_ms, row, result, clock_ms);
    Histogram_Add(&runner->start_latency, now_ms - row->ordered_ms);
    on_start_result(runner, now_ms, row, result);
    RunnerPoll_Send(runner, now_ms);
}

void
Runner_OnStopped(Runner *runner, int64_t now_ms, uint64_t order_id,
                 Runner_OrderResult result, int64_t clock_ms)
{
    Runner_Task *row = complete_order(runner, now_ms, order_id, result,
                                      clock_ms);

    RunnerAudit_CountOrder(runner, RUNNER_ORDER_STOP, result);
    if (result == RUNNER_ORDER_FENCED) {
        RunnerUpstream_RaiseToken(runner);
    }
    if (row == NULL) {
        return;
    }
    record_clock(runner, now_ms, row, result, clock_ms);
    if (result == RUNNER_ORDER_ACCEPTED) {
        row->stop_confirmed = true;
        row->stop_confirmed_ms = now_ms;
    }
    RunnerPoll_Send(runner, now_ms);
}

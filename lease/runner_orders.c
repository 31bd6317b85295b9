#include "lease/runner_state.h"

/* A start is given up, and its run stopped, after so many copies: with half
 * of all answers missing one start in 64 comes to that. */
#define COPIES_MOST 6
/* The pause between copies doubles after so many, up to a limit. Chosen: six
 * copies of an answer that takes under 1 ms go out within 170 ms, before the
 * lease (589 ms) is half over. */
#define COPIES_QUICK 3
#define PAUSE_MOST_MS 160
/* Orders on their way at once; no copy is sent beyond. Chosen below the 64
 * connections that the users' upstreams take. */
#define ORDERS_MOST 40
/* An upstream that has answered nothing to so many calls, sent over so long,
 * is sent nothing but looks. With half of all answers missing one in 16 such
 * rows is by chance, and the next answer ends the doubt. */
#define DOUBT_MISSES 4
#define DOUBT_MS 60

void
RunnerOrder_NoteAnswer(Runner *runner, bool in_time)
{
    runner->missed_in_row = 0;
    if (in_time) {
        AnswerTime_Hit(&runner->answers);
    }
}

void
RunnerOrder_NoteMiss(Runner *runner, int64_t now_ms, int64_t sent_ms)
{
    AnswerTime_Miss(&runner->answers);
    if (runner->missed_in_row++ == 0) {
        runner->missed_since_ms = sent_ms;
    }
    if (runner->missed_in_row >= DOUBT_MISSES &&
        now_ms - runner->missed_since_ms >= DOUBT_MS) {
        RunnerUpstream_Doubt(runner, "it does not answer");
    }
}

static int64_t
pause_ms(const Runner *runner, uint32_t copies)
{
    uint32_t doublings = copies > COPIES_QUICK ? copies - COPIES_QUICK : 0;
    int64_t timeout_ms = AnswerTime_TimeoutMs(&runner->answers);

    return MIN(timeout_ms << MIN(doublings, COPIES_MOST), PAUSE_MOST_MS);
}

static Handle
add_order(Runner *runner, int64_t now_ms, Runner_Task *row, uint32_t copies)
{
    Runner_Order *order = g_new0(Runner_Order, 1);

    row->order_ms = now_ms;
    order->task = row->handle;
    order->sent_ms = now_ms;
    order->due_ms = now_ms + pause_ms(runner, copies);
    return Handle_Add(runner->orders, order);
}

static void
send_start(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    Runner_Start start = {.id = row->id,
                          .spec = row->spec,
                          .instance = runner->up.instance,
                          .deadline_ms = row->deadline_clock_ms,
                          .token = runner->token};
    Handle id = add_order(runner, now_ms, row, ++row->start_copies);

    row->start_sent_ms = now_ms;
    runner->ports->start(runner->context, id, &start);
}

void
RunnerOrder_Start(Runner *runner, int64_t now_ms, Runner_Task *row,
                  int64_t lease_until_ms)
{
    int64_t ahead = MIN(lease_until_ms - now_ms, runner->config.term.hold_ms);

    row->deadline_clock_ms = RunnerUpstream_Clock(runner, now_ms) + ahead;
    RunnerLook_NoteHold(runner, now_ms, ahead);
    send_start(runner, now_ms, row);
}

void
RunnerOrder_Stop(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    Handle id = add_order(runner, now_ms, row, ++row->stop_copies);

    runner->ports->stop(runner->context, id, &row->id, runner->up.instance,
                        runner->token);
}

static bool
may_resend(const Runner *runner)
{
    return !runner->up.doubtful && Handle_Count(runner->orders) < ORDERS_MOST;
}

static bool
awaits_start(const Runner_Task *row)
{
    return row->state == TASK_ORDERED && row->confirmed_ms == 0;
}

/* The upstream takes copies of one run as one, and none that comes after its
 * deadline or after the run has ended there. */
static void
resend(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    if (!may_resend(runner)) {
        return; /* the next tick tries again */
    }
    if (row->state == TASK_STOPPING && !row->stop_confirmed) {
        RunnerOrder_Stop(runner, now_ms, row);
    }
    else if (awaits_start(row) && row->start_copies >= COPIES_MOST) {
        RunnerTask_Log(runner, EVENT_ORDER_UNANSWERED, row, "start, %u copies",
                       row->start_copies);
        RunnerTask_Stop(runner, now_ms, row, LC_RUN_LOST);
    }
    else if (awaits_start(row)) {
        Counter_Add(&runner->counters, COUNTER_ORDERS_RESENT, 1);
        send_start(runner, now_ms, row);
    }
}

/* A start that an earlier life may not have got is not sent to the next one:
 * its deadline is on the clock of the former. */
static bool
is_pending(const Runner *runner, const Runner_Task *row)
{
    return row->state == TASK_STOPPING ||
           !RunnerTask_IsOfEarlierLife(runner, row);
}

void
RunnerOrder_Retry(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    uint32_t copies = row->state == TASK_STOPPING ? row->stop_copies
                                                  : row->start_copies;

    if (row->state != TASK_ENDED && is_pending(runner, row) &&
        now_ms - row->order_ms >= pause_ms(runner, copies)) {
        resend(runner, now_ms, row);
    }
}

int64_t
RunnerOrder_DueMs(const Runner *runner)
{
    int64_t due_ms = INT64_MAX;
    uint32_t i;

    for (i = 0; i < Handle_Size(runner->orders); i++) {
        const Runner_Order *order = Handle_At(runner->orders, i);
        if (order != NULL) {
            due_ms = MIN(due_ms, order->due_ms);
        }
    }
    return due_ms;
}

void
RunnerOrder_Wake(Runner *runner, int64_t now_ms)
{
    uint32_t i;

    for (i = 0; i < Handle_Size(runner->orders); i++) {
        Runner_Order *order = Handle_At(runner->orders, i);
        Runner_Task *row;
        if (order == NULL || now_ms < order->due_ms) {
            continue;
        }
        order->due_ms = INT64_MAX;
        RunnerOrder_NoteMiss(runner, now_ms, order->sent_ms);
        row = Handle_Get(runner->by_handle, order->task);
        if (row != NULL) {
            RunnerOrder_Retry(runner, now_ms, row);
        }
    }
}

/* Notes how a copy was answered, and returns its task if that matters still.
 * A copy whose connection broke is missed at once. */
static Runner_Task *
take_answer(Runner *runner, int64_t now_ms, uint64_t order_id,
            Runner_OrderEnd end, int64_t clock_ms)
{
    Runner_Order *order = Handle_Remove(runner->orders, order_id);
    Runner_Task *row;
    bool in_time;

    if (order == NULL) {
        return NULL; /* a stop of a run that is not known here */
    }
    row = Handle_Get(runner->by_handle, order->task);
    in_time = order->due_ms != INT64_MAX;
    if (end != RUNNER_ORDER_OTHER && row != NULL &&
        !RunnerTask_IsOfEarlierLife(runner, row)) {
        RunnerUpstream_CheckClock(runner, now_ms, order->sent_ms, clock_ms);
    }
    if (end != RUNNER_ORDER_UNSENT && end != RUNNER_ORDER_UNANSWERED) {
        AnswerTime_Take(&runner->answers, now_ms - order->sent_ms);
        RunnerOrder_NoteAnswer(runner, in_time);
    }
    else if (in_time) {
        RunnerOrder_NoteMiss(runner, now_ms, order->sent_ms);
    }
    g_free(order);
    return row == NULL || row->state == TASK_ENDED ? NULL : row;
}

/* A copy of the start was not carried out. Others may have been, or may be
 * later: then the run is stopped, and its room stays taken until it is
 * certainly over. */
static void
refuse_copy(Runner *runner, int64_t now_ms, Runner_Task *row,
            lc_run_status status)
{
    row->refused_copies++;
    if (row->refused_copies < row->start_copies) {
        RunnerTask_Stop(runner, now_ms, row, status);
        return;
    }
    row->ran_ms = 0;
    RunnerTask_End(runner, now_ms, row,
                   row->state == TASK_STOPPING ? row->status : status);
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

/* The upstream knows a later run or has seen this one end. After a copy that
 * had no answer the latter is likely: the next look tells how it ended. */
static void
take_old(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    if (row->start_copies > 1) {
        row->confirmed_ms = now_ms;
    }
    else {
        refuse_copy(runner, now_ms, row, LC_RUN_OLD);
    }
}

static void
take_start(Runner *runner, int64_t now_ms, Runner_Task *row,
           Runner_OrderEnd end)
{
    switch (end) {
    case RUNNER_ORDER_TAKEN:
        confirm_start(now_ms, row);
        break;
    case RUNNER_ORDER_UNANSWERED:
        RunnerOrder_Retry(runner, now_ms, row);
        break;
    case RUNNER_ORDER_OTHER:
        RunnerUpstream_MeetOther(runner, now_ms);
        break;
    case RUNNER_ORDER_OLD:
        take_old(runner, now_ms, row);
        break;
    case RUNNER_ORDER_UNWELL:
        Health_Bad(&runner->health, now_ms, row->id.job);
        refuse_copy(runner, now_ms, row, LC_RUN_REJECTED);
        break;
    case RUNNER_ORDER_UNSENT:
        RunnerUpstream_Refused(runner);
        refuse_copy(runner, now_ms, row, LC_RUN_REJECTED);
        break;
    case RUNNER_ORDER_FENCED:
        if (!RunnerTask_IsOfEarlierLife(runner, row)) {
            RunnerUpstream_RaiseToken(runner);
        }
        refuse_copy(runner, now_ms, row, LC_RUN_REJECTED);
        break;
    default:
        RunnerTask_Log(runner, EVENT_ORDER_REFUSED, row, "start, order end %d",
                       (int)end);
        refuse_copy(runner, now_ms, row, LC_RUN_REJECTED);
        break;
    }
}

/* The answer to a task's order has the clock of the life that it was ordered
 * from, but where another incarnation answers. */
static void
take_clock(Runner *runner, int64_t now_ms, const Runner_Task *row,
           Runner_OrderEnd end, int64_t clock_ms)
{
    if (end != RUNNER_ORDER_OTHER &&
        !RunnerTask_IsOfEarlierLife(runner, row)) {
        RunnerUpstream_TakeClock(runner, now_ms, clock_ms);
    }
}

/* A copy that was answered or never sent cannot be executed later. */
static void
count_answer(const Runner *runner, uint64_t order_id, Runner_OrderEnd end)
{
    const Runner_Order *order = Handle_Get(runner->orders, order_id);
    Runner_Task *row = order == NULL
                           ? NULL
                           : Handle_Get(runner->by_handle, order->task);

    if (row != NULL && end != RUNNER_ORDER_UNANSWERED) {
        row->answered_copies++;
        row->start_taken |= end == RUNNER_ORDER_TAKEN;
    }
}

void
Runner_OnStarted(Runner *runner, int64_t now_ms, uint64_t order_id,
                 Runner_OrderEnd end, int64_t clock_ms)
{
    Runner_Task *row;

    count_answer(runner, order_id, end);
    row = take_answer(runner, now_ms, order_id, end, clock_ms);
    if (row == NULL) {
        return;
    }
    take_clock(runner, now_ms, row, end, clock_ms);
    Histogram_Add(&runner->orders_time, now_ms - row->ordered_ms);
    take_start(runner, now_ms, row, end);
    RunnerLook_Send(runner, now_ms);
}

void
Runner_OnStopped(Runner *runner, int64_t now_ms, uint64_t order_id,
                 Runner_OrderEnd end, int64_t clock_ms)
{
    Runner_Task *row = take_answer(runner, now_ms, order_id, end, clock_ms);

    if (end == RUNNER_ORDER_FENCED) {
        RunnerUpstream_RaiseToken(runner);
    }
    if (row == NULL) {
        return;
    }
    take_clock(runner, now_ms, row, end, clock_ms);
    if (end == RUNNER_ORDER_TAKEN) {
        row->stop_confirmed = true;
        row->stop_confirmed_ms = now_ms;
    }
    RunnerLook_Send(runner, now_ms);
}

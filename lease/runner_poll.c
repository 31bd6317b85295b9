#include "lease/runner_state.h"

#include <string.h>

#include "lease/run_id.h"

/* Longest time that the upstream delays the answer to a poll until a run ends.
 * Also the longest interval between two progress reports. */
#define POLL_WAIT_MS 100
/* The same while answers are being lost. An end listed in a lost answer is
 * only learned from the next poll. Twice the least answer timeout. */
#define POLL_WAIT_LOSSY_MS 20
/* Delay between polls while ends are held. Polls are answered immediately
 * then, as each answer lists the held ends again. */
#define HELD_POLL_DELAY_MS 5
/* The delay grows by one ms for each of this many listed ends, as reading the
 * answers takes processor time. */
#define LISTED_ENDS_PER_MS 10
/* Progress that an upstream reports of a long-running task that is at work. */
#define AT_WORK_PERCENT 100
/* Delay after a poll that a suspected upstream has not answered, and after one
 * that another incarnation has answered. */
#define SUSPECT_POLL_DELAY_MS 50
#define OTHER_POLL_DELAY_MS 150

/* Returns the last_seen to send, or 0 if an answer has already confirmed it.
 * A restarted upstream numbers its ends from 1 again, so repeating a confirmed
 * number could acknowledge unread ends of the new incarnation. */
static uint64_t
unacknowledged_last_seen(const Runner *runner)
{
    uint64_t last_seen = RunnerDurable_LastSeen(runner);

    return last_seen > runner->upstream.acknowledged ? last_seen : 0;
}

static bool
needs_poll(const Runner *runner)
{
    return runner->active_tasks > 0 || !runner->upstream.inventoried ||
           unacknowledged_last_seen(runner) > 0 || runner->upstream.doubtful ||
           runner->candidate.pending || runner->unknown_since_ms != 0;
}

static void
update_hold(Runner *runner)
{
    uint32_t i;

    runner->hold_until_ms = runner->sent_hold_ms;
    for (i = 0; i < runner->poll_count; i++) {
        runner->hold_until_ms = MAX(runner->hold_until_ms,
                                    runner->polls[i].hold_until_ms);
    }
}

void
RunnerPoll_RecordHold(Runner *runner, int64_t now_ms, int64_t ahead_ms)
{
    int64_t until = now_ms + LeaseTiming_MaxHoldMs(ahead_ms);

    runner->sent_hold_ms = MAX(runner->sent_hold_ms, until);
    runner->written_hold_ms = MAX(runner->written_hold_ms, until);
    update_hold(runner);
}

void
RunnerPoll_DropAll(Runner *runner)
{
    runner->sent_hold_ms = runner->hold_until_ms;
    runner->poll_count = 0;
}

void
RunnerPoll_ClearHold(Runner *runner)
{
    uint32_t i;

    for (i = 0; i < runner->poll_count; i++) {
        runner->polls[i].hold_until_ms = 0;
    }
    runner->sent_hold_ms = 0;
    runner->written_hold_ms = 0;
    runner->hold_until_ms = 0;
}

static void
shift_time(int64_t *time_ms, int64_t by_ms)
{
    if (*time_ms > 0) {
        *time_ms += by_ms;
    }
}

void
RunnerPoll_ShiftHold(Runner *runner, int64_t ms)
{
    uint32_t i;

    for (i = 0; i < runner->poll_count; i++) {
        shift_time(&runner->polls[i].hold_until_ms, ms);
    }
    shift_time(&runner->sent_hold_ms, ms);
    shift_time(&runner->written_hold_ms, ms);
    update_hold(runner);
}

/* After a missing answer, the upstream is asked to answer immediately. */
static uint32_t
wait_ms(const Runner *runner)
{
    bool runs = runner->active_tasks > 0 || runner->unknown_since_ms != 0;

    if (!runs || runner->consecutive_misses > 0 || runner->candidate.pending) {
        return 0;
    }
    return RtoEstimator_IsLossy(&runner->rto) ? POLL_WAIT_LOSSY_MS
                                              : POLL_WAIT_MS;
}

/* @p sent: whether the poll may have reached the upstream. */
static void
drop_poll(Runner *runner, uint32_t index, bool sent)
{
    uint32_t after = --runner->poll_count - index;

    if (sent) {
        runner->sent_hold_ms = MAX(runner->sent_hold_ms,
                                   runner->polls[index].hold_until_ms);
    }
    memmove(&runner->polls[index], &runner->polls[index + 1],
            after * sizeof(runner->polls[0]));
    update_hold(runner);
}

static uint64_t
add_poll(Runner *runner, int64_t now_ms, const Runner_Poll *poll,
         int64_t hold_until_ms)
{
    Runner_PendingPoll pending = {.id = ++runner->last_poll_id,
                                  .sent_ms = now_ms,
                                  .last_seen = poll->last_seen,
                                  .hold_until_ms = hold_until_ms,
                                  .waits = poll->wait_ms > 0};

    pending.due_ms = now_ms + poll->wait_ms +
                     RtoEstimator_TimeoutMs(&runner->rto);
    if (runner->poll_count == RUNNER_MAX_PENDING_POLLS) {
        drop_poll(runner, 0, true);
    }
    runner->polls[runner->poll_count++] = pending;
    update_hold(runner);
    return pending.id;
}

int64_t
RunnerPoll_DueMs(const Runner *runner)
{
    int64_t due_ms = INT64_MAX;
    uint32_t i;

    for (i = 0; i < runner->poll_count; i++) {
        due_ms = MIN(due_ms, runner->polls[i].due_ms);
    }
    return due_ms;
}

/* The hold is extended only while it may be in force. Once it has expired, the
 * runs that it kept are over; a run that goes on is one of another
 * incarnation, on whose clock the deadline means nothing. Neither is it
 * extended while such an incarnation is heard. A poll that waits for a
 * connection may never be written, so the hold to which it would extend does
 * not count here. Returns the time to which the poll extends the hold, or 0.
 */
static int64_t
extend_hold(Runner *runner, int64_t now_ms, Runner_Poll *poll)
{
    int64_t ahead = runner->upstream.inventoried
                        ? RunnerOwner_MaxHoldMs(runner, now_ms)
                        : 0;

    RunnerAudit_CheckHoldLimit(runner, now_ms);
    if (ahead <= 0 || runner->upstream.clock_ms <= 0 ||
        now_ms > runner->written_hold_ms || runner->upstream.left ||
        RunnerUpstream_MayHaveRestarted(runner)) {
        return 0;
    }
    poll->deadline_ms = RunnerUpstream_Clock(runner, now_ms) + ahead;
    poll->send_by_ms = runner->written_hold_ms;
    return now_ms + LeaseTiming_MaxHoldMs(ahead);
}

void
RunnerPoll_Send(Runner *runner, int64_t now_ms)
{
    Runner_Poll poll = {.instance = runner->upstream.instance,
                        .token = runner->token};
    int64_t hold_until_ms;

    if (RunnerPoll_DueMs(runner) != INT64_MAX || !needs_poll(runner) ||
        now_ms < runner->next_poll_ms) {
        return;
    }
    poll.last_seen = unacknowledged_last_seen(runner);
    hold_until_ms = extend_hold(runner, now_ms, &poll);
    poll.wait_ms = wait_ms(runner);
    runner->ports->poll(runner->context,
                        add_poll(runner, now_ms, &poll, hold_until_ms), &poll);
}

static lc_run_status
status_of_end(const Runner_Task *row, Runner_End end)
{
    static const lc_run_status statuses[RUNNER_END_COUNT] = {
        [RUNNER_END_DONE] = LC_RUN_DONE,
        [RUNNER_END_FAILED] = LC_RUN_FAILED,
        [RUNNER_END_STOPPED] = LC_RUN_STOPPED,
        [RUNNER_END_HOLD_EXPIRED] = LC_RUN_LOST,
    };

    /* A failure of a durable run counts as an attempt in any case. */
    if (row->state == TASK_STOPPING && end != RUNNER_END_DONE &&
        !(end == RUNNER_END_FAILED && RunId_IsDurable(&row->id))) {
        return row->status;
    }
    return statuses[end];
}

static void
log_trial(const Runner *runner, bool begins)
{
    char text[80];

    g_snprintf(text, sizeof(text), "pace %u%%, %u consecutive failures",
               runner->health.pace_percent,
               runner->health.consecutive_failures);
    RunnerUpstream_Log(
        runner, begins ? EVENT_UPSTREAM_TRIAL : EVENT_UPSTREAM_TRUSTED, text);
}

static void
record_outcome(Runner *runner, int64_t now_ms, const Runner_Task *row,
               Runner_End end)
{
    bool begins = false;

    if (end == RUNNER_END_DONE) {
        Histogram_Add(&runner->run_times, row->ran_ms);
        if (Health_RecordSuccess(&runner->health, row->ran_ms,
                                 row->suspended ? 0 : row->estimate_ms)) {
            log_trial(runner, false);
        }
    }
    else if (end == RUNNER_END_FAILED && row->state != TASK_STOPPING &&
             !row->lasted) {
        begins = Health_RecordFailure(&runner->health, now_ms, row->id.job);
    }
    if (begins) {
        log_trial(runner, true);
    }
}

static void
apply_ended_run(Runner *runner, int64_t now_ms, const Runner_EndedRun *ended)
{
    Runner_Task *row = g_hash_table_lookup(runner->tasks, &ended->id);

    runner->upstream.last_seen = MAX(runner->upstream.last_seen,
                                     ended->number);
    if (RunId_IsDurable(&ended->id) && (row == NULL || row->end_number == 0)) {
        RunnerDurable_HoldEnd(runner, now_ms, row, ended);
    }
    if (row != NULL && ended->end != RUNNER_END_STOPPED) {
        row->executed = true;
    }
    if (row == NULL || row->state == TASK_ENDED) {
        return;
    }
    if (ended->end == RUNNER_END_HOLD_EXPIRED) {
        RunnerAudit_OnHoldExpired(runner, row);
    }
    row->ran_ms = (uint32_t)(now_ms - row->ordered_ms);
    record_outcome(runner, now_ms, row, ended->end);
    RunnerTask_End(runner, now_ms, row, status_of_end(row, ended->end));
}

static void
stop_unknown_run(Runner *runner, const lc_run_id *id)
{
    runner->ports->stop(runner->context, 0, id, runner->upstream.instance,
                        runner->token);
}

static void
stop_stalled(Runner *runner, int64_t now_ms, Runner_Task *row,
             const char *reason)
{
    row->ran_ms = (uint32_t)(now_ms - row->ordered_ms);
    RunnerTask_Log(runner, EVENT_RUN_STALLED, row,
                   "%s: %u%% after %u ms, estimated %u ms", reason,
                   row->percent, row->ran_ms, row->estimate_ms);
    RunnerTask_Stop(runner, now_ms, row, LC_RUN_STALLED);
}

/* No end is expected of a long-running task, which has no estimate. That it is
 * at work shows that its upstream executes what it starts; that it fails later
 * shows nothing, as it may at any time. */
static void
check_lasted(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    if (row->lasted || row->estimate_ms > 0 ||
        row->percent < AT_WORK_PERCENT || row->state != TASK_RUNNING ||
        now_ms - row->confirmed_ms < HEALTH_TRIAL_TASK_MS) {
        return;
    }
    row->lasted = true;
    if (Health_RecordSuccess(&runner->health, 0, 0)) {
        runner->version++;
        log_trial(runner, false);
    }
}

/* Returns false for a run that no active task stands for. */
static bool
apply_active_run(Runner *runner, int64_t now_ms,
                 const Runner_PendingPoll *poll,
                 const Runner_ActiveRun *running)
{
    Runner_Task *row = g_hash_table_lookup(runner->tasks, &running->id);

    if (row != NULL && row->state == TASK_ENDED &&
        row->ended_ms >= poll->sent_ms) {
        return true; /* this answer was overtaken by a later one */
    }
    if (row == NULL || row->state == TASK_ENDED) {
        RunnerAudit_OnUnknownRun(runner, now_ms, &running->id, row);
        stop_unknown_run(runner, &running->id);
        return false;
    }
    RunnerAudit_CheckLease(runner, now_ms, poll->sent_ms, row);
    if (RunnerTask_IsOfEarlierIncarnation(runner, row)) {
        /* A late start, with a deadline on another incarnation's clock. */
        RunnerTask_Stop(runner, now_ms, row, LC_RUN_LOST);
        return true;
    }
    if (row->state == TASK_ORDERED) {
        row->state = TASK_RUNNING;
        row->confirmed_ms = now_ms;
    }
    if (row->progress_ms == 0 || running->percent > row->percent) {
        row->percent = running->percent;
        row->progress_ms = now_ms;
    }
    else if (row->state == TASK_RUNNING && row->estimate_ms > 0 &&
             Health_IsHung(now_ms - row->progress_ms, row->estimate_ms)) {
        if (Health_RecordStall(&runner->health, now_ms)) {
            log_trial(runner, true);
        }
        stop_stalled(runner, now_ms, row, "it hangs");
    }
    check_lasted(runner, now_ms, row);
    return true;
}

static Health_Progress
progress_of(const Runner_Task *row, int64_t now_ms)
{
    Health_Progress progress = {
        .job = row->id.job,
        .elapsed_ms = (uint32_t)(now_ms - row->ordered_ms),
        .percent = row->percent,
        .estimate_ms = row->estimate_ms,
    };

    return progress;
}

static bool
tells_pace(const Runner_Task *row)
{
    return row->state == TASK_RUNNING && row->progress_ms > 0 &&
           row->estimate_ms > 0 && !row->suspended;
}

/* Updates the upstream's pace from the progress of all runs, and stops runs
 * that would end sooner on another upstream. */
static void
update_pace(Runner *runner, int64_t now_ms)
{
    GArray *runs = g_array_new(FALSE, FALSE, sizeof(Health_Progress));
    GList *rows = RunnerTask_All(runner);
    GList *item;
    uint32_t slow;

    for (item = rows; item != NULL; item = item->next) {
        const Runner_Task *row = item->data;
        if (tells_pace(row)) {
            Health_Progress progress = progress_of(row, now_ms);
            g_array_append_val(runs, progress);
        }
    }
    slow = Health_ApplyProgress(
        &runner->health, (Health_Progress *)(void *)runs->data, runs->len);
    for (item = rows; slow > 0 && item != NULL; item = item->next) {
        Runner_Task *row = item->data;
        Health_Progress progress = progress_of(row, now_ms);
        if (tells_pace(row) && Health_IsFasterElsewhere(&progress, slow)) {
            stop_stalled(runner, now_ms, row, "slow upstream");
        }
    }
    g_list_free(rows);
    g_array_unref(runs);
}

static bool
is_listed(const Runner_PollAnswer *listing, const lc_run_id *id)
{
    uint32_t i;

    for (i = 0; i < listing->running_count; i++) {
        if (RunId_Equal(&listing->running[i].id, id)) {
            return true;
        }
    }
    return false;
}

/* Whether a task that the answer to a poll does not list neither runs nor can
 * start any more. All polls of this incarnation carry a higher fencing token
 * than starts sent to earlier ones, so that such starts are not executed after
 * the poll. */
static bool
is_certainly_over(const Runner *runner, const Runner_PendingPoll *poll,
                  const Runner_Task *row, int64_t clock_ms)
{
    if (RunnerTask_IsOfEarlierIncarnation(runner, row)) {
        return true;
    }
    if (row->confirmed_ms > 0 && row->confirmed_ms < poll->sent_ms) {
        return true;
    }
    if (row->stop_confirmed && row->stop_confirmed_ms < poll->sent_ms) {
        return true;
    }
    return clock_ms > row->deadline_clock_ms;
}

/* Handles tasks that the upstream does not execute any more. If the answer
 * holds as many ends as it can, theirs may not be among them yet. */
static void
end_unlisted(Runner *runner, int64_t now_ms, const Runner_PendingPoll *poll,
             const Runner_PollAnswer *listing)
{
    bool all_ends = listing->ended_count < RUNNER_MAX_LISTED_ENDS;
    GList *rows = RunnerTask_All(runner);
    GList *item;

    for (item = rows; item != NULL; item = item->next) {
        Runner_Task *row = item->data;
        if (row->state == TASK_ENDED || is_listed(listing, &row->id) ||
            !is_certainly_over(runner, poll, row, listing->clock_ms)) {
            continue;
        }
        if (all_ends) {
            RunnerTask_EndLost(
                runner, now_ms, row,
                RunnerTask_IsOfEarlierIncarnation(runner, row) &&
                    !runner->upstream.earlier_drained);
        }
        else {
            RunnerTask_MarkOver(runner, row);
        }
    }
    g_list_free(rows);
}

/* No task is started until the upstream was found to run none, so there is
 * no hold in effect at that point. */
static void
apply_inventory(Runner *runner, bool empty)
{
    runner->upstream.inventoried = empty;
    runner->version++;
    if (empty) {
        RunnerPoll_ClearHold(runner);
    }
}

static void
apply_listing(Runner *runner, int64_t now_ms, const Runner_PendingPoll *poll,
              const Runner_PollAnswer *listing)
{
    uint64_t last_seen_before = runner->upstream.last_seen;
    bool all_known = true;
    uint32_t i;

    RunnerUpstream_Trust(runner);
    runner->upstream.acknowledged = MAX(runner->upstream.acknowledged,
                                        poll->last_seen);
    RunnerUpstream_RecordAnswer(runner, now_ms, poll->sent_ms,
                                listing->clock_ms);
    for (i = 0; i < listing->ended_count; i++) {
        apply_ended_run(runner, now_ms, &listing->ended[i]);
    }
    for (i = 0; i < listing->running_count; i++) {
        all_known &= apply_active_run(runner, now_ms, poll,
                                      &listing->running[i]);
    }
    if (all_known) {
        runner->unknown_since_ms = 0;
    }
    else if (runner->unknown_since_ms == 0) {
        runner->unknown_since_ms = now_ms;
    }
    end_unlisted(runner, now_ms, poll, listing);
    update_pace(runner, now_ms);
    if (!runner->upstream.inventoried) {
        apply_inventory(runner, listing->running_count == 0);
    }
    if ((runner->held_for_starts > 0 &&
         runner->upstream.last_seen == last_seen_before) ||
        (runner->unreleased > 0 &&
         listing->ended_count >= RUNNER_MANY_LISTED_ENDS)) {
        runner->next_poll_ms = now_ms + HELD_POLL_DELAY_MS +
                               listing->ended_count / LISTED_ENDS_PER_MS;
    }
}

static void
record_poll_miss(Runner *runner, int64_t now_ms,
                 const Runner_PendingPoll *poll)
{
    RunnerOrder_RecordMiss(runner, now_ms, poll->sent_ms);
    runner->next_poll_ms = now_ms;
    if (runner->upstream.doubtful) {
        runner->next_poll_ms += SUSPECT_POLL_DELAY_MS;
    }
}

void
RunnerPoll_CheckOverdue(Runner *runner, int64_t now_ms)
{
    uint32_t i;

    for (i = 0; i < runner->poll_count; i++) {
        Runner_PendingPoll *poll = &runner->polls[i];
        if (now_ms >= poll->due_ms) {
            poll->due_ms = INT64_MAX;
            record_poll_miss(runner, now_ms, poll);
        }
    }
    RunnerPoll_Send(runner, now_ms);
}

static void
handle_poll_answer(Runner *runner, int64_t now_ms,
                   const Runner_PendingPoll *poll)
{
    RunnerOrder_RecordAnswer(runner, poll->due_ms != INT64_MAX);
    if (!poll->waits) {
        RtoEstimator_AddSample(&runner->rto, now_ms - poll->sent_ms);
    }
    runner->next_poll_ms = now_ms;
}

/* A failed connection makes the upstream suspected at once. A missing answer
 * counts as one miss, and only once. */
static void
handle_poll_failure(Runner *runner, int64_t now_ms,
                    const Runner_PendingPoll *poll, Runner_OrderResult result)
{
    if (result == RUNNER_ORDER_UNSENT) {
        RunnerUpstream_RecordRefused(runner);
    }
    if (poll->due_ms != INT64_MAX) {
        record_poll_miss(runner, now_ms, poll);
    }
}

/* Removes a poll from the pending ones; @p sent as in drop_poll. */
static bool
remove_poll(Runner *runner, uint64_t poll_id, bool sent,
            Runner_PendingPoll *poll)
{
    uint32_t i;

    for (i = 0; i < runner->poll_count; i++) {
        if (runner->polls[i].id == poll_id) {
            *poll = runner->polls[i];
            drop_poll(runner, i, sent);
            return true;
        }
    }
    return false;
}

static void
record_written(Runner *runner, const Runner_PendingPoll *poll)
{
    runner->written_hold_ms = MAX(runner->written_hold_ms,
                                  poll->hold_until_ms);
}

void
Runner_OnPollWritten(Runner *runner, uint64_t poll_id)
{
    uint32_t i;

    for (i = 0; i < runner->poll_count; i++) {
        if (runner->polls[i].id == poll_id) {
            record_written(runner, &runner->polls[i]);
        }
    }
}

void
Runner_OnPollAnswer(Runner *runner, int64_t now_ms, uint64_t poll_id,
                    const Runner_PollAnswer *listing)
{
    bool sent = listing->end != RUNNER_ORDER_ABANDONED &&
                listing->end != RUNNER_ORDER_UNSENT;
    Runner_PendingPoll poll;

    RunnerAudit_CountOrder(runner, RUNNER_ORDER_POLL, listing->end);
    if (!remove_poll(runner, poll_id, sent, &poll)) {
        return;
    }
    if (sent) {
        record_written(runner, &poll);
    }
    switch (listing->end) {
    case RUNNER_ORDER_ACCEPTED:
        handle_poll_answer(runner, now_ms, &poll);
        if (RunnerUpstream_CheckStartTime(runner, now_ms, listing->born_ms)) {
            break;
        }
        RunnerUpstream_Confirm(runner, poll.id);
        apply_listing(runner, now_ms, &poll, listing);
        break;
    case RUNNER_ORDER_FENCED:
        handle_poll_answer(runner, now_ms, &poll);
        RunnerUpstream_RaiseToken(runner);
        break;
    case RUNNER_ORDER_ABANDONED:
        runner->next_poll_ms = now_ms;
        break;
    case RUNNER_ORDER_OTHER_INCARNATION:
        RunnerUpstream_OnOtherIncarnation(runner, now_ms);
        if (!runner->upstream.known) {
            runner->next_poll_ms = now_ms + OTHER_POLL_DELAY_MS;
        }
        break;
    default:
        handle_poll_failure(runner, now_ms, &poll, listing->end);
        break;
    }
    RunnerPoll_Send(runner, now_ms);
}

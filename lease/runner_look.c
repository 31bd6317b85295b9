#include "lease/runner_state.h"

#include <string.h>

#include "lease/run_id.h"

/* A look waits so long for an end, and tells progress at least so often. */
#define LOOK_WAIT_MS 100
/* Likewise while answers go missing, as an end that a lost answer told of is
 * told by the next look only. Chosen: twice the least timeout; docs/ROUNDS.md
 * has the ablation. */
#define LOOK_WAIT_LOSSY_MS 20
/* Delay between looks while ends are held for their starts. Looks are answered
 * immediately then, as each answer lists the held ends again. */
#define HELD_AGAIN_MS 5
/* After a look to an upstream that does not answer, or to another
 * incarnation. */
#define LOOK_AGAIN_MS 50
#define OTHER_AGAIN_MS 150

/* Returns the last_seen to send, or 0 if an answer has already confirmed it.
 * A restarted upstream numbers its ends from 1 again, so repeating a confirmed
 * number could acknowledge unread ends of the new incarnation. */
static uint64_t
unacknowledged_last_seen(const Runner *runner)
{
    uint64_t last_seen = RunnerKept_LastSeen(runner);

    return last_seen > runner->up.acknowledged ? last_seen : 0;
}

static bool
look_wanted(const Runner *runner)
{
    return runner->live > 0 || !runner->up.inventoried ||
           unacknowledged_last_seen(runner) > 0 || runner->up.doubtful ||
           runner->successor.pending;
}

void
RunnerLook_NoteHold(Runner *runner, int64_t now_ms, int64_t ahead_ms)
{
    int64_t until = now_ms + Term_HoldAtMost(ahead_ms);

    runner->hold_until_ms = MAX(runner->hold_until_ms, until);
}

/* After a missed answer the state is asked for at once. */
static uint32_t
wait_ms(const Runner *runner)
{
    if (runner->live == 0 || runner->missed_in_row > 0 ||
        runner->successor.pending) {
        return 0;
    }
    return AnswerTime_IsLossy(&runner->answers) ? LOOK_WAIT_LOSSY_MS
                                                : LOOK_WAIT_MS;
}

static void
drop_look(Runner *runner, uint32_t index)
{
    uint32_t after = --runner->look_count - index;

    memmove(&runner->looks[index], &runner->looks[index + 1],
            after * sizeof(runner->looks[0]));
}

static uint64_t
add_look(Runner *runner, int64_t now_ms, const Runner_Look *look)
{
    Runner_OpenLook open = {.id = ++runner->last_look_id,
                            .sent_ms = now_ms,
                            .last_seen = look->last_seen,
                            .waits = look->wait_ms > 0};

    open.due_ms = now_ms + look->wait_ms +
                  AnswerTime_TimeoutMs(&runner->answers);
    if (runner->look_count == RUNNER_LOOKS_MOST) {
        drop_look(runner, 0);
    }
    runner->looks[runner->look_count++] = open;
    return open.id;
}

int64_t
RunnerLook_DueMs(const Runner *runner)
{
    int64_t due_ms = INT64_MAX;
    uint32_t i;

    for (i = 0; i < runner->look_count; i++) {
        due_ms = MIN(due_ms, runner->looks[i].due_ms);
    }
    return due_ms;
}

void
RunnerLook_Send(Runner *runner, int64_t now_ms)
{
    Runner_Look look = {.instance = runner->up.instance,
                        .token = runner->token};
    int64_t ahead;

    if (RunnerLook_DueMs(runner) != INT64_MAX || !look_wanted(runner) ||
        now_ms < runner->look_again_ms) {
        return;
    }
    look.last_seen = unacknowledged_last_seen(runner);
    ahead = runner->up.inventoried ? RunnerOwner_HoldAhead(runner, now_ms) : 0;
    if (ahead > 0 && runner->up.clock_ms > 0) {
        look.deadline_ms = RunnerUpstream_Clock(runner, now_ms) + ahead;
        RunnerLook_NoteHold(runner, now_ms, ahead);
    }
    look.wait_ms = wait_ms(runner);
    runner->ports->look(runner->context, add_look(runner, now_ms, &look),
                        &look);
}

static lc_run_status
status_of_end(const Runner_Task *row, Runner_End end)
{
    static const lc_run_status statuses[RUNNER_END_COUNT] = {
        [RUNNER_END_DONE] = LC_RUN_DONE,
        [RUNNER_END_FAILED] = LC_RUN_FAILED,
        [RUNNER_END_STOPPED] = LC_RUN_STOPPED,
        [RUNNER_END_LAPSED] = LC_RUN_LOST,
    };

    if (row->state == TASK_STOPPING && end != RUNNER_END_DONE) {
        return row->status;
    }
    return statuses[end];
}

static void
log_trial(const Runner *runner, bool begins)
{
    char text[80];

    g_snprintf(text, sizeof(text), "pace %u%%, %u bad in a row",
               runner->health.pace_percent, runner->health.bad_in_row);
    RunnerUpstream_Log(
        runner, begins ? EVENT_UPSTREAM_TRIAL : EVENT_UPSTREAM_TRUSTED, text);
}

static void
judge_end(Runner *runner, int64_t now_ms, const Runner_Task *row,
          Runner_End end)
{
    bool begins = false;

    if (end == RUNNER_END_DONE) {
        Histogram_Add(&runner->runs, row->ran_ms);
        if (Health_Good(&runner->health, row->ran_ms, row->estimate_ms)) {
            log_trial(runner, false);
        }
    }
    else if (end == RUNNER_END_FAILED && row->state != TASK_STOPPING) {
        begins = Health_Bad(&runner->health, now_ms, row->id.job);
    }
    if (begins) {
        log_trial(runner, true);
    }
}

static void
take_end(Runner *runner, int64_t now_ms, const Runner_EndRow *ended)
{
    Runner_Task *row = g_hash_table_lookup(runner->tasks, &ended->id);

    runner->up.last_seen = MAX(runner->up.last_seen, ended->number);
    if (RunId_IsKept(&ended->id) && (row == NULL || row->end_number == 0)) {
        RunnerKept_HoldEnd(runner, now_ms, row, ended);
    }
    if (row == NULL || row->state == TASK_ENDED) {
        return;
    }
    row->ran_ms = (uint32_t)(now_ms - row->ordered_ms);
    judge_end(runner, now_ms, row, ended->end);
    RunnerTask_End(runner, now_ms, row, status_of_end(row, ended->end));
}

static void
stop_stranger(Runner *runner, const lc_run_id *id)
{
    runner->ports->stop(runner->context, 0, id, runner->up.instance,
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

static void
take_row(Runner *runner, int64_t now_ms, const Runner_OpenLook *look,
         const Runner_Row *running)
{
    Runner_Task *row = g_hash_table_lookup(runner->tasks, &running->id);

    if (row != NULL && row->state == TASK_ENDED &&
        row->ended_ms >= look->sent_ms) {
        return; /* an answer that was passed by a later one */
    }
    if (row == NULL || row->state == TASK_ENDED) {
        stop_stranger(runner, &running->id);
        return;
    }
    if (RunnerTask_IsOfEarlierLife(runner, row)) {
        /* It came late, with a deadline on another life's clock. */
        RunnerTask_Stop(runner, now_ms, row, LC_RUN_LOST);
        return;
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
             Health_Hangs(now_ms - row->progress_ms, row->estimate_ms)) {
        if (Health_Stalled(&runner->health, now_ms)) {
            log_trial(runner, true);
        }
        stop_stalled(runner, now_ms, row, "it hangs");
    }
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

/* Judges the upstream's pace by all that runs, and frees what would end
 * sooner elsewhere. */
static void
judge_pace(Runner *runner, int64_t now_ms)
{
    GArray *runs = g_array_new(FALSE, FALSE, sizeof(Health_Progress));
    GList *rows = RunnerTask_All(runner);
    GList *item;
    uint32_t slow;

    for (item = rows; item != NULL; item = item->next) {
        const Runner_Task *row = item->data;
        if (row->state == TASK_RUNNING && row->progress_ms > 0 &&
            row->estimate_ms > 0) {
            Health_Progress progress = progress_of(row, now_ms);
            g_array_append_val(runs, progress);
        }
    }
    slow = Health_TakeProgress(
        &runner->health, (Health_Progress *)(void *)runs->data, runs->len);
    for (item = rows; slow > 0 && item != NULL; item = item->next) {
        Runner_Task *row = item->data;
        Health_Progress progress = progress_of(row, now_ms);
        if (row->state == TASK_RUNNING && row->progress_ms > 0 &&
            row->estimate_ms > 0 && Health_BetterElsewhere(&progress, slow)) {
            stop_stalled(runner, now_ms, row, "the upstream is slow");
        }
    }
    g_list_free(rows);
    g_array_unref(runs);
}

static bool
is_listed(const Runner_Listing *listing, const lc_run_id *id)
{
    uint32_t i;

    for (i = 0; i < listing->running_count; i++) {
        if (RunId_Equal(&listing->running[i].id, id)) {
            return true;
        }
    }
    return false;
}

/* Whether a task that the look does not list can neither run nor come. All
 * looks in this life carry a token above that of earlier lives' starts, so
 * that none of these is carried out behind them. */
static bool
is_over(const Runner *runner, const Runner_OpenLook *look,
        const Runner_Task *row, int64_t clock_ms)
{
    if (RunnerTask_IsOfEarlierLife(runner, row)) {
        return true;
    }
    if (row->confirmed_ms > 0 && row->confirmed_ms < look->sent_ms) {
        return true;
    }
    if (row->stop_confirmed && row->stop_confirmed_ms < look->sent_ms) {
        return true;
    }
    return clock_ms > row->deadline_clock_ms;
}

static void
end_unlisted(Runner *runner, int64_t now_ms, const Runner_OpenLook *look,
             const Runner_Listing *listing)
{
    GList *rows = RunnerTask_All(runner);
    GList *item;

    for (item = rows; item != NULL; item = item->next) {
        Runner_Task *row = item->data;
        if (row->state != TASK_ENDED && !is_listed(listing, &row->id) &&
            is_over(runner, look, row, listing->clock_ms)) {
            RunnerTask_Lose(runner, now_ms, row,
                            RunnerTask_IsOfEarlierLife(runner, row) &&
                                !runner->up.drained);
        }
    }
    g_list_free(rows);
}

/* Nothing is started before the upstream was found empty, so that it holds
 * nothing then. */
static void
take_inventory(Runner *runner, bool empty)
{
    runner->up.inventoried = empty;
    runner->version++;
    if (empty) {
        runner->hold_until_ms = 0;
    }
}

static void
take_listing(Runner *runner, int64_t now_ms, const Runner_OpenLook *look,
             const Runner_Listing *listing)
{
    uint64_t last_seen_before = runner->up.last_seen;
    uint32_t i;

    runner->up.doubtful = false;
    runner->up.refused = false;
    runner->up.acknowledged = MAX(runner->up.acknowledged, look->last_seen);
    RunnerUpstream_TakeClock(runner, now_ms, listing->clock_ms);
    for (i = 0; i < listing->ended_count; i++) {
        take_end(runner, now_ms, &listing->ended[i]);
    }
    for (i = 0; i < listing->running_count; i++) {
        take_row(runner, now_ms, look, &listing->running[i]);
    }
    if (listing->ended_count < RUNNER_ENDS_AT_ONCE) {
        end_unlisted(runner, now_ms, look, listing);
    }
    judge_pace(runner, now_ms);
    if (!runner->up.inventoried) {
        take_inventory(runner, listing->running_count == 0);
    }
    if (runner->held_for_starts > 0 &&
        runner->up.last_seen == last_seen_before) {
        runner->look_again_ms = now_ms + HELD_AGAIN_MS;
    }
}

static void
miss_look(Runner *runner, int64_t now_ms, const Runner_OpenLook *look)
{
    RunnerOrder_NoteMiss(runner, now_ms, look->sent_ms);
    runner->look_again_ms = now_ms;
    if (runner->up.doubtful) {
        runner->look_again_ms += LOOK_AGAIN_MS;
    }
}

void
RunnerLook_Wake(Runner *runner, int64_t now_ms)
{
    uint32_t i;

    for (i = 0; i < runner->look_count; i++) {
        Runner_OpenLook *look = &runner->looks[i];
        if (now_ms >= look->due_ms) {
            look->due_ms = INT64_MAX;
            miss_look(runner, now_ms, look);
        }
    }
    RunnerLook_Send(runner, now_ms);
}

static void
take_look_answer(Runner *runner, int64_t now_ms, const Runner_OpenLook *look)
{
    RunnerOrder_NoteAnswer(runner, look->due_ms != INT64_MAX);
    if (!look->waits) {
        AnswerTime_Take(&runner->answers, now_ms - look->sent_ms);
    }
    runner->look_again_ms = now_ms;
}

/* No connection makes the upstream doubtful at once; a missing answer is
 * counted, but once. */
static void
lose_look(Runner *runner, int64_t now_ms, const Runner_OpenLook *look,
          Runner_OrderEnd end)
{
    if (end == RUNNER_ORDER_UNSENT) {
        RunnerUpstream_Refused(runner);
    }
    if (look->due_ms != INT64_MAX) {
        miss_look(runner, now_ms, look);
    }
}

static bool
remove_look(Runner *runner, uint64_t look_id, Runner_OpenLook *look)
{
    uint32_t i;

    for (i = 0; i < runner->look_count; i++) {
        if (runner->looks[i].id == look_id) {
            *look = runner->looks[i];
            drop_look(runner, i);
            return true;
        }
    }
    return false;
}

void
Runner_OnLook(Runner *runner, int64_t now_ms, uint64_t look_id,
              const Runner_Listing *listing)
{
    Runner_OpenLook look;

    if (!remove_look(runner, look_id, &look)) {
        return;
    }
    switch (listing->end) {
    case RUNNER_ORDER_TAKEN:
        take_look_answer(runner, now_ms, &look);
        if (RunnerUpstream_MeetLife(runner, now_ms, listing->born_ms)) {
            break;
        }
        RunnerUpstream_Confirm(runner, look.id);
        take_listing(runner, now_ms, &look, listing);
        break;
    case RUNNER_ORDER_FENCED:
        take_look_answer(runner, now_ms, &look);
        RunnerUpstream_RaiseToken(runner);
        break;
    case RUNNER_ORDER_OTHER:
        RunnerUpstream_MeetOther(runner, now_ms);
        if (!runner->up.known) {
            runner->look_again_ms = now_ms + OTHER_AGAIN_MS;
        }
        break;
    default:
        lose_look(runner, now_ms, &look, listing->end);
        break;
    }
    RunnerLook_Send(runner, now_ms);
}

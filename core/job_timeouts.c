#include "core/job_timeouts.h"

#include "core/outcome.h"

#define RETRY_MS 500
#define RATE_INTERVAL_MS 500
#define RATE_EWMA_WEIGHT 0.3

static int64_t
max_wait_ms(const Blackboard *board, const Job *job)
{
    const GroupTable_Row *row = GroupTable_Find(Blackboard_GroupTable(board),
                                                job->group);

    return row == NULL ? 0 : row->max_wait_ms;
}

static void
end_overdue(Blackboard *board, Job *job)
{
    int64_t limit_ms = max_wait_ms(board, job);
    int64_t hung_after_ms = board->config.task_timeout_ms +
                            board->config.patience_ms;

    if (job->deadline_ms != 0 && board->now.mono_ms >= job->deadline_ms) {
        if (Job_HasStarted(job)) {
            Outcome_Fail(board, job, ERR_DEADLINE, "the deadline has passed");
        }
        else {
            Outcome_NotRun(board, job, ERR_WAIT_TOO_LONG,
                           "the deadline passed before the first start",
                           RETRY_MS);
        }
        return;
    }
    if (job->sent > 0 &&
        board->now.mono_ms - job->progress_ms > hung_after_ms) {
        /* A companion ends every task in time: this one will not answer. */
        Outcome_Lost(board, job);
        return;
    }
    if (limit_ms > 0 && !Job_HasStarted(job) &&
        board->now.mono_ms - job->arrived_ms > limit_ms) {
        Outcome_NotRun(board, job, ERR_WAIT_TOO_LONG,
                       "waited longer than the group's max_wait_ms", limit_ms);
    }
}

static void
end_all_overdue(Blackboard *board)
{
    GPtrArray *jobs = g_ptr_array_new();
    GHashTableIter iter;
    gpointer key;
    guint i;

    g_hash_table_iter_init(&iter, board->active);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        g_ptr_array_add(jobs, key);
    }
    for (i = 0; i < jobs->len; i++) {
        end_overdue(board, g_ptr_array_index(jobs, i));
    }
    g_ptr_array_unref(jobs);
}

static void
measure_rate(Blackboard *board)
{
    int64_t passed_ms = board->now.mono_ms - board->tasks_ended_since_ms;
    double rate;

    if (passed_ms < RATE_INTERVAL_MS) {
        return;
    }
    rate = board->tasks_ended * 1000.0 / (double)passed_ms;
    board->tasks_ended_per_s += RATE_EWMA_WEIGHT *
                                (rate - board->tasks_ended_per_s);
    board->tasks_ended = 0;
    board->tasks_ended_since_ms = board->now.mono_ms;
}

void
JobTimeouts_Tick(Blackboard *board)
{
    end_all_overdue(board);
    measure_rate(board);
}

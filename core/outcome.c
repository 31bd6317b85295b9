#include "core/outcome.h"

#include <string.h>

#define RUNNING_RETRY_MS 500

static void
count_answer(Blackboard *board, Err_Kind kind)
{
    static const Counter_Id by_outcome[] = {
        [OUTCOME_DONE] = COUNTER_JOBS_DONE,
        [OUTCOME_FAILED] = COUNTER_JOBS_FAILED,
        [OUTCOME_NOT_RUN] = COUNTER_JOBS_NOT_RUN,
        [OUTCOME_UNKNOWN] = COUNTER_JOBS_UNKNOWN,
        [OUTCOME_REFUSED] = COUNTER_JOBS_NOT_RUN,
    };

    Counter_Add(&board->counters, by_outcome[Err_Outcome(kind)], 1);
}

static void
send_to_caller(Blackboard *board, uint64_t request, const Key *key,
               const lc_answer *answer)
{
    Node_Answer out;

    memset(&out, 0, sizeof(out));
    out.key = *key;
    out.kind = Err_FromText(answer->kind);
    if (out.kind == ERR_COUNT) {
        out.kind = ERR_IO;
    }
    out.message = answer->message;
    out.running = answer->running;
    out.retry_ms = answer->retry_ms;
    out.results = answer->results.results_val;
    out.count = answer->results.results_len;
    count_answer(board, out.kind);
    board->ports.answer(board->context, request, &out);
}

static void
send_to_peer(Blackboard *board, uint64_t reply_id, const lc_answer *answer)
{
    Msg_Reply reply = {.kind = MSG_SUBMIT};

    reply.u.submit.accepted = TRUE;
    reply.u.submit.position = Replica_Position(board->replica);
    reply.u.submit.answer = *answer;
    board->ports.reply(board->context, reply_id, &reply);
}

static void
send_answer(Blackboard *board, const Job_Waiter *waiter, const Key *key,
            const lc_answer *answer)
{
    if (waiter->is_peer) {
        send_to_peer(board, waiter->id, answer);
    }
    else {
        send_to_caller(board, waiter->id, key, answer);
    }
}

static lc_answer
make_answer(Err_Kind kind, const char *message, uint32_t retry_ms)
{
    lc_answer answer;

    memset(&answer, 0, sizeof(answer));
    /* The XDR codec takes no const, but encoding does not write. */
    answer.kind = (char *)(uintptr_t)Err_Text(kind);
    answer.message = (char *)(uintptr_t)message;
    answer.retry_ms = retry_ms;
    return answer;
}

/* Answer of an ended job; the caller frees `results`. */
static lc_answer
job_answer(const Job *job, lc_result **results)
{
    lc_answer answer;

    *results = NULL;
    if (job->state == JOB_FAILED) {
        return make_answer(job->kind, job->message, 0);
    }
    answer = make_answer(ERR_OK, "", 0);
    *results = g_new0(lc_result, job->total);
    Job_Results(job, *results);
    answer.results.results_len = job->total;
    answer.results.results_val = *results;
    return answer;
}

static void
answer_waiters(Blackboard *board, Job *job, const lc_answer *answer)
{
    GArray *waiters = job->waiters;
    guint i;

    if (waiters == NULL) {
        return;
    }
    job->waiters = NULL;
    for (i = 0; i < waiters->len; i++) {
        send_answer(board, &g_array_index(waiters, Job_Waiter, i), &job->key,
                    answer);
    }
    g_array_unref(waiters);
}

static void
end_job(Blackboard *board, Job *job)
{
    lc_result *results;
    lc_answer answer;

    g_hash_table_remove(board->active, job);
    Ledger_MarkEnded(board->ledger, job, board->now.mono_ms);
    answer = job_answer(job, &results);
    answer_waiters(board, job, &answer);
    g_free(results);
}

void
Outcome_Done(Blackboard *board, Job *job)
{
    job->state = JOB_DONE;
    end_job(board, job);
}

void
Outcome_Fail(Blackboard *board, Job *job, Err_Kind kind, const char *message)
{
    char text[KEY_TEXT_LENGTH + 1];

    if (job->state == JOB_ACTIVE) {
        Groups_Dequeue(board->groups, job);
    }
    job->waiting = 0;
    job->state = JOB_FAILED;
    job->kind = kind;
    job->message = message;
    Key_Format(&job->key, text);
    Blackboard_Event(board, EVENT_JOB_FAILED, "%s: %s: %s", text,
                     Err_Text(kind), message);
    end_job(board, job);
}

void
Outcome_Lost(Blackboard *board, Job *job)
{
    Outcome_Fail(board, job, ERR_LOST,
                 "a companion was lost with a started task");
}

void
Outcome_NotRun(Blackboard *board, Job *job, Err_Kind kind, const char *message,
               int64_t retry_ms)
{
    lc_answer answer = make_answer(
        kind, message, Blackboard_JitteredRetryMs(board, retry_ms));

    Groups_Dequeue(board->groups, job);
    answer_waiters(board, job, &answer);
    g_hash_table_remove(board->active, job);
    Ledger_Remove(board->ledger, job);
}

void
Outcome_Attach(Blackboard *board, Job *job, const Job_Waiter *waiter)
{
    lc_result *results;
    lc_answer answer;

    if (job->state == JOB_ACTIVE) {
        Job_AddWaiter(job, waiter);
        return;
    }
    answer = job_answer(job, &results);
    send_answer(board, waiter, &job->key, &answer);
    g_free(results);
}

void
Outcome_Refuse(Blackboard *board, const Job_Waiter *waiter, const Key *key,
               Err_Kind kind, const char *message, int64_t retry_ms)
{
    lc_answer answer = make_answer(
        kind, message,
        retry_ms > 0 ? Blackboard_JitteredRetryMs(board, retry_ms) : 0);

    send_answer(board, waiter, key, &answer);
}

void
Outcome_Forward(Blackboard *board, const Job_Waiter *waiter, const Key *key,
                const lc_answer *answer)
{
    send_answer(board, waiter, key, answer);
}

void
Outcome_Running(Blackboard *board, const Job_Waiter *waiter, const Key *key)
{
    lc_answer answer = make_answer(
        ERR_OK, "", Blackboard_JitteredRetryMs(board, RUNNING_RETRY_MS));

    answer.running = TRUE;
    send_answer(board, waiter, key, &answer);
}

void
Outcome_NotOwner(Blackboard *board, uint64_t reply_id)
{
    Msg_Reply reply = {.kind = MSG_SUBMIT};

    reply.u.submit.accepted = FALSE;
    reply.u.submit.position = Replica_Position(board->replica);
    reply.u.submit.answer = make_answer(ERR_UNSETTLED, "not the owner", 0);
    board->ports.reply(board->context, reply_id, &reply);
}

void
Outcome_AbandonAll(Blackboard *board)
{
    lc_answer answer = make_answer(
        ERR_OWNER_LOST, "this entry left the view; retry the request",
        Blackboard_JitteredRetryMs(board, board->config.evidence_ms));
    GHashTableIter iter;
    gpointer key;
    uint32_t i;

    g_hash_table_iter_init(&iter, board->active);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        answer_waiters(board, key, &answer);
    }
    for (i = 0; i < Handle_RowCount(board->calls); i++) {
        const Call *call = Handle_ItemAt(board->calls, i);
        if (call != NULL && call->kind == MSG_SUBMIT) {
            send_answer(board, &call->waiter, &call->key, &answer);
            g_free(Handle_Remove(board->calls, call->id));
        }
    }
}

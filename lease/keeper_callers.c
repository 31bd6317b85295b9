#include <string.h>

#include "lease/keeper_state.h"

/* Longest time a caller waits until its record is written. */
#define WRITE_TIMEOUT_MS 2000
/* Longest delay of the answer to a state query while the job is open. */
#define STATE_QUERY_WAIT_MS 50
/* A log that has not answered for this long is regarded as down. */
#define LOG_TIMEOUT_MS 1500
/* The store holds a read that was sent while nothing depended on the log for
 * this much longer (platform/keyed_log.c). */
#define QUIET_POLL_EXTRA_MS 1500

static void
answer(Keeper *keeper, uint64_t request, Dispatcher_Outcome outcome,
       Err_Kind kind, const char *message)
{
    Dispatcher_Answer answer = {
        .outcome = outcome, .kind = kind, .message = message};

    if (outcome == DISPATCHER_NOT_RUN) {
        answer.retry_ms = DISPATCHER_RETRY_MS;
    }
    keeper->ports->answer(keeper->context, request, &answer);
}

bool
DurableCaller_IsLogDown(const Keeper *keeper, int64_t now_ms)
{
    bool quiet = keeper->last_quiet_ms != 0 &&
                 now_ms - keeper->last_quiet_ms <= LOG_TIMEOUT_MS;
    int64_t limit_ms = LOG_TIMEOUT_MS + (quiet ? QUIET_POLL_EXTRA_MS : 0);

    return keeper->log_read_ms == 0 || now_ms - keeper->log_read_ms > limit_ms;
}

static DurableJobs_Waiter *
find_submit_waiter(const Keeper *keeper, uint64_t job)
{
    guint i;

    for (i = 0; i < keeper->waiters->len; i++) {
        DurableJobs_Waiter *waiter = &g_array_index(keeper->waiters,
                                                    DurableJobs_Waiter, i);
        if (waiter->job == job && !waiter->cancels) {
            return waiter;
        }
    }
    return NULL;
}

static void
add_waiter(Keeper *keeper, int64_t now_ms, uint64_t number, uint64_t request,
           uint64_t job, const char *queue, bool cancels)
{
    DurableJobs_Waiter waiter = {.number = number,
                                 .request = request,
                                 .job = job,
                                 .queue = g_strdup(queue),
                                 .asked_ms = now_ms,
                                 .until_ms = now_ms + WRITE_TIMEOUT_MS,
                                 .cancels = cancels};

    g_array_append_val(keeper->waiters, waiter);
}

/* An ID denotes one job, whoever submits it and however often. */
static bool
answer_if_known(Keeper *keeper, int64_t now_ms, const Keeper_Submit *submit)
{
    const DurableLog_Job *known = DurableLog_Find(keeper->log,
                                                  submit->job->id);
    const DurableJobs_Waiter *waiter = find_submit_waiter(keeper,
                                                          submit->job->id);

    if (known != NULL && known->submitted) {
        if (strcmp(known->queue, submit->route->name) == 0) {
            answer(keeper, submit->request_id, DISPATCHER_KEPT, ERR_OK, "");
        }
        else {
            answer(keeper, submit->request_id, DISPATCHER_NOT_RUN,
                   ERR_KEY_REUSED,
                   "this job ID is already in use in another queue");
        }
        return true;
    }
    if (waiter != NULL) {
        add_waiter(keeper, now_ms, waiter->number, submit->request_id,
                   submit->job->id, submit->route->name, false);
        return true;
    }
    return false;
}

/* An entry that is shutting down assigns new jobs to another entry, if one can
 * take them. */
static lc_node
choose_owner(const Keeper *keeper, int64_t now_ms)
{
    lc_node other = {0, 0};

    if (keeper->leaving) {
        other = DurableTakeover_PickSuccessor(keeper, now_ms);
    }
    return other.incarnation != 0 ? other : keeper->node;
}

static uint64_t
put_submit(Keeper *keeper, const Keeper_Submit *submit, lc_node owner)
{
    lc_kept_record record = {.job = submit->job->id};
    lc_kept_submit *body = &record.body.lc_kept_body_u.submit;
    char key[DURABLE_LOG_KEY_SIZE];

    record.body.kind = LC_KEPT_SUBMIT;
    body->owner = owner;
    body->queue = submit->route->name;
    body->body = (char *)(uintptr_t)submit->body;
    DurableLog_SubmitKey(submit->job->id, keeper->node, key);
    return DurableJobs_Put(keeper, key, &record);
}

void
Keeper_OnSubmit(Keeper *keeper, int64_t now_ms, const Keeper_Submit *submit)
{
    Status status = {ERR_OK, ""};
    uint64_t number;

    if (answer_if_known(keeper, now_ms, submit)) {
        return;
    }
    if (DurableCaller_IsLogDown(keeper, now_ms)) {
        Err_Set(&status, ERR_LOG_DOWN, "the store does not answer");
    }
    else if (DurableLog_OpenCount(keeper->log) + keeper->waiters->len >=
             keeper->config.max_jobs) {
        Err_Set(&status, ERR_QUEUE_FULL, "%u kept jobs are open",
                DurableLog_OpenCount(keeper->log));
    }
    else {
        Route_Check(submit->route, submit->job, &status);
    }
    if (status.kind != ERR_OK) {
        answer(keeper, submit->request_id, DISPATCHER_NOT_RUN, status.kind,
               status.message);
        return;
    }
    number = put_submit(keeper, submit, choose_owner(keeper, now_ms));
    add_waiter(keeper, now_ms, number, submit->request_id, submit->job->id,
               submit->route->name, false);
}

static uint64_t
put_cancel(Keeper *keeper, uint64_t job, const char *queue)
{
    lc_kept_record record = {.job = job};
    char key[DURABLE_LOG_KEY_SIZE];

    record.body.kind = LC_KEPT_CANCEL;
    record.body.lc_kept_body_u.queue = (char *)(uintptr_t)queue;
    DurableLog_CancelKey(job, key);
    return DurableJobs_Put(keeper, key, &record);
}

bool
Keeper_OnCancel(Keeper *keeper, int64_t now_ms, uint64_t request, uint64_t id,
                const char *queue)
{
    const DurableLog_Job *job = DurableLog_Find(keeper->log, id);

    if ((job == NULL || strcmp(job->queue, queue) != 0) &&
        find_submit_waiter(keeper, id) == NULL) {
        return false;
    }
    if (job != NULL && (job->outcome != LC_KEPT_OPEN || job->cancelled)) {
        answer(keeper, request, DISPATCHER_CANCELLED, ERR_OK, "");
        return true;
    }
    add_waiter(keeper, now_ms, put_cancel(keeper, id, queue), request, id,
               queue, true);
    return true;
}

void
Keeper_CancelUnknown(Keeper *keeper, int64_t now_ms, uint64_t request,
                     uint64_t id, const char *queue)
{
    add_waiter(keeper, now_ms, UINT64_MAX, request, id, queue, true);
}

static void
remove_state_query(Keeper *keeper, guint index)
{
    g_free(g_array_index(keeper->state_queries, DurableJobs_StateQuery, index)
               .queue);
    g_array_remove_index_fast(keeper->state_queries, index);
}

void
Keeper_OnCallerGone(Keeper *keeper, uint64_t request)
{
    guint i;

    for (i = 0; i < keeper->waiters->len; i++) {
        DurableJobs_Waiter *waiter = &g_array_index(keeper->waiters,
                                                    DurableJobs_Waiter, i);
        if (waiter->request == request) {
            waiter->request = 0;
        }
    }
    for (i = 0; i < keeper->state_queries->len; i++) {
        if (g_array_index(keeper->state_queries, DurableJobs_StateQuery, i)
                .request == request) {
            remove_state_query(keeper, i);
            return;
        }
    }
}

/* Judged by progress records and by the local dispatcher. */
static bool
has_started(const Keeper *keeper, const DurableLog_Job *job)
{
    bool started = true; /* for an owned job that the dispatcher has ended */

    if (job->writers->len > 0) {
        return true;
    }
    if (!g_hash_table_contains(keeper->jobs, &job->id)) {
        return false;
    }
    Dispatcher_Look(keeper->dispatcher, job->id, job->queue, &started);
    return started;
}

static Keeper_State
state_of(const Keeper *keeper, const DurableLog_Job *job)
{
    static const Keeper_State states[] = {
        [LC_KEPT_OPEN] = KEEPER_PENDING,
        [LC_KEPT_SUCCEEDED] = KEEPER_SUCCEEDED,
        [LC_KEPT_FAILED] = KEEPER_FAILED,
        [LC_KEPT_CANCELLED] = KEEPER_CANCELLED,
    };
    if (job->outcome == LC_KEPT_OPEN && job->cancelled) {
        return KEEPER_CANCELLED;
    }
    if (job->outcome == LC_KEPT_OPEN && has_started(keeper, job)) {
        return KEEPER_RUNNING;
    }
    return states[job->outcome];
}

Keeper_State
Keeper_Look(const Keeper *keeper, int64_t now_ms, uint64_t id,
            const char *queue)
{
    const DurableLog_Job *job = DurableLog_Find(keeper->log, id);

    if (job != NULL && strcmp(job->queue, queue) == 0 &&
        (job->submitted || job->outcome != LC_KEPT_OPEN)) {
        return state_of(keeper, job);
    }
    if (find_submit_waiter(keeper, id) != NULL) {
        return KEEPER_PENDING;
    }
    return DurableCaller_IsLogDown(keeper, now_ms) ? KEEPER_STALE
                                                   : KEEPER_UNKNOWN;
}

void
Keeper_OnLook(Keeper *keeper, int64_t now_ms, uint64_t request, uint64_t id,
              const char *queue)
{
    Keeper_State state = Keeper_Look(keeper, now_ms, id, queue);
    DurableJobs_StateQuery query = {.request = request,
                                    .job = id,
                                    .until_ms = now_ms + STATE_QUERY_WAIT_MS};

    if (state != KEEPER_PENDING && state != KEEPER_RUNNING) {
        keeper->ports->answer_state(keeper->context, request, state);
        return;
    }
    query.queue = g_strdup(queue);
    g_array_append_val(keeper->state_queries, query);
}

void
DurableCaller_AnswerStateQueries(Keeper *keeper, int64_t now_ms)
{
    guint i = 0;

    while (i < keeper->state_queries->len) {
        const DurableJobs_StateQuery *query = &g_array_index(
            keeper->state_queries, DurableJobs_StateQuery, i);
        Keeper_State state = Keeper_Look(keeper, now_ms, query->job,
                                         query->queue);
        if ((state == KEEPER_PENDING || state == KEEPER_RUNNING) &&
            now_ms < query->until_ms) {
            i++;
            continue;
        }
        keeper->ports->answer_state(keeper->context, query->request, state);
        remove_state_query(keeper, i);
    }
}

static bool
is_waiting(const Keeper *keeper, const DurableLog_Job *job)
{
    lc_node owner = Kept_OwnerOf(keeper->log, job);

    return Msg_SameNode(&owner, &keeper->node) && job->writers->len == 0 &&
           !g_hash_table_contains(keeper->jobs, &job->id);
}

void
Keeper_AddWaiting(const Keeper *keeper, QueueCounts *counts)
{
    GPtrArray *open;
    guint i;

    if (!keeper->has_unstarted && keeper->recoveries->len == 0) {
        return;
    }
    open = DurableLog_OpenJobs(keeper->log);
    for (i = 0; i < open->len; i++) {
        const DurableLog_Job *job = g_ptr_array_index(open, i);
        if (is_waiting(keeper, job)) {
            QueueCounts_Add(counts, job->queue);
        }
    }
    g_ptr_array_unref(open);
}

static void
remove_waiter(Keeper *keeper, guint index)
{
    g_free(g_array_index(keeper->waiters, DurableJobs_Waiter, index).queue);
    g_array_remove_index(keeper->waiters, index);
}

void
DurableCaller_OnLogRead(Keeper *keeper, int64_t now_ms)
{
    guint i = 0;

    while (i < keeper->waiters->len) {
        DurableJobs_Waiter waiter = g_array_index(keeper->waiters,
                                                  DurableJobs_Waiter, i);
        if (waiter.number != UINT64_MAX ||
            keeper->log_read_ms <= waiter.asked_ms) {
            i++;
            continue;
        }
        g_array_remove_index(keeper->waiters, i);
        if (waiter.request != 0 &&
            !Keeper_OnCancel(keeper, now_ms, waiter.request, waiter.job,
                             waiter.queue)) {
            keeper->ports->answer_state(keeper->context, waiter.request,
                                        KEEPER_UNKNOWN);
        }
        g_free(waiter.queue);
    }
}

void
Keeper_OnWritten(Keeper *keeper, int64_t now_ms, uint64_t number)
{
    guint i = 0;

    (void)now_ms;
    keeper->written = MAX(keeper->written, number);
    while (i < keeper->waiters->len) {
        DurableJobs_Waiter *waiter = &g_array_index(keeper->waiters,
                                                    DurableJobs_Waiter, i);
        if (waiter->number > number) {
            i++;
            continue;
        }
        if (waiter->request != 0) {
            answer(keeper, waiter->request,
                   waiter->cancels ? DISPATCHER_CANCELLED : DISPATCHER_KEPT,
                   ERR_OK, "");
        }
        remove_waiter(keeper, i);
    }
    DurableOwned_SendReleases(keeper);
}

/* The record may still be written, so the caller gets an indefinite answer.
 * The waiter stays, and the job is known here as pending, until then. */
void
DurableCaller_ExpireWaiters(Keeper *keeper, int64_t now_ms)
{
    guint i;

    for (i = 0; i < keeper->waiters->len; i++) {
        DurableJobs_Waiter *waiter = &g_array_index(keeper->waiters,
                                                    DurableJobs_Waiter, i);
        if (waiter->request != 0 && now_ms >= waiter->until_ms) {
            answer(keeper, waiter->request, DISPATCHER_GIVEN_UP, ERR_LOG_DOWN,
                   "the store did not confirm the write in time");
            waiter->request = 0;
        }
    }
}

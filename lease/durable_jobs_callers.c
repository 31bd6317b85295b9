#include "lease/durable_jobs_state.h"

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
answer(DurableJobs *self, uint64_t request, Dispatcher_Outcome outcome,
       Err_Kind kind, const char *message)
{
    Dispatcher_Answer answer = {
        .outcome = outcome, .kind = kind, .message = message};

    if (outcome == DISPATCHER_NOT_RUN) {
        answer.retry_ms = DISPATCHER_RETRY_MS;
    }
    self->ports->answer(self->context, request, &answer);
}

bool
DurableCaller_IsLogDown(const DurableJobs *self, int64_t now_ms)
{
    bool quiet = self->last_quiet_ms != 0 &&
                 now_ms - self->last_quiet_ms <= LOG_TIMEOUT_MS;
    int64_t limit_ms = LOG_TIMEOUT_MS + (quiet ? QUIET_POLL_EXTRA_MS : 0);

    return self->log_read_ms == 0 || now_ms - self->log_read_ms > limit_ms;
}

/* Whether a request is about a job, by the queues that both refer to. */
static bool
is_same_queue(const DurableJobs *self, const QueueRef *request,
              const QueueRef *job)
{
    return Route_IsSameQueue(Dispatcher_Routes(self->dispatcher), request,
                             job);
}

static DurableJobs_Waiter *
find_submit_waiter(const DurableJobs *self, uint64_t job)
{
    guint i;

    for (i = 0; i < self->waiters->len; i++) {
        DurableJobs_Waiter *waiter = &g_array_index(self->waiters,
                                                    DurableJobs_Waiter, i);
        if (waiter->job == job && !waiter->cancels) {
            return waiter;
        }
    }
    return NULL;
}

/* Whether a request is about the job with an ID. The submission that was read
 * tells its queue; until then, the one that this entry has written. */
static bool
is_about_job(const DurableJobs *self, uint64_t id, const QueueRef *queue)
{
    const DurableLog_Job *job = DurableLog_Find(self->log, id);
    const DurableJobs_Waiter *waiter = find_submit_waiter(self, id);

    if (waiter != NULL && (job == NULL || !job->submitted)) {
        return is_same_queue(self, queue, &waiter->queue);
    }
    return job != NULL && is_same_queue(self, queue, &job->queue);
}

static void
add_waiter(DurableJobs *self, int64_t now_ms, uint64_t number,
           uint64_t request, uint64_t job, const QueueRef *queue, bool cancels)
{
    DurableJobs_Waiter waiter = {.number = number,
                                 .request = request,
                                 .job = job,
                                 .queue = QueueRef_Copy(queue),
                                 .asked_ms = now_ms,
                                 .until_ms = now_ms + WRITE_TIMEOUT_MS,
                                 .cancels = cancels};

    g_array_append_val(self->waiters, waiter);
}

/* An ID denotes one job, whoever submits it and however often. */
static bool
answer_if_known(DurableJobs *self, int64_t now_ms,
                const DurableJobs_Submit *submit)
{
    const DurableLog_Job *known = DurableLog_Find(self->log, submit->job->id);
    const DurableJobs_Waiter *waiter = find_submit_waiter(self,
                                                          submit->job->id);
    bool submitted = known != NULL && known->submitted;

    if (!submitted && waiter == NULL) {
        return false;
    }
    if (!is_about_job(self, submit->job->id, &submit->queue)) {
        answer(self, submit->request_id, DISPATCHER_NOT_RUN, ERR_KEY_REUSED,
               "this job ID is already in use in another queue");
    }
    else if (submitted || waiter->written_ms != 0) {
        answer(self, submit->request_id, DISPATCHER_RECORDED, ERR_OK, "");
    }
    else {
        add_waiter(self, now_ms, waiter->number, submit->request_id,
                   submit->job->id, &submit->queue, false);
    }
    return true;
}

/* An entry that is shutting down assigns new jobs to another entry, if one can
 * take them. */
static lc_node
choose_owner(const DurableJobs *self, int64_t now_ms)
{
    lc_node other = {0, 0};

    if (self->leaving) {
        other = DurableTakeover_PickSuccessor(self, now_ms);
    }
    return other.incarnation != 0 ? other : self->node;
}

static uint64_t
put_submit(DurableJobs *self, const DurableJobs_Submit *submit, lc_node owner)
{
    lc_kept_record record = {.job = submit->job->id};
    lc_kept_submit *body = &record.body.lc_kept_body_u.submit;
    char key[DURABLE_LOG_KEY_SIZE];

    record.body.kind = LC_KEPT_SUBMIT;
    body->owner = owner;
    body->queue = (char *)(uintptr_t)submit->queue.name;
    record.queue_address = submit->queue.address;
    body->body = (char *)(uintptr_t)submit->body;
    DurableLog_SubmitKey(submit->job->id, self->node, key);
    return DurableJobs_Put(self, key, &record);
}

void
DurableJobs_OnSubmit(DurableJobs *self, int64_t now_ms,
                     const DurableJobs_Submit *submit)
{
    Status status = {ERR_OK, ""};
    uint64_t number;

    if (answer_if_known(self, now_ms, submit)) {
        return;
    }
    if (DurableCaller_IsLogDown(self, now_ms)) {
        Err_Set(&status, ERR_LOG_DOWN, "the store does not answer");
    }
    else if (DurableLog_OpenCount(self->log) + self->waiters->len >=
             self->config.max_jobs) {
        Err_Set(&status, ERR_QUEUE_FULL, "%u durable jobs are open",
                DurableLog_OpenCount(self->log));
    }
    else {
        Route_CheckJob(submit->route, submit->job, &status);
    }
    if (status.kind != ERR_OK) {
        answer(self, submit->request_id, DISPATCHER_NOT_RUN, status.kind,
               status.message);
        return;
    }
    number = put_submit(self, submit, choose_owner(self, now_ms));
    add_waiter(self, now_ms, number, submit->request_id, submit->job->id,
               &submit->queue, false);
}

static uint64_t
put_cancel(DurableJobs *self, uint64_t job, const QueueRef *queue)
{
    lc_kept_record record = {.job = job};
    char key[DURABLE_LOG_KEY_SIZE];

    record.body.kind = LC_KEPT_CANCEL;
    record.body.lc_kept_body_u.queue = (char *)(uintptr_t)queue->name;
    record.queue_address = queue->address;
    DurableLog_CancelKey(job, key);
    return DurableJobs_Put(self, key, &record);
}

bool
DurableJobs_OnCancel(DurableJobs *self, int64_t now_ms, uint64_t request,
                     uint64_t id, const QueueRef *queue)
{
    const DurableLog_Job *job = DurableLog_Find(self->log, id);
    uint64_t number;

    if (!is_about_job(self, id, queue)) {
        return false;
    }
    if (job != NULL && (job->outcome != LC_KEPT_OPEN || job->cancelled)) {
        answer(self, request, DISPATCHER_CANCELLED, ERR_OK, "");
        return true;
    }
    number = put_cancel(self, id, job == NULL ? queue : &job->queue);
    add_waiter(self, now_ms, number, request, id, queue, true);
    return true;
}

void
DurableJobs_CancelUnknown(DurableJobs *self, int64_t now_ms, uint64_t request,
                          uint64_t id, const QueueRef *queue)
{
    add_waiter(self, now_ms, UINT64_MAX, request, id, queue, true);
}

static void
remove_state_query(DurableJobs *self, guint index)
{
    QueueRef_Clear(
        &g_array_index(self->state_queries, DurableJobs_StateQuery, index)
             .queue);
    g_array_remove_index_fast(self->state_queries, index);
}

void
DurableJobs_OnCallerDisconnect(DurableJobs *self, uint64_t request)
{
    guint i;

    for (i = 0; i < self->waiters->len; i++) {
        DurableJobs_Waiter *waiter = &g_array_index(self->waiters,
                                                    DurableJobs_Waiter, i);
        if (waiter->request == request) {
            waiter->request = 0;
        }
    }
    for (i = 0; i < self->state_queries->len; i++) {
        if (g_array_index(self->state_queries, DurableJobs_StateQuery, i)
                .request == request) {
            remove_state_query(self, i);
            return;
        }
    }
}

/* Judged by progress records and by the local dispatcher. */
bool
DurableCaller_HasStarted(const DurableJobs *self, const DurableLog_Job *job)
{
    bool started = true; /* for an owned job that the dispatcher has ended */

    if (job->writers->len > 0) {
        return true;
    }
    if (!g_hash_table_contains(self->jobs, &job->id)) {
        return false;
    }
    Dispatcher_HasOpenJob(self->dispatcher, job->id, NULL, &started);
    return started;
}

static DurableJobs_State
state_of(const DurableJobs *self, const DurableLog_Job *job)
{
    static const DurableJobs_State states[] = {
        [LC_KEPT_OPEN] = DURABLE_JOB_PENDING,
        [LC_KEPT_SUCCEEDED] = DURABLE_JOB_SUCCEEDED,
        [LC_KEPT_FAILED] = DURABLE_JOB_FAILED,
        [LC_KEPT_CANCELLED] = DURABLE_JOB_CANCELLED,
    };
    if (job->outcome == LC_KEPT_OPEN && job->cancelled) {
        return DURABLE_JOB_CANCELLED;
    }
    if (job->outcome == LC_KEPT_OPEN && DurableCaller_HasStarted(self, job)) {
        return DURABLE_JOB_RUNNING;
    }
    return states[job->outcome];
}

DurableJobs_State
DurableJobs_StateOf(const DurableJobs *self, int64_t now_ms, uint64_t id,
                    const QueueRef *queue)
{
    const DurableLog_Job *job = DurableLog_Find(self->log, id);
    bool about = is_about_job(self, id, queue);

    if (about && job != NULL &&
        (job->submitted || job->outcome != LC_KEPT_OPEN)) {
        return state_of(self, job);
    }
    if (about && find_submit_waiter(self, id) != NULL) {
        return DURABLE_JOB_PENDING;
    }
    return DurableCaller_IsLogDown(self, now_ms) ? DURABLE_JOB_STALE
                                                 : DURABLE_JOB_UNKNOWN;
}

void
DurableJobs_OnStateQuery(DurableJobs *self, int64_t now_ms, uint64_t request,
                         uint64_t id, const QueueRef *queue)
{
    DurableJobs_State state = DurableJobs_StateOf(self, now_ms, id, queue);
    DurableJobs_StateQuery query = {.request = request,
                                    .job = id,
                                    .until_ms = now_ms + STATE_QUERY_WAIT_MS};

    if (state != DURABLE_JOB_PENDING && state != DURABLE_JOB_RUNNING) {
        self->ports->answer_state(self->context, request, state);
        return;
    }
    query.queue = QueueRef_Copy(queue);
    g_array_append_val(self->state_queries, query);
}

void
DurableCaller_AnswerStateQueries(DurableJobs *self, int64_t now_ms)
{
    guint i = 0;

    while (i < self->state_queries->len) {
        const DurableJobs_StateQuery *query = &g_array_index(
            self->state_queries, DurableJobs_StateQuery, i);
        DurableJobs_State state = DurableJobs_StateOf(self, now_ms, query->job,
                                                      &query->queue);
        if ((state == DURABLE_JOB_PENDING || state == DURABLE_JOB_RUNNING) &&
            now_ms < query->until_ms) {
            i++;
            continue;
        }
        self->ports->answer_state(self->context, query->request, state);
        remove_state_query(self, i);
    }
}

static bool
is_waiting(const DurableJobs *self, const DurableLog_Job *job)
{
    lc_node owner = DurableLog_OwnerOf(self->log, job);

    return Msg_SameNode(&owner, &self->node) && job->writers->len == 0 &&
           !g_hash_table_contains(self->jobs, &job->id);
}

void
DurableJobs_CountWaiting(const DurableJobs *self, QueueCounts *counts)
{
    GPtrArray *open;
    guint i;

    if (!self->has_unstarted && self->recoveries->len == 0) {
        return;
    }
    open = DurableLog_OpenJobs(self->log);
    for (i = 0; i < open->len; i++) {
        const DurableLog_Job *job = g_ptr_array_index(open, i);
        if (is_waiting(self, job)) {
            QueueCounts_Add(counts, &job->queue);
        }
    }
    g_ptr_array_unref(open);
}

static void
remove_waiter(DurableJobs *self, guint index)
{
    QueueRef_Clear(
        &g_array_index(self->waiters, DurableJobs_Waiter, index).queue);
    g_array_remove_index(self->waiters, index);
}

/* Carries out the cancellation of a job that was unknown, now that the log was
 * read. */
static void
cancel_if_known(DurableJobs *self, int64_t now_ms,
                const DurableJobs_Waiter *waiter)
{
    if (waiter->request != 0 &&
        !DurableJobs_OnCancel(self, now_ms, waiter->request, waiter->job,
                              &waiter->queue)) {
        self->ports->answer_state(self->context, waiter->request,
                                  DURABLE_JOB_UNKNOWN);
    }
}

/* A submission that was written is remembered until it is read back: were it
 * put again meanwhile, its record would be replaced by a later one under its
 * key, behind a submission by another entry. */
void
DurableCaller_OnLogRead(DurableJobs *self, int64_t now_ms)
{
    guint i = 0;

    while (i < self->waiters->len) {
        DurableJobs_Waiter waiter = g_array_index(self->waiters,
                                                  DurableJobs_Waiter, i);
        bool awaits_read = waiter.number == UINT64_MAX;
        int64_t since_ms = awaits_read ? waiter.asked_ms : waiter.written_ms;
        if ((!awaits_read && since_ms == 0) || self->log_read_ms <= since_ms) {
            i++;
            continue;
        }
        g_array_remove_index(self->waiters, i);
        if (awaits_read) {
            cancel_if_known(self, now_ms, &waiter);
        }
        QueueRef_Clear(&waiter.queue);
    }
}

void
DurableJobs_OnWritten(DurableJobs *self, int64_t now_ms, uint64_t number)
{
    guint i = 0;

    self->written = MAX(self->written, number);
    while (i < self->waiters->len) {
        DurableJobs_Waiter *waiter = &g_array_index(self->waiters,
                                                    DurableJobs_Waiter, i);
        if (waiter->number > number || waiter->written_ms != 0) {
            i++;
            continue;
        }
        if (waiter->request != 0) {
            answer(self, waiter->request,
                   waiter->cancels ? DISPATCHER_CANCELLED
                                   : DISPATCHER_RECORDED,
                   ERR_OK, "");
        }
        if (waiter->cancels) {
            remove_waiter(self, i);
        }
        else {
            waiter->request = 0;
            waiter->written_ms = now_ms;
            i++;
        }
    }
    DurableOwned_SendReleases(self);
}

/* The record may still be written, so the caller gets an indefinite answer.
 * Until it is, the waiter stays and the job is reported as pending. */
void
DurableCaller_ExpireWaiters(DurableJobs *self, int64_t now_ms)
{
    guint i;

    for (i = 0; i < self->waiters->len; i++) {
        DurableJobs_Waiter *waiter = &g_array_index(self->waiters,
                                                    DurableJobs_Waiter, i);
        if (waiter->request != 0 && now_ms >= waiter->until_ms) {
            answer(self, waiter->request, DISPATCHER_GIVEN_UP, ERR_LOG_DOWN,
                   "the store did not confirm the write in time");
            waiter->request = 0;
        }
    }
}

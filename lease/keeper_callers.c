#include <string.h>

#include "lease/keeper_state.h"

/* A caller waits so long at most until its job is written down. */
#define WAITER_MS 2000
/* The answer to a look at an open job waits so long for its end. */
#define LOOK_WAIT_MS 50
/* A log that has not answered for so long is taken as down. */
#define LOG_DOWN_MS 1500
/* The read that was on its way while nobody waited for the log is held so much
 * longer (platform/keyed_log.c). */
#define QUIET_MS 1500

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
KeeperCaller_LogIsDown(const Keeper *keeper, int64_t now_ms)
{
    bool quiet = keeper->quiet_ms != 0 &&
                 now_ms - keeper->quiet_ms <= LOG_DOWN_MS;
    int64_t most_ms = LOG_DOWN_MS + (quiet ? QUIET_MS : 0);

    return keeper->contact_ms == 0 || now_ms - keeper->contact_ms > most_ms;
}

static Keeper_Waiter *
find_submit(const Keeper *keeper, uint64_t job)
{
    guint i;

    for (i = 0; i < keeper->waiters->len; i++) {
        Keeper_Waiter *waiter = &g_array_index(keeper->waiters, Keeper_Waiter,
                                               i);
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
    Keeper_Waiter waiter = {.number = number,
                            .request = request,
                            .job = job,
                            .queue = g_strdup(queue),
                            .asked_ms = now_ms,
                            .until_ms = now_ms + WAITER_MS,
                            .cancels = cancels};

    g_array_append_val(keeper->waiters, waiter);
}

/* An ID is one job, whoever hands it in and how often. */
static bool
answer_known(Keeper *keeper, int64_t now_ms, const Keeper_Submit *submit)
{
    const Kept_Job *known = Kept_Find(keeper->kept, submit->job->id);
    const Keeper_Waiter *waiter = find_submit(keeper, submit->job->id);

    if (known != NULL && known->submitted) {
        if (strcmp(known->queue, submit->route->name) == 0) {
            answer(keeper, submit->request_id, DISPATCHER_KEPT, ERR_OK, "");
        }
        else {
            answer(keeper, submit->request_id, DISPATCHER_NOT_RUN,
                   ERR_KEY_REUSED, "this identity is a job of another queue");
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

/* An entry that is being stopped hands new jobs to another, if there is one
 * that can look after them. */
static lc_node
owner_of_new(const Keeper *keeper, int64_t now_ms)
{
    lc_node other = {0, 0};

    if (keeper->leaving) {
        other = KeeperOwner_Other(keeper, now_ms);
    }
    return other.incarnation != 0 ? other : keeper->node;
}

static uint64_t
put_submit(Keeper *keeper, const Keeper_Submit *submit, lc_node owner)
{
    lc_kept_record record = {.job = submit->job->id};
    lc_kept_submit *body = &record.body.lc_kept_body_u.submit;
    char key[KEPT_KEY_SIZE];

    record.body.kind = LC_KEPT_SUBMIT;
    body->owner = owner;
    body->queue = submit->route->name;
    body->body = (char *)(uintptr_t)submit->body;
    Kept_SubmitKey(submit->job->id, keeper->node, key);
    return Keeper_Put(keeper, key, &record);
}

void
Keeper_OnSubmit(Keeper *keeper, int64_t now_ms, const Keeper_Submit *submit)
{
    Status status = {ERR_OK, ""};
    uint64_t number;

    if (answer_known(keeper, now_ms, submit)) {
        return;
    }
    if (KeeperCaller_LogIsDown(keeper, now_ms)) {
        Err_Set(&status, ERR_LOG_DOWN, "the store does not answer");
    }
    else if (Kept_OpenCount(keeper->kept) + keeper->waiters->len >=
             keeper->config.max_jobs) {
        Err_Set(&status, ERR_QUEUE_FULL, "%u kept jobs are open",
                Kept_OpenCount(keeper->kept));
    }
    else {
        Route_Check(submit->route, submit->job, &status);
    }
    if (status.kind != ERR_OK) {
        answer(keeper, submit->request_id, DISPATCHER_NOT_RUN, status.kind,
               status.message);
        return;
    }
    number = put_submit(keeper, submit, owner_of_new(keeper, now_ms));
    add_waiter(keeper, now_ms, number, submit->request_id, submit->job->id,
               submit->route->name, false);
}

static uint64_t
put_cancel(Keeper *keeper, uint64_t job, const char *queue)
{
    lc_kept_record record = {.job = job};
    char key[KEPT_KEY_SIZE];

    record.body.kind = LC_KEPT_CANCEL;
    record.body.lc_kept_body_u.queue = (char *)(uintptr_t)queue;
    Kept_CancelKey(job, key);
    return Keeper_Put(keeper, key, &record);
}

bool
Keeper_OnCancel(Keeper *keeper, int64_t now_ms, uint64_t request, uint64_t id,
                const char *queue)
{
    const Kept_Job *job = Kept_Find(keeper->kept, id);

    if ((job == NULL || strcmp(job->queue, queue) != 0) &&
        find_submit(keeper, id) == NULL) {
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
remove_looker(Keeper *keeper, guint index)
{
    g_free(g_array_index(keeper->lookers, Keeper_Looker, index).queue);
    g_array_remove_index_fast(keeper->lookers, index);
}

void
Keeper_OnCallerGone(Keeper *keeper, uint64_t request)
{
    guint i;

    for (i = 0; i < keeper->waiters->len; i++) {
        Keeper_Waiter *waiter = &g_array_index(keeper->waiters, Keeper_Waiter,
                                               i);
        if (waiter->request == request) {
            waiter->request = 0;
        }
    }
    for (i = 0; i < keeper->lookers->len; i++) {
        if (g_array_index(keeper->lookers, Keeper_Looker, i).request ==
            request) {
            remove_looker(keeper, i);
            return;
        }
    }
}

/* As far as the log or the own dispatcher tells. */
static bool
has_begun(const Keeper *keeper, const Kept_Job *job)
{
    bool begun = true; /* an own job that the dispatcher has ended */

    if (job->writers->len > 0) {
        return true;
    }
    if (!g_hash_table_contains(keeper->jobs, &job->id)) {
        return false;
    }
    Dispatcher_Look(keeper->dispatcher, job->id, job->queue, &begun);
    return begun;
}

static Keeper_State
state_of(const Keeper *keeper, const Kept_Job *job)
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
    if (job->outcome == LC_KEPT_OPEN && has_begun(keeper, job)) {
        return KEEPER_RUNNING;
    }
    return states[job->outcome];
}

Keeper_State
Keeper_Look(const Keeper *keeper, int64_t now_ms, uint64_t id,
            const char *queue)
{
    const Kept_Job *job = Kept_Find(keeper->kept, id);

    if (job != NULL && strcmp(job->queue, queue) == 0 &&
        (job->submitted || job->outcome != LC_KEPT_OPEN)) {
        return state_of(keeper, job);
    }
    if (find_submit(keeper, id) != NULL) {
        return KEEPER_PENDING;
    }
    return KeeperCaller_LogIsDown(keeper, now_ms) ? KEEPER_STALE
                                                  : KEEPER_UNKNOWN;
}

void
Keeper_OnLook(Keeper *keeper, int64_t now_ms, uint64_t request, uint64_t id,
              const char *queue)
{
    Keeper_State state = Keeper_Look(keeper, now_ms, id, queue);
    Keeper_Looker looker = {
        .request = request, .job = id, .until_ms = now_ms + LOOK_WAIT_MS};

    if (state != KEEPER_PENDING && state != KEEPER_RUNNING) {
        keeper->ports->tell(keeper->context, request, state);
        return;
    }
    looker.queue = g_strdup(queue);
    g_array_append_val(keeper->lookers, looker);
}

/* Tells those whose job is over, or who have waited. */
void
KeeperCaller_TellLookers(Keeper *keeper, int64_t now_ms)
{
    guint i = 0;

    while (i < keeper->lookers->len) {
        const Keeper_Looker *looker = &g_array_index(keeper->lookers,
                                                     Keeper_Looker, i);
        Keeper_State state = Keeper_Look(keeper, now_ms, looker->job,
                                         looker->queue);
        if ((state == KEEPER_PENDING || state == KEEPER_RUNNING) &&
            now_ms < looker->until_ms) {
            i++;
            continue;
        }
        keeper->ports->tell(keeper->context, looker->request, state);
        remove_looker(keeper, i);
    }
}

static bool
is_waiting(const Keeper *keeper, const Kept_Job *job)
{
    lc_node owner = Kept_OwnerOf(keeper->kept, job);

    return Msg_SameNode(&owner, &keeper->node) && job->writers->len == 0 &&
           !g_hash_table_contains(keeper->jobs, &job->id);
}

void
Keeper_AddWaiting(const Keeper *keeper, QueueCounts *counts)
{
    GPtrArray *open;
    guint i;

    if (!keeper->unstarted && keeper->recoveries->len == 0) {
        return;
    }
    open = Kept_Open(keeper->kept);
    for (i = 0; i < open->len; i++) {
        const Kept_Job *job = g_ptr_array_index(open, i);
        if (is_waiting(keeper, job)) {
            QueueCounts_Add(counts, job->queue);
        }
    }
    g_ptr_array_unref(open);
}

static void
remove_waiter(Keeper *keeper, guint index)
{
    g_free(g_array_index(keeper->waiters, Keeper_Waiter, index).queue);
    g_array_remove_index(keeper->waiters, index);
}

void
KeeperCaller_TakeRead(Keeper *keeper, int64_t now_ms)
{
    guint i = 0;

    while (i < keeper->waiters->len) {
        Keeper_Waiter waiter = g_array_index(keeper->waiters, Keeper_Waiter,
                                             i);
        if (waiter.number != UINT64_MAX ||
            keeper->contact_ms <= waiter.asked_ms) {
            i++;
            continue;
        }
        g_array_remove_index(keeper->waiters, i);
        if (waiter.request != 0 &&
            !Keeper_OnCancel(keeper, now_ms, waiter.request, waiter.job,
                             waiter.queue)) {
            keeper->ports->tell(keeper->context, waiter.request,
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
        Keeper_Waiter *waiter = &g_array_index(keeper->waiters, Keeper_Waiter,
                                               i);
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
    KeeperJob_ReleaseWritten(keeper);
}

/* The record may still be written: the caller is told nothing certain, and
 * the job is known here as pending until it is. */
void
KeeperCaller_GiveUp(Keeper *keeper, int64_t now_ms)
{
    guint i;

    for (i = 0; i < keeper->waiters->len; i++) {
        Keeper_Waiter *waiter = &g_array_index(keeper->waiters, Keeper_Waiter,
                                               i);
        if (waiter->request != 0 && now_ms >= waiter->until_ms) {
            answer(keeper, waiter->request, DISPATCHER_GIVEN_UP, ERR_LOG_DOWN,
                   "the store has not confirmed it in time");
            waiter->request = 0;
        }
    }
}

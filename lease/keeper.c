#include "lease/keeper.h"

#include <inttypes.h>
#include <string.h>

#include "lease/keeper_state.h"
#include "lease/run_id.h"

/* Without a word of the log for so long, others should take the jobs over. */
#define RELIABLE_MS 2500
/* A log that has not answered for so long is taken as down. */
#define LOG_DOWN_MS 1500
/* A caller waits so long at most until its job is written down. */
#define WAITER_MS 2000
#define SWEEP_MS 1000
/* The answer to a look at an open job waits so long for its end. */
#define LOOK_WAIT_MS 50

Keeper *
Keeper_New(const Keeper_Config *config, const Keeper_Ports *ports,
           void *context, Dispatcher *dispatcher, int64_t now_ms)
{
    Keeper *keeper = g_new0(Keeper, 1);

    keeper->config = *config;
    keeper->ports = ports;
    keeper->context = context;
    keeper->dispatcher = dispatcher;
    keeper->kept = Kept_New();
    /* Not the identity under which jobs are run that need not be kept: it
     * may be taken away. */
    keeper->node = config->node;
    keeper->node.incarnation++;
    keeper->started_ms = now_ms;
    keeper->waiters = g_array_new(FALSE, TRUE, sizeof(Keeper_Waiter));
    keeper->lookers = g_array_new(FALSE, TRUE, sizeof(Keeper_Looker));
    keeper->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         KeeperJob_Free);
    keeper->changed = g_hash_table_new(g_int64_hash, g_int64_equal);
    keeper->ends = g_array_new(FALSE, TRUE, sizeof(Keeper_End));
    keeper->recoveries = g_array_new(FALSE, TRUE, sizeof(Keeper_Recovery));
    keeper->peers = g_array_new(FALSE, TRUE, sizeof(Keeper_Peer));
    keeper->seen = g_array_new(FALSE, TRUE, sizeof(Keeper_Seen));
    keeper->claims = g_array_new(FALSE, TRUE, sizeof(lc_node));
    keeper->calls = Handle_NewTable();
    Dispatcher_OwnKept(dispatcher, keeper->node.incarnation);
    return keeper;
}

static void
free_call(Keeper_Call *call)
{
    if (call->ends != NULL) {
        g_array_unref(call->ends);
    }
    g_free(call);
}

void
Keeper_Free(Keeper *keeper)
{
    guint i;

    for (i = 0; i < Handle_Size(keeper->calls); i++) {
        Keeper_Call *call = Handle_At(keeper->calls, i);
        if (call != NULL) {
            free_call(call);
        }
    }
    for (i = 0; i < keeper->waiters->len; i++) {
        g_free(g_array_index(keeper->waiters, Keeper_Waiter, i).queue);
    }
    for (i = 0; i < keeper->lookers->len; i++) {
        g_free(g_array_index(keeper->lookers, Keeper_Looker, i).queue);
    }
    for (i = 0; i < keeper->recoveries->len; i++) {
        KeeperOwner_ClearRecovery(
            &g_array_index(keeper->recoveries, Keeper_Recovery, i));
    }
    Handle_FreeTable(keeper->calls);
    g_hash_table_unref(keeper->changed);
    g_hash_table_unref(keeper->jobs);
    g_array_unref(keeper->waiters);
    g_array_unref(keeper->lookers);
    g_array_unref(keeper->ends);
    g_array_unref(keeper->recoveries);
    g_array_unref(keeper->peers);
    g_array_unref(keeper->seen);
    g_array_unref(keeper->claims);
    Kept_Free(keeper->kept);
    g_free(keeper);
}

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

static bool
log_is_down(const Keeper *keeper, int64_t now_ms)
{
    return keeper->contact_ms == 0 ||
           now_ms - keeper->contact_ms > LOG_DOWN_MS;
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
    GByteArray *bytes = g_byte_array_new();
    char key[KEPT_KEY_SIZE];
    uint64_t number;

    record.body.kind = LC_KEPT_SUBMIT;
    body->owner = owner;
    body->queue = submit->route->name;
    body->body = (char *)(uintptr_t)submit->body;
    Msg_EncodeKept(&record, bytes);
    Kept_SubmitKey(submit->job->id, keeper->node.incarnation, key);
    number = keeper->ports->put(keeper->context, key, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    return number;
}

void
Keeper_OnSubmit(Keeper *keeper, int64_t now_ms, const Keeper_Submit *submit)
{
    Status status = {ERR_OK, ""};
    uint64_t number;

    if (answer_known(keeper, now_ms, submit)) {
        return;
    }
    if (log_is_down(keeper, now_ms)) {
        Err_Set(&status, ERR_LOG_DOWN, "the store does not answer");
    }
    else if (Kept_OpenCount(keeper->kept) + keeper->waiters->len >=
             keeper->config.max_jobs) {
        Err_Set(&status, ERR_QUEUE_FULL, "%u kept jobs are open",
                Kept_OpenCount(keeper->kept));
    }
    else if (submit->route->advised) {
        Err_Set(
            &status, ERR_UNSUPPORTED,
            "not served yet: queues whose starts need an adviser's ticket");
    }
    else {
        LeasedJob_Check(submit->job, &status);
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
    GByteArray *bytes = g_byte_array_new();
    char key[KEPT_KEY_SIZE];
    uint64_t number;

    record.body.kind = LC_KEPT_CANCEL;
    record.body.lc_kept_body_u.queue = (char *)(uintptr_t)queue;
    Msg_EncodeKept(&record, bytes);
    Kept_CancelKey(job, key);
    number = keeper->ports->put(keeper->context, key, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    return number;
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
    return log_is_down(keeper, now_ms) ? KEEPER_STALE : KEEPER_UNKNOWN;
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
static void
tell_lookers(Keeper *keeper, int64_t now_ms)
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

uint32_t
Keeper_Waiting(const Keeper *keeper, const char *queue)
{
    GPtrArray *open;
    uint32_t count = 0;
    guint i;

    if (!keeper->unstarted && keeper->recoveries->len == 0) {
        return 0;
    }
    open = Kept_Open(keeper->kept);
    for (i = 0; i < open->len; i++) {
        const Kept_Job *job = g_ptr_array_index(open, i);
        lc_node owner = Kept_OwnerOf(keeper->kept, job);
        count += strcmp(job->queue, queue) == 0 &&
                 Kept_SameNode(&owner, &keeper->node) &&
                 job->writers->len == 0 &&
                 !g_hash_table_contains(keeper->jobs, &job->id);
    }
    g_ptr_array_unref(open);
    return count;
}

/* The owner stops a cancelled job; whose start was not taken yet, too. */
static void
cancel_own(Keeper *keeper, int64_t now_ms, const Kept_Job *job)
{
    if (g_hash_table_contains(keeper->jobs, &job->id)) {
        Dispatcher_OnCancel(keeper->dispatcher, now_ms, job->id, job->queue);
    }
}

/* The outcome stands in the log: nothing is to be run any more, whoever wrote
 * it. */
static void
end_own(Keeper *keeper, int64_t now_ms, const Kept_Job *job)
{
    Keeper_Job *row = g_hash_table_lookup(keeper->jobs, &job->id);

    if (job->outcome == LC_KEPT_OPEN || row == NULL) {
        return;
    }
    row->written = true;
    Dispatcher_OnCancel(keeper->dispatcher, now_ms, job->id, job->queue);
    KeeperJob_Forget(keeper, row);
}

void
Keeper_OnRecord(Keeper *keeper, int64_t now_ms, const Kept_Record *record)
{
    Kept_Change change = Kept_Take(keeper->kept, now_ms, record);

    KeeperOwner_Wrote(keeper, now_ms, Kept_Writer(record));
    switch (change.kind) {
    case KEPT_SUBMITTED:
        keeper->unstarted = true;
        break;
    case KEPT_PROGRESSED:
        end_own(keeper, now_ms, change.job);
        break;
    case KEPT_CANCELLED:
        cancel_own(keeper, now_ms, change.job);
        break;
    case KEPT_ALIVE:
        KeeperOwner_Wrote(keeper, now_ms, change.gone.incarnation);
        break;
    case KEPT_CLAIMED:
        KeeperOwner_Claimed(keeper, now_ms, change.gone, change.heir);
        break;
    default:
        break;
    }
}

void
Keeper_OnRead(Keeper *keeper, int64_t now_ms, int64_t asked_ms)
{
    keeper->contact_ms = MAX(keeper->contact_ms, asked_ms);
    Dispatcher_HoldKept(keeper->dispatcher,
                        now_ms - keeper->contact_ms < KEEPER_HOLD_MS);
    KeeperOwner_Recover(keeper, now_ms);
    KeeperJob_StartAll(keeper, now_ms);
    tell_lookers(keeper, now_ms);
}

static void
remove_waiter(Keeper *keeper, guint index)
{
    g_free(g_array_index(keeper->waiters, Keeper_Waiter, index).queue);
    g_array_remove_index(keeper->waiters, index);
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
static void
give_up_waiters(Keeper *keeper, int64_t now_ms)
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

/* The live entry with the lowest address drops what is over for long. */
static void
sweep(Keeper *keeper, int64_t now_ms)
{
    GPtrArray *over;
    char key[KEPT_KEY_SIZE];
    guint i;
    guint j;

    for (i = 0; i < keeper->peers->len; i++) {
        const Keeper_Peer *peer = &g_array_index(keeper->peers, Keeper_Peer,
                                                 i);
        if (peer->address < keeper->node.address &&
            now_ms - peer->heard_ms < RELIABLE_MS) {
            return;
        }
    }
    over = Kept_Over(keeper->kept, now_ms - keeper->config.keep_ms);
    for (i = 0; i < over->len; i++) {
        const Kept_Job *job = g_ptr_array_index(over, i);
        for (j = 0; j < job->submitters->len; j++) {
            Kept_SubmitKey(job->id,
                           g_array_index(job->submitters, uint64_t, j), key);
            keeper->ports->put(keeper->context, key, NULL, 0);
        }
        Kept_CancelKey(job->id, key);
        if (job->cancelled) {
            keeper->ports->put(keeper->context, key, NULL, 0);
        }
        for (j = 0; j < job->writers->len; j++) {
            Kept_ProgressKey(job->id, g_array_index(job->writers, uint64_t, j),
                             key);
            keeper->ports->put(keeper->context, key, NULL, 0);
        }
    }
    g_ptr_array_unref(over);
}

void
Keeper_Settle(Keeper *keeper, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer id;

    (void)now_ms;
    g_hash_table_iter_init(&iter, keeper->changed);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        KeeperJob_Write(keeper, g_hash_table_lookup(keeper->jobs, id));
    }
    g_hash_table_remove_all(keeper->changed);
}

void
Keeper_Tick(Keeper *keeper, int64_t now_ms)
{
    Dispatcher_HoldKept(keeper->dispatcher,
                        keeper->contact_ms != 0 &&
                            now_ms - keeper->contact_ms < KEEPER_HOLD_MS);
    give_up_waiters(keeper, now_ms);
    tell_lookers(keeper, now_ms);
    KeeperJob_ReleaseWritten(keeper);
    KeeperOwner_SayAlive(keeper, now_ms);
    KeeperOwner_Watch(keeper, now_ms);
    KeeperOwner_Recover(keeper, now_ms);
    KeeperOwner_AskHeld(keeper, now_ms);
    KeeperJob_StartAll(keeper, now_ms);
    if (now_ms - keeper->swept_ms >= SWEEP_MS &&
        !log_is_down(keeper, now_ms)) {
        keeper->swept_ms = now_ms;
        sweep(keeper, now_ms);
    }
}

void
Keeper_OnReply(Keeper *keeper, int64_t now_ms, uint64_t call_id,
               const Msg_Reply *reply)
{
    Keeper_Call *call = Handle_Remove(keeper->calls, call_id);

    if (call == NULL) {
        return;
    }
    if (call->kind == MSG_FENCE && reply != NULL && reply->u.fence.taken) {
        KeeperOwner_Fenced(keeper, now_ms, call, &reply->u.fence);
    }
    else if (call->kind == MSG_RELEASE) {
        KeeperJob_Released(keeper, call, reply != NULL);
    }
    free_call(call);
}

void
Keeper_Leave(Keeper *keeper, int64_t now_ms)
{
    lc_node heir = KeeperOwner_Other(keeper, now_ms);

    keeper->leaving = true;
    if (heir.incarnation != 0) {
        KeeperOwner_PutClaim(keeper, now_ms, &keeper->node, &heir);
    }
}

uint64_t
Keeper_Identity(const Keeper *keeper, int64_t now_ms)
{
    bool reliable = keeper->contact_ms != 0 &&
                    now_ms - keeper->contact_ms < RELIABLE_MS;

    return reliable && !keeper->leaving ? keeper->node.incarnation : 0;
}

bool
Keeper_IsIdle(const Keeper *keeper)
{
    return keeper->waiters->len == 0 && keeper->lookers->len == 0 &&
           g_hash_table_size(keeper->jobs) == 0;
}

void
Keeper_Metrics(const Keeper *keeper, int64_t now_ms, GString *out)
{
    g_string_append_printf(out,
                           "levercove_kept_jobs_open %u\n"
                           "levercove_kept_jobs_owned %u\n"
                           "levercove_kept_log_age_seconds %" PRId64 "\n"
                           "levercove_kept_recoveries %u\n"
                           "levercove_kept_ends_unwritten %u\n",
                           Kept_OpenCount(keeper->kept),
                           g_hash_table_size(keeper->jobs),
                           (now_ms - keeper->contact_ms) / 1000,
                           keeper->recoveries->len, keeper->ends->len);
}

json_t *
Keeper_Dump(const Keeper *keeper, int64_t now_ms)
{
    return json_pack("{s:i, s:i, s:i, s:i, s:I, s:b}", "open",
                     (int)Kept_OpenCount(keeper->kept), "owned",
                     (int)g_hash_table_size(keeper->jobs), "waiters",
                     (int)keeper->waiters->len, "recoveries",
                     (int)keeper->recoveries->len, "log_age_ms",
                     (json_int_t)(now_ms - keeper->contact_ms), "leaving",
                     keeper->leaving);
}

#include <string.h>

#include "lease/keeper_state.h"
#include "lease/run_id.h"

void
KeeperJob_Free(gpointer item)
{
    Keeper_Job *row = item;

    g_byte_array_unref(row->done);
    g_array_unref(row->failures);
    g_array_unref(row->ends);
    g_free(row);
}

static Keeper_Job *
add_row(Keeper *keeper, const Kept_Job *job)
{
    Keeper_Job *row = g_new0(Keeper_Job, 1);

    row->id = job->id;
    row->done = g_byte_array_new();
    g_byte_array_append(row->done, job->done->data, job->done->len);
    row->failures = g_array_copy(job->failures);
    row->ends = g_array_new(FALSE, TRUE, sizeof(Keeper_End));
    g_hash_table_insert(keeper->jobs, &row->id, row);
    return row;
}

static void
note_change(Keeper *keeper, Keeper_Job *row)
{
    g_hash_table_add(keeper->changed, &row->id);
}

void
KeeperJob_Forget(Keeper *keeper, Keeper_Job *row)
{
    guint i;

    for (i = 0; i < row->ends->len; i++) {
        KeeperJob_Release(keeper, &g_array_index(row->ends, Keeper_End, i));
    }
    g_hash_table_remove(keeper->changed, &row->id);
    g_hash_table_remove(keeper->jobs, &row->id);
}

void
KeeperJob_Write(Keeper *keeper, const Keeper_Job *row)
{
    const Kept_Job *job = Kept_Find(keeper->kept, row->id);
    lc_kept_record record = {.job = row->id};
    lc_kept_progress *progress = &record.body.lc_kept_body_u.progress;
    char key[KEPT_KEY_SIZE];
    uint64_t number;
    guint i;

    record.body.kind = LC_KEPT_PROGRESS;
    progress->queue = job->queue;
    progress->outcome = row->outcome;
    progress->done.done_val = (char *)row->done->data;
    progress->done.done_len = row->done->len;
    progress->failures.failures_val =
        (lc_kept_failures *)(void *)row->failures->data;
    progress->failures.failures_len = row->failures->len;
    Kept_ProgressKey(row->id, keeper->node, key);
    number = Keeper_Put(keeper, key, &record);
    for (i = 0; i < row->ends->len; i++) {
        Keeper_End end = g_array_index(row->ends, Keeper_End, i);
        end.number = number;
        g_array_append_val(keeper->ends, end);
    }
    g_array_set_size(row->ends, 0);
}

static void
add_failure(Keeper_Job *row, uint32_t task, uint32_t run)
{
    lc_kept_failures fresh = {task, 1, run};
    guint i;

    for (i = 0; i < row->failures->len; i++) {
        lc_kept_failures *known = &g_array_index(row->failures,
                                                 lc_kept_failures, i);
        if (known->task == task) {
            known->count += run > known->run;
            known->run = MAX(known->run, run);
            return;
        }
    }
    g_array_append_val(row->failures, fresh);
}

void
Keeper_OnRunEnd(Keeper *keeper, const lc_run_id *id, uint32_t task,
                lc_node host, bool done)
{
    Keeper_Job *row = g_hash_table_lookup(keeper->jobs, &id->job);
    Keeper_End end = {.host = host, .run = *id};

    if (task == KEEPER_NO_TASK) {
        KeeperJob_Release(keeper, &end);
        return;
    }
    if (row == NULL) {
        return; /* not ours any more, or over: see KeeperOwner_AskHeld */
    }
    if (done) {
        Kept_MarkDone(row->done, task);
    }
    else {
        add_failure(row, task, id->run);
    }
    g_array_append_val(row->ends, end);
    note_change(keeper, row);
}

void
Keeper_OnCrash(Keeper *keeper, const lc_run_id *id, uint32_t task)
{
    Keeper_Job *row = g_hash_table_lookup(keeper->jobs, &id->job);

    if (row != NULL) {
        add_failure(row, task | KEPT_CRASHES, id->run);
        note_change(keeper, row);
    }
}

void
Keeper_OnJobOver(Keeper *keeper, uint64_t job, Dispatcher_Outcome outcome)
{
    Keeper_Job *row = g_hash_table_lookup(keeper->jobs, &job);

    if (row == NULL || row->written) {
        return;
    }
    switch (outcome) {
    case DISPATCHER_SUCCEEDED:
        row->outcome = LC_KEPT_SUCCEEDED;
        break;
    case DISPATCHER_CANCELLED:
        row->outcome = LC_KEPT_CANCELLED;
        break;
    default:
        row->outcome = LC_KEPT_FAILED;
        break;
    }
    note_change(keeper, row);
}

static void
send_release(Keeper *keeper, lc_node host, GArray *ends)
{
    Keeper_Call *about = g_new0(Keeper_Call, 1);
    Msg_Call call = {.kind = MSG_RELEASE};
    lc_run_id *runs = g_new0(lc_run_id, ends->len);
    guint i;

    for (i = 0; i < ends->len; i++) {
        runs[i] = g_array_index(ends, Keeper_End, i).run;
    }
    call.u.release.target = host.incarnation;
    call.u.release.runs.runs_len = MIN(ends->len, LC_MAX_PAGE);
    call.u.release.runs.runs_val = runs;
    about->kind = MSG_RELEASE;
    about->host = host;
    about->ends = g_array_ref(ends);
    keeper->ports->call(keeper->context, host.address,
                        Handle_Add(keeper->calls, about), &call);
    g_free(runs);
}

void
KeeperJob_Release(Keeper *keeper, const Keeper_End *end)
{
    Keeper_End written = *end;

    written.number = 0;
    g_array_append_val(keeper->ends, written);
}

/* Takes the ends at one companion out of the list. */
static GArray *
take_ends_at(Keeper *keeper, lc_node host)
{
    GArray *taken = g_array_new(FALSE, TRUE, sizeof(Keeper_End));
    guint i = 0;

    while (i < keeper->ends->len) {
        Keeper_End *end = &g_array_index(keeper->ends, Keeper_End, i);
        if (end->number <= keeper->written &&
            Msg_SameNode(&end->host, &host) && taken->len < LC_MAX_PAGE) {
            g_array_append_val(taken, *end);
            g_array_remove_index_fast(keeper->ends, i);
        }
        else {
            i++;
        }
    }
    return taken;
}

void
KeeperJob_ReleaseWritten(Keeper *keeper)
{
    guint i = 0;

    while (i < keeper->ends->len) {
        Keeper_End end = g_array_index(keeper->ends, Keeper_End, i);
        GArray *ends;
        if (end.number > keeper->written) {
            i++;
            continue;
        }
        ends = take_ends_at(keeper, end.host);
        send_release(keeper, end.host, ends);
        g_array_unref(ends);
        i = 0;
    }
}

/* A companion that could not be reached is asked again, unless it is gone:
 * another incarnation tells of what it finds. */
void
KeeperJob_Released(Keeper *keeper, const Keeper_Call *call, bool taken)
{
    const Fleet_Host *host = Dispatcher_Host(keeper->dispatcher,
                                             call->host.address);

    if (taken || host == NULL ||
        host->node.incarnation != call->host.incarnation) {
        return;
    }
    g_array_append_vals(keeper->ends, call->ends->data, call->ends->len);
}

/* Takes what companions hold of a job: its ends are written down, what runs
 * goes to the dispatcher. */
static void
take_found(Keeper *keeper, Keeper_Job *row, const LeasedJob *job,
           const Keeper_Recovery *recovery, GArray *runs)
{
    guint i;

    for (i = 0; recovery != NULL && i < recovery->runs->len; i++) {
        const Keeper_Found *found = &g_array_index(recovery->runs,
                                                   Keeper_Found, i);
        const lc_run_id *id = &found->run.id;
        Dispatcher_Placement place = {*id, found->host};
        if (id->job != row->id) {
            continue;
        }
        if (found->run.running) {
            g_array_append_val(runs, place);
            continue;
        }
        Keeper_OnRunEnd(keeper, id, LeasedJob_EndNumber(job, id), found->host,
                        found->run.status == LC_RUN_DONE);
    }
}

static void
write_outcome(Keeper *keeper, const Kept_Job *job, lc_kept_outcome outcome)
{
    Keeper_Job *row = add_row(keeper, job);

    row->outcome = outcome;
    note_change(keeper, row);
}

void
KeeperJob_Start(Keeper *keeper, int64_t now_ms, Kept_Job *job,
                const Keeper_Recovery *recovery)
{
    const Route *route = keeper->ports->route(keeper->context, job->queue);
    uint32_t generation = Kept_Generation(keeper->kept, job);
    Dispatcher_Kept start = {.route = route,
                             .run_base = RUN_ID_KEPT_BASE +
                                         generation * RUN_ID_OWNER_STEP};
    Status status = {ERR_OK, ""};
    Keeper_Job *row;
    GArray *runs;

    if (job->cancelled && (recovery == NULL || route == NULL)) {
        write_outcome(keeper, job, LC_KEPT_CANCELLED);
        return;
    }
    if (route == NULL) {
        keeper->unstarted = true; /* until the queue is back */
        return;
    }
    if (keeper->ports->parse(keeper->context, job->id, job->body, &start.job,
                             &status) != ERR_OK) {
        keeper->ports->event(keeper->context, EVENT_KEPT_BAD, status.message);
        write_outcome(keeper, job, LC_KEPT_FAILED);
        return;
    }
    runs = g_array_new(FALSE, TRUE, sizeof(Dispatcher_Placement));
    row = add_row(keeper, job);
    take_found(keeper, row, &start.job, recovery, runs);
    start.runs = runs;
    start.done = row->done;
    start.failures = row->failures;
    Dispatcher_AddKept(keeper->dispatcher, now_ms, &start);
    g_array_unref(runs);
    if (job->cancelled) {
        /* What runs of it has to be stopped. */
        Dispatcher_OnCancel(keeper->dispatcher, now_ms, job->id, job->queue);
    }
}

void
KeeperJob_StartAll(Keeper *keeper, int64_t now_ms)
{
    GPtrArray *open;
    guint i;

    if (!keeper->unstarted) {
        return;
    }
    keeper->unstarted = false;
    open = Kept_Open(keeper->kept);
    for (i = 0; i < open->len; i++) {
        Kept_Job *job = g_ptr_array_index(open, i);
        lc_node owner = Kept_OwnerOf(keeper->kept, job);
        if (!Msg_SameNode(&owner, &keeper->node) ||
            g_hash_table_contains(keeper->jobs, &job->id)) {
            continue;
        }
        if (KeeperOwner_RecoveryOf(keeper, job) == NULL) {
            KeeperJob_Start(keeper, now_ms, job, NULL);
        }
    }
    g_ptr_array_unref(open);
}

#include "lease/runner.h"

#include <inttypes.h>
#include <string.h>

#include "lease/resources.h"
#include "lease/run_id.h"
#include "lease/runner_state.h"

/* Heartbeats that may be missed before an upstream counts as absent. */
#define MAX_MISSED_HEARTBEATS 3

Runner *
Runner_New(const Runner_Config *config, const Runner_Ports *ports,
           void *context, int64_t now_ms)
{
    Runner *runner = g_new0(Runner, 1);

    runner->config = *config;
    runner->ports = ports;
    runner->context = context;
    runner->health = Health_New();
    runner->tasks = g_hash_table_new_full(RunId_Hash, RunId_Equal, NULL,
                                          RunnerTask_Free);
    runner->by_handle = Handle_NewTable();
    runner->orders = Handle_NewTable();
    runner->owners = g_array_new(FALSE, TRUE, sizeof(Runner_Owner));
    runner->fenced = g_hash_table_new_full(Msg_HashNode, Msg_EqualNodes, NULL,
                                           g_free);
    runner->late_starts = g_array_new(FALSE, TRUE, sizeof(lc_late_start));
    runner->token = config->first_token;
    runner->upstream.instance = g_strdup("");
    DeadIncarnations_Init(&runner->dead_incarnations);
    HallClosures_Init(&runner->closures, now_ms);
    runner->upstream.service = g_strdup("");
    runner->upstream.labels = g_new0(char *, 1);
    runner->next_poll_ms = now_ms;
    runner->idle_ms = now_ms;
    runner->created_ms = now_ms;
    return runner;
}

void
Runner_Free(Runner *runner)
{
    uint32_t i;

    for (i = 0; i < Handle_RowCount(runner->orders); i++) {
        g_free(Handle_ItemAt(runner->orders, i));
    }
    Handle_FreeTable(runner->orders);
    g_hash_table_unref(runner->tasks);
    Handle_FreeTable(runner->by_handle);
    g_array_unref(runner->owners);
    g_hash_table_unref(runner->fenced);
    g_array_unref(runner->late_starts);
    RunnerUpstream_Clear(runner);
    HallClosures_Clear(&runner->closures);
    g_free(runner);
}

static lc_resources
available_room(const Runner *runner)
{
    lc_resources room = runner->upstream.capacity;

    Resources_Subtract(&room, &runner->used);
    return room;
}

static lc_upstream_state
current_state(const Runner *runner, int64_t now_ms)
{
    int64_t silent_ms = MAX_MISSED_HEARTBEATS * runner->config.beat_ms;

    if (!runner->upstream.known || !runner->upstream.inventoried ||
        runner->upstream.doubtful ||
        now_ms - runner->upstream.heard_ms > silent_ms) {
        return LC_UPSTREAM_ABSENT;
    }
    if (runner->draining || runner->upstream.draining) {
        return LC_UPSTREAM_DRAINING;
    }
    return runner->health.trial ? LC_UPSTREAM_TRIAL : LC_UPSTREAM_READY;
}

static bool
admits_by_health(const Runner *runner, int64_t now_ms)
{
    uint32_t recent = 0;
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, runner->tasks);
    while (runner->health.trial &&
           g_hash_table_iter_next(&iter, NULL, &item)) {
        const Runner_Task *row = item;
        recent += row->state != TASK_ENDED &&
                  now_ms - row->ordered_ms < HEALTH_TRIAL_TASK_MS;
    }
    return Health_Admits(&runner->health, now_ms, recent);
}

void
Runner_State(const Runner *runner, int64_t now_ms, lc_host_state *state)
{
    memset(state, 0, sizeof(*state));
    state->node = runner->config.node;
    state->stamp_ms = now_ms;
    state->state = current_state(runner, now_ms);
    if ((state->state == LC_UPSTREAM_READY ||
         state->state == LC_UPSTREAM_TRIAL) &&
        admits_by_health(runner, now_ms) &&
        !RunnerDurable_IsListFull(runner)) {
        state->room = available_room(runner);
    }
    state->pace_percent = runner->health.pace_percent;
    state->tasks = runner->active_tasks;
    state->held = runner->unreleased;
    state->held_long = runner->held_long;
}

/* Of the tasks that were running during an upstream crash, only one may run
 * here at a time, so that another crash can be attributed to it. One that has
 * run for so long that it would not be blamed keeps no other off. */
static bool
is_only_crash_suspect(const Runner *runner, int64_t now_ms,
                      const lc_run_args *args)
{
    GHashTableIter iter;
    gpointer item;

    if (args->crashes == 0) {
        return true;
    }
    g_hash_table_iter_init(&iter, runner->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const Runner_Task *row = item;
        if (row->state != TASK_ENDED && row->crashes > 0 &&
            RunnerTask_IsBlamedForCrash(row, now_ms)) {
            return false;
        }
    }
    return true;
}

/* A query (LC_HOLD_NONE) must wait for the inventory, as that may still list
 * the end of the run. */
static bool
awaits_inventory(const Runner *runner, const lc_run_args *args)
{
    return args->valid_until_ms == LC_HOLD_NONE &&
           !runner->upstream.inventoried;
}

/* Returns LC_RUN_DONE if the run may start, or the reason to refuse it. */
static lc_run_status
admit(const Runner *runner, int64_t now_ms, const lc_run_args *args)
{
    lc_resources room = available_room(runner);

    if (args->target != 0 && args->target != runner->config.node.incarnation) {
        return runner->upstream.inventoried ? LC_RUN_OTHER_NODE
                                            : LC_RUN_NOT_READY;
    }
    if (awaits_inventory(runner, args)) {
        return LC_RUN_NOT_READY;
    }
    if (now_ms > args->valid_until_ms ||
        RunnerDurable_IsFenced(runner, &args->owner)) {
        return LC_RUN_EXPIRED;
    }
    if (HallClosures_RejectsStart(&runner->closures, runner->config.hall,
                                  args->closures_as_of)) {
        return LC_RUN_CLOSED;
    }
    if (RunnerUpstream_MayHaveRestarted(runner) ||
        RunnerOwner_HoldLimitMs(runner, now_ms) <= 0) {
        return LC_RUN_NOT_READY;
    }
    switch (current_state(runner, now_ms)) {
    case LC_UPSTREAM_ABSENT:
        return LC_RUN_NOT_READY;
    case LC_UPSTREAM_DRAINING:
        return LC_RUN_DRAINING;
    default:
        break;
    }
    if (RunId_IsDurable(&args->id) &&
        runner->unreleased >= RUNNER_MAX_HELD_ENDS) {
        return LC_RUN_NO_ROOM;
    }
    if (!Resources_Fit(&args->need, &room) ||
        RunnerDurable_IsListFull(runner) ||
        !is_only_crash_suspect(runner, now_ms, args) ||
        !admits_by_health(runner, now_ms)) {
        return LC_RUN_NO_ROOM;
    }
    return LC_RUN_DONE;
}

static int64_t
lease_until(const lc_run_args *args)
{
    return args->valid_until_ms +
           (RunId_IsDurable(&args->id) ? LEASE_TIMING_DURABLE_GRACE_MS : 0);
}

/* Records a run as ended without having started it, so that a late copy of its
 * RUN call does not start it: the entry may have sent the task elsewhere.
 * Copies are valid for one lease, which is shorter than RETENTION_MS of
 * runner_durable.c. */
static Runner_Task *
add_tombstone(Runner *runner, int64_t now_ms, const lc_node *owner,
              const lc_run_id *id, lc_run_status status)
{
    lc_run_args ended = {
        .owner = *owner, .id = *id, .spec = (char *)(uintptr_t) ""};
    Runner_Task *row = RunnerTask_Add(runner, now_ms, &ended);

    row->state = TASK_ENDED;
    row->status = status;
    row->ended_ms = now_ms;
    return row;
}

/* Replies to a RUN that is not carried out. A queried run without a record may
 * have been started by the previous process of this companion. */
static void
refuse_run(Runner *runner, int64_t now_ms, uint64_t reply_id,
           const lc_run_args *args, lc_run_status status)
{
    lc_run_res result = {.status = status};
    Runner_Task *row;

    if (args->target == runner->config.node.incarnation &&
        !awaits_inventory(runner, args)) {
        row = add_tombstone(runner, now_ms, &args->owner, &args->id, status);
        if (args->valid_until_ms == LC_HOLD_NONE) {
            RunnerLateStart_AssumeCopies(runner, row, 1);
        }
    }
    result.late_start_ms = RunnerLateStart_TaskMs(runner, now_ms, &args->id);
    RunnerTask_ReplyRun(runner, now_ms, reply_id, &result);
}

/* Answers a call from the record of a run that has ended, maybe under an
 * earlier submission of its job. The caller may start the task elsewhere, so
 * the record must outlive the other copies of this call. */
static void
answer_ended(Runner *runner, int64_t now_ms, Runner_Task *row)
{
    row->answered_ms = now_ms;
    RunnerTask_Answer(runner, now_ms, row);
}

static void
on_run(Runner *runner, int64_t now_ms, uint64_t reply_id,
       const lc_run_args *args)
{
    Runner_Task *row = g_hash_table_lookup(runner->tasks, &args->id);
    lc_run_status status;
    Runner_Owner *owner;

    if (row != NULL && (args->target == 0 ||
                        args->target == runner->config.node.incarnation)) {
        RunnerTask_QueueReply(row, reply_id, MSG_RUN);
        if (row->state == TASK_ENDED) {
            answer_ended(runner, now_ms, row);
        }
        return;
    }
    status = admit(runner, now_ms, args);
    if (status != LC_RUN_DONE) {
        runner->refusals[status]++;
        if (status == LC_RUN_CLOSED) {
            runner->version++; /* the next report sends the closed halls to the
                                  entry */
        }
        refuse_run(runner, now_ms, reply_id, args, status);
        return;
    }
    owner = RunnerOwner_Extend(runner, now_ms, &args->owner,
                               lease_until(args));
    owner->running++;
    row = RunnerTask_Add(runner, now_ms, args);
    RunnerTask_QueueReply(row, reply_id, MSG_RUN);
    Resources_Add(&runner->used, &row->need);
    runner->active_tasks++;
    runner->version++;
    Health_RecordStart(&runner->health, now_ms);
    Counter_Add(&runner->counters, COUNTER_TASKS_STARTED, 1);
    RunnerOrder_Start(runner, now_ms, row, args->valid_until_ms);
}

static void
on_halt(Runner *runner, int64_t now_ms, uint64_t reply_id,
        const lc_halt_args *args)
{
    Runner_Task *row = g_hash_table_lookup(runner->tasks, &args->id);

    RunnerTask_StopExpired(runner, now_ms);
    if (args->target != runner->config.node.incarnation) {
        RunnerTask_ReplyHalt(runner, now_ms, reply_id,
                             runner->upstream.inventoried ? LC_RUN_OTHER_NODE
                                                          : LC_RUN_NOT_READY);
        return;
    }
    if (row == NULL) {
        row = add_tombstone(runner, now_ms, &args->owner, &args->id,
                            LC_RUN_STOPPED);
    }
    RunnerTask_QueueReply(row, reply_id, MSG_HALT);
    if (row->state == TASK_ENDED) {
        answer_ended(runner, now_ms, row);
        return;
    }
    RunnerTask_MarkUnwanted(runner, row, now_ms);
    RunnerTask_Stop(runner, now_ms, row, LC_RUN_STOPPED);
}

static void
on_renew(Runner *runner, int64_t now_ms, uint64_t reply_id,
         const lc_renew_args *args)
{
    Msg_Reply reply = {.kind = MSG_RENEW};
    GArray *unsettled = g_array_new(FALSE, FALSE, sizeof(lc_run_id));
    lc_node durable_owner = {args->owner.address, args->kept};

    if (args->target == runner->config.node.incarnation &&
        args->valid_until_ms >= now_ms) {
        RunnerOwner_Extend(runner, now_ms, &args->owner, args->valid_until_ms);
        if (args->kept != 0 &&
            !RunnerDurable_IsFenced(runner, &durable_owner)) {
            RunnerOwner_Extend(runner, now_ms, &durable_owner,
                               args->valid_until_ms +
                                   LEASE_TIMING_DURABLE_GRACE_MS);
        }
    }
    Runner_State(runner, now_ms, &reply.u.renew.host);
    if (args->target == runner->config.node.incarnation) {
        RunnerLateStart_FillRenewed(runner, now_ms, &args->owner, unsettled,
                                    &reply.u.renew);
    }
    runner->ports->reply(runner->context, reply_id, &reply);
    g_array_unref(unsettled);
}

bool
Runner_OnCall(Runner *runner, int64_t now_ms, uint64_t reply_id,
              const Msg_Call *call)
{
    switch (call->kind) {
    case MSG_RUN:
        on_run(runner, now_ms, reply_id, &call->u.run);
        break;
    case MSG_RENEW:
        on_renew(runner, now_ms, reply_id, &call->u.renew);
        break;
    case MSG_HALT:
        on_halt(runner, now_ms, reply_id, &call->u.halt);
        break;
    case MSG_RELEASE:
        RunnerDurable_OnRelease(runner, now_ms, reply_id, &call->u.release);
        break;
    case MSG_FENCE:
        RunnerDurable_OnFence(runner, now_ms, reply_id, &call->u.fence);
        break;
    default:
        return false;
    }
    RunnerPoll_Send(runner, now_ms);
    return true;
}

void
Runner_Tick(Runner *runner, int64_t now_ms)
{
    GList *rows;
    GList *item;

    RunnerTask_StopExpired(runner, now_ms);
    RunnerLateStart_Update(runner, now_ms);
    rows = RunnerTask_All(runner);
    runner->held_long = 0;
    for (item = rows; item != NULL; item = item->next) {
        Runner_Task *row = item->data;
        runner->held_long += RunnerDurable_IsHeldLong(row, now_ms);
        if (row->state != TASK_ENDED) {
            RunnerOrder_Retry(runner, now_ms, row);
            continue;
        }
        RunnerDurable_CheckStartHold(runner, now_ms, row);
        if (!row->held_for_start &&
            RunnerDurable_IsDisposable(runner, row, now_ms)) {
            RunnerTask_Remove(runner, row);
        }
    }
    g_list_free(rows);
    RunnerDurable_LogListFull(runner);
    if (runner->active_tasks > 0 && runner->upstream.doubtful &&
        now_ms > runner->hold_until_ms + runner->config.timing.stop_ms) {
        RunnerTask_EndAllLost(runner, now_ms,
                              runner->upstream.refused &&
                                  !runner->upstream.draining);
    }
    RunnerUpstream_CheckLeft(runner, now_ms);
    RunnerOwner_RemoveExpired(runner, now_ms);
    Health_Decay(&runner->health, now_ms);
    RunnerPoll_Send(runner, now_ms);
}

void
Runner_OnSuspended(Runner *runner, int64_t now_ms, int64_t suspended_ms)
{
    GList *rows = RunnerTask_All(runner);
    GList *item;

    for (item = rows; item != NULL; item = item->next) {
        ((Runner_Task *)item->data)->suspended = true;
    }
    g_list_free(rows);
    RunnerUpstream_OnSuspended(runner, now_ms, suspended_ms);
    RunnerPoll_ShiftHold(runner, suspended_ms);
}

int64_t
Runner_DueMs(const Runner *runner)
{
    return MIN(RunnerOrder_DueMs(runner), RunnerPoll_DueMs(runner));
}

void
Runner_CheckOverdue(Runner *runner, int64_t now_ms)
{
    RunnerOrder_CheckOverdue(runner, now_ms);
    RunnerPoll_CheckOverdue(runner, now_ms);
}

void
Runner_Drain(Runner *runner)
{
    runner->draining = true;
    runner->version++;
}

bool
Runner_IsIdle(const Runner *runner)
{
    return runner->active_tasks == 0 &&
           (RunnerDurable_LastSeen(runner) == runner->upstream.acknowledged ||
            !runner->upstream.known);
}

bool
Runner_Report(const Runner *runner, int64_t now_ms, lc_report_args *report)
{
    /* The codec only reads the strings. */
    Runner *mutable_runner = (Runner *)(uintptr_t)runner;
    u_int i;

    memset(report, 0, sizeof(*report));
    Runner_State(runner, now_ms, &report->host);
    report->service = runner->upstream.service;
    report->instance = runner->upstream.instance;
    report->capacity = runner->upstream.capacity;
    for (i = 0; i < LC_MAX_LABELS && runner->upstream.labels[i] != NULL; i++) {
        mutable_runner->label_row[i] = runner->upstream.labels[i];
    }
    report->labels.labels_len = i;
    report->labels.labels_val = mutable_runner->label_row;
    HallClosures_FillMessage(&runner->closures, now_ms, &report->closures);
    RunnerLateStart_FillReport(runner, now_ms, report);
    return runner->upstream.known || report->late_starts_version != 0;
}

void
Runner_MergeClosures(Runner *runner, int64_t now_ms, int64_t requested_ms,
                     const lc_closures *received, const char *source)
{
    char *names;

    if (HallClosures_Merge(&runner->closures, now_ms, requested_ms,
                           received) != HALL_CLOSURES_CHANGED) {
        return;
    }
    runner->version++;
    names = HallClosures_Text(&runner->closures);
    if (Event_Admit(EVENT_HALLS)) {
        runner->ports->event(
            runner->context, EVENT_HALLS,
            json_pack(
                "{s:s, s:I, s:s, s:b, s:i}", "closed", names, "as_of",
                (json_int_t)runner->closures.as_of, "source", source,
                "own_hall_closed",
                HallClosures_Contains(&runner->closures, runner->config.hall),
                "tasks", (int)runner->active_tasks));
    }
    g_free(names);
}

const HallClosures *
Runner_Closures(const Runner *runner)
{
    return &runner->closures;
}

uint64_t
Runner_Version(const Runner *runner)
{
    return runner->version;
}

void
Runner_Metrics(const Runner *runner, int64_t now_ms, GString *out)
{
    static const char *const statuses[RUN_STATUS_COUNT] = {
        [LC_RUN_NO_ROOM] = "no_room",       [LC_RUN_EXPIRED] = "expired",
        [LC_RUN_DRAINING] = "draining",     [LC_RUN_NOT_READY] = "not_ready",
        [LC_RUN_OTHER_NODE] = "other_node", [LC_RUN_CLOSED] = "hall_closed",
    };
    lc_host_state state;
    int i;

    Runner_State(runner, now_ms, &state);
    HallClosures_Metrics(&runner->closures, now_ms, out);
    Histogram_Print(&runner->start_latency, "order", "", out);
    Histogram_Print(&runner->run_times, "task_run", "", out);
    RunnerAudit_Metrics(runner, out);
    for (i = 0; i < RUN_STATUS_COUNT; i++) {
        if (statuses[i] != NULL) {
            g_string_append_printf(
                out,
                "levercove_runs_refused_total{reason=\"%s\"} %" PRIu64 "\n",
                statuses[i], runner->refusals[i]);
        }
    }
    g_string_append_printf(
        out,
        "levercove_tasks_running %u\n"
        "levercove_room_cpu_millicores %u\n"
        "levercove_room_memory_mebibytes %u\n"
        "levercove_upstream_pace_percent %u\n"
        "levercove_upstream_state %d\n"
        "levercove_upstream_answer_timeout_milliseconds %" PRId64 "\n"
        "levercove_upstream_unanswered_permille %u\n"
        "levercove_upstream_heard_age_seconds %" PRId64 "\n"
        "levercove_ends_held_for_starts %u\n"
        "levercove_ends_unreleased %u\n"
        "levercove_ends_listed %" PRIu64 "\n"
        "levercove_end_list_full %d\n",
        runner->active_tasks, state.room.cpu_milli, state.room.memory_mb,
        state.pace_percent, (int)state.state,
        RtoEstimator_TimeoutMs(&runner->rto), runner->rto.lost_permille,
        (now_ms - runner->upstream.heard_ms) / 1000, runner->held_for_starts,
        runner->unreleased, RunnerDurable_ListedEnds(runner),
        RunnerDurable_IsListFull(runner));
}

Counters *
Runner_Counters(Runner *runner)
{
    return &runner->counters;
}

json_t *
Runner_Dump(const Runner *runner, int64_t now_ms)
{
    lc_host_state state;

    Runner_State(runner, now_ms, &state);
    return json_pack(
        "{s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:I, s:b, s:b, s:I, s:o}",
        "role", "companion", "instance", runner->upstream.instance, "service",
        runner->upstream.service, "state", (int)state.state, "room_cpu_milli",
        (int)state.room.cpu_milli, "room_memory_mb", (int)state.room.memory_mb,
        "tasks", (int)runner->active_tasks, "pace_percent",
        (int)state.pace_percent, "token", (json_int_t)runner->token,
        "doubtful", runner->upstream.doubtful, "inventoried",
        runner->upstream.inventoried, "idle_ms",
        (json_int_t)(runner->active_tasks > 0 ? 0 : now_ms - runner->idle_ms),
        "closed", HallClosures_Dump(&runner->closures, now_ms));
}

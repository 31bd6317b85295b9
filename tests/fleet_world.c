#include "tests/fleet_world.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/random.h"
#include "lease/dispatcher.h"
#include "lease/run_id.h"
#include "lease/runner.h"
#include "wire/runs.h"

/* An upstream crashes so soon after it started such a task, and is away for so
 * long. */
#define CRASH_AFTER_MS 40
#define CRASHED_MS 2000
#define TICK_MS 50
#define BEAT_MS 1500
#define IDLE_REPORT_MS 3000
#define RESUBMIT_MS 1300
#define DEADLINE_MS 1500
#define TARGET_MS 60
#define STRETCH_PERCENT 160
#define CORE_MILLI 1000
/* Tasks of different jobs need so much more or less than the mean. */
#define CPU_SPREAD 0.35
#define CAPACITY_MILLI 16000
#define LARGE_MILLI 24000
#define MEMORY_MB 32768
#define TASK_MEMORY_MB 64
#define SETTLE_MS 3000 /* before the first job */
#define REST_MS 4000   /* after the last */
#define STOP_MS 30
#define FLAP_MS 1400
#define SOON_MS 500
#define LATE_WORTH 0.2
#define PORT 7000
#define MOST_WAIT_MS 4000
#define FREE_PART 10
/* Of a start on the wire: what a spec takes, a row, and the rest. */
#define SPEC_BYTES 1200
#define ROW_BYTES 36
#define HEAD_BYTES 108
/* Renewals and stops; answers to callers. */
#define SMALL_CALL_BYTES 90
#define ANSWER_BYTES 200
#define BYTES_PER_MBIT_MS 125.0

struct world;

typedef struct {
    lc_run_id id;
    int64_t start_ms;
    int64_t work_ms;
    bool stopping;
} running_task;

typedef struct {
    struct world *world;
    uint32_t index;
    lc_node node;
    Runner *runner;
    bool up;
    int64_t since_ms;
    char hall[16];
    char instance[24];
    int64_t born_ms; /* counted from the start of the world */
    uint64_t sequence;
    uint32_t capacity;
    uint32_t used;
    GHashTable *running; /* lc_run_id -> running_task */
    GArray *ended;       /* Runner_EndRow */
    uint64_t last_end;
    uint64_t look_id; /* one that waits for an end, or 0 */
    GHashTable *owed; /* reply id -> owed_reply */
    uint64_t next_reply;
    int64_t wake_ms;
    uint64_t starts;
    uint64_t starts_soon; /* from SOON_MS after the rush began */
    int64_t first_start_ms;
} companion_node;

typedef struct {
    uint32_t entry;
    uint64_t call_id;
    uint32_t life;
} owed_reply;

typedef struct {
    uint64_t told;
    int64_t told_ms;
    uint32_t gap_ms;
} told_state;

typedef struct {
    struct world *world;
    uint32_t index;
    lc_node node;
    Dispatcher *dispatcher;
    bool up;
    uint32_t life;
    told_state *told; /* by companion */
    double link_free_ms;
} entry_node;

typedef struct {
    int kind;
    int64_t sent_ms;
    int64_t objective_ms;
    uint32_t work_ms;
    uint32_t cpu_milli; /* of each of its tasks */
    int64_t first_start_ms;
    bool answered;
    bool in_rush;
    bool crashing;
    uint32_t crashes; /* upstreams under it */
} job_row;

typedef struct {
    void (*run)(struct world *world, void *item);
    void *item; /* freed behind the event */
} event;

typedef struct world {
    const FleetWorld_Load *load;
    FleetWorld_Report report;
    int64_t now_ms;
    int64_t end_ms;
    GArray **slots; /* by ms: event */
    uint64_t random;
    entry_node *entries;
    companion_node *companions;
    GArray *jobs; /* job_row; identity = place + 1 */
    Route_Table *routes;
    Route *route_of[FLEET_WORLD_KINDS];
    Term term;
    uint32_t waits[MOST_WAIT_MS + 1];
    double busy_ms; /* milli-cores times ms, during the rush */
    double room_ms;
    double worth_sum[FLEET_WORLD_KINDS];
    double rush_sum[FLEET_WORLD_KINDS];
    uint32_t rush_count[FLEET_WORLD_KINDS];
} world;

/* ---- events ---- */

static void
at(world *w, int64_t when_ms, void (*run)(world *, void *), const void *item,
   size_t size)
{
    event row = {run, size == 0 ? NULL : g_memdup2(item, size)};

    when_ms = MAX(when_ms, w->now_ms);
    if (when_ms >= w->end_ms) {
        g_free(row.item);
        return;
    }
    if (w->slots[when_ms] == NULL) {
        w->slots[when_ms] = g_array_new(FALSE, FALSE, sizeof(event));
    }
    g_array_append_val(w->slots[when_ms], row);
}

static double
chance(world *w)
{
    return (double)(Random_Next(&w->random) >> 11) / (double)(1ULL << 53);
}

static bool
in_rush(const world *w)
{
    int64_t since_ms = w->now_ms - SETTLE_MS;

    return since_ms >= w->load->rush_ms && since_ms < w->load->rush_end_ms;
}

/* ---- upstreams ---- */

typedef struct {
    uint32_t companion;
    uint64_t id;
    Runner_OrderEnd end;
} order_answer;

typedef struct {
    uint32_t companion;
    uint64_t id;
} look_answer;

typedef struct {
    uint32_t companion;
    lc_run_id id;
    Runner_End how;
} task_end;

static void arm(companion_node *node);

static int64_t
clock_of(const world *w)
{
    return w->now_ms + 100000;
}

static void
on_look_answer(world *w, void *item)
{
    const look_answer *answer = item;
    companion_node *node = &w->companions[answer->companion];
    GArray *rows;
    GHashTableIter iter;
    gpointer value;
    Runner_Listing listing = {.end = RUNNER_ORDER_TAKEN,
                              .clock_ms = clock_of(w),
                              .born_ms = 1 + node->born_ms};

    if (node->look_id != answer->id || node->runner == NULL) {
        return;
    }
    node->look_id = 0;
    if (!node->up) {
        listing.end = RUNNER_ORDER_UNSENT;
        Runner_OnLook(node->runner, w->now_ms, answer->id, &listing);
        arm(node);
        return;
    }
    rows = g_array_new(FALSE, TRUE, sizeof(Runner_Row));
    g_hash_table_iter_init(&iter, node->running);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const running_task *task = value;
        Runner_Row row = {task->id,
                          (uint32_t)MIN((w->now_ms - task->start_ms) * 100 /
                                            MAX(task->work_ms, 1),
                                        99)};
        g_array_append_val(rows, row);
    }
    listing.running = (const Runner_Row *)(void *)rows->data;
    listing.running_count = rows->len;
    listing.ended = (const Runner_EndRow *)(void *)node->ended->data;
    listing.ended_count = node->ended->len;
    Runner_OnLook(node->runner, w->now_ms, answer->id, &listing);
    g_array_unref(rows);
    arm(node);
}

static uint32_t
cpu_of(const world *w, const lc_run_id *id)
{
    return g_array_index(w->jobs, job_row, id->job - 1).cpu_milli;
}

static void
on_task_end(world *w, void *item)
{
    const task_end *end = item;
    companion_node *node = &w->companions[end->companion];
    running_task *task = g_hash_table_lookup(node->running, &end->id);
    Runner_EndRow row = {0, end->id, end->how};

    if (task == NULL || (task->stopping && end->how == RUNNER_END_DONE &&
                         w->now_ms < task->start_ms + task->work_ms)) {
        return;
    }
    g_hash_table_remove(node->running, &end->id);
    node->used -= cpu_of(w, &end->id);
    row.number = ++node->last_end;
    g_array_append_val(node->ended, row);
    if (node->look_id != 0) {
        look_answer answer = {node->index, node->look_id};
        at(w, w->now_ms + 1, on_look_answer, &answer, sizeof(answer));
    }
}

static void
on_started(world *w, void *item)
{
    const order_answer *answer = item;
    companion_node *node = &w->companions[answer->companion];

    if (node->runner != NULL) {
        Runner_OnStarted(node->runner, w->now_ms, answer->id, answer->end,
                         clock_of(w));
        arm(node);
    }
}

static void
on_stopped(world *w, void *item)
{
    const order_answer *answer = item;
    companion_node *node = &w->companions[answer->companion];

    if (node->runner != NULL) {
        Runner_OnStopped(node->runner, w->now_ms, answer->id, answer->end,
                         clock_of(w));
        arm(node);
    }
}

static void
note_start(world *w, companion_node *node, const lc_run_id *id)
{
    job_row *job = &g_array_index(w->jobs, job_row, id->job - 1);
    int64_t rush_ms = SETTLE_MS + w->load->rush_ms;

    if (job->first_start_ms == 0) {
        job->first_start_ms = w->now_ms;
        w->waits[MIN(w->now_ms - job->sent_ms, MOST_WAIT_MS)]++;
    }
    node->starts++;
    if (node->first_start_ms == 0) {
        node->first_start_ms = w->now_ms;
    }
    if (w->now_ms >= rush_ms + SOON_MS &&
        w->now_ms < SETTLE_MS + w->load->rush_end_ms) {
        node->starts_soon++;
    }
}

static void
go_down(companion_node *node)
{
    node->up = false;
    g_hash_table_remove_all(node->running);
    g_array_set_size(node->ended, 0);
    node->used = 0;
    node->last_end = 0;
}

typedef struct {
    uint32_t companion;
} companion_item;

static void beat(world *w, companion_node *node);

/* It starts again under its name. */
static void
on_back(world *w, void *item)
{
    companion_node *node = &w->companions[((companion_item *)item)->companion];

    node->up = true;
    node->born_ms = w->now_ms;
    node->sequence = 0;
    beat(w, node);
}

static void
on_crash(world *w, void *item)
{
    companion_node *node = &w->companions[((companion_item *)item)->companion];

    if (node->up) {
        go_down(node);
        at(w, w->now_ms + CRASHED_MS, on_back, item, sizeof(companion_item));
    }
}

static void
crash_soon(world *w, companion_node *node, const lc_run_id *id)
{
    job_row *job = &g_array_index(w->jobs, job_row, id->job - 1);
    companion_item item = {node->index};

    if (!job->crashing || id->index != 0) {
        return;
    }
    w->report.crashes++;
    job->crashes++;
    w->report.most_crashes = MAX(w->report.most_crashes, job->crashes);
    at(w, w->now_ms + (int64_t)(CRASH_AFTER_MS * chance(w)) + 1, on_crash,
       &item, sizeof(item));
}

static void
port_start(void *context, uint64_t order_id, const Runner_Start *start)
{
    companion_node *node = context;
    world *w = node->world;
    order_answer answer = {node->index, order_id, RUNNER_ORDER_TAKEN};

    if (!node->up) {
        answer.end = RUNNER_ORDER_UNSENT;
    }
    else if (!g_hash_table_contains(node->running, &start->id)) {
        const job_row *job = &g_array_index(w->jobs, job_row,
                                            start->id.job - 1);
        running_task *task = g_new0(running_task, 1);
        task_end end = {node->index, start->id, RUNNER_END_DONE};
        task->id = start->id;
        task->start_ms = w->now_ms;
        task->work_ms = (int64_t)(job->work_ms * (0.85 + 0.3 * chance(w)));
        g_hash_table_insert(node->running, &task->id, task);
        node->used += job->cpu_milli;
        note_start(w, node, &start->id);
        crash_soon(w, node, &start->id);
        at(w, w->now_ms + task->work_ms, on_task_end, &end, sizeof(end));
    }
    at(w, w->now_ms + 1, on_started, &answer, sizeof(answer));
}

static void
port_stop(void *context, uint64_t order_id, const lc_run_id *id,
          const char *instance, int64_t token)
{
    companion_node *node = context;
    world *w = node->world;
    running_task *task = g_hash_table_lookup(node->running, id);
    order_answer answer = {node->index, order_id, RUNNER_ORDER_TAKEN};
    task_end end = {node->index, *id, RUNNER_END_STOPPED};

    (void)instance;
    (void)token;
    if (task != NULL && !task->stopping) {
        task->stopping = true;
        at(w, w->now_ms + STOP_MS, on_task_end, &end, sizeof(end));
    }
    if (order_id != 0) {
        at(w, w->now_ms + 1, on_stopped, &answer, sizeof(answer));
    }
}

static void
port_look(void *context, uint64_t look_id, const Runner_Look *look)
{
    companion_node *node = context;
    world *w = node->world;
    look_answer answer = {node->index, look_id};
    guint seen = 0;

    while (seen < node->ended->len &&
           g_array_index(node->ended, Runner_EndRow, seen).number <=
               look->last_seen) {
        seen++;
    }
    if (seen > 0) {
        g_array_remove_range(node->ended, 0, seen);
    }
    node->look_id = look_id;
    at(w, w->now_ms + 1 + (node->ended->len > 0 ? 0 : look->wait_ms),
       on_look_answer, &answer, sizeof(answer));
}

/* ---- companions ---- */

typedef struct {
    uint32_t entry;
    uint32_t life;
    uint64_t call_id;
    Msg_Reply reply;
} reply_message;

static void
settle(entry_node *entry)
{
    Dispatcher_Settle(entry->dispatcher, entry->world->now_ms);
}

static void
on_reply(world *w, void *item)
{
    const reply_message *message = item;
    entry_node *entry = &w->entries[message->entry];

    if (entry->up && entry->life == message->life) {
        Dispatcher_OnReply(entry->dispatcher, w->now_ms, message->call_id,
                           &message->reply);
        settle(entry);
    }
}

static void
port_reply(void *context, uint64_t reply_id, const Msg_Reply *reply)
{
    companion_node *node = context;
    world *w = node->world;
    owed_reply *owed = g_hash_table_lookup(node->owed, &reply_id);
    reply_message message = {.reply = *reply};

    if (owed == NULL) {
        return;
    }
    message.entry = owed->entry;
    message.life = owed->life;
    message.call_id = owed->call_id;
    if (reply->kind == MSG_RUN && reply->u.run.status >= LC_RUN_NO_ROOM) {
        w->report.refused_starts++;
    }
    at(w, w->now_ms + w->load->shape->link_ms, on_reply, &message,
       sizeof(message));
    g_hash_table_remove(node->owed, &reply_id);
}

static void
drop_event(void *context, Event_Id id, json_t *fields)
{
    (void)context;
    (void)id;
    json_decref(fields);
}

static const Runner_Ports runner_ports = {port_start, port_stop, port_look,
                                          port_reply, drop_event};

static void
on_wake(world *w, void *item)
{
    companion_node *node = &w->companions[((companion_item *)item)->companion];

    node->wake_ms = 0;
    if (node->runner != NULL) {
        Runner_Wake(node->runner, w->now_ms);
        arm(node);
    }
}

static void
arm(companion_node *node)
{
    world *w = node->world;
    int64_t due_ms = MAX(Runner_DueMs(node->runner), w->now_ms + 1);
    companion_item item = {node->index};

    if (due_ms < INT64_MAX - 1 &&
        (node->wake_ms == 0 || due_ms < node->wake_ms)) {
        node->wake_ms = due_ms;
        at(w, due_ms, on_wake, &item, sizeof(item));
    }
}

typedef struct {
    uint32_t entry;
    uint32_t life;
    lc_report_args args;
} report_message;

static void
on_report(world *w, void *item)
{
    const report_message *message = item;
    entry_node *entry = &w->entries[message->entry];

    if (entry->up && entry->life == message->life) {
        Dispatcher_OnReport(entry->dispatcher, w->now_ms, &message->args);
        settle(entry);
    }
}

/* As a companion's process does: what changed is told as often as the entry
 * wants, what did not from time to time. */
static void
tell(world *w, companion_node *node, entry_node *entry)
{
    told_state *told = &entry->told[node->index];
    uint64_t version = Runner_Version(node->runner);
    int64_t gap_ms = told->told == version ? IDLE_REPORT_MS : told->gap_ms;
    report_message message = {.entry = entry->index, .life = entry->life};

    if (!entry->up || w->now_ms - told->told_ms < gap_ms ||
        !Runner_Report(node->runner, w->now_ms, &message.args)) {
        return;
    }
    message.args.hall = node->hall;
    message.args.instance = node->instance;
    message.args.service = (char *)(uintptr_t) "service";
    message.args.next_ms = IDLE_REPORT_MS;
    message.args.closures.as_of = -1; /* told by tell_halls alone */
    message.args.closures.halls.halls_len = 0;
    told->told = version;
    told->told_ms = w->now_ms;
    told->gap_ms = Dispatcher_ReportGapMs(entry->dispatcher);
    at(w, w->now_ms + w->load->shape->link_ms, on_report, &message,
       sizeof(message));
}

static void
on_companion_tick(world *w, void *item)
{
    companion_node *node = &w->companions[((companion_item *)item)->companion];

    if (node->runner == NULL) {
        return;
    }
    Runner_Tick(node->runner, w->now_ms);
    arm(node);
    at(w, w->now_ms + TICK_MS, on_companion_tick, item,
       sizeof(companion_item));
}

static void
beat(world *w, companion_node *node)
{
    static const char *const labels[] = {NULL};
    Runner_Upstream said = {.instance = node->instance,
                            .born_ms = 1 + node->born_ms,
                            .sequence = ++node->sequence,
                            .service = "service",
                            .says = RUNNER_UPSTREAM_READY,
                            .capacity = {node->capacity, MEMORY_MB, 0},
                            .labels = labels,
                            .clock_ms = clock_of(w)};

    if (node->up) {
        Runner_OnUpstream(node->runner, w->now_ms, &said);
        arm(node);
    }
}

static void
on_beat(world *w, void *item)
{
    beat(w, &w->companions[((companion_item *)item)->companion]);
    at(w, w->now_ms + BEAT_MS, on_beat, item, sizeof(companion_item));
}

static void
begin_companion(world *w, void *item)
{
    companion_node *node = &w->companions[((companion_item *)item)->companion];
    Runner_Config config = {.node = node->node,
                            .hall = node->hall,
                            .term = w->term,
                            .first_token = 1000,
                            .beat_ms = BEAT_MS};

    if (node->runner != NULL) {
        Runner_Free(node->runner);
        config.node.incarnation = ++node->node.incarnation;
        g_hash_table_remove_all(node->owed);
        g_hash_table_remove_all(node->running);
        g_array_set_size(node->ended, 0);
        node->used = 0;
        node->look_id = 0;
        node->wake_ms = 0;
    }
    node->up = true;
    node->since_ms = w->now_ms;
    node->runner = Runner_New(&config, &runner_ports, node, w->now_ms);
    if (node->sequence == 0) {
        at(w, w->now_ms + (int64_t)(chance(w) * TICK_MS), on_companion_tick,
           item, sizeof(companion_item));
        on_beat(w, item);
    }
    else {
        beat(w, node);
    }
}

static void
on_flap(world *w, void *item)
{
    companion_node *node = &w->companions[((companion_item *)item)->companion];

    if (!in_rush(w) && node->up) {
        return;
    }
    if (node->up) {
        go_down(node);
    }
    else {
        node->up = true;
        g_snprintf(node->instance, sizeof(node->instance), "u%u-%u",
                   node->index, (unsigned)w->now_ms);
        node->sequence = 1;
    }
    at(w, w->now_ms + FLAP_MS, on_flap, item, sizeof(companion_item));
}

/* ---- entries ---- */

typedef struct {
    uint32_t companion;
    uint32_t entry;
    uint32_t life;
    uint64_t call_id;
    Msg_Call call;
} call_message;

static void
on_call(world *w, void *item)
{
    call_message *message = item;
    companion_node *node = &w->companions[message->companion];
    uint64_t reply_id = ++node->next_reply;
    owed_reply owed = {message->entry, message->call_id, message->life};

    if (node->runner == NULL) {
        return;
    }
    g_hash_table_insert(node->owed, g_memdup2(&reply_id, sizeof(reply_id)),
                        g_memdup2(&owed, sizeof(owed)));
    Runner_OnCall(node->runner, w->now_ms, reply_id, &message->call);
    arm(node);
}

/* How long bytes that the entry sends now wait for its link, with all that
 * was sent before. */
static int64_t
queue_on_link(entry_node *entry, uint64_t bytes)
{
    world *w = entry->world;
    double now_ms = (double)w->now_ms;

    if (entry->index != 0 || w->load->link_mbps == 0) {
        return 0;
    }
    entry->link_free_ms = MAX(entry->link_free_ms, now_ms) +
                          (double)bytes /
                              (w->load->link_mbps * BYTES_PER_MBIT_MS);
    w->report.queued_most_ms = MAX(w->report.queued_most_ms,
                                   (int64_t)(entry->link_free_ms - now_ms));
    return (int64_t)(entry->link_free_ms - now_ms);
}

static void
send_call(entry_node *entry, Address to, uint64_t call_id,
          const Msg_Call *call, int64_t queued_ms)
{
    world *w = entry->world;
    call_message message = {.companion = (uint32_t)(to >> 16) - 1,
                            .entry = entry->index,
                            .life = entry->life,
                            .call_id = call_id,
                            .call = *call};

    if (call->kind == MSG_RUN) {
        message.call.u.run.spec = (char *)(uintptr_t) "";
        w->report.starts++;
    }
    at(w, w->now_ms + queued_ms + w->load->shape->link_ms, on_call, &message,
       sizeof(message));
}

static void
count_bytes(const entry_node *entry, uint64_t job, uint64_t bytes)
{
    world *w = entry->world;
    int kind = g_array_index(w->jobs, job_row, job - 1).kind;

    w->report.bytes += bytes;
    if (entry->index == 0) {
        w->report.first_bytes[kind] += bytes;
    }
}

static void
port_call(void *context, Address to, uint64_t call_id, const Msg_Call *call)
{
    entry_node *entry = context;
    uint64_t bytes = SMALL_CALL_BYTES;

    if (call->kind == MSG_RUN) {
        bytes = HEAD_BYTES + SPEC_BYTES + ROW_BYTES;
        count_bytes(entry, call->u.run.id.job, bytes);
    }
    send_call(entry, to, call_id, call, queue_on_link(entry, bytes));
}

static void
port_runs(void *context, Address to, const uint64_t *call_ids,
          const lc_runs_args *runs)
{
    entry_node *entry = context;
    uint64_t bytes = HEAD_BYTES + SPEC_BYTES +
                     (uint64_t)ROW_BYTES * runs->rows.rows_len;
    int64_t queued_ms = queue_on_link(entry, bytes);
    u_int i;

    count_bytes(entry, runs->job, bytes);
    for (i = 0; i < runs->rows.rows_len; i++) {
        Msg_Call run;
        Runs_Get(runs, i, &run);
        send_call(entry, to, call_ids[i], &run, queued_ms);
    }
}

static void
port_reset(void *context, Address to)
{
    (void)context;
    (void)to;
}

static bool
much_is_free(const world *w)
{
    uint64_t room = 0;
    uint64_t all = 0;
    uint32_t i;

    for (i = 0; i < w->load->shape->companions; i++) {
        const companion_node *node = &w->companions[i];
        if (node->up) {
            room += node->capacity - MIN(node->used, node->capacity);
            all += node->capacity;
        }
    }
    return room * FREE_PART > all;
}

static void
count_answer(FleetWorld_Jobs *jobs, const Dispatcher_Answer *answer, bool late)
{
    if (answer->outcome == DISPATCHER_SUCCEEDED) {
        jobs->late += late;
        jobs->in_time += !late;
    }
    else if (answer->outcome == DISPATCHER_NOT_RUN) {
        jobs->refused++;
    }
    else {
        jobs->given_up++;
    }
}

static void
note_answer(entry_node *entry, job_row *job, const Dispatcher_Answer *answer)
{
    world *w = entry->world;
    int64_t queued_ms = queue_on_link(entry, ANSWER_BYTES);
    bool late = w->now_ms + queued_ms > job->objective_ms;
    double worth = 0;

    if (answer->outcome == DISPATCHER_SUCCEEDED) {
        worth = late ? LATE_WORTH : 1;
    }
    else if (answer->outcome == DISPATCHER_NOT_RUN) {
        w->report.refused_free += much_is_free(w);
    }
    count_answer(&w->report.kinds[job->kind], answer, late);
    if (entry->index == 0 && job->in_rush) {
        w->report.first.sent++;
        count_answer(&w->report.first, answer, late);
    }
    w->worth_sum[job->kind] += worth;
    if (job->in_rush) {
        w->rush_sum[job->kind] += worth;
    }
}

static void
port_answer(void *context, uint64_t request, const Dispatcher_Answer *answer)
{
    world *w = ((entry_node *)context)->world;
    job_row *job = &g_array_index(w->jobs, job_row, request - 1);

    if (!job->answered) {
        job->answered = true;
        if (!job->crashing) {
            note_answer(context, job, answer);
            w->report.innocent += answer->kind == ERR_TASK_CRASHES;
        }
    }
}

static void
port_kept_end(void *context, const lc_run_id *id, uint32_t task, lc_node host,
              bool done)
{
    (void)context;
    (void)id;
    (void)task;
    (void)host;
    (void)done;
}

static void
port_kept_crash(void *context, const lc_run_id *id, uint32_t task)
{
    (void)context;
    (void)id;
    (void)task;
}

static void
port_kept_over(void *context, uint64_t job, Dispatcher_Outcome outcome)
{
    (void)context;
    (void)job;
    (void)outcome;
}

static const Dispatcher_Ports dispatcher_ports = {
    port_call,       port_reset,     port_answer, drop_event, port_kept_end,
    port_kept_crash, port_kept_over, port_runs,   NULL};

typedef struct {
    uint32_t entry;
    uint32_t life;
} entry_item;

static void
on_entry_tick(world *w, void *item)
{
    const entry_item *of = item;
    entry_node *entry = &w->entries[of->entry];

    if (!entry->up || entry->life != of->life) {
        return;
    }
    Dispatcher_Tick(entry->dispatcher, w->now_ms);
    settle(entry);
    at(w, w->now_ms + TICK_MS, on_entry_tick, item, sizeof(entry_item));
}

static void
begin_entry(world *w, uint32_t index)
{
    entry_node *entry = &w->entries[index];
    Dispatcher_Config config = {
        .term = w->term, .max_jobs = 100000, .join_runs = w->load->join_runs};
    entry_item item = {index, ++entry->life};

    entry->node.address = PORT + index;
    entry->node.incarnation++;
    config.node = entry->node;
    if (index == 0 && w->load->paced) {
        config.link_mbps = w->load->link_mbps;
    }
    g_snprintf(config.hall, sizeof(config.hall), "hall-%u",
               index % w->load->shape->halls);
    if (entry->dispatcher != NULL) {
        Dispatcher_Free(entry->dispatcher);
    }
    entry->dispatcher = Dispatcher_New(&config, &dispatcher_ports, entry,
                                       w->now_ms + index);
    entry->up = true;
    memset(entry->told, 0, w->load->shape->companions * sizeof(told_state));
    at(w, w->now_ms + (int64_t)(chance(w) * TICK_MS), on_entry_tick, &item,
       sizeof(item));
}

/* ---- load ---- */

/* The entry to which a job comes. */
static uint32_t
pick_entry(world *w)
{
    uint32_t count = w->load->shape->entries;
    double first = in_rush(w) && w->load->demand > 0 ? w->load->demand : 1;
    double drawn = chance(w) * (count - 1 + first);

    return drawn < first ? 0 : MIN((uint32_t)(drawn - first) + 1, count - 1);
}

static void
submit(world *w, int kind)
{
    const FleetWorld_Kind *of = &w->load->shape->kinds[kind];
    uint32_t index = pick_entry(w);
    Dispatcher_Submit submit = {.route = w->route_of[kind],
                                .deadline_ms = DEADLINE_MS};
    job_row job = {.kind = kind, .sent_ms = w->now_ms};
    uint32_t estimate_ms;

    while (!w->entries[index].up) {
        index = (index + 1) % w->load->shape->entries;
    }
    job.in_rush = in_rush(w);
    job.cpu_milli = (uint32_t)(w->load->shape->cpu_milli *
                               (1 + CPU_SPREAD * (2 * chance(w) - 1)));
    job.work_ms = (uint32_t)(of->work_ms * (0.6 + 0.8 * chance(w)));
    estimate_ms = (uint32_t)(job.work_ms * (0.6 + 0.8 * chance(w)));
    job.objective_ms = w->now_ms + TARGET_MS +
                       (int64_t)job.work_ms * STRETCH_PERCENT / 100;
    if (w->load->crashing > 0) {
        job.crashing = chance(w) < w->load->crashing;
    }
    g_array_append_val(w->jobs, job);
    w->report.first_jobs[kind] += index == 0;
    if (!job.crashing) {
        w->report.kinds[kind].sent++;
        w->rush_count[kind] += job.in_rush;
    }
    submit.request_id = w->jobs->len;
    submit.deadline_ms = MAX(DEADLINE_MS, 3 * (int64_t)job.work_ms);
    submit.job.id = w->jobs->len;
    submit.job.spec = g_strnfill(SPEC_BYTES, 'x');
    submit.job.step_count = 1;
    submit.job.steps = g_new0(LeasedJob_Step, 1);
    submit.job.steps[0].count = MAX(
        1, (uint32_t)(of->tasks * (0.6 + 0.8 * chance(w)) + 0.5));
    submit.job.steps[0].need.cpu_milli = job.cpu_milli;
    submit.job.steps[0].need.memory_mb = TASK_MEMORY_MB;
    submit.job.steps[0].estimate_ms = estimate_ms;
    Dispatcher_OnSubmit(w->entries[index].dispatcher, w->now_ms, &submit);
    settle(&w->entries[index]);
}

static double
load_now(const world *w, int kind)
{
    const FleetWorld_Load *load = w->load;
    bool of_rush = in_rush(w) && (load->only < 0 || load->only == kind);

    double wave = load->shape->wave_ms == 0
                      ? 0
                      : load->shape->wave * sin(2 * G_PI * (double)w->now_ms /
                                                (double)load->shape->wave_ms);

    if (in_rush(w) && load->demand > 0) {
        wave += (load->demand - 1) / load->shape->entries;
    }
    return (of_rush ? load->rush : load->usual) * (1 + wave);
}

/* Poisson arrivals within one ms; a few at most. */
static void
arrive(world *w)
{
    int kind;

    for (kind = 0; kind < FLEET_WORLD_KINDS; kind++) {
        double mean = w->load->shape->kinds[kind].per_s * load_now(w, kind) /
                      1000;
        double left = exp(-mean);
        double product = chance(w);
        while (product > left) {
            submit(w, kind);
            product *= chance(w);
        }
    }
}

static void
change_at_rush(world *w)
{
    const FleetWorld_Load *load = w->load;
    uint32_t away = (uint32_t)(load->away * load->shape->entries);
    uint32_t i;

    for (i = 0; i < away; i++) {
        w->entries[i * load->shape->entries / away].up = false;
    }
    for (i = 0; i < (uint32_t)(load->flapping * load->shape->companions);
         i++) {
        companion_item item = {i * 7 % load->shape->companions};
        at(w, w->now_ms + (int64_t)(chance(w) * FLAP_MS), on_flap, &item,
           sizeof(item));
    }
    for (i = load->shape->companions - load->late_companions;
         i < load->shape->companions; i++) {
        companion_item item = {i};
        begin_companion(w, &item);
    }
    for (i = 0; load->fresh_start && i < load->shape->companions; i++) {
        companion_item item = {i};
        begin_companion(w, &item);
    }
    for (i = 0; load->fresh_start && i < load->shape->entries; i++) {
        begin_entry(w, i);
    }
}

static void
measure(world *w)
{
    uint32_t i;

    for (i = 0; in_rush(w) && i < w->load->shape->companions; i++) {
        const companion_node *node = &w->companions[i];
        if (node->up) {
            w->busy_ms += MIN(node->used, node->capacity);
            w->room_ms += node->capacity;
        }
    }
}

static void
tell_all(world *w)
{
    uint32_t i;
    uint32_t j;

    for (i = 0; i < w->load->shape->companions; i++) {
        companion_node *node = &w->companions[i];
        for (j = 0; node->runner != NULL && j < w->load->shape->entries; j++) {
            tell(w, node, &w->entries[j]);
        }
    }
}

static void
run_slot(world *w)
{
    guint i;

    for (i = 0; w->slots[w->now_ms] != NULL && i < w->slots[w->now_ms]->len;
         i++) {
        event row = g_array_index(w->slots[w->now_ms], event, i);
        row.run(w, row.item);
        g_free(row.item);
    }
    g_clear_pointer(&w->slots[w->now_ms], g_array_unref);
}

/* All entries learn of it at once, as from the store; companions likewise. */
static void
tell_halls(world *w, int64_t as_of, bool closed)
{
    lc_hall hall = (char *)(uintptr_t) "hall-0";
    lc_closures told = {.as_of = as_of};
    uint32_t i;

    told.halls.halls_len = closed;
    told.halls.halls_val = &hall;
    for (i = 0; i < w->load->shape->entries; i++) {
        Dispatcher_TakeClosures(w->entries[i].dispatcher, w->now_ms, w->now_ms,
                                &told, "test");
        settle(&w->entries[i]);
    }
    for (i = 0; i < w->load->shape->companions; i++) {
        if (w->companions[i].runner != NULL) {
            Runner_TakeClosures(w->companions[i].runner, w->now_ms, w->now_ms,
                                &told, "test");
        }
    }
}

static void
step(world *w)
{
    int64_t since_ms = w->now_ms - SETTLE_MS;

    if (since_ms == w->load->rush_ms) {
        change_at_rush(w);
    }
    if (w->load->close_ms > 0 && since_ms == w->load->close_ms) {
        tell_halls(w, 1, true);
    }
    if (w->load->close_ms > 0 && since_ms == w->load->open_ms) {
        tell_halls(w, 2, false);
    }
    run_slot(w);
    if (since_ms >= 0 && since_ms < w->load->length_ms) {
        arrive(w);
    }
    tell_all(w);
    measure(w);
}

/* ---- report ---- */

static int64_t
wait_of(const world *w, double part)
{
    uint64_t all = 0;
    uint64_t sum = 0;
    int64_t ms;

    for (ms = 0; ms <= MOST_WAIT_MS; ms++) {
        all += w->waits[ms];
    }
    for (ms = 0; ms < MOST_WAIT_MS; ms++) {
        sum += w->waits[ms];
        if ((double)sum >= part * (double)all) {
            break;
        }
    }
    return ms;
}

static void
fill_spread(world *w)
{
    double sum = 0;
    double squares = 0;
    uint32_t count = 0;
    uint32_t early = w->load->shape->companions - w->load->late_companions;
    double soon = 0;
    double soon_late = 0;
    uint32_t i;

    w->report.first_start_ms = -1;
    for (i = 0; i < w->load->shape->companions; i++) {
        const companion_node *node = &w->companions[i];
        double starts = (double)node->starts * CAPACITY_MILLI / node->capacity;
        if (i < early) {
            sum += starts;
            squares += starts * starts;
            count++;
            soon += (double)node->starts_soon / node->capacity;
        }
        else {
            int64_t after_ms = node->first_start_ms - node->since_ms;
            soon_late += (double)node->starts_soon / node->capacity;
            w->report.first_start_ms = MAX(w->report.first_start_ms, after_ms);
        }
    }
    sum /= count;
    w->report.spread = sqrt(MAX(squares / count - sum * sum, 0)) / sum;
    if (w->load->late_companions > 0) {
        w->report.late_share = soon_late / w->load->late_companions /
                               (soon / early);
    }
}

static void
fill_report(world *w)
{
    int kind;

    for (kind = 0; kind < FLEET_WORLD_KINDS; kind++) {
        w->report.worth += w->worth_sum[kind] /
                           MAX(w->report.kinds[kind].sent, 1) /
                           FLEET_WORLD_KINDS;
        w->report.worth_rush += w->rush_sum[kind] /
                                MAX(w->rush_count[kind], 1) /
                                FLEET_WORLD_KINDS;
    }
    w->report.busy_rush = w->room_ms > 0 ? w->busy_ms / w->room_ms : 0;
    w->report.wait_p50_ms = wait_of(w, 0.5);
    w->report.wait_p99_ms = wait_of(w, 0.99);
    fill_spread(w);
}

/* ---- set-up ---- */

static void
make_routes(world *w)
{
    int kind;

    w->routes = Route_NewTable(1);
    for (kind = 0; kind < FLEET_WORLD_KINDS; kind++) {
        Route *route = Route_Add(w->routes);
        route->name = g_strdup(w->load->shape->kinds[kind].queue);
        route->authority = g_strdup("host");
        route->path_prefix = g_strdup_printf("/%d/", kind);
        route->service = g_strdup("service");
        route->priority = w->load->shape->kinds[kind].priority;
        route->max_attempts = 3;
        route->timeout_ms = DEADLINE_MS;
        route->target_ms = TARGET_MS;
        route->stretch_percent = STRETCH_PERCENT;
        w->route_of[kind] = route;
    }
}

static void
make_companions(world *w)
{
    uint32_t i;

    w->companions = g_new0(companion_node, w->load->shape->companions);
    for (i = 0; i < w->load->shape->companions; i++) {
        companion_node *node = &w->companions[i];
        companion_item item = {i};
        node->world = w;
        node->index = i;
        node->node.address = (Address)(i + 1) << 16;
        node->node.incarnation = 1;
        node->capacity = i % 3 == 2 ? LARGE_MILLI : CAPACITY_MILLI;
        g_snprintf(node->hall, sizeof(node->hall), "hall-%u",
                   i % w->load->shape->halls);
        g_snprintf(node->instance, sizeof(node->instance), "u%u", i);
        node->running = g_hash_table_new_full(RunId_Hash, RunId_Equal, NULL,
                                              g_free);
        node->ended = g_array_new(FALSE, TRUE, sizeof(Runner_EndRow));
        node->owed = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                           g_free);
        if (i < w->load->shape->companions - w->load->late_companions) {
            begin_companion(w, &item);
        }
    }
}

static void
make_entries(world *w)
{
    uint32_t i;

    w->entries = g_new0(entry_node, w->load->shape->entries);
    for (i = 0; i < w->load->shape->entries; i++) {
        w->entries[i].world = w;
        w->entries[i].index = i;
        w->entries[i].told = g_new0(told_state, w->load->shape->companions);
        begin_entry(w, i);
    }
}

static void
free_world(world *w)
{
    uint32_t i;

    for (i = 0; i < w->load->shape->entries; i++) {
        Dispatcher_Free(w->entries[i].dispatcher);
        g_free(w->entries[i].told);
    }
    for (i = 0; i < w->load->shape->companions; i++) {
        companion_node *node = &w->companions[i];
        if (node->runner != NULL) {
            Runner_Free(node->runner);
        }
        g_hash_table_unref(node->running);
        g_hash_table_unref(node->owed);
        g_array_unref(node->ended);
    }
    g_free(w->entries);
    g_free(w->companions);
    g_free(w->slots);
    g_array_unref(w->jobs);
    Route_FreeTable(w->routes);
}

FleetWorld_Report
FleetWorld_Play(const FleetWorld_Load *load)
{
    world w = {.load = load};
    Term_Bounds bounds = {RESUBMIT_MS, 1000, 50, TICK_MS};

    w.random = Random_Seed(load->seed * 2654435761U);
    w.end_ms = SETTLE_MS + load->length_ms + REST_MS;
    w.slots = g_new0(GArray *, w.end_ms + 1);
    w.jobs = g_array_new(FALSE, TRUE, sizeof(job_row));
    Term_Plan(&bounds, &w.term);
    make_routes(&w);
    make_companions(&w);
    make_entries(&w);
    for (w.now_ms = 0; w.now_ms < w.end_ms; w.now_ms++) {
        step(&w);
    }
    fill_report(&w);
    free_world(&w);
    return w.report;
}

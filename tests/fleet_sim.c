#include "tests/fleet_sim.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/random.h"
#include "lease/dispatcher.h"
#include "lease/run_id.h"
#include "lease/runner.h"
#include "wire/run_batch.h"

/* An upstream crashes within this time after it started a crashing task, and
 * is down for CRASH_DOWN_MS. */
#define CRASH_AFTER_MS 40
#define CRASH_DOWN_MS 2000
#define TICK_MS 50
#define HEARTBEAT_MS 1500
#define IDLE_REPORT_MS 3000
#define RESUBMIT_MS 1300
#define DEADLINE_MS 1500
#define TARGET_MS 60
#define STRETCH_PERCENT 160
#define CORE_MILLI 1000
/* Processors that a job's tasks need vary by this share around the mean. */
#define CPU_SPREAD 0.35
#define CAPACITY_MILLI 16000
#define LARGE_CAPACITY_MILLI 24000
#define MEMORY_MB 32768
#define TASK_MEMORY_MB 64
#define WARM_UP_MS 3000 /* before the first job */
#define DRAIN_MS 4000   /* after the last job */
#define STOP_MS 30
#define FLAP_MS 1400
#define SHARE_DELAY_MS 500
#define LATE_VALUE 0.2
#define PORT 7000
#define MAX_WAIT_MS 4000
#define FREE_DIVISOR 10
/* Sizes on the wire: a call that starts tasks has a head, one spec and a row
 * per task. */
#define SPEC_BYTES 1200
#define ROW_BYTES 36
#define CALL_HEAD_BYTES 108
/* Renewals and stops; answers to callers. */
#define SMALL_CALL_BYTES 90
#define ANSWER_BYTES 200
#define BYTES_PER_MBIT_MS 125.0

struct simulation;

typedef struct {
    lc_run_id id;
    int64_t start_ms;
    int64_t work_ms;
    bool stopping;
} running_task;

typedef struct {
    struct simulation *sim;
    uint32_t index;
    lc_node node;
    Runner *runner;
    bool up;
    int64_t since_ms;
    char hall[16];
    char instance[24];
    int64_t born_ms; /* simulated time */
    uint64_t sequence;
    uint32_t capacity;
    uint32_t used;
    GHashTable *running; /* lc_run_id -> running_task */
    GArray *ended;       /* Runner_EndedRun */
    uint64_t last_end;
    uint64_t poll_id;            /* id of a waiting poll, or 0 */
    GHashTable *pending_replies; /* reply id -> pending_reply */
    uint64_t next_reply;
    int64_t overdue_check_ms;
    uint64_t starts;
    uint64_t surge_starts; /* from SHARE_DELAY_MS after surge_ms to its end */
    int64_t first_start_ms;
} companion_node;

typedef struct {
    uint32_t entry;
    uint64_t call_id;
    uint32_t boot_id;
} pending_reply;

typedef struct {
    uint64_t sent_version;
    int64_t sent_ms;
    uint32_t interval_ms;
} report_state;

typedef struct {
    struct simulation *sim;
    uint32_t index;
    lc_node node;
    Dispatcher *dispatcher;
    bool up;
    uint32_t boot_id;
    report_state *reports; /* by companion */
    double link_free_ms;
} entry_node;

typedef struct {
    int kind;
    int64_t sent_ms;
    int64_t objective_ms;
    uint32_t work_ms;
    uint32_t cpu_milli; /* need of each of its tasks */
    int64_t first_start_ms;
    bool answered;
    bool in_surge;
    bool crashing;
    uint32_t crashes; /* upstreams that it crashed */
} job_record;

typedef struct {
    void (*run)(struct simulation *sim, void *item);
    void *item; /* freed after the event */
} event;

typedef struct simulation {
    const FleetSim_Load *load;
    FleetSim_Report report;
    int64_t now_ms;
    int64_t end_ms;
    GArray **slots; /* by ms: array of event */
    uint64_t random;
    entry_node *entries;
    companion_node *companions;
    GArray *jobs; /* job_record; job id = index + 1 */
    Route_Table *routes;
    Route *route_of[FLEET_SIM_KINDS];
    LeaseTiming timing;
    uint32_t waits[MAX_WAIT_MS + 1];
    double busy_ms; /* millicores times ms, during the surge */
    double capacity_ms;
    double value_sum[FLEET_SIM_KINDS];
    double surge_value_sum[FLEET_SIM_KINDS];
    uint32_t surge_count[FLEET_SIM_KINDS];
} simulation;

/* ---- events ---- */

static void
schedule(simulation *sim, int64_t when_ms, void (*run)(simulation *, void *),
         const void *item, size_t size)
{
    event row = {run, size == 0 ? NULL : g_memdup2(item, size)};

    when_ms = MAX(when_ms, sim->now_ms);
    if (when_ms >= sim->end_ms) {
        g_free(row.item);
        return;
    }
    if (sim->slots[when_ms] == NULL) {
        sim->slots[when_ms] = g_array_new(FALSE, FALSE, sizeof(event));
    }
    g_array_append_val(sim->slots[when_ms], row);
}

static double
random_unit(simulation *sim)
{
    return (double)(Random_Next(&sim->random) >> 11) / (double)(1ULL << 53);
}

static bool
in_surge(const simulation *sim)
{
    int64_t since_ms = sim->now_ms - WARM_UP_MS;

    return since_ms >= sim->load->surge_ms &&
           since_ms < sim->load->surge_end_ms;
}

/* ---- upstreams ---- */

typedef struct {
    uint32_t companion;
    uint64_t id;
    Runner_OrderResult end;
} order_answer;

typedef struct {
    uint32_t companion;
    uint64_t id;
} poll_answer;

typedef struct {
    uint32_t companion;
    lc_run_id id;
    Runner_End how;
} task_end;

static void schedule_overdue_check(companion_node *node);

static int64_t
upstream_clock_ms(const simulation *sim)
{
    return sim->now_ms + 100000;
}

static void
on_poll_answer(simulation *sim, void *item)
{
    const poll_answer *answer = item;
    companion_node *node = &sim->companions[answer->companion];
    GArray *rows;
    GHashTableIter iter;
    gpointer value;
    Runner_PollAnswer listing = {.end = RUNNER_ORDER_ACCEPTED,
                                 .clock_ms = upstream_clock_ms(sim),
                                 .born_ms = 1 + node->born_ms};

    if (node->poll_id != answer->id || node->runner == NULL) {
        return;
    }
    node->poll_id = 0;
    if (!node->up) {
        listing.end = RUNNER_ORDER_UNSENT;
        Runner_OnPollAnswer(node->runner, sim->now_ms, answer->id, &listing);
        schedule_overdue_check(node);
        return;
    }
    rows = g_array_new(FALSE, TRUE, sizeof(Runner_ActiveRun));
    g_hash_table_iter_init(&iter, node->running);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const running_task *task = value;
        Runner_ActiveRun row = {task->id,
                                (uint32_t)MIN((sim->now_ms - task->start_ms) *
                                                  100 / MAX(task->work_ms, 1),
                                              99)};
        g_array_append_val(rows, row);
    }
    listing.running = (const Runner_ActiveRun *)(void *)rows->data;
    listing.running_count = rows->len;
    listing.ended = (const Runner_EndedRun *)(void *)node->ended->data;
    listing.ended_count = node->ended->len;
    Runner_OnPollAnswer(node->runner, sim->now_ms, answer->id, &listing);
    g_array_unref(rows);
    schedule_overdue_check(node);
}

static uint32_t
cpu_of(const simulation *sim, const lc_run_id *id)
{
    return g_array_index(sim->jobs, job_record, id->job - 1).cpu_milli;
}

static void
on_task_end(simulation *sim, void *item)
{
    const task_end *end = item;
    companion_node *node = &sim->companions[end->companion];
    running_task *task = g_hash_table_lookup(node->running, &end->id);
    Runner_EndedRun row = {0, end->id, end->how};

    if (task == NULL || (task->stopping && end->how == RUNNER_END_DONE &&
                         sim->now_ms < task->start_ms + task->work_ms)) {
        return;
    }
    g_hash_table_remove(node->running, &end->id);
    node->used -= cpu_of(sim, &end->id);
    row.number = ++node->last_end;
    g_array_append_val(node->ended, row);
    if (node->poll_id != 0) {
        poll_answer answer = {node->index, node->poll_id};
        schedule(sim, sim->now_ms + 1, on_poll_answer, &answer,
                 sizeof(answer));
    }
}

static void
on_started(simulation *sim, void *item)
{
    const order_answer *answer = item;
    companion_node *node = &sim->companions[answer->companion];

    if (node->runner != NULL) {
        Runner_OnStarted(node->runner, sim->now_ms, answer->id, answer->end,
                         upstream_clock_ms(sim));
        schedule_overdue_check(node);
    }
}

static void
on_stopped(simulation *sim, void *item)
{
    const order_answer *answer = item;
    companion_node *node = &sim->companions[answer->companion];

    if (node->runner != NULL) {
        Runner_OnStopped(node->runner, sim->now_ms, answer->id, answer->end,
                         upstream_clock_ms(sim));
        schedule_overdue_check(node);
    }
}

static void
count_start(simulation *sim, companion_node *node, const lc_run_id *id)
{
    job_record *job = &g_array_index(sim->jobs, job_record, id->job - 1);
    int64_t surge_ms = WARM_UP_MS + sim->load->surge_ms;

    if (job->first_start_ms == 0) {
        job->first_start_ms = sim->now_ms;
        sim->waits[MIN(sim->now_ms - job->sent_ms, MAX_WAIT_MS)]++;
    }
    node->starts++;
    if (node->first_start_ms == 0) {
        node->first_start_ms = sim->now_ms;
    }
    if (sim->now_ms >= surge_ms + SHARE_DELAY_MS &&
        sim->now_ms < WARM_UP_MS + sim->load->surge_end_ms) {
        node->surge_starts++;
    }
}

static void
stop_upstream(companion_node *node)
{
    node->up = false;
    g_hash_table_remove_all(node->running);
    g_array_set_size(node->ended, 0);
    node->used = 0;
    node->last_end = 0;
}

typedef struct {
    uint32_t companion;
} companion_ref;

static void send_heartbeat(simulation *sim, companion_node *node);

/* The upstream restarts under the same name. */
static void
on_upstream_restart(simulation *sim, void *item)
{
    companion_node *node =
        &sim->companions[((companion_ref *)item)->companion];

    node->up = true;
    node->born_ms = sim->now_ms;
    node->sequence = 0;
    send_heartbeat(sim, node);
}

static void
on_crash(simulation *sim, void *item)
{
    companion_node *node =
        &sim->companions[((companion_ref *)item)->companion];

    if (node->up) {
        stop_upstream(node);
        schedule(sim, sim->now_ms + CRASH_DOWN_MS, on_upstream_restart, item,
                 sizeof(companion_ref));
    }
}

static void
crash_later(simulation *sim, companion_node *node, const lc_run_id *id)
{
    job_record *job = &g_array_index(sim->jobs, job_record, id->job - 1);
    companion_ref item = {node->index};

    if (!job->crashing || id->index != 0) {
        return;
    }
    sim->report.crashes++;
    job->crashes++;
    sim->report.max_job_crashes = MAX(sim->report.max_job_crashes,
                                      job->crashes);
    schedule(sim,
             sim->now_ms + (int64_t)(CRASH_AFTER_MS * random_unit(sim)) + 1,
             on_crash, &item, sizeof(item));
}

static void
port_start(void *context, uint64_t order_id, const Runner_Start *start)
{
    companion_node *node = context;
    simulation *sim = node->sim;
    order_answer answer = {node->index, order_id, RUNNER_ORDER_ACCEPTED};

    if (!node->up) {
        answer.end = RUNNER_ORDER_UNSENT;
    }
    else if (!g_hash_table_contains(node->running, &start->id)) {
        const job_record *job = &g_array_index(sim->jobs, job_record,
                                               start->id.job - 1);
        running_task *task = g_new0(running_task, 1);
        task_end end = {node->index, start->id, RUNNER_END_DONE};
        task->id = start->id;
        task->start_ms = sim->now_ms;
        task->work_ms = (int64_t)(job->work_ms *
                                  (0.85 + 0.3 * random_unit(sim)));
        g_hash_table_insert(node->running, &task->id, task);
        node->used += job->cpu_milli;
        count_start(sim, node, &start->id);
        crash_later(sim, node, &start->id);
        schedule(sim, sim->now_ms + task->work_ms, on_task_end, &end,
                 sizeof(end));
    }
    schedule(sim, sim->now_ms + 1, on_started, &answer, sizeof(answer));
}

static void
port_stop(void *context, uint64_t order_id, const lc_run_id *id,
          const char *instance, int64_t token)
{
    companion_node *node = context;
    simulation *sim = node->sim;
    running_task *task = g_hash_table_lookup(node->running, id);
    order_answer answer = {node->index, order_id, RUNNER_ORDER_ACCEPTED};
    task_end end = {node->index, *id, RUNNER_END_STOPPED};

    (void)instance;
    (void)token;
    if (task != NULL && !task->stopping) {
        task->stopping = true;
        schedule(sim, sim->now_ms + STOP_MS, on_task_end, &end, sizeof(end));
    }
    if (order_id != 0) {
        schedule(sim, sim->now_ms + 1, on_stopped, &answer, sizeof(answer));
    }
}

static void
port_poll(void *context, uint64_t poll_id, const Runner_Poll *poll)
{
    companion_node *node = context;
    simulation *sim = node->sim;
    poll_answer answer = {node->index, poll_id};
    guint seen = 0;

    Runner_OnPollWritten(node->runner, poll_id);
    while (seen < node->ended->len &&
           g_array_index(node->ended, Runner_EndedRun, seen).number <=
               poll->last_seen) {
        seen++;
    }
    if (seen > 0) {
        g_array_remove_range(node->ended, 0, seen);
    }
    node->poll_id = poll_id;
    schedule(sim, sim->now_ms + 1 + (node->ended->len > 0 ? 0 : poll->wait_ms),
             on_poll_answer, &answer, sizeof(answer));
}

/* ---- companions ---- */

typedef struct {
    uint32_t entry;
    uint32_t boot_id;
    uint64_t call_id;
    Msg_Reply reply;
    lc_run_id unsettled[]; /* of a reply to RENEW */
} reply_message;

static void
dispatch_waiting(entry_node *entry)
{
    Dispatcher_DispatchWaiting(entry->dispatcher, entry->sim->now_ms);
}

static void
on_reply(simulation *sim, void *item)
{
    reply_message *message = item;
    entry_node *entry = &sim->entries[message->entry];

    if (message->reply.kind == MSG_RENEW) {
        message->reply.u.renew.unsettled.unsettled_val = message->unsettled;
    }

    if (entry->up && entry->boot_id == message->boot_id) {
        Dispatcher_OnReply(entry->dispatcher, sim->now_ms, message->call_id,
                           &message->reply);
        dispatch_waiting(entry);
    }
}

static void
port_reply(void *context, uint64_t reply_id, const Msg_Reply *reply)
{
    companion_node *node = context;
    simulation *sim = node->sim;
    pending_reply *pending = g_hash_table_lookup(node->pending_replies,
                                                 &reply_id);
    size_t listed = 0;
    reply_message *message;

    if (pending == NULL) {
        return;
    }
    if (reply->kind == MSG_RENEW) {
        listed = reply->u.renew.unsettled.unsettled_len * sizeof(lc_run_id);
    }
    message = g_malloc0(sizeof(*message) + listed);
    message->reply = *reply;
    message->entry = pending->entry;
    message->boot_id = pending->boot_id;
    message->call_id = pending->call_id;
    if (listed > 0) {
        memcpy(message->unsettled, reply->u.renew.unsettled.unsettled_val,
               listed);
    }
    if (reply->kind == MSG_RUN && reply->u.run.status >= LC_RUN_NO_ROOM) {
        sim->report.refused_starts++;
    }
    schedule(sim, sim->now_ms + sim->load->deployment->link_ms, on_reply,
             message, sizeof(*message) + listed);
    g_free(message);
    g_hash_table_remove(node->pending_replies, &reply_id);
}

static void
ignore_event(void *context, Event_Id id, json_t *fields)
{
    (void)context;
    (void)id;
    json_decref(fields);
}

static const Runner_Ports runner_ports = {port_start, port_stop, port_poll,
                                          port_reply, ignore_event};

static void
on_overdue_check(simulation *sim, void *item)
{
    companion_node *node =
        &sim->companions[((companion_ref *)item)->companion];

    node->overdue_check_ms = 0;
    if (node->runner != NULL) {
        Runner_CheckOverdue(node->runner, sim->now_ms);
        schedule_overdue_check(node);
    }
}

static void
schedule_overdue_check(companion_node *node)
{
    simulation *sim = node->sim;
    int64_t due_ms = MAX(Runner_DueMs(node->runner), sim->now_ms + 1);
    companion_ref item = {node->index};

    if (due_ms < INT64_MAX - 1 &&
        (node->overdue_check_ms == 0 || due_ms < node->overdue_check_ms)) {
        node->overdue_check_ms = due_ms;
        schedule(sim, due_ms, on_overdue_check, &item, sizeof(item));
    }
}

typedef struct {
    uint32_t entry;
    uint32_t boot_id;
    lc_report_args args;
} report_message;

static void
on_report(simulation *sim, void *item)
{
    const report_message *message = item;
    entry_node *entry = &sim->entries[message->entry];

    if (entry->up && entry->boot_id == message->boot_id) {
        Dispatcher_OnReport(entry->dispatcher, sim->now_ms, &message->args);
        dispatch_waiting(entry);
    }
    g_free(message->args.late_starts.late_starts_val);
}

/* As a companion's process does: reports a changed state at the interval that
 * the entry asks for, an unchanged one every IDLE_REPORT_MS. */
static void
send_report(simulation *sim, companion_node *node, entry_node *entry)
{
    report_state *report = &entry->reports[node->index];
    uint64_t version = Runner_Version(node->runner);
    int64_t interval_ms = report->sent_version == version
                              ? IDLE_REPORT_MS
                              : report->interval_ms;
    report_message message = {.entry = entry->index,
                              .boot_id = entry->boot_id};

    if (!entry->up || sim->now_ms - report->sent_ms < interval_ms ||
        !Runner_Report(node->runner, sim->now_ms, &message.args)) {
        return;
    }
    message.args.hall = node->hall;
    message.args.instance = node->instance;
    message.args.service = (char *)(uintptr_t) "service";
    message.args.next_ms = IDLE_REPORT_MS;
    message.args.closures.as_of = -1; /* only announce_closures sends them */
    message.args.closures.halls.halls_len = 0;
    message.args.late_starts.late_starts_val = g_memdup2(
        message.args.late_starts.late_starts_val,
        message.args.late_starts.late_starts_len * sizeof(lc_late_start));
    report->sent_version = version;
    report->sent_ms = sim->now_ms;
    report->interval_ms = Dispatcher_ReportIntervalMs(entry->dispatcher);
    schedule(sim, sim->now_ms + sim->load->deployment->link_ms, on_report,
             &message, sizeof(message));
}

static void
on_companion_tick(simulation *sim, void *item)
{
    companion_node *node =
        &sim->companions[((companion_ref *)item)->companion];

    if (node->runner == NULL) {
        return;
    }
    Runner_Tick(node->runner, sim->now_ms);
    schedule_overdue_check(node);
    schedule(sim, sim->now_ms + TICK_MS, on_companion_tick, item,
             sizeof(companion_ref));
}

static void
send_heartbeat(simulation *sim, companion_node *node)
{
    static const char *const labels[] = {NULL};
    Runner_Heartbeat heartbeat = {.instance = node->instance,
                                  .born_ms = 1 + node->born_ms,
                                  .sequence = ++node->sequence,
                                  .service = "service",
                                  .reported_state = RUNNER_UPSTREAM_READY,
                                  .capacity = {node->capacity, MEMORY_MB, 0},
                                  .labels = labels,
                                  .clock_ms = upstream_clock_ms(sim)};

    if (node->up) {
        Runner_OnHeartbeat(node->runner, sim->now_ms, &heartbeat);
        schedule_overdue_check(node);
    }
}

static void
on_heartbeat(simulation *sim, void *item)
{
    send_heartbeat(sim, &sim->companions[((companion_ref *)item)->companion]);
    schedule(sim, sim->now_ms + HEARTBEAT_MS, on_heartbeat, item,
             sizeof(companion_ref));
}

static void
start_companion(simulation *sim, void *item)
{
    companion_node *node =
        &sim->companions[((companion_ref *)item)->companion];
    Runner_Config config = {.node = node->node,
                            .hall = node->hall,
                            .timing = sim->timing,
                            .first_token = 1000,
                            .beat_ms = HEARTBEAT_MS};

    if (node->runner != NULL) {
        Runner_Free(node->runner);
        config.node.incarnation = ++node->node.incarnation;
        g_hash_table_remove_all(node->pending_replies);
        g_hash_table_remove_all(node->running);
        g_array_set_size(node->ended, 0);
        node->used = 0;
        node->poll_id = 0;
        node->overdue_check_ms = 0;
    }
    node->up = true;
    node->since_ms = sim->now_ms;
    node->runner = Runner_New(&config, &runner_ports, node, sim->now_ms);
    if (node->sequence == 0) {
        schedule(sim, sim->now_ms + (int64_t)(random_unit(sim) * TICK_MS),
                 on_companion_tick, item, sizeof(companion_ref));
        on_heartbeat(sim, item);
    }
    else {
        send_heartbeat(sim, node);
    }
}

static void
on_flap(simulation *sim, void *item)
{
    companion_node *node =
        &sim->companions[((companion_ref *)item)->companion];

    if (!in_surge(sim) && node->up) {
        return;
    }
    if (node->up) {
        stop_upstream(node);
    }
    else {
        node->up = true;
        g_snprintf(node->instance, sizeof(node->instance), "u%u-%u",
                   node->index, (unsigned)sim->now_ms);
        node->sequence = 1;
    }
    schedule(sim, sim->now_ms + FLAP_MS, on_flap, item, sizeof(companion_ref));
}

/* ---- entries ---- */

typedef struct {
    uint32_t companion;
    uint32_t entry;
    uint32_t boot_id;
    uint64_t call_id;
    Msg_Call call;
} call_message;

static void
on_call(simulation *sim, void *item)
{
    call_message *message = item;
    companion_node *node = &sim->companions[message->companion];
    uint64_t reply_id = ++node->next_reply;
    pending_reply pending = {message->entry, message->call_id,
                             message->boot_id};

    if (node->runner == NULL) {
        return;
    }
    g_hash_table_insert(node->pending_replies,
                        g_memdup2(&reply_id, sizeof(reply_id)),
                        g_memdup2(&pending, sizeof(pending)));
    Runner_OnCall(node->runner, sim->now_ms, reply_id, &message->call);
    schedule_overdue_check(node);
}

/* Queues bytes on the entry's link. Returns the ms until they are sent, after
 * all that was queued before. */
static int64_t
add_to_link_queue(entry_node *entry, uint64_t bytes)
{
    simulation *sim = entry->sim;
    double now_ms = (double)sim->now_ms;

    if (entry->index != 0 || sim->load->link_mbps == 0) {
        return 0;
    }
    entry->link_free_ms = MAX(entry->link_free_ms, now_ms) +
                          (double)bytes /
                              (sim->load->link_mbps * BYTES_PER_MBIT_MS);
    sim->report.max_queued_ms = MAX(sim->report.max_queued_ms,
                                    (int64_t)(entry->link_free_ms - now_ms));
    return (int64_t)(entry->link_free_ms - now_ms);
}

static void
send_call(entry_node *entry, Address to, uint64_t call_id,
          const Msg_Call *call, int64_t queued_ms)
{
    simulation *sim = entry->sim;
    call_message message = {.companion = (uint32_t)(to >> 16) - 1,
                            .entry = entry->index,
                            .boot_id = entry->boot_id,
                            .call_id = call_id,
                            .call = *call};

    if (call->kind == MSG_RUN) {
        message.call.u.run.spec = (char *)(uintptr_t) "";
        sim->report.starts++;
    }
    schedule(sim, sim->now_ms + queued_ms + sim->load->deployment->link_ms,
             on_call, &message, sizeof(message));
}

static void
count_bytes(const entry_node *entry, uint64_t job, uint64_t bytes)
{
    simulation *sim = entry->sim;
    int kind = g_array_index(sim->jobs, job_record, job - 1).kind;

    sim->report.bytes += bytes;
    if (entry->index == 0) {
        sim->report.first_bytes[kind] += bytes;
    }
}

static void
port_call(void *context, Address to, uint64_t call_id, const Msg_Call *call)
{
    entry_node *entry = context;
    uint64_t bytes = SMALL_CALL_BYTES;

    if (call->kind == MSG_RUN) {
        bytes = CALL_HEAD_BYTES + SPEC_BYTES + ROW_BYTES;
        count_bytes(entry, call->u.run.id.job, bytes);
    }
    send_call(entry, to, call_id, call, add_to_link_queue(entry, bytes));
}

static void
port_runs(void *context, Address to, const uint64_t *call_ids,
          const lc_runs_args *runs)
{
    entry_node *entry = context;
    uint64_t bytes = CALL_HEAD_BYTES + SPEC_BYTES +
                     (uint64_t)ROW_BYTES * runs->rows.rows_len;
    int64_t queued_ms = add_to_link_queue(entry, bytes);
    u_int i;

    count_bytes(entry, runs->job, bytes);
    for (i = 0; i < runs->rows.rows_len; i++) {
        Msg_Call run;
        RunBatch_DecodeRow(runs, i, &run);
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
has_free_capacity(const simulation *sim)
{
    uint64_t free_milli = 0;
    uint64_t all = 0;
    uint32_t i;

    for (i = 0; i < sim->load->deployment->companions; i++) {
        const companion_node *node = &sim->companions[i];
        if (node->up) {
            free_milli += node->capacity - MIN(node->used, node->capacity);
            all += node->capacity;
        }
    }
    return free_milli * FREE_DIVISOR > all;
}

static void
count_answer(FleetSim_Outcomes *jobs, const Dispatcher_Answer *answer,
             bool late)
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
record_answer(entry_node *entry, job_record *job,
              const Dispatcher_Answer *answer)
{
    simulation *sim = entry->sim;
    int64_t queued_ms = add_to_link_queue(entry, ANSWER_BYTES);
    bool late = sim->now_ms + queued_ms > job->objective_ms;
    double value = 0;

    if (answer->outcome == DISPATCHER_SUCCEEDED) {
        value = late ? LATE_VALUE : 1;
    }
    else if (answer->outcome == DISPATCHER_NOT_RUN) {
        sim->report.refused_while_free += has_free_capacity(sim);
    }
    count_answer(&sim->report.kinds[job->kind], answer, late);
    if (entry->index == 0 && job->in_surge) {
        sim->report.first.sent++;
        count_answer(&sim->report.first, answer, late);
    }
    sim->value_sum[job->kind] += value;
    if (job->in_surge) {
        sim->surge_value_sum[job->kind] += value;
    }
}

static void
port_answer(void *context, uint64_t request, const Dispatcher_Answer *answer)
{
    simulation *sim = ((entry_node *)context)->sim;
    job_record *job = &g_array_index(sim->jobs, job_record, request - 1);

    if (!job->answered) {
        job->answered = true;
        if (!job->crashing) {
            record_answer(context, job, answer);
            sim->report.wrongly_blamed += answer->kind == ERR_TASK_CRASHES;
        }
    }
}

static void
port_durable_run_end(void *context, const lc_run_id *id, uint32_t task,
                     lc_node host, bool done)
{
    (void)context;
    (void)id;
    (void)task;
    (void)host;
    (void)done;
}

static void
port_durable_run_crash(void *context, const lc_run_id *id, uint32_t task)
{
    (void)context;
    (void)id;
    (void)task;
}

static void
port_durable_job_end(void *context, uint64_t job, Dispatcher_Outcome outcome)
{
    (void)context;
    (void)job;
    (void)outcome;
}

static const Dispatcher_Ports dispatcher_ports = {port_call,
                                                  port_reset,
                                                  port_answer,
                                                  ignore_event,
                                                  port_durable_run_end,
                                                  port_durable_run_crash,
                                                  port_durable_job_end,
                                                  port_runs,
                                                  NULL};

typedef struct {
    uint32_t entry;
    uint32_t boot_id;
} entry_ref;

static void
on_entry_tick(simulation *sim, void *item)
{
    const entry_ref *of = item;
    entry_node *entry = &sim->entries[of->entry];

    if (!entry->up || entry->boot_id != of->boot_id) {
        return;
    }
    Dispatcher_Tick(entry->dispatcher, sim->now_ms);
    dispatch_waiting(entry);
    schedule(sim, sim->now_ms + TICK_MS, on_entry_tick, item,
             sizeof(entry_ref));
}

static void
start_entry(simulation *sim, uint32_t index)
{
    entry_node *entry = &sim->entries[index];
    Dispatcher_Config config = {.timing = sim->timing,
                                .max_jobs = 100000,
                                .join_runs = sim->load->join_runs};
    entry_ref item = {index, ++entry->boot_id};

    entry->node.address = PORT + index;
    entry->node.incarnation++;
    config.node = entry->node;
    if (index == 0 && sim->load->link_known) {
        config.link_mbps = sim->load->link_mbps;
    }
    g_snprintf(config.hall, sizeof(config.hall), "hall-%u",
               index % sim->load->deployment->halls);
    if (entry->dispatcher != NULL) {
        Dispatcher_Free(entry->dispatcher);
    }
    entry->dispatcher = Dispatcher_New(&config, &dispatcher_ports, entry,
                                       sim->now_ms + index);
    Dispatcher_SetRoutes(entry->dispatcher, sim->routes);
    entry->up = true;
    memset(entry->reports, 0,
           sim->load->deployment->companions * sizeof(report_state));
    schedule(sim, sim->now_ms + (int64_t)(random_unit(sim) * TICK_MS),
             on_entry_tick, &item, sizeof(item));
}

/* ---- load ---- */

/* Draws the entry that gets a job. */
static uint32_t
pick_entry(simulation *sim)
{
    uint32_t count = sim->load->deployment->entries;
    double first = in_surge(sim) && sim->load->first_entry_factor > 0
                       ? sim->load->first_entry_factor
                       : 1;
    double drawn = random_unit(sim) * (count - 1 + first);

    return drawn < first ? 0 : MIN((uint32_t)(drawn - first) + 1, count - 1);
}

static void
submit(simulation *sim, int kind)
{
    const FleetSim_JobKind *of = &sim->load->deployment->kinds[kind];
    uint32_t index = pick_entry(sim);
    Dispatcher_Submit submit = {.route = sim->route_of[kind],
                                .queue = Route_Reference(sim->route_of[kind]),
                                .deadline_ms = DEADLINE_MS};
    job_record job = {.kind = kind, .sent_ms = sim->now_ms};
    uint32_t estimate_ms;

    while (!sim->entries[index].up) {
        index = (index + 1) % sim->load->deployment->entries;
    }
    job.in_surge = in_surge(sim);
    job.cpu_milli = (uint32_t)(sim->load->deployment->cpu_milli *
                               (1 + CPU_SPREAD * (2 * random_unit(sim) - 1)));
    job.work_ms = (uint32_t)(of->work_ms * (0.6 + 0.8 * random_unit(sim)));
    estimate_ms = (uint32_t)(job.work_ms * (0.6 + 0.8 * random_unit(sim)));
    job.objective_ms = sim->now_ms + TARGET_MS +
                       (int64_t)job.work_ms * STRETCH_PERCENT / 100;
    if (sim->load->crashing > 0) {
        job.crashing = random_unit(sim) < sim->load->crashing;
    }
    g_array_append_val(sim->jobs, job);
    sim->report.first_jobs[kind] += index == 0;
    if (!job.crashing) {
        sim->report.kinds[kind].sent++;
        sim->surge_count[kind] += job.in_surge;
    }
    submit.request_id = sim->jobs->len;
    submit.deadline_ms = MAX(DEADLINE_MS, 3 * (int64_t)job.work_ms);
    submit.job.id = sim->jobs->len;
    submit.job.spec = g_strnfill(SPEC_BYTES, 'x');
    submit.job.step_count = 1;
    submit.job.steps = g_new0(LeasedJob_Step, 1);
    submit.job.steps[0].count = MAX(
        1, (uint32_t)(of->tasks * (0.6 + 0.8 * random_unit(sim)) + 0.5));
    submit.job.steps[0].need.cpu_milli = job.cpu_milli;
    submit.job.steps[0].need.memory_mb = TASK_MEMORY_MB;
    submit.job.steps[0].estimate_ms = estimate_ms;
    Dispatcher_OnSubmit(sim->entries[index].dispatcher, sim->now_ms, &submit);
    dispatch_waiting(&sim->entries[index]);
}

static double
load_factor(const simulation *sim, int kind)
{
    const FleetSim_Load *load = sim->load;
    bool surges = in_surge(sim) &&
                  (load->surge_kind < 0 || load->surge_kind == kind);

    double wave = load->deployment->wave_ms == 0
                      ? 0
                      : load->deployment->wave *
                            sin(2 * G_PI * (double)sim->now_ms /
                                (double)load->deployment->wave_ms);

    if (in_surge(sim) && load->first_entry_factor > 0) {
        wave += (load->first_entry_factor - 1) / load->deployment->entries;
    }
    return (surges ? load->surge_factor : load->base_factor) * (1 + wave);
}

/* Submits the Poisson arrivals of one ms: a few at most. */
static void
submit_arrivals(simulation *sim)
{
    int kind;

    for (kind = 0; kind < FLEET_SIM_KINDS; kind++) {
        double mean = sim->load->deployment->kinds[kind].jobs_per_s *
                      load_factor(sim, kind) / 1000;
        double left = exp(-mean);
        double product = random_unit(sim);
        while (product > left) {
            submit(sim, kind);
            product *= random_unit(sim);
        }
    }
}

static void
begin_surge(simulation *sim)
{
    const FleetSim_Load *load = sim->load;
    uint32_t down = (uint32_t)(load->entries_down * load->deployment->entries);
    uint32_t i;

    for (i = 0; i < down; i++) {
        sim->entries[i * load->deployment->entries / down].up = false;
    }
    for (i = 0; i < (uint32_t)(load->flapping * load->deployment->companions);
         i++) {
        companion_ref item = {i * 7 % load->deployment->companions};
        schedule(sim, sim->now_ms + (int64_t)(random_unit(sim) * FLAP_MS),
                 on_flap, &item, sizeof(item));
    }
    for (i = load->deployment->companions - load->added_companions;
         i < load->deployment->companions; i++) {
        companion_ref item = {i};
        start_companion(sim, &item);
    }
    for (i = 0; load->restart_all && i < load->deployment->companions; i++) {
        companion_ref item = {i};
        start_companion(sim, &item);
    }
    for (i = 0; load->restart_all && i < load->deployment->entries; i++) {
        start_entry(sim, i);
    }
}

static void
sample_utilisation(simulation *sim)
{
    uint32_t i;

    for (i = 0; in_surge(sim) && i < sim->load->deployment->companions; i++) {
        const companion_node *node = &sim->companions[i];
        if (node->up) {
            sim->busy_ms += MIN(node->used, node->capacity);
            sim->capacity_ms += node->capacity;
        }
    }
}

static void
send_reports(simulation *sim)
{
    uint32_t i;
    uint32_t j;

    for (i = 0; i < sim->load->deployment->companions; i++) {
        companion_node *node = &sim->companions[i];
        for (j = 0; node->runner != NULL && j < sim->load->deployment->entries;
             j++) {
            send_report(sim, node, &sim->entries[j]);
        }
    }
}

static void
run_slot(simulation *sim)
{
    guint i;

    for (i = 0;
         sim->slots[sim->now_ms] != NULL && i < sim->slots[sim->now_ms]->len;
         i++) {
        event row = g_array_index(sim->slots[sim->now_ms], event, i);
        row.run(sim, row.item);
        g_free(row.item);
    }
    g_clear_pointer(&sim->slots[sim->now_ms], g_array_unref);
}

/* Closes or reopens the first hall: all entries and companions learn of it at
 * once, as from the store. */
static void
announce_closures(simulation *sim, int64_t as_of, bool closed)
{
    lc_hall hall = (char *)(uintptr_t) "hall-0";
    lc_closures closures = {.as_of = as_of};
    uint32_t i;

    closures.halls.halls_len = closed;
    closures.halls.halls_val = &hall;
    for (i = 0; i < sim->load->deployment->entries; i++) {
        Dispatcher_MergeClosures(sim->entries[i].dispatcher, sim->now_ms,
                                 sim->now_ms, &closures, "test");
        dispatch_waiting(&sim->entries[i]);
    }
    for (i = 0; i < sim->load->deployment->companions; i++) {
        if (sim->companions[i].runner != NULL) {
            Runner_MergeClosures(sim->companions[i].runner, sim->now_ms,
                                 sim->now_ms, &closures, "test");
        }
    }
}

static void
step(simulation *sim)
{
    int64_t since_ms = sim->now_ms - WARM_UP_MS;

    if (since_ms == sim->load->surge_ms) {
        begin_surge(sim);
    }
    if (sim->load->close_ms > 0 && since_ms == sim->load->close_ms) {
        announce_closures(sim, 1, true);
    }
    if (sim->load->close_ms > 0 && since_ms == sim->load->open_ms) {
        announce_closures(sim, 2, false);
    }
    run_slot(sim);
    if (since_ms >= 0 && since_ms < sim->load->length_ms) {
        submit_arrivals(sim);
    }
    send_reports(sim);
    sample_utilisation(sim);
}

/* ---- report ---- */

static int64_t
wait_percentile(const simulation *sim, double part)
{
    uint64_t all = 0;
    uint64_t sum = 0;
    int64_t ms;

    for (ms = 0; ms <= MAX_WAIT_MS; ms++) {
        all += sim->waits[ms];
    }
    for (ms = 0; ms < MAX_WAIT_MS; ms++) {
        sum += sim->waits[ms];
        if ((double)sum >= part * (double)all) {
            break;
        }
    }
    return ms;
}

static void
fill_spread(simulation *sim)
{
    double sum = 0;
    double squares = 0;
    uint32_t count = 0;
    uint32_t early = sim->load->deployment->companions -
                     sim->load->added_companions;
    double early_surge = 0;
    double added_surge = 0;
    uint32_t i;

    sim->report.first_start_ms = -1;
    for (i = 0; i < sim->load->deployment->companions; i++) {
        const companion_node *node = &sim->companions[i];
        double starts = (double)node->starts * CAPACITY_MILLI / node->capacity;
        if (i < early) {
            sum += starts;
            squares += starts * starts;
            count++;
            early_surge += (double)node->surge_starts / node->capacity;
        }
        else {
            int64_t after_ms = node->first_start_ms - node->since_ms;
            added_surge += (double)node->surge_starts / node->capacity;
            sim->report.first_start_ms = MAX(sim->report.first_start_ms,
                                             after_ms);
        }
    }
    sum /= count;
    sim->report.spread = sqrt(MAX(squares / count - sum * sum, 0)) / sum;
    if (sim->load->added_companions > 0) {
        sim->report.added_share = added_surge / sim->load->added_companions /
                                  (early_surge / early);
    }
}

static void
fill_report(simulation *sim)
{
    int kind;

    for (kind = 0; kind < FLEET_SIM_KINDS; kind++) {
        sim->report.value += sim->value_sum[kind] /
                             MAX(sim->report.kinds[kind].sent, 1) /
                             FLEET_SIM_KINDS;
        sim->report.surge_value += sim->surge_value_sum[kind] /
                                   MAX(sim->surge_count[kind], 1) /
                                   FLEET_SIM_KINDS;
    }
    sim->report.surge_utilisation = sim->capacity_ms > 0
                                        ? sim->busy_ms / sim->capacity_ms
                                        : 0;
    sim->report.wait_p50_ms = wait_percentile(sim, 0.5);
    sim->report.wait_p99_ms = wait_percentile(sim, 0.99);
    fill_spread(sim);
}

/* ---- set-up ---- */

static void
make_routes(simulation *sim)
{
    int kind;

    sim->routes = Route_NewTable(1);
    for (kind = 0; kind < FLEET_SIM_KINDS; kind++) {
        Route *route = Route_Add(sim->routes);
        route->name = g_strdup(sim->load->deployment->kinds[kind].queue);
        route->authority = g_strdup("host");
        route->path_prefix = g_strdup_printf("/%d/", kind);
        route->service = g_strdup("service");
        route->priority = sim->load->deployment->kinds[kind].priority;
        route->max_attempts = 3;
        route->timeout_ms = DEADLINE_MS;
        route->target_ms = TARGET_MS;
        route->stretch_percent = STRETCH_PERCENT;
        sim->route_of[kind] = route;
    }
}

static void
make_companions(simulation *sim)
{
    uint32_t i;

    sim->companions = g_new0(companion_node,
                             sim->load->deployment->companions);
    for (i = 0; i < sim->load->deployment->companions; i++) {
        companion_node *node = &sim->companions[i];
        companion_ref item = {i};
        node->sim = sim;
        node->index = i;
        node->node.address = (Address)(i + 1) << 16;
        node->node.incarnation = 1;
        node->capacity = i % 3 == 2 ? LARGE_CAPACITY_MILLI : CAPACITY_MILLI;
        g_snprintf(node->hall, sizeof(node->hall), "hall-%u",
                   i % sim->load->deployment->halls);
        g_snprintf(node->instance, sizeof(node->instance), "u%u", i);
        node->running = g_hash_table_new_full(RunId_Hash, RunId_Equal, NULL,
                                              g_free);
        node->ended = g_array_new(FALSE, TRUE, sizeof(Runner_EndedRun));
        node->pending_replies = g_hash_table_new_full(
            g_int64_hash, g_int64_equal, g_free, g_free);
        if (i <
            sim->load->deployment->companions - sim->load->added_companions) {
            start_companion(sim, &item);
        }
    }
}

static void
make_entries(simulation *sim)
{
    uint32_t i;

    sim->entries = g_new0(entry_node, sim->load->deployment->entries);
    for (i = 0; i < sim->load->deployment->entries; i++) {
        sim->entries[i].sim = sim;
        sim->entries[i].index = i;
        sim->entries[i].reports = g_new0(report_state,
                                         sim->load->deployment->companions);
        start_entry(sim, i);
    }
}

static void
free_simulation(simulation *sim)
{
    uint32_t i;

    for (i = 0; i < sim->load->deployment->entries; i++) {
        Dispatcher_Free(sim->entries[i].dispatcher);
        g_free(sim->entries[i].reports);
    }
    for (i = 0; i < sim->load->deployment->companions; i++) {
        companion_node *node = &sim->companions[i];
        if (node->runner != NULL) {
            Runner_Free(node->runner);
        }
        g_hash_table_unref(node->running);
        g_hash_table_unref(node->pending_replies);
        g_array_unref(node->ended);
    }
    g_free(sim->entries);
    g_free(sim->companions);
    g_free(sim->slots);
    g_array_unref(sim->jobs);
    Route_FreeTable(sim->routes);
}

FleetSim_Report
FleetSim_Run(const FleetSim_Load *load)
{
    simulation sim = {.load = load};
    LeaseTiming_Bounds bounds = {RESUBMIT_MS, 1000, 50, TICK_MS};

    sim.random = Random_Seed(load->seed * 2654435761U);
    sim.end_ms = WARM_UP_MS + load->length_ms + DRAIN_MS;
    sim.slots = g_new0(GArray *, sim.end_ms + 1);
    sim.jobs = g_array_new(FALSE, TRUE, sizeof(job_record));
    LeaseTiming_Derive(&bounds, &sim.timing);
    make_routes(&sim);
    make_companions(&sim);
    make_entries(&sim);
    for (sim.now_ms = 0; sim.now_ms < sim.end_ms; sim.now_ms++) {
        step(&sim);
    }
    fill_report(&sim);
    free_simulation(&sim);
    return sim.report;
}

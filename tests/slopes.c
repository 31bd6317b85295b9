/*
 * Marginal costs for docs/CAPACITY.md: the memory, bytes or time that one more
 * job, task, companion, member, group or inherited start costs a node, as the
 * slope of a least-squares fit over four sizes. One node of core/ runs
 * with fake peers that answer at once; every message is encoded, so that its
 * bytes and the time of the codec count.
 *
 * usage: slopes [NAME...]
 */

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/companion.h"
#include "core/entry.h"
#include "core/replica.h"
#include "core/task_records.h"
#include "lease/durable_log.h"

#define SIZES 4
#define WALL_MS 1700000000000LL
#define TICK_MS 50
#define US_PER_S 1e6

/* A call that the fake peers have not answered yet. */
typedef struct {
    uint64_t id;
    Address to;
    Msg_Kind kind;
    Key key;
} waiting_call;

typedef struct {
    Entry *entry;
    Node_Time now;
    uint64_t records;
    GArray *calls; /* waiting_call */
    uint64_t bytes;
    uint64_t messages;
    GByteArray *scratch;
    uint32_t slots;
    uint32_t inherited; /* starts reported in each inventory */
    uint64_t answers;
} slope_fixture;

static double
cpu_us(void)
{
    struct timespec used;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return (double)used.tv_sec * US_PER_S + (double)used.tv_nsec / 1e3;
}

static double
heap_bytes(void)
{
    return (double)mallinfo2().uordblks;
}

static void
port_call(void *context, Address to, uint64_t call_id, const Msg_Call *call)
{
    slope_fixture *fixture = context;
    waiting_call waiting = {call_id, to, call->kind, {{0}}};

    g_byte_array_set_size(fixture->scratch, 0);
    Msg_EncodeCall(call, 1, fixture->scratch);
    fixture->bytes += fixture->scratch->len;
    fixture->messages++;
    g_array_append_val(fixture->calls, waiting);
}

static void
port_reply(void *context, uint64_t reply_id, const Msg_Reply *reply)
{
    slope_fixture *fixture = context;

    (void)reply_id;
    g_byte_array_set_size(fixture->scratch, 0);
    Msg_EncodeReply(reply, 1, fixture->scratch);
    fixture->bytes += fixture->scratch->len;
    fixture->messages++;
}

static void
port_reset(void *context, Address to)
{
    (void)context;
    (void)to;
}

static void
port_answer(void *context, uint64_t request, const Node_Answer *answer)
{
    (void)request;
    (void)answer;
    ((slope_fixture *)context)->answers++;
}

static void
port_append(void *context, uint64_t append_id, const char *record)
{
    (void)context;
    (void)append_id;
    (void)record;
}

static void
port_event(void *context, Event_Id id, const char *detail)
{
    (void)context;
    (void)id;
    (void)detail;
}

static const Node_Ports ports = {
    .call = port_call,
    .reply = port_reply,
    .reset = port_reset,
    .answer = port_answer,
    .append = port_append,
    .event = port_event,
};

static lc_node
peer_node(uint32_t number)
{
    lc_node node = {0x7f0000010000ULL + 2000 + number, 500 + number};

    return node;
}

/* Counts the bytes of a reply and delivers it to the entry. */
static void
deliver_reply(slope_fixture *fixture, uint64_t call_id, const Msg_Reply *reply)
{
    Msg_Record record;
    Msg_Reply decoded;

    g_byte_array_set_size(fixture->scratch, 0);
    Msg_EncodeReply(reply, 1, fixture->scratch);
    fixture->bytes += fixture->scratch->len;
    fixture->messages++;
    Msg_Decode(fixture->scratch->data + MSG_MARK_SIZE,
               fixture->scratch->len - MSG_MARK_SIZE, &record);
    if (Msg_DecodeReply(
            reply->kind, fixture->scratch->data + MSG_MARK_SIZE + record.body,
            fixture->scratch->len - MSG_MARK_SIZE - record.body, &decoded)) {
        Entry_OnReply(fixture->entry, fixture->now, call_id, &decoded);
        Msg_FreeReply(&decoded);
    }
}

static void
fill_inventory(slope_fixture *fixture, const lc_node *node, Msg_Reply *reply,
               GArray *tasks)
{
    static char group[] = "group";
    static char result[100];
    uint32_t i;

    for (i = 0; i < fixture->inherited; i++) {
        Key key = Key_Create(fixture->now.wall_ms, node->incarnation,
                             (uint64_t)i * 7919);
        lc_started started;
        memset(&started, 0, sizeof(started));
        started.key = Node_KeyToWire(&key);
        started.total = 2;
        started.state = LC_TASK_DONE;
        started.group = group;
        started.result.result_len = sizeof(result);
        started.result.result_val = result;
        g_array_append_val(tasks, started);
    }
    reply->u.inventory.node = *node;
    reply->u.inventory.tasks.tasks_len = tasks->len;
    reply->u.inventory.tasks.tasks_val = (lc_started *)(void *)tasks->data;
}

static void
answer_one(slope_fixture *fixture, const waiting_call *call)
{
    static char result[100];
    static char nothing[] = "";
    lc_node node = peer_node((uint32_t)(call->to - peer_node(0).address));
    lc_position position = {fixture->records + 1,
                            Entry_View(fixture->entry)->epoch};
    GArray *tasks = g_array_new(FALSE, FALSE, sizeof(lc_started));
    Msg_Reply reply = {.kind = call->kind};

    switch (call->kind) {
    case MSG_PING:
        reply.u.ping.node = node;
        reply.u.ping.role = LC_ROLE_COMPANION;
        reply.u.ping.slots = fixture->slots;
        reply.u.ping.free = fixture->slots;
        reply.u.ping.position = position;
        break;
    case MSG_RELAY:
        reply.u.relay.position = position;
        break;
    case MSG_START:
        reply.u.start.code = 200;
        reply.u.start.free = fixture->slots;
        reply.u.start.grant_group = nothing;
        reply.u.start.position = position;
        reply.u.start.result.result_len = sizeof(result);
        reply.u.start.result.result_val = result;
        break;
    case MSG_INVENTORY:
        fill_inventory(fixture, &node, &reply, tasks);
        reply.u.inventory.position = position;
        break;
    case MSG_SETTLE:
        reply.u.settle.node = node;
        reply.u.settle.position = position;
        break;
    default:
        g_array_unref(tasks);
        return;
    }
    deliver_reply(fixture, call->id, &reply);
    g_array_unref(tasks);
}

static void
answer_all(slope_fixture *fixture)
{
    while (fixture->calls->len > 0) {
        GArray *calls = fixture->calls;
        guint i;
        fixture->calls = g_array_new(FALSE, FALSE, sizeof(waiting_call));
        for (i = 0; i < calls->len; i++) {
            answer_one(fixture, &g_array_index(calls, waiting_call, i));
        }
        g_array_unref(calls);
    }
}

static void
apply_record(slope_fixture *fixture, const char *text)
{
    lc_record record = {++fixture->records, (char *)(uintptr_t)text};
    Entry_LogRead read = {fixture->now.mono_ms, 1, fixture->records + 1,
                          &record, 1};

    Entry_OnLog(fixture->entry, fixture->now, &read);
}

static void
add_change(GArray *changes, const char *op, const lc_node *node, bool is_entry)
{
    View_Change change = {op, *node, is_entry, true};

    g_array_append_val(changes, change);
}

static void
change_view(slope_fixture *fixture, GArray *changes)
{
    char *text = View_EncodeRecord(Entry_View(fixture->entry),
                                   fixture->now.wall_ms, changes);

    apply_record(fixture, text);
    free(text);
    g_array_set_size(changes, 0);
}

static void
advance(slope_fixture *fixture, int64_t ms)
{
    int64_t elapsed_ms;

    for (elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += TICK_MS) {
        Entry_LogRead read = {fixture->now.mono_ms, 1, fixture->records + 1,
                              NULL, 0};
        fixture->now.mono_ms += TICK_MS;
        fixture->now.wall_ms += TICK_MS;
        if (elapsed_ms % 250 == 0) {
            read.asked_ms = fixture->now.mono_ms;
            Entry_OnLog(fixture->entry, fixture->now, &read);
        }
        Entry_Tick(fixture->entry, fixture->now);
        answer_all(fixture);
    }
}

/* Creates an entry in a view with these numbers of companions and groups. */
static slope_fixture *
new_fixture(uint32_t companions, uint32_t groups)
{
    slope_fixture *fixture = g_new0(slope_fixture, 1);
    lc_node self = {0x7f0000010001ULL, 100};
    Entry_Config config = Entry_Defaults(self);
    GArray *changes = g_array_new(FALSE, FALSE, sizeof(View_Change));
    Membership_Host *hosts = g_new0(Membership_Host, companions + 1);
    uint32_t i;

    fixture->now.mono_ms = 1000000;
    fixture->now.wall_ms = WALL_MS;
    fixture->slots = 8;
    fixture->calls = g_array_new(FALSE, FALSE, sizeof(waiting_call));
    fixture->scratch = g_byte_array_new();
    config.max_jobs = 10000000;
    config.max_answer_bytes = (size_t)1 << 33;
    fixture->entry = Entry_New(&config, &ports, fixture, fixture->now);
    add_change(changes, "add", &self, true);
    change_view(fixture, changes);
    for (i = 0; i < groups; i++) {
        char *text = g_strdup_printf("{\"kind\":\"edit\",\"id\":\"%u\","
                                     "\"group\":\"group%u\",\"base\":0,"
                                     "\"row\":{}}",
                                     i, i);
        apply_record(fixture, text);
        g_free(text);
    }
    for (i = 0; i < companions; i++) {
        lc_node node = peer_node(i);
        add_change(changes, "add", &node, false);
        hosts[i].address = node.address;
        hosts[i].role = LC_ROLE_COMPANION;
    }
    if (companions > 0) {
        change_view(fixture, changes);
        Entry_OnHosts(fixture->entry, fixture->now, hosts, companions);
    }
    g_array_unref(changes);
    g_free(hosts);
    advance(fixture, 2000);
    return fixture;
}

static void
free_fixture(slope_fixture *fixture)
{
    Entry_Free(fixture->entry);
    g_array_unref(fixture->calls);
    g_byte_array_unref(fixture->scratch);
    g_free(fixture);
}

static void
run_job(slope_fixture *fixture, uint32_t tasks)
{
    static lc_payload payloads[LC_MAX_TASKS];
    Admission_Spec spec = {.group = "group0",
                           .repeatable = true,
                           .tasks = payloads,
                           .count = tasks};

    spec.key = Entry_CreateKey(fixture->entry, fixture->now);
    Entry_Submit(fixture->entry, fixture->now, 1, &spec);
    answer_all(fixture);
}

typedef struct {
    const char *name;
    const char *unit; /* of the cost per additional item `of` */
    const char *of;
    double sizes[SIZES];
    double (*measure)(double size);
} slope;

static double
job_bytes(double size)
{
    slope_fixture *fixture = new_fixture(16, 1);
    double before = heap_bytes();
    double used;
    uint32_t i;

    for (i = 0; i < (uint32_t)size; i++) {
        run_job(fixture, 1);
    }
    used = heap_bytes() - before;
    free_fixture(fixture);
    return used;
}

/* Memory per job of `size` tasks. */
static double
task_bytes(double size)
{
    slope_fixture *fixture = new_fixture(16, 1);
    double before = heap_bytes();
    double used;
    uint32_t i;

    for (i = 0; i < 200; i++) {
        run_job(fixture, (uint32_t)size);
    }
    used = heap_bytes() - before;
    free_fixture(fixture);
    return used / 200.0;
}

static double
job_time(double size)
{
    slope_fixture *fixture = new_fixture(630, 70);
    double before = cpu_us();
    double used;
    uint32_t i;

    for (i = 0; i < (uint32_t)size; i++) {
        run_job(fixture, 1);
    }
    used = cpu_us() - before;
    free_fixture(fixture);
    return used;
}

static double
task_time(double size)
{
    slope_fixture *fixture = new_fixture(630, 70);
    double before = cpu_us();
    double used;
    uint32_t i;

    for (i = 0; i < 100; i++) {
        run_job(fixture, (uint32_t)size);
    }
    used = cpu_us() - before;
    free_fixture(fixture);
    return used / 100.0;
}

/* Time per job of one task with `size` companions, over 1,000 jobs. */
static double
task_time_by_companions(double size)
{
    slope_fixture *fixture = new_fixture((uint32_t)size, 70);
    double before = cpu_us();
    double used;
    uint32_t i;

    for (i = 0; i < 1000; i++) {
        run_job(fixture, 1);
    }
    used = (cpu_us() - before) / 1000.0;
    free_fixture(fixture);
    return used;
}

static double
idle_time(double size)
{
    slope_fixture *fixture = new_fixture((uint32_t)size, 70);
    double before;
    double used;

    advance(fixture, 10000);
    before = cpu_us();
    advance(fixture, 30000);
    used = (cpu_us() - before) / 30.0;
    free_fixture(fixture);
    return used;
}

static double
idle_bytes(double size)
{
    slope_fixture *fixture = new_fixture((uint32_t)size, 70);
    uint64_t before;
    double used;

    advance(fixture, 10000);
    before = fixture->bytes;
    advance(fixture, 30000);
    used = (double)(fixture->bytes - before) / 30.0;
    free_fixture(fixture);
    return used;
}

static double
companion_heap(double size)
{
    double before = heap_bytes();
    slope_fixture *fixture = new_fixture((uint32_t)size, 70);
    double used = heap_bytes() - before;

    free_fixture(fixture);
    return used;
}

/* Time to apply and relay a view change: one of `size` companions restarts. */
static double
view_change_time(double size)
{
    slope_fixture *fixture = new_fixture((uint32_t)size, 70);
    GArray *changes = g_array_new(FALSE, FALSE, sizeof(View_Change));
    double before = cpu_us();
    double used;
    uint32_t i;

    for (i = 0; i < 20; i++) {
        lc_node node = peer_node(i);
        node.incarnation += 1000;
        add_change(changes, "add", &node, false);
        change_view(fixture, changes);
    }
    used = (cpu_us() - before) / 20.0;
    g_array_unref(changes);
    free_fixture(fixture);
    return used;
}

static double
snapshot_bytes_by_members(double size)
{
    slope_fixture *fixture = new_fixture((uint32_t)size, 70);
    Replica *replica = Replica_New(600000);
    json_t *view = View_ToJson(Entry_View(fixture->entry));
    char *text = json_dumps(view, JSON_COMPACT);
    double length = (double)strlen(text);

    free(text);
    json_decref(view);
    Replica_Free(replica);
    free_fixture(fixture);
    return length;
}

static double
snapshot_bytes_by_groups(double size)
{
    slope_fixture *fixture = new_fixture(1, (uint32_t)size);
    json_t *table = GroupTable_ToJson(Entry_GroupTable(fixture->entry));
    char *text = json_dumps(table, JSON_COMPACT);
    double length = (double)strlen(text);

    free(text);
    json_decref(table);
    free_fixture(fixture);
    return length;
}

/* Time to take over `size` starts of another entry that is lost. */
static double
takeover_time(double size)
{
    slope_fixture *fixture = new_fixture(100, 1);
    GArray *changes = g_array_new(FALSE, FALSE, sizeof(View_Change));
    lc_node other = {0x7f0000010002ULL, 200};
    double before;
    double used;

    add_change(changes, "add", &other, true);
    change_view(fixture, changes);
    advance(fixture, 1000);
    fixture->inherited = (uint32_t)size / 100;
    before = cpu_us();
    add_change(changes, "remove", &other, true);
    change_view(fixture, changes);
    advance(fixture, 1000);
    used = cpu_us() - before;
    g_array_unref(changes);
    free_fixture(fixture);
    return used;
}

static double
record_bytes(double size)
{
    TaskRecords *records = TaskRecords_New(10000000, (size_t)1 << 33);
    char result[100];
    double before = heap_bytes();
    double used;
    uint32_t i;

    memset(result, 'x', sizeof(result));
    for (i = 0; i < (uint32_t)size; i++) {
        Key key = Key_Create(WALL_MS, i, i);
        TaskRecord *record = TaskRecords_Add(records, &key, 0);
        TaskRecords_End(records, record, LC_TASK_DONE, 200, result,
                        sizeof(result), 0);
    }
    used = heap_bytes() - before;
    TaskRecords_Free(records);
    return used;
}

/* An entry starts and reads claims that were appended one after the other;
 * who owns a job is asked after each, as entries do between reads. */
static double
claims_time(double claims)
{
    DurableLog *log = DurableLog_New();
    lc_kept_record record = {.body = {.kind = LC_KEPT_CLAIM}};
    lc_kept_claim *claim = &record.body.lc_kept_body_u.claim;
    DurableLog_Job job = {.owner = {1, 1000}};
    double start_us;
    double used_us;
    uint64_t i;

    claim->gone = job.owner;
    start_us = cpu_us();
    for (i = 1; i <= (uint64_t)claims; i++) {
        GByteArray *bytes = g_byte_array_new();
        char key[DURABLE_LOG_KEY_SIZE];
        DurableLog_Record read = {.offset = i, .key = key};
        claim->successor.address = 1 + i % 13;
        claim->successor.incarnation = 1000 + i;
        Msg_EncodeDurableRecord(&record, bytes);
        DurableLog_ClaimKey(&claim->gone, claim->successor, key);
        read.key_length = strlen(key);
        read.value = bytes->data;
        read.length = bytes->len;
        DurableLog_Apply(log, 1, &read);
        g_assert(DurableLog_Ownership(log, &job).claims_count == i);
        claim->gone = claim->successor;
        g_byte_array_unref(bytes);
    }
    used_us = cpu_us() - start_us;
    DurableLog_Free(log);
    return used_us;
}

static const slope slopes[] = {
    {"entry-job-memory",
     "bytes",
     "ended job of one task",
     {10000, 20000, 40000, 80000},
     job_bytes},
    {"entry-task-memory",
     "bytes",
     "task of an ended job",
     {10, 100, 500, 1500},
     task_bytes},
    {"entry-job-time",
     "us",
     "job of one task (630 companions)",
     {2000, 4000, 8000, 16000},
     job_time},
    {"entry-task-time",
     "us",
     "task of a job (630 companions)",
     {10, 100, 500, 1500},
     task_time},
    {"entry-start-time",
     "us per job",
     "companion",
     {80, 160, 320, 640},
     task_time_by_companions},
    {"entry-idle-time", "us/s", "companion", {80, 160, 320, 640}, idle_time},
    {"entry-idle-bytes",
     "bytes/s",
     "companion",
     {80, 160, 320, 640},
     idle_bytes},
    {"entry-peer-memory",
     "bytes",
     "companion",
     {80, 160, 320, 640},
     companion_heap},
    {"view-change-time",
     "us",
     "member",
     {80, 160, 320, 640},
     view_change_time},
    {"snapshot-members",
     "bytes",
     "member",
     {80, 160, 320, 640},
     snapshot_bytes_by_members},
    {"snapshot-groups",
     "bytes",
     "group",
     {10, 20, 40, 80},
     snapshot_bytes_by_groups},
    {"takeover-time",
     "us",
     "inherited start",
     {5000, 10000, 20000, 40000},
     takeover_time},
    {"companion-record-memory",
     "bytes",
     "record with a result of 100 bytes",
     {10000, 20000, 40000, 80000},
     record_bytes},
    {"claims-time",
     "us",
     "claim on an owner of durable jobs",
     {300, 1000, 3000, 10000},
     claims_time},
};

static void
print_fit(const slope *row)
{
    double values[SIZES];
    double mean_x = 0.0;
    double mean_y = 0.0;
    double xx = 0.0;
    double xy = 0.0;
    double yy = 0.0;
    int i;

    for (i = 0; i < SIZES; i++) {
        values[i] = row->measure(row->sizes[i]);
        mean_x += row->sizes[i] / SIZES;
        mean_y += values[i] / SIZES;
    }
    for (i = 0; i < SIZES; i++) {
        double x = row->sizes[i] - mean_x;
        double y = values[i] - mean_y;
        xx += x * x;
        xy += x * y;
        yy += y * y;
    }
    printf("%-24s %10.3f %s per %s; at 0: %.0f; fit r2 %.3f; measured",
           row->name, xy / xx, row->unit, row->of, mean_y - xy / xx * mean_x,
           yy > 0.0 ? xy * xy / (xx * yy) : 1.0);
    for (i = 0; i < SIZES; i++) {
        printf(" %.0f:%.0f", row->sizes[i], values[i]);
    }
    printf("\n");
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    size_t i;
    int j;

    for (i = 0; i < G_N_ELEMENTS(slopes); i++) {
        bool wanted = argc == 1;
        for (j = 1; j < argc; j++) {
            wanted = wanted || strcmp(argv[j], slopes[i].name) == 0;
        }
        if (wanted) {
            print_fit(&slopes[i]);
        }
    }
    return 0;
}

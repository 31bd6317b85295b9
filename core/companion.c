#include "core/companion.h"

#include <stdlib.h>
#include <string.h>

#include "core/inventory.h"
#include "core/replica.h"
#include "core/slot_arbiter.h"
#include "core/task_records.h"

#define RELAY_RECORDS 256

/* Highest sequence number received from an entry; a START that is not above
 * it is refused as stale. */
typedef struct {
    lc_node entry;
    uint64_t sequence;
    int64_t seen_ms;
} entry_sequence;

/* A pending call; `grant` is 0 for a RELAY. */
typedef struct {
    uint64_t grant;
} pending_call;

struct Companion {
    Companion_Config config;
    Node_Ports ports;
    void *context;
    Node_Time now;
    Counters counters;
    Replica *replica;
    TaskRecords *records;
    SlotArbiter *arbiter;
    GHashTable *sequences; /* lc_node -> entry_sequence */
    Handle_Table *calls;   /* pending_call */
    int64_t down_until_ms;
    bool last_timed_out; /* the last task timed out: run one at a time */
    bool was_down;       /* the last connection to the upstream was refused */
    uint32_t running;
    bool draining;
};

Companion_Config
Companion_Defaults(lc_node self)
{
    Companion_Config config = {
        .self = self,
        .seed = self.incarnation ^ self.address,
        .slots = 8,
        .grant_ms = 250,
        .down_ms = 500,
        .window_ms = 600000,
        .skew_ms = 2000,
        .max_records = 100000,
        .max_result_bytes = (size_t)16 * 1024 * 1024,
    };

    return config;
}

Companion *
Companion_New(const Companion_Config *config, const Node_Ports *ports,
              void *context, Node_Time now)
{
    Companion *companion = g_new0(Companion, 1);

    companion->config = *config;
    companion->ports = *ports;
    companion->context = context;
    companion->now = now;
    companion->replica = Replica_New(config->window_ms + config->skew_ms);
    companion->records = TaskRecords_New(config->max_records,
                                         config->max_result_bytes);
    companion->arbiter = SlotArbiter_New(config->slots, config->grant_ms,
                                         config->seed);
    companion->sequences = g_hash_table_new_full(Node_Hash, Node_Equal, NULL,
                                                 g_free);
    companion->calls = Handle_NewTable();
    return companion;
}

void
Companion_Free(Companion *companion)
{
    uint32_t i;

    if (companion == NULL) {
        return;
    }
    for (i = 0; i < Handle_RowCount(companion->calls); i++) {
        g_free(Handle_ItemAt(companion->calls, i));
    }
    Handle_FreeTable(companion->calls);
    g_hash_table_unref(companion->sequences);
    SlotArbiter_Free(companion->arbiter);
    TaskRecords_Free(companion->records);
    Replica_Free(companion->replica);
    g_free(companion);
}

static const View *
get_view(const Companion *companion)
{
    return Replica_View(companion->replica);
}

static bool
is_down(const Companion *companion)
{
    return companion->now.mono_ms < companion->down_until_ms;
}

/*
 * After a timeout the upstream gets one task at a time until one ends in
 * time.
 */
static bool
is_probing(const Companion *companion)
{
    return companion->last_timed_out && companion->running > 0;
}

static uint32_t
available_slots(const Companion *companion)
{
    if (companion->draining || is_down(companion) || is_probing(companion)) {
        return 0;
    }
    if (companion->last_timed_out) {
        return 1;
    }
    return SlotArbiter_FreeSlots(companion->arbiter);
}

static Msg_Reply
start_reply(const Companion *companion, lc_start_status status)
{
    Msg_Reply reply = {.kind = MSG_START};

    reply.u.start.status = status;
    reply.u.start.free = available_slots(companion);
    reply.u.start.grant_group = (char *)(uintptr_t) "";
    reply.u.start.position = Replica_Position(companion->replica);
    return reply;
}

static void
answer_start(Companion *companion, uint64_t reply_id, lc_start_status status)
{
    Msg_Reply reply = start_reply(companion, status);

    companion->ports.reply(companion->context, reply_id, &reply);
}

static void
send_grant(Companion *companion, const SlotArbiter_Grant *grant)
{
    Msg_Call call = {.kind = MSG_GRANT};
    pending_call *info = g_new0(pending_call, 1);

    info->grant = grant->id;
    call.u.grant.from = companion->config.self;
    call.u.grant.grant = grant->id;
    call.u.grant.group = (char *)(uintptr_t)grant->group;
    companion->ports.call(companion->context, grant->entry.address,
                          Handle_Add(companion->calls, info), &call);
}

static void
grant_free_slots(Companion *companion)
{
    SlotArbiter_Grant grant;

    if (companion->draining || is_down(companion) ||
        companion->last_timed_out) {
        return;
    }
    while (SlotArbiter_GrantFreeSlot(companion->arbiter,
                                     companion->now.mono_ms, &grant)) {
        send_grant(companion, &grant);
    }
}

static lc_start_status
ended_status(const TaskRecord *record)
{
    switch (record->state) {
    case LC_TASK_DONE:
        return LC_START_DONE;
    case LC_TASK_EVICTED:
        return LC_START_EVICTED;
    default:
        return record->timed_out ? LC_START_TIMEOUT : LC_START_FAILED;
    }
}

static void
fill_result(Msg_Reply *reply, const TaskRecord *record)
{
    reply->u.start.code = record->code;
    reply->u.start.result.result_len = record->length;
    reply->u.start.result.result_val = (char *)record->result;
}

/* Duplicate START of a recorded task: reply from its record, or at its end. */
static void
attach(Companion *companion, TaskRecord *record, uint64_t reply_id)
{
    Msg_Reply reply;

    Counter_Add(&companion->counters, COUNTER_WASTED_DUPLICATE, 1);
    if (record->state == LC_TASK_RUNNING) {
        g_array_append_val(record->waiters, reply_id);
        return;
    }
    reply = start_reply(companion, ended_status(record));
    fill_result(&reply, record);
    companion->ports.reply(companion->context, reply_id, &reply);
}

/*
 * Records the sequence number of a call; false if the same entry has sent one
 * at least as high before.
 */
static bool
advance_sequence(Companion *companion, const lc_start_args *args)
{
    entry_sequence *row = g_hash_table_lookup(companion->sequences,
                                              &args->owner);

    if (row == NULL) {
        row = g_new0(entry_sequence, 1);
        row->entry = args->owner;
        g_hash_table_insert(companion->sequences, &row->entry, row);
    }
    row->seen_ms = companion->now.mono_ms;
    if (args->sequence <= row->sequence) {
        return false;
    }
    row->sequence = args->sequence;
    return true;
}

static lc_start_status
fence_entry(Companion *companion, const lc_start_args *args)
{
    char text[ADDRESS_TEXT_SIZE];

    Address_Format(args->owner.address, text);
    companion->ports.event(companion->context, EVENT_FENCED, text);
    return LC_START_FENCED;
}

/* Returns LC_START_DONE if the task may be started. */
static lc_start_status
check_start(Companion *companion, const lc_start_args *args)
{
    const View *view = get_view(companion);
    bool newer = advance_sequence(companion, args);

    if (!newer) {
        return LC_START_STALE;
    }
    if (args->epoch > view->epoch) {
        return LC_START_BEHIND;
    }
    if (View_Find(view, &args->owner) == NULL) {
        return fence_entry(companion, args);
    }
    SlotArbiter_SetDemand(companion->arbiter, &args->owner,
                          args->demand.demand_val, args->demand.demand_len);
    if (companion->draining) {
        return LC_START_DRAINING;
    }
    if (is_down(companion) || is_probing(companion)) {
        return LC_START_DOWN;
    }
    return LC_START_DONE;
}

static void
run_task(Companion *companion, const TaskRecord *record,
         const lc_start_args *args)
{
    Node_Task task = {.key = record->key,
                      .index = record->index,
                      .timeout_ms = args->timeout_ms,
                      .group = record->group,
                      .payload = (const uint8_t *)args->payload.payload_val,
                      .length = args->payload.payload_len};

    companion->running++;
    Counter_Add(&companion->counters, COUNTER_TASKS_STARTED, 1);
    companion->ports.run(companion->context, record->handle, &task);
}

static lc_start_status
start_task(Companion *companion, uint64_t reply_id, const Key *key,
           const lc_start_args *args)
{
    TaskRecord *record;

    if (!SlotArbiter_Acquire(companion->arbiter, &args->owner, args->grant,
                             args->group,
                             Replica_GroupTable(companion->replica))) {
        return LC_START_BUSY;
    }
    record = TaskRecords_Add(companion->records, key, args->index);
    if (record == NULL) {
        SlotArbiter_CancelStart(companion->arbiter, args->group,
                                Replica_GroupTable(companion->replica));
        return LC_START_DOWN;
    }
    record->total = args->total;
    record->starter = args->owner;
    record->group = g_intern_string(args->group);
    record->started_ms = companion->now.mono_ms;
    g_array_append_val(record->waiters, reply_id);
    run_task(companion, record, args);
    return LC_START_DONE;
}

static void
on_start(Companion *companion, uint64_t reply_id, const lc_start_args *args)
{
    Key key = Node_KeyFromWire(&args->key);
    lc_start_status status;
    TaskRecord *record;

    if (args->target != companion->config.self.incarnation) {
        answer_start(companion, reply_id, LC_START_GONE);
        return;
    }
    /* Look for a record before any check: a refusal would mean that the task
     * was not started. */
    record = TaskRecords_Find(companion->records, &key, args->index);
    if (record != NULL) {
        advance_sequence(companion, args);
        attach(companion, record, reply_id);
        return;
    }
    if (args->attach) {
        answer_start(companion, reply_id, LC_START_GONE);
        return;
    }
    status = check_start(companion, args);
    if (status == LC_START_DONE) {
        status = start_task(companion, reply_id, &key, args);
    }
    if (status != LC_START_DONE) {
        answer_start(companion, reply_id, status);
    }
    /* Free slots are not offered here: the entry is already sending STARTs. */
}

/*
 * Relays the state to an entry that has applied no record yet, or that missed
 * records which the log no longer holds. When all entries are replaced, only
 * the companions still have the state.
 */
static void
relay_state(Companion *companion, const lc_ping_args *args)
{
    lc_record records[RELAY_RECORDS];
    Msg_Call call = {.kind = MSG_RELAY};
    char *state;

    if (args->position.offset > 1) {
        return;
    }
    call.u.relay.from = companion->config.self;
    call.u.relay.records.records_val = records;
    call.u.relay.records.records_len = Replica_CollectRecords(
        companion->replica, args->position.offset, records, RELAY_RECORDS,
        &state);
    if (call.u.relay.records.records_len > 0) {
        companion->ports.call(
            companion->context, args->from.address,
            Handle_Add(companion->calls, g_new0(pending_call, 1)), &call);
    }
    free(state);
}

static void
on_ping(Companion *companion, uint64_t reply_id, const lc_ping_args *args)
{
    Msg_Reply reply = {.kind = MSG_PING};

    reply.u.ping.node = companion->config.self;
    reply.u.ping.role = LC_ROLE_COMPANION;
    reply.u.ping.position = Replica_Position(companion->replica);
    reply.u.ping.knows_caller = View_Find(get_view(companion), &args->from) !=
                                NULL;
    reply.u.ping.draining = companion->draining;
    reply.u.ping.slots = SlotArbiter_Slots(companion->arbiter);
    reply.u.ping.free = available_slots(companion);
    companion->ports.reply(companion->context, reply_id, &reply);
    relay_state(companion, args);
}

static void
apply_record(Companion *companion, const lc_record *record)
{
    Status status = {ERR_OK, ""};

    switch (Replica_Apply(companion->replica, record->offset, record->data,
                          &status)) {
    case REPLICA_ALREADY_APPLIED:
    case REPLICA_GAP:
        return;
    case REPLICA_SKIPPED:
        Counter_Add(&companion->counters, COUNTER_RECORDS_SKIPPED, 1);
        companion->ports.event(companion->context, EVENT_RECORD_SKIPPED,
                               status.message);
        return;
    case REPLICA_VIEW:
    case REPLICA_LOADED:
        Counter_Add(&companion->counters, COUNTER_VIEWS_APPLIED, 1);
        SlotArbiter_OnView(companion->arbiter, get_view(companion));
        break;
    default:
        break;
    }
    Counter_Add(&companion->counters, COUNTER_RECORDS_APPLIED, 1);
}

static void
on_relay(Companion *companion, uint64_t reply_id, const lc_relay_args *args)
{
    Msg_Reply reply = {.kind = MSG_RELAY};
    u_int i;

    for (i = 0; i < args->records.records_len; i++) {
        apply_record(companion, &args->records.records_val[i]);
    }
    reply.u.relay.position = Replica_Position(companion->replica);
    companion->ports.reply(companion->context, reply_id, &reply);
}

static void
on_decline(Companion *companion, uint64_t reply_id,
           const lc_decline_args *args)
{
    Msg_Reply reply = {.kind = MSG_DECLINE};

    SlotArbiter_OnDecline(companion->arbiter, args->grant);
    if (View_Find(get_view(companion), &args->from) != NULL) {
        SlotArbiter_SetDemand(companion->arbiter, &args->from,
                              args->demand.demand_val,
                              args->demand.demand_len);
    }
    grant_free_slots(companion);
    reply.u.decline.free = available_slots(companion);
    companion->ports.reply(companion->context, reply_id, &reply);
}

static void
on_inventory(Companion *companion, uint64_t reply_id,
             const lc_inventory_args *args)
{
    Msg_Reply reply = {.kind = MSG_INVENTORY};
    lc_inventory_res *out = &reply.u.inventory;
    Inventory_Page page;

    out->node = companion->config.self;
    out->position = Replica_Position(companion->replica);
    if (out->position.epoch != args->epoch) {
        companion->ports.reply(companion->context, reply_id, &reply);
        return;
    }
    page = Inventory_Collect(companion->records, get_view(companion), args);
    out->next = page.next;
    out->tasks.tasks_len = page.tasks->len;
    out->tasks.tasks_val = (lc_started *)(void *)page.tasks->data;
    companion->ports.reply(companion->context, reply_id, &reply);
    Inventory_Clear(&page);
}

bool
Companion_OnCall(Companion *companion, Node_Time now, uint64_t reply_id,
                 const Msg_Call *call)
{
    companion->now = now;
    switch (call->kind) {
    case MSG_PING:
        on_ping(companion, reply_id, &call->u.ping);
        break;
    case MSG_RELAY:
        on_relay(companion, reply_id, &call->u.relay);
        break;
    case MSG_START:
        on_start(companion, reply_id, &call->u.start);
        break;
    case MSG_INVENTORY:
        on_inventory(companion, reply_id, &call->u.inventory);
        break;
    case MSG_DECLINE:
        on_decline(companion, reply_id, &call->u.decline);
        break;
    default:
        Counter_Add(&companion->counters, COUNTER_RPC_BAD, 1);
        companion->ports.event(companion->context, EVENT_RPC_BAD,
                               "received a call that only entries serve");
        return false;
    }
    return true;
}

void
Companion_OnReply(Companion *companion, Node_Time now, uint64_t call_id,
                  const Msg_Reply *reply)
{
    pending_call *call = Handle_Remove(companion->calls, call_id);

    companion->now = now;
    if (call == NULL) {
        return;
    }
    if (call->grant != 0 && (reply == NULL || !reply->u.grant.used)) {
        SlotArbiter_OnDecline(companion->arbiter, call->grant);
        grant_free_slots(companion);
    }
    g_free(call);
}

/* Replies to all waiting calls; a grant is put into the first reply only. */
static void
reply_to_waiters(Companion *companion, const TaskRecord *record,
                 const SlotArbiter_Grant *grant)
{
    Msg_Reply reply = start_reply(companion, ended_status(record));
    guint i;

    fill_result(&reply, record);
    if (grant != NULL) {
        reply.u.start.grant = grant->id;
        reply.u.start.grant_group = (char *)(uintptr_t)grant->group;
    }
    for (i = 0; i < record->waiters->len; i++) {
        companion->ports.reply(companion->context,
                               g_array_index(record->waiters, uint64_t, i),
                               &reply);
        reply.u.start.grant = 0;
    }
}

static void
end_record(Companion *companion, TaskRecord *record)
{
    SlotArbiter_Grant grant;
    bool granted = !companion->draining && !is_down(companion) &&
                   !companion->last_timed_out &&
                   SlotArbiter_GrantFreeSlot(companion->arbiter,
                                             companion->now.mono_ms, &grant);
    bool same = granted && record->waiters->len > 0 &&
                Node_Same(&grant.entry, &record->starter);

    reply_to_waiters(companion, record, same ? &grant : NULL);
    g_array_set_size(record->waiters, 0);
    if (granted && !same) {
        send_grant(companion, &grant);
    }
    grant_free_slots(companion);
}

/* The upstream accepted a connection. */
static void
report_upstream_up(Companion *companion)
{
    if (companion->was_down) {
        companion->was_down = false;
        companion->ports.event(companion->context, EVENT_UPSTREAM_UP, "");
    }
}

/*
 * The upstream refused the connection, so the task has not started: removes
 * its record and replies LC_START_DOWN.
 */
static void
undo_start(Companion *companion, TaskRecord *record)
{
    GArray *waiters = g_array_ref(record->waiters);
    guint i;

    if (!companion->was_down) {
        companion->was_down = true;
        companion->ports.event(companion->context, EVENT_UPSTREAM_DOWN, "");
    }
    companion->down_until_ms = companion->now.mono_ms +
                               companion->config.down_ms;
    SlotArbiter_CancelStart(companion->arbiter, record->group,
                            Replica_GroupTable(companion->replica));
    TaskRecords_Remove(companion->records, record);
    for (i = 0; i < waiters->len; i++) {
        answer_start(companion, g_array_index(waiters, uint64_t, i),
                     LC_START_DOWN);
    }
    g_array_unref(waiters);
}

void
Companion_OnRunEnd(Companion *companion, Node_Time now, uint64_t run_id,
                   Companion_RunResult result, uint32_t code, const void *data,
                   uint32_t length)
{
    TaskRecord *record = TaskRecords_Get(companion->records, run_id);

    companion->now = now;
    if (record == NULL) {
        return;
    }
    companion->running--;
    if (result == COMPANION_RUN_UNREACHED) {
        undo_start(companion, record);
        return;
    }
    report_upstream_up(companion);
    record->timed_out = result == COMPANION_RUN_TIMEOUT;
    companion->last_timed_out = record->timed_out;
    Counter_Add(&companion->counters,
                result == COMPANION_RUN_DONE ? COUNTER_TASKS_DONE
                                             : COUNTER_TASKS_FAILED,
                1);
    SlotArbiter_Release(companion->arbiter, record->group,
                        now.mono_ms - record->started_ms,
                        Replica_GroupTable(companion->replica));
    TaskRecords_End(companion->records, record,
                    result == COMPANION_RUN_DONE ? LC_TASK_DONE
                                                 : LC_TASK_FAILED,
                    code, data, length, now.mono_ms);
    end_record(companion, record);
}

/*
 * Once an entry has left the view and been silent for the deduplication
 * window, no call of it can still be in flight.
 */
static void
expire_sequences(Companion *companion)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, companion->sequences);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const entry_sequence *row = value;
        if (companion->now.mono_ms - row->seen_ms >
                companion->config.window_ms &&
            View_Find(get_view(companion), &row->entry) == NULL) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
Companion_Tick(Companion *companion, Node_Time now)
{
    uint32_t expired;

    companion->now = now;
    expired = SlotArbiter_ExpireGrants(companion->arbiter, now.mono_ms);
    Counter_Add(&companion->counters, COUNTER_WASTED_GRANT, expired);
    TaskRecords_Expire(companion->records, now.mono_ms -
                                               companion->config.window_ms -
                                               2 * companion->config.skew_ms);
    expire_sequences(companion);
    grant_free_slots(companion);
}

void
Companion_Drain(Companion *companion, Node_Time now)
{
    companion->now = now;
    companion->draining = true;
    companion->ports.event(companion->context, EVENT_STOPPING, "companion");
}

bool
Companion_IsDrained(const Companion *companion)
{
    return companion->draining && companion->running == 0;
}

const GroupTable *
Companion_GroupTable(const Companion *companion)
{
    return Replica_GroupTable(companion->replica);
}

Counters *
Companion_Counters(Companion *companion)
{
    return &companion->counters;
}

json_t *
Companion_Dump(const Companion *companion)
{
    char number[20];

    g_snprintf(number, sizeof(number), "%llx",
               (unsigned long long)companion->config.self.incarnation);
    return json_pack(
        "{s:s, s:{s:s, s:s}, s:i, s:i, s:i, s:b, s:b, s:I, s:I, s:I, s:o, "
        "s:o}",
        "role", "companion", "self", "address",
        Address_Text(companion->config.self.address), "incarnation", number,
        "slots", (int)SlotArbiter_Slots(companion->arbiter), "free",
        (int)available_slots(companion), "running", (int)companion->running,
        "draining", (int)companion->draining, "upstream_down",
        (int)is_down(companion), "records",
        (json_int_t)TaskRecords_Count(companion->records), "result_bytes",
        (json_int_t)TaskRecords_Bytes(companion->records), "next_offset",
        (json_int_t)Replica_NextOffset(companion->replica), "view",
        View_ToJson(get_view(companion)), "table",
        GroupTable_ToJson(Replica_GroupTable(companion->replica)));
}

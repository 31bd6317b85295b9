#include "core/entry.h"

#include "core/dispatch.h"
#include "core/drain.h"
#include "core/group_limits.h"
#include "core/job_timeouts.h"
#include "core/log_apply.h"
#include "core/outcome.h"
#include "core/ownership.h"
#include "core/table_edits.h"

/* Most active jobs whose keys a state dump lists. */
#define MAX_DUMPED_JOBS 100

struct Entry {
    Blackboard *board;
};

/* Tick functions of the controllers, in the order in which they run. */
static void (*const controllers[])(Blackboard *board) = {
    Membership_Tick, Ownership_Tick,   GroupLimits_Tick, TableEdits_Tick,
    Drain_Tick,      JobTimeouts_Tick, Dispatch_Tick,
};

Entry *
Entry_New(const Entry_Config *config, const Node_Ports *ports, void *context,
          Node_Time now)
{
    Entry *entry = g_new0(Entry, 1);

    entry->board = Blackboard_New(config, ports, context);
    entry->board->now = now;
    entry->board->tasks_ended_since_ms = now.mono_ms;
    entry->board->snapshot_ms = now.mono_ms;
    return entry;
}

void
Entry_Free(Entry *entry)
{
    if (entry == NULL) {
        return;
    }
    Blackboard_Free(entry->board);
    g_free(entry);
}

void
Entry_Submit(Entry *entry, Node_Time now, uint64_t request,
             const Admission_Spec *spec)
{
    entry->board->now = now;
    Admission_Submit(entry->board, request, spec);
}

Key
Entry_CreateKey(Entry *entry, Node_Time now)
{
    entry->board->now = now;
    return Admission_CreateKey(entry->board);
}

void
Entry_Edit(Entry *entry, Node_Time now, uint64_t request, const char *group,
           uint64_t base, const GroupTable_Row *row)
{
    entry->board->now = now;
    TableEdits_Submit(entry->board, request, group, base, row);
}

bool
Entry_OnCall(Entry *entry, Node_Time now, uint64_t reply_id,
             const Msg_Call *call)
{
    Blackboard *board = entry->board;

    board->now = now;
    switch (call->kind) {
    case MSG_PING:
        Membership_AnswerPing(board, reply_id, &call->u.ping);
        break;
    case MSG_RELAY:
        Membership_AnswerRelay(board, reply_id, &call->u.relay);
        break;
    case MSG_GRANT:
        Dispatch_AnswerGrant(board, reply_id, &call->u.grant);
        break;
    case MSG_SETTLE:
        Ownership_AnswerSettle(board, reply_id, &call->u.settle);
        break;
    case MSG_SUBMIT:
        Admission_AnswerSubmit(board, reply_id, &call->u.submit);
        break;
    case MSG_BORROW:
        GroupLimits_AnswerBorrow(board, reply_id, &call->u.borrow);
        break;
    default:
        /* Only companions serve it: the sender has a wrong address. */
        Counter_Add(&board->counters, COUNTER_RPC_BAD, 1);
        Blackboard_Event(board, EVENT_RPC_BAD, "%s sent to an entry",
                         Msg_Name(call->kind));
        return false;
    }
    return true;
}

static void
dispatch_reply(Blackboard *board, const Call *call, const Msg_Reply *reply)
{
    switch (call->kind) {
    case MSG_PING:
        Membership_OnPing(board, call, reply == NULL ? NULL : &reply->u.ping);
        break;
    case MSG_RELAY:
        Membership_OnRelay(board, call,
                           reply == NULL ? NULL : &reply->u.relay);
        break;
    case MSG_START:
        Dispatch_OnStart(board, call, reply == NULL ? NULL : &reply->u.start);
        break;
    case MSG_INVENTORY:
        Ownership_OnInventory(board, call,
                              reply == NULL ? NULL : &reply->u.inventory);
        break;
    case MSG_SETTLE:
        Ownership_OnSettle(board, call,
                           reply == NULL ? NULL : &reply->u.settle);
        break;
    case MSG_SUBMIT:
        Admission_OnSubmit(board, call,
                           reply == NULL ? NULL : &reply->u.submit);
        break;
    case MSG_BORROW:
        GroupLimits_OnBorrow(board, call,
                             reply == NULL ? NULL : &reply->u.borrow);
        break;
    case MSG_GRANT:
    case MSG_DECLINE:
    default: /* calls for leased jobs, which are not served here */
        break;
    }
}

void
Entry_OnReply(Entry *entry, Node_Time now, uint64_t call_id,
              const Msg_Reply *reply)
{
    Blackboard *board = entry->board;
    Call *call = Handle_Remove(board->calls, call_id);

    board->now = now;
    if (call == NULL) {
        Counter_Add(&board->counters, COUNTER_WASTED_LATE, 1);
        return;
    }
    dispatch_reply(board, call, reply);
    g_free(call);
}

static void
set_log_up(Blackboard *board, bool up)
{
    if (board->log_up == up) {
        return;
    }
    board->log_up = up;
    Blackboard_Event(board, up ? EVENT_LOG_UP : EVENT_LOG_DOWN,
                     "next offset %llu",
                     (unsigned long long)Replica_NextOffset(board->replica));
}

void
Entry_OnLog(Entry *entry, Node_Time now, const Entry_LogRead *read)
{
    Blackboard *board = entry->board;
    uint32_t i;

    board->now = now;
    set_log_up(board, read != NULL);
    if (read == NULL) {
        return;
    }
    if (read->first > Replica_NextOffset(board->replica)) {
        Blackboard_Event(
            board, EVENT_LOG_GAP,
            "records from %llu up to %llu expired unread",
            (unsigned long long)Replica_NextOffset(board->replica),
            (unsigned long long)read->first);
        Replica_OnRecordsExpired(board->replica, read->first);
    }
    for (i = 0; i < read->count; i++) {
        LogApply_Record(board, read->records[i].offset, read->records[i].data);
    }
    if (Replica_NextOffset(board->replica) < read->next) {
        return;
    }
    board->log_tail_ms = read->asked_ms;
    if (Replica_IsSynced(board->replica) && Blackboard_IsMember(board) &&
        read->asked_ms + board->config.evidence_ms >
            board->evidence_until_ms) {
        board->evidence_until_ms = read->asked_ms + board->config.evidence_ms;
    }
}

void
Entry_OnAppend(Entry *entry, Node_Time now, uint64_t append_id, bool confirmed)
{
    entry->board->now = now;
    if (!TableEdits_OnAppend(entry->board, append_id, confirmed)) {
        Membership_OnAppend(entry->board, append_id, confirmed);
    }
}

void
Entry_OnHosts(Entry *entry, Node_Time now, const Membership_Host *hosts,
              uint32_t count)
{
    entry->board->now = now;
    Membership_OnHosts(entry->board, hosts, count);
}

void
Entry_Tick(Entry *entry, Node_Time now)
{
    Blackboard *board = entry->board;
    size_t i;

    board->now = now;
    if (board->deposed) {
        return;
    }
    for (i = 0; i < G_N_ELEMENTS(controllers); i++) {
        controllers[i](board);
    }
    Ledger_Expire(board->ledger, now.mono_ms - board->config.window_ms -
                                     2 * board->config.skew_ms);
}

void
Entry_Drain(Entry *entry, Node_Time now)
{
    entry->board->now = now;
    Drain_Start(entry->board);
}

bool
Entry_IsClosed(const Entry *entry)
{
    return Drain_IsClosed(entry->board);
}

bool
Entry_IsDrained(const Entry *entry)
{
    return Drain_IsDone(entry->board);
}

bool
Entry_IsDeposed(const Entry *entry)
{
    return entry->board->deposed;
}

void
Entry_AbandonCallers(Entry *entry, Node_Time now)
{
    entry->board->now = now;
    Outcome_AbandonAll(entry->board);
    TableEdits_Abandon(entry->board);
}

uint64_t
Entry_NextLogOffset(const Entry *entry)
{
    return Replica_NextOffset(entry->board->replica);
}

bool
Entry_IsSettled(const Entry *entry)
{
    const Blackboard *board = entry->board;

    return Blackboard_IsOwner(board) && !board->settle.active &&
           board->settle.epoch == Blackboard_View(board)->epoch;
}

const GroupTable *
Entry_GroupTable(const Entry *entry)
{
    return Blackboard_GroupTable(entry->board);
}

const View *
Entry_View(const Entry *entry)
{
    return Blackboard_View(entry->board);
}

Counters *
Entry_Counters(Entry *entry)
{
    return &entry->board->counters;
}

static json_t *
peer_to_json(const Blackboard *board, const Peer *peer)
{
    static const char *const host_states[] = {"unlisted", "live", "leaving",
                                              "gone"};
    char number[20];

    g_snprintf(number, sizeof(number), "%llx",
               (unsigned long long)peer->node.incarnation);
    return json_pack("{s:s, s:s, s:s, s:s, s:b, s:b, s:I, s:i, s:i, s:i}",
                     "address", Address_Text(peer->address), "role",
                     peer->role == LC_ROLE_ENTRY ? "entry" : "companion",
                     "incarnation", number, "host", host_states[peer->host],
                     "usable", (int)Membership_IsUsable(board, peer), "silent",
                     peer->silent_since_ms != 0, "offset",
                     (json_int_t)peer->position.offset, "slots",
                     (int)peer->slots, "running", (int)peer->running, "others",
                     (int)peer->others);
}

static void
dump_group(Group *group, void *context)
{
    json_array_append_new(
        context,
        json_pack("{s:s, s:i, s:i, s:i, s:f, s:f}", "group", group->name,
                  "jobs_queued", (int)group->queue->len, "tasks_waiting",
                  (int)group->waiting, "tasks_running", (int)group->running,
                  "virtual_time_ms", group->vtime.value_ms, "mean_task_ms",
                  group->vtime.mean_ms));
}

static json_t *
dump_peers(const Blackboard *board)
{
    json_t *list = json_array();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, board->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        json_array_append_new(list, peer_to_json(board, value));
    }
    return list;
}

static json_t *
dump_self(const Blackboard *board)
{
    char number[20];

    g_snprintf(number, sizeof(number), "%llx",
               (unsigned long long)board->config.self.incarnation);
    return json_pack("{s:s, s:s}", "address",
                     Address_Text(board->config.self.address), "incarnation",
                     number);
}

static json_t *
dump_active(const Blackboard *board)
{
    json_t *list = json_array();
    char text[KEY_TEXT_LENGTH + 1];
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, board->active);
    while (g_hash_table_iter_next(&iter, &key, NULL) &&
           json_array_size(list) < MAX_DUMPED_JOBS) {
        Key_Format(&((const Job *)key)->key, text);
        json_array_append_new(list, json_string(text));
    }
    return list;
}

json_t *
Entry_Dump(const Entry *entry)
{
    const Blackboard *board = entry->board;
    json_t *groups = json_array();

    Groups_ForEach(board->groups, dump_group, groups);
    return json_pack(
        "{s:s, s:o, s:o, s:o, s:o, s:o, s:o, s:b, s:b, s:b, s:b, s:b, s:I, "
        "s:I, "
        "s:I, s:I, s:I}",
        "role", "entry", "self", dump_self(board), "view",
        View_ToJson(Blackboard_View(board)), "table",
        GroupTable_ToJson(Blackboard_GroupTable(board)), "groups", groups,
        "peers", dump_peers(board), "active", dump_active(board), "log_up",
        (int)board->log_up, "settled", (int)Entry_IsSettled(entry), "evidence",
        (int)Ownership_HasEvidence(board), "draining", (int)board->draining,
        "deposed", (int)board->deposed, "next_offset",
        (json_int_t)Replica_NextOffset(board->replica), "jobs_active",
        (json_int_t)g_hash_table_size(board->active), "jobs_known",
        (json_int_t)Ledger_Count(board->ledger), "answer_bytes",
        (json_int_t)Ledger_Bytes(board->ledger), "calls_pending",
        (json_int_t)Handle_ItemCount(board->calls));
}

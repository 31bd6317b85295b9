#include "core/blackboard.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"

Entry_Config
Entry_Defaults(lc_node self)
{
    Entry_Config config = {
        .self = self,
        .seed = self.incarnation ^ self.address,
        .evidence_ms = 3000,
        .skew_ms = 2000,
        .window_ms = 600000,
        .ping_entry_ms = 1000,
        .ping_companion_ms = 10000,
        .suspect_ms = 3000,
        .patience_ms = 10000,
        .inventory_ms = 2000,
        .hosts_lag_ms = 60000,
        .snapshot_ms = 600000,
        .snapshot_records = 500,
        .task_timeout_ms = 30000,
        .max_jobs = 200000,
        .max_answer_bytes = (size_t)24 * 1024 * 1024,
        .order = GROUP_ORDER_RATIO,
        .placement = PLACEMENT_GRANTS,
    };

    return config;
}

static void
free_edit(gpointer item)
{
    Table_Edit *edit = item;

    free(edit->record);
    g_free(edit);
}

Blackboard *
Blackboard_New(const Entry_Config *config, const Node_Ports *ports,
               void *context)
{
    Blackboard *board = g_new0(Blackboard, 1);

    board->config = *config;
    board->ports = *ports;
    board->context = context;
    board->random = Random_Seed(config->seed);
    board->replica = Replica_New(config->window_ms + config->skew_ms);
    board->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         g_free);
    board->usable = g_ptr_array_new();
    board->usable_dirty = true;
    board->calls = Handle_NewTable();
    board->ledger = Ledger_New(config->max_jobs, config->max_answer_bytes);
    board->active = g_hash_table_new(NULL, NULL);
    board->groups = Groups_New(config->order);
    board->lost_starts = g_queue_new();
    board->settle.entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                                  NULL, g_free);
    board->settle.companions = g_hash_table_new_full(
        g_int64_hash, g_int64_equal, NULL, g_free);
    board->settles = g_array_new(FALSE, FALSE, sizeof(Completed_Settle));
    board->discharged = g_hash_table_new_full(Node_Hash, Node_Equal, g_free,
                                              NULL);
    board->edits = g_ptr_array_new_with_free_func(free_edit);
    return board;
}

static void
free_calls(Blackboard *board)
{
    uint32_t i;

    for (i = 0; i < Handle_RowCount(board->calls); i++) {
        g_free(Handle_ItemAt(board->calls, i));
    }
    Handle_FreeTable(board->calls);
}

void
Blackboard_Free(Blackboard *board)
{
    if (board == NULL) {
        return;
    }
    free_calls(board);
    Replica_Free(board->replica);
    g_hash_table_unref(board->peers);
    g_ptr_array_unref(board->usable);
    g_hash_table_unref(board->active);
    Groups_Free(board->groups);
    Ledger_Free(board->ledger);
    g_queue_free_full(board->lost_starts, g_free);
    g_hash_table_unref(board->settle.entries);
    g_hash_table_unref(board->settle.companions);
    if (board->settle.found != NULL) {
        g_ptr_array_unref(board->settle.found);
    }
    g_array_unref(board->settles);
    g_hash_table_unref(board->discharged);
    g_ptr_array_unref(board->edits);
    g_free(board);
}

const View *
Blackboard_View(const Blackboard *board)
{
    return Replica_View(board->replica);
}

const GroupTable *
Blackboard_GroupTable(const Blackboard *board)
{
    return Replica_GroupTable(board->replica);
}

Peer *
Blackboard_FindPeer(const Blackboard *board, Address address)
{
    return g_hash_table_lookup(board->peers, &address);
}

Peer *
Blackboard_GetPeer(Blackboard *board, Address address)
{
    Peer *peer = Blackboard_FindPeer(board, address);

    if (peer == NULL) {
        peer = g_new0(Peer, 1);
        peer->address = address;
        g_hash_table_insert(board->peers, &peer->address, peer);
    }
    return peer;
}

uint64_t
Blackboard_SendCall(Blackboard *board, const Msg_Call *call, const Call *info)
{
    Call *pending = g_new(Call, 1);
    uint64_t call_id;

    *pending = *info;
    pending->kind = call->kind;
    pending->sent_ms = board->now.mono_ms;
    call_id = Handle_Add(board->calls, pending);
    pending->id = call_id;
    board->ports.call(board->context, pending->to, call_id, call);
    return call_id;
}

uint64_t
Blackboard_Random(Blackboard *board)
{
    return Random_Next(&board->random);
}

void
Blackboard_Event(Blackboard *board, Event_Id id, const char *format, ...)
{
    char detail[320];
    va_list args;

    va_start(args, format);
    vsnprintf(detail, sizeof(detail), format, args);
    va_end(args);
    board->ports.event(board->context, id, detail);
}

bool
Blackboard_IsMember(const Blackboard *board)
{
    return View_Find(Blackboard_View(board), &board->config.self) != NULL;
}

bool
Blackboard_IsOwner(const Blackboard *board)
{
    const View_Member *member = View_Find(Blackboard_View(board),
                                          &board->config.self);

    return member != NULL && !member->leaving;
}

bool
Blackboard_IsNodeGone(const Blackboard *board, const lc_node *node,
                      int64_t added_wall_ms)
{
    const View_Removed *removed = View_FindRemoved(Blackboard_View(board),
                                                   node);
    const Peer *peer = Blackboard_FindPeer(board, node->address);

    if (removed != NULL && removed->gone) {
        return true;
    }
    if (peer == NULL) {
        return false;
    }
    /* Incarnations rise with time: only a later one proves it gone. */
    if (peer->node.incarnation > node->incarnation) {
        return true;
    }
    return peer->host == HOST_GONE &&
           board->now.wall_ms - added_wall_ms > board->config.hosts_lag_ms;
}

uint32_t
Blackboard_JitteredRetryMs(Blackboard *board, int64_t base_ms)
{
    return (uint32_t)(base_ms +
                      (int64_t)(Blackboard_Random(board) % (uint64_t)base_ms) /
                          2);
}

void
Blackboard_RecordLedgerFull(Blackboard *board)
{
    board->overflow_before_ms = board->now.wall_ms + board->config.skew_ms;
}

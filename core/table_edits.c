#include "core/table_edits.h"

#define CONFIRM_TIMEOUT_MS 5000

static void
end_edit(Blackboard *board, guint index, const Status *status,
         uint64_t version)
{
    Table_Edit *edit = g_ptr_array_index(board->edits, index);
    uint64_t request = edit->request;

    g_ptr_array_remove_index(board->edits, index);
    board->ports.edited(board->context, request, status, version);
}

static void
send_edit(Blackboard *board, Table_Edit *edit)
{
    edit->append = ++board->next_append;
    edit->failed_ms = 0;
    Counter_Add(&board->counters, COUNTER_APPENDS, 1);
    board->ports.append(board->context, edit->append, edit->record);
}

void
TableEdits_Submit(Blackboard *board, uint64_t request, const char *group,
                  uint64_t base, const GroupTable_Row *row)
{
    Status status = {ERR_OK, ""};
    uint64_t version = GroupTable_Version(Blackboard_GroupTable(board), group);
    Table_Edit *edit;

    if (base < version) {
        Err_Set(&status, ERR_STALE_ROW,
                "the row is at version %llu, the edit is based on %llu",
                (unsigned long long)version, (unsigned long long)base);
    }
    else if (!board->log_up) {
        Err_Set(&status, ERR_LOG_DOWN,
                "the log service is unavailable; "
                "nothing was changed");
    }
    if (status.kind != ERR_OK) {
        board->ports.edited(board->context, request, &status, version);
        return;
    }
    edit = g_new0(Table_Edit, 1);
    edit->request = request;
    edit->sent_ms = board->now.mono_ms;
    g_snprintf(edit->id, sizeof(edit->id), "%016llx%016llx",
               (unsigned long long)Blackboard_Random(board),
               (unsigned long long)Blackboard_Random(board));
    edit->record = Replica_EncodeEdit(edit->id, group, base, row);
    g_ptr_array_add(board->edits, edit);
    send_edit(board, edit);
}

void
TableEdits_OnRecord(Blackboard *board)
{
    guint i;

    for (i = board->edits->len; i-- > 0;) {
        const Table_Edit *edit = g_ptr_array_index(board->edits, i);
        const Replica_Edit *read_back = Replica_FindEdit(board->replica,
                                                         edit->id);
        Status status = {ERR_OK, ""};
        if (read_back == NULL) {
            continue;
        }
        if (!read_back->accepted) {
            Err_Set(&status, ERR_STALE_ROW,
                    "another edit of the row came first");
        }
        end_edit(board, i, &status, read_back->offset);
    }
}

bool
TableEdits_OnAppend(Blackboard *board, uint64_t append_id, bool confirmed)
{
    guint i;

    for (i = 0; i < board->edits->len; i++) {
        Table_Edit *edit = g_ptr_array_index(board->edits, i);
        if (edit->append == append_id) {
            edit->failed_ms = confirmed ? 0 : board->now.mono_ms;
            return true;
        }
    }
    return false;
}

void
TableEdits_Abandon(Blackboard *board)
{
    Status status = {ERR_OK, ""};

    Err_Set(&status, ERR_LOG_DOWN,
            "not confirmed by the log; it may still take effect: read the "
            "row before trying again");
    while (board->edits->len > 0) {
        end_edit(board, board->edits->len - 1, &status, 0);
    }
}

void
TableEdits_Tick(Blackboard *board)
{
    Status status = {ERR_OK, ""};
    guint i;

    Err_Set(&status, ERR_LOG_DOWN,
            "not confirmed by the log in time; it may still take effect: "
            "read the row before trying again");
    for (i = board->edits->len; i-- > 0;) {
        Table_Edit *edit = g_ptr_array_index(board->edits, i);
        if (board->now.mono_ms - edit->sent_ms > CONFIRM_TIMEOUT_MS) {
            end_edit(board, i, &status, 0);
        }
        else if (edit->failed_ms != 0 &&
                 board->log_tail_ms > edit->failed_ms) {
            /* The log has been read to its tail since, without this edit. */
            send_edit(board, edit);
        }
    }
}

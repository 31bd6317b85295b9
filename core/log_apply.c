#include "core/log_apply.h"

#include "core/dispatch.h"
#include "core/group_limits.h"
#include "core/ownership.h"
#include "core/table_edits.h"

static void
on_view(Blackboard *board)
{
    const View *view = Blackboard_View(board);

    board->usable_dirty = true;
    Counter_Add(&board->counters, COUNTER_VIEWS_APPLIED, 1);
    Blackboard_Event(board, EVENT_VIEW, "seq %llu, epoch %llu, %u members",
                     (unsigned long long)view->seq,
                     (unsigned long long)view->epoch, view->members->len);
    if (Blackboard_IsMember(board)) {
        board->joined = true;
    }
    else if (board->joined && !board->deposed &&
             (!board->draining || g_hash_table_size(board->active) > 0)) {
        board->deposed = true;
        Blackboard_Event(board, EVENT_DEPOSED, "epoch %llu",
                         (unsigned long long)view->epoch);
    }
    Ownership_OnView(board);
    GroupLimits_OnView(board);
    Dispatch_Run(board);
}

void
LogApply_Record(Blackboard *board, uint64_t offset, const char *record)
{
    Status status = {ERR_OK, ""};

    switch (Replica_Apply(board->replica, offset, record, &status)) {
    case REPLICA_ALREADY_APPLIED:
    case REPLICA_GAP:
        return;
    case REPLICA_SKIPPED:
        Counter_Add(&board->counters, COUNTER_RECORDS_SKIPPED, 1);
        Blackboard_Event(board, EVENT_RECORD_SKIPPED, "offset %llu: %s",
                         (unsigned long long)offset, status.message);
        return;
    case REPLICA_VIEW_REFUSED:
        break;
    case REPLICA_VIEW:
        on_view(board);
        break;
    case REPLICA_EDIT:
        Blackboard_Event(board, EVENT_EDIT, "offset %llu: %s",
                         (unsigned long long)offset, status.message);
        TableEdits_OnRecord(board);
        Dispatch_Run(board);
        break;
    case REPLICA_EDIT_REFUSED:
        Blackboard_Event(board, EVENT_EDIT_REFUSED, "offset %llu: %s",
                         (unsigned long long)offset, status.message);
        TableEdits_OnRecord(board);
        break;
    case REPLICA_SNAPSHOT:
        board->snapshot_ms = board->now.mono_ms;
        Blackboard_Event(board, EVENT_SNAPSHOT, "offset %llu",
                         (unsigned long long)offset);
        break;
    case REPLICA_LOADED:
        board->snapshot_ms = board->now.mono_ms;
        on_view(board);
        TableEdits_OnRecord(board);
        break;
    }
    Counter_Add(&board->counters, COUNTER_RECORDS_APPLIED, 1);
}

#include "core/apply.h"

#include "core/dispatch.h"
#include "core/edits.h"
#include "core/limits.h"
#include "core/ownership.h"

static void
on_view(Board *board)
{
    const View *view = Board_View(board);

    board->usable_dirty = true;
    Counter_Add(&board->counters, COUNTER_VIEWS_APPLIED, 1);
    Board_Event(board, EVENT_VIEW, "seq %llu, epoch %llu, %u members",
                (unsigned long long)view->seq, (unsigned long long)view->epoch,
                view->members->len);
    if (Board_IsMember(board)) {
        board->joined = true;
    }
    else if (board->joined && !board->deposed &&
             (!board->draining || g_hash_table_size(board->active) > 0)) {
        board->deposed = true;
        Board_Event(board, EVENT_DEPOSED, "epoch %llu",
                    (unsigned long long)view->epoch);
    }
    Ownership_OnView(board);
    Limits_OnView(board);
    Dispatch_Run(board);
}

void
Apply_Record(Board *board, uint64_t offset, const char *record)
{
    Status status = {ERR_OK, ""};

    switch (Fold_Apply(board->fold, offset, record, &status)) {
    case FOLD_OLD:
    case FOLD_GAP:
        return;
    case FOLD_SKIPPED:
        Counter_Add(&board->counters, COUNTER_RECORDS_SKIPPED, 1);
        Board_Event(board, EVENT_RECORD_SKIPPED, "offset %llu: %s",
                    (unsigned long long)offset, status.message);
        return;
    case FOLD_VIEW_REFUSED:
        break;
    case FOLD_VIEW:
        on_view(board);
        break;
    case FOLD_EDIT:
        Board_Event(board, EVENT_EDIT, "offset %llu: %s",
                    (unsigned long long)offset, status.message);
        Edits_OnRecord(board);
        Dispatch_Run(board);
        break;
    case FOLD_EDIT_REFUSED:
        Board_Event(board, EVENT_EDIT_REFUSED, "offset %llu: %s",
                    (unsigned long long)offset, status.message);
        Edits_OnRecord(board);
        break;
    case FOLD_SNAPSHOT:
        board->snapshot_ms = board->now.mono_ms;
        Board_Event(board, EVENT_SNAPSHOT, "offset %llu",
                    (unsigned long long)offset);
        break;
    case FOLD_LOADED:
        board->snapshot_ms = board->now.mono_ms;
        on_view(board);
        Edits_OnRecord(board);
        break;
    }
    Counter_Add(&board->counters, COUNTER_RECORDS_APPLIED, 1);
}

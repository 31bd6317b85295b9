#include "core/drain.h"

#include "core/membership.h"

/* With the log unreachable, a shutdown whose jobs have ended is not done until
 * this time after its start. */
#define LOG_DOWN_TIMEOUT_MS 5000
#define RETRY_MS 500

void
Drain_Start(Blackboard *board)
{
    if (board->draining) {
        return;
    }
    board->draining = true;
    board->drain_ms = board->now.mono_ms;
    Blackboard_Event(board, EVENT_STOPPING, "%u jobs active",
                     g_hash_table_size(board->active));
}

/* Whether a caller or a peer still waits for an answer of this entry. */
static bool
has_waiters(const Blackboard *board)
{
    uint32_t i;

    if (g_hash_table_size(board->active) > 0 || board->edits->len > 0) {
        return true;
    }
    for (i = 0; i < Handle_RowCount(board->calls); i++) {
        const Call *call = Handle_ItemAt(board->calls, i);
        if (call != NULL && call->kind == MSG_SUBMIT) {
            return true;
        }
    }
    return false;
}

bool
Drain_IsClosed(const Blackboard *board)
{
    return board->draining && !Blackboard_IsMember(board);
}

bool
Drain_IsDone(const Blackboard *board)
{
    if (board->draining && board->deposed) {
        return true;
    }
    if (!board->draining || has_waiters(board)) {
        return false;
    }
    if (!Blackboard_IsMember(board)) {
        return true;
    }
    /* The log is down: the other entries learn of the stop from the host list
     * and recover started tasks from the companions. */
    return !board->log_up &&
           board->now.mono_ms - board->drain_ms > LOG_DOWN_TIMEOUT_MS;
}

void
Drain_Tick(Blackboard *board)
{
    if (!board->draining || !Blackboard_IsMember(board) ||
        board->now.mono_ms < board->drain_retry_ms) {
        return;
    }
    board->drain_retry_ms = board->now.mono_ms + RETRY_MS;
    if (Blackboard_IsOwner(board)) {
        Membership_ProposeSelf(board, "leave");
    }
    else if (!has_waiters(board)) {
        Membership_ProposeSelf(board, "remove");
    }
}

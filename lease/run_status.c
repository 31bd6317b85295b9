#include "lease/run_status.h"

const char *
RunStatus_Text(int status)
{
    static const char *const texts[RUN_STATUS_COUNT] = {
        [LC_RUN_DONE] = "done",           [LC_RUN_FAILED] = "failed",
        [LC_RUN_STOPPED] = "stopped",     [LC_RUN_LOST] = "lost",
        [LC_RUN_STALLED] = "stalled",     [LC_RUN_NO_ROOM] = "no_room",
        [LC_RUN_EXPIRED] = "expired",     [LC_RUN_DRAINING] = "draining",
        [LC_RUN_NOT_READY] = "not_ready", [LC_RUN_OTHER_NODE] = "other_node",
        [LC_RUN_REJECTED] = "rejected",   [LC_RUN_OLD] = "old",
        [LC_RUN_CLOSED] = "closed",       [LC_RUN_CRASHED] = "crashed",
    };

    if (status < 0 || status >= RUN_STATUS_COUNT) {
        return "unknown";
    }
    return texts[status];
}

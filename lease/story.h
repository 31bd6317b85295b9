/**
 * @file story.h
 * @brief What an entry decided about one job, in order, kept small until the
 * job ends and written in one log line.
 */
#ifndef LC_LEASE_STORY_H
#define LC_LEASE_STORY_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "base/address.h"
#include "wire/msg.h"

/** X(NAME, text): what was decided or learned. */
#define STORY_LIST(X)                                                         \
    X(SENT, "sent")       /* value: pace of the host in percent */            \
    X(ENDED, "ended")     /* value: status of the run */                      \
    X(ADRIFT, "adrift")   /* the connection broke */                          \
    X(HALTED, "halted")   /* its stop was asked for */                        \
    X(EXPIRED, "expired") /* its lease is certainly over */                   \
    X(REBORN, "reborn")   /* its companion began anew */

/** Kinds of item, in the order of STORY_LIST. */
typedef enum {
#define X(name, text) STORY_##name,
    STORY_LIST(X)
#undef X
        STORY_COUNT
} Story_What;

/** Longest story; what comes after is counted. */
#define STORY_MOST 160

/** Opaque story. */
typedef struct Story Story;

Story *Story_New(int64_t now_ms);
void Story_Free(Story *story);

/** Adds an item about a run at a host. */
void Story_Add(Story *story, int64_t now_ms, Story_What what,
               const lc_run_id *run, Address host, int32_t value);

/** Items as [ms, what, "STEP.INDEX", run, host, value]; the caller owns the
 * result. */
json_t *Story_ToJson(const Story *story);

#endif

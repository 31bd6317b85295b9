/**
 * @file forward_choice.h
 * @brief Whether a job is better handed to another entry than started from
 * here, by what either puts on this entry's link.
 *
 * For the load of one entry whose callers want more than its link carries
 * while others have room: a job that goes to several hosts, or whose starts
 * are refused and sent again, costs its spec each time; handed on it costs the
 * spec once.
 */
#ifndef LC_LEASE_FORWARD_CHOICE_H
#define LC_LEASE_FORWARD_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "lease/active.h"

/** On the wire, as wire/levercove.x encodes them: a call that starts tasks
 * without rows and spec, and each of its rows. */
#define FORWARD_CHOICE_START_BYTES 100
#define FORWARD_CHOICE_ROW_BYTES 36

/** Starts and refusals of the last while. A plain value. */
typedef struct {
    int64_t since_ms;
    uint32_t starts;
    uint32_t refused;
    uint32_t sends_percent; /**< of a start until it is taken, at least 100 */
} ForwardChoice_Sends;

/** Notes starts that were sent, or one that was refused. */
void ForwardChoice_NoteStarts(ForwardChoice_Sends *sends, int64_t now_ms,
                              uint32_t starts);
void ForwardChoice_NoteRefused(ForwardChoice_Sends *sends);

/** Bytes that starting the job's waiting tasks is expected to take, if the
 * best host has room as @p largest. */
int64_t ForwardChoice_KeptBytes(const ForwardChoice_Sends *sends,
                                const Active_Job *job,
                                const lc_resources *largest);

/** Bytes that handing it on takes. */
int64_t ForwardChoice_ForwardBytes(const Active_Job *job);

/** Whether it is handed on. */
bool ForwardChoice_IsBetter(int64_t kept_bytes, int64_t forward_bytes);

#endif

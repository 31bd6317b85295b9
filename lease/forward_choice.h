/**
 * @file forward_choice.h
 * @brief Decides whether to forward a job to another entry instead of starting
 * its tasks from here, by the bytes that either puts on this entry's link.
 *
 * This helps an entry whose callers submit more than its link carries while
 * other entries have headroom: a job that goes to several hosts, or whose
 * starts are refused and sent again, costs its spec each time; forwarded it
 * costs the spec once.
 */
#ifndef LC_LEASE_FORWARD_CHOICE_H
#define LC_LEASE_FORWARD_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "lease/active_job.h"

/** Encoded sizes by wire/levercove.x, in bytes: a call that starts tasks,
 * without its rows and spec, and each of its rows. */
#define FORWARD_CHOICE_START_BYTES 100
#define FORWARD_CHOICE_ROW_BYTES 36

/** Starts and refusals in the current period, and the ratio of the last one.
 * A plain value. */
typedef struct {
    int64_t since_ms;
    uint32_t starts;
    uint32_t refused;
    uint32_t sends_percent; /**< sends per accepted start in percent, at least
                                 100 */
} ForwardChoice_Sends;

/** Count starts that were sent, and one that was refused. */
void ForwardChoice_CountStarts(ForwardChoice_Sends *sends, int64_t now_ms,
                               uint32_t starts);
void ForwardChoice_CountRefused(ForwardChoice_Sends *sends);

/** Expected bytes for starting the job's waiting tasks from here, if the
 * largest free room of a host is @p largest. */
int64_t ForwardChoice_LocalBytes(const ForwardChoice_Sends *sends,
                                 const Active_Job *job,
                                 const lc_resources *largest);

/** Bytes for forwarding the job. */
int64_t ForwardChoice_ForwardBytes(const Active_Job *job);

/** Whether the job should be forwarded. */
bool ForwardChoice_IsBetter(int64_t local_bytes, int64_t forward_bytes);

#endif

#include "lease/forward_choice.h"

#include "lease/resources.h"

#define PERCENT 100
/* Period over which refusals are counted. */
#define PERIOD_MS 500
/* Upper bound of the sends per accepted start, in percent. */
#define MAX_SENDS_PERCENT 400
/* Encoded sizes, in bytes: a forwarded job without its spec and steps, and
 * each of its steps. */
#define FORWARD_BYTES 150
#define STEP_BYTES 48
/* Forwarding adds a hop to the latency of the job and load to another entry:
 * it has to save at least this part of the bytes that the job costs here. */
#define MIN_SAVED_PERCENT 20

void
ForwardChoice_CountStarts(ForwardChoice_Sends *sends, int64_t now_ms,
                          uint32_t starts)
{
    if (now_ms - sends->since_ms >= PERIOD_MS) {
        uint32_t accepted = sends->starts > sends->refused
                                ? sends->starts - sends->refused
                                : 1;
        sends->sends_percent = CLAMP(sends->starts * PERCENT / accepted,
                                     PERCENT, MAX_SENDS_PERCENT);
        sends->since_ms = now_ms;
        sends->starts = 0;
        sends->refused = 0;
    }
    sends->starts += starts;
}

void
ForwardChoice_CountRefused(ForwardChoice_Sends *sends)
{
    sends->refused++;
}

/* Number of calls that start the job's waiting tasks, if each takes as many
 * tasks as fit into @p largest by the need of the first waiting task. */
static uint32_t
start_calls(const Active_Job *job, const lc_resources *largest)
{
    uint32_t i;

    for (i = 0; i < job->task_count; i++) {
        const Active_Task *task = &job->tasks[i];
        uint32_t fits;
        if (task->state != ACTIVE_WAITING) {
            continue;
        }
        fits = MAX(Resources_CountFits(&Active_Step(job, task)->need, largest),
                   1);
        return job->waiting / fits + (job->waiting % fits != 0);
    }
    return 0;
}

int64_t
ForwardChoice_LocalBytes(const ForwardChoice_Sends *sends,
                         const Active_Job *job, const lc_resources *largest)
{
    int64_t spec = (int64_t)job->spec_bytes;
    int64_t bytes = start_calls(job, largest) *
                        (FORWARD_CHOICE_START_BYTES + spec) +
                    (int64_t)FORWARD_CHOICE_ROW_BYTES * job->waiting;

    return bytes * MAX(sends->sends_percent, PERCENT) / PERCENT;
}

int64_t
ForwardChoice_ForwardBytes(const Active_Job *job)
{
    return FORWARD_BYTES + (int64_t)job->spec_bytes +
           (int64_t)STEP_BYTES * job->spec.step_count;
}

bool
ForwardChoice_IsBetter(int64_t local_bytes, int64_t forward_bytes)
{
    return forward_bytes * PERCENT <=
           local_bytes * (PERCENT - MIN_SAVED_PERCENT);
}

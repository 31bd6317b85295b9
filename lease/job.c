#include "lease/job.h"

#include <string.h>

void
LeasedJob_Clear(LeasedJob *job)
{
    g_free(job->spec);
    g_free(job->steps);
    memset(job, 0, sizeof(*job));
}

uint32_t
LeasedJob_TaskCount(const LeasedJob *job)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < job->step_count; i++) {
        count += job->steps[i].count;
    }
    return count;
}

uint32_t
LeasedJob_OccurrenceCount(const LeasedJob *job)
{
    return MAX(job->repeat_count, 1);
}

int64_t
LeasedJob_DueMs(const LeasedJob *job, uint32_t occurrence)
{
    if (job->repeat_count == 0) {
        return INT64_MIN;
    }
    return job->start_at_ms + (int64_t)occurrence * job->interval_ms;
}

uint32_t
LeasedJob_TaskNumber(const LeasedJob *job, const lc_run_id *id)
{
    uint32_t number = id->occurrence * LeasedJob_TaskCount(job) + id->index;
    uint32_t i;

    for (i = 0; i < id->step && i < job->step_count; i++) {
        number += job->steps[i].count;
    }
    return number;
}

uint32_t
LeasedJob_RecordedEndNumber(const LeasedJob *job, const lc_run_id *id)
{
    if (id->step < job->step_count && job->steps[id->step].long_running) {
        return UINT32_MAX;
    }
    return LeasedJob_TaskNumber(job, id);
}

uint32_t
LeasedJob_CriticalPathMs(const LeasedJob *job)
{
    uint32_t path_ms[LEASED_JOB_MAX_STEPS] = {0};
    uint32_t longest_ms = 0;
    uint32_t i;
    uint32_t j;

    for (i = 0; i < job->step_count; i++) {
        for (j = 0; j < i; j++) {
            if ((job->steps[i].depends_on >> j & 1) != 0) {
                path_ms[i] = MAX(path_ms[i], path_ms[j]);
            }
        }
        path_ms[i] += job->steps[i].estimate_ms;
        longest_ms = MAX(longest_ms, path_ms[i]);
    }
    return longest_ms;
}

static const char *
unsupported_feature(const LeasedJob *job)
{
    uint32_t i;

    if (job->repeat_count > 0 && !job->needs_durability) {
        return "jobs at set times that need not be kept";
    }
    for (i = 0; i < job->step_count; i++) {
        if (job->steps[i].gang) {
            return "tasks that only work together";
        }
        if (job->steps[i].fills) {
            return "tasks that take what others leave";
        }
        if (job->steps[i].long_running && !job->needs_durability) {
            return "tasks that last and need not be kept";
        }
    }
    return NULL;
}

Err_Kind
LeasedJob_CheckSupported(const LeasedJob *job, Status *status)
{
    const char *feature = unsupported_feature(job);

    if (feature != NULL) {
        return Err_Set(status, ERR_UNSUPPORTED, "not served yet: %s", feature);
    }
    return ERR_OK;
}

#include "lease/run_id.h"

#include <inttypes.h>

guint
RunId_Hash(const void *id)
{
    const lc_run_id *run = id;

    return (guint)(run->job ^ run->job >> 32) + run->step * 1000003U +
           run->index * 8191U + run->run * 31U + run->occurrence;
}

bool
RunId_SameTask(const lc_run_id *a, const lc_run_id *b)
{
    return a->job == b->job && a->occurrence == b->occurrence &&
           a->step == b->step && a->index == b->index;
}

gboolean
RunId_Equal(const void *a, const void *b)
{
    const lc_run_id *left = a;
    const lc_run_id *right = b;

    return RunId_SameTask(left, right) && left->run == right->run;
}

void
RunId_FormatJob(uint64_t job, char text[RUN_ID_JOB_SIZE])
{
    g_snprintf(text, RUN_ID_JOB_SIZE, "%016" PRIx64, job);
}

bool
RunId_IsDurable(const lc_run_id *id)
{
    return id->run > RUN_ID_DURABLE_BASE;
}

#include "lease/job_wire.h"

#include <string.h>

void
JobWire_Encode(const LeasedJob *job, lc_forward_args *args)
{
    uint32_t i;

    args->job = job->id;
    args->spec = job->spec;
    args->steps.steps_len = job->step_count;
    args->steps.steps_val = g_new0(lc_step, job->step_count);
    for (i = 0; i < job->step_count; i++) {
        const LeasedJob_Step *step = &job->steps[i];
        lc_step *row = &args->steps.steps_val[i];
        row->count = step->count;
        row->need = step->need;
        row->estimate_ms = step->estimate_ms;
        row->depends_on = step->depends_on;
        row->most_together = step->most_together;
        row->requirement = (char *)(uintptr_t)step->requirement;
        row->affinity = (char *)(uintptr_t)step->affinity;
    }
}

static bool
is_step_valid(const lc_step *row, u_int index, uint64_t tasks)
{
    uint64_t earlier = ((uint64_t)1 << index) - 1;

    return row->count > 0 && tasks <= LEASED_JOB_MAX_TASKS &&
           (row->depends_on & ~earlier) == 0;
}

static void
read_step(const lc_step *row, LeasedJob_Step *step)
{
    step->count = row->count;
    step->need = row->need;
    step->estimate_ms = row->estimate_ms;
    step->depends_on = row->depends_on;
    step->most_together = row->most_together;
    g_strlcpy(step->requirement, row->requirement, sizeof(step->requirement));
    g_strlcpy(step->affinity, row->affinity, sizeof(step->affinity));
}

Err_Kind
JobWire_Decode(const lc_forward_args *args, LeasedJob *job, Status *status)
{
    uint64_t tasks = 0;
    u_int i;

    memset(job, 0, sizeof(*job));
    job->id = args->job;
    if (args->steps.steps_len == 0) {
        return Err_Set(status, ERR_BAD_REQUEST, "the job has no steps");
    }
    job->step_count = args->steps.steps_len;
    job->steps = g_new0(LeasedJob_Step, job->step_count);
    job->spec = g_strdup(args->spec);
    for (i = 0; i < job->step_count; i++) {
        const lc_step *row = &args->steps.steps_val[i];
        tasks += row->count;
        if (!is_step_valid(row, i, tasks)) {
            LeasedJob_Clear(job);
            return Err_Set(status, ERR_BAD_REQUEST,
                           "step %u: invalid task count or dependencies", i);
        }
        read_step(row, &job->steps[i]);
    }
    return ERR_OK;
}

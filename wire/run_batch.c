#include "wire/run_batch.h"

#include <string.h>

void
RunBatch_DecodeRow(const lc_runs_args *runs, u_int index, Msg_Call *run)
{
    const lc_runs_row *row = &runs->rows.rows_val[index];
    lc_run_args *args = &run->u.run;

    memset(run, 0, sizeof(*run));
    run->kind = MSG_RUN;
    args->owner = runs->owner;
    args->target = runs->target;
    args->valid_until_ms = runs->valid_until_ms;
    args->closures_as_of = runs->closures_as_of;
    args->id.job = runs->job;
    args->id.occurrence = row->occurrence;
    args->id.step = row->step;
    args->id.index = row->index;
    args->id.run = row->run;
    args->need = row->need;
    args->estimate_ms = row->estimate_ms;
    args->crashes = row->crashes;
    args->spec = runs->spec;
}

void
RunBatch_EncodeRow(const lc_run_args *run, lc_runs_row *row)
{
    row->occurrence = run->id.occurrence;
    row->step = run->id.step;
    row->index = run->id.index;
    row->run = run->id.run;
    row->need = run->need;
    row->estimate_ms = run->estimate_ms;
    row->crashes = run->crashes;
}

/**
 * @file run_batch.h
 * @brief Conversion between the rows of a RUNS call, which starts several
 * tasks of one job, and RUN calls.
 */
#ifndef LC_WIRE_RUN_BATCH_H
#define LC_WIRE_RUN_BATCH_H

#include "wire/msg.h"

/** Converts row @p index to a RUN call, whose spec is borrowed from @p runs.
 */
void RunBatch_DecodeRow(const lc_runs_args *runs, u_int index, Msg_Call *run);

/** Converts the arguments of a RUN call to a row. */
void RunBatch_EncodeRow(const lc_run_args *run, lc_runs_row *row);

#endif

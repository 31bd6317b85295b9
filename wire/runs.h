/**
 * @file runs.h
 * @brief A RUNS call and the RUN calls that its rows stand for.
 */
#ifndef LC_WIRE_RUNS_H
#define LC_WIRE_RUNS_H

#include "wire/msg.h"

/** Fills in the RUN of row @p index; its spec is borrowed from @p runs. */
void Runs_Get(const lc_runs_args *runs, u_int index, Msg_Call *run);

/** Fills in the row that stands for a RUN. */
void Runs_Put(const lc_run_args *run, lc_runs_row *row);

#endif

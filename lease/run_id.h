/**
 * @file run_id.h
 * @brief Run identifiers: hashing and comparison for GLib tables, text form,
 * and the numbering of runs of durable jobs.
 */
#ifndef LC_LEASE_RUN_ID_H
#define LC_LEASE_RUN_ID_H

#include <glib.h>

#include "wire/msg.h"

/** Buffer size of the text form of a job ID, including the NUL. */
#define RUN_ID_JOB_SIZE 20

/** Runs of durable jobs are numbered from here, others below, so that a
 * companion that finds the end of a run can tell whether its job is durable.
 */
#define RUN_ID_DURABLE_BASE 1024
/** Each owner of a durable job numbers its runs from a multiple of this. */
#define RUN_ID_OWNER_STEP 1024

/** Whether a run belongs to a durable job. */
bool RunId_IsDurable(const lc_run_id *id);

/** Formats a job ID in hexadecimal, as callers write it. */
void RunId_FormatJob(uint64_t job, char text[RUN_ID_JOB_SIZE]);

/** Hash function for lc_run_id keys. */
guint RunId_Hash(const void *id);

/** Equality function for lc_run_id keys. */
gboolean RunId_Equal(const void *a, const void *b);

/** Whether both are runs of the same task; the run number is ignored. */
bool RunId_SameTask(const lc_run_id *a, const lc_run_id *b);

#endif

/**
 * @file run_id.h
 * @brief Names of runs as keys of GLib tables, and as text for people.
 */
#ifndef LC_LEASE_RUN_ID_H
#define LC_LEASE_RUN_ID_H

#include <glib.h>

#include "wire/msg.h"

/** Size of the text of a job with its NUL. */
#define RUN_ID_JOB_SIZE 20

/** Runs of kept jobs are numbered from here, others below: so a companion that
 * finds the end of a run tells the kind of its job. */
#define RUN_ID_KEPT_BASE 1024
/** Each owner of a kept job numbers its runs from a multiple of this. */
#define RUN_ID_OWNER_STEP 1024

/** Whether a run is of a kept job. */
bool RunId_IsKept(const lc_run_id *id);

/** Writes a job's identity in hexadecimal, as callers write it. */
void RunId_FormatJob(uint64_t job, char text[RUN_ID_JOB_SIZE]);

/** Hash of a lc_run_id. */
guint RunId_Hash(const void *id);

/** Equality of lc_run_id. */
gboolean RunId_Equal(const void *a, const void *b);

/** Whether both name the same task, whichever run. */
bool RunId_SameTask(const lc_run_id *a, const lc_run_id *b);

#endif

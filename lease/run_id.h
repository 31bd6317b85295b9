/**
 * @file run_id.h
 * @brief Names of runs as keys of GLib tables, and as text for people.
 */
#ifndef LC_LEASE_RUN_ID_H
#define LC_LEASE_RUN_ID_H

#include <glib.h>

#include "wire/msg.h"

/** Longest text of a name with its NUL. */
#define RUN_ID_TEXT_SIZE 72

/** Hash of a lc_run_id. */
guint RunId_Hash(const void *id);

/** Equality of lc_run_id. */
gboolean RunId_Equal(const void *a, const void *b);

/** Whether both name the same task, whichever run. */
bool RunId_SameTask(const lc_run_id *a, const lc_run_id *b);

/** Writes "JOB.OCCURRENCE.STEP.INDEX run RUN", the job in hexadecimal. */
void RunId_Format(const lc_run_id *id, char text[RUN_ID_TEXT_SIZE]);

#endif

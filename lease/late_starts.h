/**
 * @file late_starts.h
 * @brief Starts that an upstream may execute late, and an entry's table of
 * those of leased jobs, as companions list them.
 *
 * Each companion lists at most LC_MAX_LATE_STARTS. Lists are kept by the
 * companion's incarnation: its next one does not know what was sent before.
 * Times are monotonic, in ms.
 */
#ifndef LC_LEASE_LATE_STARTS_H
#define LC_LEASE_LATE_STARTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/msg.h"

/** A start that the upstream of a companion may still execute. */
typedef struct {
    lc_run_id id;
    lc_node companion;
    int64_t until_ms;
} LateStart;

/** Opaque table. */
typedef struct LateStarts LateStarts;

LateStarts *LateStarts_New(void);
void LateStarts_Free(LateStarts *self);

/** Replaces a companion's list. A list that is not newer than the known one is
 * ignored; returns whether it was applied. */
bool LateStarts_Replace(LateStarts *self, int64_t now_ms,
                        const lc_node *companion, uint32_t version,
                        const lc_late_start *rows, uint32_t count);

/** Adds a start that no companion has listed. */
void LateStarts_Add(LateStarts *self, int64_t now_ms, const LateStart *late);

/** Version of a companion's list; 0 if none is known. */
uint32_t LateStarts_Version(const LateStarts *self, const lc_node *companion);

/** The starts of a job's tasks, as LateStart; some may have expired. NULL if
 * there are none. Valid until the table changes. */
const GArray *LateStarts_OfJob(const LateStarts *self, uint64_t job);

/** Removes lists that have expired. */
void LateStarts_RemoveExpired(LateStarts *self, int64_t now_ms);

/** Number of companions whose lists are known. */
uint32_t LateStarts_ListCount(const LateStarts *self);

#endif

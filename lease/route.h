/**
 * @file route.h
 * @brief The table of queues that operators set: which requests belong to
 * which queue, the service that runs its tasks, and its policy.
 *
 * A table is never changed: a newer one takes its place. Errors: BAD_RECORD.
 */
#ifndef LC_LEASE_ROUTE_H
#define LC_LEASE_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lease/job.h"

/** One queue. Texts are owned by the table. */
typedef struct {
    char *name;
    char *authority;   /**< host name that its requests are sent to */
    char *path_prefix; /**< with its final slash */
    char *service;
    int32_t priority; /**< 0 comes first */
    uint32_t max_attempts;
    uint32_t timeout_ms;
    uint32_t target_ms;       /**< allowed beyond the stretched work */
    uint32_t stretch_percent; /**< of the longest chain of work */
    bool advised;             /**< starts need tickets of an adviser */
} Route;

/** All queues of one version. */
typedef struct {
    int64_t version;
    GPtrArray *routes;     /**< Route */
    GHashTable *by_prefix; /**< host name in small letters with the prefix ->
                              Route; made by the first search */
    GArray *lengths;       /**< of all prefixes, the longest first */
    uint32_t body_bytes;   /**< longest body of a request */
    char *source;          /**< the record it was read from, for peers */
    size_t source_length;
} Route_Table;

Route_Table *Route_NewTable(int64_t version);

/** Adds an empty queue; the table owns it. */
Route *Route_Add(Route_Table *table);

void Route_FreeTable(Route_Table *table);

/** Whether jobs of this kind are served in this queue. Errors: UNSUPPORTED
 * with the part that is not. */
Err_Kind Route_Check(const Route *route, const LeasedJob *job, Status *status);

/** Time from handing a job in within which its answer has its whole worth, in
 * ms. */
int64_t Route_ObjectiveMs(const Route *route, const LeasedJob *job);

/** Queue of that name, or NULL. */
const Route *Route_Named(const Route_Table *table, const char *name);

/** Queue with the longest prefix of @p path at @p authority (a port behind
 * it is passed over), or NULL. */
const Route *Route_Find(Route_Table *table, const char *authority,
                        const char *path);

#endif

/**
 * @file route_table.h
 * @brief The route table that operators configure: which requests belong to
 * which queue, the service that runs the queue's tasks, and its policy.
 *
 * A table in use is never changed, except that the first search builds its
 * index: a newer table replaces it as a whole. Errors: BAD_RECORD.
 */
#ifndef LC_LEASE_ROUTE_TABLE_H
#define LC_LEASE_ROUTE_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lease/job.h"

/** Longest request body unless the operators set another length, in bytes. */
#define ROUTE_DEFAULT_BODY_BYTES 262144

/** One queue. Strings are owned by the table. */
typedef struct {
    char *name;
    char *authority;   /**< host name that its requests are sent to */
    char *path_prefix; /**< including the final slash */
    char *service;
    int32_t priority; /**< 0 is the highest */
    uint32_t max_attempts;
    uint32_t timeout_ms;
    uint32_t target_ms;       /**< added to the stretched critical path */
    uint32_t stretch_percent; /**< percentage of a job's critical path */
    bool needs_ticket;        /**< starts need an admission ticket */
} Route;

/** All queues of one version. */
typedef struct {
    int64_t version;
    GPtrArray *routes;      /**< Route */
    GHashTable *by_prefix;  /**< lower-case host name followed by the prefix ->
                               Route; built by the first search */
    GArray *prefix_lengths; /**< distinct lengths of prefixes, descending */
    uint32_t body_bytes;    /**< maximum length of a request body */
    char *source;           /**< the record it was read from, for peers */
    size_t source_length;
} Route_Table;

Route_Table *Route_NewTable(int64_t version);

/** Adds an empty queue; the table owns it. */
Route *Route_Add(Route_Table *table);

void Route_FreeTable(Route_Table *table);

/** Whether the queue can serve @p job. Errors: UNSUPPORTED, with the feature
 * that is not supported. */
Err_Kind Route_CheckJob(const Route *route, const LeasedJob *job,
                        Status *status);

/** Latency objective of the job in ms, from its submission: an answer within
 * it has its full value. */
int64_t Route_ObjectiveMs(const Route *route, const LeasedJob *job);

/** Queue of that name, or NULL. */
const Route *Route_FindByName(const Route_Table *table, const char *name);

/** Queue with the longest prefix of @p path at @p authority (a port in it is
 * ignored), or NULL. */
const Route *Route_FindByPrefix(Route_Table *table, const char *authority,
                                const char *path);

#endif

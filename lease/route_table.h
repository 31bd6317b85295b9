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
#include "lease/queue_ref.h"

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
    uint64_t address;         /**< QueueRef_Digest of its host and prefix; set
                                   by the first search */
} Route;

/** All queues of one version. */
typedef struct {
    int64_t version;
    GPtrArray *routes;      /**< Route */
    GHashTable *by_prefix;  /**< lower-case host name followed by the prefix ->
                               Route; built by the first search */
    GHashTable *by_address; /**< Route.address -> Route */
    GHashTable *by_name;    /**< name -> the first Route of that name */
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

/** By what a reference to a queue was resolved. */
typedef enum {
    ROUTE_MATCH_NONE,
    ROUTE_MATCH_ADDRESS, /**< a queue has the same host and prefix, whatever
                              its name */
    ROUTE_MATCH_NAME     /**< no queue has that address, but one has the name:
                              its host or prefix has changed */
} Route_Match;

/** The match in words, for log lines. */
const char *Route_MatchText(Route_Match match);

/** Finds the queue to which jobs and requests that refer to @p queue belong;
 * NULL if none has its address or its name. The address goes first, as it is
 * what the caller holds. Sets @p match unless that is NULL; @p table may be
 * NULL. */
const Route *Route_FindQueue(Route_Table *table, const QueueRef *queue,
                             Route_Match *match);

/** Whether a request that refers to @p a is about a job that refers to @p b:
 * both hold the same address, or belong to the same queue, which may have
 * several hosts. If neither queue exists, their names are compared. */
bool Route_IsSameQueue(Route_Table *table, const QueueRef *a,
                       const QueueRef *b);

/** Reference to a queue; the name is borrowed. */
QueueRef Route_Reference(const Route *route);

/** Queue with the longest prefix of @p path at @p authority (a port in it is
 * ignored), or NULL. */
const Route *Route_FindByPrefix(Route_Table *table, const char *authority,
                                const char *path);

#endif

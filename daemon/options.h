/**
 * @file options.h
 * @brief Settings of `levercoved`, read from a JSON file and validated.
 */
#ifndef LC_DAEMON_OPTIONS_H
#define LC_DAEMON_OPTIONS_H

#include <stdbool.h>

#include "base/settings.h"

/** All settings, for both roles; times (_ms) in milliseconds. The members'
 * names are the keys of the settings file. */
typedef struct {
    const char *file; /**< the settings file */
    char role[SETTING_TEXT_SIZE];
    char hall[SETTING_TEXT_SIZE];
    char order[SETTING_TEXT_SIZE];
    char placement[SETTING_TEXT_SIZE];
    char jobs[SETTING_TEXT_SIZE]; /**< "owned" by key, or "leased" */
    Address rpc;        /**< where peers call; also this process's identity */
    Address rpc_listen; /**< local address to listen on if it differs from
                           rpc, or 0 */
    Address admin;      /**< where operators read state and metrics (HTTP) */
    Address callers;    /**< where callers send jobs (HTTP); entry only */
    Address log;        /**< the log service; entry only */
    Address hosts;      /**< the host list; entry only */
    Address upstream;   /**< the companion's upstream; companion only */
    Address ready;      /**< where the load balancer checks readiness; leased,
                           entry only */
    Address beats;      /**< where the upstream sends heartbeats; leased,
                           companion only */
    Address store; /**< the platform's store, which holds the routes; leased,
                      required for an entry */
    Setting_Addresses seeds; /**< hosts of entries; their ports are
                                  ignored. Leased only */
    int64_t slots;
    int64_t log_poll_ms;
    int64_t hosts_poll_ms;
    int64_t evidence_ms;
    int64_t skew_ms;
    int64_t window_ms;
    int64_t ping_entry_ms;
    int64_t ping_companion_ms;
    int64_t suspect_ms;
    int64_t patience_ms;
    int64_t inventory_ms;
    int64_t hosts_lag_ms;
    int64_t snapshot_ms;
    int64_t snapshot_records;
    int64_t task_timeout_ms;
    int64_t grant_ms;
    int64_t resubmit_ms; /**< least time before a caller submits a job again */
    int64_t keep_ms; /**< outcomes of durable jobs are retained this long */
    int64_t hold_max_ms;
    int64_t late_ms; /**< longest time from sending an order that gets no
                        answer to its execution by the upstream */
    int64_t stop_ms;
    int64_t beat_ms;
    int64_t close_ms; /**< from this long after operators have closed a hall,
                         no task starts in it */
    int64_t grace_ms; /**< from the request of a shutdown to the kill */
    int64_t max_jobs;
    int64_t memory_mb; /**< memory that the process may use, MB */
    int64_t max_files; /**< descriptors that it may use, if its limit of open
                          files is no lower */
    double link_mbps;  /**< capacity of the host's link, Mbit/s; 0: unknown */
    int64_t max_answer_bytes;
    int64_t max_records;
    int64_t max_result_bytes;
} Options;

/**
 * Reads and validates a file. Returns ERR_OK, or ERR_BAD_SETTINGS with one
 * line per error in @p errors, which the caller frees with g_free in either
 * case. @p options keeps the pointer @p file.
 */
Err_Kind Options_Load(const char *file, Options *options, char **errors);

/** Whether jobs are leased (run by the entry that received them) rather than
 * owned by key. */
bool Options_IsLeased(const Options *options);

#endif

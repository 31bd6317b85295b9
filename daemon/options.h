/**
 * @file options.h
 * @brief Settings of `levercoved`, read from a JSON file and checked whole.
 */
#ifndef LC_DAEMON_OPTIONS_H
#define LC_DAEMON_OPTIONS_H

#include <stdbool.h>

#include "base/settings.h"

/** All settings, for both roles; times in ms. */
typedef struct {
    const char *file; /**< the settings file */
    char role[SETTING_TEXT_SIZE];
    char hall[SETTING_TEXT_SIZE];
    char order[SETTING_TEXT_SIZE];
    char placement[SETTING_TEXT_SIZE];
    char jobs[SETTING_TEXT_SIZE]; /**< "owned" by key, or "leased" */
    Address rpc;                  /**< where peers call; names this process */
    Address rpc_listen; /**< if calls arrive at another address here, or 0 */
    Address admin;      /**< where operators read state and metrics */
    Address callers;    /**< where callers send jobs; entry only */
    Address log;        /**< the log service; entry only */
    Address hosts;      /**< the host list; entry only */
    Address upstream;   /**< the upstream; companion only */
    Address ready;      /**< where the balancer asks; leased, entry only */
    Address beats; /**< where the upstream beats; leased, companion only */
    Address store; /**< holds the routes; leased, entry only */
    Setting_Addresses seeds; /**< hosts of entries; their ports are passed
                                  over. Leased only */
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
    int64_t resubmit_ms; /**< least time before a caller sends again */
    int64_t keep_ms;     /**< outcomes of kept jobs are known for so long */
    int64_t hold_max_ms;
    int64_t late_ms; /**< longest time from sending an unanswered order to its
                          execution */
    int64_t stop_ms;
    int64_t beat_ms;
    int64_t close_ms; /**< no task starts in a hall so long after operators
                         have closed it */
    int64_t grace_ms; /**< from the planned stop to the kill */
    int64_t max_jobs;
    double link_mbps; /**< of the host's link, Mbit/s; 0: not known */
    int64_t max_answer_bytes;
    int64_t max_records;
    int64_t max_result_bytes;
} Options;

/**
 * Reads and checks a file. Returns ERR_OK, or ERR_BAD_SETTINGS with one line
 * per error in @p errors (free with g_free).
 */
Err_Kind Options_Load(const char *file, Options *options, char **errors);

/** Whether jobs are leased: run by the entry that received them, not kept. */
bool Options_IsLeased(const Options *options);

#endif

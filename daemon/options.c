#include "daemon/options.h"

#include <glib.h>
#include <string.h>

#include "wire/levercove.h"

#define DAY_MS 86400000
#define MAX_LINK_MBPS 1000000
#define MAX_LIMIT_BYTES (4LL * 1024 * 1024 * 1024)

#define ADDRESS(name, required)                                               \
    {                                                                         \
#name, SETTING_ADDRESS, offsetof(Options, name), (required), 0, 0,    \
            NULL                                                              \
    }
#define TEXT(name, required, choices)                                         \
    {                                                                         \
#name, SETTING_TEXT, offsetof(Options, name), (required), 0, 0,       \
            (choices)                                                         \
    }
#define GROUP(name)                                                           \
    {                                                                         \
        (name), SETTING_OBJECT, 0, 0, 0, 0, NULL                              \
    }
/* NOLINTBEGIN(bugprone-macro-parentheses): the literals are joined. */
#define INTEGER(group, name, min, max)                                        \
    {                                                                         \
        group #name, SETTING_INTEGER, offsetof(Options, name), 0, (min),      \
            (max), NULL                                                       \
    }
#define NUMBER(group, name, min, max)                                         \
    {                                                                         \
        group #name, SETTING_NUMBER, offsetof(Options, name), 0, (min),       \
            (max), NULL                                                       \
    }
/* NOLINTEND(bugprone-macro-parentheses) */

static const Setting option_table[] = {
    TEXT(role, 1, "entry|companion"),
    TEXT(hall, 1, NULL),
    ADDRESS(rpc, 1),
    ADDRESS(rpc_listen, 0),
    ADDRESS(admin, 1),
    ADDRESS(callers, 0),
    ADDRESS(log, 0),
    ADDRESS(hosts, 0),
    ADDRESS(upstream, 0),
    ADDRESS(ready, 0),
    ADDRESS(beats, 0),
    ADDRESS(store, 0),
    {"seeds", SETTING_ADDRESSES, offsetof(Options, seeds), 0, 0, 0, NULL},
    TEXT(jobs, 0, "owned|leased"),
    INTEGER("", slots, 1, 4096),
    TEXT(order, 0, "fifo|fewest_remaining|response_ratio"),
    TEXT(placement, 0, "random|two_choices|grants"),
    GROUP("times"),
    INTEGER("times.", log_poll_ms, 10, 5000),
    INTEGER("times.", hosts_poll_ms, 10, 60000),
    INTEGER("times.", evidence_ms, 100, 60000),
    INTEGER("times.", skew_ms, 0, 60000),
    INTEGER("times.", window_ms, 1000, DAY_MS),
    INTEGER("times.", ping_entry_ms, 10, 10000),
    INTEGER("times.", ping_companion_ms, 10, 60000),
    INTEGER("times.", suspect_ms, 100, 60000),
    INTEGER("times.", patience_ms, 100, 600000),
    INTEGER("times.", inventory_ms, 100, 60000),
    INTEGER("times.", hosts_lag_ms, 0, 3600000),
    INTEGER("times.", snapshot_ms, 1000, DAY_MS),
    INTEGER("times.", task_timeout_ms, 100, 3600000),
    INTEGER("times.", grant_ms, 10, 10000),
    INTEGER("times.", resubmit_ms, 500, 600000),
    INTEGER("times.", keep_ms, 1000, 604800000),
    INTEGER("times.", hold_max_ms, 100, 60000),
    INTEGER("times.", stop_ms, 0, 10000),
    INTEGER("times.", beat_ms, 10, 60000),
    INTEGER("times.", late_ms, 0, 600000),
    INTEGER("times.", close_ms, 500, 600000),
    INTEGER("times.", grace_ms, 500, 600000),
    GROUP("limits"),
    INTEGER("limits.", snapshot_records, 1, 1000000),
    /* One SETTLE message lists all keys that an entry holds. */
    INTEGER("limits.", max_jobs, 1, LC_MAX_KEYS),
    INTEGER("limits.", memory_mb, 16, 1048576),
    INTEGER("limits.", max_files, 32, 1048576),
    NUMBER("limits.", link_mbps, 0, MAX_LINK_MBPS),
    INTEGER("limits.", max_answer_bytes, 0, MAX_LIMIT_BYTES),
    INTEGER("limits.", max_records, 1, 100000000),
    INTEGER("limits.", max_result_bytes, 0, MAX_LIMIT_BYTES),
    {NULL, SETTING_OBJECT, 0, 0, 0, 0, NULL},
};

static void
set_defaults(Options *options)
{
    memset(options, 0, sizeof(*options));
    g_strlcpy(options->order, "response_ratio", sizeof(options->order));
    g_strlcpy(options->placement, "grants", sizeof(options->placement));
    g_strlcpy(options->jobs, "owned", sizeof(options->jobs));
    options->resubmit_ms = 1300;
    options->keep_ms = 120000;
    options->hold_max_ms = 1000;
    options->stop_ms = 50;
    options->beat_ms = 1500;
    options->late_ms = 13000;
    options->grace_ms = 6000;
    options->close_ms = 5000;
    options->slots = 8;
    options->log_poll_ms = 250;
    options->hosts_poll_ms = 1000;
    options->evidence_ms = 3000;
    options->skew_ms = 2000;
    options->window_ms = 600000;
    options->ping_entry_ms = 1000;
    options->ping_companion_ms = 10000;
    options->suspect_ms = 3000;
    options->patience_ms = 10000;
    options->inventory_ms = 2000;
    options->hosts_lag_ms = 60000;
    options->snapshot_ms = 600000;
    options->snapshot_records = 500;
    options->task_timeout_ms = 30000;
    options->grant_ms = 250;
    options->max_jobs = 200000;
    options->memory_mb = 128;
    options->max_files = 1048576;
    options->max_answer_bytes = 24LL * 1024 * 1024;
    options->max_records = 100000;
    options->max_result_bytes = 16LL * 1024 * 1024;
}

static void
require_address(GString *errors, const char *file, const char *role,
                const char *name, Address address)
{
    if (address == 0) {
        g_string_append_printf(errors, "%s: %s: missing, role %s needs it\n",
                               file, name, role);
    }
}

static void
check_leased(const Options *options, const char *file, GString *errors)
{
    if (strcmp(options->role, "entry") == 0) {
        require_address(errors, file, "entry", "callers", options->callers);
        require_address(errors, file, "entry", "ready", options->ready);
        require_address(errors, file, "entry", "store", options->store);
    }
    else if (strcmp(options->role, "companion") == 0) {
        require_address(errors, file, "companion", "upstream",
                        options->upstream);
        require_address(errors, file, "companion", "beats", options->beats);
    }
}

static void
check_role(const Options *options, const char *file, GString *errors)
{
    if (Options_IsLeased(options)) {
        check_leased(options, file, errors);
        return;
    }
    if (strcmp(options->role, "entry") == 0) {
        require_address(errors, file, "entry", "callers", options->callers);
        require_address(errors, file, "entry", "log", options->log);
        require_address(errors, file, "entry", "hosts", options->hosts);
    }
    else if (strcmp(options->role, "companion") == 0) {
        require_address(errors, file, "companion", "upstream",
                        options->upstream);
    }
    if (options->suspect_ms < 2 * options->ping_entry_ms) {
        g_string_append_printf(errors,
                               "%s: times.suspect_ms: expected at least twice "
                               "times.ping_entry_ms (%lld)\n",
                               file, (long long)options->ping_entry_ms);
    }
}

bool
Options_IsLeased(const Options *options)
{
    return strcmp(options->jobs, "leased") == 0;
}

Err_Kind
Options_Load(const char *file, Options *options, char **errors)
{
    GString *all_errors;
    char *format_errors;

    set_defaults(options);
    options->file = file;
    Settings_Load(file, option_table, options, &format_errors);
    all_errors = g_string_new(format_errors);
    g_free(format_errors);
    check_role(options, file, all_errors);
    *errors = g_string_free(all_errors, FALSE);
    return (*errors)[0] == '\0' ? ERR_OK : ERR_BAD_SETTINGS;
}

#include "lease/fleet.h"

#include <string.h>

static void
free_host(gpointer item)
{
    Fleet_Host *host = item;

    g_free(host->hall);
    g_free(host->service);
    g_free(host->instance);
    g_strfreev(host->labels);
    g_array_unref(host->unsettled);
    g_free(host);
}

void
Fleet_Init(Fleet *fleet)
{
    fleet->hosts = g_ptr_array_new_with_free_func(free_host);
    fleet->by_address = g_hash_table_new(g_int64_hash, g_int64_equal);
}

void
Fleet_Clear(Fleet *fleet)
{
    g_hash_table_unref(fleet->by_address);
    g_ptr_array_unref(fleet->hosts);
}

Fleet_Host *
Fleet_Find(const Fleet *fleet, Address address)
{
    return g_hash_table_lookup(fleet->by_address, &address);
}

static Fleet_Host *
add_host(Fleet *fleet, int64_t now_ms, const lc_node *node)
{
    Fleet_Host *host = g_new0(Fleet_Host, 1);

    host->node = *node;
    host->first_heard_ms = now_ms;
    host->pace_percent = 100;
    host->unsettled = g_array_new(FALSE, FALSE, sizeof(lc_run_id));
    g_ptr_array_add(fleet->hosts, host);
    g_hash_table_insert(fleet->by_address, &host->node.address, host);
    return host;
}

static void
replace_text(char **text_inout, const char *text)
{
    if (g_strcmp0(*text_inout, text) != 0) {
        g_free(*text_inout);
        *text_inout = g_strdup(text);
    }
}

static void
update_labels(Fleet_Host *host, const lc_report_args *report)
{
    u_int count = report->labels.labels_len;
    u_int i;

    g_strfreev(host->labels);
    host->labels = g_new0(char *, count + 1);
    for (i = 0; i < count; i++) {
        host->labels[i] = g_strdup(report->labels.labels_val[i]);
    }
}

static void
begin_incarnation(Fleet_Host *host, int64_t now_ms, const lc_node *node)
{
    host->node = *node;
    host->first_heard_ms = now_ms;
    host->stamp_ms = 0;
    host->valid_until_ms = 0;
    host->hold_sent_ms = 0;
    host->renew_call_id = 0;
    host->renew_sent_ms = 0;
    host->suspect = false;
    host->halt_failed = false;
    host->avoid_until_ms = 0;
}

static Fleet_Change
compare_incarnation(const Fleet_Host *host, const lc_report_args *report)
{
    if (host->node.incarnation == report->host.node.incarnation) {
        return FLEET_SAME_INCARNATION;
    }
    if (report->host.node.incarnation < host->node.incarnation ||
        report->host.state == LC_UPSTREAM_ABSENT) {
        return FLEET_STALE;
    }
    return FLEET_RESTARTED;
}

Fleet_Change
Fleet_ApplyReport(Fleet *fleet, int64_t now_ms, const lc_report_args *report,
                  Fleet_Host **host_out)
{
    Fleet_Host *host = Fleet_Find(fleet, report->host.node.address);
    Fleet_Change change = FLEET_NEW;

    if (host == NULL) {
        host = add_host(fleet, now_ms, &report->host.node);
    }
    else {
        change = compare_incarnation(host, report);
    }
    *host_out = host;
    if (change == FLEET_STALE) {
        return change;
    }
    if (change == FLEET_RESTARTED) {
        begin_incarnation(host, now_ms, &report->host.node);
    }
    replace_text(&host->hall, report->hall);
    replace_text(&host->service, report->service);
    replace_text(&host->instance, report->instance);
    update_labels(host, report);
    host->capacity = report->capacity;
    host->next_ms = report->next_ms;
    host->late_ms = report->late_ms;
    host->reported_ms = now_ms;
    Fleet_ApplyState(host, now_ms, &report->host);
    return change;
}

bool
Fleet_ApplyState(Fleet_Host *host, int64_t now_ms, const lc_host_state *state)
{
    if (state->node.incarnation != host->node.incarnation) {
        return false;
    }
    if (state->stamp_ms < host->stamp_ms) {
        return true; /* arrived after a newer one */
    }
    if (host->state != LC_UPSTREAM_ABSENT || host->received_ms == 0) {
        host->absent_since_ms = now_ms;
    }
    host->stamp_ms = state->stamp_ms;
    host->received_ms = now_ms;
    host->state = state->state;
    host->room = state->room;
    host->pace_percent = state->pace_percent;
    host->held = state->held;
    host->held_long = state->held_long;
    host->suspect = false;
    return true;
}

int64_t
Fleet_ExtendHold(Fleet_Host *host, const LeaseTiming *timing, int64_t now_ms)
{
    int64_t until = LeaseTiming_ValidUntil(timing, host->stamp_ms,
                                           host->received_ms, now_ms);

    host->valid_until_ms = MAX(host->valid_until_ms, until);
    host->hold_sent_ms = now_ms;
    return host->valid_until_ms;
}

int64_t
Fleet_CertainEnd(const Fleet_Host *host, const LeaseTiming *timing)
{
    return host->hold_sent_ms == 0
               ? 0
               : LeaseTiming_CertainEnd(timing, host->hold_sent_ms);
}

bool
Fleet_IsHeardBefore(const Fleet_Host *host, int64_t time_ms)
{
    return host->first_heard_ms < time_ms;
}

bool
Fleet_HasLabel(const Fleet_Host *host, const char *label)
{
    return label[0] == '\0' ||
           (host->labels != NULL &&
            g_strv_contains((const char *const *)host->labels, label));
}

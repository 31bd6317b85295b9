#include "daemon/owned_entry.h"

#include <glib.h>
#include <string.h>

#include "core/entry.h"
#include "core/placement.h"
#include "daemon/owned_jobs_api.h"
#include "daemon/process.h"
#include "daemon/table_api.h"
#include "platform/hosts_client.h"
#include "platform/log_client.h"

#define PLATFORM_TIMEOUT_MS 2000

typedef struct {
    Process process; /* first, see Process */
    Entry *entry;
    HttpClient *http;
    Http_Server *callers;
    Log_Client log;
    Hosts_Client hosts;
    uv_timer_t log_timer;
    uv_timer_t hosts_timer;
    int64_t read_sent_ms;
    bool reading;
    bool hosts_up;
} owned_entry;

static void
port_answer(void *context, uint64_t request, const Node_Answer *answer)
{
    owned_entry *self = context;

    OwnedJobsApi_Answer(self->callers, request, answer);
}

static void
port_edited(void *context, uint64_t request, const Status *status,
            uint64_t version)
{
    owned_entry *self = context;

    TableApi_Edited(self->callers, request, status, version);
}

static void read_log(owned_entry *self);

static void
on_log_timer(uv_timer_t *timer)
{
    read_log(timer->data);
}

static void
on_append(void *context, uint64_t append_id, bool confirmed)
{
    owned_entry *self = context;

    Entry_OnAppend(self->entry, Process_Now(), append_id, confirmed);
    if (!self->reading) {
        /* A record takes effect only when it is read back: read at once. */
        uv_timer_start(&self->log_timer, on_log_timer, 1, 0);
    }
}

static void
port_append(void *context, uint64_t append_id, const char *record)
{
    owned_entry *self = context;

    self->log.functions->append(self->log.self, append_id, record, on_append,
                                self);
}

static const Node_Ports entry_ports = {
    .call = Process_PortCall,
    .reply = Process_PortReply,
    .reset = Process_PortReset,
    .answer = port_answer,
    .append = port_append,
    .edited = port_edited,
    .event = Process_PortEvent,
};

static void
new_entry(owned_entry *self, const Options *options)
{
    Node_Time now = Process_Now();
    Entry_Config config = Entry_Defaults(Process_NewNode(options));

    config.evidence_ms = options->evidence_ms;
    config.skew_ms = options->skew_ms;
    config.window_ms = options->window_ms;
    config.ping_entry_ms = options->ping_entry_ms;
    config.ping_companion_ms = options->ping_companion_ms;
    config.suspect_ms = options->suspect_ms;
    config.patience_ms = options->patience_ms;
    config.inventory_ms = options->inventory_ms;
    config.hosts_lag_ms = options->hosts_lag_ms;
    config.snapshot_ms = options->snapshot_ms;
    config.snapshot_records = (uint32_t)options->snapshot_records;
    config.task_timeout_ms = (uint32_t)options->task_timeout_ms;
    config.max_jobs = (uint32_t)options->max_jobs;
    config.max_answer_bytes = (size_t)options->max_answer_bytes;
    config.order = Group_OrderFromText(options->order);
    config.placement = Placement_FromText(options->placement);
    self->entry = Entry_New(&config, &entry_ports, self, now);
}

static void
on_log(void *context, const Log_Read *read)
{
    owned_entry *self = context;
    const Options *options = self->process.options;
    Entry_LogRead in;
    uint64_t pause_ms = (uint64_t)options->log_poll_ms;

    self->reading = false;
    if (read == NULL) {
        Entry_OnLog(self->entry, Process_Now(), NULL);
    }
    else {
        in.asked_ms = self->read_sent_ms;
        in.first = read->first;
        in.next = read->next;
        in.records = read->records;
        in.count = read->count;
        Entry_OnLog(self->entry, Process_Now(), &in);
        if (read->count > 0 && Entry_NextLogOffset(self->entry) < read->next) {
            pause_ms = 0;
        }
    }
    uv_timer_start(&self->log_timer, on_log_timer, pause_ms, 0);
}

static void
read_log(owned_entry *self)
{
    self->reading = true;
    self->read_sent_ms = Process_Now().mono_ms;
    self->log.functions->read(self->log.self, Entry_NextLogOffset(self->entry),
                              on_log, self);
}

static void
set_hosts_up(owned_entry *self, bool up)
{
    if (self->hosts_up != up) {
        self->hosts_up = up;
        Event_Log(up ? EVENT_HOSTS_UP : EVENT_HOSTS_DOWN, "%s",
                  Address_Text(self->process.options->hosts));
    }
}

static void
on_hosts(void *context, const Hosts_Row *rows, uint32_t count)
{
    owned_entry *self = context;
    GArray *hosts = g_array_new(TRUE, FALSE, sizeof(Membership_Host));
    uint32_t i;

    set_hosts_up(self, rows != NULL);
    for (i = 0; rows != NULL && i < count; i++) {
        Membership_Host host = {rows[i].address, rows[i].role,
                                rows[i].leaving};
        g_array_append_val(hosts, host);
    }
    if (rows != NULL) {
        Entry_OnHosts(self->entry, Process_Now(),
                      (const Membership_Host *)(const void *)hosts->data,
                      count);
    }
    g_array_unref(hosts);
}

static void
on_hosts_timer(uv_timer_t *timer)
{
    owned_entry *self = timer->data;

    self->hosts.functions->read(self->hosts.self, on_hosts, self);
}

/*
 * This entry is no longer in the view: replaces it with a new incarnation that
 * has empty state, unless the process is stopping anyway.
 */
static void
start_new_incarnation(owned_entry *self)
{
    Status status = {ERR_OK, ""};

    Entry_AbandonCallers(self->entry, Process_Now());
    if (self->process.stopping) {
        return;
    }
    Entry_Free(self->entry);
    new_entry(self, self->process.options);
    if (Process_ReopenRpc(&self->process, &status) != ERR_OK) {
        Event_Log(EVENT_LISTEN_FAILED, "%s", status.message);
        self->process.exit_code = Err_ExitCode(ERR_IO);
        uv_stop(self->process.loop);
    }
}

static void
role_tick(Process *process)
{
    owned_entry *self = (owned_entry *)process;

    Entry_Tick(self->entry, Process_Now());
    if (Entry_IsClosed(self->entry)) {
        HttpServer_StopListening(self->callers);
    }
    if (Entry_IsDeposed(self->entry)) {
        start_new_incarnation(self);
    }
}

static void
role_drain(Process *process)
{
    Entry_Drain(((owned_entry *)process)->entry, Process_Now());
}

static bool
role_is_drained(const Process *process)
{
    const owned_entry *self = (const owned_entry *)process;

    return Entry_IsDrained(self->entry) &&
           HttpServer_UnansweredCount(self->callers) == 0;
}

static json_t *
role_dump(const Process *process)
{
    return Entry_Dump(((const owned_entry *)process)->entry);
}

static Counters *
role_counters(Process *process)
{
    return Entry_Counters(((owned_entry *)process)->entry);
}

static bool
role_call(Process *process, uint64_t reply_id, const Msg_Call *call)
{
    owned_entry *self = (owned_entry *)process;

    return Entry_OnCall(self->entry, Process_Now(), reply_id, call);
}

static void
role_reply(Process *process, uint64_t call_id, const Msg_Reply *reply)
{
    owned_entry *self = (owned_entry *)process;

    Entry_OnReply(self->entry, Process_Now(), call_id, reply);
}

static const Process_Role entry_role = {
    role_tick,     role_drain, role_is_drained, role_dump,
    role_counters, NULL,       role_call,       role_reply,
};

static void
serve_post_job(void *context, const HttpServer_Request *request)
{
    owned_entry *self = context;

    OwnedJobsApi_Post(self->callers, self->entry, Process_Now(), request);
}

static void
serve_get_job(void *context, const HttpServer_Request *request)
{
    owned_entry *self = context;

    OwnedJobsApi_Get(self->callers, self->entry, Process_Now(), request);
}

static void
serve_table(void *context, const HttpServer_Request *request)
{
    owned_entry *self = context;

    TableApi_ServeAll(self->callers, self->entry, request);
}

static void
serve_row(void *context, const HttpServer_Request *request)
{
    owned_entry *self = context;

    TableApi_ServeRow(self->callers, self->entry, Process_Now(), request);
}

static const HttpServer_Route caller_routes[] = {
    {"/v1/jobs", serve_post_job},
    {"/v1/jobs/", serve_get_job},
    {"/v1/table", serve_table},
    {"/v1/table/groups/", serve_row},
    {NULL, NULL},
};

static void
start_timers(owned_entry *self, uv_loop_t *loop, const Options *options)
{
    uv_timer_init(loop, &self->log_timer);
    self->log_timer.data = self;
    uv_timer_start(&self->log_timer, on_log_timer, 0, 0);
    uv_timer_init(loop, &self->hosts_timer);
    self->hosts_timer.data = self;
    uv_timer_start(&self->hosts_timer, on_hosts_timer, 0,
                   (uint64_t)options->hosts_poll_ms);
}

int
OwnedEntry_Run(const Options *options)
{
    owned_entry *self = g_new0(owned_entry, 1);
    uv_loop_t *loop = uv_default_loop();
    HttpServer_Limits limits = {.max_body_bytes = HTTP_MAX_BODY_BYTES};
    Status status = {ERR_OK, ""};
    int code = Err_ExitCode(ERR_IO);

    self->http = HttpClient_New(loop);
    self->log = Log_OverHttp(self->http, options->log, PLATFORM_TIMEOUT_MS);
    self->hosts = Hosts_OverHttp(self->http, options->hosts,
                                 PLATFORM_TIMEOUT_MS);
    new_entry(self, options);
    self->process.clients = Process_NewClientLimits(options);
    if (Process_Open(&self->process, loop, options, &entry_role, &status) !=
        ERR_OK) {
        goto done;
    }
    limits.clients = self->process.clients;
    self->callers = HttpServer_NewLimited(loop, options->callers, &limits,
                                          caller_routes, self, &status);
    if (self->callers == NULL) {
        goto done;
    }
    start_timers(self, loop, options);
    code = Process_Run(&self->process);
done:
    if (status.kind != ERR_OK) {
        Event_Log(EVENT_LISTEN_FAILED, "%s", status.message);
    }
    self->hosts.functions->free(self->hosts.self);
    self->log.functions->free(self->log.self);
    Entry_Free(self->entry);
    /* `self` is not freed: it holds the loop's handles, and the process ends
     * here. */
    return code;
}

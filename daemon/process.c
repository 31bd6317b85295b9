#include "daemon/process.h"

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#include "base/clock.h"
#include "base/version.h"

/* A drained process keeps running this long, so that answers that have been
 * written still reach their callers. */
#define EXIT_DELAY_MS 300
/* Clients hold at most one part in this many of the process's memory. */
#define CLIENT_MEMORY_SHARE 4
#define BYTES_PER_MB ((size_t)1024 * 1024)
/* One part in this many of the process's descriptors is kept for its own
 * connections and files. */
#define OWN_FILES_SHARE 3
#define MIN_OWN_FILES 48
#define MIN_CLIENTS 16
#define NS_PER_MS 1000000
#define US_PER_S 1000000
#define NS_PER_US 1000

Node_Time
Process_Now(void)
{
    struct timespec wall;
    Node_Time now;

    clock_gettime(CLOCK_REALTIME, &wall);
    now.mono_ms = Clock_NowMs();
    now.wall_ms = (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / NS_PER_MS;
    return now;
}

lc_node
Process_NewNode(const Options *options)
{
    struct timespec wall;
    lc_node node;

    clock_gettime(CLOCK_REALTIME, &wall);
    node.address = options->rpc;
    node.incarnation = (uint64_t)wall.tv_sec * US_PER_S +
                       (uint64_t)wall.tv_nsec / NS_PER_US;
    return node;
}

void
Process_PortCall(void *process, Address to, uint64_t call_id,
                 const Msg_Call *call)
{
    Rpc_Call(((Process *)process)->rpc, to, call_id, call);
}

void
Process_PortRuns(void *process, Address to, const uint64_t *call_ids,
                 const lc_runs_args *runs)
{
    Rpc_CallRuns(((Process *)process)->rpc, to, call_ids, runs);
}

void
Process_PortReply(void *process, uint64_t reply_id, const Msg_Reply *reply)
{
    Rpc_Reply(((Process *)process)->rpc, reply_id, reply);
}

void
Process_PortReset(void *process, Address to)
{
    Rpc_Disconnect(((Process *)process)->rpc, to);
}

void
Process_PortEvent(void *process, Event_Id id, const char *detail)
{
    (void)process;
    Event_Log(id, "%s", detail);
}

void
Process_PortEventFields(void *process, Event_Id id, json_t *fields)
{
    (void)process;
    Event_Write(id, fields);
}

static void
on_call(void *context, uint64_t reply_id, const Msg_Call *call)
{
    Process *process = context;

    if (!process->role->call(process, reply_id, call)) {
        Rpc_Refuse(process->rpc, reply_id);
    }
}

static void
on_reply(void *context, uint64_t call_id, const Msg_Reply *reply)
{
    Process *process = context;

    process->role->reply(process, call_id, reply);
}

static void
serve_state(void *context, const HttpServer_Request *request)
{
    Process *process = context;
    json_t *state = process->role->dump(process);
    char *text;
    HttpServer_Response response = {.status = 200};

    json_object_set_new(state, "hall", json_string(process->options->hall));
    json_object_set_new(state, "build", json_string(version_build_id));
    text = json_dumps(state, JSON_INDENT(2));
    /* NULL if a name that another process has told is not UTF-8. */
    response.body = text == NULL ? "{}" : text;
    response.length = strlen(response.body);
    HttpServer_Respond(process->admin, request->id, &response);
    free(text);
    json_decref(state);
}

static void
print_traffic(GString *out, const char *name, const uint64_t *counts)
{
    int i;

    for (i = 0; i < MSG_COUNT; i++) {
        g_string_append_printf(
            out, "levercove_%s{kind=\"%s\"} %" G_GUINT64_FORMAT "\n", name,
            Msg_Name((Msg_Kind)i), counts[i]);
    }
}

static void
serve_metrics(void *context, const HttpServer_Request *request)
{
    Process *process = context;
    const Rpc_Traffic *traffic = Rpc_GetTraffic(process->rpc);
    GString *out = g_string_new(NULL);
    HttpServer_Response response = {.status = 200, .type = "text/plain"};

    Counter_Print(process->role->counters(process), out);
    if (process->role->metrics != NULL) {
        process->role->metrics(process, out);
    }
    ClientLimits_Print(process->clients, out);
    print_traffic(out, "calls_sent", traffic->calls_out);
    print_traffic(out, "calls_received", traffic->calls_in);
    print_traffic(out, "replies_sent", traffic->replies_out);
    print_traffic(out, "replies_received", traffic->replies_in);
    print_traffic(out, "call_bytes_sent", traffic->call_bytes_out);
    print_traffic(out, "reply_bytes_sent", traffic->reply_bytes_out);
    response.body = out->str;
    response.length = out->len;
    HttpServer_Respond(process->admin, request->id, &response);
    g_string_free(out, TRUE);
}

ClientLimits *
Process_NewClientLimits(const Options *options)
{
    int64_t files = options->max_files;
    int64_t own_files;
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
        limit.rlim_cur < (rlim_t)files) {
        files = (int64_t)limit.rlim_cur;
    }
    own_files = MAX(files / OWN_FILES_SHARE, MIN_OWN_FILES);
    return ClientLimits_New((size_t)options->memory_mb * BYTES_PER_MB /
                                CLIENT_MEMORY_SHARE,
                            (uint32_t)MAX(files - own_files, MIN_CLIENTS));
}

static const HttpServer_Route admin_routes[] = {
    {"/state", serve_state},
    {"/metrics", serve_metrics},
    {NULL, NULL},
};

static void
stop(const Process *process)
{
    Event_Log(EVENT_STOPPED, "%s", Address_Text(process->options->rpc));
    uv_stop(process->loop);
}

static void
stop_if_drained(Process *process)
{
    int64_t now_ms = Process_Now().mono_ms;

    if (process->stop_deadline_ms != 0 &&
        now_ms >= process->stop_deadline_ms) {
        stop(process);
        return;
    }
    if (!process->role->is_drained(process) ||
        Rpc_HasPendingWrites(process->rpc)) {
        process->drained_ms = 0;
        return;
    }
    if (process->drained_ms == 0) {
        process->drained_ms = now_ms;
    }
    if (now_ms - process->drained_ms >= EXIT_DELAY_MS) {
        stop(process);
    }
}

static void
on_tick(uv_timer_t *timer)
{
    Process *process = timer->data;

    process->role->tick(process);
    Event_Flush();
    stop_if_drained(process);
}

static void
on_signal(uv_signal_t *handle, int number)
{
    Process *process = handle->data;

    if (process->stopping) {
        Event_Log(EVENT_STOP_FORCED, "signal %d", number);
        process->exit_code = PROCESS_EXIT_FORCED;
        uv_stop(process->loop);
        return;
    }
    process->stopping = true;
    process->role->drain(process);
}

/* Nothing to do but log: settings that may change are re-read periodically. */
static void
on_hangup(uv_signal_t *handle, int number)
{
    const Process *process = handle->data;

    (void)number;
    Event_Log(EVENT_RELOAD, "%s", process->options->file);
}

Err_Kind
Process_ReopenRpc(Process *process, Status *status)
{
    static const Rpc_Handlers handlers = {on_call, on_reply};

    if (process->rpc != NULL) {
        Rpc_Close(process->rpc);
    }
    process->rpc = Rpc_New(process->loop, process->role->counters(process),
                           &handlers, process);
    Rpc_SetClientLimits(process->rpc, process->clients);
    return Rpc_Listen(process->rpc,
                      process->options->rpc_listen != 0
                          ? process->options->rpc_listen
                          : process->options->rpc,
                      status);
}

Err_Kind
Process_Open(Process *process, uv_loop_t *loop, const Options *options,
             const Process_Role *role, Status *status)
{
    HttpServer_Limits limits = {.max_body_bytes = HTTP_NO_BODY_BYTES};

    process->loop = loop;
    process->options = options;
    process->role = role;
    Event_UseStdout(Address_Text(options->rpc));
    if (Process_ReopenRpc(process, status) != ERR_OK) {
        return ERR_IO;
    }
    limits.clients = process->clients;
    process->admin = HttpServer_NewLimited(loop, options->admin, &limits,
                                           admin_routes, process, status);
    if (process->admin == NULL) {
        return ERR_IO;
    }
    uv_timer_init(loop, &process->tick);
    process->tick.data = process;
    uv_timer_start(&process->tick, on_tick, PROCESS_TICK_MS, PROCESS_TICK_MS);
    uv_signal_init(loop, &process->terminate);
    process->terminate.data = process;
    uv_signal_start(&process->terminate, on_signal, SIGTERM);
    uv_signal_init(loop, &process->interrupt);
    process->interrupt.data = process;
    uv_signal_start(&process->interrupt, on_signal, SIGINT);
    uv_signal_init(loop, &process->hangup);
    process->hangup.data = process;
    uv_signal_start(&process->hangup, on_hangup, SIGHUP);
    Event_Log(EVENT_STARTED, "%s %s in hall %s, build %s", options->role,
              Address_Text(options->rpc), options->hall, version_build_id);
    return ERR_OK;
}

int
Process_Run(Process *process)
{
    uv_run(process->loop, UV_RUN_DEFAULT);
    return process->exit_code;
}

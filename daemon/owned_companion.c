#include "daemon/owned_companion.h"

#include <glib.h>
#include <string.h>

#include "core/companion.h"
#include "daemon/process.h"
#include "platform/http_client.h"

#define MIN_ERROR_STATUS 500

typedef struct {
    Process process; /* first, see Process */
    Companion *companion;
    HttpClient *http;
} owned_companion;

/* A task that is running at the upstream. */
typedef struct {
    owned_companion *self;
    uint64_t run_id;
} pending_run;

static Companion_RunResult
run_result(const HttpClient_Answer *answer)
{
    switch (answer->end) {
    case HTTP_CLIENT_UNSENT:
        return COMPANION_RUN_UNREACHED;
    case HTTP_CLIENT_TIMEOUT:
        return COMPANION_RUN_TIMEOUT;
    case HTTP_CLIENT_ANSWERED:
        if (answer->status < MIN_ERROR_STATUS &&
            answer->length <= LC_MAX_PAYLOAD) {
            return COMPANION_RUN_DONE;
        }
        return COMPANION_RUN_FAILED;
    default:
        return COMPANION_RUN_FAILED;
    }
}

static void
on_run(void *context, const HttpClient_Answer *answer)
{
    pending_run *run = context;
    Companion_RunResult result = run_result(answer);
    bool done = result == COMPANION_RUN_DONE;

    Companion_OnRunEnd(run->self->companion, Process_Now(), run->run_id,
                       result, (uint32_t)answer->status,
                       done ? answer->body : NULL,
                       done ? (uint32_t)answer->length : 0);
    g_free(run);
}

static void
port_run(void *context, uint64_t run_id, const Node_Task *task)
{
    owned_companion *self = context;
    pending_run *run = g_new(pending_run, 1);
    HttpClient_Request request = {.to = self->process.options->upstream,
                                  .method = "POST",
                                  .path = "/run",
                                  .body = task->payload,
                                  .length = task->length,
                                  .timeout_ms = task->timeout_ms};
    char key[KEY_TEXT_LENGTH + 1];
    char headers[256];

    Key_Format(&task->key, key);
    g_snprintf(headers, sizeof(headers),
               "Levercove-Key: %s\r\nLevercove-Index: %u\r\n"
               "Levercove-Group: %s\r\n",
               key, task->index, task->group);
    request.headers = headers;
    run->self = self;
    run->run_id = run_id;
    HttpClient_Send(self->http, &request, on_run, run);
}

static const Node_Ports companion_ports = {
    .call = Process_PortCall,
    .reply = Process_PortReply,
    .reset = Process_PortReset,
    .run = port_run,
    .event = Process_PortEvent,
};

static void
role_tick(Process *process)
{
    Companion_Tick(((owned_companion *)process)->companion, Process_Now());
}

static void
role_drain(Process *process)
{
    Companion_Drain(((owned_companion *)process)->companion, Process_Now());
}

static bool
role_is_drained(const Process *process)
{
    return Companion_IsDrained(((const owned_companion *)process)->companion);
}

static json_t *
role_dump(const Process *process)
{
    return Companion_Dump(((const owned_companion *)process)->companion);
}

static Counters *
role_counters(Process *process)
{
    return Companion_Counters(((owned_companion *)process)->companion);
}

static bool
role_call(Process *process, uint64_t reply_id, const Msg_Call *call)
{
    owned_companion *self = (owned_companion *)process;

    return Companion_OnCall(self->companion, Process_Now(), reply_id, call);
}

static void
role_reply(Process *process, uint64_t call_id, const Msg_Reply *reply)
{
    owned_companion *self = (owned_companion *)process;

    Companion_OnReply(self->companion, Process_Now(), call_id, reply);
}

static const Process_Role companion_role = {
    role_tick,     role_drain, role_is_drained, role_dump,
    role_counters, NULL,       role_call,       role_reply,
};

static Companion *
new_companion(owned_companion *self, const Options *options)
{
    Node_Time now = Process_Now();
    Companion_Config config = Companion_Defaults(Process_NewNode(options));

    config.slots = (uint32_t)options->slots;
    config.grant_ms = options->grant_ms;
    config.window_ms = options->window_ms;
    config.skew_ms = options->skew_ms;
    config.max_records = (uint32_t)options->max_records;
    config.max_result_bytes = (size_t)options->max_result_bytes;
    return Companion_New(&config, &companion_ports, self, now);
}

int
OwnedCompanion_Run(const Options *options)
{
    owned_companion *self = g_new0(owned_companion, 1);
    uv_loop_t *loop = uv_default_loop();
    Status status = {ERR_OK, ""};
    int code = Err_ExitCode(ERR_IO);

    self->http = HttpClient_New(loop);
    self->companion = new_companion(self, options);
    self->process.clients = Process_NewClientLimits(options);
    if (Process_Open(&self->process, loop, options, &companion_role,
                     &status) != ERR_OK) {
        Event_Log(EVENT_LISTEN_FAILED, "%s", status.message);
        goto done;
    }
    code = Process_Run(&self->process);
done:
    Companion_Free(self->companion);
    /* `self` is not freed: it holds the loop's handles, and the process ends
     * here. */
    return code;
}

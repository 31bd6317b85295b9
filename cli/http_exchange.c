#include "cli/http_exchange.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "platform/http_client.h"

#define TIMEOUT_MS 600000
#define MIN_ERROR_STATUS 400

typedef struct {
    HttpExchange_Answer *answer;
    HttpClient_Outcome end;
} exchange_result;

static void
on_done(void *context, const HttpClient_Answer *answer)
{
    exchange_result *result = context;

    result->end = answer->end;
    result->answer->status = answer->status;
    result->answer->body = g_strndup(answer->body, answer->length);
    result->answer->length = answer->length;
    g_strlcpy(result->answer->etag, answer->etag,
              sizeof(result->answer->etag));
}

Err_Kind
HttpExchange_Perform(const HttpExchange_Request *request,
                     HttpExchange_Answer *answer, Status *status)
{
    static const char *const outcome_texts[] = {
        [HTTP_CLIENT_ANSWERED] = "",
        [HTTP_CLIENT_UNSENT] = "could not connect",
        [HTTP_CLIENT_EXPIRED] = "could not connect in time",
        [HTTP_CLIENT_DISCONNECTED] = "connection lost",
        [HTTP_CLIENT_TIMEOUT] = "request timed out",
    };
    static HttpClient *client;
    uv_loop_t *loop = uv_default_loop();
    HttpClient_Request sent = {.to = request->to,
                               .method = request->method,
                               .path = request->path,
                               .headers = request->headers,
                               .body = request->body,
                               .length = request->length,
                               .timeout_ms = TIMEOUT_MS};
    exchange_result result = {answer, HTTP_CLIENT_DISCONNECTED};

    if (client == NULL) {
        client = HttpClient_New(loop);
    }
    memset(answer, 0, sizeof(*answer));
    HttpClient_Send(client, &sent, on_done, &result);
    while (HttpClient_PendingCount(client) > 0) {
        uv_run(loop, UV_RUN_ONCE);
    }
    if (result.end != HTTP_CLIENT_ANSWERED) {
        return Err_Set(status, ERR_IO, "%s: %s", Address_Text(request->to),
                       outcome_texts[result.end]);
    }
    return ERR_OK;
}

Err_Kind
HttpExchange_Check(const HttpExchange_Answer *answer, Status *status)
{
    json_t *body;
    const char *error;
    const char *message;
    Err_Kind kind;

    if (answer->status < MIN_ERROR_STATUS) {
        return ERR_OK;
    }
    body = json_loadb(answer->body, answer->length, 0, NULL);
    error = json_string_value(json_object_get(body, "error"));
    message = json_string_value(json_object_get(body, "message"));
    kind = error == NULL ? ERR_COUNT : Err_FromText(error);
    if (kind == ERR_COUNT) {
        kind = ERR_IO;
    }
    Err_Set(status, kind, "%s: %s", error == NULL ? "error" : error,
            message == NULL ? "" : message);
    json_decref(body);
    return kind;
}

Err_Kind
HttpExchange_ReadState(const char *admin_address, HttpExchange_Answer *answer,
                       Status *status)
{
    HttpExchange_Request request = {.method = "GET", .path = "/state"};

    if (!Address_Parse(admin_address, &request.to)) {
        return Err_Set(status, ERR_BAD_REQUEST, "%s: expected IP:port",
                       admin_address);
    }
    return HttpExchange_Perform(&request, answer, status);
}

int
HttpExchange_PrintError(const Status *status)
{
    fprintf(stderr, "levercove: %s\n", status->message);
    return Err_ExitCode(status->kind);
}

void
HttpExchange_Clear(HttpExchange_Answer *answer)
{
    g_free(answer->body);
    answer->body = NULL;
}

#include "daemon/owned_jobs_api.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define MAX_DEADLINE_MS 86400000

/* A parsed request body; owns its payloads. */
typedef struct {
    json_t *document;
    GArray *payloads; /* lc_payload */
    Admission_Spec spec;
} parsed_job;

static void
clear_payload(gpointer item)
{
    g_free(((lc_payload *)item)->data.data_val);
}

static Err_Kind
parse_payload(const json_t *item, size_t index, lc_payload *payload,
              Status *status)
{
    const char *encoded = json_string_value(json_object_get(item, "base64"));
    gsize length = 0;

    if (json_is_string(item)) {
        length = json_string_length(item);
        payload->data.data_val = g_memdup2(json_string_value(item), length);
    }
    else if (encoded != NULL && json_object_size(item) == 1) {
        payload->data.data_val = (char *)g_base64_decode(encoded, &length);
    }
    else {
        return Err_Set(status, ERR_BAD_REQUEST,
                       "tasks[%zu]: expected a string or {\"base64\": ...}",
                       index);
    }
    payload->data.data_len = (u_int)length;
    if (length > LC_MAX_PAYLOAD) {
        return Err_Set(status, ERR_TOO_LARGE,
                       "tasks[%zu]: longer than %d bytes", index,
                       LC_MAX_PAYLOAD);
    }
    return ERR_OK;
}

static Err_Kind
parse_tasks(parsed_job *job, const json_t *list, Status *status)
{
    const json_t *item;
    size_t i;

    if (!json_is_array(list) || json_array_size(list) < 1 ||
        json_array_size(list) > LC_MAX_TASKS) {
        return Err_Set(status, ERR_BAD_REQUEST,
                       "tasks: expected an array of 1 to %d", LC_MAX_TASKS);
    }
    json_array_foreach(list, i, item)
    {
        lc_payload payload;
        Err_Kind kind;
        memset(&payload, 0, sizeof(payload));
        kind = parse_payload(item, i, &payload, status);
        g_array_append_val(job->payloads, payload);
        if (kind != ERR_OK) {
            return kind;
        }
    }
    job->spec.tasks = (const lc_payload *)(const void *)job->payloads->data;
    job->spec.count = job->payloads->len;
    return ERR_OK;
}

static Err_Kind
parse_members(parsed_job *job, Status *status)
{
    const json_t *repeatable = json_object_get(job->document, "repeatable");
    const json_t *deadline = json_object_get(job->document, "deadline_ms");
    const char *name;
    json_t *value;

    json_object_foreach(job->document, name, value)
    {
        if (strcmp(name, "group") != 0 && strcmp(name, "repeatable") != 0 &&
            strcmp(name, "deadline_ms") != 0 && strcmp(name, "tasks") != 0) {
            return Err_Set(status, ERR_BAD_REQUEST, "%s: unknown member",
                           name);
        }
    }
    job->spec.group = json_string_value(
        json_object_get(job->document, "group"));
    if (job->spec.group == NULL || !GroupTable_IsValidName(job->spec.group)) {
        return Err_Set(status, ERR_BAD_REQUEST,
                       "group: expected 1 to 64 of [A-Za-z0-9._-]");
    }
    if (!json_is_boolean(repeatable)) {
        return Err_Set(status, ERR_BAD_REQUEST,
                       "repeatable: expected true or false");
    }
    job->spec.repeatable = json_is_true(repeatable);
    if (deadline != NULL &&
        (!json_is_integer(deadline) || json_integer_value(deadline) < 1 ||
         json_integer_value(deadline) > MAX_DEADLINE_MS)) {
        return Err_Set(status, ERR_BAD_REQUEST,
                       "deadline_ms: expected an integer from 1 to %d",
                       MAX_DEADLINE_MS);
    }
    job->spec.deadline_ms = json_integer_value(deadline);
    return parse_tasks(job, json_object_get(job->document, "tasks"), status);
}

static Err_Kind
parse_job(parsed_job *job, const HttpServer_Request *request, Status *status)
{
    json_error_t error;

    memset(job, 0, sizeof(*job));
    job->payloads = g_array_new(FALSE, FALSE, sizeof(lc_payload));
    g_array_set_clear_func(job->payloads, clear_payload);
    job->document = json_loadb(request->body, request->length,
                               JSON_REJECT_DUPLICATES, &error);
    if (job->document == NULL) {
        return Err_Set(status, ERR_BAD_JSON, "line %d, column %d: %s",
                       error.line, error.column, error.text);
    }
    if (!json_is_object(job->document)) {
        return Err_Set(status, ERR_BAD_JSON, "expected an object");
    }
    return parse_members(job, status);
}

static void
clear_job(parsed_job *job)
{
    g_array_unref(job->payloads);
    json_decref(job->document);
}

void
OwnedJobsApi_Post(Http_Server *server, Entry *entry, Node_Time now,
                  const HttpServer_Request *request)
{
    Status status = {ERR_OK, ""};
    parsed_job job;

    if (strcmp(request->method, "POST") != 0) {
        HttpServer_RespondError(server, request->id, ERR_METHOD, "use POST",
                                0);
        return;
    }
    parse_job(&job, request, &status);
    if (status.kind == ERR_OK && request->idempotency_key == NULL) {
        job.spec.key = Entry_CreateKey(entry, now);
    }
    else if (status.kind == ERR_OK &&
             !Key_Parse(request->idempotency_key, &job.spec.key)) {
        Err_Set(&status, ERR_BAD_KEY,
                "Idempotency-Key: expected a UUID of version 7");
    }
    if (status.kind == ERR_OK) {
        Entry_Submit(entry, now, request->id, &job.spec);
    }
    else {
        HttpServer_RespondError(server, request->id, status.kind,
                                status.message, 0);
    }
    clear_job(&job);
}

void
OwnedJobsApi_Get(Http_Server *server, Entry *entry, Node_Time now,
                 const HttpServer_Request *request)
{
    Admission_Spec spec = {.look = true, .group = ""};

    if (strcmp(request->method, "GET") != 0) {
        HttpServer_RespondError(server, request->id, ERR_METHOD, "use GET", 0);
    }
    else if (!Key_Parse(request->rest, &spec.key)) {
        HttpServer_RespondError(server, request->id, ERR_BAD_KEY,
                                "expected a UUID of version 7", 0);
    }
    else {
        Entry_Submit(entry, now, request->id, &spec);
    }
}

static json_t *
result_to_json(const lc_result *result)
{
    json_t *item = json_pack("{s:i}", "code", (int)result->code);
    const char *data = result->data.data_val;
    size_t length = result->data.data_len;
    json_t *text = length == 0 ? json_string("") : json_stringn(data, length);
    char *encoded;

    if (text != NULL) {
        json_object_set_new(item, "text", text);
        return item;
    }
    encoded = g_base64_encode((const guchar *)data, length);
    json_object_set_new(item, "base64", json_string(encoded));
    g_free(encoded);
    return item;
}

static json_t *
answer_to_json(const Node_Answer *answer)
{
    char key[KEY_TEXT_LENGTH + 1];
    json_t *body;
    json_t *results;
    uint32_t i;

    Key_Format(&answer->key, key);
    body = json_pack("{s:s}", "key", key);
    if (answer->running) {
        json_object_set_new(body, "outcome", json_string("running"));
    }
    else if (answer->kind == ERR_OK) {
        results = json_array();
        for (i = 0; i < answer->count; i++) {
            json_array_append_new(results,
                                  result_to_json(&answer->results[i]));
        }
        json_object_set_new(body, "outcome", json_string("done"));
        json_object_set_new(body, "results", results);
    }
    else {
        json_object_set_new(
            body, "outcome",
            json_string(Err_OutcomeText(Err_Outcome(answer->kind))));
        json_object_set_new(body, "error",
                            json_string(Err_Text(answer->kind)));
        json_object_set_new(body, "message", json_string(answer->message));
    }
    if (answer->retry_ms > 0) {
        json_object_set_new(body, "retry_after_ms",
                            json_integer(answer->retry_ms));
    }
    return body;
}

void
OwnedJobsApi_Answer(Http_Server *server, uint64_t request,
                    const Node_Answer *answer)
{
    json_t *body = answer_to_json(answer);
    char *text = json_dumps(body, JSON_COMPACT);
    HttpServer_Response response = {
        .status = answer->running ? 202 : Err_HttpStatus(answer->kind),
        .retry_ms = answer->retry_ms,
        .body = text,
        .length = strlen(text),
    };

    HttpServer_Respond(server, request, &response);
    free(text);
    json_decref(body);
}

/*
 * Stand-in for the platform: serves the log service and the host list, and
 * injects faults on request.
 *
 * POST /control takes {"log": "up" or "down", "lose_confirmations": N,
 * "expire_before": OFFSET}; PUT /hosts replaces the host list.
 */

#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/http_server.h"

typedef struct {
    Http_Server *server;
    GPtrArray *records; /* texts; offset = index + 1 */
    uint64_t first;
    bool down;
    json_int_t lose_confirmations;
    json_t *hosts;
    uint64_t hosts_version;
} platform;

static void
respond(platform *self, const HttpServer_Request *request, int status,
        json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    HttpServer_Response response = {
        .status = status, .body = text, .length = strlen(text)};

    HttpServer_Respond(self->server, request->id, &response);
    free(text);
    json_decref(body);
}

static void
append_record(platform *self, const HttpServer_Request *request)
{
    g_ptr_array_add(self->records, g_strndup(request->body, request->length));
    if (self->lose_confirmations > 0) {
        self->lose_confirmations--;
        respond(self, request, 500, json_pack("{s:s}", "error", "lost"));
        return;
    }
    respond(self, request, 200,
            json_pack("{s:I}", "offset", (json_int_t)self->records->len));
}

static void
read_records(platform *self, const HttpServer_Request *request)
{
    const char *from_text = strstr(request->query, "from=");
    uint64_t from = from_text == NULL ? 1 : strtoull(from_text + 5, NULL, 10);
    json_t *list = json_array();
    uint64_t offset;

    for (offset = MAX(from, self->first); offset <= self->records->len;
         offset++) {
        json_array_append_new(
            list, json_pack("{s:I, s:s}", "offset", (json_int_t)offset, "data",
                            g_ptr_array_index(self->records, offset - 1)));
    }
    respond(self, request, 200,
            json_pack("{s:I, s:I, s:o}", "first", (json_int_t)self->first,
                      "next", (json_int_t)self->records->len + 1, "records",
                      list));
}

static void
serve_log(void *context, const HttpServer_Request *request)
{
    platform *self = context;

    if (self->down) {
        respond(self, request, 503, json_pack("{s:s}", "error", "down"));
    }
    else if (strcmp(request->method, "POST") == 0) {
        append_record(self, request);
    }
    else {
        read_records(self, request);
    }
}

static void
answer_hosts(platform *self, const HttpServer_Request *request)
{
    char *text = json_dumps(self->hosts, JSON_COMPACT);
    char etag[32];
    HttpServer_Response response = {
        .status = 200, .etag = etag, .body = text, .length = strlen(text)};

    g_snprintf(etag, sizeof(etag), "\"%" G_GUINT64_FORMAT "\"",
               self->hosts_version);
    if (request->if_none_match != NULL &&
        strcmp(request->if_none_match, etag) == 0) {
        response.status = 304;
        response.length = 0;
    }
    HttpServer_Respond(self->server, request->id, &response);
    free(text);
}

static void
serve_hosts(void *context, const HttpServer_Request *request)
{
    platform *self = context;
    json_t *body;

    if (strcmp(request->method, "PUT") == 0) {
        body = json_loadb(request->body, request->length, 0, NULL);
        if (body != NULL) {
            json_decref(self->hosts);
            self->hosts = body;
            self->hosts_version++;
        }
    }
    answer_hosts(self, request);
}

static void
serve_control(void *context, const HttpServer_Request *request)
{
    platform *self = context;
    json_t *body = json_loadb(request->body, request->length, 0, NULL);
    const char *log = json_string_value(json_object_get(body, "log"));
    const json_t *to_lose = json_object_get(body, "lose_confirmations");
    const json_t *expire = json_object_get(body, "expire_before");

    if (log != NULL) {
        self->down = strcmp(log, "down") == 0;
    }
    if (to_lose != NULL) {
        self->lose_confirmations = json_integer_value(to_lose);
    }
    if (expire != NULL) {
        self->first = (uint64_t)json_integer_value(expire);
    }
    json_decref(body);
    respond(self, request, 200, json_object());
}

static const HttpServer_Route routes[] = {
    {"/log", serve_log},
    {"/hosts", serve_hosts},
    {"/control", serve_control},
    {NULL, NULL},
};

int
main(int argc, char **argv)
{
    platform self = {.first = 1};
    Status status = {ERR_OK, ""};
    Address address;

    if (argc != 2 || !Address_Parse(argv[1], &address)) {
        fprintf(stderr, "usage: standin_platform IP:PORT\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    self.records = g_ptr_array_new();
    self.hosts = json_pack("{s:[]}", "hosts");
    self.server = HttpServer_New(uv_default_loop(), address, routes, &self,
                                 &status);
    if (self.server == NULL) {
        fprintf(stderr, "%s\n", status.message);
        return 1;
    }
    return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}

/*
 * Stand-in for an upstream. POST /run takes a payload {"ms": N, "status": N,
 * "echo": "..."}, waits for that many ms and answers with that status and
 * text; tasks beyond its slots are refused with status 599. GET /starts lists
 * all starts received, refused ones too, as lines "KEY INDEX"; GET /excess
 * returns the number of refused tasks; GET /usage lists the slot time in ms of
 * ended tasks by group.
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
    GString *starts;
    uint32_t slots;
    uint32_t running;
    uint32_t excess;
    GHashTable *usage; /* group -> ms of ended tasks */
} upstream;

typedef struct {
    uv_timer_t timer;
    upstream *self;
    uint64_t id;
    int status;
    char *echo;
    const char *group; /* interned */
    uint64_t length_ms;
} running_task;

static void
free_task(uv_handle_t *handle)
{
    running_task *task = handle->data;

    free(task->echo);
    g_free(task);
}

static void
on_task_end(uv_timer_t *timer)
{
    running_task *task = timer->data;
    HttpServer_Response response = {.status = task->status,
                                    .type = "text/plain",
                                    .body = task->echo,
                                    .length = strlen(task->echo)};

    task->self->running--;
    g_hash_table_insert(task->self->usage, (gpointer)task->group,
                        GSIZE_TO_POINTER(GPOINTER_TO_SIZE(g_hash_table_lookup(
                                             task->self->usage, task->group)) +
                                         task->length_ms));
    HttpServer_Respond(task->self->server, task->id, &response);
    uv_close((uv_handle_t *)timer, free_task);
}

static void
respond_text(upstream *self, const HttpServer_Request *request, int status,
             const char *text)
{
    HttpServer_Response response = {.status = status,
                                    .type = "text/plain",
                                    .body = text,
                                    .length = strlen(text)};

    HttpServer_Respond(self->server, request->id, &response);
}

static void
start_task(upstream *self, const HttpServer_Request *request,
           const json_t *payload)
{
    running_task *task = g_new0(running_task, 1);
    const json_t *status = json_object_get(payload, "status");
    const char *echo = json_string_value(json_object_get(payload, "echo"));

    task->self = self;
    task->id = request->id;
    task->status = status == NULL ? 200 : (int)json_integer_value(status);
    task->echo = strdup(echo == NULL ? "ok" : echo);
    self->running++;
    uv_timer_init(uv_default_loop(), &task->timer);
    task->timer.data = task;
    task->group = g_intern_string(request->levercove_group);
    task->length_ms = (uint64_t)json_integer_value(
        json_object_get(payload, "ms"));
    uv_timer_start(&task->timer, on_task_end, task->length_ms, 0);
}

static void
serve_run(void *context, const HttpServer_Request *request)
{
    upstream *self = context;
    json_t *payload = json_loadb(request->body, request->length, 0, NULL);

    g_string_append_printf(self->starts, "%s %s\n", request->levercove_key,
                           request->levercove_index);
    if (self->running >= self->slots) {
        self->excess++;
        respond_text(self, request, 599, "more tasks than slots");
    }
    else {
        start_task(self, request, payload);
    }
    json_decref(payload);
}

static void
serve_starts(void *context, const HttpServer_Request *request)
{
    upstream *self = context;

    respond_text(self, request, 200, self->starts->str);
}

static void
serve_excess(void *context, const HttpServer_Request *request)
{
    upstream *self = context;
    char text[16];

    g_snprintf(text, sizeof(text), "%u\n", self->excess);
    respond_text(self, request, 200, text);
}

static void
serve_usage(void *context, const HttpServer_Request *request)
{
    upstream *self = context;
    GString *text = g_string_new(NULL);
    GHashTableIter iter;
    gpointer group;
    gpointer used_ms;

    g_hash_table_iter_init(&iter, self->usage);
    while (g_hash_table_iter_next(&iter, &group, &used_ms)) {
        g_string_append_printf(text, "%s %zu\n", (const char *)group,
                               GPOINTER_TO_SIZE(used_ms));
    }
    respond_text(self, request, 200, text->str);
    g_string_free(text, TRUE);
}

static const HttpServer_Route routes[] = {
    {"/run", serve_run},
    {"/starts", serve_starts},
    {"/excess", serve_excess},
    {"/usage", serve_usage},
    {NULL, NULL},
};

int
main(int argc, char **argv)
{
    upstream self = {.slots = 8};
    Status status = {ERR_OK, ""};
    Address address;

    if (argc != 3 || !Address_Parse(argv[1], &address)) {
        fprintf(stderr, "usage: standin_upstream IP:PORT SLOTS\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    self.slots = (uint32_t)strtoul(argv[2], NULL, 10);
    self.starts = g_string_new(NULL);
    self.usage = g_hash_table_new(g_str_hash, g_str_equal);
    self.server = HttpServer_New(uv_default_loop(), address, routes, &self,
                                 &status);
    if (self.server == NULL) {
        fprintf(stderr, "%s\n", status.message);
        return 1;
    }
    return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}

#include "cli/commands.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/explain.h"
#include "cli/hall_commands.h"
#include "cli/http_exchange.h"
#include "cli/owner_commands.h"
#include "cli/table_csv.h"
#include "daemon/options.h"

/* Sends a request; prints an error, if any. Returns the exit code. */
static int
call(const HttpExchange_Request *request, HttpExchange_Answer *answer)
{
    Status status = {ERR_OK, ""};

    if (HttpExchange_Perform(request, answer, &status) != ERR_OK ||
        HttpExchange_Check(answer, &status) != ERR_OK) {
        return HttpExchange_PrintError(&status);
    }
    return 0;
}

static char *
row_path(const char *group)
{
    return g_strconcat("/v1/table/groups/", group, NULL);
}

/* Reads the whole table; the caller owns the result. Returns NULL after an
 * error, which is printed. */
static json_t *
fetch_table(Address entry, int *code)
{
    HttpExchange_Request request = {
        .to = entry, .method = "GET", .path = "/v1/table"};
    HttpExchange_Answer answer;
    json_t *body = NULL;

    *code = call(&request, &answer);
    if (*code == 0) {
        body = json_loadb(answer.body, answer.length, 0, NULL);
    }
    HttpExchange_Clear(&answer);
    return body;
}

static int
run_show(const Command_Options *options, int count, char **arguments)
{
    int code;
    json_t *table = fetch_table(options->entry, &code);
    const json_t *row;
    size_t i;

    (void)count;
    (void)arguments;
    if (table == NULL) {
        return code;
    }
    printf("%-24s %8s %11s %10s %12s %11s %8s\n", "group", "weight",
           "max_running", "max_queued", "starts_per_s", "max_wait_ms",
           "version");
    json_array_foreach(json_object_get(table, "groups"), i, row)
    {
        printf("%-24s", json_string_value(json_object_get(row, "group")));
#define X(field, name, min, max, initial)                                     \
    printf(" %*lld", (int)MAX(strlen(name), 8),                               \
           (long long)json_integer_value(json_object_get(row, name)));
        GROUP_TABLE_COLUMNS(X)
#undef X
        printf(" %8lld\n",
               (long long)json_integer_value(json_object_get(row, "version")));
    }
    json_decref(table);
    return 0;
}

/* Reads a row and its ETag. If there is no such row, `row` is NULL and no
 * error is returned. */
static int
fetch_row(Address entry, const char *group, json_t **row, char etag[40])
{
    char *path = row_path(group);
    HttpExchange_Request request = {
        .to = entry, .method = "GET", .path = path};
    Status status = {ERR_OK, ""};
    HttpExchange_Answer answer;
    int code = 0;

    *row = NULL;
    etag[0] = '\0';
    if (HttpExchange_Perform(&request, &answer, &status) != ERR_OK) {
        code = HttpExchange_PrintError(&status);
    }
    else if (answer.status == 200) {
        *row = json_loadb(answer.body, answer.length, 0, NULL);
        json_object_del(*row, "version");
        g_strlcpy(etag, answer.etag, 40);
    }
    else if (answer.status != 404) {
        HttpExchange_Check(&answer, &status);
        code = HttpExchange_PrintError(&status);
    }
    HttpExchange_Clear(&answer);
    g_free(path);
    return code;
}

static int
send_row(Address entry, const char *method, const char *group,
         const json_t *row, const char *etag)
{
    char *path = row_path(group);
    char *body = row == NULL ? NULL : json_dumps(row, JSON_COMPACT);
    char *headers = etag[0] == '\0'
                        ? NULL
                        : g_strdup_printf("If-Match: %s\r\n", etag);
    HttpExchange_Request request = {.to = entry,
                                    .method = method,
                                    .path = path,
                                    .headers = headers,
                                    .body = body,
                                    .length = body == NULL ? 0 : strlen(body)};
    HttpExchange_Answer answer;
    int code = call(&request, &answer);

    if (code == 0) {
        printf("%s: accepted, version %s\n", group, answer.etag);
    }
    HttpExchange_Clear(&answer);
    g_free(headers);
    free(body);
    g_free(path);
    return code;
}

static int
set_cell(json_t *row, const char *text)
{
    const char *equals = strchr(text, '=');
    char *name;
    char *end;
    gint64 number;

    if (equals == NULL) {
        fprintf(stderr, "levercove: %s: expected COLUMN=NUMBER\n", text);
        return Err_ExitCode(ERR_BAD_REQUEST);
    }
    number = g_ascii_strtoll(equals + 1, &end, 10);
    if (*end != '\0' || end == equals + 1) {
        fprintf(stderr, "levercove: %s: expected a whole number\n", text);
        return Err_ExitCode(ERR_BAD_REQUEST);
    }
    name = g_strndup(text, (gsize)(equals - text));
    json_object_set_new(row, name, json_integer(number));
    g_free(name);
    return 0;
}

static int
run_set(const Command_Options *options, int count, char **arguments)
{
    json_t *row;
    char etag[40];
    int code = fetch_row(options->entry, arguments[0], &row, etag);
    int i;

    if (row == NULL) {
        row = json_object();
    }
    for (i = 1; i < count && code == 0; i++) {
        code = set_cell(row, arguments[i]);
    }
    if (code == 0) {
        code = send_row(options->entry, "PUT", arguments[0], row, etag);
    }
    json_decref(row);
    return code;
}

static int
run_remove(const Command_Options *options, int count, char **arguments)
{
    json_t *row;
    char etag[40];
    int code = fetch_row(options->entry, arguments[0], &row, etag);

    (void)count;
    if (code == 0) {
        code = send_row(options->entry, "DELETE", arguments[0], NULL, etag);
    }
    json_decref(row);
    return code;
}

static int
run_export(const Command_Options *options, int count, char **arguments)
{
    int code;
    json_t *table = fetch_table(options->entry, &code);
    char *text;

    (void)count;
    (void)arguments;
    if (table == NULL) {
        return code;
    }
    text = TableCsv_Write(json_object_get(table, "groups"));
    fputs(text, stdout);
    g_free(text);
    json_decref(table);
    return 0;
}

static int
import_row(Address entry, const GroupTable_Row *wanted)
{
    json_t *value = GroupTable_RowToJson(wanted);
    json_t *row;
    char etag[40];
    int code = fetch_row(entry, wanted->group, &row, etag);

    if (code == 0 && row != NULL && json_equal(row, value)) {
        printf("%s: unchanged\n", wanted->group);
    }
    else if (code == 0) {
        code = send_row(entry, "PUT", wanted->group, value, etag);
    }
    json_decref(row);
    json_decref(value);
    return code;
}

static int
run_import(const Command_Options *options, int count, char **arguments)
{
    char *text = NULL;
    char *errors = NULL;
    GError *error = NULL;
    GArray *rows = NULL;
    int code = 0;
    guint i;

    (void)count;
    if (!g_file_get_contents(arguments[0], &text, NULL, &error)) {
        fprintf(stderr, "levercove: %s\n", error->message);
        g_error_free(error);
        code = Err_ExitCode(ERR_IO);
        goto done;
    }
    rows = TableCsv_Read(text, &errors);
    if (rows == NULL) {
        fprintf(stderr, "%s: nothing was changed:\n%s", arguments[0], errors);
        code = Err_ExitCode(ERR_BAD_REQUEST);
        goto done;
    }
    for (i = 0; i < rows->len && code == 0; i++) {
        code = import_row(options->entry,
                          &g_array_index(rows, GroupTable_Row, i));
    }
done:
    if (rows != NULL) {
        g_array_unref(rows);
    }
    g_free(errors);
    g_free(text);
    return code;
}

static int
run_state(const Command_Options *options, int count, char **arguments)
{
    HttpExchange_Request request = {.method = "GET", .path = "/state"};
    HttpExchange_Answer answer;
    int code;

    (void)options;
    (void)count;
    if (!Address_Parse(arguments[0], &request.to)) {
        fprintf(stderr, "levercove: %s: expected IP:port\n", arguments[0]);
        return Err_ExitCode(ERR_BAD_REQUEST);
    }
    code = call(&request, &answer);
    if (code == 0) {
        puts(answer.body);
    }
    HttpExchange_Clear(&answer);
    return code;
}

static int
run_check(const Command_Options *options, int count, char **arguments)
{
    Options settings;
    char *errors;
    Err_Kind kind = Options_Load(arguments[0], &settings, &errors);

    (void)options;
    (void)count;
    fputs(errors, stderr);
    g_free(errors);
    if (kind == ERR_OK) {
        printf("%s: settings are valid\n", arguments[0]);
    }
    return Err_ExitCode(kind);
}

static int
run_submit(const Command_Options *options, int count, char **arguments)
{
    HttpExchange_Request request = {
        .to = options->entry, .method = "POST", .path = "/v1/jobs"};
    HttpExchange_Answer answer;
    Status status = {ERR_OK, ""};
    GError *error = NULL;
    char *headers = NULL;
    char *text;
    gsize length;
    int code = 0;

    (void)count;
    if (!g_file_get_contents(arguments[0], &text, &length, &error)) {
        fprintf(stderr, "levercove: %s\n", error->message);
        g_error_free(error);
        return Err_ExitCode(ERR_IO);
    }
    if (options->key != NULL) {
        headers = g_strdup_printf("Idempotency-Key: %s\r\n", options->key);
    }
    request.headers = headers;
    request.body = text;
    request.length = length;
    if (HttpExchange_Perform(&request, &answer, &status) != ERR_OK) {
        code = HttpExchange_PrintError(&status);
    }
    else {
        puts(answer.body);
        code = Err_ExitCode(HttpExchange_Check(&answer, &status));
    }
    HttpExchange_Clear(&answer);
    g_free(headers);
    g_free(text);
    return code;
}

const Command command_table[] = {
    {"table show", "", "print the table", 0, 0, true, false, run_show},
    {"table set", "GROUP COLUMN=NUMBER...", "set cells of a row", 1, 16, true,
     false, run_set},
    {"table remove", "GROUP", "remove a row", 1, 1, true, false, run_remove},
    {"table import", "FILE.csv", "set the rows of a CSV file", 1, 1, true,
     false, run_import},
    {"table export", "", "print the table as CSV", 0, 0, true, false,
     run_export},
    {"hall close", "HALL", "start no more tasks in a hall", 1, 1, false, true,
     HallCommands_Close},
    {"hall open", "HALL", "start tasks in a hall again", 1, 1, false, true,
     HallCommands_Open},
    {"hall show", "[ADDRESS...]",
     "print the closed halls, and which of them the processes "
     "at these admin addresses know",
     0, 4096, false, true, HallCommands_Show},
    {"state", "ADDRESS",
     "print the state of the process at this "
     "admin address",
     1, 1, false, false, run_state},
    {"owners", "ADDRESS...",
     "print which entry owns the open durable jobs, as the entries at these "
     "admin addresses see it",
     1, 4096, false, false, OwnerCommands_Show},
    {"check-settings", "FILE", "check a settings file", 1, 1, false, false,
     run_check},
    {"submit", "FILE", "submit a job and print its answer", 1, 1, true, false,
     run_submit},
    {"explain", "JOB FILE...",
     "print the history of a leased job from the logs of processes", 2, 4096,
     false, false, Explain_Run},
    {NULL, NULL, NULL, 0, 0, false, false, NULL},
};

#include "cli/hall_commands.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "cli/http_exchange.h"
#include "platform/hall_records.h"

#define STATUS_OK 200
#define ABSENT (-1)

static Err_Kind
call_store(const HttpExchange_Request *request, HttpExchange_Answer *answer,
           Status *status)
{
    if (HttpExchange_Perform(request, answer, status) != ERR_OK) {
        return status->kind;
    }
    if (answer->status != STATUS_OK) {
        return Err_Set(status, ERR_LOG_DOWN,
                       "the store answered with status %d; try again: "
                       "repeating a change is safe",
                       answer->status);
    }
    return ERR_OK;
}

static int
write_hall(const Command_Options *options, const char *hall, bool close)
{
    Status status = {ERR_OK, ""};
    GByteArray *record = g_byte_array_new();
    HttpExchange_Request request = {
        .to = options->store,
        .method = "POST",
        .path = hall_records_append_path,
        .headers = "Content-Type: application/octet-stream\r\n"};
    HttpExchange_Answer answer = {0};
    int code = 0;

    if (HallRecords_CheckName(hall, &status) != ERR_OK) {
        code = HttpExchange_PrintError(&status);
        goto done;
    }
    if (close) {
        HallRecords_AppendClose(record, hall, options->by);
    }
    else {
        HallRecords_AppendOpen(record, hall);
    }
    request.body = record->data;
    request.length = record->len;
    if (call_store(&request, &answer, &status) != ERR_OK) {
        code = HttpExchange_PrintError(&status);
        goto done;
    }
    printf("%s: %s\n", hall, close ? "closed" : "open");
done:
    HttpExchange_Clear(&answer);
    g_byte_array_unref(record);
    return code;
}

int
HallCommands_Close(const Command_Options *options, int count, char **arguments)
{
    (void)count;
    return write_hall(options, arguments[0], true);
}

int
HallCommands_Open(const Command_Options *options, int count, char **arguments)
{
    (void)count;
    return write_hall(options, arguments[0], false);
}

/* ---- show ---- */

static void
print_row(void *context, const HallRecords_Row *row)
{
    int *rows = context;

    if (*rows == 0) {
        printf("%-24s %-20s %-16s %8s\n", "closed hall", "since", "by",
               "record");
    }
    (*rows)++;
    printf("%-24s %-20s %-16s %8lld\n", row->hall, row->since, row->by,
           (long long)row->offset);
}

/* Prints one page, the one after the key *after, which is then set as by
 * HallRecords_ParsePage. */
static Err_Kind
show_page(const Command_Options *options, char **after, int *rows,
          Status *status)
{
    char *path = HallRecords_PagePath(*after);
    HttpExchange_Request request = {
        .to = options->store, .method = "GET", .path = path};
    HttpExchange_Answer answer = {0};
    Err_Kind kind = call_store(&request, &answer, status);

    if (kind == ERR_OK) {
        kind = HallRecords_ParsePage(answer.body, answer.length, print_row,
                                     rows, after, status);
    }
    else {
        g_clear_pointer(after, g_free);
    }
    HttpExchange_Clear(&answer);
    g_free(path);
    return kind;
}

static int
show_store(const Command_Options *options)
{
    Status status = {ERR_OK, ""};
    char *after = NULL;
    int rows = 0;

    do {
        if (show_page(options, &after, &rows, &status) != ERR_OK) {
            return HttpExchange_PrintError(&status);
        }
    } while (after != NULL);
    if (rows == 0) {
        printf("no hall is closed\n");
    }
    return 0;
}

static json_int_t
integer_or_absent(const json_t *object, const char *name)
{
    const json_t *member = json_object_get(object, name);

    return json_is_integer(member) ? json_integer_value(member) : ABSENT;
}

/* Joins the names of a list with commas. */
static char *
join_names(const json_t *names)
{
    GString *text = g_string_new(NULL);
    const json_t *name;
    size_t i;

    json_array_foreach(names, i, name)
    {
        g_string_append_printf(text, "%s%s", i == 0 ? "" : ",",
                               json_string_value(name));
    }
    return g_string_free(text, FALSE);
}

/* Number of running tasks: for a companion those of its upstreams, for an
 * entry its own in closed halls. */
static json_int_t
running_tasks(const json_t *state)
{
    json_int_t tasks = integer_or_absent(state, "tasks");
    const json_t *host;
    size_t i;

    if (tasks != ABSENT) {
        return tasks;
    }
    tasks = 0;
    json_array_foreach(json_object_get(state, "companions"), i, host)
    {
        if (json_is_true(json_object_get(host, "closed"))) {
            tasks += integer_or_absent(host, "running");
        }
    }
    return tasks;
}

static void
print_process(const char *address, const json_t *state)
{
    const json_t *closed = json_object_get(state, "closed");
    char *names = join_names(json_object_get(closed, "halls"));
    json_int_t idle_ms = integer_or_absent(state, "idle_ms");

    printf("%-22s %-10s %-16s %8lld %8lld %6lld ", address,
           json_string_value(json_object_get(state, "role")),
           json_string_value(json_object_get(state, "hall")),
           (long long)integer_or_absent(closed, "as_of"),
           (long long)integer_or_absent(closed, "age_ms"),
           (long long)running_tasks(state));
    if (idle_ms == ABSENT) {
        printf("%9s", "-");
    }
    else {
        printf("%9lld", (long long)idle_ms);
    }
    printf(" %s\n", names[0] == '\0' ? "-" : names);
    g_free(names);
}

static int
show_process(const char *text)
{
    HttpExchange_Answer answer = {0};
    Status status = {ERR_OK, ""};
    json_t *state = NULL;
    int code = 0;

    if (HttpExchange_ReadState(text, &answer, &status) == ERR_OK) {
        state = json_loadb(answer.body, answer.length, 0, NULL);
    }
    else if (status.kind == ERR_BAD_REQUEST) {
        return HttpExchange_PrintError(&status);
    }
    if (!json_is_object(json_object_get(state, "closed"))) {
        printf("%-22s %s\n", text,
               state == NULL ? "no answer" : "not a process of leased jobs");
        code = Err_ExitCode(ERR_IO);
    }
    else {
        print_process(text, state);
    }
    json_decref(state);
    HttpExchange_Clear(&answer);
    return code;
}

int
HallCommands_Show(const Command_Options *options, int count, char **arguments)
{
    int code = show_store(options);
    int i;

    if (count > 0) {
        printf("\n%-22s %-10s %-16s %8s %8s %6s %9s %s\n", "process", "role",
               "hall", "knows", "age_ms", "tasks", "idle_ms", "closed");
    }
    for (i = 0; i < count; i++) {
        int failed = show_process(arguments[i]);
        code = code == 0 ? failed : code;
    }
    return code;
}

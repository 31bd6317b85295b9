#include "cli/explain.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "lease/run_status.h"

/* Events of the processes involved are printed from this long before the job's
 * arrival, as they may have influenced it, until this long after its last log
 * line. */
#define BEFORE_US ((gint64)5 * G_USEC_PER_SEC)
#define AFTER_US ((gint64)1 * G_USEC_PER_SEC)
#define MS_IN_US 1000

typedef struct {
    gint64 time_us;
    char *node;
    json_t *fields;
} log_line;

typedef struct {
    GPtrArray *lines;  /* log_line, of all files */
    GHashTable *nodes; /* set of names of the processes involved */
    gint64 from_us;
    gint64 until_us;
} job_history;

static void
free_line(gpointer item)
{
    log_line *line = item;

    json_decref(line->fields);
    g_free(line->node);
    g_free(line);
}

static const char *
text_of(const json_t *fields, const char *name)
{
    const char *text = json_string_value(json_object_get(fields, name));

    return text == NULL ? "" : text;
}

static gint64
parse_time(const char *text)
{
    GTimeZone *utc = g_time_zone_new_utc();
    GDateTime *time = g_date_time_new_from_iso8601(text, utc);
    gint64 us = 0;

    if (time != NULL) {
        us = g_date_time_to_unix(time) * G_USEC_PER_SEC +
             g_date_time_get_microsecond(time);
        g_date_time_unref(time);
    }
    g_time_zone_unref(utc);
    return us;
}

/* Parses a line, which may have a prefix from the log collector. */
static void
add_line(job_history *all, const char *text)
{
    const char *object = strchr(text, '{');
    json_t *fields = object == NULL ? NULL : json_loads(object, 0, NULL);
    log_line *line;

    if (!json_is_object(fields)) {
        json_decref(fields);
        return;
    }
    line = g_new0(log_line, 1);
    line->fields = fields;
    line->time_us = parse_time(text_of(fields, "time"));
    line->node = g_strdup(text_of(fields, "node"));
    g_ptr_array_add(all->lines, line);
}

static Err_Kind
read_file(job_history *all, const char *file, Status *status)
{
    GError *error = NULL;
    char *text = NULL;
    char **lines;
    guint i;

    if (!g_file_get_contents(file, &text, NULL, &error)) {
        Err_Set(status, ERR_IO, "%s", error->message);
        g_error_free(error);
        return ERR_IO;
    }
    lines = g_strsplit(text, "\n", 0);
    for (i = 0; lines[i] != NULL; i++) {
        add_line(all, lines[i]);
    }
    g_strfreev(lines);
    g_free(text);
    return ERR_OK;
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    const log_line *left = *(const log_line *const *)a;
    const log_line *right = *(const log_line *const *)b;

    if (left->time_us != right->time_us) {
        return left->time_us < right->time_us ? -1 : 1;
    }
    return 0;
}

static void
add_node(job_history *all, const char *node)
{
    g_hash_table_add(all->nodes, g_strdup(node));
}

/* Extends the time range by that of a line about the job, and adds the
 * processes that the line names. */
static void
add_involved(job_history *all, const log_line *line)
{
    gint64 took_us = json_integer_value(
                         json_object_get(line->fields, "took_ms")) *
                     MS_IN_US;
    const json_t *item;
    size_t i;

    all->from_us = MIN(all->from_us, line->time_us - took_us - BEFORE_US);
    all->until_us = MAX(all->until_us, line->time_us + AFTER_US);
    add_node(all, line->node);
    json_array_foreach(json_object_get(line->fields, "trace"), i, item)
    {
        const char *host = json_string_value(json_array_get(item, 4));
        if (host != NULL) {
            add_node(all, host);
        }
    }
}

/* Whether a line, within the time range, shows what a process involved knew at
 * that time: it must not be about a job, nor about a companion that is not
 * involved. */
static bool
is_related_event(const job_history *all, const log_line *line)
{
    const char *companion = text_of(line->fields, "companion");

    return text_of(line->fields, "job")[0] == '\0' &&
           line->time_us >= all->from_us && line->time_us <= all->until_us &&
           g_hash_table_contains(all->nodes, line->node) &&
           (companion[0] == '\0' ||
            g_hash_table_contains(all->nodes, companion));
}

static void
print_item(const log_line *line, const json_t *item)
{
    gint64 took_ms = json_integer_value(
        json_object_get(line->fields, "took_ms"));
    const char *what = json_string_value(json_array_get(item, 1));
    int value = (int)json_integer_value(json_array_get(item, 5));
    int at_ms = (int)json_integer_value(json_array_get(item, 0));

    if (what == NULL || json_array_size(item) < 6) {
        printf("      %d decisions omitted\n", at_ms);
        return;
    }
    printf("      +%d ms (%d before its end): %s task %s run %d at %s", at_ms,
           (int)(took_ms - at_ms), what,
           json_string_value(json_array_get(item, 2)),
           (int)json_integer_value(json_array_get(item, 3)),
           json_string_value(json_array_get(item, 4)));
    if (strcmp(what, "ended") == 0) {
        printf(": %s", RunStatus_Text(value));
    }
    else if (strcmp(what, "sent") == 0) {
        printf(", pace %d%%", value);
    }
    printf("\n");
}

static bool
is_printed_first(const char *name)
{
    static const char *const names[] = {"time", "event",  "level", "text",
                                        "node", "detail", "trace", NULL};

    return g_strv_contains(names, name);
}

static void
print_line(const log_line *line)
{
    const json_t *value;
    const char *name;
    const json_t *item;
    size_t i;

    printf("%s %s %s %s", text_of(line->fields, "time"), line->node,
           text_of(line->fields, "event"), text_of(line->fields, "text"));
    if (text_of(line->fields, "detail")[0] != '\0') {
        printf(": %s", text_of(line->fields, "detail"));
    }
    json_object_foreach(line->fields, name, value)
    {
        if (is_printed_first(name)) {
            continue;
        }
        if (json_is_string(value)) {
            printf(", %s %s", name, json_string_value(value));
        }
        else if (json_is_integer(value)) {
            printf(", %s %lld", name, (long long)json_integer_value(value));
        }
    }
    printf("\n");
    json_array_foreach(json_object_get(line->fields, "trace"), i, item)
    {
        print_item(line, item);
    }
}

static bool
print_history(job_history *all, const char *job)
{
    bool found = false;
    guint i;

    g_ptr_array_sort(all->lines, compare_lines);
    for (i = 0; i < all->lines->len; i++) {
        const log_line *line = g_ptr_array_index(all->lines, i);
        if (strcmp(text_of(line->fields, "job"), job) == 0) {
            add_involved(all, line);
            found = true;
        }
    }
    for (i = 0; found && i < all->lines->len; i++) {
        const log_line *line = g_ptr_array_index(all->lines, i);
        if (strcmp(text_of(line->fields, "job"), job) == 0 ||
            is_related_event(all, line)) {
            print_line(line);
        }
    }
    return found;
}

int
Explain_Run(const Command_Options *options, int count, char **arguments)
{
    job_history all = {.from_us = G_MAXINT64, .until_us = G_MININT64};
    Status status = {ERR_OK, ""};
    int i;

    (void)options;
    all.lines = g_ptr_array_new_with_free_func(free_line);
    all.nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (i = 1; i < count; i++) {
        if (read_file(&all, arguments[i], &status) != ERR_OK) {
            goto done;
        }
    }
    if (!print_history(&all, arguments[0])) {
        Err_Set(&status, ERR_NOT_FOUND, "no log line names job %s",
                arguments[0]);
    }
done:
    if (status.kind != ERR_OK) {
        fprintf(stderr, "levercove: %s\n", status.message);
    }
    g_hash_table_unref(all.nodes);
    g_ptr_array_unref(all.lines);
    return Err_ExitCode(status.kind);
}

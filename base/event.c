#include "base/event.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/log_buffer.h"

#define NS_PER_MS 1000000L
#define MS_PER_S 1000

typedef struct {
    int number;
    GLogLevelFlags level;
    const char *text;
} event_row;

static const event_row event_rows[EVENT_COUNT] = {
#define X(name, number, level, text) {number, level, text},
    EVENT_LIST(X)
#undef X
};

/* Rate limits of one event in lines a second (DEBUG and other levels); a burst
 * may hold as many lines as two seconds allow. */
#define DEBUG_LINES_PER_S 5
#define OTHER_LINES_PER_S 200
#define BURST_S 2

typedef struct {
    int64_t refilled_ms;
    int64_t tokens; /* in thousandths of a line */
    uint64_t left_out;
} token_bucket;

/* Global, as GLib's writer function is: a process has one log output. */
static token_bucket buckets[EVENT_COUNT];
static LogBuffer *output;
static char *node_name;

int
Event_Number(Event_Id id)
{
    return event_rows[id].number;
}

const char *
Event_Text(Event_Id id)
{
    return event_rows[id].text;
}

static int64_t
lines_per_second(Event_Id id)
{
    return event_rows[id].level == G_LOG_LEVEL_DEBUG ? DEBUG_LINES_PER_S
                                                     : OTHER_LINES_PER_S;
}

bool
Event_Admit(Event_Id id)
{
    token_bucket *bucket = &buckets[id];
    int64_t now_ms = g_get_monotonic_time() / 1000;
    int64_t capacity = lines_per_second(id) * BURST_S * MS_PER_S;

    if (bucket->refilled_ms == 0) {
        bucket->tokens = capacity;
    }
    else {
        bucket->tokens += (now_ms - bucket->refilled_ms) *
                          lines_per_second(id);
        bucket->tokens = MIN(bucket->tokens, capacity);
    }
    bucket->refilled_ms = now_ms;
    if (bucket->tokens < MS_PER_S) {
        bucket->left_out++;
        return false;
    }
    bucket->tokens -= MS_PER_S;
    return true;
}

static const char *
level_text(GLogLevelFlags level)
{
    switch (level) {
    case G_LOG_LEVEL_CRITICAL:
        return "critical";
    case G_LOG_LEVEL_WARNING:
        return "warning";
    case G_LOG_LEVEL_MESSAGE:
        return "notice";
    case G_LOG_LEVEL_INFO:
        return "info";
    default:
        return "debug";
    }
}

static void
format_time(char *text, size_t size)
{
    struct timespec now;
    struct tm parts;
    char stamp[32];

    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &parts);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
    snprintf(text, size, "%s.%03ldZ", stamp, now.tv_nsec / NS_PER_MS);
}

static json_t *
make_header(Event_Id id)
{
    const event_row *row = &event_rows[id];
    char time_text[48];
    char number[16];
    json_t *header;

    format_time(time_text, sizeof(time_text));
    snprintf(number, sizeof(number), "LC%d", row->number);
    header = json_pack("{s:s, s:s, s:s, s:s}", "time", time_text, "event",
                       number, "level", level_text(row->level), "text",
                       row->text);
    if (node_name != NULL) {
        json_object_set_new(header, "node", json_string(node_name));
    }
    if (buckets[id].left_out > 0) {
        json_object_set_new(header, "left_out",
                            json_integer((json_int_t)buckets[id].left_out));
        buckets[id].left_out = 0;
    }
    return header;
}

void
Event_Write(Event_Id id, json_t *fields)
{
    const event_row *row = &event_rows[id];
    json_t *line = make_header(id);
    char number[16];
    char *text;

    json_object_update(line, fields);
    json_decref(fields);
    text = json_dumps(line, JSON_COMPACT);
    snprintf(number, sizeof(number), "%d", row->number);
    g_log_structured("levercove", row->level, "LEVERCOVE_EVENT", number,
                     "MESSAGE", "%s", text);
    free(text);
    json_decref(line);
}

void
Event_Log(Event_Id id, const char *format, ...)
{
    char detail[400];
    char *valid;
    va_list args;

    if (!Event_Admit(id)) {
        return;
    }
    va_start(args, format);
    vsnprintf(detail, sizeof(detail), format, args);
    va_end(args);
    /* Details may hold foreign bytes that are not UTF-8; json_pack would fail
     * on them and the line would lose its detail. */
    valid = g_utf8_make_valid(detail, -1);
    Event_Write(id, json_pack("{s:s}", "detail", valid));
    g_free(valid);
}

static const char *
field_text(const GLogField *fields, gsize count, const char *key)
{
    gsize i;

    for (i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0) {
            return (const char *)fields[i].value;
        }
    }
    return "";
}

static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer data)
{
    const char *message = field_text(fields, count, "MESSAGE");
    size_t length = strlen(message);
    char *line = g_strdup_printf("%s\n", message);

    (void)data;
    LogBuffer_Add(output, line, length + 1, level != G_LOG_LEVEL_DEBUG);
    if ((level & (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_MESSAGE)) != 0) {
        LogBuffer_Flush(output);
    }
    g_free(line);
    return G_LOG_WRITER_HANDLED;
}

void
Event_UseStdout(const char *node)
{
    g_free(node_name);
    node_name = g_strdup(node);
    if (output == NULL) {
        output = LogBuffer_New(STDOUT_FILENO);
        g_log_set_writer_func(write_line, NULL, NULL);
    }
}

void
Event_Flush(void)
{
    uint64_t dropped;

    if (output == NULL) {
        return;
    }
    LogBuffer_Flush(output);
    dropped = LogBuffer_TakeDropped(output);
    if (dropped > 0 && Event_Admit(EVENT_LINES_DROPPED)) {
        Event_Write(EVENT_LINES_DROPPED,
                    json_pack("{s:I}", "lines", (json_int_t)dropped));
    }
}

#include "base/event.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

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

void
Event_Log(Event_Id id, const char *format, ...)
{
    const event_row *row = &event_rows[id];
    char detail[400];
    char number[16];
    va_list args;

    va_start(args, format);
    vsnprintf(detail, sizeof(detail), format, args);
    va_end(args);
    snprintf(number, sizeof(number), "%d", row->number);
    g_log_structured("levercove", row->level, "LEVERCOVE_EVENT", number,
                     "MESSAGE", "LC%s %s: %s", number, row->text, detail);
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
    struct timespec now;
    struct tm parts;
    char stamp[32];

    (void)data;
    (void)level;
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &parts);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
    fprintf(stderr, "%s.%03ldZ %s\n", stamp, now.tv_nsec / 1000000L,
            field_text(fields, count, "MESSAGE"));
    return G_LOG_WRITER_HANDLED;
}

void
Event_UseStderr(void)
{
    g_log_set_writer_func(write_line, NULL, NULL);
}

#include "base/err.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

typedef struct {
    const char *text;
    int http_status;
    int exit_code;
    Outcome outcome;
    int retry;
} err_row;

static const err_row err_rows[ERR_COUNT] = {
#define X(name, text, http, code, outcome, retry)                             \
    {text, http, code, outcome, retry},
    ERR_LIST(X)
#undef X
};

/* Messages hold foreign bytes and may be cut within a character; JSON takes
 * neither. */
static void
make_valid(char *text)
{
    const char *invalid;

    while (!g_utf8_validate(text, -1, &invalid)) {
        text[invalid - text] = '?';
    }
}

Err_Kind
Err_Set(Status *status, Err_Kind kind, const char *format, ...)
{
    va_list args;

    if (status == NULL) {
        return kind;
    }
    status->kind = kind;
    va_start(args, format);
    vsnprintf(status->message, sizeof(status->message), format, args);
    va_end(args);
    make_valid(status->message);
    return kind;
}

const char *
Err_Text(Err_Kind kind)
{
    return err_rows[kind].text;
}

Err_Kind
Err_FromText(const char *text)
{
    int i;

    for (i = 0; i < ERR_COUNT; i++) {
        if (strcmp(err_rows[i].text, text) == 0) {
            return (Err_Kind)i;
        }
    }
    return ERR_COUNT;
}

int
Err_HttpStatus(Err_Kind kind)
{
    return err_rows[kind].http_status;
}

int
Err_ExitCode(Err_Kind kind)
{
    return err_rows[kind].exit_code;
}

Outcome
Err_Outcome(Err_Kind kind)
{
    return err_rows[kind].outcome;
}

int
Err_HasRetryAfter(Err_Kind kind)
{
    return err_rows[kind].retry;
}

const char *
Err_OutcomeText(Outcome outcome)
{
    static const char *const texts[] = {"done", "failed", "not_run", "unknown",
                                        "refused"};

    return texts[outcome];
}

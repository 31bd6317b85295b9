#include "base/settings.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

typedef struct {
    const char *file;
    const Setting *table;
    char *out;
    GString *errors;
} parser;

static void add_error(parser *in, const char *path, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

static void
add_error(parser *in, const char *path, const char *format, ...)
{
    va_list args;

    g_string_append_printf(in->errors, "%s: %s: ", in->file, path);
    va_start(args, format);
    g_string_append_vprintf(in->errors, format, args);
    va_end(args);
    g_string_append_c(in->errors, '\n');
}

static const Setting *
find_setting(const parser *in, const char *path)
{
    const Setting *setting;

    for (setting = in->table; setting->path != NULL; setting++) {
        if (strcmp(setting->path, path) == 0) {
            return setting;
        }
    }
    return NULL;
}

static void
read_address(parser *in, const Setting *setting, const json_t *value)
{
    const char *text = json_string_value(value);
    Address *target = (Address *)(void *)(in->out + setting->offset);

    if (text == NULL || !Address_Parse(text, target)) {
        add_error(in, setting->path,
                  "expected \"IP:port\", an IPv4 number "
                  "and a port from 1 to 65535");
    }
}

static void
read_addresses(parser *in, const Setting *setting, const json_t *value)
{
    Setting_Addresses *target = (Setting_Addresses *)(void *)(in->out +
                                                              setting->offset);
    const json_t *item;
    size_t i;

    target->count = 0;
    if (!json_is_array(value) ||
        json_array_size(value) > SETTING_MAX_ADDRESSES) {
        add_error(in, setting->path,
                  "expected a list of at most %d \"IP:port\"",
                  SETTING_MAX_ADDRESSES);
        return;
    }
    json_array_foreach(value, i, item)
    {
        const char *text = json_string_value(item);
        if (text == NULL ||
            !Address_Parse(text, &target->list[target->count])) {
            add_error(in, setting->path, "entry %zu: expected \"IP:port\"", i);
            return;
        }
        target->count++;
    }
}

static void
read_integer(parser *in, const Setting *setting, const json_t *value)
{
    int64_t *target = (int64_t *)(void *)(in->out + setting->offset);

    if (!json_is_integer(value) ||
        json_integer_value(value) < setting->minimum ||
        json_integer_value(value) > setting->maximum) {
        add_error(in, setting->path, "expected an integer from %lld to %lld",
                  (long long)setting->minimum, (long long)setting->maximum);
        return;
    }
    *target = json_integer_value(value);
}

static void
read_number(parser *in, const Setting *setting, const json_t *value)
{
    double *target = (double *)(void *)(in->out + setting->offset);

    if (!json_is_number(value) ||
        json_number_value(value) < (double)setting->minimum ||
        json_number_value(value) > (double)setting->maximum) {
        add_error(in, setting->path, "expected a number from %lld to %lld",
                  (long long)setting->minimum, (long long)setting->maximum);
        return;
    }
    *target = json_number_value(value);
}

static int
is_choice(const char *choices, const char *text)
{
    char **list = g_strsplit(choices, "|", 0);
    int found = g_strv_contains((const char *const *)list, text);

    g_strfreev(list);
    return found;
}

static void
read_text(parser *in, const Setting *setting, const json_t *value)
{
    const char *text = json_string_value(value);

    if (text == NULL || text[0] == '\0' || strlen(text) >= SETTING_TEXT_SIZE) {
        add_error(in, setting->path, "expected a text of 1 to %d bytes",
                  SETTING_TEXT_SIZE - 1);
    }
    else if (setting->choices != NULL && !is_choice(setting->choices, text)) {
        add_error(in, setting->path, "expected one of %s", setting->choices);
    }
    else {
        g_strlcpy(in->out + setting->offset, text, SETTING_TEXT_SIZE);
    }
}

static void
read_value(parser *in, const char *path, const json_t *value)
{
    const Setting *setting = find_setting(in, path);
    const char *name;
    const json_t *member;

    if (setting == NULL) {
        add_error(in, path, "unknown setting");
        return;
    }
    switch (setting->kind) {
    case SETTING_ADDRESS:
        read_address(in, setting, value);
        break;
    case SETTING_ADDRESSES:
        read_addresses(in, setting, value);
        break;
    case SETTING_INTEGER:
        read_integer(in, setting, value);
        break;
    case SETTING_NUMBER:
        read_number(in, setting, value);
        break;
    case SETTING_TEXT:
        read_text(in, setting, value);
        break;
    case SETTING_OBJECT:
        if (!json_is_object(value)) {
            add_error(in, path, "expected an object");
            break;
        }
        json_object_foreach((json_t *)(uintptr_t)value, name, member)
        {
            char *member_path = g_strconcat(path, ".", name, NULL);
            read_value(in, member_path, member);
            g_free(member_path);
        }
        break;
    }
}

static void
check_required(parser *in, const json_t *document)
{
    const Setting *setting;

    for (setting = in->table; setting->path != NULL; setting++) {
        if (setting->required && strchr(setting->path, '.') == NULL &&
            json_object_get(document, setting->path) == NULL) {
            add_error(in, setting->path, "missing");
        }
    }
}

Err_Kind
Settings_Load(const char *file, const Setting *table, void *out, char **errors)
{
    parser in = {file, table, out, g_string_new(NULL)};
    json_error_t error;
    json_t *document = json_load_file(file, JSON_REJECT_DUPLICATES, &error);
    Err_Kind kind = ERR_OK;
    const char *name;
    json_t *value;

    if (document == NULL) {
        g_string_append_printf(in.errors, "%s:%d:%d: %s\n", file, error.line,
                               error.column, error.text);
    }
    else if (!json_is_object(document)) {
        add_error(&in, "document", "expected an object");
    }
    else {
        json_object_foreach(document, name, value)
        {
            read_value(&in, name, value);
        }
        check_required(&in, document);
    }
    json_decref(document);
    if (in.errors->len > 0) {
        kind = ERR_BAD_SETTINGS;
    }
    *errors = g_string_free(in.errors, FALSE);
    return kind;
}

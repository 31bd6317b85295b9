#include "lease/hall_closures.h"

#include <inttypes.h>
#include <string.h>

void
HallClosures_Init(HallClosures *closures, int64_t now_ms)
{
    closures->as_of = -1;
    closures->confirmed_ms = now_ms;
    closures->changed_ms = now_ms;
    closures->halls = g_ptr_array_new_with_free_func(g_free);
}

void
HallClosures_Clear(HallClosures *closures)
{
    g_ptr_array_unref(closures->halls);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *
sorted_names(const lc_closures *message)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    u_int i;

    for (i = 0; i < message->halls.halls_len; i++) {
        g_ptr_array_add(names, g_strdup(message->halls.halls_val[i]));
    }
    g_ptr_array_sort(names, compare_names);
    return names;
}

static bool
same_names(const GPtrArray *left, const GPtrArray *right)
{
    guint i;

    if (left->len != right->len) {
        return false;
    }
    for (i = 0; i < left->len; i++) {
        if (strcmp(left->pdata[i], right->pdata[i]) != 0) {
            return false;
        }
    }
    return true;
}

static void
update_confirmed(HallClosures *closures, int64_t requested_ms, uint32_t age_ms)
{
    if (requested_ms != HALL_CLOSURES_UNSOLICITED) {
        closures->confirmed_ms = MAX(closures->confirmed_ms,
                                     requested_ms - (int64_t)age_ms);
    }
}

HallClosures_Change
HallClosures_Merge(HallClosures *closures, int64_t now_ms,
                   int64_t requested_ms, const lc_closures *message)
{
    GPtrArray *names;

    if (message->as_of < closures->as_of || message->as_of < 0) {
        return HALL_CLOSURES_STALE;
    }
    update_confirmed(closures, requested_ms, message->age_ms);
    if (message->as_of == closures->as_of) {
        return HALL_CLOSURES_UNCHANGED;
    }
    closures->as_of = message->as_of;
    names = sorted_names(message);
    if (same_names(names, closures->halls)) {
        g_ptr_array_unref(names);
        return HALL_CLOSURES_UNCHANGED;
    }
    g_ptr_array_unref(closures->halls);
    closures->halls = names;
    closures->changed_ms = now_ms;
    return HALL_CLOSURES_CHANGED;
}

bool
HallClosures_Contains(const HallClosures *closures, const char *hall)
{
    guint i;

    for (i = 0; i < closures->halls->len; i++) {
        if (g_strcmp0(closures->halls->pdata[i], hall) == 0) {
            return true;
        }
    }
    return false;
}

bool
HallClosures_RejectsStart(const HallClosures *closures, const char *hall,
                          int64_t as_of)
{
    return as_of <= closures->as_of && HallClosures_Contains(closures, hall);
}

int64_t
HallClosures_AgeMs(const HallClosures *closures, int64_t now_ms)
{
    return MAX(now_ms - closures->confirmed_ms, 0);
}

void
HallClosures_FillMessage(const HallClosures *closures, int64_t now_ms,
                         lc_closures *out)
{
    out->as_of = closures->as_of;
    out->age_ms = (u_int)MIN(HallClosures_AgeMs(closures, now_ms), UINT32_MAX);
    out->halls.halls_len = MIN(closures->halls->len, LC_MAX_HALLS);
    out->halls.halls_val = (lc_hall *)closures->halls->pdata;
}

char *
HallClosures_Text(const HallClosures *closures)
{
    GString *text = g_string_new(NULL);
    guint i;

    for (i = 0; i < closures->halls->len; i++) {
        g_string_append_printf(text, "%s%s", i == 0 ? "" : ", ",
                               (const char *)closures->halls->pdata[i]);
    }
    return g_string_free(text, FALSE);
}

json_t *
HallClosures_Dump(const HallClosures *closures, int64_t now_ms)
{
    json_t *halls = json_array();
    guint i;

    for (i = 0; i < closures->halls->len; i++) {
        json_array_append_new(halls, json_string(closures->halls->pdata[i]));
    }
    return json_pack("{s:o, s:I, s:I, s:I}", "halls", halls, "as_of",
                     (json_int_t)closures->as_of, "age_ms",
                     (json_int_t)HallClosures_AgeMs(closures, now_ms),
                     "since_ms_ago",
                     (json_int_t)(now_ms - closures->changed_ms));
}

void
HallClosures_Metrics(const HallClosures *closures, int64_t now_ms,
                     GString *out)
{
    g_string_append_printf(out,
                           "levercove_halls_closed %u\n"
                           "levercove_halls_as_of %" PRId64 "\n"
                           "levercove_halls_age_milliseconds %" PRId64 "\n",
                           closures->halls->len, closures->as_of,
                           HallClosures_AgeMs(closures, now_ms));
}

#include "lease/route.h"

#include <string.h>

static void
free_route(gpointer item)
{
    Route *route = item;

    g_free(route->name);
    g_free(route->authority);
    g_free(route->path_prefix);
    g_free(route->service);
    g_free(route);
}

Route_Table *
Route_NewTable(int64_t version)
{
    Route_Table *table = g_new0(Route_Table, 1);

    table->version = version;
    table->routes = g_ptr_array_new_with_free_func(free_route);
    return table;
}

Route *
Route_Add(Route_Table *table)
{
    Route *route = g_new0(Route, 1);

    g_ptr_array_add(table->routes, route);
    return route;
}

void
Route_FreeTable(Route_Table *table)
{
    if (table == NULL) {
        return;
    }
    g_ptr_array_unref(table->routes);
    g_free(table->source);
    g_free(table);
}

static bool
is_authority(const Route *route, const char *authority, size_t length)
{
    return strlen(route->authority) == length &&
           g_ascii_strncasecmp(route->authority, authority, length) == 0;
}

Err_Kind
Route_Check(const Route *route, const LeasedJob *job, Status *status)
{
    if (route->advised) {
        return Err_Set(
            status, ERR_UNSUPPORTED,
            "not served yet: queues whose starts need an adviser's ticket");
    }
    return LeasedJob_Check(job, status);
}

const Route *
Route_Find(const Route_Table *table, const char *authority, const char *path)
{
    size_t length = strcspn(authority, ":");
    const Route *best = NULL;
    size_t best_length = 0;
    guint i;

    for (i = 0; i < table->routes->len; i++) {
        const Route *route = g_ptr_array_index(table->routes, i);
        size_t prefix = strlen(route->path_prefix);
        if (prefix >= best_length && is_authority(route, authority, length) &&
            strncmp(path, route->path_prefix, prefix) == 0) {
            best = route;
            best_length = prefix;
        }
    }
    return best;
}

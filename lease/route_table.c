#include "lease/route_table.h"

#include <string.h>

#define PERCENT 100

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

static void
drop_index(Route_Table *table)
{
    g_clear_pointer(&table->by_prefix, g_hash_table_unref);
    g_clear_pointer(&table->by_address, g_hash_table_unref);
    g_clear_pointer(&table->by_name, g_hash_table_unref);
    g_clear_pointer(&table->prefix_lengths, g_array_unref);
}

Route *
Route_Add(Route_Table *table)
{
    Route *route = g_new0(Route, 1);

    g_ptr_array_add(table->routes, route);
    drop_index(table);
    return route;
}

void
Route_FreeTable(Route_Table *table)
{
    if (table == NULL) {
        return;
    }
    drop_index(table);
    g_ptr_array_unref(table->routes);
    g_free(table->source);
    g_free(table);
}

Err_Kind
Route_CheckJob(const Route *route, const LeasedJob *job, Status *status)
{
    if (route->needs_ticket) {
        return Err_Set(
            status, ERR_UNSUPPORTED,
            "not supported yet: queues whose starts need an admission ticket");
    }
    return LeasedJob_CheckSupported(job, status);
}

static gint
compare_longest_first(gconstpointer a, gconstpointer b)
{
    size_t left = *(const size_t *)a;
    size_t right = *(const size_t *)b;

    return left > right ? -1 : left < right;
}

static void
add_length(GArray *lengths, size_t length)
{
    guint i;

    for (i = 0; i < lengths->len; i++) {
        if (g_array_index(lengths, size_t, i) == length) {
            return;
        }
    }
    g_array_append_val(lengths, length);
}

/* Makes a search a few hash lookups, one for each distinct prefix length, as a
 * table may hold thousands of queues. Of two queues with the same host and
 * prefix, the later one is found. */
static void
build_index(Route_Table *table)
{
    guint i;

    table->by_prefix = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             NULL);
    table->by_address = g_hash_table_new(g_int64_hash, g_int64_equal);
    table->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    table->prefix_lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
    for (i = 0; i < table->routes->len; i++) {
        Route *route = g_ptr_array_index(table->routes, i);
        char *host = g_ascii_strdown(route->authority, -1);
        g_hash_table_insert(table->by_prefix,
                            g_strconcat(host, route->path_prefix, NULL),
                            route);
        route->address = Route_Reference(route).address;
        g_hash_table_replace(table->by_address, &route->address, route);
        if (!g_hash_table_contains(table->by_name, route->name)) {
            g_hash_table_insert(table->by_name, route->name, route);
        }
        add_length(table->prefix_lengths, strlen(route->path_prefix));
        g_free(host);
    }
    g_array_sort(table->prefix_lengths, compare_longest_first);
}

int64_t
Route_ObjectiveMs(const Route *route, const LeasedJob *job)
{
    return route->target_ms + (int64_t)LeasedJob_CriticalPathMs(job) *
                                  route->stretch_percent / PERCENT;
}

const char *
Route_MatchText(Route_Match match)
{
    static const char *const texts[] = {
        [ROUTE_MATCH_NONE] = "nothing",
        [ROUTE_MATCH_ADDRESS] = "address",
        [ROUTE_MATCH_NAME] = "name",
    };

    return texts[match];
}

QueueRef
Route_Reference(const Route *route)
{
    QueueRef queue = {route->name,
                      QueueRef_Digest(route->authority, route->path_prefix,
                                      strlen(route->path_prefix))};

    return queue;
}

const Route *
Route_FindQueue(Route_Table *table, const QueueRef *queue, Route_Match *match)
{
    const Route *found = NULL;
    Route_Match by = ROUTE_MATCH_NONE;

    if (table != NULL && table->by_prefix == NULL) {
        build_index(table);
    }
    if (table != NULL && queue->address != 0) {
        found = g_hash_table_lookup(table->by_address, &queue->address);
        by = found != NULL ? ROUTE_MATCH_ADDRESS : by;
    }
    if (table != NULL && found == NULL) {
        found = g_hash_table_lookup(table->by_name, queue->name);
        by = found != NULL ? ROUTE_MATCH_NAME : by;
    }
    if (match != NULL) {
        *match = by;
    }
    return found;
}

bool
Route_IsSameQueue(Route_Table *table, const QueueRef *a, const QueueRef *b)
{
    const Route *left;
    const Route *right;

    if (a->address != 0 && a->address == b->address) {
        return true;
    }
    left = Route_FindQueue(table, a, NULL);
    right = Route_FindQueue(table, b, NULL);
    if (left == NULL || right == NULL) {
        return left == right && strcmp(a->name, b->name) == 0;
    }
    return strcmp(left->name, right->name) == 0;
}

const Route *
Route_FindByPrefix(Route_Table *table, const char *authority, const char *path)
{
    char *host = g_ascii_strdown(authority, (gssize)strcspn(authority, ":"));
    GString *key = g_string_new(host);
    size_t host_length = key->len;
    size_t path_length = strlen(path);
    const Route *found = NULL;
    guint i;

    if (table->by_prefix == NULL) {
        build_index(table);
    }
    g_string_append(key, path);
    for (i = 0; found == NULL && i < table->prefix_lengths->len; i++) {
        size_t length = g_array_index(table->prefix_lengths, size_t, i);
        if (length <= path_length) {
            g_string_truncate(key, host_length + length);
            found = g_hash_table_lookup(table->by_prefix, key->str);
        }
    }
    g_string_free(key, TRUE);
    g_free(host);
    return found;
}

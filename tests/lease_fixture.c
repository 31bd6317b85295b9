#include "tests/lease_fixture.h"

#include <glib.h>

LeaseTiming
LeaseFix_Timing(void)
{
    LeaseTiming_Bounds bounds = {1300, 1000, 50, 50};
    LeaseTiming timing;

    g_assert_true(LeaseTiming_Derive(&bounds, &timing));
    return timing;
}

Route *
LeaseFix_AddRoute(Route_Table *routes)
{
    Route *route = Route_Add(routes);

    route->name = g_strdup("queue");
    route->authority = g_strdup("host");
    route->path_prefix = g_strdup("/q/");
    route->service = g_strdup("service");
    route->max_attempts = 2;
    return route;
}

void
LeaseFix_DropEvent(void *context, Event_Id id, json_t *fields)
{
    (void)context;
    (void)id;
    json_decref(fields);
}

#include "tests/lease_fixture.h"

#include <glib.h>

Term
LeaseFix_Term(void)
{
    Term_Bounds bounds = {1300, 1000, 50, 50};
    Term term;

    g_assert_true(Term_Plan(&bounds, &term));
    return term;
}

void
LeaseFix_DropEvent(void *context, Event_Id id, json_t *fields)
{
    (void)context;
    (void)id;
    json_decref(fields);
}

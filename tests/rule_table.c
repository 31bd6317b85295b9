#include "tests/rule_table.h"

#include <glib.h>

int
RuleTable_Main(int argc, char **argv, const RuleTable_Row *tests, size_t count)
{
    size_t i;

    g_test_init(&argc, &argv, NULL);
    for (i = 0; i < count; i++) {
        g_test_add_func(tests[i].name, tests[i].run);
    }
    return g_test_run();
}

#include "tests/test_table.h"

#include <glib.h>

int
TestTable_Main(int argc, char **argv, const TestTable_Row *tests, size_t count)
{
    size_t i;

    g_test_init(&argc, &argv, NULL);
    for (i = 0; i < count; i++) {
        g_test_add_func(tests[i].name, tests[i].run);
    }
    return g_test_run();
}

#include "tests/case_table.h"

#include <string.h>

typedef struct {
    char *name;
    CaseTable_Function run;
    GString *input;
    GString *expected;
} test_case;

char **
CaseTable_Lines(const char *input)
{
    char **lines = g_strsplit(input, "\n", 0);
    guint count = g_strv_length(lines);

    if (count > 0 && lines[count - 1][0] == '\0') {
        g_free(lines[count - 1]);
        lines[count - 1] = NULL;
    }
    return lines;
}

static void
run_case(gconstpointer data)
{
    const test_case *test = data;
    GString *output = g_string_new(NULL);

    test->run(test->input->str, output);
    g_assert_cmpstr(output->str, ==, test->expected->str);
    g_string_free(output, TRUE);
}

static void
load_cases(const char *directory, const char *kind, CaseTable_Function run)
{
    char *file = g_strconcat(directory, "/", kind, ".txt", NULL);
    char *text = NULL;
    char **lines;
    test_case *test = NULL;
    GString *section = NULL;
    guint i;

    g_assert_true(g_file_get_contents(file, &text, NULL, NULL));
    lines = CaseTable_Lines(text);
    for (i = 0; lines[i] != NULL; i++) {
        if (g_str_has_prefix(lines[i], "== ")) {
            test = g_new0(test_case, 1);
            test->name = g_strconcat("/", kind, "/", lines[i] + 3, NULL);
            test->run = run;
            test->input = g_string_new(NULL);
            test->expected = g_string_new(NULL);
            section = test->input;
            g_test_add_data_func(test->name, test, run_case);
        }
        else if (test != NULL && strcmp(lines[i], "--") == 0) {
            section = test->expected;
        }
        else if (section != NULL && !g_str_has_prefix(lines[i], "# ")) {
            g_string_append_printf(section, "%s\n", lines[i]);
        }
    }
    g_strfreev(lines);
    g_free(text);
    g_free(file);
}

int
CaseTable_Main(int argc, char **argv, const CaseTable_Kind *kinds)
{
    const char *directory = g_getenv("LEVERCOVE_CASES");
    const CaseTable_Kind *kind;

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    for (kind = kinds; kind->kind != NULL; kind++) {
        load_cases(directory == NULL ? "tests/cases" : directory, kind->kind,
                   kind->run);
    }
    return g_test_run();
}

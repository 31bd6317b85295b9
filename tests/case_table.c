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
    const test_case *one = data;
    GString *output = g_string_new(NULL);

    one->run(one->input->str, output);
    g_assert_cmpstr(output->str, ==, one->expected->str);
    g_string_free(output, TRUE);
}

static void
load_cases(const char *folder, const char *kind, CaseTable_Function run)
{
    char *file = g_strconcat(folder, "/", kind, ".txt", NULL);
    char *text = NULL;
    char **lines;
    test_case *one = NULL;
    GString *part = NULL;
    guint i;

    g_assert_true(g_file_get_contents(file, &text, NULL, NULL));
    lines = CaseTable_Lines(text);
    for (i = 0; lines[i] != NULL; i++) {
        if (g_str_has_prefix(lines[i], "== ")) {
            one = g_new0(test_case, 1);
            one->name = g_strconcat("/", kind, "/", lines[i] + 3, NULL);
            one->run = run;
            one->input = g_string_new(NULL);
            one->expected = g_string_new(NULL);
            part = one->input;
            g_test_add_data_func(one->name, one, run_case);
        }
        else if (one != NULL && strcmp(lines[i], "--") == 0) {
            part = one->expected;
        }
        else if (part != NULL && !g_str_has_prefix(lines[i], "# ")) {
            g_string_append_printf(part, "%s\n", lines[i]);
        }
    }
    g_strfreev(lines);
    g_free(text);
    g_free(file);
}

int
CaseTable_Main(int argc, char **argv, const CaseTable_Kind *kinds)
{
    const char *folder = g_getenv("LEVERCOVE_CASES");
    const CaseTable_Kind *kind;

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    for (kind = kinds; kind->kind != NULL; kind++) {
        load_cases(folder == NULL ? "tests/cases" : folder, kind->kind,
                   kind->run);
    }
    return g_test_run();
}

/* levercoved: runs an entry or a companion, as its settings file says. */

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "base/version.h"
#include "daemon/leased_companion.h"
#include "daemon/leased_entry.h"
#include "daemon/options.h"
#include "daemon/owned_companion.h"
#include "daemon/owned_entry.h"

static gboolean show_version;
static gboolean check_only;

static const GOptionEntry entries[] = {
    {"version", 'V', 0, G_OPTION_ARG_NONE, &show_version,
     "Print the version and exit", NULL},
    {"check", 'c', 0, G_OPTION_ARG_NONE, &check_only,
     "Check the settings and exit", NULL},
    {NULL, 0, 0, 0, NULL, NULL, NULL},
};

static int
parse_arguments(int *argc, char ***argv)
{
    GOptionContext *context = g_option_context_new(
        "SETTINGS - run one levercove process");
    GError *error = NULL;
    int code = 0;

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, argc, argv, &error)) {
        fprintf(stderr, "levercoved: %s\n", error->message);
        g_error_free(error);
        code = Err_ExitCode(ERR_BAD_REQUEST);
    }
    g_option_context_free(context);
    return code;
}

static int
run_role(const Options *options)
{
    static const struct {
        const char *role;
        bool leased;
        int (*run)(const Options *options);
    } roles[] = {
        {"entry", false, OwnedEntry_Run},
        {"entry", true, LeasedEntry_Run},
        {"companion", false, OwnedCompanion_Run},
        {"companion", true, LeasedCompanion_Run},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(roles); i++) {
        if (strcmp(options->role, roles[i].role) == 0 &&
            Options_IsLeased(options) == roles[i].leased) {
            return roles[i].run(options);
        }
    }
    return Err_ExitCode(ERR_BAD_SETTINGS);
}

static int
run(const char *file)
{
    Options options;
    char *errors = NULL;
    int code = 0;

    if (Options_Load(file, &options, &errors) != ERR_OK) {
        fputs(errors, stderr);
        Event_Log(EVENT_BAD_SETTINGS, "%s", file);
        code = Err_ExitCode(ERR_BAD_SETTINGS);
    }
    else if (check_only) {
        printf("%s: settings are valid\n", file);
    }
    else {
        code = run_role(&options);
    }
    g_free(errors);
    return code;
}

int
main(int argc, char **argv)
{
    int code;

    signal(SIGPIPE, SIG_IGN);
    /* Until the loop has its own handler: the default action ends the process.
     */
    signal(SIGHUP, SIG_IGN);
    Event_UseStdout(NULL);
    code = parse_arguments(&argc, &argv);
    if (code != 0) {
        return code;
    }
    if (show_version) {
        printf("levercoved %s, build %s\n", LC_VERSION_TEXT, version_build_id);
        return 0;
    }
    if (argc != 2) {
        fprintf(stderr, "levercoved: expected one settings file\n");
        return Err_ExitCode(ERR_BAD_REQUEST);
    }
    code = run(argv[1]);
    Event_Flush();
    return code;
}

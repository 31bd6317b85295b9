/* levercove: the command line for operators. */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/version.h"
#include "cli/commands.h"

static gboolean show_version;
static char *entry_text;
static char *store_text;
static char *by_text;
static char *key_text;

static const GOptionEntry entries[] = {
    {"version", 'V', 0, G_OPTION_ARG_NONE, &show_version,
     "Print the version and exit", NULL},
    {"entry", 'e', 0, G_OPTION_ARG_STRING, &entry_text,
     "Callers' address of an entry (default: $LEVERCOVE_ENTRY)", "IP:PORT"},
    {"store", 's', 0, G_OPTION_ARG_STRING, &store_text,
     "Address of the platform's store (default: $LEVERCOVE_STORE)", "IP:PORT"},
    {"by", 'b', 0, G_OPTION_ARG_STRING, &by_text,
     "Name of who closes a hall (default: the user's name)", "TEXT"},
    {"key", 'k', 0, G_OPTION_ARG_STRING, &key_text,
     "Idempotency key for submit, a UUID of version 7", "UUID"},
    {NULL, 0, 0, 0, NULL, NULL, NULL},
};

static char *
describe_commands(void)
{
    GString *text = g_string_new("Commands:\n");
    const Command *command;

    for (command = command_table; command->name != NULL; command++) {
        g_string_append_printf(text, "  %s %s\n      %s\n", command->name,
                               command->arguments, command->help);
    }
    return g_string_free(text, FALSE);
}

static int
parse_arguments(int *argc, char ***argv)
{
    GOptionContext *context = g_option_context_new(
        "COMMAND - operate levercove");
    char *commands = describe_commands();
    GError *error = NULL;
    int code = 0;

    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(context, commands);
    if (!g_option_context_parse(context, argc, argv, &error)) {
        fprintf(stderr, "levercove: %s\n", error->message);
        g_error_free(error);
        code = Err_ExitCode(ERR_BAD_REQUEST);
    }
    g_option_context_free(context);
    g_free(commands);
    return code;
}

/* Finds the command that the first one or two arguments name; sets `words` to
 * the number of those arguments. */
static const Command *
find_command(int argc, char **argv, int *words)
{
    const Command *command;

    for (command = command_table; command->name != NULL; command++) {
        char *two_words = argc > 2 ? g_strconcat(argv[1], " ", argv[2], NULL)
                                   : g_strdup("");
        *words = strchr(command->name, ' ') == NULL ? 1 : 2;
        if ((*words == 1 && argc > 1 && strcmp(argv[1], command->name) == 0) ||
            strcmp(two_words, command->name) == 0) {
            g_free(two_words);
            return command;
        }
        g_free(two_words);
    }
    return NULL;
}

/* Parses an address from an option or, without it, from an environment
 * variable. */
static int
parse_address(const char *name, const char *option, const char *variable,
              Address *address)
{
    const char *text = option == NULL ? g_getenv(variable) : option;

    if (text != NULL && !Address_Parse(text, address)) {
        fprintf(stderr, "levercove: %s %s: expected IP:port\n", name, text);
        return Err_ExitCode(ERR_BAD_REQUEST);
    }
    return 0;
}

static int
parse_options(Command_Options *options)
{
    int code = parse_address("entry", entry_text, "LEVERCOVE_ENTRY",
                             &options->entry);

    options->key = key_text;
    options->by = by_text == NULL ? g_get_user_name() : by_text;
    return code != 0 ? code
                     : parse_address("store", store_text, "LEVERCOVE_STORE",
                                     &options->store);
}

static int
run(int argc, char **argv)
{
    Command_Options options = {0};
    int words = 0;
    const Command *command = find_command(argc, argv, &words);
    int count = argc - 1 - (command == NULL ? 0 : words);
    int code = parse_options(&options);

    if (code != 0) {
        return code;
    }
    if (command == NULL) {
        fprintf(stderr, "levercove: unknown command, see --help\n");
        return Err_ExitCode(ERR_BAD_REQUEST);
    }
    if (count < command->min_arguments || count > command->max_arguments) {
        fprintf(stderr, "levercove: usage: levercove %s %s\n", command->name,
                command->arguments);
        return Err_ExitCode(ERR_BAD_REQUEST);
    }
    if (command->needs_entry && options.entry == 0) {
        fprintf(stderr, "levercove: specify --entry or set LEVERCOVE_ENTRY\n");
        return Err_ExitCode(ERR_BAD_REQUEST);
    }
    if (command->needs_store && options.store == 0) {
        fprintf(stderr, "levercove: specify --store or set LEVERCOVE_STORE\n");
        return Err_ExitCode(ERR_BAD_REQUEST);
    }
    return command->run(&options, count, argv + 1 + words);
}

int
main(int argc, char **argv)
{
    int code = parse_arguments(&argc, &argv);

    if (code != 0) {
        return code;
    }
    if (show_version) {
        printf("levercove %s, build %s\n", LC_VERSION_TEXT, version_build_id);
        return 0;
    }
    return run(argc, argv);
}

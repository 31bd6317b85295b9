#include "cli/owner_commands.h"

#include <jansson.h>
#include <stdio.h>

#include "cli/http_exchange.h"

static const char *
text_of(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));

    return text == NULL ? "?" : text;
}

static void
print_job(const char *process, const json_t *job)
{
    printf("%-22s %-16s %-22s %16lld %7lld %-8s %-4s %s\n", process,
           text_of(job, "job"), text_of(job, "owner"),
           (long long)json_integer_value(json_object_get(job, "identity")),
           (long long)json_integer_value(json_object_get(job, "changes")),
           json_is_true(json_object_get(job, "started")) ? "running"
                                                         : "pending",
           json_is_true(json_object_get(job, "here")) ? "yes" : "no",
           text_of(job, "queue"));
}

static int
show_process(const char *text)
{
    HttpExchange_Answer answer = {0};
    Status status = {ERR_OK, ""};
    json_t *state = NULL;
    const json_t *jobs;
    const json_t *job;
    size_t i;
    int code = 0;

    if (HttpExchange_ReadState(text, &answer, &status) == ERR_OK) {
        state = json_loadb(answer.body, answer.length, 0, NULL);
    }
    else if (status.kind == ERR_BAD_REQUEST) {
        code = HttpExchange_PrintError(&status);
        goto done;
    }
    jobs = json_object_get(json_object_get(state, "kept"), "jobs");
    if (!json_is_array(jobs)) {
        printf("%-22s %s\n", text,
               state == NULL ? "no answer" : "not an entry of leased jobs");
        code = Err_ExitCode(ERR_IO);
        goto done;
    }
    if (json_array_size(jobs) == 0) {
        printf("%-22s no durable job is open\n", text);
    }
    json_array_foreach(jobs, i, job)
    {
        print_job(text, job);
    }
done:
    json_decref(state);
    HttpExchange_Clear(&answer);
    return code;
}

int
OwnerCommands_Show(const Command_Options *options, int count, char **arguments)
{
    int code = 0;
    int i;

    (void)options;
    printf("%-22s %-16s %-22s %16s %7s %-8s %-4s %s\n", "process", "job",
           "owner", "identity", "changes", "state", "here", "queue");
    for (i = 0; i < count; i++) {
        int failed = show_process(arguments[i]);
        code = code == 0 ? failed : code;
    }
    return code;
}

/* Prints the events (argument "events") or the error kinds as rows of the
 * Markdown tables in the docs. */

#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/event.h"

static void
print_events(void)
{
    int i;

    for (i = 0; i < EVENT_COUNT; i++) {
        printf("| LC%d | %s |\n", Event_Number((Event_Id)i),
               Event_Text((Event_Id)i));
    }
}

static void
print_errors(void)
{
    int i;

    for (i = 0; i < ERR_COUNT; i++) {
        Err_Kind kind = (Err_Kind)i;
        printf("| `%s` | %d | %d | %s | %s |\n", Err_Text(kind),
               Err_HttpStatus(kind), Err_ExitCode(kind),
               Err_OutcomeText(Err_Outcome(kind)),
               Err_HasRetryAfter(kind) ? "yes" : "no");
    }
}

int
main(int argc, char **argv)
{
    if (argc == 2 && strcmp(argv[1], "events") == 0) {
        print_events();
    }
    else {
        print_errors();
    }
    return 0;
}

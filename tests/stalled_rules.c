/*
 * Rules of a companion whose process was stalled, while its upstream has
 * restarted under its name.
 */

#include <glib.h>

#include "tests/runner_fixture.h"
#include "tests/test_table.h"

#define FIRST_BORN_MS 1700000000000
#define VALID_MS 500
/* Longer than lease and hold, so that the entry's caller may submit the job
 * elsewhere. */
#define STALL_MS 2273

/* Guards against two runs at once: the next incarnation, on whose clock the
 * deadline of the start means nothing, would execute a copy of it. */
static void
test_no_copy_after_the_deadline(void)
{
    runner_fixture fix;

    RunnerFix_New(&fix);
    fix.born_ms = FIRST_BORN_MS;
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    RunnerFix_CallRun(&fix, 1, 1, 1000, VALID_MS);
    g_assert_cmpint(fix.starts, ==, 1);
    fix.now_ms += STALL_MS;
    Runner_CheckOverdue(fix.runner, fix.now_ms);
    Runner_Tick(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, ==, 1);
    Runner_Free(fix.runner);
}

static const TestTable_Row rules[] = {
    {"/stalled/no copy of a start is sent after its deadline",
     test_no_copy_after_the_deadline},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

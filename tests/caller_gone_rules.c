/*
 * Rules of an entry whose caller has left: what it sends to a companion must
 * not keep the runs of that caller.
 */

#include <glib.h>

#include "tests/entry_fixture.h"
#include "tests/test_table.h"

#define JOB 5

static void
begin(EntryFix *fix)
{
    EntryFix_Open(fix, 0x7f0000011b59, 0);
    EntryFix_Report(fix, 0, 4);
    EntryFix_Submit(fix, JOB, 1, 0);
    g_assert_cmpint(fix->start_count, ==, 1);
    fix->renewed_tasks = 3;
    EntryFix_Advance(fix, 200);
    g_assert_cmpint(EntryFix_CountCalls(fix, MSG_RENEW), >, 0);
}

/* The connection breaks with the HALT. On the next one the HALT goes again
 * before any renewal, as a renewal keeps the run. */
static void
test_halt_again_before_a_renewal(void)
{
    EntryFix *fix = g_new0(EntryFix, 1);
    const EntryFix_Call *halt;
    int halts;
    int i;

    begin(fix);
    Dispatcher_OnCallerDisconnect(fix->dispatcher, fix->now_ms, JOB);
    halt = EntryFix_LastCall(fix, MSG_HALT);
    fix->renewed_tasks = 0;
    EntryFix_Advance(fix, 120); /* a renewal waits behind the HALT */
    Dispatcher_OnReply(fix->dispatcher, fix->now_ms, halt->call_id, NULL);
    Dispatcher_OnReply(fix->dispatcher, fix->now_ms,
                       EntryFix_LastCall(fix, MSG_RENEW)->call_id, NULL);
    i = fix->call_count;
    halts = EntryFix_CountCalls(fix, MSG_HALT);
    EntryFix_Report(fix, 0, 3); /* the companion is heard again */
    EntryFix_Advance(fix, 300);
    g_assert_cmpint(EntryFix_CountCalls(fix, MSG_HALT), >, halts);
    g_assert_cmpint(i, <, fix->call_count);
    g_assert_cmpint(fix->calls[i].kind, ==, MSG_HALT);
    EntryFix_Close(fix);
    g_free(fix);
}

/* Until the input that waited during a stall of the entry has been read, no
 * renewal keeps a run whose caller may have left. */
static void
test_no_renewal_before_the_input_is_read(void)
{
    EntryFix *fix = g_new0(EntryFix, 1);
    int renewals;

    begin(fix);
    renewals = EntryFix_CountCalls(fix, MSG_RENEW);
    fix->now_ms += 550; /* the caller leaves meanwhile; lease is 589 ms */
    Dispatcher_Pause(fix->dispatcher);
    Dispatcher_Tick(fix->dispatcher, fix->now_ms);
    g_assert_cmpint(EntryFix_CountCalls(fix, MSG_RENEW), ==, renewals);
    EntryFix_Close(fix);
    g_free(fix);
}

static const TestTable_Row tests[] = {
    {"/caller_gone/halt_again_before_a_renewal",
     test_halt_again_before_a_renewal},
    {"/caller_gone/no_renewal_before_the_input_is_read",
     test_no_renewal_before_the_input_is_read},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, tests, G_N_ELEMENTS(tests));
}

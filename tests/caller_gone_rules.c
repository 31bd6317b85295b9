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
    EntryFix_OpenStarted(fix, 0x7f0000011b59, JOB);
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

/* The connection breaks with a HALT and with a start that was sent after it.
 * The start, which carries a later end of the lease than the companion has
 * heard of, is not repeated before the HALT either. */
static void
test_halt_again_before_a_start(void)
{
    EntryFix *fix = g_new0(EntryFix, 1);
    const EntryFix_Call *halt;
    int64_t halted_ms = 0;
    int64_t heard_ms; /* end of the lease that the companion has heard of */
    int starts;
    int halts;
    int i;

    begin(fix);
    heard_ms = EntryFix_LastCall(fix, MSG_RENEW)->renew.valid_until_ms;
    EntryFix_Report(fix, 0, 4);
    Dispatcher_OnCallerDisconnect(fix->dispatcher, fix->now_ms, JOB);
    fix->renewed_tasks = 0;
    for (i = 0; i < 3; i++) { /* the HALT has been lost before */
        halt = EntryFix_LastCall(fix, MSG_HALT);
        halts = EntryFix_CountCalls(fix, MSG_HALT);
        Dispatcher_OnReply(fix->dispatcher, fix->now_ms, halt->call_id, NULL);
        while (EntryFix_CountCalls(fix, MSG_HALT) == halts) {
            EntryFix_Advance(fix, 10);
        }
    }
    EntryFix_Report(fix, 0, 4);
    EntryFix_Submit(fix, JOB + 1, 1, 0);
    EntryFix_Advance(fix, 1);
    starts = fix->start_count;
    g_assert_cmpint(starts, ==, 2);
    halts = EntryFix_CountCalls(fix, MSG_HALT);
    halt = EntryFix_LastCall(fix, MSG_HALT);
    Dispatcher_OnReply(fix->dispatcher, fix->now_ms, halt->call_id, NULL);
    EntryFix_BreakConnection(fix, &fix->starts[starts - 1]);
    while (fix->start_count == starts) {
        EntryFix_Advance(fix, 10);
        if (halted_ms == 0 && EntryFix_CountCalls(fix, MSG_HALT) > halts) {
            halted_ms = fix->now_ms;
        }
    }
    g_assert_cmpint(fix->starts[starts].valid_until_ms, >, heard_ms);
    g_assert_cmpint(halted_ms, >, 0);
    EntryFix_Close(fix);
    g_free(fix);
}

static const TestTable_Row tests[] = {
    {"/caller_gone/halt_again_before_a_start", test_halt_again_before_a_start},
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

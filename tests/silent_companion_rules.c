/*
 * Tests of companions that fall silent while the upstream may still execute a
 * start of an entry's own run: the entry is told while all is well which of
 * its starts are unsettled, and starts their tasks nowhere else.
 */

#include <glib.h>

#include "lease/run_id.h"
#include "tests/entry_fixture.h"
#include "tests/runner_fixture.h"
#include "tests/test_table.h"

#define JOB 1
#define RUN 3
#define VALID_MS 500
#define BORN_MS 1700000000000
#define LATE_MS 4000
/* After a message, leases have certainly ended and the companion counts as
 * silent. */
#define SILENT_MS 2000
#define RENEWED_MS 400

/* ---- companions ---- */

static void
renew(runner_fixture *fix, uint64_t target)
{
    Msg_Call call = {.kind = MSG_RENEW};

    call.u.renew.owner = fix->owner;
    call.u.renew.target = target;
    call.u.renew.valid_until_ms = fix->now_ms + VALID_MS;
    Runner_OnCall(fix->runner, fix->now_ms, 9, &call);
}

static void
renew_here(runner_fixture *fix)
{
    const lc_node companion = RUNNER_FIX_COMPANION;

    renew(fix, companion.incarnation);
}

static void
test_unanswered_start_is_told(void)
{
    lc_run_id run = RunnerFix_Run(JOB, RUN);
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    renew_here(&fix);
    g_assert_true(fix.starts_told);
    g_assert_cmpuint(fix.unsettled, ==, 1);
    g_assert_true(RunId_Equal(&fix.unsettled_run, &run));
    Runner_Free(fix.runner);
}

static void
test_answered_start_is_settled(void)
{
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    renew_here(&fix);
    g_assert_true(fix.starts_told);
    g_assert_cmpuint(fix.unsettled, ==, 0);
    Runner_Free(fix.runner);
}

/* One copy of two is answered. */
static void
test_copy_is_told(void)
{
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    fix.now_ms += 150;
    Runner_CheckOverdue(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, ==, 2);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    renew_here(&fix);
    g_assert_cmpuint(fix.unsettled, ==, 1);
    Runner_Free(fix.runner);
}

/* The entry renews under the identity of an origin, or of its own jobs. */
static void
test_starts_of_others(void)
{
    lc_node other = {1, 1};
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    fix.owner.incarnation++;
    renew_here(&fix);
    g_assert_cmpuint(fix.unsettled, ==, 1);
    fix.owner = other;
    renew_here(&fix);
    g_assert_true(fix.starts_told);
    g_assert_cmpuint(fix.unsettled, ==, 0);
    Runner_Free(fix.runner);
}

static void
test_another_incarnation_tells_nothing(void)
{
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    renew(&fix, 1);
    g_assert_false(fix.starts_told);
    Runner_Free(fix.runner);
}

static void
test_too_many_starts(void)
{
    runner_fixture fix;
    uint64_t job;

    RunnerFix_NewBorn(&fix, BORN_MS);
    for (job = 1; job <= LC_MAX_LATE_STARTS; job++) {
        RunnerFix_CallRun(&fix, job, RUN, 1000, VALID_MS);
    }
    renew_here(&fix);
    g_assert_true(fix.starts_told);
    g_assert_cmpuint(fix.unsettled, ==, LC_MAX_LATE_STARTS);
    RunnerFix_CallRun(&fix, job, RUN, 1000, VALID_MS);
    renew_here(&fix);
    g_assert_false(fix.starts_told);
    g_assert_cmpuint(fix.unsettled, ==, 0);
    Runner_Free(fix.runner);
}

static void
test_late_time_is_reported(void)
{
    lc_report_args report;
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    Runner_Report(fix.runner, fix.now_ms, &report);
    g_assert_cmpuint(report.late_ms, ==, RUNNER_FIX_LATE_MS);
    Runner_Free(fix.runner);
    RunnerFix_NewBorn(&fix, 0);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    renew_here(&fix);
    g_assert_false(fix.starts_told);
    Runner_Report(fix.runner, fix.now_ms, &report);
    g_assert_cmpuint(report.late_ms, ==, 0);
    Runner_Free(fix.runner);
}

/* ---- entries ---- */

/* Reports companion 0, which promises no further report. */
static void
report_once(EntryFix *fix)
{
    lc_report_args report;

    EntryFix_FillReport(fix, 0, 4, &report);
    report.next_ms = 0;
    Dispatcher_OnReport(fix->dispatcher, fix->now_ms, &report);
}

/* Opens an entry that has started one task at companion 0; companion 1 is
 * well.
 */
static void
open_entry(EntryFix *fix, uint32_t late_ms)
{
    EntryFix_Open(fix, 1, 0);
    fix->late_ms = late_ms;
    fix->starts_told = true;
    report_once(fix);
    EntryFix_Submit(fix, JOB, 1, 0);
    g_assert_cmpint(fix->start_count, ==, 1);
    EntryFix_Report(fix, 1, 4);
}

/* Lets companion 0 answer renewals for a while. */
static void
renew_for_a_while(EntryFix *fix)
{
    fix->renewed_tasks = 4;
    EntryFix_Advance(fix, RENEWED_MS);
    fix->renewed_tasks = 0;
}

static void
assert_repeated_elsewhere(EntryFix *fix)
{
    EntryFix_Advance(fix, SILENT_MS);
    g_assert_cmpint(fix->start_count, ==, 2);
    g_assert_cmpuint(fix->starts[1].to, ==, EntryFix_Host(1).address);
    g_assert_cmpint(fix->answer_count, ==, 0);
}

static void
assert_given_up(EntryFix *fix)
{
    EntryFix_Advance(fix, SILENT_MS);
    g_assert_cmpint(fix->start_count, ==, 1);
    g_assert_cmpint(fix->answer_count, ==, 1);
    g_assert_cmpint(fix->answers[0].outcome, ==, DISPATCHER_GIVEN_UP);
    g_assert_cmpint(fix->answers[0].kind, ==, ERR_UNSETTLED);
}

static void
assert_refused_again(EntryFix *fix)
{
    EntryFix_Submit(fix, JOB, 1, 0);
    g_assert_cmpint(fix->start_count, ==, 1);
    g_assert_cmpint(fix->answer_count, ==, 2);
    g_assert_cmpint(fix->answers[1].outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(fix->answers[1].kind, ==, ERR_UNSETTLED);
}

static void
test_silent_before_any_renewal(void)
{
    EntryFix fix;

    open_entry(&fix, LATE_MS);
    assert_given_up(&fix);
    EntryFix_Close(&fix);
}

static void
test_settled_task_is_repeated(void)
{
    EntryFix fix;

    open_entry(&fix, LATE_MS);
    renew_for_a_while(&fix);
    assert_repeated_elsewhere(&fix);
    EntryFix_Close(&fix);
}

static void
test_unsettled_task_is_not_repeated(void)
{
    EntryFix fix;

    open_entry(&fix, LATE_MS);
    fix.unsettled = fix.starts[0].id;
    renew_for_a_while(&fix);
    assert_given_up(&fix);
    EntryFix_Close(&fix);
}

static void
test_unsettled_start_of_another_task(void)
{
    EntryFix fix;

    open_entry(&fix, LATE_MS);
    fix.unsettled = RunnerFix_Run(JOB + 1, RUN);
    renew_for_a_while(&fix);
    assert_repeated_elsewhere(&fix);
    EntryFix_Close(&fix);
}

/* The last answer to a renewal counts. */
static void
test_task_that_was_settled(void)
{
    EntryFix fix;

    open_entry(&fix, LATE_MS);
    fix.unsettled = fix.starts[0].id;
    renew_for_a_while(&fix);
    fix.unsettled.run = 0;
    renew_for_a_while(&fix);
    assert_repeated_elsewhere(&fix);
    EntryFix_Close(&fix);
}

/* A companion of an earlier version, or one that has too many unsettled
 * starts, tells nothing. */
static void
test_answer_without_the_list(void)
{
    EntryFix fix;

    open_entry(&fix, LATE_MS);
    fix.starts_told = false;
    renew_for_a_while(&fix);
    assert_given_up(&fix);
    EntryFix_Close(&fix);
}

/* The renewal was sent before the start. */
static void
test_start_after_the_renewal(void)
{
    EntryFix fix;

    open_entry(&fix, LATE_MS);
    renew_for_a_while(&fix);
    EntryFix_Report(&fix, 1, 0);
    EntryFix_Submit(&fix, JOB + 1, 1, 0);
    g_assert_cmpint(fix.start_count, ==, 2);
    g_assert_cmpuint(fix.starts[1].to, ==, EntryFix_Host(0).address);
    EntryFix_Report(&fix, 1, 4);
    EntryFix_Advance(&fix, SILENT_MS);
    g_assert_cmpint(fix.start_count, ==, 3);
    g_assert_cmpuint(fix.starts[2].id.job, ==, JOB);
    g_assert_cmpint(fix.answer_count, ==, 1);
    g_assert_cmpuint(fix.answers[0].request, ==, JOB + 1);
    g_assert_cmpint(fix.answers[0].kind, ==, ERR_UNSETTLED);
    EntryFix_Close(&fix);
}

static void
test_upstream_that_gets_another_name(void)
{
    EntryFix fix;

    open_entry(&fix, 0);
    assert_repeated_elsewhere(&fix);
    EntryFix_Close(&fix);
}

/* The start is still on the broken connection when the companion answers a
 * renewal that came over the next one. */
static void
test_broken_connection(void)
{
    EntryFix fix;

    open_entry(&fix, LATE_MS);
    EntryFix_BreakConnection(&fix, &fix.starts[0]);
    fix.renewed_tasks = 4;
    EntryFix_Advance(&fix, 51);
    fix.renewed_tasks = 0;
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_RENEW), ==, 1);
    EntryFix_Advance(&fix, SILENT_MS);
    g_assert_cmpint(fix.answer_count, ==, 1);
    g_assert_cmpint(fix.answers[0].kind, ==, ERR_UNSETTLED);
    EntryFix_Close(&fix);
}

static void
test_connection_that_breaks_later(void)
{
    EntryFix fix;

    open_entry(&fix, LATE_MS);
    renew_for_a_while(&fix);
    EntryFix_BreakConnection(&fix, &fix.starts[0]);
    EntryFix_Advance(&fix, SILENT_MS);
    g_assert_cmpuint(fix.starts[fix.start_count - 1].to, ==,
                     EntryFix_Host(1).address);
    g_assert_cmpint(fix.answer_count, ==, 0);
    EntryFix_Close(&fix);
}

/* The caller comes again to the entry, until the start has expired. */
static void
test_job_that_comes_again(void)
{
    EntryFix fix;

    open_entry(&fix, LATE_MS);
    assert_given_up(&fix);
    assert_refused_again(&fix);
    EntryFix_Advance(&fix, LATE_MS);
    EntryFix_Submit(&fix, JOB, 1, 0);
    g_assert_cmpint(fix.start_count, ==, 2);
    g_assert_cmpuint(fix.starts[1].to, ==, EntryFix_Host(1).address);
    EntryFix_Close(&fix);
}

static void
test_caller_that_hung_up(void)
{
    EntryFix fix;

    open_entry(&fix, LATE_MS);
    Dispatcher_OnCallerDisconnect(fix.dispatcher, fix.now_ms, JOB);
    EntryFix_Advance(&fix, SILENT_MS);
    EntryFix_Submit(&fix, JOB, 1, 0);
    g_assert_cmpint(fix.start_count, ==, 1);
    g_assert_cmpint(fix.answer_count, ==, 1);
    g_assert_cmpint(fix.answers[0].kind, ==, ERR_UNSETTLED);
    EntryFix_Close(&fix);
}

/* It was silent for a while, and its list does not have the start. */
static void
test_companion_that_is_heard_again(void)
{
    lc_report_args report;
    EntryFix fix;

    open_entry(&fix, LATE_MS);
    assert_given_up(&fix);
    EntryFix_FillReport(&fix, 0, 4, &report);
    report.late_starts_version = 1;
    Dispatcher_OnReport(fix.dispatcher, fix.now_ms, &report);
    EntryFix_Submit(&fix, JOB, 1, 0);
    g_assert_cmpint(fix.start_count, ==, 2);
    g_assert_cmpuint(fix.starts[1].to, ==, EntryFix_Host(0).address);
    g_assert_cmpuint(fix.starts[1].id.run, >, fix.starts[0].id.run);
    EntryFix_Close(&fix);
}

/* ---- the wire ---- */

/* Answers to renewals of a version without the list are shorter. */
static void
test_answer_of_an_earlier_version(void)
{
    Msg_Reply sent = {.kind = MSG_RENEW};
    GByteArray *bytes = g_byte_array_new();
    const uint8_t *body;
    size_t length;
    Msg_Record record;
    Msg_Reply read;

    sent.u.renew.host.tasks = 7;
    Msg_EncodeReply(&sent, 1, bytes);
    Msg_Decode(bytes->data + MSG_MARK_SIZE, bytes->len - MSG_MARK_SIZE,
               &record);
    body = bytes->data + MSG_MARK_SIZE + record.body;
    length = bytes->len - MSG_MARK_SIZE - record.body;
    g_assert_true(Msg_DecodeReply(MSG_RENEW, body, length - 8, &read));
    g_assert_cmpuint(read.u.renew.host.tasks, ==, 7);
    g_assert_false(read.u.renew.starts_told);
    Msg_FreeReply(&read);
    g_assert_false(Msg_DecodeReply(MSG_RENEW, body, length - 12, &read));
    g_byte_array_unref(bytes);
}

int
main(int argc, char **argv)
{
    static const TestTable_Row rules[] = {
        {"/silent/an unanswered start is told", test_unanswered_start_is_told},
        {"/silent/an answered start is settled",
         test_answered_start_is_settled},
        {"/silent/an unanswered copy is told", test_copy_is_told},
        {"/silent/starts of other owners", test_starts_of_others},
        {"/silent/another incarnation tells nothing",
         test_another_incarnation_tells_nothing},
        {"/silent/too many starts", test_too_many_starts},
        {"/silent/the late time is reported", test_late_time_is_reported},
        {"/silent/before any renewal", test_silent_before_any_renewal},
        {"/silent/a settled task is repeated", test_settled_task_is_repeated},
        {"/silent/an unsettled task is not repeated",
         test_unsettled_task_is_not_repeated},
        {"/silent/an unsettled start of another task",
         test_unsettled_start_of_another_task},
        {"/silent/a task that was settled", test_task_that_was_settled},
        {"/silent/an answer without the list", test_answer_without_the_list},
        {"/silent/a start after the renewal", test_start_after_the_renewal},
        {"/silent/an upstream that gets another name",
         test_upstream_that_gets_another_name},
        {"/silent/a broken connection", test_broken_connection},
        {"/silent/a connection that breaks later",
         test_connection_that_breaks_later},
        {"/silent/a job that comes again", test_job_that_comes_again},
        {"/silent/a caller that hung up", test_caller_that_hung_up},
        {"/silent/a companion that is heard again",
         test_companion_that_is_heard_again},
        {"/silent/an answer of an earlier version",
         test_answer_of_an_earlier_version},
    };

    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

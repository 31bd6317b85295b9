/*
 * Tests of starts that an upstream may execute late: an upstream that restarts
 * under its name knows neither the run nor its end, and executes a copy that
 * was unanswered until then. No other run of the task may be in progress
 * elsewhere, or have its end acknowledged, before such a copy has expired.
 */

#include <glib.h>
#include <string.h>

#include "lease/run_id.h"
#include "tests/entry_fixture.h"
#include "tests/runner_fixture.h"
#include "tests/test_table.h"

#define JOB 1
#define RUN (RUN_ID_DURABLE_BASE + 1)
#define LATE_MS 4000
/* Longer than the delay before the first retry at the same companion. */
#define RETRY_MS 300
#define OWNER_INCARNATION 88
/* Starts in these tests are valid for VALID_MS; the last copy is sent at
 * COPY_MS. It may be written until it is no longer valid. */
#define VALID_MS 500
#define COPY_MS 150
#define COPY_LATE_MS (VALID_MS - COPY_MS + RUNNER_FIX_LATE_MS)

/* ---- companions ---- */

/* Sends a start whose first copy gets no answer and whose second copy is
 * accepted; returns the order id of the first. */
static uint64_t
send_two_copies(runner_fixture *fix)
{
    uint64_t first;

    RunnerFix_NewReady(fix);
    RunnerFix_CallRun(fix, JOB, RUN, 1000, VALID_MS);
    first = fix->start_id;
    fix->now_ms += COPY_MS;
    Runner_CheckOverdue(fix->runner, fix->now_ms);
    g_assert_cmpint(fix->starts, ==, 2);
    Runner_OnStarted(fix->runner, fix->now_ms, fix->start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    return first;
}

static void
fail_run(runner_fixture *fix)
{
    Runner_EndedRun ended = {5, RunnerFix_Run(JOB, RUN), RUNNER_END_FAILED};

    RunnerFix_AnswerPoll(fix, NULL, 0, &ended, 1);
    g_assert_cmpint(fix->status, ==, LC_RUN_FAILED);
}

static void
test_unanswered_copy_is_told(void)
{
    runner_fixture fix;

    send_two_copies(&fix);
    fix.now_ms += 50;
    fail_run(&fix);
    g_assert_cmpuint(fix.late_start_ms, ==, COPY_LATE_MS - 50);
    Runner_Free(fix.runner);
}

static void
test_answered_copies_are_not_told(void)
{
    runner_fixture fix;
    uint64_t first = send_two_copies(&fix);

    Runner_OnStarted(fix.runner, fix.now_ms, first, RUNNER_ORDER_SUPERSEDED,
                     CLOCK_MS);
    fail_run(&fix);
    g_assert_cmpuint(fix.late_start_ms, ==, 0);
    Runner_Free(fix.runner);
}

/* The refusal of a later run tells of the copy as well. */
static void
test_refused_run_tells_of_earlier_copy(void)
{
    runner_fixture fix;

    send_two_copies(&fix);
    fail_run(&fix);
    RunnerFix_CallRun(&fix, JOB, RUN + 1, 99000, 500);
    g_assert_cmpint(fix.status, ==, LC_RUN_NO_ROOM);
    g_assert_cmpuint(fix.late_start_ms, ==, COPY_LATE_MS);
    Runner_Free(fix.runner);
}

/* Orders name the instance, so that one of another name does not execute
 * them. */
static void
test_another_name_executes_no_copy(void)
{
    runner_fixture fix;

    send_two_copies(&fix);
    fail_run(&fix);
    RunnerFix_AnswerPollOther(&fix);
    RunnerFix_HeartbeatOf(&fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    RunnerFix_CallRun(&fix, JOB, RUN + 1, 99000, 500);
    g_assert_cmpuint(fix.late_start_ms, ==, COPY_LATE_MS);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    RunnerFix_CallRun(&fix, JOB, RUN + 2, 99000, 500);
    g_assert_cmpuint(fix.late_start_ms, ==, 0);
    Runner_Free(fix.runner);
}

/* The previous process of the companion may have sent the start, and copies of
 * it, until this one was started. */
static void
test_unknown_run_is_told(void)
{
    runner_fixture fix;

    RunnerFix_NewReady(&fix);
    fix.now_ms += 100;
    RunnerFix_QueryRun(&fix, JOB, RUN);
    g_assert_cmpint(fix.status, ==, LC_RUN_EXPIRED);
    g_assert_cmpuint(fix.late_start_ms, ==, RUNNER_FIX_LATE_MS - 100);
    RunnerFix_CallRun(&fix, JOB + 1, RUN, 99000, 500);
    g_assert_cmpuint(fix.late_start_ms, ==, 0);
    Runner_Free(fix.runner);
}

static void
test_successor_is_told(void)
{
    runner_fixture fix;

    send_two_copies(&fix);
    fail_run(&fix);
    fix.now_ms += 1000;
    RunnerFix_FenceEntry(&fix);
    g_assert_cmpuint(fix.late_starts, ==, 1);
    g_assert_cmpuint(fix.late.id.job, ==, JOB);
    g_assert_cmpuint(fix.late.late_start_ms, ==, COPY_LATE_MS - 1000);
    fix.now_ms += COPY_LATE_MS - 1000;
    RunnerFix_FenceEntry(&fix);
    g_assert_cmpuint(fix.late_starts, ==, 0);
    Runner_Free(fix.runner);
}

/* ---- entries ---- */

static void
add_durable(EntryFix *fix, uint32_t tasks, const GArray *late_starts)
{
    GByteArray *done = g_byte_array_new();
    GArray *failures = g_array_new(FALSE, TRUE, sizeof(lc_kept_failures));
    GArray *runs = g_array_new(FALSE, TRUE, sizeof(Dispatcher_ReportedRun));
    Dispatcher_DurableJob start = {.queue = Route_Reference(fix->route),
                                   .route = fix->route,
                                   .done = done,
                                   .failures = failures,
                                   .runs = runs,
                                   .late_starts = late_starts,
                                   .run_base = RUN_ID_DURABLE_BASE};

    Dispatcher_SetDurableOwner(fix->dispatcher, OWNER_INCARNATION);
    Dispatcher_AllowDurable(fix->dispatcher, INT64_MAX, INT64_MAX);
    start.job.id = JOB;
    start.job.spec = g_strdup("");
    start.job.step_count = 1;
    start.job.steps = g_new0(LeasedJob_Step, 1);
    start.job.steps[0].count = tasks;
    start.job.steps[0].need.cpu_milli = 1000;
    start.job.steps[0].estimate_ms = 100;
    Dispatcher_AddDurable(fix->dispatcher, fix->now_ms, &start);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
    g_byte_array_unref(done);
    g_array_unref(failures);
    g_array_unref(runs);
}

static const EntryFix_Start *
last_start(const EntryFix *fix)
{
    g_assert_cmpint(fix->start_count, >, 0);
    return &fix->starts[fix->start_count - 1];
}

static void
report_both(EntryFix *fix)
{
    EntryFix_Report(fix, 0, 4);
    EntryFix_Report(fix, 1, 4);
}

/* Opens an entry that has started one task of a durable job at companion 0,
 * before companion 1 is known. */
static void
open_with_start(EntryFix *fix)
{
    EntryFix_Open(fix, 1, 0);
    EntryFix_Report(fix, 0, 4);
    add_durable(fix, 1, NULL);
    g_assert_cmpint(fix->start_count, ==, 1);
    fix->renewed_tasks = 4;
}

/* Guards against two runs at once, and against the acknowledged end of a run
 * elsewhere, when the upstream executes the copy late. */
static void
test_retry_stays_with_the_copy(void)
{
    EntryFix fix;

    open_with_start(&fix);
    fix.late_start_ms = LATE_MS;
    EntryFix_Reply(&fix, &fix.starts[0], LC_RUN_FAILED, 4);
    report_both(&fix);
    g_assert_cmpint(fix.start_count, ==, 1);
    EntryFix_Advance(&fix, RETRY_MS);
    g_assert_cmpint(fix.start_count, ==, 2);
    g_assert_cmpuint(last_start(&fix)->to, ==, EntryFix_Host(0).address);
    g_assert_cmpuint(last_start(&fix)->id.run, ==, RUN + 1);
    EntryFix_Close(&fix);
}

static void
test_answered_start_is_retried_elsewhere(void)
{
    EntryFix fix;

    open_with_start(&fix);
    EntryFix_Reply(&fix, &fix.starts[0], LC_RUN_FAILED, 0);
    EntryFix_Report(&fix, 1, 4);
    g_assert_cmpint(fix.start_count, ==, 2);
    g_assert_cmpuint(last_start(&fix)->to, ==, EntryFix_Host(1).address);
    EntryFix_Close(&fix);
}

/* The copy's own companion has no room: the task waits until the copy has
 * expired, and is started elsewhere then. */
static void
test_retry_waits_for_expiry(void)
{
    EntryFix fix;

    open_with_start(&fix);
    fix.late_start_ms = LATE_MS;
    EntryFix_Reply(&fix, &fix.starts[0], LC_RUN_LOST, 0);
    EntryFix_Advance(&fix, LATE_MS - 100);
    EntryFix_Report(&fix, 1, 4);
    EntryFix_Advance(&fix, 99);
    g_assert_cmpint(fix.start_count, ==, 1);
    EntryFix_Advance(&fix, 100);
    g_assert_cmpint(fix.start_count, ==, 2);
    g_assert_cmpuint(last_start(&fix)->to, ==, EntryFix_Host(1).address);
    EntryFix_Close(&fix);
}

/* The task has few attempts, which an upstream on trial would likely use up.
 */
static void
test_retry_waits_for_the_end_of_a_trial(void)
{
    EntryFix fix;

    open_with_start(&fix);
    fix.late_start_ms = LATE_MS;
    fix.on_trial = true;
    EntryFix_Reply(&fix, &fix.starts[0], LC_RUN_FAILED, 4);
    EntryFix_Advance(&fix, RETRY_MS);
    g_assert_cmpint(fix.start_count, ==, 1);
    fix.on_trial = false;
    EntryFix_Report(&fix, 0, 4);
    g_assert_cmpint(fix.start_count, ==, 2);
    EntryFix_Close(&fix);
}

/* A task that waits for its companion does not delay the others of its job. */
static void
test_other_tasks_go_on(void)
{
    EntryFix fix;

    EntryFix_Open(&fix, 1, 0);
    EntryFix_Report(&fix, 0, 1);
    add_durable(&fix, 2, NULL);
    g_assert_cmpint(fix.start_count, ==, 1);
    fix.late_start_ms = LATE_MS;
    EntryFix_Reply(&fix, &fix.starts[0], LC_RUN_LOST, 0);
    EntryFix_Report(&fix, 1, 4);
    g_assert_cmpint(fix.start_count, ==, 2);
    g_assert_cmpuint(last_start(&fix)->to, ==, EntryFix_Host(1).address);
    g_assert_cmpuint(last_start(&fix)->id.index, ==, 1);
    EntryFix_Close(&fix);
}

/* Starts known from the companions of an owner that is gone. */
static GArray *
found_at(const EntryFix *fix, uint32_t hosts)
{
    GArray *late_starts = g_array_new(FALSE, TRUE, sizeof(LateStart));
    uint32_t i;

    for (i = 0; i < hosts; i++) {
        LateStart late = {.id = RunnerFix_Run(JOB, RUN + i),
                          .companion = EntryFix_Host(i),
                          .until_ms = fix->now_ms + LATE_MS};
        g_array_append_val(late_starts, late);
    }
    return late_starts;
}

static void
test_successor_starts_where_the_copy_is(void)
{
    GArray *late_starts;
    EntryFix fix;

    EntryFix_Open(&fix, 1, 0);
    EntryFix_Report(&fix, 1, 4);
    late_starts = found_at(&fix, 1);
    add_durable(&fix, 1, late_starts);
    g_assert_cmpint(fix.start_count, ==, 0);
    EntryFix_Report(&fix, 0, 4);
    g_assert_cmpint(fix.start_count, ==, 1);
    g_assert_cmpuint(last_start(&fix)->to, ==, EntryFix_Host(0).address);
    g_array_unref(late_starts);
    EntryFix_Close(&fix);
}

static void
test_copies_at_two_companions(void)
{
    GArray *late_starts;
    EntryFix fix;

    EntryFix_Open(&fix, 1, 0);
    report_both(&fix);
    late_starts = found_at(&fix, 2);
    add_durable(&fix, 1, late_starts);
    EntryFix_Advance(&fix, LATE_MS - 100);
    report_both(&fix);
    g_assert_cmpint(fix.start_count, ==, 0);
    EntryFix_Advance(&fix, 200);
    g_assert_cmpint(fix.start_count, ==, 1);
    g_array_unref(late_starts);
    EntryFix_Close(&fix);
}

/* ---- the field on the wire ---- */

/* Replies of a version without the field are shorter. */
static void
test_reply_without_the_field(void)
{
    static const Msg_Kind kinds[] = {MSG_RUN, MSG_FENCE};
    guint i;

    for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
        Msg_Reply sent = {.kind = kinds[i]};
        GByteArray *bytes = g_byte_array_new();
        Msg_Record record;
        Msg_Reply read;
        const uint8_t *data;
        size_t length;

        Msg_EncodeReply(&sent, 1, bytes);
        data = bytes->data + MSG_MARK_SIZE;
        length = bytes->len - MSG_MARK_SIZE;
        Msg_Decode(data, length, &record);
        g_assert_cmpint(record.type, ==, MSG_IS_REPLY);
        data += record.body;
        length -= record.body;
        g_assert_true(Msg_DecodeReply(kinds[i], data, length, &read));
        Msg_FreeReply(&read);
        g_assert_true(Msg_DecodeReply(kinds[i], data, length - 4, &read));
        Msg_FreeReply(&read);
        g_assert_false(Msg_DecodeReply(kinds[i], data, length - 8, &read));
        g_byte_array_unref(bytes);
    }
}

int
main(int argc, char **argv)
{
    static const TestTable_Row rules[] = {
        {"/late start/an unanswered copy is told",
         test_unanswered_copy_is_told},
        {"/late start/answered copies are not told",
         test_answered_copies_are_not_told},
        {"/late start/a refusal tells of an earlier run's copy",
         test_refused_run_tells_of_earlier_copy},
        {"/late start/an upstream of another name executes no copy",
         test_another_name_executes_no_copy},
        {"/late start/a run of the previous process is told",
         test_unknown_run_is_told},
        {"/late start/the owner's successor is told", test_successor_is_told},
        {"/late start/the retry stays with the copy",
         test_retry_stays_with_the_copy},
        {"/late start/an answered start is retried elsewhere",
         test_answered_start_is_retried_elsewhere},
        {"/late start/the retry waits until the copy has expired",
         test_retry_waits_for_expiry},
        {"/late start/the retry waits for the end of a trial",
         test_retry_waits_for_the_end_of_a_trial},
        {"/late start/other tasks of the job go on", test_other_tasks_go_on},
        {"/late start/a successor starts where the copy is",
         test_successor_starts_where_the_copy_is},
        {"/late start/copies at two companions",
         test_copies_at_two_companions},
        {"/late start/a reply without the field is read",
         test_reply_without_the_field},
    };

    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

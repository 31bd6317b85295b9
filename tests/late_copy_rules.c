/*
 * Tests of late starts of leased jobs: an upstream that restarts under its
 * name executes a start that was unanswered until then, while the job may have
 * been submitted again. Companions list such starts, and entries start their
 * tasks at the listing companion alone.
 */

#include <glib.h>
#include <string.h>

#include "lease/run_id.h"
#include "tests/entry_fixture.h"
#include "tests/runner_fixture.h"
#include "tests/test_table.h"

#define JOB 1
#define RUN 3
#define VALID_MS 500
/* How long a start that is written at the end of its validity may be executed
 * late, counted from its order. */
#define LATE_MS (VALID_MS + RUNNER_FIX_LATE_MS)
#define BORN_MS 1700000000000
#define TICK_MS 50
/* Tombstones of leased runs are removed after this. */
#define RETENTION_MS 4000
/* Time after which a run is over whose upstream is gone. */
#define LOST_MS 200
#define LISTED_MS 4000
/* An upstream that is absent for this long is away. */
#define ABSENT_MS 300

/* ---- companions ---- */

static void
tick(runner_fixture *fix, int64_t ms)
{
    fix->now_ms += ms;
    Runner_Tick(fix->runner, fix->now_ms);
}

/* Fills in a report and returns the number of listed starts. */
static u_int
report_list(const runner_fixture *fix, lc_report_args *report)
{
    Runner_Report(fix->runner, fix->now_ms, report);
    return report->late_starts.late_starts_len;
}

static u_int
listed(const runner_fixture *fix)
{
    lc_report_args report;

    return report_list(fix, &report);
}

/* Ends the leases without an answer to any order. */
static void
lose_owner(runner_fixture *fix)
{
    tick(fix, VALID_MS);
}

static void
test_start_of_lost_owner_is_listed(void)
{
    lc_run_id run = RunnerFix_Run(JOB, RUN);
    lc_report_args report;
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    tick(&fix, TICK_MS);
    g_assert_cmpuint(listed(&fix), ==, 0);
    g_assert_cmpuint(Runner_LateStartsVersion(fix.runner, fix.now_ms), ==, 0);
    tick(&fix, VALID_MS - TICK_MS);
    g_assert_cmpuint(report_list(&fix, &report), ==, 1);
    g_assert_cmpuint(report.late_starts_version, ==, 1);
    g_assert_true(
        RunId_Equal(&report.late_starts.late_starts_val[0].id, &run));
    g_assert_cmpuint(report.late_starts.late_starts_val[0].late_start_ms, ==,
                     RUNNER_FIX_LATE_MS);
    Runner_Free(fix.runner);
}

/* The owner goes on; its caller has hung up. */
static void
test_halted_start_is_listed(void)
{
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    RunnerFix_CallHalt(&fix, JOB, RUN);
    tick(&fix, TICK_MS);
    g_assert_cmpuint(listed(&fix), ==, 1);
    Runner_Free(fix.runner);
}

/* One copy of two was executed, and its task has failed. */
static void
test_failed_run_is_listed(void)
{
    Runner_EndedRun ended = {5, RunnerFix_Run(JOB, RUN), RUNNER_END_FAILED};
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    fix.now_ms += 150;
    Runner_CheckOverdue(fix.runner, fix.now_ms);
    g_assert_cmpint(fix.starts, ==, 2);
    Runner_OnStarted(fix.runner, fix.now_ms, fix.start_id,
                     RUNNER_ORDER_ACCEPTED, CLOCK_MS);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_FAILED);
    g_assert_cmpuint(fix.late_start_ms, ==, LATE_MS - 150);
    tick(&fix, TICK_MS);
    g_assert_cmpuint(listed(&fix), ==, 1);
    Runner_Free(fix.runner);
}

/* The upstream lists the end of the run, so that it has executed the only copy
 * of the start. */
static void
test_observed_start_is_not_listed(void)
{
    Runner_EndedRun ended = {5, RunnerFix_Run(JOB, RUN), RUNNER_END_FAILED};
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_cmpint(fix.status, ==, LC_RUN_FAILED);
    g_assert_cmpuint(fix.late_start_ms, ==, 0);
    lose_owner(&fix);
    g_assert_cmpuint(listed(&fix), ==, 0);
    Runner_Free(fix.runner);
}

static void
test_answered_start_is_not_listed(void)
{
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_BeginTask(&fix);
    lose_owner(&fix);
    g_assert_cmpuint(listed(&fix), ==, 0);
    g_assert_cmpuint(Runner_LateStartsVersion(fix.runner, fix.now_ms), ==, 0);
    Runner_Free(fix.runner);
}

/* Its next incarnation has another name, and executes no copy. */
static void
test_upstream_without_start_time(void)
{
    Runner_EndedRun ended = {5, RunnerFix_Run(JOB, RUN), RUNNER_END_FAILED};
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, 0);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    RunnerFix_CallRun(&fix, JOB + 1, RUN, 1000, VALID_MS);
    RunnerFix_AnswerPoll(&fix, NULL, 0, &ended, 1);
    g_assert_cmpuint(fix.late_start_ms, ==, 0);
    lose_owner(&fix);
    g_assert_cmpuint(listed(&fix), ==, 0);
    Runner_Free(fix.runner);
}

/* Owners of durable jobs learn of late starts from RUN and FENCE. */
static void
test_durable_run_is_not_listed(void)
{
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_CallRun(&fix, JOB, RUN_ID_DURABLE_BASE + 1, 1000, VALID_MS);
    RunnerFix_CallHalt(&fix, JOB, RUN_ID_DURABLE_BASE + 1);
    tick(&fix, TICK_MS);
    g_assert_cmpuint(listed(&fix), ==, 0);
    Runner_Free(fix.runner);
}

static void
test_another_name_clears_the_list(void)
{
    lc_report_args report;
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    lose_owner(&fix);
    g_assert_cmpuint(listed(&fix), ==, 1);
    RunnerFix_AnswerPollOther(&fix);
    RunnerFix_HeartbeatOf(&fix, "i-2", 1, RUNNER_UPSTREAM_READY);
    tick(&fix, TICK_MS);
    g_assert_cmpuint(listed(&fix), ==, 1);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    tick(&fix, TICK_MS);
    g_assert_cmpuint(report_list(&fix, &report), ==, 0);
    g_assert_cmpuint(report.late_starts_version, ==, 2);
    Runner_Free(fix.runner);
}

/* The next incarnation under the name refuses the copy once it was polled, but
 * the one after that would execute it. */
static void
test_restart_under_the_name_clears_nothing(void)
{
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    lose_owner(&fix);
    fix.born_ms = BORN_MS + 1000;
    fix.heartbeats = 0;
    RunnerFix_Heartbeat(&fix, RUNNER_UPSTREAM_READY);
    RunnerFix_AnswerPoll(&fix, NULL, 0, NULL, 0);
    tick(&fix, TICK_MS);
    g_assert_cmpuint(listed(&fix), ==, 1);
    Runner_Free(fix.runner);
}

static void
test_list_expires(void)
{
    runner_fixture fix;

    RunnerFix_NewBorn(&fix, BORN_MS);
    RunnerFix_CallRun(&fix, JOB, RUN, 1000, VALID_MS);
    lose_owner(&fix);
    Runner_OnUpstreamExit(fix.runner, fix.now_ms, "i-1", BORN_MS);
    tick(&fix, LOST_MS); /* the run ends */
    tick(&fix, RETENTION_MS + TICK_MS);
    g_assert_cmpuint(listed(&fix), ==, 1);
    tick(&fix, LATE_MS - VALID_MS - LOST_MS - RETENTION_MS - TICK_MS - 1);
    g_assert_cmpuint(listed(&fix), ==, 1);
    tick(&fix, 1);
    g_assert_cmpuint(listed(&fix), ==, 0);
    g_assert_cmpuint(Runner_LateStartsVersion(fix.runner, fix.now_ms), ==, 0);
    Runner_Free(fix.runner);
}

static void
test_list_is_bounded(void)
{
    runner_fixture fix;
    uint64_t job;

    RunnerFix_NewBorn(&fix, BORN_MS);
    for (job = 1; job <= LC_MAX_LATE_STARTS + 10; job++) {
        RunnerFix_CallRun(&fix, job, RUN, 1000, VALID_MS);
    }
    lose_owner(&fix);
    g_assert_cmpuint(listed(&fix), ==, LC_MAX_LATE_STARTS);
    Runner_Free(fix.runner);
}

/* ---- entries ---- */

/* One start in a companion's list. */
static lc_late_start
late_start(uint64_t job, u_int run)
{
    lc_late_start late = {.id = RunnerFix_Run(job, run),
                          .late_start_ms = LISTED_MS};

    return late;
}

/* Reports a list of up to one start, from an incarnation of a companion. */
static void
send_list(EntryFix *fix, uint32_t host, lc_upstream_state state, u_int version,
          lc_late_start *late)
{
    lc_report_args report;

    EntryFix_FillReport(fix, host, 4, &report);
    report.host.state = state;
    report.late_starts_version = version;
    report.late_starts.late_starts_len = late == NULL ? 0 : 1;
    report.late_starts.late_starts_val = late;
    Dispatcher_OnReport(fix->dispatcher, fix->now_ms, &report);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
}

/* Opens an entry to which companion 0 has listed a start of the job, its
 * upstream being in a state for some time. */
static void
open_entry(EntryFix *fix, lc_upstream_state state)
{
    lc_late_start late = late_start(JOB, RUN);

    EntryFix_Open(fix, 1, 0);
    fix->renewed_tasks = 4;
    EntryFix_Report(fix, 1, 4);
    send_list(fix, 0, state, 0, NULL);
    fix->now_ms += ABSENT_MS;
    send_list(fix, 0, state, 1, &late);
}

static void
assert_started_at(const EntryFix *fix, int count, uint32_t host)
{
    g_assert_cmpint(fix->start_count, ==, count);
    g_assert_cmpuint(fix->starts[count - 1].to, ==,
                     EntryFix_Host(host).address);
}

static void
assert_refused(const EntryFix *fix)
{
    g_assert_cmpint(fix->answer_count, ==, 1);
    g_assert_cmpint(fix->answers[0].outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(fix->answers[0].kind, ==, ERR_UNSETTLED);
    g_assert_cmpuint(fix->answers[0].retry_ms, >, 0);
    g_assert_cmpuint(fix->answers[0].retry_ms, <=, DISPATCHER_RETRY_MS);
}

static void
test_job_is_refused_while_the_upstream_is_away(void)
{
    EntryFix fix;

    open_entry(&fix, LC_UPSTREAM_ABSENT);
    EntryFix_Submit(&fix, JOB, 1, 0);
    assert_refused(&fix);
    g_assert_cmpint(fix.start_count, ==, 0);
    EntryFix_Close(&fix);
}

/* It may be suspected only because some answers were lost. */
static void
test_job_waits_for_a_suspected_upstream(void)
{
    EntryFix fix;

    open_entry(&fix, LC_UPSTREAM_READY);
    send_list(&fix, 0, LC_UPSTREAM_ABSENT, 0, NULL);
    EntryFix_Submit(&fix, JOB, 1, 0);
    g_assert_cmpint(fix.start_count, ==, 0);
    g_assert_cmpint(fix.answer_count, ==, 0);
    EntryFix_Advance(&fix, TICK_MS);
    send_list(&fix, 0, LC_UPSTREAM_READY, 0, NULL);
    assert_started_at(&fix, 1, 0);
    EntryFix_Close(&fix);
}

static void
test_job_is_started_beside_its_late_start(void)
{
    EntryFix fix;

    open_entry(&fix, LC_UPSTREAM_READY);
    EntryFix_Submit(&fix, JOB, 1, 0);
    assert_started_at(&fix, 1, 0);
    g_assert_cmpuint(fix.starts[0].id.run, ==, RUN + 1);
    EntryFix_Close(&fix);
}

static void
test_upstream_on_trial_takes_the_job(void)
{
    EntryFix fix;

    open_entry(&fix, LC_UPSTREAM_TRIAL);
    EntryFix_Submit(&fix, JOB, 1, 0);
    assert_started_at(&fix, 1, 0);
    EntryFix_Close(&fix);
}

static void
test_other_jobs_are_started_anywhere(void)
{
    EntryFix fix;

    open_entry(&fix, LC_UPSTREAM_ABSENT);
    EntryFix_Submit(&fix, JOB + 1, 1, 0);
    assert_started_at(&fix, 1, 1);
    EntryFix_Close(&fix);
}

static void
test_job_is_started_anywhere_after_expiry(void)
{
    EntryFix fix;

    open_entry(&fix, LC_UPSTREAM_ABSENT);
    EntryFix_Advance(&fix, LISTED_MS);
    EntryFix_Submit(&fix, JOB, 1, 0);
    assert_started_at(&fix, 1, 1);
    g_assert_cmpuint(
        Dispatcher_LateStartsVersion(fix.dispatcher, &(lc_node){1 << 16, 1}),
        ==, 0);
    EntryFix_Close(&fix);
}

static void
test_newer_list_replaces(void)
{
    lc_late_start other = late_start(JOB + 1, RUN);
    EntryFix fix;

    open_entry(&fix, LC_UPSTREAM_ABSENT);
    send_list(&fix, 0, LC_UPSTREAM_ABSENT, 2, &other);
    EntryFix_Submit(&fix, JOB, 1, 0);
    assert_started_at(&fix, 1, 1);
    EntryFix_Submit(&fix, JOB + 1, 1, 0);
    assert_refused(&fix);
    EntryFix_Close(&fix);
}

static void
test_older_list_is_ignored(void)
{
    EntryFix fix;

    open_entry(&fix, LC_UPSTREAM_ABSENT);
    send_list(&fix, 0, LC_UPSTREAM_ABSENT, 1, NULL);
    EntryFix_Submit(&fix, JOB, 1, 0);
    assert_refused(&fix);
    EntryFix_Close(&fix);
}

static void
test_report_without_list_changes_nothing(void)
{
    EntryFix fix;

    open_entry(&fix, LC_UPSTREAM_ABSENT);
    send_list(&fix, 0, LC_UPSTREAM_ABSENT, 0, NULL);
    EntryFix_Submit(&fix, JOB, 1, 0);
    assert_refused(&fix);
    EntryFix_Close(&fix);
}

/* What another companion lists, and what the companion's next process does not
 * know, clears nothing. */
static void
test_lists_of_other_companions(void)
{
    lc_late_start other = late_start(JOB + 1, RUN);
    lc_report_args report;
    EntryFix fix;

    open_entry(&fix, LC_UPSTREAM_ABSENT);
    send_list(&fix, 1, LC_UPSTREAM_READY, 9, &other);
    EntryFix_FillReport(&fix, 0, 4, &report);
    report.host.node.incarnation++;
    report.host.state = LC_UPSTREAM_ABSENT;
    report.late_starts_version = 9;
    Dispatcher_OnReport(fix.dispatcher, fix.now_ms, &report);
    EntryFix_Submit(&fix, JOB, 1, 0);
    assert_refused(&fix);
    EntryFix_Close(&fix);
}

/* The companion's list changes for other jobs while the job waits. */
static void
test_task_is_bound_once(void)
{
    lc_late_start late = late_start(JOB, RUN);
    const Counters *counters;
    EntryFix fix;

    open_entry(&fix, LC_UPSTREAM_READY);
    counters = Dispatcher_Counters(fix.dispatcher);
    EntryFix_Report(&fix, 0, 0);
    EntryFix_Submit(&fix, JOB, 1, 0);
    send_list(&fix, 0, LC_UPSTREAM_ABSENT, 2, &late);
    g_assert_cmpuint(counters->value[COUNTER_TASKS_BOUND], ==, 1);
    EntryFix_Close(&fix);
}

static void
test_starts_at_two_companions(void)
{
    lc_late_start late = late_start(JOB, RUN);
    EntryFix fix;

    open_entry(&fix, LC_UPSTREAM_READY);
    send_list(&fix, 1, LC_UPSTREAM_READY, 1, &late);
    EntryFix_Submit(&fix, JOB, 1, 0);
    assert_refused(&fix);
    g_assert_cmpint(fix.start_count, ==, 0);
    EntryFix_Close(&fix);
}

/* A waiting job is bound when the list comes, and refused once the upstream
 * goes away. */
static void
test_waiting_job(void)
{
    lc_late_start late = late_start(JOB, RUN);
    EntryFix fix;

    EntryFix_Open(&fix, 1, 0);
    EntryFix_Report(&fix, 0, 0);
    EntryFix_Submit(&fix, JOB, 1, 0);
    send_list(&fix, 1, LC_UPSTREAM_DRAINING, 1, &late);
    EntryFix_Report(&fix, 0, 4);
    g_assert_cmpint(fix.start_count, ==, 0);
    EntryFix_Advance(&fix, TICK_MS);
    assert_refused(&fix);
    EntryFix_Close(&fix);
}

/* Opens an entry that has started one task at companion 0. */
static void
open_started(EntryFix *fix)
{
    EntryFix_OpenStarted(fix, 1, JOB);
    EntryFix_Report(fix, 1, 4);
    fix->renewed_tasks = 4;
    fix->late_start_ms = LISTED_MS;
}

static void
test_owner_retries_beside_the_late_start(void)
{
    EntryFix fix;

    open_started(&fix);
    EntryFix_Reply(&fix, &fix.starts[0], LC_RUN_LOST, 4);
    assert_started_at(&fix, 2, 0);
    EntryFix_Close(&fix);
}

/* Some of the job may have run, so it is not told as refused. */
static void
test_owner_gives_up_while_the_upstream_is_away(void)
{
    EntryFix fix;

    open_started(&fix);
    EntryFix_Reply(&fix, &fix.starts[0], LC_RUN_LOST, 0);
    send_list(&fix, 0, LC_UPSTREAM_ABSENT, 0, NULL);
    EntryFix_Advance(&fix, ABSENT_MS + TICK_MS);
    g_assert_cmpint(fix.start_count, ==, 1);
    g_assert_cmpint(fix.answer_count, ==, 1);
    g_assert_cmpint(fix.answers[0].outcome, ==, DISPATCHER_GIVEN_UP);
    g_assert_cmpint(fix.answers[0].kind, ==, ERR_UNSETTLED);
    EntryFix_Close(&fix);
}

/* ---- the wire ---- */

/* Reports, and the replies to them, of a version without the list are shorter.
 */
static void
test_messages_without_the_list(void)
{
    Msg_Call sent = {.kind = MSG_REPORT};
    Msg_Reply answer = {.kind = MSG_REPORT};
    lc_report_args *report = &sent.u.report;
    GByteArray *bytes = g_byte_array_new();
    Msg_Record record;
    Msg_Reply read;

    report->hall = report->service = report->instance =
        (char *)(uintptr_t) "name";
    report->next_ms = 500;
    Msg_EncodeCall(&sent, 1, bytes);
    Msg_Decode(bytes->data + MSG_MARK_SIZE, bytes->len - MSG_MARK_SIZE - 12,
               &record);
    g_assert_cmpint(record.type, ==, MSG_IS_CALL);
    g_assert_cmpuint(record.call.u.report.next_ms, ==, 500);
    g_assert_cmpuint(record.call.u.report.late_starts_version, ==, 0);
    Msg_FreeCall(&record.call);
    Msg_Decode(bytes->data + MSG_MARK_SIZE, bytes->len - MSG_MARK_SIZE - 16,
               &record);
    g_assert_cmpint(record.type, ==, MSG_IS_INVALID_CALL);

    g_byte_array_set_size(bytes, 0);
    answer.u.report.hall = (char *)(uintptr_t) "name";
    Msg_EncodeReply(&answer, 1, bytes);
    Msg_Decode(bytes->data + MSG_MARK_SIZE, bytes->len - MSG_MARK_SIZE,
               &record);
    g_assert_true(
        Msg_DecodeReply(MSG_REPORT, bytes->data + MSG_MARK_SIZE + record.body,
                        bytes->len - MSG_MARK_SIZE - record.body - 4, &read));
    Msg_FreeReply(&read);
    g_byte_array_unref(bytes);
}

int
main(int argc, char **argv)
{
    static const TestTable_Row rules[] = {
        {"/late copy/the start of a lost owner is listed",
         test_start_of_lost_owner_is_listed},
        {"/late copy/a halted start is listed", test_halted_start_is_listed},
        {"/late copy/a failed run is listed, and told to its owner",
         test_failed_run_is_listed},
        {"/late copy/a start whose run is known is not listed",
         test_observed_start_is_not_listed},
        {"/late copy/an answered start is not listed",
         test_answered_start_is_not_listed},
        {"/late copy/an upstream without a start time",
         test_upstream_without_start_time},
        {"/late copy/a durable run is not listed",
         test_durable_run_is_not_listed},
        {"/late copy/an upstream of another name clears the list",
         test_another_name_clears_the_list},
        {"/late copy/a restart under the name clears nothing",
         test_restart_under_the_name_clears_nothing},
        {"/late copy/the list expires", test_list_expires},
        {"/late copy/the list is bounded", test_list_is_bounded},
        {"/late copy/the job is refused while the upstream is away",
         test_job_is_refused_while_the_upstream_is_away},
        {"/late copy/the job waits for a suspected upstream",
         test_job_waits_for_a_suspected_upstream},
        {"/late copy/the job is started beside its late start",
         test_job_is_started_beside_its_late_start},
        {"/late copy/an upstream on trial takes the job",
         test_upstream_on_trial_takes_the_job},
        {"/late copy/other jobs are started anywhere",
         test_other_jobs_are_started_anywhere},
        {"/late copy/the job is started anywhere after expiry",
         test_job_is_started_anywhere_after_expiry},
        {"/late copy/a newer list replaces", test_newer_list_replaces},
        {"/late copy/an older list is ignored", test_older_list_is_ignored},
        {"/late copy/a report without a list changes nothing",
         test_report_without_list_changes_nothing},
        {"/late copy/lists of other companions",
         test_lists_of_other_companions},
        {"/late copy/a task is bound once", test_task_is_bound_once},
        {"/late copy/starts at two companions", test_starts_at_two_companions},
        {"/late copy/a waiting job", test_waiting_job},
        {"/late copy/the owner retries beside the late start",
         test_owner_retries_beside_the_late_start},
        {"/late copy/the owner gives up while the upstream is away",
         test_owner_gives_up_while_the_upstream_is_away},
        {"/late copy/messages of a version without the list",
         test_messages_without_the_list},
    };

    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

/*
 * Tests of forwarding: when an entry forwards a job to another one, what it
 * does when the other entry refuses, answers or is lost, and that no run
 * there outlasts the lease of the job.
 */
#include <glib.h>
#include <string.h>

#include "tests/entry_fixture.h"
#include "tests/test_table.h"

#define ORIGIN 7000
#define OTHER 7001
#define LINK_MBPS 10.0
#define HEADROOM 10000000
/* How far its clock is ahead of ours. */
#define OTHER_CLOCK_MS 500000
#define OTHER_INCARNATION 99

/* ---- the entry that forwards (origin) ---- */

static void
answer_extend(EntryFix *fix, uint64_t headroom)
{
    Msg_Reply reply = {.kind = MSG_EXTEND};

    reply.u.extend.node.address = OTHER;
    reply.u.extend.node.incarnation = OTHER_INCARNATION;
    reply.u.extend.stamp_ms = fix->now_ms + OTHER_CLOCK_MS;
    reply.u.extend.headroom = headroom;
    Dispatcher_OnReply(fix->dispatcher, fix->now_ms,
                       EntryFix_LastCall(fix, MSG_EXTEND)->call_id, &reply);
}

/* Opens an entry whose link is congested and that has queried the other one,
 * which answered with headroom in bytes per second. */
static void
open_congested(EntryFix *fix, uint64_t headroom)
{
    Address other = OTHER;
    uint64_t job;

    EntryFix_Open(fix, ORIGIN, LINK_MBPS);
    EntryFix_Report(fix, 0, 4);
    EntryFix_Report(fix, 1, 4);
    EntryFix_Report(fix, 2, 64);
    for (job = 1; job <= 20; job++) {
        EntryFix_Submit(fix, job, 1, 0);
    }
    g_assert_true(Dispatcher_WantsDelegates(fix->dispatcher, fix->now_ms));
    Dispatcher_OfferDelegates(fix->dispatcher, &other, 1);
    EntryFix_Advance(fix, 50);
    g_assert_cmpint(EntryFix_CountCalls(fix, MSG_EXTEND), ==, 1);
    g_assert_cmpint(EntryFix_LastCall(fix, MSG_EXTEND)->extend.valid_until_ms,
                    ==, 0);
    answer_extend(fix, headroom);
    /* From now on no host has room for more than four tasks. */
    EntryFix_Report(fix, 2, 0);
    EntryFix_Report(fix, 0, 4);
    EntryFix_Report(fix, 1, 4);
}

static void
reply_forward(EntryFix *fix, bool taken, Dispatcher_Outcome outcome,
              Err_Kind kind)
{
    Msg_Reply reply = {.kind = MSG_FORWARD};

    reply.u.forward.taken = taken;
    reply.u.forward.outcome = outcome;
    reply.u.forward.error = (char *)(uintptr_t)Err_Text(kind);
    reply.u.forward.message = (char *)(uintptr_t) "told";
    Dispatcher_OnReply(fix->dispatcher, fix->now_ms,
                       EntryFix_LastCall(fix, MSG_FORWARD)->call_id, &reply);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
}

static void
test_normal_load(void)
{
    EntryFix fix;

    EntryFix_Open(&fix, ORIGIN, LINK_MBPS);
    EntryFix_Report(&fix, 0, 4);
    EntryFix_Report(&fix, 1, 4);
    EntryFix_Submit(&fix, 1, 8, 0);
    EntryFix_Advance(&fix, 300);
    g_assert_false(Dispatcher_WantsDelegates(fix.dispatcher, fix.now_ms));
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_EXTEND), ==, 0);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_FORWARD), ==, 0);
    g_assert_cmpint(fix.start_count, ==, 8);
    EntryFix_Close(&fix);
}

static void
test_expensive_job_is_forwarded(void)
{
    const EntryFix_Call *call;
    EntryFix fix;
    int starts;

    open_congested(&fix, HEADROOM);
    starts = fix.start_count;
    EntryFix_Submit(&fix, 100, 8, 0);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_FORWARD), ==, 1);
    g_assert_cmpint(fix.start_count, ==, starts);
    call = EntryFix_LastCall(&fix, MSG_FORWARD);
    g_assert_cmphex(call->forward.queue_address, ==,
                    Route_Reference(fix.route).address);
    g_assert_cmpuint(call->to, ==, OTHER);
    g_assert_cmpuint(call->forward.target, ==, OTHER_INCARNATION);
    g_assert_cmpuint(call->forward.job, ==, 100);
    /* On the other entry's clock, as if its last answer had taken no time to
     * arrive. */
    g_assert_cmpint(call->forward.valid_until_ms, ==,
                    fix.now_ms + OTHER_CLOCK_MS + fix.timing.lease_ms);
    reply_forward(&fix, true, DISPATCHER_SUCCEEDED, ERR_OK);
    g_assert_cmpint(fix.answer_count, ==, 1);
    g_assert_cmpuint(fix.answers[0].request, ==, 100);
    g_assert_cmpint(fix.answers[0].outcome, ==, DISPATCHER_SUCCEEDED);
    EntryFix_Close(&fix);
}

static void
test_cheap_job_is_not_forwarded(void)
{
    EntryFix fix;
    int starts;

    open_congested(&fix, HEADROOM);
    starts = fix.start_count;
    EntryFix_Submit(&fix, 100, 4, 0);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_FORWARD), ==, 0);
    g_assert_cmpint(fix.start_count, ==, starts + 4);
    EntryFix_Close(&fix);
}

static void
test_no_headroom(void)
{
    EntryFix fix;

    open_congested(&fix, 0);
    EntryFix_Submit(&fix, 100, 8, 0);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_FORWARD), ==, 0);
    EntryFix_Close(&fix);
}

static void
test_stale_answer(void)
{
    EntryFix fix;

    open_congested(&fix, HEADROOM);
    EntryFix_Advance(&fix, 600);
    EntryFix_Submit(&fix, 100, 8, 0);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_FORWARD), ==, 0);
    EntryFix_Close(&fix);
}

static void
test_refused_forward(void)
{
    EntryFix fix;
    int starts;

    open_congested(&fix, HEADROOM);
    starts = fix.start_count;
    EntryFix_Submit(&fix, 100, 8, 0);
    EntryFix_Report(&fix, 0, 0);
    EntryFix_Report(&fix, 1, 0);
    reply_forward(&fix, false, DISPATCHER_SUCCEEDED, ERR_OK);
    EntryFix_Advance(&fix, 300);
    answer_extend(&fix, HEADROOM);
    EntryFix_Report(&fix, 0, 4);
    EntryFix_Report(&fix, 1, 4);
    EntryFix_Advance(&fix, 20);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_FORWARD), ==, 1);
    g_assert_cmpint(fix.start_count, ==, starts + 8);
    EntryFix_Close(&fix);
}

/* The answer of the other entry is recent, as it still runs a job and is
 * queried for that. */
static void
test_congestion_over(void)
{
    EntryFix fix;
    int i;

    open_congested(&fix, HEADROOM);
    EntryFix_Submit(&fix, 100, 8, 0);
    for (i = 0; i < 11; i++) {
        EntryFix_Advance(&fix, 100);
        answer_extend(&fix, HEADROOM);
    }
    EntryFix_Report(&fix, 0, 4);
    EntryFix_Report(&fix, 1, 4);
    EntryFix_Submit(&fix, 101, 8, 0);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_FORWARD), ==, 1);
    EntryFix_Close(&fix);
}

static void
test_not_run(void)
{
    EntryFix fix;

    open_congested(&fix, HEADROOM);
    EntryFix_Submit(&fix, 100, 8, 0);
    reply_forward(&fix, true, DISPATCHER_NOT_RUN, ERR_WAIT_TOO_LONG);
    g_assert_cmpint(fix.answers[0].outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(fix.answers[0].kind, ==, ERR_WAIT_TOO_LONG);
    EntryFix_Close(&fix);
}

/* The job may have run there: the caller must not be told that it has not, and
 * none of its tasks may be started here. */
static void
test_reply_lost(void)
{
    EntryFix fix;
    int starts;

    open_congested(&fix, HEADROOM);
    starts = fix.start_count;
    EntryFix_Submit(&fix, 100, 8, 0);
    Dispatcher_OnReply(fix.dispatcher, fix.now_ms,
                       EntryFix_LastCall(&fix, MSG_FORWARD)->call_id, NULL);
    EntryFix_Advance(&fix, 200);
    g_assert_cmpint(fix.answers[0].outcome, ==, DISPATCHER_GIVEN_UP);
    g_assert_cmpint(fix.answers[0].kind, ==, ERR_LOST);
    g_assert_cmpint(fix.start_count, ==, starts);
    g_assert_cmpuint(EntryFix_LastCall(&fix, MSG_EXTEND)->gone, ==, 1);
    EntryFix_Close(&fix);
}

static void
test_caller_gone(void)
{
    EntryFix fix;

    open_congested(&fix, HEADROOM);
    EntryFix_Submit(&fix, 100, 8, 0);
    EntryFix_Submit(&fix, 101, 8, 0);
    Dispatcher_OnCallerDisconnect(fix.dispatcher, fix.now_ms, 100);
    EntryFix_Advance(&fix, 100);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_EXTEND), ==, 2);
    g_assert_cmpuint(EntryFix_LastCall(&fix, MSG_EXTEND)->gone, ==, 1);
    g_assert_cmpint(EntryFix_LastCall(&fix, MSG_EXTEND)->extend.valid_until_ms,
                    >, 0);
    /* The number is repeated until an EXTEND that carries it is answered. */
    Dispatcher_OnReply(fix.dispatcher, fix.now_ms,
                       EntryFix_LastCall(&fix, MSG_EXTEND)->call_id, NULL);
    EntryFix_Advance(&fix, 100);
    g_assert_cmpuint(EntryFix_LastCall(&fix, MSG_EXTEND)->gone, ==, 1);
    answer_extend(&fix, HEADROOM);
    EntryFix_Advance(&fix, 100);
    g_assert_cmpuint(EntryFix_LastCall(&fix, MSG_EXTEND)->gone, ==, 0);
    EntryFix_Close(&fix);
}

static Dispatcher_Outcome
outcome_of(const EntryFix *fix, uint64_t request)
{
    int i;

    for (i = 0; i < fix->answer_count; i++) {
        if (fix->answers[i].request == request) {
            return fix->answers[i].outcome;
        }
    }
    g_assert_not_reached();
}

static int
count_starts(const EntryFix *fix, uint64_t job)
{
    int count = 0;
    int i;

    for (i = 0; i < fix->start_count; i++) {
        count += fix->starts[i].id.job == job;
    }
    return count;
}

/* The call is still on its way, so the job may yet run: a caller that is told
 * otherwise may submit it elsewhere at once. */
static void
test_open_forward_is_not_answered_not_run(void)
{
    static const struct {
        const char *name;
        bool stops;
        int64_t after_ms;
    } cases[] = {
        {"the entry stops", true, 100},
        {"the deadline passes", false, 5100},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(cases); i++) {
        EntryFix fix;
        uint64_t number;

        g_test_message("%s", cases[i].name);
        open_congested(&fix, HEADROOM);
        EntryFix_Submit(&fix, 100, 8, 0);
        number = EntryFix_LastCall(&fix, MSG_FORWARD)->forward.number;
        if (cases[i].stops) {
            Dispatcher_SetShutdownTime(fix.dispatcher, fix.now_ms);
        }
        EntryFix_Advance(&fix, cases[i].after_ms);
        g_assert_cmpint(outcome_of(&fix, 100), ==, DISPATCHER_GIVEN_UP);
        g_assert_cmpint(count_starts(&fix, 100), ==, 0);
        /* An EXTEND that was sent before the end is still unanswered. */
        Dispatcher_OnReply(fix.dispatcher, fix.now_ms,
                           EntryFix_LastCall(&fix, MSG_EXTEND)->call_id, NULL);
        EntryFix_Advance(&fix, 100);
        g_assert_cmpuint(EntryFix_LastCall(&fix, MSG_EXTEND)->gone, ==,
                         number);
        EntryFix_Close(&fix);
    }
}

/* One broken connection loses a FORWARD and the EXTEND after it; whichever is
 * told first, the next job must not begin a lease before the withdrawal. */
static void
test_nothing_is_forwarded_before_the_withdrawal(void)
{
    int extend_first;

    for (extend_first = 0; extend_first < 2; extend_first++) {
        const EntryFix_Call *call;
        uint64_t calls[2];
        uint64_t number;
        EntryFix fix;

        open_congested(&fix, HEADROOM);
        EntryFix_Submit(&fix, 100, 8, 0);
        number = EntryFix_LastCall(&fix, MSG_FORWARD)->forward.number;
        EntryFix_Advance(&fix, 100);
        g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_EXTEND), ==, 2);
        calls[extend_first] = EntryFix_LastCall(&fix, MSG_FORWARD)->call_id;
        calls[1 - extend_first] = EntryFix_LastCall(&fix, MSG_EXTEND)->call_id;
        Dispatcher_OnReply(fix.dispatcher, fix.now_ms, calls[0], NULL);
        Dispatcher_OnReply(fix.dispatcher, fix.now_ms, calls[1], NULL);
        EntryFix_Submit(&fix, 101, 8, 0);
        g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_FORWARD), ==, 1);
        EntryFix_Advance(&fix, 100);
        call = EntryFix_LastCall(&fix, MSG_EXTEND);
        g_assert_cmpuint(call->gone, ==, number);
        if (EntryFix_CountCalls(&fix, MSG_FORWARD) > 1) {
            g_assert_true(call < EntryFix_LastCall(&fix, MSG_FORWARD));
        }
        EntryFix_Close(&fix);
    }
}

/* Reports that the upstream of a companion may execute a start of the job
 * late. */
static void
list_late_start(EntryFix *fix, uint32_t host, lc_upstream_state state,
                uint64_t job)
{
    lc_late_start late = {.id = {.job = job, .run = 1}, .late_start_ms = 4000};
    lc_report_args report;

    EntryFix_FillReport(fix, host, 4, &report);
    report.host.state = state;
    report.late_starts_version = 1;
    report.late_starts.late_starts_len = 1;
    report.late_starts.late_starts_val = &late;
    Dispatcher_OnReport(fix->dispatcher, fix->now_ms, &report);
}

/* The other entry may not know of the late start. */
static void
test_bound_job_is_not_forwarded(void)
{
    EntryFix fix;

    open_congested(&fix, HEADROOM);
    list_late_start(&fix, 0, LC_UPSTREAM_READY, 100);
    EntryFix_Submit(&fix, 100, 8, 0);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_FORWARD), ==, 0);
    EntryFix_Close(&fix);
}

/* ---- the entry that runs forwarded jobs (delegate) ---- */

static lc_step forward_step = {.count = 3,
                               .need = {1000, 0, 0},
                               .estimate_ms = 100,
                               .requirement = (char *)(uintptr_t) "",
                               .affinity = (char *)(uintptr_t) ""};

static lc_forward_args
forward_of(const EntryFix *fix, uint64_t job, int64_t lease_ms)
{
    lc_forward_args args = {.from = {ORIGIN, 5},
                            .target = 77,
                            .number = job,
                            .valid_until_ms = fix->now_ms + lease_ms,
                            .deadline_ms = 2000,
                            .job = job,
                            .queue = fix->route->name,
                            .spec = (char *)(uintptr_t) "text"};

    args.steps.steps_len = 1;
    args.steps.steps_val = &forward_step;
    return args;
}

static void
receive_forward(EntryFix *fix, uint64_t job, int64_t lease_ms)
{
    lc_forward_args args = forward_of(fix, job, lease_ms);

    Dispatcher_OnForward(fix->dispatcher, fix->now_ms, 1000 + job, &args);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
}

static void
receive_extend(EntryFix *fix, int64_t lease_ms, uint64_t gone)
{
    lc_extend_args args = {.from = {ORIGIN, 5},
                           .target = 77,
                           .valid_until_ms = fix->now_ms + lease_ms};

    args.gone.gone_len = gone != 0;
    args.gone.gone_val = (u_quad_t *)&gone;
    Dispatcher_OnExtend(fix->dispatcher, fix->now_ms, 1, &args);
}

static void
open_delegate(EntryFix *fix)
{
    EntryFix_Open(fix, OTHER, 0);
    EntryFix_Report(fix, 0, 8);
}

static void
test_blocked_job(void)
{
    EntryFix fix;

    open_delegate(&fix);
    list_late_start(&fix, 1, LC_UPSTREAM_DRAINING, 1);
    receive_forward(&fix, 1, 300);
    g_assert_cmpint(fix.start_count, ==, 0);
    g_assert_cmpint(fix.reply_count, ==, 1);
    g_assert_true(fix.replies[0].forward.taken);
    g_assert_cmpint(fix.replies[0].forward.outcome, ==, DISPATCHER_NOT_RUN);
    EntryFix_Close(&fix);
}

static void
test_origin_lease(void)
{
    EntryFix fix;
    int i;

    open_delegate(&fix);
    receive_forward(&fix, 1, 300);
    g_assert_cmpint(fix.start_count, ==, 3);
    for (i = 0; i < 3; i++) {
        g_assert_cmpuint(fix.starts[i].owner, !=, 77);
        g_assert_cmpint(fix.starts[i].valid_until_ms, <=, fix.now_ms + 300);
        EntryFix_Reply(&fix, &fix.starts[i], LC_RUN_DONE, 8);
    }
    g_assert_cmpint(fix.reply_count, ==, 1);
    g_assert_cmpuint(fix.replies[0].reply_id, ==, 1001);
    g_assert_true(fix.replies[0].forward.taken);
    g_assert_cmpuint(fix.replies[0].forward.outcome, ==, DISPATCHER_SUCCEEDED);
    g_assert_cmpint(fix.answer_count, ==, 0);
    EntryFix_Close(&fix);
}

/* Renewals at companions are sent in the origin's name and reach no further
 * than its lease. */
static void
test_renewals(void)
{
    const EntryFix_Call *renew;
    EntryFix fix;

    open_delegate(&fix);
    receive_forward(&fix, 1, 300);
    EntryFix_Advance(&fix, 150);
    renew = EntryFix_LastCall(&fix, MSG_RENEW);
    g_assert_cmpuint(renew->renew.owner.incarnation, ==, fix.starts[0].owner);
    g_assert_cmpint(renew->renew.valid_until_ms, <=, ENTRY_FIX_START_MS + 300);
    receive_extend(&fix, 400, 0);
    EntryFix_Advance(&fix, 100);
    renew = EntryFix_LastCall(&fix, MSG_RENEW);
    g_assert_cmpint(renew->renew.valid_until_ms, >, ENTRY_FIX_START_MS + 300);
    g_assert_cmpint(renew->renew.valid_until_ms, <=, ENTRY_FIX_START_MS + 550);
    EntryFix_Close(&fix);
}

static void
test_lease_expiry(void)
{
    EntryFix fix;

    open_delegate(&fix);
    receive_forward(&fix, 1, 300);
    EntryFix_Advance(&fix, 320);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_HALT), ==, 3);
    g_assert_cmpint(fix.reply_count, ==, 1);
    g_assert_cmpuint(fix.replies[0].forward.outcome, ==, DISPATCHER_GIVEN_UP);
    /* The expiry is final: a later EXTEND does not revive the job. */
    receive_extend(&fix, 500, 0);
    EntryFix_Advance(&fix, 200);
    g_assert_cmpint(fix.start_count, ==, 3);
    EntryFix_Close(&fix);
}

/* A tick may be late: an EXTEND that arrives after the end of the lease does
 * not extend it. */
static void
test_late_extend(void)
{
    EntryFix fix;

    open_delegate(&fix);
    receive_forward(&fix, 1, 10);
    fix.now_ms += 20;
    receive_extend(&fix, 500, 0);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_HALT), ==, 3);
    EntryFix_Close(&fix);
}

/* A later job does not extend the lease of an earlier one: it may have been
 * sent in place of a dropped one. */
static void
test_job_extends_no_earlier_one(void)
{
    EntryFix fix;

    open_delegate(&fix);
    receive_forward(&fix, 1, 300);
    EntryFix_Advance(&fix, 200);
    receive_forward(&fix, 2, 500);
    EntryFix_Advance(&fix, 120);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_HALT), ==, 6);
    EntryFix_Close(&fix);
}

static void
test_dropped_job(void)
{
    EntryFix fix;

    open_delegate(&fix);
    receive_forward(&fix, 1, 300);
    receive_forward(&fix, 2, 300);
    receive_extend(&fix, 500, 1);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_HALT), ==, 3);
    g_assert_cmpint(fix.replies[fix.reply_count - 1].kind, ==, MSG_EXTEND);
    EntryFix_Advance(&fix, 400);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_HALT), ==, 3);
    EntryFix_Close(&fix);
}

static void
check_refused(EntryFix *fix, lc_forward_args *args)
{
    int starts = fix->start_count;

    Dispatcher_OnForward(fix->dispatcher, fix->now_ms, 7, args);
    Dispatcher_DispatchWaiting(fix->dispatcher, fix->now_ms);
    g_assert_cmpint(fix->start_count, ==, starts);
    g_assert_cmpint(fix->replies[fix->reply_count - 1].kind, ==, MSG_FORWARD);
    g_assert_false(fix->replies[fix->reply_count - 1].forward.taken);
}

static void
test_refusals(void)
{
    lc_step invalid_step = forward_step;
    lc_forward_args args;
    EntryFix fix;

    open_delegate(&fix);
    args = forward_of(&fix, 1, 300);
    args.target = 76;
    check_refused(&fix, &args);
    args = forward_of(&fix, 1, 0);
    check_refused(&fix, &args);
    args = forward_of(&fix, 1, 300);
    args.routes_version = fix.routes->version + 1;
    check_refused(&fix, &args);
    args = forward_of(&fix, 1, 300);
    args.queue = (char *)(uintptr_t) "another queue";
    check_refused(&fix, &args);
    args = forward_of(&fix, 1, 300);
    invalid_step.depends_on = 1;
    args.steps.steps_val = &invalid_step;
    check_refused(&fix, &args);
    EntryFix_Submit(&fix, 9, 1, 0);
    args = forward_of(&fix, 9, 300);
    check_refused(&fix, &args);
    Dispatcher_SetShutdownTime(fix.dispatcher, fix.now_ms + 5000);
    args = forward_of(&fix, 1, 300);
    check_refused(&fix, &args);
    EntryFix_Close(&fix);
}

/* An EXTEND that withdraws a job may arrive over another connection before the
 * job: its FORWARD was held up, and the origin has told the caller that the
 * job is lost. Other jobs would keep extending its lease. */
static void
test_withdrawal_overtakes_job(void)
{
    lc_forward_args args;
    EntryFix fix;

    open_delegate(&fix);
    receive_forward(&fix, 1, 300);
    receive_extend(&fix, 500, 2);
    EntryFix_Advance(&fix, 100);
    args = forward_of(&fix, 2, 300);
    check_refused(&fix, &args);
    receive_forward(&fix, 3, 300);
    g_assert_cmpint(fix.start_count, ==, 6);
    EntryFix_Close(&fix);
}

static void
test_withdrawal_overtakes_only_job(void)
{
    lc_forward_args args;
    EntryFix fix;

    open_delegate(&fix);
    receive_extend(&fix, 0, 2);
    EntryFix_Advance(&fix, 100);
    args = forward_of(&fix, 2, 300);
    check_refused(&fix, &args);
    EntryFix_Close(&fix);
}

/* The FORWARD was sent before the withdrawal, so that it is valid for less
 * than a lease from now. The origin's own lease may have expired by then. */
static void
test_withdrawal_is_kept_for_a_lease(void)
{
    lc_forward_args args;
    EntryFix fix;
    int starts;

    open_delegate(&fix);
    receive_forward(&fix, 1, 300);
    receive_extend(&fix, 0, 2);
    EntryFix_Advance(&fix, fix.timing.lease_ms - 1);
    EntryFix_Report(&fix, 0, 8);
    args = forward_of(&fix, 2, 1);
    check_refused(&fix, &args);
    starts = fix.start_count;
    receive_forward(&fix, 3, 300);
    g_assert_cmpint(fix.start_count, >, starts);
    EntryFix_Close(&fix);
}

/* A FORWARD may begin a lease at the other entry, where a lost job may still
 * arrive. */
static void
test_withdraws_before_next_job(void)
{
    const EntryFix_Call *call;
    uint64_t number;
    EntryFix fix;

    open_congested(&fix, HEADROOM);
    EntryFix_Submit(&fix, 100, 8, 0);
    call = EntryFix_LastCall(&fix, MSG_FORWARD);
    number = call->forward.number;
    Dispatcher_OnReply(fix.dispatcher, fix.now_ms, call->call_id, NULL);
    EntryFix_Submit(&fix, 101, 8, 0);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_FORWARD), ==, 2);
    g_assert_cmpint(EntryFix_CountCalls(&fix, MSG_EXTEND), ==, 2);
    call = EntryFix_LastCall(&fix, MSG_EXTEND);
    g_assert_cmpuint(call->extend.gone.gone_len, ==, 1);
    g_assert_cmpuint(call->gone, ==, number);
    g_assert_true(call < EntryFix_LastCall(&fix, MSG_FORWARD));
    EntryFix_Close(&fix);
}

int
main(int argc, char **argv)
{
    static const TestTable_Row tests[] = {
        {"/forward/no query and no forward at normal load", test_normal_load},
        {"/forward/a job of several calls is forwarded",
         test_expensive_job_is_forwarded},
        {"/forward/a job of one call is not forwarded",
         test_cheap_job_is_not_forwarded},
        {"/forward/no forward to an entry without headroom", test_no_headroom},
        {"/forward/no forward by a stale answer", test_stale_answer},
        {"/forward/a refused job is started here", test_refused_forward},
        {"/forward/no forward when the congestion is over",
         test_congestion_over},
        {"/forward/not run at the delegate is answered as not run",
         test_not_run},
        {"/forward/a job whose reply is lost may have run", test_reply_lost},
        {"/forward/a job whose call is open is not answered as not run",
         test_open_forward_is_not_answered_not_run},
        {"/forward/a lost job is withdrawn whichever call is told first",
         test_nothing_is_forwarded_before_the_withdrawal},
        {"/forward/the delegate is told of a caller that left",
         test_caller_gone},
        {"/forward/a job bound to a companion is not forwarded",
         test_bound_job_is_not_forwarded},
        {"/forward/a forwarded job that can start nowhere is refused",
         test_blocked_job},
        {"/forward/runs are bound to the lease of the origin",
         test_origin_lease},
        {"/forward/renewals do not exceed the lease of the origin",
         test_renewals},
        {"/forward/runs are stopped when the lease expires",
         test_lease_expiry},
        {"/forward/an EXTEND after expiry has no effect", test_late_extend},
        {"/forward/a job does not extend the lease of another",
         test_job_extends_no_earlier_one},
        {"/forward/a dropped job is stopped, others continue",
         test_dropped_job},
        {"/forward/invalid and stale forwards are refused", test_refusals},
        {"/forward/a lost job is withdrawn before the next one goes out",
         test_withdraws_before_next_job},
        {"/forward/a withdrawal that overtakes its job is kept",
         test_withdrawal_overtakes_job},
        {"/forward/a withdrawal that overtakes the only job is kept",
         test_withdrawal_overtakes_only_job},
        {"/forward/a withdrawal is kept for as long as its job may be valid",
         test_withdrawal_is_kept_for_a_lease},
    };

    return TestTable_Main(argc, argv, tests, G_N_ELEMENTS(tests));
}

/*
 * Rules of jobs that one entry hands to another: when it does, what it does
 * when the other refuses, answers or is lost, and that nothing there outlasts
 * its lease.
 */
#include <glib.h>
#include <string.h>

#include "tests/entry_fixture.h"
#include "tests/rule_table.h"

#define ORIGIN 7000
#define OTHER 7001
#define LINK_MBPS 10.0
#define HEADROOM 10000000
/* Its clock is ahead of ours by so much. */
#define OTHER_CLOCK_MS 500000
#define OTHER_INCARNATION 99

/* ---- an entry that hands on ---- */

static void
answer_extend(EntryFix *fix, uint64_t headroom)
{
    Msg_Reply reply = {.kind = MSG_EXTEND};

    reply.u.extend.node.address = OTHER;
    reply.u.extend.node.incarnation = OTHER_INCARNATION;
    reply.u.extend.stamp_ms = fix->now_ms + OTHER_CLOCK_MS;
    reply.u.extend.headroom = headroom;
    Dispatcher_OnReply(fix->dispatcher, fix->now_ms,
                       EntryFix_Last(fix, MSG_EXTEND)->call_id, &reply);
}

/* An entry whose link is short, and that has asked the other one. */
static void
open_short(EntryFix *fix, uint64_t headroom)
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
    EntryFix_Pass(fix, 50);
    g_assert_cmpint(EntryFix_Count(fix, MSG_EXTEND), ==, 1);
    g_assert_cmpint(EntryFix_Last(fix, MSG_EXTEND)->extend.valid_until_ms, ==,
                    0);
    answer_extend(fix, headroom);
    /* From now on no host takes more than four tasks. */
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
                       EntryFix_Last(fix, MSG_FORWARD)->call_id, &reply);
    Dispatcher_Settle(fix->dispatcher, fix->now_ms);
}

static void
test_usual_load(void)
{
    EntryFix fix;

    EntryFix_Open(&fix, ORIGIN, LINK_MBPS);
    EntryFix_Report(&fix, 0, 4);
    EntryFix_Report(&fix, 1, 4);
    EntryFix_Submit(&fix, 1, 8, 0);
    EntryFix_Pass(&fix, 300);
    g_assert_false(Dispatcher_WantsDelegates(fix.dispatcher, fix.now_ms));
    g_assert_cmpint(EntryFix_Count(&fix, MSG_EXTEND), ==, 0);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_FORWARD), ==, 0);
    g_assert_cmpint(fix.start_count, ==, 8);
    EntryFix_Close(&fix);
}

static void
test_dear_job_is_handed_on(void)
{
    const EntryFix_Call *call;
    EntryFix fix;
    int starts;

    open_short(&fix, HEADROOM);
    starts = fix.start_count;
    EntryFix_Submit(&fix, 100, 8, 0);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_FORWARD), ==, 1);
    g_assert_cmpint(fix.start_count, ==, starts);
    call = EntryFix_Last(&fix, MSG_FORWARD);
    g_assert_cmpuint(call->to, ==, OTHER);
    g_assert_cmpuint(call->forward.target, ==, OTHER_INCARNATION);
    g_assert_cmpuint(call->forward.job, ==, 100);
    /* On the other's clock, as if its last word had taken no time. */
    g_assert_cmpint(call->forward.valid_until_ms, ==,
                    fix.now_ms + OTHER_CLOCK_MS + fix.term.lease_ms);
    reply_forward(&fix, true, DISPATCHER_SUCCEEDED, ERR_OK);
    g_assert_cmpint(fix.answer_count, ==, 1);
    g_assert_cmpuint(fix.answers[0].request, ==, 100);
    g_assert_cmpint(fix.answers[0].outcome, ==, DISPATCHER_SUCCEEDED);
    EntryFix_Close(&fix);
}

static void
test_cheap_job_stays(void)
{
    EntryFix fix;
    int starts;

    open_short(&fix, HEADROOM);
    starts = fix.start_count;
    EntryFix_Submit(&fix, 100, 4, 0);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_FORWARD), ==, 0);
    g_assert_cmpint(fix.start_count, ==, starts + 4);
    EntryFix_Close(&fix);
}

static void
test_no_headroom_there(void)
{
    EntryFix fix;

    open_short(&fix, 0);
    EntryFix_Submit(&fix, 100, 8, 0);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_FORWARD), ==, 0);
    EntryFix_Close(&fix);
}

static void
test_old_word(void)
{
    EntryFix fix;

    open_short(&fix, HEADROOM);
    EntryFix_Pass(&fix, 600);
    EntryFix_Submit(&fix, 100, 8, 0);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_FORWARD), ==, 0);
    EntryFix_Close(&fix);
}

static void
test_not_taken(void)
{
    EntryFix fix;
    int starts;

    open_short(&fix, HEADROOM);
    starts = fix.start_count;
    EntryFix_Submit(&fix, 100, 8, 0);
    EntryFix_Report(&fix, 0, 0);
    EntryFix_Report(&fix, 1, 0);
    reply_forward(&fix, false, DISPATCHER_SUCCEEDED, ERR_OK);
    EntryFix_Pass(&fix, 300);
    answer_extend(&fix, HEADROOM);
    EntryFix_Report(&fix, 0, 4);
    EntryFix_Report(&fix, 1, 4);
    EntryFix_Pass(&fix, 20);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_FORWARD), ==, 1);
    g_assert_cmpint(fix.start_count, ==, starts + 8);
    EntryFix_Close(&fix);
}

/* What is known of the other entry is fresh, as it still runs a job. */
static void
test_not_short_any_more(void)
{
    EntryFix fix;
    int i;

    open_short(&fix, HEADROOM);
    EntryFix_Submit(&fix, 100, 8, 0);
    for (i = 0; i < 11; i++) {
        EntryFix_Pass(&fix, 100);
        answer_extend(&fix, HEADROOM);
    }
    EntryFix_Report(&fix, 0, 4);
    EntryFix_Report(&fix, 1, 4);
    EntryFix_Submit(&fix, 101, 8, 0);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_FORWARD), ==, 1);
    EntryFix_Close(&fix);
}

static void
test_not_run_there(void)
{
    EntryFix fix;

    open_short(&fix, HEADROOM);
    EntryFix_Submit(&fix, 100, 8, 0);
    reply_forward(&fix, true, DISPATCHER_NOT_RUN, ERR_WAIT_TOO_LONG);
    g_assert_cmpint(fix.answers[0].outcome, ==, DISPATCHER_NOT_RUN);
    g_assert_cmpint(fix.answers[0].kind, ==, ERR_WAIT_TOO_LONG);
    EntryFix_Close(&fix);
}

/* It may have run there: the caller is not told that it has not, and nothing
 * of it is started here. */
static void
test_lost(void)
{
    EntryFix fix;
    int starts;

    open_short(&fix, HEADROOM);
    starts = fix.start_count;
    EntryFix_Submit(&fix, 100, 8, 0);
    Dispatcher_OnReply(fix.dispatcher, fix.now_ms,
                       EntryFix_Last(&fix, MSG_FORWARD)->call_id, NULL);
    EntryFix_Pass(&fix, 200);
    g_assert_cmpint(fix.answers[0].outcome, ==, DISPATCHER_GIVEN_UP);
    g_assert_cmpint(fix.answers[0].kind, ==, ERR_LOST);
    g_assert_cmpint(fix.start_count, ==, starts);
    g_assert_cmpuint(EntryFix_Last(&fix, MSG_EXTEND)->gone, ==, 1);
    EntryFix_Close(&fix);
}

static void
test_caller_gone(void)
{
    EntryFix fix;

    open_short(&fix, HEADROOM);
    EntryFix_Submit(&fix, 100, 8, 0);
    EntryFix_Submit(&fix, 101, 8, 0);
    Dispatcher_OnCallerGone(fix.dispatcher, fix.now_ms, 100);
    EntryFix_Pass(&fix, 100);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_EXTEND), ==, 2);
    g_assert_cmpuint(EntryFix_Last(&fix, MSG_EXTEND)->gone, ==, 1);
    g_assert_cmpint(EntryFix_Last(&fix, MSG_EXTEND)->extend.valid_until_ms, >,
                    0);
    /* Told once it was answered, not before. */
    Dispatcher_OnReply(fix.dispatcher, fix.now_ms,
                       EntryFix_Last(&fix, MSG_EXTEND)->call_id, NULL);
    EntryFix_Pass(&fix, 100);
    g_assert_cmpuint(EntryFix_Last(&fix, MSG_EXTEND)->gone, ==, 1);
    answer_extend(&fix, HEADROOM);
    EntryFix_Pass(&fix, 100);
    g_assert_cmpuint(EntryFix_Last(&fix, MSG_EXTEND)->gone, ==, 0);
    EntryFix_Close(&fix);
}

/* ---- an entry that takes them ---- */

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
give(EntryFix *fix, uint64_t job, int64_t lease_ms)
{
    lc_forward_args args = forward_of(fix, job, lease_ms);

    Dispatcher_OnForward(fix->dispatcher, fix->now_ms, 1000 + job, &args,
                         fix->route);
    Dispatcher_Settle(fix->dispatcher, fix->now_ms);
}

static void
extend(EntryFix *fix, int64_t lease_ms, uint64_t gone)
{
    lc_extend_args args = {.from = {ORIGIN, 5},
                           .target = 77,
                           .valid_until_ms = fix->now_ms + lease_ms};

    args.gone.gone_len = gone != 0;
    args.gone.gone_val = (u_quad_t *)&gone;
    Dispatcher_OnExtend(fix->dispatcher, fix->now_ms, 1, &args);
}

static void
open_taker(EntryFix *fix)
{
    EntryFix_Open(fix, OTHER, 0);
    EntryFix_Report(fix, 0, 8);
}

static void
test_runs_under_its_lease(void)
{
    EntryFix fix;
    int i;

    open_taker(&fix);
    give(&fix, 1, 300);
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

/* Renewals at companions reach as far as the origin's lease, in its name. */
static void
test_renewals(void)
{
    const EntryFix_Call *renew;
    EntryFix fix;

    open_taker(&fix);
    give(&fix, 1, 300);
    EntryFix_Pass(&fix, 150);
    renew = EntryFix_Last(&fix, MSG_RENEW);
    g_assert_cmpuint(renew->renew.owner.incarnation, ==, fix.starts[0].owner);
    g_assert_cmpint(renew->renew.valid_until_ms, <=, ENTRY_FIX_START_MS + 300);
    extend(&fix, 400, 0);
    EntryFix_Pass(&fix, 100);
    renew = EntryFix_Last(&fix, MSG_RENEW);
    g_assert_cmpint(renew->renew.valid_until_ms, >, ENTRY_FIX_START_MS + 300);
    g_assert_cmpint(renew->renew.valid_until_ms, <=, ENTRY_FIX_START_MS + 550);
    EntryFix_Close(&fix);
}

static void
test_lapse(void)
{
    EntryFix fix;

    open_taker(&fix);
    give(&fix, 1, 300);
    EntryFix_Pass(&fix, 320);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_HALT), ==, 3);
    g_assert_cmpint(fix.reply_count, ==, 1);
    g_assert_cmpuint(fix.replies[0].forward.outcome, ==, DISPATCHER_GIVEN_UP);
    /* Its end is final: a later word does not bring it back. */
    extend(&fix, 500, 0);
    EntryFix_Pass(&fix, 200);
    g_assert_cmpint(fix.start_count, ==, 3);
    EntryFix_Close(&fix);
}

/* A tick may be late: a word behind the end does not lengthen the lease. */
static void
test_word_behind_the_end(void)
{
    EntryFix fix;

    open_taker(&fix);
    give(&fix, 1, 10);
    fix.now_ms += 20;
    extend(&fix, 500, 0);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_HALT), ==, 3);
    EntryFix_Close(&fix);
}

/* What comes after may be sent in place of what was dropped. */
static void
test_job_extends_no_other(void)
{
    EntryFix fix;

    open_taker(&fix);
    give(&fix, 1, 300);
    EntryFix_Pass(&fix, 200);
    give(&fix, 2, 500);
    EntryFix_Pass(&fix, 120);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_HALT), ==, 6);
    EntryFix_Close(&fix);
}

static void
test_dropped(void)
{
    EntryFix fix;

    open_taker(&fix);
    give(&fix, 1, 300);
    give(&fix, 2, 300);
    extend(&fix, 500, 1);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_HALT), ==, 3);
    g_assert_cmpint(fix.replies[fix.reply_count - 1].kind, ==, MSG_EXTEND);
    EntryFix_Pass(&fix, 400);
    g_assert_cmpint(EntryFix_Count(&fix, MSG_HALT), ==, 3);
    EntryFix_Close(&fix);
}

static void
refuses(EntryFix *fix, lc_forward_args *args)
{
    int starts = fix->start_count;

    Dispatcher_OnForward(fix->dispatcher, fix->now_ms, 7, args,
                         args->queue == NULL ? NULL : fix->route);
    Dispatcher_Settle(fix->dispatcher, fix->now_ms);
    g_assert_cmpint(fix->start_count, ==, starts);
    g_assert_cmpint(fix->replies[fix->reply_count - 1].kind, ==, MSG_FORWARD);
    g_assert_false(fix->replies[fix->reply_count - 1].forward.taken);
}

static void
test_refused(void)
{
    lc_step odd_step = forward_step;
    lc_forward_args args;
    EntryFix fix;

    open_taker(&fix);
    args = forward_of(&fix, 1, 300);
    args.target = 76;
    refuses(&fix, &args);
    args = forward_of(&fix, 1, 0);
    refuses(&fix, &args);
    args = forward_of(&fix, 1, 300);
    args.routes_version = 1;
    refuses(&fix, &args);
    args = forward_of(&fix, 1, 300);
    args.queue = NULL;
    refuses(&fix, &args);
    args = forward_of(&fix, 1, 300);
    odd_step.depends_on = 1;
    args.steps.steps_val = &odd_step;
    refuses(&fix, &args);
    EntryFix_Submit(&fix, 9, 1, 0);
    args = forward_of(&fix, 9, 300);
    refuses(&fix, &args);
    Dispatcher_EndBy(fix.dispatcher, fix.now_ms + 5000);
    args = forward_of(&fix, 1, 300);
    refuses(&fix, &args);
    EntryFix_Close(&fix);
}

int
main(int argc, char **argv)
{
    static const RuleTable_Row rules[] = {
        {"/forward/nothing is asked or handed on at usual load",
         test_usual_load},
        {"/forward/a job of several calls is handed on",
         test_dear_job_is_handed_on},
        {"/forward/a job of one call stays", test_cheap_job_stays},
        {"/forward/nothing goes where there is no headroom",
         test_no_headroom_there},
        {"/forward/nothing goes by an old word", test_old_word},
        {"/forward/what was not taken is started here", test_not_taken},
        {"/forward/nothing goes when the link is not short any more",
         test_not_short_any_more},
        {"/forward/not run there is not run", test_not_run_there},
        {"/forward/lost there may have run", test_lost},
        {"/forward/a caller that left is told of", test_caller_gone},
        {"/forward/runs under the lease of the origin",
         test_runs_under_its_lease},
        {"/forward/renewals reach no further", test_renewals},
        {"/forward/stopped when the lease ends", test_lapse},
        {"/forward/a word behind the end changes nothing",
         test_word_behind_the_end},
        {"/forward/a job extends no other", test_job_extends_no_other},
        {"/forward/a dropped job is stopped, others go on", test_dropped},
        {"/forward/not taken", test_refused},
    };

    return RuleTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

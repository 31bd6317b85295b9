/*
 * Tests of an entry whose link is limited: starts of one job at one host are
 * joined in one call, starts wait for the link in the order of their urgency,
 * and go to few hosts while it is congested.
 */
#include <glib.h>

#include "lease/link_budget.h"
#include "tests/entry_fixture.h"
#include "tests/test_table.h"

#define ENTRY 7000
/* Gives 11,250 usable bytes in 10 ms, the size of the bucket. */
#define LINK_MBPS 10.0
#define BURST_BYTES INT64_C(11250)
/* Number of hosts with room for two tasks, besides one with room for many. */
#define SMALL_HOSTS 40

static void
test_token_bucket(void)
{
    LinkBudget budget;

    LinkBudget_Init(&budget, 1000, LINK_MBPS);
    g_assert_true(LinkBudget_Allows(&budget, 1000));
    LinkBudget_Spend(&budget, BURST_BYTES + 1125);
    g_assert_false(LinkBudget_Allows(&budget, 1000));
    g_assert_cmpint(LinkBudget_NextStartMs(&budget), ==, 1002);
    g_assert_false(LinkBudget_Allows(&budget, 1001));
    g_assert_true(LinkBudget_Allows(&budget, 1002));
}

static void
test_burst_limit(void)
{
    LinkBudget budget;

    LinkBudget_Init(&budget, 1000, LINK_MBPS);
    g_assert_true(LinkBudget_Allows(&budget, 60000));
    LinkBudget_Spend(&budget, BURST_BYTES);
    g_assert_false(LinkBudget_Allows(&budget, 60000));
}

static void
test_debt_limit(void)
{
    LinkBudget budget;

    LinkBudget_Init(&budget, 1000, LINK_MBPS);
    LinkBudget_Spend(&budget, 1000 * BURST_BYTES);
    g_assert_false(LinkBudget_Allows(&budget, 1500));
    g_assert_true(LinkBudget_Allows(&budget, 1501));
}

static void
test_unlimited(void)
{
    LinkBudget budget;

    LinkBudget_Init(&budget, 1000, 0);
    LinkBudget_Spend(&budget, INT32_MAX);
    g_assert_true(LinkBudget_Allows(&budget, 1000));
    g_assert_false(LinkBudget_IsCongested(&budget, 1000));
    g_assert_cmpint(LinkBudget_Headroom(&budget, 1000), ==, INT64_MAX);
}

static void
test_congestion(void)
{
    LinkBudget budget;

    LinkBudget_Init(&budget, 1000, LINK_MBPS);
    LinkBudget_Allows(&budget, 1000);
    LinkBudget_Spend(&budget, 100000);
    LinkBudget_Allows(&budget, 1500);
    g_assert_cmpint(LinkBudget_Headroom(&budget, 1500), ==, 1125000 - 200000);
    LinkBudget_RecordWait(&budget, 1500);
    g_assert_true(LinkBudget_IsCongested(&budget, 1500));
    g_assert_cmpint(LinkBudget_Headroom(&budget, 1500), ==, 0);
    g_assert_true(LinkBudget_IsCongested(&budget, 2499));
    g_assert_false(LinkBudget_IsCongested(&budget, 2500));
}

static void
test_joined_starts(void)
{
    EntryFix fix;
    int i;

    EntryFix_Open(&fix, ENTRY, LINK_MBPS);
    EntryFix_Report(&fix, 0, 8);
    EntryFix_Submit(&fix, 1, 8, 0);
    g_assert_cmpint(fix.start_count, ==, 8);
    for (i = 0; i < 8; i++) {
        g_assert_cmpuint(fix.starts[i].joined, ==, 8);
        g_assert_cmpuint(fix.starts[i].id.index, ==, i);
        g_assert_cmpuint(fix.starts[i].id.run, ==, 1);
        g_assert_cmpint(fix.starts[i].valid_until_ms, ==,
                        fix.starts[0].valid_until_ms);
        g_assert_cmpuint(fix.starts[i].spec_length, ==, ENTRY_FIX_SPEC_BYTES);
    }
    /* Each run is answered separately, in any order. */
    for (i = 7; i >= 0; i--) {
        g_assert_cmpint(fix.answer_count, ==, 0);
        EntryFix_Reply(&fix, &fix.starts[i], LC_RUN_DONE, 8);
    }
    g_assert_cmpint(fix.answer_count, ==, 1);
    g_assert_cmpint(fix.answers[0].outcome, ==, DISPATCHER_SUCCEEDED);
    EntryFix_Close(&fix);
}

static void
test_unknown_link(void)
{
    EntryFix fix;
    int i;

    EntryFix_Open(&fix, ENTRY, 0);
    EntryFix_Report(&fix, 0, 8);
    EntryFix_Submit(&fix, 1, 8, 0);
    g_assert_cmpint(fix.start_count, ==, 8);
    for (i = 0; i < 8; i++) {
        g_assert_cmpuint(fix.starts[i].joined, ==, 0);
    }
    EntryFix_Close(&fix);
}

static void
test_refused_row(void)
{
    EntryFix fix;

    EntryFix_Open(&fix, ENTRY, LINK_MBPS);
    EntryFix_Report(&fix, 0, 3);
    EntryFix_Submit(&fix, 1, 3, 0);
    EntryFix_Report(&fix, 1, 1);
    EntryFix_Reply(&fix, &fix.starts[1], LC_RUN_NO_ROOM, 0);
    g_assert_cmpint(fix.start_count, ==, 4);
    g_assert_cmpuint(fix.starts[3].to, ==, EntryFix_Host(1).address);
    g_assert_cmpuint(fix.starts[3].joined, ==, 0);
    g_assert_cmpuint(fix.starts[3].id.index, ==, 1);
    g_assert_cmpuint(fix.starts[3].id.run, ==, 2);
    EntryFix_Reply(&fix, &fix.starts[0], LC_RUN_DONE, 0);
    EntryFix_Reply(&fix, &fix.starts[2], LC_RUN_DONE, 0);
    g_assert_cmpint(fix.answer_count, ==, 0);
    EntryFix_Reply(&fix, &fix.starts[3], LC_RUN_DONE, 0);
    g_assert_cmpint(fix.answers[0].outcome, ==, DISPATCHER_SUCCEEDED);
    EntryFix_Close(&fix);
}

/* It is unknown which of the rows have started: each is requested again as the
 * same run, with a lease that ends no later. */
static void
test_lost_call(void)
{
    EntryFix fix;
    int i;

    EntryFix_Open(&fix, ENTRY, LINK_MBPS);
    EntryFix_Report(&fix, 0, 3);
    EntryFix_Report(&fix, 1, 8);
    EntryFix_Submit(&fix, 1, 3, 0);
    fix.start_count = 3;
    for (i = 0; i < 3; i++) {
        EntryFix_BreakConnection(&fix, &fix.starts[i]);
    }
    g_assert_cmpint(fix.start_count, ==, 3);
    EntryFix_Advance(&fix, 100);
    g_assert_cmpint(fix.start_count, ==, 6);
    for (i = 3; i < 6; i++) {
        g_assert_cmpuint(fix.starts[i].to, ==, fix.starts[i - 3].to);
        g_assert_cmpuint(fix.starts[i].id.run, ==, 1);
        g_assert_cmpint(fix.starts[i].valid_until_ms, <=,
                        fix.starts[i - 3].valid_until_ms);
    }
    EntryFix_Close(&fix);
}

/* Submits jobs of one task each whose starts empty the bucket; returns the
 * number of starts sent. */
static int
fill_link(EntryFix *fix)
{
    uint64_t job;

    for (job = 1; job <= 20; job++) {
        EntryFix_Submit(fix, job, 1, 1);
    }
    return fix->start_count;
}

static void
test_starts_wait_in_order(void)
{
    EntryFix fix;
    int sent;

    EntryFix_Open(&fix, ENTRY, LINK_MBPS);
    EntryFix_Report(&fix, 0, 64);
    sent = fill_link(&fix);
    g_assert_cmpint(sent, ==, 9); /* each of 1,336 bytes */
    EntryFix_Submit(&fix, 100, 1, 0);
    g_assert_cmpint(fix.start_count, ==, sent);
    g_assert_cmpint(Dispatcher_NextDispatchMs(fix.dispatcher), >, fix.now_ms);
    EntryFix_Advance(&fix, 1);
    g_assert_cmpint(fix.start_count, ==, sent + 1);
    g_assert_cmpuint(fix.starts[sent].id.job, ==, 100);
    /* The rest are sent at the rate of the link. */
    EntryFix_Advance(&fix, 5);
    g_assert_cmpint(fix.start_count, <, 16);
    EntryFix_Advance(&fix, 20);
    g_assert_cmpint(fix.start_count, ==, 21);
    g_assert_cmpint(Dispatcher_NextDispatchMs(fix.dispatcher), ==, INT64_MAX);
    EntryFix_Close(&fix);
}

static void
test_other_messages_count(void)
{
    EntryFix fix;

    EntryFix_Open(&fix, ENTRY, LINK_MBPS);
    EntryFix_Report(&fix, 0, 64);
    Dispatcher_AddSentBytes(fix.dispatcher, BURST_BYTES * 2);
    EntryFix_Submit(&fix, 1, 1, 0);
    g_assert_cmpint(fix.start_count, ==, 0);
    EntryFix_Advance(&fix, 9);
    g_assert_cmpint(fix.start_count, ==, 0);
    EntryFix_Advance(&fix, 3);
    g_assert_cmpint(fix.start_count, ==, 1);
    EntryFix_Close(&fix);
}

/* A job's tasks are spread over hosts while the link is not congested, and go
 * to the host with room for all of them while it is. */
static void
test_few_calls_while_congested(void)
{
    EntryFix fix;
    uint32_t host;
    int i;
    int sent;

    EntryFix_Open(&fix, ENTRY, LINK_MBPS);
    for (host = 0; host < SMALL_HOSTS; host++) {
        EntryFix_Report(&fix, host, 2);
    }
    EntryFix_Report(&fix, SMALL_HOSTS, 32);
    fill_link(&fix);
    EntryFix_Advance(&fix, 30);
    for (host = 0; host < SMALL_HOSTS; host++) {
        EntryFix_Report(&fix, host, 2);
    }
    EntryFix_Report(&fix, SMALL_HOSTS, 32);
    sent = fix.start_count;
    EntryFix_Submit(&fix, 50, 4, 0);
    g_assert_cmpint(fix.start_count, ==, sent + 4);
    for (i = sent; i < fix.start_count; i++) {
        g_assert_cmpuint(fix.starts[i].joined, ==, 4);
        g_assert_cmpuint(fix.starts[i].to, ==,
                         EntryFix_Host(SMALL_HOSTS).address);
    }
    EntryFix_Close(&fix);
}

/* A job that would wait beyond its objective is refused on arrival; one that
 * is accepted is sent in time for its objective. */
static void
test_refused_on_arrival(void)
{
    EntryFix fix;
    uint64_t job;
    int refused;
    int i;

    EntryFix_Open(&fix, ENTRY, LINK_MBPS);
    EntryFix_Report(&fix, 0, 2000);
    for (job = 1; job <= 900; job++) {
        EntryFix_Submit(&fix, job, 1, 1);
    }
    refused = fix.answer_count;
    /* The link carries about 470 starts in the 560 ms of slack. */
    g_assert_cmpint(refused, >, 350);
    g_assert_cmpint(refused, <, 450);
    for (i = 0; i < refused; i++) {
        g_assert_cmpint(fix.answers[i].outcome, ==, DISPATCHER_NOT_RUN);
        g_assert_cmpint(fix.answers[i].kind, ==, ERR_WAIT_TOO_LONG);
    }
    /* A more urgent job is sent before them. */
    EntryFix_Submit(&fix, 1000, 1, 0);
    g_assert_cmpint(fix.answer_count, ==, refused);
    fix.renewed_tasks = 2000;
    EntryFix_Advance(&fix, 700);
    g_assert_cmpint(fix.answer_count, ==, refused);
    g_assert_cmpint(fix.start_count, ==, 901 - refused);
    EntryFix_Close(&fix);
}

int
main(int argc, char **argv)
{
    static const TestTable_Row tests[] = {
        {"/link/token bucket", test_token_bucket},
        {"/link/unused rate does not add up beyond the burst",
         test_burst_limit},
        {"/link/the debt is bounded", test_debt_limit},
        {"/link/no limit", test_unlimited},
        {"/link/congested for a while after a wait", test_congestion},
        {"/link/starts at one host are joined in one call",
         test_joined_starts},
        {"/link/starts are not joined if the link rate is unknown",
         test_unknown_link},
        {"/link/a refused row is started elsewhere", test_refused_row},
        {"/link/each row of a lost call is requested again", test_lost_call},
        {"/link/starts wait in the order of urgency",
         test_starts_wait_in_order},
        {"/link/other messages use the budget", test_other_messages_count},
        {"/link/few calls while congested", test_few_calls_while_congested},
        {"/link/jobs that would wait too long are refused on arrival",
         test_refused_on_arrival},
    };

    return TestTable_Main(argc, argv, tests, G_N_ELEMENTS(tests));
}

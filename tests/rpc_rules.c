/*
 * Tests of calls between processes over loopback sockets. A RUNS call must
 * behave as one RUN call for each of its rows: each row is delivered and
 * answered separately, in any order, and all rows are lost if the peer refuses
 * the call.
 */
#include <glib.h>
#include <string.h>
#include <uv.h>

#include "tests/test_table.h"
#include "wire/rpc.h"

#define ROWS 5
#define TIMEOUT_MS 5000

/* Two RPC endpoints on one loop: the caller, and the callee, which answers or
 * refuses. */
typedef struct {
    uv_loop_t loop;
    uv_timer_t timeout;
    Rpc *caller;
    Rpc *callee;
    Counters counters;
    bool refuse;
    uint64_t reply_ids[ROWS];
    lc_run_args runs[ROWS];
    char specs[ROWS][64];
    int calls;
    uint32_t ran_ms[ROWS]; /* answer to each row; UINT32_MAX: lost */
    int replies;
    bool bad;
} rpc_fixture;

static void
on_timeout(uv_timer_t *timer)
{
    (void)timer;
    g_error("test did not finish within %d ms", TIMEOUT_MS);
}

/* Answers the rows in reverse order. */
static void
answer_all(rpc_fixture *fixture)
{
    int i;

    for (i = ROWS - 1; i >= 0; i--) {
        Msg_Reply reply = {.kind = MSG_RUN};
        reply.u.run.ran_ms = 100 + fixture->runs[i].id.index;
        Rpc_Reply(fixture->callee, fixture->reply_ids[i], &reply);
    }
}

static void
on_call(void *context, uint64_t reply_id, const Msg_Call *call)
{
    rpc_fixture *fixture = context;

    if (fixture->refuse) {
        if (fixture->calls++ == 0) {
            Rpc_Refuse(fixture->callee, reply_id);
        }
        return;
    }
    g_assert_cmpint(call->kind, ==, MSG_RUN);
    fixture->reply_ids[fixture->calls] = reply_id;
    fixture->runs[fixture->calls] = call->u.run;
    g_strlcpy(fixture->specs[fixture->calls], call->u.run.spec, 64);
    if (++fixture->calls == ROWS) {
        answer_all(fixture);
    }
}

static void
on_reply(void *context, uint64_t call_id, const Msg_Reply *reply)
{
    rpc_fixture *fixture = context;

    fixture->ran_ms[call_id - 1] = reply == NULL ? UINT32_MAX
                                                 : reply->u.run.ran_ms;
    fixture->replies++;
    if (fixture->replies == ROWS) {
        uv_stop(&fixture->loop);
    }
}

static void
ignore_reply(void *context, uint64_t call_id, const Msg_Reply *reply)
{
    (void)context;
    (void)call_id;
    (void)reply;
}

static void
ignore_call(void *context, uint64_t reply_id, const Msg_Call *call)
{
    (void)context;
    (void)reply_id;
    (void)call;
}

static void
open_fixture(rpc_fixture *fixture, Address address)
{
    static const Rpc_Handlers caller = {ignore_call, on_reply};
    static const Rpc_Handlers callee = {on_call, ignore_reply};
    Status status = {ERR_OK, ""};

    memset(fixture, 0, sizeof(*fixture));
    uv_loop_init(&fixture->loop);
    uv_timer_init(&fixture->loop, &fixture->timeout);
    uv_timer_start(&fixture->timeout, on_timeout, TIMEOUT_MS, 0);
    fixture->caller = Rpc_New(&fixture->loop, &fixture->counters, &caller,
                              fixture);
    fixture->callee = Rpc_New(&fixture->loop, &fixture->counters, &callee,
                              fixture);
    g_assert_cmpint(Rpc_Listen(fixture->callee, address, &status), ==, ERR_OK);
}

static void
close_fixture(rpc_fixture *fixture)
{
    Rpc_Close(fixture->caller);
    Rpc_Close(fixture->callee);
    uv_close((uv_handle_t *)&fixture->timeout, NULL);
    uv_run(&fixture->loop, UV_RUN_DEFAULT);
    g_assert_cmpint(uv_loop_close(&fixture->loop), ==, 0);
}

static void
call_runs(rpc_fixture *fixture, Address address)
{
    static const uint64_t call_ids[ROWS] = {1, 2, 3, 4, 5};
    lc_runs_row rows[ROWS];
    lc_runs_args runs = {.owner = {7, 8},
                         .target = 9,
                         .valid_until_ms = 10,
                         .closures_as_of = 11,
                         .job = 12,
                         .spec = (char *)(uintptr_t) "the spec"};
    u_int i;

    memset(rows, 0, sizeof(rows));
    for (i = 0; i < ROWS; i++) {
        rows[i].index = i;
        rows[i].run = 20 + i;
        rows[i].estimate_ms = 30 + i;
        rows[i].crashes = i;
        rows[i].need.cpu_milli = 1000 + i;
    }
    runs.rows.rows_len = ROWS;
    runs.rows.rows_val = rows;
    Rpc_CallRuns(fixture->caller, address, call_ids, &runs);
    uv_run(&fixture->loop, UV_RUN_DEFAULT);
}

static Address
loopback(uint16_t port)
{
    Address address;
    char *text = g_strdup_printf("127.0.0.1:%u", port);

    g_assert_true(Address_Parse(text, &address));
    g_free(text);
    return address;
}

static void
check_row(const lc_run_args *run, u_int row)
{
    g_assert_cmpuint(run->id.job, ==, 12);
    g_assert_cmpuint(run->id.index, ==, row);
    g_assert_cmpuint(run->id.run, ==, 20 + row);
    g_assert_cmpuint(run->estimate_ms, ==, 30 + row);
    g_assert_cmpuint(run->crashes, ==, row);
    g_assert_cmpuint(run->need.cpu_milli, ==, 1000 + row);
}

static void
test_rows(void)
{
    Address address = loopback(7871);
    rpc_fixture fixture;
    u_int i;

    open_fixture(&fixture, address);
    call_runs(&fixture, address);
    for (i = 0; i < ROWS; i++) {
        const lc_run_args *run = &fixture.runs[i];
        check_row(run, i);
        g_assert_cmpuint(run->owner.incarnation, ==, 8);
        g_assert_cmpuint(run->target, ==, 9);
        g_assert_cmpint(run->valid_until_ms, ==, 10);
        g_assert_cmpint(run->closures_as_of, ==, 11);
        g_assert_cmpstr(fixture.specs[i], ==, "the spec");
        g_assert_cmpuint(fixture.ran_ms[i], ==, 100 + i);
    }
    close_fixture(&fixture);
}

/* A peer of an earlier version, which does not know RUNS, sends one refusal,
 * to the xid of the first row. */
static void
test_refused(void)
{
    Address address = loopback(7872);
    rpc_fixture fixture;
    u_int i;

    /* The refusal is logged as a warning. */
    g_log_set_always_fatal(G_LOG_FATAL_MASK);
    open_fixture(&fixture, address);
    fixture.refuse = true;
    call_runs(&fixture, address);
    for (i = 0; i < ROWS; i++) {
        g_assert_cmpuint(fixture.ran_ms[i], ==, UINT32_MAX);
    }
    close_fixture(&fixture);
}

/* Calls that a broken connection has lost are told before the next call is
 * made, without a pass of the loop. */
static void
test_lost_calls_are_told_at_once(void)
{
    Address address = loopback(7873);
    Msg_Call call = {.kind = MSG_RENEW};
    rpc_fixture fixture;

    open_fixture(&fixture, address);
    Rpc_Call(fixture.caller, address, 1, &call);
    Rpc_Disconnect(fixture.caller, address);
    g_assert_cmpint(fixture.replies, ==, 0);
    Rpc_ReportLostCalls(fixture.caller);
    g_assert_cmpint(fixture.replies, ==, 1);
    g_assert_cmpuint(fixture.ran_ms[0], ==, UINT32_MAX);
    Rpc_ReportLostCalls(fixture.caller);
    uv_run(&fixture.loop, UV_RUN_NOWAIT);
    g_assert_cmpint(fixture.replies, ==, 1);
    close_fixture(&fixture);
}

int
main(int argc, char **argv)
{
    static const TestTable_Row rules[] = {
        {"/rpc/each row is a call of its own", test_rows},
        {"/rpc/a refused call has done none of its rows", test_refused},
        {"/rpc/lost calls are told at once", test_lost_calls_are_told_at_once},
    };

    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

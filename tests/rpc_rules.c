/*
 * Rules of calls between processes over real sockets on one machine: a RUNS
 * is as many RUNs as it has rows.
 */
#include <glib.h>
#include <string.h>
#include <uv.h>

#include "tests/rule_table.h"
#include "wire/rpc.h"

#define ROWS 5
#define LIMIT_MS 5000

/* Two processes on one loop: one calls, the other answers or refuses. */
typedef struct {
    uv_loop_t loop;
    uv_timer_t limit;
    Rpc *caller;
    Rpc *callee;
    Counters counters;
    bool refuse;
    uint64_t reply_ids[ROWS];
    lc_run_args runs[ROWS];
    char specs[ROWS][64];
    int calls;
    uint32_t ran_ms[ROWS]; /* as answered, by row; UINT32_MAX: lost */
    int replies;
    bool bad;
} pair;

static void
on_limit(uv_timer_t *timer)
{
    (void)timer;
    g_error("no end within %d ms", LIMIT_MS);
}

/* Answers the last row first. */
static void
answer_all(pair *both)
{
    int i;

    for (i = ROWS - 1; i >= 0; i--) {
        Msg_Reply reply = {.kind = MSG_RUN};
        reply.u.run.ran_ms = 100 + both->runs[i].id.index;
        Rpc_Reply(both->callee, both->reply_ids[i], &reply);
    }
}

static void
on_call(void *context, uint64_t reply_id, const Msg_Call *call)
{
    pair *both = context;

    if (both->refuse) {
        if (both->calls++ == 0) {
            Rpc_Refuse(both->callee, reply_id);
        }
        return;
    }
    g_assert_cmpint(call->kind, ==, MSG_RUN);
    both->reply_ids[both->calls] = reply_id;
    both->runs[both->calls] = call->u.run;
    g_strlcpy(both->specs[both->calls], call->u.run.spec, 64);
    if (++both->calls == ROWS) {
        answer_all(both);
    }
}

static void
on_reply(void *context, uint64_t call_id, const Msg_Reply *reply)
{
    pair *both = context;

    both->ran_ms[call_id - 1] = reply == NULL ? UINT32_MAX
                                              : reply->u.run.ran_ms;
    both->replies++;
    if (both->replies == ROWS) {
        uv_stop(&both->loop);
    }
}

static void
on_no_reply(void *context, uint64_t call_id, const Msg_Reply *reply)
{
    (void)context;
    (void)call_id;
    (void)reply;
}

static void
on_no_call(void *context, uint64_t reply_id, const Msg_Call *call)
{
    (void)context;
    (void)reply_id;
    (void)call;
}

static void
open_pair(pair *both, Address address)
{
    static const Rpc_Handlers caller = {on_no_call, on_reply};
    static const Rpc_Handlers callee = {on_call, on_no_reply};
    Status status = {ERR_OK, ""};

    memset(both, 0, sizeof(*both));
    uv_loop_init(&both->loop);
    uv_timer_init(&both->loop, &both->limit);
    uv_timer_start(&both->limit, on_limit, LIMIT_MS, 0);
    both->caller = Rpc_New(&both->loop, &both->counters, &caller, both);
    both->callee = Rpc_New(&both->loop, &both->counters, &callee, both);
    g_assert_cmpint(Rpc_Listen(both->callee, address, &status), ==, ERR_OK);
}

static void
close_pair(pair *both)
{
    Rpc_Close(both->caller);
    Rpc_Close(both->callee);
    uv_close((uv_handle_t *)&both->limit, NULL);
    uv_run(&both->loop, UV_RUN_DEFAULT);
    g_assert_cmpint(uv_loop_close(&both->loop), ==, 0);
}

static void
call_runs(pair *both, Address address)
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
    Rpc_CallRuns(both->caller, address, call_ids, &runs);
    uv_run(&both->loop, UV_RUN_DEFAULT);
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
    pair both;
    u_int i;

    open_pair(&both, address);
    call_runs(&both, address);
    for (i = 0; i < ROWS; i++) {
        const lc_run_args *run = &both.runs[i];
        check_row(run, i);
        g_assert_cmpuint(run->owner.incarnation, ==, 8);
        g_assert_cmpuint(run->target, ==, 9);
        g_assert_cmpint(run->valid_until_ms, ==, 10);
        g_assert_cmpint(run->closures_as_of, ==, 11);
        g_assert_cmpstr(both.specs[i], ==, "the spec");
        g_assert_cmpuint(both.ran_ms[i], ==, 100 + i);
    }
    close_pair(&both);
}

/* As a peer of an earlier version does: one refusal, of the first number. */
static void
test_refused(void)
{
    Address address = loopback(7872);
    pair both;
    u_int i;

    /* The refusal is logged as a warning. */
    g_log_set_always_fatal(G_LOG_FATAL_MASK);
    open_pair(&both, address);
    both.refuse = true;
    call_runs(&both, address);
    for (i = 0; i < ROWS; i++) {
        g_assert_cmpuint(both.ran_ms[i], ==, UINT32_MAX);
    }
    close_pair(&both);
}

int
main(int argc, char **argv)
{
    static const RuleTable_Row rules[] = {
        {"/rpc/each row is a call of its own", test_rows},
        {"/rpc/a refused call has done none of its rows", test_refused},
    };

    return RuleTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

/*
 * Tests of calls between processes over loopback sockets. A RUNS call must
 * behave as one RUN call for each of its rows: each row is delivered and
 * answered separately, in any order, and all rows are lost if the peer refuses
 * the call. What a peer sends and does not read is limited.
 */
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>
#include <uv.h>

#include "tests/test_clock.h"
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
open_endpoints(rpc_fixture *fixture)
{
    static const Rpc_Handlers caller = {ignore_call, on_reply};
    static const Rpc_Handlers callee = {on_call, ignore_reply};

    memset(fixture, 0, sizeof(*fixture));
    uv_loop_init(&fixture->loop);
    uv_timer_init(&fixture->loop, &fixture->timeout);
    uv_timer_start(&fixture->timeout, on_timeout, TIMEOUT_MS, 0);
    fixture->caller = Rpc_New(&fixture->loop, &fixture->counters, &caller,
                              fixture);
    fixture->callee = Rpc_New(&fixture->loop, &fixture->counters, &callee,
                              fixture);
}

static void
listen_at(rpc_fixture *fixture, Address address)
{
    Status status = {ERR_OK, ""};

    if (Rpc_Listen(fixture->callee, address, &status) != ERR_OK) {
        g_error("%s", status.message);
    }
}

static void
open_fixture(rpc_fixture *fixture, Address address)
{
    open_endpoints(fixture);
    listen_at(fixture, address);
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

/* At an IP address of this process alone, as several may run side by side. */
static Address
loopback(uint16_t port)
{
    unsigned pid = (unsigned)getpid();
    Address address;
    char *text = g_strdup_printf("127.%u.%u.%u:%u", 128 + (pid >> 16 & 63),
                                 pid >> 8 & 255, pid & 255, port);

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

/* ---- limits ---- */

#define LIMITED_PORT 7894
/* Far above the bytes of a test that is not about them. */
#define MANY_BYTES 100000000
#define MANY_CONNECTIONS 1000
#define MAX_HELD 8
#define RESULT_BYTES 200000
#define LARGE_RECORD_BYTES 1000000
#define READ_BYTES 65536
/* Only end a test that fails. */
#define MAX_PASSES 50000
#define MAX_UNREAD_CALLS 1000
/* Passes of the loop within which what a client has sent is certainly read. */
#define SETTLE_PASSES 20
#define KEEPALIVE_MS 300
#define STEP_MS 100
#define MS_PER_S ((int64_t)1000)

/* The callee of peers that are plain sockets. */
typedef struct {
    uv_loop_t loop;
    Rpc *rpc;
    ClientLimits *limits;
    Counters counters;
    uint64_t held[MAX_HELD]; /* RENEW calls, which have no answer yet */
    int held_count;
} limited_callee;

static limited_callee limited;
/* START calls get a long result. */
static void
answer_call(void *context, uint64_t reply_id, const Msg_Call *call)
{
    static char result[RESULT_BYTES];
    Msg_Reply reply = {.kind = call->kind};

    (void)context;
    if (call->kind == MSG_RENEW) {
        g_assert_cmpint(limited.held_count, <, MAX_HELD);
        limited.held[limited.held_count++] = reply_id;
        return;
    }
    if (call->kind == MSG_START) {
        reply.u.start.grant_group = (char *)(uintptr_t) "";
        reply.u.start.result.result_len = sizeof(result);
        reply.u.start.result.result_val = result;
    }
    Rpc_Reply(limited.rpc, reply_id, &reply);
}

/* Tables of limits last as long as the process. */
static ClientLimits *
new_limits(size_t max_bytes, uint32_t max_connections)
{
    static GPtrArray *all;
    ClientLimits *limits = ClientLimits_New(max_bytes, max_connections);

    if (all == NULL) {
        all = g_ptr_array_new();
    }
    g_ptr_array_add(all, limits);
    return limits;
}

static void
open_limited(size_t max_bytes, uint32_t max_connections)
{
    static const Rpc_Handlers handlers = {answer_call, ignore_reply};
    Status status = {ERR_OK, ""};

    memset(&limited, 0, sizeof(limited));
    uv_loop_init(&limited.loop);
    limited.limits = new_limits(max_bytes, max_connections);
    limited.rpc = Rpc_New(&limited.loop, &limited.counters, &handlers, NULL);
    Rpc_SetClientLimits(limited.rpc, limited.limits);
    g_assert_cmpint(Rpc_Listen(limited.rpc, loopback(LIMITED_PORT), &status),
                    ==, ERR_OK);
}

/* Value of a line of the metrics. */
static uint64_t
metric(const char *name)
{
    GString *text = g_string_new("\n");
    char *start = g_strdup_printf("\n%s ", name);
    const char *line;
    uint64_t value;

    ClientLimits_Print(limited.limits, text);
    line = strstr(text->str, start);
    g_assert_nonnull(line);
    value = g_ascii_strtoull(line + strlen(start), NULL, 10);
    g_free(start);
    g_string_free(text, TRUE);
    return value;
}

static uint64_t
held_bytes(void)
{
    return metric("levercove_client_bytes");
}

static uint64_t
closed_for(const char *limit)
{
    char *name = g_strdup_printf("levercove_clients_closed{limit=\"%s\"}",
                                 limit);
    uint64_t count = metric(name);

    g_free(name);
    return count;
}

/* One pass of the loop; fails the test if there are too many. */
static void
run_pass(int *passes)
{
    g_assert_cmpint((*passes)++, <, MAX_PASSES);
    uv_run(&limited.loop, UV_RUN_NOWAIT);
    g_usleep(100);
}

static void
settle(void)
{
    int passes = 0;

    while (passes < SETTLE_PASSES) {
        run_pass(&passes);
    }
}

static void
wait_for_connections(uint64_t count)
{
    int passes = 0;

    while (metric("levercove_client_connections") != count) {
        run_pass(&passes);
    }
}

static void
wait_for_bytes(uint64_t at_least)
{
    int passes = 0;

    while (held_bytes() < at_least) {
        run_pass(&passes);
    }
}

static void
wait_for_held(int count)
{
    int passes = 0;

    while (limited.held_count != count) {
        run_pass(&passes);
    }
}

static void
answer_held(int index)
{
    Msg_Reply reply = {.kind = MSG_RENEW};

    Rpc_Reply(limited.rpc, limited.held[index], &reply);
}

/* All peers must have been closed. */
static void
close_limited(void)
{
    wait_for_connections(0);
    g_assert_cmpuint(held_bytes(), ==, 0);
    Rpc_Close(limited.rpc);
    uv_run(&limited.loop, UV_RUN_DEFAULT);
    g_assert_cmpint(uv_loop_close(&limited.loop), ==, 0);
}

static int
open_peer(void)
{
    struct sockaddr_in callee = Address_ToSocket(loopback(LIMITED_PORT));
    int peer = socket(AF_INET, SOCK_STREAM, 0);
    int receive_bytes = 4096;

    setsockopt(peer, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
    g_assert_cmpint(connect(peer, (struct sockaddr *)&callee, sizeof(callee)),
                    ==, 0);
    return peer;
}

static bool
is_closed(int peer)
{
    struct pollfd row = {.fd = peer, .events = POLLRDHUP};

    return poll(&row, 1, 0) > 0;
}

static void
wait_until_closed(int peer)
{
    int passes = 0;

    while (!is_closed(peer)) {
        run_pass(&passes);
    }
}

/* Sends bytes while the callee reads. */
static void
send_bytes(int peer, const GByteArray *bytes, size_t length)
{
    size_t sent = 0;
    int passes = 0;

    while (sent < length) {
        ssize_t count = send(peer, bytes->data + sent, length - sent,
                             MSG_DONTWAIT);
        g_assert_true(count > 0 || errno == EAGAIN);
        sent += count > 0 ? (size_t)count : 0;
        run_pass(&passes);
    }
}

static GByteArray *
encode_relay(void)
{
    GByteArray *bytes = g_byte_array_new();
    Msg_Call call = {.kind = MSG_RELAY};
    lc_record record = {.data = g_strnfill(LARGE_RECORD_BYTES, 'x')};

    call.u.relay.records.records_len = 1;
    call.u.relay.records.records_val = &record;
    Msg_EncodeCall(&call, 1, bytes);
    g_free(record.data);
    g_assert_cmpuint(bytes->len, >, LARGE_RECORD_BYTES);
    return bytes;
}

static void
send_call(int peer, Msg_Kind kind)
{
    GByteArray *bytes = g_byte_array_new();
    Msg_Call call = {.kind = kind};

    if (kind == MSG_START) {
        call.u.start.group = (char *)(uintptr_t) "";
    }
    Msg_EncodeCall(&call, 1, bytes);
    send_bytes(peer, bytes, bytes->len);
    g_byte_array_unref(bytes);
}

/* Sends the first bytes of a record of 1 MB. */
static void
send_unfinished(int peer, size_t length)
{
    GByteArray *bytes = encode_relay();

    send_bytes(peer, bytes, length);
    g_byte_array_unref(bytes);
}

static void
send_large(int peer)
{
    GByteArray *bytes = encode_relay();

    send_bytes(peer, bytes, bytes->len);
    g_byte_array_unref(bytes);
}

/* Waits for the record mark of a reply. */
static void
check_answered(int peer)
{
    char mark[MSG_MARK_SIZE];
    ssize_t count;
    int passes = 0;

    do {
        run_pass(&passes);
        count = recv(peer, mark, sizeof(mark), MSG_DONTWAIT);
    } while (count < 0 && errno == EAGAIN);
    g_assert_cmpint(count, ==, sizeof(mark));
}

static void
check_ordinary(int peer)
{
    GByteArray *ping = g_byte_array_new();

    Msg_EncodePing(1, ping);
    send_bytes(peer, ping, ping->len);
    check_answered(peer);
    g_byte_array_unref(ping);
}

static void
test_largest_unfinished_record_is_closed(void)
{
    int large;
    int small[7];
    int ordinary;
    guint i;

    open_limited(900000, MANY_CONNECTIONS);
    large = open_peer();
    send_unfinished(large, 400000);
    wait_for_bytes(400000);
    for (i = 0; i < G_N_ELEMENTS(small); i++) {
        small[i] = open_peer();
        send_unfinished(small[i], 60000);
    }
    wait_until_closed(large);
    ordinary = open_peer();
    check_ordinary(ordinary);
    g_assert_cmpuint(closed_for("bytes"), ==, 1);
    for (i = 0; i < G_N_ELEMENTS(small); i++) {
        g_assert_false(is_closed(small[i]));
        close(small[i]);
    }
    close(large);
    close(ordinary);
    close_limited();
}

static void
test_peer_that_reads_no_replies_is_closed(void)
{
    int reading;
    int peer;
    int i;

    open_limited(2000000, MANY_CONNECTIONS);
    reading = open_peer();
    check_ordinary(reading);
    peer = open_peer();
    for (i = 0; i < MAX_UNREAD_CALLS && closed_for("bytes") == 0; i++) {
        send_call(peer, MSG_START);
        g_assert_cmpuint(held_bytes(), <, 4000000);
    }
    g_assert_cmpuint(closed_for("bytes"), ==, 1);
    g_assert_false(is_closed(reading));
    check_ordinary(reading);
    close(reading);
    close(peer);
    close_limited();
}

static void
test_large_record_is_served(void)
{
    int peer;

    open_limited(2000000, MANY_CONNECTIONS);
    peer = open_peer();
    send_large(peer);
    check_answered(peer);
    g_assert_cmpuint(closed_for("bytes"), ==, 0);
    close(peer);
    close_limited();
}

/* Others may need the room of a peer that is idle. */
static void
test_large_record_is_not_held_once_served(void)
{
    int peer;

    open_limited(MANY_BYTES, MANY_CONNECTIONS);
    peer = open_peer();
    send_large(peer);
    check_answered(peer);
    settle();
    g_assert_cmpuint(held_bytes(), <=, READ_BYTES);
    close(peer);
    close_limited();
}

static void
test_peer_that_disconnects_holds_nothing(void)
{
    int unfinished;
    int unread;
    int held;

    open_limited(MANY_BYTES, MANY_CONNECTIONS);
    unfinished = open_peer();
    send_unfinished(unfinished, 300000);
    wait_for_bytes(300000);
    unread = open_peer();
    while (held_bytes() < 1000000) {
        send_call(unread, MSG_START);
    }
    held = open_peer();
    send_call(held, MSG_RENEW);
    wait_for_held(1);
    close(unfinished);
    close(unread);
    close(held);
    wait_for_connections(0);
    g_assert_cmpuint(held_bytes(), ==, 0);
    answer_held(0);
    close_limited();
}

/* ---- connections ---- */

static int
open_held(void)
{
    int peer = open_peer();
    int count = limited.held_count;

    send_call(peer, MSG_RENEW);
    wait_for_held(count + 1);
    return peer;
}

static void
test_idle_one_is_closed_before_a_served_one(void)
{
    int held;
    int idle;
    int later;

    open_limited(MANY_BYTES, 2);
    held = open_held();
    idle = open_peer();
    check_ordinary(idle);
    later = open_held();
    wait_until_closed(idle);
    g_assert_cmpuint(closed_for("connections"), ==, 1);
    g_assert_false(is_closed(held));
    answer_held(0);
    check_answered(held);
    close(held);
    close(idle);
    close(later);
    close_limited();
}

static void
test_served_ones_stay_at_the_connection_limit(void)
{
    int held[2];
    int later;

    open_limited(MANY_BYTES, 2);
    held[0] = open_held();
    held[1] = open_held();
    later = open_peer();
    send_call(later, MSG_RENEW);
    settle();
    g_assert_cmpint(limited.held_count, ==, 2);
    g_assert_cmpuint(closed_for("connections"), ==, 0);
    answer_held(0);
    check_answered(held[0]);
    wait_for_held(3);
    g_assert_false(is_closed(held[1]));
    close(held[0]);
    close(held[1]);
    close(later);
    close_limited();
}

/* A peer may have several calls under way. */
static void
test_one_answer_of_two_does_not_end_the_service(void)
{
    int held;
    int later;

    open_limited(MANY_BYTES, 1);
    held = open_held();
    send_call(held, MSG_RENEW);
    wait_for_held(2);
    later = open_peer();
    send_call(later, MSG_RENEW);
    settle();
    answer_held(0);
    check_answered(held);
    settle();
    g_assert_cmpuint(closed_for("connections"), ==, 0);
    answer_held(1);
    wait_for_held(3);
    close(held);
    close(later);
    close_limited();
}

static void
test_ordinary_call_beside_unfinished_records(void)
{
    int others[20];
    int ordinary;
    guint i;

    open_limited(MANY_BYTES, 5);
    for (i = 0; i < G_N_ELEMENTS(others); i++) {
        others[i] = open_peer();
        send_unfinished(others[i], 1);
    }
    ordinary = open_peer();
    check_ordinary(ordinary);
    g_assert_cmpuint(closed_for("connections"), >, 0);
    for (i = 0; i < G_N_ELEMENTS(others); i++) {
        close(others[i]);
    }
    close(ordinary);
    close_limited();
}

/* ---- times ---- */

/* Keepalive is checked by a clock that only pass_ms moves. */
static void
open_timed(void)
{
    TestClock_Stop();
    open_limited(MANY_BYTES, MANY_CONNECTIONS);
    Rpc_EnableKeepAlive(limited.rpc, KEEPALIVE_MS);
}

static void
close_timed(void)
{
    close_limited();
    TestClock_Go();
}

static void
pass_ms(int64_t ms)
{
    int64_t passed_ms;

    for (passed_ms = 0; passed_ms < ms; passed_ms += STEP_MS) {
        TestClock_Advance(STEP_MS);
        uv_run(&limited.loop, UV_RUN_NOWAIT);
    }
}

static void
check_closed_for(const char *limit, int peer)
{
    g_assert_cmpuint(closed_for(limit), ==, 1);
    wait_for_connections(0);
    close(peer);
}

/* Sends the first bytes of a record, one each second. */
static void
send_byte_by_byte(int peer, guint seconds)
{
    GByteArray *bytes = encode_relay();
    GByteArray byte = {.len = 1};
    guint i;

    for (i = 0; i < seconds; i++) {
        byte.data = bytes->data + i;
        send_bytes(peer, &byte, 1);
        settle();
        pass_ms(MS_PER_S);
    }
    g_byte_array_unref(bytes);
}

static void
test_record_that_comes_byte_by_byte_is_closed(void)
{
    int peer;

    open_timed();
    peer = open_peer();
    check_ordinary(peer);
    pass_ms(30 * MS_PER_S);
    send_byte_by_byte(peer, 19);
    g_assert_false(is_closed(peer));
    pass_ms(2 * MS_PER_S);
    check_closed_for("request_time", peer);
    close_timed();
}

static void
test_first_record_that_comes_byte_by_byte_is_closed(void)
{
    int peer;

    open_timed();
    peer = open_peer();
    settle();
    send_byte_by_byte(peer, 19);
    g_assert_false(is_closed(peer));
    pass_ms(2 * MS_PER_S);
    check_closed_for("request_time", peer);
    close_timed();
}

static void
test_peer_that_sends_nothing_is_closed(void)
{
    int peer;

    open_timed();
    peer = open_peer();
    settle();
    pass_ms(19 * MS_PER_S);
    g_assert_false(is_closed(peer));
    pass_ms(2 * MS_PER_S);
    check_closed_for("request_time", peer);
    close_timed();
}

/* Each read ends within a record, though none takes long. */
static void
test_records_that_follow_each_other_have_time(void)
{
    GByteArray *pings = g_byte_array_new();
    GByteArray part = {0};
    guint length;
    int peer;
    int i;

    open_timed();
    peer = open_peer();
    for (i = 0; i < 40; i++) {
        Msg_EncodePing(1, pings);
    }
    length = pings->len / 40;
    for (i = 0; i < 39; i++) {
        part.data = pings->data + (size_t)i * length +
                    (i > 0 ? length / 2 : 0);
        part.len = i > 0 ? length : length + length / 2;
        send_bytes(peer, &part, part.len);
        settle();
        pass_ms(MS_PER_S);
        g_assert_false(is_closed(peer));
    }
    close(peer);
    g_byte_array_unref(pings);
    close_timed();
}

static void
test_stalled_process_excuses_a_record(void)
{
    int peer;

    open_timed();
    peer = open_peer();
    send_unfinished(peer, 100);
    settle();
    TestClock_Advance(30 * MS_PER_S);
    pass_ms(MS_PER_S);
    g_assert_cmpuint(closed_for("request_time"), ==, 0);
    g_assert_false(is_closed(peer));
    close(peer);
    close_timed();
}

static void
test_peer_that_reads_no_replies_is_closed_in_time(void)
{
    int peer;

    open_timed();
    peer = open_peer();
    while (held_bytes() < 1000000) {
        send_call(peer, MSG_START);
    }
    pass_ms(29 * MS_PER_S);
    g_assert_cmpuint(closed_for("answer_time"), ==, 0);
    pass_ms(2 * MS_PER_S);
    check_closed_for("answer_time", peer);
    close_timed();
}

static void
test_call_that_is_served_has_time(void)
{
    int peer;

    open_timed();
    peer = open_held();
    pass_ms(60 * MS_PER_S);
    g_assert_false(is_closed(peer));
    answer_held(0);
    check_answered(peer);
    close(peer);
    close_timed();
}

static void
call_run(rpc_fixture *fixture, Address address, uint32_t run)
{
    Msg_Call call = {.kind = MSG_RUN};

    call.u.run.id.run = run;
    call.u.run.spec = (char *)(uintptr_t) "";
    Rpc_Call(fixture->caller, address, run, &call);
}

/* Runs the loop until both counts are reached. */
static void
run_until(rpc_fixture *fixture, int calls, int replies)
{
    while (fixture->calls < calls || fixture->replies < replies) {
        uv_run(&fixture->loop, UV_RUN_ONCE);
    }
}

/* Whether anything is sent again would show within this time. */
static void
run_for_a_while(rpc_fixture *fixture)
{
    int64_t until_us = g_get_monotonic_time() + 200000;

    while (g_get_monotonic_time() < until_us) {
        uv_run(&fixture->loop, UV_RUN_NOWAIT);
        g_usleep(1000);
    }
}

/* The other side may have refused the call, and remembers no refusal. */
static void
test_lost_call_is_not_sent_again(void)
{
    Address address = loopback(7874);
    rpc_fixture fixture;

    open_fixture(&fixture, address);
    call_run(&fixture, address, 1);
    run_until(&fixture, 1, 0);
    Rpc_Disconnect(fixture.caller, address);
    call_run(&fixture, address, 2);
    run_until(&fixture, 2, 1);
    run_for_a_while(&fixture);
    g_assert_cmpint(fixture.calls, ==, 2);
    g_assert_cmpint(fixture.replies, ==, 1);
    g_assert_cmpuint(fixture.ran_ms[0], ==, UINT32_MAX);
    g_assert_cmpuint(fixture.runs[0].id.run, ==, 1);
    g_assert_cmpuint(fixture.runs[1].id.run, ==, 2);
    close_fixture(&fixture);
}

/* A call that waited for a connection which failed was told as lost: it is
 * not part of what the next connection carries. */
static void
test_unsent_call_is_not_delivered_later(void)
{
    Address address = loopback(7875);
    rpc_fixture fixture;

    open_endpoints(&fixture);
    call_run(&fixture, address, 1);
    run_until(&fixture, 0, 1);
    g_assert_cmpuint(fixture.ran_ms[0], ==, UINT32_MAX);
    listen_at(&fixture, address);
    call_run(&fixture, address, 2);
    run_until(&fixture, 1, 1);
    run_for_a_while(&fixture);
    g_assert_cmpint(fixture.calls, ==, 1);
    g_assert_cmpuint(fixture.runs[0].id.run, ==, 2);
    close_fixture(&fixture);
}

int
main(int argc, char **argv)
{
    static const TestTable_Row rules[] = {
        {"/rpc/each row is a call of its own", test_rows},
        {"/rpc/a refused call has done none of its rows", test_refused},
        {"/rpc/lost calls are told at once", test_lost_calls_are_told_at_once},
        {"/rpc/the largest unfinished record is closed",
         test_largest_unfinished_record_is_closed},
        {"/rpc/a peer that reads no replies is closed",
         test_peer_that_reads_no_replies_is_closed},
        {"/rpc/a large record is served", test_large_record_is_served},
        {"/rpc/a peer that disconnects holds nothing",
         test_peer_that_disconnects_holds_nothing},
        {"/rpc/an idle one is closed before a served one",
         test_idle_one_is_closed_before_a_served_one},
        {"/rpc/served ones stay at the connection limit",
         test_served_ones_stay_at_the_connection_limit},
        {"/rpc/one answer of two does not end the service",
         test_one_answer_of_two_does_not_end_the_service},
        {"/rpc/an ordinary call beside unfinished records",
         test_ordinary_call_beside_unfinished_records},
        {"/rpc/a record that comes byte by byte is closed",
         test_record_that_comes_byte_by_byte_is_closed},
        {"/rpc/a first record that comes byte by byte is closed",
         test_first_record_that_comes_byte_by_byte_is_closed},
        {"/rpc/a peer that sends nothing is closed",
         test_peer_that_sends_nothing_is_closed},
        {"/rpc/records that follow each other have time",
         test_records_that_follow_each_other_have_time},
        {"/rpc/a stalled process excuses an unfinished record",
         test_stalled_process_excuses_a_record},
        {"/rpc/a peer that reads no replies is closed in time",
         test_peer_that_reads_no_replies_is_closed_in_time},
        {"/rpc/a call that is served has time",
         test_call_that_is_served_has_time},
        {"/rpc/a large record is not held once it is served",
         test_large_record_is_not_held_once_served},
        {"/rpc/a lost call is not sent again",
         test_lost_call_is_not_sent_again},
        {"/rpc/a call told as lost is not delivered later",
         test_unsent_call_is_not_delivered_later},
    };

    signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

/*
 * Rules of the HTTP client on the latest time at which a request may be sent,
 * over loopback sockets, and what companions make of its outcomes.
 */

#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>
#include <uv.h>

#include "base/clock.h"
#include "platform/http_client.h"
#include "platform/upstream_api.h"
#include "tests/test_table.h"

#define TIMEOUT_MS 5000
#define SEND_BY_MS 20
/* Longer than SEND_BY_MS, to stop the process between the request and its
 * connection. */
#define STALL_MS 60
#define MAX_OPEN 4

/* A server that answers each request, and the outcome of the last request. The
 * client and its loop are shared by all tests, as a client cannot be freed. */
typedef struct {
    HttpClient *client;
    uv_tcp_t *server;
    int connections; /* that the client has not closed */
    Address address;
    char input[512];
    size_t input_length; /* of the bytes received since the last answer */
    size_t received;
    size_t received_before; /* the last request */
    bool connection_ended;  /* by the client */
    bool done;
    bool takes_descriptors; /* the handler of the outcome does */
    rlim_t limit;           /* of open files, before */
    bool written;           /* told that it is */
    HttpClient_Outcome outcome;
} client_fixture;

static client_fixture fix;

static void
close_handle(uv_handle_t *handle)
{
    g_free(handle);
}

static void
on_written(uv_write_t *request, int status)
{
    g_assert_cmpint(status, ==, 0);
    g_free(request);
}

static void
on_allocate(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
    (void)handle;
    (void)size;
    *buffer = uv_buf_init(
        fix.input + fix.input_length,
        (unsigned)(sizeof(fix.input) - 1 - fix.input_length));
}

static void
on_input(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
    static char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    uv_buf_t out = uv_buf_init(answer, sizeof(answer) - 1);

    (void)buffer;
    if (count <= 0) {
        fix.connections--;
        uv_close((uv_handle_t *)stream, close_handle);
        return;
    }
    fix.received += (size_t)count;
    fix.input_length += (size_t)count;
    fix.input[fix.input_length] = '\0';
    if (strstr(fix.input, "\r\n\r\n") != NULL) {
        fix.input_length = 0;
        uv_write(g_new0(uv_write_t, 1), stream, &out, 1, on_written);
    }
}

static void
on_connection(uv_stream_t *server, int status)
{
    uv_tcp_t *connection = g_new0(uv_tcp_t, 1);

    g_assert_cmpint(status, ==, 0);
    uv_tcp_init(uv_default_loop(), connection);
    g_assert_cmpint(uv_accept(server, (uv_stream_t *)connection), ==, 0);
    fix.connections++;
    uv_read_start((uv_stream_t *)connection, on_allocate, on_input);
}

static void
open_fixture(void)
{
    struct sockaddr_in name = Address_ToSocket((Address)INADDR_LOOPBACK << 16);
    int length = sizeof(name);
    HttpClient *client = fix.client;

    memset(&fix, 0, sizeof(fix));
    fix.client = client != NULL ? client : HttpClient_New(uv_default_loop());
    fix.server = g_new0(uv_tcp_t, 1);
    uv_tcp_init(uv_default_loop(), fix.server);
    g_assert_cmpint(uv_tcp_bind(fix.server, (const struct sockaddr *)&name, 0),
                    ==, 0);
    g_assert_cmpint(
        uv_listen((uv_stream_t *)fix.server, MAX_OPEN, on_connection), ==, 0);
    uv_tcp_getsockname(fix.server, (struct sockaddr *)&name, &length);
    fix.address = (Address)INADDR_LOOPBACK << 16 | g_ntohs(name.sin_port);
}

static void
close_fixture(void)
{
    uv_close((uv_handle_t *)fix.server, close_handle);
    uv_run(uv_default_loop(), UV_RUN_NOWAIT);
}

/* Nothing has arrived yet. */
static void
on_request_written(void *context)
{
    g_assert_true(context == &fix);
    g_assert_false(fix.written || fix.done);
    g_assert_cmpint(fix.received, ==, fix.received_before);
    fix.written = true;
}

/* Takes all free descriptors; returns the limit before. */
static rlim_t
take_descriptors(void)
{
    struct rlimit limit;
    int lowest_free = fcntl(STDOUT_FILENO, F_DUPFD, 0);
    rlim_t before;

    g_assert_cmpint(lowest_free, >=, 0);
    close(lowest_free);
    getrlimit(RLIMIT_NOFILE, &limit);
    before = limit.rlim_cur;
    limit.rlim_cur = (rlim_t)lowest_free;
    setrlimit(RLIMIT_NOFILE, &limit);
    return before;
}

static void
give_descriptors(rlim_t count)
{
    struct rlimit limit;

    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = count;
    setrlimit(RLIMIT_NOFILE, &limit);
}

static void
on_done(void *context, const HttpClient_Answer *answer)
{
    (void)context;
    fix.done = true;
    fix.outcome = answer->end;
    if (fix.takes_descriptors) {
        fix.limit = take_descriptors();
    }
}

static void
begin_request(int64_t send_by_ms, uint32_t timeout_ms)
{
    HttpClient_Request request = {.to = fix.address,
                                  .method = "POST",
                                  .path = "/",
                                  .timeout_ms = timeout_ms,
                                  .send_by_ms = send_by_ms,
                                  .written = on_request_written};

    fix.done = false;
    fix.written = false;
    fix.received_before = fix.received;
    HttpClient_Send(fix.client, &request, on_done, &fix);
    g_assert_false(fix.done);
}

/* Sends a request, stops the process for @p stall_ms, and runs the loop until
 * the outcome is reported. */
static HttpClient_Outcome
send_with_timeout(int64_t send_by_ms, uint32_t stall_ms, uint32_t timeout_ms)
{
    begin_request(send_by_ms, timeout_ms);
    g_usleep((gulong)stall_ms * 1000);
    while (!fix.done) {
        uv_run(uv_default_loop(), UV_RUN_ONCE);
    }
    g_assert_cmpint(fix.written, ==, fix.outcome == HTTP_CLIENT_ANSWERED);
    return fix.outcome;
}

static HttpClient_Outcome
send_request(int64_t send_by_ms, uint32_t stall_ms)
{
    return send_with_timeout(send_by_ms, stall_ms, TIMEOUT_MS);
}

/* Guards against a request that the server must not get after a time, written
 * by a process that was stopped while the connection was opened. */
static void
test_expires_while_connecting(void)
{
    open_fixture();
    g_assert_cmpint(send_request(Clock_NowMs() + SEND_BY_MS, STALL_MS), ==,
                    HTTP_CLIENT_EXPIRED);
    uv_run(uv_default_loop(), UV_RUN_NOWAIT);
    g_assert_cmpint(fix.received, ==, 0);
    close_fixture();
}

/* The same over an idle connection, which is ready within HttpClient_Send. */
static void
test_expires_on_an_idle_connection(void)
{
    int64_t send_by_ms;
    size_t received;

    open_fixture();
    HttpClient_KeepAlive(fix.client, fix.address, MAX_OPEN, false);
    g_assert_cmpint(send_request(0, 0), ==, HTTP_CLIENT_ANSWERED);
    received = fix.received;
    send_by_ms = Clock_NowMs() + SEND_BY_MS;
    g_usleep((gulong)STALL_MS * 1000);
    g_assert_cmpint(send_request(send_by_ms, 0), ==, HTTP_CLIENT_EXPIRED);
    uv_run(uv_default_loop(), UV_RUN_NOWAIT);
    g_assert_cmpint(fix.received, ==, received);
    g_assert_cmpint(HttpClient_PendingCount(fix.client), ==, 0);
    g_assert_cmpint(send_request(0, 0), ==, HTTP_CLIENT_ANSWERED);
    close_fixture();
}

/* Guards against an untrue outcome: nothing refused a connection, the process
 * was stopped for longer than the timeout while it opened one. */
static void
test_expires_beside_its_timeout(void)
{
    open_fixture();
    g_assert_cmpint(
        send_with_timeout(Clock_NowMs() + SEND_BY_MS, STALL_MS, STALL_MS / 2),
        ==, HTTP_CLIENT_EXPIRED);
    g_assert_cmpint(fix.received, ==, 0);
    close_fixture();
}

static void
test_sent_in_time(void)
{
    open_fixture();
    g_assert_cmpint(send_request(Clock_NowMs() + TIMEOUT_MS, STALL_MS), ==,
                    HTTP_CLIENT_ANSWERED);
    g_assert_cmpint(send_request(0, STALL_MS), ==, HTTP_CLIENT_ANSWERED);
    close_fixture();
}

/* Guards against a connection that stays open with its freed request: the
 * process crashed once the server closed it. */
static void
check_connection_is_not_kept(bool handler_takes_descriptors)
{
    open_fixture();
    HttpClient_KeepAlive(fix.client, fix.address, MAX_OPEN, false);
    g_assert_cmpint(send_request(0, 0), ==, HTTP_CLIENT_ANSWERED);
    begin_request(0, TIMEOUT_MS);
    fix.takes_descriptors = handler_takes_descriptors;
    if (!handler_takes_descriptors) {
        fix.limit = take_descriptors();
    }
    while (!fix.done) {
        uv_run(uv_default_loop(), UV_RUN_ONCE);
    }
    give_descriptors(fix.limit);
    fix.takes_descriptors = false;
    g_assert_cmpint(fix.outcome, ==, HTTP_CLIENT_ANSWERED);
    /* It was not kept, so the client has closed it. */
    uv_run(uv_default_loop(), UV_RUN_NOWAIT);
    uv_run(uv_default_loop(), UV_RUN_NOWAIT);
    g_assert_cmpint(fix.connections, ==, 0);
    g_assert_cmpint(send_request(0, 0), ==, HTTP_CLIENT_ANSWERED);
    close_fixture();
}

static void
test_no_descriptor_to_keep_a_connection(void)
{
    check_connection_is_not_kept(false);
}

/* The same where the handler of the outcome opens the last connection. */
static void
test_handler_takes_the_last_descriptor(void)
{
    check_connection_is_not_kept(true);
}

/* Guards against outcomes from within HttpClient_Send, whose callers have not
 * recorded the request yet. */
static void
test_no_descriptor_to_connect(void)
{
    rlim_t limit;

    open_fixture();
    limit = take_descriptors();
    begin_request(0, TIMEOUT_MS);
    while (!fix.done) {
        uv_run(uv_default_loop(), UV_RUN_ONCE);
    }
    g_assert_cmpint(fix.outcome, ==, HTTP_CLIENT_UNSENT);
    HttpClient_KeepAlive(fix.client, fix.address, MAX_OPEN, false);
    begin_request(0, TIMEOUT_MS);
    while (!fix.done) {
        uv_run(uv_default_loop(), UV_RUN_ONCE);
    }
    g_assert_cmpint(fix.outcome, ==, HTTP_CLIENT_UNSENT);
    give_descriptors(limit);
    g_assert_cmpint(send_request(0, 0), ==, HTTP_CLIENT_ANSWERED);
    close_fixture();
}

/* Guards against a start that was never written counting as a refused
 * connection, or as one that may be executed. */
static void
test_outcomes_as_order_results(void)
{
    static const struct {
        HttpClient_Outcome outcome;
        Runner_OrderResult result;
    } rows[] = {
        {HTTP_CLIENT_UNSENT, RUNNER_ORDER_UNSENT},
        {HTTP_CLIENT_EXPIRED, RUNNER_ORDER_ABANDONED},
        {HTTP_CLIENT_DISCONNECTED, RUNNER_ORDER_UNANSWERED},
        {HTTP_CLIENT_TIMEOUT, RUNNER_ORDER_UNANSWERED},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(rows); i++) {
        HttpClient_Answer answer = {.end = rows[i].outcome};
        int64_t clock_ms;
        g_assert_cmpint(UpstreamApi_OrderResult(&answer, &clock_ms), ==,
                        rows[i].result);
    }
}

/* An answer that the upstream's interface does not name, such as that of a
 * proxy or of a handler that failed half-way, does not tell whether the order
 * was executed. */
static void
test_statuses_as_order_results(void)
{
    static const struct {
        int status;
        const char *body;
        Runner_OrderResult result;
    } rows[] = {
        {200, "{\"clock_ms\":1}", RUNNER_ORDER_ACCEPTED},
        {400, "{}", RUNNER_ORDER_REFUSED},
        {409, "{\"reason\":\"fence\"}", RUNNER_ORDER_FENCED},
        {409, "{\"reason\":\"old\"}", RUNNER_ORDER_SUPERSEDED},
        {409, "{\"reason\":\"late\"}", RUNNER_ORDER_EXPIRED},
        {409, "{\"reason\":\"room\"}", RUNNER_ORDER_NO_ROOM},
        {409, "{\"reason\":\"ticket\"}", RUNNER_ORDER_REFUSED},
        {409, "{\"reason\":7}", RUNNER_ORDER_UNANSWERED},
        {409, "{}", RUNNER_ORDER_UNANSWERED},
        {409, "not JSON", RUNNER_ORDER_UNANSWERED},
        {421, "{}", RUNNER_ORDER_OTHER_INCARNATION},
        {429, "{}", RUNNER_ORDER_UNHEALTHY},
        {503, "", RUNNER_ORDER_UNHEALTHY},
        {100, "", RUNNER_ORDER_UNANSWERED},
        {202, "{}", RUNNER_ORDER_UNANSWERED},
        {204, "", RUNNER_ORDER_UNANSWERED},
        {302, "", RUNNER_ORDER_UNANSWERED},
        {401, "{}", RUNNER_ORDER_UNANSWERED},
        {404, "{}", RUNNER_ORDER_UNANSWERED},
        {408, "", RUNNER_ORDER_UNANSWERED},
        {500, "{\"clock_ms\":1}", RUNNER_ORDER_UNANSWERED},
        {502, "", RUNNER_ORDER_UNANSWERED},
        {504, "", RUNNER_ORDER_UNANSWERED},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(rows); i++) {
        HttpClient_Answer answer = {.end = HTTP_CLIENT_ANSWERED,
                                    .status = rows[i].status,
                                    .body = rows[i].body,
                                    .length = strlen(rows[i].body)};
        int64_t clock_ms;
        g_test_message("%d %s", rows[i].status, rows[i].body);
        g_assert_cmpint(UpstreamApi_OrderResult(&answer, &clock_ms), ==,
                        rows[i].result);
        g_assert_cmpint(clock_ms == 0, ==,
                        rows[i].result != RUNNER_ORDER_ACCEPTED);
    }
}

static const TestTable_Row rules[] = {
    {"/http_client/not sent after its time, over a new connection",
     test_expires_while_connecting},
    {"/http_client/not sent after its time, over an idle connection",
     test_expires_on_an_idle_connection},
    {"/http_client/not sent after its time, which passed before the timeout",
     test_expires_beside_its_timeout},
    {"/http_client/no descriptor to keep a connection",
     test_no_descriptor_to_keep_a_connection},
    {"/http_client/the handler takes the last descriptor",
     test_handler_takes_the_last_descriptor},
    {"/http_client/no descriptor to connect", test_no_descriptor_to_connect},
    {"/http_client/outcomes as results of an order",
     test_outcomes_as_order_results},
    {"/http_client/statuses as results of an order",
     test_statuses_as_order_results},
    {"/http_client/sent within its time, or without one", test_sent_in_time},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

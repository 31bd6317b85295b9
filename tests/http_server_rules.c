/*
 * Rules of the HTTP server on clients that disconnect before their response,
 * and on its limits, over loopback sockets.
 */
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "daemon/http_server.h"
#include "tests/test_clock.h"
#include "tests/test_table.h"

#define REQUEST "POST /job HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
/* Passes of the loop within which what a client has sent is certainly read. */
#define PASSES 20
/* Requests of more than 64 KiB together. */
#define MANY_REQUESTS 2500
#define CHUNK_BYTES 65536

/* A server whose handler answers nothing; shared by all tests, as its memory
 * stays allocated. */
typedef struct {
    uv_loop_t *loop;
    Http_Server *server;
    Address address;
    int requests;
    int disconnects;
} server_fixture;

static server_fixture fix;

static void
on_request(void *context, const HttpServer_Request *request)
{
    (void)context;
    (void)request;
    fix.requests++;
}

static void
on_disconnect(void *context, uint64_t id)
{
    (void)context;
    (void)id;
    fix.disconnects++;
}

static const HttpServer_Route routes[] = {{"/", on_request}, {NULL, NULL}};

static void
open_fixture(void)
{
    Status status = {ERR_OK, ""};
    char text[ADDRESS_TEXT_SIZE];
    int port;

    fix.loop = uv_default_loop();
    for (port = 26900; fix.server == NULL && port < 27000; port++) {
        g_snprintf(text, sizeof(text), "127.0.0.1:%d", port);
        g_assert_true(Address_Parse(text, &fix.address));
        fix.server = HttpServer_New(fix.loop, fix.address, routes, NULL,
                                    &status);
    }
    g_assert_nonnull(fix.server);
    HttpServer_SetDisconnectHandler(fix.server, on_disconnect);
}

static void
run_passes(void)
{
    int i;

    for (i = 0; i < PASSES; i++) {
        uv_run(fix.loop, UV_RUN_NOWAIT);
        g_usleep(1000);
    }
}

static void
send_request(int client)
{
    g_assert_cmpint(write(client, REQUEST, sizeof(REQUEST) - 1), ==,
                    sizeof(REQUEST) - 1);
}

/* Returns the socket of a client whose request has been read. */
static int
open_client(void)
{
    struct sockaddr_in server = Address_ToSocket(fix.address);
    int client = socket(AF_INET, SOCK_STREAM, 0);

    fix.requests = 0;
    fix.disconnects = 0;
    g_assert_cmpint(
        connect(client, (struct sockaddr *)&server, sizeof(server)), ==, 0);
    send_request(client);
    run_passes();
    g_assert_cmpint(fix.requests, ==, 1);
    return client;
}

static void
test_disconnect_is_found_before_it_is_read(void)
{
    int client = open_client();

    HttpServer_CheckClients(fix.server);
    g_assert_cmpint(fix.disconnects, ==, 0);
    close(client);
    HttpServer_CheckClients(fix.server);
    g_assert_cmpint(fix.disconnects, ==, 1);
    run_passes();
    g_assert_cmpint(fix.disconnects, ==, 1);
}

static void
test_reset_is_found_before_it_is_read(void)
{
    struct linger reset = {.l_onoff = 1, .l_linger = 0};
    int client = open_client();

    setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(client);
    HttpServer_CheckClients(fix.server);
    g_assert_cmpint(fix.disconnects, ==, 1);
}

/* A client that sends its next request before the response has not said that
 * it stays. */
static void
test_disconnect_after_next_request(void)
{
    int client = open_client();

    send_request(client);
    run_passes();
    g_assert_cmpint(fix.requests, ==, 1);
    g_assert_cmpint(fix.disconnects, ==, 0);
    close(client);
    run_passes();
    g_assert_cmpint(fix.disconnects, ==, 1);
}

/* The next request of a client that has left is not served. */
static void
test_later_request_is_not_read(void)
{
    int client = open_client();

    send_request(client);
    run_passes();
    close(client);
    HttpServer_CheckClients(fix.server);
    g_assert_cmpint(fix.disconnects, ==, 1);
    run_passes();
    g_assert_cmpint(fix.requests, ==, 1);
    g_assert_cmpint(fix.disconnects, ==, 1);
}

static void
test_disconnect_behind_many_requests(void)
{
    int client = open_client();
    int i;

    for (i = 0; i < MANY_REQUESTS; i++) {
        send_request(client);
    }
    run_passes();
    g_assert_cmpint(fix.disconnects, ==, 0);
    close(client);
    HttpServer_CheckClients(fix.server);
    run_passes();
    g_assert_cmpint(fix.disconnects, ==, 1);
    g_assert_cmpint(fix.requests, ==, 1);
}

/* Sends later requests until the server has ended the open one or has read
 * more than one request may have. */
static void
send_too_much(int client)
{
    static char bytes[CHUNK_BYTES];
    size_t sent = 0;

    memset(bytes, 'x', sizeof(bytes));
    while (fix.disconnects == 0 && sent <= 2 * (size_t)HTTP_MAX_BODY_BYTES) {
        ssize_t count = send(client, bytes, sizeof(bytes), MSG_DONTWAIT);
        sent += count > 0 ? (size_t)count : 0;
        uv_run(fix.loop, UV_RUN_NOWAIT);
        if (count < 0) {
            g_usleep(100);
            g_assert_cmpint(errno, ==, EAGAIN);
        }
    }
}

/* Its disconnect could not be noticed behind bytes that are not read. */
static void
test_client_that_sends_too_much(void)
{
    int client = open_client();
    char status[sizeof("HTTP/1.1 502") - 1];

    send_too_much(client);
    g_assert_cmpint(fix.disconnects, ==, 1);
    run_passes();
    g_assert_cmpint(recv(client, status, sizeof(status), MSG_DONTWAIT), ==,
                    sizeof(status));
    g_assert_cmpmem(status, sizeof(status), "HTTP/1.1 502", sizeof(status));
    g_assert_cmpint(fix.requests, ==, 1);
    close(client);
    run_passes();
}

/* ---- limits ---- */

#define MAX_BODY ((size_t)1000)
/* Far above the bytes of a test that is not about them. */
#define MANY_BYTES 10000000
#define MANY_CONNECTIONS 1000
#define MAX_HELD 8
#define STEP_MS 100
#define MS_PER_S ((int64_t)1000)
/* More than the machine takes in for a client that reads nothing. */
#define LONG_ANSWER_BYTES 20000000
/* Of a head of which a part is missing. */
#define UNFINISHED_BYTES 30000
/* Only ends a test that fails. */
#define MAX_PASSES 50000
#define HEAD "POST /length HTTP/1.1\r\nHost: x\r\n"
#define LONG "GET /long HTTP/1.1\r\nHost: x\r\n\r\n"
#define HOLD "POST /hold HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"

/* A server with limits; one for each test. */
typedef struct {
    Http_Server *server;
    ClientLimits *limits;
    Address address;
    uint64_t held[MAX_HELD]; /* requests that have no answer yet */
    int held_count;
} limited_server;

static limited_server limited;
static void
answer_length(void *context, const HttpServer_Request *request)
{
    char text[32];

    (void)context;
    g_snprintf(text, sizeof(text), "length %zu", request->length);
    HttpServer_RespondJson(limited.server, request->id, 200, 0, text);
}

static void
hold_request(void *context, const HttpServer_Request *request)
{
    (void)context;
    g_assert_cmpint(limited.held_count, <, MAX_HELD);
    limited.held[limited.held_count++] = request->id;
}

static void
answer_long(void *context, const HttpServer_Request *request)
{
    static char body[LONG_ANSWER_BYTES];
    HttpServer_Response response = {
        .status = 200, .body = body, .length = sizeof(body)};

    (void)context;
    HttpServer_Respond(limited.server, request->id, &response);
}

static const HttpServer_Route limited_routes[] = {{"/length", answer_length},
                                                  {"/hold", hold_request},
                                                  {"/long", answer_long},
                                                  {NULL, NULL}};

static void
open_limited(size_t max_bytes, uint32_t max_connections)
{
    HttpServer_Limits limits = {.max_body_bytes = MAX_BODY};
    Status status = {ERR_OK, ""};
    char text[ADDRESS_TEXT_SIZE];
    int port;

    TestClock_Stop();
    memset(&limited, 0, sizeof(limited));
    limited.limits = ClientLimits_New(max_bytes, max_connections);
    limits.clients = limited.limits;
    for (port = 27000; limited.server == NULL && port < 27100; port++) {
        g_snprintf(text, sizeof(text), "127.0.0.1:%d", port);
        g_assert_true(Address_Parse(text, &limited.address));
        limited.server = HttpServer_NewLimited(
            fix.loop, limited.address, &limits, limited_routes, NULL, &status);
    }
    g_assert_nonnull(limited.server);
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
closed_for_bytes(void)
{
    return metric("levercove_clients_closed{limit=\"bytes\"}");
}

static uint64_t
closed_for_connections(void)
{
    return metric("levercove_clients_closed{limit=\"connections\"}");
}

/* One pass of the loop; fails the test if there are too many. */
static void
run_pass(int *passes)
{
    g_assert_cmpint((*passes)++, <, MAX_PASSES);
    uv_run(fix.loop, UV_RUN_NOWAIT);
    g_usleep(100);
}

/* Lets time pass, with all checks of the server. */
static void
pass_ms(int64_t ms)
{
    int64_t passed_ms;

    for (passed_ms = 0; passed_ms < ms; passed_ms += STEP_MS) {
        TestClock_Advance(STEP_MS);
        uv_run(fix.loop, UV_RUN_NOWAIT);
    }
    run_passes();
}

static void
wait_for_metric(const char *name, uint64_t value)
{
    int passes = 0;

    while (metric(name) != value) {
        run_pass(&passes);
    }
}

static void
wait_for_bytes(uint64_t at_least)
{
    int passes = 0;

    while (metric("levercove_client_bytes") < at_least) {
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

static int
connect_limited(void)
{
    struct sockaddr_in server = Address_ToSocket(limited.address);
    int client = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_cmpint(
        connect(client, (struct sockaddr *)&server, sizeof(server)), ==, 0);
    return client;
}

/* Sends all bytes while the server reads. */
static void
send_bytes(int client, const char *bytes, size_t length)
{
    int passes = 0;
    size_t sent = 0;

    while (sent < length) {
        ssize_t count = send(client, bytes + sent, length - sent,
                             MSG_DONTWAIT);
        g_assert_true(count > 0 || errno == EAGAIN);
        sent += count > 0 ? (size_t)count : 0;
        run_pass(&passes);
    }
}

static void
send_text(int client, const char *text)
{
    send_bytes(client, text, strlen(text));
}

static void
send_body(int client, size_t length)
{
    char *request = g_strdup_printf("%sContent-Length: %zu\r\n\r\n%*s", HEAD,
                                    length, (int)length, "");

    send_text(client, request);
    g_free(request);
}

/* Sends the first part of a head, of a given length. */
static void
send_unfinished(int client, size_t length)
{
    char *request = g_strnfill(length, 'x');

    /* NOLINTNEXTLINE(bugprone-not-null-terminated-result): it goes on. */
    memcpy(request, HEAD "X: ", strlen(HEAD "X: "));
    send_bytes(client, request, length);
    g_free(request);
}

/* Whether all bytes of an answer are there. */
static bool
is_whole(const char *answer)
{
    const char *body = strstr(answer, "\r\n\r\n");
    char *lower = g_ascii_strdown(answer, -1);
    const char *length = strstr(lower, "content-length: ");
    bool whole = body != NULL && length != NULL &&
                 strlen(body + 4) >= (size_t)atol(length + 16);

    g_free(lower);
    return whole;
}

/* Reads one answer; it is left unfinished if the connection ends. */
static char *
read_answer(int client)
{
    GString *answer = g_string_new(NULL);
    int passes = 0;
    ssize_t count;
    char byte;

    while (!is_whole(answer->str)) {
        count = recv(client, &byte, 1, MSG_DONTWAIT);
        if (count == 1) {
            g_string_append_c(answer, byte);
        }
        else if (count < 0 && errno == EAGAIN) {
            run_pass(&passes);
        }
        else {
            break;
        }
    }
    return g_string_free(answer, FALSE);
}

static void
check_answer(int client, const char *start, const char *part)
{
    char *answer = read_answer(client);

    if (!g_str_has_prefix(answer, start) || strstr(answer, part) == NULL) {
        g_error("no \"%s\" with \"%s\" but: %s", start, part, answer);
    }
    g_free(answer);
}

static void
check_ordinary(int client)
{
    send_body(client, 10);
    check_answer(client, "HTTP/1.1 200 ", "length 10");
}

/* Whether the server has closed the connection, or the client has been told
 * that it may not send any more. */
static bool
is_closed(int client)
{
    struct pollfd row = {.fd = client, .events = POLLRDHUP};

    return poll(&row, 1, 0) > 0;
}

static bool
is_reset(int client)
{
    struct pollfd row = {.fd = client};

    return poll(&row, 1, 0) > 0 && (row.revents & POLLERR) != 0;
}

static void
wait_until_closed(int client)
{
    int passes = 0;

    while (!is_closed(client)) {
        run_pass(&passes);
    }
}

/* ---- long bodies ---- */

static char *
announced_body(size_t length)
{
    return g_strdup_printf("%sContent-Length: 1000000\r\n\r\n%*s", HEAD,
                           (int)length, "");
}

/* Its first chunk is whole and longer than the limit. */
static char *
chunked_body(size_t length)
{
    return g_strdup_printf("%sTransfer-Encoding: chunked\r\n\r\n%zx\r\n%*s",
                           HEAD, length, (int)length, "");
}

static void
wait_for_answer(int client)
{
    struct pollfd row = {.fd = client, .events = POLLIN};
    int passes = 0;

    while (poll(&row, 1, 0) == 0) {
        run_pass(&passes);
    }
}

/* Sends `first` at once, and more when the answer has arrived. */
static void
check_refused_while_sending(char *first)
{
    char *more = g_strnfill(CHUNK_BYTES, 'x');
    int client;
    int i;

    open_limited(MANY_BYTES, MANY_CONNECTIONS);
    client = connect_limited();
    g_assert_cmpint(send(client, first, strlen(first), MSG_DONTWAIT), ==,
                    strlen(first));
    wait_for_answer(client);
    for (i = 0; i < 3; i++) {
        send_bytes(client, more, CHUNK_BYTES);
        g_assert_false(is_reset(client));
    }
    check_answer(client, "HTTP/1.1 413 ", "");
    close(client);
    wait_for_metric("levercove_client_connections", 0);
    g_free(first);
    g_free(more);
}

static void
test_answer_to_announced_body_can_be_read(void)
{
    check_refused_while_sending(announced_body(0));
}

static void
test_answer_to_unread_body_can_be_read(void)
{
    check_refused_while_sending(announced_body(200000));
}

static void
test_answer_to_chunked_body_can_be_read(void)
{
    check_refused_while_sending(chunked_body(3 * MAX_BODY));
}

static void
test_answer_to_unread_chunks_can_be_read(void)
{
    check_refused_while_sending(chunked_body(200000));
}

typedef struct {
    size_t length;
    const char *start;
    const char *part;
} body_case;

static const body_case body_cases[] = {
    {0, "HTTP/1.1 200 ", "length 0"},
    {MAX_BODY, "HTTP/1.1 200 ", "length 1000"},
    {MAX_BODY + 1, "HTTP/1.1 413 ", "\"the body is longer than 1000 bytes\""},
    {2 * MAX_BODY, "HTTP/1.1 413 ", "\"the body is longer than 1000 bytes\""},
    {2 * MAX_BODY + 1, "HTTP/1.1 413 ", ""},
};

static void
test_bodies_about_the_limit(void)
{
    guint i;

    open_limited(MANY_BYTES, MANY_CONNECTIONS);
    for (i = 0; i < G_N_ELEMENTS(body_cases); i++) {
        const body_case *row = &body_cases[i];
        int client = connect_limited();
        send_body(client, row->length);
        check_answer(client, row->start, row->part);
        close(client);
    }
    wait_for_metric("levercove_client_connections", 0);
}

/* ---- bytes ---- */

static void
test_largest_unfinished_request_is_closed(void)
{
    int large;
    int small[10];
    int ordinary;
    guint i;

    open_limited(150000, MANY_CONNECTIONS);
    large = connect_limited();
    send_unfinished(large, 60000);
    wait_for_bytes(60000);
    g_assert_cmpuint(closed_for_bytes(), ==, 0);
    for (i = 0; i < G_N_ELEMENTS(small) && closed_for_bytes() == 0; i++) {
        small[i] = connect_limited();
        send_unfinished(small[i], 20000);
    }
    wait_until_closed(large);
    ordinary = connect_limited();
    check_ordinary(ordinary);
    g_assert_cmpuint(closed_for_bytes(), ==, 1);
    while (i-- > 0) {
        g_assert_false(is_closed(small[i]));
        close(small[i]);
    }
    close(large);
    close(ordinary);
    wait_for_metric("levercove_client_connections", 0);
    g_assert_cmpuint(metric("levercove_client_bytes"), ==, 0);
}

static void
test_requests_of_a_kept_connection_count_alike(void)
{
    int client;
    int i;

    open_limited(MANY_BYTES, MANY_CONNECTIONS);
    client = connect_limited();
    for (i = 0; i < 3; i++) {
        check_ordinary(client);
        run_passes();
        g_assert_cmpuint(metric("levercove_client_bytes"), <,
                         UNFINISHED_BYTES);
    }
    send_unfinished(client, UNFINISHED_BYTES);
    wait_for_bytes(UNFINISHED_BYTES);
    close(client);
    wait_for_metric("levercove_client_connections", 0);
    g_assert_cmpuint(metric("levercove_client_bytes"), ==, 0);
}

static void
test_first_request_counts(void)
{
    int client;

    open_limited(MANY_BYTES, MANY_CONNECTIONS);
    client = connect_limited();
    send_unfinished(client, UNFINISHED_BYTES);
    wait_for_bytes(UNFINISHED_BYTES);
    close(client);
    wait_for_metric("levercove_client_connections", 0);
    g_assert_cmpuint(metric("levercove_client_bytes"), ==, 0);
}

static void
test_second_request_of_a_kept_connection_is_closed(void)
{
    int client;
    char *bytes = g_strnfill(60000, 'x');

    open_limited(20000, MANY_CONNECTIONS);
    client = connect_limited();
    check_ordinary(client);
    run_passes();
    send_text(client, HEAD "X: ");
    g_assert_cmpint(send(client, bytes, 60000, MSG_DONTWAIT), >, 0);
    wait_until_closed(client);
    g_assert_cmpuint(closed_for_bytes(), ==, 1);
    close(client);
    wait_for_metric("levercove_client_connections", 0);
    g_free(bytes);
}

/* Opens a connection whose client does not read a long answer. */
static int
open_unread(void)
{
    int client = connect_limited();

    send_text(client, LONG);
    wait_for_bytes(LONG_ANSWER_BYTES);
    return client;
}

static void
test_unread_answer_counts_and_is_closed(void)
{
    int unread;
    int ordinary;

    open_limited(LONG_ANSWER_BYTES + UNFINISHED_BYTES, MANY_CONNECTIONS);
    unread = open_unread();
    ordinary = connect_limited();
    check_ordinary(ordinary);
    g_assert_cmpuint(closed_for_bytes(), ==, 0);
    send_unfinished(ordinary, UNFINISHED_BYTES);
    wait_for_metric("levercove_client_connections", 1);
    g_assert_cmpuint(closed_for_bytes(), ==, 1);
    g_assert_false(is_closed(ordinary));
    close(unread);
    close(ordinary);
    wait_for_metric("levercove_client_connections", 0);
    g_assert_cmpuint(metric("levercove_client_bytes"), ==, 0);
}

static void
test_answer_that_was_read_does_not_count(void)
{
    static char bytes[CHUNK_BYTES];
    size_t length = 0;
    int passes = 0;
    int client;

    open_limited((size_t)2 * LONG_ANSWER_BYTES, MANY_CONNECTIONS);
    client = open_unread();
    while (length < LONG_ANSWER_BYTES) {
        ssize_t count = recv(client, bytes, sizeof(bytes), MSG_DONTWAIT);
        g_assert_true(count > 0 || (count < 0 && errno == EAGAIN));
        length += count > 0 ? (size_t)count : 0;
        run_pass(&passes);
    }
    run_passes();
    g_assert_cmpuint(metric("levercove_client_bytes"), <, UNFINISHED_BYTES);
    close(client);
    wait_for_metric("levercove_client_connections", 0);
}

/* ---- times ---- */

/* Opens a connection whose body has come byte by byte for nine seconds. */
static int
open_slow(void)
{
    int client;
    int i;

    open_limited(MANY_BYTES, MANY_CONNECTIONS);
    client = connect_limited();
    send_text(client, HEAD "Content-Length: 100\r\n\r\n");
    for (i = 0; i < 9; i++) {
        pass_ms(MS_PER_S);
        send_text(client, "x");
    }
    return client;
}

static void
test_request_that_comes_byte_by_byte_is_closed(void)
{
    int client = open_slow();

    g_assert_false(is_closed(client));
    pass_ms(2 * MS_PER_S);
    wait_until_closed(client);
    close(client);
    wait_for_metric("levercove_client_connections", 0);
}

/* h2o has a time limit of its own, which tells nothing. */
static void
test_request_that_comes_byte_by_byte_is_counted(void)
{
    int client = open_slow();

    pass_ms(2 * MS_PER_S);
    wait_until_closed(client);
    g_assert_cmpuint(
        metric("levercove_clients_closed{limit=\"request_time\"}"), ==, 1);
    close(client);
    wait_for_metric("levercove_client_connections", 0);
}

static void
test_answer_that_is_not_read_is_closed_in_time(void)
{
    int client;

    open_limited((size_t)2 * LONG_ANSWER_BYTES, MANY_CONNECTIONS);
    client = open_unread();
    pass_ms(29 * MS_PER_S);
    g_assert_cmpuint(metric("levercove_client_connections"), ==, 1);
    pass_ms(2 * MS_PER_S);
    wait_for_metric("levercove_client_connections", 0);
    g_assert_cmpuint(metric("levercove_clients_closed{limit=\"answer_time\"}"),
                     ==, 1);
    close(client);
}

static void
test_request_that_is_served_has_time(void)
{
    int client;

    open_limited(MANY_BYTES, MANY_CONNECTIONS);
    client = connect_limited();
    send_text(client, HOLD);
    wait_for_held(1);
    pass_ms(60 * MS_PER_S);
    g_assert_false(is_closed(client));
    HttpServer_RespondJson(limited.server, limited.held[0], 200, 0, "held");
    check_answer(client, "HTTP/1.1 200 ", "held");
    close(client);
    wait_for_metric("levercove_client_connections", 0);
}

/* ---- connections ---- */

static void
test_ordinary_request_beside_unfinished_ones(void)
{
    int others[20];
    int ordinary;
    guint i;

    open_limited(MANY_BYTES, 5);
    for (i = 0; i < G_N_ELEMENTS(others); i++) {
        others[i] = connect_limited();
        send_text(others[i], "P");
    }
    ordinary = connect_limited();
    check_ordinary(ordinary);
    g_assert_cmpuint(metric("levercove_client_connections"), <=, 5);
    g_assert_cmpuint(closed_for_connections(), >, 0);
    for (i = 0; i < G_N_ELEMENTS(others); i++) {
        close(others[i]);
    }
    close(ordinary);
    wait_for_metric("levercove_client_connections", 0);
}

/* Opens connections whose requests have no answer yet. */
static void
open_held(int *clients, int count)
{
    int i;

    for (i = 0; i < count; i++) {
        clients[i] = connect_limited();
        send_text(clients[i], HOLD);
    }
    wait_for_held(count);
}

static void
test_served_ones_stay_at_the_connection_limit(void)
{
    int held[4];
    int later;
    int i;

    open_limited(MANY_BYTES, 4);
    open_held(held, 4);
    later = connect_limited();
    send_text(later, HOLD);
    run_passes();
    g_assert_cmpint(limited.held_count, ==, 4);
    for (i = 0; i < 4; i++) {
        g_assert_false(is_closed(held[i]));
    }
    close(held[0]);
    HttpServer_RespondJson(limited.server, limited.held[0], 200, 0, "held");
    wait_for_held(5);
    for (i = 1; i < 4; i++) {
        close(held[i]);
    }
    close(later);
}

static void
test_answer_is_read_though_a_connection_waits(void)
{
    int held[2];
    int later;

    open_limited(MANY_BYTES, 2);
    open_held(held, 2);
    later = connect_limited();
    send_text(later, HOLD);
    run_passes();
    HttpServer_RespondJson(limited.server, limited.held[0], 200, 0, "held");
    check_answer(held[0], "HTTP/1.1 200 ", "held");
    wait_for_held(3);
    g_assert_false(is_closed(held[1]));
    close(held[0]);
    close(held[1]);
    close(later);
}

int
main(int argc, char **argv)
{
    static const TestTable_Row tests[] = {
        {"/http server/a disconnect is found before it is read",
         test_disconnect_is_found_before_it_is_read},
        {"/http server/a reset is found before it is read",
         test_reset_is_found_before_it_is_read},
        {"/http server/a disconnect after the next request is noticed",
         test_disconnect_after_next_request},
        {"/http server/the next request of a client that has left is not read",
         test_later_request_is_not_read},
        {"/http server/a disconnect behind many requests is noticed",
         test_disconnect_behind_many_requests},
        {"/http server/a client that sends too much before its response",
         test_client_that_sends_too_much},
        {"/http server/the answer to a long body that is announced is read",
         test_answer_to_announced_body_can_be_read},
        {"/http server/the answer to a long body that is unread is read",
         test_answer_to_unread_body_can_be_read},
        {"/http server/the answer to a long chunked body is read",
         test_answer_to_chunked_body_can_be_read},
        {"/http server/the answer to long chunks that are unread is read",
         test_answer_to_unread_chunks_can_be_read},
        {"/http server/bodies about the limit", test_bodies_about_the_limit},
        {"/http server/the largest unfinished request is closed",
         test_largest_unfinished_request_is_closed},
        {"/http server/a first request counts while it is unfinished",
         test_first_request_counts},
        {"/http server/requests of a kept connection count alike",
         test_requests_of_a_kept_connection_count_alike},
        {"/http server/the second request of a connection is closed",
         test_second_request_of_a_kept_connection_is_closed},
        {"/http server/an answer that is not read counts, and is closed",
         test_unread_answer_counts_and_is_closed},
        {"/http server/an answer that was read does not count",
         test_answer_that_was_read_does_not_count},
        {"/http server/an answer that is not read is closed in time",
         test_answer_that_is_not_read_is_closed_in_time},
        {"/http server/a request that comes byte by byte is closed",
         test_request_that_comes_byte_by_byte_is_closed},
        {"/http server/a request that comes byte by byte is counted",
         test_request_that_comes_byte_by_byte_is_counted},
        {"/http server/a request that is served has time",
         test_request_that_is_served_has_time},
        {"/http server/an ordinary request beside unfinished ones",
         test_ordinary_request_beside_unfinished_ones},
        {"/http server/served ones stay at the connection limit",
         test_served_ones_stay_at_the_connection_limit},
        {"/http server/an answer is read though a connection waits",
         test_answer_is_read_though_a_connection_waits},
    };

    signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    open_fixture();
    return TestTable_Main(argc, argv, tests, G_N_ELEMENTS(tests));
}

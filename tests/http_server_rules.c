/*
 * Rules of the HTTP server on clients that disconnect before their response,
 * over loopback sockets.
 */
#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "daemon/http_server.h"
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
    };

    signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    open_fixture();
    return TestTable_Main(argc, argv, tests, G_N_ELEMENTS(tests));
}

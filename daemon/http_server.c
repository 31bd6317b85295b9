#include "daemon/http_server.h"

#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Must be defined before h2o's headers are included. */
#define H2O_USE_LIBUV 1
#include <h2o.h>

#include "base/event.h"
#include "base/handle_table.h"

#define LISTEN_BACKLOG 1024
#define MS_PER_S 1000
/* Longest head of a request that h2o reads. */
#define MAX_HEAD_BYTES 65536
/* Most bytes that are read from a connection at once. */
#define READ_BYTES 65536
/* Time for a request to arrive whole, from its first byte or, for the first
 * one, from the connection. */
#define REQUEST_MS 10000
/* Time for a client to read an answer. */
#define ANSWER_MS 30000
#define SWEEP_MS 500
/* A sweep that comes this much late means that this process was stalled: what
 * clients have sent meanwhile is still unread. */
#define SWEEP_STALL_MS 200
/* A connection that is closed with unread bytes is reset, and its client may
 * lose the answer that refused them. So such bytes are read for this long. */
#define LINGER_MS 1000
#define MAX_LINGERING 8
/* Ends a request whose client has disconnected; never reaches the client. */
#define STATUS_CLIENT_CLOSED 499
#define STATUS_BAD_GATEWAY 502
/* Estimated size of a response's status line and headers. */
#define RESPONSE_HEAD_BYTES 160

typedef struct {
    h2o_handler_t super;
    Http_Server *server;
} route_handler;

/* A connection of a client; freed when its handle is closed. */
typedef struct {
    uv_tcp_t tcp; /* first: h2o knows the connection by it */
    Http_Server *server;
    h2o_socket_t *socket;
    ClientLimits_Client client;
    size_t answer_bytes; /* sent, and not known to be read */
    uint32_t requests;   /* that are handled or answered */
    int duplicate;       /* of its descriptor, see keep_duplicate; or -1 */
    bool ended;          /* by the client */
    bool changed;        /* in `changed` of the server */
} connection;

/* A connection that is closed once its client has sent the rest. */
typedef struct {
    uv_tcp_t tcp;
    uv_timer_t timer;
    Http_Server *server;
} lingering;

/* A request whose answer is not sent yet; allocated from its pool. */
typedef struct {
    Http_Server *server;
    connection *conn;
    h2o_req_t *request;
    Handle id;
    h2o_socket_t *watched; /* for a disconnect, or NULL */
} open_request;

struct Http_Server {
    uv_loop_t *loop;
    uv_tcp_t listener;
    bool listening;
    ClientLimits *limits;
    ClientLimits_Listener room;
    size_t max_body_bytes;
    GHashTable *connections; /* set of connection */
    GPtrArray *changed;      /* connections whose request has ended */
    uv_prepare_t before_poll;
    uv_timer_t sweep; /* runs while there are connections */
    int64_t swept_ms;
    uv_alloc_cb h2o_allocate; /* what h2o reads connections by */
    uv_read_cb h2o_read;
    uint32_t lingering;
    bool closing; /* connections close after their next response */
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    const HttpServer_Route *routes;
    void *handler_context;
    Handle_Table *open;
    void (*on_disconnect)(void *context, uint64_t id);
    GHashTable *watched; /* h2o_socket_t -> open_request */
    uint64_t bytes_out;
};

/* ---- bytes held for a connection ---- */

static int64_t
now_ms(const Http_Server *server)
{
    return (int64_t)uv_now(server->loop);
}

/* Ends the connection in a way that h2o notices by itself: it reads the end of
 * the stream, or fails to write. */
static void
shut_connection(void *owner)
{
    connection *conn = owner;
    uv_os_fd_t file;

    conn->ended = true;
    if (uv_fileno((uv_handle_t *)&conn->tcp, &file) == 0) {
        shutdown(file, SHUT_RDWR);
    }
}

/* h2o's side of a connection that is being closed is gone. */
static bool
is_open(const connection *conn)
{
    return !uv_is_closing((const uv_handle_t *)&conn->tcp);
}

static size_t
input_capacity(const connection *conn)
{
    const h2o_buffer_t *input = conn->socket->input;

    return input->bytes == NULL ? 0 : input->capacity;
}

static void
count_bytes(connection *conn)
{
    ClientLimits_SetBytes(&conn->client,
                          input_capacity(conn) + conn->answer_bytes);
}

/* h2o has refused an unfinished request, and closes the connection as soon as
 * its answer is written: another descriptor keeps the connection open. */
static void
keep_duplicate(connection *conn)
{
    uv_os_fd_t file;

    if (conn->server->lingering >= MAX_LINGERING || conn->duplicate >= 0 ||
        uv_fileno((uv_handle_t *)&conn->tcp, &file) != 0) {
        return;
    }
    conn->duplicate = fcntl(file, F_DUPFD_CLOEXEC, 0);
    conn->server->lingering += conn->duplicate >= 0;
}

static void
drop_duplicate(connection *conn)
{
    close(conn->duplicate);
    conn->duplicate = -1;
    conn->server->lingering--;
}

static void
on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    connection *conn = (connection *)handle;

    if (conn->duplicate >= 0) {
        drop_duplicate(conn); /* h2o goes on reading */
    }
    conn->server->h2o_allocate(handle, suggested, buffer);
    buffer->len = MIN(buffer->len, READ_BYTES);
    count_bytes(conn);
    if (conn->client.closing) {
        *buffer = uv_buf_init(NULL, 0); /* h2o closes the connection */
    }
}

static void
mark_changed(connection *conn)
{
    if (!conn->changed) {
        conn->changed = true;
        g_ptr_array_add(conn->server->changed, conn);
    }
}

/* Whether h2o has stopped reading without having passed a request on: it
 * refuses one, or tells the client to send the body. */
static bool
has_paused(const connection *conn)
{
    return is_open(conn) && !conn->ended && conn->requests == 0 &&
           conn->tcp.read_cb == NULL;
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
    connection *conn = (connection *)stream;

    if (count < 0) {
        conn->ended = true;
    }
    else if (count > 0 && conn->client.state == CLIENT_IDLE) {
        ClientLimits_SetState(&conn->client, CLIENT_UNFINISHED,
                              now_ms(conn->server));
    }
    conn->server->h2o_read(stream, count, buffer);
    if (has_paused(conn)) {
        keep_duplicate(conn);
        mark_changed(conn);
    }
}

/* h2o sets its own callbacks whenever it begins to read, and has no hook for
 * the bytes that it takes in. */
static void
watch_bytes(connection *conn)
{
    if (conn->tcp.alloc_cb == conn->server->h2o_allocate) {
        conn->tcp.alloc_cb = on_allocate;
        conn->tcp.read_cb = on_read;
    }
}

/* The last request of the connection has ended, and h2o reads the next one, or
 * goes on after a pause. */
static void
follow_change(connection *conn)
{
    conn->changed = false;
    if (has_paused(conn)) {
        mark_changed(conn); /* until it reads again or is closed */
        return;
    }
    if (!is_open(conn)) {
        return;
    }
    watch_bytes(conn);
    count_bytes(conn);
    if (conn->requests == 0) {
        ClientLimits_SetState(&conn->client,
                              conn->socket->input->size > 0 ? CLIENT_UNFINISHED
                                                            : CLIENT_IDLE,
                              now_ms(conn->server));
    }
}

static void
on_before_poll(uv_prepare_t *prepare)
{
    Http_Server *server = prepare->data;
    GPtrArray *changed = server->changed;
    guint i;

    if (changed->len == 0) {
        return;
    }
    server->changed = g_ptr_array_new();
    for (i = 0; i < changed->len; i++) {
        follow_change(g_ptr_array_index(changed, i));
    }
    g_ptr_array_unref(changed);
}

static void
check_time(connection *conn, int64_t now)
{
    int64_t waited_ms = now - conn->client.since_ms;

    if (conn->client.state == CLIENT_UNFINISHED && waited_ms > REQUEST_MS) {
        ClientLimits_Close(&conn->client, CLIENT_LIMIT_REQUEST_TIME);
    }
    else if (conn->client.state == CLIENT_UNREAD && waited_ms > ANSWER_MS) {
        ClientLimits_Close(&conn->client, CLIENT_LIMIT_ANSWER_TIME);
    }
}

static void
on_sweep(uv_timer_t *timer)
{
    Http_Server *server = timer->data;
    int64_t now = now_ms(server);
    int64_t late_ms = now - server->swept_ms - SWEEP_MS;
    GHashTableIter iter;
    gpointer item;

    server->swept_ms = now;
    g_hash_table_iter_init(&iter, server->connections);
    while (g_hash_table_iter_next(&iter, &item, NULL)) {
        connection *conn = item;
        if (late_ms >= SWEEP_STALL_MS) {
            ClientLimits_ExcuseStall(&conn->client, late_ms);
        }
        else if (is_open(conn)) {
            check_time(conn, now);
        }
    }
    ClientLimits_Tick(server->limits, now);
    if (g_hash_table_size(server->connections) == 0) {
        uv_timer_stop(timer);
    }
}

/* ---- requests ---- */

/* h2o calls this when it disposes of the request, answered or not. */
static void
on_request_disposed(void *item)
{
    open_request *open = item;

    Handle_Remove(open->server->open, open->id);
    if (open->watched != NULL) {
        g_hash_table_remove(open->server->watched, open->watched);
    }
    open->conn->answer_bytes = 0;
    open->conn->requests--;
    mark_changed(open->conn);
}

static void
stop_watching(open_request *open)
{
    if (open->watched != NULL) {
        g_hash_table_remove(open->server->watched, open->watched);
        h2o_socket_read_stop(open->watched);
        open->watched = NULL;
    }
}

static Http_Server *
server_of_socket(h2o_socket_t *socket)
{
    const h2o_conn_t *conn = socket->data; /* as HTTP/1 connections set it */

    return (Http_Server *)(void *)((char *)conn->ctx -
                                   offsetof(Http_Server, context));
}

/* Ends a request whose client has disconnected, or counts as disconnected; h2o
 * closes the connection without reading later requests. */
static void
end_abandoned(Http_Server *server, uint64_t id, int status)
{
    HttpServer_Response empty = {.status = status, .body = ""};
    open_request *open = Handle_Get(server->open, id);

    if (open != NULL) {
        open->request->http1_is_persistent = 0;
    }
    server->on_disconnect(server->handler_context, id);
    HttpServer_Respond(server, id, &empty);
}

/* Most bytes of one request, and so of later ones that are read before an
 * answer. */
static size_t
max_request_bytes(const Http_Server *server)
{
    return MAX_HEAD_BYTES + server->max_body_bytes;
}

/*
 * The connection of a request that is being served has become readable: the
 * client has disconnected, or has sent its next request, which h2o later
 * finds in its buffer. It may disconnect after that, so that reading goes on.
 * Once the buffer holds too much, a disconnect could not be noticed any more,
 * so that the request ends with unknown outcome.
 */
static void
on_watched_readable(h2o_socket_t *socket, const char *error)
{
    Http_Server *server = server_of_socket(socket);
    open_request *open = g_hash_table_lookup(server->watched, socket);
    uint64_t id;

    if (open == NULL ||
        (error == NULL && socket->input->size <= max_request_bytes(server))) {
        return;
    }
    id = open->id;
    stop_watching(open);
    end_abandoned(server, id,
                  error == NULL ? STATUS_BAD_GATEWAY : STATUS_CLIENT_CLOSED);
}

static void
watch_connection(Http_Server *server, uint64_t id)
{
    open_request *open = Handle_Get(server->open, id);
    h2o_conn_t *conn;

    if (server->on_disconnect == NULL || open == NULL) {
        return;
    }
    conn = open->request->conn;
    open->watched = conn->callbacks->get_socket(conn);
    g_hash_table_insert(server->watched, open->watched, open);
    h2o_socket_read_start(open->watched, on_watched_readable);
    watch_bytes(open->conn);
}

void
HttpServer_CheckClients(Http_Server *server)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *polls = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
    GHashTableIter iter;
    gpointer item;
    guint i;

    g_hash_table_iter_init(&iter, server->watched);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const open_request *open = item;
        struct pollfd row = {.fd = h2o_socket_get_fd(open->watched),
                             .events = POLLRDHUP};
        g_array_append_val(ids, open->id);
        g_array_append_val(polls, row);
    }
    if (poll((struct pollfd *)(void *)polls->data, polls->len, 0) > 0) {
        for (i = 0; i < polls->len; i++) {
            if (g_array_index(polls, struct pollfd, i).revents != 0) {
                end_abandoned(server, g_array_index(ids, uint64_t, i),
                              STATUS_CLIENT_CLOSED);
            }
        }
    }
    g_array_unref(polls);
    g_array_unref(ids);
}

static char *
pool_copy(h2o_req_t *request, const char *base, size_t length)
{
    return h2o_strdup(&request->pool, base, length).base;
}

static const char *
header_text(h2o_req_t *request, const char *name)
{
    ssize_t found = h2o_find_header_by_str(&request->headers, name,
                                           strlen(name), -1);
    const h2o_header_t *header;

    if (found < 0) {
        return NULL;
    }
    header = &request->headers.entries[found];
    return pool_copy(request, header->value.base, header->value.len);
}

static const HttpServer_Route *
find_route(const Http_Server *server, const char *path, const char **rest)
{
    const HttpServer_Route *route;

    for (route = server->routes; route->path != NULL; route++) {
        size_t length = strlen(route->path);
        bool is_prefix = route->path[length - 1] == '/';
        if (is_prefix ? strncmp(path, route->path, length) == 0
                      : strcmp(path, route->path) == 0) {
            *rest = path + length;
            return route;
        }
    }
    return NULL;
}

static void
fill_request(h2o_req_t *request, HttpServer_Request *out)
{
    size_t path_length = request->query_at == SIZE_MAX ? request->path.len
                                                       : request->query_at;

    out->method = pool_copy(request, request->method.base,
                            request->method.len);
    out->path = pool_copy(request, request->path.base, path_length);
    out->query = "";
    if (path_length < request->path.len) {
        out->query = pool_copy(request, request->path.base + path_length + 1,
                               request->path.len - path_length - 1);
    }
    out->body = request->entity.base == NULL ? "" : request->entity.base;
    out->length = request->entity.len;
    out->authority = pool_copy(request, request->authority.base,
                               request->authority.len);
    out->idempotency_key = header_text(request, "idempotency-key");
    out->if_match = header_text(request, "if-match");
    out->if_none_match = header_text(request, "if-none-match");
    out->levercove_key = header_text(request, "levercove-key");
    out->levercove_index = header_text(request, "levercove-index");
    out->levercove_group = header_text(request, "levercove-group");
}

static connection *
connection_of(const h2o_req_t *request)
{
    return request->conn->callbacks->get_socket(request->conn)->on_close.data;
}

static int
on_request(h2o_handler_t *self, h2o_req_t *request)
{
    Http_Server *server = ((route_handler *)self)->server;
    open_request *open = h2o_mem_alloc_shared(&request->pool, sizeof(*open),
                                              on_request_disposed);
    const HttpServer_Route *route;
    HttpServer_Request in;
    char message[64];

    memset(&in, 0, sizeof(in));
    open->server = server;
    open->conn = connection_of(request);
    open->conn->requests++;
    ClientLimits_SetState(&open->conn->client, CLIENT_SERVED, now_ms(server));
    open->request = request;
    open->watched = NULL;
    open->id = Handle_Add(server->open, open);
    in.id = open->id;
    fill_request(request, &in);
    route = find_route(server, in.path, &in.rest);
    if (open->conn->client.closing) {
        /* Its answer could not be delivered. */
        HttpServer_RespondError(server, in.id, ERR_STOPPING,
                                "the connection is being closed", 0);
    }
    else if (route == NULL) {
        HttpServer_RespondError(server, in.id, ERR_NOT_FOUND, "no such path",
                                0);
    }
    else if (in.length > server->max_body_bytes) {
        g_snprintf(message, sizeof(message),
                   "the body is longer than %zu bytes",
                   server->max_body_bytes);
        HttpServer_RespondError(server, in.id, ERR_TOO_LARGE, message, 0);
    }
    else {
        route->handler(server->handler_context, &in);
        watch_connection(server, in.id);
    }
    return 0;
}

/* ---- connections ---- */

static void
on_lingered(uv_handle_t *handle)
{
    Http_Server *server = ((lingering *)handle->data)->server;

    server->lingering--;
    g_free(handle->data);
}

static void
close_timer(uv_handle_t *handle)
{
    lingering *linger = handle->data;

    uv_close((uv_handle_t *)&linger->timer, on_lingered);
}

static void
end_lingering(uv_timer_t *timer)
{
    lingering *linger = timer->data;

    uv_close((uv_handle_t *)&linger->tcp, close_timer);
}

static void
on_linger_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char unused[READ_BYTES];

    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(unused, sizeof(unused));
}

static void
on_linger_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
    lingering *linger = stream->data;

    (void)buffer;
    if (count < 0) {
        uv_read_stop(stream);
        uv_timer_start(&linger->timer, end_lingering, 0, 0);
    }
}

/* Goes on reading from a connection that h2o has closed after it refused an
 * unfinished request. */
static void
begin_lingering(connection *conn)
{
    lingering *linger = g_new0(lingering, 1);
    uv_loop_t *loop = conn->server->loop;

    shutdown(conn->duplicate, SHUT_WR);
    linger->server = conn->server;
    uv_tcp_init(loop, &linger->tcp);
    if (uv_tcp_open(&linger->tcp, conn->duplicate) != 0) {
        close(conn->duplicate);
    }
    linger->tcp.data = linger;
    uv_timer_init(loop, &linger->timer);
    linger->timer.data = linger;
    uv_timer_start(&linger->timer, end_lingering, LINGER_MS, 0);
    uv_read_start((uv_stream_t *)&linger->tcp, on_linger_allocate,
                  on_linger_read);
}

static void
on_connection_closed(uv_handle_t *handle)
{
    connection *conn = (connection *)handle;
    Http_Server *server = conn->server;

    if (conn->changed) {
        g_ptr_array_remove(server->changed, conn);
    }
    if (conn->duplicate >= 0 && (conn->ended || conn->client.closing)) {
        drop_duplicate(conn);
    }
    else if (conn->duplicate >= 0) {
        begin_lingering(conn);
    }
    g_hash_table_remove(server->connections, conn);
    ClientLimits_Leave(&conn->client);
    g_free(conn);
}

static void
on_accept_failed(uv_handle_t *handle)
{
    g_free(handle);
}

static void
accept_connection(void *owner)
{
    Http_Server *server = owner;
    connection *conn;

    if (!server->listening ||
        !ClientLimits_HasRoom(server->limits, &server->room, now_ms(server))) {
        return;
    }
    conn = g_new0(connection, 1);
    uv_tcp_init(server->loop, &conn->tcp);
    if (uv_accept((uv_stream_t *)&server->listener,
                  (uv_stream_t *)&conn->tcp) != 0) {
        uv_close((uv_handle_t *)&conn->tcp, on_accept_failed);
        return;
    }
    uv_tcp_nodelay(&conn->tcp, 1);
    conn->server = server;
    conn->duplicate = -1;
    conn->client.owner = conn;
    conn->client.close = shut_connection;
    conn->socket = h2o_uv_socket_create((uv_stream_t *)&conn->tcp,
                                        on_connection_closed);
    conn->socket->on_close.data = conn; /* for connection_of */
    g_hash_table_add(server->connections, conn);
    if (!uv_is_active((uv_handle_t *)&server->sweep)) {
        server->swept_ms = now_ms(server);
        uv_timer_start(&server->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
    }
    ClientLimits_Join(server->limits, &conn->client, now_ms(server));
    h2o_accept(&server->accept, conn->socket);
    server->h2o_allocate = conn->tcp.alloc_cb;
    server->h2o_read = conn->tcp.read_cb;
    watch_bytes(conn);
}

static void
on_incoming(uv_stream_t *listener, int result)
{
    if (result == 0) {
        accept_connection(listener->data);
    }
}

static int
listen_on(Http_Server *server, Address address)
{
    struct sockaddr_in local = Address_ToSocket(address);
    int result;

    uv_tcp_init(server->loop, &server->listener);
    server->listener.data = server;
    server->listening = true;
    result = uv_tcp_bind(&server->listener, (const struct sockaddr *)&local,
                         0);
    if (result != 0) {
        return result;
    }
    return uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
                     on_incoming);
}

void
HttpServer_SetMaxBody(Http_Server *server, size_t bytes)
{
    server->max_body_bytes = bytes;
    /* Twice as much, so that most bodies that are too long get our own error.
     */
    server->config.max_request_entity_size = 2 * bytes;
}

Http_Server *
HttpServer_NewLimited(uv_loop_t *loop, Address address,
                      const HttpServer_Limits *limits,
                      const HttpServer_Route *routes, void *context,
                      Status *status)
{
    Http_Server *server = g_new0(Http_Server, 1);
    h2o_hostconf_t *host;
    h2o_pathconf_t *path;
    route_handler *handler;
    int result;

    server->loop = loop;
    server->routes = routes;
    server->handler_context = context;
    server->open = Handle_NewTable();
    server->watched = g_hash_table_new(NULL, NULL);
    server->connections = g_hash_table_new(NULL, NULL);
    server->changed = g_ptr_array_new();
    server->limits = limits->clients;
    server->room.accept = accept_connection;
    server->room.owner = server;
    ClientLimits_AddListener(server->limits, &server->room);
    h2o_config_init(&server->config);
    server->config.server_name = h2o_iovec_init(H2O_STRLIT("levercove"));
    /* h2o's own time must not end before REQUEST_MS. */
    server->config.http1.req_timeout = (uint64_t)2 * REQUEST_MS;
    HttpServer_SetMaxBody(server, limits->max_body_bytes);
    host = h2o_config_register_host(
        &server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    path = h2o_config_register_path(host, "/", 0);
    handler = (route_handler *)h2o_create_handler(path, sizeof(route_handler));
    handler->super.on_req = on_request;
    handler->server = server;
    h2o_context_init(&server->context, loop, &server->config);
    server->accept.ctx = &server->context;
    server->accept.hosts = server->config.hosts;
    uv_prepare_init(loop, &server->before_poll);
    server->before_poll.data = server;
    uv_prepare_start(&server->before_poll, on_before_poll);
    uv_timer_init(loop, &server->sweep);
    server->sweep.data = server;
    result = listen_on(server, address);
    if (result != 0) {
        Err_Set(status, ERR_IO, "cannot listen on %s: %s",
                Address_Text(address), uv_strerror(result));
        HttpServer_Free(server);
        return NULL;
    }
    return server;
}

Http_Server *
HttpServer_New(uv_loop_t *loop, Address address,
               const HttpServer_Route *routes, void *context, Status *status)
{
    HttpServer_Limits limits = {
        .clients = ClientLimits_New(SIZE_MAX / 4, UINT32_MAX),
        .max_body_bytes = HTTP_MAX_BODY_BYTES};

    return HttpServer_NewLimited(loop, address, &limits, routes, context,
                                 status);
}

static void
add_header(h2o_req_t *request, const char *name, const char *value)
{
    char *copy = pool_copy(request, value, strlen(value));

    h2o_add_header_by_str(&request->pool, &request->res.headers, name,
                          strlen(name), 1, NULL, copy, strlen(copy));
}

void
HttpServer_Respond(Http_Server *server, uint64_t id,
                   const HttpServer_Response *response)
{
    open_request *open = Handle_Remove(server->open, id);
    h2o_req_t *request;
    char seconds[16];

    if (open == NULL) {
        return;
    }
    stop_watching(open);
    request = open->request;
    if (server->closing) {
        request->http1_is_persistent = 0;
    }
    request->res.status = response->status;
    request->res.reason = response->status < 400 ? "OK" : "Error";
    add_header(request, "content-type",
               response->type == NULL ? "application/json" : response->type);
    if (response->etag != NULL) {
        add_header(request, "etag", response->etag);
    }
    if (response->retry_ms > 0) {
        g_snprintf(seconds, sizeof(seconds), "%u",
                   (response->retry_ms + MS_PER_S - 1) / MS_PER_S);
        add_header(request, "retry-after", seconds);
    }
    request->res.content_length = response->length;
    open->conn->answer_bytes = response->length;
    ClientLimits_SetState(&open->conn->client, CLIENT_UNREAD, now_ms(server));
    count_bytes(open->conn);
    server->bytes_out += RESPONSE_HEAD_BYTES + response->length;
    h2o_send_inline(request, response->body, response->length);
}

uint64_t
HttpServer_BytesOut(const Http_Server *server)
{
    return server->bytes_out;
}

void
HttpServer_RespondJson(Http_Server *server, uint64_t id, int status,
                       uint32_t retry_ms, const char *text)
{
    HttpServer_Response response = {.status = status,
                                    .retry_ms = retry_ms,
                                    .body = text,
                                    .length = strlen(text)};

    HttpServer_Respond(server, id, &response);
}

void
HttpServer_RespondError(Http_Server *server, uint64_t id, Err_Kind kind,
                        const char *message, uint32_t retry_ms)
{
    json_t *body = json_pack("{s:s, s:s, s:s}", "outcome",
                             Err_OutcomeText(Err_Outcome(kind)), "error",
                             Err_Text(kind), "message", message);
    char *text;

    if (Err_Outcome(kind) == OUTCOME_REFUSED) {
        Event_Log(EVENT_HTTP_BAD, "%s: %s", Err_Text(kind), message);
    }
    if (retry_ms > 0) {
        json_object_set_new(body, "retry_after_ms", json_integer(retry_ms));
    }
    text = json_dumps(body, JSON_COMPACT);
    HttpServer_RespondJson(server, id, Err_HttpStatus(kind), retry_ms, text);
    free(text);
    json_decref(body);
}

const char *
HttpServer_Header(const Http_Server *server, uint64_t id, const char *name)
{
    const open_request *open = Handle_Get(server->open, id);

    return open == NULL ? NULL : header_text(open->request, name);
}

void
HttpServer_SetDisconnectHandler(Http_Server *server,
                                void (*on_disconnect)(void *context,
                                                      uint64_t id))
{
    server->on_disconnect = on_disconnect;
}

void
HttpServer_CloseAfterResponses(Http_Server *server)
{
    server->closing = true;
}

uint32_t
HttpServer_UnansweredCount(const Http_Server *server)
{
    return Handle_ItemCount(server->open);
}

static void
on_listener_closed(uv_handle_t *handle)
{
    (void)handle;
}

void
HttpServer_StopListening(Http_Server *server)
{
    if (server->listening) {
        server->listening = false;
        uv_close((uv_handle_t *)&server->listener, on_listener_closed);
    }
}

/*
 * h2o keeps timers on the loop until the process ends, so the server's
 * memory is not freed; called once, right before the process exits.
 */
void
HttpServer_Free(Http_Server *server)
{
    HttpServer_StopListening(server);
    ClientLimits_RemoveListener(server->limits, &server->room);
    h2o_context_request_shutdown(&server->context);
}

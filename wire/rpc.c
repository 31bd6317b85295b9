#include "wire/rpc.h"

#include <string.h>

#include "base/event.h"
#include "base/handle_table.h"
#include "wire/run_batch.h"

#define LISTEN_BACKLOG 512
#define READ_BUFFER_BYTES 65536
#define LAST_FRAGMENT 0x80000000U
/* Interval between checks of all connections when keepalive is enabled. */
#define KEEPALIVE_INTERVAL_MS 100
/* A check that comes this much late means that this process was stalled: what
 * peers have sent meanwhile is still unread. */
#define KEEPALIVE_STALL_MS 200
/* The side that opened a connection closes it after this time without use. The
 * accepting side closes it after twice this time without input, as the peer
 * must have disappeared without closing it. Far longer than the longest
 * interval between reports (3 s). */
#define IDLE_TIMEOUT_MS ((int64_t)60000)
/* Time for a record to arrive whole, from its first byte. The longest one
 * takes a third of it over a link of 25 Mbit/s. */
#define RECORD_MS 20000
/* Time for a peer to read replies. */
#define REPLY_MS 30000
/* An empty input buffer of more than this is freed. */
#define KEPT_INPUT_BYTES 4096
#define MIN_INPUT_BYTES 64
/* Memory that a write takes besides its bytes. */
#define WRITE_OVERHEAD_BYTES 256

/* One TCP connection, opened by us (`peer` set) or by a peer. */
typedef struct {
    Rpc *rpc;
    uv_tcp_t tcp;
    uv_connect_t connect;
    Handle handle;
    Address peer;
    bool connected;
    bool closing;
    GByteArray *in;
    GByteArray *out;     /* queued until connected */
    GHashTable *pending; /* xid -> pending_call * */
    uint32_t next_xid;
    int64_t active_ms; /* last input, or start of the first pending call */
    uint32_t ping_xid; /* of the unanswered ping, or 0 */
    uint32_t writes;
    /* The rest is used for connections of peers only. */
    ClientLimits_Client client; /* if `limited` */
    bool limited;
    bool heard;            /* a whole record has arrived */
    int64_t record_ms;     /* first byte of an unfinished record; 0: none */
    size_t input_capacity; /* of `in`, at most */
    size_t unwritten;      /* bytes of pending writes, with overhead */
    int64_t written_ms;    /* when a write last ended, or the first began */
    uint32_t unanswered;   /* calls that this process has not answered */
} connection;

typedef struct {
    uint64_t call_id;
    Msg_Kind kind;
    u_int rows; /* of the RUNS call of which this is the first row, else 0 */
} pending_call;

/* A call of a peer that this process has not answered yet. */
typedef struct {
    Handle connection;
    uint32_t xid;
    Msg_Kind kind;
} incoming_call;

typedef struct {
    uv_write_t request;
    connection *conn;
    GByteArray *bytes;
} pending_write;

struct Rpc {
    uv_loop_t *loop;
    uv_tcp_t listener;
    uv_timer_t lost_calls_timer;
    uv_timer_t keepalive_timer;
    int64_t checked_ms;            /* last check of all connections */
    uint32_t keepalive_timeout_ms; /* 0: keepalive is disabled */
    bool listening;
    bool closing;
    ClientLimits *limits; /* or NULL */
    ClientLimits_Listener room;
    int open_handles;
    uint32_t writes;
    Counters *counters;
    Rpc_Handlers handlers;
    void *context;
    Handle_Table *connections;
    Handle_Table *incoming;
    GHashTable *by_peer;
    GArray *lost_calls;
    Rpc_Traffic traffic;
    char read_buffer[READ_BUFFER_BYTES];
};

static void
free_when_closed(Rpc *rpc)
{
    uint32_t i;

    if (!rpc->closing || rpc->open_handles > 0) {
        return;
    }
    for (i = 0; i < Handle_RowCount(rpc->incoming); i++) {
        g_free(Handle_ItemAt(rpc->incoming, i));
    }
    Handle_FreeTable(rpc->incoming);
    Handle_FreeTable(rpc->connections);
    g_hash_table_unref(rpc->by_peer);
    g_array_unref(rpc->lost_calls);
    g_free(rpc);
}

static void
on_handle_closed(uv_handle_t *handle)
{
    Rpc *rpc = handle->data;

    rpc->open_handles--;
    free_when_closed(rpc);
}

void
Rpc_ReportLostCalls(Rpc *rpc)
{
    GArray *lost_calls = rpc->lost_calls;
    guint i;

    if (lost_calls->len == 0) {
        return;
    }
    rpc->lost_calls = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (i = 0; i < lost_calls->len; i++) {
        rpc->handlers.reply(rpc->context,
                            g_array_index(lost_calls, uint64_t, i), NULL);
    }
    g_array_unref(lost_calls);
}

static void
on_lost_calls_timer(uv_timer_t *timer)
{
    Rpc_ReportLostCalls(timer->data);
}

static void
add_lost_call(Rpc *rpc, uint64_t call_id)
{
    if (rpc->closing) {
        return;
    }
    g_array_append_val(rpc->lost_calls, call_id);
    Counter_Add(rpc->counters, COUNTER_CALLS_LOST, 1);
    uv_timer_start(&rpc->lost_calls_timer, on_lost_calls_timer, 0, 0);
}

static void
on_connection_closed(uv_handle_t *handle)
{
    connection *conn = handle->data;
    Rpc *rpc = conn->rpc;

    if (conn->limited) {
        ClientLimits_Leave(&conn->client);
    }
    g_byte_array_unref(conn->in);
    g_byte_array_unref(conn->out);
    g_hash_table_unref(conn->pending);
    g_free(conn);
    rpc->open_handles--;
    free_when_closed(rpc);
}

static void
close_connection(connection *conn)
{
    Rpc *rpc = conn->rpc;
    GHashTableIter iter;
    gpointer value;

    if (conn->closing) {
        return;
    }
    conn->closing = true;
    Handle_Remove(rpc->connections, conn->handle);
    if (conn->peer != 0) {
        g_hash_table_remove(rpc->by_peer, &conn->peer);
    }
    g_hash_table_iter_init(&iter, conn->pending);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        add_lost_call(rpc, ((pending_call *)value)->call_id);
    }
    g_hash_table_remove_all(conn->pending);
    uv_close((uv_handle_t *)&conn->tcp, on_connection_closed);
}

/* ---- what is held for connections of peers ---- */

static void
close_client(void *owner)
{
    close_connection(owner);
}

static ClientLimits_State
state_of(const connection *conn)
{
    if (conn->unanswered > 0) {
        return CLIENT_SERVED;
    }
    if (!conn->heard || conn->in->len > 0) {
        return CLIENT_UNFINISHED;
    }
    return conn->unwritten > 0 ? CLIENT_UNREAD : CLIENT_IDLE;
}

/* To be called after each change of what the connection holds; it may be
 * closed then. */
static void
update_client(connection *conn)
{
    ClientLimits_State state = state_of(conn);

    if (!conn->limited || conn->closing) {
        return;
    }
    if (state != conn->client.state || state == CLIENT_IDLE) {
        ClientLimits_SetState(&conn->client, state,
                              (int64_t)uv_now(conn->rpc->loop));
    }
    ClientLimits_SetBytes(&conn->client,
                          conn->input_capacity + conn->unwritten);
}

static void
join_clients(connection *conn)
{
    Rpc *rpc = conn->rpc;

    if (rpc->limits == NULL) {
        return;
    }
    conn->limited = true;
    conn->client.owner = conn;
    conn->client.close = close_client;
    ClientLimits_Join(rpc->limits, &conn->client, (int64_t)uv_now(rpc->loop));
}

static connection *
new_connection(Rpc *rpc, Address peer)
{
    connection *conn = g_new0(connection, 1);

    conn->rpc = rpc;
    conn->peer = peer;
    conn->in = g_byte_array_new();
    conn->out = g_byte_array_new();
    conn->pending = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    conn->handle = Handle_Add(rpc->connections, conn);
    conn->active_ms = (int64_t)uv_now(rpc->loop);
    uv_tcp_init(rpc->loop, &conn->tcp);
    conn->tcp.data = conn;
    rpc->open_handles++;
    return conn;
}

static void
on_written(uv_write_t *request, int result)
{
    pending_write *write = (pending_write *)request;
    connection *conn = write->conn;

    conn->writes--;
    conn->rpc->writes--;
    conn->unwritten -= write->bytes->len + WRITE_OVERHEAD_BYTES;
    conn->written_ms = (int64_t)uv_now(conn->rpc->loop);
    g_byte_array_unref(write->bytes);
    g_free(write);
    if (result < 0) {
        close_connection(conn);
    }
    update_client(conn);
}

/* Takes ownership of `bytes`. */
static void
write_bytes(connection *conn, GByteArray *bytes)
{
    pending_write *write;
    uv_buf_t buffer;

    if (!conn->connected) {
        g_byte_array_append(conn->out, bytes->data, bytes->len);
        g_byte_array_unref(bytes);
        return;
    }
    Counter_Add(conn->rpc->counters, COUNTER_RPC_BYTES_OUT, bytes->len);
    write = g_new0(pending_write, 1);
    write->conn = conn;
    write->bytes = bytes;
    buffer = uv_buf_init((char *)bytes->data, bytes->len);
    conn->writes++;
    conn->rpc->writes++;
    if (conn->unwritten == 0) {
        conn->written_ms = (int64_t)uv_now(conn->rpc->loop);
    }
    conn->unwritten += bytes->len + WRITE_OVERHEAD_BYTES;
    if (uv_write(&write->request, (uv_stream_t *)&conn->tcp, &buffer, 1,
                 on_written) != 0) {
        on_written(&write->request, UV_EPIPE);
        return;
    }
    update_client(conn);
}

static void
count_answered(const Rpc *rpc, Handle from)
{
    connection *conn = Handle_Get(rpc->connections, from);

    if (conn != NULL) {
        conn->unanswered--;
        update_client(conn);
    }
}

static void
deliver_call(Rpc *rpc, Handle from, uint32_t xid, const Msg_Call *call)
{
    incoming_call *incoming = g_new0(incoming_call, 1);
    connection *conn = Handle_Get(rpc->connections, from);
    Handle reply_id;

    if (conn != NULL) {
        conn->unanswered++;
    }
    incoming->connection = from;
    incoming->xid = xid;
    incoming->kind = call->kind;
    reply_id = Handle_Add(rpc->incoming, incoming);
    rpc->handlers.call(rpc->context, reply_id, call);
}

static void
refuse_call(connection *conn, uint32_t xid, enum accept_stat reason)
{
    GByteArray *out = g_byte_array_new();

    Counter_Add(conn->rpc->counters, COUNTER_RPC_BAD, 1);
    Event_Log(EVENT_RPC_BAD, "call refused with accept status %d",
              (int)reason);
    Msg_EncodeRefusal(xid, reason, out);
    write_bytes(conn, out);
}

static void
handle_runs(connection *conn, uint32_t first_xid, const lc_runs_args *runs)
{
    /* A handler may close the connection while rows are delivered. */
    Handle handle = conn->handle;
    Rpc *rpc = conn->rpc;
    u_int i;

    if (runs->rows.rows_len == 0) {
        refuse_call(conn, first_xid, GARBAGE_ARGS);
    }
    for (i = 0; i < runs->rows.rows_len; i++) {
        Msg_Call run;
        RunBatch_DecodeRow(runs, i, &run);
        deliver_call(rpc, handle, first_xid + i, &run);
    }
}

static void
handle_call(connection *conn, Msg_Record *record)
{
    Msg_Call *call = &record->call;

    conn->rpc->traffic.calls_in[call->kind]++;
    if (call->kind == MSG_RUNS) {
        handle_runs(conn, record->xid, &call->u.runs);
    }
    else {
        deliver_call(conn->rpc, conn->handle, record->xid, call);
    }
    Msg_FreeCall(call);
}

/* A peer that does not know RUNS, or could not decode this call, has executed
 * none of its rows: all of them are lost. */
static void
fail_rows(connection *conn, uint32_t first_xid, u_int rows)
{
    u_int i;

    for (i = 1; i < rows; i++) {
        gpointer xid = GUINT_TO_POINTER(first_xid + i);
        const pending_call *row = g_hash_table_lookup(conn->pending, xid);
        if (row != NULL) {
            add_lost_call(conn->rpc, row->call_id);
            g_hash_table_remove(conn->pending, xid);
        }
    }
}

static void
handle_reply(connection *conn, const Msg_Record *record, const uint8_t *data,
             size_t length)
{
    Rpc *rpc = conn->rpc;
    gpointer xid = GUINT_TO_POINTER(record->xid);
    bool is_ping = record->xid == conn->ping_xid && conn->ping_xid != 0;
    pending_call *pending = g_hash_table_lookup(conn->pending, xid);
    pending_call ended;
    Msg_Reply reply;

    if (is_ping) {
        conn->ping_xid = 0;
        return;
    }
    if (pending == NULL) {
        Counter_Add(rpc->counters, COUNTER_WASTED_LATE, 1);
        return;
    }
    ended = *pending;
    g_hash_table_remove(conn->pending, xid);
    if (record->type == MSG_IS_DENIED ||
        !Msg_DecodeReply(ended.kind, data + record->body,
                         length - record->body, &reply)) {
        Counter_Add(rpc->counters, COUNTER_RPC_BAD, 1);
        Event_Log(EVENT_RPC_BAD, "refused or malformed reply to %s from %s",
                  Msg_Name(ended.kind), Address_Text(conn->peer));
        add_lost_call(rpc, ended.call_id);
        if (record->type == MSG_IS_DENIED) {
            fail_rows(conn, record->xid, ended.rows);
        }
        return;
    }
    rpc->traffic.replies_in[ended.kind]++;
    rpc->handlers.reply(rpc->context, ended.call_id, &reply);
    Msg_FreeReply(&reply);
}

static void
handle_record(connection *conn, const uint8_t *data, size_t length)
{
    Rpc *rpc = conn->rpc;
    GByteArray *out;
    Msg_Record record;

    Msg_Decode(data, length, &record);
    switch (record.type) {
    case MSG_IS_CALL:
        handle_call(conn, &record);
        break;
    case MSG_IS_NULL:
        out = g_byte_array_new();
        Msg_EncodeNull(record.xid, out);
        write_bytes(conn, out);
        break;
    case MSG_IS_INVALID_CALL:
        refuse_call(conn, record.xid, record.refusal);
        break;
    case MSG_IS_REPLY:
    case MSG_IS_DENIED:
        handle_reply(conn, &record, data, length);
        break;
    case MSG_IS_NOT_RPC:
        Counter_Add(rpc->counters, COUNTER_RPC_BAD, 1);
        Event_Log(EVENT_RPC_BAD, "not an RPC message, connection closed");
        close_connection(conn);
        break;
    }
}

/* Processes all complete records of the input. */
static void
handle_input(connection *conn)
{
    size_t used = 0;

    while (!conn->closing && conn->in->len - used >= MSG_MARK_SIZE) {
        uint32_t mark;
        uint32_t length;
        memcpy(&mark, conn->in->data + used, MSG_MARK_SIZE);
        mark = ntohl(mark);
        length = mark & ~LAST_FRAGMENT;
        if (length > MSG_MAX_RECORD || (mark & LAST_FRAGMENT) == 0) {
            Counter_Add(conn->rpc->counters, COUNTER_RPC_BAD, 1);
            Event_Log(EVENT_RPC_BAD,
                      "invalid record mark %08x, connection closed", mark);
            close_connection(conn);
            return;
        }
        if (conn->in->len - used - MSG_MARK_SIZE < length) {
            break;
        }
        used += MSG_MARK_SIZE;
        handle_record(conn, conn->in->data + used, length);
        used += length;
    }
    if (used > 0) {
        conn->heard = true;
        conn->record_ms = 0;
        g_byte_array_remove_range(conn->in, 0, (guint)used);
    }
    if (conn->in->len > 0 && conn->record_ms == 0) {
        conn->record_ms = (int64_t)uv_now(conn->rpc->loop);
    }
}

/* Appends what was read. The buffer doubles as it grows. */
static void
append_input(connection *conn, const uv_buf_t *buffer, size_t count)
{
    g_byte_array_append(conn->in, (const guint8 *)buffer->base, (guint)count);
    while (conn->input_capacity < conn->in->len) {
        conn->input_capacity = MAX(2 * conn->input_capacity, MIN_INPUT_BYTES);
    }
}

/* The buffer keeps its size while it holds anything. */
static void
release_input(connection *conn)
{
    if (conn->in->len == 0 && conn->input_capacity > KEPT_INPUT_BYTES) {
        g_byte_array_unref(conn->in);
        conn->in = g_byte_array_new();
        conn->input_capacity = 0;
    }
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    connection *conn = handle->data;

    (void)suggested;
    *buffer = uv_buf_init(conn->rpc->read_buffer, READ_BUFFER_BYTES);
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
    connection *conn = stream->data;

    if (count < 0) {
        close_connection(conn);
        return;
    }
    if (count == 0) {
        return;
    }
    conn->active_ms = (int64_t)uv_now(conn->rpc->loop);
    Counter_Add(conn->rpc->counters, COUNTER_RPC_BYTES_IN, (uint64_t)count);
    append_input(conn, buffer, (size_t)count);
    handle_input(conn);
    release_input(conn);
    update_client(conn);
}

static void
start_reading(connection *conn)
{
    conn->connected = true;
    uv_tcp_nodelay(&conn->tcp, 1);
    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void
on_connected(uv_connect_t *request, int result)
{
    connection *conn = request->data;
    GByteArray *queued;

    if (conn->closing) {
        return;
    }
    if (result < 0) {
        close_connection(conn);
        return;
    }
    start_reading(conn);
    queued = conn->out;
    conn->out = g_byte_array_new();
    write_bytes(conn, queued);
}

static void
accept_connection(void *owner)
{
    Rpc *rpc = owner;
    connection *conn;

    if (rpc->closing || (rpc->limits != NULL &&
                         !ClientLimits_HasRoom(rpc->limits, &rpc->room,
                                               (int64_t)uv_now(rpc->loop)))) {
        return;
    }
    conn = new_connection(rpc, 0);
    if (uv_accept((uv_stream_t *)&rpc->listener, (uv_stream_t *)&conn->tcp) !=
        0) {
        close_connection(conn);
        return;
    }
    join_clients(conn);
    start_reading(conn);
}

static void
on_incoming(uv_stream_t *listener, int result)
{
    if (result == 0) {
        accept_connection(listener->data);
    }
}

static connection *
connect_to(Rpc *rpc, Address to)
{
    connection *conn = g_hash_table_lookup(rpc->by_peer, &to);
    struct sockaddr_in target = Address_ToSocket(to);

    if (conn != NULL) {
        return conn;
    }
    conn = new_connection(rpc, to);
    conn->connect.data = conn;
    g_hash_table_insert(rpc->by_peer, &conn->peer, conn);
    if (uv_tcp_connect(&conn->connect, &conn->tcp,
                       (const struct sockaddr *)&target, on_connected) != 0) {
        close_connection(conn);
        return NULL;
    }
    return conn;
}

/* ---- keepalive ---- */

/* Sends a NULL call, as the peer may have had no other call to answer at once
 * for some time. */
static void
send_ping(connection *conn)
{
    GByteArray *bytes = g_byte_array_new();

    conn->ping_xid = ++conn->next_xid;
    Msg_EncodePing(conn->ping_xid, bytes);
    write_bytes(conn, bytes);
}

static void
close_silent(connection *conn, int64_t since_ms)
{
    Counter_Add(conn->rpc->counters, COUNTER_CONNECTIONS_SILENT, 1);
    Event_Log(EVENT_CONNECTION_SILENT,
              "%s, nothing received for %lld ms, %u calls unanswered",
              conn->peer == 0 ? "incoming connection"
                              : Address_Text(conn->peer),
              (long long)since_ms, g_hash_table_size(conn->pending));
    close_connection(conn);
}

/* Closes a connection whose peer has taken too long for a record or for
 * reading replies, or has sent nothing yet. */
static void
check_client(connection *conn, int64_t now)
{
    int64_t waited_ms = now - conn->client.since_ms;

    if ((conn->record_ms != 0 && now - conn->record_ms > RECORD_MS) ||
        (!conn->heard && waited_ms > RECORD_MS)) {
        ClientLimits_Close(&conn->client, CLIENT_LIMIT_REQUEST_TIME);
    }
    else if (conn->unwritten > 0 && now - conn->written_ms > REPLY_MS) {
        ClientLimits_Close(&conn->client, CLIENT_LIMIT_ANSWER_TIME);
    }
}

/* The time for which this process was stalled does not count. */
static void
excuse_stall(connection *conn, int64_t now, int64_t late_ms)
{
    conn->active_ms = now;
    conn->record_ms += conn->record_ms == 0 ? 0 : late_ms;
    conn->written_ms += late_ms;
    if (conn->limited) {
        ClientLimits_ExcuseStall(&conn->client, late_ms);
    }
}

static void
check_connection(connection *conn, int64_t now)
{
    int64_t since_ms = now - conn->active_ms;
    bool has_pending = g_hash_table_size(conn->pending) > 0;

    if (conn->peer == 0) {
        if (since_ms >= 2 * IDLE_TIMEOUT_MS) {
            close_silent(conn, since_ms);
        }
        else if (conn->limited) {
            check_client(conn, now);
        }
    }
    else if (!has_pending && since_ms >= IDLE_TIMEOUT_MS) {
        close_connection(conn);
    }
    else if (has_pending && since_ms >= conn->rpc->keepalive_timeout_ms) {
        close_silent(conn, since_ms);
    }
    else if (has_pending && since_ms >= conn->rpc->keepalive_timeout_ms / 2 &&
             conn->ping_xid == 0) {
        send_ping(conn);
    }
}

static void
on_keepalive_timer(uv_timer_t *timer)
{
    Rpc *rpc = timer->data;
    int64_t now = (int64_t)uv_now(rpc->loop);
    int64_t late_ms = now - rpc->checked_ms - KEEPALIVE_INTERVAL_MS;
    uint32_t i;

    rpc->checked_ms = now;
    for (i = 0; i < Handle_RowCount(rpc->connections); i++) {
        connection *conn = Handle_ItemAt(rpc->connections, i);
        if (conn != NULL && late_ms >= KEEPALIVE_STALL_MS) {
            excuse_stall(conn, now, late_ms);
        }
        else if (conn != NULL) {
            check_connection(conn, now);
        }
    }
}

void
Rpc_EnableKeepAlive(Rpc *rpc, uint32_t timeout_ms)
{
    rpc->keepalive_timeout_ms = timeout_ms;
    rpc->checked_ms = (int64_t)uv_now(rpc->loop);
    uv_timer_start(&rpc->keepalive_timer, on_keepalive_timer,
                   KEEPALIVE_INTERVAL_MS, KEEPALIVE_INTERVAL_MS);
}

/* ---- public interface ---- */

Rpc *
Rpc_New(uv_loop_t *loop, Counters *counters, const Rpc_Handlers *handlers,
        void *context)
{
    Rpc *rpc = g_new0(Rpc, 1);

    rpc->loop = loop;
    rpc->counters = counters;
    rpc->handlers = *handlers;
    rpc->context = context;
    rpc->connections = Handle_NewTable();
    rpc->incoming = Handle_NewTable();
    rpc->by_peer = g_hash_table_new(g_int64_hash, g_int64_equal);
    rpc->lost_calls = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    uv_timer_init(loop, &rpc->lost_calls_timer);
    rpc->lost_calls_timer.data = rpc;
    uv_timer_init(loop, &rpc->keepalive_timer);
    rpc->keepalive_timer.data = rpc;
    rpc->open_handles = 2;
    return rpc;
}

Err_Kind
Rpc_Listen(Rpc *rpc, Address address, Status *status)
{
    struct sockaddr_in local = Address_ToSocket(address);
    int result;

    uv_tcp_init(rpc->loop, &rpc->listener);
    rpc->listener.data = rpc;
    rpc->listening = true;
    rpc->open_handles++;
    result = uv_tcp_bind(&rpc->listener, (const struct sockaddr *)&local, 0);
    if (result == 0) {
        result = uv_listen((uv_stream_t *)&rpc->listener, LISTEN_BACKLOG,
                           on_incoming);
    }
    if (result != 0) {
        return Err_Set(status, ERR_IO, "cannot listen on %s: %s",
                       Address_Text(address), uv_strerror(result));
    }
    return ERR_OK;
}

void
Rpc_SetClientLimits(Rpc *rpc, ClientLimits *limits)
{
    rpc->limits = limits;
    rpc->room.accept = accept_connection;
    rpc->room.owner = rpc;
    ClientLimits_AddListener(limits, &rpc->room);
}

/* Registers a pending call; returns its xid. */
static uint32_t
add_pending(connection *conn, uint64_t call_id, Msg_Kind kind, u_int rows)
{
    pending_call *pending = g_new0(pending_call, 1);
    uint32_t xid = ++conn->next_xid;

    if (g_hash_table_size(conn->pending) == 0) {
        conn->active_ms = (int64_t)uv_now(conn->rpc->loop);
    }
    pending->call_id = call_id;
    pending->kind = kind;
    pending->rows = rows;
    g_hash_table_insert(conn->pending, GUINT_TO_POINTER(xid), pending);
    return xid;
}

static void
write_call(connection *conn, const Msg_Call *call, uint32_t xid)
{
    GByteArray *bytes = g_byte_array_new();

    conn->rpc->traffic.calls_out[call->kind]++;
    Msg_EncodeCall(call, xid, bytes);
    conn->rpc->traffic.call_bytes_out[call->kind] += bytes->len;
    write_bytes(conn, bytes);
}

void
Rpc_Call(Rpc *rpc, Address to, uint64_t call_id, const Msg_Call *call)
{
    connection *conn = connect_to(rpc, to);

    if (conn == NULL) {
        add_lost_call(rpc, call_id);
        return;
    }
    write_call(conn, call, add_pending(conn, call_id, call->kind, 0));
}

void
Rpc_CallRuns(Rpc *rpc, Address to, const uint64_t *call_ids,
             const lc_runs_args *runs)
{
    Msg_Call call = {.kind = MSG_RUNS, .u.runs = *runs};
    connection *conn = connect_to(rpc, to);
    u_int rows = runs->rows.rows_len;
    uint32_t first = 0;
    u_int i;

    for (i = 0; i < rows; i++) {
        if (conn == NULL) {
            add_lost_call(rpc, call_ids[i]);
            continue;
        }
        if (i == 0) {
            first = add_pending(conn, call_ids[i], MSG_RUN, rows);
        }
        else {
            add_pending(conn, call_ids[i], MSG_RUN, 0);
        }
    }
    if (conn != NULL && rows > 0) {
        write_call(conn, &call, first);
    }
}

void
Rpc_Reply(Rpc *rpc, uint64_t reply_id, const Msg_Reply *reply)
{
    incoming_call *incoming = Handle_Remove(rpc->incoming, reply_id);
    connection *conn;
    GByteArray *bytes;

    if (incoming == NULL) {
        return;
    }
    conn = Handle_Get(rpc->connections, incoming->connection);
    if (conn != NULL) {
        rpc->traffic.replies_out[reply->kind]++;
        bytes = g_byte_array_new();
        Msg_EncodeReply(reply, incoming->xid, bytes);
        rpc->traffic.reply_bytes_out[reply->kind] += bytes->len;
        write_bytes(conn, bytes);
    }
    count_answered(rpc, incoming->connection);
    g_free(incoming);
}

void
Rpc_Refuse(Rpc *rpc, uint64_t reply_id)
{
    incoming_call *incoming = Handle_Remove(rpc->incoming, reply_id);
    connection *conn;
    GByteArray *bytes;

    if (incoming == NULL) {
        return;
    }
    conn = Handle_Get(rpc->connections, incoming->connection);
    if (conn != NULL) {
        bytes = g_byte_array_new();
        Msg_EncodeRefusal(incoming->xid, PROC_UNAVAIL, bytes);
        write_bytes(conn, bytes);
    }
    count_answered(rpc, incoming->connection);
    g_free(incoming);
}

void
Rpc_Disconnect(Rpc *rpc, Address to)
{
    connection *conn = g_hash_table_lookup(rpc->by_peer, &to);

    if (conn != NULL) {
        close_connection(conn);
    }
}

int
Rpc_HasPendingWrites(const Rpc *rpc)
{
    return rpc->writes > 0;
}

const Rpc_Traffic *
Rpc_GetTraffic(const Rpc *rpc)
{
    return &rpc->traffic;
}

void
Rpc_Close(Rpc *rpc)
{
    uint32_t i;

    rpc->closing = true;
    if (rpc->limits != NULL) {
        ClientLimits_RemoveListener(rpc->limits, &rpc->room);
    }
    for (i = 0; i < Handle_RowCount(rpc->connections); i++) {
        connection *conn = Handle_ItemAt(rpc->connections, i);
        if (conn != NULL) {
            close_connection(conn);
        }
    }
    if (rpc->listening) {
        uv_close((uv_handle_t *)&rpc->listener, on_handle_closed);
    }
    uv_close((uv_handle_t *)&rpc->lost_calls_timer, on_handle_closed);
    uv_close((uv_handle_t *)&rpc->keepalive_timer, on_handle_closed);
}

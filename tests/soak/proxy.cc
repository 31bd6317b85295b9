#include "tests/soak/proxy.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <string>

extern "C" {
#include "wire/levercove.h"
}

namespace soak {

namespace {

const size_t CHUNK_BYTES = 65536;
const int64_t US_PER_MS = 1000;
const int64_t US_PER_S = 1000000;

struct Write {
    uv_write_t request;
    std::string bytes;
};

std::string
encode_word(uint32_t word)
{
    std::string bytes;

    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes.push_back((char)(word >> shift & 0xff));
    }
    return bytes;
}

/* The procedures of the RPC calls whose headers are in a chunk as a whole. */
std::set<uint32_t>
procedures_in(const std::string &chunk)
{
    static const std::string header = encode_word(LC_PROGRAM) +
                                      encode_word(LC_VERSION);
    std::set<uint32_t> found;
    size_t at = chunk.find(header);

    while (at != std::string::npos && at + header.size() + 4 <= chunk.size()) {
        at += header.size();
        found.insert((uint32_t)(unsigned char)chunk[at + 3]);
        at = chunk.find(header, at);
    }
    return found;
}

void
on_written(uv_write_t *request, int)
{
    delete (Write *)request;
}

} // namespace

int64_t
SharedLink::transmit(int64_t now_ms, size_t size)
{
    free_at_us = std::max(free_at_us, now_ms * US_PER_MS) +
                 (int64_t)size * US_PER_S / rate;
    return free_at_us / US_PER_MS;
}

/* Bytes to be written to an endpoint, not before due_ms. */
struct Chunk {
    int64_t due_ms;
    std::string bytes; /* empty for the end of the stream */
};

/* One endpoint of a proxied connection. */
struct Endpoint {
    uv_tcp_t tcp;
    std::deque<Chunk> pending; /* to be written to this endpoint */
    Proxy::Connection *connection;
    bool is_target;
    bool open = false; /* may be written to */
    bool shut = false;
    bool paused = false; /* not read until the link has transmitted the rest */
};

struct Proxy::Connection {
    Proxy *proxy;
    uint64_t number;
    Endpoint client;
    Endpoint target;
    uv_connect_t connect;
    uv_timer_t timer;
    bool closing = false;
    bool black_hole_in = false;
    bool black_hole_out = false;
    bool held = false;
    std::set<uint32_t> called; /* RPC procedures */
    int handles = 3;

    bool
    is_affected() const
    {
        return !proxy->odd_only || number % 2 == 1;
    }

    bool
    is_blocked(const Endpoint &to) const
    {
        return held || (is_affected() &&
                        (to.is_target ? proxy->active_fault.block_in
                                      : proxy->active_fault.block_out));
    }

    void
    close(bool with_reset)
    {
        if (closing) {
            return;
        }
        closing = true;
        proxy->connections.erase(this);
        if (with_reset) {
            uv_tcp_close_reset(&client.tcp, on_closed);
            uv_tcp_close_reset(&target.tcp, on_closed);
        }
        else {
            uv_close((uv_handle_t *)&client.tcp, on_closed);
            uv_close((uv_handle_t *)&target.tcp, on_closed);
        }
        uv_close((uv_handle_t *)&timer, on_timer_closed);
    }

    static void
    release_handle(Connection *self)
    {
        if (--self->handles == 0) {
            delete self;
        }
    }

    static void
    on_closed(uv_handle_t *handle)
    {
        release_handle(((Endpoint *)handle->data)->connection);
    }

    static void
    on_timer_closed(uv_handle_t *handle)
    {
        release_handle((Connection *)handle->data);
    }

    void
    arm_timer(uint64_t ms)
    {
        if (!uv_is_active((uv_handle_t *)&timer) ||
            uv_timer_get_due_in(&timer) > ms) {
            uv_timer_start(&timer, on_timer, ms, 0);
        }
    }

    /* Resumes reading once the link has transmitted everything read. */
    void
    resume(Endpoint &endpoint)
    {
        if (!closing && endpoint.paused) {
            endpoint.paused = false;
            uv_read_start((uv_stream_t *)&endpoint.tcp, on_alloc, on_read);
        }
    }

    /* Writes the chunks that are due to an endpoint. */
    void
    flush(Endpoint &endpoint)
    {
        int64_t now = (int64_t)uv_now(proxy->loop);

        while (!closing && endpoint.open && !is_blocked(endpoint) &&
               !endpoint.pending.empty()) {
            Chunk &next = endpoint.pending.front();
            if (next.due_ms > now) {
                arm_timer((uint64_t)(next.due_ms - now));
                return;
            }
            if (next.bytes.empty()) {
                close(false);
                return;
            }
            Write *write = new Write;
            write->bytes = std::move(next.bytes);
            endpoint.pending.pop_front();
            uv_buf_t buffer = uv_buf_init(&write->bytes[0],
                                          (unsigned)write->bytes.size());
            if (uv_write(&write->request, (uv_stream_t *)&endpoint.tcp,
                         &buffer, 1, on_written) != 0) {
                delete write;
                close(true);
            }
        }
        if (endpoint.pending.empty()) {
            resume(endpoint.is_target ? client : target);
        }
    }

    static void
    on_timer(uv_timer_t *handle)
    {
        Connection *self = (Connection *)handle->data;

        self->flush(self->client);
        if (!self->closing) {
            self->flush(self->target);
        }
    }

    static void
    on_alloc(uv_handle_t *, size_t, uv_buf_t *buffer)
    {
        static char chunk[CHUNK_BYTES];

        *buffer = uv_buf_init(chunk, CHUNK_BYTES);
    }

    /* Bytes of a black-holed connection are read, as a kernel would accept
     * them for some time, and dropped. The client may close the connection; a
     * close by the target is not forwarded. */
    void
    discard(uv_stream_t *stream, const Endpoint &endpoint, ssize_t count)
    {
        if (count < 0 && endpoint.is_target) {
            uv_read_stop(stream);
        }
        else if (count < 0) {
            close(false);
        }
    }

    void
    note_calls(const std::string &chunk)
    {
        for (uint32_t procedure : procedures_in(chunk)) {
            called.insert(procedure);
            if (!held) {
                proxy->calls[procedure] = (int64_t)uv_now(proxy->loop);
            }
        }
    }

    static void
    on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
    {
        Endpoint *endpoint = (Endpoint *)stream->data;
        Connection *self = endpoint->connection;
        Endpoint &other = endpoint->is_target ? self->client : self->target;
        int64_t due = (int64_t)uv_now(self->proxy->loop);

        if (count == 0) {
            return;
        }
        if (self->is_affected()) {
            due += self->proxy->active_fault.delay_ms;
        }
        if (count > 0 && endpoint->is_target && self->proxy->link != nullptr) {
            due = self->proxy->link->transmit(due, (size_t)count);
            endpoint->paused = true;
            uv_read_stop(stream);
        }
        if (endpoint->is_target ? self->black_hole_out : self->black_hole_in) {
            self->discard(stream, *endpoint, count);
            return;
        }
        if (count > 0 && !endpoint->is_target) {
            self->note_calls(std::string(buffer->base, (size_t)count));
        }
        if (count == UV_ECONNRESET && !self->is_blocked(other)) {
            self->close(true);
            return;
        }
        other.pending.push_back(
            {due, count < 0 ? std::string()
                            : std::string(buffer->base, (size_t)count)});
        if (count < 0) {
            uv_read_stop(stream);
        }
        self->flush(other);
    }

    void
    start_reading(Endpoint &endpoint)
    {
        endpoint.open = true;
        uv_tcp_nodelay(&endpoint.tcp, 1);
        uv_read_start((uv_stream_t *)&endpoint.tcp, on_alloc, on_read);
    }

    static void
    on_connected(uv_connect_t *request, int status)
    {
        Connection *self = (Connection *)request->data;

        if (self->closing) {
            return;
        }
        if (status != 0) {
            self->close(true);
            return;
        }
        self->start_reading(self->target);
        self->flush(self->target);
    }

    void
    init(Endpoint &endpoint, bool is_target)
    {
        uv_tcp_init(proxy->loop, &endpoint.tcp);
        endpoint.tcp.data = &endpoint;
        endpoint.connection = this;
        endpoint.is_target = is_target;
    }
};

Proxy::Proxy(uv_loop_t *event_loop, Address from, Address to)
    : loop(event_loop), target(to)
{
    struct sockaddr_in local = Address_ToSocket(from);

    uv_tcp_init(loop, &listener);
    listener.data = this;
    if (uv_tcp_bind(&listener, (const struct sockaddr *)&local, 0) != 0 ||
        uv_listen((uv_stream_t *)&listener, 512, on_incoming) != 0) {
        fprintf(stderr, "proxy cannot listen on %s\n", Address_Text(from));
        exit(2); /* could not run */
    }
}

void
Proxy::on_incoming(uv_stream_t *listener, int status)
{
    Proxy *self = (Proxy *)listener->data;
    struct sockaddr_in to = Address_ToSocket(self->target);
    Connection *connection;

    if (status != 0) {
        return;
    }
    connection = new Connection;
    connection->proxy = self;
    connection->number = ++self->next_number;
    connection->init(connection->client, false);
    connection->init(connection->target, true);
    uv_timer_init(self->loop, &connection->timer);
    connection->timer.data = connection;
    connection->connect.data = connection;
    self->connections.insert(connection);
    if (uv_accept(listener, (uv_stream_t *)&connection->client.tcp) != 0 ||
        uv_tcp_connect(&connection->connect, &connection->target.tcp,
                       (const struct sockaddr *)&to,
                       Connection::on_connected) != 0) {
        connection->close(true);
        return;
    }
    connection->start_reading(connection->client);
}

void
Proxy::inject(const LinkFault &fault, bool odd_connections)
{
    last_fault_ms = (int64_t)uv_now(loop);
    active_fault = fault;
    odd_only = odd_connections;
}

void
Proxy::heal()
{
    last_fault_ms = (int64_t)uv_now(loop);
    std::set<Connection *> all = connections;
    bool drop_blocked = active_fault.drop_blocked;

    for (Connection *connection : all) {
        if (drop_blocked && connection->is_affected()) {
            connection->close(true);
        }
    }
    active_fault = LinkFault();
    odd_only = false;
    all = connections;
    for (Connection *connection : all) {
        connection->held = false;
        connection->flush(connection->client);
        if (!connection->closing) {
            connection->flush(connection->target);
        }
    }
}

void
Proxy::black_hole(bool in, bool out)
{
    last_fault_ms = (int64_t)uv_now(loop);
    for (Connection *connection : connections) {
        connection->black_hole_in |= in;
        connection->black_hole_out |= out;
        if (in) {
            connection->target.pending.clear();
        }
        if (out) {
            connection->client.pending.clear();
        }
    }
}

size_t
Proxy::hold_callers(uint32_t procedure)
{
    size_t count = 0;

    last_fault_ms = (int64_t)uv_now(loop);
    for (Connection *connection : connections) {
        if (connection->called.count(procedure) > 0) {
            connection->held = true;
            count++;
        }
    }
    return count;
}

int64_t
Proxy::last_call_ms(uint32_t procedure) const
{
    auto found = calls.find(procedure);

    return found == calls.end() ? 0 : found->second;
}

void
Proxy::reset(bool odd_connections)
{
    std::set<Connection *> all = connections;

    for (Connection *connection : all) {
        if (!odd_connections || connection->number % 2 == 1) {
            connection->close(true);
        }
    }
}

} // namespace soak

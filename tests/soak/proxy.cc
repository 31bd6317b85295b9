#include "tests/soak/proxy.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <string>

namespace soak {

namespace {

const size_t CHUNK = 65536;
const int64_t US_PER_MS = 1000;
const int64_t US_PER_S = 1000000;

struct Write {
    uv_write_t request;
    std::string bytes;
};

void
on_written(uv_write_t *request, int)
{
    delete (Write *)request;
}

} // namespace

int64_t
Line::carry(int64_t now_ms, size_t size)
{
    free_at_us = std::max(free_at_us, now_ms * US_PER_MS) +
                 (int64_t)size * US_PER_S / rate;
    return free_at_us / US_PER_MS;
}

/* Bytes on their way to one side. */
struct Piece {
    int64_t due_ms;
    std::string bytes; /* empty for the end of the stream */
};

/* One side of a connection. */
struct Side {
    uv_tcp_t tcp;
    std::deque<Piece> waiting; /* to be written to this side */
    Proxy::Connection *connection;
    bool is_target;
    bool open = false; /* may be written to */
    bool shut = false;
    bool paused = false; /* not read until the line has carried the rest */
};

struct Proxy::Connection {
    Proxy *proxy;
    uint64_t number;
    Side client;
    Side target;
    uv_connect_t connect;
    uv_timer_t timer;
    bool closing = false;
    bool silent_in = false;
    bool silent_out = false;
    int handles = 3;

    bool
    is_harmed() const
    {
        return !proxy->half_only || number % 2 == 1;
    }

    bool
    is_held(const Side &to) const
    {
        return is_harmed() && (to.is_target ? proxy->current.hold_in
                                            : proxy->current.hold_out);
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
    gone(Connection *self)
    {
        if (--self->handles == 0) {
            delete self;
        }
    }

    static void
    on_closed(uv_handle_t *handle)
    {
        gone(((Side *)handle->data)->connection);
    }

    static void
    on_timer_closed(uv_handle_t *handle)
    {
        gone((Connection *)handle->data);
    }

    void
    wake_in(uint64_t ms)
    {
        if (!uv_is_active((uv_handle_t *)&timer) ||
            uv_timer_get_due_in(&timer) > ms) {
            uv_timer_start(&timer, on_timer, ms, 0);
        }
    }

    /* Reads on once the line has carried all of it. */
    void
    resume(Side &side)
    {
        if (!closing && side.paused) {
            side.paused = false;
            uv_read_start((uv_stream_t *)&side.tcp, on_alloc, on_read);
        }
    }

    /* Writes what is due to a side. */
    void
    pump(Side &side)
    {
        int64_t now = (int64_t)uv_now(proxy->loop);

        while (!closing && side.open && !is_held(side) &&
               !side.waiting.empty()) {
            Piece &piece = side.waiting.front();
            if (piece.due_ms > now) {
                wake_in((uint64_t)(piece.due_ms - now));
                return;
            }
            if (piece.bytes.empty()) {
                close(false);
                return;
            }
            Write *write = new Write;
            write->bytes = std::move(piece.bytes);
            side.waiting.pop_front();
            uv_buf_t buffer = uv_buf_init(&write->bytes[0],
                                          (unsigned)write->bytes.size());
            if (uv_write(&write->request, (uv_stream_t *)&side.tcp, &buffer, 1,
                         on_written) != 0) {
                delete write;
                close(true);
            }
        }
        if (side.waiting.empty()) {
            resume(side.is_target ? client : target);
        }
    }

    static void
    on_timer(uv_timer_t *handle)
    {
        Connection *self = (Connection *)handle->data;

        self->pump(self->client);
        if (!self->closing) {
            self->pump(self->target);
        }
    }

    static void
    on_alloc(uv_handle_t *, size_t, uv_buf_t *buffer)
    {
        static char chunk[CHUNK];

        *buffer = uv_buf_init(chunk, CHUNK);
    }

    /* Bytes of a silent connection are taken, as a kernel would for some time,
     * and lost. Who opened it may give it up; the other side's end is not
     * told. */
    void
    lose(uv_stream_t *stream, const Side &side, ssize_t count)
    {
        if (count < 0 && side.is_target) {
            uv_read_stop(stream);
        }
        else if (count < 0) {
            close(false);
        }
    }

    static void
    on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
    {
        Side *side = (Side *)stream->data;
        Connection *self = side->connection;
        Side &other = side->is_target ? self->client : self->target;
        int64_t due = (int64_t)uv_now(self->proxy->loop);

        if (count == 0) {
            return;
        }
        if (self->is_harmed()) {
            due += self->proxy->current.delay_ms;
        }
        if (count > 0 && side->is_target && self->proxy->line != nullptr) {
            due = self->proxy->line->carry(due, (size_t)count);
            side->paused = true;
            uv_read_stop(stream);
        }
        if (side->is_target ? self->silent_out : self->silent_in) {
            self->lose(stream, *side, count);
            return;
        }
        if (count == UV_ECONNRESET && !self->is_held(other)) {
            self->close(true);
            return;
        }
        other.waiting.push_back(
            {due, count < 0 ? std::string()
                            : std::string(buffer->base, (size_t)count)});
        if (count < 0) {
            uv_read_stop(stream);
        }
        self->pump(other);
    }

    void
    start_reading(Side &side)
    {
        side.open = true;
        uv_tcp_nodelay(&side.tcp, 1);
        uv_read_start((uv_stream_t *)&side.tcp, on_alloc, on_read);
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
        self->pump(self->target);
    }

    void
    init(Side &side, bool is_target)
    {
        uv_tcp_init(proxy->loop, &side.tcp);
        side.tcp.data = &side;
        side.connection = this;
        side.is_target = is_target;
    }
};

Proxy::Proxy(uv_loop_t *on, Address from, Address to) : loop(on), target(to)
{
    struct sockaddr_in local = Address_ToSocket(from);

    uv_tcp_init(loop, &listener);
    listener.data = this;
    if (uv_tcp_bind(&listener, (const struct sockaddr *)&local, 0) != 0 ||
        uv_listen((uv_stream_t *)&listener, 512, on_incoming) != 0) {
        fprintf(stderr, "proxy cannot listen on %s\n", Address_Text(from));
        exit(1);
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
Proxy::harm(const Harm &harm, bool half)
{
    troubled_ms = (int64_t)uv_now(loop);
    current = harm;
    half_only = half;
}

void
Proxy::heal()
{
    troubled_ms = (int64_t)uv_now(loop);
    std::set<Connection *> all = connections;
    bool lose = current.lose;

    for (Connection *connection : all) {
        if (lose && connection->is_harmed()) {
            connection->close(true);
        }
    }
    current = Harm();
    half_only = false;
    all = connections;
    for (Connection *connection : all) {
        connection->pump(connection->client);
        if (!connection->closing) {
            connection->pump(connection->target);
        }
    }
}

void
Proxy::silence(bool in, bool out)
{
    troubled_ms = (int64_t)uv_now(loop);
    for (Connection *connection : connections) {
        connection->silent_in |= in;
        connection->silent_out |= out;
        if (in) {
            connection->target.waiting.clear();
        }
        if (out) {
            connection->client.waiting.clear();
        }
    }
}

void
Proxy::reset(bool half)
{
    std::set<Connection *> all = connections;

    for (Connection *connection : all) {
        if (!half || connection->number % 2 == 1) {
            connection->close(true);
        }
    }
}

} // namespace soak

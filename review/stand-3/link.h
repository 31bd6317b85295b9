/**
 * A link between two processes: a TCP proxy on loopback that can be cut. While
 * it is cut it passes no byte on, and new connections get no answer, as behind
 * a partition of the network; what was sent goes on when it heals.
 */
#ifndef REVIEW_LINK_H
#define REVIEW_LINK_H

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <cstdio>
#include <cstdlib>
#include <set>
#include <vector>

extern "C" {
#include "base/address.h"
}

class Link {
  public:
    Link(uv_loop_t *event_loop, Address from_address, Address to_address)
        : loop(event_loop), from(Address_ToSocket(from_address)),
          to(Address_ToSocket(to_address))
    {
        open_listener();
    }

    void
    cut()
    {
        if (is_cut) {
            return;
        }
        is_cut = true;
        for (Pair *pair : pairs) {
            uv_read_stop((uv_stream_t *)&pair->ends[0].tcp);
            uv_read_stop((uv_stream_t *)&pair->ends[1].tcp);
        }
        uv_close((uv_handle_t *)listener,
                 [](uv_handle_t *handle) { delete (uv_tcp_t *)handle; });
        block();
    }

    void
    heal()
    {
        if (!is_cut) {
            return;
        }
        is_cut = false;
        for (int fd : blockers) {
            close(fd);
        }
        blockers.clear();
        open_listener();
        for (Pair *pair : pairs) {
            for (End &end : pair->ends) {
                if (pair->connected && !pair->closing) {
                    uv_read_start((uv_stream_t *)&end.tcp, allocate, on_read);
                }
            }
        }
    }

  private:
    struct Pair;
    struct End {
        uv_tcp_t tcp;
        Pair *pair;
        End *other;
    };
    struct Pair {
        Link *link;
        End ends[2];
        uv_connect_t connect;
        bool connected = false;
        bool closing = false;
        int open = 2;
    };
    struct Write {
        uv_write_t request;
        std::vector<char> bytes;
    };

    /* A full queue of new connections drops the opening packet. */
    void
    block()
    {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;

        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        if (bind(fd, (struct sockaddr *)&from, sizeof(from)) != 0 ||
            listen(fd, 0) != 0) {
            fprintf(stderr, "cannot block a link\n");
            exit(2);
        }
        blockers.push_back(fd);
        for (int i = 0; i < 3; i++) {
            int filler = socket(AF_INET,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            if (connect(filler, (struct sockaddr *)&from, sizeof(from)) == 0) {
                /* connected at once */
            }
            blockers.push_back(filler);
        }
    }

    void
    open_listener()
    {
        listener = new uv_tcp_t;
        uv_tcp_init(loop, listener);
        listener->data = this;
        if (uv_tcp_bind(listener, (struct sockaddr *)&from, 0) != 0 ||
            uv_listen((uv_stream_t *)listener, 512, on_incoming) != 0) {
            fprintf(stderr, "cannot open a link\n");
            exit(2);
        }
    }

    static void
    allocate(uv_handle_t *, size_t, uv_buf_t *buffer)
    {
        static char chunk[65536];

        *buffer = uv_buf_init(chunk, sizeof(chunk));
    }

    static void
    end_pair(Pair *pair)
    {
        if (pair->closing) {
            return;
        }
        pair->closing = true;
        pair->link->pairs.erase(pair);
        for (End &end : pair->ends) {
            uv_close((uv_handle_t *)&end.tcp, [](uv_handle_t *handle) {
                Pair *closed = ((End *)handle->data)->pair;
                if (--closed->open == 0) {
                    delete closed;
                }
            });
        }
    }

    static void
    on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
    {
        End *end = (End *)stream->data;

        if (count < 0) {
            end_pair(end->pair);
            return;
        }
        if (count > 0) {
            Write *write = new Write;
            write->bytes.assign(buffer->base, buffer->base + count);
            uv_buf_t out = uv_buf_init(write->bytes.data(),
                                       (unsigned)write->bytes.size());
            uv_write(
                &write->request, (uv_stream_t *)&end->other->tcp, &out, 1,
                [](uv_write_t *request, int) { delete (Write *)request; });
        }
    }

    static void
    on_connected(uv_connect_t *connect, int status)
    {
        Pair *pair = (Pair *)connect->data;

        if (pair->closing) {
            return;
        }
        if (status != 0) {
            end_pair(pair);
            return;
        }
        pair->connected = true;
        for (End &end : pair->ends) {
            if (!pair->link->is_cut) {
                uv_read_start((uv_stream_t *)&end.tcp, allocate, on_read);
            }
        }
    }

    static void
    on_incoming(uv_stream_t *stream, int status)
    {
        Link *self = (Link *)stream->data;

        if (status != 0) {
            return;
        }
        Pair *pair = new Pair;
        pair->link = self;
        for (int i = 0; i < 2; i++) {
            uv_tcp_init(self->loop, &pair->ends[i].tcp);
            pair->ends[i].tcp.data = &pair->ends[i];
            pair->ends[i].pair = pair;
            pair->ends[i].other = &pair->ends[1 - i];
        }
        pair->connect.data = pair;
        self->pairs.insert(pair);
        if (uv_accept(stream, (uv_stream_t *)&pair->ends[0].tcp) != 0 ||
            uv_tcp_connect(&pair->connect, &pair->ends[1].tcp,
                           (struct sockaddr *)&self->to, on_connected) != 0) {
            end_pair(pair);
        }
    }

    uv_loop_t *loop;
    struct sockaddr_in from;
    struct sockaddr_in to;
    uv_tcp_t *listener = nullptr;
    bool is_cut = false;
    std::set<Pair *> pairs;
    std::vector<int> blockers;
};

#endif

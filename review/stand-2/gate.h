/**
 * @file gate.h
 * @brief A TCP proxy on loopback that can cut some of its connections off, as
 * a partition does: their bytes are held and delivered when the cut is over.
 */
#ifndef REVIEW_GATE_H
#define REVIEW_GATE_H

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/address.h"
}

namespace review {

class Gate {
  public:
    /** Whether a connection belongs to the cut, told by its first bytes. */
    using Classifier = std::function<bool(const std::string &first)>;

    /** @p hangs: new connections hang in a cut, as to a machine that is cut
     * off; otherwise they are accepted and their bytes held. */
    Gate(uv_loop_t *event_loop, Address from, Address to,
         Classifier belongs_to_cut, bool hangs = false)
        : loop(event_loop), target(to), local(Address_ToSocket(from)),
          classify(std::move(belongs_to_cut)), may_hang(hangs)
    {
        int yes = 1;

        listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                          0);
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        if (bind(listener, (const struct sockaddr *)&local, sizeof(local)) !=
                0 ||
            listen(listener, 512) != 0) {
            fprintf(stderr, "cannot listen on %s\n", Address_Text(from));
            exit(2);
        }
        uv_poll_init(loop, &incoming, listener);
        incoming.data = this;
        uv_poll_start(&incoming, UV_READABLE, on_incoming);
    }

    /** Begins the cut, or ends it: then held bytes are delivered. */
    void
    set_cut(bool on)
    {
        cut = on;
        if (may_hang) {
            hang(on);
        }
        std::set<Link *> all = links;
        for (Link *link : all) {
            if (!cut) {
                link->flush();
            }
        }
    }

  private:
    struct Link;
    struct End {
        uv_tcp_t tcp;
        Link *link;
        bool is_target;
        bool ready = false;
        std::string pending; /* to be written to this end */
        bool ended = false;  /* the other end has closed */
    };
    struct Write {
        uv_write_t request;
        std::string bytes;
    };
    struct Link {
        Gate *gate;
        End client;
        End target;
        uv_connect_t connect;
        std::string first;
        bool known = false;
        bool in_cut = false;
        bool closing = false;
        int handles = 2;

        bool
        held() const
        {
            return gate->cut && (!known || in_cut);
        }

        void
        flush_end(End &end)
        {
            if (closing || !end.ready || held()) {
                return;
            }
            if (!end.pending.empty()) {
                Write *write = new Write;
                write->bytes.swap(end.pending);
                uv_buf_t buffer = uv_buf_init(&write->bytes[0],
                                              (unsigned)write->bytes.size());
                uv_write(&write->request, (uv_stream_t *)&end.tcp, &buffer, 1,
                         [](uv_write_t *request, int) {
                             delete (Write *)request;
                         });
            }
            if (end.ended) {
                close();
            }
        }

        void
        flush()
        {
            flush_end(client);
            flush_end(target);
        }

        void
        close()
        {
            if (closing) {
                return;
            }
            closing = true;
            gate->links.erase(this);
            for (End *end : {&client, &target}) {
                uv_close((uv_handle_t *)&end->tcp, [](uv_handle_t *handle) {
                    Link *link = ((End *)handle->data)->link;
                    if (--link->handles == 0) {
                        delete link;
                    }
                });
            }
        }
    };

    static void
    on_alloc(uv_handle_t *, size_t, uv_buf_t *buffer)
    {
        static char bytes[65536];
        *buffer = uv_buf_init(bytes, sizeof(bytes));
    }

    static void
    on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
    {
        End *end = (End *)stream->data;
        Link *link = end->link;
        End &other = end->is_target ? link->client : link->target;

        if (count < 0) {
            uv_read_stop(stream);
            other.ended = true;
        }
        else {
            other.pending.append(buffer->base, (size_t)count);
            if (!end->is_target && !link->known) {
                link->first.append(buffer->base, (size_t)count);
                if (link->first.size() >= FIRST_BYTES) {
                    link->known = true;
                    link->in_cut = link->gate->classify(link->first);
                }
            }
        }
        link->flush_end(other);
    }

    static void
    start(End &end)
    {
        end.ready = true;
        uv_tcp_nodelay(&end.tcp, 1);
        uv_read_start((uv_stream_t *)&end.tcp, on_alloc, on_read);
    }

    /* The queue of new connections is filled up with own ones and not read:
     * the system drops the opening packets of all others. */
    void
    hang(bool on)
    {
        if (!on) {
            for (int filler : fillers) {
                close(filler);
            }
            fillers.clear();
            listen(listener, 512);
            uv_poll_start(&incoming, UV_READABLE, on_incoming);
            return;
        }
        uv_poll_stop(&incoming);
        listen(listener, 0);
        for (int i = 0; i < 3; i++) {
            int filler = socket(AF_INET,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            connect(filler, (const struct sockaddr *)&local, sizeof(local));
            fillers.push_back(filler);
        }
    }

    static void
    on_incoming(uv_poll_t *poll, int status, int)
    {
        Gate *self = (Gate *)poll->data;
        int accepted = status != 0
                           ? -1
                           : accept4(self->listener, nullptr, nullptr,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC);

        if (accepted >= 0) {
            self->begin_link(accepted);
        }
    }

    void
    begin_link(int accepted)
    {
        Gate *self = this;
        struct sockaddr_in to = Address_ToSocket(target);
        Link *link = new Link;

        link->gate = self;
        for (End *end : {&link->client, &link->target}) {
            uv_tcp_init(self->loop, &end->tcp);
            end->tcp.data = end;
            end->link = link;
        }
        link->client.is_target = false;
        link->target.is_target = true;
        link->connect.data = link;
        self->links.insert(link);
        if (uv_tcp_open(&link->client.tcp, accepted) != 0 ||
            uv_tcp_connect(&link->connect, &link->target.tcp,
                           (const struct sockaddr *)&to,
                           [](uv_connect_t *request, int result) {
                               Link *connected = (Link *)request->data;
                               if (connected->closing) {
                                   return;
                               }
                               if (result != 0) {
                                   connected->close();
                                   return;
                               }
                               start(connected->target);
                               connected->flush();
                           }) != 0) {
            link->close();
            return;
        }
        start(link->client);
    }

    /* Record mark, header of a call and the address of its sender. */
    static const size_t FIRST_BYTES = 52;

    uv_loop_t *loop;
    Address target;
    struct sockaddr_in local;
    Classifier classify;
    bool may_hang;
    int listener;
    uv_poll_t incoming;
    std::vector<int> fillers;
    std::set<Link *> links;
    bool cut = false;
};

} // namespace review

#endif

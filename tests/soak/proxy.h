/**
 * @file proxy.h
 * @brief A TCP proxy on loopback that injects network faults.
 */
#ifndef LC_TESTS_SOAK_PROXY_H
#define LC_TESTS_SOAK_PROXY_H

#include <uv.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

extern "C" {
#include "base/address.h"
}

namespace soak {

/** A network fault of a proxy. */
struct LinkFault {
    bool block_in = false;     /**< holds bytes to the target until healed */
    bool block_out = false;    /**< the same for bytes from the target */
    bool drop_blocked = false; /**< healing resets the connections, so that
                         held bytes are lost */
    int64_t delay_ms = 0;      /**< delay of each chunk, ms */
};

/** A link of limited bandwidth that the connections of several proxies share.
 * Each connection has one chunk on it at a time, so that all get the same
 * bandwidth. */
class SharedLink {
  public:
    explicit SharedLink(int64_t bytes_per_s) : rate(bytes_per_s)
    {
    }

    /** Transmits @p size bytes that arrive at @p now_ms; returns the time in
     * ms at which the last of them has passed. */
    int64_t transmit(int64_t now_ms, size_t size);

  private:
    int64_t rate;
    int64_t free_at_us = 0;
};

/** Accepts connections at @p from and forwards them to @p to. */
class Proxy {
  public:
    Proxy(uv_loop_t *loop, Address from, Address to);

    /** Injects a fault into all connections, or only into those with odd
     * numbers. */
    void inject(const LinkFault &fault, bool odd_connections);
    /** Sends all bytes from the target over a shared link from now on. */
    void
    limit_responses(std::shared_ptr<SharedLink> shared_link)
    {
        link = std::move(shared_link);
    }
    /** Drops all further bytes of the connections that are open now, in the
     * given directions, without closing them; new connections work. */
    void black_hole(bool in, bool out);
    /** Holds all further bytes of the connections that are open now and over
     * which an RPC procedure was called, in both directions, until healed; new
     * connections work. Returns the number of connections. */
    size_t hold_callers(uint32_t procedure);
    /** Loop time of the last call of an RPC procedure over a connection that
     * is not held; 0 for none. */
    int64_t last_call_ms(uint32_t procedure) const;
    /** Ends the fault; black-holed connections stay so. */
    void heal();
    /** Resets all connections, or those with odd numbers. */
    void reset(bool odd_connections);

    /** Loop time of the last change of its faults; resets do not count. */
    int64_t last_fault_ms = 0;

    struct Connection;

  private:
    static void on_incoming(uv_stream_t *listener, int status);

    friend struct Connection;
    uv_loop_t *loop;
    Address target;
    uv_tcp_t listener;
    std::set<Connection *> connections;
    std::map<uint32_t, int64_t>
        calls; /* loop time of the last, by procedure */
    uint64_t next_number = 0;
    LinkFault active_fault;
    std::shared_ptr<SharedLink> link;
    bool odd_only = false;
};

} // namespace soak

#endif

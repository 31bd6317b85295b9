/**
 * @file proxy.h
 * @brief A TCP proxy on loopback that harms what passes through it.
 */
#ifndef LC_TESTS_SOAK_PROXY_H
#define LC_TESTS_SOAK_PROXY_H

#include <uv.h>

#include <cstdint>
#include <memory>
#include <set>
#include <vector>

extern "C" {
#include "base/address.h"
}

namespace soak {

/** What a proxy does to bytes. */
struct Harm {
    bool hold_in = false;  /**< towards the target: held up until it ends */
    bool hold_out = false; /**< away from the target */
    bool lose = false;     /**< what was held is lost with its connections */
    int64_t delay_ms = 0;  /**< of each piece of bytes */
};

/** A line of limited rate, shared by the connections of several proxies: each
 * has one chunk of bytes on it at a time, so that all get as much. */
class Line {
  public:
    explicit Line(int64_t bytes_per_s) : rate(bytes_per_s)
    {
    }

    /** Takes @p size bytes that come at @p now_ms; returns when they have
     * passed. */
    int64_t carry(int64_t now_ms, size_t size);

  private:
    int64_t rate;
    int64_t free_at_us = 0;
};

/** Passes connections of @p from on to @p to. */
class Proxy {
  public:
    Proxy(uv_loop_t *loop, Address from, Address to);

    /** Harms all connections, or those with odd numbers alone. */
    void harm(const Harm &harm, bool half);
    /** Sends what leaves the target over a line from now on. */
    void
    answer_over(std::shared_ptr<Line> wanted)
    {
        line = std::move(wanted);
    }
    /** All connections open now pass nothing more that way, for good and
     * without a word; new ones work. */
    void silence(bool in, bool out);
    /** Passes everything on again, but over connections that were silenced. */
    void heal();
    /** Resets all connections, or about half of them. */
    void reset(bool half);

    int64_t troubled_ms = 0; /**< when anything was last done to it */

    struct Connection;

  private:
    static void on_incoming(uv_stream_t *listener, int status);

    friend struct Connection;
    uv_loop_t *loop;
    Address target;
    uv_tcp_t listener;
    std::set<Connection *> connections;
    uint64_t next_number = 0;
    Harm current;
    std::shared_ptr<Line> line;
    bool half_only = false;
};

} // namespace soak

#endif

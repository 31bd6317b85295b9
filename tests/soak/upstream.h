/**
 * @file upstream.h
 * @brief A stand-in upstream that speaks as the platform's do, around the
 * model of tests/lease_upstream.h.
 */
#ifndef LC_TESTS_SOAK_UPSTREAM_H
#define LC_TESTS_SOAK_UPSTREAM_H

#include <uv.h>

#include <string>
#include <vector>

#include "tests/lease_upstream.h"

extern "C" {
#include "daemon/http_server.h"
#include "platform/http_client.h"
}

namespace soak {

/** Capacity of each stand-in. */
extern const lc_resources UPSTREAM_CAPACITY;

/** One upstream beside one companion. */
class Upstream {
  public:
    lease::Upstream model;

    /** Serves orders at @p address and beats at @p companion. */
    Upstream(uv_loop_t *loop, Http_Client *client, std::string name,
             Address address, Address companion);

    void crash();
    void come_up();

    bool late_orders = false; /**< one in three is done seconds later */
    int64_t late_ms = 0;      /**< when that was so last */
    const std::string name;

  private:
    struct Waiting {
        uint64_t request;
        int64_t until_ms;
        Runner_Look look;
        std::string instance;
    };

    static void serve(void *context, const Http_Request *request);
    static void on_tick(uv_timer_t *timer);
    static void on_beat(uv_timer_t *timer);
    static void on_beat_answer(void *context, const Http_ClientAnswer *answer);
    static void on_late(uv_timer_t *timer);
    void send_beat(const std::string &instance, uint64_t number,
                   int64_t clock_ms, int64_t born_ms);
    void handle(uint64_t request, const std::string &path,
                const std::string &body, const std::string &expected);
    bool answer_look(Waiting &waiting);
    void respond(uint64_t request, Runner_OrderEnd end,
                 const std::string &more);
    int64_t
    now() const
    {
        return (int64_t)uv_now(loop) - begin_ms;
    }

    uv_loop_t *loop;
    Http_Client *client;
    Http_Server *server;
    Address companion;
    uv_timer_t tick;
    uv_timer_t beat;
    int64_t begin_ms;
    uint64_t beats = 0;
    std::string dead; /**< its last heartbeat is still on its way */
    int64_t dead_born = 0;
    uint64_t dead_beats = 0;
    int beats_since = 0;
    uint32_t lives = 0;
    std::vector<Waiting> waiting;
};

} // namespace soak

#endif

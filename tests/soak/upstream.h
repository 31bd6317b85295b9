/**
 * @file upstream.h
 * @brief A stand-in upstream with the platform's HTTP interface, around the
 * model of tests/upstream_model.h.
 */
#ifndef LC_TESTS_SOAK_UPSTREAM_H
#define LC_TESTS_SOAK_UPSTREAM_H

#include <uv.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "tests/upstream_model.h"

extern "C" {
#include "daemon/http_server.h"
#include "platform/http_client.h"
}

namespace soak {

/** Capacity of each stand-in. */
extern const lc_resources UPSTREAM_CAPACITY;

/** What a heartbeat of another writer reports in place of the upstream's own
 * values. */
struct OddHeartbeat {
    const char *name;
    uint64_t sequence_ahead; /**< of the upstream's last one */
    int64_t clock_ahead_ms;  /**< of the upstream's clock */
    int64_t born_ms;         /**< 0: as the upstream */
    uint32_t cpu_milli;      /**< 0: as the upstream */
    std::string more;        /**< JSON text of further members, or "" */
};

/** The upstream of one companion. */
class Upstream {
  public:
    lease::Upstream model;

    /** Serves orders at @p address and sends heartbeats to @p companion. */
    Upstream(uv_loop_t *loop, HttpClient *client, std::string name,
             Address address, Address companion);

    void crash();
    void start_incarnation();
    /** Ends what has ended by now. */
    void
    advance()
    {
        model.advance(now());
    }
    /** Sends a heartbeat of another writer to the upstream's companion, under
     * the upstream's id or, if not empty, under @p instance. */
    void send_odd_heartbeat(const OddHeartbeat &odd,
                            const std::string &instance);

    /** Called for each start that arrives, before it is handled; returns
     * whether it is lost instead. */
    std::function<bool()> loses_start;
    /** Called for each start that arrives, before it is handled; returns
     * whether it is kept for execute_kept_start() instead. */
    std::function<bool()> keeps_start;
    /** Executes the start that was kept last, late and without an answer. */
    void execute_kept_start();
    bool delay_orders = false;  /**< one order in three is executed 1 to 4 s
                                   late and not answered */
    bool ignores_stops = false; /**< stops are neither executed nor answered */
    std::set<uint64_t> ignored_stops; /**< jobs whose stops were ignored */
    int64_t last_delayed_ms =
        0; /**< loop time at which delay_orders was last set */
    const std::string name;

  private:
    struct PendingPoll {
        uint64_t request;
        int64_t until_ms;
        Runner_Poll poll;
        std::string instance;
    };

    struct KeptStart {
        std::string body;
        std::string expected;
    };

    static void serve(void *context, const HttpServer_Request *request);
    static void on_tick(uv_timer_t *timer);
    static void on_heartbeat(uv_timer_t *timer);
    static void on_heartbeat_answer(void *context,
                                    const HttpClient_Answer *answer);
    static void on_delayed_order(uv_timer_t *timer);
    void send_heartbeat(const std::string &instance, uint64_t number,
                        int64_t clock_ms, int64_t born_ms);
    void send_body(const std::string &instance, const std::string &body);
    void handle(uint64_t request, const std::string &path,
                const std::string &body, const std::string &expected);
    bool answer_poll(PendingPoll &pending);
    void respond(uint64_t request, Runner_OrderResult result,
                 const std::string &extra_fields);
    int64_t
    now() const
    {
        return (int64_t)uv_now(loop) - begin_ms;
    }

    uv_loop_t *loop;
    HttpClient *client;
    Http_Server *server;
    Address companion;
    uv_timer_t tick;
    uv_timer_t heartbeat_timer;
    int64_t begin_ms;
    uint64_t heartbeats = 0;
    std::string crashed_instance; /**< instance whose last heartbeat is sent
                                         late; empty if none */
    int64_t crashed_born_ms = 0;
    uint64_t crashed_heartbeats = 0;
    int heartbeats_since_crash = 0;
    uint32_t incarnations = 0;
    std::vector<PendingPoll> pending_polls;
    KeptStart kept_start;
};

} // namespace soak

#endif

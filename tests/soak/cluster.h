/**
 * @file cluster.h
 * @brief A cluster on loopback for the soak and the scenarios: real
 * `levercoved` processes, stand-ins of the store and the upstreams, proxies,
 * and callers that submit jobs, all driven by one event loop.
 */
#ifndef LC_TESTS_SOAK_CLUSTER_H
#define LC_TESTS_SOAK_CLUSTER_H

#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/soak/checker.h"
#include "tests/soak/process.h"
#include "tests/soak/proxy.h"
#include "tests/soak/store.h"
#include "tests/soak/upstream.h"

namespace soak {

/** Addresses at which the processes listen; values are port offsets. Every
 * process has its own IP address. */
enum class Port {
    Rpc,
    RpcListen,
    Admin,
    Callers,
    Ready,
    Heartbeats,
    Upstream,
    UpstreamProxy,
    Store
};

/** Settings of a cluster. */
struct ClusterSettings {
    int entries = 3;
    int companions = 6;
    int base_port = 21000;
    std::string program; /**< path of levercoved */
    std::string folder;  /**< for the processes' settings and logs */
    bool verbose = false;
    uint64_t seed = 1;
    /** Nothing listens at the seeds' addresses. */
    bool seeds_unreachable = false;
    /** Durable jobs have a queue of their own, which can be removed. */
    bool durable_queue = false;
    double link_mbps = 0; /**< Mbit/s, in the settings of the first entry;
                               0 leaves it out */
};

/** One cluster; it is never freed. */
class Cluster {
  public:
    explicit Cluster(const ClusterSettings &settings);

    void start();
    /** Runs the final checks, kills all processes and stops the loop. */
    void finish();
    /** Ends all faults of stand-ins, proxies and processes. */
    void heal();

    /** Closes one of the three halls, or opens it again, as operators do. */
    void set_hall_closed(int hall, bool closed);
    /** Publishes the next version of the routes, as operators do. */
    void publish_routes();
    /** Removes the queue of the durable jobs, or puts it back. */
    void set_durable_queue(bool exists);
    /** Adds @p count unused queues to all versions of the routes from the next
     * one on. */
    void
    add_idle_queues(int count)
    {
        idle_queues += count;
    }
    /** From now on, the answers of the store to an entry and those of all
     * other entries share a link of this bandwidth. */
    void limit_bandwidth(int entry, int64_t bytes_per_s);
    /** Checks that every entry has applied the newest routes. */
    void check_routes_applied();

    /** Submits a new job at a random entry, or at target_entry; returns its
     * id. With @p may_hang_up, one attempt in 20 hangs up early. */
    uint64_t submit_job(uint32_t tasks, uint32_t cpu_milli, int64_t work_ms,
                        bool may_hang_up);

    /** Submits a job again, at target_entry. */
    void
    resubmit_job(uint64_t id)
    {
        send_attempt(id, false);
    }

    /** Submits a new durable job in the same way and queries its state
     * periodically until it has ended. */
    uint64_t submit_durable_job(uint32_t tasks, uint32_t cpu_milli,
                                int64_t work_ms);

    /** ms since the cluster was created. */
    int64_t
    now() const
    {
        return (int64_t)uv_now(loop) - begin_ms;
    }
    uint32_t random_below(uint32_t below);
    /** Records a fault or change for the figures; prints it if verbose. */
    void log_event(const std::string &text);
    void run_after(int64_t ms, std::function<void()> run) const;
    std::vector<Proxy *> proxies();
    /** The proxies in front of one kind of process: "entries", "companions",
     * "upstreams" or "store". */
    std::vector<Proxy *> proxies_of(const std::string &kind);
    /** The proxy through which an entry reaches the store. */
    Proxy *
    store_proxy(int entry)
    {
        return store_proxies[(size_t)entry].get();
    }
    std::vector<Process *> processes();
    /** Where a process itself listens, behind its proxy. */
    Address entry_address(int index, Port port) const;
    Address companion_address(int index, Port port) const;

    ClusterSettings settings;
    uv_loop_t *loop;
    Checker checker;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Process>> entries;
    std::vector<std::unique_ptr<Process>> companions;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    /** Answers to the attempts sent in one second, and the faults and changes
     * of that second. */
    struct SecondStats {
        int sent = 0;
        int done = 0;
        int refused = 0;         /**< 429 and 503 */
        int given_up = 0;        /**< 502 and 504 */
        int none = 0;            /**< no answer */
        int64_t response_ms = 0; /**< sum over the jobs done */
        int64_t ideal_ms = 0;    /**< sum of the work of the same jobs */
        std::vector<std::string> faults;
    };
    std::map<int64_t, SecondStats> seconds;
    /** Writes all seconds as JSON lines, for scripts/report.sh. */
    void write_figures(const std::string &file) const;

    uint64_t jobs = 0;
    bool submissions_stopped = false; /**< callers send no further attempts */
    int target_entry = -1; /**< all callers submit here; -1: at a random one */
    int64_t caller_timeout_ms = 2500; /**< callers hang up after this time
                                           without an answer */
    int64_t resubmit_ms = 1300; /**< callers come again after this time */
    int64_t again_after_refusal_ms = 0; /**< callers submit a refused job again
                                             after this time; 0: never */
    int64_t max_response_ms = 0;        /**< longest time to an answer */

  private:
    std::string address_text(int host, Port port) const;
    Address address(int host, Port port) const;
    std::string common_settings(const char *role, int host) const;
    std::string limits_settings(int entry) const;
    void create_processes();
    void connect_checker();
    void check_closed_hall(int companion);
    char queue_of(const Job &job) const;
    void send_attempt(uint64_t id, bool may_hang_up);
    void finish_on_signal(uv_signal_t *handle, int number);

    struct Attempt;
    void count_answer(const Attempt &attempt, const Job &job,
                      const Answer &answer);
    static void on_answer(void *context, const HttpClient_Answer *http);
    void query_state(uint64_t id);
    static void on_state_answer(void *context, const HttpClient_Answer *http);

    int64_t begin_ms;
    uint64_t random_state;
    HttpClient *client;
    std::vector<std::unique_ptr<Proxy>> entry_proxies;
    std::vector<std::unique_ptr<Proxy>> companion_proxies;
    std::vector<std::unique_ptr<Proxy>> upstream_proxies;
    std::vector<std::unique_ptr<Proxy>> store_proxies;
    int64_t routes_version = 0;
    int idle_queues = 0;
    bool durable_queue_exists = true;
    std::map<int, int64_t> closed_since; /* loop time in ms, by closed hall */
    uv_signal_t terminate;
    uv_signal_t interrupt;
};

} // namespace soak

#endif

/**
 * @file cluster.h
 * @brief Real processes, stand-ins and proxies on loopback, in one loop, with
 * callers that hand jobs in. The soak and the scenarios are played on it.
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

/** Settings of a cluster. */
struct Shape {
    int entries = 3;
    int companions = 6;
    int base_port = 21000;
    std::string program; /**< levercoved */
    std::string folder;  /**< for settings and logs */
    bool verbose = false;
    uint64_t seed = 1;
    bool seeds_gone = false; /**< nobody is at the seeds' addresses */
    double link_mbps = 0;    /**< of the first entry, as its settings tell; 0:
                                  they do not */
};

/** One cluster; lives as long as the process. */
class Cluster {
  public:
    explicit Cluster(const Shape &shape);

    void start();
    /** Ends all processes, then the loop. */
    void finish();
    /** Stand-ins, proxies and processes are well again. */
    void heal();

    /** Operators close one of the three halls, or open it again. */
    void put_hall(int hall, bool closed);
    /** Operators write the next version of the routes. */
    void put_routes();
    /** So many queues besides, that nobody uses, from the next version on. */
    void
    add_idle_queues(int count)
    {
        idle_queues += count;
    }
    /** All that other hosts send to an entry passes one line from now on. */
    void narrow(int entry, int64_t bytes_per_s);
    /** Every entry must know the newest routes by now. */
    void probe_routes();

    /** Makes a job and hands it in at a random entry; @p leaves says whether
     * some callers hang up early. */
    uint64_t hand_in(uint32_t tasks, uint32_t cpu_milli, int64_t work_ms,
                     bool leaves);

    /** The same for a job that must be kept, which is looked at from time to
     * time until it is over. */
    uint64_t hand_in_kept(uint32_t tasks, uint32_t cpu_milli, int64_t work_ms);

    /** ms since the cluster was made. */
    int64_t
    now() const
    {
        return (int64_t)uv_now(loop) - begin_ms;
    }
    uint32_t pick(uint32_t below);
    /** Notes what is done to the cluster, and prints it if wanted. */
    void say(const std::string &text);
    void after(int64_t ms, std::function<void()> run) const;
    std::vector<Proxy *> proxies();
    /** Before one kind of address: "entries", "companions", "upstreams" or
     * "store". */
    std::vector<Proxy *> proxies_of(const std::string &kind);
    /** Before the store, as one entry sees it. */
    Proxy *
    store_path(int entry)
    {
        return store_paths[(size_t)entry].get();
    }
    std::vector<Process *> processes();

    Shape shape;
    uv_loop_t *loop;
    Checker checker;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Process>> entries;
    std::vector<std::unique_ptr<Process>> companions;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    /** What callers saw in one second, and what was done to the cluster. */
    struct Second {
        int sent = 0;
        int done = 0;
        int refused = 0;         /**< 429 and 503 */
        int given_up = 0;        /**< 502 and 504 */
        int none = 0;            /**< no answer */
        int64_t response_ms = 0; /**< sum over those done */
        int64_t ideal_ms = 0;    /**< sum of their work */
        std::vector<std::string> faults;
    };
    std::map<int64_t, Second> seconds;
    /** Writes all seconds as JSON lines. */
    void write_figures(const std::string &file) const;

    uint64_t jobs = 0;
    bool over = false;      /**< callers send nothing again */
    int only_entry = -1;    /**< all callers come to this one; -1: to any */
    int64_t slowest_ms = 0; /**< of all attempts that were answered */

  private:
    std::string place(int host, int port) const;
    Address address(int host, int port) const;
    std::string common(const char *role, int host) const;
    std::string limits(int entry) const;
    void set_up();
    void watch_upstreams();
    void check_hall(int companion);
    void submit(uint64_t id, bool leaves);
    void end_on(uv_signal_t *handle, int number);

    struct Attempt;
    void note(const Attempt &attempt, const Job &job, const Answer &answer);
    static void on_answer(void *context, const Http_ClientAnswer *http);
    void look(uint64_t id);
    static void on_look(void *context, const Http_ClientAnswer *http);

    int64_t begin_ms;
    uint64_t random_state;
    Http_Client *client;
    std::vector<std::unique_ptr<Proxy>> entry_rpc;
    std::vector<std::unique_ptr<Proxy>> companion_rpc;
    std::vector<std::unique_ptr<Proxy>> upstream_app;
    std::vector<std::unique_ptr<Proxy>> store_paths;
    int64_t version = 0;
    int idle_queues = 0;
    std::map<int, int64_t> closed_since; /* halls that are */
    uv_signal_t terminate;
    uv_signal_t interrupt;
};

} // namespace soak

#endif

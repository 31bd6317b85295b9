/**
 * @file lease_sim_state.h
 * @brief Internals of the simulation of leased jobs: nodes, links, callers and
 * the store.
 *
 * Included by the sources of the simulation only.
 */
#ifndef LC_TESTS_LEASE_SIM_STATE_H
#define LC_TESTS_LEASE_SIM_STATE_H

#include <deque>
#include <tuple>

#include "tests/lease_sim.h"

namespace lease {

const int64_t LINK_DELAY_MS = 1;
const int64_t TICK_MS = 50;
const int64_t ORDER_TIMEOUT_MS = 150;
const int64_t RESUBMIT_MS = 1300;
const int64_t DEADLINE_MS = 1500;
const int64_t MAX_SUBMISSIONS = 3;
const uint32_t TASK_MEMORY_MB = 64;
/* Ids of durable jobs start here. */
const uint64_t FIRST_DURABLE_ID = 1000000;
const uint64_t DURABLE_CALL_BIT = 1ULL << 62;
/* Upper bound on the delay of a late order to an upstream. */
const int64_t MAX_ORDER_DELAY_MS = 5000;
const uint32_t MAX_ATTEMPTS = 3;
/* Offset of the wall clock from simulated time. */
const int64_t WALL_OFFSET_MS = 1700000000000;
/* Bandwidth of the first entry's link in a plan with slow_link: about ten jobs
 * a second if they are forwarded. */
const double SLOW_LINK_MBPS = 0.09;
/* Links to entries are numbered from here, links to companions from 0. */
const uint32_t ENTRY_LINK_BASE = 1000;
const lc_resources CAPACITY = {16000, 65536, 0};
/* Time by which a resumed machine has stopped the runs whose lease expired: a
 * tick, a stop, and orders that are sent again. */
const int64_t RESUME_STOP_MS = 700;
/* Time by which an upstream has reported a reduced capacity: one heartbeat
 * interval, the delay of a delayed heartbeat, and a margin. */
const int64_t CAPACITY_REPORT_MS = 500 + 1200 + 100;
/* Upstreams that may crash under one submission of a job: the platform's limit
 * of three, and two more because starts that are lost for other reasons count
 * here too. */
const int MAX_CRASHES = 5;
const int MAX_CRASHES_LONG_RUNNING = 3;

/* An entry gives up a connection to another entry from which it has heard
 * nothing for this time. */
const int64_t SILENT_MS = 600;

class Simulation;

/* The spec that a job's caller submits for its upstreams. */
std::string spec_of(uint64_t job);

/* An encoded message that owns its memory; a RUNS message holds several
 * calls. */
struct EncodedCall {
    std::vector<uint64_t> call_ids;
    std::vector<uint8_t> bytes;
};

/* The calls from one node to another, as over one TCP connection. */
struct Link {
    uint64_t generation = 1;
    int64_t next_arrival_ms = 0; /* messages arrive in order */
    int64_t cut_until = 0;
    bool lossy = false;
    int64_t held_until = 0;     /* calls arrive then, though the connection was
                                   given up */
    std::set<uint64_t> pending; /* calls without a reply */
};

/* An entry's reader and writer of the store's log. */
struct LogClient {
    struct Put {
        std::string key;
        std::string value;
    };
    std::vector<Put> pending;
    std::vector<Put> batch;
    uint64_t pending_number = 0;
    uint64_t batch_number = 0;
    uint64_t sequence = 1;
    bool append_in_flight = false;
    uint64_t next_offset = 0;
    bool has_read = false;
};

/* The store: one topic. Compaction keeps the newest record of each key. */
struct SimStore {
    struct Record {
        std::string key;
        std::string value;
    };
    std::vector<Record> log;
    uint64_t first = 0; /* older records are compacted */
    std::map<std::string, uint64_t> sequences; /* by writer */
    int64_t down_until = 0;
    int64_t lossy_until = 0;
    int64_t appends_stalled_until = 0;
};

/* The closed halls as one node or the store knows them. */
struct ClosureSnapshot {
    int64_t as_of = -1;
    uint32_t age_ms = 0;
    std::vector<std::string> halls;
    std::vector<char *> names; /* referred to by the last message */

    lc_closures message();
    static ClosureSnapshot of(const HallClosures *closures, int64_t now);
};

/* Hall of a companion. */
std::string hall_of(uint32_t companion);

/* A durable job, as its caller knows it. */
struct DurableCaller {
    uint64_t id;
    uint32_t tasks;
    uint32_t steps;       /* 1, or 2 of which the second waits for the first */
    bool long_running;    /* its tasks are restarted until it is cancelled */
    uint32_t occurrences; /* 0: not scheduled, it runs once and at once */
    int64_t start_at_ms;
    int64_t interval_ms;
    int64_t last_start_ms = 0;
    int64_t work_ms;
    int submissions = 0;
    bool accepted = false;
    bool may_have_run = false; /* some submission was not answered not_run */
    bool started = false;
    int64_t cancelled_ms = 0; /* when a cancel was acknowledged */
    bool cancel_sent = false;
    uint64_t open_request = 0;
    uint32_t request_entry = 0; /* the entry that has the open request */
};

/* Starts and ends of one durable task at the upstreams. */
struct DurableTask {
    std::vector<int> ends_before_start; /* indices into `ends` at each start */
    struct End {
        uint32_t run;
        bool done;
        bool acknowledged;
    };
    std::vector<End> ends;
    int crashes = 0; /* of upstreams while it ran */
};

/* A call that a node has not answered, and the connection that it came by. */
struct PendingReply {
    uint32_t entry;
    uint64_t call_id;
    uint64_t generation;
};

struct EntryNode {
    Simulation *sim;
    uint32_t index;
    lc_node node;
    /* By reply id. */
    std::map<uint64_t, PendingReply> pending_replies;
    uint64_t next_reply = 0;
    Dispatcher *dispatcher = nullptr;
    DurableJobs *durable_jobs = nullptr;
    LogClient log_client;
    int64_t frozen_until = 0;
    std::deque<std::function<void()>> input; /* while it is frozen */
    bool alive = false;
    uint64_t boot_id = 0;  /* events of an earlier boot are dropped */
    int64_t active_ms = 0; /* when it last ran */
};

struct CompanionNode {
    Simulation *sim;
    uint32_t index;
    lc_node node;
    Runner *runner = nullptr;
    int64_t frozen_until = 0;
    std::deque<std::function<void()>> input; /* while it is frozen */
    int64_t suspended_ms = 0; /* not yet reported to its runner */
    int64_t started_ms = 0;
    std::string hall;
    bool alive = false;
    uint64_t boot_id = 0;
    /* By reply id. */
    std::map<uint64_t, PendingReply> pending_replies;
    int64_t overdue_check_ms = 0; /* 0: none due */
    uint64_t next_reply = 0;
};

/* A caller's job over all its submissions. */
struct CallerJob {
    uint64_t id;
    uint32_t tasks;
    int64_t work_ms;
    int submissions = 0;
    /* Each upstream that starts its task crashes. */
    bool crashes_upstreams = false;
    int upstreams_crashed = 0; /* in this submission */
    bool finished = false;
    bool may_have_run = false; /* some submission was not answered not_run */
    uint64_t open_request = 0;
    bool started = false;
    int64_t first_submit_ms = 0;
};

struct Request {
    uint64_t job;
    uint32_t entry;
    uint64_t boot_id;
    bool answered = false;
};

inline Address
entry_address(uint32_t index)
{
    return 0x7f0000010000ULL + 7000 + index;
}

inline Address
companion_address(uint32_t index)
{
    return 0x7f0000010000ULL + 8000 + index;
}

/* Thousandths of a processor that each task of a job needs. */
inline uint32_t
cpu_need_of(uint64_t job)
{
    return 1000 + (uint32_t)(job % 4) * 400;
}

/* Thousandths of a processor in use at an upstream. */
inline uint32_t
cpu_used_at(const Upstream &upstream)
{
    uint32_t used = 0;

    for (auto &pair : upstream.tasks()) {
        used += cpu_need_of(pair.second.id.job);
    }
    return used;
}

class Simulation {
  public:
    explicit Simulation(const Plan &to_run)
        : plan(to_run), random(Random_Seed(to_run.seed))
    {
        for (size_t i = 0; i < tables.size(); i++) {
            tables[i] = Route_NewTable((int64_t)i + 1);
            add_route(tables[i], "queue", "/q/");
        }
        route = (const Route *)g_ptr_array_index(tables[0]->routes, 0);
        durable_route = add_route(tables[0], "durable", "/k/");
        add_route(tables[1], "renamed", "/k/");
    }

    ~Simulation()
    {
        for (auto &entry : entries) {
            if (entry.durable_jobs != nullptr) {
                DurableJobs_Free(entry.durable_jobs);
            }
            if (entry.dispatcher != nullptr) {
                Dispatcher_Free(entry.dispatcher);
            }
        }
        for (auto &companion : companions) {
            if (companion.runner != nullptr) {
                Runner_Free(companion.runner);
            }
        }
        for (Route_Table *table : tables) {
            Route_FreeTable(table);
        }
    }

    Report run();

    /* implementations of the nodes' ports */
    void call(EntryNode *from, Address to, std::vector<uint64_t> call_ids,
              const Msg_Call *call);
    void reset(EntryNode *from, Address to);
    void answer(EntryNode *from, uint64_t request,
                const Dispatcher_Answer *answer);
    void reply(CompanionNode *from, uint64_t reply_id, const Msg_Reply *reply);
    void reply(EntryNode *from, uint64_t reply_id, const Msg_Reply *reply);
    void order_start(CompanionNode *from, uint64_t id,
                     const Runner_Start *start);
    void order_stop(CompanionNode *from, uint64_t id, const lc_run_id *run,
                    const char *instance, int64_t token);
    void order_poll(CompanionNode *from, uint64_t id, const Runner_Poll *poll);
    uint64_t put(EntryNode *from, const char *key, const uint8_t *value,
                 size_t length);
    void answer_durable(EntryNode *from, uint64_t request,
                        const Dispatcher_Answer *answer);
    /* Whether operators have removed the queue of durable jobs. */
    bool
    is_queue_removed() const
    {
        return queue_removed_until > now;
    }
    /* That queue as callers address it, whatever its name. */
    QueueRef
    durable_queue() const
    {
        return Route_Reference(durable_route);
    }
    static const Route *add_route(Route_Table *table, const char *name,
                                  const char *path_prefix);
    void apply_routes(EntryNode *entry);
    void remove_queue(int64_t until);
    void fill_durable_job(uint64_t id, LeasedJob *job);
    void count_claim();

    int64_t now = 0;
    bool trace = getenv("LEASE_TRACE") != nullptr;

  private:
    struct Event {
        int64_t at;
        uint64_t order;
        std::function<void()> run;
        bool
        operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void
    schedule(int64_t when, std::function<void()> run)
    {
        events.push({std::max(when, now), ++event_order, std::move(run)});
    }

    uint32_t
    random_below(uint32_t below)
    {
        return below == 0 ? 0 : (uint32_t)(Random_Next(&random) >> 33) % below;
    }

    void
    violation(const std::string &text)
    {
        if (report.violations.size() < 5) {
            report.violations.push_back("at " + std::to_string(now) +
                                        " ms: " + text);
        }
    }

    void start_entry(uint32_t index);
    void start_companion(uint32_t index);
    void kill_entry(uint32_t index, int64_t for_ms);
    void stop_entry(uint32_t index, int64_t length_ms);
    void replace_owner(int64_t until);
    void kill_companion(uint32_t index, int64_t for_ms);
    void break_link(uint32_t entry, uint32_t companion);
    void run_heartbeats(uint32_t index);
    void send_heartbeat(uint32_t index, int64_t delay_ms);
    void send_odd_heartbeat(uint32_t index, uint32_t kind);
    void report_to_entries(uint32_t index);
    void tick_entry(uint32_t index, uint64_t boot_id);
    void tick_companion(uint32_t index, uint64_t boot_id);
    void pause_after_stall(EntryNode *entry);
    void freeze(EntryNode *entry, int64_t until);
    void freeze(CompanionNode *companion, int64_t until);
    template <typename Node>
    void handle_in_order(Node *node, std::function<void()> run);
    template <typename Node> void schedule_thaw(Node *node);
    void when_thawed(EntryNode *entry, std::function<void()> run);
    void when_thawed(CompanionNode *companion, std::function<void()> run);
    void handle(EntryNode *entry, const std::function<void()> &run);
    void handle(CompanionNode *companion, const std::function<void()> &run);
    void schedule_overdue_check(CompanionNode *companion);
    void send_to_companion(uint32_t entry, uint32_t companion,
                           EncodedCall message);
    void send_to_entry(uint32_t entry, uint32_t other, EncodedCall message);
    void handle_entry_call(EntryNode *at, uint64_t reply_id,
                           const Msg_Call *call);
    void hold_forwards(uint32_t to, int64_t until);
    int64_t entry_link_cut_until(uint32_t from, uint32_t to) const;
    void offer_delegates(EntryNode *entry);
    void fail_call(uint32_t entry, uint64_t boot_id, uint64_t call_id);
    void when_resumed(const Upstream *upstream, std::function<void()> act);
    void send_order(CompanionNode *from, bool unanswered,
                    std::function<Runner_OrderResult()> act,
                    std::function<void(Runner_OrderResult, int64_t)> done);
    void inject(const Action &action);
    void submit(CallerJob *job);
    void resubmit_later(CallerJob *job, int64_t after_ms);
    void disconnect_caller(uint64_t request);
    void make_job();
    void make_crashing_job();
    void crash_upstream_later(uint32_t index, CallerJob *job);
    void suspend(uint32_t index, int64_t until);
    void recount_runs(uint32_t index);
    void count_run(uint32_t index, const lc_run_id &id);
    bool has_capacity(const CallerJob &job) const;
    void on_started(uint32_t index, const lc_run_id &id);
    void on_ended(uint32_t index, const lc_run_id &id, Runner_End end);
    void check_capacity(uint32_t index);
    void check_end();
    void check_durable();
    void check_owners();
    void start_durable_jobs(EntryNode *entry);
    void poll_store(uint32_t index, uint64_t boot_id);
    void read_store(EntryNode *entry);
    void apply_records(EntryNode *entry, uint64_t end, bool newest);
    void write_store(EntryNode *entry);
    void commit_batch(EntryNode *entry, const std::string &writer,
                      uint64_t sequence,
                      std::shared_ptr<std::vector<LogClient::Put>> batch);
    bool store_reachable(const EntryNode *entry) const;
    void gossip(uint32_t index, uint64_t boot_id);
    void record_hall(uint32_t number, bool closed);
    void close_hall(uint32_t number, int64_t until);
    ClosureSnapshot read_halls() const;
    void send_closures_to_entry(EntryNode *entry, int64_t after_ms,
                                int64_t asked_ms, ClosureSnapshot snapshot);
    void poll_halls(uint32_t index, uint64_t boot_id);
    void send_closures_to_companion(CompanionNode *companion, int64_t after_ms,
                                    int64_t asked_ms,
                                    ClosureSnapshot snapshot);
    void refresh_closures(CompanionNode *companion);
    void check_hall(uint32_t index, const lc_run_id &id);
    void check_spec(const lc_run_id &id, const char *spec);
    void check_reopened_halls();
    int64_t reopened_halls_due_ms() const;
    void make_durable_job();
    void submit_durable(uint64_t id);
    void cancel_durable(uint64_t id);
    void make_service();
    bool is_at_work(const DurableCaller &caller);
    void check_every_upstream_works();
    void cancel_long_running();
    void fail_durable_requests(uint32_t entry);
    void on_durable_start(const lc_run_id &id);
    bool may_be_given_up(const DurableCaller &caller) const;
    void check_shown_as_running(const DurableCaller &caller);
    bool is_cancelled_late(const DurableCaller &caller) const;
    void on_durable_end(const lc_run_id &id, Runner_End end);
    void on_durable_acknowledged(const lc_run_id &id, Runner_End end);
    std::string run_name(const lc_run_id &id);

    Plan plan;
    uint64_t random;
    Report report;
    /* With the queue of durable jobs, with that queue under another name, and
     * without it. */
    std::array<Route_Table *, 3> tables;
    const Route *route;
    const Route *durable_route;
    std::priority_queue<Event> events;
    uint64_t event_order = 0;
    std::vector<EntryNode> entries;
    std::vector<CompanionNode> companions;
    std::vector<Upstream> upstreams;
    std::map<std::pair<uint32_t, uint32_t>, Link> links;
    std::vector<int64_t> orders_late_until;
    std::vector<int64_t> stops_unanswered_until;
    std::map<uint64_t, CallerJob> jobs;
    std::map<uint64_t, Request> requests;
    /* By upstream. */
    std::map<TaskKey, std::map<uint32_t, lc_run_id>> active_runs;
    std::map<TaskKey, bool> done;
    std::map<uint64_t, uint64_t> incarnations;
    uint64_t next_request = 0;
    uint64_t next_job = 0;
    SimStore store;
    std::map<uint64_t, DurableCaller> durable_callers;
    std::map<TaskKey, DurableTask> durable_tasks;
    std::map<uint64_t, uint64_t> durable_requests; /* request -> job */
    std::map<uint64_t, uint64_t> cancel_requests;
    std::vector<std::pair<std::string, bool>> hall_log;
    std::map<uint32_t, uint64_t> hall_closings; /* by hall number */
    std::map<std::string, int64_t> closed_since;
    std::map<std::string, int64_t> opened_at;
    std::map<std::string, int64_t> last_order_in_hall; /* ms */
    std::set<
        std::tuple<uint32_t, uint64_t, uint32_t, uint32_t, uint32_t, uint32_t>>
        checked_orders;
    std::vector<int64_t> store_cut_until;
    int64_t queue_removed_until = 0;
    bool queue_renamed = false;
    std::vector<int64_t> last_start_ms; /* of a task that ends, by upstream */
    std::vector<int64_t> gossip_cut_until;
    /* 0: both, 1: outgoing, 2: incoming. */
    std::vector<uint32_t> entry_cut_direction;
    int64_t disconnects_until = 0;
    int64_t burst_until = 0;
};

} // namespace lease

#endif

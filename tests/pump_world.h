/**
 * @file pump_world.h
 * @brief Internals of the cluster simulation, shared by its parts: the nodes
 * and the messages between them (pump.cc), the faults (pump_faults.cc), the
 * callers and operators (pump_callers.cc) and the checks (pump_checks.cc).
 */
#ifndef LC_TESTS_PUMP_WORLD_H
#define LC_TESTS_PUMP_WORLD_H

#include "tests/pump.h"

namespace pump {

constexpr int64_t START_WALL_MS = 1700000000000;
constexpr int64_t TICK_MS = 20;
constexpr int64_t LOG_POLL_MS = 40;
constexpr int64_t HOSTS_POLL_MS = 60;
constexpr int64_t HOST_LAG_MS = 300;
constexpr int64_t SKEW_MS = 60;
constexpr int64_t WARM_UP_MS = 700;
constexpr int64_t RECOVERY_MS = 9000;
constexpr int64_t RESUBMIT_MS = 700;
constexpr int64_t RETRANSMIT_MS = 40;
constexpr int64_t HANG_MS = 3000;
constexpr int64_t RETENTION_MS = 1500;
constexpr int64_t LEAVING_GRACE_MS = 600;
constexpr int64_t EDIT_PROPAGATION_MS = 4000;
constexpr int MAX_ATTEMPTS = 12;
constexpr Address BASE = (Address)0x7f000001 << 16;

std::string format(const char *text, ...)
    __attribute__((format(printf, 1, 2)));

/** Text of a key. */
std::string key_text(const Key &key);

/** Result that the upstream returns for a task. */
std::string result_text(const Key &key, uint32_t index);

struct Start {
    Key key;
    uint32_t index;
    int64_t at_ms;
    Address companion;
};

/* One job of a client; all its attempts have the same key. */
struct Job {
    Key key;
    uint32_t tasks = 0;
    bool repeatable = true;
    int attempts = 0;
    int pending = 0; /* attempts without an answer */
    bool all_not_run = true;
    bool ended = false; /* an answer said done or failed */
};

struct Attempt {
    size_t job;
    Address entry;
    uint64_t generation; /* of the entry when it was sent */
    bool answered = false;
    bool to_draining = false;
};

struct EditRequest {
    std::string group;
    int64_t weight;
    uint64_t base;
};

struct AcceptedEdit {
    std::string group;
    int64_t weight;
    uint64_t version;
    int64_t at_ms;
};

class Simulation;

struct Node {
    Simulation *simulation = nullptr;
    Address address = 0;
    bool is_entry = false;
    bool alive = false;
    bool draining = false;
    bool restart_after_drain = true;
    int64_t drained_ms = 0;
    uint64_t generation = 0; /* number of boots */
    int64_t frozen_until_ms = 0;
    int64_t skew_ms = 0;
    lc_node self{};
    Entry *entry = nullptr;
    Companion *companion = nullptr;
    std::map<std::string, uint64_t> versions;
    int64_t running = 0;
    /* Pending calls: id -> callee. */
    std::map<uint64_t, Address> calls;
};

struct Event {
    int64_t at_ms;
    uint64_t order;
    std::function<void()> act;
};

struct Later {
    bool
    operator()(const Event &a, const Event &b) const
    {
        return a.at_ms != b.at_ms ? a.at_ms > b.at_ms : a.order > b.order;
    }
};

struct PendingReply {
    Address caller;
    uint64_t caller_generation;
    uint64_t call_id;
    Address callee;
    Msg_Kind kind;
};

class Simulation {
  public:
    explicit Simulation(const Plan &plan);
    ~Simulation();
    Report run();

    /* Ports. */
    void on_call(Node *node, Address to, uint64_t call_id,
                 const Msg_Call *call);
    void on_reply(Node *node, uint64_t reply_id, const Msg_Reply *reply);
    void on_reset(Node *node, Address to);
    void on_answer(Node *node, uint64_t request, const Node_Answer *answer);
    void on_append(Node *node, uint64_t append_id, const char *record);
    void on_edited(uint64_t request, const Status *status, uint64_t version);
    void on_run(Node *node, uint64_t run_id, const Node_Task *task);
    int64_t
    now_ms() const
    {
        return now_ms_;
    }

  private:
    Plan plan_;
    Report report_;
    int64_t now_ms_ = 0;
    uint64_t order_ = 0;
    uint64_t random_;
    std::priority_queue<Event, std::vector<Event>, Later> events_;
    std::map<Address, std::unique_ptr<Node>> nodes_;
    std::vector<Address> entries_;
    std::vector<Address> companions_;
    std::set<std::pair<Address, Address>> cuts_;
    std::set<Address> log_cuts_;
    bool log_down_ = false;
    int lose_confirms_ = 0;
    std::vector<std::string> log_;
    std::vector<int64_t> log_times_;
    uint64_t log_first_ = 1;
    std::map<Address, Membership_Host> hosts_truth_;
    std::map<Address, Membership_Host> hosts_shown_;
    std::vector<Start> starts_;
    std::vector<Job> jobs_;
    std::vector<Attempt> attempts_;
    std::vector<EditRequest> edit_requests_;
    std::set<std::pair<std::string, uint64_t>> bases_;
    std::vector<AcceptedEdit> accepted_;
    std::map<uint64_t, PendingReply> pending_replies_;
    uint64_t next_reply_id_ = 0;
    std::map<Address, int64_t> leaving_since_;
    std::map<std::string, int64_t> running_;
    std::vector<int64_t> large_starts_; /* of the group "large" */
    uint64_t incarnations_ = 0;
    bool faults_on_ = true;

    uint64_t random();
    uint64_t below(uint64_t limit);
    bool chance(uint32_t permille);
    int64_t delay();
    void schedule(int64_t when_ms, std::function<void()> act);
    void schedule_input(Address address, uint64_t generation, int64_t when_ms,
                        std::function<void(Node *)> act);
    Node_Time time_of(const Node *node) const;
    Node *find(Address address);
    bool is_cut(Address from, Address to) const;
    void boot(Node *node);
    void kill(Node *node);
    void tick(Node *node);
    void poll_log(Address address, uint64_t generation);
    void poll_hosts(Address address, uint64_t generation);
    void deliver_log(Node *node, int64_t asked_ms);
    void publish_hosts(Address address, bool listed, bool leaving,
                       int64_t lag_ms);
    void deliver_call(Address from, uint64_t from_generation, Address to,
                      uint64_t call_id, GByteArray *bytes);
    void when_connected(Address from, Address to, std::function<void()> act);
    void handle_call(Node *node, const PendingReply &pending,
                     const std::string &data);
    void handle_reply(const PendingReply &pending, const std::string &data);
    void end_call(Address caller, uint64_t generation, uint64_t call_id,
                  const Msg_Reply *reply);
    void lose_call(Address caller, uint64_t generation, uint64_t call_id,
                   int64_t after_ms);
    void submit(size_t job);
    void submit_to(Node *node, size_t job);
    void submit_new_job();
    void edit(const char *group);
    void inject(const Action &action);
    void split(uint32_t sides, int64_t end_ms);
    void heal();
    void check_versions(Node *node);
    void check_shutdown(const Node *node);
    void check_in_force(const AcceptedEdit &edit);
    void check_end();
    void check_starts();
    void check_rate();
    void check_jobs();
    void check_table();
};

/** Prints a trace line of a node if PUMP_TRACE is set. */
void trace(const Node *node, const std::string &text);

} // namespace pump

#endif

#include "tests/pump.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <cstring>

namespace pump {

namespace {

constexpr int64_t START_WALL_MS = 1700000000000;
constexpr int64_t TICK_MS = 20;
constexpr int64_t LOG_POLL_MS = 40;
constexpr int64_t HOSTS_POLL_MS = 60;
constexpr int64_t HOST_LAG_MS = 300;
constexpr int64_t SKEW_MS = 60;
constexpr int64_t WARM_UP_MS = 700;
constexpr int64_t HEALED_MS = 9000;
constexpr int64_t RESUBMIT_MS = 700;
constexpr int64_t RETRANSMIT_MS = 40;
constexpr int64_t HANG_MS = 3000;
constexpr int64_t RETENTION_MS = 1500;
constexpr int64_t LEAVING_GRACE_MS = 600;
constexpr int64_t IN_FORCE_MS = 4000;
constexpr int MAX_ATTEMPTS = 12;
constexpr Address BASE = (Address)0x7f000001 << 16;

std::string format(const char *text, ...)
    __attribute__((format(printf, 1, 2)));

std::string
format(const char *text, ...)
{
    char buffer[400];
    va_list args;

    va_start(args, text);
    vsnprintf(buffer, sizeof(buffer), text, args);
    va_end(args);
    return buffer;
}

struct Start {
    Key key;
    uint32_t index;
    int64_t at_ms;
    Address companion;
};

/* One job of a client, with all its attempts under one key. */
struct Job {
    Key key;
    uint32_t tasks = 0;
    bool repeatable = true;
    int attempts = 0;
    int open = 0; /* attempts without an answer */
    bool all_not_run = true;
    bool ended = false; /* done or failed was told */
};

struct Attempt {
    size_t job;
    Address entry;
    uint64_t life; /* which life of the entry it was sent to */
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

class World;

struct Node {
    World *world = nullptr;
    Address address = 0;
    bool is_entry = false;
    bool alive = false;
    bool draining = false;
    bool restart_after_drain = true;
    int64_t drained_ms = 0;
    uint64_t life = 0;
    int64_t frozen_until_ms = 0;
    int64_t skew_ms = 0;
    lc_node self{};
    Entry *entry = nullptr;
    Companion *companion = nullptr;
    std::map<std::string, uint64_t> versions;
    int64_t running = 0;
    /* Calls sent and not ended: id -> callee. */
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

struct OwedReply {
    Address caller;
    uint64_t caller_life;
    uint64_t call_id;
    Address callee;
    Msg_Kind kind;
};

class World {
  public:
    explicit World(const Plan &plan);
    ~World();
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
    int lose_confirm_ = 0;
    std::vector<std::string> log_;
    std::vector<int64_t> log_times_;
    uint64_t log_first_ = 1;
    std::map<Address, Members_Host> hosts_truth_;
    std::map<Address, Members_Host> hosts_shown_;
    std::vector<Start> starts_;
    std::vector<Job> jobs_;
    std::vector<Attempt> attempts_;
    std::vector<EditRequest> edit_requests_;
    std::set<std::pair<std::string, uint64_t>> bases_;
    std::vector<AcceptedEdit> accepted_;
    std::map<uint64_t, OwedReply> owed_;
    uint64_t next_owed_ = 0;
    std::map<Address, int64_t> leaving_since_;
    std::map<std::string, int64_t> running_;
    uint64_t incarnations_ = 0;
    bool faults_on_ = true;

    uint64_t random();
    uint64_t below(uint64_t limit);
    bool chance(uint32_t permille);
    int64_t delay();
    void at(int64_t when_ms, std::function<void()> act);
    void to_node(Address address, uint64_t life, int64_t when_ms,
                 std::function<void(Node *)> act);
    Node_Time time_of(const Node *node) const;
    Node *find(Address address);
    bool is_cut(Address from, Address to) const;
    void boot(Node *node);
    void kill(Node *node);
    void tick(Node *node);
    void poll_log(Address address, uint64_t life);
    void poll_hosts(Address address, uint64_t life);
    void give_log(Node *node, int64_t asked_ms);
    void publish_hosts(Address address, bool listed, bool leaving,
                       int64_t lag_ms);
    void deliver_call(Address from, uint64_t from_life, Address to,
                      uint64_t call_id, GByteArray *bytes);
    void when_uncut(Address from, Address to, std::function<void()> act);
    void take_call(Node *node, const OwedReply &owed, const std::string &data);
    void take_reply(const OwedReply &owed, const std::string &data);
    void end_call(Address caller, uint64_t life, uint64_t call_id,
                  const Msg_Reply *reply);
    void lose_call(Address caller, uint64_t life, uint64_t call_id,
                   int64_t after_ms);
    void submit(size_t job);
    void submit_to(Node *node, size_t job);
    void new_job();
    void edit(const char *group);
    void inject(const Action &action);
    void split(uint32_t sides, int64_t end_ms);
    void heal();
    void watch_table(Node *node);
    void check_stop(const Node *node);
    void check_in_force(const AcceptedEdit &edit);
    void check_end();
    void check_starts();
    void check_jobs();
    void check_table();
};

void
trace(const Node *node, const std::string &text)
{
    static const bool wanted = getenv("PUMP_TRACE") != nullptr;

    if (wanted) {
        fprintf(stderr, "%6lld %s %s\n", (long long)node->world->now_ms(),
                Address_Text(node->address), text.c_str());
    }
}

/* C ports that forward to the node's world. */

Node *
node_of(void *context)
{
    return static_cast<Node *>(context);
}

const Node_Ports ports = {
    .call =
        [](void *context, Address to, uint64_t call_id, const Msg_Call *call) {
            node_of(context)->world->on_call(node_of(context), to, call_id,
                                             call);
        },
    .reply =
        [](void *context, uint64_t reply_id, const Msg_Reply *reply) {
            node_of(context)->world->on_reply(node_of(context), reply_id,
                                              reply);
        },
    .reset =
        [](void *context, Address to) {
            node_of(context)->world->on_reset(node_of(context), to);
        },
    .answer =
        [](void *context, uint64_t request, const Node_Answer *answer) {
            node_of(context)->world->on_answer(node_of(context), request,
                                               answer);
        },
    .append =
        [](void *context, uint64_t append_id, const char *record) {
            node_of(context)->world->on_append(node_of(context), append_id,
                                               record);
        },
    .edited =
        [](void *context, uint64_t request, const Status *status,
           uint64_t version) {
            node_of(context)->world->on_edited(request, status, version);
        },
    .run =
        [](void *context, uint64_t run_id, const Node_Task *task) {
            node_of(context)->world->on_run(node_of(context), run_id, task);
        },
    .event =
        [](void *context, Event_Id id, const char *detail) {
            trace(node_of(context), format("LC%d %s: %s", Event_Number(id),
                                           Event_Text(id), detail));
        },
};

std::string
key_text(const Key &key)
{
    char text[KEY_TEXT_LENGTH + 1];

    Key_Format(&key, text);
    return text;
}

std::string
result_text(const Key &key, uint32_t index)
{
    return key_text(key) + "/" + std::to_string(index);
}

World::World(const Plan &plan)
    : plan_(plan), random_(Random_Seed(plan.seed * 2))
{
    for (uint32_t i = 0; i < plan.entries + plan.companions; i++) {
        auto node = std::make_unique<Node>();
        node->world = this;
        node->address = BASE | (7001 + i);
        node->is_entry = i < plan.entries;
        node->skew_ms = (int64_t)below(SKEW_MS) - SKEW_MS / 2;
        (node->is_entry ? entries_ : companions_).push_back(node->address);
        publish_hosts(node->address, true, false, 0);
        nodes_[node->address] = std::move(node);
    }
}

World::~World()
{
    for (auto &pair : nodes_) {
        Entry_Free(pair.second->entry);
        Companion_Free(pair.second->companion);
    }
}

uint64_t
World::random()
{
    return Random_Next(&random_);
}

uint64_t
World::below(uint64_t limit)
{
    return limit == 0 ? 0 : (random() >> 16) % limit;
}

bool
World::chance(uint32_t permille)
{
    return below(1000) < permille;
}

int64_t
World::delay()
{
    if (faults_on_ && chance(plan_.late_permille)) {
        return (int64_t)below((uint64_t)plan_.late_ms);
    }
    return 1 + (int64_t)below((uint64_t)plan_.most_delay_ms);
}

void
World::at(int64_t when_ms, std::function<void()> act)
{
    events_.push({when_ms, ++order_, std::move(act)});
}

/* Input for one life of a node; a frozen node gets it when it wakes. */
void
World::to_node(Address address, uint64_t life, int64_t when_ms,
               std::function<void(Node *)> act)
{
    at(when_ms, [this, address, life, act = std::move(act)] {
        Node *node = find(address);
        if (!node->alive || node->life != life) {
            return;
        }
        if (now_ms_ < node->frozen_until_ms) {
            to_node(address, life, node->frozen_until_ms, act);
            return;
        }
        act(node);
    });
}

Node_Time
World::time_of(const Node *node) const
{
    return {now_ms_ + 1000000, START_WALL_MS + now_ms_ + node->skew_ms};
}

Node *
World::find(Address address)
{
    return nodes_.at(address).get();
}

bool
World::is_cut(Address from, Address to) const
{
    return cuts_.count({from, to}) > 0;
}

void
World::boot(Node *node)
{
    Node_Time now = time_of(node);

    node->alive = true;
    node->draining = false;
    node->drained_ms = 0;
    node->life++;
    node->frozen_until_ms = 0;
    node->versions.clear();
    node->running = 0;
    node->calls.clear();
    node->self = {node->address,
                  (uint64_t)now.wall_ms * 1000 + ++incarnations_};
    leaving_since_.erase(node->address);
    if (node->is_entry) {
        Board_Config config = Board_Defaults(node->self);
        config.seed = random();
        config.evidence_ms = plan_.evidence_ms;
        config.skew_ms = SKEW_MS;
        config.window_ms = plan_.window_ms;
        config.ping_entry_ms = 50;
        config.ping_companion_ms = 150;
        config.suspect_ms = 250;
        config.patience_ms = 1200;
        config.inventory_ms = 200;
        config.hosts_lag_ms = 2 * HOST_LAG_MS;
        config.snapshot_ms = 600;
        config.snapshot_records = 10;
        config.task_timeout_ms = 600;
        config.max_jobs = plan_.max_jobs;
        config.max_answer_bytes = plan_.max_bytes;
        node->entry = Entry_New(&config, &ports, node, now);
    }
    else {
        Companion_Config config = Companion_Defaults(node->self);
        config.seed = random();
        config.slots = plan_.slots;
        config.grant_ms = 60;
        config.down_ms = 50;
        config.window_ms = plan_.window_ms;
        config.skew_ms = SKEW_MS;
        config.max_records = plan_.max_records;
        config.max_result_bytes = plan_.max_bytes;
        node->companion = Companion_New(&config, &ports, node, now);
    }
    Address address = node->address;
    uint64_t life = node->life;
    to_node(address, life, now_ms_ + 1 + (int64_t)below(TICK_MS),
            [this](Node *alive) { tick(alive); });
    if (node->is_entry) {
        poll_log(address, life);
        poll_hosts(address, life);
    }
}

void
World::kill(Node *node)
{
    if (!node->alive) {
        return;
    }
    node->alive = false;
    Entry_Free(node->entry);
    node->entry = nullptr;
    Companion_Free(node->companion);
    node->companion = nullptr;
    /* Its peers' connections break. */
    for (auto &pair : nodes_) {
        Node *peer = pair.second.get();
        if (peer->alive) {
            on_reset(peer, node->address);
        }
    }
}

void
World::tick(Node *node)
{
    Address address = node->address;
    uint64_t life = node->life;

    watch_table(node);
    if (node->is_entry) {
        Entry_Tick(node->entry, time_of(node));
        if (Entry_IsDeposed(node->entry)) {
            Entry_Abandon(node->entry, time_of(node));
            kill(node);
            boot(node);
            return;
        }
        if (node->draining && Entry_IsDrained(node->entry)) {
            node->drained_ms += TICK_MS;
        }
    }
    else {
        Companion_Tick(node->companion, time_of(node));
        if (node->draining && Companion_IsDrained(node->companion)) {
            node->drained_ms += TICK_MS;
        }
    }
    if (node->drained_ms > 3 * TICK_MS) {
        check_stop(node);
        kill(node);
        publish_hosts(address, true, false, HOST_LAG_MS);
        at(now_ms_ + 50, [this, address] {
            if (!find(address)->alive) {
                boot(find(address));
            }
        });
        return;
    }
    to_node(address, life, now_ms_ + TICK_MS,
            [this](Node *alive) { tick(alive); });
}

void
World::poll_log(Address address, uint64_t life)
{
    int64_t asked_ms = time_of(find(address)).mono_ms;

    at(now_ms_ + delay(), [this, address, life, asked_ms] {
        /* The log answers now; the answer travels back. */
        bool reachable = !log_down_ && log_cuts_.count(address) == 0;
        std::vector<std::string> records = log_;
        uint64_t first = log_first_;
        to_node(address, life, now_ms_ + delay(),
                [this, reachable, records, first, asked_ms](Node *node) {
                    if (!reachable) {
                        Entry_OnLog(node->entry, time_of(node), nullptr);
                        return;
                    }
                    std::vector<lc_record> list;
                    uint64_t from = std::max(first,
                                             Entry_LogNext(node->entry));
                    for (uint64_t i = from; i <= records.size(); i++) {
                        list.push_back(
                            {i, const_cast<char *>(records[i - 1].c_str())});
                    }
                    Entry_LogRead read = {asked_ms, first, records.size() + 1,
                                          list.data(), (uint32_t)list.size()};
                    Entry_OnLog(node->entry, time_of(node), &read);
                    watch_table(node);
                });
        at(now_ms_ + LOG_POLL_MS, [this, address, life] {
            if (find(address)->alive && find(address)->life == life) {
                poll_log(address, life);
            }
        });
    });
}

void
World::poll_hosts(Address address, uint64_t life)
{
    to_node(address, life, now_ms_ + HOSTS_POLL_MS, [this, life](Node *node) {
        std::vector<Members_Host> rows;
        for (auto &pair : hosts_shown_) {
            rows.push_back(pair.second);
        }
        Entry_OnHosts(node->entry, time_of(node), rows.data(),
                      (uint32_t)rows.size());
        poll_hosts(node->address, life);
    });
}

void
World::publish_hosts(Address address, bool listed, bool leaving,
                     int64_t lag_ms)
{
    bool is_entry = address < BASE + 7001 + plan_.entries;
    Members_Host row = {address, is_entry ? LC_ROLE_ENTRY : LC_ROLE_COMPANION,
                        leaving};

    at(now_ms_ + lag_ms, [this, address, listed, row] {
        if (listed) {
            hosts_shown_[address] = row;
        }
        else {
            hosts_shown_.erase(address);
        }
    });
}

void
World::lose_call(Address caller, uint64_t life, uint64_t call_id,
                 int64_t after_ms)
{
    to_node(caller, life, now_ms_ + after_ms, [this, call_id](Node *node) {
        end_call(node->address, node->life, call_id, nullptr);
    });
}

void
World::end_call(Address caller, uint64_t life, uint64_t call_id,
                const Msg_Reply *reply)
{
    Node *node = find(caller);

    if (!node->alive || node->life != life ||
        node->calls.erase(call_id) == 0) {
        return;
    }
    if (node->is_entry) {
        Entry_OnReply(node->entry, time_of(node), call_id, reply);
    }
    else {
        Companion_OnReply(node->companion, time_of(node), call_id, reply);
    }
}

void
World::on_call(Node *node, Address to, uint64_t call_id, const Msg_Call *call)
{
    Address from = node->address;
    uint64_t life = node->life;
    GByteArray *bytes = g_byte_array_new();
    int copies = faults_on_ && chance(plan_.duplicate_permille) ? 2 : 1;

    Msg_EncodeCall(call, (uint32_t)call_id, bytes);
    node->calls[call_id] = to;
    report_.messages++;
    if (nodes_.count(to) == 0 || !find(to)->alive) {
        lose_call(from, life, call_id, delay());
        g_byte_array_unref(bytes);
        return;
    }
    if (faults_on_ && chance(plan_.drop_permille)) {
        /* A connection that breaks: the call may be lost or its reply. */
        lose_call(from, life, call_id, delay() + (int64_t)below(100));
        if (chance(500)) {
            copies = 0;
        }
    }
    for (int i = 0; i < copies; i++) {
        deliver_call(from, life, to, call_id, bytes);
    }
    g_byte_array_unref(bytes);
}

/*
 * Runs `act` once nothing is cut between two nodes: TCP sends again until it
 * gets through, or until one side gives the connection up, which takes the
 * call from the caller but not the copy that is on its way.
 */
void
World::when_uncut(Address from, Address to, std::function<void()> act)
{
    if (!is_cut(from, to)) {
        act();
        return;
    }
    at(now_ms_ + RETRANSMIT_MS,
       [this, from, to, act] { when_uncut(from, to, act); });
}

void
World::take_call(Node *node, const OwedReply &owed, const std::string &data)
{
    Msg_Record record;
    uint64_t id = ++next_owed_;

    Msg_Decode((const uint8_t *)data.data(), data.size(), &record);
    if (record.type != MSG_IS_CALL) {
        report_.wrong.push_back("a call did not decode");
        return;
    }
    owed_[id] = owed;
    owed_[id].kind = record.call.kind;
    if (node->is_entry) {
        Entry_OnCall(node->entry, time_of(node), id, &record.call);
    }
    else {
        Companion_OnCall(node->companion, time_of(node), id, &record.call);
    }
    Msg_FreeCall(&record.call);
}

void
World::deliver_call(Address from, uint64_t from_life, Address to,
                    uint64_t call_id, GByteArray *bytes)
{
    uint64_t to_life = find(to)->life;
    std::string data((const char *)bytes->data + MSG_MARK_SIZE,
                     bytes->len - MSG_MARK_SIZE);
    OwedReply owed = {from, from_life, call_id, to, MSG_PING};

    when_uncut(from, to, [this, to, to_life, owed, data] {
        to_node(
            to, to_life, now_ms_ + delay(),
            [this, owed, data](Node *node) { take_call(node, owed, data); });
    });
}

void
World::take_reply(const OwedReply &owed, const std::string &data)
{
    Msg_Record record;
    Msg_Reply decoded;
    const uint8_t *bytes = (const uint8_t *)data.data();

    Msg_Decode(bytes, data.size(), &record);
    if (record.type != MSG_IS_REPLY ||
        !Msg_DecodeReply(owed.kind, bytes + record.body,
                         data.size() - record.body, &decoded)) {
        report_.wrong.push_back("a reply did not decode");
        return;
    }
    end_call(owed.caller, owed.caller_life, owed.call_id, &decoded);
    Msg_FreeReply(&decoded);
}

void
World::on_reply(Node *node, uint64_t reply_id, const Msg_Reply *reply)
{
    auto found = owed_.find(reply_id);

    if (found == owed_.end()) {
        report_.wrong.push_back("a reply that nobody is owed");
        return;
    }
    OwedReply owed = found->second;
    owed_.erase(found);
    report_.messages++;
    GByteArray *bytes = g_byte_array_new();
    Msg_EncodeReply(reply, (uint32_t)owed.call_id, bytes);
    std::string data((const char *)bytes->data + MSG_MARK_SIZE,
                     bytes->len - MSG_MARK_SIZE);
    g_byte_array_unref(bytes);
    when_uncut(node->address, owed.caller, [this, owed, data] {
        to_node(owed.caller, owed.caller_life, now_ms_ + delay(),
                [this, owed, data](Node *) { take_reply(owed, data); });
    });
}

void
World::on_reset(Node *node, Address to)
{
    for (auto &pair : node->calls) {
        if (pair.second == to) {
            lose_call(node->address, node->life, pair.first, 1);
        }
    }
}

void
World::on_append(Node *node, uint64_t append_id, const char *text)
{
    Address address = node->address;
    uint64_t life = node->life;
    std::string record = text;

    at(now_ms_ + delay(), [this, address, life, append_id, record] {
        bool reachable = !log_down_ && log_cuts_.count(address) == 0;
        bool confirmed = reachable;
        if (reachable) {
            log_.push_back(record);
            log_times_.push_back(now_ms_);
            if (lose_confirm_ > 0) {
                lose_confirm_--;
                confirmed = false;
            }
        }
        to_node(address, life, now_ms_ + delay(),
                [this, append_id, confirmed](Node *alive) {
                    Entry_OnAppend(alive->entry, time_of(alive), append_id,
                                   confirmed);
                });
    });
}

void
World::on_run(Node *node, uint64_t run_id, const Node_Task *task)
{
    Address address = node->address;
    uint64_t life = node->life;
    Key key = task->key;
    uint32_t index = task->index;
    int64_t length_ms = 5 + (int64_t)below(60);

    if (chance(20)) {
        length_ms += (int64_t)below(500); /* a straggler */
    }
    if (chance(plan_.hang_permille)) {
        length_ms = HANG_MS;
    }
    starts_.push_back({key, index, now_ms_, address});
    trace(node, "start " + result_text(key, index));
    auto leaving = leaving_since_.find(address);
    if (leaving != leaving_since_.end() &&
        now_ms_ - leaving->second > LEAVING_GRACE_MS) {
        report_.leaving.push_back(format(
            "%s started work %lld ms after it was leaving",
            Address_Text(address), (long long)(now_ms_ - leaving->second)));
    }
    /* The upstream goes on whatever becomes of its companion. */
    std::string group = task->group;
    int64_t running = ++running_[group];
    if (group == "large" && plan_.cap > 0 && running > plan_.cap) {
        report_.limit.push_back(format("%lld tasks run, the cap is %lld",
                                       (long long)running,
                                       (long long)plan_.cap));
    }
    node->running++;
    at(now_ms_ + length_ms, [this, group] { running_[group]--; });
    to_node(address, life, now_ms_ + length_ms,
            [this, run_id, key, index](Node *alive) {
                alive->running--;
                std::string result = result_text(key, index);
                Companion_OnRun(alive->companion, time_of(alive), run_id,
                                COMPANION_RUN_DONE, 200, result.data(),
                                (uint32_t)result.size());
            });
}

void
World::new_job()
{
    Job job;

    job.key = Key_Mint(START_WALL_MS + now_ms_ + (int64_t)below(SKEW_MS) -
                           SKEW_MS / 2,
                       random(), random());
    job.tasks = 1 + (uint32_t)below(plan_.most_tasks);
    job.repeatable = chance(500);
    jobs_.push_back(job);
    submit(jobs_.size() - 1);
    if (chance(plan_.twin_permille)) {
        submit(jobs_.size() - 1);
    }
}

void
World::submit(size_t number)
{
    Job &job = jobs_[number];
    Node *node = find(entries_[below(entries_.size())]);

    if (job.ended || job.attempts >= MAX_ATTEMPTS) {
        return;
    }
    job.attempts++;
    if (!node->alive || now_ms_ < node->frozen_until_ms ||
        Entry_IsClosed(node->entry)) {
        /* The balancer finds nobody there; the client tries again. */
        at(now_ms_ + RESUBMIT_MS / 2, [this, number] { submit(number); });
        return;
    }
    submit_to(node, number);
    /* An impatient client sends it again while the first still runs. */
    if (!plan_.once && chance(300)) {
        at(now_ms_ + (int64_t)below(RESUBMIT_MS),
           [this, number] { submit(number); });
    }
}

void
World::submit_to(Node *node, size_t number)
{
    Job &job = jobs_[number];
    std::vector<lc_payload> payloads(job.tasks);
    static char byte = 'x';
    Admission_Spec spec{};

    for (auto &payload : payloads) {
        payload.data.data_len = 1;
        payload.data.data_val = &byte;
    }
    spec.key = job.key;
    spec.group = number % 3 == 0 ? "small" : "large";
    spec.repeatable = job.repeatable;
    spec.tasks = payloads.data();
    spec.count = job.tasks;
    job.open++;
    report_.requests++;
    attempts_.push_back(
        {number, node->address, node->life, false, node->draining});
    trace(node, "submit " + key_text(job.key));
    Entry_Submit(node->entry, time_of(node), attempts_.size() - 1, &spec);
}

void
World::on_answer(Node *node, uint64_t request, const Node_Answer *answer)
{
    Attempt &attempt = attempts_[request];
    Job &job = jobs_[attempt.job];
    size_t number = attempt.job;
    Outcome outcome = Err_Outcome(answer->kind);

    if (attempt.answered) {
        report_.wrong.push_back("a request was answered twice");
        return;
    }
    attempt.answered = true;
    trace(node, "answer " + key_text(job.key) + " " + Err_Text(answer->kind));
    job.open--;
    report_.kinds[Err_Text(answer->kind)]++;
    if (!Key_Equal(&answer->key, &job.key)) {
        report_.wrong.push_back("an answer for another key");
    }
    if (plan_.planned && node->draining && answer->kind == ERR_OWNER_LOST) {
        report_.cut_off.push_back(key_text(job.key) +
                                  " was cut off by a planned stop");
    }
    if (outcome != OUTCOME_NOT_RUN) {
        job.all_not_run = false;
    }
    if (outcome == OUTCOME_DONE) {
        report_.done++;
        job.ended = true;
        if (answer->count != job.tasks) {
            report_.partial.push_back(key_text(job.key) + " is partial");
        }
        for (uint32_t i = 0; i < answer->count; i++) {
            std::string text(answer->results[i].data.data_val,
                             answer->results[i].data.data_len);
            if (text != result_text(job.key, i)) {
                report_.wrong.push_back(key_text(job.key) + " got " + text);
            }
        }
        return;
    }
    if (answer->count != 0) {
        report_.partial.push_back(key_text(job.key) +
                                  " has results but is not done");
    }
    if (outcome == OUTCOME_FAILED) {
        report_.failed++;
        job.ended = true;
        return;
    }
    (outcome == OUTCOME_NOT_RUN ? report_.not_run : report_.unknown)++;
    if (!plan_.once && chance(800)) {
        at(now_ms_ + answer->retry_ms + (int64_t)below(RESUBMIT_MS),
           [this, number] { submit(number); });
    }
}

void
World::edit(const char *group)
{
    Node *node = find(entries_[below(entries_.size())]);
    Table_Row row;
    Status status;
    int64_t weight = 1 + (int64_t)below(50);

    if (!node->alive || now_ms_ < node->frozen_until_ms) {
        return;
    }
    bool large = strcmp(group, "large") == 0;
    json_t *value = json_pack(
        "{s:I, s:I, s:I}", "weight", (json_int_t)weight, "max_running",
        (json_int_t)(large ? plan_.cap : 0), "max_wait_ms",
        (json_int_t)(large ? 0 : plan_.max_wait_ms));
    Table_RowFromJson(group, value, &row, &status);
    json_decref(value);
    uint64_t base = Table_Version(Entry_Table(node->entry), group);
    edit_requests_.push_back({group, weight, base});
    Entry_Edit(node->entry, time_of(node), edit_requests_.size() - 1, group,
               base, &row);
}

void
World::on_edited(uint64_t request, const Status *status, uint64_t version)
{
    const EditRequest &asked = edit_requests_[request];

    if (status->kind == ERR_OK) {
        accepted_.push_back({asked.group, asked.weight, version, now_ms_});
        if (!bases_.insert({asked.group, asked.base}).second) {
            report_.table.push_back(
                format("two edits of %s based on %llu were accepted",
                       asked.group.c_str(), (unsigned long long)asked.base));
        }
        if (plan_.actions.empty()) {
            AcceptedEdit edit = accepted_.back();
            at(now_ms_ + IN_FORCE_MS, [this, edit] { check_in_force(edit); });
        }
    }
}

/* No row may ever go back to an older version in the life of a node. */
void
World::watch_table(Node *node)
{
    const Table *table = node->is_entry ? Entry_Table(node->entry)
                                        : Companion_Table(node->companion);

    for (const char *group : {"small", "large"}) {
        uint64_t version = Table_Version(table, group);
        uint64_t &seen = node->versions[group];
        if (version < seen) {
            report_.table.push_back(format("%s: %s reverted from %llu to %llu",
                                           Address_Text(node->address), group,
                                           (unsigned long long)seen,
                                           (unsigned long long)version));
        }
        seen = version;
    }
}

/* Bit i of `sides` tells the side of node i; the log is on side 0. */
void
World::split(uint32_t sides, int64_t end_ms)
{
    std::vector<Address> all(entries_);
    std::vector<std::pair<Address, Address>> cut;

    all.insert(all.end(), companions_.begin(), companions_.end());
    for (size_t i = 0; i < all.size(); i++) {
        if ((sides >> i & 1) == 0) {
            continue;
        }
        log_cuts_.insert(all[i]);
        for (size_t j = 0; j < all.size(); j++) {
            if ((sides >> j & 1) == 0) {
                cut.push_back({all[i], all[j]});
                cut.push_back({all[j], all[i]});
            }
        }
    }
    cuts_.insert(cut.begin(), cut.end());
    at(end_ms, [this, all, cut] {
        for (auto &pair : cut) {
            cuts_.erase(pair);
        }
        for (Address address : all) {
            log_cuts_.erase(address);
        }
    });
}

void
World::inject(const Action &action)
{
    Address entry = entries_[action.target % entries_.size()];
    Address companion = companions_[action.target % companions_.size()];
    size_t total = nodes_.size();
    auto pick = [&](uint32_t number) {
        size_t place = number % total;
        return place < entries_.size() ? entries_[place]
                                       : companions_[place - entries_.size()];
    };
    Address any = pick(action.target);
    Address other = pick(action.other);
    int64_t end_ms = now_ms_ + action.length_ms;

    switch (action.fault) {
    case Fault::KillEntry:
    case Fault::KillCompanion: {
        Address address = action.fault == Fault::KillEntry ? entry : companion;
        kill(find(address));
        at(end_ms, [this, address] {
            if (!find(address)->alive) {
                boot(find(address));
            }
        });
        break;
    }
    case Fault::KillEntryHost:
    case Fault::KillCompanionHost: {
        Address address = action.fault == Fault::KillEntryHost ? entry
                                                               : companion;
        kill(find(address));
        publish_hosts(address, false, false, HOST_LAG_MS);
        break;
    }
    case Fault::FreezeEntry:
        find(entry)->frozen_until_ms = end_ms + 600;
        break;
    case Fault::Freeze:
        find(any)->frozen_until_ms = end_ms;
        break;
    case Fault::CutPair:
        cuts_.insert({any, other});
        if (action.length_ms % 2 == 0) {
            cuts_.insert({other, any});
        }
        at(end_ms, [this, any, other] {
            cuts_.erase({any, other});
            cuts_.erase({other, any});
        });
        break;
    case Fault::CutAll:
        log_cuts_.insert(any);
        at(end_ms, [this, any] { log_cuts_.erase(any); });
        [[fallthrough]];
    case Fault::CutNode:
        for (auto &pair : nodes_) {
            cuts_.insert({any, pair.first});
            cuts_.insert({pair.first, any});
        }
        at(end_ms, [this, any] {
            for (auto &pair : nodes_) {
                cuts_.erase({any, pair.first});
                cuts_.erase({pair.first, any});
            }
        });
        break;
    case Fault::CutLog:
        log_cuts_.insert(entry);
        at(end_ms, [this, entry] { log_cuts_.erase(entry); });
        break;
    case Fault::LogOutage:
        log_down_ = true;
        at(end_ms, [this] { log_down_ = false; });
        break;
    case Fault::LoseConfirm:
        lose_confirm_ += 1 + (int)(action.target % 4);
        break;
    case Fault::DrainEntry:
        if (find(entry)->alive && !find(entry)->draining) {
            find(entry)->draining = true;
            publish_hosts(entry, true, true, 0);
            Entry_Drain(find(entry)->entry, time_of(find(entry)));
        }
        break;
    case Fault::DrainCompanion:
        if (find(companion)->alive && !find(companion)->draining) {
            find(companion)->draining = true;
            leaving_since_[companion] = now_ms_;
            Companion_Drain(find(companion)->companion,
                            time_of(find(companion)));
        }
        break;
    case Fault::LeaveCompanion:
        publish_hosts(companion, true, true, HOST_LAG_MS / 2);
        leaving_since_[companion] = now_ms_;
        at(end_ms, [this, companion] {
            leaving_since_.erase(companion);
            publish_hosts(companion, true, false, 0);
        });
        break;
    case Fault::ExpireLog:
        while (log_first_ <= log_.size() &&
               log_times_[log_first_ - 1] < now_ms_ - RETENTION_MS) {
            log_first_++;
        }
        break;
    case Fault::Burst:
        for (int i = 0; i < 15; i++) {
            new_job();
        }
        break;
    case Fault::Split:
        split(action.target | action.other << 6, end_ms);
        break;
    case Fault::Count:
        break;
    }
}

/* A planned stop must leave nobody waiting. */
void
World::check_stop(const Node *node)
{
    if (node->running > 0) {
        report_.cut_off.push_back(format("%s stopped with %lld tasks running",
                                         Address_Text(node->address),
                                         (long long)node->running));
    }
    for (const Attempt &attempt : attempts_) {
        if (attempt.entry == node->address && attempt.life == node->life &&
            !attempt.answered) {
            report_.cut_off.push_back(key_text(jobs_[attempt.job].key) +
                                      " was cut off by a planned stop");
        }
    }
}

/* Without faults an accepted edit is in force everywhere by now. */
void
World::check_in_force(const AcceptedEdit &edit)
{
    for (auto &pair : nodes_) {
        const Node *node = pair.second.get();
        const Table *table = node->is_entry ? Entry_Table(node->entry)
                                            : Companion_Table(node->companion);
        if (Table_Version(table, edit.group.c_str()) < edit.version) {
            report_.table.push_back(
                format("%s has not applied %s at version %llu",
                       Address_Text(node->address), edit.group.c_str(),
                       (unsigned long long)edit.version));
        }
    }
}

/* Ends all faults; every host comes back. */
void
World::heal()
{
    faults_on_ = false;
    cuts_.clear();
    log_cuts_.clear();
    log_down_ = false;
    lose_confirm_ = 0;
    for (auto &pair : nodes_) {
        pair.second->frozen_until_ms = 0;
        publish_hosts(pair.first, true, false, 0);
        leaving_since_.erase(pair.first);
        if (!pair.second->alive) {
            boot(pair.second.get());
        }
    }
}

Report
World::run()
{
    for (auto &pair : nodes_) {
        boot(pair.second.get());
    }
    for (const char *group : {"small", "large"}) {
        at(WARM_UP_MS / 2, [this, group] { edit(group); });
        at(WARM_UP_MS * 3 / 4, [this, group] { edit(group); });
    }
    for (uint32_t i = 0; i < plan_.edits; i++) {
        const char *group = i % 2 == 0 ? "small" : "large";
        int64_t when_ms = WARM_UP_MS +
                          (int64_t)below((uint64_t)plan_.length_ms);
        /* Two operators race for the row. */
        at(when_ms, [this, group] { edit(group); });
        at(when_ms + 1, [this, group] { edit(group); });
    }
    for (uint32_t i = 0; i < plan_.jobs; i++) {
        at(WARM_UP_MS + (int64_t)below((uint64_t)plan_.length_ms),
           [this] { new_job(); });
    }
    for (const Action &action : plan_.actions) {
        at(WARM_UP_MS + action.at_ms, [this, action] { inject(action); });
    }
    at(WARM_UP_MS + plan_.length_ms, [this] { heal(); });
    while (!events_.empty()) {
        Event event = events_.top();
        if (event.at_ms > WARM_UP_MS + plan_.length_ms + HEALED_MS) {
            break;
        }
        events_.pop();
        now_ms_ = std::max(now_ms_, event.at_ms);
        event.act();
    }
    check_end();
    return report_;
}

void
World::check_starts()
{
    std::map<std::string, const Start *> seen;

    report_.starts = starts_.size();
    for (const Start &start : starts_) {
        std::string task = result_text(start.key, start.index);
        auto found = seen.find(task);
        if (found != seen.end()) {
            report_.double_starts.push_back(
                format("%s at %s %lld ms and at %s %lld ms", task.c_str(),
                       Address_Text(found->second->companion),
                       (long long)found->second->at_ms,
                       Address_Text(start.companion), (long long)start.at_ms));
        }
        seen[task] = &start;
    }
}

void
World::check_jobs()
{
    std::set<std::string> started;

    for (const Start &start : starts_) {
        started.insert(key_text(start.key));
    }
    for (const Job &job : jobs_) {
        if (job.attempts > 0 && job.open == 0 && job.all_not_run &&
            started.count(key_text(job.key)) > 0) {
            report_.false_not_run.push_back(key_text(job.key) +
                                            " was said not to have run");
        }
    }
    for (const Attempt &attempt : attempts_) {
        const Node *node = find(attempt.entry);
        if (!attempt.answered && node->alive && node->life == attempt.life) {
            report_.unanswered.push_back(key_text(jobs_[attempt.job].key) +
                                         " at " + Address_Text(attempt.entry));
        }
    }
}

void
World::check_table()
{
    std::map<std::string, const AcceptedEdit *> last;

    for (const AcceptedEdit &edit : accepted_) {
        const AcceptedEdit *&place = last[edit.group];
        if (place == nullptr || place->version < edit.version) {
            place = &edit;
        }
    }
    for (auto &pair : nodes_) {
        const Node *node = pair.second.get();
        if (!node->alive) {
            continue;
        }
        const Table *table = node->is_entry ? Entry_Table(node->entry)
                                            : Companion_Table(node->companion);
        for (auto &item : last) {
            uint64_t version = Table_Version(table, item.first.c_str());
            const Table_Row *row = Table_Find(table, item.first.c_str());
            if (version < item.second->version ||
                (version == item.second->version &&
                 (row == nullptr || row->weight != item.second->weight))) {
                report_.table.push_back(
                    format("%s: %s at version %llu, accepted was %llu",
                           Address_Text(node->address), item.first.c_str(),
                           (unsigned long long)version,
                           (unsigned long long)item.second->version));
            }
        }
    }
}

void
World::check_end()
{
    check_starts();
    check_jobs();
    check_table();
}

} // namespace

std::string
Report::violations() const
{
    std::string all;
    auto add = [&](const char *name, const std::vector<std::string> &list) {
        if (!list.empty()) {
            all += std::string(name) + ": " + list.front() + " (" +
                   std::to_string(list.size()) + ")\n";
        }
    };

    add("double start", double_starts);
    add("partial answer", partial);
    add("wrong answer", wrong);
    add("false not_run", false_not_run);
    add("unanswered", unanswered);
    add("work to a leaving upstream", leaving);
    add("cut off", cut_off);
    add("table", table);
    add("limit", limit);
    return all;
}

Report
run(const Plan &plan)
{
    World world(plan);

    return world.run();
}

} // namespace pump

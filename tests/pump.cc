#include "tests/pump_world.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <cstring>

namespace pump {

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

void
trace(const Node *node, const std::string &text)
{
    static const bool wanted = getenv("PUMP_TRACE") != nullptr;

    if (wanted) {
        fprintf(stderr, "%6lld %s %s\n", (long long)node->simulation->now_ms(),
                Address_Text(node->address), text.c_str());
    }
}

namespace {

/* Ports that forward to the simulation of the node. */

Node *
node_of(void *context)
{
    return static_cast<Node *>(context);
}

const Node_Ports ports = {
    .call =
        [](void *context, Address to, uint64_t call_id, const Msg_Call *call) {
            node_of(context)->simulation->on_call(node_of(context), to,
                                                  call_id, call);
        },
    .reply =
        [](void *context, uint64_t reply_id, const Msg_Reply *reply) {
            node_of(context)->simulation->on_reply(node_of(context), reply_id,
                                                   reply);
        },
    .reset =
        [](void *context, Address to) {
            node_of(context)->simulation->on_reset(node_of(context), to);
        },
    .answer =
        [](void *context, uint64_t request, const Node_Answer *answer) {
            node_of(context)->simulation->on_answer(node_of(context), request,
                                                    answer);
        },
    .append =
        [](void *context, uint64_t append_id, const char *record) {
            node_of(context)->simulation->on_append(node_of(context),
                                                    append_id, record);
        },
    .edited =
        [](void *context, uint64_t request, const Status *status,
           uint64_t version) {
            node_of(context)->simulation->on_edited(request, status, version);
        },
    .run =
        [](void *context, uint64_t run_id, const Node_Task *task) {
            node_of(context)->simulation->on_run(node_of(context), run_id,
                                                 task);
        },
    .event =
        [](void *context, Event_Id id, const char *detail) {
            trace(node_of(context), format("LC%d %s: %s", Event_Number(id),
                                           Event_Text(id), detail));
        },
};

} // namespace

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

Simulation::Simulation(const Plan &plan)
    : plan_(plan), random_(Random_Seed(plan.seed * 2))
{
    for (uint32_t i = 0; i < plan.entries + plan.companions; i++) {
        auto node = std::make_unique<Node>();
        node->simulation = this;
        node->address = BASE | (7001 + i);
        node->is_entry = i < plan.entries;
        node->skew_ms = (int64_t)below(SKEW_MS) - SKEW_MS / 2;
        (node->is_entry ? entries_ : companions_).push_back(node->address);
        publish_hosts(node->address, true, false, 0);
        nodes_[node->address] = std::move(node);
    }
}

Simulation::~Simulation()
{
    for (auto &pair : nodes_) {
        Entry_Free(pair.second->entry);
        Companion_Free(pair.second->companion);
    }
}

uint64_t
Simulation::random()
{
    return Random_Next(&random_);
}

uint64_t
Simulation::below(uint64_t limit)
{
    return limit == 0 ? 0 : (random() >> 16) % limit;
}

bool
Simulation::chance(uint32_t permille)
{
    return below(1000) < permille;
}

int64_t
Simulation::delay()
{
    if (faults_on_ && chance(plan_.late_permille)) {
        return (int64_t)below((uint64_t)plan_.late_ms);
    }
    return 1 + (int64_t)below((uint64_t)plan_.max_delay_ms);
}

void
Simulation::schedule(int64_t when_ms, std::function<void()> act)
{
    events_.push({when_ms, ++order_, std::move(act)});
}

/*
 * Schedules an input for one generation of a node. A frozen node gets it when
 * the freeze ends.
 */
void
Simulation::schedule_input(Address address, uint64_t generation,
                           int64_t when_ms, std::function<void(Node *)> act)
{
    schedule(when_ms, [this, address, generation, act = std::move(act)] {
        Node *node = find(address);
        if (!node->alive || node->generation != generation) {
            return;
        }
        if (now_ms_ < node->frozen_until_ms) {
            schedule_input(address, generation, node->frozen_until_ms, act);
            return;
        }
        act(node);
    });
}

Node_Time
Simulation::time_of(const Node *node) const
{
    return {now_ms_ + 1000000, START_WALL_MS + now_ms_ + node->skew_ms};
}

Node *
Simulation::find(Address address)
{
    return nodes_.at(address).get();
}

bool
Simulation::is_cut(Address from, Address to) const
{
    return cuts_.count({from, to}) > 0;
}

void
Simulation::boot(Node *node)
{
    Node_Time now = time_of(node);

    node->alive = true;
    node->draining = false;
    node->drained_ms = 0;
    node->generation++;
    node->frozen_until_ms = 0;
    node->versions.clear();
    node->running = 0;
    node->calls.clear();
    node->self = {node->address,
                  (uint64_t)now.wall_ms * 1000 + ++incarnations_};
    leaving_since_.erase(node->address);
    if (node->is_entry) {
        Entry_Config config = Entry_Defaults(node->self);
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
    uint64_t generation = node->generation;
    schedule_input(address, generation, now_ms_ + 1 + (int64_t)below(TICK_MS),
                   [this](Node *alive) { tick(alive); });
    if (node->is_entry) {
        poll_log(address, generation);
        poll_hosts(address, generation);
    }
}

void
Simulation::kill(Node *node)
{
    if (!node->alive) {
        return;
    }
    node->alive = false;
    Entry_Free(node->entry);
    node->entry = nullptr;
    Companion_Free(node->companion);
    node->companion = nullptr;
    /* The connections of its peers break. */
    for (auto &pair : nodes_) {
        Node *peer = pair.second.get();
        if (peer->alive) {
            on_reset(peer, node->address);
        }
    }
}

void
Simulation::tick(Node *node)
{
    Address address = node->address;
    uint64_t generation = node->generation;

    check_versions(node);
    if (node->is_entry) {
        Entry_Tick(node->entry, time_of(node));
        if (Entry_IsDeposed(node->entry)) {
            Entry_AbandonCallers(node->entry, time_of(node));
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
        check_shutdown(node);
        kill(node);
        publish_hosts(address, true, false, HOST_LAG_MS);
        schedule(now_ms_ + 50, [this, address] {
            if (!find(address)->alive) {
                boot(find(address));
            }
        });
        return;
    }
    schedule_input(address, generation, now_ms_ + TICK_MS,
                   [this](Node *alive) { tick(alive); });
}

void
Simulation::poll_log(Address address, uint64_t generation)
{
    int64_t asked_ms = time_of(find(address)).mono_ms;

    schedule(now_ms_ + delay(), [this, address, generation, asked_ms] {
        /* The log reads its state now; the answer arrives later. */
        bool reachable = !log_down_ && log_cuts_.count(address) == 0;
        std::vector<std::string> records = log_;
        uint64_t first = log_first_;
        schedule_input(
            address, generation, now_ms_ + delay(),
            [this, reachable, records, first, asked_ms](Node *node) {
                if (!reachable) {
                    Entry_OnLog(node->entry, time_of(node), nullptr);
                    return;
                }
                std::vector<lc_record> list;
                uint64_t from = std::max(first,
                                         Entry_NextLogOffset(node->entry));
                for (uint64_t i = from; i <= records.size(); i++) {
                    list.push_back(
                        {i, const_cast<char *>(records[i - 1].c_str())});
                }
                Entry_LogRead read = {asked_ms, first, records.size() + 1,
                                      list.data(), (uint32_t)list.size()};
                Entry_OnLog(node->entry, time_of(node), &read);
                check_versions(node);
            });
        schedule(now_ms_ + LOG_POLL_MS, [this, address, generation] {
            if (find(address)->alive &&
                find(address)->generation == generation) {
                poll_log(address, generation);
            }
        });
    });
}

void
Simulation::poll_hosts(Address address, uint64_t generation)
{
    schedule_input(address, generation, now_ms_ + HOSTS_POLL_MS,
                   [this, generation](Node *node) {
                       std::vector<Membership_Host> rows;
                       for (auto &pair : hosts_shown_) {
                           rows.push_back(pair.second);
                       }
                       Entry_OnHosts(node->entry, time_of(node), rows.data(),
                                     (uint32_t)rows.size());
                       poll_hosts(node->address, generation);
                   });
}

void
Simulation::publish_hosts(Address address, bool listed, bool leaving,
                          int64_t lag_ms)
{
    bool is_entry = address < BASE + 7001 + plan_.entries;
    Membership_Host row = {
        address, is_entry ? LC_ROLE_ENTRY : LC_ROLE_COMPANION, leaving};

    schedule(now_ms_ + lag_ms, [this, address, listed, row] {
        if (listed) {
            hosts_shown_[address] = row;
        }
        else {
            hosts_shown_.erase(address);
        }
    });
}

void
Simulation::lose_call(Address caller, uint64_t generation, uint64_t call_id,
                      int64_t after_ms)
{
    schedule_input(
        caller, generation, now_ms_ + after_ms, [this, call_id](Node *node) {
            end_call(node->address, node->generation, call_id, nullptr);
        });
}

void
Simulation::end_call(Address caller, uint64_t generation, uint64_t call_id,
                     const Msg_Reply *reply)
{
    Node *node = find(caller);

    if (!node->alive || node->generation != generation ||
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
Simulation::on_call(Node *node, Address to, uint64_t call_id,
                    const Msg_Call *call)
{
    Address from = node->address;
    uint64_t generation = node->generation;
    GByteArray *bytes = g_byte_array_new();
    int copies = faults_on_ && chance(plan_.duplicate_permille) ? 2 : 1;

    Msg_EncodeCall(call, (uint32_t)call_id, bytes);
    node->calls[call_id] = to;
    report_.messages++;
    if (nodes_.count(to) == 0 || !find(to)->alive) {
        lose_call(from, generation, call_id, delay());
        g_byte_array_unref(bytes);
        return;
    }
    if (faults_on_ && chance(plan_.drop_permille)) {
        /* The connection breaks: either the call or its reply is lost. */
        lose_call(from, generation, call_id, delay() + (int64_t)below(100));
        if (chance(500)) {
            copies = 0;
        }
    }
    for (int i = 0; i < copies; i++) {
        deliver_call(from, generation, to, call_id, bytes);
    }
    g_byte_array_unref(bytes);
}

/*
 * Runs `act` once two nodes can reach each other: TCP retransmits until the
 * data arrives or one side closes the connection. A close ends the call for
 * its caller, but the copy in flight may still arrive.
 */
void
Simulation::when_connected(Address from, Address to, std::function<void()> act)
{
    if (!is_cut(from, to)) {
        act();
        return;
    }
    schedule(now_ms_ + RETRANSMIT_MS,
             [this, from, to, act] { when_connected(from, to, act); });
}

void
Simulation::handle_call(Node *node, const PendingReply &pending,
                        const std::string &data)
{
    Msg_Record record;
    uint64_t id = ++next_reply_id_;

    Msg_Decode((const uint8_t *)data.data(), data.size(), &record);
    if (record.type != MSG_IS_CALL) {
        report_.wrong.push_back("a call did not decode");
        return;
    }
    pending_replies_[id] = pending;
    pending_replies_[id].kind = record.call.kind;
    if (node->is_entry) {
        Entry_OnCall(node->entry, time_of(node), id, &record.call);
    }
    else {
        Companion_OnCall(node->companion, time_of(node), id, &record.call);
    }
    Msg_FreeCall(&record.call);
}

void
Simulation::deliver_call(Address from, uint64_t from_generation, Address to,
                         uint64_t call_id, GByteArray *bytes)
{
    uint64_t to_generation = find(to)->generation;
    std::string data((const char *)bytes->data + MSG_MARK_SIZE,
                     bytes->len - MSG_MARK_SIZE);
    PendingReply pending = {from, from_generation, call_id, to, MSG_PING};

    when_connected(from, to, [this, to, to_generation, pending, data] {
        schedule_input(to, to_generation, now_ms_ + delay(),
                       [this, pending, data](Node *node) {
                           handle_call(node, pending, data);
                       });
    });
}

void
Simulation::handle_reply(const PendingReply &pending, const std::string &data)
{
    Msg_Record record;
    Msg_Reply decoded;
    const uint8_t *bytes = (const uint8_t *)data.data();

    Msg_Decode(bytes, data.size(), &record);
    if (record.type != MSG_IS_REPLY ||
        !Msg_DecodeReply(pending.kind, bytes + record.body,
                         data.size() - record.body, &decoded)) {
        report_.wrong.push_back("a reply did not decode");
        return;
    }
    end_call(pending.caller, pending.caller_generation, pending.call_id,
             &decoded);
    Msg_FreeReply(&decoded);
}

void
Simulation::on_reply(Node *node, uint64_t reply_id, const Msg_Reply *reply)
{
    auto found = pending_replies_.find(reply_id);

    if (found == pending_replies_.end()) {
        report_.wrong.push_back("a reply without a pending call");
        return;
    }
    PendingReply pending = found->second;
    pending_replies_.erase(found);
    report_.messages++;
    GByteArray *bytes = g_byte_array_new();
    Msg_EncodeReply(reply, (uint32_t)pending.call_id, bytes);
    std::string data((const char *)bytes->data + MSG_MARK_SIZE,
                     bytes->len - MSG_MARK_SIZE);
    g_byte_array_unref(bytes);
    when_connected(node->address, pending.caller, [this, pending, data] {
        schedule_input(
            pending.caller, pending.caller_generation, now_ms_ + delay(),
            [this, pending, data](Node *) { handle_reply(pending, data); });
    });
}

void
Simulation::on_reset(Node *node, Address to)
{
    for (auto &pair : node->calls) {
        if (pair.second == to) {
            lose_call(node->address, node->generation, pair.first, 1);
        }
    }
}

void
Simulation::on_append(Node *node, uint64_t append_id, const char *text)
{
    Address address = node->address;
    uint64_t generation = node->generation;
    std::string record = text;

    schedule(
        now_ms_ + delay(), [this, address, generation, append_id, record] {
            bool reachable = !log_down_ && log_cuts_.count(address) == 0;
            bool confirmed = reachable;
            if (reachable) {
                log_.push_back(record);
                log_times_.push_back(now_ms_);
                if (lose_confirms_ > 0) {
                    lose_confirms_--;
                    confirmed = false;
                }
            }
            schedule_input(address, generation, now_ms_ + delay(),
                           [this, append_id, confirmed](Node *alive) {
                               Entry_OnAppend(alive->entry, time_of(alive),
                                              append_id, confirmed);
                           });
        });
}

void
Simulation::on_run(Node *node, uint64_t run_id, const Node_Task *task)
{
    Address address = node->address;
    uint64_t generation = node->generation;
    Key key = task->key;
    uint32_t index = task->index;
    int64_t length_ms = 5 + (int64_t)below(60);

    if (chance(20)) {
        length_ms += (int64_t)below(500); /* a slow task */
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
    /* The upstream keeps running a task even if its companion dies. */
    std::string group = task->group;
    int64_t running = ++running_[group];
    if (group == "large") {
        large_starts_.push_back(now_ms_);
    }
    if (group == "large" && plan_.max_running > 0 &&
        running > plan_.max_running) {
        report_.limit.push_back(format("%lld tasks run, max_running is %lld",
                                       (long long)running,
                                       (long long)plan_.max_running));
    }
    node->running++;
    schedule(now_ms_ + length_ms, [this, group] { running_[group]--; });
    schedule_input(address, generation, now_ms_ + length_ms,
                   [this, run_id, key, index](Node *alive) {
                       alive->running--;
                       std::string result = result_text(key, index);
                       Companion_OnRunEnd(alive->companion, time_of(alive),
                                          run_id, COMPANION_RUN_DONE, 200,
                                          result.data(),
                                          (uint32_t)result.size());
                   });
}

Report
Simulation::run()
{
    for (auto &pair : nodes_) {
        boot(pair.second.get());
    }
    for (const char *group : {"small", "large"}) {
        schedule(WARM_UP_MS / 2, [this, group] { edit(group); });
        schedule(WARM_UP_MS * 3 / 4, [this, group] { edit(group); });
    }
    for (uint32_t i = 0; i < plan_.edits; i++) {
        const char *group = i % 2 == 0 ? "small" : "large";
        int64_t when_ms = WARM_UP_MS +
                          (int64_t)below((uint64_t)plan_.length_ms);
        /* Two operators edit the row concurrently. */
        schedule(when_ms, [this, group] { edit(group); });
        schedule(when_ms + 1, [this, group] { edit(group); });
    }
    for (uint32_t i = 0; i < plan_.jobs; i++) {
        schedule(WARM_UP_MS + (int64_t)below((uint64_t)plan_.length_ms),
                 [this] { submit_new_job(); });
    }
    for (const Action &action : plan_.actions) {
        schedule(WARM_UP_MS + action.at_ms,
                 [this, action] { inject(action); });
    }
    schedule(WARM_UP_MS + plan_.length_ms, [this] { heal(); });
    while (!events_.empty()) {
        Event event = events_.top();
        if (event.at_ms > WARM_UP_MS + plan_.length_ms + RECOVERY_MS) {
            break;
        }
        events_.pop();
        now_ms_ = std::max(now_ms_, event.at_ms);
        event.act();
    }
    check_end();
    return report_;
}

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
    Simulation simulation(plan);

    return simulation.run();
}

} // namespace pump

#include "tests/lease_world.h"

#include <cstring>
#include <functional>

namespace lease {

namespace {

const int64_t LINK_MS = 1;
const int64_t TICK_MS = 50;
const int64_t ORDER_TIMEOUT_MS = 150;
const int64_t RESUBMIT_MS = 1300;
const int64_t DEADLINE_MS = 1500;
const int64_t RETRIES = 3;
const uint32_t JOB_MEMORY_MB = 64;
const lc_resources CAPACITY = {16000, 65536, 0};

/* A message kept with its own memory. */
struct Call {
    uint64_t call_id;
    std::vector<uint8_t> bytes;
};

class World;

/* One direction of calls between two nodes, as one TCP connection. */
struct Link {
    uint64_t generation = 1;
    int64_t free_ms = 0; /* the next message arrives after this */
    int64_t cut_until = 0;
    bool lossy = false;
    std::set<uint64_t> pending; /* calls without a reply */
};

struct EntryNode {
    World *world;
    uint32_t index;
    lc_node node;
    Dispatcher *dispatcher = nullptr;
    int64_t frozen_until = 0;
    bool alive = false;
    uint64_t life = 0;
    int64_t awake_ms = 0;
};

/* A reply that a companion owes, on the connection that the call came by. */
struct Owed {
    uint32_t entry;
    uint64_t call_id;
    uint64_t generation;
};

struct CompanionNode {
    World *world;
    uint32_t index;
    lc_node node;
    Runner *runner = nullptr;
    int64_t frozen_until = 0;
    bool alive = false;
    uint64_t life = 0;
    std::map<uint64_t, Owed> owed; /* by the id of the reply */
    uint64_t next_reply = 0;
};

/* One job of a caller over all its submissions. */
struct CallerJob {
    uint64_t id;
    uint32_t tasks;
    int64_t work_ms;
    int tries = 0;
    bool over = false;
    bool any_taken = false; /* an attempt ended otherwise than "not run" */
    uint64_t open_request = 0;
    bool started = false;
    int64_t first_ms = 0;
};

struct Request {
    uint64_t job;
    uint32_t entry;
    uint64_t life;
    bool answered = false;
};

Address
entry_address(uint32_t index)
{
    return 0x7f0000010000ULL + 7000 + index;
}

Address
companion_address(uint32_t index)
{
    return 0x7f0000010000ULL + 8000 + index;
}

class World {
  public:
    explicit World(const Plan &schedule)
        : plan(schedule), random(Random_Seed(schedule.seed))
    {
        route_table = Route_NewTable(1);
        route = Route_Add(route_table);
        route->name = g_strdup("queue");
        route->authority = g_strdup("host");
        route->path_prefix = g_strdup("/q/");
        route->service = g_strdup("service");
        route->max_attempts = 3;
        route->timeout_ms = DEADLINE_MS;
        route->target_ms = 60;
        route->stretch_percent = 160;
    }

    ~World()
    {
        for (auto &entry : entries) {
            if (entry.dispatcher != nullptr) {
                Dispatcher_Free(entry.dispatcher);
            }
        }
        for (auto &companion : companions) {
            if (companion.runner != nullptr) {
                Runner_Free(companion.runner);
            }
        }
        Route_FreeTable(route_table);
    }

    Report run();

    /* ports */
    void call(EntryNode *from, Address to, uint64_t call_id,
              const Msg_Call *call);
    void reset(EntryNode *from, Address to);
    void answer(EntryNode *from, uint64_t request,
                const Dispatcher_Answer *answer);
    void reply(CompanionNode *from, uint64_t reply_id, const Msg_Reply *reply);
    void order_start(CompanionNode *from, uint64_t id,
                     const Runner_Start *start);
    void order_stop(CompanionNode *from, uint64_t id, const lc_run_id *run,
                    const char *instance, int64_t token);
    void order_look(CompanionNode *from, uint64_t id, const Runner_Look *look);

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
    at(int64_t when, std::function<void()> run)
    {
        events.push({std::max(when, now), ++event_order, std::move(run)});
    }

    uint32_t
    pick(uint32_t below)
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
    void kill_companion(uint32_t index, int64_t for_ms);
    void break_link(uint32_t entry, uint32_t companion);
    void beat(uint32_t index);
    void report_to_entries(uint32_t index);
    void tick_entry(uint32_t index, uint64_t life);
    void tick_companion(uint32_t index, uint64_t life);
    void touch(EntryNode *entry);
    void when_awake(EntryNode *entry, std::function<void()> run);
    void when_awake(CompanionNode *companion, std::function<void()> run);
    void to_companion(uint32_t entry, uint32_t companion, Call message);
    void lose(uint32_t entry, uint64_t life, uint64_t call_id);
    void order(CompanionNode *from, std::function<Runner_OrderEnd()> act,
               std::function<void(Runner_OrderEnd, int64_t)> done);
    void apply(const Action &action);
    void submit(CallerJob *job);
    void again(CallerJob *job, int64_t after_ms);
    void hang_up(uint64_t request);
    void make_job();
    void on_started(uint32_t index, const lc_run_id &id);
    void on_ended(uint32_t index, const lc_run_id &id, Runner_End end);
    void check_room(uint32_t index);
    void check_end();
    std::string name(const lc_run_id &id);

    Plan plan;
    uint64_t random;
    Report report;
    Route_Table *route_table;
    Route *route;
    std::priority_queue<Event> events;
    uint64_t event_order = 0;
    std::vector<EntryNode> entries;
    std::vector<CompanionNode> companions;
    std::vector<Upstream> upstreams;
    std::map<std::pair<uint32_t, uint32_t>, Link> links;
    std::vector<int64_t> late_until;
    std::map<uint64_t, CallerJob> jobs;
    std::map<uint64_t, Request> requests;
    std::map<TaskName, std::map<uint32_t, lc_run_id>> at_work; /* by place */
    std::map<TaskName, bool> done;
    std::map<uint64_t, uint64_t> incarnations;
    uint64_t next_request = 0;
    uint64_t next_job = 0;
    int64_t hang_ups_until = 0;
    int64_t burst_until = 0;
};

std::string
World::name(const lc_run_id &id)
{
    return std::to_string(id.job) + "." + std::to_string(id.index) + " run " +
           std::to_string(id.run);
}

/* ---- what is checked ---- */

void
World::check_room(uint32_t index)
{
    uint32_t used = 0;

    for (auto &pair : upstreams[index].tasks()) {
        used += 1000 + (uint32_t)(pair.second.id.job % 4) * 400;
    }
    if (used > CAPACITY.cpu_milli) {
        violation("upstream " + std::to_string(index) + " over its room");
    }
}

void
World::on_started(uint32_t index, const lc_run_id &id)
{
    auto &places = at_work[task_of(id)];
    auto job = jobs.find(id.job);

    report.starts++;
    if (!places.empty()) {
        violation("two runs at once: " + name(places.begin()->second) +
                  " at " + std::to_string(places.begin()->first) + ", " +
                  name(id) + " at " + std::to_string(index));
    }
    places[index] = id;
    if (job == jobs.end()) {
        violation("a start of no job");
    }
    else {
        job->second.started = true;
    }
    if (trace) {
        fprintf(stderr, "%6ld start %s at %u\n", (long)now, name(id).c_str(),
                index);
    }
}

void
World::on_ended(uint32_t index, const lc_run_id &id, Runner_End end)
{
    at_work[task_of(id)].erase(index);
    if (end == RUNNER_END_DONE) {
        done[task_of(id)] = true;
    }
    if (trace) {
        fprintf(stderr, "%6ld end %s at %u: %d\n", (long)now, name(id).c_str(),
                index, (int)end);
    }
}

void
World::check_end()
{
    for (auto &pair : at_work) {
        if (!pair.second.empty()) {
            violation("a task still runs at the end");
        }
    }
    for (auto &pair : jobs) {
        if (pair.second.started && !pair.second.any_taken) {
            violation("job " + std::to_string(pair.first) +
                      " ran though all its attempts were answered not run");
        }
    }
    for (auto &pair : requests) {
        if (!pair.second.answered) {
            violation("request without an answer");
        }
    }
    for (uint32_t i = 0; i < plan.companions; i++) {
        if (upstreams[i].unseen_ends() != 0) {
            violation("ends that nobody took note of");
        }
    }
    if (report.late_succeeded * 10 < report.late_jobs * 9) {
        violation(
            "service is not back: " + std::to_string(report.late_succeeded) +
            " of " + std::to_string(report.late_jobs));
    }
}

/* ---- time of nodes ---- */

void
World::when_awake(EntryNode *entry, std::function<void()> run)
{
    uint64_t life = entry->life;

    if (!entry->alive) {
        return;
    }
    if (entry->frozen_until > now) {
        at(entry->frozen_until, [this, entry, life, run] {
            if (entry->life == life) {
                when_awake(entry, run);
            }
        });
        return;
    }
    touch(entry);
    run();
    Dispatcher_Settle(entry->dispatcher, now);
}

/* As the process does: after standing still, all input is read first. */
void
World::touch(EntryNode *entry)
{
    uint64_t life = entry->life;

    if (now - entry->awake_ms > 200) {
        Dispatcher_Pause(entry->dispatcher);
        at(now + 40, [this, entry, life] {
            if (entry->life == life && entry->alive) {
                Dispatcher_Resume(entry->dispatcher);
                Dispatcher_Settle(entry->dispatcher, now);
            }
        });
    }
    entry->awake_ms = now;
}

void
World::when_awake(CompanionNode *companion, std::function<void()> run)
{
    uint64_t life = companion->life;

    if (!companion->alive) {
        return;
    }
    if (companion->frozen_until > now) {
        at(companion->frozen_until, [this, companion, life, run] {
            if (companion->life == life) {
                when_awake(companion, run);
            }
        });
        return;
    }
    run();
}

/* ---- messages ---- */

void
World::lose(uint32_t index, uint64_t life, uint64_t call_id)
{
    EntryNode *entry = &entries[index];

    at(now + LINK_MS, [this, entry, life, call_id] {
        if (entry->life != life) {
            return;
        }
        when_awake(entry, [this, entry, call_id] {
            Dispatcher_OnReply(entry->dispatcher, now, call_id, nullptr);
        });
    });
}

void
World::break_link(uint32_t entry, uint32_t companion)
{
    Link &link = links[{entry, companion}];
    std::set<uint64_t> pending = link.pending;

    link.generation++;
    link.pending.clear();
    link.free_ms = 0;
    for (uint64_t call_id : pending) {
        lose(entry, entries[entry].life, call_id);
    }
}

void
World::to_companion(uint32_t entry, uint32_t index, Call message)
{
    Link &link = links[{entry, index}];
    uint64_t generation = link.generation;
    int64_t arrives = std::max(now + LINK_MS, link.free_ms);
    auto shared = std::make_shared<Call>(std::move(message));

    link.pending.insert(shared->call_id);
    if (!companions[index].alive) {
        break_link(entry, index);
        return;
    }
    if (link.cut_until > now && link.lossy) {
        return;
    }
    if (link.cut_until > arrives) {
        arrives = link.cut_until;
    }
    link.free_ms = arrives;
    at(arrives, [this, entry, index, generation, shared] {
        CompanionNode *companion = &companions[index];
        if (links[{entry, index}].generation != generation) {
            return;
        }
        when_awake(companion, [this, entry, companion, generation, shared] {
            Msg_Record record;
            uint64_t reply_id = ++companion->next_reply;
            Msg_Decode(shared->bytes.data() + MSG_MARK_SIZE,
                       shared->bytes.size() - MSG_MARK_SIZE, &record);
            companion->owed[reply_id] = {entry, shared->call_id, generation};
            Runner_OnCall(companion->runner, now, reply_id, &record.call);
            Msg_FreeCall(&record.call);
        });
    });
}

void
World::call(EntryNode *from, Address to, uint64_t call_id,
            const Msg_Call *message)
{
    GByteArray *bytes = g_byte_array_new();
    Call copy;

    Msg_EncodeCall(message, 1, bytes);
    copy.call_id = call_id;
    copy.bytes.assign(bytes->data, bytes->data + bytes->len);
    g_byte_array_unref(bytes);
    to_companion(from->index, (uint32_t)(to - companion_address(0)),
                 std::move(copy));
}

void
World::reset(EntryNode *from, Address to)
{
    break_link(from->index, (uint32_t)(to - companion_address(0)));
}

void
World::reply(CompanionNode *from, uint64_t reply_id, const Msg_Reply *message)
{
    auto owed = from->owed.find(reply_id);
    Owed to;

    if (owed == from->owed.end()) {
        return;
    }
    to = owed->second;
    from->owed.erase(owed);
    uint32_t entry_index = to.entry;
    uint64_t call_id = to.call_id;
    Link &link = links[{entry_index, from->index}];
    if (link.generation != to.generation || link.pending.erase(call_id) == 0) {
        return;
    }
    if (link.cut_until > now && link.lossy) {
        link.pending.insert(call_id);
        return;
    }
    Msg_Reply copy = *message; /* none of these replies own memory */
    int64_t arrives = std::max(now + LINK_MS, link.cut_until);
    uint64_t life = entries[entry_index].life;
    EntryNode *entry = &entries[entry_index];
    at(arrives, [this, entry, life, call_id, copy] {
        if (entry->life != life) {
            return;
        }
        when_awake(entry, [this, entry, call_id, copy] {
            Dispatcher_OnReply(entry->dispatcher, now, call_id, &copy);
        });
    });
}

/* ---- orders ---- */

void
World::order(CompanionNode *from, std::function<Runner_OrderEnd()> act,
             std::function<void(Runner_OrderEnd, int64_t)> done_with)
{
    Upstream *upstream = &upstreams[from->index];
    uint64_t life = from->life;
    bool late = late_until[from->index] > now && pick(3) == 0;
    int64_t delay = late ? 1000 + pick(4000) : 0;

    if (!upstream->is_up()) {
        at(now + 1, [this, from, life, done_with] {
            if (from->life == life) {
                when_awake(from, [this, done_with] {
                    done_with(RUNNER_ORDER_UNSENT, 0);
                });
            }
        });
        return;
    }
    at(now + delay, [this, from, life, late, upstream, act, done_with] {
        Runner_OrderEnd end = RUNNER_ORDER_UNANSWERED;
        int64_t clock = upstream->clock(now);
        if (upstream->is_up()) {
            upstream->advance(now);
            end = act();
        }
        if (late || from->life != life) {
            return;
        }
        at(now + 1, [this, from, life, end, clock, done_with] {
            if (from->life == life) {
                when_awake(from,
                           [end, clock, done_with] { done_with(end, clock); });
            }
        });
    });
    if (late) {
        at(now + ORDER_TIMEOUT_MS, [this, from, life, done_with] {
            if (from->life == life) {
                when_awake(from, [done_with] {
                    done_with(RUNNER_ORDER_UNANSWERED, 0);
                });
            }
        });
    }
}

void
World::order_start(CompanionNode *from, uint64_t id, const Runner_Start *start)
{
    Upstream *upstream = &upstreams[from->index];
    uint32_t index = from->index;
    Runner_Start copy = *start;
    auto instance = std::make_shared<std::string>(start->instance);

    copy.spec = "";
    order(
        from,
        [this, upstream, index, copy, instance]() mutable {
            copy.instance = instance->c_str();
            Runner_OrderEnd end = upstream->start(now, copy);
            check_room(index);
            return end;
        },
        [this, from, id](Runner_OrderEnd end, int64_t clock) {
            Runner_OnStarted(from->runner, now, id, end, clock);
        });
}

void
World::order_stop(CompanionNode *from, uint64_t id, const lc_run_id *run,
                  const char *expected, int64_t token)
{
    Upstream *upstream = &upstreams[from->index];
    lc_run_id copy = *run;
    std::string instance = expected;

    order(
        from,
        [this, upstream, copy, instance, token] {
            return upstream->stop(now, copy, instance, token);
        },
        [this, from, id](Runner_OrderEnd end, int64_t clock) {
            Runner_OnStopped(from->runner, now, id, end, clock);
        });
}

void
World::order_look(CompanionNode *from, uint64_t id, const Runner_Look *look)
{
    Upstream *upstream = &upstreams[from->index];
    Runner_Look copy = *look;
    auto instance = std::make_shared<std::string>(look->instance);
    auto running = std::make_shared<std::vector<Runner_Row>>();
    auto ended = std::make_shared<std::vector<Runner_EndRow>>();

    /* A wait of the look is played as a late reading of the same lists. */
    copy.wait_ms = 0;
    order(
        from,
        [this, upstream, copy, instance, running, ended]() mutable {
            copy.instance = instance->c_str();
            return upstream->look(now, copy, running.get(), ended.get());
        },
        [this, from, id, running, ended](Runner_OrderEnd end, int64_t clock) {
            Runner_Listing listing = {end,
                                      clock,
                                      running->data(),
                                      (uint32_t)running->size(),
                                      ended->data(),
                                      (uint32_t)ended->size()};
            uint64_t life = from->life;
            /* One look in ten ms stands for a waiting one. */
            at(now + 9, [this, from, life, id, running, ended, listing] {
                if (from->life == life) {
                    when_awake(
                        from, [this, from, id, running, ended, listing] {
                            Runner_OnLook(from->runner, now, id, &listing);
                        });
                }
            });
        });
}

/* ---- port tables ---- */

void
port_call(void *context, Address to, uint64_t id, const Msg_Call *call)
{
    EntryNode *entry = (EntryNode *)context;
    entry->world->call(entry, to, id, call);
}

void
port_reset(void *context, Address to)
{
    EntryNode *entry = (EntryNode *)context;
    entry->world->reset(entry, to);
}

void
port_answer(void *context, uint64_t id, const Dispatcher_Answer *answer)
{
    EntryNode *entry = (EntryNode *)context;
    entry->world->answer(entry, id, answer);
}

void
print_event(int64_t now, const char *who, uint32_t index, Event_Id id,
            const json_t *fields)
{
    char *text = json_dumps(fields, JSON_COMPACT);

    fprintf(stderr, "%6ld %s %u LC%d %s\n", (long)now, who, index,
            Event_Number(id), text);
    free(text);
}

void
port_entry_event(void *context, Event_Id id, json_t *fields)
{
    EntryNode *entry = (EntryNode *)context;
    if (entry->world->trace) {
        print_event(entry->world->now, "entry", entry->index, id, fields);
    }
    json_decref(fields);
}

void
port_companion_event(void *context, Event_Id id, json_t *fields)
{
    CompanionNode *companion = (CompanionNode *)context;
    if (companion->world->trace) {
        print_event(companion->world->now, "companion", companion->index, id,
                    fields);
    }
    json_decref(fields);
}

void
port_start(void *context, uint64_t id, const Runner_Start *start)
{
    CompanionNode *companion = (CompanionNode *)context;
    companion->world->order_start(companion, id, start);
}

void
port_stop(void *context, uint64_t id, const lc_run_id *run,
          const char *instance, int64_t token)
{
    CompanionNode *companion = (CompanionNode *)context;
    companion->world->order_stop(companion, id, run, instance, token);
}

void
port_look(void *context, uint64_t id, const Runner_Look *look)
{
    CompanionNode *companion = (CompanionNode *)context;
    companion->world->order_look(companion, id, look);
}

void
port_reply(void *context, uint64_t id, const Msg_Reply *reply)
{
    CompanionNode *companion = (CompanionNode *)context;
    companion->world->reply(companion, id, reply);
}

const Dispatcher_Ports entry_ports = {port_call, port_reset, port_answer,
                                      port_entry_event};
const Runner_Ports companion_ports = {port_start, port_stop, port_look,
                                      port_reply, port_companion_event};

Term
make_term()
{
    Term_Bounds bounds = {RESUBMIT_MS, 1000, 50, TICK_MS};
    Term term;

    Term_Plan(&bounds, &term);
    return term;
}

/* ---- lives of nodes ---- */

void
World::start_entry(uint32_t index)
{
    EntryNode *entry = &entries[index];
    Dispatcher_Config config;

    memset(&config, 0, sizeof(config));
    entry->node = {entry_address(index), ++incarnations[entry_address(index)]};
    entry->alive = true;
    entry->frozen_until = 0;
    entry->awake_ms = now;
    config.node = entry->node;
    config.term = make_term();
    config.max_jobs = 10000;
    entry->dispatcher = Dispatcher_New(&config, &entry_ports, entry, now);
    uint64_t life = ++entry->life;
    at(now + pick(TICK_MS), [this, index, life] { tick_entry(index, life); });
}

void
World::start_companion(uint32_t index)
{
    CompanionNode *companion = &companions[index];
    Runner_Config config;

    memset(&config, 0, sizeof(config));
    companion->node = {companion_address(index),
                       ++incarnations[companion_address(index)]};
    companion->alive = true;
    companion->frozen_until = 0;
    companion->owed.clear();
    config.node = companion->node;
    config.term = make_term();
    config.first_token = 1000000 + now;
    config.beat_ms = 500;
    companion->runner = Runner_New(&config, &companion_ports, companion, now);
    uint64_t life = ++companion->life;
    at(now + pick(TICK_MS),
       [this, index, life] { tick_companion(index, life); });
}

void
World::kill_entry(uint32_t index, int64_t for_ms)
{
    EntryNode *entry = &entries[index];

    if (!entry->alive) {
        return;
    }
    entry->alive = false;
    entry->life++;
    Dispatcher_Free(entry->dispatcher);
    entry->dispatcher = nullptr;
    for (uint32_t i = 0; i < plan.companions; i++) {
        Link &link = links[{index, i}];
        link.generation++;
        link.pending.clear();
    }
    for (auto &pair : requests) {
        Request &request = pair.second;
        if (request.entry == index && !request.answered) {
            request.answered = true;
            CallerJob &job = jobs[request.job];
            if (job.open_request == pair.first) {
                job.any_taken = true;
                again(&job, RESUBMIT_MS);
            }
        }
    }
    at(now + for_ms, [this, index] { start_entry(index); });
}

void
World::kill_companion(uint32_t index, int64_t for_ms)
{
    CompanionNode *companion = &companions[index];

    if (!companion->alive) {
        return;
    }
    companion->alive = false;
    companion->life++;
    Runner_Free(companion->runner);
    companion->runner = nullptr;
    for (uint32_t i = 0; i < plan.entries; i++) {
        break_link(i, index);
    }
    at(now + for_ms, [this, index] { start_companion(index); });
}

void
World::tick_entry(uint32_t index, uint64_t life)
{
    EntryNode *entry = &entries[index];

    if (entry->life != life) {
        return;
    }
    when_awake(entry,
               [this, entry] { Dispatcher_Tick(entry->dispatcher, now); });
    at(now + TICK_MS, [this, index, life] { tick_entry(index, life); });
}

void
World::tick_companion(uint32_t index, uint64_t life)
{
    CompanionNode *companion = &companions[index];

    if (companion->life != life) {
        return;
    }
    when_awake(companion,
               [this, companion] { Runner_Tick(companion->runner, now); });
    report_to_entries(index);
    at(now + TICK_MS, [this, index, life] { tick_companion(index, life); });
}

void
World::report_to_entries(uint32_t index)
{
    CompanionNode *companion = &companions[index];
    lc_report_args args;

    if (!companion->alive || companion->frozen_until > now ||
        !Runner_Report(companion->runner, now, &args)) {
        return;
    }
    args.hall = (char *)"hall";
    for (uint32_t i = 0; i < plan.entries; i++) {
        EntryNode *entry = &entries[i];
        const Link &link = links[{i, index}];
        uint64_t life = entry->life;
        if (link.cut_until > now) {
            continue; /* said again soon */
        }
        lc_host_state host = args.host;
        std::string instance = args.instance;
        std::string service = args.service;
        lc_resources room = args.capacity;
        at(now + LINK_MS, [this, entry, life, host, instance, service, room] {
            if (entry->life != life) {
                return;
            }
            when_awake(entry, [this, entry, host, instance, service, room] {
                lc_report_args copy;
                memset(&copy, 0, sizeof(copy));
                copy.host = host;
                copy.hall = (char *)"hall";
                copy.instance = (char *)instance.c_str();
                copy.service = (char *)service.c_str();
                copy.capacity = room;
                copy.next_ms = 500;
                Dispatcher_OnReport(entry->dispatcher, now, &copy);
            });
        });
    }
}

void
World::beat(uint32_t index)
{
    CompanionNode *companion = &companions[index];
    Upstream *upstream = &upstreams[index];
    static const char *const labels[] = {nullptr};

    if (upstream->is_up()) {
        when_awake(companion, [this, companion, upstream] {
            Runner_Upstream said = {upstream->instance().c_str(),
                                    "service",
                                    RUNNER_UPSTREAM_READY,
                                    CAPACITY,
                                    labels,
                                    upstream->clock(now)};
            Runner_OnUpstream(companion->runner, now, &said);
        });
    }
    at(now + 500, [this, index] { beat(index); });
}

/* ---- callers ---- */

void
World::make_job()
{
    CallerJob job;
    bool late = now > plan.length_ms + plan.quiet_ms / 2;
    static const int64_t works[] = {60, 60, 200, 200, 900};

    job.id = ++next_job;
    job.tasks = 1 + pick(6);
    job.work_ms = works[pick(5)];
    job.first_ms = now;
    jobs[job.id] = job;
    report.jobs++;
    if (late) {
        report.late_jobs++;
    }
    submit(&jobs[job.id]);
}

void
World::submit(CallerJob *job)
{
    uint32_t index = pick(plan.entries);
    EntryNode *entry = &entries[index];
    uint64_t request = ++next_request;
    uint64_t id = job->id;
    uint64_t life = entry->life;

    job->tries++;
    if (!entry->alive) {
        again(job, RESUBMIT_MS);
        return;
    }
    job->open_request = request;
    requests[request] = {id, index, life};
    at(now + 3, [this, entry, life, id, request] {
        if (entry->life != life) {
            return;
        }
        when_awake(entry, [this, entry, id, request] {
            const CallerJob &caller = jobs[id];
            Dispatcher_Submit submit;
            memset(&submit, 0, sizeof(submit));
            submit.request_id = request;
            submit.route = route;
            submit.deadline_ms = DEADLINE_MS;
            submit.job.id = id;
            submit.job.spec = g_strdup("");
            submit.job.step_count = 1;
            submit.job.steps = g_new0(LeasedJob_Step, 1);
            submit.job.steps[0].count = caller.tasks;
            submit.job.steps[0].need = {1000 + (uint32_t)(id % 4) * 400,
                                        JOB_MEMORY_MB, 0};
            submit.job.steps[0].estimate_ms = (uint32_t)caller.work_ms;
            Dispatcher_OnSubmit(entry->dispatcher, now, &submit);
        });
    });
    int64_t leaves = hang_ups_until > now && pick(3) == 0 ? 1 + pick(200)
                                                          : DEADLINE_MS + 20;
    at(now + leaves, [this, request] { hang_up(request); });
}

void
World::hang_up(uint64_t request)
{
    Request &row = requests[request];
    CallerJob &job = jobs[row.job];
    EntryNode *entry = &entries[row.entry];
    uint64_t life = row.life;

    if (row.answered) {
        return;
    }
    row.answered = true;
    job.any_taken = true;
    at(now + 3, [this, entry, life, request] {
        if (entry->life != life) {
            return;
        }
        when_awake(entry, [this, entry, request] {
            Dispatcher_OnCallerGone(entry->dispatcher, now, request);
        });
    });
    again(&job, RESUBMIT_MS);
}

void
World::again(CallerJob *job, int64_t after_ms)
{
    uint64_t id = job->id;

    job->open_request = 0;
    if (job->tries >= RETRIES) {
        job->over = true;
        return;
    }
    at(now + after_ms, [this, id] { submit(&jobs[id]); });
}

void
World::answer(EntryNode *from, uint64_t request,
              const Dispatcher_Answer *answer)
{
    auto row = requests.find(request);

    (void)from;
    if (row == requests.end() || row->second.answered) {
        if (row == requests.end()) {
            violation("answer to no request");
        }
        return;
    }
    row->second.answered = true;
    CallerJob &job = jobs[row->second.job];
    if (answer->outcome != DISPATCHER_NOT_RUN) {
        job.any_taken = true;
    }
    switch (answer->outcome) {
    case DISPATCHER_SUCCEEDED:
        report.succeeded++;
        if (job.first_ms > plan.length_ms + plan.quiet_ms / 2) {
            report.late_succeeded++;
        }
        for (uint32_t i = 0; i < job.tasks; i++) {
            if (!done[TaskName(job.id, 0, i)]) {
                violation("job " + std::to_string(job.id) +
                          " told as done with a task that is not");
            }
        }
        job.over = true;
        break;
    case DISPATCHER_FAILED:
        report.failed++;
        job.over = true;
        break;
    case DISPATCHER_NOT_RUN:
        report.not_run++;
        job.over = true;
        break;
    default:
        report.given_up++;
        again(&job, RESUBMIT_MS);
        break;
    }
}

/* ---- faults ---- */

void
World::apply(const Action &action)
{
    uint32_t entry = action.target % plan.entries;
    uint32_t companion = action.other % plan.companions;
    Link &link = links[{entry, companion}];
    Upstream *upstream = &upstreams[companion];
    int64_t until = std::min(now + action.length_ms, plan.length_ms);
    int64_t length = until - now;

    if (trace) {
        fprintf(stderr, "%6ld fault %d entry %u companion %u for %ld\n",
                (long)now, (int)action.fault, entry, companion, (long)length);
    }
    switch (action.fault) {
    case Fault::KillEntry:
        kill_entry(entry, length / 4);
        break;
    case Fault::KillCompanion:
        kill_companion(companion, length / 4);
        break;
    case Fault::FreezeEntry:
        entries[entry].frozen_until = until;
        break;
    case Fault::FreezeCompanion:
        companions[companion].frozen_until = until;
        break;
    case Fault::CutPair:
        link.cut_until = until;
        link.lossy = false;
        break;
    case Fault::CutLossy:
        link.cut_until = until;
        link.lossy = true;
        at(until, [this, entry, companion] { break_link(entry, companion); });
        break;
    case Fault::ResetPair:
        break_link(entry, companion);
        break;
    case Fault::CrashUpstream:
        upstream->crash(now, false);
        at(now + length / 2, [this, upstream] { upstream->come_up(now); });
        break;
    case Fault::LateOrders:
        late_until[companion] = until;
        break;
    case Fault::Stuck:
        upstream->manner.stuck = true;
        at(until, [upstream] { upstream->manner.stuck = false; });
        break;
    case Fault::Failing:
        upstream->manner.failing = true;
        at(until, [upstream] { upstream->manner.failing = false; });
        break;
    case Fault::Slow:
        upstream->manner.slow = 8;
        at(until, [upstream] { upstream->manner.slow = 1; });
        break;
    case Fault::HangUps:
        hang_ups_until = until;
        break;
    case Fault::Burst:
        burst_until = until;
        break;
    case Fault::Count:
        break;
    }
}

Report
World::run()
{
    int64_t jobs_until = plan.length_ms + plan.quiet_ms;
    int64_t end = jobs_until + 6000;

    entries.resize(plan.entries);
    companions.resize(plan.companions);
    late_until.resize(plan.companions);
    for (uint32_t i = 0; i < plan.companions; i++) {
        double rate = 1.0 - 0.02 * (double)pick(100) / 100.0;
        upstreams.emplace_back("u" + std::to_string(i), rate);
    }
    for (uint32_t i = 0; i < plan.companions; i++) {
        upstreams[i].on_start = [this, i](const lc_run_id &id) {
            on_started(i, id);
        };
        upstreams[i].on_end = [this, i](const lc_run_id &id, Runner_End how) {
            on_ended(i, id, how);
        };
        upstreams[i].work_of = [this](const lc_run_id &id) {
            return jobs[id.job].work_ms;
        };
        upstreams[i].come_up(0);
        companions[i].world = this;
        companions[i].index = i;
        start_companion(i);
        beat(i);
    }
    for (uint32_t i = 0; i < plan.entries; i++) {
        entries[i].world = this;
        entries[i].index = i;
        start_entry(i);
    }
    for (const Action &action : plan.actions) {
        at(action.at_ms, [this, action] { apply(action); });
    }
    for (int64_t when = 200; when < jobs_until; when += plan.job_every_ms) {
        at(when, [this] {
            make_job();
            if (burst_until > now) {
                make_job();
                make_job();
            }
        });
    }
    for (int64_t when = 0; when < end; when++) {
        while (!events.empty() && events.top().at <= when) {
            Event event = events.top();
            events.pop();
            now = std::max(now, event.at);
            event.run();
        }
        now = when;
        for (Upstream &upstream : upstreams) {
            if (upstream.is_up()) {
                upstream.advance(now);
            }
        }
    }
    check_end();
    return report;
}

} // namespace

std::string
Report::text() const
{
    std::string all;

    for (const std::string &line : violations) {
        all += line + "\n";
    }
    return all;
}

Report
play(const Plan &plan)
{
    World world(plan);

    return world.run();
}

} // namespace lease

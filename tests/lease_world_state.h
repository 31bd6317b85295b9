/**
 * @file lease_world_state.h
 * @brief The world of lease_world.h inside: nodes, links, callers, the store.
 *
 * For tests/lease_world*.cc alone.
 */
#ifndef LC_TESTS_LEASE_WORLD_STATE_H
#define LC_TESTS_LEASE_WORLD_STATE_H

#include <tuple>

#include "tests/lease_world.h"

namespace lease {

const int64_t LINK_MS = 1;
const int64_t TICK_MS = 50;
const int64_t ORDER_TIMEOUT_MS = 150;
const int64_t RESUBMIT_MS = 1300;
const int64_t DEADLINE_MS = 1500;
const int64_t RETRIES = 3;
const uint32_t JOB_MEMORY_MB = 64;
/* Identities of kept jobs begin here. */
const uint64_t FIRST_KEPT = 1000000;
const uint64_t KEEPER_CALL = 1ULL << 62;
/* Upper bound on the delay of a late order. */
const int64_t MAX_ORDER_DELAY_MS = 5000;
const uint32_t MOST_ATTEMPTS = 3;
/* The wall clock shows so much more than the time of the world. */
const int64_t WALL_AHEAD_MS = 1700000000000;
/* Of the first entry's link in a narrow plan: some ten jobs a second, if they
 * are handed on. */
const double NARROW_MBPS = 0.09;
/* Entries among the ends of links, beside companions. */
const uint32_t ENTRY_END = 1000;
const lc_resources CAPACITY = {16000, 65536, 0};
/* A machine that was suspended has stopped what it may not run by then: a
 * tick, a stop, and orders that are sent again. */
const int64_t WAKE_MS = 700;
/* An upstream that has shrunk has told so by then: a heartbeat, held up. */
const int64_t SHRINK_TOLD_MS = 500 + 1200 + 100;
/* Upstreams that may crash under one submission of a job: the platform's three
 * and two, since starts that are lost for other reasons count here too. */
const int CRASHES_MOST = 5;

class World;

/* What a job's caller hands in for its upstreams. */
std::string spec_of(uint64_t job);

/* A message kept with its own memory; a RUNS is several calls. */
struct Call {
    std::vector<uint64_t> call_ids;
    std::vector<uint8_t> bytes;
};

/* One direction of calls between two nodes, as one TCP connection. */
struct Link {
    uint64_t generation = 1;
    int64_t free_ms = 0; /* the next message arrives after this */
    int64_t cut_until = 0;
    bool lossy = false;
    std::set<uint64_t> pending; /* calls without a reply */
};

/* What an entry has read of the store and wants to write there. */
struct KeptPen {
    struct Put {
        std::string key;
        std::string value;
    };
    std::vector<Put> pending;
    std::vector<Put> batch;
    uint64_t pending_number = 0;
    uint64_t batch_number = 0;
    uint64_t sequence = 1;
    bool writing = false;
    uint64_t next = 0;
    bool following = false;
};

/* The store: one topic whose newest record of each key stays. */
struct SimStore {
    struct Record {
        std::string key;
        std::string value;
    };
    std::vector<Record> log;
    uint64_t first = 0;                        /* older records are gone */
    std::map<std::string, uint64_t> sequences; /* by writer */
    int64_t down_until = 0;
    int64_t lossy_until = 0;
};

/* What is told of the halls that operators have closed. */
struct HallNews {
    int64_t as_of = -1;
    uint32_t age_ms = 0;
    std::vector<std::string> halls;
    std::vector<char *> names; /* of the last message */

    lc_closures message();
    static HallNews of(const Closures *closures, int64_t now);
};

/* Hall of a companion. */
std::string hall_of(uint32_t companion);

/* A kept job, as its caller knows it. */
struct KeptCaller {
    uint64_t id;
    uint32_t tasks;
    uint32_t steps; /* 1, or 2 of which the second waits for the first */
    bool lasts;     /* its tasks are started again for good */
    uint32_t times; /* 0: none, it runs once and at once */
    int64_t start_at_ms;
    int64_t interval_ms;
    int64_t last_start_ms = 0;
    int64_t work_ms;
    int tries = 0;
    bool accepted = false;
    bool any_taken = false; /* an attempt ended otherwise than "not run" */
    bool started = false;
    int64_t cancelled_ms = 0; /* when a cancel was acknowledged */
    bool cancel_sent = false;
    uint64_t open_request = 0;
    uint32_t asked = 0; /* the entry that has the open request */
};

/* What upstreams saw of one kept task. */
struct KeptTask {
    std::vector<int> ends_before_start; /* indices into `ends` at each start */
    struct End {
        uint32_t run;
        bool done;
        bool noted;
    };
    std::vector<End> ends;
};

/* A reply that a node owes, on the connection that the call came by. */
struct Owed {
    uint32_t entry;
    uint64_t call_id;
    uint64_t generation;
};

struct EntryNode {
    World *world;
    uint32_t index;
    lc_node node;
    std::map<uint64_t, Owed> owed; /* by the id of the reply */
    uint64_t next_reply = 0;
    Dispatcher *dispatcher = nullptr;
    Keeper *keeper = nullptr;
    KeptPen pen;
    int64_t frozen_until = 0;
    bool alive = false;
    uint64_t life = 0;
    int64_t awake_ms = 0;
};

struct CompanionNode {
    World *world;
    uint32_t index;
    lc_node node;
    Runner *runner = nullptr;
    int64_t frozen_until = 0;
    int64_t suspended_ms = 0; /* not told to its runner yet */
    int64_t started_ms = 0;
    std::string hall;
    bool alive = false;
    uint64_t life = 0;
    std::map<uint64_t, Owed> owed; /* by the id of the reply */
    int64_t wake_ms = 0;           /* when it is woken next, 0 if not */
    uint64_t next_reply = 0;
};

/* One job of a caller over all its submissions. */
struct CallerJob {
    uint64_t id;
    uint32_t tasks;
    int64_t work_ms;
    int tries = 0;
    bool crashes = false; /* an upstream that starts a task of it crashes */
    int crashed = 0;      /* upstreams, in this try */
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

/* Processors that each task of a job needs. */
inline uint32_t
need_of(uint64_t job)
{
    return 1000 + (uint32_t)(job % 4) * 400;
}

/* Processors taken at an upstream. */
inline uint32_t
used_at(const Upstream &upstream)
{
    uint32_t used = 0;

    for (auto &pair : upstream.tasks()) {
        used += need_of(pair.second.id.job);
    }
    return used;
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
            if (entry.keeper != nullptr) {
                Keeper_Free(entry.keeper);
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
        Route_FreeTable(route_table);
    }

    Report run();

    /* ports */
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
    void order_look(CompanionNode *from, uint64_t id, const Runner_Look *look);
    uint64_t put(EntryNode *from, const char *key, const uint8_t *value,
                 size_t length);
    void answer_kept(EntryNode *from, uint64_t request,
                     const Dispatcher_Answer *answer);
    const Route *
    kept_route() const
    {
        return route;
    }
    void kept_job(uint64_t id, LeasedJob *job);
    void note_claim();

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
    void stop_entry(uint32_t index, int64_t length_ms);
    void kill_companion(uint32_t index, int64_t for_ms);
    void break_link(uint32_t entry, uint32_t companion);
    void beat(uint32_t index);
    void send_beat(uint32_t index, int64_t delay_ms);
    void report_to_entries(uint32_t index);
    void tick_entry(uint32_t index, uint64_t life);
    void tick_companion(uint32_t index, uint64_t life);
    void touch(EntryNode *entry);
    void when_awake(EntryNode *entry, std::function<void()> run);
    void when_awake(CompanionNode *companion, std::function<void()> run);
    void arm(CompanionNode *companion);
    void to_companion(uint32_t entry, uint32_t companion, Call message);
    void to_entry(uint32_t entry, uint32_t other, Call message);
    void take_from_entry(EntryNode *at, uint64_t reply_id,
                         const Msg_Call *call);
    int64_t entries_cut_until(uint32_t from, uint32_t to) const;
    void offer_delegates(EntryNode *entry);
    void lose(uint32_t entry, uint64_t life, uint64_t call_id);
    void when_up(const Upstream *upstream, std::function<void()> act);
    void order(CompanionNode *from, std::function<Runner_OrderEnd()> act,
               std::function<void(Runner_OrderEnd, int64_t)> done);
    void apply(const Action &action);
    void submit(CallerJob *job);
    void again(CallerJob *job, int64_t after_ms);
    void hang_up(uint64_t request);
    void make_job();
    void make_crasher();
    void crash_under(uint32_t index, CallerJob *job);
    void suspend(uint32_t index, int64_t until);
    void count_again(uint32_t index);
    void count_run(uint32_t index, const lc_run_id &id);
    bool has_room(const CallerJob &job) const;
    void on_started(uint32_t index, const lc_run_id &id);
    void on_ended(uint32_t index, const lc_run_id &id, Runner_End end);
    void check_room(uint32_t index);
    void check_end();
    void check_kept();
    void start_keeper(EntryNode *entry);
    void follow_store(uint32_t index, uint64_t life);
    void read_store(EntryNode *entry);
    void take_records(EntryNode *entry, uint64_t end, bool newest);
    void write_store(EntryNode *entry);
    void apply_batch(EntryNode *entry, const std::string &writer,
                     uint64_t sequence,
                     std::shared_ptr<std::vector<KeptPen::Put>> batch);
    bool store_answers(const EntryNode *entry) const;
    void gossip(uint32_t index, uint64_t life);
    void put_hall(uint32_t number, bool closed);
    void close_hall(uint32_t number, int64_t until);
    HallNews read_halls() const;
    void tell_entry(EntryNode *entry, int64_t after_ms, int64_t asked_ms,
                    HallNews news);
    void follow_halls(uint32_t index, uint64_t life);
    void tell_companion(CompanionNode *companion, int64_t after_ms,
                        int64_t asked_ms, HallNews news);
    void confirm_halls(CompanionNode *companion);
    void check_hall(uint32_t index, const lc_run_id &id);
    void check_spec(const lc_run_id &id, const char *spec);
    void check_halls_serve();
    int64_t halls_serve_by() const;
    void make_kept();
    void submit_kept(uint64_t id);
    void cancel_kept(uint64_t id);
    void end_lasting();
    void lose_kept(uint32_t entry);
    void on_kept_start(const lc_run_id &id);
    void on_kept_end(const lc_run_id &id, Runner_End end);
    void on_kept_noted(const lc_run_id &id, Runner_End end);
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
    SimStore store;
    std::map<uint64_t, KeptCaller> kept_callers;
    std::map<TaskName, KeptTask> kept_tasks;
    std::map<uint64_t, uint64_t> kept_requests; /* request -> job */
    std::map<uint64_t, uint64_t> cancel_requests;
    std::vector<std::pair<std::string, bool>> hall_log;
    std::map<uint32_t, uint64_t> closings; /* by number of the hall */
    std::map<std::string, int64_t> closed_since;
    std::map<std::string, int64_t> opened_at;
    std::map<std::string, int64_t> started_in; /* the last order */
    std::set<
        std::tuple<uint32_t, uint64_t, uint32_t, uint32_t, uint32_t, uint32_t>>
        ordered;
    std::vector<int64_t> store_cut_until;
    std::vector<int64_t> gossip_cut_until;
    std::vector<uint32_t> entry_cut_way; /* 0: both, 1: out, 2: in */
    int64_t hang_ups_until = 0;
    int64_t burst_until = 0;
};

} // namespace lease

#endif

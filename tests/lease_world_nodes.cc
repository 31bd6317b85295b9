#include "tests/lease_world_state.h"

#include <cstring>

namespace lease {

namespace {

const int64_t BEAT_MS = 500;
const uint64_t HELD_UP_EACH = 5;
const int64_t HELD_UP_MS = 1200;

} // namespace

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
    Keeper_Settle(entry->keeper, now);
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
    if (companion->suspended_ms > 0) {
        Runner_OnSuspended(companion->runner, now, companion->suspended_ms);
        companion->suspended_ms = 0;
    }
    run();
    arm(companion);
}

/* As the process does: the runner is called when an answer is overdue. */
void
World::arm(CompanionNode *companion)
{
    int64_t due = std::max(Runner_DueMs(companion->runner), now + 1);
    uint64_t life = companion->life;

    if (due >= INT64_MAX - 1 ||
        (companion->wake_ms > now && companion->wake_ms <= due)) {
        return;
    }
    companion->wake_ms = due;
    at(due, [this, companion, life] {
        if (companion->life == life) {
            when_awake(companion, [this, companion] {
                Runner_Wake(companion->runner, now);
            });
        }
    });
}

namespace {

/* ---- port tables ---- */

void
port_call(void *context, Address to, uint64_t id, const Msg_Call *call)
{
    EntryNode *entry = (EntryNode *)context;
    entry->world->call(entry, to, {id}, call);
}

void
port_runs(void *context, Address to, const uint64_t *ids,
          const lc_runs_args *runs)
{
    EntryNode *entry = (EntryNode *)context;
    Msg_Call call;

    call.kind = MSG_RUNS;
    call.u.runs = *runs;
    entry->world->call(entry, to, {ids, ids + runs->rows.rows_len}, &call);
}

void
port_entry_reply(void *context, uint64_t id, const Msg_Reply *reply)
{
    EntryNode *entry = (EntryNode *)context;
    entry->world->reply(entry, id, reply);
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

void
port_kept_end(void *context, const lc_run_id *id, uint32_t task, lc_node host,
              bool done)
{
    Keeper_OnRunEnd(((EntryNode *)context)->keeper, id, task, host, done);
}

void
port_kept_crash(void *context, const lc_run_id *id, uint32_t task)
{
    Keeper_OnCrash(((EntryNode *)context)->keeper, id, task);
}

void
port_kept_over(void *context, uint64_t job, Dispatcher_Outcome outcome)
{
    Keeper_OnJobOver(((EntryNode *)context)->keeper, job, outcome);
}

const Dispatcher_Ports entry_ports = {
    port_call,        port_reset,    port_answer,
    port_entry_event, port_kept_end, port_kept_crash,
    port_kept_over,   port_runs,     port_entry_reply};
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

} // namespace

/* ---- lives of nodes ---- */

void
World::start_entry(uint32_t index)
{
    EntryNode *entry = &entries[index];
    Dispatcher_Config config;

    memset(&config, 0, sizeof(config));
    /* An identity that was claimed is followed by the next number. */
    entry->node = {entry_address(index),
                   incarnations[entry_address(index)] += 1000};
    entry->alive = true;
    entry->frozen_until = 0;
    entry->awake_ms = now;
    config.node = entry->node;
    config.term = make_term();
    config.max_jobs = 10000;
    /* Both ways stand side by side, as while a new version is rolled out. */
    config.join_runs = index % 2 == 1;
    if (plan.narrow && index == 0) {
        config.link_mbps = NARROW_MBPS;
        config.join_runs = true;
    }
    entry->dispatcher = Dispatcher_New(&config, &entry_ports, entry, now);
    start_keeper(entry);
    uint64_t life = ++entry->life;
    at(now + pick(10), [this, index, life] { follow_store(index, life); });
    at(now + pick(300), [this, index, life] { gossip(index, life); });
    follow_halls(index, life);
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
    companion->frozen_until = upstreams[index].asleep_until();
    companion->suspended_ms = 0;
    companion->started_ms = now;
    companion->hall = hall_of(index);
    companion->wake_ms = 0;
    companion->owed.clear();
    config.node = companion->node;
    config.hall = companion->hall.c_str();
    config.term = make_term();
    config.first_token = 1000000 + now;
    config.beat_ms = 500;
    config.late_ms = MAX_ORDER_DELAY_MS;
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
    Keeper_Free(entry->keeper);
    entry->keeper = nullptr;
    Dispatcher_Free(entry->dispatcher);
    entry->dispatcher = nullptr;
    lose_kept(index);
    for (uint32_t i = 0; i < plan.companions; i++) {
        Link &link = links[{index, i}];
        link.generation++;
        link.pending.clear();
    }
    entry->owed.clear();
    for (uint32_t i = 0; i < plan.entries; i++) {
        Link &link = links[{index, ENTRY_END + i}];
        link.generation++;
        link.pending.clear();
        break_link(i, ENTRY_END + index);
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
World::stop_entry(uint32_t index, int64_t length_ms)
{
    EntryNode *entry = &entries[index];
    uint64_t life = entry->life;

    if (!entry->alive) {
        return;
    }
    when_awake(entry, [this, entry] { Keeper_Leave(entry->keeper, now); });
    at(now + length_ms / 2, [this, entry, index, life, length_ms] {
        if (entry->life == life) {
            kill_entry(index, length_ms / 4);
        }
    });
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
World::offer_delegates(EntryNode *entry)
{
    std::vector<Address> others;

    for (const EntryNode &other : entries) {
        if (other.index != entry->index && other.alive) {
            others.push_back(other.node.address);
        }
    }
    if (Dispatcher_WantsDelegates(entry->dispatcher, now)) {
        Dispatcher_OfferDelegates(entry->dispatcher, others.data(),
                                  (guint)others.size());
    }
}

void
World::tick_entry(uint32_t index, uint64_t life)
{
    EntryNode *entry = &entries[index];

    if (entry->life != life) {
        return;
    }
    when_awake(entry, [this, entry] {
        Keeper_Tick(entry->keeper, now);
        Dispatcher_SetWall(entry->dispatcher, WALL_AHEAD_MS);
        offer_delegates(entry);
        Dispatcher_Tick(entry->dispatcher, now);
    });
    at(now + TICK_MS, [this, index, life] { tick_entry(index, life); });
}

void
World::tick_companion(uint32_t index, uint64_t life)
{
    CompanionNode *companion = &companions[index];

    if (companion->life != life) {
        return;
    }
    when_awake(companion, [this, companion] {
        Runner_Tick(companion->runner, now);
        confirm_halls(companion);
    });
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
    HallNews news = HallNews::of(Runner_Closures(companion->runner), now);
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
        int64_t asked_ms = now;
        at(now + LINK_MS, [=, this] {
            if (entry->life != life) {
                return;
            }
            when_awake(entry, [=, this]() mutable {
                lc_report_args copy;
                memset(&copy, 0, sizeof(copy));
                copy.host = host;
                copy.hall = (char *)companion->hall.c_str();
                copy.closures = news.message();
                tell_companion(
                    companion, LINK_MS, asked_ms,
                    HallNews::of(Dispatcher_Closures(entry->dispatcher), now));
                copy.instance = (char *)instance.c_str();
                copy.service = (char *)service.c_str();
                copy.capacity = room;
                copy.next_ms = 500;
                const Fleet_Host *known = Dispatcher_Host(entry->dispatcher,
                                                          host.node.address);
                uint64_t before = known == nullptr ? 0
                                                   : known->node.incarnation;
                Dispatcher_OnReport(entry->dispatcher, now, &copy);
                known = Dispatcher_Host(entry->dispatcher, host.node.address);
                if (known != nullptr && known->node.incarnation != before) {
                    Keeper_OnHost(entry->keeper, now);
                }
            });
        });
    }
}

/* A heartbeat as it is sent now, that arrives after @p delay_ms. */
void
World::send_beat(uint32_t index, int64_t delay_ms)
{
    CompanionNode *companion = &companions[index];
    Upstream *upstream = &upstreams[index];
    std::string instance = upstream->instance();
    uint64_t sequence = ++upstream->beats;
    int64_t clock_ms = upstream->clock(now);
    int64_t born_ms = upstream->born();
    lc_resources capacity = CAPACITY;

    if (!upstream->is_up() || upstream->asleep_until() > 0) {
        return;
    }
    capacity.cpu_milli = upstream->cpu_milli;
    at(now + delay_ms, [=, this] {
        when_awake(companion, [=, this] {
            static const char *const labels[] = {nullptr};
            Runner_Upstream said = {
                instance.c_str(),      born_ms,  sequence, "service",
                RUNNER_UPSTREAM_READY, capacity, labels,   clock_ms};
            Runner_OnUpstream(companion->runner, now, &said);
        });
    });
}

/* Every fifth heartbeat is held up by a cut until later ones have come. */
void
World::beat(uint32_t index)
{
    uint64_t number = upstreams[index].beats + index;

    send_beat(index, number % HELD_UP_EACH == 0 ? HELD_UP_MS : 0);
    at(now + BEAT_MS, [this, index] { beat(index); });
}

} // namespace lease

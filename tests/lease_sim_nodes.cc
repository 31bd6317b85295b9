#include "tests/lease_sim_state.h"

#include <cstring>

namespace lease {

namespace {

const int64_t HEARTBEAT_MS = 500;
const uint64_t DELAYED_EVERY = 5;
const int64_t HEARTBEAT_DELAY_MS = 1200;
/* An owner that is replaced owned jobs for about this long. */
const int64_t OWNER_LASTS_MS = 500;
const int64_t OWNER_AWAY_MS = 400;

} // namespace

/* ---- scheduling of nodes ---- */

void
Simulation::freeze(EntryNode *entry, int64_t until)
{
    entry->frozen_until = std::max(entry->frozen_until, until);
}

void
Simulation::freeze(CompanionNode *companion, int64_t until)
{
    companion->frozen_until = std::max(companion->frozen_until, until);
}

/* Input of a frozen node is handled in the order of its arrival, as a
 * connection delivers it. */
template <typename Node>
void
Simulation::handle_in_order(Node *node, std::function<void()> run)
{
    if (!node->alive) {
        return;
    }
    if (node->frozen_until <= now && node->input.empty()) {
        handle(node, run);
        return;
    }
    if (node->input.empty()) {
        schedule_thaw(node);
    }
    node->input.push_back(std::move(run));
}

template <typename Node>
void
Simulation::schedule_thaw(Node *node)
{
    uint64_t boot_id = node->boot_id;

    schedule(node->frozen_until, [this, node, boot_id] {
        if (node->boot_id != boot_id) {
            return;
        }
        if (node->frozen_until > now) {
            schedule_thaw(node);
            return;
        }
        while (!node->input.empty()) {
            std::function<void()> run = std::move(node->input.front());
            node->input.pop_front();
            handle(node, run);
        }
    });
}

/* Runs @p run on the entry, after its freeze if it is frozen; drops it if the
 * entry is down or restarts before. */
void
Simulation::when_thawed(EntryNode *entry, std::function<void()> run)
{
    handle_in_order(entry, std::move(run));
}

void
Simulation::when_thawed(CompanionNode *companion, std::function<void()> run)
{
    handle_in_order(companion, std::move(run));
}

void
Simulation::handle(EntryNode *entry, const std::function<void()> &run)
{
    pause_after_stall(entry);
    run();
    Dispatcher_DispatchWaiting(entry->dispatcher, now);
    DurableJobs_Flush(entry->durable_jobs, now);
}

/* As the process does: after a stall, all waiting input is read before tasks
 * are dispatched. */
void
Simulation::pause_after_stall(EntryNode *entry)
{
    uint64_t boot_id = entry->boot_id;

    if (now - entry->active_ms > 200) {
        Dispatcher_Pause(entry->dispatcher);
        schedule(now + 40, [this, entry, boot_id] {
            if (entry->boot_id == boot_id && entry->alive) {
                Dispatcher_Resume(entry->dispatcher);
                Dispatcher_DispatchWaiting(entry->dispatcher, now);
            }
        });
    }
    entry->active_ms = now;
}

void
Simulation::handle(CompanionNode *companion, const std::function<void()> &run)
{
    if (companion->suspended_ms > 0) {
        Runner_OnSuspended(companion->runner, now, companion->suspended_ms);
        companion->suspended_ms = 0;
    }
    run();
    schedule_overdue_check(companion);
}

/* As the process does: calls the runner when an answer is overdue. */
void
Simulation::schedule_overdue_check(CompanionNode *companion)
{
    int64_t due = std::max(Runner_DueMs(companion->runner), now + 1);
    uint64_t boot_id = companion->boot_id;

    if (due >= INT64_MAX - 1 || (companion->overdue_check_ms > now &&
                                 companion->overdue_check_ms <= due)) {
        return;
    }
    companion->overdue_check_ms = due;
    schedule(due, [this, companion, boot_id] {
        if (companion->boot_id == boot_id) {
            when_thawed(companion, [this, companion] {
                Runner_CheckOverdue(companion->runner, now);
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
    entry->sim->call(entry, to, {id}, call);
}

void
port_runs(void *context, Address to, const uint64_t *ids,
          const lc_runs_args *runs)
{
    EntryNode *entry = (EntryNode *)context;
    Msg_Call call;

    call.kind = MSG_RUNS;
    call.u.runs = *runs;
    entry->sim->call(entry, to, {ids, ids + runs->rows.rows_len}, &call);
}

void
port_entry_reply(void *context, uint64_t id, const Msg_Reply *reply)
{
    EntryNode *entry = (EntryNode *)context;
    entry->sim->reply(entry, id, reply);
}

void
port_reset(void *context, Address to)
{
    EntryNode *entry = (EntryNode *)context;
    entry->sim->reset(entry, to);
}

void
port_answer(void *context, uint64_t id, const Dispatcher_Answer *answer)
{
    EntryNode *entry = (EntryNode *)context;
    entry->sim->answer(entry, id, answer);
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
    if (entry->sim->trace) {
        print_event(entry->sim->now, "entry", entry->index, id, fields);
    }
    json_decref(fields);
}

void
port_companion_event(void *context, Event_Id id, json_t *fields)
{
    CompanionNode *companion = (CompanionNode *)context;
    if (companion->sim->trace) {
        print_event(companion->sim->now, "companion", companion->index, id,
                    fields);
    }
    json_decref(fields);
}

void
port_start(void *context, uint64_t id, const Runner_Start *start)
{
    CompanionNode *companion = (CompanionNode *)context;
    companion->sim->order_start(companion, id, start);
}

void
port_stop(void *context, uint64_t id, const lc_run_id *run,
          const char *instance, int64_t token)
{
    CompanionNode *companion = (CompanionNode *)context;
    companion->sim->order_stop(companion, id, run, instance, token);
}

void
port_poll(void *context, uint64_t id, const Runner_Poll *poll)
{
    CompanionNode *companion = (CompanionNode *)context;
    companion->sim->order_poll(companion, id, poll);
}

void
port_reply(void *context, uint64_t id, const Msg_Reply *reply)
{
    CompanionNode *companion = (CompanionNode *)context;
    companion->sim->reply(companion, id, reply);
}

void
port_durable_run_end(void *context, const lc_run_id *id, uint32_t task,
                     lc_node host, bool done)
{
    DurableJobs_OnRunEnd(((EntryNode *)context)->durable_jobs, id, task, host,
                         done);
}

void
port_durable_run_crash(void *context, const lc_run_id *id, uint32_t task)
{
    DurableJobs_OnUpstreamCrash(((EntryNode *)context)->durable_jobs, id,
                                task);
}

void
port_durable_job_end(void *context, uint64_t job, Dispatcher_Outcome outcome)
{
    DurableJobs_OnJobEnd(((EntryNode *)context)->durable_jobs, job, outcome);
}

const Dispatcher_Ports entry_ports = {port_call,
                                      port_reset,
                                      port_answer,
                                      port_entry_event,
                                      port_durable_run_end,
                                      port_durable_run_crash,
                                      port_durable_job_end,
                                      port_runs,
                                      port_entry_reply};
const Runner_Ports companion_ports = {port_start, port_stop, port_poll,
                                      port_reply, port_companion_event};

LeaseTiming
derive_timing()
{
    LeaseTiming_Bounds bounds = {RESUBMIT_MS, 1000, 50, TICK_MS};
    LeaseTiming timing;

    LeaseTiming_Derive(&bounds, &timing);
    return timing;
}

} // namespace

/* ---- starts and ends of nodes ---- */

void
Simulation::start_entry(uint32_t index)
{
    EntryNode *entry = &entries[index];
    Dispatcher_Config config;

    memset(&config, 0, sizeof(config));
    /* An entry whose incarnation was claimed takes the next number, so a
     * restart leaves a gap. */
    entry->node = {entry_address(index),
                   incarnations[entry_address(index)] += 1000};
    entry->alive = true;
    entry->frozen_until = 0;
    entry->active_ms = now;
    config.node = entry->node;
    config.timing = derive_timing();
    config.max_jobs = 10000;
    /* Mixes entries with and without joined runs, as during a rolling
     * upgrade. */
    config.join_runs = index % 2 == 1;
    if (plan.slow_link && index == 0) {
        config.link_mbps = SLOW_LINK_MBPS;
        config.join_runs = true;
    }
    entry->dispatcher = Dispatcher_New(&config, &entry_ports, entry, now);
    apply_routes(entry);
    start_durable_jobs(entry);
    uint64_t boot_id = ++entry->boot_id;
    schedule(now + random_below(10),
             [this, index, boot_id] { poll_store(index, boot_id); });
    schedule(now + random_below(300),
             [this, index, boot_id] { gossip(index, boot_id); });
    poll_halls(index, boot_id);
    schedule(now + random_below(TICK_MS),
             [this, index, boot_id] { tick_entry(index, boot_id); });
}

void
Simulation::start_companion(uint32_t index)
{
    CompanionNode *companion = &companions[index];
    Runner_Config config;

    memset(&config, 0, sizeof(config));
    companion->node = {companion_address(index),
                       ++incarnations[companion_address(index)]};
    companion->alive = true;
    companion->frozen_until = upstreams[index].suspended_until();
    companion->suspended_ms = 0;
    companion->started_ms = now;
    companion->hall = hall_of(index);
    companion->overdue_check_ms = 0;
    companion->pending_replies.clear();
    config.node = companion->node;
    config.hall = companion->hall.c_str();
    config.timing = derive_timing();
    config.first_token = 1000000 + now;
    config.beat_ms = 500;
    config.late_ms = MAX_ORDER_DELAY_MS;
    companion->runner = Runner_New(&config, &companion_ports, companion, now);
    uint64_t boot_id = ++companion->boot_id;
    schedule(now + random_below(TICK_MS),
             [this, index, boot_id] { tick_companion(index, boot_id); });
}

void
Simulation::kill_entry(uint32_t index, int64_t for_ms)
{
    EntryNode *entry = &entries[index];

    if (!entry->alive) {
        return;
    }
    entry->alive = false;
    entry->boot_id++;
    entry->input.clear();
    DurableJobs_Free(entry->durable_jobs);
    entry->durable_jobs = nullptr;
    Dispatcher_Free(entry->dispatcher);
    entry->dispatcher = nullptr;
    fail_durable_requests(index);
    for (uint32_t i = 0; i < plan.companions; i++) {
        Link &link = links[{index, i}];
        link.generation++;
        link.pending.clear();
    }
    entry->pending_replies.clear();
    for (uint32_t i = 0; i < plan.entries; i++) {
        Link &link = links[{index, ENTRY_LINK_BASE + i}];
        link.generation++;
        link.pending.clear();
        break_link(i, ENTRY_LINK_BASE + index);
    }
    for (auto &pair : requests) {
        Request &request = pair.second;
        if (request.entry == index && !request.answered) {
            request.answered = true;
            CallerJob &job = jobs[request.job];
            if (job.open_request == pair.first) {
                job.may_have_run = true;
                resubmit_later(&job, RESUBMIT_MS);
            }
        }
    }
    schedule(now + for_ms, [this, index] { start_entry(index); });
}

void
Simulation::stop_entry(uint32_t index, int64_t length_ms)
{
    EntryNode *entry = &entries[index];
    uint64_t boot_id = entry->boot_id;

    if (!entry->alive) {
        return;
    }
    when_thawed(entry, [this, entry] {
        DurableJobs_HandOver(entry->durable_jobs, now);
    });
    schedule(now + length_ms / 2, [this, entry, index, boot_id, length_ms] {
        if (entry->boot_id == boot_id) {
            kill_entry(index, length_ms / 4);
        }
    });
}

static bool
owns_durable_job(const EntryNode *entry, int64_t now)
{
    json_t *dump = DurableJobs_Dump(entry->durable_jobs, now);
    bool owns = json_integer_value(json_object_get(dump, "owned")) > 0 &&
                !json_is_true(json_object_get(dump, "leaving"));

    json_decref(dump);
    return owns;
}

/* One owner in three is killed, the others hand their jobs over. */
void
Simulation::replace_owner(int64_t until)
{
    if (now >= until) {
        return;
    }
    for (uint32_t i = 0; i < plan.entries; i++) {
        if (!entries[i].alive || !owns_durable_job(&entries[i], now)) {
            continue;
        }
        if (report.owners_replaced++ % 3 == 2) {
            kill_entry(i, OWNER_AWAY_MS);
        }
        else {
            stop_entry(i, OWNER_AWAY_MS);
        }
        break;
    }
    schedule(now + OWNER_LASTS_MS, [this, until] { replace_owner(until); });
}

void
Simulation::kill_companion(uint32_t index, int64_t for_ms)
{
    CompanionNode *companion = &companions[index];

    if (!companion->alive) {
        return;
    }
    companion->alive = false;
    companion->boot_id++;
    companion->input.clear();
    Runner_Free(companion->runner);
    companion->runner = nullptr;
    for (uint32_t i = 0; i < plan.entries; i++) {
        break_link(i, index);
    }
    schedule(now + for_ms, [this, index] { start_companion(index); });
}

void
Simulation::offer_delegates(EntryNode *entry)
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
Simulation::tick_entry(uint32_t index, uint64_t boot_id)
{
    EntryNode *entry = &entries[index];

    if (entry->boot_id != boot_id) {
        return;
    }
    when_thawed(entry, [this, entry] {
        DurableJobs_Tick(entry->durable_jobs, now);
        Dispatcher_SetWallOffset(entry->dispatcher, WALL_OFFSET_MS);
        offer_delegates(entry);
        Dispatcher_Tick(entry->dispatcher, now);
    });
    schedule(now + TICK_MS,
             [this, index, boot_id] { tick_entry(index, boot_id); });
}

void
Simulation::tick_companion(uint32_t index, uint64_t boot_id)
{
    CompanionNode *companion = &companions[index];

    if (companion->boot_id != boot_id) {
        return;
    }
    when_thawed(companion, [this, companion] {
        Runner_Tick(companion->runner, now);
        refresh_closures(companion);
    });
    report_to_entries(index);
    schedule(now + TICK_MS,
             [this, index, boot_id] { tick_companion(index, boot_id); });
}

void
Simulation::report_to_entries(uint32_t index)
{
    CompanionNode *companion = &companions[index];
    lc_report_args args;

    if (!companion->alive || companion->frozen_until > now ||
        !Runner_Report(companion->runner, now, &args)) {
        return;
    }
    ClosureSnapshot snapshot = ClosureSnapshot::of(
        Runner_Closures(companion->runner), now);
    std::vector<lc_late_start> late_starts(
        args.late_starts.late_starts_val,
        args.late_starts.late_starts_val + args.late_starts.late_starts_len);
    u_int late_starts_version = args.late_starts_version;
    for (uint32_t i = 0; i < plan.entries; i++) {
        EntryNode *entry = &entries[i];
        const Link &link = links[{i, index}];
        uint64_t boot_id = entry->boot_id;
        if (link.cut_until > now) {
            continue; /* the next report follows soon */
        }
        lc_host_state host = args.host;
        std::string instance = args.instance;
        std::string service = args.service;
        lc_resources capacity = args.capacity;
        int64_t asked_ms = now;
        schedule(now + LINK_DELAY_MS, [=, this] {
            if (entry->boot_id != boot_id) {
                return;
            }
            when_thawed(entry, [=, this]() mutable {
                lc_report_args copy;
                memset(&copy, 0, sizeof(copy));
                copy.host = host;
                copy.hall = (char *)companion->hall.c_str();
                copy.closures = snapshot.message();
                send_closures_to_companion(
                    companion, LINK_DELAY_MS, asked_ms,
                    ClosureSnapshot::of(Dispatcher_Closures(entry->dispatcher),
                                        now));
                copy.instance = (char *)instance.c_str();
                copy.service = (char *)service.c_str();
                copy.capacity = capacity;
                copy.next_ms = 500;
                copy.late_starts_version = late_starts_version;
                copy.late_starts.late_starts_len = (u_int)late_starts.size();
                copy.late_starts.late_starts_val = late_starts.data();
                const Fleet_Host *known = Dispatcher_Host(entry->dispatcher,
                                                          host.node.address);
                uint64_t before = known == nullptr ? 0
                                                   : known->node.incarnation;
                Dispatcher_OnReport(entry->dispatcher, now, &copy);
                known = Dispatcher_Host(entry->dispatcher, host.node.address);
                if (known != nullptr && known->node.incarnation != before) {
                    DurableJobs_OnHost(entry->durable_jobs, now);
                }
            });
        });
    }
}

/* Sends a heartbeat with the upstream's present state; it arrives after
 * @p delay_ms. */
void
Simulation::send_heartbeat(uint32_t index, int64_t delay_ms)
{
    CompanionNode *companion = &companions[index];
    Upstream *upstream = &upstreams[index];
    std::string instance = upstream->instance();
    uint64_t sequence = ++upstream->heartbeats_sent;
    int64_t clock_ms = upstream->clock(now);
    int64_t born_ms = upstream->born();
    lc_resources capacity = CAPACITY;

    if (!upstream->is_up() || upstream->suspended_until() > 0) {
        return;
    }
    capacity.cpu_milli = upstream->cpu_milli;
    schedule(now + delay_ms, [=, this] {
        when_thawed(companion, [=, this] {
            static const char *const labels[] = {nullptr};
            Runner_Heartbeat heartbeat = {
                instance.c_str(),      born_ms,  sequence, "service",
                RUNNER_UPSTREAM_READY, capacity, labels,   clock_ms};
            Runner_OnHeartbeat(companion->runner, now, &heartbeat);
        });
    });
}

void
Simulation::send_odd_heartbeat(uint32_t index, uint32_t kind)
{
    const int64_t large = (int64_t)1 << 53;
    static const char *const labels[] = {nullptr};
    CompanionNode *companion = &companions[index];
    Upstream *upstream = &upstreams[index];
    std::string instance = upstream->instance();
    Runner_Heartbeat odd = {
        nullptr,   upstream->born(),      upstream->heartbeats_sent + 1000,
        "service", RUNNER_UPSTREAM_READY, CAPACITY,
        labels,    upstream->clock(now)};

    switch (kind % 6) {
    case 0:
        odd.sequence = (uint64_t)large;
        break;
    case 1:
        odd.clock_ms = large;
        break;
    case 2:
        odd.clock_ms += 3600000;
        break;
    case 3:
        odd.born_ms = large;
        break;
    case 4:
        odd.born_ms = 0;
        break;
    default:
        odd.clock_ms = 0;
        break;
    }
    when_thawed(companion, [this, companion, instance, odd] {
        Runner_Heartbeat heartbeat = odd;
        heartbeat.instance = instance.c_str();
        Runner_OnHeartbeat(companion->runner, now, &heartbeat);
    });
}

/* Every fifth heartbeat is delayed until later ones have arrived. */
void
Simulation::run_heartbeats(uint32_t index)
{
    uint64_t number = upstreams[index].heartbeats_sent + index;

    send_heartbeat(index,
                   number % DELAYED_EVERY == 0 ? HEARTBEAT_DELAY_MS : 0);
    schedule(now + HEARTBEAT_MS, [this, index] { run_heartbeats(index); });
}

} // namespace lease

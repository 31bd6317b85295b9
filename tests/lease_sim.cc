#include "tests/lease_sim_state.h"

namespace lease {

namespace {

const int64_t LATE_HEARTBEAT_MS = 700;
const uint32_t REDUCED_CPU_MILLI = 4000;
/* A held connection delivers its calls up to some 0.3 s after it was given up.
 */
const int64_t HELD_DIVISOR = 8;

} // namespace

/* ---- faults ---- */

void
Simulation::inject(const Action &action)
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
        freeze(&entries[entry], until);
        break;
    case Fault::FreezeCompanion:
        freeze(&companions[companion], until);
        break;
    case Fault::CutPair:
        link.cut_until = until;
        link.lossy = false;
        break;
    case Fault::CutLossy:
        link.cut_until = until;
        link.lossy = true;
        schedule(until,
                 [this, entry, companion] { break_link(entry, companion); });
        break;
    case Fault::ResetPair:
        break_link(entry, companion);
        break;
    case Fault::CrashUpstream:
        /* Its last heartbeat arrives after the next incarnation's first. */
        send_heartbeat(companion, length / 2 + LATE_HEARTBEAT_MS);
        upstream->crash(now, false);
        schedule(now + length / 2,
                 [this, upstream] { upstream->bring_up(now); });
        break;
    case Fault::LateOrders:
        orders_late_until[companion] = until;
        break;
    case Fault::Stuck:
        upstream->fault_mode.stuck = true;
        schedule(until, [upstream] { upstream->fault_mode.stuck = false; });
        break;
    case Fault::Failing:
        upstream->fault_mode.failing = true;
        upstream->fault_mode.failing_since_ms = now;
        schedule(until, [upstream] { upstream->fault_mode.failing = false; });
        break;
    case Fault::Slow:
        upstream->fault_mode.slow = 8;
        schedule(until, [upstream] { upstream->fault_mode.slow = 1; });
        break;
    case Fault::CallerDisconnects:
        disconnects_until = until;
        break;
    case Fault::Burst:
        burst_until = until;
        break;
    case Fault::CutEntries:
        gossip_cut_until[entry] = until;
        entry_cut_direction[entry] = action.other % 3;
        break;
    case Fault::StoreDown:
        store.down_until = until;
        break;
    case Fault::StoreCut:
        store_cut_until[entry] = until;
        break;
    case Fault::StoreLossy:
        store.lossy_until = until;
        break;
    case Fault::StopEntry:
        stop_entry(entry, length);
        break;
    case Fault::StoreCompact:
        store.first = store.log.size();
        break;
    case Fault::CloseHall:
        close_hall(action.target, until);
        break;
    case Fault::RestartUpstream:
        send_heartbeat(companion, length / 4 + LATE_HEARTBEAT_MS);
        upstream->crash(now, false);
        schedule(now + length / 4, [this, upstream] {
            if (!upstream->is_up()) {
                upstream->bring_up_same_name(now);
            }
        });
        break;
    case Fault::Suspend:
        suspend(companion, until);
        break;
    case Fault::ReduceCapacity:
        upstream->cpu_milli = REDUCED_CPU_MILLI;
        upstream->capacity_reduced_ms = now;
        schedule(until,
                 [upstream] { upstream->cpu_milli = CAPACITY.cpu_milli; });
        break;
    case Fault::CrashingJob:
        make_crashing_job();
        break;
    case Fault::StopsUnanswered:
        stops_unanswered_until[companion] = until;
        break;
    case Fault::RemoveQueue:
        remove_queue(until);
        break;
    case Fault::HoldForwards:
        hold_forwards(1 + action.target % (plan.entries - 1),
                      now + SILENT_MS + action.length_ms / HELD_DIVISOR);
        break;
    case Fault::ReplaceOwners:
        replace_owner(until);
        break;
    case Fault::StallAppends:
        store.appends_stalled_until = until;
        break;
    case Fault::OddHeartbeat:
        send_odd_heartbeat(companion, action.other);
        break;
    case Fault::Count:
        break;
    }
}

/* A companion and its upstream share one machine. Its runs are not counted
 * while it is suspended; after it resumes, runs whose lease has expired must
 * be stopped within RESUME_STOP_MS. */
void
Simulation::suspend(uint32_t index, int64_t until)
{
    CompanionNode *companion = &companions[index];
    Upstream *upstream = &upstreams[index];

    if (upstream->suspended_until() > 0 || companion->frozen_until > now ||
        until <= now) {
        return;
    }
    companion->frozen_until = until;
    companion->suspended_ms = until - now;
    upstream->suspend(now, until);
    for (auto &pair : upstream->tasks()) {
        active_runs[task_of(pair.second.id)].erase(index);
    }
    schedule(until, [this, upstream, index] {
        upstream->resume();
        schedule(now + RESUME_STOP_MS, [this, index] { recount_runs(index); });
    });
}

/* A machine that is suspended again is recounted when it has resumed. */
void
Simulation::recount_runs(uint32_t index)
{
    if (upstreams[index].suspended_until() > 0) {
        return;
    }
    for (auto &pair : upstreams[index].tasks()) {
        count_run(index, pair.second.id);
    }
}

Report
Simulation::run()
{
    int64_t jobs_end_ms = plan.length_ms + plan.quiet_ms;
    int64_t end = jobs_end_ms + 6000;

    entries.resize(plan.entries);
    companions.resize(plan.companions);
    orders_late_until.resize(plan.companions);
    stops_unanswered_until.resize(plan.companions);
    store_cut_until.resize(plan.entries);
    last_start_ms.resize(plan.companions);
    gossip_cut_until.resize(plan.entries);
    entry_cut_direction.resize(plan.entries);
    for (uint32_t i = 0; i < plan.companions; i++) {
        double rate = 1.0 - 0.02 * (double)random_below(100) / 100.0;
        upstreams.emplace_back("u" + std::to_string(i), rate);
    }
    for (uint32_t i = 0; i < plan.companions; i++) {
        upstreams[i].on_start = [this, i](const lc_run_id &id) {
            on_started(i, id);
        };
        upstreams[i].on_end = [this, i](const lc_run_id &id, Runner_End how) {
            on_ended(i, id, how);
        };
        upstreams[i].on_run_crashed = [this](const lc_run_id &id) {
            if (id.job >= FIRST_DURABLE_ID) {
                durable_tasks[task_of(id)].crashes++;
            }
        };
        upstreams[i].on_end_acknowledged = [this](const lc_run_id &id,
                                                  Runner_End how) {
            if (id.job >= FIRST_DURABLE_ID) {
                on_durable_acknowledged(id, how);
            }
        };
        upstreams[i].work_of = [this](const lc_run_id &id) {
            return id.job >= FIRST_DURABLE_ID ? durable_callers[id.job].work_ms
                                              : jobs[id.job].work_ms;
        };
        upstreams[i].bring_up(0);
        companions[i].sim = this;
        companions[i].index = i;
        start_companion(i);
        run_heartbeats(i);
    }
    for (uint32_t i = 0; i < plan.entries; i++) {
        entries[i].sim = this;
        entries[i].index = i;
        start_entry(i);
    }
    for (const Action &action : plan.actions) {
        schedule(action.at_ms, [this, action] { inject(action); });
    }
    for (int64_t when = 200; when < jobs_end_ms; when += plan.job_every_ms) {
        schedule(when, [this] {
            make_job();
            if (burst_until > now) {
                make_job();
                make_job();
            }
        });
    }
    for (int64_t when = 200; plan.durable_every_ms > 0 && when < jobs_end_ms;
         when += plan.durable_every_ms) {
        schedule(when, [this] { make_durable_job(); });
    }
    if (plan.has_service) {
        schedule(200, [this] { make_service(); });
        schedule(jobs_end_ms - 1, [this] { check_every_upstream_works(); });
    }
    schedule(jobs_end_ms, [this] { cancel_long_running(); });
    if (plan.expect_reopened_halls) {
        schedule(reopened_halls_due_ms(), [this] { check_reopened_halls(); });
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
simulate(const Plan &plan)
{
    Simulation sim(plan);

    return sim.run();
}

} // namespace lease

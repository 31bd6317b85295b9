#include "tests/lease_world_state.h"

namespace lease {

namespace {

const int64_t LATE_BEAT_MS = 700;
const uint32_t SHRUNK_CPU_MILLI = 4000;

} // namespace

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
        /* Its last heartbeat comes when the next incarnation has registered.
         */
        send_beat(companion, length / 2 + LATE_BEAT_MS);
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
    case Fault::CutEntries:
        gossip_cut_until[entry] = until;
        entry_cut_way[entry] = action.other % 3;
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
    case Fault::RebornUpstream:
        send_beat(companion, length / 4 + LATE_BEAT_MS);
        upstream->crash(now, false);
        at(now + length / 4, [this, upstream] {
            if (!upstream->is_up()) {
                upstream->come_again(now);
            }
        });
        break;
    case Fault::Suspend:
        suspend(companion, until);
        break;
    case Fault::Shrink:
        upstream->cpu_milli = SHRUNK_CPU_MILLI;
        upstream->shrunk_ms = now;
        at(until, [upstream] { upstream->cpu_milli = CAPACITY.cpu_milli; });
        break;
    case Fault::Crasher:
        make_crasher();
        break;
    case Fault::Count:
        break;
    }
}

/* Companion and upstream stand on one machine. What runs there is not counted
 * meanwhile; when both are awake again, runs whose lease is over are to be
 * stopped soon. */
void
World::suspend(uint32_t index, int64_t until)
{
    CompanionNode *companion = &companions[index];
    Upstream *upstream = &upstreams[index];

    if (upstream->asleep_until() > 0 || companion->frozen_until > now ||
        until <= now) {
        return;
    }
    companion->frozen_until = until;
    companion->suspended_ms = until - now;
    upstream->suspend(now, until);
    for (auto &pair : upstream->tasks()) {
        at_work[task_of(pair.second.id)].erase(index);
    }
    at(until, [this, upstream, index] {
        upstream->wake();
        at(now + WAKE_MS, [this, index] { count_again(index); });
    });
}

void
World::count_again(uint32_t index)
{
    for (auto &pair : upstreams[index].tasks()) {
        count_run(index, pair.second.id);
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
    store_cut_until.resize(plan.entries);
    gossip_cut_until.resize(plan.entries);
    entry_cut_way.resize(plan.entries);
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
        upstreams[i].on_noted = [this](const lc_run_id &id, Runner_End how) {
            if (id.job >= FIRST_KEPT) {
                on_kept_noted(id, how);
            }
        };
        upstreams[i].work_of = [this](const lc_run_id &id) {
            return id.job >= FIRST_KEPT ? kept_callers[id.job].work_ms
                                        : jobs[id.job].work_ms;
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
    for (int64_t when = 200; plan.kept_every_ms > 0 && when < jobs_until;
         when += plan.kept_every_ms) {
        at(when, [this] { make_kept(); });
    }
    at(jobs_until, [this] { end_lasting(); });
    if (plan.halls_serve) {
        at(halls_serve_by(), [this] { check_halls_serve(); });
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
play(const Plan &plan)
{
    World world(plan);

    return world.run();
}

} // namespace lease

/*
 * Closed halls in the simulation: operators' records in the store, how nodes
 * read them and pass them on, and the check that nothing starts in a closed
 * hall.
 */
#include <cstring>

#include "tests/lease_sim_state.h"

namespace lease {

namespace {

const uint32_t HALLS = 2;
const int64_t HALLS_POLL_MS = 20;
/* A companion whose closures are this old reads the store itself, as the
 * process does after three quarters of times.close_ms. */
const int64_t UNCONFIRMED_MS = 500;
/* Nothing may start in a hall that has been closed for this long: the time
 * above, and as much again for the read, ticks and the order's delivery. */
const int64_t CLOSE_BOUND_MS = 2 * UNCONFIRMED_MS;
/* A reopened hall must get starts within this time. */
const int64_t REOPEN_BOUND_MS = 500;
const uint64_t STALE_EVERY = 8;
const int64_t STALE_DELAY_MS = 1500;

} // namespace

std::string
hall_of(uint32_t companion)
{
    return "hall-" + std::to_string(companion % HALLS);
}

lc_closures
ClosureSnapshot::message()
{
    lc_closures closures = {};

    names.clear();
    for (std::string &hall : halls) {
        names.push_back((char *)hall.c_str());
    }
    closures.as_of = as_of;
    closures.age_ms = age_ms;
    closures.halls.halls_len = (u_int)names.size();
    closures.halls.halls_val = names.data();
    return closures;
}

ClosureSnapshot
ClosureSnapshot::of(const HallClosures *closures, int64_t now)
{
    ClosureSnapshot snapshot;

    snapshot.as_of = closures->as_of;
    snapshot.age_ms = (uint32_t)HallClosures_AgeMs(closures, now);
    for (guint i = 0; i < closures->halls->len; i++) {
        snapshot.halls.push_back((const char *)closures->halls->pdata[i]);
    }
    return snapshot;
}

/* ---- operators and the store ---- */

void
Simulation::record_hall(uint32_t number, bool closed)
{
    std::string hall = "hall-" + std::to_string(number % HALLS);

    hall_log.push_back({hall, closed});
    if (closed) {
        closed_since.emplace(hall, now);
    }
    else {
        closed_since.erase(hall);
        opened_at[hall] = now;
    }
    if (trace) {
        fprintf(stderr, "%6ld operators: %s %s\n", (long)now, hall.c_str(),
                closed ? "closed" : "opened");
    }
}

void
Simulation::close_hall(uint32_t number, int64_t until)
{
    uint64_t closing = ++hall_closings[number % HALLS];

    record_hall(number, true);
    schedule(until, [this, number, closing] {
        if (hall_closings[number % HALLS] == closing) {
            record_hall(number, false);
        }
    });
}

ClosureSnapshot
Simulation::read_halls() const
{
    std::set<std::string> closed;
    ClosureSnapshot snapshot;

    for (auto &record : hall_log) {
        if (record.second) {
            closed.insert(record.first);
        }
        else {
            closed.erase(record.first);
        }
    }
    snapshot.as_of = (int64_t)hall_log.size();
    snapshot.halls.assign(closed.begin(), closed.end());
    return snapshot;
}

/* ---- entries ---- */

void
Simulation::send_closures_to_entry(EntryNode *entry, int64_t after_ms,
                                   int64_t asked_ms, ClosureSnapshot snapshot)
{
    uint64_t boot_id = entry->boot_id;

    schedule(now + after_ms, [this, entry, boot_id, asked_ms, snapshot] {
        if (entry->boot_id != boot_id) {
            return;
        }
        when_thawed(entry, [this, entry, asked_ms, snapshot]() mutable {
            lc_closures closures = snapshot.message();
            Dispatcher_MergeClosures(entry->dispatcher, now, asked_ms,
                                     &closures, "test");
        });
    });
}

/* Delivers some answers late, after newer ones have been read. */
void
Simulation::poll_halls(uint32_t index, uint64_t boot_id)
{
    EntryNode *entry = &entries[index];

    if (entry->boot_id != boot_id) {
        return;
    }
    if (store_reachable(entry)) {
        ClosureSnapshot snapshot = read_halls();
        send_closures_to_entry(entry, LINK_DELAY_MS, now, snapshot);
        if (random_below(STALE_EVERY) == 0) {
            send_closures_to_entry(entry, random_below(STALE_DELAY_MS),
                                   HALL_CLOSURES_UNSOLICITED, snapshot);
        }
    }
    schedule(now + HALLS_POLL_MS,
             [this, index, boot_id] { poll_halls(index, boot_id); });
}

/* ---- companions ---- */

void
Simulation::send_closures_to_companion(CompanionNode *companion,
                                       int64_t after_ms, int64_t asked_ms,
                                       ClosureSnapshot snapshot)
{
    uint64_t boot_id = companion->boot_id;

    schedule(now + after_ms, [this, companion, boot_id, asked_ms, snapshot] {
        if (companion->boot_id != boot_id) {
            return;
        }
        when_thawed(companion,
                    [this, companion, asked_ms, snapshot]() mutable {
                        lc_closures closures = snapshot.message();
                        Runner_MergeClosures(companion->runner, now, asked_ms,
                                             &closures, "test");
                    });
    });
}

/* A companion that gets no closures from entries reads the store, unless the
 * store is down. */
void
Simulation::refresh_closures(CompanionNode *companion)
{
    if (HallClosures_AgeMs(Runner_Closures(companion->runner), now) >=
            UNCONFIRMED_MS &&
        store.down_until <= now) {
        send_closures_to_companion(companion, 2 * LINK_DELAY_MS, now,
                                   read_halls());
    }
}

/* ---- checks ---- */

/* No order may start a task in a closed hall if, for as long as a companion
 * may take to learn of the closing, the companion ran without a freeze and the
 * store was up. Only the first copy of an order is checked: later copies may
 * be sent again after the closing. */
void
Simulation::check_hall(uint32_t index, const lc_run_id &id)
{
    const CompanionNode &companion = companions[index];
    auto closed = closed_since.find(hall_of(index));
    int64_t since = now - CLOSE_BOUND_MS;

    if (!checked_orders
             .insert({index, id.job, id.occurrence, id.step, id.index, id.run})
             .second) {
        return;
    }
    last_order_in_hall[hall_of(index)] = now;
    if (closed != closed_since.end() && closed->second < since &&
        companion.started_ms <= since && companion.frozen_until <= since &&
        store.down_until <= since) {
        violation("a start in " + hall_of(index) + ", closed since " +
                  std::to_string(closed->second) + " ms: " + run_name(id));
    }
}

/* After the last fault every hall is open and must have had a start since it
 * was reopened. Called when REOPEN_BOUND_MS has passed. */
void
Simulation::check_reopened_halls()
{
    for (auto &pair : opened_at) {
        if (last_order_in_hall[pair.first] < pair.second) {
            violation(pair.first +
                      " had no start although it was reopened at " +
                      std::to_string(pair.second) + " ms");
        }
    }
}

int64_t
Simulation::reopened_halls_due_ms() const
{
    return plan.length_ms + REOPEN_BOUND_MS;
}

} // namespace lease

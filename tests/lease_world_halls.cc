/*
 * Halls that operators close in the world: their records in the store, who
 * reads them and who tells others, and that nothing starts in a closed hall.
 */
#include <cstring>

#include "tests/lease_world_state.h"

namespace lease {

namespace {

const uint32_t HALLS = 2;
const int64_t READ_MS = 20;
/* A companion asks the store after so long without a confirmation, as the
 * process does after three quarters of times.close_ms. */
const int64_t UNSURE_MS = 500;
/* Nothing starts so long after a hall was closed: what is left for the read,
 * ticks and the way of the order. */
const int64_t CLOSED_MS = 2 * UNSURE_MS;
/* After a hall was opened it serves again within so long. */
const int64_t OPENED_MS = 500;
const uint64_t STALE_EACH = 8;
const int64_t STALE_MS = 1500;

} // namespace

std::string
hall_of(uint32_t companion)
{
    return "hall-" + std::to_string(companion % HALLS);
}

lc_closures
HallNews::message()
{
    lc_closures told = {};

    names.clear();
    for (std::string &hall : halls) {
        names.push_back((char *)hall.c_str());
    }
    told.as_of = as_of;
    told.age_ms = age_ms;
    told.halls.halls_len = (u_int)names.size();
    told.halls.halls_val = names.data();
    return told;
}

HallNews
HallNews::of(const Closures *closures, int64_t now)
{
    HallNews news;

    news.as_of = closures->as_of;
    news.age_ms = (uint32_t)Closures_AgeMs(closures, now);
    for (guint i = 0; i < closures->halls->len; i++) {
        news.halls.push_back((const char *)closures->halls->pdata[i]);
    }
    return news;
}

/* ---- operators and the store ---- */

void
World::put_hall(uint32_t number, bool closed)
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
World::close_hall(uint32_t number, int64_t until)
{
    uint64_t closing = ++closings[number % HALLS];

    put_hall(number, true);
    at(until, [this, number, closing] {
        if (closings[number % HALLS] == closing) {
            put_hall(number, false);
        }
    });
}

HallNews
World::read_halls() const
{
    std::set<std::string> closed;
    HallNews news;

    for (auto &record : hall_log) {
        if (record.second) {
            closed.insert(record.first);
        }
        else {
            closed.erase(record.first);
        }
    }
    news.as_of = (int64_t)hall_log.size();
    news.halls.assign(closed.begin(), closed.end());
    return news;
}

/* ---- entries ---- */

void
World::tell_entry(EntryNode *entry, int64_t after_ms, int64_t asked_ms,
                  HallNews news)
{
    uint64_t life = entry->life;

    at(now + after_ms, [this, entry, life, asked_ms, news] {
        if (entry->life != life) {
            return;
        }
        when_awake(entry, [this, entry, asked_ms, news]() mutable {
            lc_closures told = news.message();
            Dispatcher_TakeClosures(entry->dispatcher, now, asked_ms, &told,
                                    "test");
        });
    });
}

/* Some answers come late, when newer ones have been read. */
void
World::follow_halls(uint32_t index, uint64_t life)
{
    EntryNode *entry = &entries[index];

    if (entry->life != life) {
        return;
    }
    if (store_answers(entry)) {
        HallNews news = read_halls();
        tell_entry(entry, LINK_MS, now, news);
        if (pick(STALE_EACH) == 0) {
            tell_entry(entry, pick(STALE_MS), CLOSURES_UNASKED, news);
        }
    }
    at(now + READ_MS, [this, index, life] { follow_halls(index, life); });
}

/* ---- companions ---- */

void
World::tell_companion(CompanionNode *companion, int64_t after_ms,
                      int64_t asked_ms, HallNews news)
{
    uint64_t life = companion->life;

    at(now + after_ms, [this, companion, life, asked_ms, news] {
        if (companion->life != life) {
            return;
        }
        when_awake(companion, [this, companion, asked_ms, news]() mutable {
            lc_closures told = news.message();
            Runner_TakeClosures(companion->runner, now, asked_ms, &told,
                                "test");
        });
    });
}

/* Whom no entry tells asks the store, as long as that answers anybody. */
void
World::confirm_halls(CompanionNode *companion)
{
    if (Closures_AgeMs(Runner_Closures(companion->runner), now) >= UNSURE_MS &&
        store.down_until <= now) {
        tell_companion(companion, 2 * LINK_MS, now, read_halls());
    }
}

/* ---- what is checked ---- */

/* An order of a companion that was well, with a store that answered, for as
 * long as it may take to learn of a closed hall. Copies of it may follow. */
void
World::check_hall(uint32_t index, const lc_run_id &id)
{
    const CompanionNode &companion = companions[index];
    auto closed = closed_since.find(hall_of(index));
    int64_t since = now - CLOSED_MS;

    if (!ordered
             .insert({index, id.job, id.occurrence, id.step, id.index, id.run})
             .second) {
        return;
    }
    started_in[hall_of(index)] = now;
    if (closed != closed_since.end() && closed->second < since &&
        companion.started_ms <= since && companion.frozen_until <= since &&
        store.down_until <= since) {
        violation("a start in " + hall_of(index) + ", closed since " +
                  std::to_string(closed->second) + " ms: " + name(id));
    }
}

/* After the last fault every hall is open: it has its share within the bound.
 * To be asked when the bound has passed. */
void
World::check_halls_serve()
{
    for (auto &pair : opened_at) {
        if (started_in[pair.first] < pair.second) {
            violation(pair.first + " serves nothing though it was opened at " +
                      std::to_string(pair.second) + " ms");
        }
    }
}

int64_t
World::halls_serve_by() const
{
    return plan.length_ms + OPENED_MS;
}

} // namespace lease

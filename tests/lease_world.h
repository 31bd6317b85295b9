/**
 * @file lease_world.h
 * @brief Entries, companions, upstreams and callers of leased jobs in one
 * process, with time, a network and faults between them.
 *
 * What is checked is told by the upstreams' own starts and ends and by the
 * answers that callers got, never by state of the nodes.
 */
#ifndef LC_TESTS_LEASE_WORLD_H
#define LC_TESTS_LEASE_WORLD_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/random.h"
#include "lease/dispatcher.h"
#include "lease/keeper.h"
#include "lease/route.h"
#include "lease/runner.h"
#include "wire/runs.h"
}

#include "tests/lease_upstream.h"

namespace lease {

/** Kinds of fault. */
enum class Fault {
    KillEntry,     /**< back after a moment with nothing */
    KillCompanion, /**< likewise */
    FreezeEntry,   /**< its input waits, then all of it comes */
    FreezeCompanion,
    CutPair,   /**< bytes between an entry and a companion are held up */
    CutLossy,  /**< they are lost and the connection breaks when it heals */
    ResetPair, /**< the connection breaks */
    CrashUpstream, /**< a new incarnation after a moment */
    LateOrders,    /**< orders go unanswered and are done seconds later */
    Stuck,
    Failing,
    Slow,
    HangUps, /**< callers leave early */
    Burst,
    CutEntries,     /**< an entry hears no other */
    StoreDown,      /**< the store answers nobody */
    StoreCut,       /**< it answers one entry not */
    StoreLossy,     /**< appends go unanswered, some are done seconds later */
    StoreCompact,   /**< its history is gone, but for the newest of each key */
    StopEntry,      /**< a planned stop, then its end */
    CloseHall,      /**< operators close a hall and open it again */
    RebornUpstream, /**< it crashes and starts again under its name */
    Suspend,        /**< a companion's machine, its upstream with it */
    Shrink,         /**< an upstream has less room for a while */
    Crasher,        /**< a job comes under which upstreams crash */
    Count
};

/** One fault of a schedule. */
struct Action {
    Fault fault;
    int64_t at_ms;
    int64_t length_ms;
    uint32_t target;
    uint32_t other;
};

/** A schedule. */
struct Plan {
    uint64_t seed = 1;
    uint32_t entries = 2;
    uint32_t companions = 3;
    int64_t length_ms = 4000;
    int64_t quiet_ms = 6000; /**< after the faults, without any */
    int64_t job_every_ms =
        72; /* with the kept ones three quarters of the room */
    int64_t kept_every_ms = 500; /**< kept jobs; 0 for none */
    bool narrow = false; /**< the first entry's link carries a part of its jobs
                            alone: it hands others on */
    bool halls_serve = false; /**< checks that a hall that was opened serves
                                 soon; all other faults spare the upstreams */
    std::vector<Action> actions;
};

/** What a run showed. */
struct Report {
    std::vector<std::string> violations;
    uint64_t jobs = 0;
    uint64_t succeeded = 0;
    uint64_t failed = 0;
    uint64_t not_run = 0;
    uint64_t given_up = 0;
    uint64_t late_succeeded = 0; /**< in the second half of the quiet time */
    uint64_t late_jobs = 0;
    uint64_t starts = 0;
    std::vector<uint64_t> starts_at; /**< by upstream */
    uint64_t kept_jobs = 0;
    uint64_t kept_accepted = 0;
    uint64_t kept_succeeded = 0;
    uint64_t claims = 0;
    uint64_t forwards = 0;       /**< jobs that came to another entry */
    uint64_t forwards_taken = 0; /**< and were taken there */
    int most_crashed = 0; /**< upstreams under one submission of a job */

    std::string text() const;
};

/** Plays a plan. */
Report play(const Plan &plan);

} // namespace lease

#endif

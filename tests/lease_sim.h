/**
 * @file lease_sim.h
 * @brief Simulation of leased jobs in one process: entries, companions,
 * upstreams and callers, with virtual time, a network and injected faults.
 *
 * The checks use only the starts and ends that upstreams executed and the
 * answers that callers got, never internal state of the nodes.
 */
#ifndef LC_TESTS_LEASE_SIM_H
#define LC_TESTS_LEASE_SIM_H

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
#include "lease/durable_jobs.h"
#include "lease/route_table.h"
#include "lease/runner.h"
#include "wire/run_batch.h"
}

#include "tests/upstream_model.h"

namespace lease {

/** Kinds of fault that a plan can inject. */
enum class Fault {
    KillEntry,     /**< restarts after a moment without any state */
    KillCompanion, /**< likewise */
    FreezeEntry,   /**< its input waits and is delivered at once afterwards */
    FreezeCompanion,
    CutPair,   /**< bytes between an entry and a companion are delayed */
    CutLossy,  /**< they are lost; the connection breaks when the cut ends */
    ResetPair, /**< the connection breaks */
    CrashUpstream, /**< starts as a new instance after a moment */
    LateOrders,    /**< orders time out and are executed seconds later */
    Stuck,
    Failing,
    Slow,
    CallerDisconnects, /**< callers disconnect before their answer */
    Burst,
    CutEntries,      /**< between an entry and all others, one way or both */
    StoreDown,       /**< the store answers no request */
    StoreCut,        /**< it does not answer one entry */
    StoreLossy,      /**< appends time out, some are executed seconds later */
    StoreCompact,    /**< only the newest record of each key is left */
    StopEntry,       /**< planned stop: hands durable jobs over, exits */
    CloseHall,       /**< operators close a hall and reopen it */
    RestartUpstream, /**< it crashes and restarts under the same name */
    Suspend, /**< suspends the machine of a companion and its upstream */
    ReduceCapacity,  /**< an upstream has less capacity for a while */
    CrashingJob,     /**< submits a job whose task crashes each upstream */
    StopsUnanswered, /**< stops time out, half are executed seconds later, the
                          others never; polls and starts are answered */
    RemoveQueue, /**< operators remove the durable jobs' queue and put it back
                  */
    Count,
    /* Not among the faults of any kind: */
    HoldForwards,  /**< holds up the connection from the first entry to another
                       until the entry has given it up and opened another; then
                       the held calls arrive */
    ReplaceOwners, /**< again and again an entry that owns a durable job is
                       stopped as planned, or killed */
    StallAppends,  /**< appends stand still while reads are served, and are
                        executed afterwards */
    OddHeartbeat /**< another writer sends a heartbeat under an upstream's id,
                    with a number that the upstream never reports */
};

/** One fault of a plan. Times are ms since the start of the simulation. */
struct Action {
    Fault fault;
    int64_t at_ms;
    int64_t length_ms;
    uint32_t target;
    uint32_t other;
};

/** Size, load and faults of one simulation run. */
struct Plan {
    uint64_t seed = 1;
    uint32_t entries = 2;
    uint32_t companions = 3;
    int64_t length_ms = 4000;
    int64_t quiet_ms = 6000; /**< fault-free time after the faults */
    /** With the durable jobs this takes three quarters of the capacity. */
    int64_t job_every_ms = 72;
    int64_t durable_every_ms = 500; /**< durable jobs; 0 for none */
    /** Some jobs submitted until length_ms outlast their callers' deadline,
     * so that their runs end by a stop or with the hold. */
    bool long_tasks = false;
    /** A durable job has a task on each upstream that never ends, and at the
     * end of quiet_ms each upstream must be getting other tasks. Such a plan
     * must have no crashes of upstreams. */
    bool has_service = false;
    /** The first entry's link carries only a part of its jobs: it forwards
     * the others. */
    bool slow_link = false;
    /** Checks that a reopened hall gets starts soon. Such a plan must have
     * no faults of upstreams. */
    bool expect_reopened_halls = false;
    std::vector<Action> actions;
};

/** Violations and counts of one simulation run. */
struct Report {
    std::vector<std::string> violations;
    uint64_t jobs = 0;
    uint64_t succeeded = 0;
    uint64_t failed = 0;
    uint64_t not_run = 0;
    uint64_t given_up = 0;
    uint64_t late_succeeded = 0; /**< of late_jobs */
    uint64_t late_jobs = 0; /**< sent in the second half of quiet_ms, without
                                 those that no upstream had room for */
    uint64_t starts = 0;
    std::vector<uint64_t> starts_at; /**< by upstream */
    uint64_t durable_jobs_sent = 0;
    uint64_t durable_accepted = 0;
    uint64_t durable_succeeded = 0;
    uint64_t claims = 0;
    uint64_t owners_replaced = 0;
    uint64_t forwards = 0; /**< forwarded jobs that reached an entry */
    uint64_t forwards_accepted = 0; /**< of those, accepted by it */
    int max_crashes = 0; /**< most crashes of upstreams under one submission */

    std::string text() const;
};

/** Runs a plan to its end in virtual time. */
Report simulate(const Plan &plan);

} // namespace lease

#endif

/**
 * @file pump.h
 * @brief Simulation of a cluster: many nodes of core/ in one process,
 * connected by a simulated network that delays, reorders, duplicates and loses
 * messages, with network partitions, freezes, kills, log outages, lost append
 * confirmations, a lagging host list and skewed clocks.
 *
 * Only the message interface is simulated. The checks rely on the upstreams'
 * lists of task starts and on the answers that callers received, never on
 * counters of the nodes.
 */
#ifndef LC_TESTS_PUMP_H
#define LC_TESTS_PUMP_H

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
#include "core/companion.h"
#include "core/entry.h"
}

namespace pump {

/** Kinds of injected faults. */
enum class Fault {
    KillEntry,         /**< dies; restarts after `length_ms` */
    KillEntryHost,     /**< dies, leaves the host list, no restart */
    KillCompanion,     /**< dies; restarts after `length_ms` */
    KillCompanionHost, /**< dies, leaves the host list, no restart */
    FreezeEntry,       /**< an entry freezes long enough to be removed */
    Freeze,            /**< a node gets no input for `length_ms`, then all */
    CutPair,           /**< no message passes from one node to another */
    CutNode,        /**< a node is partitioned from all nodes, not the log */
    CutAll,         /**< a node is partitioned from all nodes and the log */
    CutLog,         /**< an entry is partitioned from the log */
    LogOutage,      /**< the log answers no node */
    LoseConfirm,    /**< appends take effect, but are not confirmed */
    DrainEntry,     /**< graceful shutdown, then a restart */
    DrainCompanion, /**< graceful shutdown, then a restart */
    LeaveCompanion, /**< only the host list says that it is leaving */
    ExpireLog,      /**< the log deletes all but the newest records */
    Burst,          /**< many jobs are submitted at once */
    Split,          /**< partition into two sides; the log is on one */
    Count
};

/** One fault of a schedule; times in ms from the end of the warm-up. */
struct Action {
    Fault fault;
    int64_t at_ms;
    int64_t length_ms;
    uint32_t target;
    uint32_t other;
};

/** Parameters of a simulation run. */
struct Plan {
    uint64_t seed = 1;
    uint32_t entries = 3;
    uint32_t companions = 4;
    uint32_t slots = 2;
    uint32_t jobs = 40;
    uint32_t max_tasks = 5;
    int64_t length_ms = 4000;
    int64_t max_delay_ms = 4;   /**< of a message that is not late */
    uint32_t late_permille = 5; /**< messages that take up to `late_ms` */
    int64_t late_ms = 800;
    uint32_t duplicate_permille = 5;
    uint32_t drop_permille = 3;
    uint32_t edits = 6;
    uint32_t max_jobs = 1000;
    uint32_t max_records = 1000;
    size_t max_bytes = 1 << 20;
    uint32_t hang_permille = 0;     /**< tasks that exceed their timeout */
    uint32_t resubmit_permille = 0; /**< jobs submitted twice at once */
    int64_t evidence_ms = 300;      /**< validity of membership evidence */
    bool no_retries = false;        /**< callers never submit a job again */
    bool graceful_only = false;     /**< no crashes: no job may be cut off */
    int64_t max_running = 0;        /**< max_running of the group "large" */
    int64_t starts_per_s = 0;       /**< starts_per_s of the group "large" */
    int64_t max_wait_ms = 0;        /**< of the group "small" */
    int64_t window_ms = 20000;
    std::vector<Action> actions;
};

/** Result of a run. Each list holds violations; all must be empty. */
struct Report {
    std::vector<std::string> double_starts;
    std::vector<std::string> partial;
    std::vector<std::string> wrong;
    std::vector<std::string> false_not_run;
    std::vector<std::string> unanswered;
    std::vector<std::string> leaving;
    std::vector<std::string> cut_off;
    std::vector<std::string> table;
    std::vector<std::string> limit;
    uint64_t requests = 0;
    uint64_t done = 0;
    uint64_t failed = 0;
    uint64_t not_run = 0;
    uint64_t unknown = 0;
    uint64_t starts = 0;
    uint64_t messages = 0;
    std::map<std::string, uint64_t> kinds; /**< answers by error kind */

    /** Text of the violations, one line of each kind; empty if none. */
    std::string violations() const;
};

/** Runs a plan, ends all faults, lets the cluster recover, and checks. */
Report run(const Plan &plan);

} // namespace pump

#endif

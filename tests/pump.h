/**
 * @file pump.h
 * @brief Many nodes of core/ in one process, with an adversarial message
 * pump between them: delay, reorder, duplicate, loss, cuts, freezes, kills,
 * log outages, lost confirmations, a lagging host list and skewed clocks.
 *
 * It is a fake at the message interface. What it checks is told by the
 * upstreams' own lists of starts and by the answers that callers got, never
 * by counters of the nodes.
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

/** Kinds of fault. */
enum class Fault {
    KillEntry,     /**< dies; a new incarnation after `length_ms` */
    KillEntryHost, /**< dies; the host list drops it, nobody returns */
    KillCompanion, /**< dies; a new incarnation after `length_ms` */
    KillCompanionHost,
    FreezeEntry,    /**< an entry, long enough to be removed */
    Freeze,         /**< no input for `length_ms`, then all of it */
    CutPair,        /**< nothing passes from one node to another */
    CutNode,        /**< a node is cut from all nodes, not from the log */
    CutAll,         /**< a node is cut from all nodes and the log */
    CutLog,         /**< a node is cut from the log */
    LogOutage,      /**< the log answers nobody */
    LoseConfirm,    /**< appends take effect, their answers are lost */
    DrainEntry,     /**< planned stop; a new incarnation when it is over */
    DrainCompanion, /**< planned stop; a new incarnation when it is over */
    LeaveCompanion, /**< the host list alone says it is leaving */
    ExpireLog,      /**< the log forgets all but the last records */
    Burst,          /**< many jobs at once */
    Split,          /**< two sides lose each other; the log is on one */
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

/** What a run is made of. */
struct Plan {
    uint64_t seed = 1;
    uint32_t entries = 3;
    uint32_t companions = 4;
    uint32_t slots = 2;
    uint32_t jobs = 40;
    uint32_t most_tasks = 5;
    int64_t length_ms = 4000;
    int64_t most_delay_ms = 4;  /**< of most messages */
    uint32_t late_permille = 5; /**< messages delayed up to `late_ms` */
    int64_t late_ms = 800;
    uint32_t duplicate_permille = 5;
    uint32_t drop_permille = 3;
    uint32_t edits = 6;
    uint32_t max_jobs = 1000;
    uint32_t max_records = 1000;
    size_t max_bytes = 1 << 20;
    uint32_t hang_permille = 0; /**< tasks that end far too late */
    uint32_t twin_permille = 0; /**< jobs sent through two entries at once */
    int64_t evidence_ms = 300;  /**< how long evidence holds */
    bool once = false;          /**< callers never send a request again */
    bool planned = false;       /**< planned stops only: nothing may be cut */
    int64_t cap = 0;            /**< max_running of the group "large" */
    int64_t rate = 0;           /**< starts_per_s of the group "large" */
    int64_t max_wait_ms = 0;    /**< of the group "small" */
    int64_t window_ms = 20000;
    std::vector<Action> actions;
};

/** What a run came to. Each list names violations; all must be empty. */
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

    /** All violations as one text; empty if there are none. */
    std::string violations() const;
};

/** Runs a plan to its end, heals all faults, and checks. */
Report run(const Plan &plan);

} // namespace pump

#endif

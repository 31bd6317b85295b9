/**
 * @file lease_upstream.h
 * @brief A model of an upstream as its owners describe it: it starts what it
 * is told whatever its room, holds everything under one lease on a clock of
 * its own, and lists what runs and what ended. It checks nothing; the world
 * around it does.
 */
#ifndef LC_TESTS_LEASE_UPSTREAM_H
#define LC_TESTS_LEASE_UPSTREAM_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

extern "C" {
#include "lease/runner.h"
}

namespace lease {

/** A task without its run: its job, its step with its time in the upper half,
 * its index. */
using TaskName = std::tuple<uint64_t, uint32_t, uint32_t>;

/** Name of the task that a run belongs to. */
TaskName task_of(const lc_run_id &id);

/** A run at work. */
struct Running {
    lc_run_id id;
    int64_t started_ms;
    int64_t work_ms;
    int64_t stop_at_ms; /**< 0 unless a stop was ordered */
};

/** How the upstream behaves now. */
struct Manner {
    bool stuck;   /**< nothing makes progress */
    bool failing; /**< every task fails as soon as it started */
    int64_t slow; /**< work takes so many times as long, 1 for normal */
};

/** One incarnation after another at one place. Times are true ms. */
class Upstream {
  public:
    /** Called for each start and each end, with the true time. */
    std::function<void(const lc_run_id &)> on_start;
    std::function<void(const lc_run_id &, Runner_End)> on_end;
    /** Called when an end is taken note of, unless the lease of everything
     * lapsed since. */
    std::function<void(const lc_run_id &, Runner_End)> on_noted;
    /** Work of a task in ms. */
    std::function<int64_t(const lc_run_id &)> work_of;

    Upstream(std::string called, double rate);

    /** Dies; what runs is gone. A new incarnation is up at once if @p up. */
    void crash(int64_t now_ms, bool up);
    void come_up(int64_t now_ms);
    /** Comes up under the name that it had, knowing nothing, with another
     * clock. */
    void come_again(int64_t now_ms);
    /** Its machine is suspended until then: its clock and all work stand
     * still. */
    void suspend(int64_t now_ms, int64_t until_ms);
    void wake();
    /** Moves time on: ends, stops and the end of the lease. */
    void advance(int64_t now_ms);

    Runner_OrderEnd start(int64_t now_ms, const Runner_Start &start);
    Runner_OrderEnd stop(int64_t now_ms, const lc_run_id &id,
                         const std::string &instance, int64_t token);
    Runner_OrderEnd look(int64_t now_ms, const Runner_Look &look,
                         std::vector<Runner_Row> *running,
                         std::vector<Runner_EndRow> *ended);

    int64_t clock(int64_t now_ms) const;
    bool
    is_up() const
    {
        return up;
    }
    /** Wall clock of its start. */
    int64_t
    born() const
    {
        return born_ms;
    }
    int64_t
    asleep_until() const
    {
        return asleep_until_ms;
    }
    const std::string &
    instance() const
    {
        return instance_name;
    }
    const std::map<TaskName, Running> &
    tasks() const
    {
        return running;
    }
    /** The first end that was not taken note of; there must be one. */
    const lc_run_id &
    first_unseen() const
    {
        return ends.front().id;
    }
    size_t
    unseen_ends() const
    {
        return ends.size();
    }

    Manner manner = {false, false, 1};
    uint64_t beats = 0; /**< heartbeats sent so far in this life */
    uint32_t cpu_milli = 16000;
    int64_t shrunk_ms = 0; /**< since when it has less */

  private:
    void begin(int64_t now_ms);
    void extend(int64_t now_ms, int64_t deadline_clock_ms);
    void end(const lc_run_id &id, Runner_End how);

    std::string name;
    std::string instance_name;
    int incarnation = 0;
    int64_t born_ms = 0;
    int64_t clock_offset_ms = 0;
    int64_t asleep_since_ms = 0;
    int64_t asleep_until_ms = 0;
    bool up = false;
    double clock_rate;
    int64_t token = 0;
    int64_t deadline_clock_ms = 0;
    uint64_t last_end = 0;
    uint64_t lapses = 0;
    bool lapsed = false;
    std::map<uint64_t, uint64_t> lapses_at; /* by the number of an end */
    std::map<TaskName, Running> running;
    std::map<TaskName, uint32_t> refused_up_to; /* stopped or ended runs */
    std::vector<Runner_EndRow> ends;
};

} // namespace lease

#endif

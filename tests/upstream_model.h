/**
 * @file upstream_model.h
 * @brief Model of an upstream according to its owners' description: it starts
 * every task that it is ordered to, whatever its free capacity, holds all runs
 * under one lease on a clock of its own, and lists running and ended runs. It
 * checks nothing; the simulation around it does.
 */
#ifndef LC_TESTS_UPSTREAM_MODEL_H
#define LC_TESTS_UPSTREAM_MODEL_H

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

/** Identifies a task over all its runs: its job, its step with the occurrence
 * in the upper 16 bits, its index. */
using TaskKey = std::tuple<uint64_t, uint32_t, uint32_t>;

/** The task that a run belongs to. */
TaskKey task_of(const lc_run_id &id);

/** Duration of a task that never ends by itself, in ms. */
const int64_t LASTS_MS = 1LL << 40;

/** A run that is executing. Times are true ms. */
struct RunningTask {
    lc_run_id id;
    int64_t started_ms;
    int64_t work_ms;
    int64_t stop_at_ms; /**< 0 unless a stop was ordered */
};

/** Injected faults of an upstream. */
struct FaultMode {
    bool stuck;   /**< no task makes progress */
    bool failing; /**< every task fails as soon as it has started; tasks that
                       last go on if they were started before */
    int64_t slow; /**< factor on the duration of work, 1 for normal */
    int64_t failing_since_ms = 0;
};

/** One upstream over successive incarnations. Times are true ms, unlike the
 * upstream's own clock. */
class Upstream {
  public:
    /** Called for each start and each end, with the true time. */
    std::function<void(const lc_run_id &)> on_start;
    std::function<void(const lc_run_id &, Runner_End)> on_end;
    /** The upstream has crashed under this run; called before on_end. */
    std::function<void(const lc_run_id &)> on_run_crashed;
    /** Called when a poll acknowledges an end, unless the upstream's hold has
     * expired since that end. */
    std::function<void(const lc_run_id &, Runner_End)> on_end_acknowledged;
    /** Duration of a task in ms. */
    std::function<int64_t(const lc_run_id &)> work_of;

    Upstream(std::string instance_prefix, double rate);

    /** Stops without notice; all runs are lost. A new incarnation starts at
     * once if @p up. */
    void crash(int64_t now_ms, bool up);
    /** Starts a new incarnation under a new instance name. */
    void bring_up(int64_t now_ms);
    /** Starts a new incarnation under the same instance name, without any
     * state and with another clock. */
    void bring_up_same_name(int64_t now_ms);
    /** Suspends its machine until @p until_ms: its clock and all work stand
     * still. */
    void suspend(int64_t now_ms, int64_t until_ms);
    void resume();
    /** Advances time: tasks end or stop, and the hold expires. */
    void advance(int64_t now_ms);

    /** Orders, as a companion sends them. */
    Runner_OrderResult start(int64_t now_ms, const Runner_Start &start);
    Runner_OrderResult stop(int64_t now_ms, const lc_run_id &id,
                            const std::string &instance, int64_t token);
    Runner_OrderResult poll(int64_t now_ms, const Runner_Poll &order,
                            std::vector<Runner_ActiveRun> *running,
                            std::vector<Runner_EndedRun> *ended);

    int64_t clock(int64_t now_ms) const;
    bool
    is_up() const
    {
        return up;
    }
    /** Wall clock of its start, ms. */
    int64_t
    born() const
    {
        return born_ms;
    }
    int64_t
    suspended_until() const
    {
        return suspended_until_ms;
    }
    const std::string &
    instance() const
    {
        return instance_name;
    }
    const std::map<TaskKey, RunningTask> &
    tasks() const
    {
        return running;
    }
    /** The oldest unacknowledged end; there must be one. */
    const lc_run_id &
    first_unacknowledged() const
    {
        return ends.front().id;
    }
    size_t
    unacknowledged_ends() const
    {
        return ends.size();
    }

    FaultMode fault_mode = {false, false, 1};
    uint64_t heartbeats_sent = 0; /**< by this incarnation */
    uint32_t cpu_milli = 16000;
    int64_t capacity_reduced_ms = 0; /**< time of the last reduction */

  private:
    void reset(int64_t now_ms);
    void extend(int64_t now_ms, int64_t deadline_clock_ms);
    void end(const lc_run_id &id, Runner_End how);
    bool fails(const RunningTask &task) const;
    int64_t progress_of(const RunningTask &task, int64_t now_ms) const;

    std::string name;
    std::string instance_name;
    int incarnation = 0;
    int64_t born_ms = 0;
    int64_t clock_offset_ms = 0;
    int64_t suspended_since_ms = 0;
    int64_t suspended_until_ms = 0;
    bool up = false;
    double clock_rate;
    int64_t token = 0;
    int64_t deadline_clock_ms = 0;
    uint64_t last_end = 0;
    uint64_t hold_expiries = 0;
    bool hold_expired = false;
    std::map<uint64_t, uint64_t> expiries_at_end; /* by number of the end */
    std::map<TaskKey, RunningTask> running;
    /* Highest run that was stopped or has ended. */
    std::map<TaskKey, uint32_t> rejected_up_to;
    std::vector<Runner_EndedRun> ends;
};

} // namespace lease

#endif

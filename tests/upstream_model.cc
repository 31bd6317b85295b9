#include "tests/upstream_model.h"

namespace lease {

namespace {

const int64_t STOP_MS = 40;
const int64_t HOLD_MAX_MS = 1000;
const int64_t CLOCK_START_MS = 500000;
const int64_t WALL_OFFSET_MS = 1700000000000;
/* The next incarnation's clock is back or ahead by this when it restarts under
 * the same name. */
const int64_t CLOCK_STEP_BACK_MS = 400000;
const int64_t CLOCK_STEP_FORWARD_MS = 90000;
/* The wall clock jumps back by this before some incarnations. */
const int64_t WALL_STEP_BACK_MS = 60000;

} // namespace

TaskKey
task_of(const lc_run_id &id)
{
    return TaskKey(id.job, id.step | id.occurrence << 16, id.index);
}

Upstream::Upstream(std::string instance_prefix, double rate)
    : name(instance_prefix), clock_rate(rate)
{
}

int64_t
Upstream::clock(int64_t now_ms) const
{
    int64_t running_ms = suspended_until_ms > 0
                             ? std::min(now_ms, suspended_since_ms)
                             : now_ms;

    return CLOCK_START_MS + clock_offset_ms +
           (int64_t)((double)running_ms * clock_rate);
}

void
Upstream::suspend(int64_t now_ms, int64_t until_ms)
{
    if (suspended_until_ms == 0) {
        suspended_since_ms = now_ms;
    }
    suspended_until_ms = std::max(suspended_until_ms, until_ms);
}

void
Upstream::resume()
{
    int64_t lost_ms = suspended_until_ms - suspended_since_ms;

    suspended_until_ms = 0;
    clock_offset_ms -= (int64_t)((double)lost_ms * clock_rate);
    for (auto &pair : running) {
        pair.second.started_ms += lost_ms;
        if (pair.second.stop_at_ms != 0) {
            pair.second.stop_at_ms += lost_ms;
        }
    }
}

void
Upstream::bring_up(int64_t now_ms)
{
    incarnation++;
    instance_name = name + "-" + std::to_string(incarnation);
    reset(now_ms);
}

void
Upstream::bring_up_same_name(int64_t now_ms)
{
    /* Companions ignore a clock that is not positive. */
    bool clock_goes_back = incarnation % 2 == 1 &&
                           clock(now_ms) > CLOCK_STEP_BACK_MS;

    incarnation++;
    clock_offset_ms += clock_goes_back ? -CLOCK_STEP_BACK_MS
                                       : CLOCK_STEP_FORWARD_MS;
    reset(now_ms);
    if (incarnation % 3 == 0) {
        born_ms -= WALL_STEP_BACK_MS;
    }
}

void
Upstream::reset(int64_t now_ms)
{
    born_ms = WALL_OFFSET_MS + now_ms;
    heartbeats_sent = 0;
    up = true;
    token = 0;
    deadline_clock_ms = 0;
    last_end = 0;
    rejected_up_to.clear();
    ends.clear();
}

void
Upstream::crash(int64_t now_ms, bool restart_now)
{
    std::map<TaskKey, RunningTask> lost = running;

    for (auto &pair : lost) {
        if (on_run_crashed) {
            on_run_crashed(pair.second.id);
        }
        on_end(pair.second.id, RUNNER_END_HOLD_EXPIRED);
    }
    running.clear();
    up = false;
    if (restart_now) {
        bring_up(now_ms);
    }
}

void
Upstream::end(const lc_run_id &id, Runner_End how)
{
    Runner_EndedRun row = {++last_end, id, how};

    running.erase(task_of(id));
    rejected_up_to[task_of(id)] = id.run;
    ends.push_back(row);
    expiries_at_end[row.number] = hold_expiries;
    on_end(id, how);
}

bool
Upstream::fails(const RunningTask &task) const
{
    bool started_before = task.started_ms < fault_mode.failing_since_ms;

    return fault_mode.failing && !(task.work_ms == LASTS_MS && started_before);
}

/* Progress in percent. */
int64_t
Upstream::progress_of(const RunningTask &task, int64_t now_ms) const
{
    if (fault_mode.stuck) {
        return 0;
    }
    if (task.work_ms == LASTS_MS) {
        return 100;
    }
    return std::min<int64_t>((now_ms - task.started_ms) * 100 /
                                 (task.work_ms * fault_mode.slow),
                             99);
}

void
Upstream::advance(int64_t now_ms)
{
    std::map<TaskKey, RunningTask> now_running = running;

    if (suspended_until_ms > 0) {
        return;
    }
    if (!hold_expired && clock(now_ms) >= deadline_clock_ms) {
        hold_expired = true;
        hold_expiries++;
    }

    for (auto &pair : now_running) {
        const RunningTask &task = pair.second;
        if (clock(now_ms) >= deadline_clock_ms) {
            end(task.id, RUNNER_END_HOLD_EXPIRED);
        }
        else if (task.stop_at_ms != 0 && now_ms >= task.stop_at_ms) {
            end(task.id, RUNNER_END_STOPPED);
        }
        else if (fails(task)) {
            end(task.id, RUNNER_END_FAILED);
        }
        else if (!fault_mode.stuck &&
                 now_ms - task.started_ms >= task.work_ms * fault_mode.slow) {
            end(task.id, RUNNER_END_DONE);
        }
    }
}

void
Upstream::extend(int64_t now_ms, int64_t deadline)
{
    int64_t limit = clock(now_ms) + HOLD_MAX_MS;

    deadline_clock_ms = std::max(deadline_clock_ms, std::min(deadline, limit));
    hold_expired = hold_expired && clock(now_ms) >= deadline_clock_ms;
}

Runner_OrderResult
Upstream::start(int64_t now_ms, const Runner_Start &order)
{
    TaskKey task = task_of(order.id);
    RunningTask row = {order.id, now_ms, work_of(order.id), 0};

    if (instance_name != order.instance) {
        return RUNNER_ORDER_OTHER_INCARNATION;
    }
    if (order.token < token) {
        return RUNNER_ORDER_FENCED;
    }
    token = order.token;
    if (clock(now_ms) >= order.deadline_ms) {
        return RUNNER_ORDER_EXPIRED;
    }
    extend(now_ms, order.deadline_ms);
    if (running.count(task) != 0) {
        return running[task].id.run == order.id.run ? RUNNER_ORDER_ACCEPTED
                                                    : RUNNER_ORDER_SUPERSEDED;
    }
    if (rejected_up_to.count(task) != 0 &&
        order.id.run <= rejected_up_to[task]) {
        return RUNNER_ORDER_SUPERSEDED;
    }
    running[task] = row;
    on_start(order.id);
    return RUNNER_ORDER_ACCEPTED;
}

Runner_OrderResult
Upstream::stop(int64_t now_ms, const lc_run_id &id, const std::string &expect,
               int64_t order_token)
{
    TaskKey task = task_of(id);

    if (!expect.empty() && instance_name != expect) {
        return RUNNER_ORDER_OTHER_INCARNATION;
    }
    if (order_token < token) {
        return RUNNER_ORDER_FENCED;
    }
    token = order_token;
    rejected_up_to[task] = std::max(rejected_up_to[task], id.run);
    if (running.count(task) != 0 && running[task].id.run <= id.run &&
        running[task].stop_at_ms == 0) {
        running[task].stop_at_ms = now_ms + STOP_MS;
    }
    return RUNNER_ORDER_ACCEPTED;
}

Runner_OrderResult
Upstream::poll(int64_t now_ms, const Runner_Poll &order,
               std::vector<Runner_ActiveRun> *rows,
               std::vector<Runner_EndedRun> *list)
{
    std::string expect = order.instance;

    if (!expect.empty() && instance_name != expect) {
        return RUNNER_ORDER_OTHER_INCARNATION;
    }
    if (order.token < token) {
        return RUNNER_ORDER_FENCED;
    }
    token = order.token;
    if (order.deadline_ms > 0) {
        extend(now_ms, order.deadline_ms);
    }
    while (!ends.empty() && ends.front().number <= order.last_seen) {
        const Runner_EndedRun row = ends.front();
        ends.erase(ends.begin());
        if (on_end_acknowledged &&
            expiries_at_end[row.number] == hold_expiries) {
            on_end_acknowledged(row.id, row.end);
        }
        expiries_at_end.erase(row.number);
    }
    for (auto &pair : running) {
        const RunningTask &task = pair.second;
        rows->push_back({task.id, (uint32_t)progress_of(task, now_ms)});
    }
    *list = ends;
    return RUNNER_ORDER_ACCEPTED;
}

} // namespace lease

#include "tests/lease_upstream.h"

namespace lease {

namespace {

const int64_t STOP_MS = 40;
const int64_t HOLD_MAX_MS = 1000;
const int64_t CLOCK_START_MS = 500000;
const int64_t WALL_AHEAD_MS = 1700000000000;
/* The next life's clock shows so much more or less than it would have. */
const int64_t CLOCK_BACK_MS = 400000;
const int64_t CLOCK_ON_MS = 90000;
/* The time of day jumps back so far before some lives. */
const int64_t WALL_BACK_MS = 60000;

} // namespace

TaskName
task_of(const lc_run_id &id)
{
    return TaskName(id.job, id.step | id.occurrence << 16, id.index);
}

Upstream::Upstream(std::string called, double rate)
    : name(called), clock_rate(rate)
{
}

int64_t
Upstream::clock(int64_t now_ms) const
{
    int64_t awake_ms = asleep_until_ms > 0 ? std::min(now_ms, asleep_since_ms)
                                           : now_ms;

    return CLOCK_START_MS + clock_offset_ms +
           (int64_t)((double)awake_ms * clock_rate);
}

void
Upstream::suspend(int64_t now_ms, int64_t until_ms)
{
    if (asleep_until_ms == 0) {
        asleep_since_ms = now_ms;
    }
    asleep_until_ms = std::max(asleep_until_ms, until_ms);
}

void
Upstream::wake()
{
    int64_t lost_ms = asleep_until_ms - asleep_since_ms;

    asleep_until_ms = 0;
    clock_offset_ms -= (int64_t)((double)lost_ms * clock_rate);
    for (auto &pair : running) {
        pair.second.started_ms += lost_ms;
        if (pair.second.stop_at_ms != 0) {
            pair.second.stop_at_ms += lost_ms;
        }
    }
}

void
Upstream::come_up(int64_t now_ms)
{
    incarnation++;
    instance_name = name + "-" + std::to_string(incarnation);
    begin(now_ms);
}

void
Upstream::come_again(int64_t now_ms)
{
    /* Companions ignore a clock that is not positive. */
    bool clock_goes_back = incarnation % 2 == 1 &&
                           clock(now_ms) > CLOCK_BACK_MS;

    incarnation++;
    clock_offset_ms += clock_goes_back ? -CLOCK_BACK_MS : CLOCK_ON_MS;
    begin(now_ms);
    if (incarnation % 3 == 0) {
        born_ms -= WALL_BACK_MS;
    }
}

void
Upstream::begin(int64_t now_ms)
{
    born_ms = WALL_AHEAD_MS + now_ms;
    beats = 0;
    up = true;
    token = 0;
    deadline_clock_ms = 0;
    last_end = 0;
    refused_up_to.clear();
    ends.clear();
}

void
Upstream::crash(int64_t now_ms, bool up_again)
{
    std::map<TaskName, Running> gone = running;

    for (auto &pair : gone) {
        on_end(pair.second.id, RUNNER_END_LAPSED);
    }
    running.clear();
    up = false;
    if (up_again) {
        come_up(now_ms);
    }
}

void
Upstream::end(const lc_run_id &id, Runner_End how)
{
    Runner_EndRow row = {++last_end, id, how};

    running.erase(task_of(id));
    refused_up_to[task_of(id)] = id.run;
    ends.push_back(row);
    lapses_at[row.number] = lapses;
    on_end(id, how);
}

void
Upstream::advance(int64_t now_ms)
{
    std::map<TaskName, Running> now_running = running;

    if (asleep_until_ms > 0) {
        return;
    }
    if (!lapsed && clock(now_ms) >= deadline_clock_ms) {
        lapsed = true;
        lapses++;
    }

    for (auto &pair : now_running) {
        const Running &task = pair.second;
        if (clock(now_ms) >= deadline_clock_ms) {
            end(task.id, RUNNER_END_LAPSED);
        }
        else if (task.stop_at_ms != 0 && now_ms >= task.stop_at_ms) {
            end(task.id, RUNNER_END_STOPPED);
        }
        else if (manner.failing) {
            end(task.id, RUNNER_END_FAILED);
        }
        else if (!manner.stuck &&
                 now_ms - task.started_ms >= task.work_ms * manner.slow) {
            end(task.id, RUNNER_END_DONE);
        }
    }
}

void
Upstream::extend(int64_t now_ms, int64_t deadline)
{
    int64_t most = clock(now_ms) + HOLD_MAX_MS;

    deadline_clock_ms = std::max(deadline_clock_ms, std::min(deadline, most));
    lapsed = lapsed && clock(now_ms) >= deadline_clock_ms;
}

Runner_OrderEnd
Upstream::start(int64_t now_ms, const Runner_Start &order)
{
    TaskName task = task_of(order.id);
    Running row = {order.id, now_ms, work_of(order.id), 0};

    if (instance_name != order.instance) {
        return RUNNER_ORDER_OTHER;
    }
    if (order.token < token) {
        return RUNNER_ORDER_FENCED;
    }
    token = order.token;
    if (clock(now_ms) >= order.deadline_ms) {
        return RUNNER_ORDER_LATE;
    }
    extend(now_ms, order.deadline_ms);
    if (running.count(task) != 0) {
        return running[task].id.run == order.id.run ? RUNNER_ORDER_TAKEN
                                                    : RUNNER_ORDER_OLD;
    }
    if (refused_up_to.count(task) != 0 &&
        order.id.run <= refused_up_to[task]) {
        return RUNNER_ORDER_OLD;
    }
    running[task] = row;
    on_start(order.id);
    return RUNNER_ORDER_TAKEN;
}

Runner_OrderEnd
Upstream::stop(int64_t now_ms, const lc_run_id &id, const std::string &expect,
               int64_t order_token)
{
    TaskName task = task_of(id);

    if (!expect.empty() && instance_name != expect) {
        return RUNNER_ORDER_OTHER;
    }
    if (order_token < token) {
        return RUNNER_ORDER_FENCED;
    }
    token = order_token;
    refused_up_to[task] = std::max(refused_up_to[task], id.run);
    if (running.count(task) != 0 && running[task].id.run <= id.run &&
        running[task].stop_at_ms == 0) {
        running[task].stop_at_ms = now_ms + STOP_MS;
    }
    return RUNNER_ORDER_TAKEN;
}

Runner_OrderEnd
Upstream::look(int64_t now_ms, const Runner_Look &order,
               std::vector<Runner_Row> *rows, std::vector<Runner_EndRow> *list)
{
    std::string expect = order.instance;

    if (!expect.empty() && instance_name != expect) {
        return RUNNER_ORDER_OTHER;
    }
    if (order.token < token) {
        return RUNNER_ORDER_FENCED;
    }
    token = order.token;
    if (order.deadline_ms > 0) {
        extend(now_ms, order.deadline_ms);
    }
    while (!ends.empty() && ends.front().number <= order.last_seen) {
        const Runner_EndRow row = ends.front();
        ends.erase(ends.begin());
        if (on_noted && lapses_at[row.number] == lapses) {
            on_noted(row.id, row.end);
        }
        lapses_at.erase(row.number);
    }
    for (auto &pair : running) {
        const Running &task = pair.second;
        int64_t part = manner.stuck ? 0
                                    : (now_ms - task.started_ms) * 100 /
                                          (task.work_ms * manner.slow);
        rows->push_back({task.id, (uint32_t)std::min<int64_t>(part, 99)});
    }
    *list = ends;
    return RUNNER_ORDER_TAKEN;
}

} // namespace lease

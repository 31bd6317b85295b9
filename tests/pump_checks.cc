#include "tests/pump_world.h"

namespace pump {

/* A row must never revert to an older version while a node runs. */
void
Simulation::check_versions(Node *node)
{
    const GroupTable *table = node->is_entry
                                  ? Entry_GroupTable(node->entry)
                                  : Companion_GroupTable(node->companion);

    for (const char *group : {"small", "large"}) {
        uint64_t version = GroupTable_Version(table, group);
        uint64_t &seen = node->versions[group];
        if (version < seen) {
            report_.table.push_back(format("%s: %s reverted from %llu to %llu",
                                           Address_Text(node->address), group,
                                           (unsigned long long)seen,
                                           (unsigned long long)version));
        }
        seen = version;
    }
}

/* After a graceful shutdown no task may run and no caller may wait. */
void
Simulation::check_shutdown(const Node *node)
{
    if (node->running > 0) {
        report_.cut_off.push_back(format("%s stopped with %lld tasks running",
                                         Address_Text(node->address),
                                         (long long)node->running));
    }
    for (const Attempt &attempt : attempts_) {
        if (attempt.entry == node->address &&
            attempt.generation == node->generation && !attempt.answered) {
            report_.cut_off.push_back(key_text(jobs_[attempt.job].key) +
                                      " was cut off by a graceful shutdown");
        }
    }
}

/* Without faults an accepted edit must have reached every node by now. */
void
Simulation::check_in_force(const AcceptedEdit &edit)
{
    for (auto &pair : nodes_) {
        const Node *node = pair.second.get();
        const GroupTable *table = node->is_entry
                                      ? Entry_GroupTable(node->entry)
                                      : Companion_GroupTable(node->companion);
        if (GroupTable_Version(table, edit.group.c_str()) < edit.version) {
            report_.table.push_back(
                format("%s has not applied %s at version %llu",
                       Address_Text(node->address), edit.group.c_str(),
                       (unsigned long long)edit.version));
        }
    }
}

void
Simulation::check_starts()
{
    std::map<std::string, const Start *> seen;

    report_.starts = starts_.size();
    for (const Start &start : starts_) {
        std::string task = result_text(start.key, start.index);
        auto found = seen.find(task);
        if (found != seen.end()) {
            report_.double_starts.push_back(
                format("%s at %s %lld ms and at %s %lld ms", task.c_str(),
                       Address_Text(found->second->companion),
                       (long long)found->second->at_ms,
                       Address_Text(start.companion), (long long)start.at_ms));
        }
        seen[task] = &start;
    }
}

/*
 * Checks the start rate of the limited group over sliding windows of several
 * lengths. An entry may accumulate its share of two seconds and may always
 * start one task; while views change, two views may be in use at the same
 * time, and each restarted entry begins with a full bucket.
 */
void
Simulation::check_rate()
{
    bool no_faults = plan_.actions.empty();
    int64_t burst = 2 * plan_.starts_per_s *
                        (1 + (int64_t)plan_.actions.size()) +
                    plan_.entries;

    for (int64_t window_ms : {1000, 2000, 4000}) {
        int64_t max_starts = plan_.starts_per_s * window_ms / 1000 *
                                 (no_faults ? 1 : 2) +
                             burst;
        size_t first = 0;
        for (size_t last = 0; last < large_starts_.size(); last++) {
            while (large_starts_[last] - large_starts_[first] >= window_ms) {
                first++;
            }
            int64_t count = (int64_t)(last - first + 1);
            if (plan_.starts_per_s > 0 && count > max_starts) {
                report_.limit.push_back(
                    format("%lld starts within %lld ms, at most %lld",
                           (long long)count, (long long)window_ms,
                           (long long)max_starts));
                return;
            }
        }
    }
}

void
Simulation::check_jobs()
{
    std::set<std::string> started;

    for (const Start &start : starts_) {
        started.insert(key_text(start.key));
    }
    for (const Job &job : jobs_) {
        if (job.attempts > 0 && job.pending == 0 && job.all_not_run &&
            started.count(key_text(job.key)) > 0) {
            report_.false_not_run.push_back(
                key_text(job.key) +
                " was answered not_run although it was started");
        }
    }
    for (const Attempt &attempt : attempts_) {
        const Node *node = find(attempt.entry);
        if (!attempt.answered && node->alive &&
            node->generation == attempt.generation) {
            report_.unanswered.push_back(key_text(jobs_[attempt.job].key) +
                                         " at " + Address_Text(attempt.entry));
        }
    }
}

void
Simulation::check_table()
{
    std::map<std::string, const AcceptedEdit *> last;

    for (const AcceptedEdit &edit : accepted_) {
        const AcceptedEdit *&place = last[edit.group];
        if (place == nullptr || place->version < edit.version) {
            place = &edit;
        }
    }
    for (auto &pair : nodes_) {
        const Node *node = pair.second.get();
        if (!node->alive) {
            continue;
        }
        const GroupTable *table = node->is_entry
                                      ? Entry_GroupTable(node->entry)
                                      : Companion_GroupTable(node->companion);
        for (auto &item : last) {
            uint64_t version = GroupTable_Version(table, item.first.c_str());
            const GroupTable_Row *row = GroupTable_Find(table,
                                                        item.first.c_str());
            if (version < item.second->version ||
                (version == item.second->version &&
                 (row == nullptr || row->weight != item.second->weight))) {
                report_.table.push_back(
                    format("%s: %s at version %llu, accepted was %llu",
                           Address_Text(node->address), item.first.c_str(),
                           (unsigned long long)version,
                           (unsigned long long)item.second->version));
            }
        }
    }
}

void
Simulation::check_end()
{
    check_starts();
    check_rate();
    check_jobs();
    check_table();
}

} // namespace pump

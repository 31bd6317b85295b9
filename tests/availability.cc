/*
 * Effect of each single failure and each pair of failures on availability:
 * the share of requests, over many seeds, that were answered done, failed,
 * not_run or unknown. The times of the simulation are a twelfth of the default
 * settings; a fault lasts 2 s of a run of 4 s, and callers do not retry.
 */

#include <cstdio>

#include "tests/pump.h"

namespace {

struct Row {
    const char *name;
    std::vector<pump::Fault> faults;
};

const std::vector<Row> rows = {
    {"none", {}},
    {"entry killed, back at once", {pump::Fault::KillEntry}},
    {"entry host lost", {pump::Fault::KillEntryHost}},
    {"entry frozen", {pump::Fault::FreezeEntry}},
    {"entry cut off from all", {pump::Fault::CutAll}},
    {"companion killed, back at once", {pump::Fault::KillCompanion}},
    {"companion host lost", {pump::Fault::KillCompanionHost}},
    {"log down", {pump::Fault::LogOutage}},
    {"entry stopped as planned", {pump::Fault::DrainEntry}},
    {"companion stopped as planned", {pump::Fault::DrainCompanion}},
};

struct Share {
    uint64_t requests = 0;
    uint64_t done = 0;
    uint64_t failed = 0;
    uint64_t not_run = 0;
    uint64_t unknown = 0;
    std::map<std::string, uint64_t> kinds;
};

Share
measure(const std::vector<pump::Fault> &faults, int seeds)
{
    Share share;

    for (int seed = 1; seed <= seeds; seed++) {
        pump::Plan plan;
        plan.seed = (uint64_t)seed;
        plan.jobs = 200;
        plan.max_tasks = 2;
        plan.slots = 8;
        plan.late_permille = 0;
        plan.drop_permille = 0;
        plan.duplicate_permille = 0;
        plan.no_retries = true;
        for (size_t i = 0; i < faults.size(); i++) {
            int64_t length_ms = faults[i] == pump::Fault::KillEntry ||
                                        faults[i] == pump::Fault::KillCompanion
                                    ? 50
                                    : 2000;
            plan.actions.push_back({faults[i], 1000 + 20 * (int64_t)i,
                                    length_ms, (uint32_t)(seed % 3),
                                    (uint32_t)i});
        }
        pump::Report report = pump::run(plan);
        share.requests += report.requests;
        share.done += report.done;
        share.failed += report.failed;
        share.not_run += report.not_run;
        share.unknown += report.unknown;
        for (auto &pair : report.kinds) {
            share.kinds[pair.first] += pair.second;
        }
    }
    return share;
}

void
print(const std::string &name, const Share &share)
{
    double all = (double)share.requests / 100.0;

    printf("| %s | %.2f | %.2f | %.2f | %.2f |", name.c_str(),
           (double)share.done / all, (double)share.failed / all,
           (double)share.not_run / all, (double)share.unknown / all);
    for (auto &pair : share.kinds) {
        if (pair.first != "ok") {
            printf(" %s %.2f", pair.first.c_str(), (double)pair.second / all);
        }
    }
    printf(" |\n");
}

} // namespace

int
main(int argc, char **argv)
{
    int seeds = argc > 1 ? atoi(argv[1]) : 20;

    printf("| failures | done %% | failed %% | not_run %% | unknown %% | by "
           "kind %% |\n| --- | --- | --- | --- | --- | --- |\n");
    for (size_t i = 0; i < rows.size(); i++) {
        print(rows[i].name, measure(rows[i].faults, seeds));
    }
    for (size_t i = 1; i < rows.size(); i++) {
        for (size_t j = i; j < rows.size(); j++) {
            print(std::string(rows[i].name) + " + " + rows[j].name,
                  measure({rows[i].faults[0], rows[j].faults[0]}, seeds));
        }
    }
    return 0;
}

/**
 * @file checker.h
 * @brief What must hold, judged by what callers and upstreams saw alone.
 */
#ifndef LC_TESTS_SOAK_CHECKER_H
#define LC_TESTS_SOAK_CHECKER_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/lease_upstream.h"

namespace soak {

/** A job as its caller knows it. */
struct Job {
    uint64_t id;
    uint32_t tasks;
    uint32_t cpu_milli;
    int64_t work_ms;
    int tries = 0;
    bool may_have_run = false; /**< an attempt ended otherwise than refused */
    bool started = false;
    bool done = false;
    int64_t first_ms = 0;
};

/** Answer to one attempt. */
struct Answer {
    bool whole; /**< there was one */
    int status;
    std::string body;
};

/** Keeps the books. */
class Checker {
  public:
    Job &add_job(uint64_t id, uint32_t tasks, uint32_t cpu, int64_t work,
                 int64_t now_ms);
    Job *find(uint64_t id);

    void on_start(int64_t now_ms, const std::string &place,
                  const lc_run_id &id);
    void on_end(int64_t now_ms, const std::string &place, const lc_run_id &id,
                Runner_End end);
    void on_answer(int64_t now_ms, Job &job, const Answer &answer);
    void violation(int64_t now_ms, const std::string &text);
    /** To be called when all is over. */
    void finish(int64_t now_ms);

    std::vector<std::string> violations;
    uint64_t starts = 0;
    uint64_t answers[6] = {}; /**< by hundreds of the status; 0 for none */
    uint64_t late_jobs = 0;   /**< sent when the faults were long over */
    uint64_t late_done = 0;
    int64_t calm_from_ms = INT64_MAX;

  private:
    std::map<uint64_t, Job> jobs;
    std::map<lease::TaskName, std::map<std::string, lc_run_id>> at_work;
    std::map<lease::TaskName, bool> ended_well;
    std::map<std::string, uint32_t> used;
};

} // namespace soak

#endif

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
    bool kept = false;     /**< it must not get lost */
    bool accepted = false; /**< of a kept job: it was answered 200 */
    int64_t accepted_ms = 0;
    int64_t over_ms = 0; /**< of a kept job: when that was told */
    int looks = 0;       /**< of a kept job */
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
    /** A run ended in the given incarnation of the upstream @p place. */
    void on_end(int64_t now_ms, const std::string &place, int64_t incarnation,
                const lc_run_id &id, Runner_End end);
    /** An end was taken note of, while the lease on it lasted. */
    void on_noted(int64_t now_ms, const std::string &place,
                  int64_t incarnation, const lc_run_id &id, Runner_End end);
    void on_answer(int64_t now_ms, Job &job, const Answer &answer);
    /** Kept jobs that were accepted and not told as over. */
    uint64_t kept_open() const;
    /** A look at a kept job was answered. */
    void on_look(int64_t now_ms, Job &job, const Answer &answer);
    void violation(int64_t now_ms, const std::string &text);
    /** To be called when all is over. */
    void finish(int64_t now_ms);

    std::vector<std::string> violations;
    uint64_t starts = 0;
    uint64_t answers[6] = {}; /**< by hundreds of the status; 0 for none */
    uint64_t late_jobs = 0;   /**< sent when the faults were long over */
    uint64_t late_done = 0;
    int64_t calm_from_ms = INT64_MAX;
    uint64_t kept_accepted = 0;
    uint64_t kept_done = 0;

  private:
    /* A run of a kept task that ended well. */
    struct WellEnd {
        std::string place;
        int64_t incarnation;
        uint32_t run;
        bool noted;
        bool followed; /* by a start of another run */
    };
    void check_kept_start(int64_t now_ms, const lc_run_id &id);
    void finish_kept(int64_t now_ms, const Job &job);

    std::map<lease::TaskName, std::vector<WellEnd>> well_ends;
    std::map<uint64_t, Job> jobs;
    std::map<lease::TaskName, std::map<std::string, lc_run_id>> at_work;
    std::map<lease::TaskName, bool> ended_well;
    std::map<std::string, uint32_t> used;
};

} // namespace soak

#endif

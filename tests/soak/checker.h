/**
 * @file checker.h
 * @brief Checks the guarantees of leased and durable jobs, from what callers
 * and upstreams observed alone.
 */
#ifndef LC_TESTS_SOAK_CHECKER_H
#define LC_TESTS_SOAK_CHECKER_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/upstream_model.h"

namespace soak {

/** A job as its caller knows it. Times are ms since the cluster was made. */
struct Job {
    uint64_t id;
    uint32_t tasks;
    uint32_t cpu_milli;
    int64_t work_ms;
    int attempts = 0;
    bool may_have_run = false; /**< an attempt was not refused */
    bool started = false;
    bool done = false;
    int64_t first_sent_ms = 0;
    int64_t broken_ms = 0; /**< when its last attempt was broken off or not
                                answered; 0: none */
    bool durable = false;  /**< it must not get lost */
    /* The rest is set for durable jobs only. */
    bool accepted = false; /**< a submission was answered 200 */
    int64_t accepted_ms = 0;
    int64_t end_told_ms = 0; /**< when its caller was told that it had ended;
                                  0 before */
    int state_queries = 0;   /**< state queries that were answered or failed */
};

/** Answer to one attempt or state query. */
struct Answer {
    bool received; /**< false if there was no complete answer */
    int status;
    std::string body;
};

/** Records what callers and upstreams observe, and collects violations. */
class Checker {
  public:
    Job &add_job(uint64_t id, uint32_t tasks, uint32_t cpu, int64_t work,
                 int64_t now_ms);
    Job *find(uint64_t id);

    void on_start(int64_t now_ms, const std::string &upstream,
                  const lc_run_id &id);
    /** A run ended in an incarnation, identified by its start time, of an
     * upstream.
     */
    void on_end(int64_t now_ms, const std::string &upstream,
                int64_t incarnation, const lc_run_id &id, Runner_End end);
    /** The companion acknowledged an end while the lease was valid. */
    void on_acknowledged_end(int64_t now_ms, const std::string &upstream,
                             int64_t incarnation, const lc_run_id &id,
                             Runner_End end);
    void on_answer(int64_t now_ms, Job &job, const Answer &answer);
    /** Number of durable jobs that were accepted and whose end no caller was
     * told yet. */
    uint64_t durable_open() const;
    /** A state query for a durable job was answered, or failed. */
    void on_state_answer(int64_t now_ms, Job &job, const Answer &answer);
    void violation(int64_t now_ms, const std::string &text);
    /** Runs the final checks; to be called once all jobs should have ended. */
    void finish(int64_t now_ms);

    std::vector<std::string> violations;
    uint64_t starts = 0;
    uint64_t answers[6] = {}; /**< by hundreds of the status; 0 for none */
    uint64_t jobs_after_recovery = 0; /**< sent from recovery_deadline_ms on */
    uint64_t done_after_recovery = 0;
    int64_t recovery_deadline_ms = INT64_MAX;
    uint64_t durable_accepted = 0;
    uint64_t durable_done = 0;

  private:
    /* A successful end of a run. */
    struct SuccessfulEnd {
        std::string upstream;
        int64_t incarnation;
        uint32_t run;
        bool acknowledged;
        bool started_again; /* the task was started again after this end */
    };
    void check_durable_start(int64_t now_ms, const std::string &upstream,
                             const lc_run_id &id);
    void check_durable_ended(int64_t now_ms, const Job &job);

    std::map<lease::TaskKey, std::vector<SuccessfulEnd>> successful_ends;
    std::map<uint64_t, Job> jobs;
    std::map<lease::TaskKey, std::map<std::string, lc_run_id>> running;
    std::map<lease::TaskKey, bool> succeeded;
    std::map<std::string, uint32_t> used_cpu_milli;
};

} // namespace soak

#endif

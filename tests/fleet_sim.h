/**
 * @file fleet_sim.h
 * @brief Simulation of a large fleet in one process and virtual time: entries,
 * companions with their upstreams, and callers with a given load.
 *
 * For scheduling decisions under load only: every message arrives. Lost
 * messages and failing nodes are simulated in lease_sim.h.
 */
#ifndef LC_TESTS_FLEET_SIM_H
#define LC_TESTS_FLEET_SIM_H

#include <stdbool.h>
#include <stdint.h>

#define FLEET_SIM_KINDS 3
/** A kind of job. The figures are means; each job draws its own around
 * them. */
typedef struct {
    const char *queue;
    int32_t priority;
    double jobs_per_s; /**< arrivals at load factor 1 */
    uint32_t tasks;
    uint32_t work_ms;
} FleetSim_JobKind;

/** Size of a deployment and its jobs. */
typedef struct {
    uint32_t entries;
    uint32_t companions;
    uint32_t halls;
    uint32_t cpu_milli; /**< mean need of a task */
    int64_t link_ms;    /**< delay of a message one way */
    double wave;     /**< amplitude of a sine of the load, as a share of it */
    int64_t wave_ms; /**< period of the sine */
    FleetSim_JobKind kinds[FLEET_SIM_KINDS];
} FleetSim_Deployment;

/** A load with an optional surge and faults during it. Times are ms since the
 * first job. A load factor of 1 is the deployment's usual load. */
typedef struct {
    const FleetSim_Deployment *deployment;
    int64_t length_ms;
    double base_factor;  /**< load factor outside the surge */
    double surge_factor; /**< load factor from surge_ms to surge_end_ms */
    int surge_kind;      /**< kind of job that surges; -1: all */
    int64_t surge_ms;
    int64_t surge_end_ms;
    uint32_t added_companions; /**< this many of all start at surge_ms */
    double entries_down; /**< share of entries that are down from surge_ms */
    /** Share of upstreams that leave and return repeatedly during the surge.
     */
    double flapping;
    double crashing;  /**< share of jobs that crash each upstream that starts
                           their first task; left out of the outcomes */
    bool restart_all; /**< all processes restart at once at surge_ms */
    int64_t close_ms; /**< when the first hall is closed; 0: never */
    int64_t open_ms;  /**< when it is reopened */
    uint64_t seed;
    bool join_runs;   /**< one call carries all starts of a job at one host */
    double link_mbps; /**< bandwidth of the first entry's link; 0 and at all
                           other entries: unlimited */
    bool link_known;  /**< that entry is configured with link_mbps */
    /** Factor on the jobs that reach that entry during the surge; 0: as the
     * others. */
    double first_entry_factor;
} FleetSim_Load;

/** Numbers of jobs by outcome. */
typedef struct {
    uint32_t sent;
    uint32_t in_time;
    uint32_t late;
    uint32_t refused; /**< answered not_run */
    uint32_t given_up;
} FleetSim_Outcomes;

/** Results of a simulation run. */
typedef struct {
    FleetSim_Outcomes kinds[FLEET_SIM_KINDS];
    double value;            /**< mean over kinds: 1 for a job done in time,
                                  0.2 for a late one */
    double surge_value;      /**< of jobs submitted during the surge */
    uint64_t starts;         /**< task starts sent */
    uint64_t bytes;          /**< bytes of them on the wire */
    FleetSim_Outcomes first; /**< of jobs of all kinds that reached the first
                                entry during the surge */
    int64_t max_queued_ms;   /**< longest wait for its link */
    uint64_t first_bytes[FLEET_SIM_KINDS]; /**< of the starts that it sent */
    uint32_t first_jobs[FLEET_SIM_KINDS];  /**< that reached it */
    uint64_t
        refused_starts; /**< replies of LC_RUN_NO_ROOM or a later status */
    /** Jobs answered not_run while over a tenth of all capacity was free. */
    uint64_t refused_while_free;
    uint32_t crashes;         /**< upstreams crashed by a task */
    uint32_t max_job_crashes; /**< by one job */
    /** Jobs answered ERR_TASK_CRASHES that crash no upstream. */
    uint32_t wrongly_blamed;
    double surge_utilisation; /**< used share of all processors during the
                                 surge */
    double spread;            /**< coefficient of variation of starts per host,
                                   relative to their capacity */
    double added_share; /**< mean starts at added hosts over those at the other
                            hosts, from 0.5 s after they were added */
    int64_t first_start_ms; /**< longest time from adding a host to its first
                               start; -1: none added */
    int64_t wait_p50_ms;    /**< from submission to the first start */
    int64_t wait_p99_ms;
} FleetSim_Report;

/** Runs a load and returns its results. Asserts nothing. */
FleetSim_Report FleetSim_Run(const FleetSim_Load *load);

#endif

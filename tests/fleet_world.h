/**
 * @file fleet_world.h
 * @brief A large fleet in one process and virtual time: entries, companions
 * with their upstreams, and callers whose load is played.
 *
 * For the decisions under load alone. What must hold when messages are lost or
 * nodes fail is played by lease_world.h; here every message arrives.
 */
#ifndef LC_TESTS_FLEET_WORLD_H
#define LC_TESTS_FLEET_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#define FLEET_WORLD_KINDS 3
/** A kind of job: its tasks are alike but for chance. */
typedef struct {
    const char *queue;
    int32_t priority;
    double per_s; /**< jobs at usual load */
    uint32_t tasks;
    uint32_t work_ms;
} FleetWorld_Kind;

/** A deployment. */
typedef struct {
    uint32_t entries;
    uint32_t companions;
    uint32_t halls;
    uint32_t cpu_milli; /**< of each task */
    int64_t link_ms;    /**< one way */
    double wave;        /**< the load swings by this share */
    int64_t wave_ms;    /**< its period */
    FleetWorld_Kind kinds[FLEET_WORLD_KINDS];
} FleetWorld_Shape;

/** A load. Times are ms since the first job. */
typedef struct {
    const FleetWorld_Shape *shape;
    int64_t length_ms;
    double usual; /**< times the usual load, all the time */
    double rush;  /**< times the usual load from rush_ms on */
    int only;     /**< the rush is of this kind alone; -1: of all */
    int64_t rush_ms;
    int64_t rush_end_ms;
    uint32_t late_companions; /**< of them, so many begin at rush_ms */
    double away;      /**< share of entries without power during the rush */
    double flapping;  /**< share of upstreams that leave and come back */
    double crashing;  /**< share of jobs of which a task crashes the upstreams
                           that start it; they earn nothing and are not missed
                           */
    bool fresh_start; /**< the processes begin together at rush_ms */
    int64_t close_ms; /**< the first hall is closed then; 0: never */
    int64_t open_ms;  /**< and opened again */
    uint64_t seed;
    bool join_runs;   /**< a job's starts at one host go in one call */
    double link_mbps; /**< of the first entry's link, the others' are wide;
                           0: wide too */
    bool paced;       /**< that entry knows it */
    double demand;    /**< times the usual that comes to that entry during the
                           rush; 0: as the others */
} FleetWorld_Load;

/** What became of jobs of one kind. */
typedef struct {
    uint32_t sent;
    uint32_t in_time;
    uint32_t late;
    uint32_t refused; /**< not run */
    uint32_t given_up;
} FleetWorld_Jobs;

/** What a load showed. */
typedef struct {
    FleetWorld_Jobs kinds[FLEET_WORLD_KINDS];
    double worth;           /**< in time 1, late 0.2; kinds alike */
    double worth_rush;      /**< of the jobs handed in during the rush */
    uint64_t starts;        /**< of tasks, as they were sent */
    uint64_t bytes;         /**< of them on the wire */
    FleetWorld_Jobs first;  /**< of all kinds, at the first entry */
    int64_t queued_most_ms; /**< that bytes waited for its link */
    uint64_t first_bytes[FLEET_WORLD_KINDS]; /**< of its starts */
    uint32_t first_jobs[FLEET_WORLD_KINDS];  /**< that came to it */
    uint64_t refused_starts;
    uint64_t refused_free; /**< jobs refused while a tenth of all is free */
    uint32_t crashes;      /**< upstreams that crashed under a task */
    uint32_t most_crashes; /**< under one job */
    uint32_t innocent;     /**< jobs that failed though they crash nothing */
    double busy_rush;      /**< processors taken during the rush, share */
    double spread;         /**< starts by host: deviation over mean */
    double late_share;     /**< starts at hosts that came during the rush, over
                                those at as many others, from 0.5 s after */
    int64_t first_start_ms; /**< at a host that came, after its coming */
    int64_t wait_p50_ms;    /**< from handing in to the first start */
    int64_t wait_p99_ms;
} FleetWorld_Report;

/** Plays a load. */
FleetWorld_Report FleetWorld_Play(const FleetWorld_Load *load);

#endif

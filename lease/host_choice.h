/**
 * @file host_choice.h
 * @brief Chooses the companion (host) that runs a task.
 */
#ifndef LC_LEASE_HOST_CHOICE_H
#define LC_LEASE_HOST_CHOICE_H

#include "lease/active_job.h"
#include "lease/fleet.h"

/** Inputs of a choice; all pointers are borrowed. */
typedef struct {
    const Fleet *fleet;
    const char *hall; /**< of the entry that chooses */
    int64_t now_ms;
    int64_t log_read_ms; /**< tasks of durable jobs are started only at
                              companions heard of before this time */
    uint64_t *random;    /**< generator state */
    /** Tasks of the job, including this one, that are to be placed on as few
     * hosts as possible; 0 if each is placed independently. */
    uint32_t packed_tasks;
    Fleet_Host *previous_host; /**< of the task before, or NULL */
} HostChoice_Context;

/** Returns the companion that should run @p task now, or NULL if none can. */
Fleet_Host *HostChoice_Pick(const HostChoice_Context *context,
                            const Active_Job *job, const Active_Task *task);

/** Whether a companion has sent a message within the liveness timeout. */
bool HostChoice_IsLive(const Fleet_Host *host, int64_t now_ms);

/** Whether a companion and its upstream are healthy as far as is known: heard
 * from lately, not suspect and not avoided after refusals. */
bool HostChoice_IsHealthy(const Fleet_Host *host, int64_t now_ms);

/** Whether a companion is healthy and operators have not closed its hall. */
bool HostChoice_IsSchedulable(const Fleet_Host *host, int64_t now_ms);

#endif

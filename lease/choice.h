/**
 * @file choice.h
 * @brief The choice of a companion for one task.
 */
#ifndef LC_LEASE_CHOICE_H
#define LC_LEASE_CHOICE_H

#include "lease/active.h"
#include "lease/fleet.h"

/** Inputs of a choice. */
typedef struct {
    const Fleet *fleet;
    const char *hall; /**< of the entry */
    int64_t now_ms;
    uint64_t *random;
    /** Tasks of the job, this one among them, that are to go to as few hosts
     * as can be; 0: each may go anywhere. */
    uint32_t together;
    Fleet_Host *with; /**< where the last of them went, or NULL */
} Choice;

/** Companion that may run @p task now and should, or NULL. */
Fleet_Host *Choice_Host(const Choice *choice, const Active_Job *job,
                        const Active_Task *task);

/** Whether a companion has said something lately. */
bool Choice_IsHeard(const Fleet_Host *host, int64_t now_ms);

/** Whether a companion and its upstream are well, as far as is known. */
bool Choice_IsWell(const Fleet_Host *host, int64_t now_ms);

/** Whether a companion is well and operators let tasks start in its hall. */
bool Choice_IsOpen(const Fleet_Host *host, int64_t now_ms);

#endif

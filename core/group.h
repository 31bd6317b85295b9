/**
 * @file group.h
 * @brief Job queues of an entry, one per group: chooses the next group and
 * the next job within it.
 *
 * Groups are scheduled by weighted virtual time: a start charges the group
 * its expected slot time divided by its weight, and the end corrects the
 * charge. A group that was idle resumes at the virtual time of the group
 * served last, so idle time earns no credit.
 *
 * Ownership: a group owns its queue but not the jobs in it.
 */
#ifndef LC_CORE_GROUP_H
#define LC_CORE_GROUP_H

#include <glib.h>

#include "core/group_table.h"
#include "core/job.h"
#include "core/vtime.h"

/** Orders of jobs within a group; X(NAME, text, score function) */
#define GROUP_ORDER_LIST(X)                                                   \
    X(FIFO, "fifo", score_fifo)                                               \
    X(SHORTEST, "fewest_remaining", score_shortest)                           \
    X(RATIO, "response_ratio", score_ratio)

typedef enum {
#define X(name, text, score) GROUP_ORDER_##name,
    GROUP_ORDER_LIST(X)
#undef X
        GROUP_ORDER_COUNT
} Group_Order;

/** State of one group at one entry. */
typedef struct {
    char name[NODE_MAX_GROUP + 1];
    Vtime vtime;
    uint32_t weight;
    uint32_t running; /**< tasks sent that have not ended */
    uint32_t waiting; /**< tasks queued */
    GPtrArray *queue; /**< Job with waiting tasks, in order of arrival */
    Job *current;     /**< job chosen last, reused for a short time */
    int64_t current_until_ms;
    int64_t units;             /**< cap units: tasks that may run here */
    int64_t units_share;       /**< share of the cap, as counted in `units` */
    uint64_t units_epoch;      /**< epoch of that share */
    uint64_t borrow_id;        /**< id of the open request for a unit, or 0 */
    uint64_t borrow_call;      /**< call of that request, or 0 */
    lc_node lender;            /**< entry that the request was sent to */
    int64_t borrow_ms;         /**< when to send a request, or repeat it */
    int64_t reserved_until_ms; /**< until then a unit is set aside for an
                                    entry whose job has waited longer */
    GHashTable *lent;          /**< lc_node -> last id granted, or NULL */
    double tokens;             /**< starts allowed now by the rate limit */
    int64_t tokens_ms;
} Group;

/** All groups of an entry. */
typedef struct Groups Groups;

Groups *Groups_New(Group_Order order);
void Groups_Free(Groups *groups);

/** Group of that name, created if needed. */
Group *Groups_Get(Groups *groups, const char *name);

/** Group of that name or NULL. */
Group *Groups_Find(const Groups *groups, const char *name);

/** Queues a job; call it once per job, before any of its tasks is sent. */
void Groups_Enqueue(Groups *groups, Job *job);

/** Removes a job and all its waiting tasks from its queue. */
void Groups_Dequeue(Groups *groups, Job *job);

/** A waiting task of @p job was sent. */
void Groups_TaskSent(Groups *groups, Job *job);

/** Counts a task that another entry had sent as sent by this one. */
void Groups_TaskAdopted(Groups *groups, Job *job);

/** A sent task was not started and waits again. */
void Groups_TaskReturned(Groups *groups, Job *job);

/** A sent task ended after @p slot_ms. */
void Groups_TaskEnded(Groups *groups, Job *job, int64_t slot_ms);

/**
 * Group with the least virtual time among those with waiting tasks for which
 * @p may_start returns true; NULL if there is none.
 */
Group *Groups_Choose(Groups *groups,
                     bool (*may_start)(Group *group, void *context),
                     void *context);

/** Job of a group to send next, by the configured order; NULL if none. */
Job *Groups_ChooseJob(Groups *groups, Group *group, int64_t mono_ms);

/** Tasks waiting in all groups. */
uint32_t Groups_Waiting(const Groups *groups);

/** Visits each group. */
void Groups_ForEach(const Groups *groups,
                    void (*visit)(Group *group, void *context), void *context);

/** Order of that name, or GROUP_ORDER_COUNT. */
Group_Order Group_OrderFromText(const char *text);

#endif

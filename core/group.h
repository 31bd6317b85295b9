/**
 * @file group.h
 * @brief Queues of an entry, one for each group: which group's turn it is
 * and which of its jobs goes first.
 *
 * Groups share by weighted virtual time: a start charges the group its
 * expected slot time over its weight, the end corrects the charge. A group
 * that was idle resumes at the virtual time of the group served last, so
 * idle time earns no credit.
 *
 * Ownership: a group owns its queue but not the jobs in it.
 */
#ifndef LC_CORE_GROUP_H
#define LC_CORE_GROUP_H

#include <glib.h>

#include "core/job.h"
#include "core/table.h"
#include "core/vtime.h"

/** Orders within a group; X(NAME, text, score function) */
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

/** One group at one entry. */
typedef struct {
    char name[NODE_MAX_GROUP + 1];
    Vtime vtime;
    uint32_t weight;
    uint32_t running; /**< tasks sent and not ended */
    uint32_t waiting; /**< tasks queued */
    GPtrArray *queue; /**< Job with waiting tasks, in order of arrival */
    Job *current;     /**< job chosen last, kept for a short while */
    int64_t current_until_ms;
    int64_t units;        /**< tasks of a capped group that may run here */
    int64_t units_share;  /**< share of the cap that `units` came from */
    uint64_t units_epoch; /**< epoch of that share */
    uint64_t borrow_id;   /**< request for a unit that is open, or 0 */
    uint64_t borrow_call; /**< its call, or 0 */
    lc_node lender;       /**< whom it was sent to */
    int64_t borrow_ms;    /**< when to ask, or ask again */
    int64_t reserved_until_ms; /**< a unit is kept for an older waiter */
    GHashTable *lent;          /**< lc_node -> last id granted, or NULL */
    double tokens;             /**< starts allowed by the rate */
    int64_t tokens_ms;
} Group;

/** All groups of an entry. */
typedef struct Groups Groups;

Groups *Groups_New(Group_Order order);
void Groups_Free(Groups *groups);

/** Group of that name, made if needed. */
Group *Groups_Get(Groups *groups, const char *name);

/** Group of that name or NULL. */
Group *Groups_Find(const Groups *groups, const char *name);

/** Queues a job; call once, before its first task waits here. */
void Groups_Enqueue(Groups *groups, Job *job);

/** Takes a job out of its queue with all its waiting tasks. */
void Groups_Dequeue(Groups *groups, Job *job);

/** A waiting task of @p job was sent. */
void Groups_TaskSent(Groups *groups, Job *job);

/** A task that another entry had sent is followed by this one. */
void Groups_TaskFollowed(Groups *groups, Job *job);

/** A sent task came back unstarted and waits again. */
void Groups_TaskReturned(Groups *groups, Job *job);

/** A sent task ended after @p slot_ms. */
void Groups_TaskEnded(Groups *groups, Job *job, int64_t slot_ms);

/**
 * Group whose turn it is among those with waiting tasks that @p may_start
 * lets through; NULL if there is none.
 */
Group *Groups_Choose(Groups *groups,
                     bool (*may_start)(Group *group, void *context),
                     void *context);

/** Job of a group that goes first; NULL if none waits. */
Job *Groups_ChooseJob(Groups *groups, Group *group, int64_t mono_ms);

/** Tasks waiting in all groups. */
uint32_t Groups_Waiting(const Groups *groups);

/** Visits each group. */
void Groups_Each(const Groups *groups,
                 void (*visit)(Group *group, void *context), void *context);

/** Order of that name, or GROUP_ORDER_COUNT. */
Group_Order Group_OrderFromText(const char *text);

#endif

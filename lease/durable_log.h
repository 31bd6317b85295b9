/**
 * @file durable_log.h
 * @brief Replicated table of durable jobs: every entry applies the same log
 * records in the same order and so has the same jobs, owners and outcomes.
 *
 * Records are keyed; the store's log is compacted to the newest record of each
 * key. Applying a record twice, or late, is harmless: of two submissions or
 * claims the one with the lower offset is effective (lease/claims.h),
 * completed tasks stay completed, and the first outcome stays. No writer may
 * put a submission or a claim twice under its key. No I/O. Times are
 * monotonic, in ms.
 */
#ifndef LC_LEASE_DURABLE_LOG_H
#define LC_LEASE_DURABLE_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lease/claims.h"
#include "lease/queue_ref.h"
#include "lease/route_table.h"
#include "wire/msg.h"

/** Flag in the task number of a failures row: the row counts upstream crashes
 * under the task instead. Versions without crash counting ignore such rows,
 * because no task has that number. */
#define DURABLE_LOG_CRASH_COUNT (1U << 31)
/** Buffer size of a key, including the NUL. */
#define DURABLE_LOG_KEY_SIZE 64

/** One job. Owned by the table. */
typedef struct {
    uint64_t id;
    QueueRef queue;  /**< as its submission refers to it */
    bool submitted;  /**< its submission record was applied */
    char *body;      /**< as submitted; NULL once the job has ended */
    uint64_t offset; /**< of the effective submission */
    lc_node owner;   /**< first owner; the current one: DurableLog_OwnerOf */
    bool cancelled;  /**< a caller has cancelled it */
    lc_kept_outcome outcome;
    uint64_t outcome_offset; /**< of the effective outcome */
    int64_t outcome_ms;      /**< when an outcome was first applied */
    GByteArray *done;        /**< a bit for each task */
    GArray *failures;        /**< lc_kept_failures */
    GArray *submitters;      /**< lc_node, writers of submission records */
    GArray *writers;         /**< lc_node, writers of progress records */
} DurableLog_Job;

/** Kind of change made by a record. */
typedef enum {
    DURABLE_LOG_UNCHANGED,
    DURABLE_LOG_SUBMITTED, /**< a job became known, or its first owner changed
                            */
    DURABLE_LOG_PROGRESSED,
    DURABLE_LOG_CANCELLED,
    DURABLE_LOG_CLAIMED,     /**< the jobs of an owner were claimed */
    DURABLE_LOG_OWNER_ALIVE, /**< heartbeat of an owner */
    DURABLE_LOG_REORDERED,   /**< a claim was read after a later one: any claim
                                may have lost or gained its effect */
    DURABLE_LOG_DELETED      /**< a job was removed; its pointer is NULL */
} DurableLog_ChangeKind;

/** Change made by a record. */
typedef struct {
    DurableLog_ChangeKind kind;
    DurableLog_Job *job;   /**< or NULL */
    lc_node claimed_owner; /**< of a claim; for a heartbeat, its sender */
    lc_node successor;
} DurableLog_Change;

/** A record as stored. All pointers are borrowed. */
typedef struct {
    uint64_t offset;
    const char *key; /**< not NUL-terminated */
    size_t key_length;
    const uint8_t *value;
    size_t length; /**< 0: the key was deleted */
} DurableLog_Record;

/** Opaque table. */
typedef struct DurableLog DurableLog;

DurableLog *DurableLog_New(void);
void DurableLog_Free(DurableLog *log);

/** Applies a record; one that cannot be decoded changes nothing. */
DurableLog_Change DurableLog_Apply(DurableLog *log, int64_t now_ms,
                                   const DurableLog_Record *record);

/** Finds a job by its ID; NULL if there is none. */
DurableLog_Job *DurableLog_Find(const DurableLog *log, uint64_t id);

/** Current owner of a job: its first owner or the last successor. */
lc_node DurableLog_OwnerOf(const DurableLog *log, const DurableLog_Job *job);

/** Current owner of a job, whom it has claimed, and how many takeovers the job
 * has been through. */
Claims_Ownership DurableLog_Ownership(const DurableLog *log,
                                      const DurableLog_Job *job);

/** Claims of all owners; owned by the table. */
Claims *DurableLog_Claims(const DurableLog *log);

/** Jobs that have not ended, as DurableLog_Job pointers owned by the table;
 * the caller frees the array. */
GPtrArray *DurableLog_OpenJobs(const DurableLog *log);

/** Jobs that ended at or before @p until_ms; the caller frees the array. */
GPtrArray *DurableLog_EndedJobs(const DurableLog *log, int64_t until_ms);

/** A job submitted by an earlier version names its queue only: adds the
 * address that this has in @p routes. */
void DurableLog_AddAddress(DurableLog_Job *job, Route_Table *routes);

/** Does so for all jobs. */
void DurableLog_AddAddresses(DurableLog *log, Route_Table *routes);

/** Number of jobs that have not ended. */
uint32_t DurableLog_OpenCount(const DurableLog *log);

/** Writer of a record, parsed from its key. The incarnation is 0 if the key
 * names no writer; the address is 0 in keys of versions that omitted it. */
lc_node DurableLog_Writer(const DurableLog_Record *record);

/** Format the key of a record. Keys hold the writer's address as well as its
 * incarnation, because two processes that start at the same moment may have
 * the same incarnation. */
void DurableLog_SubmitKey(uint64_t job, lc_node writer,
                          char key[DURABLE_LOG_KEY_SIZE]);
void DurableLog_ProgressKey(uint64_t job, lc_node writer,
                            char key[DURABLE_LOG_KEY_SIZE]);
void DurableLog_CancelKey(uint64_t job, char key[DURABLE_LOG_KEY_SIZE]);
void DurableLog_HeartbeatKey(const lc_node *owner,
                             char key[DURABLE_LOG_KEY_SIZE]);
void DurableLog_ClaimKey(const lc_node *claimed_owner, lc_node writer,
                         char key[DURABLE_LOG_KEY_SIZE]);
void DurableLog_CompleteKey(const lc_node *claimed_owner, lc_node writer,
                            char key[DURABLE_LOG_KEY_SIZE]);

/** Whether a task is marked in a bitmap of completed tasks. */
bool DurableLog_IsDone(const GByteArray *done, uint32_t task);

/** Marks a task in the bitmap, which grows as needed. */
void DurableLog_MarkDone(GByteArray *done, uint32_t task);

#endif

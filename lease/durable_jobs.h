/**
 * @file durable_jobs.h
 * @brief Management of durable jobs in an entry: when a submission may be
 * acknowledged, which progress is recorded, when the jobs of another owner
 * are taken over, and when their tasks may be started again.
 *
 * All entries read the same log of records (durable_log.h); the order of the
 * records decides who owns a job. The owner runs the job through its
 * dispatcher, under an owner identity that it replaces once another entry has
 * claimed it. No I/O and no clock; ports never call back. Arguments are
 * borrowed unless stated otherwise.
 */
#ifndef LC_LEASE_DURABLE_JOBS_H
#define LC_LEASE_DURABLE_JOBS_H

#include <stdbool.h>
#include <stdint.h>

#include "lease/dispatcher.h"
#include "lease/durable_log.h"
#include "lease/queue_counts.h"

/** State of a job as reported to callers. */
typedef enum {
    DURABLE_JOB_UNKNOWN, /**< no such job */
    DURABLE_JOB_STALE,   /**< not known here, but the log was not read recently
                          */
    DURABLE_JOB_PENDING,
    DURABLE_JOB_RUNNING,
    DURABLE_JOB_SUCCEEDED,
    DURABLE_JOB_FAILED,
    DURABLE_JOB_CANCELLED
} DurableJobs_State;

/** Functions provided by the embedder; none may call back. */
typedef struct {
    /** Appends a record to the log, or deletes the key if @p length is 0;
     * returns the number of the write; numbers increase. */
    uint64_t (*put)(void *context, const char *key, const uint8_t *value,
                    size_t length);
    /** Sends the final answer to a caller. */
    void (*answer)(void *context, uint64_t request_id,
                   const Dispatcher_Answer *answer);
    /** Answers a caller's query with a job's state. */
    void (*answer_state)(void *context, uint64_t request_id,
                         DurableJobs_State state);
    /** Sends an RPC call to a companion. */
    void (*call)(void *context, Address to, uint64_t call_id,
                 const Msg_Call *call);
    /** Parses a job from the request body as submitted. */
    Err_Kind (*parse)(void *context, uint64_t id, const char *body,
                      LeasedJob *job, Status *status);
    /** Emits a log event. */
    void (*event)(void *context, Event_Id id, const char *detail);
} DurableJobs_Ports;

typedef struct {
    lc_node node;        /**< this entry; its owner identities use the
                              incarnation numbers after this one */
    uint32_t max_jobs;   /**< limit on open jobs of all entries together */
    int64_t resubmit_ms; /**< time after which the runs of an owner whose
                              lease has expired are over */
    int64_t keep_ms;     /**< how long a job's outcome can be queried */
} DurableJobs_Config;

/** Submission of a durable job. */
typedef struct {
    uint64_t request_id;
    const Route *route;
    QueueRef queue;   /**< that the request refers to */
    const char *body; /**< request body as submitted */
    const LeasedJob *job;
} DurableJobs_Submit;

/** Opaque state of the durable jobs of an entry. */
typedef struct DurableJobs DurableJobs;

/** Creates the state; jobs are run through @p dispatcher, which is borrowed.
 * The caller frees the result with DurableJobs_Free. */
DurableJobs *DurableJobs_New(const DurableJobs_Config *config,
                             const DurableJobs_Ports *ports, void *context,
                             Dispatcher *dispatcher, int64_t now_ms);
void DurableJobs_Free(DurableJobs *self);

/** Handles a submission: answers it once its record is written, or rejects
 * it. */
void DurableJobs_OnSubmit(DurableJobs *self, int64_t now_ms,
                          const DurableJobs_Submit *submit);

/** Cancels a job of the queue that the request refers to; returns false if
 * there is no such durable job known here. */
bool DurableJobs_OnCancel(DurableJobs *self, int64_t now_ms,
                          uint64_t request_id, uint64_t job,
                          const QueueRef *queue);

/** Cancels a job that is not known here. The log is read again first, because
 * another entry may have accepted the job a moment ago. */
void DurableJobs_CancelUnknown(DurableJobs *self, int64_t now_ms,
                               uint64_t request, uint64_t id,
                               const QueueRef *queue);

/** A caller has disconnected: it gets no answer, but its job remains. */
void DurableJobs_OnCallerDisconnect(DurableJobs *self, uint64_t request_id);

/** A caller queries a job's state. The answer is immediate unless the job is
 * open: then it is delayed briefly to wait for the outcome, because callers
 * mostly ask when they expect the job to have ended. */
void DurableJobs_OnStateQuery(DurableJobs *self, int64_t now_ms,
                              uint64_t request, uint64_t id,
                              const QueueRef *queue);

/** Returns the current state of a job. */
DurableJobs_State DurableJobs_StateOf(const DurableJobs *self, int64_t now_ms,
                                      uint64_t id, const QueueRef *queue);

/** The table of routes is about to be replaced; the dispatcher still has the
 * former one. */
void DurableJobs_OnRoutes(DurableJobs *self);

/** Adds all open jobs to @p counts. Queue names are borrowed. */
void DurableJobs_CountOpen(const DurableJobs *self, QueueCounts *counts);

/** Adds this owner's jobs of which no task was started to @p counts. Queue
 * names are borrowed. */
void DurableJobs_CountWaiting(const DurableJobs *self, QueueCounts *counts);

/** The newest record of each key is about to be read, in any order: claims
 * take no effect before DurableJobs_OnLogRead. */
void DurableJobs_OnNewest(DurableJobs *self);

/** Applies a record read from the log. */
void DurableJobs_OnRecord(DurableJobs *self, int64_t now_ms,
                          const DurableLog_Record *record);

/** All records that the log held at @p requested_ms have been read. */
void DurableJobs_OnLogRead(DurableJobs *self, int64_t now_ms,
                           int64_t requested_ms);

/** All records up to @p number are written. */
void DurableJobs_OnWritten(DurableJobs *self, int64_t now_ms, uint64_t number);

/** Task number of a run end that is not to be recorded. */
#define DURABLE_JOBS_NO_TASK UINT32_MAX

/** The dispatcher reports that a run has ended; @p done on success. */
void DurableJobs_OnRunEnd(DurableJobs *self, const lc_run_id *id,
                          uint32_t task, lc_node host, bool done);

/** The dispatcher reports that an upstream crashed while executing a run. */
void DurableJobs_OnUpstreamCrash(DurableJobs *self, const lc_run_id *id,
                                 uint32_t task);

/** The dispatcher reports that a job has ended. */
void DurableJobs_OnJobEnd(DurableJobs *self, uint64_t job,
                          Dispatcher_Outcome outcome);

/** A message of another entry has arrived; @p owner_incarnation is the
 * incarnation of its owner identity, 0 if it cannot manage its jobs. */
void DurableJobs_OnPeer(DurableJobs *self, int64_t now_ms, Address address,
                        uint64_t owner_incarnation);

/** Address of an entry that reads the log and was heard from recently, or
 * 0. */
Address DurableJobs_LivePeer(const DurableJobs *self, int64_t now_ms);

/** A call sent through the port has ended; @p reply is NULL if it failed. */
void DurableJobs_OnReply(DurableJobs *self, int64_t now_ms, uint64_t call_id,
                         const Msg_Reply *reply);

/** A companion has reported, or has restarted. */
void DurableJobs_OnHost(DurableJobs *self, int64_t now_ms);

/** Writes the records of changed jobs; to be called once all pending input
 * has been processed. */
void DurableJobs_Flush(DurableJobs *self, int64_t now_ms);

/** Handles timeouts; to be called every `LeaseTiming.tick_ms`, or more often.
 */
void DurableJobs_Tick(DurableJobs *self, int64_t now_ms);

/** Hands all jobs over to another entry, including those submitted later. */
void DurableJobs_HandOver(DurableJobs *self, int64_t now_ms);

/** Incarnation of the owner identity to announce to other entries; 0 if this
 * entry is leaving or has not read the log recently. */
uint64_t DurableJobs_OwnerIncarnation(const DurableJobs *self, int64_t now_ms);

/** Whether no durable job is open and no caller waits for one, so that nothing
 * depends on reading the log soon. */
bool DurableJobs_IsLogUnused(const DurableJobs *self);

/** Whether this entry needs reports from every companion, and frequent
 * messages from every entry: durable jobs of some entry are open, or were
 * until recently. A successor asks all companions for the runs they hold. */
bool DurableJobs_NeedsAllReports(const DurableJobs *self);

/** Whether no caller waits and this entry owns no open job. */
bool DurableJobs_IsIdle(const DurableJobs *self);

/** Appends metrics in the text exposition format. */
void DurableJobs_Metrics(const DurableJobs *self, int64_t now_ms,
                         GString *out);

/** Returns the state as JSON for operators; the caller owns the result. */
json_t *DurableJobs_Dump(const DurableJobs *self, int64_t now_ms);

#endif

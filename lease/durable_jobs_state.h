/**
 * @file durable_jobs_state.h
 * @brief Private state of the durable jobs of an entry: waiting callers, owned
 * jobs and their unwritten progress, takeovers from claimed owners.
 *
 * Included only by lease/durable_jobs*.c.
 */
#ifndef LC_LEASE_DURABLE_JOBS_STATE_H
#define LC_LEASE_DURABLE_JOBS_STATE_H

#include "base/handle_table.h"
#include "lease/durable_jobs.h"

/* An owner that has not read the log for this long neither starts nor renews
 * runs, because another entry may have claimed its jobs. Longer than most
 * outages of the store. */
#define DURABLE_JOBS_LOG_TIMEOUT_MS 6000

/* A caller waiting until its submission or cancellation is written. */
typedef struct {
    uint64_t number; /* of the awaited write; UINT64_MAX: waits until all that
                        the log held at `asked_ms` is read */
    int64_t asked_ms;
    int64_t written_ms; /* of a submission: when its write was confirmed; 0:
                           not yet */
    uint64_t request;
    uint64_t job;
    QueueRef queue;
    int64_t until_ms;
    bool cancels;
} DurableJobs_Waiter;

/* A caller waiting for the state of a job that was open when it asked. */
typedef struct {
    uint64_t request;
    uint64_t job;
    QueueRef queue;
    int64_t until_ms;
} DurableJobs_StateQuery;

/* A job that this entry owns and runs. */
typedef struct {
    uint64_t id;
    GByteArray *done; /* a bit for each task */
    GArray *failures; /* lc_kept_failures */
    GArray *ends;     /* DurableJobs_RunEnd, not put yet */
    lc_kept_outcome outcome;
    bool written;      /* its outcome is in the log */
    bool progress_put; /* a record that it has started was put */
    bool at_work;      /* a task was started by the last look at starts */
    bool awaits_queue; /* its queue is not known: no task is started */
} DurableJobs_OwnJob;

/* The end of a run, which its companion holds until it is recorded. */
typedef struct {
    uint64_t number; /* of the write that records it; 0 before the put */
    lc_node host;
    lc_run_id run;
} DurableJobs_RunEnd;

/* A held end of a job that is not known here: the job was dropped, or its
 * submission is newer than the last read of the log. */
typedef struct {
    DurableJobs_RunEnd end;
    int64_t heard_ms;
} DurableJobs_UnknownEnd;

/* Takeover from a claimed owner: what companions report of its runs. */
typedef struct {
    lc_node claimed_owner;
    int64_t claimed_ms;
    int64_t answered_ms;  /* when all companions had answered, or waiting for
                             them ended; from then on only the log can tell
                             more of these runs; 0 before */
    GArray *predecessors; /* lc_node, `claimed_owner` and those before it whose
                             takeover is not known to be complete */
    GArray *fenced;       /* lc_node, companions that have answered for all
                             predecessors */
    GArray *runs;         /* DurableJobs_FoundRun */
    GArray *late_starts;  /* LateStart */
} DurableJobs_Recovery;

/* A run that a companion holds. */
typedef struct {
    lc_held_run run;
    lc_node host;
} DurableJobs_FoundRun;

/* Another entry, as a possible owner. */
typedef struct {
    Address address;
    uint64_t owner_incarnation;
    int64_t heard_ms;
} DurableJobs_Peer;

/* An owner of open jobs. */
typedef struct {
    lc_node owner;
    int64_t since_ms; /* when it was first seen, or its last record was read */
    int64_t looked_up_ms;
} DurableJobs_SeenOwner;

/* A pending call to a companion. */
typedef struct {
    Msg_Kind kind;
    lc_node host;
    lc_node claimed_owner;
    guint next_predecessor; /* of a FENCE: the first one not named in it */
    GArray *ends;           /* DurableJobs_RunEnd, of a RELEASE */
} DurableJobs_Call;

struct DurableJobs {
    DurableJobs_Config config;
    const DurableJobs_Ports *ports;
    void *context;
    Dispatcher *dispatcher;
    DurableLog *log;
    lc_node node; /* current owner identity */
    int64_t started_ms;
    int64_t log_read_ms;   /* the log was read as it stood then; 0 for never */
    uint64_t written;      /* all writes up to this number are confirmed */
    GArray *waiters;       /* DurableJobs_Waiter */
    GArray *state_queries; /* DurableJobs_StateQuery */
    GHashTable *jobs;      /* id -> DurableJobs_OwnJob */
    GHashTable *changed;   /* set of ids */
    GArray *ends;          /* DurableJobs_RunEnd, to release once written */
    GArray *unknown_ends;  /* DurableJobs_UnknownEnd */
    GArray *recoveries;    /* DurableJobs_Recovery */
    GArray *peers;         /* DurableJobs_Peer */
    GHashTable *seen_owners; /* lc_node -> DurableJobs_SeenOwner */
    GArray *claims;          /* lc_node, owners claimed under this identity */
    GArray *taken_over;      /* lc_node, owners whose takeover was begun under
                                this identity */
    Handle_Table *calls;     /* DurableJobs_Call */
    int64_t own_record_ms;   /* when an own record was last read back */
    int64_t heartbeat_ms;    /* when the last heartbeat record was put */
    int64_t expiry_checked_ms;
    int64_t starts_checked_ms; /* last look at starts that are not recorded */
    int64_t last_open_ms;      /* when a job was last open; 0 for never */
    int64_t last_quiet_ms;     /* when nothing last depended on the log */
    int64_t all_reports_since_ms; /* since when all companions are asked to
                                     report */
    int64_t reports_since_ms;     /* since when companions have been heard
                                     without a break; 0: none is heard */
    int64_t reports_checked_ms;   /* when this was last updated */
    uint32_t unowned;             /* open jobs whose owner is silent */
    int64_t unowned_since_ms;     /* the earliest last word of such an owner */
    bool logged_unowned;
    bool leaving;
    bool claims_unread; /* later records may undo claims that were read */
    bool has_unstarted; /* owned jobs may be waiting to be started */
};

/** Puts a record; returns the number of the write. */
uint64_t DurableJobs_Put(DurableJobs *self, const char *key,
                         const lc_kept_record *record);

/* Callers: durable_jobs_callers.c. */

/** Whether the log has not answered within its timeout. */
bool DurableCaller_IsLogDown(const DurableJobs *self, int64_t now_ms);

/** Whether a task of the job has been started, as far as this entry knows. */
bool DurableCaller_HasStarted(const DurableJobs *self,
                              const DurableLog_Job *job);

/** Answers queries whose job has ended or whose wait is over. */
void DurableCaller_AnswerStateQueries(DurableJobs *self, int64_t now_ms);

/** Carries out cancellations of jobs that were unknown before the last read;
 * reports those that still are as unknown. */
void DurableCaller_OnLogRead(DurableJobs *self, int64_t now_ms);

/** Answers callers whose record was not written in time. */
void DurableCaller_ExpireWaiters(DurableJobs *self, int64_t now_ms);

/* Owned jobs: durable_jobs_owned.c. */

void DurableOwned_Free(gpointer item);

/** Hands a job to the dispatcher; @p recovery has the runs of it that were
 * found at companions, or is NULL. */
void DurableOwned_Start(DurableJobs *self, int64_t now_ms, DurableLog_Job *job,
                        const DurableJobs_Recovery *recovery);

/** Starts owned jobs that are not waiting for a recovery, and the tasks of
 * those whose queue has become known. */
void DurableOwned_StartAll(DurableJobs *self, int64_t now_ms);

/** Queues an end for release at its companion. */
void DurableOwned_QueueRelease(DurableJobs *self,
                               const DurableJobs_RunEnd *end);

/** Records the end of a run that a companion holds and the dispatcher took for
 * lost, so that it can be released. @p task: number of its task. Without
 * effect if the job is not owned, or the companion is about to tell the end.
 */
void DurableOwned_RecordHeldEnd(DurableJobs *self, int64_t now_ms,
                                const DurableJobs_RunEnd *end, uint32_t task,
                                bool done);

/** Sends RELEASE calls for all ends whose records are written. */
void DurableOwned_SendReleases(DurableJobs *self);

/** A RELEASE call has ended; @p answered if the companion answered it. */
void DurableOwned_OnReleaseReply(DurableJobs *self,
                                 const DurableJobs_Call *call, bool answered);

/** Puts the progress record of a job. */
void DurableOwned_PutProgress(DurableJobs *self, DurableJobs_OwnJob *row);

/** Records that owned jobs are at work, so that every entry shows them as
 * running, whatever becomes of their owner. Jobs that end soon are recorded by
 * their end alone. */
void DurableOwned_RecordStarts(DurableJobs *self, int64_t now_ms);

/** Removes a job whose outcome is in the log; queues its ends for release. */
void DurableOwned_Remove(DurableJobs *self, DurableJobs_OwnJob *row);

/* Takeover from claimed owners: durable_jobs_takeover.c. */

/** Claims the jobs of owners that have been silent for too long. */
void DurableTakeover_ClaimSilentOwners(DurableJobs *self, int64_t now_ms);

/** Puts a claim that hands the jobs of @p claimed_owner to @p successor, once
 * for each identity of this entry: a second record would replace the first
 * under its key, and an entry that starts later would read it in the place of
 * a claim by another entry between both. */
void DurableTakeover_PutClaim(DurableJobs *self, const lc_node *claimed_owner,
                              const lc_node *successor);

/** Another entry that can take over jobs; zeros if there is none. */
lc_node DurableTakeover_PickSuccessor(const DurableJobs *self, int64_t now_ms);

/** An owner has written a record, so it is alive even if its messages do not
 * arrive. */
void DurableTakeover_OnOwnerRecord(DurableJobs *self, int64_t now_ms,
                                   lc_node writer);

/** Puts a heartbeat record if this owner has jobs and has written nothing
 * recently. */
void DurableTakeover_PutHeartbeat(DurableJobs *self, int64_t now_ms);

/** A claim that takes effect was read. */
void DurableTakeover_OnClaim(DurableJobs *self, int64_t now_ms,
                             lc_node claimed_owner, lc_node successor);

/** All claims up to the last read of the log are known, and any of them may be
 * new. */
void DurableTakeover_OnAllClaims(DurableJobs *self, int64_t now_ms);

/** Sends FENCE calls to companions; starts the jobs of a recovery once all
 * companions have answered. */
void DurableTakeover_AdvanceRecoveries(DurableJobs *self, int64_t now_ms);

/** Releases ends whose job is unknown to a log that was read after the end was
 * reported. */
void DurableTakeover_OnLogRead(DurableJobs *self);

/** Fetches ends that companions have held for long. */
void DurableTakeover_FetchHeldEnds(DurableJobs *self, int64_t now_ms);

/** A companion has answered a FENCE with the runs it holds. */
void DurableTakeover_OnFenceReply(DurableJobs *self, int64_t now_ms,
                                  const DurableJobs_Call *call,
                                  const lc_fence_res *result);

/** The recovery of the last claim that gave @p job to this entry; NULL if none
 * is pending. Borrowed. */
const DurableJobs_Recovery *
DurableTakeover_RecoveryOf(const DurableJobs *self, const DurableLog_Job *job);

/** Frees the members of a recovery. */
void DurableTakeover_ClearRecovery(DurableJobs_Recovery *recovery);

#endif

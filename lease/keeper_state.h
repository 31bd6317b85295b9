/**
 * @file keeper_state.h
 * @brief State of a keeper, shared by the files that make it up: what callers
 * ask for, own jobs and what is written of them, owners that are gone.
 *
 * For lease/keeper*.c alone.
 */
#ifndef LC_LEASE_KEEPER_STATE_H
#define LC_LEASE_KEEPER_STATE_H

#include "base/handle.h"
#include "lease/keeper.h"

/* Without a word of the log for so long, an owner starts and renews nothing:
 * it may have been claimed. Longer than most outages of the store. */
#define KEEPER_HOLD_MS 6000

/* A caller that waits for its job to be written down, or cancelled. */
typedef struct {
    uint64_t number; /* of the record that it waits for; UINT64_MAX: for
                        what stands in the log at `asked_ms` */
    int64_t asked_ms;
    uint64_t request;
    uint64_t job;
    char *queue;
    int64_t until_ms;
    bool cancels;
} Keeper_Waiter;

/* A caller that asked for the state of a job that was open. */
typedef struct {
    uint64_t request;
    uint64_t job;
    char *queue;
    int64_t until_ms;
} Keeper_Looker;

/* A job that this entry runs. */
typedef struct {
    uint64_t id;
    GByteArray *done;
    GArray *failures; /* lc_kept_failures */
    GArray *ends;     /* Keeper_End, not written down yet */
    lc_kept_outcome outcome;
    bool written; /* its outcome is in the log */
} Keeper_Job;

/* An end that its companion holds until it is written down. */
typedef struct {
    uint64_t number; /* of the record with it; 0 before it is put */
    lc_node host;
    lc_run_id run;
} Keeper_End;

/* A held end of a job that is not known here: it is gone, or newer than what
 * was read of the log. */
typedef struct {
    Keeper_End end;
    int64_t heard_ms;
} Keeper_Doubt;

/* What companions say of the runs of an owner that is gone. */
typedef struct {
    lc_node gone;
    int64_t claimed_ms;
    int64_t told_ms; /* since when nothing more can be learnt of its runs but
                        from the log; 0 before */
    GArray *fenced;  /* lc_node, companions that have answered */
    GArray *runs;    /* Keeper_Found */
} Keeper_Recovery;

/* A run found at a companion. */
typedef struct {
    lc_held_run run;
    lc_node host;
} Keeper_Found;

/* Another entry as an owner. */
typedef struct {
    Address address;
    uint64_t kept;
    int64_t heard_ms;
} Keeper_Peer;

/* An owner of open jobs. */
typedef struct {
    lc_node owner;
    int64_t since_ms; /* first seen, or its last record read */
} Keeper_Seen;

/* A call on its way to a companion. */
typedef struct {
    Msg_Kind kind;
    lc_node host;
    lc_node gone;
    GArray *ends; /* Keeper_End, of a RELEASE */
} Keeper_Call;

struct Keeper {
    Keeper_Config config;
    const Keeper_Ports *ports;
    void *context;
    Dispatcher *dispatcher;
    Kept *kept;
    lc_node node; /* as an owner */
    int64_t started_ms;
    int64_t contact_ms;  /* the log was read as it stood then; 0 for never */
    uint64_t written;    /* records up to this number are */
    GArray *waiters;     /* Keeper_Waiter */
    GArray *lookers;     /* Keeper_Looker */
    GHashTable *jobs;    /* id -> Keeper_Job */
    GHashTable *changed; /* set of ids */
    GArray *ends;        /* Keeper_End, put but not written */
    GArray *doubts;      /* Keeper_Doubt */
    GArray *recoveries;  /* Keeper_Recovery */
    GArray *peers;       /* Keeper_Peer */
    GArray *seen;        /* Keeper_Seen */
    GArray *claims;      /* lc_node, put lately */
    Handle_Table *calls; /* Keeper_Call */
    int64_t wrote_ms;    /* own record read back last */
    int64_t alive_ms;    /* when it was said last that this owner lives */
    int64_t claimed_ms;  /* when the last claim was put */
    int64_t swept_ms;
    int64_t open_ms;      /* when a job was last seen open; 0 for never */
    int64_t quiet_ms;     /* when nobody waited for the log last */
    int64_t all_since_ms; /* since when all companions are asked to report */
    bool leaving;
    bool unstarted; /* own jobs may wait to be started */
};

/** Puts a record; returns its number. */
uint64_t Keeper_Put(Keeper *keeper, const char *key,
                    const lc_kept_record *record);

/* Callers: keeper_callers.c. */

/** Whether the log has not answered lately. */
bool KeeperCaller_LogIsDown(const Keeper *keeper, int64_t now_ms);

/** Tells those whose job is over, or who have waited. */
void KeeperCaller_TellLookers(Keeper *keeper, int64_t now_ms);

/** Cancels, or calls unknown, what was asked for before the last read. */
void KeeperCaller_TakeRead(Keeper *keeper, int64_t now_ms);

/** Answers those whose record was not written in time. */
void KeeperCaller_GiveUp(Keeper *keeper, int64_t now_ms);

/* Own jobs: keeper_jobs.c. */

void KeeperJob_Free(gpointer item);

/** Hands a job to the dispatcher, with the runs that were found of it. */
void KeeperJob_Start(Keeper *keeper, int64_t now_ms, Kept_Job *job,
                     const Keeper_Recovery *recovery);

/** Starts own jobs that no recovery waits for. */
void KeeperJob_StartAll(Keeper *keeper, int64_t now_ms);

/** Asks a companion to let go of an end. */
void KeeperJob_Release(Keeper *keeper, const Keeper_End *end);

/** Lets go of all ends whose records are written. */
void KeeperJob_ReleaseWritten(Keeper *keeper);

/** A RELEASE has ended. */
void KeeperJob_Released(Keeper *keeper, const Keeper_Call *call, bool taken);

/** Puts the record of a job's progress. */
void KeeperJob_Write(Keeper *keeper, const Keeper_Job *row);

/** Drops a job whose outcome is in the log. */
void KeeperJob_Forget(Keeper *keeper, Keeper_Job *row);

/* Owners that are gone: keeper_owners.c. */

/** Claims owners that are gone. */
void KeeperOwner_Watch(Keeper *keeper, int64_t now_ms);

/** Writes that an owner's jobs are its successor's. */
void KeeperOwner_PutClaim(Keeper *keeper, int64_t now_ms, const lc_node *gone,
                          const lc_node *successor);

/** Another entry that can look after jobs; zeros if there is none. */
lc_node KeeperOwner_Other(const Keeper *keeper, int64_t now_ms);

/** An owner has written a record: it lives, whether others hear it or not. */
void KeeperOwner_Wrote(Keeper *keeper, int64_t now_ms, lc_node writer);

/** Writes that this owner lives, if it has jobs and wrote nothing lately. */
void KeeperOwner_SayAlive(Keeper *keeper, int64_t now_ms);

/** A claim was read. */
void KeeperOwner_Claimed(Keeper *keeper, int64_t now_ms, lc_node gone,
                         lc_node successor);

/** Asks companions, and starts jobs once all have answered. */
void KeeperOwner_Recover(Keeper *keeper, int64_t now_ms);

/** Lets go of ends of jobs that the log, read since they were heard of, does
 * not know. */
void KeeperOwner_TakeRead(Keeper *keeper);

/** Asks companions for ends that they hold for long. */
void KeeperOwner_AskHeld(Keeper *keeper, int64_t now_ms);

/** A companion has told of the runs it holds. */
void KeeperOwner_Fenced(Keeper *keeper, int64_t now_ms,
                        const Keeper_Call *call, const lc_fence_res *result);

/** Whether jobs of an owner wait for what companions say. */
const Keeper_Recovery *KeeperOwner_RecoveryOf(const Keeper *keeper,
                                              const Kept_Job *job);

/** Asks a companion for the runs of an owner; a node of zeros asks for all
 * ends that are held. */
void KeeperOwner_Ask(Keeper *keeper, lc_node host, lc_node gone);

/** Frees what a recovery holds. */
void KeeperOwner_ClearRecovery(Keeper_Recovery *recovery);

#endif

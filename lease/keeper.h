/**
 * @file keeper.h
 * @brief An entry's decisions on kept jobs: when a submission may be
 * acknowledged, what is written down of each job, when the jobs of another
 * owner are taken over, and when their tasks may start again.
 *
 * All entries follow one log of records (kept.h); its order decides who owns
 * a job. The owner runs it through its dispatcher, under an identity of its
 * own that it gives up when another entry has claimed it. No I/O and no
 * clock; ports never call back. Arguments are borrowed unless said otherwise.
 */
#ifndef LC_LEASE_KEEPER_H
#define LC_LEASE_KEEPER_H

#include <stdbool.h>
#include <stdint.h>

#include "lease/dispatcher.h"
#include "lease/kept.h"
#include "lease/queue_counts.h"

/** What is known of a job. */
typedef enum {
    KEEPER_UNKNOWN, /**< no such job */
    KEEPER_STALE, /**< not known here, but the log has not been read lately */
    KEEPER_PENDING,
    KEEPER_RUNNING,
    KEEPER_SUCCEEDED,
    KEEPER_FAILED,
    KEEPER_CANCELLED
} Keeper_State;

/** Functions through which a keeper acts; none may call it back. */
typedef struct {
    /** Writes a record, or drops the key if @p length is 0; returns its
     * number, which rises. */
    uint64_t (*put)(void *context, const char *key, const uint8_t *value,
                    size_t length);
    /** Answers a caller. */
    void (*answer)(void *context, uint64_t request_id,
                   const Dispatcher_Answer *answer);
    /** Tells a caller of a job's state. */
    void (*tell)(void *context, uint64_t request_id, Keeper_State state);
    /** Calls a companion. */
    void (*call)(void *context, Address to, uint64_t call_id,
                 const Msg_Call *call);
    /** Queue of a name in the routes in force, or NULL. */
    const Route *(*route)(void *context, const char *queue);
    /** Reads a job as its caller sent it. */
    Err_Kind (*parse)(void *context, uint64_t id, const char *body,
                      LeasedJob *job, Status *status);
    /** Writes an event. */
    void (*event)(void *context, Event_Id id, const char *detail);
} Keeper_Ports;

/** Settings. */
typedef struct {
    lc_node node;        /**< of this entry; as an owner it goes by the
                              numbers behind this incarnation */
    uint32_t max_jobs;   /**< open at once, of all entries */
    int64_t resubmit_ms; /**< runs of a lapsed owner are over by then */
    int64_t keep_ms;     /**< a job's outcome is known for so long */
} Keeper_Config;

/** A job handed in that must be kept. */
typedef struct {
    uint64_t request_id;
    const Route *route;
    const char *body; /**< as its caller sent it */
    const LeasedJob *job;
} Keeper_Submit;

/** Opaque keeper. */
typedef struct Keeper Keeper;

/** Makes a keeper, which runs its jobs through @p dispatcher. */
Keeper *Keeper_New(const Keeper_Config *config, const Keeper_Ports *ports,
                   void *context, Dispatcher *dispatcher, int64_t now_ms);
void Keeper_Free(Keeper *keeper);

/** Takes a job; answers it when it is written down, or refuses it. */
void Keeper_OnSubmit(Keeper *keeper, int64_t now_ms,
                     const Keeper_Submit *submit);

/** Cancels a job; false if it is not a kept one that is known here. */
bool Keeper_OnCancel(Keeper *keeper, int64_t now_ms, uint64_t request_id,
                     uint64_t job, const char *queue);

/** Cancels a job that no entry knows: the log is read once more first, as it
 * may have been accepted a moment ago elsewhere. */
void Keeper_CancelUnknown(Keeper *keeper, int64_t now_ms, uint64_t request,
                          uint64_t id, const char *queue);

/** A caller has gone: it is not answered; its job stays. */
void Keeper_OnCallerGone(Keeper *keeper, uint64_t request_id);

/** A caller asks for a job's state. It is told at once, unless the job is
 * open: then the answer waits a moment for its end, as callers mostly ask
 * when a job should be over. */
void Keeper_OnLook(Keeper *keeper, int64_t now_ms, uint64_t request,
                   uint64_t id, const char *queue);

/** State of a job now. */
Keeper_State Keeper_Look(const Keeper *keeper, int64_t now_ms, uint64_t id,
                         const char *queue);

/** Counts the jobs of this owner of which no task was started. Names are
 * borrowed. */
void Keeper_AddWaiting(const Keeper *keeper, QueueCounts *counts);

/** A record was read. */
void Keeper_OnRecord(Keeper *keeper, int64_t now_ms,
                     const Kept_Record *record);

/** All records were read that stood in the log at @p asked_ms. */
void Keeper_OnRead(Keeper *keeper, int64_t now_ms, int64_t asked_ms);

/** All records up to a number are written. */
void Keeper_OnWritten(Keeper *keeper, int64_t now_ms, uint64_t number);

/** Number of no task: of an end that is not to be written down. */
#define KEEPER_NO_TASK UINT32_MAX

/** The dispatcher tells of a run that ended well or badly. */
void Keeper_OnRunEnd(Keeper *keeper, const lc_run_id *id, uint32_t task,
                     lc_node host, bool done);

/** The dispatcher tells that an upstream has crashed under a run. */
void Keeper_OnCrash(Keeper *keeper, const lc_run_id *id, uint32_t task);

/** The dispatcher tells that a job is over. */
void Keeper_OnJobOver(Keeper *keeper, uint64_t job,
                      Dispatcher_Outcome outcome);

/** Another entry spoke; @p kept is its identity as an owner, 0 if it cannot
 * look after its jobs. */
void Keeper_OnPeer(Keeper *keeper, int64_t now_ms, Address address,
                   uint64_t kept);

/** An entry that reads the log and spoke lately, or 0. */
Address Keeper_SomePeer(const Keeper *keeper, int64_t now_ms);

/** A call of this keeper ended; @p reply is NULL when it broke. */
void Keeper_OnReply(Keeper *keeper, int64_t now_ms, uint64_t call_id,
                    const Msg_Reply *reply);

/** A companion was heard of, or began anew. */
void Keeper_OnHost(Keeper *keeper, int64_t now_ms);

/** Writes down what has changed; to be called when all input was taken. */
void Keeper_Settle(Keeper *keeper, int64_t now_ms);

/** Time has passed; to be called every `term.tick_ms` or more often. */
void Keeper_Tick(Keeper *keeper, int64_t now_ms);

/** Hands all jobs over to another entry, also those that still come. */
void Keeper_Leave(Keeper *keeper, int64_t now_ms);

/** Identity as an owner that others may rely on, or 0. */
uint64_t Keeper_Identity(const Keeper *keeper, int64_t now_ms);

/** Whether no kept job is open and no caller asks for one: nobody waits for
 * what stands in the log. */
bool Keeper_IsQuiet(const Keeper *keeper);

/** Whether this entry has to hear every companion, and every entry often: some
 * entry's kept jobs are open, or were until lately. Who takes them over asks
 * all companions for what they hold. */
bool Keeper_NeedsAll(const Keeper *keeper);

/** Whether no caller waits and no own job is open. */
bool Keeper_IsIdle(const Keeper *keeper);

/** Appends figures for scrapers. */
void Keeper_Metrics(const Keeper *keeper, int64_t now_ms, GString *out);

/** State for operators; the caller owns the result. */
json_t *Keeper_Dump(const Keeper *keeper, int64_t now_ms);

#endif

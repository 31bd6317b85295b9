/**
 * @file entry_fixture.h
 * @brief A dispatcher with fake ports that record its calls and answers, for
 * tests of what an entry sends and when.
 */
#ifndef LC_TESTS_ENTRY_FIXTURE_H
#define LC_TESTS_ENTRY_FIXTURE_H

#include "lease/dispatcher.h"

#define ENTRY_FIX_CAPACITY 2048
#define ENTRY_FIX_START_MS 1000000
/** Length of a job's spec, in bytes. */
#define ENTRY_FIX_SPEC_BYTES 1200

/** A start of a task, by a RUN or as a row of a RUNS. */
typedef struct {
    Address to;
    uint64_t call_id;
    uint64_t owner;  /**< incarnation */
    uint32_t joined; /**< number of rows in its RUNS; 0: a RUN */
    lc_run_id id;
    int64_t valid_until_ms;
    size_t spec_length;
    int64_t at_ms;
} EntryFix_Start;

/** Any other call. */
typedef struct {
    Address to;
    uint64_t call_id;
    Msg_Kind kind;
    lc_renew_args renew;     /**< of a RENEW */
    lc_forward_args forward; /**< of a FORWARD; its pointers are invalid */
    lc_extend_args extend;   /**< of an EXTEND; its pointers are invalid */
    uint64_t gone; /**< first withdrawn job number in an EXTEND; 0: none */
    int64_t at_ms;
} EntryFix_Call;

/** A reply to another entry. */
typedef struct {
    uint64_t reply_id;
    Msg_Kind kind;
    lc_forward_res forward; /**< its text pointers are invalid */
    lc_extend_res extend;
} EntryFix_SentReply;

/** How a request was answered. */
typedef struct {
    uint64_t request;
    Dispatcher_Outcome outcome;
    Err_Kind kind;
    uint32_t retry_ms;
} EntryFix_Answer;

/** The fixture. */
typedef struct {
    Dispatcher *dispatcher;
    Route_Table *routes;
    Route *route;
    LeaseTiming timing;
    int64_t now_ms;
    EntryFix_Start starts[ENTRY_FIX_CAPACITY];
    int start_count;
    EntryFix_Call calls[ENTRY_FIX_CAPACITY];
    int call_count;
    EntryFix_Answer answers[ENTRY_FIX_CAPACITY];
    int answer_count;
    EntryFix_SentReply replies[ENTRY_FIX_CAPACITY];
    int reply_count;
    uint32_t renewed_tasks; /**< room, in tasks, reported in replies to
                                 renewals, which are immediate; 0: renewals
                                 are not answered */
    uint32_t late_start_ms; /**< told in replies to starts */
    uint32_t late_ms;       /**< told in reports */
    bool starts_told;       /**< in replies to renewals, with the next field */
    lc_run_id unsettled;    /**< run 0: none */
    bool on_trial; /**< the upstreams of all companions are on trial */
} EntryFix;

/** Creates a dispatcher at @p address with a link of @p link_mbps Mbit/s; 0:
 * unknown, and starts are not joined in one call. */
void EntryFix_Open(EntryFix *fix, Address address, double link_mbps);
void EntryFix_Close(EntryFix *fix);

/** Creates a dispatcher without a known link, with room for four tasks at
 * companion 0, where it has started the one task of @p job. */
void EntryFix_OpenStarted(EntryFix *fix, Address address, uint64_t job);

/** Returns the identity of companion number @p host, from 0. */
lc_node EntryFix_Host(uint32_t host);

/** Fills in the report of companion number @p host with room for @p tasks
 * tasks of 1000 millicores; its strings are static. */
void EntryFix_FillReport(const EntryFix *fix, uint32_t host, uint32_t tasks,
                         lc_report_args *report);

/** Reports room at a companion for @p tasks tasks of 1000 millicores. */
void EntryFix_Report(EntryFix *fix, uint32_t host, uint32_t tasks);

/** Submits a job; the request id equals the job id. */
void EntryFix_Submit(EntryFix *fix, uint64_t job, uint32_t tasks,
                     int32_t priority);

/** Replies to a start with @p status and room for @p tasks_left tasks. */
void EntryFix_Reply(EntryFix *fix, const EntryFix_Start *start,
                    lc_run_status status, uint32_t tasks_left);

/** Breaks the connection of a start before its reply. */
void EntryFix_BreakConnection(EntryFix *fix, const EntryFix_Start *start);

/** Number of recorded calls of a kind, and the last of them. */
int EntryFix_CountCalls(const EntryFix *fix, Msg_Kind kind);
const EntryFix_Call *EntryFix_LastCall(const EntryFix *fix, Msg_Kind kind);

/** Advances the time by @p ms, with a tick every 50 ms and a dispatch of
 * waiting tasks every ms. */
void EntryFix_Advance(EntryFix *fix, int64_t ms);

#endif

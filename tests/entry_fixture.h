/**
 * @file entry_fixture.h
 * @brief A dispatcher whose calls and answers are written down, for rules on
 * what an entry sends when.
 */
#ifndef LC_TESTS_ENTRY_FIXTURE_H
#define LC_TESTS_ENTRY_FIXTURE_H

#include "lease/dispatcher.h"

#define ENTRY_FIX_MOST 2048
#define ENTRY_FIX_START_MS 1000000
/** Bytes of a job's spec. */
#define ENTRY_FIX_SPEC 1200

/** A start, alone or a row of a RUNS. */
typedef struct {
    Address to;
    uint64_t call_id;
    uint64_t owner;  /**< incarnation */
    uint32_t joined; /**< rows of its call; 0: a RUN */
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
    lc_forward_args forward; /**< of a FORWARD, without what it borrows */
    lc_extend_args extend;   /**< of an EXTEND, likewise */
    uint64_t gone;           /**< the first number that an EXTEND tells */
    int64_t at_ms;
} EntryFix_Call;

/** A reply to another entry. */
typedef struct {
    uint64_t reply_id;
    Msg_Kind kind;
    lc_forward_res forward; /**< without its texts */
    lc_extend_res extend;
} EntryFix_Reply_Row;

/** How a request was answered. */
typedef struct {
    uint64_t request;
    Dispatcher_Outcome outcome;
    Err_Kind kind;
} EntryFix_Answer;

/** The fixture. */
typedef struct {
    Dispatcher *dispatcher;
    Route_Table *routes;
    Route *route;
    Term term;
    int64_t now_ms;
    EntryFix_Start starts[ENTRY_FIX_MOST];
    int start_count;
    EntryFix_Call calls[ENTRY_FIX_MOST];
    int call_count;
    EntryFix_Answer answers[ENTRY_FIX_MOST];
    int answer_count;
    EntryFix_Reply_Row replies[ENTRY_FIX_MOST];
    int reply_count;
    uint32_t renewed_tasks; /**< room told in answers to renewals, which come
                                 at once; 0: they are not answered */
} EntryFix;

/** A dispatcher at @p address with a link of so many Mbit/s; 0: not known,
 * and starts are not joined. */
void EntryFix_Open(EntryFix *fix, Address address, double link_mbps);
void EntryFix_Close(EntryFix *fix);

/** Companion number @p host, from 0. */
lc_node EntryFix_Host(uint32_t host);

/** A companion reports room for so many tasks of 1000 thousandths. */
void EntryFix_Report(EntryFix *fix, uint32_t host, uint32_t tasks);

/** A caller hands a job in; the request has its number. */
void EntryFix_Submit(EntryFix *fix, uint64_t job, uint32_t tasks,
                     int32_t priority);

/** A start is answered. */
void EntryFix_Reply(EntryFix *fix, const EntryFix_Start *start,
                    lc_run_status status, uint32_t tasks_left);

/** Its connection broke. */
void EntryFix_Lose(EntryFix *fix, const EntryFix_Start *start);

/** Calls of a kind so far, and the last of them. */
int EntryFix_Count(const EntryFix *fix, Msg_Kind kind);
const EntryFix_Call *EntryFix_Last(const EntryFix *fix, Msg_Kind kind);

/** Time passes, with a tick each 50 ms and a pass at each ms. */
void EntryFix_Pass(EntryFix *fix, int64_t ms);

#endif

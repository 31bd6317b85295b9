/**
 * @file blackboard.h
 * @brief The blackboard of one entry: all state that its controllers read
 * and write. The controllers (membership, ownership, admission, dispatch,
 * group limits, table edits, job timeouts, drain) share no other state.
 *
 * Ownership: the blackboard owns all tables in it. Peers live as long as the
 * blackboard; jobs live until the ledger removes them.
 */
#ifndef LC_CORE_BLACKBOARD_H
#define LC_CORE_BLACKBOARD_H

#include "base/handle_table.h"
#include "core/group.h"
#include "core/job.h"
#include "core/node.h"
#include "core/replica.h"

/** Placement policies; X(NAME, text, choose function, sends demand) */
#define PLACEMENT_LIST(X)                                                     \
    X(RANDOM, "random", choose_random, false)                                 \
    X(TWO, "two_choices", choose_of_two, false)                               \
    X(GRANTS, "grants", choose_granted, true)

typedef enum {
#define X(name, text, choose, sends_demand) PLACEMENT_##name,
    PLACEMENT_LIST(X)
#undef X
        PLACEMENT_COUNT
} Placement_Policy;

/** Settings of one entry; all times in ms. */
typedef struct {
    lc_node self;
    uint64_t seed;
    int64_t evidence_ms; /**< L: how long evidence of membership is valid */
    int64_t skew_ms;     /**< bound on the difference of two wall clocks */
    int64_t window_ms;   /**< deduplication window of keys */
    int64_t ping_entry_ms;
    int64_t ping_companion_ms;
    int64_t suspect_ms;   /**< silence after which a peer is suspected */
    int64_t patience_ms;  /**< silence after which a started task is lost */
    int64_t inventory_ms; /**< longest wait for a companion's inventory */
    int64_t hosts_lag_ms; /**< bound on the lag of the host list */
    int64_t snapshot_ms;
    uint32_t snapshot_records;
    uint32_t task_timeout_ms;
    uint32_t max_jobs;
    size_t max_answer_bytes;
    Group_Order order;
    Placement_Policy placement;
} Entry_Config;

/** Fills a configuration with defaults for @p self. */
Entry_Config Entry_Defaults(lc_node self);

/** State of an address in the host list. */
typedef enum { HOST_UNLISTED, HOST_LIVE, HOST_LEAVING, HOST_GONE } Host_State;

/** An entry or companion, identified by its address. */
typedef struct {
    Address address;
    lc_node node; /**< last incarnation that answered; 0 if none */
    lc_role role;
    Host_State host;
    bool draining;
    lc_position position;
    uint64_t complied;
    uint32_t slots;
    uint64_t ping_call; /**< pending ping, or 0 */
    int64_t next_ping_ms;
    int64_t silent_since_ms; /**< time of first unanswered ping, or 0 */
    bool relaying;
    bool wants_relay;
    int64_t behind_since_ms; /**< since when it lacks records, or 0 */
    /* Companions only. */
    uint32_t running;        /**< starts of this entry in flight */
    double others;           /**< slots in use by others, moving mean */
    int64_t next_probe_ms;   /**< when to probe it again while it seems full */
    int64_t queued_until_ms; /**< until then: has our demand, sends grants */
    int64_t not_before_ms;   /**< send no starts before this time */
    uint64_t sequence;       /**< of the last start sent */
    uint64_t demand_sent;    /**< signature of the demand last sent */
} Peer;

/** A call in flight. */
typedef struct {
    Msg_Kind kind;
    uint64_t id;
    Address to;
    uint64_t incarnation; /**< of the callee, where it was known */
    int64_t sent_ms;
    Handle job;
    uint32_t index;
    uint64_t epoch;
    Key key;
    Job_Waiter waiter; /**< for SUBMIT */
} Call;

/** A settle of an epoch that this entry completed. */
typedef struct {
    uint64_t epoch;
    /** Wall clock; jobs of keys created before may have run unseen. */
    int64_t unsure_before_ms;
} Completed_Settle;

/** Progress of settling the key ranges of the current epoch. */
typedef struct {
    uint64_t epoch;
    bool active;
    bool full; /**< request all starts, not only new ones */
    int64_t started_ms;
    int64_t applied_ms;  /**< when all members had applied the epoch, or 0 */
    GHashTable *entries; /**< Address -> Settle_Peer */
    GHashTable *companions; /**< Address -> Settle_Peer */
    GPtrArray *found;       /**< copies of lc_started from inventories */
} Settle;

/** Progress of one peer in a settle. */
typedef struct {
    Address address;
    uint64_t call; /**< pending call, or 0 */
    int64_t retry_ms;
    uint32_t cursor;
    bool done;
} Settle_Peer;

/** A table edit whose record has not been read back from the log yet. */
typedef struct {
    uint64_t request;
    char id[40];
    char *record;
    uint64_t append;   /**< the append in flight, or the last that ended */
    int64_t sent_ms;   /**< when it was first sent */
    int64_t failed_ms; /**< when its append ended unconfirmed, or 0 */
} Table_Edit;

/** The shared state of one entry's controllers. */
typedef struct {
    Entry_Config config;
    Node_Ports ports;
    void *context;
    Node_Time now;
    uint64_t random;
    Counters counters;
    Replica *replica;
    GHashTable *peers; /**< Address -> Peer */
    GPtrArray *usable; /**< Peer: companions that may be sent tasks */
    bool usable_dirty;
    uint32_t free_slots; /**< estimate, less the tasks sent since */
    Handle_Table *calls;
    Ledger *ledger;
    GHashTable *active; /**< set of Job in state JOB_ACTIVE */
    Groups *groups;
    GQueue *lost_starts; /**< Lost_Start: START calls to send again */
    Settle settle;
    GArray *settles;            /**< Completed_Settle, oldest first */
    GHashTable *discharged;     /**< set of lc_node that admit no more jobs */
    int64_t overflow_before_ms; /**< wall time; jobs of older keys may be
                                     missing, as the ledger was full */
    int64_t evidence_until_ms;
    bool log_up;
    int64_t log_tail_ms;     /**< last time the log's tail was reached */
    uint64_t append_pending; /**< view or snapshot append in flight */
    int64_t append_ms;       /**< when that append was sent */
    int64_t append_end_ms;   /**< when the last append ended */
    /** Since when a view change is due, or 0. */
    int64_t proposal_due_since_ms;
    int64_t snapshot_ms; /**< when the last snapshot was applied */
    GPtrArray *edits;    /**< Table_Edit */
    uint64_t next_append;
    uint64_t shares_epoch;         /**< epoch whose shares of caps apply */
    int64_t all_complied_since_ms; /**< since when no entry exceeds its new
                                      share */
    uint64_t last_borrow;
    uint64_t complied; /**< epoch whose shares this entry does not exceed */
    bool joined;       /**< has been a member of the view */
    bool deposed;      /**< removed from the view while running */
    bool draining;
    int64_t drain_ms;         /**< when draining began */
    int64_t drain_retry_ms;   /**< when to append the next step */
    double tasks_ended_per_s; /**< tasks ended per second, moving mean */
    uint32_t tasks_ended;     /**< since `tasks_ended_since_ms` */
    int64_t tasks_ended_since_ms;
} Blackboard;

/** A task whose START call was lost; the call is sent again. */
typedef struct {
    Handle job;
    uint32_t index;
} Lost_Start;

Blackboard *Blackboard_New(const Entry_Config *config, const Node_Ports *ports,
                           void *context);
void Blackboard_Free(Blackboard *board);

/** View and group table, as applied from the log. Borrowed. */
const View *Blackboard_View(const Blackboard *board);
const GroupTable *Blackboard_GroupTable(const Blackboard *board);

/** Peer at an address, created if needed. */
Peer *Blackboard_GetPeer(Blackboard *board, Address address);

/** Peer at an address, or NULL. */
Peer *Blackboard_FindPeer(const Blackboard *board, Address address);

/** Sends a call and registers it; @p info is copied. Returns its id. */
uint64_t Blackboard_SendCall(Blackboard *board, const Msg_Call *call,
                             const Call *info);

/** Next pseudo-random number of this node. */
uint64_t Blackboard_Random(Blackboard *board);

/** Reports an event with a formatted detail. */
void Blackboard_Event(Blackboard *board, Event_Id id, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Whether this entry is a member of the view, leaving or not. */
bool Blackboard_IsMember(const Blackboard *board);

/** Whether this entry owns keys in the view: a member not leaving. */
bool Blackboard_IsOwner(const Blackboard *board);

/**
 * Whether a process certainly no longer runs: the log says so, a later
 * incarnation answers at its address, or the host list lacks it and it was
 * added longer ago than the list may lag.
 */
bool Blackboard_IsNodeGone(const Blackboard *board, const lc_node *node,
                           int64_t added_wall_ms);

/**
 * A job that a peer reported did not fit into the ledger: for keys created
 * up to now it is unknown whether their jobs have run.
 */
void Blackboard_RecordLedgerFull(Blackboard *board);

/** Retry delay in ms: @p base_ms plus a random part of up to half of it. */
uint32_t Blackboard_JitteredRetryMs(Blackboard *board, int64_t base_ms);

#endif

/* Protocol between the processes of levercove (ONC RPC, RFC 5531). */

const LC_MAX_TASKS = 1500;
const LC_MAX_GROUP = 64;
const LC_MAX_PAYLOAD = 262144;
const LC_MAX_RECORDS = 1024;
const LC_MAX_RECORD = 1048576;
const LC_MAX_KEYS = 262144;
const LC_MAX_DEMAND = 256;
const LC_MAX_PAGE = 4096;
const LC_MAX_PATH = 400;
const LC_MAX_ANSWER = 4194304;
const LC_MAX_CHUNK = 32768;
const LC_HOLD_NONE = 0;

struct lc_key {
    opaque bytes[16];
};

/* A process, identified by its RPC address and its incarnation number. */
struct lc_node {
    unsigned hyper address;
    unsigned hyper incarnation;
};

/* Position up to which a process has applied the log. */
struct lc_position {
    unsigned hyper offset;
    unsigned hyper epoch;
};

enum lc_role {
    LC_ROLE_ENTRY = 0,
    LC_ROLE_COMPANION = 1
};

/* Number of tasks of one group that wait at an entry. */
struct lc_demand {
    string group<LC_MAX_GROUP>;
    unsigned int waiting;
};

struct lc_ping_args {
    lc_node from;
    lc_position position;
};

struct lc_ping_res {
    lc_node node;
    lc_role role;
    lc_position position;
    bool knows_caller;
    bool draining;
    unsigned hyper complied;
    unsigned int slots;
    unsigned int free;
};

struct lc_record {
    unsigned hyper offset;
    string data<LC_MAX_RECORD>;
};

struct lc_relay_args {
    lc_node from;
    lc_record records<LC_MAX_RECORDS>;
};

struct lc_relay_res {
    lc_position position;
};

enum lc_start_status {
    LC_START_DONE = 0,
    LC_START_FAILED = 1,
    LC_START_TIMEOUT = 2,
    LC_START_EVICTED = 3,
    LC_START_GONE = 4,
    LC_START_BUSY = 5,
    LC_START_STALE = 6,
    LC_START_FENCED = 7,
    LC_START_BEHIND = 8,
    LC_START_DRAINING = 9,
    LC_START_DOWN = 10
};

/*
 * Starts one task. The sequence number increases with every call from one
 * owner to one companion, so that a delayed copy of an older call is refused.
 */
struct lc_start_args {
    lc_node owner;
    unsigned hyper epoch;
    unsigned hyper sequence;
    unsigned hyper target;
    bool attach; /* only attach to a task that was started before */
    lc_key key;
    unsigned int index;
    unsigned int total;
    unsigned int timeout_ms;
    unsigned hyper grant;
    string group<LC_MAX_GROUP>;
    lc_demand demand<LC_MAX_DEMAND>;
    opaque payload<LC_MAX_PAYLOAD>;
};

struct lc_start_res {
    lc_start_status status;
    unsigned int code;
    unsigned int free;
    unsigned hyper grant;
    string grant_group<LC_MAX_GROUP>;
    lc_position position;
    opaque result<LC_MAX_PAYLOAD>;
};

/* Offers the entry a slot that is reserved for it for a short time. */
struct lc_grant_args {
    lc_node from;
    unsigned hyper grant;
    string group<LC_MAX_GROUP>;
};

struct lc_grant_res {
    bool used;
};

enum lc_task_state {
    LC_TASK_RUNNING = 0,
    LC_TASK_DONE = 1,
    LC_TASK_FAILED = 2,
    LC_TASK_EVICTED = 3
};

struct lc_started {
    lc_key key;
    unsigned int index;
    unsigned int total;
    lc_task_state state;
    unsigned int code;
    string group<LC_MAX_GROUP>;
    opaque result<LC_MAX_PAYLOAD>;
};

/* Asks a companion for all tasks it ever started for keys that the caller now
 * owns. */
struct lc_inventory_args {
    lc_node from;
    unsigned hyper epoch;
    unsigned hyper settled;
    unsigned int cursor;
};

struct lc_inventory_res {
    lc_node node;
    lc_position position;
    unsigned int next;
    lc_started tasks<LC_MAX_PAGE>;
};

/* Asks an entry for the keys that it holds and the caller now owns. */
struct lc_settle_args {
    lc_node from;
    unsigned hyper epoch;
};

struct lc_settle_res {
    lc_node node;
    lc_position position;
    lc_key keys<LC_MAX_KEYS>;
    lc_node discharged<LC_MAX_DEMAND>;
};

enum lc_submit_kind {
    LC_SUBMIT_RUN = 0,
    LC_SUBMIT_LOOK = 1
};

struct lc_payload {
    opaque data<LC_MAX_PAYLOAD>;
};

/* Passes a job to the owner of its key, or to the entry that holds it. */
struct lc_submit_args {
    lc_submit_kind kind;
    bool held;
    lc_key key;
    string group<LC_MAX_GROUP>;
    bool repeatable;
    hyper deadline_ms;
    lc_payload tasks<LC_MAX_TASKS>;
};

struct lc_result {
    unsigned int code;
    opaque data<LC_MAX_PAYLOAD>;
};

struct lc_answer {
    string kind<32>;
    string message<240>;
    bool running;
    unsigned int retry_ms;
    lc_result results<LC_MAX_TASKS>;
};

struct lc_submit_res {
    bool accepted;
    lc_position position;
    lc_answer answer;
};

/* Returns a grant that the entry cannot use; the slot is free at once. */
struct lc_decline_args {
    lc_node from;
    unsigned hyper grant;
    lc_demand demand<LC_MAX_DEMAND>;
};

struct lc_decline_res {
    unsigned int free;
};

/*
 * Requests one unit of a group's cap. A request with the same id is a
 * retransmission and gets the same answer, so that a lost reply loses no unit.
 */
struct lc_borrow_args {
    lc_node from;
    unsigned hyper epoch;
    unsigned hyper id;
    hyper waiting_ms;
    string group<LC_MAX_GROUP>;
};

struct lc_borrow_res {
    unsigned hyper epoch;
    bool granted;
};

/*
 * Leased jobs: jobs that need not be durable. The entry that received a job
 * runs it; companions run its tasks under leases that are timed by the
 * companion's own monotonic clock.
 */
const LC_MAX_SPEC = 16384;
const LC_MAX_NAME = 128;
const LC_MAX_LABELS = 16;
const LC_MAX_PEERS = 1024;
const LC_MAX_QUEUES = 1024;
const LC_MAX_HALLS = 64;
const LC_MAX_LATE_STARTS = 256;

struct lc_resources {
    unsigned int cpu_milli;
    unsigned int memory_mb;
    unsigned int accelerators;
};

/* Identifies one start of one task. */
struct lc_run_id {
    unsigned hyper job;
    unsigned int occurrence;
    unsigned int step;
    unsigned int index;
    unsigned int run;
};

enum lc_upstream_state {
    LC_UPSTREAM_ABSENT = 0,
    LC_UPSTREAM_READY = 1,
    LC_UPSTREAM_DRAINING = 2,
    LC_UPSTREAM_TRIAL = 3
};

/* A companion's state, sent in each of its messages. */
struct lc_host_state {
    lc_node node;
    hyper stamp_ms; /* the companion's monotonic clock when this was
                         written */
    lc_upstream_state state;
    lc_resources room;
    unsigned int pace_percent; /* run time of tasks, in percent of their
                                  estimate */
    unsigned int tasks;
    unsigned int held; /* unreleased ends of durable jobs' runs */
    unsigned int held_long; /* those of them that are unreleased for long */
};

enum lc_run_status {
    LC_RUN_DONE = 0,
    LC_RUN_FAILED = 1,     /* it ran and failed */
    LC_RUN_STOPPED = 2,    /* by its entry's request, or its lease expired */
    LC_RUN_LOST = 3,       /* its upstream died or let the lease expire */
    LC_RUN_STALLED = 4,    /* stopped by the companion: no progress */
    LC_RUN_NO_ROOM = 5,    /* not started; nor in all cases below, but for
                              LC_RUN_CRASHED */
    LC_RUN_EXPIRED = 6,
    LC_RUN_DRAINING = 7,
    LC_RUN_NOT_READY = 8,
    LC_RUN_OTHER_NODE = 9, /* another incarnation; no earlier run is alive */
    LC_RUN_REJECTED = 10,  /* refused by the upstream */
    LC_RUN_OLD = 11,       /* the upstream knows a later run of the task */
    LC_RUN_CLOSED = 12,    /* operators have closed the hall */
    LC_RUN_CRASHED = 13    /* it ran, and its upstream crashed during it */
};

struct lc_run_args {
    lc_node owner;
    unsigned hyper target;  /* incarnation of the companion, 0 for any */
    hyper valid_until_ms;   /* end of the lease on the companion's monotonic
                               clock; LC_HOLD_NONE: do not start the run */
    hyper closures_as_of;   /* as_of of the closures in which the owner sees
                               the hall open */
    lc_run_id id;
    lc_resources need;
    unsigned int estimate_ms;
    unsigned int crashes;   /* upstreams that crashed while running it */
    string spec<LC_MAX_SPEC>;
};

struct lc_run_res {
    lc_run_status status;
    unsigned int ran_ms;
    lc_host_state host;
    unsigned int late_start_ms; /* for this long, the upstream may still
                                   execute a start of the same task; 0: none */
};

/* The fields that differ between the starts in one RUNS call. */
struct lc_runs_row {
    unsigned int occurrence;
    unsigned int step;
    unsigned int index;
    unsigned int run;
    lc_resources need;
    unsigned int estimate_ms;
    unsigned int crashes;
};

/*
 * Starts several tasks of one job, with the spec sent once. Each row acts as
 * a separate RUN call: row i is answered by the reply to a RUN, with the xid
 * of this call plus i.
 */
struct lc_runs_args {
    lc_node owner;
    unsigned hyper target;
    hyper valid_until_ms;
    hyper closures_as_of;
    unsigned hyper job;
    lc_runs_row rows<LC_MAX_TASKS>;
    string spec<LC_MAX_SPEC>;
};

typedef lc_run_res lc_runs_res;

/* Extends the leases of all runs that an entry has at a companion. */
struct lc_renew_args {
    lc_node owner;
    unsigned hyper kept; /* incarnation under which it owns durable jobs;
                            0: none are renewed */
    unsigned hyper target;
    hyper valid_until_ms;
};

struct lc_renew_res {
    lc_host_state host;
    bool starts_told; /* the list below is complete */
    lc_run_id unsettled<LC_MAX_LATE_STARTS>; /* leased runs of the entry, of
                                                whose starts a copy is
                                                unanswered */
};

/* Stops one run; the answer confirms that it has ended. */
struct lc_halt_args {
    lc_node owner;
    unsigned hyper target;
    lc_run_id id;
};

struct lc_halt_res {
    lc_run_status status;
    lc_host_state host;
};

typedef string lc_label<LC_MAX_NAME>;

typedef string lc_hall<LC_MAX_NAME>;

/* The halls that operators have closed, as recorded in the store at one time.
 * Of two such sets, the one with the greater as_of is the newer. */
struct lc_closures {
    hyper as_of;         /* number of operators' records read; -1: none */
    unsigned int age_ms; /* time since it was last confirmed to be in force */
    lc_hall halls<LC_MAX_HALLS>;
};

/* A run that is over or unwanted, and whose start the upstream may still
 * execute. */
struct lc_late_start {
    lc_run_id id;
    unsigned int late_start_ms; /* as in lc_run_res */
};

/* A companion reports its own state and its upstream's to an entry. */
struct lc_report_args {
    lc_host_state host;
    string hall<LC_MAX_NAME>;
    string service<LC_MAX_NAME>;
    string instance<LC_MAX_NAME>;
    lc_resources capacity;
    lc_label labels<LC_MAX_LABELS>;
    unsigned int next_ms;  /* the next report is sent within this time, even
                              without a change */
    unsigned hyper known;  /* digest of the entries that the companion knows */
    lc_closures closures;
    unsigned int late_starts_version; /* of the list below; 0: it is not sent,
                                         as the entry has confirmed it */
    lc_late_start late_starts<LC_MAX_LATE_STARTS>; /* of leased jobs */
    unsigned int late_ms; /* for this long after it was sent, an unanswered
                             start may be executed, also by the upstream's next
                             incarnation; 0: that one gets another name */
};

struct lc_report_res {
    lc_node entry;
    unsigned hyper entries<LC_MAX_PEERS>; /* empty if the digests agree */
    unsigned int gap_ms; /* least time between two reports of changes */
    string hall<LC_MAX_NAME>; /* the entry's hall */
    bool all; /* the entry has to know every companion */
    lc_closures closures;
    unsigned int late_starts_version; /* of the companion's latest list; 0:
                                         none is known */
};

/* Number of a queue's jobs of which no task has started. */
struct lc_queue_count {
    string queue<LC_MAX_NAME>;
    unsigned int waiting;
};

/* An entry sends its state to another. Newer routes are fetched separately,
 * with LC_ROUTES. */
struct lc_gossip_args {
    lc_node from;
    unsigned hyper kept; /* incarnation under which it owns durable jobs;
                            0: it cannot manage them */
    hyper routes_version;
    unsigned hyper known; /* digest of the entries it knows, with itself */
    unsigned hyper entries<LC_MAX_PEERS>; /* empty if the peer knows them */
    lc_queue_count waiting<LC_MAX_QUEUES>;
    lc_closures closures;
    unsigned hyper addresses<LC_MAX_QUEUES>; /* of the queues in `waiting`, in
                                                its order: QueueRef */
};

struct lc_gossip_res {
    lc_node from;
    unsigned hyper kept;
    hyper routes_version;
    unsigned hyper known;
    unsigned hyper entries<LC_MAX_PEERS>;
    lc_queue_count waiting<LC_MAX_QUEUES>;
    lc_closures closures;
    unsigned hyper addresses<LC_MAX_QUEUES>; /* as in lc_gossip_args */
};

/* Requests a chunk of an entry's routes. If the entry has another version by
 * now, the answer is the first chunk of that version. */
struct lc_routes_args {
    hyper routes_version;
    unsigned int offset;
};

struct lc_routes_res {
    hyper routes_version; /* -1: the entry has no routes */
    unsigned int offset;
    unsigned int total; /* bytes of all chunks together */
    opaque data<LC_MAX_CHUNK>;
};

const LC_MAX_STEPS = 64;

/* A group of identical tasks of a job. */
struct lc_step {
    unsigned int count;
    lc_resources need;
    unsigned int estimate_ms;
    unsigned hyper depends_on; /* bit i: starts after step i has ended */
    unsigned int most_together; /* on one upstream; 0: no limit */
    string requirement<LC_MAX_NAME>;
    string affinity<LC_MAX_NAME>;
};

/*
 * Forwards a job, none of whose tasks has been sent to a companion, to another
 * entry (the delegate), which runs it under a lease from the caller. The
 * answer is sent when the job has ended.
 */
struct lc_forward_args {
    lc_node from;
    unsigned hyper target;    /* incarnation of the callee */
    unsigned hyper number;    /* chosen by the caller and never reused */
    hyper valid_until_ms;     /* end of the lease on the callee's monotonic
                                 clock */
    hyper routes_version;     /* by which the caller accepted the job */
    unsigned int waited_ms;   /* time since its own caller submitted it */
    unsigned int deadline_ms; /* relative to the time of this call */
    unsigned hyper job;
    string queue<LC_MAX_NAME>;
    lc_step steps<LC_MAX_STEPS>;
    string spec<LC_MAX_SPEC>;
    unsigned hyper queue_address; /* QueueRef; 0: not known */
};

struct lc_forward_res {
    bool taken; /* false: no task of the job was or will be started */
    unsigned int outcome; /* Dispatcher_Outcome */
    string error<32>;
    string message<240>;
    unsigned int retry_ms;
};

/*
 * Extends the lease of all forwarded jobs except those that are no longer
 * wanted, and asks how much more the callee would accept.
 */
struct lc_extend_args {
    lc_node from;
    unsigned hyper target;
    hyper valid_until_ms; /* end of the leases on the callee's monotonic clock;
                             0: only asks for the headroom */
    unsigned hyper gone<LC_MAX_PEERS>; /* numbers of jobs no longer wanted */
};

struct lc_extend_res {
    lc_node node;
    hyper stamp_ms;           /* the callee's monotonic clock */
    unsigned hyper headroom;  /* unused bytes per second of its link;
                                 0: accepts no jobs */
};

/* Cancels a job, whichever entry runs it. */
struct lc_withdraw_args {
    lc_node from;
    unsigned hyper job;
    string queue<LC_MAX_NAME>; /* that the cancel was sent to */
    unsigned hyper queue_address; /* QueueRef; 0: not known */
};

struct lc_withdraw_res {
    bool known;
};

/* Releases ends of durable jobs' runs that the store has recorded. */
struct lc_release_args {
    unsigned hyper target;
    lc_run_id runs<LC_MAX_PAGE>;
};

struct lc_release_res {
    lc_host_state host;
};

/* Tells a companion to accept no more orders from a claimed owner of durable
 * jobs; the owner's runs pass to the successor. */
struct lc_fence_args {
    unsigned hyper target;
    lc_node gone<LC_MAX_PEERS>; /* empty: the answer lists all unreleased
                                   ends */
    lc_node successor;
};

struct lc_held_run {
    lc_run_id id;
    bool running;
    lc_run_status status; /* of an unreleased end */
};

struct lc_fence_res {
    bool taken; /* false: the companion does not know its upstream's runs */
    lc_held_run runs<LC_MAX_PAGE>;
    lc_host_state host;
    lc_late_start late_starts<LC_MAX_PAGE>;
};

/* Asks another entry to relay a request to the store, which the caller cannot
 * reach. */
struct lc_store_args {
    string method<LC_MAX_NAME>;
    string path<LC_MAX_PATH>;
    opaque body<LC_MAX_RECORD>;
    unsigned int timeout_ms;
    unsigned int transfer_ms; /* as in HttpClient_Request */
};

struct lc_store_res {
    bool answered;
    unsigned int status;
    opaque body<LC_MAX_ANSWER>;
};

/* Records of durable jobs in the store: lease/durable_log.h. */
enum lc_kept_kind {
    LC_KEPT_SUBMIT = 0,
    LC_KEPT_PROGRESS = 1,
    LC_KEPT_CANCEL = 2,
    LC_KEPT_CLAIM = 3,
    LC_KEPT_ALIVE = 4,
    LC_KEPT_COMPLETE = 5
};

enum lc_kept_outcome {
    LC_KEPT_OPEN = 0,
    LC_KEPT_SUCCEEDED = 1,
    LC_KEPT_FAILED = 2,
    LC_KEPT_CANCELLED = 3
};

struct lc_kept_submit {
    lc_node owner;
    string queue<LC_MAX_NAME>;
    string body<LC_MAX_PAYLOAD>; /* verbatim, as its caller sent it */
};

struct lc_kept_failures {
    unsigned int task;
    unsigned int count;
    unsigned int run; /* the last run that was counted */
};

struct lc_kept_progress {
    string queue<LC_MAX_NAME>;
    lc_kept_outcome outcome;
    opaque done<LC_MAX_TASKS>; /* one bit per task, least significant first */
    lc_kept_failures failures<LC_MAX_TASKS>;
};

struct lc_kept_claim {
    lc_node gone;
    lc_node successor;
};

union lc_kept_body switch (lc_kept_kind kind) {
case LC_KEPT_SUBMIT:
    lc_kept_submit submit;
case LC_KEPT_PROGRESS:
    lc_kept_progress progress;
case LC_KEPT_CANCEL:
    string queue<LC_MAX_NAME>;
case LC_KEPT_CLAIM:
    lc_kept_claim claim;
case LC_KEPT_ALIVE:
    lc_node alive;
case LC_KEPT_COMPLETE:
    lc_node complete; /* the claimed owner whose takeover is complete */
};

/* Records of earlier versions end after the body; these versions ignore what
 * follows it. */
struct lc_kept_record {
    unsigned hyper job; /* 0 for a claim */
    lc_kept_body body;
    unsigned hyper queue_address; /* of a submission, progress or cancel, beside
                                     the queue's name: QueueRef; 0: not known
                                     */
};

program LC_PROGRAM {
    version LC_VERSION {
        void LC_NULL(void) = 0;
        lc_ping_res LC_PING(lc_ping_args) = 1;
        lc_relay_res LC_RELAY(lc_relay_args) = 2;
        lc_start_res LC_START(lc_start_args) = 3;
        lc_grant_res LC_GRANT(lc_grant_args) = 4;
        lc_inventory_res LC_INVENTORY(lc_inventory_args) = 5;
        lc_settle_res LC_SETTLE(lc_settle_args) = 6;
        lc_submit_res LC_SUBMIT(lc_submit_args) = 7;
        lc_decline_res LC_DECLINE(lc_decline_args) = 8;
        lc_borrow_res LC_BORROW(lc_borrow_args) = 9;
        lc_run_res LC_RUN(lc_run_args) = 10;
        lc_renew_res LC_RENEW(lc_renew_args) = 11;
        lc_halt_res LC_HALT(lc_halt_args) = 12;
        lc_report_res LC_REPORT(lc_report_args) = 13;
        lc_gossip_res LC_GOSSIP(lc_gossip_args) = 14;
        lc_withdraw_res LC_WITHDRAW(lc_withdraw_args) = 15;
        lc_release_res LC_RELEASE(lc_release_args) = 16;
        lc_fence_res LC_FENCE(lc_fence_args) = 17;
        lc_store_res LC_STORE(lc_store_args) = 18;
        lc_routes_res LC_ROUTES(lc_routes_args) = 19;
        lc_runs_res LC_RUNS(lc_runs_args) = 20;
        lc_forward_res LC_FORWARD(lc_forward_args) = 21;
        lc_extend_res LC_EXTEND(lc_extend_args) = 22;
    } = 1;
} = 0x20004c43;

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

/* One process: its RPC address and the number of its incarnation. */
struct lc_node {
    unsigned hyper address;
    unsigned hyper incarnation;
};

/* How far a process has applied the log. */
struct lc_position {
    unsigned hyper offset;
    unsigned hyper epoch;
};

enum lc_role {
    LC_ROLE_ENTRY = 0,
    LC_ROLE_COMPANION = 1
};

/* Tasks of one group that wait at an entry. */
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
 * One task. The sequence rises with every call of one owner to one
 * companion, so that a late copy of an older call is refused.
 */
struct lc_start_args {
    lc_node owner;
    unsigned hyper epoch;
    unsigned hyper sequence;
    unsigned hyper target;
    bool attach; /* only if it was started before */
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

/* A slot reserved for the entry, for a short time. */
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

/* What this companion ever started for keys the caller now owns. */
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

/* Keys the callee holds and the caller now owns. */
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

/* A job passed to the owner of its key, or to the entry that holds it. */
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

/* A grant the entry cannot use; the slot is free at once. */
struct lc_decline_args {
    lc_node from;
    unsigned hyper grant;
    lc_demand demand<LC_MAX_DEMAND>;
};

struct lc_decline_res {
    unsigned int free;
};

/*
 * Asks for one unit of a group's cap. The same id is the same request: its
 * answer is repeated, so that a lost reply loses no unit.
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
 * Leased jobs: jobs that need not be kept. The entry that received a job runs
 * it; companions run its tasks under leases on their own monotonic clock.
 */
const LC_MAX_SPEC = 16384;
const LC_MAX_NAME = 128;
const LC_MAX_LABELS = 16;
const LC_MAX_PEERS = 1024;
const LC_MAX_QUEUES = 1024;
const LC_MAX_HALLS = 64;

struct lc_resources {
    unsigned int cpu_milli;
    unsigned int memory_mb;
    unsigned int accelerators;
};

/* One start of one task. */
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

/* What a companion says of itself in every message. */
struct lc_host_state {
    lc_node node;
    hyper stamp_ms; /* its monotonic clock when this was written */
    lc_upstream_state state;
    lc_resources room;
    unsigned int pace_percent; /* time of tasks over their estimate */
    unsigned int tasks;
    unsigned int held; /* ends of kept jobs that are not released */
    unsigned int held_long; /* of them those that nobody has released for long */
};

enum lc_run_status {
    LC_RUN_DONE = 0,
    LC_RUN_FAILED = 1,     /* it ran and ended badly */
    LC_RUN_STOPPED = 2,    /* asked for by its entry, or its lease is over */
    LC_RUN_LOST = 3,       /* its upstream died or let the lease lapse */
    LC_RUN_STALLED = 4,    /* stopped by the companion: no progress */
    LC_RUN_NO_ROOM = 5,    /* not started, as all that follow */
    LC_RUN_EXPIRED = 6,
    LC_RUN_DRAINING = 7,
    LC_RUN_NOT_READY = 8,
    LC_RUN_OTHER_NODE = 9, /* nothing that was started before lives */
    LC_RUN_REJECTED = 10,  /* by the upstream */
    LC_RUN_OLD = 11,       /* the upstream knows a later run */
    LC_RUN_CLOSED = 12,    /* the operators have closed the hall */
    LC_RUN_CRASHED = 13    /* it ran, and its upstream crashed under it */
};

struct lc_run_args {
    lc_node owner;
    unsigned hyper target;  /* incarnation of the companion, 0 for any */
    hyper valid_until_ms;   /* on the companion's monotonic clock, or
                               LC_HOLD_NONE: do not start the run */
    hyper closures_as_of;   /* by which the owner takes the hall as open */
    lc_run_id id;
    lc_resources need;
    unsigned int estimate_ms;
    unsigned int crashes;   /* upstreams that crashed under this task */
    string spec<LC_MAX_SPEC>;
};

struct lc_run_res {
    lc_run_status status;
    unsigned int ran_ms;
    lc_host_state host;
};

/* What differs between the starts of one RUNS. */
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
 * Starts of several tasks of one job, the spec once. Each row is a RUN of its
 * own: the reply to row i is that of a RUN, under the number of this call
 * plus i.
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

/* Extends the lease of all that an entry runs at a companion. */
struct lc_renew_args {
    lc_node owner;
    unsigned hyper kept; /* incarnation under which it owns kept jobs; 0: none are renewed */
    unsigned hyper target;
    hyper valid_until_ms;
};

struct lc_renew_res {
    lc_host_state host;
};

/* Stops one run; the answer says that it is over. */
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

/* The halls that operators have closed, as the store's record of it stood at one
 * time. Of two the one that more records were read for is the newer one. */
struct lc_closures {
    hyper as_of;         /* records of operators that were read; -1: none */
    unsigned int age_ms; /* it was in force so long before, at the latest */
    lc_hall halls<LC_MAX_HALLS>;
};

/* A companion tells an entry of itself and its upstream. */
struct lc_report_args {
    lc_host_state host;
    string hall<LC_MAX_NAME>;
    string service<LC_MAX_NAME>;
    string instance<LC_MAX_NAME>;
    lc_resources capacity;
    lc_label labels<LC_MAX_LABELS>;
    unsigned int next_ms;  /* the next report comes by then, if only the time passes */
    unsigned hyper known;  /* digest of the entries it knows */
    lc_closures closures;
};

struct lc_report_res {
    lc_node entry;
    unsigned hyper entries<LC_MAX_PEERS>; /* none if the digest is ours */
    unsigned int gap_ms; /* changes are welcome so often at most */
    string hall<LC_MAX_NAME>; /* of the entry */
    bool all; /* it has to know every companion */
    lc_closures closures;
};

/* Jobs of a queue that no task of has begun. */
struct lc_queue_count {
    string queue<LC_MAX_NAME>;
    unsigned int waiting;
};

/* An entry tells another of itself. Newer routes are fetched apart. */
struct lc_gossip_args {
    lc_node from;
    unsigned hyper kept; /* incarnation under which it owns kept jobs; 0: it cannot look after them */
    hyper routes_version;
    unsigned hyper known; /* digest of the entries it knows, with itself */
    unsigned hyper entries<LC_MAX_PEERS>; /* none if the other knows them */
    lc_queue_count waiting<LC_MAX_QUEUES>;
    lc_closures closures;
};

struct lc_gossip_res {
    lc_node from;
    unsigned hyper kept;
    hyper routes_version;
    unsigned hyper known;
    unsigned hyper entries<LC_MAX_PEERS>;
    lc_queue_count waiting<LC_MAX_QUEUES>;
    lc_closures closures;
};

/* Asks an entry for a chunk of its routes. If it has another version by now, the
 * answer is the first chunk of that one. */
struct lc_routes_args {
    hyper routes_version;
    unsigned int offset;
};

struct lc_routes_res {
    hyper routes_version; /* -1: it has none */
    unsigned int offset;
    unsigned int total; /* bytes of all chunks */
    opaque data<LC_MAX_CHUNK>;
};

const LC_MAX_STEPS = 64;

/* Tasks of a job that are alike. */
struct lc_step {
    unsigned int count;
    lc_resources need;
    unsigned int estimate_ms;
    unsigned hyper depends_on; /* bit i: step i ends before this one starts */
    unsigned int most_together; /* on one upstream; 0 for any number */
    string requirement<LC_MAX_NAME>;
    string affinity<LC_MAX_NAME>;
};

/*
 * An entry hands a job of which no task was sent to another, which runs it
 * under a lease of the first. The answer comes when the job is over.
 */
struct lc_forward_args {
    lc_node from;
    unsigned hyper target;    /* incarnation of the callee */
    unsigned hyper number;    /* of the caller's, never used twice */
    hyper valid_until_ms;     /* on the callee's monotonic clock */
    hyper routes_version;     /* by which the caller took it */
    unsigned int waited_ms;   /* since its own caller handed it in */
    unsigned int deadline_ms; /* from now */
    unsigned hyper job;
    string queue<LC_MAX_NAME>;
    lc_step steps<LC_MAX_STEPS>;
    string spec<LC_MAX_SPEC>;
};

struct lc_forward_res {
    bool taken; /* false: no task of it was or will be started */
    unsigned int outcome; /* Dispatcher_Outcome */
    string error<32>;
    string message<240>;
    unsigned int retry_ms;
};

/*
 * Lengthens the lease of all jobs that were forwarded, but for those that are
 * not wanted any more, and asks how much more would be taken.
 */
struct lc_extend_args {
    lc_node from;
    unsigned hyper target;
    hyper valid_until_ms; /* on the callee's clock; 0: only asks */
    unsigned hyper gone<LC_MAX_PEERS>; /* numbers */
};

struct lc_extend_res {
    lc_node node;
    hyper stamp_ms;           /* its monotonic clock */
    unsigned hyper headroom;  /* bytes a second of its link; 0: takes none */
};

/* Cancels a job wherever it is. */
struct lc_withdraw_args {
    lc_node from;
    unsigned hyper job;
    string queue<LC_MAX_NAME>;
};

struct lc_withdraw_res {
    bool known;
};

/* Ends of runs of kept jobs that are written down for good. */
struct lc_release_args {
    unsigned hyper target;
    lc_run_id runs<LC_MAX_PAGE>;
};

struct lc_release_res {
    lc_host_state host;
};

/* A companion takes no more orders of an owner of kept jobs that is gone; what
 * it runs for it is the successor's. */
struct lc_fence_args {
    unsigned hyper target;
    lc_node gone<LC_MAX_PEERS>; /* none: all ends that are held are told */
    lc_node successor;
};

struct lc_held_run {
    lc_run_id id;
    bool running;
    lc_run_status status; /* of an end that nobody has released */
};

struct lc_fence_res {
    bool taken; /* false: the companion does not know what its upstream runs */
    lc_held_run runs<LC_MAX_PAGE>;
    lc_host_state host;
};

/* An entry that cannot reach the store asks another to call it. */
struct lc_store_args {
    string method<LC_MAX_NAME>;
    string path<LC_MAX_PATH>;
    opaque body<LC_MAX_RECORD>;
    unsigned int timeout_ms;
    unsigned int transfer_ms; /* as in Http_ClientRequest */
};

struct lc_store_res {
    bool answered;
    unsigned int status;
    opaque body<LC_MAX_ANSWER>;
};

/* Records of kept jobs in the store: lease/durable_log.h. */
enum lc_kept_kind {
    LC_KEPT_SUBMIT = 0,
    LC_KEPT_PROGRESS = 1,
    LC_KEPT_CANCEL = 2,
    LC_KEPT_CLAIM = 3,
    LC_KEPT_ALIVE = 4
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
    string body<LC_MAX_PAYLOAD>; /* as its caller sent it */
};

struct lc_kept_failures {
    unsigned int task;
    unsigned int count;
    unsigned int run; /* the last that was counted */
};

struct lc_kept_progress {
    string queue<LC_MAX_NAME>;
    lc_kept_outcome outcome;
    opaque done<LC_MAX_TASKS>; /* a bit for each task, the lowest first */
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
};

struct lc_kept_record {
    unsigned hyper job; /* 0 for a claim */
    lc_kept_body body;
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

/* Protocol between the processes of levercove (ONC RPC, RFC 5531). */

const LC_MAX_TASKS = 1500;
const LC_MAX_GROUP = 64;
const LC_MAX_PAYLOAD = 262144;
const LC_MAX_RECORDS = 1024;
const LC_MAX_RECORD = 1048576;
const LC_MAX_KEYS = 262144;
const LC_MAX_DEMAND = 256;
const LC_MAX_PAGE = 4096;

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
    } = 1;
} = 0x20004c43;

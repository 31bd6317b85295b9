#include "lease/runner.h"

#include <string.h>

#include "base/address.h"
#include "base/handle.h"
#include "lease/health.h"
#include "lease/resources.h"
#include "lease/run_id.h"

/* A look waits so long for an end, and tells progress at least so often. */
#define LOOK_WAIT_MS 100
/* Ends are kept so long for entries that ask again. */
#define FORGET_MS 4000
#define STOP_AGAIN_MS 150
#define TOKEN_STEP 5000
/* Beats that may be missed before an upstream counts as gone. */
#define BEATS_MISSED 3

typedef enum {
    TASK_ORDERED,  /* the start is on its way */
    TASK_RUNNING,  /* the upstream has it */
    TASK_STOPPING, /* it is to end as `status` */
    TASK_ENDED
} task_state;

typedef struct {
    lc_run_id id;
    lc_node owner;
    lc_resources need;
    char *spec;
    uint32_t estimate_ms;
    task_state state;
    lc_run_status status; /* while stopping, and at the end */
    Handle handle;
    GArray *waiting; /* uint64_t ids of replies owed */
    int64_t ordered_ms;
    int64_t confirmed_ms; /* it ran or was refused for certain; 0 before */
    int64_t deadline_clock_ms; /* of the start, on the upstream's clock */
    int64_t stop_sent_ms;
    bool stop_confirmed;
    int64_t stop_confirmed_ms;
    int64_t ended_ms;
    int64_t progress_ms; /* when the percentage last rose; 0 if not told */
    uint32_t percent;
    uint32_t ran_ms;
} task;

typedef struct {
    lc_node node;
    int64_t until_ms;
    uint32_t running;
} owner;

/* What is known of the upstream beside this companion. */
typedef struct {
    bool known; /* it has spoken */
    bool draining;
    bool inventoried; /* nothing of an earlier companion runs there */
    char *instance;
    char *service;
    char **labels;
    lc_resources capacity;
    int64_t heard_ms;
    int64_t clock_ms; /* its clock at least, when read */
    int64_t clock_read_ms;
    uint64_t last_seen;
    uint64_t acknowledged; /* the last_seen of the last answered look */
    bool doubtful;         /* a look had no answer */
} upstream;

struct Runner {
    Runner_Config config;
    const Runner_Ports *ports;
    void *context;
    Counters counters;
    Health health;
    upstream up;
    lc_resources used;
    GHashTable *tasks; /* lc_run_id of a task -> task */
    Handle_Table *by_handle;
    GArray *owners;
    int64_t token;
    uint64_t look_id; /* of the look on its way, or 0 */
    uint64_t last_look_id;
    uint64_t look_seen;
    int64_t look_sent_ms;
    int64_t look_again_ms; /* not before */
    int64_t hold_until_ms; /* the upstream lets all go by then */
    uint32_t live;         /* tasks that have not ended */
    bool draining;
    uint64_t version;
    lc_label label_row[LC_MAX_LABELS];
};

static void send_look(Runner *runner, int64_t now_ms);

static void
free_task(gpointer item)
{
    task *row = item;

    g_array_unref(row->waiting);
    g_free(row->spec);
    g_free(row);
}

Runner *
Runner_New(const Runner_Config *config, const Runner_Ports *ports,
           void *context, int64_t now_ms)
{
    Runner *runner = g_new0(Runner, 1);

    runner->config = *config;
    runner->ports = ports;
    runner->context = context;
    runner->health = Health_New();
    runner->tasks = g_hash_table_new_full(RunId_Hash, RunId_Equal, NULL,
                                          free_task);
    runner->by_handle = Handle_NewTable();
    runner->owners = g_array_new(FALSE, TRUE, sizeof(owner));
    runner->token = config->first_token;
    runner->up.instance = g_strdup("");
    runner->up.service = g_strdup("");
    runner->up.labels = g_new0(char *, 1);
    runner->look_again_ms = now_ms;
    return runner;
}

void
Runner_Free(Runner *runner)
{
    g_hash_table_unref(runner->tasks);
    Handle_FreeTable(runner->by_handle);
    g_array_unref(runner->owners);
    g_free(runner->up.instance);
    g_free(runner->up.service);
    g_strfreev(runner->up.labels);
    g_free(runner);
}

static void log_run(const Runner *runner, Event_Id id, const task *row,
                    const char *format, ...)
    __attribute__((format(printf, 4, 5)));

static void
log_run(const Runner *runner, Event_Id id, const task *row, const char *format,
        ...)
{
    char job[RUN_ID_JOB_SIZE];
    char detail[300];
    va_list args;

    if (!Event_Admit(id)) {
        return;
    }
    va_start(args, format);
    g_vsnprintf(detail, sizeof(detail), format, args);
    va_end(args);
    RunId_FormatJob(row->id.job, job);
    runner->ports->event(
        runner->context, id,
        json_pack("{s:s, s:i, s:i, s:i, s:s, s:s, s:s}", "job", job, "step",
                  (int)row->id.step, "index", (int)row->id.index, "run",
                  (int)row->id.run, "owner", Address_Text(row->owner.address),
                  "upstream", runner->up.instance, "detail", detail));
}

static void
log_upstream(const Runner *runner, Event_Id id, const char *reason)
{
    if (Event_Admit(id)) {
        runner->ports->event(
            runner->context, id,
            json_pack("{s:s, s:s, s:i, s:i}", "upstream", runner->up.instance,
                      "detail", reason, "tasks", (int)runner->live,
                      "pace_percent", (int)runner->health.pace_percent));
    }
}

/* The upstream's clock shows at least this now. */
static int64_t
upstream_clock(const Runner *runner, int64_t now_ms)
{
    return runner->up.clock_ms +
           Term_UpstreamElapsed(now_ms - runner->up.clock_read_ms);
}

static void
take_clock(Runner *runner, int64_t now_ms, int64_t clock_ms)
{
    if (clock_ms > 0 && clock_ms >= upstream_clock(runner, now_ms)) {
        runner->up.clock_ms = clock_ms;
        runner->up.clock_read_ms = now_ms;
    }
}

static owner *
find_owner(const Runner *runner, const lc_node *node)
{
    guint i;

    for (i = 0; i < runner->owners->len; i++) {
        owner *row = &g_array_index(runner->owners, owner, i);
        if (row->node.address == node->address &&
            row->node.incarnation == node->incarnation) {
            return row;
        }
    }
    return NULL;
}

static owner *
extend_lease(Runner *runner, const lc_node *node, int64_t until_ms)
{
    owner *row = find_owner(runner, node);
    owner fresh = {.node = *node};

    if (row == NULL) {
        g_array_append_val(runner->owners, fresh);
        row = &g_array_index(runner->owners, owner, runner->owners->len - 1);
    }
    row->until_ms = MAX(row->until_ms, until_ms);
    return row;
}

static lc_resources
room_left(const Runner *runner)
{
    lc_resources room = runner->up.capacity;

    Resources_Take(&room, &runner->used);
    return room;
}

static lc_upstream_state
current_state(const Runner *runner, int64_t now_ms)
{
    int64_t silent_ms = BEATS_MISSED * runner->config.beat_ms;

    if (!runner->up.known || !runner->up.inventoried || runner->up.doubtful ||
        now_ms - runner->up.heard_ms > silent_ms) {
        return LC_UPSTREAM_ABSENT;
    }
    if (runner->draining || runner->up.draining) {
        return LC_UPSTREAM_DRAINING;
    }
    return runner->health.trial ? LC_UPSTREAM_TRIAL : LC_UPSTREAM_READY;
}

void
Runner_State(const Runner *runner, int64_t now_ms, lc_host_state *state)
{
    memset(state, 0, sizeof(*state));
    state->node = runner->config.node;
    state->stamp_ms = now_ms;
    state->state = current_state(runner, now_ms);
    if ((state->state == LC_UPSTREAM_READY ||
         state->state == LC_UPSTREAM_TRIAL) &&
        Health_Admits(&runner->health, now_ms, runner->live)) {
        state->room = room_left(runner);
    }
    state->pace_percent = runner->health.pace_percent;
    state->tasks = runner->live;
}

static void
reply_run(Runner *runner, int64_t now_ms, uint64_t reply_id,
          lc_run_status status, uint32_t ran_ms)
{
    Msg_Reply reply = {.kind = MSG_RUN};

    reply.u.run.status = status;
    reply.u.run.ran_ms = ran_ms;
    Runner_State(runner, now_ms, &reply.u.run.host);
    runner->ports->reply(runner->context, reply_id, &reply);
}

static void
reply_halt(Runner *runner, int64_t now_ms, uint64_t reply_id,
           lc_run_status status)
{
    Msg_Reply reply = {.kind = MSG_HALT};

    reply.u.halt.status = status;
    Runner_State(runner, now_ms, &reply.u.halt.host);
    runner->ports->reply(runner->context, reply_id, &reply);
}

/* Replies owed carry their kind in the lowest bit. */
#define OWED_HALT 1U

static void
owe_reply(task *row, uint64_t reply_id, Msg_Kind kind)
{
    uint64_t owed = reply_id << 1 | (kind == MSG_HALT ? OWED_HALT : 0);

    g_array_append_val(row->waiting, owed);
}

static void
send_owed(Runner *runner, int64_t now_ms, task *row)
{
    GArray *waiting = row->waiting;
    guint i;

    row->waiting = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (i = 0; i < waiting->len; i++) {
        uint64_t owed = g_array_index(waiting, uint64_t, i);
        if ((owed & OWED_HALT) != 0) {
            reply_halt(runner, now_ms, owed >> 1, row->status);
        }
        else {
            reply_run(runner, now_ms, owed >> 1, row->status, row->ran_ms);
        }
    }
    g_array_unref(waiting);
}

static void
end_task(Runner *runner, int64_t now_ms, task *row, lc_run_status status)
{
    owner *holder = find_owner(runner, &row->owner);

    if (row->state == TASK_ENDED) {
        return;
    }
    row->state = TASK_ENDED;
    row->status = status;
    row->ended_ms = now_ms;
    Resources_Take(&runner->used, &row->need);
    runner->live--;
    runner->version++;
    if (holder != NULL) {
        holder->running--;
    }
    Counter_Add(
        &runner->counters,
        status == LC_RUN_DONE ? COUNTER_TASKS_DONE : COUNTER_TASKS_FAILED, 1);
    if (status != LC_RUN_DONE) {
        log_run(runner, EVENT_RUN_ENDED, row, "status %d after %u ms",
                (int)status, row->ran_ms);
    }
    send_owed(runner, now_ms, row);
}

static void
order_stop(Runner *runner, int64_t now_ms, task *row)
{
    row->stop_sent_ms = now_ms;
    runner->ports->stop(runner->context, row->handle, &row->id,
                        runner->up.instance, runner->token);
}

static void
stop_task(Runner *runner, int64_t now_ms, task *row, lc_run_status status)
{
    if (row->state == TASK_ENDED || row->state == TASK_STOPPING) {
        return;
    }
    row->state = TASK_STOPPING;
    row->status = status;
    order_stop(runner, now_ms, row);
}

/* All tasks, in a list that may be walked while they end. */
static GList *
all_tasks(const Runner *runner)
{
    return g_hash_table_get_values(runner->tasks);
}

static void
end_all(Runner *runner, int64_t now_ms, lc_run_status status)
{
    GList *rows = all_tasks(runner);
    GList *item;

    for (item = rows; item != NULL; item = item->next) {
        end_task(runner, now_ms, item->data, status);
    }
    g_list_free(rows);
}

/* ---- the upstream ---- */

static void
begin_instance(Runner *runner, int64_t now_ms, const Runner_Upstream *from)
{
    bool first = !runner->up.known && runner->up.instance[0] == '\0';

    end_all(runner, now_ms, LC_RUN_LOST);
    g_free(runner->up.instance);
    runner->up.instance = g_strdup(from->instance);
    runner->up.inventoried = false;
    runner->up.last_seen = 0;
    runner->up.acknowledged = 0;
    runner->up.clock_ms = 0;
    runner->up.clock_read_ms = now_ms;
    runner->up.doubtful = false;
    runner->look_id = 0;
    runner->look_again_ms = now_ms;
    runner->hold_until_ms = 0;
    runner->health = Health_New();
    log_upstream(runner, EVENT_UPSTREAM_KNOWN,
                 first ? "heard of" : "a new incarnation");
}

void
Runner_OnUpstream(Runner *runner, int64_t now_ms, const Runner_Upstream *from)
{
    bool draining = from->says == RUNNER_UPSTREAM_DRAINING;

    if (strcmp(runner->up.instance, from->instance) != 0) {
        begin_instance(runner, now_ms, from);
    }
    if (draining != runner->up.draining) {
        log_upstream(runner, EVENT_UPSTREAM_DRAINING,
                     draining ? "takes no more tasks" : "takes tasks again");
    }
    runner->version++;
    runner->up.known = true;
    runner->up.draining = draining;
    runner->up.heard_ms = now_ms;
    runner->up.capacity = from->capacity;
    g_free(runner->up.service);
    runner->up.service = g_strdup(from->service);
    g_strfreev(runner->up.labels);
    runner->up.labels = g_strdupv((char **)from->labels);
    take_clock(runner, now_ms, from->clock_ms);
    send_look(runner, now_ms);
}

static void
lose_upstream(Runner *runner, int64_t now_ms, const char *reason)
{
    log_upstream(runner, EVENT_UPSTREAM_LOST, reason);
    end_all(runner, now_ms, LC_RUN_LOST);
    runner->up.known = false;
    runner->version++;
}

void
Runner_OnUpstreamGone(Runner *runner, int64_t now_ms, const char *instance)
{
    if (runner->up.known && strcmp(runner->up.instance, instance) == 0) {
        lose_upstream(runner, now_ms, "it has left");
    }
}

/* ---- looks ---- */

static bool
look_wanted(const Runner *runner)
{
    return runner->live > 0 || !runner->up.inventoried ||
           runner->up.last_seen > runner->up.acknowledged ||
           runner->up.doubtful;
}

/* How far the hold may reach: never past the longest lease of an owner with
 * work there. */
static int64_t
hold_ahead(const Runner *runner, int64_t now_ms)
{
    int64_t ahead = 0;
    guint i;

    for (i = 0; i < runner->owners->len; i++) {
        const owner *row = &g_array_index(runner->owners, owner, i);
        if (row->running > 0) {
            ahead = MAX(ahead, row->until_ms - now_ms);
        }
    }
    return MIN(ahead, runner->config.term.hold_ms);
}

static void
note_hold(Runner *runner, int64_t now_ms, int64_t ahead_ms)
{
    int64_t until = now_ms + Term_HoldAtMost(ahead_ms);

    runner->hold_until_ms = MAX(runner->hold_until_ms, until);
}

static void
send_look(Runner *runner, int64_t now_ms)
{
    Runner_Look look = {.instance = runner->up.instance,
                        .token = runner->token,
                        .last_seen = runner->up.last_seen};
    int64_t ahead;

    if (runner->look_id != 0 || !look_wanted(runner) ||
        now_ms < runner->look_again_ms) {
        return;
    }
    ahead = runner->up.inventoried ? hold_ahead(runner, now_ms) : 0;
    if (ahead > 0 && runner->up.clock_ms > 0) {
        look.deadline_ms = upstream_clock(runner, now_ms) + ahead;
        note_hold(runner, now_ms, ahead);
    }
    if (runner->live > 0 && !runner->up.doubtful) {
        look.wait_ms = LOOK_WAIT_MS;
    }
    runner->look_id = ++runner->last_look_id;
    runner->look_sent_ms = now_ms;
    runner->look_seen = runner->up.last_seen;
    runner->ports->look(runner->context, runner->look_id, &look);
}

static lc_run_status
status_of_end(const task *row, Runner_End end)
{
    static const lc_run_status statuses[RUNNER_END_COUNT] = {
        [RUNNER_END_DONE] = LC_RUN_DONE,
        [RUNNER_END_FAILED] = LC_RUN_FAILED,
        [RUNNER_END_STOPPED] = LC_RUN_STOPPED,
        [RUNNER_END_LAPSED] = LC_RUN_LOST,
    };

    if (row->state == TASK_STOPPING && end != RUNNER_END_DONE) {
        return row->status;
    }
    return statuses[end];
}

static void
log_trial(const Runner *runner, bool begins)
{
    char text[80];

    g_snprintf(text, sizeof(text), "pace %u%%, %u bad in a row",
               runner->health.pace_percent, runner->health.bad_in_row);
    log_upstream(runner,
                 begins ? EVENT_UPSTREAM_TRIAL : EVENT_UPSTREAM_TRUSTED, text);
}

static void
judge_end(Runner *runner, int64_t now_ms, const task *row, Runner_End end)
{
    bool begins = false;

    if (end == RUNNER_END_DONE) {
        if (Health_Good(&runner->health, row->ran_ms, row->estimate_ms)) {
            log_trial(runner, false);
        }
    }
    else if (end == RUNNER_END_FAILED && row->state != TASK_STOPPING) {
        begins = Health_Bad(&runner->health, now_ms, row->id.job);
    }
    if (begins) {
        log_trial(runner, true);
    }
}

static void
take_end(Runner *runner, int64_t now_ms, const Runner_EndRow *ended)
{
    task *row = g_hash_table_lookup(runner->tasks, &ended->id);

    runner->up.last_seen = MAX(runner->up.last_seen, ended->number);
    if (row == NULL || row->state == TASK_ENDED) {
        return;
    }
    row->ran_ms = (uint32_t)(now_ms - row->ordered_ms);
    judge_end(runner, now_ms, row, ended->end);
    end_task(runner, now_ms, row, status_of_end(row, ended->end));
}

static void
stop_stranger(Runner *runner, const lc_run_id *id)
{
    runner->ports->stop(runner->context, 0, id, runner->up.instance,
                        runner->token);
}

static void
stop_stalled(Runner *runner, int64_t now_ms, task *row, const char *reason)
{
    row->ran_ms = (uint32_t)(now_ms - row->ordered_ms);
    log_run(runner, EVENT_RUN_STALLED, row,
            "%s: %u%% after %u ms, estimated %u ms", reason, row->percent,
            row->ran_ms, row->estimate_ms);
    stop_task(runner, now_ms, row, LC_RUN_STALLED);
}

static void
take_row(Runner *runner, int64_t now_ms, const Runner_Row *running)
{
    task *row = g_hash_table_lookup(runner->tasks, &running->id);

    if (row == NULL || row->state == TASK_ENDED) {
        stop_stranger(runner, &running->id);
        return;
    }
    if (row->state == TASK_ORDERED) {
        row->state = TASK_RUNNING;
        row->confirmed_ms = now_ms;
    }
    if (row->progress_ms == 0 || running->percent > row->percent) {
        row->percent = running->percent;
        row->progress_ms = now_ms;
    }
    else if (row->state == TASK_RUNNING &&
             Health_Hangs(now_ms - row->progress_ms)) {
        if (Health_Stalled(&runner->health, now_ms)) {
            log_trial(runner, true);
        }
        stop_stalled(runner, now_ms, row, "it hangs");
    }
}

static Health_Progress
progress_of(const task *row, int64_t now_ms)
{
    Health_Progress progress = {
        .job = row->id.job,
        .elapsed_ms = (uint32_t)(now_ms - row->ordered_ms),
        .percent = row->percent,
        .estimate_ms = row->estimate_ms,
    };

    return progress;
}

/* Judges the upstream's pace by all that runs, and frees what would end
 * sooner elsewhere. */
static void
judge_pace(Runner *runner, int64_t now_ms)
{
    GArray *runs = g_array_new(FALSE, FALSE, sizeof(Health_Progress));
    GList *rows = all_tasks(runner);
    GList *item;
    uint32_t slow;

    for (item = rows; item != NULL; item = item->next) {
        const task *row = item->data;
        if (row->state == TASK_RUNNING && row->progress_ms > 0) {
            Health_Progress progress = progress_of(row, now_ms);
            g_array_append_val(runs, progress);
        }
    }
    slow = Health_TakeProgress(
        &runner->health, (Health_Progress *)(void *)runs->data, runs->len);
    for (item = rows; slow > 0 && item != NULL; item = item->next) {
        task *row = item->data;
        Health_Progress progress = progress_of(row, now_ms);
        if (row->state == TASK_RUNNING && row->progress_ms > 0 &&
            Health_BetterElsewhere(&progress, slow)) {
            stop_stalled(runner, now_ms, row, "the upstream is slow");
        }
    }
    g_list_free(rows);
    g_array_unref(runs);
}

static bool
is_listed(const Runner_Listing *listing, const lc_run_id *id)
{
    uint32_t i;

    for (i = 0; i < listing->running_count; i++) {
        if (RunId_Equal(&listing->running[i].id, id)) {
            return true;
        }
    }
    return false;
}

/* Whether a task that the look does not list can neither run nor come. */
static bool
is_over(const Runner *runner, const task *row, int64_t clock_ms)
{
    if (row->confirmed_ms > 0 && row->confirmed_ms < runner->look_sent_ms) {
        return true;
    }
    if (row->stop_confirmed && row->stop_confirmed_ms < runner->look_sent_ms) {
        return true;
    }
    return clock_ms > row->deadline_clock_ms;
}

static void
end_unlisted(Runner *runner, int64_t now_ms, const Runner_Listing *listing)
{
    GList *rows = all_tasks(runner);
    GList *item;

    for (item = rows; item != NULL; item = item->next) {
        task *row = item->data;
        if (row->state != TASK_ENDED && !is_listed(listing, &row->id) &&
            is_over(runner, row, listing->clock_ms)) {
            end_task(runner, now_ms, row,
                     row->state == TASK_STOPPING ? row->status : LC_RUN_LOST);
        }
    }
    g_list_free(rows);
}

static void
take_listing(Runner *runner, int64_t now_ms, const Runner_Listing *listing)
{
    uint32_t i;

    runner->up.doubtful = false;
    runner->up.acknowledged = runner->look_seen;
    take_clock(runner, now_ms, listing->clock_ms);
    for (i = 0; i < listing->ended_count; i++) {
        take_end(runner, now_ms, &listing->ended[i]);
    }
    for (i = 0; i < listing->running_count; i++) {
        take_row(runner, now_ms, &listing->running[i]);
    }
    end_unlisted(runner, now_ms, listing);
    judge_pace(runner, now_ms);
    if (!runner->up.inventoried) {
        runner->up.inventoried = listing->running_count == 0;
        runner->version++;
    }
}

/* What is known of the upstream's incarnation is out of date. */
static void
meet_other_instance(Runner *runner, int64_t now_ms)
{
    if (runner->up.known) {
        lose_upstream(runner, now_ms, "another incarnation answers");
    }
    else {
        g_free(runner->up.instance);
        runner->up.instance = g_strdup("");
    }
}

static void
raise_token(Runner *runner)
{
    runner->token += TOKEN_STEP;
}

void
Runner_OnLook(Runner *runner, int64_t now_ms, uint64_t look_id,
              const Runner_Listing *listing)
{
    if (look_id != runner->look_id) {
        return;
    }
    runner->look_id = 0;
    runner->look_again_ms = now_ms;
    switch (listing->end) {
    case RUNNER_ORDER_TAKEN:
        take_listing(runner, now_ms, listing);
        break;
    case RUNNER_ORDER_FENCED:
        raise_token(runner);
        break;
    case RUNNER_ORDER_OTHER:
        meet_other_instance(runner, now_ms);
        runner->look_again_ms = now_ms + STOP_AGAIN_MS;
        break;
    default:
        if (!runner->up.doubtful && runner->up.known) {
            log_upstream(runner, EVENT_UPSTREAM_LOST, "a look had no answer");
        }
        runner->up.doubtful = true;
        runner->version++;
        runner->look_again_ms = now_ms + STOP_AGAIN_MS / 3;
        break;
    }
    send_look(runner, now_ms);
}

/* ---- starts and stops ---- */

static void
order_start(Runner *runner, int64_t now_ms, task *row, int64_t lease_until_ms)
{
    Runner_Start start = {.id = row->id,
                          .spec = row->spec,
                          .instance = runner->up.instance,
                          .token = runner->token};
    int64_t ahead = MIN(lease_until_ms - now_ms, runner->config.term.hold_ms);

    row->deadline_clock_ms = upstream_clock(runner, now_ms) + ahead;
    start.deadline_ms = row->deadline_clock_ms;
    note_hold(runner, now_ms, ahead);
    runner->ports->start(runner->context, row->handle, &start);
}

static task *
add_task(Runner *runner, int64_t now_ms, const lc_run_args *args)
{
    task *row = g_new0(task, 1);

    row->id = args->id;
    row->owner = args->owner;
    row->need = args->need;
    row->estimate_ms = args->estimate_ms;
    row->spec = g_strdup(args->spec);
    row->waiting = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    row->ordered_ms = now_ms;
    row->handle = Handle_Add(runner->by_handle, row);
    g_hash_table_replace(runner->tasks, &row->id, row);
    return row;
}

/* LC_RUN_DONE if it may start. */
static lc_run_status
admit(const Runner *runner, int64_t now_ms, const lc_run_args *args)
{
    lc_resources room = room_left(runner);

    if (args->target != 0 && args->target != runner->config.node.incarnation) {
        return runner->up.inventoried ? LC_RUN_OTHER_NODE : LC_RUN_NOT_READY;
    }
    if (now_ms > args->valid_until_ms) {
        return LC_RUN_EXPIRED;
    }
    switch (current_state(runner, now_ms)) {
    case LC_UPSTREAM_ABSENT:
        return LC_RUN_NOT_READY;
    case LC_UPSTREAM_DRAINING:
        return LC_RUN_DRAINING;
    default:
        break;
    }
    if (!Resources_Fit(&args->need, &room) ||
        !Health_Admits(&runner->health, now_ms, runner->live)) {
        return LC_RUN_NO_ROOM;
    }
    return LC_RUN_DONE;
}

static void
on_run(Runner *runner, int64_t now_ms, uint64_t reply_id,
       const lc_run_args *args)
{
    task *row = g_hash_table_lookup(runner->tasks, &args->id);
    lc_run_status status;
    owner *holder;

    if (row != NULL && (args->target == 0 ||
                        args->target == runner->config.node.incarnation)) {
        owe_reply(row, reply_id, MSG_RUN);
        if (row->state == TASK_ENDED) {
            send_owed(runner, now_ms, row);
        }
        return;
    }
    status = admit(runner, now_ms, args);
    if (status != LC_RUN_DONE) {
        if (status == LC_RUN_NO_ROOM) {
            Counter_Add(&runner->counters, COUNTER_WASTED_BUSY, 1);
        }
        reply_run(runner, now_ms, reply_id, status, 0);
        return;
    }
    holder = extend_lease(runner, &args->owner, args->valid_until_ms);
    holder->running++;
    row = add_task(runner, now_ms, args);
    owe_reply(row, reply_id, MSG_RUN);
    Resources_Add(&runner->used, &row->need);
    runner->live++;
    runner->version++;
    Health_Started(&runner->health, now_ms);
    Counter_Add(&runner->counters, COUNTER_TASKS_STARTED, 1);
    order_start(runner, now_ms, row, args->valid_until_ms);
}

static void
on_halt(Runner *runner, int64_t now_ms, uint64_t reply_id,
        const lc_halt_args *args)
{
    task *row = g_hash_table_lookup(runner->tasks, &args->id);
    lc_run_args tombstone = {.owner = args->owner, .id = args->id};

    if (args->target != runner->config.node.incarnation) {
        reply_halt(runner, now_ms, reply_id,
                   runner->up.inventoried ? LC_RUN_OTHER_NODE
                                          : LC_RUN_NOT_READY);
        return;
    }
    if (row == NULL) {
        /* A late copy of the call to run it finds this and is not done. */
        tombstone.spec = (char *)(uintptr_t) "";
        row = add_task(runner, now_ms, &tombstone);
        row->state = TASK_ENDED;
        row->status = LC_RUN_STOPPED;
        row->ended_ms = now_ms;
    }
    owe_reply(row, reply_id, MSG_HALT);
    if (row->state == TASK_ENDED) {
        send_owed(runner, now_ms, row);
        return;
    }
    stop_task(runner, now_ms, row, LC_RUN_STOPPED);
}

static void
on_renew(Runner *runner, int64_t now_ms, uint64_t reply_id,
         const lc_renew_args *args)
{
    Msg_Reply reply = {.kind = MSG_RENEW};

    if (args->target == runner->config.node.incarnation &&
        args->valid_until_ms >= now_ms) {
        extend_lease(runner, &args->owner, args->valid_until_ms);
    }
    Runner_State(runner, now_ms, &reply.u.renew.host);
    runner->ports->reply(runner->context, reply_id, &reply);
}

bool
Runner_OnCall(Runner *runner, int64_t now_ms, uint64_t reply_id,
              const Msg_Call *call)
{
    switch (call->kind) {
    case MSG_RUN:
        on_run(runner, now_ms, reply_id, &call->u.run);
        break;
    case MSG_RENEW:
        on_renew(runner, now_ms, reply_id, &call->u.renew);
        break;
    case MSG_HALT:
        on_halt(runner, now_ms, reply_id, &call->u.halt);
        break;
    default:
        return false;
    }
    send_look(runner, now_ms);
    return true;
}

/* The upstream has not begun it, and will not. */
static void
end_refused(Runner *runner, int64_t now_ms, task *row, lc_run_status status)
{
    row->ran_ms = 0;
    end_task(runner, now_ms, row,
             row->state == TASK_STOPPING ? row->status : status);
}

void
Runner_OnStarted(Runner *runner, int64_t now_ms, uint64_t order_id,
                 Runner_OrderEnd end, int64_t clock_ms)
{
    task *row = Handle_Get(runner->by_handle, order_id);

    take_clock(runner, now_ms, clock_ms);
    if (row == NULL || row->state == TASK_ENDED) {
        return;
    }
    switch (end) {
    case RUNNER_ORDER_TAKEN:
        row->confirmed_ms = now_ms;
        if (row->state == TASK_ORDERED) {
            row->state = TASK_RUNNING;
        }
        break;
    case RUNNER_ORDER_UNANSWERED:
        log_run(runner, EVENT_ORDER_UNANSWERED, row, "start");
        stop_task(runner, now_ms, row, LC_RUN_LOST);
        break;
    case RUNNER_ORDER_OTHER:
        meet_other_instance(runner, now_ms);
        break;
    case RUNNER_ORDER_OLD:
        end_refused(runner, now_ms, row, LC_RUN_OLD);
        break;
    case RUNNER_ORDER_UNWELL:
        Health_Bad(&runner->health, now_ms, row->id.job);
        end_refused(runner, now_ms, row, LC_RUN_REJECTED);
        break;
    case RUNNER_ORDER_UNSENT:
        runner->up.doubtful = true;
        end_refused(runner, now_ms, row, LC_RUN_REJECTED);
        break;
    case RUNNER_ORDER_FENCED:
        raise_token(runner);
        end_refused(runner, now_ms, row, LC_RUN_REJECTED);
        break;
    default:
        log_run(runner, EVENT_ORDER_REFUSED, row, "start, order end %d",
                (int)end);
        end_refused(runner, now_ms, row, LC_RUN_REJECTED);
        break;
    }
    send_look(runner, now_ms);
}

void
Runner_OnStopped(Runner *runner, int64_t now_ms, uint64_t order_id,
                 Runner_OrderEnd end, int64_t clock_ms)
{
    task *row = order_id == 0 ? NULL : Handle_Get(runner->by_handle, order_id);

    take_clock(runner, now_ms, clock_ms);
    if (end == RUNNER_ORDER_FENCED) {
        raise_token(runner);
    }
    if (row == NULL || row->state == TASK_ENDED) {
        return;
    }
    if (end == RUNNER_ORDER_TAKEN) {
        row->stop_confirmed = true;
        row->stop_confirmed_ms = now_ms;
    }
    send_look(runner, now_ms);
}

/* ---- time ---- */

static void
stop_lapsed(Runner *runner, int64_t now_ms, task *row)
{
    const owner *holder = find_owner(runner, &row->owner);

    if (row->state != TASK_STOPPING && holder != NULL &&
        now_ms >= holder->until_ms) {
        log_run(runner, EVENT_LEASE_LAPSED, row, "owner %s silent",
                Address_Text(row->owner.address));
        stop_task(runner, now_ms, row, LC_RUN_STOPPED);
    }
    else if (row->state == TASK_STOPPING && !row->stop_confirmed &&
             now_ms - row->stop_sent_ms >= STOP_AGAIN_MS) {
        order_stop(runner, now_ms, row);
    }
}

static void
forget_task(Runner *runner, task *row)
{
    Handle_Remove(runner->by_handle, row->handle);
    g_hash_table_remove(runner->tasks, &row->id);
}

static void
forget_owners(Runner *runner, int64_t now_ms)
{
    guint i = 0;

    while (i < runner->owners->len) {
        const owner *row = &g_array_index(runner->owners, owner, i);
        if (row->running == 0 && now_ms > row->until_ms) {
            g_array_remove_index_fast(runner->owners, i);
        }
        else {
            i++;
        }
    }
}

void
Runner_Tick(Runner *runner, int64_t now_ms)
{
    GList *rows = all_tasks(runner);
    GList *item;

    for (item = rows; item != NULL; item = item->next) {
        task *row = item->data;
        if (row->state != TASK_ENDED) {
            stop_lapsed(runner, now_ms, row);
        }
        else if (now_ms - row->ended_ms > FORGET_MS) {
            forget_task(runner, row);
        }
    }
    g_list_free(rows);
    if (runner->live > 0 && runner->up.doubtful &&
        now_ms > runner->hold_until_ms + runner->config.term.stop_ms) {
        end_all(runner, now_ms, LC_RUN_LOST);
    }
    forget_owners(runner, now_ms);
    Health_Fade(&runner->health, now_ms);
    send_look(runner, now_ms);
}

void
Runner_Drain(Runner *runner)
{
    runner->draining = true;
    runner->version++;
}

bool
Runner_IsIdle(const Runner *runner)
{
    return runner->live == 0 &&
           (runner->up.last_seen == runner->up.acknowledged ||
            !runner->up.known);
}

bool
Runner_Report(const Runner *runner, int64_t now_ms, lc_report_args *report)
{
    /* The texts are only read by the codec. */
    Runner *mutable_runner = (Runner *)(uintptr_t)runner;
    u_int i;

    memset(report, 0, sizeof(*report));
    Runner_State(runner, now_ms, &report->host);
    report->service = runner->up.service;
    report->instance = runner->up.instance;
    report->capacity = runner->up.capacity;
    for (i = 0; i < LC_MAX_LABELS && runner->up.labels[i] != NULL; i++) {
        mutable_runner->label_row[i] = runner->up.labels[i];
    }
    report->labels.labels_len = i;
    report->labels.labels_val = mutable_runner->label_row;
    return runner->up.known;
}

uint64_t
Runner_Version(const Runner *runner)
{
    return runner->version;
}

Counters *
Runner_Counters(Runner *runner)
{
    return &runner->counters;
}

json_t *
Runner_Dump(const Runner *runner, int64_t now_ms)
{
    lc_host_state state;

    Runner_State(runner, now_ms, &state);
    return json_pack(
        "{s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:I, s:b, s:b}", "role",
        "companion", "instance", runner->up.instance, "service",
        runner->up.service, "state", (int)state.state, "room_cpu_milli",
        (int)state.room.cpu_milli, "room_memory_mb", (int)state.room.memory_mb,
        "tasks", (int)runner->live, "pace_percent", (int)state.pace_percent,
        "token", (json_int_t)runner->token, "doubtful", runner->up.doubtful,
        "inventoried", runner->up.inventoried);
}

#include "lease/dispatcher.h"

#include <inttypes.h>
#include <string.h>

#include "base/handle.h"
#include "base/random.h"
#include "lease/active.h"
#include "lease/choice.h"
#include "lease/resources.h"
#include "lease/run_id.h"

/* An entry renews its leases so often, and suspects a companion that has
 * not answered for so long. */
#define RENEW_MS 100
#define SUSPECT_MS 250
/* Asking again after a broken connection, or an answer that settles
 * nothing. */
#define AGAIN_MS 50
/* Refused for want of room: elsewhere at once, here not for a moment. */
#define REFUSED_MS 20
#define RETRY_MS 1000
#define PERCENT 100
/* A task may end so much sooner than its estimate says. */
#define LEAST_OF_ESTIMATE 55
/* Ends at upstreams on trial do not count as attempts, up to a number. */
#define FREE_ATTEMPTS 4

/* What a call on its way is about. */
typedef struct {
    Msg_Kind kind;
    Handle job;
    uint32_t task;
    lc_node host;
    uint32_t run;
} pending_call;

struct Dispatcher {
    Dispatcher_Config config;
    const Dispatcher_Ports *ports;
    void *context;
    Counters counters;
    Fleet fleet;
    Handle_Table *jobs;
    Handle_Table *calls;
    GHashTable *by_id;      /* job id -> Active_Job */
    GHashTable *by_request; /* request id -> Active_Job */
    GPtrArray *queue;       /* scratch of a pass */
    uint64_t random;
    uint32_t unanswered;
    bool paused;
};

static void dispatch(Dispatcher *self, int64_t now_ms);

Dispatcher *
Dispatcher_New(const Dispatcher_Config *config, const Dispatcher_Ports *ports,
               void *context, int64_t now_ms)
{
    Dispatcher *self = g_new0(Dispatcher, 1);

    self->config = *config;
    self->ports = ports;
    self->context = context;
    Fleet_Init(&self->fleet);
    self->jobs = Handle_NewTable();
    self->calls = Handle_NewTable();
    self->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    self->by_request = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                             g_free, NULL);
    self->queue = g_ptr_array_new();
    self->random = Random_Seed(config->node.incarnation ^ (uint64_t)now_ms);
    return self;
}

void
Dispatcher_Free(Dispatcher *self)
{
    uint32_t i;

    for (i = 0; i < Handle_Size(self->jobs); i++) {
        Active_Job *job = Handle_At(self->jobs, i);
        if (job != NULL) {
            Active_Free(job);
        }
    }
    for (i = 0; i < Handle_Size(self->calls); i++) {
        g_free(Handle_At(self->calls, i));
    }
    Handle_FreeTable(self->jobs);
    Handle_FreeTable(self->calls);
    g_hash_table_unref(self->by_id);
    g_hash_table_unref(self->by_request);
    g_ptr_array_unref(self->queue);
    Fleet_Clear(&self->fleet);
    g_free(self);
}

lc_node
Dispatcher_Node(const Dispatcher *self)
{
    return self->config.node;
}

/* A line about a job of which only the identity is known. */
static void
log_identity(const Dispatcher *self, Event_Id id, uint64_t job,
             const char *detail)
{
    char text[RUN_ID_JOB_SIZE];

    if (Event_Admit(id)) {
        RunId_FormatJob(job, text);
        self->ports->event(
            self->context, id,
            json_pack("{s:s, s:s}", "job", text, "detail", detail));
    }
}

/* Everything that was decided about a job, and why it ended as it did. */
static void
log_job(const Dispatcher *self, Event_Id id, int64_t now_ms,
        const Active_Job *job, const char *detail)
{
    int64_t waited_ms = (job->first_sent_ms == 0 ? now_ms
                                                 : job->first_sent_ms) -
                        job->arrived_ms;
    char text[RUN_ID_JOB_SIZE];

    if (!Event_Admit(id)) {
        return;
    }
    RunId_FormatJob(job->spec.id, text);
    self->ports->event(
        self->context, id,
        json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, "
                  "s:i, s:o}",
                  "job", text, "queue", job->queue, "detail", detail,
                  "took_ms", (int)(now_ms - job->arrived_ms), "waited_ms",
                  (int)waited_ms, "objective_ms",
                  (int)(job->objective_ms - job->arrived_ms), "deadline_ms",
                  (int)(job->deadline_ms - job->arrived_ms), "priority",
                  (int)job->priority, "tasks", (int)job->task_count, "waiting",
                  (int)job->waiting, "open", (int)job->open, "companions",
                  (int)Dispatcher_ReadyHosts(self, now_ms), "story",
                  Story_ToJson(job->story)));
}

static void
log_host(const Dispatcher *self, Event_Id id, int64_t now_ms,
         const Fleet_Host *host, const char *detail)
{
    if (Event_Admit(id)) {
        self->ports->event(
            self->context, id,
            json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i}", "companion",
                      Address_Text(host->node.address), "hall", host->hall,
                      "upstream", host->instance, "service", host->service,
                      "detail", detail, "runs", (int)host->running,
                      "heard_ms_ago", (int)(now_ms - host->received_ms)));
    }
}

/* ---- calls ---- */

static uint64_t
send_call(Dispatcher *self, const pending_call *about, const Msg_Call *call)
{
    pending_call *pending = g_memdup2(about, sizeof(*about));
    uint64_t call_id = Handle_Add(self->calls, pending);

    self->ports->call(self->context, about->host.address, call_id, call);
    return call_id;
}

static pending_call
about_task(const Active_Job *job, const Active_Task *task, Msg_Kind kind)
{
    pending_call about = {.kind = kind,
                          .job = job->handle,
                          .task = (uint32_t)(task - job->tasks),
                          .host = task->host,
                          .run = task->id.run};

    return about;
}

static void
call_run(Dispatcher *self, const Active_Job *job, const Active_Task *task,
         int64_t valid_until_ms)
{
    const LeasedJob_Step *step = Active_Step(job, task);
    pending_call about = about_task(job, task, MSG_RUN);
    Msg_Call call = {.kind = MSG_RUN};

    call.u.run.owner = self->config.node;
    call.u.run.target = task->host.incarnation;
    call.u.run.valid_until_ms = valid_until_ms;
    call.u.run.id = task->id;
    call.u.run.need = step->need;
    call.u.run.estimate_ms = step->estimate_ms;
    call.u.run.spec = job->spec.spec;
    send_call(self, &about, &call);
}

static void
call_halt(Dispatcher *self, const Active_Job *job, Active_Task *task)
{
    pending_call about = about_task(job, task, MSG_HALT);
    Msg_Call call = {.kind = MSG_HALT};

    call.u.halt.owner = self->config.node;
    call.u.halt.target = task->host.incarnation;
    call.u.halt.id = task->id;
    task->again_ms = INT64_MAX;
    send_call(self, &about, &call);
}

static void
call_renew(Dispatcher *self, int64_t now_ms, Fleet_Host *host)
{
    pending_call about = {.kind = MSG_RENEW, .host = host->node};
    Msg_Call call = {.kind = MSG_RENEW};

    call.u.renew.owner = self->config.node;
    call.u.renew.target = host->node.incarnation;
    call.u.renew.valid_until_ms = Fleet_Hold(host, &self->config.term, now_ms);
    host->renew_ms = now_ms;
    host->renewing = send_call(self, &about, &call);
}

/* ---- ends of tasks and jobs ---- */

static Fleet_Host *
host_of(const Dispatcher *self, const Active_Task *task)
{
    Fleet_Host *host = Fleet_Find(&self->fleet, task->host.address);

    if (host == NULL || host->node.incarnation != task->host.incarnation) {
        return NULL;
    }
    return host;
}

static bool
is_out(const Active_Task *task)
{
    return task->state == ACTIVE_SENT || task->state == ACTIVE_ADRIFT ||
           task->state == ACTIVE_HALTING;
}

/* A run is over, or was never begun. */
static void
leave_host(Dispatcher *self, const Active_Task *task)
{
    Fleet_Host *host = host_of(self, task);

    if (host != NULL && is_out(task) && host->running > 0) {
        host->running--;
    }
}

static void
forget_job(Dispatcher *self, Active_Job *job)
{
    if (g_hash_table_lookup(self->by_id, &job->spec.id) == job) {
        g_hash_table_remove(self->by_id, &job->spec.id);
    }
    Handle_Remove(self->jobs, job->handle);
    Active_Free(job);
}

static Event_Id
event_of(int64_t now_ms, const Active_Job *job,
         const Dispatcher_Answer *answer)
{
    if (answer->outcome != DISPATCHER_SUCCEEDED) {
        return answer->outcome == DISPATCHER_NOT_RUN ? EVENT_JOB_REFUSED
                                                     : EVENT_JOB_FAILED;
    }
    return now_ms > job->objective_ms ? EVENT_JOB_LATE : EVENT_JOB_ANSWERED;
}

static void
answer_job(Dispatcher *self, int64_t now_ms, Active_Job *job,
           const Dispatcher_Answer *answer)
{
    static const Counter_Id counters[] = {
        [DISPATCHER_SUCCEEDED] = COUNTER_JOBS_DONE,
        [DISPATCHER_FAILED] = COUNTER_JOBS_FAILED,
        [DISPATCHER_NOT_RUN] = COUNTER_JOBS_NOT_RUN,
        [DISPATCHER_GIVEN_UP] = COUNTER_JOBS_FAILED,
        [DISPATCHER_CANCELLED] = COUNTER_JOBS_FAILED,
    };
    guint i;

    Counter_Add(&self->counters, counters[answer->outcome], 1);
    log_job(self, event_of(now_ms, job, answer), now_ms, job,
            answer->outcome == DISPATCHER_SUCCEEDED ? "" : answer->message);
    for (i = 0; i < job->requests->len; i++) {
        uint64_t request = g_array_index(job->requests, uint64_t, i);
        g_hash_table_remove(self->by_request, &request);
        self->ports->answer(self->context, request, answer);
        self->unanswered--;
    }
    g_array_set_size(job->requests, 0);
}

/* Stops what runs of an answered job; frees it when nothing does. */
static void
close_job(Dispatcher *self, Active_Job *job)
{
    uint32_t i;

    job->closing = true;
    for (i = 0; i < job->task_count; i++) {
        Active_Task *task = &job->tasks[i];
        if (task->state == ACTIVE_SENT || task->state == ACTIVE_ADRIFT) {
            Active_Move(job, task, ACTIVE_HALTING);
            call_halt(self, job, task);
        }
        else if (task->state != ACTIVE_HALTING) {
            Active_Move(job, task, ACTIVE_OVER);
        }
    }
    if (job->open == 0) {
        forget_job(self, job);
    }
}

static void
end_job(Dispatcher *self, int64_t now_ms, Active_Job *job,
        const Dispatcher_Answer *answer)
{
    answer_job(self, now_ms, job, answer);
    close_job(self, job);
}

static void
give_up(Dispatcher *self, int64_t now_ms, Active_Job *job, Err_Kind kind,
        const char *message)
{
    Dispatcher_Answer answer = {
        .outcome = DISPATCHER_GIVEN_UP, .kind = kind, .message = message};

    if (!Active_HasBegun(job)) {
        answer.outcome = DISPATCHER_NOT_RUN;
        answer.kind = ERR_WAIT_TOO_LONG;
        answer.retry_ms = RETRY_MS;
    }
    end_job(self, now_ms, job, &answer);
}

static void
finish_task(Dispatcher *self, int64_t now_ms, Active_Job *job,
            Active_Task *task)
{
    Dispatcher_Answer answer = {
        .outcome = DISPATCHER_SUCCEEDED, .kind = ERR_OK, .message = ""};

    task->done = true;
    Active_Move(job, task, ACTIVE_OVER);
    if (Active_IsDone(job)) {
        end_job(self, now_ms, job, &answer);
        return;
    }
    if (job->spec.step_count > 1) {
        Active_Unblock(job);
    }
}

/* The task may be sent again; its last run is certainly over. */
static void
requeue_task(Dispatcher *self, Active_Job *job, Active_Task *task,
             int64_t not_before_ms)
{
    if (job->closing) {
        Active_Move(job, task, ACTIVE_OVER);
        if (job->open == 0) {
            forget_job(self, job);
        }
        return;
    }
    Active_Move(job, task, ACTIVE_WAITING);
    task->again_ms = not_before_ms;
}

static void
fail_task(Dispatcher *self, int64_t now_ms, Active_Job *job, Active_Task *task,
          const Fleet_Host *host)
{
    Dispatcher_Answer answer = {.outcome = DISPATCHER_FAILED,
                                .kind = ERR_UPSTREAM_FAILED,
                                .message = "a task failed too often"};
    uint32_t most = job->max_attempts;

    task->failures++;
    task->avoid = task->host.address;
    if (host != NULL && host->state == LC_UPSTREAM_TRIAL) {
        most += FREE_ATTEMPTS;
    }
    if (!job->closing && task->failures >= most) {
        Active_Move(job, task, ACTIVE_OVER);
        end_job(self, now_ms, job, &answer);
        return;
    }
    requeue_task(self, job, task, now_ms);
}

/* Whether nothing has been heard of any companion for some time. */
static bool
is_isolated(const Dispatcher *self, int64_t now_ms)
{
    guint i;

    for (i = 0; i < self->fleet.hosts->len; i++) {
        if (Choice_IsHeard(g_ptr_array_index(self->fleet.hosts, i), now_ms)) {
            return false;
        }
    }
    return self->fleet.hosts->len > 0;
}

/* ---- submission ---- */

static void
refuse(Dispatcher *self, uint64_t request, uint64_t job, Err_Kind kind,
       const char *message)
{
    Dispatcher_Answer answer = {.outcome = DISPATCHER_NOT_RUN,
                                .kind = kind,
                                .message = message,
                                .retry_ms = RETRY_MS};

    Counter_Add(&self->counters, COUNTER_JOBS_NOT_RUN, 1);
    log_identity(self, EVENT_JOB_REFUSED, job, message);
    self->ports->answer(self->context, request, &answer);
}

static void
attach_request(Dispatcher *self, Active_Job *job, uint64_t request)
{
    g_array_append_val(job->requests, request);
    g_hash_table_insert(self->by_request, g_memdup2(&request, sizeof(request)),
                        job);
    self->unanswered++;
}

static bool
attach_to_known(Dispatcher *self, int64_t now_ms, Dispatcher_Submit *submit)
{
    Active_Job *job = g_hash_table_lookup(self->by_id, &submit->job.id);

    if (job == NULL) {
        return false;
    }
    if (job->closing || g_strcmp0(job->queue, submit->route->name) != 0) {
        refuse(self, submit->request_id, submit->job.id, ERR_UNSETTLED,
               "an earlier run of this job is being stopped");
    }
    else {
        Counter_Add(&self->counters, COUNTER_JOBS_ATTACHED, 1);
        job->deadline_ms = MAX(job->deadline_ms, now_ms + submit->deadline_ms);
        attach_request(self, job, submit->request_id);
    }
    LeasedJob_Clear(&submit->job);
    return true;
}

void
Dispatcher_OnSubmit(Dispatcher *self, int64_t now_ms,
                    Dispatcher_Submit *submit)
{
    Status status = {ERR_OK, ""};
    Active_Job *job;

    Counter_Add(&self->counters, COUNTER_JOBS_SUBMITTED, 1);
    if (attach_to_known(self, now_ms, submit)) {
        return;
    }
    if (Handle_Count(self->jobs) >= self->config.max_jobs) {
        Err_Set(&status, ERR_QUEUE_FULL, "%u jobs are here",
                Handle_Count(self->jobs));
    }
    else if (!self->paused && is_isolated(self, now_ms)) {
        Err_Set(&status, ERR_WAIT_TOO_LONG,
                "this entry is cut off from all companions");
    }
    else {
        LeasedJob_Check(&submit->job, &status);
    }
    if (status.kind != ERR_OK) {
        refuse(self, submit->request_id, submit->job.id, status.kind,
               status.message);
        LeasedJob_Clear(&submit->job);
        return;
    }
    job = Active_New(&submit->job, submit->route, now_ms,
                     now_ms + submit->deadline_ms);
    job->handle = Handle_Add(self->jobs, job);
    g_hash_table_insert(self->by_id, &job->spec.id, job);
    attach_request(self, job, submit->request_id);
    dispatch(self, now_ms);
}

void
Dispatcher_OnCallerGone(Dispatcher *self, int64_t now_ms, uint64_t request)
{
    Active_Job *job = g_hash_table_lookup(self->by_request, &request);
    guint i;

    if (job == NULL) {
        return;
    }
    g_hash_table_remove(self->by_request, &request);
    self->unanswered--;
    for (i = 0; i < job->requests->len; i++) {
        if (g_array_index(job->requests, uint64_t, i) == request) {
            g_array_remove_index_fast(job->requests, i);
            break;
        }
    }
    if (job->requests->len == 0) {
        log_job(self, EVENT_CALLER_GONE, now_ms, job, "stopped");
        close_job(self, job);
    }
}

bool
Dispatcher_OnCancel(Dispatcher *self, int64_t now_ms, uint64_t id,
                    const char *queue)
{
    Dispatcher_Answer answer = {.outcome = DISPATCHER_CANCELLED,
                                .kind = ERR_CANCELLED,
                                .message = "cancelled by its caller"};
    Active_Job *job = g_hash_table_lookup(self->by_id, &id);

    if (job == NULL || g_strcmp0(job->queue, queue) != 0) {
        return false;
    }
    if (!job->closing) {
        end_job(self, now_ms, job, &answer);
    }
    return true;
}

bool
Dispatcher_Look(const Dispatcher *self, uint64_t id, const char *queue,
                bool *begun)
{
    const Active_Job *job = g_hash_table_lookup(self->by_id, &id);

    if (job == NULL || job->closing || g_strcmp0(job->queue, queue) != 0) {
        return false;
    }
    *begun = Active_HasBegun(job);
    return true;
}

uint32_t
Dispatcher_Waiting(const Dispatcher *self, const char *queue)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < Handle_Size(self->jobs); i++) {
        const Active_Job *job = Handle_At(self->jobs, i);
        if (job != NULL && !job->closing && !Active_HasBegun(job) &&
            g_strcmp0(job->queue, queue) == 0) {
            count++;
        }
    }
    return count;
}

/* ---- the pass over waiting tasks ---- */

/* How urgent a job is: it can be in time, late, or worth nothing. */
static int
urgency_of(const Active_Job *job, int64_t now_ms, int64_t slack_ms)
{
    if (slack_ms >= 0) {
        return 0;
    }
    return now_ms + Active_RemainingMs(job) <= Active_WorthlessAfter(job) ? 1
                                                                          : 2;
}

/* Jobs that can meet their objective go first, the least slack before; the
 * others follow by priority and deadline, those worth nothing last. */
static gint
compare_urgency(gconstpointer a, gconstpointer b, gpointer now)
{
    const Active_Job *left = *(const Active_Job *const *)a;
    const Active_Job *right = *(const Active_Job *const *)b;
    int64_t now_ms = *(const int64_t *)now;
    int64_t left_slack = Active_SlackMs(left, now_ms);
    int64_t right_slack = Active_SlackMs(right, now_ms);
    int left_rank = urgency_of(left, now_ms, left_slack);
    int right_rank = urgency_of(right, now_ms, right_slack);

    if (left_rank != right_rank) {
        return left_rank - right_rank;
    }
    if (left_rank > 0 && left->priority != right->priority) {
        return left->priority < right->priority ? -1 : 1;
    }
    if (left_rank > 0) {
        return left->deadline_ms < right->deadline_ms ? -1 : 1;
    }
    return left_slack < right_slack ? -1 : left_slack > right_slack;
}

static void
send_task(Dispatcher *self, int64_t now_ms, Active_Job *job, Active_Task *task,
          Fleet_Host *host)
{
    task->id.run++;
    task->host = host->node;
    task->sent_ms = now_ms;
    Active_Move(job, task, ACTIVE_SENT);
    job->starts++;
    host->running++;
    if (job->first_sent_ms == 0) {
        job->first_sent_ms = now_ms;
    }
    Story_Add(job->story, now_ms, STORY_SENT, &task->id, host->node.address,
              (int32_t)host->pace_percent);
    Resources_Take(&host->room, &Active_Step(job, task)->need);
    Counter_Add(&self->counters, COUNTER_TASKS_STARTED, 1);
    call_run(self, job, task, Fleet_Hold(host, &self->config.term, now_ms));
}

/* Sends what fits of one job; false once a task found no host. */
static bool
dispatch_job(Dispatcher *self, int64_t now_ms, Active_Job *job)
{
    Choice choice = {.fleet = &self->fleet,
                     .hall = self->config.hall,
                     .now_ms = now_ms,
                     .random = &self->random};
    uint32_t i;

    for (i = 0; i < job->task_count && job->waiting > 0; i++) {
        Active_Task *task = &job->tasks[i];
        Fleet_Host *host;
        if (task->state != ACTIVE_WAITING || task->again_ms > now_ms) {
            continue;
        }
        host = Choice_Host(&choice, job, task);
        if (host == NULL) {
            return false;
        }
        send_task(self, now_ms, job, task, host);
    }
    return true;
}

static bool
any_room(const Dispatcher *self, int64_t now_ms)
{
    guint i;

    for (i = 0; i < self->fleet.hosts->len; i++) {
        const Fleet_Host *host = g_ptr_array_index(self->fleet.hosts, i);
        if (Choice_IsOpen(host, now_ms) && !Resources_IsNone(&host->room)) {
            return true;
        }
    }
    return false;
}

static void
dispatch(Dispatcher *self, int64_t now_ms)
{
    uint32_t i;

    if (self->paused || !any_room(self, now_ms)) {
        return;
    }
    g_ptr_array_set_size(self->queue, 0);
    for (i = 0; i < Handle_Size(self->jobs); i++) {
        Active_Job *job = Handle_At(self->jobs, i);
        if (job != NULL && !job->closing && job->waiting > 0) {
            g_ptr_array_add(self->queue, job);
        }
    }
    g_ptr_array_sort_with_data(self->queue, compare_urgency, &now_ms);
    for (i = 0; i < self->queue->len; i++) {
        dispatch_job(self, now_ms, g_ptr_array_index(self->queue, i));
    }
}

/* ---- companions ---- */

/* Calls `over` for every task that is out at a companion's incarnation. */
static void
end_runs_at(Dispatcher *self, int64_t now_ms, Address address,
            uint64_t but_incarnation)
{
    uint32_t i;
    uint32_t j;

    for (i = 0; i < Handle_Size(self->jobs); i++) {
        Active_Job *job = Handle_At(self->jobs, i);
        for (j = 0; job != NULL && j < job->task_count; j++) {
            Active_Task *task = &job->tasks[j];
            if (!is_out(task) || task->host.address != address ||
                task->host.incarnation == but_incarnation) {
                continue;
            }
            leave_host(self, task);
            Story_Add(job->story, now_ms,
                      but_incarnation == 0 ? STORY_EXPIRED : STORY_REBORN,
                      &task->id, address, 0);
            task->avoid = address;
            requeue_task(self, job, task, now_ms);
            /* A job that was closing may be gone now. */
            job = Handle_At(self->jobs, i);
        }
    }
}

void
Dispatcher_OnReport(Dispatcher *self, int64_t now_ms,
                    const lc_report_args *report)
{
    Fleet_Host *host = NULL;
    Fleet_Change change = Fleet_TakeReport(&self->fleet, now_ms, report,
                                           &host);

    if (change == FLEET_STALE) {
        return;
    }
    if (change != FLEET_KNOWN) {
        log_host(self, EVENT_COMPANION_FOUND, now_ms, host,
                 change == FLEET_NEW ? "new" : "another incarnation");
    }
    if (change == FLEET_REBORN) {
        host->running = 0;
        end_runs_at(self, now_ms, host->node.address, host->node.incarnation);
    }
    dispatch(self, now_ms);
}

/* A companion that has not answered in time is sent nothing new, and its
 * leases are not renewed, so that they end. */
static void
suspect_host(Dispatcher *self, int64_t now_ms, Fleet_Host *host)
{
    if (!host->suspect) {
        host->suspect = true;
        log_host(self, EVENT_SUSPECT, now_ms, host, "no answer in time");
    }
}

static void
tend_host(Dispatcher *self, int64_t now_ms, Fleet_Host *host)
{
    int64_t certain_ms = Fleet_CertainEnd(host, &self->config.term);

    if (host->renewing != 0 && now_ms - host->renew_ms > SUSPECT_MS) {
        suspect_host(self, now_ms, host);
    }
    if (host->suspect && host->running > 0 && now_ms > certain_ms) {
        self->ports->reset(self->context, host->node.address);
        host->running = 0;
        end_runs_at(self, now_ms, host->node.address, 0);
        return;
    }
    if (host->running > 0 && !host->suspect && host->renewing == 0 &&
        now_ms - host->renew_ms >= RENEW_MS) {
        call_renew(self, now_ms, host);
    }
}

/* ---- answers of companions ---- */

static Active_Task *
task_of(const Dispatcher *self, const pending_call *about, Active_Job **job)
{
    Active_Task *task;

    *job = Handle_Get(self->jobs, about->job);
    if (*job == NULL) {
        return NULL;
    }
    task = &(*job)->tasks[about->task];
    if (task->id.run != about->run || !is_out(task)) {
        return NULL;
    }
    return task;
}

/* Whether an answer of that status leaves open whether the run goes on. */
static bool
settles_nothing(lc_run_status status, const lc_host_state *state,
                const pending_call *about)
{
    return status == LC_RUN_NOT_READY &&
           state->node.incarnation != about->host.incarnation;
}

static void
refused_by(Dispatcher *self, int64_t now_ms, Active_Job *job,
           Active_Task *task, Fleet_Host *host, lc_run_status status)
{
    Counter_Add(&self->counters, COUNTER_WASTED_BUSY, 1);
    job->starts--;
    if (host != NULL && status != LC_RUN_NO_ROOM) {
        host->avoid_until_ms = now_ms + REFUSED_MS;
    }
    if (status == LC_RUN_OLD) {
        task->id.run += 16; /* an earlier submission ran elsewhere */
    }
    requeue_task(self, job, task, now_ms);
}

static void
run_ended(Dispatcher *self, int64_t now_ms, Active_Job *job, Active_Task *task,
          lc_run_status status)
{
    Fleet_Host *host = host_of(self, task);

    leave_host(self, task);
    Story_Add(job->story, now_ms, STORY_ENDED, &task->id, task->host.address,
              (int32_t)status);
    switch (status) {
    case LC_RUN_DONE:
        if (job->closing) {
            requeue_task(self, job, task, now_ms);
        }
        else {
            finish_task(self, now_ms, job, task);
        }
        break;
    case LC_RUN_FAILED:
        fail_task(self, now_ms, job, task, host);
        break;
    case LC_RUN_STOPPED:
    case LC_RUN_LOST:
    case LC_RUN_STALLED:
    case LC_RUN_OTHER_NODE:
        task->avoid = task->host.address;
        requeue_task(self, job, task, now_ms);
        break;
    default:
        refused_by(self, now_ms, job, task, host, status);
        break;
    }
}

static void
on_run_reply(Dispatcher *self, int64_t now_ms, const pending_call *about,
             const lc_run_res *result)
{
    Active_Job *job;
    Active_Task *task = task_of(self, about, &job);

    if (task == NULL) {
        return;
    }
    if (result == NULL) {
        if (task->state == ACTIVE_SENT) {
            Active_Move(job, task, ACTIVE_ADRIFT);
            Story_Add(job->story, now_ms, STORY_ADRIFT, &task->id,
                      task->host.address, 0);
            task->again_ms = now_ms + AGAIN_MS;
        }
        return;
    }
    if (settles_nothing(result->status, &result->host, about)) {
        task->again_ms = now_ms + AGAIN_MS;
        return;
    }
    run_ended(self, now_ms, job, task, result->status);
}

static void
on_halt_reply(Dispatcher *self, int64_t now_ms, const pending_call *about,
              const lc_halt_res *result)
{
    Active_Job *job;
    Active_Task *task = task_of(self, about, &job);

    if (task == NULL) {
        return;
    }
    if (result == NULL ||
        settles_nothing(result->status, &result->host, about)) {
        task->again_ms = now_ms + AGAIN_MS;
        return;
    }
    run_ended(self, now_ms, job, task, result->status);
}

static void
take_state(const Dispatcher *self, int64_t now_ms, const pending_call *about,
           const Msg_Reply *reply)
{
    Fleet_Host *host = Fleet_Find(&self->fleet, about->host.address);

    if (host == NULL) {
        return;
    }
    switch (reply->kind) {
    case MSG_RUN:
        Fleet_TakeState(host, now_ms, &reply->u.run.host);
        break;
    case MSG_HALT:
        Fleet_TakeState(host, now_ms, &reply->u.halt.host);
        break;
    case MSG_RENEW:
        Fleet_TakeState(host, now_ms, &reply->u.renew.host);
        break;
    default:
        break;
    }
}

static void
on_renew_reply(Dispatcher *self, int64_t now_ms, const pending_call *about,
               uint64_t call_id, const Msg_Reply *reply)
{
    Fleet_Host *host = Fleet_Find(&self->fleet, about->host.address);

    if (host == NULL || host->renewing != call_id) {
        return;
    }
    host->renewing = 0;
    if (reply == NULL) {
        suspect_host(self, now_ms, host);
    }
}

void
Dispatcher_OnReply(Dispatcher *self, int64_t now_ms, uint64_t call_id,
                   const Msg_Reply *reply)
{
    pending_call *about = Handle_Remove(self->calls, call_id);

    if (about == NULL) {
        return;
    }
    if (reply != NULL) {
        take_state(self, now_ms, about, reply);
    }
    switch (about->kind) {
    case MSG_RUN:
        on_run_reply(self, now_ms, about,
                     reply == NULL ? NULL : &reply->u.run);
        break;
    case MSG_HALT:
        on_halt_reply(self, now_ms, about,
                      reply == NULL ? NULL : &reply->u.halt);
        break;
    default:
        on_renew_reply(self, now_ms, about, call_id, reply);
        break;
    }
    g_free(about);
    dispatch(self, now_ms);
}

/* ---- time ---- */

void
Dispatcher_Pause(Dispatcher *self)
{
    self->paused = true;
}

void
Dispatcher_Resume(Dispatcher *self, int64_t now_ms)
{
    self->paused = false;
    dispatch(self, now_ms);
}

/* Asks again for runs whose fate is open, holding them no longer. */
static void
ask_again(Dispatcher *self, int64_t now_ms, Active_Job *job)
{
    uint32_t i;

    for (i = 0; i < job->task_count; i++) {
        Active_Task *task = &job->tasks[i];
        const Fleet_Host *host;
        if (task->again_ms > now_ms) {
            continue;
        }
        if (task->state == ACTIVE_HALTING) {
            call_halt(self, job, task);
        }
        else if (task->state == ACTIVE_ADRIFT) {
            host = host_of(self, task);
            Active_Move(job, task, ACTIVE_SENT);
            Story_Add(job->story, now_ms, STORY_ASKED, &task->id,
                      task->host.address, 0);
            call_run(self, job, task, host == NULL ? 0 : host->valid_until_ms);
        }
    }
}

/* A job that has begun is given up only when its caller would leave: an
 * answer without a result makes it come again as a whole. */
static bool
is_hopeless(const Active_Job *job, int64_t now_ms)
{
    int64_t least_ms = (int64_t)Active_RemainingMs(job) * LEAST_OF_ESTIMATE /
                       PERCENT;
    int64_t end_ms = Active_HasBegun(job) ? job->deadline_ms
                                          : Active_WorthlessAfter(job);

    return job->waiting > 0 && now_ms + least_ms > end_ms;
}

static void
refuse_waiting(Dispatcher *self, int64_t now_ms, Active_Job *job)
{
    if (!Active_HasBegun(job)) {
        give_up(self, now_ms, job, ERR_WAIT_TOO_LONG,
                "this entry is cut off from all companions");
    }
}

static void
tend_job(Dispatcher *self, int64_t now_ms, Active_Job *job, bool isolated)
{
    if (now_ms >= job->deadline_ms) {
        give_up(self, now_ms, job, ERR_DEADLINE, "its deadline passed");
    }
    else if (is_hopeless(job, now_ms)) {
        give_up(self, now_ms, job, ERR_DEADLINE,
                "it cannot end before its deadline");
    }
    else if (isolated) {
        refuse_waiting(self, now_ms, job);
    }
}

void
Dispatcher_Tick(Dispatcher *self, int64_t now_ms)
{
    bool isolated = !self->paused && is_isolated(self, now_ms);
    uint32_t i;

    for (i = 0; i < Handle_Size(self->jobs); i++) {
        Active_Job *job = Handle_At(self->jobs, i);
        if (job == NULL) {
            continue;
        }
        ask_again(self, now_ms, job);
        if (!job->closing) {
            tend_job(self, now_ms, job, isolated);
        }
    }
    for (i = 0; i < self->fleet.hosts->len; i++) {
        tend_host(self, now_ms, g_ptr_array_index(self->fleet.hosts, i));
    }
    dispatch(self, now_ms);
}

bool
Dispatcher_IsIdle(const Dispatcher *self)
{
    return self->unanswered == 0 && Handle_Count(self->jobs) == 0;
}

uint32_t
Dispatcher_ReadyHosts(const Dispatcher *self, int64_t now_ms)
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < self->fleet.hosts->len; i++) {
        const Fleet_Host *host = g_ptr_array_index(self->fleet.hosts, i);
        count += Choice_IsOpen(host, now_ms);
    }
    return count;
}

Counters *
Dispatcher_Counters(Dispatcher *self)
{
    return &self->counters;
}

static json_t *
dump_host(const Fleet_Host *host, int64_t now_ms)
{
    return json_pack(
        "{s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:b, s:I}", "address",
        Address_Text(host->node.address), "hall", host->hall, "instance",
        host->instance, "state", (int)host->state, "room_cpu_milli",
        (int)host->room.cpu_milli, "pace_percent", (int)host->pace_percent,
        "running", (int)host->running, "suspect", host->suspect,
        "heard_ms_ago", (json_int_t)(now_ms - host->received_ms));
}

json_t *
Dispatcher_Dump(const Dispatcher *self, int64_t now_ms)
{
    json_t *hosts = json_array();
    guint i;

    for (i = 0; i < self->fleet.hosts->len; i++) {
        json_array_append_new(
            hosts, dump_host(g_ptr_array_index(self->fleet.hosts, i), now_ms));
    }
    return json_pack("{s:s, s:i, s:i, s:b, s:o}", "role", "entry", "jobs",
                     (int)Handle_Count(self->jobs), "unanswered",
                     (int)self->unanswered, "paused", self->paused,
                     "companions", hosts);
}

#include "lease/dispatcher_state.h"

#include <string.h>

#include "lease/host_choice.h"
#include "lease/resources.h"

/* Urgency of a job; the smaller rank is served first. Started jobs are served
 * before others, since the work already done is wasted if the rest is late. */
typedef enum {
    RANK_STARTED, /* started, and can meet its objective */
    RANK_IN_TIME, /* can meet its objective */
    RANK_LATE,    /* can still be of use after its objective */
    RANK_WORTHLESS
} urgency_rank;

typedef struct {
    Active_Job *job;
    urgency_rank rank;
    int64_t slack_ms;
} queue_entry;

static urgency_rank
rank_of(const Active_Job *job, int64_t slack_ms)
{
    int64_t end_ms = job->objective_ms - slack_ms;

    if (slack_ms >= 0) {
        return Active_HasStarted(job) ? RANK_STARTED : RANK_IN_TIME;
    }
    return end_ms <= Active_UsefulUntilMs(job) ? RANK_LATE : RANK_WORTHLESS;
}

static queue_entry
entry_of(Active_Job *job, int64_t now_ms)
{
    queue_entry entry = {.job = job, .slack_ms = Active_SlackMs(job, now_ms)};

    if (job->has_long_running || job->spec.repeat_count > 0) {
        /* A long-running job is always needed; a recurring one that waits is
         * due. */
        entry.slack_ms = 0;
    }
    entry.rank = rank_of(job, entry.slack_ms);
    return entry;
}

static gint
compare_numbers(int64_t left, int64_t right)
{
    return left < right ? -1 : left > right;
}

/* Orders by rank, then by configured priority, then by slack among jobs that
 * can meet their objective, by deadline and arrival among others. */
static gint
compare_urgency(gconstpointer a, gconstpointer b)
{
    const queue_entry *left = a;
    const queue_entry *right = b;

    if (left->rank != right->rank) {
        return compare_numbers(left->rank, right->rank);
    }
    if (left->job->priority != right->job->priority) {
        return compare_numbers(left->job->priority, right->job->priority);
    }
    if (left->rank <= RANK_IN_TIME) {
        return compare_numbers(left->slack_ms, right->slack_ms);
    }
    if (left->job->deadline_ms != right->job->deadline_ms) {
        return compare_numbers(left->job->deadline_ms,
                               right->job->deadline_ms);
    }
    return compare_numbers(left->job->arrived_ms, right->job->arrived_ms);
}

/* Assigns a task to a host; the call that starts it is sent later. */
static void
place_task(Dispatcher *self, int64_t now_ms, Active_Job *job,
           Active_Task *task, Fleet_Host *host)
{
    Histogram_Add(&self->belief_age, now_ms - host->received_ms);
    task->id.run++;
    task->host = host->node;
    task->call_retries = 0;
    task->sent_ms = now_ms;
    task->outcome_queried_ms = 0;
    Active_SetState(job, task, ACTIVE_SENT);
    job->starts++;
    host->running++;
    if (job->first_sent_ms == 0) {
        job->first_sent_ms = now_ms;
    }
    JobTrace_Add(job->trace, now_ms, JOB_TRACE_SENT, &task->id,
                 host->node.address, (int32_t)host->pace_percent);
    if (host->state == LC_UPSTREAM_TRIAL) {
        memset(&host->room, 0, sizeof(host->room)); /* one at a time */
    }
    Resources_Subtract(&host->room, &Active_Step(job, task)->need);
    Counter_Add(&self->counters, COUNTER_TASKS_STARTED, 1);
}

lc_resources
DispatcherQueue_LargestRoom(const Dispatcher *self, int64_t now_ms)
{
    lc_resources largest = {0, 0, 0};
    guint i;

    for (i = 0; i < self->fleet.hosts->len; i++) {
        const Fleet_Host *host = g_ptr_array_index(self->fleet.hosts, i);
        if (HostChoice_IsSchedulable(host, now_ms)) {
            largest.cpu_milli = MAX(largest.cpu_milli, host->room.cpu_milli);
            largest.memory_mb = MAX(largest.memory_mb, host->room.memory_mb);
            largest.accelerators = MAX(largest.accelerators,
                                       host->room.accelerators);
        }
    }
    return largest;
}

static bool
may_start(const Dispatcher *self, int64_t now_ms, const Active_Job *job,
          const Active_Task *task)
{
    return Active_HasStarted(job) ||
           Reserve_Allows(&self->reserve, &self->fleet, now_ms, job->priority,
                          &Active_Step(job, task)->need);
}

/* Assigns hosts to the waiting tasks of a job, stopping at the first task that
 * finds none; skips bound tasks whose host is not available. Appends the
 * assigned tasks to @p placed. */
static void
place_job(Dispatcher *self, int64_t now_ms, Active_Job *job,
          lc_resources *largest, GPtrArray *placed)
{
    HostChoice_Context choice = {.fleet = &self->fleet,
                                 .hall = self->config.hall,
                                 .now_ms = now_ms,
                                 .log_read_ms = self->durable_log_read_ms,
                                 .random = &self->random};
    bool few_calls = self->config.join_runs &&
                     LinkBudget_IsCongested(&self->link, now_ms);
    uint32_t i;

    choice.packed_tasks = few_calls ? job->waiting : 0;

    for (i = 0; i < job->task_count && job->waiting > 0; i++) {
        Active_Task *task = &job->tasks[i];
        Fleet_Host *host;
        if (task->state != ACTIVE_WAITING || task->not_before_ms > now_ms) {
            continue;
        }
        if (!Resources_Fit(&Active_Step(job, task)->need, largest) ||
            !may_start(self, now_ms, job, task)) {
            return;
        }
        host = HostChoice_Pick(&choice, job, task);
        if (host == NULL && Active_IsBound(task, now_ms)) {
            continue;
        }
        if (host == NULL) {
            *largest = DispatcherQueue_LargestRoom(self, now_ms);
            return;
        }
        place_task(self, now_ms, job, task, host);
        choice.previous_host = host;
        choice.packed_tasks = few_calls ? job->waiting : 0;
        g_ptr_array_add(placed, task);
    }
}

/* Forwards one job, or starts as many of its tasks as fit. */
static void
dispatch_job(Dispatcher *self, int64_t now_ms, Active_Job *job,
             lc_resources *largest)
{
    GPtrArray *placed;

    if (DispatcherForward_Try(self, now_ms, job, largest)) {
        return;
    }
    placed = g_ptr_array_new();
    place_job(self, now_ms, job, largest, placed);
    DispatcherCall_Starts(self, now_ms, job, placed);
    g_ptr_array_unref(placed);
}

static bool
has_startable_tasks(const Active_Job *job)
{
    return job != NULL && !job->closing && !job->awaits_queue &&
           job->waiting > 0;
}

/* Returns the jobs with waiting tasks, the most urgent first; the caller frees
 * the array. */
static GArray *
sorted_queue(const Dispatcher *self, int64_t now_ms)
{
    GArray *queue = g_array_new(FALSE, FALSE, sizeof(queue_entry));
    uint32_t i;

    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        Active_Job *job = Handle_ItemAt(self->jobs, i);
        if (has_startable_tasks(job) &&
            (!job->durable || DispatcherDurable_IsAllowed(self, now_ms))) {
            queue_entry entry = entry_of(job, now_ms);
            g_array_append_val(queue, entry);
        }
    }
    g_array_sort(queue, compare_urgency);
    return queue;
}

static bool
has_waiting(const Dispatcher *self)
{
    uint32_t i;

    for (i = 0; i < Handle_RowCount(self->jobs); i++) {
        if (has_startable_tasks(Handle_ItemAt(self->jobs, i))) {
            return true;
        }
    }
    return false;
}

/* Whether the link budget allows another start now; if not and tasks wait,
 * requests another dispatch for when it does. */
static bool
link_allows(Dispatcher *self, int64_t now_ms)
{
    if (LinkBudget_Allows(&self->link, now_ms)) {
        return true;
    }
    if (has_waiting(self)) {
        self->starts_wait_for_link = true;
        self->dispatch_pending = true;
        LinkBudget_RecordWait(&self->link, now_ms);
    }
    return false;
}

void
DispatcherQueue_Dispatch(Dispatcher *self, int64_t now_ms)
{
    lc_resources largest = DispatcherQueue_LargestRoom(self, now_ms);
    GArray *queue;
    guint i;

    self->starts_wait_for_link = false;
    if (self->paused || Resources_IsZero(&largest) ||
        !link_allows(self, now_ms)) {
        return;
    }
    queue = sorted_queue(self, now_ms);
    for (i = 0; i < queue->len && link_allows(self, now_ms); i++) {
        dispatch_job(self, now_ms, g_array_index(queue, queue_entry, i).job,
                     &largest);
    }
    g_array_unref(queue);
}

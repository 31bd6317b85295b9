#include "lease/dispatcher_state.h"

#include <string.h>

#include "lease/choice.h"
#include "lease/resources.h"

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
    task->asks = 0;
    Active_Move(job, task, ACTIVE_SENT);
    job->starts++;
    host->running++;
    if (job->first_sent_ms == 0) {
        job->first_sent_ms = now_ms;
    }
    Story_Add(job->story, now_ms, STORY_SENT, &task->id, host->node.address,
              (int32_t)host->pace_percent);
    if (host->state == LC_UPSTREAM_TRIAL) {
        memset(&host->room, 0, sizeof(host->room)); /* one at a time */
    }
    Resources_Take(&host->room, &Active_Step(job, task)->need);
    Counter_Add(&self->counters, COUNTER_TASKS_STARTED, 1);
    DispatcherCall_Run(self, job, task,
                       Fleet_Hold(host, &self->config.term, now_ms));
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

void
DispatcherQueue_Pass(Dispatcher *self, int64_t now_ms)
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

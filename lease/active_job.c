#include "lease/active_job.h"

#include <string.h>

/* A late answer has some value up to this multiple of the objective. */
#define LATE_OBJECTIVE_FACTOR 3

static void
fill_tasks(Active_Job *job)
{
    uint32_t times = LeasedJob_OccurrenceCount(&job->spec);
    Active_Task *task = job->tasks;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;

    for (occurrence = 0; occurrence < times; occurrence++) {
        for (step = 0; step < job->spec.step_count; step++) {
            job->has_long_running |= job->spec.steps[step].long_running;
            for (index = 0; index < job->spec.steps[step].count; index++) {
                task->id.job = job->spec.id;
                task->id.occurrence = occurrence;
                task->id.step = step;
                task->id.index = index;
                task->state = ACTIVE_BLOCKED;
                task++;
            }
        }
    }
}

void
Active_SetRoute(Active_Job *job, const Route *route)
{
    g_free(job->service);
    job->service = g_strdup(route->service);
    job->priority = route->priority;
    job->max_attempts = MAX(route->max_attempts, 1);
    job->objective_ms = job->arrived_ms + Route_ObjectiveMs(route, &job->spec);
    job->awaits_queue = false;
}

Active_Job *
Active_New(LeasedJob *spec, const QueueRef *queue, const Route *route,
           int64_t now_ms, int64_t deadline_ms)
{
    Active_Job *job = g_new0(Active_Job, 1);

    job->spec = *spec;
    memset(spec, 0, sizeof(*spec));
    job->spec_bytes = strlen(job->spec.spec);
    job->queue = QueueRef_Copy(queue);
    job->requests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    job->arrived_ms = now_ms;
    Active_SetRoute(job, route);
    job->deadline_ms = deadline_ms;
    job->task_count = LeasedJob_TaskCount(&job->spec) *
                      LeasedJob_OccurrenceCount(&job->spec);
    job->tasks = g_new0(Active_Task, job->task_count);
    job->open = job->task_count;
    job->trace = JobTrace_New(now_ms);
    fill_tasks(job);
    Active_Unblock(job, INT64_MIN);
    return job;
}

void
Active_Free(Active_Job *job)
{
    LeasedJob_Clear(&job->spec);
    QueueRef_Clear(&job->queue);
    g_free(job->service);
    g_array_unref(job->requests);
    JobTrace_Free(job->trace);
    g_free(job->tasks);
    g_free(job);
}

const LeasedJob_Step *
Active_Step(const Active_Job *job, const Active_Task *task)
{
    return &job->spec.steps[task->id.step];
}

void
Active_SetState(Active_Job *job, Active_Task *task, Active_State state)
{
    if (task->state == state) {
        return;
    }
    if (task->state == ACTIVE_WAITING) {
        job->waiting--;
    }
    if (state == ACTIVE_WAITING) {
        job->waiting++;
    }
    if (state == ACTIVE_OVER) {
        job->open--;
    }
    task->state = state;
}

/* Bit set of the steps all of whose tasks are done, in one occurrence. */
static uint64_t
ended_steps(const Active_Job *job, const Active_Task *tasks, uint32_t count)
{
    uint64_t ended = 0;
    uint32_t i;

    for (i = 0; i < job->spec.step_count; i++) {
        ended |= (uint64_t)1 << i;
    }
    for (i = 0; i < count; i++) {
        if (!tasks[i].done) {
            ended &= ~((uint64_t)1 << tasks[i].id.step);
        }
    }
    return ended;
}

void
Active_Unblock(Active_Job *job, int64_t wall_ms)
{
    uint32_t count = LeasedJob_TaskCount(&job->spec);
    uint32_t times = LeasedJob_OccurrenceCount(&job->spec);
    uint32_t occurrence;
    uint32_t i;

    for (occurrence = 0; occurrence < times; occurrence++) {
        Active_Task *tasks = job->tasks + (size_t)occurrence * count;
        uint64_t ended;
        if (LeasedJob_DueMs(&job->spec, occurrence) > wall_ms) {
            return;
        }
        ended = ended_steps(job, tasks, count);
        for (i = 0; i < count; i++) {
            uint64_t needed = Active_Step(job, &tasks[i])->depends_on;
            if (tasks[i].state == ACTIVE_BLOCKED && (needed & ~ended) == 0) {
                Active_SetState(job, &tasks[i], ACTIVE_WAITING);
            }
        }
    }
}

bool
Active_IsBound(const Active_Task *task, int64_t now_ms)
{
    return now_ms < task->bound_until_ms;
}

bool
Active_HasBoundTask(const Active_Job *job, int64_t now_ms)
{
    uint32_t i;

    for (i = 0; i < job->task_count; i++) {
        if (Active_IsBound(&job->tasks[i], now_ms)) {
            return true;
        }
    }
    return false;
}

void
Active_Bind(Active_Task *task, int64_t now_ms, Address address,
            int64_t until_ms)
{
    bool elsewhere = Active_IsBound(task, now_ms) && task->bound_to != address;

    task->bound_to = elsewhere ? 0 : address;
    task->bound_until_ms = MAX(task->bound_until_ms, until_ms);
}

bool
Active_IsDone(const Active_Job *job)
{
    uint32_t i;

    for (i = 0; i < job->task_count; i++) {
        if (!job->tasks[i].done) {
            return false;
        }
    }
    return true;
}

uint32_t
Active_RemainingMs(const Active_Job *job)
{
    uint32_t path_ms[LEASED_JOB_MAX_STEPS];
    uint32_t longest_ms = 0;
    uint32_t i;
    uint32_t j;

    if (job->spec.step_count == 1) {
        return Active_IsDone(job) ? 0 : job->spec.steps[0].estimate_ms;
    }
    memset(path_ms, 0, sizeof(path_ms));
    for (i = 0; i < job->task_count; i++) {
        const Active_Task *task = &job->tasks[i];
        if (!task->done) {
            path_ms[task->id.step] = Active_Step(job, task)->estimate_ms;
        }
    }
    for (i = 0; i < job->spec.step_count; i++) {
        uint32_t before_ms = 0;
        for (j = 0; j < i; j++) {
            if ((job->spec.steps[i].depends_on >> j & 1) != 0) {
                before_ms = MAX(before_ms, path_ms[j]);
            }
        }
        path_ms[i] += before_ms;
        longest_ms = MAX(longest_ms, path_ms[i]);
    }
    return longest_ms;
}

int64_t
Active_SlackMs(const Active_Job *job, int64_t now_ms)
{
    return job->objective_ms - now_ms - Active_RemainingMs(job);
}

bool
Active_HasStarted(const Active_Job *job)
{
    return job->starts > 0;
}

int64_t
Active_UsefulUntilMs(const Active_Job *job)
{
    int64_t late_ms = job->arrived_ms +
                      LATE_OBJECTIVE_FACTOR *
                          (job->objective_ms - job->arrived_ms);

    return MIN(late_ms, job->deadline_ms);
}

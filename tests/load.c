/*
 * Open-loop load generator for a running cluster: seeded arrivals that do not
 * wait for answers. Prints for each group, and for all, the ratio of a job's
 * response time to its ideal on idle hosts (the longest of its tasks, or its
 * work over all slots, whichever is longer), the share of slot time, and the
 * outcomes.
 *
 * usage: load SEED SECONDS SLOTS UTILISATION GROUPS ENTRY...
 *   UTILISATION  percent of all slots that the arrivals need
 *   GROUPS       "name:percent of the work,..."
 *   ENTRY        address that an entry serves callers at
 */

#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/idempotency_key.h"
#include "platform/http_client.h"

#define MAX_GROUPS 8
#define MAX_ENTRIES 64
#define ANSWER_TIMEOUT_MS 120000
#define MAX_TRIES 200

typedef struct {
    char name[65];
    double share;
    GArray *ratios; /* double, of done jobs */
    uint64_t sent;
    uint64_t failed;
    uint64_t refused;
    double slot_ms; /* of done jobs */
} load_group;

typedef struct {
    uv_loop_t *loop;
    HttpClient *http;
    uv_timer_t timer;
    GRand *rand;
    Address entries[MAX_ENTRIES];
    int entry_count;
    load_group groups[MAX_GROUPS];
    int group_count;
    double slots;
    double work_per_ms; /* slot-ms that arrive per ms */
    int64_t end_ms;
    int64_t resend_ms;
    uint64_t resent;
    uint64_t jobs_open;
    uint64_t tasks;
} load;

typedef struct {
    load *self;
    load_group *group;
    int64_t started_ms;
    double ideal_ms;
    double work_ms;
    char key[KEY_TEXT_LENGTH + 1];
    char *body;
    int tries;
    bool ended;
    int requests_open;
    uv_timer_t timer;
} load_job;

static void send_job(load_job *job);

static int64_t
now_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

/* 50 ms to 1 s, one in a hundred 2 s to 5 s. */
static int
random_task_ms(GRand *rand)
{
    if (g_rand_double(rand) < 0.01) {
        return g_rand_int_range(rand, 2000, 5000);
    }
    return 50 + (int)(950.0 * pow(g_rand_double(rand), 3.0));
}

/* Mostly a few tasks, rarely hundreds, at most 1,500. */
static int
random_task_count(GRand *rand)
{
    double draw = g_rand_double(rand);

    if (draw < 0.002) {
        return g_rand_int_range(rand, 300, 1501);
    }
    if (draw < 0.05) {
        return g_rand_int_range(rand, 20, 100);
    }
    return g_rand_int_range(rand, 1, 9);
}

static void
free_job(uv_handle_t *handle)
{
    load_job *job = handle->data;

    g_free(job->body);
    g_free(job);
}

static void
free_if_idle(load_job *job)
{
    if (job->ended && job->requests_open == 0 &&
        !uv_is_closing((uv_handle_t *)&job->timer)) {
        uv_close((uv_handle_t *)&job->timer, free_job);
    }
}

static void
end_job(load_job *job, bool done)
{
    double took_ms = (double)(now_ms() - job->started_ms);
    double ratio = took_ms / job->ideal_ms;

    job->ended = true;
    job->self->jobs_open--;
    uv_timer_stop(&job->timer);
    if (done) {
        g_array_append_val(job->group->ratios, ratio);
        job->group->slot_ms += job->work_ms;
    }
}

static void
on_resend(uv_timer_t *timer)
{
    load_job *job = timer->data;

    job->self->resent++;
    send_job(job);
}

static bool
has_outcome(const HttpClient_Answer *answer, const char *outcome)
{
    char text[48];

    g_snprintf(text, sizeof(text), "\"outcome\":\"%s\"", outcome);
    return answer->end == HTTP_CLIENT_ANSWERED &&
           g_strstr_len(answer->body, (gssize)MIN(answer->length, 200),
                        text) != NULL;
}

static void
on_answer(void *context, const HttpClient_Answer *answer)
{
    load_job *job = context;

    job->requests_open--;
    if (job->ended) {
        free_if_idle(job);
        return;
    }
    if (has_outcome(answer, "done")) {
        end_job(job, true);
    }
    else if (has_outcome(answer, "failed") || ++job->tries > MAX_TRIES) {
        job->group->failed++;
        end_job(job, false);
    }
    else if (has_outcome(answer, "not_run") && job->self->resend_ms == 0) {
        job->group->refused++;
        end_job(job, false);
    }
    else if (job->requests_open == 0) {
        uv_timer_start(&job->timer, on_resend,
                       MAX(answer->retry_after_s, 1) * 1000, 0);
    }
    free_if_idle(job);
}

static void
send_job(load_job *job)
{
    load *self = job->self;
    HttpClient_Request request = {.method = "POST",
                                  .path = "/v1/jobs",
                                  .body = job->body,
                                  .length = strlen(job->body),
                                  .timeout_ms = ANSWER_TIMEOUT_MS};
    char headers[80];

    g_snprintf(headers, sizeof(headers), "Idempotency-Key: %s\r\n", job->key);
    request.headers = headers;
    request.to =
        self->entries[g_rand_int_range(self->rand, 0, self->entry_count)];
    job->requests_open++;
    if (self->resend_ms > 0) {
        /* Send again without waiting for the answer. */
        uv_timer_start(&job->timer, on_resend, (uint64_t)self->resend_ms, 0);
    }
    HttpClient_Send(self->http, &request, on_answer, job);
}

static load_group *
random_group(load *self)
{
    double draw = g_rand_double(self->rand);
    int i;

    for (i = 0; i < self->group_count - 1; i++) {
        if (draw < self->groups[i].share) {
            break;
        }
        draw -= self->groups[i].share;
    }
    return &self->groups[i];
}

static double
submit_job(load *self)
{
    load_job *job = g_new0(load_job, 1);
    int count = random_task_count(self->rand);
    GString *body = g_string_new(NULL);
    double longest_ms = 0.0;
    Key key;
    int i;

    job->self = self;
    job->group = random_group(self);
    g_string_printf(body, "{\"group\":\"%s\",\"repeatable\":true,\"tasks\":[",
                    job->group->name);
    for (i = 0; i < count; i++) {
        int ms = random_task_ms(self->rand);
        g_string_append_printf(body, "%s\"{\\\"ms\\\":%d}\"",
                               i == 0 ? "" : ",", ms);
        job->work_ms += ms;
        longest_ms = MAX(longest_ms, ms);
    }
    g_string_append(body, "]}");
    job->body = g_string_free(body, FALSE);
    job->ideal_ms = MAX(longest_ms, job->work_ms / self->slots);
    key = Key_Create(
        g_get_real_time() / 1000,
        ((uint64_t)g_rand_int(self->rand) << 32) | g_rand_int(self->rand),
        ((uint64_t)g_rand_int(self->rand) << 32) | g_rand_int(self->rand));
    Key_Format(&key, job->key);
    job->started_ms = now_ms();
    uv_timer_init(self->loop, &job->timer);
    job->timer.data = job;
    job->group->sent++;
    self->jobs_open++;
    self->tasks += (uint64_t)count;
    send_job(job);
    return job->work_ms;
}

/* The time to the next job is exponential with a mean proportional to this
 * job's work, so that work arrives at work_per_ms. */
static void
on_arrival(uv_timer_t *timer)
{
    load *self = timer->data;
    double work_ms;
    double gap_ms;

    if (now_ms() >= self->end_ms) {
        uv_close((uv_handle_t *)timer, NULL);
        return;
    }
    work_ms = submit_job(self);
    gap_ms = -log(1.0 - g_rand_double(self->rand)) * work_ms /
             self->work_per_ms;
    uv_timer_start(timer, on_arrival, (uint64_t)MAX(gap_ms, 0.0), 0);
}

static int
compare_doubles(gconstpointer a, gconstpointer b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return left < right ? -1 : left > right;
}

static double
percentile(GArray *values, double part)
{
    guint rank;

    if (values->len == 0) {
        return 0.0;
    }
    g_array_sort(values, compare_doubles);
    rank = (guint)(part * (values->len - 1) + 0.5);
    return g_array_index(values, double, rank);
}

static double
mean(const GArray *values)
{
    double sum = 0.0;
    guint i;

    for (i = 0; i < values->len; i++) {
        sum += g_array_index(values, double, i);
    }
    return values->len == 0 ? 0.0 : sum / values->len;
}

static void
print_report(load *self)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(double));
    double slot_ms = 0.0;
    int i;

    for (i = 0; i < self->group_count; i++) {
        slot_ms += self->groups[i].slot_ms;
    }
    for (i = 0; i < self->group_count; i++) {
        load_group *group = &self->groups[i];
        g_array_append_vals(all, group->ratios->data, group->ratios->len);
        printf("group %s jobs %" G_GUINT64_FORMAT
               " done %u failed %" G_GUINT64_FORMAT
               " refused %" G_GUINT64_FORMAT
               " share %.3f ratio_mean %.3f p50 %.3f p99 %.3f\n",
               group->name, group->sent, group->ratios->len, group->failed,
               group->refused, slot_ms == 0.0 ? 0.0 : group->slot_ms / slot_ms,
               mean(group->ratios), percentile(group->ratios, 0.5),
               percentile(group->ratios, 0.99));
    }
    printf("all jobs_done %u tasks %" G_GUINT64_FORMAT
           " resent %" G_GUINT64_FORMAT " ratio_mean %.3f p50 %.3f p99 %.3f\n",
           all->len, self->tasks, self->resent, mean(all),
           percentile(all, 0.5), percentile(all, 0.99));
    g_array_unref(all);
}

static int
parse_groups(load *self, const char *text)
{
    char **parts = g_strsplit(text, ",", MAX_GROUPS);
    int i;

    for (i = 0; parts[i] != NULL; i++) {
        char **pair = g_strsplit(parts[i], ":", 2);
        g_strlcpy(self->groups[i].name, pair[0], 65);
        self->groups[i].share = pair[1] == NULL ? 0 : atof(pair[1]) / 100.0;
        self->groups[i].ratios = g_array_new(FALSE, FALSE, sizeof(double));
        g_strfreev(pair);
    }
    self->group_count = i;
    g_strfreev(parts);
    return i;
}

int
main(int argc, char **argv)
{
    load self = {.loop = uv_default_loop()};
    const char *resend = g_getenv("LOAD_RESEND_MS");
    int i;

    if (argc < 7) {
        fprintf(stderr, "usage: load SEED SECONDS SLOTS UTILISATION GROUPS "
                        "ENTRY...\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    self.rand = g_rand_new_with_seed((guint32)atoi(argv[1]));
    self.end_ms = now_ms() + (int64_t)atoi(argv[2]) * 1000;
    self.slots = atof(argv[3]);
    self.work_per_ms = self.slots * atof(argv[4]) / 100.0;
    self.resend_ms = resend == NULL ? 0 : atoi(resend);
    parse_groups(&self, argv[5]);
    for (i = 6; i < argc && self.entry_count < MAX_ENTRIES; i++) {
        Address_Parse(argv[i], &self.entries[self.entry_count++]);
    }
    self.http = HttpClient_New(self.loop);
    uv_timer_init(self.loop, &self.timer);
    self.timer.data = &self;
    uv_timer_start(&self.timer, on_arrival, 0, 0);
    do {
        uv_run(self.loop, UV_RUN_ONCE);
    } while (now_ms() < self.end_ms || self.jobs_open > 0);
    print_report(&self);
    return 0;
}

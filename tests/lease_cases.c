/* Runs the case files in tests/cases for the modules of leased jobs and for
 * the parsers of their inputs in platform/. */

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "lease/health.h"
#include "lease/lease_timing.h"
#include "lease/rto_estimator.h"
#include "platform/caller_api.h"
#include "platform/hall_records.h"
#include "platform/routes_record.h"
#include "platform/upstream_api.h"
#include "tests/case_table.h"

static int
number(char **words, guint index)
{
    return index < g_strv_length(words) ? atoi(words[index]) : 0;
}

static const char *
verb_text(CallerApi_Verb verb)
{
    static const char *const texts[] = {
        [CALLER_API_SUBMIT] = "submit", [CALLER_API_GET_STATE] = "look",
        [CALLER_API_CANCEL] = "cancel", [CALLER_API_COUNT] = "count",
        [CALLER_API_UNKNOWN] = "other",
    };

    return texts[verb];
}

/* Lines: METHOD PATH [DEADLINE]. */
static void
run_request(const char *input, GString *output)
{
    char **lines = CaseTable_Lines(input);
    guint i;

    for (i = 0; lines[i] != NULL; i++) {
        char **words = g_strsplit(lines[i], " ", 0);
        CallerApi_RawRequest raw = {
            .method = words[0],
            .path = words[1],
            .deadline = g_strv_length(words) > 2 ? words[2] : NULL};
        CallerApi_Request request;
        CallerApi_ParseRequest(&raw, &request);
        g_string_append_printf(output, "%s %016" PRIx64 " %lld\n",
                               verb_text(request.verb), request.job,
                               (long long)request.deadline_ms);
        g_strfreev(words);
    }
    g_strfreev(lines);
}

static void
print_step(const LeasedJob_Step *step, GString *output)
{
    g_string_append_printf(output, "%u tasks, %u/%u/%u, %u ms, after %" PRIx64,
                           step->count, step->need.cpu_milli,
                           step->need.memory_mb, step->need.accelerators,
                           step->estimate_ms, step->depends_on);
    if (step->most_together > 0) {
        g_string_append_printf(output, ", %u together", step->most_together);
    }
    if (step->requirement[0] != '\0') {
        g_string_append_printf(output, ", needs %s", step->requirement);
    }
    if (step->affinity[0] != '\0') {
        g_string_append_printf(output, ", data at %s", step->affinity);
    }
    g_string_append_c(output, '\n');
}

/* The whole input is a request body. */
static void
run_job(const char *input, GString *output)
{
    CallerApi_RawRequest raw = {.body = input, .length = strlen(input)};
    Status status = {ERR_OK, ""};
    LeasedJob job;
    uint32_t i;

    CallerApi_ParseJob(&raw, 1, &job, &status);
    if (status.kind != ERR_OK) {
        g_string_append_printf(output, "%s: %s\n", Err_Text(status.kind),
                               status.message);
        return;
    }
    for (i = 0; i < job.step_count; i++) {
        print_step(&job.steps[i], output);
    }
    LeasedJob_CheckSupported(&job, &status);
    g_string_append_printf(output, "spec \"%s\", chain %u ms, %s%s%s\n",
                           job.spec, LeasedJob_CriticalPathMs(&job),
                           status.kind == ERR_OK ? "served" : "refused",
                           status.kind == ERR_OK ? "" : ": ", status.message);
    LeasedJob_Clear(&job);
}

/* The first line is the record; lines "match AUTHORITY PATH" follow. */
static void
run_routes(const char *input, GString *output)
{
    char **lines = CaseTable_Lines(input);
    Status status = {ERR_OK, ""};
    Route_Table *table = RoutesRecord_Parse(lines[0], strlen(lines[0]),
                                            &status);
    guint i;

    if (table == NULL) {
        g_string_append_printf(output, "%s: %s\n", Err_Text(status.kind),
                               status.message);
        g_strfreev(lines);
        return;
    }
    for (i = 1; lines[i] != NULL; i++) {
        char **words = g_strsplit(lines[i], " ", 0);
        const Route *route = Route_FindByPrefix(table, words[1], words[2]);
        if (route == NULL) {
            g_string_append(output, "no queue\n");
        }
        else {
            g_string_append_printf(
                output, "%s of %s, priority %d, %u attempts, %u%% + %u ms\n",
                route->name, route->service, route->priority,
                route->max_attempts, route->stretch_percent, route->target_ms);
        }
        g_strfreev(words);
    }
    g_strfreev(lines);
    Route_FreeTable(table);
}

/* The first line is METHOD PATH, the rest is the body. */
static void
run_heartbeat(const char *input, GString *output)
{
    const char *body = strchr(input, '\n') + 1;
    char *first = g_strndup(input, (gsize)(body - input - 1));
    char **words = g_strsplit(first, " ", 2);
    Status status = {ERR_OK, ""};
    UpstreamApi_Heartbeat heartbeat;
    char *instance;

    switch (UpstreamApi_ParseCall(words[0], words[1], &instance)) {
    case UPSTREAM_API_UNKNOWN:
        g_string_append(output, "unknown call\n");
        break;
    case UPSTREAM_API_DEREGISTER:
        g_string_append_printf(output, "%s leaves\n", instance);
        break;
    case UPSTREAM_API_HEARTBEAT:
        if (UpstreamApi_ParseHeartbeat(instance, body, strlen(body),
                                       &heartbeat, &status) != ERR_OK) {
            g_string_append_printf(output, "%s: %s\n", Err_Text(status.kind),
                                   status.message);
        }
        else {
            g_string_append_printf(
                output,
                "%s of %s, %s, %u/%u/%u, clock %lld, heartbeat %llu, born "
                "%lld\n",
                heartbeat.upstream.instance, heartbeat.upstream.service,
                heartbeat.upstream.reported_state == RUNNER_UPSTREAM_READY
                    ? "ready"
                    : "draining",
                heartbeat.upstream.capacity.cpu_milli,
                heartbeat.upstream.capacity.memory_mb,
                heartbeat.upstream.capacity.accelerators,
                (long long)heartbeat.upstream.clock_ms,
                (unsigned long long)heartbeat.upstream.sequence,
                (long long)heartbeat.upstream.born_ms);
        }
        UpstreamApi_FreeHeartbeat(&heartbeat);
        break;
    }
    g_free(instance);
    g_strfreev(words);
    g_free(first);
}

/* Invalid heartbeat bodies that a text file cannot hold. */
static void
test_invalid_bodies(void)
{
    static const char not_utf8[] =
        "{\"service\":\"\xff\xfe\",\"state\":\"ready\",\"seq\":1,"
        "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}";
    static const char with_nul[] =
        "{\"service\":\"a\0b\",\"state\":\"ready\",\"seq\":1,"
        "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}";
    char *deep = g_strnfill(100000, '[');
    char *large = g_strnfill(1000000, 'x');
    char *long_name = g_strdup_printf(
        "{\"service\":\"%s\",\"state\":\"ready\",\"seq\":1,"
        "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
        large);
    const struct {
        const char *body;
        size_t length;
    } bodies[] = {
        {not_utf8, sizeof(not_utf8) - 1},
        {with_nul, sizeof(with_nul) - 1},
        {deep, strlen(deep)},
        {large, strlen(large)},
        {long_name, strlen(long_name)},
        {"", 0},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
        Status status = {ERR_OK, ""};
        UpstreamApi_Heartbeat heartbeat;
        g_assert_true(UpstreamApi_ParseHeartbeat("i-1", bodies[i].body,
                                                 bodies[i].length, &heartbeat,
                                                 &status) != ERR_OK);
        g_assert_true(status.message[0] != '\0');
        g_assert_true(
            UpstreamApi_ParseStartTime(bodies[i].body, bodies[i].length) == 0);
        UpstreamApi_FreeHeartbeat(&heartbeat);
    }
    g_free(deep);
    g_free(large);
    g_free(long_name);
}

/* The first line is the HTTP status, the rest is the body of the upstream's
 * answer to a poll. */
static void
run_listing(const char *input, GString *output)
{
    const char *body = strchr(input, '\n') + 1;
    HttpClient_Answer answer = {.end = HTTP_CLIENT_ANSWERED,
                                .status = atoi(input),
                                .body = body,
                                .length = strlen(body)};
    UpstreamApi_Listing listing;
    uint32_t i;

    UpstreamApi_ParseListing(&answer, &listing);
    g_string_append_printf(output, "end %d at %lld\n",
                           (int)listing.listing.end,
                           (long long)listing.listing.clock_ms);
    for (i = 0; i < listing.listing.running_count; i++) {
        const Runner_ActiveRun *row = &listing.listing.running[i];
        g_string_append_printf(
            output, "runs %016" PRIx64 ".%u.%u.%u %u %u%%\n",
            (uint64_t)row->id.job, row->id.occurrence, row->id.step,
            row->id.index, row->id.run, row->percent);
    }
    for (i = 0; i < listing.listing.ended_count; i++) {
        const Runner_EndedRun *row = &listing.listing.ended[i];
        g_string_append_printf(
            output, "%" PRIu64 " %016" PRIx64 ".%u.%u.%u %u end %d\n",
            row->number, (uint64_t)row->id.job, row->id.occurrence,
            row->id.step, row->id.index, row->id.run, (int)row->end);
    }
    UpstreamApi_FreeListing(&listing);
}

static void
progress_line(Health *health, char **words, GString *output)
{
    Health_Progress runs[16];
    uint32_t count = 0;
    guint i;

    for (i = 1; words[i] != NULL; i++) {
        char **parts = g_strsplit(words[i], "/", 4);
        runs[count].job = (uint64_t)number(parts, 0);
        runs[count].elapsed_ms = (uint32_t)number(parts, 1);
        runs[count].percent = (uint32_t)number(parts, 2);
        runs[count].estimate_ms = (uint32_t)number(parts, 3);
        count++;
        g_strfreev(parts);
    }
    g_string_append_printf(output, "slow %u\n",
                           Health_ApplyProgress(health, runs, count));
}

/*
 * Lines: "good RAN ESTIMATE", "bad MS JOB", "stalled MS", "started MS",
 * "admits MS RUNNING", "progress JOB/ELAPSED/PERCENT/ESTIMATE...",
 * "fade MS", "show".
 */
static void
run_health(const char *input, GString *output)
{
    char **lines = CaseTable_Lines(input);
    Health health = Health_New();
    guint i;

    for (i = 0; lines[i] != NULL; i++) {
        char **words = g_strsplit(lines[i], " ", 0);
        const char *verb = words[0];
        if (strcmp(verb, "good") == 0) {
            Health_RecordSuccess(&health, (uint32_t)number(words, 1),
                                 (uint32_t)number(words, 2));
        }
        else if (strcmp(verb, "bad") == 0) {
            Health_RecordFailure(&health, number(words, 1),
                                 (uint64_t)number(words, 2));
        }
        else if (strcmp(verb, "stalled") == 0) {
            Health_RecordStall(&health, number(words, 1));
        }
        else if (strcmp(verb, "started") == 0) {
            Health_RecordStart(&health, number(words, 1));
        }
        else if (strcmp(verb, "admits") == 0) {
            bool admits = Health_Admits(&health, number(words, 1),
                                        (uint32_t)number(words, 2));
            g_string_append(output, admits ? "admits\n" : "refuses\n");
        }
        else if (strcmp(verb, "progress") == 0) {
            progress_line(&health, words, output);
        }
        else if (strcmp(verb, "fade") == 0) {
            Health_Decay(&health, number(words, 1));
        }
        else {
            g_string_append_printf(output, "pace %u%s\n", health.pace_percent,
                                   health.trial ? ", on trial" : "");
        }
        g_strfreev(words);
    }
    g_strfreev(lines);
}

/* Lines: RESUBMIT HOLD_MAX STOP TICK. */
static void
run_term(const char *input, GString *output)
{
    char **lines = CaseTable_Lines(input);
    guint i;

    for (i = 0; lines[i] != NULL; i++) {
        char **words = g_strsplit(lines[i], " ", 0);
        LeaseTiming_Bounds bounds = {number(words, 0), number(words, 1),
                                     number(words, 2), number(words, 3)};
        LeaseTiming timing;
        bool fits = LeaseTiming_Derive(&bounds, &timing);
        g_string_append_printf(
            output, "lease %lld hold %lld over after %lld%s\n",
            (long long)timing.lease_ms, (long long)timing.hold_ms,
            (long long)LeaseTiming_CertainEnd(&timing, 0),
            fits ? "" : ", too short");
        g_strfreev(words);
    }
    g_strfreev(lines);
}

/* Lines: "take MS TIMES", "hit TIMES", "miss TIMES", "show". */
static void
run_answer_time(const char *input, GString *output)
{
    char **lines = CaseTable_Lines(input);
    RtoEstimator times = {0};
    guint i;
    int j;

    for (i = 0; lines[i] != NULL; i++) {
        char **words = g_strsplit(lines[i], " ", 0);
        const char *verb = words[0];
        for (j = 0; strcmp(verb, "take") == 0 && j < number(words, 2); j++) {
            RtoEstimator_AddSample(&times, number(words, 1));
        }
        for (j = 0; strcmp(verb, "hit") == 0 && j < number(words, 1); j++) {
            RtoEstimator_OnAnswered(&times);
        }
        for (j = 0; strcmp(verb, "miss") == 0 && j < number(words, 1); j++) {
            RtoEstimator_OnTimeout(&times);
        }
        if (strcmp(verb, "show") == 0) {
            g_string_append_printf(
                output, "%d ms, %u permille lost%s\n",
                (int)RtoEstimator_TimeoutMs(&times), times.lost_permille,
                RtoEstimator_IsLossy(&times) ? ", lossy" : "");
        }
        g_strfreev(words);
    }
    g_strfreev(lines);
}

static gint
compare_texts(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void
print_halls(HallRecords *halls, int end, GString *output)
{
    lc_closures message;
    u_int i;

    HallRecords_FillMessage(halls, (uint64_t)end, &message);
    if (message.halls.halls_len > 1) {
        qsort((void *)message.halls.halls_val, message.halls.halls_len,
              sizeof(char *), compare_texts);
    }
    g_string_append_printf(output, "as of %lld:", (long long)message.as_of);
    for (i = 0; i < message.halls.halls_len; i++) {
        g_string_append_printf(output, " %s", message.halls.halls_val[i]);
    }
    g_string_append_c(output, '\n');
}

/* Lines: "put OFFSET KEY VALUE", "drop OFFSET KEY", "begin", "know END HALL",
 * "read END". */
static void
run_halls(const char *input, GString *output)
{
    char **lines = CaseTable_Lines(input);
    HallRecords *halls = HallRecords_New();
    guint i;

    /* Invalid records log warnings, which must not abort the test. */
    g_log_set_always_fatal(G_LOG_FATAL_MASK);
    for (i = 0; lines[i] != NULL; i++) {
        char **words = g_strsplit(lines[i], " ", 4);
        const char *verb = words[0];
        if (strcmp(verb, "put") == 0 || strcmp(verb, "drop") == 0) {
            const char *value = words[3] == NULL ? "" : words[3];
            KeyedRecord record = {.offset = (uint64_t)number(words, 1),
                                  .key = words[2],
                                  .key_length = strlen(words[2]),
                                  .value = (const uint8_t *)value,
                                  .length = strlen(value)};
            if (!HallRecords_Apply(halls, &record)) {
                g_string_append_printf(output, "not about a hall: %s\n",
                                       words[2]);
            }
        }
        else if (strcmp(verb, "begin") == 0) {
            HallRecords_Reset(halls);
        }
        else if (strcmp(verb, "know") == 0) {
            lc_closures known = {.as_of = number(words, 1)};
            known.halls.halls_len = 1;
            known.halls.halls_val = &words[2];
            HallRecords_SetKnown(halls, &known);
        }
        else {
            print_halls(halls, number(words, 1), output);
        }
        g_strfreev(words);
    }
    HallRecords_Free(halls);
    g_strfreev(lines);
}

static const CaseTable_Kind kinds[] = {
    {"request", run_request},
    {"job", run_job},
    {"routes", run_routes},
    {"beat", run_heartbeat},
    {"foreign_beat", run_heartbeat},
    {"listing", run_listing},
    {"health", run_health},
    {"term", run_term},
    {"answer_time", run_answer_time},
    {"halls", run_halls},
    {NULL, NULL},
};

int
main(int argc, char **argv)
{
    test_invalid_bodies();
    return CaseTable_Main(argc, argv, kinds);
}

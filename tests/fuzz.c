/*
 * Fuzz test of every decoder of outside input: requests of callers and
 * upstreams, answers of upstreams, route, hall and durable job records, RPC
 * records, settings.
 *
 * It needs no fuzzing engine: each file of the corpus and many mutations of
 * it, by a fixed seed, are passed to each decoder. Any result is accepted;
 * faults are found by the sanitizers. Usage: fuzz DIRECTORY ROUNDS
 */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/random.h"
#include "daemon/options.h"
#include "lease/durable_log.h"
#include "platform/caller_api.h"
#include "platform/hall_records.h"
#include "platform/hosts_client.h"
#include "platform/keyed_records.h"
#include "platform/routes_record.h"
#include "platform/upstream_api.h"
#include "wire/msg.h"

#define MAX_EDITS 8

typedef void (*decoder_fn)(const char *bytes, size_t length);

static void
decode_job(const char *bytes, size_t length)
{
    CallerApi_RawRequest raw = {.body = bytes, .length = length};
    Status status = {ERR_OK, ""};
    LeasedJob job;

    if (CallerApi_ParseJob(&raw, 1, &job, &status) == ERR_OK) {
        LeasedJob_CheckSupported(&job, &status);
        LeasedJob_CriticalPathMs(&job);
        LeasedJob_Clear(&job);
    }
}

static void
decode_request(const char *bytes, size_t length)
{
    char *text = g_strndup(bytes, length);
    CallerApi_RawRequest raw = {
        .method = "POST", .path = text, .deadline = text};
    CallerApi_Request request;

    CallerApi_ParseRequest(&raw, &request);
    g_free(text);
}

static void
decode_routes(const char *bytes, size_t length)
{
    Status status = {ERR_OK, ""};
    Route_Table *table = RoutesRecord_Parse(bytes, length, &status);

    if (table != NULL) {
        Route_FindByPrefix(table, "a.example:1", "/x/y/z");
        Route_FreeTable(table);
    }
}

static void
decode_heartbeat(const char *bytes, size_t length)
{
    Status status = {ERR_OK, ""};
    UpstreamApi_Heartbeat heartbeat;

    UpstreamApi_ParseHeartbeat("i-1", bytes, length, &heartbeat, &status);
    UpstreamApi_FreeHeartbeat(&heartbeat);
}

static void
decode_durable_log(const char *bytes, size_t length)
{
    static const char key[] = "p0000000000000007.3e8";
    DurableLog *log = DurableLog_New();
    DurableLog_Record record = {1, key, strlen(key), (const uint8_t *)bytes,
                                length};
    DurableLog_Change change = DurableLog_Apply(log, 1, &record);

    if (change.job != NULL) {
        DurableLog_OwnerOf(log, change.job);
    }
    DurableLog_Free(log);
}

static void
decode_listing(const char *bytes, size_t length)
{
    HttpClient_Answer answer = {.end = HTTP_CLIENT_ANSWERED,
                                .status = 200,
                                .body = bytes,
                                .length = length};
    UpstreamApi_Listing listing;

    UpstreamApi_ParseListing(&answer, &listing);
    UpstreamApi_FreeListing(&listing);
}

static void
apply_record(void *context, const KeyedRecord *record)
{
    HallRecords_Apply(context, record);
}

/* Operators' records of halls: as a page of the newest records, and as read
 * from the log. */
static void
decode_records(const char *bytes, size_t length)
{
    HallRecords *halls = HallRecords_New();
    KeyedRecords_Page page;
    lc_closures closures;

    HallRecords_Reset(halls);
    if (KeyedRecords_DecodePage("keyed.op", NULL, bytes, length, apply_record,
                                halls, &page)) {
        g_free(page.after);
    }
    if (length >= KEYED_RECORDS_HEADER_SIZE) {
        KeyedRecords_DecodeRead((const uint8_t *)bytes, length, 1,
                                apply_record, halls);
    }
    HallRecords_FillMessage(halls, 1, &closures);
    HallRecords_Free(halls);
}

static void
decode_hosts(const char *bytes, size_t length)
{
    GArray *none = g_array_new(FALSE, FALSE, sizeof(Hosts_Row));
    GArray *rows = Hosts_ParseList(bytes, length, none);

    if (rows != NULL) {
        g_array_unref(rows);
    }
    g_array_unref(none);
}

static void
sum_lengths(void *context, const HallRecords_Row *row)
{
    *(size_t *)context += strlen(row->hall) + strlen(row->by) +
                          strlen(row->since);
}

static void
decode_halls(const char *bytes, size_t length)
{
    Status status = {ERR_OK, ""};
    char *after = NULL;
    size_t sum = 0;

    HallRecords_ParsePage(bytes, length, sum_lengths, &sum, &after, &status);
    g_free(after);
}

static void
decode_upstream_call(const char *bytes, size_t length)
{
    char *text = g_strndup(bytes, length);
    char *instance;

    UpstreamApi_ParseStartTime(bytes, length);
    UpstreamApi_ParseCall("POST", text, &instance);
    g_free(instance);
    g_free(text);
}

static void
decode_rpc(const char *bytes, size_t length)
{
    Msg_Record record;
    Msg_Reply reply;
    int kind;

    Msg_Decode((const uint8_t *)bytes, length, &record);
    if (record.type == MSG_IS_CALL) {
        Msg_FreeCall(&record.call);
    }
    for (kind = 0; kind < MSG_COUNT; kind++) {
        if (Msg_DecodeReply((Msg_Kind)kind, (const uint8_t *)bytes, length,
                            &reply)) {
            Msg_FreeReply(&reply);
        }
    }
}

static void
decode_settings(const char *bytes, size_t length)
{
    char *name = NULL;
    int fd = g_file_open_tmp("levercove-XXXXXX", &name, NULL);
    char *errors = NULL;
    Options options;

    if (fd >= 0 && write(fd, bytes, length) == (ssize_t)length) {
        Options_Load(name, &options, &errors);
    }
    close(fd);
    unlink(name);
    g_free(errors);
    g_free(name);
}

static const decoder_fn decoders[] = {
    decode_job,     decode_request,     decode_routes,        decode_heartbeat,
    decode_listing, decode_durable_log, decode_rpc,           decode_settings,
    decode_records, decode_halls,       decode_upstream_call, decode_hosts,
};

/* Appends or removes a byte, flips a bit, copies a piece to the end, or
 * truncates. */
static void
mutate(GByteArray *bytes, uint64_t *random)
{
    guint offset = bytes->len == 0 ? 0
                                   : (guint)(Random_Next(random) % bytes->len);
    guint8 byte = (guint8)Random_Next(random);

    switch (Random_Next(random) % 5) {
    case 0:
        g_byte_array_append(bytes, &byte, 1);
        break;
    case 1:
        if (bytes->len > 0) {
            g_byte_array_remove_index(bytes, offset);
        }
        break;
    case 2:
        if (bytes->len > 0) {
            bytes->data[offset] ^= (guint8)(1U << (byte % 8));
        }
        break;
    case 3:
        if (bytes->len > 0) {
            GByteArray *copy = g_byte_array_new();
            g_byte_array_append(copy, bytes->data + offset,
                                MIN(bytes->len - offset, 32));
            g_byte_array_append(bytes, copy->data, copy->len);
            g_byte_array_unref(copy);
        }
        break;
    default:
        g_byte_array_set_size(bytes, offset);
        break;
    }
}

static void
run_decoders(const GByteArray *bytes)
{
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(decoders); i++) {
        /* A separate allocation, so that sanitizers find a read past its end.
         */
        char *copy = bytes->len == 0 ? g_malloc(1)
                                     : g_memdup2(bytes->data, bytes->len);
        decoders[i](copy, bytes->len);
        g_free(copy);
    }
}

static void
fuzz_file(const char *file, int rounds, uint64_t *random)
{
    char *text = NULL;
    gsize length = 0;
    int round;

    if (!g_file_get_contents(file, &text, &length, NULL)) {
        fprintf(stderr, "fuzz: cannot read %s\n", file);
        exit(1);
    }
    for (round = 0; round < rounds; round++) {
        GByteArray *bytes = g_byte_array_new();
        int edits = round == 0 ? 0
                               : 1 + (int)(Random_Next(random) % MAX_EDITS);
        g_byte_array_append(bytes, (const guint8 *)text, (guint)length);
        while (edits-- > 0) {
            mutate(bytes, random);
        }
        run_decoders(bytes);
        g_byte_array_unref(bytes);
    }
    g_free(text);
}

int
main(int argc, char **argv)
{
    uint64_t random = Random_Seed(20261202);
    GDir *directory = argc == 3 ? g_dir_open(argv[1], 0, NULL) : NULL;
    const char *name;
    int files = 0;

    if (directory == NULL) {
        fprintf(stderr, "usage: fuzz DIRECTORY ROUNDS\n");
        return 2;
    }
    while ((name = g_dir_read_name(directory)) != NULL) {
        char *file = g_build_filename(argv[1], name, NULL);
        fuzz_file(file, atoi(argv[2]), &random);
        g_free(file);
        files++;
    }
    g_dir_close(directory);
    printf("%d files, %s rounds each\n", files, argv[2]);
    return files == 0;
}

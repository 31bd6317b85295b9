/* What a compacted topic of the store tells as read, when its two readers
 * overlap. The store is played by hand: requests wait until answered. */
#include <glib.h>
#include <string.h>
#include <uv.h>

#include "platform/keyed_log.h"
#include "tests/test_table.h"

#define IDLE_WAIT_MS 20000
#define STATUS_OK 200
#define STATUS_GONE 410
/* Index of each read in the fixture, after begin_with_both_reads. */
#define REGULAR 0
#define IMMEDIATE 1

typedef struct {
    char *path;
    HttpClient_Done done;
    void *context;
} pending_read;

typedef struct {
    uv_loop_t loop;
    KeyedLog *log;
    GArray *reads; /* pending_read, oldest first */
    unsigned begun;
    unsigned read;
} fixture;

static void
on_send(void *context, const HttpClient_Request *request, HttpClient_Done done,
        void *done_context)
{
    fixture *f = context;
    pending_read row = {g_strdup(request->path), done, done_context};

    g_array_append_val(f->reads, row);
}

static void
on_record(void *context, const KeyedRecord *record)
{
    (void)context;
    (void)record;
}

static void
on_begin(void *context)
{
    ((fixture *)context)->begun++;
}

static void
on_read(void *context, int64_t asked_ms, uint64_t end)
{
    (void)asked_ms;
    (void)end;
    ((fixture *)context)->read++;
}

static const KeyedLog_Ports ports = {
    .send = on_send, .record = on_record, .begin = on_begin, .read = on_read};

/* Runs until `count` reads wait for an answer. */
static void
await_reads(fixture *f, guint count)
{
    while (f->reads->len < count && uv_loop_alive(&f->loop)) {
        uv_run(&f->loop, UV_RUN_ONCE);
    }
    g_assert_cmpuint(f->reads->len, ==, count);
}

/* Answers the read at `index` of those that wait. */
static void
answer_read(fixture *f, guint index, int status, const char *body,
            size_t length)
{
    pending_read row = g_array_index(f->reads, pending_read, index);
    HttpClient_Answer answer = {.end = HTTP_CLIENT_ANSWERED,
                                .status = status,
                                .body = body,
                                .length = length};

    g_array_remove_index(f->reads, index);
    row.done(row.context, &answer);
    g_free(row.path);
}

/* Answers a read in order: the log ends at `end`, with no record to read. */
static void
answer_no_records(fixture *f, guint index, uint8_t end)
{
    char body[16] = {0};

    body[7] = (char)end;
    answer_read(f, index, STATUS_OK, body, sizeof(body));
}

/* Answers a read of the newest records with a page that holds one of them. */
static void
answer_page(fixture *f, guint index, const char *key, bool more, unsigned end)
{
    char *body = g_strdup_printf(
        "{\"items\":[{\"key\":\"%s\",\"value\":\"eA==\",\"offset\":1}],"
        "\"more\":%s,\"end\":%u}",
        key, more ? "true" : "false", end);

    g_assert_nonnull(strstr(g_array_index(f->reads, pending_read, index).path,
                            "/log-newest"));
    answer_read(f, index, STATUS_OK, body, strlen(body));
    g_free(body);
}

static void
begin(fixture *f)
{
    memset(f, 0, sizeof(*f));
    uv_loop_init(&f->loop);
    f->reads = g_array_new(FALSE, TRUE, sizeof(pending_read));
    f->log = KeyedLog_Open(&f->loop, "jobs", "writer", &ports, f);
}

/* The log has been read up to its end at offset 2; the regular read waits for
 * further records, the one without delay has just been sent. */
static void
begin_with_both_reads(fixture *f)
{
    begin(f);
    KeyedLog_SetIdle(f->log, true, IDLE_WAIT_MS);
    await_reads(f, 1);
    answer_page(f, 0, "a", false, 2);
    await_reads(f, 1);
    answer_no_records(f, 0, 2);
    await_reads(f, 1);
    g_assert_cmpuint(f->begun, ==, 1);
    g_assert_cmpuint(f->read, ==, 1);
    KeyedLog_SetIdle(f->log, false, 0);
    await_reads(f, 2);
}

/* The store has dropped the records that one of both reads asks for: that
 * reader asks for the newest ones (1), the other read (0) still waits. */
static void
begin_newest_read(fixture *f, guint reader)
{
    begin_with_both_reads(f);
    answer_read(f, reader, STATUS_GONE, "{}", 2);
    await_reads(f, 2);
}

/* The log can't be freed, nor can its loop; what waits is left unanswered. */
static void
end(fixture *f)
{
    while (f->reads->len > 0) {
        g_free(g_array_index(f->reads, pending_read, 0).path);
        g_array_remove_index(f->reads, 0);
    }
    g_array_unref(f->reads);
}

/* Claims judged in the middle of the newest records: a task runs twice. */
static void
test_read_beside_newest_records(void)
{
    static fixture f;

    begin_newest_read(&f, REGULAR);
    answer_page(&f, 1, "a", true, 9);
    await_reads(&f, 2);
    answer_no_records(&f, 0, 2);
    g_assert_cmpuint(f.read, ==, 1);
    await_reads(&f, 1);
    answer_page(&f, 0, "b", false, 9);
    await_reads(&f, 1);
    answer_no_records(&f, 0, 9);
    g_assert_cmpuint(f.read, ==, 2);
    end(&f);
}

/* Likewise, between the newest records and those appended meanwhile. */
static void
test_read_after_newest_records(void)
{
    static fixture f;

    begin_newest_read(&f, REGULAR);
    answer_page(&f, 1, "a", false, 9);
    await_reads(&f, 2);
    answer_no_records(&f, 0, 2);
    g_assert_cmpuint(f.read, ==, 1);
    await_reads(&f, 1);
    answer_no_records(&f, 0, 9);
    g_assert_cmpuint(f.read, ==, 2);
    end(&f);
}

/* Claims judged by key, as the read without delay did not tell that it reads
 * the newest records: a task runs twice. */
static void
test_immediate_read_of_newest_records(void)
{
    static fixture f;

    begin_newest_read(&f, IMMEDIATE);
    g_assert_cmpuint(f.begun, ==, 2);
    answer_page(&f, 1, "a", true, 9);
    await_reads(&f, 2);
    answer_no_records(&f, 0, 2);
    g_assert_cmpuint(f.read, ==, 1);
    await_reads(&f, 2);
    answer_page(&f, 0, "b", false, 9);
    await_reads(&f, 2);
    answer_no_records(&f, 1, 9);
    g_assert_cmpuint(f.read, ==, 2);
    end(&f);
}

static const TestTable_Row tests[] = {
    {"/keyed log/a read beside one of the newest records is not all",
     test_read_beside_newest_records},
    {"/keyed log/a read after the newest records is not all",
     test_read_after_newest_records},
    {"/keyed log/an immediate read of the newest records says so",
     test_immediate_read_of_newest_records},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, tests, G_N_ELEMENTS(tests));
}

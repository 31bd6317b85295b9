/*
 * Unit tests of the queue that a job belongs to after changes of the route
 * table: which queue of the table it is, which requests are about the job,
 * and what records and messages of earlier and later versions tell of it.
 */

#include <glib.h>
#include <string.h>

#include "lease/durable_log.h"
#include "lease/queue_counts.h"
#include "lease/route_table.h"
#include "tests/entry_fixture.h"
#include "tests/test_table.h"

#define HOST "site.example"
#define JOB 7
#define OTHER_ENTRY 0x7f0000021b59

static const lc_node owner = {0x7f0000011b59, 1001};

/* ---- the queue in a table ---- */

/* A table with the queues of a text of the form "name prefix, name prefix",
 * all at one host. The companions of the fixture run their tasks. */
static Route_Table *
table_at(const char *host, const char *text)
{
    char **rows = g_strsplit(text, ", ", -1);
    Route_Table *table = Route_NewTable(1);
    guint i;

    for (i = 0; rows[i] != NULL && rows[i][0] != '\0'; i++) {
        char **words = g_strsplit(rows[i], " ", 2);
        Route *route = Route_Add(table);
        route->name = g_strdup(words[0]);
        route->authority = g_strdup(host);
        route->path_prefix = g_strdup(words[1]);
        route->service = g_strdup("service");
        route->max_attempts = 2;
        g_strfreev(words);
    }
    g_strfreev(rows);
    return table;
}

static Route_Table *
table_of(const char *text)
{
    return table_at(HOST, text);
}

static uint64_t
address_of(const char *prefix)
{
    return QueueRef_Digest(HOST, prefix, strlen(prefix));
}

/* A job that was submitted to the queue `a` at /a/, after a change. */
typedef struct {
    const char *name;
    const char *table;
    const char *belongs_to; /* "": no queue of the table */
    Route_Match match;
    const char *known_at; /* addresses at which a request is about the job */
    const char *unknown_at;
} change_case;

static const change_case changes[] = {
    {"nothing", "a /a/, b /b/", "a", ROUTE_MATCH_ADDRESS, "/a/", "/b/"},
    {"another name", "c /a/, b /b/", "c", ROUTE_MATCH_ADDRESS, "/a/", "/b/"},
    {"another prefix", "a /c/, b /b/", "a", ROUTE_MATCH_NAME, "/c/", "/b/"},
    {"exchanged names", "b /a/, a /b/", "b", ROUTE_MATCH_ADDRESS, "/a/",
     "/b/"},
    {"another prefix, and a new queue at the former one", "a /c/, d /a/", "d",
     ROUTE_MATCH_ADDRESS, "/a/", "/c/"},
    {"removed", "b /b/", "", ROUTE_MATCH_NONE, "", "/b/"},
    {"removed, a shorter prefix covers its address", "b /b/, all /", "",
     ROUTE_MATCH_NONE, "/a/", "/b/ /"},
    {"a longer prefix beside it", "a /a/, c /a/c/", "a", ROUTE_MATCH_ADDRESS,
     "/a/", "/a/c/"},
    {"two prefixes", "a /c/, a /a/, b /b/", "a", ROUTE_MATCH_ADDRESS,
     "/a/ /c/", "/b/"},
    {"another name and another prefix", "c /c/, b /b/", "", ROUTE_MATCH_NONE,
     "", "/b/ /c/"},
    {"no queue", "", "", ROUTE_MATCH_NONE, "", ""},
};

/* A request as it is served: the queue with the longest prefix of its path,
 * and the address that it was sent to. */
static QueueRef
request_at(Route_Table *table, const char *prefix)
{
    char *path = g_strconcat(prefix, "0123456789abcdef", NULL);
    const Route *route = Route_FindByPrefix(table, HOST ":80", path);
    QueueRef request;

    g_assert_nonnull(route);
    request.name = route->name;
    request.address = address_of(prefix);
    g_free(path);
    return request;
}

static void
check_requests(Route_Table *table, const QueueRef *job, const char *prefixes,
               bool expected)
{
    char **list = g_strsplit(prefixes, " ", -1);
    guint i;

    for (i = 0; list[i] != NULL && list[i][0] != '\0'; i++) {
        QueueRef request = request_at(table, list[i]);
        g_test_message("at %s", list[i]);
        g_assert_cmpint(Route_IsSameQueue(table, &request, job), ==, expected);
    }
    g_strfreev(list);
}

/* Guards against a job that is unknown at its own address, or known to callers
 * of another queue, after a change of its queue's name or prefix. */
static void
test_changes(void)
{
    QueueRef job = {"a", address_of("/a/")};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(changes); i++) {
        Route_Table *table = table_of(changes[i].table);
        Route_Match match;
        const Route *route = Route_FindQueue(table, &job, &match);
        g_test_message("%s", changes[i].name);
        g_assert_cmpstr(route == NULL ? "" : route->name, ==,
                        changes[i].belongs_to);
        g_assert_cmpint(match, ==, changes[i].match);
        check_requests(table, &job, changes[i].known_at, true);
        check_requests(table, &job, changes[i].unknown_at, false);
        Route_FreeTable(table);
    }
}

/* A job whose record is of an earlier version is found by name. */
static void
test_name_alone(void)
{
    Route_Table *table = table_of("a /c/, b /b/");
    QueueRef job = {"a", 0};
    QueueRef gone = {"c", 0};
    Route_Match match;

    g_assert_cmpstr(Route_FindQueue(table, &job, &match)->name, ==, "a");
    g_assert_cmpint(match, ==, ROUTE_MATCH_NAME);
    check_requests(table, &job, "/c/", true);
    check_requests(table, &job, "/b/", false);
    check_requests(table, &gone, "/c/ /b/", false);
    Route_FreeTable(table);
}

/* Guards against other settings of such a job: of several rows with one name,
 * the first one counts, as in earlier versions. */
static void
test_first_row_of_name(void)
{
    Route_Table *table = table_of("a /c/, b /b/, a /d/");
    QueueRef job = {"a", 0};

    g_assert_true(Route_FindQueue(table, &job, NULL) ==
                  g_ptr_array_index(table->routes, 0));
    Route_FreeTable(table);
}

/* Without routes, and of a queue that is gone, names are compared. */
static void
test_without_table(void)
{
    QueueRef job = {"a", address_of("/a/")};
    QueueRef same_name = {"a", 0};
    QueueRef other = {"b", 0};

    g_assert_null(Route_FindQueue(NULL, &job, NULL));
    g_assert_true(Route_IsSameQueue(NULL, &same_name, &job));
    g_assert_false(Route_IsSameQueue(NULL, &other, &job));
}

static void
test_digest(void)
{
    uint64_t digest = QueueRef_Digest("Site.Example:8080", "/a/0123", 3);

    /* The same on every machine, as it is kept in the store. */
    g_assert_cmphex(QueueRef_Digest(HOST, "/a/", 3), ==,
                    UINT64_C(0xbf0cf19d7477da49));
    g_assert_cmphex(digest, ==, address_of("/a/"));
    g_assert_cmphex(address_of("/a"), ==, address_of("/a/"));
    g_assert_cmphex(address_of("/b/"), !=, address_of("/a/"));
    g_assert_cmphex(QueueRef_Digest("other.example", "/a/", 3), !=, digest);
}

/* Guards against jobs that are counted as waiting under their former name. */
static void
test_counts(void)
{
    Route_Table *table = table_of("c /a/, b /b/");
    QueueCounts *counts = QueueCounts_New();
    QueueRef before = {"a", address_of("/a/")};
    QueueRef after = {"c", address_of("/a/")};
    QueueRef other = {"b", address_of("/b/")};
    QueueRef request = request_at(table, "/a/");

    QueueCounts_Add(counts, &before);
    QueueCounts_Add(counts, &before);
    QueueCounts_Add(counts, &after);
    QueueCounts_Add(counts, &other);
    g_assert_cmpuint(g_hash_table_size(counts), ==, 3);
    g_assert_cmpuint(QueueCounts_Get(counts, table, &request), ==, 3);
    g_hash_table_unref(counts);
    Route_FreeTable(table);
}

/* ---- records ---- */

typedef struct {
    DurableLog *log;
    uint64_t offset;
} log_fixture;

static lc_kept_record
new_record(lc_kept_kind kind, const char *name, const char *prefix)
{
    lc_kept_record record = {.job = JOB};
    char *text = (char *)(uintptr_t)name;

    record.body.kind = kind;
    record.queue_address = prefix == NULL ? 0 : address_of(prefix);
    switch (kind) {
    case LC_KEPT_SUBMIT:
        record.body.lc_kept_body_u.submit.owner = owner;
        record.body.lc_kept_body_u.submit.queue = text;
        record.body.lc_kept_body_u.submit.body = (char *)(uintptr_t) "{}";
        break;
    case LC_KEPT_PROGRESS:
        record.body.lc_kept_body_u.progress.queue = text;
        break;
    default:
        record.body.lc_kept_body_u.queue = text;
        break;
    }
    return record;
}

static GByteArray *
encode(const lc_kept_record *record)
{
    GByteArray *bytes = g_byte_array_new();

    Msg_EncodeDurableRecord(record, bytes);
    return bytes;
}

/* What an earlier version has written: it ends after the body. */
static GByteArray *
encode_earlier(const lc_kept_record *record)
{
    GByteArray *bytes = encode(record);

    g_byte_array_set_size(bytes, bytes->len - 8);
    return bytes;
}

static void
apply(log_fixture *fix, lc_kept_kind kind, const char *name,
      const char *prefix)
{
    lc_kept_record record = new_record(kind, name, prefix);
    GByteArray *bytes = prefix == NULL ? encode_earlier(&record)
                                       : encode(&record);
    char key[DURABLE_LOG_KEY_SIZE];
    DurableLog_Record stored = {.offset = fix->offset++,
                                .key = key,
                                .value = bytes->data,
                                .length = bytes->len};

    switch (kind) {
    case LC_KEPT_SUBMIT:
        DurableLog_SubmitKey(JOB, owner, key);
        break;
    case LC_KEPT_PROGRESS:
        DurableLog_ProgressKey(JOB, owner, key);
        break;
    default:
        DurableLog_CancelKey(JOB, key);
        break;
    }
    stored.key_length = strlen(key);
    DurableLog_Apply(fix->log, 0, &stored);
    g_byte_array_unref(bytes);
}

static void
check_job(const log_fixture *fix, const char *name, uint64_t address)
{
    const DurableLog_Job *job = DurableLog_Find(fix->log, JOB);

    g_assert_nonnull(job);
    g_assert_cmpstr(job->queue.name, ==, name);
    g_assert_cmphex(job->queue.address, ==, address);
}

/* Records of one job, in the order in which they are read. */
typedef struct {
    const char *name;
    struct {
        lc_kept_kind kind;
        const char *queue;
        const char *prefix; /* NULL: the record is of an earlier version */
    } records[3];
    const char *queue;
    const char *prefix; /* NULL: not known */
} record_case;

static const record_case record_cases[] = {
    {"a submission", {{LC_KEPT_SUBMIT, "a", "/a/"}}, "a", "/a/"},
    {"a submission of an earlier version",
     {{LC_KEPT_SUBMIT, "a", NULL}},
     "a",
     NULL},
    {"a cancel after another name was given, read first",
     {{LC_KEPT_CANCEL, "b", "/a/"}, {LC_KEPT_SUBMIT, "a", "/a/"}},
     "a",
     "/a/"},
    {"a cancel at another prefix, read first",
     {{LC_KEPT_CANCEL, "a", "/b/"}, {LC_KEPT_SUBMIT, "a", "/a/"}},
     "a",
     "/a/"},
    {"progress without an address, read first",
     {{LC_KEPT_PROGRESS, "a", NULL}, {LC_KEPT_SUBMIT, "a", "/a/"}},
     "a",
     "/a/"},
    {"progress tells the address of an earlier version's job",
     {{LC_KEPT_SUBMIT, "a", NULL}, {LC_KEPT_PROGRESS, "a", "/a/"}},
     "a",
     "/a/"},
    {"the same, read first",
     {{LC_KEPT_PROGRESS, "a", "/a/"}, {LC_KEPT_SUBMIT, "a", NULL}},
     "a",
     "/a/"},
    {"a cancel by another name tells no address",
     {{LC_KEPT_SUBMIT, "a", NULL}, {LC_KEPT_CANCEL, "b", "/b/"}},
     "a",
     NULL},
    {"progress alone, its submission is deleted",
     {{LC_KEPT_PROGRESS, "a", "/a/"}},
     "a",
     "/a/"},
};

/* Guards against a job that gets the queue of a cancel that is read before its
 * submission, and against records of earlier versions that are dropped. */
static void
test_records(void)
{
    size_t i;
    size_t j;

    for (i = 0; i < G_N_ELEMENTS(record_cases); i++) {
        const record_case *test = &record_cases[i];
        log_fixture fix = {DurableLog_New(), 1};
        g_test_message("%s", test->name);
        for (j = 0; j < 3 && test->records[j].queue != NULL; j++) {
            apply(&fix, test->records[j].kind, test->records[j].queue,
                  test->records[j].prefix);
        }
        check_job(&fix, test->queue,
                  test->prefix == NULL ? 0 : address_of(test->prefix));
        DurableLog_Free(fix.log);
    }
}

/* An entry of an earlier version decodes what it knows of a record, and
 * ignores what follows. */
static void
test_earlier_version_reads_record(void)
{
    lc_kept_record record = new_record(LC_KEPT_SUBMIT, "a", "/a/");
    GByteArray *bytes = encode(&record);
    u_quad_t job = 0;
    lc_kept_body body;
    XDR xdr;

    memset(&body, 0, sizeof(body));
    xdrmem_create(&xdr, (char *)bytes->data, bytes->len, XDR_DECODE);
    g_assert_true(xdr_u_quad_t(&xdr, &job));
    g_assert_true(xdr_lc_kept_body(&xdr, &body));
    g_assert_cmpuint(job, ==, JOB);
    g_assert_cmpint(body.kind, ==, LC_KEPT_SUBMIT);
    g_assert_cmpstr(body.lc_kept_body_u.submit.queue, ==, "a");
    g_assert_cmpstr(body.lc_kept_body_u.submit.body, ==, "{}");
    xdr_free((xdrproc_t)xdr_lc_kept_body, &body);
    xdr_destroy(&xdr);
    g_byte_array_unref(bytes);
}

/* Only a record that ends just after its body is of an earlier version. */
static void
test_cut_record(void)
{
    lc_kept_record record = new_record(LC_KEPT_SUBMIT, "a", "/a/");
    GByteArray *bytes = encode(&record);
    lc_kept_record read;
    guint length;

    for (length = 0; length < bytes->len; length++) {
        bool whole = length == bytes->len - 8;
        g_assert_cmpint(Msg_DecodeDurableRecord(bytes->data, length, &read),
                        ==, whole);
        if (whole) {
            Msg_FreeDurableRecord(&read);
        }
    }
    g_byte_array_unref(bytes);
}

/* A job of an earlier version gets the address that its queue has before that
 * changes. */
static void
test_address_is_learned(void)
{
    log_fixture fix = {DurableLog_New(), 1};
    Route_Table *before = table_of("a /a/, b /b/");
    Route_Table *after = table_of("c /a/, b /b/, a /d/");

    apply(&fix, LC_KEPT_SUBMIT, "a", NULL);
    DurableLog_AddAddresses(fix.log, NULL);
    check_job(&fix, "a", 0);
    DurableLog_AddAddresses(fix.log, before);
    check_job(&fix, "a", address_of("/a/"));
    DurableLog_AddAddresses(fix.log, after);
    check_job(&fix, "a", address_of("/a/"));
    Route_FreeTable(before);
    Route_FreeTable(after);
    DurableLog_Free(fix.log);
}

/* ---- messages ---- */

/* Decodes a call that lacks its last bytes, as an earlier version sends it. */
static void
decode_cut(const Msg_Call *call, guint cut, Msg_Record *read)
{
    GByteArray *bytes = g_byte_array_new();

    Msg_EncodeCall(call, 1, bytes);
    Msg_Decode(bytes->data + MSG_MARK_SIZE, bytes->len - MSG_MARK_SIZE - cut,
               read);
    g_assert_cmpint(read->type, ==, MSG_IS_CALL);
    g_byte_array_unref(bytes);
}

static void
test_messages_of_earlier_versions(void)
{
    char *text = (char *)(uintptr_t) "a";
    lc_queue_count count = {text, 3};
    Msg_Call call = {.kind = MSG_WITHDRAW};
    Msg_Record read;

    call.u.withdraw.job = JOB;
    call.u.withdraw.queue = text;
    call.u.withdraw.queue_address = 9;
    decode_cut(&call, 0, &read);
    g_assert_cmpuint(read.call.u.withdraw.queue_address, ==, 9);
    Msg_FreeCall(&read.call);
    decode_cut(&call, 8, &read);
    g_assert_cmpstr(read.call.u.withdraw.queue, ==, "a");
    g_assert_cmpuint(read.call.u.withdraw.queue_address, ==, 0);
    Msg_FreeCall(&read.call);

    memset(&call, 0, sizeof(call));
    call.kind = MSG_FORWARD;
    call.u.forward.queue = text;
    call.u.forward.spec = text;
    decode_cut(&call, 8, &read);
    g_assert_cmpstr(read.call.u.forward.spec, ==, "a");
    Msg_FreeCall(&read.call);

    memset(&call, 0, sizeof(call));
    call.kind = MSG_GOSSIP;
    call.u.gossip.waiting.waiting_len = 1;
    call.u.gossip.waiting.waiting_val = &count;
    decode_cut(&call, 4, &read);
    g_assert_cmpuint(read.call.u.gossip.waiting.waiting_len, ==, 1);
    g_assert_cmpuint(read.call.u.gossip.addresses.addresses_len, ==, 0);
    Msg_FreeCall(&read.call);
}

/* ---- jobs that need not be kept ---- */

static EntryFix entry;
static Route_Table *changed;

/* An entry runs a job of the queue at /q/, whose table then changes. */
static void
open_changed(const char *table)
{
    EntryFix_Open(&entry, owner.address, 0);
    EntryFix_Report(&entry, 0, 4);
    EntryFix_Submit(&entry, JOB, 1, 0);
    g_assert_cmpint(entry.start_count, ==, 1);
    changed = table_at("host", table);
    Dispatcher_SetRoutes(entry.dispatcher, changed);
}

static void
close_changed(void)
{
    EntryFix_Close(&entry);
    Route_FreeTable(changed);
}

static QueueRef
request_to_queue(void)
{
    QueueRef request = {"renamed", QueueRef_Digest("host", "/q/", 3)};

    return request;
}

/* Guards against a DELETE that is answered 410 while the job runs on. */
static void
test_cancel_of_renamed(void)
{
    QueueRef request = request_to_queue();
    QueueRef stranger = {"b", address_of("/b/")};
    bool started = false;

    open_changed("renamed /q/, b /b/");
    g_assert_false(
        Dispatcher_HasOpenJob(entry.dispatcher, JOB, &stranger, &started));
    g_assert_false(
        Dispatcher_OnCancel(entry.dispatcher, entry.now_ms, JOB, &stranger));
    g_assert_true(
        Dispatcher_HasOpenJob(entry.dispatcher, JOB, &request, &started));
    g_assert_true(started);
    g_assert_true(
        Dispatcher_OnCancel(entry.dispatcher, entry.now_ms, JOB, &request));
    g_assert_cmpint(EntryFix_CountCalls(&entry, MSG_HALT), ==, 1);
    close_changed();
}

/* Guards against a job that need not be kept and is cancelled at the end of a
 * durable job with the same ID. */
static void
test_durable_alone(void)
{
    bool started = false;

    open_changed("renamed /q/, b /b/");
    g_assert_false(
        Dispatcher_HasOpenJob(entry.dispatcher, JOB, NULL, &started));
    g_assert_false(
        Dispatcher_OnCancel(entry.dispatcher, entry.now_ms, JOB, NULL));
    g_assert_cmpint(EntryFix_CountCalls(&entry, MSG_HALT), ==, 0);
    close_changed();
}

/* Guards against a job that is refused when it is submitted again. */
static void
test_second_submission_to_renamed(void)
{
    Dispatcher_Submit submit = {
        .request_id = 8, .queue = request_to_queue(), .deadline_ms = 2000};

    open_changed("renamed /q/, b /b/");
    submit.route = g_ptr_array_index(changed->routes, 0);
    submit.job.id = JOB;
    submit.job.spec = g_strdup("");
    Dispatcher_OnSubmit(entry.dispatcher, entry.now_ms, &submit);
    g_assert_cmpint(entry.answer_count, ==, 0);
    g_assert_cmpint(entry.start_count, ==, 1);
    close_changed();
}

/* Guards against a forwarded job that is run by the service of another queue,
 * which has got the name of its own. */
static void
test_forward_after_exchange(void)
{
    static lc_step step = {.count = 1,
                           .need = {1000, 0, 0},
                           .estimate_ms = 100,
                           .requirement = (char *)(uintptr_t) "",
                           .affinity = (char *)(uintptr_t) ""};
    lc_forward_args args = {.from = {OTHER_ENTRY, 5},
                            .target = 77,
                            .number = 1,
                            .deadline_ms = 2000,
                            .job = 9,
                            .queue = (char *)(uintptr_t) "a",
                            .queue_address = address_of("/a/"),
                            .spec = (char *)(uintptr_t) "text"};
    Route_Table *table = table_of("b /a/, a /b/");
    Route *other = g_ptr_array_index(table->routes, 1);
    QueueCounts *counts = QueueCounts_New();
    QueueRef request = {"b", address_of("/a/")};

    /* No companion runs the tasks of the other queue. */
    g_free(other->service);
    other->service = g_strdup("other");
    EntryFix_Open(&entry, owner.address, 0);
    Dispatcher_SetRoutes(entry.dispatcher, table);
    EntryFix_Report(&entry, 0, 4);
    args.steps.steps_len = 1;
    args.steps.steps_val = &step;
    args.valid_until_ms = entry.now_ms + 1000;
    Dispatcher_OnForward(entry.dispatcher, entry.now_ms, 1, &args);
    Dispatcher_AddWaiting(entry.dispatcher, counts);
    g_assert_cmpuint(QueueCounts_Get(counts, table, &request), ==, 1);
    Dispatcher_DispatchWaiting(entry.dispatcher, entry.now_ms);
    g_assert_cmpint(entry.start_count, ==, 1);
    g_hash_table_unref(counts);
    EntryFix_Close(&entry);
    Route_FreeTable(table);
}

static const TestTable_Row rules[] = {
    {"/queue/a job belongs to the queue at its address, or of its name",
     test_changes},
    {"/queue/a job of an earlier version belongs to its queue by name",
     test_name_alone},
    {"/queue/the first of several rows with the name counts",
     test_first_row_of_name},
    {"/queue/names are compared without routes", test_without_table},
    {"/queue/an address has one digest on all machines", test_digest},
    {"/queue/counts go by the queue in force", test_counts},
    {"/queue/the submission tells the queue, in any order of records",
     test_records},
    {"/queue/an earlier version reads the records of this one",
     test_earlier_version_reads_record},
    {"/queue/a record that was cut off is refused", test_cut_record},
    {"/queue/a job of an earlier version gets the address before a change",
     test_address_is_learned},
    {"/queue/messages of earlier versions have no address",
     test_messages_of_earlier_versions},
    {"/queue/a job of a renamed queue is cancelled", test_cancel_of_renamed},
    {"/queue/a durable job of any queue is no other job", test_durable_alone},
    {"/queue/a job of a renamed queue is attached to",
     test_second_submission_to_renamed},
    {"/queue/a forwarded job keeps its queue when names are exchanged",
     test_forward_after_exchange},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

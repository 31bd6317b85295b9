/*
 * Rules of lists in which another writer has left a row that is hard to
 * decode, or that holds what no row may: it costs itself alone.
 */

#include <glib.h>
#include <string.h>

#include "platform/hosts_client.h"
#include "platform/json_rows.h"
#include "platform/keyed_records.h"
#include "platform/upstream_api.h"
#include "tests/test_table.h"

#define DEPTH 100000
#define GOOD_1 "{\"key\":\"k1\",\"value\":\"AA==\",\"offset\":1}"
#define GOOD_2 "{\"key\":\"k2\",\"value\":\"AA==\",\"offset\":2}"

/* An item of a page. */
typedef struct {
    const char *text;  /* "DEEP" stands for a deeply nested list */
    const char *after; /* where the next page goes on if it is the last item;
                          NULL: after the item before it */
} odd_item;

static const odd_item odd_items[] = {
    {"DEEP", NULL},
    {"{\"key\":\"k3\",\"value\":DEEP}", "k3"},
    {"{\"key\":\"k3\",\"value\":1e400}", "k3"},
    {"{\"key\":\"k3\",\"value\":\"AA==\",\"offset\":99999999999999999999}",
     "k3"},
    {"{\"key\":\"k3\",\"value\":\"AA==\",\"offset\":1e300}", "k3"},
    {"{\"key\":\"k3\",\"value\":\"AA==\",\"offset\":-1}", "k3"},
    {"{\"key\":\"k3\",\"value\":\"AA==\"}", "k3"},
    {"{\"key\":\"k3\",\"value\":\"A\",\"offset\":3}", "k3"},
    {"{\"key\":\"k3\",\"value\":\"A=A=\",\"offset\":3}", "k3"},
    {"{\"key\":\"k3\",\"value\":\"A?==\",\"offset\":3}", "k3"},
    {"{\"key\":\"k3\",\"value\":7,\"offset\":3}", "k3"},
    {"{\"key\":\"k3\",\"offset\":3}", "k3"},
    {"{\"key\":\"k3\",\"key\":\"k4\",\"value\":\"AA==\",\"offset\":3}", "k3"},
    {"{\"key\":7,\"value\":\"AA==\",\"offset\":3}", NULL},
    {"{\"value\":\"AA==\",\"offset\":3}", NULL},
    {"{\"key\":\"k\xff\xfe\",\"value\":\"AA==\",\"offset\":3}", "k%FF%FE"},
    {"{\"key\":\"\xff\\n\",\"value\":\"AA==\",\"offset\":3}", NULL},
    {"{\"key\":\"k\\u0000\",\"value\":\"?\",\"offset\":3}", "k%00"},
    {"{\"key\":\"k &#%+\",\"value\":\"?\",\"offset\":3}", "k%20%26%23%25%2B"},
    {"{\"other\":\"\xff\"}", NULL},
    {"1e999", NULL},
    {"null", NULL},
    {"\"\\ud800\"", NULL},
};

typedef struct {
    int count;
    uint64_t offsets; /* sum */
    size_t key_length;
} found_records;

static void
on_record(void *context, const KeyedRecord *record)
{
    found_records *found = context;

    found->count++;
    found->offsets += record->offset;
    found->key_length = record->key_length;
    g_assert_cmpuint(record->length, ==, 1);
}

/* Rows that are left out log warnings, which must not abort the test. */
static void
allow_warnings(void)
{
    g_log_set_always_fatal(G_LOG_FATAL_MASK);
}

/* Replaces DEEP by a deeply nested list. */
static char *
expand(const char *text)
{
    GString *deep = g_string_new(NULL);
    char **parts = g_strsplit(text, "DEEP", -1);
    char *joined;
    int i;

    for (i = 0; i < DEPTH; i++) {
        g_string_append_c(deep, '[');
    }
    for (i = 0; i < DEPTH; i++) {
        g_string_append_c(deep, ']');
    }
    joined = g_strjoinv(deep->str, parts);
    g_strfreev(parts);
    g_string_free(deep, TRUE);
    return joined;
}

static bool
decode(const char *items, const char *more, const char *after,
       found_records *found, KeyedRecords_Page *page)
{
    char *text = g_strdup_printf("{\"items\":[%s],\"more\":%s,\"end\":9}",
                                 items, more);
    char *whole = expand(text);
    bool decoded;

    memset(found, 0, sizeof(*found));
    decoded = KeyedRecords_DecodePage("topic", after, whole, strlen(whole),
                                      on_record, found, page);
    g_free(whole);
    g_free(text);
    return decoded;
}

/* Guards against a reader that stops at a page, or skips good records, as one
 * item of it cannot be decoded. */
static void
test_neighbours_are_read(void)
{
    size_t i;

    allow_warnings();
    for (i = 0; i < G_N_ELEMENTS(odd_items); i++) {
        KeyedRecords_Page page;
        found_records found;
        char *items = g_strjoin(",", GOOD_1, odd_items[i].text, GOOD_2, NULL);
        g_test_message("%s", odd_items[i].text);
        g_assert_true(decode(items, "false", NULL, &found, &page));
        g_assert_cmpint(found.count, ==, 2);
        g_assert_cmpuint(found.offsets, ==, 3);
        g_assert_cmpuint(page.end, ==, 9);
        g_assert_null(page.after);
        g_free(items);
    }
}

/* Guards against a reader that takes a topic as read to its end, or reads a
 * page again and again, as the last item of the page cannot be decoded. */
static void
test_next_page(void)
{
    size_t i;

    allow_warnings();
    for (i = 0; i < G_N_ELEMENTS(odd_items); i++) {
        KeyedRecords_Page page;
        found_records found;
        char *items = g_strjoin(",", GOOD_1, odd_items[i].text, NULL);
        const char *after = odd_items[i].after;
        g_test_message("%s", odd_items[i].text);
        g_assert_true(decode(items, "true", "k0", &found, &page));
        g_assert_cmpint(found.count, ==, 1);
        g_assert_cmpstr(page.after, ==, after == NULL ? "k1" : after);
        g_free(page.after);
        g_free(items);
    }
}

/* Without any key it is not known where to go on; the page is asked for
 * again. */
static void
test_no_next_page(void)
{
    KeyedRecords_Page page;
    found_records found;

    allow_warnings();
    g_assert_false(
        decode("{\"value\":\"\xff\"}", "true", NULL, &found, &page));
    g_assert_null(page.after);
    g_assert_false(decode(GOOD_1, "true", "k1", &found, &page));
    g_assert_null(page.after);
}

/* What stands around the items. */
static void
test_pages(void)
{
    static const struct {
        const char *text;
        bool is_page;
    } rows[] = {
        {"{\"items\":[" GOOD_1 "],\"more\":false,\"end\":9}", true},
        {"{\"items\":[" GOOD_1 "],\"end\":9}", true},
        {"{\"items\":[" GOOD_1 "],\"end\":9,\"other\":1e999}", true},
        {"{\"items\":[" GOOD_1 "],\"end\":9,\"other\":DEEP}", true},
        {"{\"items\":[" GOOD_1 "],\"end\":9,\"\":\"\xff\"}", true},
        {"{\"items\":[" GOOD_1 "],\"items\":[],\"end\":9}", true},
        {"{\"items\":[" GOOD_1 "],\"end\":99999999999999999999}", false},
        {"{\"items\":[" GOOD_1 "],\"end\":-1}", false},
        {"{\"items\":[" GOOD_1 "],\"end\":\"9\"}", false},
        {"{\"items\":[" GOOD_1 "]}", false},
        {"{\"items\":[" GOOD_1 ",\"end\":9}", false},
        {"{\"items\":[" GOOD_1, false},
        {"{\"items\":{},\"end\":9}", false},
        {"{\"items\":DEEP,\"end\":9}", true},
        {"DEEP", false},
        {"[]", false},
        {"", false},
    };
    size_t i;

    allow_warnings();
    for (i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *text = expand(rows[i].text);
        KeyedRecords_Page page;
        found_records found = {0};
        g_test_message("%s", rows[i].text);
        g_assert_cmpint(KeyedRecords_DecodePage("topic", NULL, text,
                                                strlen(text), on_record,
                                                &found, &page),
                        ==, rows[i].is_page);
        if (rows[i].is_page && strstr(rows[i].text, GOOD_1) != NULL) {
            g_assert_cmpint(found.count, ==, 1);
        }
        g_free(text);
    }
}

static void
test_key_with_nul(void)
{
    KeyedRecords_Page page;
    found_records found;

    allow_warnings();
    g_assert_true(
        decode("{\"key\":\"a\\u0000b\",\"value\":\"AA==\",\"offset\":1}",
               "false", NULL, &found, &page));
    g_assert_cmpint(found.count, ==, 1);
    g_assert_cmpuint(found.key_length, ==, 3);
}

/* ---- list of hosts ---- */

#define HOST(address)                                                         \
    "{\"address\":\"" address "\",\"role\":\"entry\",\"state\":\"up\"}"

static GArray *
parse_hosts(const char *rows, const GArray *earlier)
{
    char *text = g_strdup_printf("{\"hosts\":[%s]}", rows);
    char *whole = expand(text);
    GArray *parsed = Hosts_ParseList(whole, strlen(whole), earlier);

    g_free(whole);
    g_free(text);
    g_assert_nonnull(parsed);
    return parsed;
}

/* Guards against a list that nobody follows, or hosts that are taken for gone,
 * as one row cannot be read. */
static void
test_odd_host(void)
{
    static const char *const odd_rows[] = {
        HOST("127.0.0.9:70000"),
        HOST("127.0.0.9:0"),
        HOST("127.0.0.9:99999999999999999999"),
        HOST("300.0.0.9:80"),
        HOST("127.0.0.9"),
        HOST(""),
        "{\"address\":\"127.0.0.9:80\"}",
        "{\"address\":\"127.0.0.9:80\",\"address\":\"127.0.0.8:80\","
        "\"role\":\"entry\",\"state\":\"up\"}",
        "{\"address\":\"\xff\"}",
        "{\"address\":DEEP}",
        "1e999",
        "DEEP",
        "7",
    };
    size_t i;

    allow_warnings();
    for (i = 0; i < G_N_ELEMENTS(odd_rows); i++) {
        GArray *none = g_array_new(FALSE, FALSE, sizeof(Hosts_Row));
        GArray *first = parse_hosts(
            HOST("127.0.0.1:80") "," HOST("127.0.0.2:80"), none);
        char *text = g_strjoin(",", HOST("127.0.0.1:80"), odd_rows[i],
                               HOST("127.0.0.3:80"), NULL);
        GArray *second = parse_hosts(text, first);
        GArray *third = parse_hosts(HOST("127.0.0.1:80"), second);
        g_test_message("%s", odd_rows[i]);
        g_assert_cmpuint(first->len, ==, 2);
        g_assert_cmpuint(second->len, ==, 3);
        g_assert_cmpuint(third->len, ==, 1);
        g_free(text);
        g_array_unref(none);
        g_array_unref(first);
        g_array_unref(second);
        g_array_unref(third);
    }
}

/* ---- numbers that upstreams report ---- */

/* Numbers to which nothing can be added, and amounts that no machine has. */
static void
test_numbers_of_upstreams(void)
{
    static const struct {
        const char *fields;
        bool accepted;
    } rows[] = {
        {"\"seq\":1", true},
        {"\"seq\":9007199254740992", true},
        {"\"seq\":9007199254740993", false},
        {"\"seq\":9223372036854775807", false},
        {"\"seq\":1,\"clock_ms\":9223372036854775807", false},
        {"\"seq\":1,\"born\":9223372036854775807", false},
        {"\"seq\":1,\"slots\":1e999", false},
        {"\"seq\":1,\"slots\":DEEP", false},
        {"\"seq\":1,\"seq\":2", false},
        {"\"seq\":1,\"zone\":\"\xff\"", false},
        {"\"seq\":1,\"address\":\"127.0.0.1:70000\"", true},
    };
    static const struct {
        const char *amount;
        bool accepted;
    } amounts[] = {
        {"1000000000", true},
        {"1000000001", false},
        {"4294967295", false},
        {"-1", false},
    };
    UpstreamApi_Heartbeat heartbeat;
    size_t i;

    allow_warnings();
    for (i = 0; i < G_N_ELEMENTS(rows) + G_N_ELEMENTS(amounts); i++) {
        bool is_amount = i >= G_N_ELEMENTS(rows);
        size_t amount = i - G_N_ELEMENTS(rows);
        char *text = g_strdup_printf(
            "{\"service\":\"s\",\"state\":\"ready\",%s,\"capacity\":"
            "{\"cpu\":%s,\"mem_mb\":1}}",
            is_amount ? "\"seq\":1" : rows[i].fields,
            is_amount ? amounts[amount].amount : "1");
        char *whole = expand(text);
        Status status = {ERR_OK, ""};
        g_test_message("%s", text);
        UpstreamApi_ParseHeartbeat("i-1", whole, strlen(whole), &heartbeat,
                                   &status);
        g_assert_cmpint(status.kind == ERR_OK, ==,
                        is_amount ? amounts[amount].accepted
                                  : rows[i].accepted);
        UpstreamApi_FreeHeartbeat(&heartbeat);
        g_free(whole);
        g_free(text);
    }
}

/* Guards against a run that is taken for another one, as a number in its name
 * is too large. */
static void
test_numbers_of_tasks(void)
{
    static const char *const names[] = {
        "5c0e7a21d94b36f8.0.1.4294967296",
        "5c0e7a21d94b36f8.0.1.18446744073709551616",
        "5c0e7a21d94b36f8.4294967296.1.0",
        "15c0e7a21d94b36f8.0.1.0",
        "5c0e7a21d94b36f8.0.1.-1",
        "5c0e7a21d94b36f8.0.1. 1",
        "0x5c0e7a21d94b36f8.0.1.1",
    };
    size_t i;

    allow_warnings();
    for (i = 0; i < G_N_ELEMENTS(names); i++) {
        char *text = g_strdup_printf(
            "{\"clock_ms\":1,\"running\":[[\"%s\",1]],\"ended\":[]}",
            names[i]);
        HttpClient_Answer answer = {.end = HTTP_CLIENT_ANSWERED,
                                    .status = 200,
                                    .body = text,
                                    .length = strlen(text)};
        UpstreamApi_Listing listing;
        UpstreamApi_ParseListing(&answer, &listing);
        g_test_message("%s", names[i]);
        g_assert_cmpint(listing.listing.end, ==, RUNNER_ORDER_UNANSWERED);
        UpstreamApi_FreeListing(&listing);
        g_free(text);
    }
}

/* Guards against a process that ends as it answers with a message that holds
 * foreign bytes, or is cut within a character. */
static void
test_messages(void)
{
    static const char *const parts[] = {"\xc3\xa9", "\xe2\x82\xac",
                                        "\xf0\x9f\x98\x80", "\xff"};
    size_t i;
    int before;

    for (i = 0; i < G_N_ELEMENTS(parts); i++) {
        for (before = 0; before < 4; before++) {
            GString *text = g_string_new(NULL);
            Status status = {ERR_OK, ""};
            while (text->len < 2 * sizeof(status.message)) {
                g_string_append(text, parts[i]);
            }
            Err_Set(&status, ERR_BAD_REQUEST, "%.*s%s", before, "abc",
                    text->str);
            g_assert_true(g_utf8_validate(status.message, -1, NULL));
            g_assert_cmpuint(strlen(status.message), ==,
                             sizeof(status.message) - 1);
            g_string_free(text, TRUE);
        }
    }
}

static const TestTable_Row rules[] = {
    {"/odd-rows/records beside one that cannot be read",
     test_neighbours_are_read},
    {"/odd-rows/the page behind one that cannot be read", test_next_page},
    {"/odd-rows/a page that does not tell where the next one begins",
     test_no_next_page},
    {"/odd-rows/what stands around the records", test_pages},
    {"/odd-rows/a key that holds a zero byte", test_key_with_nul},
    {"/odd-rows/hosts beside a row that cannot be read", test_odd_host},
    {"/odd-rows/numbers of upstreams", test_numbers_of_upstreams},
    {"/odd-rows/numbers of tasks", test_numbers_of_tasks},
    {"/odd-rows/messages of errors", test_messages},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

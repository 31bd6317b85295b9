/*
 * Fetching the route table from other entries: when a peer is asked, which
 * bytes it is asked for, and how its replies are handled.
 */

#include <glib.h>
#include <string.h>

#include "lease/routes_fetch.h"
#include "tests/test_table.h"

#define OWN 1
#define FIRST 2
#define SECOND 3
#define NOW_MS 50000
#define STORE_HEAD_START_MS ((int64_t)300)
#define CHUNK_TIMEOUT_MS 1000

typedef struct {
    RoutesFetch fetch;
    Peers peers;
    int64_t now_ms;
    int64_t version; /* in force here */
    bool store_answers;
    RoutesFetch_Call call;
} fetch_fixture;

static void
set_peer(fetch_fixture *fix, Address peer, int64_t version)
{
    Peers_MarkAlive(&fix->peers, peer, fix->now_ms);
    Peers_Find(&fix->peers, peer)->routes_version = version;
}

static void
new_fetch(fetch_fixture *fix)
{
    memset(fix, 0, sizeof(*fix));
    fix->now_ms = NOW_MS;
    fix->version = 5;
    fix->store_answers = true;
    Peers_Init(&fix->peers, OWN);
    RoutesFetch_Init(&fix->fetch, 0);
    set_peer(fix, FIRST, 7);
    set_peer(fix, SECOND, 7);
}

static void
free_fetch(fetch_fixture *fix)
{
    RoutesFetch_Clear(&fix->fetch);
    Peers_Clear(&fix->peers);
}

static bool
next(fetch_fixture *fix)
{
    return RoutesFetch_Next(&fix->fetch, fix->now_ms, fix->version,
                            fix->store_answers, &fix->peers, &fix->call);
}

static bool
next_in(fetch_fixture *fix, int64_t ms)
{
    fix->now_ms += ms;
    return next(fix);
}

/* Replies to the last call as a peer would, with `length` bytes of a record
 * that repeats the letter 'a' + version. */
static RoutesFetch_Result
answer(fetch_fixture *fix, int64_t version, uint32_t total, uint32_t length)
{
    lc_routes_res result = {.routes_version = version, .total = total};
    char *data = g_malloc(length);
    RoutesFetch_Result step;

    memset(data, 'a' + (int)version, length);
    result.offset = version == fix->call.args.routes_version
                        ? fix->call.args.offset
                        : 0;
    result.data.data_val = data;
    result.data.data_len = length;
    step = RoutesFetch_OnReply(&fix->fetch, &result);
    g_free(data);
    return step;
}

static void
begin(fetch_fixture *fix)
{
    new_fetch(fix);
    next(fix);
    g_assert_true(next_in(fix, STORE_HEAD_START_MS));
}

static void
test_store_first(void)
{
    fetch_fixture fix;

    new_fetch(&fix);
    g_assert_false(next(&fix));
    g_assert_false(next_in(&fix, STORE_HEAD_START_MS - 1));
    g_assert_true(next_in(&fix, 1));
    free_fetch(&fix);
}

static void
test_store_unavailable(void)
{
    fetch_fixture fix;

    new_fetch(&fix);
    fix.store_answers = false;
    g_assert_true(next(&fix));
    free_fetch(&fix);
}

static void
test_without_routes(void)
{
    fetch_fixture fix;

    new_fetch(&fix);
    fix.version = -1;
    g_assert_true(next(&fix));
    free_fetch(&fix);
}

static void
test_nothing_newer(void)
{
    fetch_fixture fix;

    new_fetch(&fix);
    fix.version = 7;
    g_assert_false(next(&fix));
    g_assert_false(next_in(&fix, 10 * STORE_HEAD_START_MS));
    free_fetch(&fix);
}

static void
test_silent_peer(void)
{
    fetch_fixture fix;

    new_fetch(&fix);
    fix.store_answers = false;
    g_assert_false(next_in(&fix, 60000));
    free_fetch(&fix);
}

/* Only one call is pending, however many peers have the record. */
static void
test_one_at_a_time(void)
{
    fetch_fixture fix;

    begin(&fix);
    g_assert_false(next(&fix));
    g_assert_false(next_in(&fix, CHUNK_TIMEOUT_MS - 1));
    free_fetch(&fix);
}

static void
test_chunks(void)
{
    fetch_fixture fix;
    Address from;

    begin(&fix);
    from = fix.call.to;
    g_assert_cmpint(fix.call.args.routes_version, ==, 7);
    g_assert_cmpint(fix.call.args.offset, ==, 0);
    g_assert_cmpint(answer(&fix, 7, 100, 60), ==, ROUTES_FETCH_PARTIAL);
    g_assert_true(next(&fix));
    g_assert_cmpint(fix.call.args.offset, ==, 60);
    g_assert_cmpuint(fix.call.to, ==, from);
    g_assert_cmpint(answer(&fix, 7, 100, 40), ==, ROUTES_FETCH_COMPLETE);
    g_assert_cmpint(fix.fetch.bytes->len, ==, 100);
    fix.version = 7;
    g_assert_false(next_in(&fix, STORE_HEAD_START_MS));
    free_fetch(&fix);
}

/* Bytes received are kept; the next peer continues from there. */
static void
test_peer_fails(void)
{
    fetch_fixture fix;
    Address from;

    begin(&fix);
    from = fix.call.to;
    answer(&fix, 7, 100, 60);
    g_assert_true(next(&fix));
    g_assert_true(next_in(&fix, CHUNK_TIMEOUT_MS));
    g_assert_cmpuint(fix.call.to, !=, from);
    g_assert_cmpint(fix.call.args.offset, ==, 60);
    g_assert_cmpint(answer(&fix, 7, 100, 40), ==, ROUTES_FETCH_COMPLETE);
    free_fetch(&fix);
}

static void
test_only_peer_fails(void)
{
    fetch_fixture fix;

    begin(&fix);
    Peers_Find(&fix.peers, fix.call.to == FIRST ? SECOND : FIRST)
        ->routes_version = 5;
    RoutesFetch_OnFailure(&fix.fetch);
    g_assert_true(next(&fix));
    free_fetch(&fix);
}

/* A newer version that appears during a fetch replaces the one begun. */
static void
test_newer_during_fetch(void)
{
    fetch_fixture fix;

    begin(&fix);
    answer(&fix, 7, 100, 60);
    g_assert_true(next(&fix));
    g_assert_cmpint(answer(&fix, 9, 80, 50), ==, ROUTES_FETCH_PARTIAL);
    g_assert_true(next(&fix));
    g_assert_cmpint(fix.call.args.routes_version, ==, 9);
    g_assert_cmpint(fix.call.args.offset, ==, 50);
    g_assert_cmpint(answer(&fix, 9, 80, 30), ==, ROUTES_FETCH_COMPLETE);
    g_assert_cmpint(fix.fetch.bytes->data[0], ==, 'a' + 9);
    free_fetch(&fix);
}

/* The only peer left has a version between ours and the one begun. */
static void
test_older_peer_left(void)
{
    fetch_fixture fix;

    begin(&fix);
    answer(&fix, 7, 100, 60);
    Peers_Find(&fix.peers, fix.call.to)->routes_version = 5;
    Peers_Find(&fix.peers, fix.call.to == FIRST ? SECOND : FIRST)
        ->routes_version = 6;
    g_assert_true(next(&fix));
    g_assert_cmpint(fix.call.args.routes_version, ==, 6);
    g_assert_cmpint(fix.call.args.offset, ==, 0);
    free_fetch(&fix);
}

static void
test_store_delivers(void)
{
    fetch_fixture fix;

    begin(&fix);
    answer(&fix, 7, 100, 60);
    fix.version = 7;
    g_assert_false(next(&fix));
    set_peer(&fix, FIRST, 8);
    g_assert_false(next(&fix));
    g_assert_true(next_in(&fix, STORE_HEAD_START_MS));
    g_assert_cmpint(fix.call.args.offset, ==, 0);
    free_fetch(&fix);
}

/* A whole record that could not be used is not fetched again at once. */
static void
test_whole_but_unusable(void)
{
    fetch_fixture fix;

    begin(&fix);
    g_assert_cmpint(answer(&fix, 7, 60, 60), ==, ROUTES_FETCH_COMPLETE);
    g_assert_false(next(&fix));
    g_assert_true(next_in(&fix, STORE_HEAD_START_MS));
    g_assert_cmpint(fix.call.args.offset, ==, 0);
    free_fetch(&fix);
}

/* Replies that do not match the request. */
static void
test_mismatched_replies(void)
{
    static const struct {
        const char *name;
        int64_t version;
        uint32_t offset;
        uint32_t total;
        uint32_t length;
    } cases[] = {
        {"empty", 7, 60, 100, 0},
        {"other offset", 7, 0, 100, 40},
        {"other size", 7, 60, 101, 40},
        {"longer than its total", 7, 60, 100, 41},
        {"offset past the end", 7, 60, 50, 40},
        {"older version", 6, 0, 100, 40},
        {"none", -1, 0, 0, 0},
        {"too large", 8, 0, ROUTES_FETCH_MAX_BYTES + 1, 40},
    };
    char data[64] = {0};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(cases); i++) {
        lc_routes_res result = {.routes_version = cases[i].version,
                                .offset = cases[i].offset,
                                .total = cases[i].total,
                                .data = {cases[i].length, data}};
        fetch_fixture fix;
        begin(&fix);
        answer(&fix, 7, 100, 60);
        g_assert_true(next(&fix));
        g_test_message("%s", cases[i].name);
        g_assert_cmpint(RoutesFetch_OnReply(&fix.fetch, &result), ==,
                        ROUTES_FETCH_FAILED);
        free_fetch(&fix);
    }
}

static const TestTable_Row rules[] = {
    {"/routes/the store comes first", test_store_first},
    {"/routes/no waiting for an unavailable store", test_store_unavailable},
    {"/routes/no waiting without any routes", test_without_routes},
    {"/routes/only newer versions are fetched", test_nothing_newer},
    {"/routes/peers that are not live are not asked", test_silent_peer},
    {"/routes/one copy at a time", test_one_at_a_time},
    {"/routes/chunks make up the record", test_chunks},
    {"/routes/the next peer continues", test_peer_fails},
    {"/routes/the only peer is asked again", test_only_peer_fails},
    {"/routes/a newer version replaces the one begun",
     test_newer_during_fetch},
    {"/routes/an older version than begun is accepted", test_older_peer_left},
    {"/routes/a version delivered by the store is not fetched",
     test_store_delivers},
    {"/routes/an unusable record is not fetched again at once",
     test_whole_but_unusable},
    {"/routes/mismatched replies are refused", test_mismatched_replies},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

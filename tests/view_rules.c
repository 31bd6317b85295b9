/*
 * What keeps the load per node constant as the fleet grows: which entries a
 * companion reports to, and how often entries read from the store. The tests
 * count pairs and calls at one fleet size and at twice that size.
 */

#include <glib.h>
#include <string.h>

#include "base/random.h"
#include "lease/partial_view.h"
#include "lease/store_poll.h"
#include "tests/test_table.h"

#define NOW_MS 10000
#define HALLS 5

static Address
entry_at(uint32_t index)
{
    return 0x0a0000001b58 + ((uint64_t)index << 16);
}

static Address
companion_at(uint32_t index)
{
    return 0x0b0000001b58 + ((uint64_t)index << 16);
}

static const char *
hall_of(uint32_t index)
{
    static const char *const halls[HALLS] = {"a", "b", "c", "d", "e"};

    return halls[index % HALLS];
}

/* Receives a list of the entries `first` to `entries` - 1. */
static void
receive_list(Peers *peers, uint32_t first, uint32_t entries)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(u_quad_t));
    uint32_t i;

    for (i = first; i < entries; i++) {
        u_quad_t entry = entry_at(i);
        g_array_append_val(list, entry);
    }
    Peers_ReplaceList(peers, (u_quad_t *)(void *)list->data, list->len,
                      NOW_MS);
    g_array_unref(list);
}

static void
set_halls(Peers *peers, uint32_t entries)
{
    uint32_t i;

    for (i = 0; i < entries; i++) {
        Peers_SetHall(peers, entry_at(i), hall_of(i));
    }
}

static void
new_peers(Peers *peers, uint32_t entries)
{
    Peers_Init(peers, 0);
    receive_list(peers, 0, entries);
    set_halls(peers, entries);
}

static uint32_t
count_chosen(const Peers *peers, const char *hall)
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < peers->rows->len; i++) {
        const Peers_Row *row = g_ptr_array_index(peers->rows, i);
        count += row->chosen && (hall == NULL || strcmp(row->hall, hall) == 0);
    }
    return count;
}

static void
test_few_entries(void)
{
    Peers peers;

    new_peers(&peers, PARTIAL_VIEW_MAX_ENTRIES);
    g_assert_cmpuint(
        PartialView_Choose(&peers, NOW_MS, companion_at(1), "a", false), ==,
        0);
    g_assert_cmpuint(count_chosen(&peers, NULL), ==, PARTIAL_VIEW_MAX_ENTRIES);
    Peers_Clear(&peers);
}

static void
test_own_hall_first(void)
{
    Peers peers;

    new_peers(&peers, 184);
    g_assert_cmpuint(
        PartialView_Choose(&peers, NOW_MS, companion_at(1), "b", false), ==,
        184 - PARTIAL_VIEW_MAX_ENTRIES);
    g_assert_cmpuint(count_chosen(&peers, NULL), ==, PARTIAL_VIEW_MAX_ENTRIES);
    g_assert_cmpuint(count_chosen(&peers, "b"), >=,
                     PARTIAL_VIEW_OWN_HALL_ENTRIES);
    Peers_Clear(&peers);
}

/* A companion in a hall without entries reports to entries of other halls. */
static void
test_hall_without_entries(void)
{
    Peers peers;

    new_peers(&peers, 184);
    PartialView_Choose(&peers, NOW_MS, companion_at(1), "nowhere", false);
    g_assert_cmpuint(count_chosen(&peers, NULL), ==, PARTIAL_VIEW_MAX_ENTRIES);
    Peers_Clear(&peers);
}

static void
test_all_on_request(void)
{
    Peers peers;

    new_peers(&peers, 184);
    g_assert_cmpuint(
        PartialView_Choose(&peers, NOW_MS, companion_at(1), "b", true), ==, 0);
    g_assert_cmpuint(count_chosen(&peers, NULL), ==, 184);
    Peers_Clear(&peers);
}

/* The chosen entries return their halls. Returns how many halls were unknown
 * before. */
static uint32_t
set_chosen_halls(Peers *peers, uint32_t entries)
{
    uint32_t unknown = 0;
    uint32_t i;

    for (i = 0; i < entries; i++) {
        const Peers_Row *row = Peers_Find(peers, entry_at(i));
        unknown += row->hall[0] == '\0';
        if (row->chosen) {
            Peers_SetHall(peers, entry_at(i), hall_of(i));
        }
    }
    return unknown;
}

/* Entries whose halls are not known are called until all have returned them,
 * but never all at once. */
static void
test_unknown_halls(void)
{
    Peers peers;
    int rounds = 0;

    Peers_Init(&peers, 0);
    receive_list(&peers, 0, 184);
    do {
        g_assert_cmpint(rounds++, <, 6);
        PartialView_Choose(&peers, NOW_MS, companion_at(1), "b", false);
        g_assert_cmpuint(count_chosen(&peers, NULL), <=,
                         2UL * PARTIAL_VIEW_MAX_ENTRIES);
    } while (set_chosen_halls(&peers, 184) > 0);
    PartialView_Choose(&peers, NOW_MS, companion_at(1), "b", false);
    g_assert_cmpuint(count_chosen(&peers, NULL), ==, PARTIAL_VIEW_MAX_ENTRIES);
    g_assert_cmpuint(count_chosen(&peers, "b"), >=,
                     PARTIAL_VIEW_OWN_HALL_ENTRIES);
    Peers_Clear(&peers);
}

/* When a chosen entry leaves, at most one other takes its place; the rest of
 * the selection stays. */
static void
test_few_pairs_change(void)
{
    Peers peers;
    bool before[184];
    uint32_t changed = 0;
    uint32_t i;

    new_peers(&peers, 184);
    PartialView_Choose(&peers, NOW_MS, companion_at(1), "b", false);
    for (i = 0; i < 184; i++) {
        before[i] = Peers_Find(&peers, entry_at(i))->chosen;
    }
    receive_list(&peers, 1, 184);
    PartialView_Choose(&peers, NOW_MS, companion_at(1), "b", false);
    g_assert_cmpuint(count_chosen(&peers, NULL), ==, PARTIAL_VIEW_MAX_ENTRIES);
    for (i = 1; i < 184; i++) {
        changed += Peers_Find(&peers, entry_at(i))->chosen != before[i];
    }
    g_assert_cmpuint(changed, <=, 1);
    Peers_Clear(&peers);
}

/* An entry that is in no other process's list stays chosen while this
 * companion still hears it. */
static void
test_entry_lost_by_others(void)
{
    Peers peers;
    uint32_t lost = 0;

    new_peers(&peers, 100);
    PartialView_Choose(&peers, NOW_MS, companion_at(1), "a", false);
    while (!Peers_Find(&peers, entry_at(lost))->chosen) {
        lost++;
    }
    Peers_MarkAlive(&peers, entry_at(lost), NOW_MS);
    receive_list(&peers, lost + 1, 100);
    PartialView_Choose(&peers, NOW_MS + 1000, companion_at(1), "a", false);
    g_assert_true(Peers_Find(&peers, entry_at(lost))->chosen);
    PartialView_Choose(&peers, NOW_MS + 10000, companion_at(1), "a", false);
    g_assert_false(Peers_Find(&peers, entry_at(lost))->chosen);
    Peers_Clear(&peers);
}

typedef struct {
    uint32_t min;
    uint32_t max;
    uint32_t pairs;
    uint32_t cross_hall; /* pairs between halls */
} load;

/* Counts pairs, and the companions that report to an entry: the minimum and
 * maximum over all entries. */
static load
measure_load(uint32_t entries, uint32_t companions)
{
    uint32_t *heard = g_new0(uint32_t, entries);
    load result = {.min = UINT32_MAX};
    Peers peers;
    uint32_t i;
    uint32_t j;

    new_peers(&peers, entries);
    for (i = 0; i < companions; i++) {
        PartialView_Choose(&peers, NOW_MS, companion_at(i), hall_of(i), false);
        for (j = 0; j < entries; j++) {
            bool chosen = Peers_Find(&peers, entry_at(j))->chosen;
            heard[j] += chosen;
            result.pairs += chosen;
            result.cross_hall += chosen && i % HALLS != j % HALLS;
        }
    }
    for (j = 0; j < entries; j++) {
        result.min = MIN(result.min, heard[j]);
        result.max = MAX(result.max, heard[j]);
    }
    Peers_Clear(&peers);
    g_free(heard);
    return result;
}

/* In a fleet of twice the size an entry hears as many companions as before,
 * and each companion reports to as many entries. */
static void
test_constant_load(void)
{
    load once = measure_load(184, 800);
    load twice = measure_load(368, 1600);

    g_assert_cmpuint(once.pairs, ==, 800UL * PARTIAL_VIEW_MAX_ENTRIES);
    g_assert_cmpuint(twice.pairs, ==, 1600UL * PARTIAL_VIEW_MAX_ENTRIES);
    g_assert_cmpuint(once.min, >=, 120);
    g_assert_cmpuint(once.max, <=, 230);
    g_assert_cmpuint(twice.min, >=, 120);
    g_assert_cmpuint(twice.max, <=, 230);
    g_assert_cmpuint(once.cross_hall, <=, 800UL * 17);
    g_assert_cmpuint(twice.cross_hall, <=, 1600UL * 17);
}

/* A list that is not received again is kept as long as other processes confirm
 * it. */
static void
test_list_is_confirmed(void)
{
    Peers peers;
    int64_t now_ms = NOW_MS;
    int i;

    new_peers(&peers, 100);
    for (i = 0; i < 20; i++) {
        now_ms += 3000;
        Peers_ConfirmList(&peers, now_ms);
        Peers_Expire(&peers, now_ms);
    }
    g_assert_cmpuint(peers.rows->len, ==, 100);
    receive_list(&peers, 50, 100);
    now_ms += 60000;
    Peers_ConfirmList(&peers, now_ms);
    Peers_Expire(&peers, now_ms);
    g_assert_cmpuint(peers.rows->len, ==, 50);
    Peers_Clear(&peers);
}

/* Reads of all entries together, per 100 s. */
static uint64_t
reads_per_100_s(uint32_t entries)
{
    uint64_t random = Random_Seed(7);
    uint64_t total_ms = 0;
    uint32_t i;

    for (i = 0; i < 1000; i++) {
        total_ms += StorePoll_RandomWaitMs(entries - 1, &random);
    }
    return (uint64_t)entries * 1000 * 1000 * 100 / total_ms;
}

/* In a large fleet eight entries are watchers; an isolated entry always is. */
static void
test_watchers(void)
{
    uint32_t watchers = 0;
    uint32_t i;

    for (i = 0; i < 184; i++) {
        Peers peers;
        uint32_t j;
        Peers_Init(&peers, entry_at(i));
        for (j = 0; j < 184; j++) {
            Peers_MarkAlive(&peers, entry_at(j), NOW_MS);
        }
        watchers += StorePoll_IsWatcher(&peers, NOW_MS);
        /* All others have been silent for long. */
        g_assert_true(StorePoll_IsWatcher(&peers, NOW_MS + 60000));
        Peers_Clear(&peers);
    }
    g_assert_cmpuint(watchers, ==, 8);
}

static void
test_store_read_rate(void)
{
    uint64_t random = Random_Seed(7);

    g_assert_cmpuint(StorePoll_RandomWaitMs(0, &random), ==, 1000);
    g_assert_cmpuint(StorePoll_RandomWaitMs(9, &random), ==, 1000);
    g_assert_cmpuint(reads_per_100_s(20), <=, 1400);
    g_assert_cmpuint(reads_per_100_s(184), <=, 1400);
    g_assert_cmpuint(reads_per_100_s(300), <=, 1400);
    g_assert_cmpuint(reads_per_100_s(184), >=, 1000);
    g_assert_cmpuint(StorePoll_RandomWaitMs(5000, &random), <=, 30000);
    g_assert_cmpuint(StorePoll_IdleLogWaitMs(0), <=, 500);
    g_assert_cmpuint(StorePoll_IdleLogWaitMs(39), <=, 500);
    g_assert_cmpuint(StorePoll_IdleLogWaitMs(183), ==, 2000);
    g_assert_cmpuint(StorePoll_IdleLogWaitMs(5000), ==, 2000);
}

static const TestTable_Row rules[] = {
    {"/view/a small fleet: all entries are chosen", test_few_entries},
    {"/view/own hall first", test_own_hall_first},
    {"/view/a hall without entries", test_hall_without_entries},
    {"/view/all entries on request", test_all_on_request},
    {"/view/unknown halls are asked for", test_unknown_halls},
    {"/view/few pairs change", test_few_pairs_change},
    {"/view/an entry that others no longer hear", test_entry_lost_by_others},
    {"/view/constant load per node", test_constant_load},
    {"/view/a list that is confirmed", test_list_is_confirmed},
    {"/view/number of watchers", test_watchers},
    {"/view/rate of reads from the store", test_store_read_rate},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

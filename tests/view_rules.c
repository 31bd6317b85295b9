/*
 * Rules of what keeps a node's cost flat in a large fleet: which entries a
 * companion reports to, and how often entries ask the store. What is counted
 * is pairs and calls, at one size and at twice that.
 */

#include <glib.h>
#include <string.h>

#include "base/random.h"
#include "lease/partial_view.h"
#include "lease/store_wait.h"
#include "tests/rule_table.h"

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

/* A companion that has taken the list of so many entries. */
static void
take_list(Peers *peers, uint32_t first, uint32_t entries)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(u_quad_t));
    uint32_t i;

    for (i = first; i < entries; i++) {
        u_quad_t entry = entry_at(i);
        g_array_append_val(list, entry);
    }
    Peers_TakeList(peers, (u_quad_t *)(void *)list->data, list->len, NOW_MS);
    g_array_unref(list);
}

static void
tell_halls(Peers *peers, uint32_t entries)
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
    take_list(peers, 0, entries);
    tell_halls(peers, entries);
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

    new_peers(&peers, PARTIAL_VIEW_MOST);
    g_assert_cmpuint(
        PartialView_Choose(&peers, NOW_MS, companion_at(1), "a", false), ==,
        0);
    g_assert_cmpuint(count_chosen(&peers, NULL), ==, PARTIAL_VIEW_MOST);
    Peers_Clear(&peers);
}

static void
test_own_hall_first(void)
{
    Peers peers;

    new_peers(&peers, 184);
    g_assert_cmpuint(
        PartialView_Choose(&peers, NOW_MS, companion_at(1), "b", false), ==,
        184 - PARTIAL_VIEW_MOST);
    g_assert_cmpuint(count_chosen(&peers, NULL), ==, PARTIAL_VIEW_MOST);
    g_assert_cmpuint(count_chosen(&peers, "b"), >=, PARTIAL_VIEW_OWN);
    Peers_Clear(&peers);
}

/* Its entries are of other halls alone. */
static void
test_hall_without_entries(void)
{
    Peers peers;

    new_peers(&peers, 184);
    PartialView_Choose(&peers, NOW_MS, companion_at(1), "nowhere", false);
    g_assert_cmpuint(count_chosen(&peers, NULL), ==, PARTIAL_VIEW_MOST);
    Peers_Clear(&peers);
}

static void
test_all_when_asked(void)
{
    Peers peers;

    new_peers(&peers, 184);
    g_assert_cmpuint(
        PartialView_Choose(&peers, NOW_MS, companion_at(1), "b", true), ==, 0);
    g_assert_cmpuint(count_chosen(&peers, NULL), ==, 184);
    Peers_Clear(&peers);
}

/* Those that are chosen tell their halls. */
static uint32_t
tell_chosen_halls(Peers *peers, uint32_t entries)
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

/* Entries whose halls are not known are called until all have told them, never
 * all at once. */
static void
test_unknown_halls(void)
{
    Peers peers;
    int rounds = 0;

    Peers_Init(&peers, 0);
    take_list(&peers, 0, 184);
    do {
        g_assert_cmpint(rounds++, <, 6);
        PartialView_Choose(&peers, NOW_MS, companion_at(1), "b", false);
        g_assert_cmpuint(count_chosen(&peers, NULL), <=,
                         2UL * PARTIAL_VIEW_MOST);
    } while (tell_chosen_halls(&peers, 184) > 0);
    PartialView_Choose(&peers, NOW_MS, companion_at(1), "b", false);
    g_assert_cmpuint(count_chosen(&peers, NULL), ==, PARTIAL_VIEW_MOST);
    g_assert_cmpuint(count_chosen(&peers, "b"), >=, PARTIAL_VIEW_OWN);
    Peers_Clear(&peers);
}

/* Of an entry that goes another takes the place; all others stay. */
static void
test_few_pairs_move(void)
{
    Peers peers;
    bool before[184];
    uint32_t moved = 0;
    uint32_t i;

    new_peers(&peers, 184);
    PartialView_Choose(&peers, NOW_MS, companion_at(1), "b", false);
    for (i = 0; i < 184; i++) {
        before[i] = Peers_Find(&peers, entry_at(i))->chosen;
    }
    take_list(&peers, 1, 184);
    PartialView_Choose(&peers, NOW_MS, companion_at(1), "b", false);
    g_assert_cmpuint(count_chosen(&peers, NULL), ==, PARTIAL_VIEW_MOST);
    for (i = 1; i < 184; i++) {
        moved += Peers_Find(&peers, entry_at(i))->chosen != before[i];
    }
    g_assert_cmpuint(moved, <=, 1);
    Peers_Clear(&peers);
}

/* An entry that all others have lost, but not this companion, keeps it. */
static void
test_entry_that_others_lost(void)
{
    Peers peers;
    uint32_t lost = 0;

    new_peers(&peers, 100);
    PartialView_Choose(&peers, NOW_MS, companion_at(1), "a", false);
    while (!Peers_Find(&peers, entry_at(lost))->chosen) {
        lost++;
    }
    Peers_Hear(&peers, entry_at(lost), NOW_MS);
    take_list(&peers, lost + 1, 100);
    PartialView_Choose(&peers, NOW_MS + 1000, companion_at(1), "a", false);
    g_assert_true(Peers_Find(&peers, entry_at(lost))->chosen);
    PartialView_Choose(&peers, NOW_MS + 10000, companion_at(1), "a", false);
    g_assert_false(Peers_Find(&peers, entry_at(lost))->chosen);
    Peers_Clear(&peers);
}

typedef struct {
    uint32_t least;
    uint32_t most;
    uint32_t pairs;
    uint32_t far; /* pairs between halls */
} load;

/* Companions that an entry hears, the least and the most of all entries. */
static load
load_of(uint32_t entries, uint32_t companions)
{
    uint32_t *heard = g_new0(uint32_t, entries);
    load result = {.least = UINT32_MAX};
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
            result.far += chosen && i % HALLS != j % HALLS;
        }
    }
    for (j = 0; j < entries; j++) {
        result.least = MIN(result.least, heard[j]);
        result.most = MAX(result.most, heard[j]);
    }
    Peers_Clear(&peers);
    g_free(heard);
    return result;
}

/* At twice the size an entry hears as many companions as before, of which each
 * reports to as many entries. */
static void
test_flat_in_the_fleet(void)
{
    load once = load_of(184, 800);
    load twice = load_of(368, 1600);

    g_assert_cmpuint(once.pairs, ==, 800UL * PARTIAL_VIEW_MOST);
    g_assert_cmpuint(twice.pairs, ==, 1600UL * PARTIAL_VIEW_MOST);
    g_assert_cmpuint(once.least, >=, 120);
    g_assert_cmpuint(once.most, <=, 230);
    g_assert_cmpuint(twice.least, >=, 120);
    g_assert_cmpuint(twice.most, <=, 230);
    g_assert_cmpuint(once.far, <=, 800UL * 17);
    g_assert_cmpuint(twice.far, <=, 1600UL * 17);
}

/* A list that nobody tells anew stays as long as others have the same one. */
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
        Peers_Forget(&peers, now_ms);
    }
    g_assert_cmpuint(peers.rows->len, ==, 100);
    take_list(&peers, 50, 100);
    now_ms += 60000;
    Peers_ConfirmList(&peers, now_ms);
    Peers_Forget(&peers, now_ms);
    g_assert_cmpuint(peers.rows->len, ==, 50);
    Peers_Clear(&peers);
}

/* Calls a second of all entries together, times a hundred. */
static uint64_t
calls_of(uint32_t entries)
{
    uint64_t random = Random_Seed(7);
    uint64_t waited = 0;
    uint32_t i;

    for (i = 0; i < 1000; i++) {
        waited += StoreWait_Draw(entries - 1, &random);
    }
    return (uint64_t)entries * 1000 * 1000 * 100 / waited;
}

/* Eight of many watch, all of few, and one that is alone. */
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
            Peers_Hear(&peers, entry_at(j), NOW_MS);
        }
        watchers += StoreWait_IsWatcher(&peers, NOW_MS);
        /* All others have been silent for long. */
        g_assert_true(StoreWait_IsWatcher(&peers, NOW_MS + 60000));
        Peers_Clear(&peers);
    }
    g_assert_cmpuint(watchers, ==, 8);
}

static void
test_calls_to_the_store(void)
{
    uint64_t random = Random_Seed(7);

    g_assert_cmpuint(StoreWait_Draw(0, &random), ==, 1000);
    g_assert_cmpuint(StoreWait_Draw(9, &random), ==, 1000);
    g_assert_cmpuint(calls_of(20), <=, 1400);
    g_assert_cmpuint(calls_of(184), <=, 1400);
    g_assert_cmpuint(calls_of(300), <=, 1400);
    g_assert_cmpuint(calls_of(184), >=, 1000);
    g_assert_cmpuint(StoreWait_Draw(5000, &random), <=, 30000);
    g_assert_cmpuint(StoreWait_Quiet(0), <=, 500);
    g_assert_cmpuint(StoreWait_Quiet(39), <=, 500);
    g_assert_cmpuint(StoreWait_Quiet(183), ==, 2000);
    g_assert_cmpuint(StoreWait_Quiet(5000), ==, 2000);
}

static const RuleTable_Row rules[] = {
    {"/view/few entries are all told", test_few_entries},
    {"/view/own hall first", test_own_hall_first},
    {"/view/a hall without entries", test_hall_without_entries},
    {"/view/all when they have to know", test_all_when_asked},
    {"/view/a hall that is not known is asked for", test_unknown_halls},
    {"/view/few pairs move", test_few_pairs_move},
    {"/view/an entry that others have lost", test_entry_that_others_lost},
    {"/view/flat in the fleet", test_flat_in_the_fleet},
    {"/view/a list that is confirmed", test_list_is_confirmed},
    {"/view/some watch the store", test_watchers},
    {"/view/calls to the store", test_calls_to_the_store},
};

int
main(int argc, char **argv)
{
    return RuleTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

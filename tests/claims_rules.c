/*
 * Rules of claims on owners of durable jobs: the table alone, against a plain
 * reading of what a claim means.
 */

#include <glib.h>
#include <time.h>
#include <unistd.h>

#include "lease/claims.h"
#include "tests/test_table.h"

/* Ends a test that follows a circle of claims. */
#define ALARM_S 60
/* An entry that stands still for longer is taken for dead. Processor time, as
 * the machine may be busy with other tests. */
#define MAX_STALL_S 2.0

typedef struct {
    uint64_t offset;
    lc_node claimed_owner;
    lc_node successor;
    bool effective;
} claim_row;

static lc_node
owner(uint64_t number)
{
    lc_node node = {0x7f0000011b59 + number % 13, 1000 + number / 13};

    return node;
}

/* The rule as it is stated, of claims in the order of the log. */
static lc_node
successor_by_rule(const claim_row *rows, guint count, const lc_node *node)
{
    lc_node nobody = {0, 0};
    guint i;

    for (i = 0; i < count; i++) {
        if (rows[i].effective && Msg_SameNode(&rows[i].claimed_owner, node)) {
            return rows[i].successor;
        }
    }
    return nobody;
}

static void
judge_by_rule(claim_row *rows, guint count)
{
    guint i;

    for (i = 0; i < count; i++) {
        rows[i].effective =
            successor_by_rule(rows, i, &rows[i].claimed_owner).incarnation ==
                0 &&
            successor_by_rule(rows, i, &rows[i].successor).incarnation == 0 &&
            !Msg_SameNode(&rows[i].claimed_owner, &rows[i].successor);
    }
}

static void
shuffle(GRand *random, guint *order, guint count)
{
    guint i;

    for (i = 0; i < count; i++) {
        order[i] = i;
    }
    for (i = count; i > 1; i--) {
        guint j = (guint)g_rand_int_range(random, 0, (gint32)i);
        guint kept = order[i - 1];
        order[i - 1] = order[j];
        order[j] = kept;
    }
}

/* Adds the claims in some order, some of them twice. */
static Claims *
add_all(GRand *random, const claim_row *rows, guint count, bool in_order)
{
    Claims *claims = Claims_New();
    guint order[40];
    guint i;

    shuffle(random, order, count);
    for (i = 0; i < count; i++) {
        const claim_row *row = &rows[in_order ? i : order[i]];
        Claims_Add(claims, row->offset, &row->claimed_owner, &row->successor);
        if (g_rand_int_range(random, 0, 3) == 0) {
            Claims_Add(claims, row->offset, &row->claimed_owner,
                       &row->successor);
        }
    }
    return claims;
}

static void
check_owner(Claims *claims, const claim_row *rows, guint count,
            uint64_t number)
{
    lc_node first = owner(number);
    lc_node node = first;
    lc_node next = successor_by_rule(rows, count, &node);
    lc_node predecessor = {0, 0};
    Claims_Ownership found;
    uint32_t changes = 0;

    while (next.incarnation != 0) {
        predecessor = node;
        node = next;
        next = successor_by_rule(rows, count, &node);
        changes++;
        g_assert_cmpuint(changes, <=, count);
    }
    found = Claims_Follow(claims, &first);
    g_assert_true(Msg_SameNode(&found.owner, &node));
    g_assert_true(Msg_SameNode(&found.predecessor, &predecessor));
    g_assert_cmpuint(found.claims_count, ==, changes);
}

/* Guards against two entries that take different owners for the current one:
 * any claims, by anybody, in any order, and no cycle among them. */
static void
test_order_does_not_matter(void)
{
    GRand *random = g_rand_new_with_seed(86);
    claim_row rows[40];
    int round;
    guint i;

    for (round = 0; round < 2000; round++) {
        guint count = (guint)g_rand_int_range(random, 1, 40);
        gint32 owners = g_rand_int_range(random, 1, 12);
        Claims *claims;
        for (i = 0; i < count; i++) {
            rows[i].offset = (uint64_t)10 * i;
            rows[i].claimed_owner = owner(
                (uint64_t)g_rand_int_range(random, 0, owners));
            rows[i].successor = owner(
                (uint64_t)g_rand_int_range(random, 0, owners));
        }
        judge_by_rule(rows, count);
        claims = add_all(random, rows, count, round % 2 == 0);
        for (i = 0; i < (guint)owners; i++) {
            check_owner(claims, rows, count, i);
        }
        Claims_Free(claims);
    }
    g_rand_free(random);
}

/* Guards against a history that stops entries: each one reads all of it as it
 * starts. */
static void
test_long_history(void)
{
    const uint32_t count = 100000;
    clock_t start = clock();
    Claims *claims = Claims_New();
    lc_node first = owner(0);
    Claims_Ownership found;
    uint32_t i;

    for (i = 0; i < count; i++) {
        lc_node claimed = owner(i);
        lc_node successor = owner(i + 1);
        Claims_Add(claims, i, &claimed, &successor);
        g_assert_cmpuint(Claims_Follow(claims, &first).claims_count, ==,
                         i + 1);
    }
    for (i = count; i > 0; i--) {
        lc_node claimed = owner(2 * count + i);
        lc_node successor = owner(2 * count + i + 1);
        Claims_Add(claims, count + i, &claimed, &successor);
    }
    found = Claims_Follow(claims, &first);
    g_assert_cmpuint(found.claims_count, ==, count);
    g_assert_cmpfloat((double)(clock() - start) / CLOCKS_PER_SEC, <,
                      MAX_STALL_S);
    Claims_Free(claims);
}

/* Predecessors are named until a takeover from them, or from an owner after
 * them, is complete. */
static void
test_complete_takeovers_are_not_named(void)
{
    Claims *claims = Claims_New();
    GArray *named;
    uint64_t i;

    for (i = 0; i < 9; i++) {
        lc_node claimed = owner(i);
        lc_node successor = owner(i + 1);
        Claims_Add(claims, i, &claimed, &successor);
    }
    for (i = 0; i < 9; i += 5) {
        lc_node complete = owner(i);
        Claims_SetComplete(claims, &complete);
    }
    {
        lc_node last = owner(8);
        named = Claims_Predecessors(claims, &last);
    }
    g_assert_cmpuint(named->len, ==, 3);
    for (i = 0; i < 3; i++) {
        lc_node expected = owner(8 - i);
        g_assert_true(
            Msg_SameNode(&g_array_index(named, lc_node, i), &expected));
    }
    g_array_unref(named);
    Claims_Free(claims);
}

static const TestTable_Row rules[] = {
    {"/claims/any order gives the same owners, without cycles",
     test_order_does_not_matter},
    {"/claims/a long history is read in time", test_long_history},
    {"/claims/predecessors of a complete takeover are not named",
     test_complete_takeovers_are_not_named},
};

int
main(int argc, char **argv)
{
    alarm(ALARM_S);
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}

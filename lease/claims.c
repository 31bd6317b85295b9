#include "lease/claims.h"

typedef struct {
    uint64_t offset;
    lc_node claimed_owner;
    lc_node successor;
} claim_record;

/* An owner that claims name. Effective claims make these rows a forest. */
typedef struct owner_row {
    lc_node node;
    struct owner_row *successor;     /* NULL: not claimed */
    struct owner_row *first_claimed; /* list of the owners that it claimed */
    struct owner_row *next_claimed;  /* next one in its successor's list */
    struct owner_row *skip; /* a later owner that is claimed itself; NULL: not
                               known further than `successor` */
    uint32_t skipped;       /* claims from here to `skip` */
    bool complete;          /* see Claims_SetComplete */
} owner_row;

struct Claims {
    GHashTable *owners; /* lc_node -> owner_row */
    GArray *records;    /* claim_record, by offset if `judged` */
    bool judged;
};

Claims *
Claims_New(void)
{
    Claims *claims = g_new0(Claims, 1);

    claims->owners = g_hash_table_new_full(Msg_HashNode, Msg_EqualNodes, NULL,
                                           g_free);
    claims->records = g_array_new(FALSE, FALSE, sizeof(claim_record));
    claims->judged = true;
    return claims;
}

void
Claims_Free(Claims *claims)
{
    g_hash_table_unref(claims->owners);
    g_array_unref(claims->records);
    g_free(claims);
}

static owner_row *
find_owner(const Claims *claims, const lc_node *node)
{
    return g_hash_table_lookup(claims->owners, node);
}

static owner_row *
find_or_add_owner(Claims *claims, const lc_node *node)
{
    owner_row *row = find_owner(claims, node);

    if (row == NULL) {
        row = g_new0(owner_row, 1);
        row->node = *node;
        g_hash_table_insert(claims->owners, &row->node, row);
    }
    return row;
}

/* Judges a claim; all earlier ones have been judged. */
static bool
judge(Claims *claims, const claim_record *record)
{
    owner_row *claimed = find_or_add_owner(claims, &record->claimed_owner);
    owner_row *successor = find_or_add_owner(claims, &record->successor);

    if (claimed->successor != NULL || successor->successor != NULL ||
        claimed == successor) {
        return false;
    }
    claimed->successor = successor;
    claimed->next_claimed = successor->first_claimed;
    successor->first_claimed = claimed;
    return true;
}

static gint
compare_records(gconstpointer a, gconstpointer b)
{
    const claim_record *left = a;
    const claim_record *right = b;

    return left->offset < right->offset ? -1 : left->offset > right->offset;
}

static void
sort_records(Claims *claims)
{
    claim_record *rows;
    guint kept = 0;
    guint i;

    g_array_sort(claims->records, compare_records);
    rows = (claim_record *)(void *)claims->records->data;
    for (i = 0; i < claims->records->len; i++) {
        if (kept == 0 || rows[kept - 1].offset != rows[i].offset) {
            rows[kept++] = rows[i];
        }
    }
    g_array_set_size(claims->records, kept);
}

static void
judge_all(Claims *claims)
{
    GHashTableIter iter;
    gpointer item;
    guint i;

    if (claims->judged) {
        return;
    }
    claims->judged = true;
    g_hash_table_iter_init(&iter, claims->owners);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        owner_row *row = item;
        row->successor = NULL;
        row->first_claimed = NULL;
        row->next_claimed = NULL;
        row->skip = NULL;
    }
    sort_records(claims);
    for (i = 0; i < claims->records->len; i++) {
        judge(claims, &g_array_index(claims->records, claim_record, i));
    }
}

bool
Claims_Add(Claims *claims, uint64_t offset, const lc_node *claimed_owner,
           const lc_node *successor)
{
    claim_record record = {offset, *claimed_owner, *successor};
    guint count = claims->records->len;
    uint64_t last =
        count == 0
            ? 0
            : g_array_index(claims->records, claim_record, count - 1).offset;

    if (count > 0 && offset == last) {
        return false;
    }
    g_array_append_val(claims->records, record);
    if (!claims->judged || (count > 0 && offset < last)) {
        claims->judged = false;
        return false;
    }
    return judge(claims, &record);
}

bool
Claims_IsInOrder(const Claims *claims)
{
    return claims->judged;
}

void
Claims_SetComplete(Claims *claims, const lc_node *claimed_owner)
{
    find_or_add_owner(claims, claimed_owner)->complete = true;
}

lc_node
Claims_SuccessorOf(Claims *claims, const lc_node *node)
{
    lc_node nobody = {0, 0};
    const owner_row *row;

    judge_all(claims);
    row = find_owner(claims, node);
    return row == NULL || row->successor == NULL ? nobody
                                                 : row->successor->node;
}

/* The last claimed owner on the way from a claimed one to the current owner.
 * Shortens the way for later calls; only claimed owners are skipped to,
 * because their successors never change. */
static owner_row *
find_last_claimed(owner_row *from, uint32_t *skipped)
{
    owner_row *last = from;
    owner_row *row = from;
    uint32_t left = 0;

    while (last->successor->successor != NULL) {
        if (last->skip == NULL) {
            last->skip = last->successor;
            last->skipped = 1;
        }
        left += last->skipped;
        last = last->skip;
    }
    *skipped = left;
    while (row != last) {
        owner_row *next = row->skip;
        uint32_t step = row->skipped;
        row->skip = last;
        row->skipped = left;
        left -= step;
        row = next;
    }
    return last;
}

Claims_Ownership
Claims_Follow(Claims *claims, const lc_node *first_owner)
{
    Claims_Ownership ownership = {.owner = *first_owner};
    owner_row *row;

    judge_all(claims);
    row = find_owner(claims, first_owner);
    if (row != NULL && row->successor != NULL) {
        row = find_last_claimed(row, &ownership.claims_count);
        ownership.claims_count++;
        ownership.predecessor = row->node;
        ownership.owner = row->successor->node;
    }
    return ownership;
}

GArray *
Claims_ClaimedBy(Claims *claims, const lc_node *successor)
{
    GArray *nodes = g_array_new(FALSE, TRUE, sizeof(lc_node));
    const owner_row *row;

    judge_all(claims);
    row = find_owner(claims, successor);
    for (row = row == NULL ? NULL : row->first_claimed; row != NULL;
         row = row->next_claimed) {
        g_array_append_val(nodes, row->node);
    }
    return nodes;
}

GArray *
Claims_Predecessors(Claims *claims, const lc_node *node)
{
    GArray *nodes = g_array_new(FALSE, TRUE, sizeof(lc_node));
    guint i;

    judge_all(claims);
    g_array_append_val(nodes, *node);
    for (i = 0; i < nodes->len; i++) {
        const owner_row *row = find_owner(claims,
                                          &g_array_index(nodes, lc_node, i));
        for (row = row == NULL ? NULL : row->first_claimed; row != NULL;
             row = row->next_claimed) {
            if (!row->complete) {
                g_array_append_val(nodes, row->node);
            }
        }
    }
    return nodes;
}

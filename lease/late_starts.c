#include "lease/late_starts.h"

/* The list of one incarnation of a companion. */
typedef struct {
    lc_node companion;
    uint32_t version;
    int64_t until_ms; /* when all that it ever listed has expired */
    GArray *jobs;     /* uint64_t, of the rows listed now */
} late_list;

struct LateStarts {
    GHashTable *lists;  /* lc_node -> late_list */
    GHashTable *by_job; /* job id -> GArray of LateStart */
};

static guint
hash_node(gconstpointer key)
{
    const lc_node *node = key;
    uint64_t both = node->address ^ node->incarnation;

    return g_int64_hash(&both);
}

static gboolean
equal_nodes(gconstpointer a, gconstpointer b)
{
    return Msg_SameNode(a, b);
}

static void
free_list(gpointer item)
{
    late_list *list = item;

    g_array_unref(list->jobs);
    g_free(list);
}

static void
free_rows(gpointer item)
{
    g_array_unref(item);
}

LateStarts *
LateStarts_New(void)
{
    LateStarts *self = g_new0(LateStarts, 1);

    self->lists = g_hash_table_new_full(hash_node, equal_nodes, NULL,
                                        free_list);
    self->by_job = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                         free_rows);
    return self;
}

void
LateStarts_Free(LateStarts *self)
{
    g_hash_table_unref(self->lists);
    g_hash_table_unref(self->by_job);
    g_free(self);
}

static void
remove_rows_of_job(LateStarts *self, uint64_t job, const lc_node *companion)
{
    GArray *rows = g_hash_table_lookup(self->by_job, &job);
    guint i = rows == NULL ? 0 : rows->len;

    while (i > 0) {
        const LateStart *row = &g_array_index(rows, LateStart, --i);
        if (Msg_SameNode(&row->companion, companion)) {
            g_array_remove_index_fast(rows, i);
        }
    }
    if (rows != NULL && rows->len == 0) {
        g_hash_table_remove(self->by_job, &job);
    }
}

static void
remove_rows(LateStarts *self, late_list *list)
{
    guint i;

    for (i = 0; i < list->jobs->len; i++) {
        remove_rows_of_job(self, g_array_index(list->jobs, uint64_t, i),
                           &list->companion);
    }
    g_array_set_size(list->jobs, 0);
}

static void
add_row(LateStarts *self, int64_t now_ms, late_list *list,
        const lc_late_start *late)
{
    LateStart row = {.id = late->id,
                     .companion = list->companion,
                     .until_ms = now_ms + late->late_start_ms};
    uint64_t job = late->id.job;
    GArray *rows = g_hash_table_lookup(self->by_job, &job);

    if (rows == NULL) {
        rows = g_array_new(FALSE, TRUE, sizeof(LateStart));
        g_hash_table_insert(self->by_job, g_memdup2(&job, sizeof(job)), rows);
    }
    g_array_append_val(rows, row);
    g_array_append_val(list->jobs, job);
    list->until_ms = MAX(list->until_ms, row.until_ms);
}

static late_list *
find_or_add(LateStarts *self, const lc_node *companion)
{
    late_list *list = g_hash_table_lookup(self->lists, companion);

    if (list == NULL) {
        list = g_new0(late_list, 1);
        list->companion = *companion;
        list->jobs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_hash_table_insert(self->lists, &list->companion, list);
    }
    return list;
}

bool
LateStarts_Replace(LateStarts *self, int64_t now_ms, const lc_node *companion,
                   uint32_t version, const lc_late_start *rows, uint32_t count)
{
    late_list *list;
    uint32_t i;

    if (version <= LateStarts_Version(self, companion)) {
        return false;
    }
    list = find_or_add(self, companion);
    list->version = version;
    remove_rows(self, list);
    for (i = 0; i < count; i++) {
        add_row(self, now_ms, list, &rows[i]);
    }
    return true;
}

void
LateStarts_Add(LateStarts *self, int64_t now_ms, const LateStart *late)
{
    lc_late_start row = {.id = late->id,
                         .late_start_ms = (u_int)(late->until_ms - now_ms)};

    if (now_ms < late->until_ms) {
        add_row(self, now_ms, find_or_add(self, &late->companion), &row);
    }
}

uint32_t
LateStarts_Version(const LateStarts *self, const lc_node *companion)
{
    const late_list *list = g_hash_table_lookup(self->lists, companion);

    return list == NULL ? 0 : list->version;
}

const GArray *
LateStarts_OfJob(const LateStarts *self, uint64_t job)
{
    return g_hash_table_lookup(self->by_job, &job);
}

void
LateStarts_RemoveExpired(LateStarts *self, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, self->lists);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        late_list *list = item;
        if (now_ms >= list->until_ms) {
            remove_rows(self, list);
            g_hash_table_iter_remove(&iter);
        }
    }
}

uint32_t
LateStarts_ListCount(const LateStarts *self)
{
    return g_hash_table_size(self->lists);
}

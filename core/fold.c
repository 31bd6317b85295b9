#include "core/fold.h"

#include <stdlib.h>
#include <string.h>

#define MAX_RETAINED 2048
#define MAX_EDITS 4096

typedef struct {
    uint64_t offset;
    char *text;
} retained_record;

struct Fold {
    int64_t window_ms;
    uint64_t next;
    uint64_t last_offset; /* of the last record, snapshots excluded */
    uint64_t since_snapshot;
    bool synced;
    uint64_t resume_offset; /* while not synced: where reading resumed */
    View *view;
    Table *table;
    GArray *retained;
    GHashTable *edits;  /* id -> Fold_Edit */
    GQueue *edit_order; /* ids, oldest first, owned by `edits` */
};

static void
clear_retained(gpointer item)
{
    free(((retained_record *)item)->text);
}

Fold *
Fold_New(int64_t window_ms)
{
    Fold *fold = g_new0(Fold, 1);

    fold->window_ms = window_ms;
    fold->next = 1;
    fold->synced = true;
    fold->view = View_New(window_ms);
    fold->table = Table_New();
    fold->retained = g_array_new(FALSE, FALSE, sizeof(retained_record));
    g_array_set_clear_func(fold->retained, clear_retained);
    fold->edits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        g_free);
    fold->edit_order = g_queue_new();
    return fold;
}

void
Fold_Free(Fold *fold)
{
    if (fold == NULL) {
        return;
    }
    View_Free(fold->view);
    Table_Free(fold->table);
    g_array_unref(fold->retained);
    g_queue_free(fold->edit_order);
    g_hash_table_unref(fold->edits);
    g_free(fold);
}

uint64_t
Fold_Next(const Fold *fold)
{
    return fold->next;
}

bool
Fold_Synced(const Fold *fold)
{
    return fold->synced;
}

const View *
Fold_View(const Fold *fold)
{
    return fold->view;
}

const Table *
Fold_Table(const Fold *fold)
{
    return fold->table;
}

lc_position
Fold_Position(const Fold *fold)
{
    lc_position position = {fold->synced ? fold->next : 0, fold->view->epoch};

    return position;
}

uint64_t
Fold_SinceSnapshot(const Fold *fold)
{
    return fold->since_snapshot;
}

const Fold_Edit *
Fold_FindEdit(const Fold *fold, const char *id)
{
    return g_hash_table_lookup(fold->edits, id);
}

static void
record_edit_result(Fold *fold, const char *id, uint64_t offset, bool accepted)
{
    Fold_Edit *edit;
    char *key;

    if (g_hash_table_contains(fold->edits, id)) {
        return;
    }
    edit = g_new(Fold_Edit, 1);
    edit->offset = offset;
    edit->accepted = accepted;
    key = g_strdup(id);
    g_hash_table_insert(fold->edits, key, edit);
    g_queue_push_tail(fold->edit_order, key);
    if (g_queue_get_length(fold->edit_order) > MAX_EDITS) {
        g_hash_table_remove(fold->edits, g_queue_pop_head(fold->edit_order));
    }
}

static void
retain(Fold *fold, uint64_t offset, const char *text)
{
    retained_record kept = {offset, strdup(text)};

    if (fold->retained->len >= MAX_RETAINED) {
        g_array_remove_range(fold->retained, 0, MAX_RETAINED / 2);
    }
    g_array_append_val(fold->retained, kept);
}

/* Synced readers need only the offset of a snapshot, not its state. */
static void
retain_placeholder(Fold *fold, uint64_t offset, uint64_t as_of)
{
    char text[64];

    g_snprintf(text, sizeof(text), "{\"kind\":\"snapshot\",\"as_of\":%llu}",
               (unsigned long long)as_of);
    retain(fold, offset, text);
}

static Fold_Result
apply_edit(Fold *fold, uint64_t offset, const json_t *record, Status *status)
{
    const char *id = json_string_value(json_object_get(record, "id"));
    const char *group = json_string_value(json_object_get(record, "group"));
    const json_t *base = json_object_get(record, "base");
    const json_t *value = json_object_get(record, "row");
    uint64_t version;
    Table_Row row;

    if (id == NULL || group == NULL || !json_is_integer(base) ||
        value == NULL || !Table_ValidName(group)) {
        Err_Set(status, ERR_BAD_RECORD, "edit: a field is malformed");
        return FOLD_SKIPPED;
    }
    memset(&row, 0, sizeof(row));
    if (json_is_null(value)) {
        g_strlcpy(row.group, group, sizeof(row.group));
    }
    else if (Table_RowFromJson(group, value, &row, status) != ERR_OK) {
        return FOLD_SKIPPED;
    }
    version = Table_Version(fold->table, group);
    if ((uint64_t)json_integer_value(base) != version) {
        Err_Set(status, ERR_STALE_ROW, "edit of %s is based on %lld, not %llu",
                group, (long long)json_integer_value(base),
                (unsigned long long)version);
        record_edit_result(fold, id, offset, false);
        return FOLD_EDIT_REFUSED;
    }
    row.version = offset;
    Table_Put(fold->table, &row);
    record_edit_result(fold, id, offset, true);
    Err_Set(status, ERR_OK, "%s", group);
    return FOLD_EDIT;
}

static Fold_Result
apply_view(Fold *fold, uint64_t offset, const json_t *record, Status *status)
{
    if (View_Apply(fold->view, offset, record, status) != ERR_OK) {
        return FOLD_VIEW_REFUSED;
    }
    return FOLD_VIEW;
}

/* Replaces the state by that of a record; on false it is unchanged. */
static bool
replace_state(Fold *fold, const json_t *record, uint64_t as_of)
{
    View *view = View_FromJson(json_object_get(record, "view"),
                               fold->window_ms);
    Table *table = Table_FromJson(json_object_get(record, "table"));

    if (view == NULL || table == NULL) {
        View_Free(view);
        Table_Free(table);
        return false;
    }
    View_Free(fold->view);
    Table_Free(fold->table);
    fold->view = view;
    fold->table = table;
    fold->last_offset = as_of;
    fold->synced = true;
    g_array_set_size(fold->retained, 0);
    return true;
}

/* Snapshot record of the log; only readers that missed records load it. */
static Fold_Result
apply_snapshot(Fold *fold, uint64_t offset, const json_t *record,
               Status *status)
{
    uint64_t as_of = (uint64_t)json_integer_value(
        json_object_get(record, "as_of"));

    if (fold->synced) {
        retain_placeholder(fold, offset, as_of);
        if (as_of == fold->last_offset) {
            fold->since_snapshot = 0;
            return FOLD_SNAPSHOT;
        }
        Err_Set(status, ERR_BAD_RECORD, "snapshot as of %llu, not %llu",
                (unsigned long long)as_of,
                (unsigned long long)fold->last_offset);
        return FOLD_SKIPPED;
    }
    if (as_of < fold->last_offset || as_of + 1 < fold->resume_offset ||
        !replace_state(fold, record, as_of)) {
        Err_Set(status, ERR_BAD_RECORD, "snapshot as of %llu does not serve",
                (unsigned long long)as_of);
        return FOLD_SKIPPED;
    }
    fold->since_snapshot = 0;
    return FOLD_LOADED;
}

/* State relayed by a peer that no longer retains the missing records. */
static Fold_Result
apply_relayed_state(Fold *fold, uint64_t offset, const json_t *record,
                    Status *status)
{
    uint64_t as_of = (uint64_t)json_integer_value(
        json_object_get(record, "as_of"));

    if (!replace_state(fold, record, as_of)) {
        Err_Set(status, ERR_BAD_RECORD, "relayed state is malformed");
        return FOLD_SKIPPED;
    }
    fold->next = offset + 1;
    return FOLD_LOADED;
}

static Fold_Result
dispatch_record(Fold *fold, uint64_t offset, const char *text,
                const json_t *record, const char *kind, Status *status)
{
    if (strcmp(kind, "snapshot") == 0) {
        return apply_snapshot(fold, offset, record, status);
    }
    fold->last_offset = offset;
    fold->since_snapshot++;
    if (!fold->synced) {
        return FOLD_GAP;
    }
    retain(fold, offset, text);
    if (strcmp(kind, "view") == 0) {
        return apply_view(fold, offset, record, status);
    }
    if (strcmp(kind, "edit") == 0) {
        return apply_edit(fold, offset, record, status);
    }
    if (kind[0] != '\0') {
        Err_Set(status, ERR_BAD_RECORD, "unknown kind");
    }
    return FOLD_SKIPPED;
}

Fold_Result
Fold_Apply(Fold *fold, uint64_t offset, const char *record, Status *status)
{
    json_t *value;
    const char *kind;
    Fold_Result result;

    if (offset < fold->next) {
        return FOLD_OLD;
    }
    value = json_loads(record, 0, NULL);
    kind = json_string_value(json_object_get(value, "kind"));
    if (kind != NULL && strcmp(kind, "state") == 0) {
        result = apply_relayed_state(fold, offset, value, status);
    }
    else if (offset > fold->next) {
        Err_Set(status, ERR_BAD_RECORD, "record %llu before %llu",
                (unsigned long long)offset, (unsigned long long)fold->next);
        result = FOLD_GAP;
    }
    else {
        fold->next = offset + 1;
        Err_Set(status, ERR_BAD_RECORD, "no JSON object with a kind");
        result = dispatch_record(fold, offset, record, value,
                                 kind == NULL ? "" : kind, status);
    }
    json_decref(value);
    return result;
}

void
Fold_Expired(Fold *fold, uint64_t first)
{
    if (first <= fold->next) {
        return;
    }
    fold->synced = false;
    fold->resume_offset = first;
    fold->next = first;
}

char *
Fold_EditRecord(const char *id, const char *group, uint64_t base,
                const Table_Row *row)
{
    json_t *row_json = row == NULL ? json_null() : Table_RowToJson(row);
    json_t *record = json_pack("{s:s, s:s, s:s, s:I, s:o}", "kind", "edit",
                               "id", id, "group", group, "base",
                               (json_int_t)base, "row", row_json);
    char *text = json_dumps(record, JSON_COMPACT);

    json_decref(record);
    return text;
}

static char *
encode_state(const Fold *fold, const char *kind, uint64_t as_of)
{
    json_t *record = json_pack(
        "{s:s, s:I, s:o, s:o}", "kind", kind, "as_of", (json_int_t)as_of,
        "view", View_ToJson(fold->view), "table", Table_ToJson(fold->table));
    char *text = json_dumps(record, JSON_COMPACT);

    json_decref(record);
    return text;
}

char *
Fold_SnapshotRecord(const Fold *fold)
{
    return encode_state(fold, "snapshot", fold->last_offset);
}

uint32_t
Fold_Collect(const Fold *fold, uint64_t next, lc_record *out, uint32_t limit,
             char **state)
{
    uint32_t count = 0;
    guint i;

    *state = NULL;
    if (next >= fold->next || !fold->synced || limit == 0) {
        return 0;
    }
    for (i = 0; i < fold->retained->len && count < limit; i++) {
        const retained_record *kept = &g_array_index(fold->retained,
                                                     retained_record, i);
        if (kept->offset < next) {
            continue;
        }
        if (kept->offset != next) {
            break;
        }
        out[count].offset = kept->offset;
        out[count].data = kept->text;
        count++;
        next++;
    }
    if (count > 0) {
        return count;
    }
    *state = encode_state(fold, "state", fold->last_offset);
    out[0].offset = fold->next - 1;
    out[0].data = *state;
    return 1;
}

#include "core/replica.h"

#include <stdlib.h>
#include <string.h>

#define MAX_RETAINED 2048
#define MAX_EDITS 4096

typedef struct {
    uint64_t offset;
    char *text;
} retained_record;

struct Replica {
    int64_t window_ms;
    uint64_t next;
    uint64_t last_offset; /* of the last record, snapshots excluded */
    uint64_t since_snapshot;
    bool synced;
    uint64_t resume_offset; /* while not synced: where reading resumed */
    View *view;
    GroupTable *table;
    GArray *retained;
    GHashTable *edits;  /* id -> Replica_Edit */
    GQueue *edit_order; /* ids, oldest first, owned by `edits` */
};

static void
clear_retained(gpointer item)
{
    free(((retained_record *)item)->text);
}

Replica *
Replica_New(int64_t window_ms)
{
    Replica *replica = g_new0(Replica, 1);

    replica->window_ms = window_ms;
    replica->next = 1;
    replica->synced = true;
    replica->view = View_New(window_ms);
    replica->table = GroupTable_New();
    replica->retained = g_array_new(FALSE, FALSE, sizeof(retained_record));
    g_array_set_clear_func(replica->retained, clear_retained);
    replica->edits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           g_free);
    replica->edit_order = g_queue_new();
    return replica;
}

void
Replica_Free(Replica *replica)
{
    if (replica == NULL) {
        return;
    }
    View_Free(replica->view);
    GroupTable_Free(replica->table);
    g_array_unref(replica->retained);
    g_queue_free(replica->edit_order);
    g_hash_table_unref(replica->edits);
    g_free(replica);
}

uint64_t
Replica_NextOffset(const Replica *replica)
{
    return replica->next;
}

bool
Replica_IsSynced(const Replica *replica)
{
    return replica->synced;
}

const View *
Replica_View(const Replica *replica)
{
    return replica->view;
}

const GroupTable *
Replica_GroupTable(const Replica *replica)
{
    return replica->table;
}

lc_position
Replica_Position(const Replica *replica)
{
    lc_position position = {replica->synced ? replica->next : 0,
                            replica->view->epoch};

    return position;
}

uint64_t
Replica_RecordsSinceSnapshot(const Replica *replica)
{
    return replica->since_snapshot;
}

const Replica_Edit *
Replica_FindEdit(const Replica *replica, const char *id)
{
    return g_hash_table_lookup(replica->edits, id);
}

static void
record_edit_result(Replica *replica, const char *id, uint64_t offset,
                   bool accepted)
{
    Replica_Edit *edit;
    char *key;

    if (g_hash_table_contains(replica->edits, id)) {
        return;
    }
    edit = g_new(Replica_Edit, 1);
    edit->offset = offset;
    edit->accepted = accepted;
    key = g_strdup(id);
    g_hash_table_insert(replica->edits, key, edit);
    g_queue_push_tail(replica->edit_order, key);
    if (g_queue_get_length(replica->edit_order) > MAX_EDITS) {
        g_hash_table_remove(replica->edits,
                            g_queue_pop_head(replica->edit_order));
    }
}

static void
retain(Replica *replica, uint64_t offset, const char *text)
{
    retained_record kept = {offset, strdup(text)};

    if (replica->retained->len >= MAX_RETAINED) {
        g_array_remove_range(replica->retained, 0, MAX_RETAINED / 2);
    }
    g_array_append_val(replica->retained, kept);
}

/* Synced readers need only the offset of a snapshot, not its state. */
static void
retain_placeholder(Replica *replica, uint64_t offset, uint64_t as_of)
{
    char text[64];

    g_snprintf(text, sizeof(text), "{\"kind\":\"snapshot\",\"as_of\":%llu}",
               (unsigned long long)as_of);
    retain(replica, offset, text);
}

static Replica_Result
apply_edit(Replica *replica, uint64_t offset, const json_t *record,
           Status *status)
{
    const char *id = json_string_value(json_object_get(record, "id"));
    const char *group = json_string_value(json_object_get(record, "group"));
    const json_t *base = json_object_get(record, "base");
    const json_t *value = json_object_get(record, "row");
    uint64_t version;
    GroupTable_Row row;

    if (id == NULL || group == NULL || !json_is_integer(base) ||
        value == NULL || !GroupTable_IsValidName(group)) {
        Err_Set(status, ERR_BAD_RECORD, "edit: a field is malformed");
        return REPLICA_SKIPPED;
    }
    memset(&row, 0, sizeof(row));
    if (json_is_null(value)) {
        g_strlcpy(row.group, group, sizeof(row.group));
    }
    else if (GroupTable_RowFromJson(group, value, &row, status) != ERR_OK) {
        return REPLICA_SKIPPED;
    }
    version = GroupTable_Version(replica->table, group);
    if ((uint64_t)json_integer_value(base) != version) {
        Err_Set(status, ERR_STALE_ROW, "edit of %s is based on %lld, not %llu",
                group, (long long)json_integer_value(base),
                (unsigned long long)version);
        record_edit_result(replica, id, offset, false);
        return REPLICA_EDIT_REFUSED;
    }
    row.version = offset;
    GroupTable_Put(replica->table, &row);
    record_edit_result(replica, id, offset, true);
    Err_Set(status, ERR_OK, "%s", group);
    return REPLICA_EDIT;
}

static Replica_Result
apply_view(Replica *replica, uint64_t offset, const json_t *record,
           Status *status)
{
    if (View_Apply(replica->view, offset, record, status) != ERR_OK) {
        return REPLICA_VIEW_REFUSED;
    }
    return REPLICA_VIEW;
}

/* Replaces the state by that of a record; on false it is unchanged. */
static bool
replace_state(Replica *replica, const json_t *record, uint64_t as_of)
{
    View *view = View_FromJson(json_object_get(record, "view"),
                               replica->window_ms);
    GroupTable *table = GroupTable_FromJson(json_object_get(record, "table"));

    if (view == NULL || table == NULL) {
        View_Free(view);
        GroupTable_Free(table);
        return false;
    }
    View_Free(replica->view);
    GroupTable_Free(replica->table);
    replica->view = view;
    replica->table = table;
    replica->last_offset = as_of;
    replica->synced = true;
    g_array_set_size(replica->retained, 0);
    return true;
}

/* Snapshot record of the log; only readers that missed records load it. */
static Replica_Result
apply_snapshot(Replica *replica, uint64_t offset, const json_t *record,
               Status *status)
{
    uint64_t as_of = (uint64_t)json_integer_value(
        json_object_get(record, "as_of"));

    if (replica->synced) {
        retain_placeholder(replica, offset, as_of);
        if (as_of == replica->last_offset) {
            replica->since_snapshot = 0;
            return REPLICA_SNAPSHOT;
        }
        Err_Set(status, ERR_BAD_RECORD, "snapshot as of %llu, not %llu",
                (unsigned long long)as_of,
                (unsigned long long)replica->last_offset);
        return REPLICA_SKIPPED;
    }
    if (as_of < replica->last_offset || as_of + 1 < replica->resume_offset ||
        !replace_state(replica, record, as_of)) {
        Err_Set(status, ERR_BAD_RECORD, "snapshot as of %llu does not serve",
                (unsigned long long)as_of);
        return REPLICA_SKIPPED;
    }
    replica->since_snapshot = 0;
    return REPLICA_LOADED;
}

/* State relayed by a peer that no longer retains the missing records. */
static Replica_Result
apply_relayed_state(Replica *replica, uint64_t offset, const json_t *record,
                    Status *status)
{
    uint64_t as_of = (uint64_t)json_integer_value(
        json_object_get(record, "as_of"));

    if (!replace_state(replica, record, as_of)) {
        Err_Set(status, ERR_BAD_RECORD, "relayed state is malformed");
        return REPLICA_SKIPPED;
    }
    replica->next = offset + 1;
    return REPLICA_LOADED;
}

static Replica_Result
dispatch_record(Replica *replica, uint64_t offset, const char *text,
                const json_t *record, const char *kind, Status *status)
{
    if (strcmp(kind, "snapshot") == 0) {
        return apply_snapshot(replica, offset, record, status);
    }
    replica->last_offset = offset;
    replica->since_snapshot++;
    if (!replica->synced) {
        return REPLICA_GAP;
    }
    retain(replica, offset, text);
    if (strcmp(kind, "view") == 0) {
        return apply_view(replica, offset, record, status);
    }
    if (strcmp(kind, "edit") == 0) {
        return apply_edit(replica, offset, record, status);
    }
    if (kind[0] != '\0') {
        Err_Set(status, ERR_BAD_RECORD, "unknown kind");
    }
    return REPLICA_SKIPPED;
}

Replica_Result
Replica_Apply(Replica *replica, uint64_t offset, const char *record,
              Status *status)
{
    json_t *value;
    const char *kind;
    Replica_Result result;

    if (offset < replica->next) {
        return REPLICA_ALREADY_APPLIED;
    }
    value = json_loads(record, 0, NULL);
    kind = json_string_value(json_object_get(value, "kind"));
    if (kind != NULL && strcmp(kind, "state") == 0) {
        result = apply_relayed_state(replica, offset, value, status);
    }
    else if (offset > replica->next) {
        Err_Set(status, ERR_BAD_RECORD, "record %llu before %llu",
                (unsigned long long)offset, (unsigned long long)replica->next);
        result = REPLICA_GAP;
    }
    else {
        replica->next = offset + 1;
        Err_Set(status, ERR_BAD_RECORD, "no JSON object with a kind");
        result = dispatch_record(replica, offset, record, value,
                                 kind == NULL ? "" : kind, status);
    }
    json_decref(value);
    return result;
}

void
Replica_OnRecordsExpired(Replica *replica, uint64_t first)
{
    if (first <= replica->next) {
        return;
    }
    replica->synced = false;
    replica->resume_offset = first;
    replica->next = first;
}

char *
Replica_EncodeEdit(const char *id, const char *group, uint64_t base,
                   const GroupTable_Row *row)
{
    json_t *row_json = row == NULL ? json_null() : GroupTable_RowToJson(row);
    json_t *record = json_pack("{s:s, s:s, s:s, s:I, s:o}", "kind", "edit",
                               "id", id, "group", group, "base",
                               (json_int_t)base, "row", row_json);
    char *text = json_dumps(record, JSON_COMPACT);

    json_decref(record);
    return text;
}

static char *
encode_state(const Replica *replica, const char *kind, uint64_t as_of)
{
    json_t *record = json_pack("{s:s, s:I, s:o, s:o}", "kind", kind, "as_of",
                               (json_int_t)as_of, "view",
                               View_ToJson(replica->view), "table",
                               GroupTable_ToJson(replica->table));
    char *text = json_dumps(record, JSON_COMPACT);

    json_decref(record);
    return text;
}

char *
Replica_EncodeSnapshot(const Replica *replica)
{
    return encode_state(replica, "snapshot", replica->last_offset);
}

uint32_t
Replica_CollectRecords(const Replica *replica, uint64_t next, lc_record *out,
                       uint32_t limit, char **state)
{
    uint32_t count = 0;
    guint i;

    *state = NULL;
    if (next >= replica->next || !replica->synced || limit == 0) {
        return 0;
    }
    for (i = 0; i < replica->retained->len && count < limit; i++) {
        const retained_record *kept = &g_array_index(replica->retained,
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
    *state = encode_state(replica, "state", replica->last_offset);
    out[0].offset = replica->next - 1;
    out[0].data = *state;
    return 1;
}

#include "core/membership_view.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static void
clear_epoch(gpointer item)
{
    g_array_unref(((View_Epoch *)item)->owners);
}

View *
View_New(int64_t window_ms)
{
    View *view = g_new0(View, 1);

    view->window_ms = window_ms;
    view->members = g_array_new(FALSE, FALSE, sizeof(View_Member));
    view->index = g_hash_table_new(g_int64_hash, g_int64_equal);
    view->removed = g_array_new(FALSE, FALSE, sizeof(View_Removed));
    view->epochs = g_array_new(FALSE, FALSE, sizeof(View_Epoch));
    g_array_set_clear_func(view->epochs, clear_epoch);
    return view;
}

void
View_Free(View *view)
{
    if (view == NULL) {
        return;
    }
    g_hash_table_unref(view->index);
    g_array_unref(view->members);
    g_array_unref(view->removed);
    g_array_unref(view->epochs);
    g_free(view);
}

static void
rebuild_index(View *view)
{
    guint i;

    g_hash_table_remove_all(view->index);
    for (i = 0; i < view->members->len; i++) {
        View_Member *member = &g_array_index(view->members, View_Member, i);
        g_hash_table_insert(view->index, &member->node.address,
                            GUINT_TO_POINTER(i + 1));
    }
}

static View_Member *
find_address(const View *view, Address address)
{
    guint position = GPOINTER_TO_UINT(
        g_hash_table_lookup(view->index, &address));

    if (position == 0) {
        return NULL;
    }
    return &g_array_index(view->members, View_Member, position - 1);
}

static View_Member *
find_member(const View *view, const lc_node *node)
{
    View_Member *member = find_address(view, node->address);

    if (member == NULL || member->node.incarnation != node->incarnation) {
        return NULL;
    }
    return member;
}

const View_Member *
View_Find(const View *view, const lc_node *node)
{
    return find_member(view, node);
}

const View_Member *
View_FindAddress(const View *view, Address address)
{
    return find_address(view, address);
}

const View_Removed *
View_FindRemoved(const View *view, const lc_node *node)
{
    guint i;

    for (i = 0; i < view->removed->len; i++) {
        const View_Removed *removed = &g_array_index(view->removed,
                                                     View_Removed, i);
        if (Node_Same(&removed->node, node)) {
            return removed;
        }
    }
    return NULL;
}

/*
 * Rendezvous hashing: the highest score wins. The score depends on the
 * address, not on the incarnation, so a restart moves no keys.
 */
static lc_node
choose_owner(const GArray *owners, const void *bytes, size_t length)
{
    lc_node best = {0, 0};
    uint64_t best_score = 0;
    guint i;

    for (i = 0; i < owners->len; i++) {
        const lc_node *node = &g_array_index(owners, lc_node, i);
        uint64_t score = XXH3_64bits_withSeed(bytes, length, node->address);
        if (best.address == 0 || score > best_score) {
            best = *node;
            best_score = score;
        }
    }
    return best;
}

static const View_Epoch *
current_epoch(const View *view)
{
    if (view->epochs->len == 0) {
        return NULL;
    }
    return &g_array_index(view->epochs, View_Epoch, view->epochs->len - 1);
}

lc_node
View_EpochOwner(const View_Epoch *epoch, const Key *key)
{
    return choose_owner(epoch->owners, key->bytes, sizeof(key->bytes));
}

lc_node
View_Owner(const View *view, const Key *key)
{
    const View_Epoch *epoch = current_epoch(view);
    lc_node none = {0, 0};

    return epoch == NULL ? none : View_EpochOwner(epoch, key);
}

lc_node
View_RelayEntry(const View *view, Address address)
{
    const View_Epoch *epoch = current_epoch(view);
    lc_node none = {0, 0};

    if (epoch == NULL) {
        return none;
    }
    return choose_owner(epoch->owners, &address, sizeof(address));
}

/* One change of a view record, after syntax checks. */
typedef struct {
    char op;
    lc_node node;
    bool is_entry;
    bool gone;
} parsed_change;

static bool
parse_node(const json_t *value, lc_node *node)
{
    const char *address = json_string_value(json_object_get(value, "address"));
    const char *number = json_string_value(
        json_object_get(value, "incarnation"));
    Address parsed;
    char *end;

    if (address == NULL || number == NULL ||
        !Address_Parse(address, &parsed)) {
        return false;
    }
    node->address = parsed;
    node->incarnation = strtoull(number, &end, 16);
    return *end == '\0' && node->incarnation != 0;
}

static bool
parse_role(const json_t *value, bool *is_entry)
{
    const char *role = json_string_value(json_object_get(value, "role"));

    if (role == NULL) {
        return false;
    }
    *is_entry = strcmp(role, "entry") == 0;
    return *is_entry || strcmp(role, "companion") == 0;
}

static bool
parse_change(const json_t *value, parsed_change *change)
{
    const char *op = json_string_value(json_object_get(value, "op"));

    if (op == NULL || !parse_node(value, &change->node) ||
        !parse_role(value, &change->is_entry)) {
        return false;
    }
    change->op = op[0];
    change->gone = json_is_true(json_object_get(value, "gone"));
    return strcmp(op, "add") == 0 || strcmp(op, "leave") == 0 ||
           strcmp(op, "remove") == 0;
}

static void
remove_member(View *view, View_Member *member, uint64_t offset, bool gone)
{
    View_Removed removed = {member->node, member->is_entry, gone,
                            offset,       member->added_ms, view->at_ms};
    guint index = (guint)(member - (View_Member *)(void *)view->members->data);

    g_array_append_val(view->removed, removed);
    g_array_remove_index(view->members, index);
    rebuild_index(view);
}

static void
add_member(View *view, const parsed_change *change, uint64_t offset)
{
    View_Member *older = find_address(view, change->node.address);
    View_Member fresh = {change->node, change->is_entry, false, offset,
                         view->at_ms};

    if (older != NULL) {
        /* Only one process can use an address: the older one is dead. */
        remove_member(view, older, offset, true);
    }
    g_array_append_val(view->members, fresh);
    rebuild_index(view);
}

/*
 * Whether a change can be applied. A record is applied as a whole: if one
 * change is not applicable, none is applied.
 */
static bool
is_applicable(const View *view, const parsed_change *change)
{
    const View_Member *member = find_member(view, &change->node);

    if (change->op == 'a') {
        return member == NULL && View_FindRemoved(view, &change->node) == NULL;
    }
    return member != NULL && member->is_entry == change->is_entry;
}

static void
apply_change(View *view, const parsed_change *change, uint64_t offset)
{
    View_Member *member = find_member(view, &change->node);

    if (change->op == 'a' && member == NULL) {
        add_member(view, change, offset);
    }
    else if (change->op == 'l' && member != NULL) {
        member->leaving = true;
    }
    else if (change->op == 'r' && member != NULL) {
        remove_member(view, member, offset, change->gone);
    }
}

static void
append_epoch(View *view, uint64_t offset, int64_t at_ms)
{
    View_Epoch epoch = {offset, at_ms,
                        g_array_new(FALSE, FALSE, sizeof(lc_node))};
    guint i;

    for (i = 0; i < view->members->len; i++) {
        const View_Member *member = &g_array_index(view->members, View_Member,
                                                   i);
        if (member->is_entry && !member->leaving) {
            g_array_append_val(epoch.owners, member->node);
        }
    }
    g_array_append_val(view->epochs, epoch);
    view->epoch = offset;
}

/*
 * Removes history from before the window. The epoch that was in force at its
 * start stays, and so do removed entries that may still run.
 */
static void
prune(View *view)
{
    int64_t horizon = view->at_ms - view->window_ms;
    guint i;

    while (view->epochs->len > 1 &&
           g_array_index(view->epochs, View_Epoch, 1).at_ms < horizon) {
        g_array_remove_index(view->epochs, 0);
    }
    for (i = view->removed->len; i-- > 0;) {
        const View_Removed *removed = &g_array_index(view->removed,
                                                     View_Removed, i);
        if (removed->at_ms < horizon &&
            (removed->gone || !removed->is_entry)) {
            g_array_remove_index(view->removed, i);
        }
    }
}

static Err_Kind
parse_changes(const View *view, const json_t *list, GArray *changes,
              bool *entries_change, Status *status)
{
    const json_t *value;
    size_t i;

    *entries_change = false;
    json_array_foreach(list, i, value)
    {
        parsed_change change;
        memset(&change, 0, sizeof(change));
        if (!parse_change(value, &change)) {
            return Err_Set(status, ERR_BAD_RECORD,
                           "view: changes[%zu] is malformed", i);
        }
        if (!is_applicable(view, &change)) {
            return Err_Set(status, ERR_BAD_RECORD,
                           "view: changes[%zu] does not apply to %s", i,
                           Address_Text(change.node.address));
        }
        *entries_change = *entries_change || change.is_entry;
        g_array_append_val(changes, change);
    }
    if (changes->len == 0) {
        return Err_Set(status, ERR_BAD_RECORD, "view: no changes");
    }
    return ERR_OK;
}

Err_Kind
View_Apply(View *view, uint64_t offset, const json_t *record, Status *status)
{
    const json_t *prev = json_object_get(record, "prev");
    const json_t *at = json_object_get(record, "at");
    GArray *changes = g_array_new(FALSE, FALSE, sizeof(parsed_change));
    bool entries_change;
    Err_Kind kind;
    guint i;

    if (!json_is_integer(prev) || !json_is_integer(at)) {
        kind = Err_Set(status, ERR_BAD_RECORD, "view: prev or at missing");
        goto done;
    }
    if ((uint64_t)json_integer_value(prev) != view->seq) {
        kind = Err_Set(status, ERR_BAD_RECORD, "view: follows %lld, not %llu",
                       (long long)json_integer_value(prev),
                       (unsigned long long)view->seq);
        goto done;
    }
    kind = parse_changes(view, json_object_get(record, "changes"), changes,
                         &entries_change, status);
    if (kind != ERR_OK) {
        goto done;
    }
    view->seq = offset;
    view->at_ms = json_integer_value(at);
    for (i = 0; i < changes->len; i++) {
        apply_change(view, &g_array_index(changes, parsed_change, i), offset);
    }
    if (entries_change) {
        append_epoch(view, offset, view->at_ms);
    }
    prune(view);
done:
    g_array_unref(changes);
    return kind;
}

static json_t *
node_to_json(const lc_node *node)
{
    char text[ADDRESS_TEXT_SIZE];
    char number[20];

    Address_Format(node->address, text);
    g_snprintf(number, sizeof(number), "%llx",
               (unsigned long long)node->incarnation);
    return json_pack("{s:s, s:s}", "address", text, "incarnation", number);
}

static void
set_role(json_t *object, bool is_entry)
{
    json_object_set_new(object, "role",
                        json_string(is_entry ? "entry" : "companion"));
}

char *
View_EncodeRecord(const View *view, int64_t wall_ms, const GArray *changes)
{
    json_t *list = json_array();
    json_t *record;
    char *text;
    guint i;

    for (i = 0; i < changes->len; i++) {
        const View_Change *change = &g_array_index(changes, View_Change, i);
        json_t *item = node_to_json(&change->node);
        json_object_set_new(item, "op", json_string(change->op));
        set_role(item, change->is_entry);
        if (change->gone) {
            json_object_set_new(item, "gone", json_true());
        }
        json_array_append_new(list, item);
    }
    record = json_pack("{s:s, s:I, s:I, s:o}", "kind", "view", "prev",
                       (json_int_t)view->seq, "at", (json_int_t)wall_ms,
                       "changes", list);
    text = json_dumps(record, JSON_COMPACT);
    json_decref(record);
    return text;
}

static json_t *
members_to_json(const View *view)
{
    json_t *list = json_array();
    guint i;

    for (i = 0; i < view->members->len; i++) {
        const View_Member *member = &g_array_index(view->members, View_Member,
                                                   i);
        json_t *item = node_to_json(&member->node);
        set_role(item, member->is_entry);
        json_object_set_new(item, "leaving", json_boolean(member->leaving));
        json_object_set_new(item, "added",
                            json_integer((json_int_t)member->added));
        json_object_set_new(item, "added_ms", json_integer(member->added_ms));
        json_array_append_new(list, item);
    }
    return list;
}

static json_t *
removed_to_json(const View *view)
{
    json_t *list = json_array();
    guint i;

    for (i = 0; i < view->removed->len; i++) {
        const View_Removed *removed = &g_array_index(view->removed,
                                                     View_Removed, i);
        json_t *item = node_to_json(&removed->node);
        set_role(item, removed->is_entry);
        json_object_set_new(item, "gone", json_boolean(removed->gone));
        json_object_set_new(item, "offset",
                            json_integer((json_int_t)removed->offset));
        json_object_set_new(item, "added_ms", json_integer(removed->added_ms));
        json_object_set_new(item, "at", json_integer(removed->at_ms));
        json_array_append_new(list, item);
    }
    return list;
}

static json_t *
epochs_to_json(const View *view)
{
    json_t *list = json_array();
    guint i;
    guint j;

    for (i = 0; i < view->epochs->len; i++) {
        const View_Epoch *epoch = &g_array_index(view->epochs, View_Epoch, i);
        json_t *owners = json_array();
        for (j = 0; j < epoch->owners->len; j++) {
            json_array_append_new(owners, node_to_json(&g_array_index(
                                              epoch->owners, lc_node, j)));
        }
        json_array_append_new(list, json_pack("{s:I, s:I, s:o}", "offset",
                                              (json_int_t)epoch->offset, "at",
                                              (json_int_t)epoch->at_ms,
                                              "owners", owners));
    }
    return list;
}

json_t *
View_ToJson(const View *view)
{
    return json_pack("{s:I, s:I, s:I, s:o, s:o, s:o}", "seq",
                     (json_int_t)view->seq, "epoch", (json_int_t)view->epoch,
                     "at", (json_int_t)view->at_ms, "members",
                     members_to_json(view), "removed", removed_to_json(view),
                     "epochs", epochs_to_json(view));
}

static int64_t
int_field(const json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}

static bool
load_members(View *view, const json_t *list)
{
    const json_t *item;
    size_t i;

    json_array_foreach(list, i, item)
    {
        View_Member member;
        memset(&member, 0, sizeof(member));
        if (!parse_node(item, &member.node) ||
            !parse_role(item, &member.is_entry)) {
            return false;
        }
        member.leaving = json_is_true(json_object_get(item, "leaving"));
        member.added = (uint64_t)int_field(item, "added");
        member.added_ms = int_field(item, "added_ms");
        g_array_append_val(view->members, member);
    }
    return json_is_array(list);
}

static bool
load_removed(View *view, const json_t *list)
{
    const json_t *item;
    size_t i;

    json_array_foreach(list, i, item)
    {
        View_Removed removed;
        memset(&removed, 0, sizeof(removed));
        if (!parse_node(item, &removed.node) ||
            !parse_role(item, &removed.is_entry)) {
            return false;
        }
        removed.gone = json_is_true(json_object_get(item, "gone"));
        removed.offset = (uint64_t)int_field(item, "offset");
        removed.added_ms = int_field(item, "added_ms");
        removed.at_ms = int_field(item, "at");
        g_array_append_val(view->removed, removed);
    }
    return json_is_array(list);
}

static bool
load_epochs(View *view, const json_t *list)
{
    const json_t *item;
    const json_t *owner;
    size_t i;
    size_t j;

    json_array_foreach(list, i, item)
    {
        View_Epoch epoch = {(uint64_t)int_field(item, "offset"),
                            int_field(item, "at"),
                            g_array_new(FALSE, FALSE, sizeof(lc_node))};
        g_array_append_val(view->epochs, epoch);
        json_array_foreach(json_object_get(item, "owners"), j, owner)
        {
            lc_node node;
            if (!parse_node(owner, &node)) {
                return false;
            }
            g_array_append_val(epoch.owners, node);
        }
    }
    return json_is_array(list);
}

View *
View_FromJson(const json_t *value, int64_t window_ms)
{
    View *view = View_New(window_ms);

    view->seq = (uint64_t)int_field(value, "seq");
    view->epoch = (uint64_t)int_field(value, "epoch");
    view->at_ms = int_field(value, "at");
    if (!load_members(view, json_object_get(value, "members")) ||
        !load_removed(view, json_object_get(value, "removed")) ||
        !load_epochs(view, json_object_get(value, "epochs"))) {
        View_Free(view);
        return NULL;
    }
    rebuild_index(view);
    return view;
}

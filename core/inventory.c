#include "core/inventory.h"

#include <string.h>

#define PAGE_BYTES ((size_t)1024 * 1024)

/* State of a search for the starts to report to the caller. */
typedef struct {
    const View *view;
    const lc_inventory_args *args;
    const View_Epoch *settled; /* last epoch the caller settled, or NULL */
    GArray *tasks;             /* lc_started; results borrowed from records */
    size_t bytes;
    uint64_t last;
    bool more;
} inventory_search;

static const View_Epoch *
find_epoch(const View *view, uint64_t offset)
{
    guint i;

    for (i = 0; i < view->epochs->len; i++) {
        const View_Epoch *epoch = &g_array_index(view->epochs, View_Epoch, i);
        if (epoch->offset == offset) {
            return epoch;
        }
    }
    return NULL;
}

/* Whether the caller learned of this start when it settled that epoch. */
static bool
is_known_to_caller(const inventory_search *search, const TaskRecord *record)
{
    const View *view = search->view;
    const View_Removed *removed = View_FindRemoved(view, &record->starter);
    lc_node owner;

    if (search->settled == NULL || removed == NULL ||
        removed->offset > search->args->settled) {
        return false;
    }
    owner = View_EpochOwner(search->settled, &record->key);
    return Node_Same(&owner, &search->args->from);
}

static bool
should_report(const inventory_search *search, const TaskRecord *record)
{
    const View *view = search->view;
    lc_node owner = View_Owner(view, &record->key);

    return Node_Same(&owner, &search->args->from) &&
           View_Find(view, &record->starter) == NULL &&
           !is_known_to_caller(search, record);
}

static bool
collect_record(const TaskRecord *record, void *context)
{
    inventory_search *search = context;
    lc_started started;

    if (search->bytes >= PAGE_BYTES || search->tasks->len >= LC_MAX_PAGE) {
        search->more = true;
        return false;
    }
    search->last = record->number;
    if (!should_report(search, record)) {
        return true;
    }
    memset(&started, 0, sizeof(started));
    started.key = Node_KeyToWire(&record->key);
    started.index = record->index;
    started.total = record->total;
    started.state = record->state;
    started.code = record->code;
    started.group = (char *)(uintptr_t)record->group;
    started.result.result_len = record->length;
    started.result.result_val = (char *)record->result;
    search->bytes += sizeof(started) + record->length;
    g_array_append_val(search->tasks, started);
    return true;
}

Inventory_Page
Inventory_Collect(const TaskRecords *records, const View *view,
                  const lc_inventory_args *args)
{
    inventory_search search = {
        .view = view,
        .args = args,
        .settled = find_epoch(view, args->settled),
        .tasks = g_array_new(FALSE, FALSE, sizeof(lc_started)),
    };
    Inventory_Page page;

    TaskRecords_Each(records, args->cursor, collect_record, &search);
    page.tasks = search.tasks;
    page.next = search.more ? (uint32_t)search.last : 0;
    return page;
}

void
Inventory_Clear(Inventory_Page *page)
{
    g_array_unref(page->tasks);
}

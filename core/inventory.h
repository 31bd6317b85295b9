/**
 * @file inventory.h
 * @brief Answer of a companion to a new owner of keys: the task starts of
 * entries that have left the view, in pages.
 */
#ifndef LC_CORE_INVENTORY_H
#define LC_CORE_INVENTORY_H

#include "core/membership_view.h"
#include "core/task_records.h"

/** One page of starts. */
typedef struct {
    GArray *tasks; /**< lc_started; results are borrowed from the records */
    uint32_t next; /**< cursor of the next page, or 0 */
} Inventory_Page;

/**
 * Collects the starts whose keys the caller owns in @p view, except those it
 * learned when it settled an earlier epoch. Release with Inventory_Clear.
 */
Inventory_Page Inventory_Collect(const TaskRecords *records, const View *view,
                                 const lc_inventory_args *args);

void Inventory_Clear(Inventory_Page *page);

#endif

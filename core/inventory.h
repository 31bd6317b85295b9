/**
 * @file inventory.h
 * @brief What a companion tells a new owner of keys: the starts of entries
 * that have left the view, a page at a time.
 */
#ifndef LC_CORE_INVENTORY_H
#define LC_CORE_INVENTORY_H

#include "core/records.h"
#include "core/view.h"

/** One page. */
typedef struct {
    GArray *tasks; /**< lc_started, borrowing from the records */
    uint32_t next; /**< cursor of the next page, or 0 */
} Inventory_Page;

/**
 * Collects the starts whose keys the caller owns in @p view, less those it
 * was told when it settled before. Release with Inventory_Clear.
 */
Inventory_Page Inventory_Collect(const Records *records, const View *view,
                                 const lc_inventory_args *args);

void Inventory_Clear(Inventory_Page *page);

#endif

#include "lease/incarnations.h"

#include <string.h>

void
Incarnations_Init(Incarnations *list)
{
    g_queue_init(&list->gone);
}

void
Incarnations_Clear(Incarnations *list)
{
    g_queue_clear_full(&list->gone, g_free);
}

bool
Incarnations_IsGone(const Incarnations *list, const char *instance)
{
    const GList *item;

    for (item = list->gone.head; item != NULL; item = item->next) {
        if (strcmp(item->data, instance) == 0) {
            return true;
        }
    }
    return false;
}

void
Incarnations_NoteGone(Incarnations *list, const char *instance)
{
    if (instance[0] == '\0' || Incarnations_IsGone(list, instance)) {
        return;
    }
    g_queue_push_head(&list->gone, g_strdup(instance));
    if (g_queue_get_length(&list->gone) > INCARNATIONS_MOST) {
        g_free(g_queue_pop_tail(&list->gone));
    }
}

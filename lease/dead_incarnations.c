#include "lease/dead_incarnations.h"

#include <string.h>

typedef struct {
    int64_t born_ms;
    char instance[]; /* ends with a NUL */
} dead_incarnation;

void
DeadIncarnations_Init(DeadIncarnations *list)
{
    g_queue_init(&list->incarnations);
}

void
DeadIncarnations_Clear(DeadIncarnations *list)
{
    g_queue_clear_full(&list->incarnations, g_free);
}

bool
DeadIncarnations_Contains(const DeadIncarnations *list, const char *instance,
                          int64_t born_ms)
{
    const GList *item;

    for (item = list->incarnations.head; item != NULL; item = item->next) {
        const dead_incarnation *incarnation = item->data;
        if (incarnation->born_ms == born_ms &&
            strcmp(incarnation->instance, instance) == 0) {
            return true;
        }
    }
    return false;
}

void
DeadIncarnations_Add(DeadIncarnations *list, const char *instance,
                     int64_t born_ms)
{
    size_t size = strlen(instance) + 1;
    dead_incarnation *incarnation;

    if (instance[0] == '\0' ||
        DeadIncarnations_Contains(list, instance, born_ms)) {
        return;
    }
    incarnation = g_malloc(sizeof(*incarnation) + size);
    incarnation->born_ms = born_ms;
    memcpy(incarnation->instance, instance, size);
    g_queue_push_head(&list->incarnations, incarnation);
    if (g_queue_get_length(&list->incarnations) > DEAD_INCARNATIONS_MAX) {
        g_free(g_queue_pop_tail(&list->incarnations));
    }
}

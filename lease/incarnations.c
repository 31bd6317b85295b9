#include "lease/incarnations.h"

#include <string.h>

typedef struct {
    int64_t born_ms;
    char instance[]; /* ends with a NUL */
} gone_life;

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
Incarnations_IsGone(const Incarnations *list, const char *instance,
                    int64_t born_ms)
{
    const GList *item;

    for (item = list->gone.head; item != NULL; item = item->next) {
        const gone_life *life = item->data;
        if (life->born_ms == born_ms &&
            strcmp(life->instance, instance) == 0) {
            return true;
        }
    }
    return false;
}

void
Incarnations_NoteGone(Incarnations *list, const char *instance,
                      int64_t born_ms)
{
    size_t size = strlen(instance) + 1;
    gone_life *life;

    if (instance[0] == '\0' || Incarnations_IsGone(list, instance, born_ms)) {
        return;
    }
    life = g_malloc(sizeof(*life) + size);
    life->born_ms = born_ms;
    memcpy(life->instance, instance, size);
    g_queue_push_head(&list->gone, life);
    if (g_queue_get_length(&list->gone) > INCARNATIONS_MOST) {
        g_free(g_queue_pop_tail(&list->gone));
    }
}

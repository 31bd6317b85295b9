#include "lease/story.h"

typedef struct {
    uint32_t at_ms; /* after the arrival of the job */
    Story_What what;
    uint32_t step;
    uint32_t index;
    uint32_t run;
    int32_t value;
    Address host;
} story_item;

struct Story {
    int64_t begin_ms;
    GArray *items;
    uint32_t left_out;
};

Story *
Story_New(int64_t now_ms)
{
    Story *story = g_new0(Story, 1);

    story->begin_ms = now_ms;
    story->items = g_array_new(FALSE, FALSE, sizeof(story_item));
    return story;
}

void
Story_Free(Story *story)
{
    g_array_unref(story->items);
    g_free(story);
}

void
Story_Add(Story *story, int64_t now_ms, Story_What what, const lc_run_id *run,
          Address host, int32_t value)
{
    story_item item = {.at_ms = (uint32_t)(now_ms - story->begin_ms),
                       .what = what,
                       .step = run->step,
                       .index = run->index,
                       .run = run->run,
                       .value = value,
                       .host = host};

    if (story->items->len >= STORY_MOST) {
        story->left_out++;
        return;
    }
    g_array_append_val(story->items, item);
}

json_t *
Story_ToJson(const Story *story)
{
    static const char *const texts[STORY_COUNT] = {
#define X(name, text) text,
        STORY_LIST(X)
#undef X
    };
    json_t *list = json_array();
    guint i;

    for (i = 0; i < story->items->len; i++) {
        const story_item *item = &g_array_index(story->items, story_item, i);
        char task[32];
        g_snprintf(task, sizeof(task), "%u.%u", item->step, item->index);
        json_array_append_new(
            list, json_pack("[i, s, s, i, s, i]", (int)item->at_ms,
                            texts[item->what], task, (int)item->run,
                            Address_Text(item->host), (int)item->value));
    }
    if (story->left_out > 0) {
        json_array_append_new(
            list, json_pack("[i, s]", (int)story->left_out, "left out"));
    }
    return list;
}

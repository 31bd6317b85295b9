#include "lease/queue_ref.h"

#include <string.h>
#include <xxhash.h>

uint64_t
QueueRef_Digest(const char *authority, const char *path, size_t length)
{
    char *host = g_ascii_strdown(authority, (gssize)strcspn(authority, ":"));
    GString *text = g_string_new(host);
    uint64_t digest;

    g_string_append_len(text, path, (gssize)length);
    if (text->str[text->len - 1] != '/') {
        g_string_append_c(text, '/');
    }
    digest = XXH3_64bits(text->str, text->len);
    g_string_free(text, TRUE);
    g_free(host);
    return MAX(digest, 1);
}

QueueRef
QueueRef_Copy(const QueueRef *queue)
{
    QueueRef copy = {g_strdup(queue->name), queue->address};

    return copy;
}

void
QueueRef_Clear(QueueRef *queue)
{
    g_free((gpointer)(uintptr_t)queue->name);
    queue->name = NULL;
    queue->address = 0;
}

guint
QueueRef_Hash(gconstpointer queue)
{
    const QueueRef *key = queue;

    return g_str_hash(key->name) ^ g_int64_hash(&key->address);
}

gboolean
QueueRef_Equal(gconstpointer a, gconstpointer b)
{
    const QueueRef *left = a;
    const QueueRef *right = b;

    return left->address == right->address &&
           strcmp(left->name, right->name) == 0;
}

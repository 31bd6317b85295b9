/**
 * @file queue_ref.h
 * @brief Identity of a queue as a job or a request refers to it, which
 * outlives changes of the route table.
 *
 * A caller addresses a job by host, path prefix and ID, while operators may
 * give the queue there another name, or the queue of that name another prefix.
 * So a job keeps both, as they were when it was accepted, and the route table
 * in force tells which of its queues that is: Route_FindQueue.
 */
#ifndef LC_LEASE_QUEUE_REF_H
#define LC_LEASE_QUEUE_REF_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** Reference to a queue. */
typedef struct {
    const char *name;
    uint64_t address; /**< digest of the host name and the path prefix; 0: not
                           known, as in records of earlier versions */
} QueueRef;

/** Digest of the address that consists of @p authority (a port in it is
 * ignored) and the first @p length bytes of @p path, up to the last slash or
 * with one added. Never 0, and the same on all machines. */
uint64_t QueueRef_Digest(const char *authority, const char *path,
                         size_t length);

/** Copies a reference and its name; free with QueueRef_Clear. */
QueueRef QueueRef_Copy(const QueueRef *queue);
void QueueRef_Clear(QueueRef *queue);

/** Hash and equality of QueueRef keys, for GLib's tables. */
guint QueueRef_Hash(gconstpointer queue);
gboolean QueueRef_Equal(gconstpointer a, gconstpointer b);

#endif

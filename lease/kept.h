/**
 * @file kept.h
 * @brief Kept jobs as the store's log tells them: every entry takes the same
 * records in the same order and so knows the same jobs, owners and outcomes.
 *
 * Records are keyed, and the newest of each key stays in the store. Taking a
 * record twice, or late, changes nothing: of two submissions or claims the
 * lower offset counts, and no claim of a successor that was claimed before;
 * what is done stays done, the first outcome stays. No I/O. Times are
 * monotonic, in ms.
 */
#ifndef LC_LEASE_KEPT_H
#define LC_LEASE_KEPT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/msg.h"

/** In a row of failures: it counts upstreams that crashed under the task
 * instead. Versions that knew none pass such rows over, as no task has that
 * number. */
#define KEPT_CRASHES (1U << 31)
/** Size of the text of a key with its NUL. */
#define KEPT_KEY_SIZE 64

/** One job. Owned by its table. */
typedef struct {
    uint64_t id;
    char *queue;
    bool submitted;  /**< its submission was taken */
    char *body;      /**< as its caller sent it; NULL once it is over */
    uint64_t offset; /**< of the submission that counts */
    lc_node owner;   /**< who submitted it; see Kept_OwnerOf */
    bool cancelled;  /**< its caller asked for that */
    lc_kept_outcome outcome;
    uint64_t over_offset; /**< of the outcome that counts */
    int64_t over_ms;      /**< when an outcome was first taken */
    GByteArray *done;     /**< a bit for each task */
    GArray *failures;     /**< lc_kept_failures */
    GArray *submitters;   /**< lc_node, with a submission */
    GArray *writers;      /**< lc_node, with progress */
} Kept_Job;

/** What a record changed. */
typedef enum {
    KEPT_NOTHING,
    KEPT_SUBMITTED, /**< a job became known, or got another first owner */
    KEPT_PROGRESSED,
    KEPT_CANCELLED,
    KEPT_CLAIMED, /**< an owner was claimed */
    KEPT_ALIVE,   /**< an owner says that it lives */
    KEPT_DROPPED  /**< a job was forgotten; the pointer is NULL */
} Kept_Kind;

/** The change, with what it is about. */
typedef struct {
    Kept_Kind kind;
    Kept_Job *job; /**< or NULL */
    lc_node gone;  /**< of a claim; who lives, of KEPT_ALIVE */
    lc_node successor;
} Kept_Change;

/** A record as the store holds it. Borrowed. */
typedef struct {
    uint64_t offset;
    const char *key; /**< not terminated */
    size_t key_length;
    const uint8_t *value;
    size_t length; /**< 0: the key was dropped */
} Kept_Record;

/** Opaque table. */
typedef struct Kept Kept;

Kept *Kept_New(void);
void Kept_Free(Kept *kept);

/** Takes a record. */
Kept_Change Kept_Take(Kept *kept, int64_t now_ms, const Kept_Record *record);

/** Job of an identity, or NULL. */
Kept_Job *Kept_Find(const Kept *kept, uint64_t id);

/** Who looks after a job: its first owner or the last successor. */
lc_node Kept_OwnerOf(const Kept *kept, const Kept_Job *job);

/** How often its owners were claimed. */
uint32_t Kept_Generation(const Kept *kept, const Kept_Job *job);

/** Whether a node is the first owner of a job or among its successors. */
bool Kept_Passed(const Kept *kept, const Kept_Job *job, const lc_node *node);

/** An owner with all whose jobs it had taken over, lc_node; the caller frees
 * the array. */
GArray *Kept_Line(const Kept *kept, const lc_node *node);

/** Jobs that are not over, Kept_Job; the caller frees the array. */
GPtrArray *Kept_Open(const Kept *kept);

/** Jobs over since @p until_ms or longer; the caller frees the array. */
GPtrArray *Kept_Over(const Kept *kept, int64_t until_ms);

/** Number of jobs that are not over. */
uint32_t Kept_OpenCount(const Kept *kept);

/** Who wrote a record, as its key tells: the incarnation is 0 if that is not
 * told there; the address is 0 in keys of versions that left it out. */
lc_node Kept_Writer(const Kept_Record *record);

/** Keys, written into a text. The writer stands there with its address: of
 * processes that start at one moment two may have the same incarnation. */
void Kept_SubmitKey(uint64_t job, lc_node writer, char key[KEPT_KEY_SIZE]);
void Kept_ProgressKey(uint64_t job, lc_node writer, char key[KEPT_KEY_SIZE]);
void Kept_CancelKey(uint64_t job, char key[KEPT_KEY_SIZE]);
void Kept_AliveKey(const lc_node *owner, char key[KEPT_KEY_SIZE]);
void Kept_ClaimKey(const lc_node *gone, lc_node writer,
                   char key[KEPT_KEY_SIZE]);

/** Whether a task is marked in a map of done tasks. */
bool Kept_IsDone(const GByteArray *done, uint32_t task);

/** Marks a task. */
void Kept_MarkDone(GByteArray *done, uint32_t task);

#endif

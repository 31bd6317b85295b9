/**
 * @file entry.h
 * @brief One entry: the public interface to its controllers.
 *
 * Each function takes the time of the input and may call the ports.
 * Arguments are borrowed for the duration of the call.
 */
#ifndef LC_CORE_ENTRY_H
#define LC_CORE_ENTRY_H

#include "core/admission.h"
#include "core/blackboard.h"
#include "core/membership.h"

typedef struct Entry Entry;

Entry *Entry_New(const Entry_Config *config, const Node_Ports *ports,
                 void *context, Node_Time now);

/** Frees the entry. Call Entry_AbandonCallers first if callers still wait. */
void Entry_Free(Entry *entry);

/** Submits a job or queries its state; answered once by the port `answer`. */
void Entry_Submit(Entry *entry, Node_Time now, uint64_t request,
                  const Admission_Spec *spec);

/** Creates a key for a caller that sent none. */
Key Entry_CreateKey(Entry *entry, Node_Time now);

/**
 * Edits a row of the table; its result is reported once by the port
 * `edited`.
 */
void Entry_Edit(Entry *entry, Node_Time now, uint64_t request,
                const char *group, uint64_t base, const GroupTable_Row *row);

/** Handles a call of a peer; false if entries do not serve its kind. */
bool Entry_OnCall(Entry *entry, Node_Time now, uint64_t reply_id,
                  const Msg_Call *call);

/** Handles the end of a call; @p reply is NULL if the connection broke. */
void Entry_OnReply(Entry *entry, Node_Time now, uint64_t call_id,
                   const Msg_Reply *reply);

/** Result of a read of the log. */
typedef struct {
    int64_t asked_ms; /**< monotonic time at which the read was sent */
    uint64_t first;   /**< first offset that the log still holds */
    uint64_t next;    /**< offset that the next record will get */
    const lc_record *records;
    uint32_t count;
} Entry_LogRead;

/** Handles a read of the log; @p read is NULL if the read failed. */
void Entry_OnLog(Entry *entry, Node_Time now, const Entry_LogRead *read);

/**
 * Handles the end of an append; if it is not @p confirmed, it may still have
 * taken effect.
 */
void Entry_OnAppend(Entry *entry, Node_Time now, uint64_t append_id,
                    bool confirmed);

/** Handles a new copy of the host list. */
void Entry_OnHosts(Entry *entry, Node_Time now, const Membership_Host *hosts,
                   uint32_t count);

/** Performs periodic work; call at least every 100 ms. */
void Entry_Tick(Entry *entry, Node_Time now);

/** Begins the graceful shutdown. */
void Entry_Drain(Entry *entry, Node_Time now);

/**
 * Whether the entry has left the view during its graceful shutdown, so that
 * callers must use another entry.
 */
bool Entry_IsClosed(const Entry *entry);

/** Whether the graceful shutdown is complete. */
bool Entry_IsDrained(const Entry *entry);

/**
 * Whether this incarnation was removed from the view. It does nothing more:
 * call Entry_AbandonCallers, free it and start a new incarnation.
 */
bool Entry_IsDeposed(const Entry *entry);

/** Answers all waiting callers that the outcome is not known here. */
void Entry_AbandonCallers(Entry *entry, Node_Time now);

/** Next log offset to read from. */
uint64_t Entry_NextLogOffset(const Entry *entry);

/** Whether this entry has settled the current epoch, see ownership.h. */
bool Entry_IsSettled(const Entry *entry);

const GroupTable *Entry_GroupTable(const Entry *entry);
const View *Entry_View(const Entry *entry);
Counters *Entry_Counters(Entry *entry);

/** State dump for operators. Caller owns the result. */
json_t *Entry_Dump(const Entry *entry);

#endif

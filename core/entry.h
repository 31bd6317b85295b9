/**
 * @file entry.h
 * @brief One entry: the only door into its controllers.
 *
 * Each function takes the time of the input and may act through the ports.
 * Arguments are borrowed for the time of the call.
 */
#ifndef LC_CORE_ENTRY_H
#define LC_CORE_ENTRY_H

#include "core/admission.h"
#include "core/board.h"
#include "core/members.h"

/** Opaque entry. */
typedef struct Entry Entry;

Entry *Entry_New(const Board_Config *config, const Node_Ports *ports,
                 void *context, Node_Time now);

/** Frees the entry. Callers that still wait must have been abandoned. */
void Entry_Free(Entry *entry);

/** A caller hands in a job or looks for one; answered once by the port. */
void Entry_Submit(Entry *entry, Node_Time now, uint64_t request,
                  const Admission_Spec *spec);

/** A fresh key for a caller that sent none. */
Key Entry_MintKey(Entry *entry, Node_Time now);

/** An operator edits the table; ended once by the port `edited`. */
void Entry_Edit(Entry *entry, Node_Time now, uint64_t request,
                const char *group, uint64_t base, const Table_Row *row);

/** A peer calls; false if entries do not answer such calls. */
bool Entry_OnCall(Entry *entry, Node_Time now, uint64_t reply_id,
                  const Msg_Call *call);

/** A call ended; @p reply is NULL when the connection broke. */
void Entry_OnReply(Entry *entry, Node_Time now, uint64_t call_id,
                   const Msg_Reply *reply);

/** What a read of the log gave. */
typedef struct {
    int64_t asked_ms; /**< monotonic time at which the read was sent */
    uint64_t first;   /**< first offset the log still keeps */
    uint64_t next;    /**< offset the log will give next */
    const lc_record *records;
    uint32_t count;
} Entry_LogRead;

/** The log was read, or could not be (@p read NULL). */
void Entry_OnLog(Entry *entry, Node_Time now, const Entry_LogRead *read);

/** An append ended; unconfirmed, it may yet have taken effect. */
void Entry_OnAppend(Entry *entry, Node_Time now, uint64_t append_id,
                    bool confirmed);

/** The host list was read. */
void Entry_OnHosts(Entry *entry, Node_Time now, const Members_Host *hosts,
                   uint32_t count);

/** Time passes; call at least every 100 ms. */
void Entry_Tick(Entry *entry, Node_Time now);

/** Begins the planned stop. */
void Entry_Drain(Entry *entry, Node_Time now);

/** Whether the planned stop has come so far that callers must go elsewhere. */
bool Entry_IsClosed(const Entry *entry);

/** Whether the planned stop is complete. */
bool Entry_IsDrained(const Entry *entry);

/**
 * Whether the view no longer has this incarnation. It does nothing more;
 * abandon its callers, free it and start a new incarnation.
 */
bool Entry_IsDeposed(const Entry *entry);

/** Answers everyone who waits that the outcome is not known here. */
void Entry_Abandon(Entry *entry, Node_Time now);

/** Next log offset to read from. */
uint64_t Entry_LogNext(const Entry *entry);

/** Whether this entry settled the current epoch. */
bool Entry_IsSettled(const Entry *entry);

const Table *Entry_Table(const Entry *entry);
const View *Entry_View(const Entry *entry);
Counters *Entry_Counters(Entry *entry);

/** State for operators. Caller owns the result. */
json_t *Entry_Dump(const Entry *entry);

#endif

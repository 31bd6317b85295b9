/**
 * @file admission.h
 * @brief Controller of admission: accepts, forwards or refuses the jobs that
 * callers and other entries submit.
 */
#ifndef LC_CORE_ADMISSION_H
#define LC_CORE_ADMISSION_H

#include "core/blackboard.h"

/** A job as submitted. Borrowed. */
typedef struct {
    Key key;
    bool look; /**< state query for an earlier job; has no tasks */
    const char *group;
    bool repeatable;
    int64_t deadline_ms; /**< in ms from now; 0 for none */
    const lc_payload *tasks;
    uint32_t count;
} Admission_Spec;

/** A caller submitted a job or queries its state. */
void Admission_Submit(Blackboard *board, uint64_t request,
                      const Admission_Spec *spec);

/** Another entry forwarded a job or a state query. */
void Admission_AnswerSubmit(Blackboard *board, uint64_t reply_id,
                            const lc_submit_args *args);

/** A forwarded job was answered; @p reply is NULL if the call was lost. */
void Admission_OnSubmit(Blackboard *board, const Call *call,
                        const lc_submit_res *reply);

/** A new key that this entry owns, if it owns any. */
Key Admission_CreateKey(Blackboard *board);

#endif

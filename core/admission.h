/**
 * @file admission.h
 * @brief Controller of admission: what becomes of a job that a caller or
 * another entry hands in.
 */
#ifndef LC_CORE_ADMISSION_H
#define LC_CORE_ADMISSION_H

#include "core/board.h"

/** A job as handed in. Borrowed. */
typedef struct {
    Key key;
    bool look; /**< asks for the answer only; there are no tasks */
    const char *group;
    bool repeatable;
    int64_t deadline_ms; /**< from now; 0 for none */
    const lc_payload *tasks;
    uint32_t count;
} Admission_Spec;

/** Takes a job of a caller. */
void Admission_Submit(Board *board, uint64_t request,
                      const Admission_Spec *spec);

/** Takes a job that another entry passes on. */
void Admission_AnswerSubmit(Board *board, uint64_t reply_id,
                            const lc_submit_args *args);

/** A job passed to another entry was answered, or lost (NULL). */
void Admission_OnSubmit(Board *board, const Call *call,
                        const lc_submit_res *reply);

/** A fresh key that this entry owns, if it owns any. */
Key Admission_MintKey(Board *board);

#endif

/**
 * @file closures.h
 * @brief The halls that operators have closed, as far as this process knows:
 * no task is started in a closed hall, and what runs there ends by itself.
 *
 * The operators' records lie in one log, so that their number orders all that
 * is known of them: what was read up to a later record takes the place of what
 * was read up to an earlier one, whoever tells it, and never the other way.
 * Times are monotonic, in ms.
 */
#ifndef LC_LEASE_CLOSURES_H
#define LC_LEASE_CLOSURES_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/msg.h"

/** What is known. Set up by Closures_Init. */
typedef struct {
    int64_t as_of;        /**< records that were read; -1: none */
    int64_t confirmed_ms; /**< it was in force then, and is perhaps since */
    int64_t changed_ms;   /**< when the halls below became known */
    GPtrArray *halls;     /**< names, in order */
} Closures;

/** What a message changed. */
typedef enum {
    CLOSURES_OLDER,    /**< it knows less; passed over */
    CLOSURES_SAME,     /**< the same halls, perhaps confirmed */
    CLOSURES_DIFFERENT /**< other halls are closed from now on */
} Closures_Change;

/** Nothing is known: no hall is taken as closed. */
void Closures_Init(Closures *closures, int64_t now_ms);
void Closures_Clear(Closures *closures);

/** Of a message that nobody asked for: it may have been held up for long, and
 * confirms nothing. */
#define CLOSURES_UNASKED INT64_MIN

/** Takes what somebody knows. @p asked_ms is when it was asked for: it was in
 * force its age before that at the latest, however long the answer was on its
 * way. Of what came unasked it is CLOSURES_UNASKED. */
Closures_Change Closures_Take(Closures *closures, int64_t now_ms,
                              int64_t asked_ms, const lc_closures *told);

/** Whether tasks may not be started in @p hall. */
bool Closures_Has(const Closures *closures, const char *hall);

/** Whether a start in @p hall is to be refused that was sent by one who knew
 * the records up to @p as_of, and took the hall as open: if more is known
 * here, what is known here counts. */
bool Closures_Refuses(const Closures *closures, const char *hall,
                      int64_t as_of);

/** Fills a message. Its names are borrowed until the next call. */
void Closures_Tell(const Closures *closures, int64_t now_ms, lc_closures *out);

/** How old the latest confirmation is, in ms. */
int64_t Closures_AgeMs(const Closures *closures, int64_t now_ms);

/** Names of the closed halls, for log lines; free it. */
char *Closures_Text(const Closures *closures);

/** State for operators; the caller owns the result. */
json_t *Closures_Dump(const Closures *closures, int64_t now_ms);

/** Appends figures for scrapers. */
void Closures_Metrics(const Closures *closures, int64_t now_ms, GString *out);

#endif

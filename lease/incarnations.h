/**
 * @file incarnations.h
 * @brief Incarnations of one upstream that are certainly gone, so that what is
 * heard of them late is not believed.
 *
 * The last 64 are remembered: at one crash each 1.4 s, the fastest that the
 * users' pages name, those of the last minute and a half. A heartbeat that was
 * held up for longer is judged by what the upstream itself answers.
 */
#ifndef LC_LEASE_INCARNATIONS_H
#define LC_LEASE_INCARNATIONS_H

#include <glib.h>
#include <stdbool.h>

#define INCARNATIONS_MOST 64

/** Their names, the last to go first. */
typedef struct {
    GQueue gone;
} Incarnations;

void Incarnations_Init(Incarnations *list);
void Incarnations_Clear(Incarnations *list);

/** Notes that one is gone; an empty name is none. */
void Incarnations_NoteGone(Incarnations *list, const char *instance);

bool Incarnations_IsGone(const Incarnations *list, const char *instance);

#endif

/**
 * @file incarnations.h
 * @brief Lives of one upstream that are certainly over, so that what is heard
 * of them late is not believed.
 *
 * A life is a name and the time of its start, as an upstream may start again
 * under the name it had. The last 64 are remembered: at one crash each 1.4 s,
 * the fastest that the users' pages name, those of the last minute and a half.
 * A heartbeat that was held up for longer is judged by what the upstream
 * itself answers.
 */
#ifndef LC_LEASE_INCARNATIONS_H
#define LC_LEASE_INCARNATIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define INCARNATIONS_MOST 64

/** The last to go first. */
typedef struct {
    GQueue gone;
} Incarnations;

void Incarnations_Init(Incarnations *list);
void Incarnations_Clear(Incarnations *list);

/** Notes that one is gone; an empty name is none. @p born_ms is 0 for an
 * upstream that tells no start: then no other life of that name is known. */
void Incarnations_NoteGone(Incarnations *list, const char *instance,
                           int64_t born_ms);

bool Incarnations_IsGone(const Incarnations *list, const char *instance,
                         int64_t born_ms);

#endif

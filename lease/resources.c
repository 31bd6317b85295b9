#include "lease/resources.h"

#include <glib.h>

bool
Resources_Fit(const lc_resources *need, const lc_resources *room)
{
    return need->cpu_milli <= room->cpu_milli &&
           need->memory_mb <= room->memory_mb &&
           need->accelerators <= room->accelerators;
}

void
Resources_Add(lc_resources *sum, const lc_resources *more)
{
    sum->cpu_milli += more->cpu_milli;
    sum->memory_mb += more->memory_mb;
    sum->accelerators += more->accelerators;
}

void
Resources_Subtract(lc_resources *sum, const lc_resources *less)
{
    sum->cpu_milli -= MIN(sum->cpu_milli, less->cpu_milli);
    sum->memory_mb -= MIN(sum->memory_mb, less->memory_mb);
    sum->accelerators -= MIN(sum->accelerators, less->accelerators);
}

bool
Resources_IsZero(const lc_resources *resources)
{
    return resources->cpu_milli == 0 && resources->memory_mb == 0 &&
           resources->accelerators == 0;
}

uint32_t
Resources_CountFits(const lc_resources *need, const lc_resources *room)
{
    uint32_t count = UINT32_MAX;

    if (need->cpu_milli > 0) {
        count = MIN(count, room->cpu_milli / need->cpu_milli);
    }
    if (need->memory_mb > 0) {
        count = MIN(count, room->memory_mb / need->memory_mb);
    }
    if (need->accelerators > 0) {
        count = MIN(count, room->accelerators / need->accelerators);
    }
    return count;
}

#include "core/vtime.h"

#define FIRST_MEAN_MS 200.0
#define LEAST_MEAN_MS 1.0
#define MEAN_SHARE 0.1

void
Vtime_Init(Vtime *vtime, double floor_ms)
{
    vtime->value_ms = floor_ms;
    vtime->mean_ms = FIRST_MEAN_MS;
}

void
Vtime_Resume(Vtime *vtime, double floor_ms)
{
    if (vtime->value_ms < floor_ms) {
        vtime->value_ms = floor_ms;
    }
}

void
Vtime_Start(Vtime *vtime, uint32_t weight)
{
    vtime->value_ms += vtime->mean_ms / weight;
}

void
Vtime_Cancel(Vtime *vtime, uint32_t weight)
{
    vtime->value_ms -= vtime->mean_ms / weight;
}

void
Vtime_End(Vtime *vtime, uint32_t weight, int64_t slot_ms)
{
    double error_ms = (double)slot_ms - vtime->mean_ms;

    vtime->value_ms += error_ms / weight;
    vtime->mean_ms += MEAN_SHARE * error_ms;
    if (vtime->mean_ms < LEAST_MEAN_MS) {
        vtime->mean_ms = LEAST_MEAN_MS;
    }
}

#include "core/vtime.h"

#define INITIAL_MEAN_MS 200.0
#define MIN_MEAN_MS 1.0
#define MEAN_EWMA_WEIGHT 0.1

void
Vtime_Init(Vtime *vtime, double floor_ms)
{
    vtime->value_ms = floor_ms;
    vtime->mean_ms = INITIAL_MEAN_MS;
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
    vtime->mean_ms += MEAN_EWMA_WEIGHT * error_ms;
    if (vtime->mean_ms < MIN_MEAN_MS) {
        vtime->mean_ms = MIN_MEAN_MS;
    }
}

#include "lease/lease_timing.h"

#include <glib.h>

/* An upstream's clock may be up to 2% slow. */
#define MAX_CLOCK_DRIFT_PERCENT 2
#define PERCENT 100
/* Allowance for rounding to whole ms at each place that reads a clock. */
#define ROUNDING_MS 8
#define MIN_LEASE_MS 100

int64_t
LeaseTiming_MaxHoldMs(int64_t hold_ms)
{
    return hold_ms * PERCENT / (PERCENT - MAX_CLOCK_DRIFT_PERCENT) + 1;
}

int64_t
LeaseTiming_MinUpstreamElapsedMs(int64_t elapsed_ms)
{
    return elapsed_ms * (PERCENT - MAX_CLOCK_DRIFT_PERCENT) / PERCENT;
}

bool
LeaseTiming_Derive(const LeaseTiming_Bounds *bounds, LeaseTiming *timing)
{
    int64_t left = bounds->resubmit_ms - bounds->stop_ms - bounds->tick_ms -
                   ROUNDING_MS;
    int64_t each = left * (PERCENT - MAX_CLOCK_DRIFT_PERCENT) /
                   (2 * PERCENT - MAX_CLOCK_DRIFT_PERCENT);

    timing->stop_ms = bounds->stop_ms;
    timing->tick_ms = bounds->tick_ms;
    timing->hold_ms = MIN(each, bounds->hold_max_ms);
    timing->hold_limit_ms = bounds->hold_max_ms;
    timing->lease_ms = each;
    return each >= MIN_LEASE_MS;
}

int64_t
LeaseTiming_ValidUntil(const LeaseTiming *timing, int64_t stamp_ms,
                       int64_t received_ms, int64_t now_ms)
{
    return stamp_ms + (now_ms - received_ms) + timing->lease_ms;
}

int64_t
LeaseTiming_CertainEnd(const LeaseTiming *timing, int64_t sent_ms)
{
    return sent_ms + timing->lease_ms +
           LeaseTiming_MaxHoldMs(timing->hold_ms) + timing->stop_ms +
           timing->tick_ms + ROUNDING_MS;
}

/**
 * @file lease_timing.h
 * @brief Lease durations: how long an entry's lease at a companion lasts, how
 * far ahead a companion may extend the hold at its upstream, and when a run
 * has certainly ended.
 *
 * Two runs of one task never overlap: however entry and companion fail, a run
 * ends within lease + hold (on a clock that may be slow) + stop + tick after
 * the last message of its entry, and a caller resubmits only after the
 * resubmission time. LeaseTiming_Derive derives lease and hold from the
 * resubmission time.
 */
#ifndef LC_LEASE_LEASE_TIMING_H
#define LC_LEASE_LEASE_TIMING_H

#include <stdbool.h>
#include <stdint.h>

/** Grace period in ms: a companion continues runs of durable jobs, which are
 * not bound to the resubmission time, for this long after the lease, until a
 * successor of their owner is found. */
#define LEASE_TIMING_DURABLE_GRACE_MS 2500

/** Durations in ms. */
typedef struct {
    int64_t lease_ms; /**< lease of an entry on its runs at a companion */
    int64_t hold_ms;  /**< longest hold a companion sets at its upstream */
    int64_t hold_limit_ms; /**< limit to which an upstream cuts any hold */
    int64_t stop_ms;       /**< time an upstream needs to stop a task */
    int64_t tick_ms;       /**< interval at which a companion checks leases */
} LeaseTiming;

/** Guarantees given by the platform, in ms. */
typedef struct {
    int64_t resubmit_ms; /**< shortest time before a caller resubmits */
    int64_t hold_max_ms; /**< limit to which an upstream cuts holds */
    int64_t stop_ms;
    int64_t tick_ms;
} LeaseTiming_Bounds;

/** Derives the longest equal lease and hold that @p bounds allow, the hold
 * being cut to `hold_max_ms`; returns false if they would be too short. */
bool LeaseTiming_Derive(const LeaseTiming_Bounds *bounds, LeaseTiming *timing);

/** Latest time, on the companion's clock in ms, until which a message of an
 * entry may extend its lease. Counted from the companion's last message, of
 * clock time @p stamp_ms, as if it had arrived (at @p received_ms) without
 * delay, so that a delay makes the result earlier, never later. */
int64_t LeaseTiming_ValidUntil(const LeaseTiming *timing, int64_t stamp_ms,
                               int64_t received_ms, int64_t now_ms);

/** Longest time in ms on the local clock that a hold of @p hold_ms on the
 * upstream's clock can last. */
int64_t LeaseTiming_MaxHoldMs(int64_t hold_ms);

/** Shortest time in ms that can have passed on the upstream's clock while
 * @p elapsed_ms passed locally. */
int64_t LeaseTiming_MinUpstreamElapsedMs(int64_t elapsed_ms);

/** Time in ms by which all runs that an entry last renewed at @p sent_ms have
 * certainly ended. */
int64_t LeaseTiming_CertainEnd(const LeaseTiming *timing, int64_t sent_ms);

#endif

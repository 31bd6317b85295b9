/**
 * @file term.h
 * @brief The times of leases: how long an entry may hold a companion, how
 * far a companion may hold its upstream, and when a run is certainly over.
 *
 * Two runs of one task never overlap because, however entry and companion
 * fail, a run ends within lease + hold (on a clock that may be slow) + stop
 * + tick after its entry's last message, and a caller sends again only after
 * the resubmission time. Term_Plan derives the first two from the last.
 */
#ifndef LC_LEASE_TERM_H
#define LC_LEASE_TERM_H

#include <stdbool.h>
#include <stdint.h>

/** Runs of kept jobs are not bound to the resubmission time: a companion goes
 * on with them for so long after the lease, until a successor has been found.
 */
#define TERM_KEPT_MS 2500

/** Times in ms. */
typedef struct {
    int64_t lease_ms;     /**< an entry's hold on its runs at a companion */
    int64_t hold_ms;      /**< a companion's hold on its upstream, at most */
    int64_t hold_most_ms; /**< an upstream cuts any hold to this */
    int64_t stop_ms;      /**< an upstream needs so long to stop a task */
    int64_t tick_ms;      /**< a companion looks at its leases so often */
} Term;

/** What the platform promises, in ms. */
typedef struct {
    int64_t resubmit_ms; /**< least time before a caller sends again */
    int64_t hold_max_ms; /**< an upstream cuts holds to this */
    int64_t stop_ms;
    int64_t tick_ms;
} Term_Bounds;

/** The longest equal lease and hold that @p bounds allow; false if there is
 * no room for either. */
bool Term_Plan(const Term_Bounds *bounds, Term *term);

/** Latest time, on the companion's clock, that a message of an entry may
 * hold: counted from the last word of the companion as if it had taken no
 * time to arrive, so that delay makes it earlier, never later. */
int64_t Term_ValidUntil(const Term *term, int64_t stamp_ms,
                        int64_t received_ms, int64_t now_ms);

/** How long a hold of @p hold_ms on the upstream's clock can last by ours. */
int64_t Term_HoldAtMost(int64_t hold_ms);

/** Least time that passed on the upstream's clock in @p elapsed_ms. */
int64_t Term_UpstreamElapsed(int64_t elapsed_ms);

/** When all that an entry last held at @p sent_ms is certainly over. */
int64_t Term_CertainEnd(const Term *term, int64_t sent_ms);

#endif

/**
 * @file random.h
 * @brief Seeded pseudo-random numbers (xorshift64*), so that what a node
 * chooses can be repeated. Not for secrets.
 */
#ifndef LC_BASE_RANDOM_H
#define LC_BASE_RANDOM_H

#include <stdint.h>

/** State made from any seed. */
static inline uint64_t
Random_Seed(uint64_t seed)
{
    return seed | 1;
}

/** Next number; changes @p state. */
static inline uint64_t
Random_Next(uint64_t *state)
{
    *state ^= *state >> 12;
    *state ^= *state << 25;
    *state ^= *state >> 27;
    return *state * 0x2545F4914F6CDD1DULL;
}

#endif

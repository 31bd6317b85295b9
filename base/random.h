/**
 * @file random.h
 * @brief Seeded pseudo-random numbers (xorshift64*), so that the random
 * choices of a node can be reproduced. Not for secrets.
 */
#ifndef LC_BASE_RANDOM_H
#define LC_BASE_RANDOM_H

#include <stdint.h>

/** Returns the generator state for a seed; never 0, with which xorshift would
 * return only zeros. */
static inline uint64_t
Random_Seed(uint64_t seed)
{
    return seed | 1;
}

/** Returns the next number and advances @p state. */
static inline uint64_t
Random_Next(uint64_t *state)
{
    *state ^= *state >> 12;
    *state ^= *state << 25;
    *state ^= *state >> 27;
    return *state * 0x2545F4914F6CDD1DULL;
}

#endif

/**
 * @file test_clock.h
 * @brief Stops the monotonic clock of a test program, so that time passes only
 * where a test says so. Takes the place of the C library's clock_gettime.
 */
#ifndef LC_TESTS_TEST_CLOCK_H
#define LC_TESTS_TEST_CLOCK_H

#include <stdint.h>

/** Stops the clock; does nothing if it is stopped. */
void TestClock_Stop(void);

/** Moves the stopped clock forward. */
void TestClock_Advance(int64_t ms);

/** Lets the clock show the time of the machine again. */
void TestClock_Go(void);

#endif

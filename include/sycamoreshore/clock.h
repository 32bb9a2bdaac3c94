/*
 * The clock type. Decision code takes `now` as an argument, so only the
 * programs around it read a clock. Tests pass a virtual clock.
 */
#ifndef SYCAMORESHORE_CLOCK_H
#define SYCAMORESHORE_CLOCK_H

#include <stdint.h>

/* A source of time in milliseconds. */
struct syc_clock {
	int64_t (*now)(void *ctx);
	void *ctx;
};

/* Returns the time of `clock` in milliseconds. */
static inline int64_t syc_now(const struct syc_clock *clock)
{
	return clock->now(clock->ctx);
}

/* Monotonic time from an arbitrary origin. */
extern const struct syc_clock syc_clock_monotonic;

/* Monotonic time that also advances while the machine is suspended. */
extern const struct syc_clock syc_clock_boot;

/* Milliseconds since the Unix epoch. It jumps when the clock is set. */
extern const struct syc_clock syc_clock_wall;

#endif

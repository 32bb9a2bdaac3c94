/*
 * The one clock type. Decision code takes `now` as an argument, so only the
 * programs around it read a clock; tests pass a virtual one.
 */
#ifndef SYCAMORESHORE_CLOCK_H
#define SYCAMORESHORE_CLOCK_H

#include <stdint.h>

/* A source of time in milliseconds. */
struct syc_clock {
	int64_t (*now)(void *ctx);
	void *ctx;
};

/* Time of `clock` in milliseconds. */
static inline int64_t syc_now(const struct syc_clock *clock)
{
	return clock->now(clock->ctx);
}

/* Monotonic time; its origin has no meaning. */
extern const struct syc_clock syc_clock_monotonic;

/* Monotonic time that goes on while the machine is suspended. */
extern const struct syc_clock syc_clock_boot;

/* Milliseconds since the Unix epoch; may step. */
extern const struct syc_clock syc_clock_wall;

#endif

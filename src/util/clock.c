#include <time.h>

#include "sycamoreshore/clock.h"

static int64_t read_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t monotonic_now(void *ctx)
{
	return read_ms(CLOCK_MONOTONIC);
}

static int64_t boot_now(void *ctx)
{
	return read_ms(CLOCK_BOOTTIME);
}

static int64_t wall_now(void *ctx)
{
	return read_ms(CLOCK_REALTIME);
}

const struct syc_clock syc_clock_monotonic = {monotonic_now, NULL};
const struct syc_clock syc_clock_boot = {boot_now, NULL};
const struct syc_clock syc_clock_wall = {wall_now, NULL};

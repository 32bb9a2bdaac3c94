/*
 * Estimates how many starts of tasks a second an instance can drive, so that
 * the driver is elected by its machine.
 */
#ifndef FLEET_CAPACITY_H
#define FLEET_CAPACITY_H

#include <stdint.h>

/* What an instance may use of its machine; zero: unknown. */
struct machine_limits {
	uint32_t cpu_share_milli; /* thousandths of a core */
	uint32_t cpu_speed_milli; /* thousandths of the usual speed */
	uint32_t link_kbps;
};

/* Starts a second; zero: unknown. */
uint32_t capacity_estimate(const struct machine_limits *m);

#endif

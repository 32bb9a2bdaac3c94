#include "fleet/capacity.h"

enum {
	/* Processor time of a start, with its hold and its part of a job. */
	START_CPU_US = 100,
	/* Sent and received for a start, with its hold, by the driver. */
	START_BYTES = 1500,
	BITS_PER_BYTE = 8,
	MILLI = 1000
};

/* The lower of two limits of which zero means that it is unknown. */
static uint64_t lower_known(uint64_t a, uint64_t b)
{
	if (!a || !b)
		return a + b;
	return a < b ? a : b;
}

uint32_t capacity_estimate(const struct machine_limits *m)
{
	uint64_t cpu, link;

	cpu = (uint64_t)m->cpu_share_milli * m->cpu_speed_milli / START_CPU_US;
	link = (uint64_t)m->link_kbps * MILLI / BITS_PER_BYTE / START_BYTES;
	return (uint32_t)lower_known(cpu, link);
}

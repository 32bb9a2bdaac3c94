/* The rate at which lately started tasks take processor capacity. */
#ifndef POLICY_START_RATE_H
#define POLICY_START_RATE_H

#include "policy/room_plan.h"

/* Sums over the starts, each of which decays with its age. */
struct start_rate {
	double cpu_milli;
	double cpu_milli_ms; /* times the expected run times */
	int64_t at; /* when the sums were last updated */
};

/* A task was started. */
void start_rate_add(struct start_rate *r, int64_t now, uint32_t cpu_milli,
		    double run_ms);
/* The starts to expect from `now` on. */
struct room_surge start_rate_surge(const struct start_rate *r, int64_t now);

#endif

/*
 * Learns run times by route. The run time that a caller declares is a guess that
 * may be far off, so it is corrected by the run times that were observed, as
 * far as they are not due to the worker.
 */
#ifndef POLICY_RUN_TIME_H
#define POLICY_RUN_TIME_H

#include "sycamoreshore/types.h"

/* The run times of one route. */
struct run_time {
	struct run_time *next;
	char route[64];
	double ratio; /* observed over declared, on a worker of factor 1 */
	uint32_t n_samples;
	/* Workers that crashed just after a start; half after CRASH_HALF_MS. */
	double n_crashes;
	int64_t crash_at; /* when `n_crashes` last changed */
	int64_t used_at; /* when a job of it was last submitted */
};

struct run_times {
	struct run_time *first;
};

/* Returns the record of a route; adds it if there is none. */
struct run_time *run_time_get(struct run_times *t, const char *route);

/* Whether enough of its runs have ended to judge others by them. */
bool run_time_is_known(const struct run_time *rt);

/* Adds a sample: a task took `actual_ms` on a worker of that factor. */
void run_time_learn(struct run_time *rt, uint32_t declared_ms, double actual_ms,
		    double factor);

/* The expected run time on a worker of factor 1, in milliseconds. */
double run_time_expected_ms(const struct run_time *rt, uint32_t declared_ms);
/* A worker crashed soon after the start of a task of this route. */
void run_time_add_crash(struct run_time *rt, int64_t now);
/* Whether several workers crashed lately just after starts of this route. */
bool run_time_is_risky(const struct run_time *rt, int64_t now);
/* Whether another route that is not risky is in use. */
bool run_times_has_other(const struct run_times *t, const struct run_time *rt,
			 int64_t now);
bool run_times_has_risky(const struct run_times *t, int64_t now);
void run_times_free(struct run_times *t);

#endif

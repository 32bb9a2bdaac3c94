/*
 * Learns run times by route and by kind of worker. The run time that a caller
 * declares is a guess that may be far off, so it is corrected by the run times
 * that were observed.
 */
#ifndef POLICY_RUN_TIME_H
#define POLICY_RUN_TIME_H

#include "sycamoreshore/types.h"

enum { RUN_TIME_KINDS_MAX = 8 /* further kinds of workers are not learned */ };

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

/* The speed of one kind of worker. */
struct run_time_kind {
	char name[SYC_NAME_MAX];
	double factor; /* observed over expected run time */
	uint32_t n_samples;
};

struct run_times {
	struct run_time *first;
	struct run_time_kind kinds[RUN_TIME_KINDS_MAX];
	size_t n_kinds;
};

/* Returns the record of a route; adds it if there is none. */
struct run_time *run_time_get(struct run_times *t, const char *route);

/* The factor of a kind of worker; 1 until it has enough samples. */
double run_time_kind_factor(const struct run_times *t, const char *kind_name);

/* Adds a sample: a task took `actual_ms` on a worker of that kind. */
void run_time_learn(struct run_times *t, struct run_time *rt,
		    const char *kind_name, uint32_t declared_ms,
		    double actual_ms);

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

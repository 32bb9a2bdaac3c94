/*
 * Run times learned by route and by kind of worker. What callers declare is
 * a guess that may be off by much, so it is corrected by what was seen.
 */
#ifndef DRIVE_RUN_TIME_H
#define DRIVE_RUN_TIME_H

#include "sycamoreshore/types.h"

enum { RUN_TIME_KINDS_MAX = 8 /* kinds of workers told apart */ };

/* The run times of one route. */
struct run_time {
	struct run_time *next;
	char route[64];
	double ratio; /* seen over declared, on a usual worker */
	uint32_t n; /* samples so far */
};

/* How fast one kind of worker is. */
struct run_time_kind {
	char label[SYC_NAME_MAX];
	double factor; /* over the usual run time */
	uint32_t n;
};

struct run_times {
	struct run_time *first;
	struct run_time_kind kinds[RUN_TIME_KINDS_MAX];
	size_t n_kinds;
};

/* The record of a route, made when it is new. */
struct run_time *run_time_of(struct run_times *t, const char *route);

/* The factor of a kind of worker; 1 until enough is known. */
double run_time_kind(const struct run_times *t, const char *label);

/* A task declared as `declared_ms` took `seen_ms` on a worker of `label`. */
void run_time_learn(struct run_times *t, struct run_time *rt, const char *label,
		    uint32_t declared_ms, double seen_ms);

/* What a task should take on a usual worker, in milliseconds. */
double run_time_expect(const struct run_time *rt, uint32_t declared_ms);
void run_times_free(struct run_times *t);

#endif

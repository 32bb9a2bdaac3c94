/*
 * Plans when the tasks of waiting jobs can start, from the free resources of
 * the workers and the expected ends of their runs. Each resource of a worker
 * is in use by one task at a time, so no place is counted twice, and what a
 * run frees counts for tasks that fit on its worker beside what is free there.
 *
 * The plan is filled with workers and runs; then the waiting jobs are placed
 * in the order in which they begin.
 */
#ifndef POLICY_ROOM_PLAN_H
#define POLICY_ROOM_PLAN_H

#include "sycamoreshore/types.h"

/* Resources of a worker, of a run or of a task. */
struct room_size {
	uint32_t cpu_milli, memory_mb, accelerators;
	uint32_t slots; /* places for tasks; a task needs one */
};

/* A job whose tasks wait. */
struct room_job {
	uint32_t pool; /* one bit: the workers that may run it */
	uint32_t n_tasks; /* that wait */
	uint32_t per_worker_max; /* zero: no limit */
	struct room_size size; /* of each task */
	double run_ms; /* expected, on a worker of factor 1 */
};

/* Urgent tasks that are expected to start from `now` on. */
struct room_surge {
	int64_t now;
	double cpu_milli_per_ms; /* of the tasks that start in a millisecond */
	double run_ms; /* mean */
};

struct room_plan;

struct room_plan *room_plan_new(size_t workers_max);
void room_plan_free(struct room_plan *p);

/*
 * Adds a worker with what is free there from `at` on. `pools` are the bits of
 * the pools it serves; run times there are multiplied by `run_time_factor`.
 */
void room_plan_add_worker(struct room_plan *p, uint32_t pools,
			  const struct room_size *free, int64_t at,
			  double run_time_factor);
/* A run on the worker added last ends at `end_at` and frees `size`. */
void room_plan_add_run(struct room_plan *p, const struct room_size *size,
		       int64_t end_at);

/*
 * Places the tasks of `j`, each at the earliest time, and returns when the
 * last one starts; INT64_MAX: the known runs free too little.
 */
int64_t room_plan_place(struct room_plan *p, const struct room_job *j);
/*
 * Returns when the last task of `j` starts if the tasks of `surges` go before
 * it. It stops at `until`: a later time is a lower bound. The plan can't be
 * used after that. The work is bounded by the plan's workers, whatever the sizes.
 */
int64_t room_plan_expect(struct room_plan *p, const struct room_job *j,
			 const struct room_surge *surges, size_t n_surges,
			 int64_t until);

#endif

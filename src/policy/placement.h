/*
 * Judges how well a worker suits one more task, from plain numbers.
 */
#ifndef POLICY_PLACEMENT_H
#define POLICY_PLACEMENT_H

#include "sycamoreshore/types.h"

struct placement_task {
	double left_ms; /* until its job misses the objective */
	/* No faster worker is spared, so that routes are seen on all workers. */
	bool is_any_speed;
};

struct placement_worker {
	uint32_t free_cpu_milli;
	double expected_ms; /* run time of the task there */
	double factor; /* run time relative to a usual worker */
	bool in_home_domain; /* in the failure domain of the job's home */
	/*
	 * The job's route is risky and another task's on the worker is not, or
	 * the reverse.
	 */
	bool is_mixed;
};

/* Whether the task is expected to end in time on the worker. */
bool placement_is_in_time(const struct placement_task *t,
			  const struct placement_worker *w);

/* Whether `a` is the better worker for the task. */
bool placement_is_better(const struct placement_task *t,
			 const struct placement_worker *a,
			 const struct placement_worker *b);

#endif

/*
 * The load of the dispatch policy benchmark and the baseline policy: every
 * instance has one FIFO queue. It draws two targets at random for each task,
 * sends the task to the one to which it has fewer tasks in flight itself, and
 * retries after RETRY_MS if that target has no free slot.
 */
#ifndef BENCH_DISPATCH_SIMPLE_H
#define BENCH_DISPATCH_SIMPLE_H

#include <stddef.h>
#include <stdint.h>

enum {
	POLICY_TASKS_MAX = 100,
	POLICY_QUEUE_MAX = 4000 /* tasks waiting at one instance */
};

enum policy_answer {
	POLICY_COMPLETED = 1,
	POLICY_NOT_COMPLETED /* refused or failed */
};

struct policy_job {
	int64_t submitted_at;
	int instance;
	int caller;
	uint32_t n_tasks;
	uint32_t ideal_ms; /* the longest task's run time */
	uint32_t *run_ms; /* by task */
	/* The result. */
	int64_t took_ms;
	int answer; /* enum policy_answer, or zero if there is none yet */
};

struct policy_result {
	uint64_t sends;
	uint64_t starts;
	uint64_t messages;
};

/* Runs the jobs by the baseline policy; sets their results and `result`. */
void simple_policy_run(struct policy_job *jobs, size_t n, int n_instances,
		       int n_targets, int slots, uint64_t seed,
		       struct policy_result *result);

#endif

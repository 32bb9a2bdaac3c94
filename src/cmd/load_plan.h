/*
 * The submissions of a load run. Each is derived from the seed and its serial
 * number alone, so that its answer can be checked without a copy of it.
 */
#ifndef CMD_LOAD_PLAN_H
#define CMD_LOAD_PLAN_H

#include "cmd/load_profile.h"
#include "util/buf.h"
#include "util/rng.h"

struct load_plan {
	const struct load_profile *profile;
	uint64_t seed;
	uint64_t run_id; /* differs between load runs of one seed */
	uint32_t n_callers;
	double scale; /* the profile's run times are multiplied by it */
};

/* One submission. */
struct load_job {
	const struct load_plan *plan;
	const struct load_kind *kind;
	uint64_t serial;
	uint64_t seed;
	uint32_t caller;
	uint32_t n_tasks;
	double longest_ms; /* run time of its longest task */
	bool resubmit;
};

/* The result of checking an answer. */
enum load_finding {
	LOAD_WHOLE = 1, /* completed, with the right result of every task */
	LOAD_OTHER, /* another outcome; `outcome` and `reason` say which */
	LOAD_WRONG /* wrong or missing results, or no valid answer */
};

struct load_check {
	enum load_finding finding;
	char outcome[24];
	char reason[32];
};

/* Makes the submission number `serial`. */
void load_plan_job(const struct load_plan *plan, uint64_t serial,
		   struct load_job *job);
/* Returns the run time of task `i` in milliseconds, with the scale applied. */
double load_task_ms(const struct load_job *job, uint32_t i);
/* Appends the body of task `i` as compact JSON. */
void load_task_body(const struct load_job *job, uint32_t i, struct buf *out);
/* Appends the submission as JSON of the callers' API. */
void load_job_text(const struct load_job *job, struct buf *out);
/* Writes the idempotency key of a keyed job. */
void load_job_key(const struct load_job *job, char *out, size_t size);
/* Checks an answer of the API against what was sent. */
void load_job_check(const struct load_job *job, unsigned status,
		    struct syc_bytes text, struct load_check *check);

/*
 * Draws the time from `at_ms` of the run until the next arrival, when the mean
 * rate is `rate` a second outside of bursts.
 */
double load_ms_to_next_arrival(const struct load_profile *p, double rate,
			       double at_ms, struct rng *rng);

#endif

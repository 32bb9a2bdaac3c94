/*
 * Learns how fast each worker is. Its factor is the ratio of run times there to
 * those on a usual worker. It has a usual part, which begins with the mean of
 * the worker's kind, and a deviation, for a worker that turns slow for a
 * while. Factors are kept as logarithms, whose mean over all workers counts as
 * zero. docs/design/worker-speeds.md has the reasons.
 */
#ifndef POLICY_WORKER_SPEED_H
#define POLICY_WORKER_SPEED_H

#include "sycamoreshore/types.h"

enum {
	SPEED_KINDS_MAX = 8 /* workers of further kinds count as one kind */
};

/* The workers of one kind that have samples. */
struct speed_kind {
	char name[SYC_NAME_MAX];
	double sum; /* of their means */
	uint32_t n_workers;
};

/* What is known of all workers. */
struct worker_speeds {
	struct speed_kind kinds[SPEED_KINDS_MAX];
	uint32_t n_kinds;
	uint32_t n_workers, n_deviating;
	double cold; /* mean logarithm of the slowness of cold workers */
	uint32_t n_cold;
};

/* One worker in one life. */
struct worker_speed {
	struct speed_kind *kind;
	double mean; /* of its samples */
	double n_samples; /* by weight */
	double deviation; /* at `deviation_at` */
	int64_t deviation_at;
	double surprises; /* sum of the last samples far above or below */
	int n_surprises; /* negative: they were below */
	uint64_t surprise_source;
};

struct speed_sample {
	double log_ratio; /* of the run time to its route's usual one */
	double weight; /* 0 to 1 */
	uint64_t source; /* one source alone does not show a change */
};

/* A worker's life begins; the previous one is forgotten. */
void worker_speed_begin(struct worker_speeds *all, struct worker_speed *w,
			const char *kind);
/* Takes the worker out of the means. */
void worker_speed_end(struct worker_speeds *all, struct worker_speed *w);

/* The run time there, relative to a usual worker. */
double worker_speed_factor(const struct worker_speeds *all,
			   const struct worker_speed *w, int64_t now);
/* The same but for a change that may pass. */
double worker_speed_usual_factor(const struct worker_speeds *all,
				 const struct worker_speed *w);

/* A run has ended. */
void worker_speed_learn(struct worker_speeds *all, struct worker_speed *w,
			const struct speed_sample *s, int64_t now);
/*
 * The ratio is what the progress of an active run lets expect. It counts only
 * if it shows a change of the worker.
 */
void worker_speed_learn_progress(struct worker_speeds *all,
				 struct worker_speed *w,
				 const struct speed_sample *s, int64_t now);

/* A run that began on the cold worker has ended. */
void worker_speed_learn_cold(struct worker_speeds *all,
			     const struct worker_speed *w, double log_ratio);
/* How much longer runs take on a cold worker than on the same one later. */
double worker_speed_cold_factor(const struct worker_speeds *all);

#endif

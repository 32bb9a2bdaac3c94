/* The results of a load run: outcomes, samples and their quantiles. */
#ifndef CMD_LOAD_STATS_H
#define CMD_LOAD_STATS_H

#include <jansson.h>
#include <stdio.h>

#include "cmd/load_plan.h"

enum { LOAD_OUTCOMES_MAX = 64 };

struct samples {
	double *v;
	size_t n, cap;
	bool sorted;
};

/* Adds a sample. All samples are kept until samples_free. */
void samples_add(struct samples *s, double v);
/*
 * Returns the quantile `q` from 0 to 1 by nearest rank: the smallest sample
 * that is greater than or equal to the share `q` of all samples. Returns zero
 * if there are no samples.
 */
double samples_quantile(struct samples *s, double q);
void samples_free(struct samples *s);

struct load_outcome {
	char outcome[24];
	char reason[32];
	uint64_t n;
};

struct load_stats {
	uint64_t sent; /* submissions, without resubmissions */
	uint64_t tasks;
	uint64_t whole; /* submissions with a LOAD_WHOLE answer */
	uint64_t wrong; /* LOAD_WRONG answers */
	uint64_t resubmitted;
	uint64_t resubmitted_whole;
	uint64_t retried; /* retries of calls not run or not answered */
	size_t n_outcomes;
	struct load_outcome outcomes[LOAD_OUTCOMES_MAX];
	struct samples response_ms; /* of LOAD_WHOLE answers */
	struct samples over_ideal; /* response time / ideal response time */
	struct samples added_ms; /* response time - longest run time */
	struct samples direct_ms; /* like added_ms, for calls to a target */
	struct samples late_ms; /* delay of a send after its due time */
	double round_trip_ms; /* part of the ideal response time */
	double seconds;
	bool has_ledger;
	uint64_t ledger_tasks;
	uint64_t ledger_sends;
};

/* Counts an outcome; those over LOAD_OUTCOMES_MAX are counted as "other". */
void load_stats_count(struct load_stats *s, const char *outcome,
		      const char *reason);
void load_stats_print(struct load_stats *s, FILE *out);
void load_stats_print_json(struct load_stats *s, FILE *out);
void load_stats_free(struct load_stats *s);

#endif
